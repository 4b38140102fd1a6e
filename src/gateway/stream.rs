//! Generations: event streams that continue across migrations between engines.

use super::attempt::{self, AttemptError};
use super::begin::{self, Segment};
use super::job::{self, Job, log_id};
use super::migrate::{self, MoveOutcome};
use super::respond::{Disposition, disposition};
use super::stats::{Failure, SegmentEnd, StreamStats};
use super::transfer::RunningGeneration;
use super::unread::{self, Holder};
use super::{Gateway, examine, pauses, quarantine};
use crate::backlog::Flow;
use crate::clock;
use crate::escape::log_value;
use crate::event::Kind;
use crate::h1::{Broken, Fault, Framing, Inbound};
use crate::platform;
use crate::pool::TokenTimer;
use crate::shutdown::Phase;
use crate::sse::{self, EventOrder, EventScanner, Sequence};
use crate::task;
use actix_http::body::BodySize;
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Time after an engine was held in which a stream that breaks off does not count as its failure.
const HOLD_MEMORY: Duration = Duration::from_secs(2);
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Longest pause between chunks while reading the last events of a stopped generation.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(25);
/// Longest wait for the outcome of a migration after it has interrupted the stream.
const MOVE_OUTCOME_TIMEOUT: Duration = Duration::from_secs(4);
/// Largest body of a response that is not a stream, such as an error. It is kept whole, possibly for
/// all requests of a service at once.
const MAX_BODY_BYTES: usize = 256 << 10;

/// A generation whose response has started.
struct Stream<'a> {
    gw: &'a Rc<Gateway>,
    job: &'a Job,
    segment: Segment,
    /// Received bytes that do not make up a whole event yet.
    buf: BytesMut,
    /// Finds the events in `buf`.
    scanner: EventScanner,
    /// Events sent to the caller.
    sequence: Sequence,
    /// Whether the present segment has had an event that was sent to the caller.
    has_events: bool,
    stats: StreamStats,
    /// Set when the stream has ended, to stop a migration under way.
    ended: Rc<Cell<bool>>,
    /// Whether another engine could continue after the last event, for a migration under way.
    can_continue: Rc<Cell<bool>>,
    /// Set by a migration once it may have stopped the generation.
    stopping: Rc<Cell<bool>>,
    /// Tokens that the generation occupies in the engine's memory.
    used_tokens: Rc<Cell<u32>>,
    migration: Option<JoinHandle<MoveOutcome>>,
    /// Measures the time per token on the present engine.
    timer: TokenTimer,
    holder: Rc<Holder>,
    /// When the engine was last held because its stream was unread.
    last_hold: Option<Instant>,
}

/// How a stream goes on after the end of a segment during a migration.
#[derive(Debug)]
enum Resumption {
    /// It continues on the target engine.
    Continued,
    /// The generation had ended before it could be stopped.
    Ended,
}

/// Serves a generation. Dropping the segment when the caller disconnects closes the connection to
/// the engine, which cancels the generation there.
pub async fn answer(gw: &Rc<Gateway>, conn: &mut Inbound, job: &Job) -> Disposition {
    let may_run = Cell::new(false);
    let dispatched = tokio::select! {
        dispatched = begin::dispatch(gw, job, &may_run) => dispatched,
        () = gw.stop.reached(Phase::Expiring) => Err(match may_run.get() {
            true => attempt::unknown_outcome(job, AttemptError::Stopping),
            false => job.stop_refusal(),
        }),
        () = conn.closed() => {
            gw.event(Kind::Abandoned, log_id(job.meta.id.as_ref()), "events=0");
            return Disposition::Abort;
        }
    };
    let close = gw.stop.is_requested();
    match dispatched {
        Ok(segment) if segment.response.is_stream() => {
            let holder = Rc::new(Holder::new(gw, log_id(job.meta.id.as_ref())));
            let mut stream = Stream::new(gw, job, segment, holder.clone());
            let ended = stream.ended.clone();
            let is_complete = stream.relay(conn, close).await;
            ended.set(true);
            // The engine is free while the caller reads the rest.
            drop(stream);
            if !is_complete {
                return Disposition::Abort;
            }
            let sent = holder.send_rest(conn).await;
            disposition(conn, sent, close)
        }
        Ok(segment) => relay_whole(gw, conn, job, segment, close).await,
        Err(problem) => {
            let sent = job::refuse(gw, conn, job.meta.id.as_ref(), &problem, close).await;
            disposition(conn, sent, close)
        }
    }
}

/// Relays a response that is not a stream.
async fn relay_whole(
    gw: &Rc<Gateway>,
    conn: &mut Inbound,
    job: &Job,
    segment: Segment,
    close: bool,
) -> Disposition {
    let mut response = segment.response;
    let read = tokio::select! {
        body = response.out.read_body(MAX_BODY_BYTES) => body.map_err(AttemptError::of_break),
        () = gw.stop.reached(Phase::Expiring) => Err(AttemptError::Stopping),
        () = tokio::time::sleep_until(job.deadline.into()) => Err(AttemptError::Late),
    };
    let id = log_id(job.meta.id.as_ref());
    match read {
        Ok(body) => {
            let endpoint = log_value(response.endpoint.as_str());
            let detail = format!("endpoint={endpoint} status={}", response.info.status);
            gw.event(Kind::Answered, id, detail);
            unread::respond(gw, conn, id, &response, body, close).await
        }
        Err(error) => {
            if error.reason().is_some() {
                attempt::record_error(gw, segment.guard.key, error);
            }
            let problem = attempt::unknown_outcome(job, error);
            let sent = job::refuse(gw, conn, job.meta.id.as_ref(), &problem, close).await;
            disposition(conn, sent, close)
        }
    }
}

impl<'a> Stream<'a> {
    fn new(gw: &'a Rc<Gateway>, job: &'a Job, segment: Segment, holder: Rc<Holder>) -> Self {
        let stats = StreamStats {
            sent: segment.sent.saturating_duration_since(job.received),
            head: clock::now().saturating_duration_since(job.received),
            unread: segment.load.unread,
            held: segment.load.held,
            ..StreamStats::default()
        };
        Stream {
            gw,
            job,
            segment,
            buf: BytesMut::new(),
            scanner: EventScanner::default(),
            sequence: Sequence::default(),
            has_events: false,
            stats,
            ended: Rc::default(),
            can_continue: Rc::new(Cell::new(true)),
            stopping: Rc::default(),
            used_tokens: Rc::new(Cell::new(job.meta.tokens.map_or(0, |t| t.input.0))),
            migration: None,
            timer: TokenTimer::default(),
            holder,
            last_hold: None,
        }
    }

    /// Relays the stream; returns whether it is complete, so that only its unsent bytes remain.
    async fn relay(&mut self, conn: &mut Inbound, close: bool) -> bool {
        let head = platform::response_head(&self.segment.response.head);
        conn.bound_buffer();
        if conn.send_head(head, BodySize::Stream, close).await.is_err() {
            return false;
        }
        let failure = loop {
            let end = match self.relay_segment(conn).await {
                SegmentEnd::Complete if self.is_cut_by_crash().await => {
                    SegmentEnd::Interrupted(Broken::Early)
                }
                end => end,
            };
            match end {
                SegmentEnd::Complete => return self.complete(conn),
                SegmentEnd::CallerGone => {
                    self.gw.event(Kind::Abandoned, self.log_id(), &self.stats);
                    return false;
                }
                SegmentEnd::Failed(failure) => break failure,
                SegmentEnd::Interrupted(why) if self.migration.is_none() => {
                    self.record_broken(&why);
                    if !self.sequence.can_continue() {
                        break Failure::Cut(why);
                    }
                    let last = self.sequence.last_id();
                    match begin::rerun(self.gw, self.job, &self.segment, last).await {
                        Ok(segment) => self.continue_on(segment),
                        Err(_) => break Failure::Cut(why),
                    }
                }
                SegmentEnd::Closed => match self.resume(conn).await {
                    Ok(Resumption::Continued) => {}
                    Ok(Resumption::Ended) => return self.complete(conn),
                    Err(failure) => break failure,
                },
                SegmentEnd::Interrupted(why) => match self.resume(conn).await {
                    Ok(Resumption::Continued) => {}
                    Ok(Resumption::Ended) => break Failure::Cut(why),
                    Err(failure) => break failure,
                },
            }
        };
        self.record_failed(&failure);
        false
    }

    fn complete(&self, conn: &mut Inbound) -> bool {
        self.record_completed();
        conn.queue_end().is_ok()
    }

    /// Records that the engine has broken off the stream. One that did so because the stream was
    /// unread is sound.
    fn record_broken(&self, why: &Broken) {
        let now = clock::now();
        if self.last_hold.is_some_and(|t| now.saturating_duration_since(t) < HOLD_MEMORY) {
            return;
        }
        attempt::record_health(self.gw, self.segment.guard.key, false);
        let (host, cause) = (self.segment.run.host(), examine::cause(*why));
        examine::check_crash(self.gw, self.job, host, self.segment.sent, cause);
    }

    fn log_id(&self) -> &str {
        log_id(self.job.meta.id.as_ref())
    }

    /// Returns the engine, the framing of its response and the token counts of the generation for a
    /// log line.
    fn engine_detail(&self) -> String {
        let response = &self.segment.response;
        let (endpoint, framing) = (log_value(response.endpoint.as_str()), response.out.framing());
        let (denials, passed) = (self.segment.denials, self.segment.passed);
        format!(
            "endpoint={endpoint} framing={framing}{} denials={denials} passed={passed}",
            self.job.prompt_suffix()
        )
    }

    fn record_completed(&self) {
        attempt::record_health(self.gw, self.segment.guard.key, true);
        quarantine::clear(self.gw, self.job);
        let is_framed = self.segment.response.out.framing() != Framing::Close;
        self.segment.run.complete(is_framed);
        let ms = clock::now().saturating_duration_since(self.job.received).as_millis();
        metrics::counter!("streams_total", "end" => "whole").increment(1);
        metrics::histogram!("stream_seconds").record(ms as f64 / 1e3);
        pauses::record_stream(self.gw, self.job, self.segment.guard.key, self.stats.pause);
        let detail = format!("{} {} ms={ms}", self.engine_detail(), self.stats);
        self.gw.event(Kind::Answered, self.log_id(), detail);
    }

    fn record_failed(&self, why: &Failure) {
        metrics::counter!("streams_total", "end" => "failed").increment(1);
        let ms = clock::now().saturating_duration_since(self.job.received).as_millis();
        let why = why.to_string();
        let detail = format!("{} why={why:?} {} ms={ms}", self.engine_detail(), self.stats);
        self.gw.event(Kind::Failed, self.log_id(), detail);
    }

    /// Relays the events of one segment until it ends.
    async fn relay_segment(&mut self, conn: &mut Inbound) -> SegmentEnd {
        let leaving = self.segment.leaving.clone();
        loop {
            let notified = leaving.notified();
            if self.migration.is_none() {
                self.start_migration();
            }
            let is_staying = self.migration.is_none();
            let flow = self.next_flow();
            if flow == Flow::Drop {
                return SegmentEnd::Failed(Failure::Unread);
            }
            let part = tokio::select! {
                part = self.segment.response.out.read_chunk(), if flow == Flow::Read => part,
                () = notified, if is_staying => continue,
                () = self.holder.changed() => continue,
                sent = conn.send_until_closed() => match sent {
                    Ok(n) => {
                        self.holder.update(conn, self.buf.len(), n);
                        continue;
                    }
                    Err(_) => return SegmentEnd::CallerGone,
                },
                () = tokio::time::sleep_until(self.job.deadline.into()) => {
                    return SegmentEnd::Failed(Failure::Late);
                }
            };
            let Ok(Some(part)) = part else { return self.end_segment(conn, part) };
            self.buf.extend_from_slice(&part);
            if let Err(failure) = self.forward_events(conn) {
                return SegmentEnd::Failed(failure);
            }
            // Neither reading buffered chunks nor sending at once yields to other tasks.
            tokio::task::consume_budget().await;
        }
    }

    /// Decides how the stream goes on.
    fn next_flow(&mut self) -> Flow {
        let flow = self.holder.flow();
        if flow == Flow::Hold {
            self.last_hold = Some(clock::now());
        }
        flow
    }

    /// Returns how a segment has ended after the last chunk of its response.
    fn end_segment(
        &mut self,
        conn: &mut Inbound,
        last: Result<Option<Bytes>, Broken>,
    ) -> SegmentEnd {
        let framing = self.segment.response.out.framing();
        self.stats.rest = self.buf.len();
        if let Err(e) = last {
            return SegmentEnd::Interrupted(e);
        }
        if sse::ends_inside_event(&self.buf) || self.is_cut_at_start(framing) {
            return SegmentEnd::Interrupted(Broken::Early);
        }
        // Without framing, a stop for a migration looks like a normal end.
        if framing == Framing::Close && self.stopping.get() {
            return SegmentEnd::Closed;
        }
        let rest = self.buf.split().freeze();
        if !rest.is_empty() && conn.queue_chunk(rest).is_err() {
            return SegmentEnd::Failed(Failure::Unread);
        }
        SegmentEnd::Complete
    }

    /// Returns whether a response that ended was cut before its first event: a generation, and the rest
    /// of one, has at least one, and an end of the connection alone does not show that there was none.
    fn is_cut_at_start(&self, framing: Framing) -> bool {
        framing == Framing::Close && !self.has_events
    }

    /// Returns whether the response ended with its connection because the engine crashed, which looks like
    /// a whole stream if it happens between two events. An engine that is leaving may end after its last
    /// stream.
    async fn is_cut_by_crash(&self) -> bool {
        self.segment.response.out.framing() == Framing::Close
            && self.migration.is_none()
            && self.segment.run.host().has_crashed(self.gw).await
    }

    /// Sends the complete events in the buffer to the caller, skipping repeated ones.
    fn forward_events(&mut self, conn: &mut Inbound) -> Result<(), Failure> {
        let mut out = BytesMut::new();
        let mut events = 0;
        while let Some(event) = self.scanner.scan(&self.buf) {
            let bytes = self.buf.split_to(event.len);
            match self.sequence.add(&event) {
                EventOrder::Next => {
                    events += u32::from(!event.is_comment);
                    out.unsplit(bytes);
                }
                EventOrder::Repeated => {}
                EventOrder::Gap => return Err(Failure::Gap),
            }
        }
        self.can_continue.set(self.sequence.can_continue());
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(Failure::Cut(Broken::Malformed(Fault::EventSize)));
        }
        if events > 0 {
            self.record_events(events);
        }
        let mut sent = 0;
        if !out.is_empty() {
            sent = conn.queue_chunk(out.freeze()).map_err(|_| Failure::Unread)?;
        }
        self.holder.update(conn, self.buf.len(), sent);
        Ok(())
    }

    /// Records that the engine has sent events.
    fn record_events(&mut self, events: u32) {
        let now = clock::now();
        self.has_events = true;
        self.segment.guard.finish_prefill();
        self.segment.run.record_event();
        if self.stats.events == 0 {
            let first = now.saturating_duration_since(self.job.received);
            metrics::histogram!("first_event_seconds").record(first.as_secs_f64());
            let took = now.saturating_duration_since(self.segment.sent);
            pauses::record_wait(self.gw, self.job, took);
            let service = &self.job.service;
            self.stats.slowness = self.segment.record_prefill(self.gw, now, took, service);
        }
        pauses::record_pause(self.gw, now, self.job, &self.segment, self.stats.last_event);
        self.stats.record(self.job.received, now, events);
        let tokens = events.saturating_mul(self.job.engine().map_or(1, |e| e.event_tokens));
        self.used_tokens.set(self.used_tokens.get().saturating_add(tokens));
        if let Some(time) = self.timer.record(now, tokens) {
            self.gw.pool.borrow_mut().observe_token_time(now, self.segment.guard.key, time);
        }
    }

    /// Starts a migration if the engine is leaving and its service supports migration.
    fn start_migration(&mut self) {
        let (Some(id), Some(spec)) = (&self.job.meta.id, &self.job.spec) else { return };
        let can_migrate = spec.engine.as_ref().is_some_and(|e| e.can_migrate);
        if !can_migrate || !self.sequence.can_continue() {
            return;
        }
        let source = self.segment.guard.key;
        let pool = self.gw.pool.borrow();
        let Some(e) = pool.endpoints.get(source).filter(|e| e.is_leaving()) else { return };
        let (id, spec) = (id.clone(), spec.clone());
        let generation = RunningGeneration {
            id,
            service: self.job.service.clone(),
            spec,
            expected_tokens: self.job.expected_tokens(),
            source,
            address: e.listing.address,
            host: self.segment.run.host().clone(),
            centre: e.listing.centre.clone(),
            used_tokens: self.used_tokens.clone(),
            ended: self.ended.clone(),
            can_continue: self.can_continue.clone(),
            stopping: self.stopping.clone(),
        };
        let migration = migrate::migrate_generation(self.gw.clone(), generation);
        self.migration = Some(actix_rt::spawn(async move {
            let moved = task::run("migration", migration).await;
            moved.unwrap_or(MoveOutcome::Stay("migration task panicked"))
        }));
    }

    /// Continues the stream on the engine that the generation has migrated to.
    async fn resume(&mut self, conn: &mut Inbound) -> Result<Resumption, Failure> {
        let Some(migration) = self.migration.take() else {
            return Err(Failure::Cut(Broken::Early));
        };
        let outcome = tokio::select! {
            outcome = timeout(MOVE_OUTCOME_TIMEOUT, migration) => outcome,
            () = conn.closed() => return Err(Failure::Unread),
        };
        let (guard, handoff, permit) = match outcome {
            Ok(Ok(MoveOutcome::To(guard, handoff, permit))) => (guard, handoff, permit),
            Ok(Ok(MoveOutcome::Ended)) => return Ok(Resumption::Ended),
            Ok(Ok(MoveOutcome::Stay(why))) => return Err(Failure::Unmoved(why)),
            Ok(Err(_)) => return Err(Failure::Unmoved("migration task aborted")),
            Err(_) => return Err(Failure::Unmoved("migration timed out")),
        };
        self.drain(conn).await?;
        if !self.sequence.can_continue() {
            permit.release();
            return Err(Failure::Unmoved("the last event has no number"));
        }
        let last = self.sequence.last_id();
        let opened = begin::open_segment(self.gw, self.job, guard, Some(&handoff), last).await;
        permit.settle(opened.as_ref().is_err_and(|e| e.is_undelivered()));
        let segment = opened.map_err(Failure::Refused)?;
        if !segment.response.is_stream() {
            return Err(Failure::Failed(segment.response.info.status.as_u16()));
        }
        let runs = self.segment.runs;
        self.continue_on(Segment { runs, ..segment });
        self.stats.moves += 1;
        metrics::counter!("moves_total").increment(1);
        Ok(Resumption::Continued)
    }

    /// Goes on with the response of another engine. An event that the previous one left incomplete
    /// is dropped.
    fn continue_on(&mut self, segment: Segment) {
        self.buf.clear();
        self.scanner = EventScanner::default();
        self.has_events = false;
        self.sequence.continue_elsewhere();
        self.stopping = Rc::default();
        self.segment = segment;
        self.timer = TokenTimer::default();
    }

    /// Relays the last events of the engine that has stopped the generation.
    async fn drain(&mut self, conn: &mut Inbound) -> Result<(), Failure> {
        while let Ok(Ok(Some(part))) =
            timeout(DRAIN_TIMEOUT, self.segment.response.out.read_chunk()).await
        {
            self.buf.extend_from_slice(&part);
            self.forward_events(conn)?;
        }
        Ok(())
    }
}
