//! Live migration of a running generation away from an engine that is leaving.
//!
//! The memory is copied once while the generation runs. A second copy, of what has been added
//! since, stops the generation, which then resumes on the target engine.

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

/// Longest time for a copy, including its wait behind other copies.
const COPY_TIMEOUT: Duration = Duration::from_millis(4000);
/// Interval between attempts of a copy that could not start.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Time within which other instances have announced the copies that they started.
const GOSSIP_DELAY: Duration = Duration::from_millis(60);
/// Interval between checks of whether the links are free.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for an engine's status report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait for an engine to free a copy.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after the notice from which an engine's status report, which lags behind, includes it.
const SECOND_REPORT_DELAY: Duration = Duration::from_millis(620);
/// Number of target engines at which a copy may fail before the migration is given up. The count
/// restarts when no untried engine is left.
const MAX_TARGETS: usize = 6;
/// Time after the notice in which a migration may still succeed.
const MOVE_WINDOW: Duration = Duration::from_secs(10);

/// A running generation to migrate.
#[derive(Debug, Clone)]
pub struct RunningGeneration {
    /// Id of the request, by which the engine knows the generation.
    pub id: RequestId,
    /// Service that the generation belongs to.
    pub service: ServiceName,
    /// Configuration of that service.
    pub spec: Rc<Service>,
    /// Engine memory that it is expected to need at its end.
    pub expected_tokens: Tokens,
    /// Tokens in the engine's memory now; updated while it runs.
    pub used_tokens: Rc<Cell<u32>>,
    /// Engine that it is running on.
    pub source: PoolKey,
    /// Address of that engine.
    pub address: SocketAddr,
    /// Data centre of that engine.
    pub centre: DataCentre,
    /// Set once the generation has ended.
    pub ended: Rc<Cell<bool>>,
}

impl RunningGeneration {
    /// Returns the load on the target engine, which does not have to read the prompt again.
    fn work(&self) -> Work {
        Work { open: 1, held: u64::from(self.expected_tokens.0), unread: 0, copies: 0 }
    }
}

/// Duration of each phase of a migration.
#[derive(Debug, Default, Clone, Copy)]
struct PhaseTimes {
    /// First copy, made while the generation runs.
    first: Duration,
    /// Wait between the two copies.
    hold: Duration,
    /// Last copy, of the remaining memory, while the generation is stopped.
    last: Duration,
}

impl std::fmt::Display for PhaseTimes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [first, hold, last] = [self.first, self.hold, self.last].map(|d| d.as_millis());
        write!(f, "first_ms={first} hold_ms={hold} last_ms={last}")
    }
}

/// Outcome of a migration.
#[derive(Debug)]
pub enum MoveOutcome {
    /// The generation has stopped and can be resumed on this engine, from this memory.
    To(WorkGuard, Handoff),
    /// The generation was not migrated, for the reason in the text.
    Stay(&'static str),
}

/// A migration in progress.
struct Migration {
    gw: Rc<Gateway>,
    generation: RunningGeneration,
    started: Instant,
    times: PhaseTimes,
    /// Shutdown notice of the source engine.
    notice: ShutdownNotice,
}

/// Copies a generation to another engine and stops it on its source.
pub async fn migrate_generation(gw: Rc<Gateway>, generation: RunningGeneration) -> MoveOutcome {
    let started = clock::now();
    gw.event(Kind::MoveBegun, &generation.id, format_args!("source={}", generation.address));
    let notice = ShutdownNotice { since: started, remaining: None, reported: started };
    let mut migration = Migration { gw, generation, started, times: PhaseTimes::default(), notice };
    let outcome = migration.execute().await;
    migration.record(&outcome);
    outcome
}

impl Migration {
    fn record(&self, outcome: &MoveOutcome) {
        let (generation, times) = (&self.generation, self.times);
        let (kind, result) = match outcome {
            MoveOutcome::To(guard, handoff) => {
                let pool = self.gw.pool.borrow();
                let to = pool.endpoints.get(guard.key).map(|e| e.listing.address);
                (Kind::MoveDone, format!("to={to:?} handle={}", handoff.handle))
            }
            MoveOutcome::Stay(why) => {
                (Kind::MoveFailed, format!("why={why:?} over={}", generation.ended.get()))
            }
        };
        self.gw.event(
            kind,
            &generation.id,
            format_args!("source={} {result} {times}", generation.address),
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
            let Some((guard, to)) = self.choose_target(&tried) else {
                tokio::time::sleep(RETRY_INTERVAL).await;
                tried.clear();
                continue;
            };
            let deadline = self.last_copy_deadline().await;
            let since = clock::now();
            let Some(links) = self.reserve_links(guard.key, deadline) else {
                if since > deadline {
                    return MoveOutcome::Stay("not enough time left for a copy");
                }
                drop(guard);
                tokio::time::sleep(super::jitter(LINK_POLL_INTERVAL * 2)).await;
                continue;
            };
            let result = self.copy(to, false).await;
            drop(links);
            match result {
                Ok(CopyOutcome::Done(first)) => {
                    self.times.first = clock::now().saturating_duration_since(since);
                    return self.finish(guard, to, first).await;
                }
                Ok(CopyOutcome::Absent | CopyOutcome::Busy) => {
                    tokio::time::sleep(RETRY_INTERVAL).await
                }
                Ok(CopyOutcome::NoRoom(_)) => tried.push(guard.key),
                Err(e) => {
                    log::debug!("copying generation {} to {to} failed: {e}", self.generation.id);
                    tried.push(guard.key);
                }
            }
        }
        MoveOutcome::Stay("no engine accepted the copy")
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

    /// Asks the source engine how much time it has left.
    async fn poll_report(&mut self) {
        let report =
            platform::fetch_report(self.generation.address, &self.gw.codec, REPORT_TIMEOUT).await;
        self.notice.reported = clock::now();
        match report {
            Ok(r) => self.notice.remaining = r.leaves_in,
            Err(e) => log::debug!("no status report from engine {}: {e}", self.generation.address),
        }
    }

    /// Returns when the last copy has to start. Status reports lag, so an engine whose first report
    /// did not include its remaining time is asked a second time.
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
        let request = MoveRequest {
            source: generation.source,
            service: &generation.service,
            centre: &generation.centre,
            held: u64::from(generation.expected_tokens.0),
        };
        let (key, to) = {
            let pool = self.gw.pool.borrow();
            let key = evacuate::choose(clock::now(), &pool, &request, engine, tried)?;
            (key, pool.endpoints.get(key)?.listing.address)
        };
        Some((WorkGuard::new(&self.gw, key, generation.work()), to))
    }

    /// Counts a copy on the links of both engines; `None` if it would not finish by `deadline`.
    fn reserve_links(&self, to: PoolKey, deadline: Instant) -> Option<[WorkGuard; 2]> {
        let keys = [self.generation.source, to];
        let engine = self.generation.spec.engine.as_ref()?;
        let copies = {
            let pool = self.gw.pool.borrow();
            let is_remote = pool.endpoints.get(to)?.listing.centre != self.generation.centre;
            let own = evacuate::link_tokens(self.generation.used_tokens.get(), is_remote);
            let now = clock::now();
            let queued = |key| pool.endpoints.get(key).map_or(0, |e| e.work().copies);
            let fits = |key| evacuate::can_start_copy(now, deadline, engine, queued(key), own);
            keys.into_iter().all(fits).then_some(own)?
        };
        let copy = Work { copies, ..Work::default() };
        Some(keys.map(|key| WorkGuard::new(&self.gw, key, copy)))
    }

    /// Returns whether no first copy is in progress on the links of either engine.
    fn has_free_links(&self, to: PoolKey) -> bool {
        let pool = self.gw.pool.borrow();
        let copies = |key| pool.endpoints.get(key).map_or(0, |e| e.work().copies);
        copies(self.generation.source) + copies(to) == 0
    }

    /// Makes the last copy, for which the generation pauses. To keep the pause short, the copy
    /// waits until first copies of other generations on the same links are complete, as far as time
    /// allows.
    async fn finish(&mut self, guard: WorkGuard, to: SocketAddr, first: Handoff) -> MoveOutcome {
        let now = clock::now();
        // Other instances see the notice at the same time: wait for the copies that they announce.
        tokio::time::sleep(GOSSIP_DELAY).await;
        while !self.has_free_links(guard.key) && !self.generation.ended.get() {
            if clock::now() >= self.last_copy_deadline().await {
                break;
            }
            tokio::time::sleep(LINK_POLL_INTERVAL).await;
        }
        self.times.hold = clock::now().saturating_duration_since(now);
        let since = clock::now();
        let outcome = self.final_copy(guard, to, first).await;
        self.times.last = clock::now().saturating_duration_since(since);
        outcome
    }

    async fn final_copy(&self, guard: WorkGuard, to: SocketAddr, first: Handoff) -> MoveOutcome {
        loop {
            if self.generation.ended.get() {
                if let Err(e) = platform::free_copy(&first, &self.gw.codec, RELEASE_TIMEOUT).await {
                    log::debug!(
                        "freeing the copy of generation {} failed: {e}",
                        self.generation.id
                    );
                }
                return MoveOutcome::Stay("ended");
            }
            match self.copy(to, true).await {
                Ok(CopyOutcome::Done(handoff)) => return MoveOutcome::To(guard, handoff),
                Ok(CopyOutcome::Busy) => tokio::time::sleep(RETRY_INTERVAL).await,
                Ok(CopyOutcome::Absent) => return MoveOutcome::Stay("ended"),
                // The generation has stopped. The source holds its memory and still serves.
                Ok(CopyOutcome::NoRoom(Some(handoff))) => {
                    let guard =
                        WorkGuard::new(&self.gw, self.generation.source, self.generation.work());
                    return MoveOutcome::To(guard, handoff);
                }
                Ok(CopyOutcome::NoRoom(None)) => {
                    return MoveOutcome::Stay("no memory on the target for the last copy");
                }
                Err(e) => {
                    log::debug!("last copy of generation {} failed: {e}", self.generation.id);
                    return MoveOutcome::Stay("last copy failed");
                }
            }
        }
    }
}
