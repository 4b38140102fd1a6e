//! Moves one running generation away from an engine that is leaving.

use super::{Gateway, WorkGuard};
use crate::clock;
use crate::evacuate::{self, MoveRequest, ShutdownNotice};
use crate::event::Kind;
use crate::gossip::Work;
use crate::id::{DataCentre, RequestId, ServiceName, Tokens};
use crate::platform::{self, CopyOutcome, Handoff};
use crate::pool::PoolKey;
use crate::route::Service;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time for a copy, which may queue behind others.
const COPY_WAIT: Duration = Duration::from_millis(4000);
/// Time between two tries of a copy that could not begin.
const AGAIN_TIME: Duration = Duration::from_millis(60);
/// Time within which other instances have told of copies that they began.
const TOLD_TIME: Duration = Duration::from_millis(60);
/// Time between two looks at whether the links are free.
const LOOK_TIME: Duration = Duration::from_millis(10);
/// Time for an engine to tell how it stands.
const REPORT_WAIT: Duration = Duration::from_millis(200);
/// Time for an engine to free a copy.
const FORGET_WAIT: Duration = Duration::from_millis(500);
/// Time after which an engine's word speaks of its end.
const SECOND_LOOK: Duration = Duration::from_millis(620);
/// Engines that a generation is offered to.
const TRIES: usize = 6;
/// Time after the notice in which a move may still succeed.
const WORTHWHILE: Duration = Duration::from_secs(10);

/// A generation that may have to move.
#[derive(Debug, Clone)]
pub struct Running {
    /// Request.
    pub id: RequestId,
    /// Service.
    pub service: ServiceName,
    /// What the operators say of it.
    pub terms: Rc<Service>,
    /// Memory that it is expected to need to its end.
    pub tokens: Tokens,
    /// Memory that it takes now.
    pub size: Rc<Cell<u32>>,
    /// Engine that it runs on.
    pub source: PoolKey,
    /// Address of that engine.
    pub address: SocketAddr,
    /// Data centre of that engine.
    pub centre: DataCentre,
    /// Tells that the generation has ended.
    pub over: Rc<Cell<bool>>,
}

impl Running {
    /// Returns what it will need of the engine that it moves to, which reads nothing again.
    fn work(&self) -> Work {
        Work { open: 1, held: u64::from(self.tokens.0), unread: 0, copies: 0 }
    }
}

/// How long the parts of a move took.
#[derive(Debug, Default, Clone, Copy)]
struct Times {
    /// Copy while the generation ran.
    first: Duration,
    /// Time until the last copy began.
    hold: Duration,
    /// Copy of the rest, while the generation stood still.
    last: Duration,
}

impl std::fmt::Display for Times {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [first, hold, last] = [self.first, self.hold, self.last].map(|d| d.as_millis());
        write!(f, "first_ms={first} hold_ms={hold} last_ms={last}")
    }
}

/// What became of a move.
#[derive(Debug)]
pub enum Moved {
    /// The generation has stopped, and goes on from the memory at this engine.
    To(WorkGuard, Handoff),
    /// It runs on where it is, or has ended.
    Stay(&'static str),
}

/// One move under way.
struct Evacuation {
    gw: Rc<Gateway>,
    run: Running,
    begun: Instant,
    times: Times,
    /// What is known of the engine that leaves.
    notice: ShutdownNotice,
}

/// Copies a generation to another engine, then stops it there.
pub async fn evacuate(gw: Rc<Gateway>, run: Running) -> Moved {
    let begun = clock::now();
    gw.event(Kind::MoveBegun, &run.id, format_args!("source={}", run.address));
    let notice = ShutdownNotice { since: begun, remaining: None, reported: begun };
    let mut evacuation = Evacuation { gw, run, begun, times: Times::default(), notice };
    let moved = evacuation.run().await;
    evacuation.note(&moved);
    moved
}

impl Evacuation {
    fn note(&self, moved: &Moved) {
        let (run, times) = (&self.run, self.times);
        let (kind, what) = match moved {
            Moved::To(place, handoff) => {
                let pool = self.gw.pool.borrow();
                let to = pool.endpoints.get(place.key).map(|e| e.listing.address);
                (Kind::MoveDone, format!("to={to:?} handle={}", handoff.handle))
            }
            Moved::Stay(why) => (Kind::MoveFailed, format!("why={why:?} over={}", run.over.get())),
        };
        self.gw.event(kind, &run.id, format_args!("source={} {what} {times}", run.address));
    }

    async fn run(&mut self) -> Moved {
        let mut tried = Vec::new();
        self.look().await;
        tokio::time::sleep(evacuate::copy_delay(self.run.size.get())).await;
        while clock::now() < self.begun + WORTHWHILE && tried.len() < TRIES {
            if self.run.over.get() {
                return Moved::Stay("ended");
            }
            let Some((place, to)) = self.choose(&tried) else {
                tokio::time::sleep(AGAIN_TIME).await;
                tried.clear();
                continue;
            };
            let by = self.last_copy_by().await;
            let since = clock::now();
            let Some(links) = self.occupy(place.key, by) else {
                if since > by {
                    return Moved::Stay("no time left");
                }
                drop(place);
                tokio::time::sleep(super::jitter(LOOK_TIME * 2)).await;
                continue;
            };
            let copied = self.copy(to, false).await;
            drop(links);
            match copied {
                Ok(CopyOutcome::Done(first)) => {
                    self.times.first = clock::now().saturating_duration_since(since);
                    return self.finish(place, to, first).await;
                }
                Ok(CopyOutcome::Absent | CopyOutcome::Busy) => tokio::time::sleep(AGAIN_TIME).await,
                Ok(CopyOutcome::NoRoom(_)) => tried.push(place.key),
                Err(e) => {
                    log::debug!("copy of {} to {to}: {e}", self.run.id);
                    tried.push(place.key);
                }
            }
        }
        Moved::Stay("no engine took it")
    }

    async fn copy(&self, to: SocketAddr, last: bool) -> Result<CopyOutcome, platform::CallError> {
        let run = &self.run;
        platform::copy_memory(run.address, to, &run.id, last, &self.gw.codec, COPY_WAIT).await
    }

    /// Learns how long the engine has.
    async fn look(&mut self) {
        let report = platform::fetch_report(self.run.address, &self.gw.codec, REPORT_WAIT).await;
        self.notice.reported = clock::now();
        match report {
            Ok(r) => self.notice.remaining = r.leaves_in,
            Err(e) => log::debug!("report of {}: {e}", self.run.address),
        }
    }

    /// Returns when the last copy has to begin. What an engine says of itself is old, so one that
    /// did not know of its end at first is asked once more.
    async fn last_copy_by(&mut self) -> Instant {
        let is_due = clock::now() >= self.begun + SECOND_LOOK;
        if self.notice.remaining.is_none()
            && self.notice.reported < self.begun + SECOND_LOOK
            && is_due
        {
            self.look().await;
        }
        evacuate::last_copy_deadline(&self.notice)
    }

    fn choose(&self, tried: &[PoolKey]) -> Option<(WorkGuard, SocketAddr)> {
        let run = &self.run;
        let engine = run.terms.engine.as_ref()?;
        let mover = MoveRequest {
            source: run.source,
            service: &run.service,
            centre: &run.centre,
            held: u64::from(run.tokens.0),
        };
        let (key, to) = {
            let pool = self.gw.pool.borrow();
            let key = evacuate::choose(clock::now(), &pool, &mover, engine, tried)?;
            (key, pool.endpoints.get(key)?.listing.address)
        };
        Some((WorkGuard::new(&self.gw, key, run.work()), to))
    }

    /// Counts a copy on the links of both engines, if it ends in time there.
    fn occupy(&self, to: PoolKey, by: Instant) -> Option<[WorkGuard; 2]> {
        let keys = [self.run.source, to];
        let engine = self.run.terms.engine.as_ref()?;
        let copies = {
            let pool = self.gw.pool.borrow();
            let is_far = pool.endpoints.get(to)?.listing.centre != self.run.centre;
            let own = evacuate::link_tokens(self.run.size.get(), is_far);
            let now = clock::now();
            let queued = |key| pool.endpoints.get(key).map_or(0, |e| e.work().copies);
            let fits = |key| evacuate::can_start_copy(now, by, engine, queued(key), own);
            keys.into_iter().all(fits).then_some(own)?
        };
        let copy = Work { copies, ..Work::default() };
        Some(keys.map(|key| WorkGuard::new(&self.gw, key, copy)))
    }

    /// Tells whether the links of both engines are free of first copies.
    fn is_free(&self, to: PoolKey) -> bool {
        let pool = self.gw.pool.borrow();
        let copies = |key| pool.endpoints.get(key).map_or(0, |e| e.work().copies);
        copies(self.run.source) + copies(to) == 0
    }

    /// Stops the generation once the first copies of its neighbours should be through.
    async fn finish(&mut self, place: WorkGuard, to: SocketAddr, first: Handoff) -> Moved {
        let now = clock::now();
        // Others that were told of the notice at the same time have had time to say so.
        tokio::time::sleep(TOLD_TIME).await;
        while !self.is_free(place.key) && !self.run.over.get() {
            if clock::now() >= self.last_copy_by().await {
                break;
            }
            tokio::time::sleep(LOOK_TIME).await;
        }
        self.times.hold = clock::now().saturating_duration_since(now);
        let since = clock::now();
        let moved = self.stop(place, to, first).await;
        self.times.last = clock::now().saturating_duration_since(since);
        moved
    }

    async fn stop(&self, place: WorkGuard, to: SocketAddr, first: Handoff) -> Moved {
        loop {
            if self.run.over.get() {
                if let Err(e) = platform::free_copy(&first, &self.gw.codec, FORGET_WAIT).await {
                    log::debug!("copy of {} not freed: {e}", self.run.id);
                }
                return Moved::Stay("ended");
            }
            match self.copy(to, true).await {
                Ok(CopyOutcome::Done(handoff)) => return Moved::To(place, handoff),
                Ok(CopyOutcome::Busy) => tokio::time::sleep(AGAIN_TIME).await,
                Ok(CopyOutcome::Absent) => return Moved::Stay("ended"),
                // It has stopped and its memory lies at its source, which still serves.
                Ok(CopyOutcome::NoRoom(Some(handoff))) => {
                    let place = WorkGuard::new(&self.gw, self.run.source, self.run.work());
                    return Moved::To(place, handoff);
                }
                Ok(CopyOutcome::NoRoom(None)) => return Moved::Stay("no room for the last copy"),
                Err(e) => {
                    log::debug!("last copy of {}: {e}", self.run.id);
                    return Moved::Stay("last copy lost");
                }
            }
        }
    }
}
