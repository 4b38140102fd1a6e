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
const COPY_TIMEOUT: Duration = Duration::from_millis(4000);
/// Time between two tries of a copy that could not begin.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Time within which other instances have told of copies that they began.
const GOSSIP_DELAY: Duration = Duration::from_millis(60);
/// Time between two looks at whether the links are free.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for an engine to tell how it stands.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for an engine to free a copy.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an engine's word speaks of its end.
const SECOND_REPORT_DELAY: Duration = Duration::from_millis(620);
/// Engines that a generation is offered to.
const MAX_TARGETS: usize = 6;
/// Time after the notice in which a move may still succeed.
const MOVE_WINDOW: Duration = Duration::from_secs(10);

/// A generation that may have to move.
#[derive(Debug, Clone)]
pub struct RunningGeneration {
    /// Request.
    pub id: RequestId,
    /// Service.
    pub service: ServiceName,
    /// What the operators say of it.
    pub spec: Rc<Service>,
    /// Memory that it is expected to need to its end.
    pub expected_tokens: Tokens,
    /// Memory that it takes now.
    pub used_tokens: Rc<Cell<u32>>,
    /// Engine that it runs on.
    pub source: PoolKey,
    /// Address of that engine.
    pub address: SocketAddr,
    /// Data centre of that engine.
    pub centre: DataCentre,
    /// Tells that the generation has ended.
    pub ended: Rc<Cell<bool>>,
}

impl RunningGeneration {
    /// Returns what it will need of the engine that it moves to, which reads nothing again.
    fn work(&self) -> Work {
        Work { open: 1, held: u64::from(self.expected_tokens.0), unread: 0, copies: 0 }
    }
}

/// How long the parts of a move took.
#[derive(Debug, Default, Clone, Copy)]
struct PhaseTimes {
    /// Copy while the generation ran.
    first: Duration,
    /// Time until the last copy began.
    hold: Duration,
    /// Copy of the rest, while the generation stood still.
    last: Duration,
}

impl std::fmt::Display for PhaseTimes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [first, hold, last] = [self.first, self.hold, self.last].map(|d| d.as_millis());
        write!(f, "first_ms={first} hold_ms={hold} last_ms={last}")
    }
}

/// What became of a move.
#[derive(Debug)]
pub enum MoveOutcome {
    /// The generation has stopped, and goes on from the memory at this engine.
    To(WorkGuard, Handoff),
    /// It runs on where it is, or has ended.
    Stay(&'static str),
}

/// One move under way.
struct Migration {
    gw: Rc<Gateway>,
    generation: RunningGeneration,
    started: Instant,
    times: PhaseTimes,
    /// What is known of the engine that leaves.
    notice: ShutdownNotice,
}

/// Copies a generation to another engine, then stops it there.
pub async fn migrate_generation(gw: Rc<Gateway>, generation: RunningGeneration) -> MoveOutcome {
    let started = clock::now();
    gw.event(Kind::MoveBegun, &generation.id, format_args!("source={}", generation.address));
    let notice = ShutdownNotice { since: started, remaining: None, reported: started };
    let mut migration = Migration { gw, generation, started, times: PhaseTimes::default(), notice };
    let moved = migration.execute().await;
    migration.record(&moved);
    moved
}

impl Migration {
    fn record(&self, moved: &MoveOutcome) {
        let (generation, times) = (&self.generation, self.times);
        let (kind, what) = match moved {
            MoveOutcome::To(place, handoff) => {
                let pool = self.gw.pool.borrow();
                let to = pool.endpoints.get(place.key).map(|e| e.listing.address);
                (Kind::MoveDone, format!("to={to:?} handle={}", handoff.handle))
            }
            MoveOutcome::Stay(why) => {
                (Kind::MoveFailed, format!("why={why:?} over={}", generation.ended.get()))
            }
        };
        self.gw.event(
            kind,
            &generation.id,
            format_args!("source={} {what} {times}", generation.address),
        );
    }

    async fn execute(&mut self) -> MoveOutcome {
        let mut tried = Vec::new();
        self.poll_report().await;
        tokio::time::sleep(evacuate::copy_delay(self.generation.used_tokens.get())).await;
        while clock::now() < self.started + MOVE_WINDOW && tried.len() < MAX_TARGETS {
            if self.generation.ended.get() {
                return MoveOutcome::Stay("ended");
            }
            let Some((place, to)) = self.choose_target(&tried) else {
                tokio::time::sleep(RETRY_INTERVAL).await;
                tried.clear();
                continue;
            };
            let by = self.last_copy_deadline().await;
            let since = clock::now();
            let Some(links) = self.reserve_links(place.key, by) else {
                if since > by {
                    return MoveOutcome::Stay("no time left");
                }
                drop(place);
                tokio::time::sleep(super::jitter(LINK_POLL_INTERVAL * 2)).await;
                continue;
            };
            let copied = self.copy(to, false).await;
            drop(links);
            match copied {
                Ok(CopyOutcome::Done(first)) => {
                    self.times.first = clock::now().saturating_duration_since(since);
                    return self.finish(place, to, first).await;
                }
                Ok(CopyOutcome::Absent | CopyOutcome::Busy) => {
                    tokio::time::sleep(RETRY_INTERVAL).await
                }
                Ok(CopyOutcome::NoRoom(_)) => tried.push(place.key),
                Err(e) => {
                    log::debug!("copy of {} to {to}: {e}", self.generation.id);
                    tried.push(place.key);
                }
            }
        }
        MoveOutcome::Stay("no engine took it")
    }

    async fn copy(&self, to: SocketAddr, last: bool) -> Result<CopyOutcome, platform::CallError> {
        let generation = &self.generation;
        platform::copy_memory(
            generation.address,
            to,
            &generation.id,
            last,
            &self.gw.codec,
            COPY_TIMEOUT,
        )
        .await
    }

    /// Learns how long the engine has.
    async fn poll_report(&mut self) {
        let report =
            platform::fetch_report(self.generation.address, &self.gw.codec, REPORT_TIMEOUT).await;
        self.notice.reported = clock::now();
        match report {
            Ok(r) => self.notice.remaining = r.leaves_in,
            Err(e) => log::debug!("report of {}: {e}", self.generation.address),
        }
    }

    /// Returns when the last copy has to begin. What an engine says of itself is old, so one that
    /// did not know of its end at first is asked once more.
    async fn last_copy_deadline(&mut self) -> Instant {
        let is_due = clock::now() >= self.started + SECOND_REPORT_DELAY;
        if self.notice.remaining.is_none()
            && self.notice.reported < self.started + SECOND_REPORT_DELAY
            && is_due
        {
            self.poll_report().await;
        }
        evacuate::last_copy_deadline(&self.notice)
    }

    fn choose_target(&self, tried: &[PoolKey]) -> Option<(WorkGuard, SocketAddr)> {
        let generation = &self.generation;
        let engine = generation.spec.engine.as_ref()?;
        let mover = MoveRequest {
            source: generation.source,
            service: &generation.service,
            centre: &generation.centre,
            held: u64::from(generation.expected_tokens.0),
        };
        let (key, to) = {
            let pool = self.gw.pool.borrow();
            let key = evacuate::choose(clock::now(), &pool, &mover, engine, tried)?;
            (key, pool.endpoints.get(key)?.listing.address)
        };
        Some((WorkGuard::new(&self.gw, key, generation.work()), to))
    }

    /// Counts a copy on the links of both engines, if it ends in time there.
    fn reserve_links(&self, to: PoolKey, by: Instant) -> Option<[WorkGuard; 2]> {
        let keys = [self.generation.source, to];
        let engine = self.generation.spec.engine.as_ref()?;
        let copies = {
            let pool = self.gw.pool.borrow();
            let is_far = pool.endpoints.get(to)?.listing.centre != self.generation.centre;
            let own = evacuate::link_tokens(self.generation.used_tokens.get(), is_far);
            let now = clock::now();
            let queued = |key| pool.endpoints.get(key).map_or(0, |e| e.work().copies);
            let fits = |key| evacuate::can_start_copy(now, by, engine, queued(key), own);
            keys.into_iter().all(fits).then_some(own)?
        };
        let copy = Work { copies, ..Work::default() };
        Some(keys.map(|key| WorkGuard::new(&self.gw, key, copy)))
    }

    /// Tells whether the links of both engines are free of first copies.
    fn has_free_links(&self, to: PoolKey) -> bool {
        let pool = self.gw.pool.borrow();
        let copies = |key| pool.endpoints.get(key).map_or(0, |e| e.work().copies);
        copies(self.generation.source) + copies(to) == 0
    }

    /// Stops the generation once the first copies of its neighbours should be through.
    async fn finish(&mut self, place: WorkGuard, to: SocketAddr, first: Handoff) -> MoveOutcome {
        let now = clock::now();
        // Others that were told of the notice at the same time have had time to say so.
        tokio::time::sleep(GOSSIP_DELAY).await;
        while !self.has_free_links(place.key) && !self.generation.ended.get() {
            if clock::now() >= self.last_copy_deadline().await {
                break;
            }
            tokio::time::sleep(LINK_POLL_INTERVAL).await;
        }
        self.times.hold = clock::now().saturating_duration_since(now);
        let since = clock::now();
        let moved = self.final_copy(place, to, first).await;
        self.times.last = clock::now().saturating_duration_since(since);
        moved
    }

    async fn final_copy(&self, place: WorkGuard, to: SocketAddr, first: Handoff) -> MoveOutcome {
        loop {
            if self.generation.ended.get() {
                if let Err(e) = platform::free_copy(&first, &self.gw.codec, RELEASE_TIMEOUT).await {
                    log::debug!("copy of {} not freed: {e}", self.generation.id);
                }
                return MoveOutcome::Stay("ended");
            }
            match self.copy(to, true).await {
                Ok(CopyOutcome::Done(handoff)) => return MoveOutcome::To(place, handoff),
                Ok(CopyOutcome::Busy) => tokio::time::sleep(RETRY_INTERVAL).await,
                Ok(CopyOutcome::Absent) => return MoveOutcome::Stay("ended"),
                // It has stopped and its memory lies at its source, which still serves.
                Ok(CopyOutcome::NoRoom(Some(handoff))) => {
                    let place =
                        WorkGuard::new(&self.gw, self.generation.source, self.generation.work());
                    return MoveOutcome::To(place, handoff);
                }
                Ok(CopyOutcome::NoRoom(None)) => {
                    return MoveOutcome::Stay("no room for the last copy");
                }
                Err(e) => {
                    log::debug!("last copy of {}: {e}", self.generation.id);
                    return MoveOutcome::Stay("last copy lost");
                }
            }
        }
    }
}
