//! Generations, answered as streams of events that may move between engines.

use super::call::{self, Taken, Tried};
use super::job::{self, Job, label};
use super::moving::{self, Moved, Running};
use super::serve::{Next, after};
use super::{Gateway, Place, peers};
use crate::admit::{Ticket, Verdict};
use crate::clock;
use crate::event::Kind;
use crate::frame::Refusal;
use crate::h1::{Broken, Inbound};
use crate::id::{ServiceName, Tokens};
use crate::platform::{self, Handoff, Onward};
use crate::pool::PoolKey;
use crate::problem::{Problem, ProblemKind};
use crate::share::Work;
use crate::sse::{self, EventId, Succession};
use actix_http::body::BodySize;
use bytes::BytesMut;
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Engines that turn a generation away unrun before it is refused.
const OFFERS: usize = 3;
/// Time between two looks for room, about that between two messages of another instance.
const ROOM_TIME: Duration = Duration::from_millis(20);
/// Largest event in bytes.
const EVENT_LIMIT: usize = 1 << 20;
/// Time for the last events of an engine that has stopped a generation.
const DRAIN_TIME: Duration = Duration::from_millis(25);
/// Longest time between the end of a stream and the outcome of the move that ended it.
const OUTCOME_TIME: Duration = Duration::from_secs(4);
/// Largest answer that is no stream, in bytes.
const WHOLE_LIMIT: usize = 4 << 20;
/// Cost of a retry in the budget of this platform, which counts requests.
const ONE: Tokens = Tokens(1);

/// The part of a generation that one engine makes.
struct Leg {
    taken: Taken,
    place: Place,
    leave: Rc<Notify>,
    /// What was at the engine when it was sent, its own included.
    load: Work,
    /// When it was sent.
    sent: Instant,
}

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
    /// The caller takes no bytes.
    Unread,
    /// Time is up.
    Late,
    /// Events are missing.
    Gap,
}

/// Answers a generation.
pub async fn answer(gw: &Rc<Gateway>, conn: &mut Inbound, job: &Job) -> Next {
    let begun = tokio::select! {
        begun = begin(gw, job) => begun,
        () = conn.gone() => {
            gw.event(Kind::Abandoned, label(job.ask.id.as_ref()), "events=0");
            return Next::Abort;
        }
    };
    let close = gw.stopping.get().is_some();
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
                size: Rc::new(Cell::new(job.ask.prompt.map_or(0, |p| p.input.0))),
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
            conn.answer(platform::answer_head(&taken.head), body, close).await
        }
        _ => {
            let problem = call::lost(job, "broken");
            job::refuse(gw, conn, job.ask.id.as_ref(), &problem, close).await
        }
    };
    after(conn, sent, close)
}

/// A generation in line, until it begins or is given up.
struct Waiting<'a> {
    gw: &'a Gateway,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl<'a> Waiting<'a> {
    fn join(gw: &'a Gateway, job: &'a Job) -> Self {
        let ticket = gw.line.borrow_mut().join(&job.service, job.urgency());
        Waiting { gw, service: &job.service, ticket }
    }

    fn is_first(&self) -> bool {
        self.gw.line.borrow().is_first(self.service, self.ticket)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.gw.line.borrow_mut().leave(self.service, self.ticket);
    }
}

/// Waits until an engine has room.
async fn room(gw: &Rc<Gateway>, job: &Job, tried: &[PoolKey]) -> Result<PoolKey, Problem> {
    let waiting = Waiting::join(gw, job);
    let mut denied = tried.to_vec();
    loop {
        let now = clock::now();
        let is_first = waiting.is_first();
        match job.decide(gw, now, &denied) {
            Verdict::Send(key) if is_first => {
                if is_granted(gw, job, key).await {
                    return Ok(key);
                }
                denied.push(key);
            }
            Verdict::Refuse(after) => {
                let line = gw.line.borrow().len(&job.service);
                let waited = now.saturating_duration_since(job.since).as_millis();
                let detail = format!("no engine has room in time: waited_ms={waited} line={line}");
                let kind = ProblemKind::Refused(Refusal::Busy);
                return Err(Problem::new(kind, detail).retry(super::jitter(after)));
            }
            Verdict::Send(_) | Verdict::Wait => {
                denied.truncate(tried.len());
                tokio::time::sleep(super::jitter(ROOM_TIME)).await;
            }
        }
    }
}

/// Asks whoever decides for an engine.
async fn is_granted(gw: &Gateway, job: &Job, key: PoolKey) -> bool {
    let Some(tag) = gw.pool.borrow().endpoints.get(key).map(|e| e.tag) else { return false };
    let left = job.wait_left(gw, clock::now());
    peers::ask(gw, tag, job.work(), left, job.urgency()).await
}

/// Finds an engine that begins the generation.
async fn begin(gw: &Rc<Gateway>, job: &Job) -> Result<Leg, Problem> {
    gw.budget.borrow_mut().earn(&job.service, ONE);
    let mut tried: Vec<PoolKey> = Vec::new();
    loop {
        let may_try = tried.is_empty()
            || tried.len() < OFFERS && gw.budget.borrow_mut().spend(&job.service, ONE);
        if !may_try {
            let kind = ProblemKind::Refused(Refusal::Busy);
            return Err(job.refusal(clock::now(), kind, "the engines tried took nothing more"));
        }
        let key = room(gw, job, &tried).await?;
        tried.push(key);
        let why = match open(gw, job, Place::take(gw, key, job.work()), None, None).await {
            Ok(leg) => return Ok(leg),
            Err(Tried::Unrun(why)) => {
                if why != "full" {
                    call::note_health(gw, key, false);
                }
                why
            }
            Err(Tried::Lost(why)) => {
                call::note_health(gw, key, false);
                return Err(call::lost(job, why));
            }
            Err(Tried::Answered(_)) => "answered",
        };
        let detail = format!("why={why} tried={}", tried.len());
        gw.event(Kind::Reoffered, label(job.ask.id.as_ref()), detail);
    }
}

/// Sends a generation to one engine and waits for the head of its answer.
async fn open(
    gw: &Rc<Gateway>,
    job: &Job,
    place: Place,
    handoff: Option<&Handoff>,
    last: Option<EventId>,
) -> Result<Leg, Tried> {
    let found = gw
        .pool
        .borrow()
        .endpoints
        .get(place.key)
        .map(|e| (e.listing.id.clone(), e.leave.clone(), e.work()));
    let sent = clock::now();
    let Some((endpoint, leave, load)) = found else { return Err(Tried::Unrun("gone")) };
    let onward = Onward {
        endpoint: &endpoint,
        member: job.member.as_deref(),
        left: job.left(clock::now()),
        urgency: None,
        handoff,
        last,
        resumable: job.route.resumable,
    };
    match call::offer(gw, job, place.key, &onward).await {
        Tried::Answered(taken) => Ok(Leg { taken, place, leave, load, sent }),
        other => Err(other),
    }
}

impl Stream<'_> {
    async fn relay(&mut self, conn: &mut Inbound, close: bool) -> Next {
        let head = platform::answer_head(&self.leg.taken.head);
        if conn.start(head, BodySize::Stream, close).await.is_err() {
            return Next::Abort;
        }
        loop {
            let end = self.relay_leg(conn).await;
            let why = match end {
                End::Whole => {
                    self.note_whole();
                    let sent = conn.finish().await;
                    return after(conn, sent, close);
                }
                End::Cut(_) if self.mover.is_some() => match self.go_on(conn).await {
                    Ok(()) => continue,
                    Err(why) => why,
                },
                End::Cut(ref why) => {
                    call::note_health(self.gw, self.leg.place.key, false);
                    match why {
                        Broken::Io(_) => "reset",
                        Broken::Early => "ended early",
                        Broken::Malformed => "malformed",
                    }
                }
                End::Gone => {
                    self.gw.event(Kind::Abandoned, self.label(), &self.pace);
                    return Next::Abort;
                }
                End::Unread => "unread",
                End::Late => "late",
                End::Gap => "gap",
            };
            self.note_failed(why);
            return Next::Abort;
        }
    }

    fn label(&self) -> &str {
        label(self.job.ask.id.as_ref())
    }

    fn note_whole(&self) {
        call::note_health(self.gw, self.leg.place.key, true);
        let ms = clock::now().saturating_duration_since(self.job.since).as_millis();
        metrics::counter!("streams_total", "end" => "whole").increment(1);
        metrics::histogram!("stream_seconds").record(ms as f64 / 1e3);
        metrics::histogram!("pause_seconds").record(self.pace.pause.as_secs_f64());
        let detail = format!("endpoint={} {} ms={ms}", self.leg.taken.endpoint, self.pace);
        self.gw.event(Kind::Answered, self.label(), detail);
    }

    fn note_failed(&self, why: &'static str) {
        metrics::counter!("streams_total", "end" => why).increment(1);
        let ms = clock::now().saturating_duration_since(self.job.since).as_millis();
        let endpoint = &self.leg.taken.endpoint;
        let detail = format!("endpoint={endpoint} why={why:?} {} ms={ms}", self.pace);
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
                () = tokio::time::sleep_until(self.job.deadline.into()) => return End::Late,
            };
            match part {
                Ok(Some(part)) => {
                    self.buf.extend_from_slice(&part);
                    if let Err(end) = self.emit(conn).await {
                        return end;
                    }
                }
                Ok(None) if self.leg.taken.out.is_framed() || self.mover.is_none() => {
                    let rest = self.buf.split().freeze();
                    if !rest.is_empty() && conn.chunk(rest).await.is_err() {
                        return End::Unread;
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
    async fn emit(&mut self, conn: &mut Inbound) -> Result<(), End> {
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
                Succession::Gap => return Err(End::Gap),
            }
        }
        if self.buf.len() > EVENT_LIMIT {
            return Err(End::Cut(Broken::Malformed));
        }
        if out.is_empty() {
            return Ok(());
        }
        let now = clock::now();
        self.leg.place.read();
        if self.pace.events == 0 {
            let first = now.saturating_duration_since(self.job.since);
            metrics::histogram!("first_event_seconds").record(first.as_secs_f64());
            let took = now.saturating_duration_since(self.leg.sent);
            let mut reading = self.gw.reading.borrow_mut();
            reading.entry(self.job.service.clone()).or_default().note(self.leg.load.unread, took);
        }
        self.pace.note(self.job.since, now, events);
        let stride = self.job.engine().map_or(1, |e| e.stride);
        self.size.set(self.size.get().saturating_add(events * stride));
        conn.chunk(out.freeze()).await.map_err(|_| End::Unread)
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
        self.mover = Some(actix_rt::spawn(moving::evacuate(self.gw.clone(), running)));
    }

    /// Goes on at the engine that the generation has moved to.
    async fn go_on(&mut self, conn: &mut Inbound) -> Result<(), &'static str> {
        let Some(mover) = self.mover.take() else { return Err("reset") };
        let moved = tokio::select! {
            moved = timeout(OUTCOME_TIME, mover) => moved,
            () = conn.gone() => return Err("caller gone"),
        };
        let (place, handoff) = match moved {
            Ok(Ok(Moved::To(place, handoff))) => (place, handoff),
            Ok(Ok(Moved::Stay(why))) => return Err(why),
            Ok(Err(_)) => return Err("the move ended without an outcome"),
            Err(_) => return Err("the move has no outcome in time"),
        };
        self.drain(conn).await?;
        self.buf.clear();
        let opened = open(self.gw, self.job, place, Some(&handoff), self.last).await;
        self.leg = match opened {
            Ok(leg) if leg.taken.answer.status.is_success() => leg,
            Ok(_) => return Err("refused where it moved to"),
            Err(Tried::Unrun(why) | Tried::Lost(why)) => return Err(why),
            Err(Tried::Answered(_)) => return Err("answered"),
        };
        self.pace.moves += 1;
        metrics::counter!("moves_total").increment(1);
        Ok(())
    }

    /// Passes on the last events of the engine that has stopped the generation.
    async fn drain(&mut self, conn: &mut Inbound) -> Result<(), &'static str> {
        while let Ok(Ok(Some(part))) = timeout(DRAIN_TIME, self.leg.taken.out.chunk()).await {
            self.buf.extend_from_slice(&part);
            self.emit(conn).await.map_err(|_| "unread")?;
        }
        Ok(())
    }
}
