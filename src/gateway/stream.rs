//! Generations, answered as streams of events that may move between engines.

use super::attempt::{self, Miss};
use super::begin::{self, Leg};
use super::job::{self, Job, label};
use super::migrate::{self, Moved, Running};
use super::serve::{Next, after};
use super::{Gateway, quarantine};
use crate::clock;
use crate::event::Kind;
use crate::h1::{Broken, Inbound};
use crate::platform;
use crate::sse::{self, EventId, Succession};
use actix_http::body::BodySize;
use bytes::BytesMut;
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Largest event in bytes.
const EVENT_LIMIT: usize = 1 << 20;
/// Time for the last events of an engine that has stopped a generation.
const DRAIN_TIME: Duration = Duration::from_millis(25);
/// Longest time between the end of a stream and the outcome of the move that ended it.
const OUTCOME_TIME: Duration = Duration::from_secs(4);
/// Largest answer that is no stream, in bytes.
const WHOLE_LIMIT: usize = 4 << 20;

/// A generation whose answer has begun.
struct Stream<'a> {
    gw: &'a Rc<Gateway>,
    job: &'a Job,
    leg: Leg,
    buf: BytesMut,
    last: Option<EventId>,
    pace: Pace,
    over: Rc<Cell<bool>>,
    /// Tokens in the memory of its engine.
    size: Rc<Cell<u32>>,
    mover: Option<JoinHandle<Moved>>,
}

/// How the events of a stream have come.
#[derive(Debug, Default)]
struct Pace {
    /// Events that the caller got.
    events: u32,
    /// When the latest came.
    latest: Option<Instant>,
    /// Time to the first event.
    first: Duration,
    /// Longest pause between two events.
    pause: Duration,
    /// Engines that the generation has moved to.
    moves: u32,
    /// Time until it was sent to an engine.
    sent: Duration,
    /// Prompt tokens that waited to be read there.
    unread: u64,
    /// Memory that was expected to be needed there, its own included.
    held: u64,
}

impl Pace {
    fn note(&mut self, since: Instant, now: Instant, events: u32) {
        match self.latest {
            None => self.first = now.saturating_duration_since(since),
            Some(t) => self.pause = self.pause.max(now.saturating_duration_since(t)),
        }
        self.latest = Some(now);
        self.events += events;
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (first, pause) = (self.first.as_millis(), self.pause.as_millis());
        let (events, moves) = (self.events, self.moves);
        let (sent, unread, held) = (self.sent.as_millis(), self.unread, self.held);
        write!(f, "events={events} first_ms={first} pause_ms={pause} moves={moves} ")?;
        write!(f, "sent_ms={sent} unread={unread} held={held}")
    }
}

/// Why the events of a leg ended.
#[derive(Debug)]
enum End {
    /// The answer is complete.
    Whole,
    /// The engine stopped, or broke off.
    Cut(Broken),
    /// The caller is gone.
    Gone,
    /// The answer cannot be completed.
    Failed(Failure),
}

/// Why a stream could not be completed.
#[derive(Debug)]
enum Failure {
    /// The engine broke off.
    Cut(Broken),
    /// The caller takes no bytes.
    Unread,
    /// Time is up.
    Late,
    /// Events are missing.
    Gap,
    /// The generation could not move; the text says why.
    Unmoved(&'static str),
    /// The engine that it moved to did not go on with it.
    Refused(Miss),
    /// The engine that it moved to answered with a failure.
    Failed(u16),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Cut(Broken::Io(e)) => write!(f, "connection lost: {e}"),
            Failure::Cut(Broken::Early) => f.write_str("ended early"),
            Failure::Cut(Broken::Malformed) => f.write_str("malformed"),
            Failure::Unread => f.write_str("unread"),
            Failure::Late => f.write_str("late"),
            Failure::Gap => f.write_str("events are missing"),
            Failure::Unmoved(why) => f.write_str(why),
            Failure::Refused(miss) => write!(f, "not taken up: {miss}"),
            Failure::Failed(status) => write!(f, "answered {status} where it moved to"),
        }
    }
}

/// Answers a generation.
pub async fn answer(gw: &Rc<Gateway>, conn: &mut Inbound, job: &Job) -> Next {
    let begun = tokio::select! {
        begun = begin::begin(gw, job) => begun,
        () = conn.gone() => {
            gw.event(Kind::Abandoned, label(job.ask.id.as_ref()), "events=0");
            return Next::Abort;
        }
    };
    let close = gw.stopping_since.get().is_some();
    match begun {
        Ok(leg) if leg.taken.answer.status.is_success() => {
            let over = Rc::new(Cell::new(false));
            let pace = Pace {
                sent: leg.sent.saturating_duration_since(job.since),
                unread: leg.load.unread,
                held: leg.load.held,
                ..Pace::default()
            };
            let mut stream = Stream {
                gw,
                job,
                leg,
                buf: BytesMut::new(),
                last: None,
                pace,
                over: over.clone(),
                size: Rc::new(Cell::new(job.ask.tokens.map_or(0, |p| p.input.0))),
                mover: None,
            };
            let next = stream.relay(conn, close).await;
            over.set(true);
            next
        }
        Ok(leg) => pass(gw, conn, job, leg, close).await,
        Err(problem) => {
            let sent = job::refuse(gw, conn, job.ask.id.as_ref(), &problem, close).await;
            after(conn, sent, close)
        }
    }
}

/// Passes on an answer that is no stream.
async fn pass(gw: &Rc<Gateway>, conn: &mut Inbound, job: &Job, leg: Leg, close: bool) -> Next {
    let mut taken = leg.taken;
    let read = tokio::time::timeout_at(job.deadline.into(), taken.out.body(WHOLE_LIMIT)).await;
    let sent = match read {
        Ok(Ok(body)) => {
            let detail = format!("endpoint={} status={}", taken.endpoint, taken.answer.status);
            gw.event(Kind::Answered, label(job.ask.id.as_ref()), detail);
            conn.answer(platform::response_head(&taken.head), body, close).await
        }
        _ => {
            let problem = attempt::lost(job, Miss::Broken);
            job::refuse(gw, conn, job.ask.id.as_ref(), &problem, close).await
        }
    };
    after(conn, sent, close)
}

impl Stream<'_> {
    async fn relay(&mut self, conn: &mut Inbound, close: bool) -> Next {
        let head = platform::response_head(&self.leg.taken.head);
        if conn.start(head, BodySize::Stream, close).await.is_err() {
            return Next::Abort;
        }
        let failure = loop {
            match self.relay_leg(conn).await {
                End::Whole => {
                    self.note_whole();
                    let sent = conn.finish().await;
                    return after(conn, sent, close);
                }
                End::Gone => {
                    self.gw.event(Kind::Abandoned, self.label(), &self.pace);
                    return Next::Abort;
                }
                End::Failed(failure) => break failure,
                End::Cut(why) if self.mover.is_none() => {
                    attempt::note_health(self.gw, self.leg.place.key, false);
                    quarantine::suspect(self.gw, self.job, self.leg.place.key);
                    break Failure::Cut(why);
                }
                End::Cut(_) => {
                    if let Err(failure) = self.go_on(conn).await {
                        break failure;
                    }
                }
            }
        };
        self.note_failed(&failure);
        Next::Abort
    }

    fn label(&self) -> &str {
        label(self.job.ask.id.as_ref())
    }

    /// Names the engine and the size of the generation for the log.
    fn place(&self) -> String {
        format!("endpoint={}{}", self.leg.taken.endpoint, self.job.size())
    }

    fn note_whole(&self) {
        attempt::note_health(self.gw, self.leg.place.key, true);
        quarantine::clear(self.gw, self.job);
        let ms = clock::now().saturating_duration_since(self.job.since).as_millis();
        metrics::counter!("streams_total", "end" => "whole").increment(1);
        metrics::histogram!("stream_seconds").record(ms as f64 / 1e3);
        metrics::histogram!("pause_seconds").record(self.pace.pause.as_secs_f64());
        let detail = format!("{} {} ms={ms}", self.place(), self.pace);
        self.gw.event(Kind::Answered, self.label(), detail);
    }

    fn note_failed(&self, why: &Failure) {
        metrics::counter!("streams_total", "end" => "failed").increment(1);
        let ms = clock::now().saturating_duration_since(self.job.since).as_millis();
        let why = why.to_string();
        let detail = format!("{} why={why:?} {} ms={ms}", self.place(), self.pace);
        self.gw.event(Kind::Failed, self.label(), detail);
    }

    /// Relays the events of one leg to their end.
    async fn relay_leg(&mut self, conn: &mut Inbound) -> End {
        let leave = self.leg.leave.clone();
        loop {
            let notified = leave.notified();
            if self.mover.is_none() {
                self.begin_move();
            }
            let is_still = self.mover.is_none();
            let part = tokio::select! {
                part = self.leg.taken.out.chunk() => part,
                () = notified, if is_still => continue,
                () = conn.gone() => return End::Gone,
                () = tokio::time::sleep_until(self.job.deadline.into()) => {
                    return End::Failed(Failure::Late);
                }
            };
            match part {
                Ok(Some(part)) => {
                    self.buf.extend_from_slice(&part);
                    if let Err(failure) = self.emit(conn).await {
                        return End::Failed(failure);
                    }
                }
                Ok(None) if self.leg.taken.out.is_framed() || self.mover.is_none() => {
                    let rest = self.buf.split().freeze();
                    if !rest.is_empty() && conn.chunk(rest).await.is_err() {
                        return End::Failed(Failure::Unread);
                    }
                    return End::Whole;
                }
                // Without a frame, a stop and an end look the same.
                Ok(None) => return End::Cut(Broken::Early),
                Err(e) => return End::Cut(e),
            }
        }
    }

    /// Sends on the whole events that are here.
    async fn emit(&mut self, conn: &mut Inbound) -> Result<(), Failure> {
        let mut out = BytesMut::new();
        let mut events = 0;
        while let Some(event) = sse::scan_event(&self.buf) {
            let bytes = self.buf.split_to(event.len);
            match sse::judge(self.last, event.id) {
                Succession::Next => {
                    self.last = event.id.or(self.last);
                    events += 1;
                    out.unsplit(bytes);
                }
                Succession::Repeated => {}
                Succession::Gap => return Err(Failure::Gap),
            }
        }
        if self.buf.len() > EVENT_LIMIT {
            return Err(Failure::Cut(Broken::Malformed));
        }
        if out.is_empty() {
            return Ok(());
        }
        let now = clock::now();
        self.leg.place.mark_read();
        if self.pace.events == 0 {
            let first = now.saturating_duration_since(self.job.since);
            metrics::histogram!("first_event_seconds").record(first.as_secs_f64());
            let took = now.saturating_duration_since(self.leg.sent);
            let mut reading = self.gw.read_rates.borrow_mut();
            reading.entry(self.job.service.clone()).or_default().note(self.leg.load.unread, took);
        }
        self.pace.note(self.job.since, now, events);
        let stride = self.job.engine().map_or(1, |e| e.stride);
        self.size.set(self.size.get().saturating_add(events * stride));
        conn.chunk(out.freeze()).await.map_err(|_| Failure::Unread)
    }

    /// Begins to move the generation if its engine is leaving.
    fn begin_move(&mut self) {
        let (Some(id), Some(terms)) = (&self.job.ask.id, &self.job.terms) else { return };
        if !terms.engine.as_ref().is_some_and(|e| e.moves) {
            return;
        }
        let source = self.leg.place.key;
        let pool = self.gw.pool.borrow();
        let Some(e) = pool.endpoints.get(source).filter(|e| e.is_leaving()) else { return };
        let running = Running {
            id: id.clone(),
            service: self.job.service.clone(),
            terms: terms.clone(),
            tokens: self.job.tokens(),
            source,
            address: e.listing.address,
            centre: e.listing.centre.clone(),
            size: self.size.clone(),
            over: self.over.clone(),
        };
        self.mover = Some(actix_rt::spawn(migrate::evacuate(self.gw.clone(), running)));
    }

    /// Goes on at the engine that the generation has moved to.
    async fn go_on(&mut self, conn: &mut Inbound) -> Result<(), Failure> {
        let Some(mover) = self.mover.take() else { return Err(Failure::Cut(Broken::Early)) };
        let moved = tokio::select! {
            moved = timeout(OUTCOME_TIME, mover) => moved,
            () = conn.gone() => return Err(Failure::Unread),
        };
        let (place, handoff) = match moved {
            Ok(Ok(Moved::To(place, handoff))) => (place, handoff),
            Ok(Ok(Moved::Stay(why))) => return Err(Failure::Unmoved(why)),
            Ok(Err(_)) => return Err(Failure::Unmoved("the move ended without an outcome")),
            Err(_) => return Err(Failure::Unmoved("the move has no outcome in time")),
        };
        self.drain(conn).await?;
        self.buf.clear();
        let opened = begin::open(self.gw, self.job, place, Some(&handoff), self.last).await;
        let leg = opened.map_err(Failure::Refused)?;
        if !leg.taken.answer.status.is_success() {
            return Err(Failure::Failed(leg.taken.answer.status.as_u16()));
        }
        self.leg = leg;
        self.pace.moves += 1;
        metrics::counter!("moves_total").increment(1);
        Ok(())
    }

    /// Passes on the last events of the engine that has stopped the generation.
    async fn drain(&mut self, conn: &mut Inbound) -> Result<(), Failure> {
        while let Ok(Ok(Some(part))) = timeout(DRAIN_TIME, self.leg.taken.out.chunk()).await {
            self.buf.extend_from_slice(&part);
            self.emit(conn).await?;
        }
        Ok(())
    }
}
