//! Live migration of a running generation away from an engine that is leaving.
//!
//! The memory is copied once while the generation runs. A second copy, of what has been added
//! since, stops the generation, which then resumes on the target engine.

use super::retries::{self, Permit};
use super::transfer::{Answer, Grant, RunningGeneration, TransferClient};
use super::{Gateway, WorkGuard};
use crate::clock;
use crate::escape::log_value;
use crate::evacuate::{self, ShutdownNotice};
use crate::event::Kind;
use crate::platform::{self, CopyOutcome, Handoff};
use crate::pool::{Endpoint, PoolKey};
use crate::task;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time for a copy, including its wait behind other copies.
const COPY_TIMEOUT: Duration = Duration::from_millis(4000);
/// Interval between attempts of a copy that could not start.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Interval between requests for the links while they are busy.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(8);
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

/// Duration of each phase of a migration.
#[derive(Debug, Default, Clone, Copy)]
struct PhaseTimes {
    /// Wait until the first copy starts.
    hold: Duration,
    /// First copy, made while the generation runs.
    first: Duration,
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
    To(WorkGuard, Handoff, Permit),
    /// The generation ended on its source before it was stopped.
    Ended,
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
            MoveOutcome::To(guard, handoff, _) => {
                let pool = self.gw.pool.borrow();
                let to = pool.endpoints.get(guard.key).map(|e| e.listing.address);
                (Kind::MoveDone, format!("to={to:?} handle={}", log_value(&handoff.handle)))
            }
            MoveOutcome::Ended => {
                (Kind::MoveFailed, format!("why=\"ended\" over={}", generation.ended.get()))
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
        let mut client = TransferClient::new(&self.gw, &self.generation);
        while clock::now() < self.started + MOVE_WINDOW && tried.len() < MAX_TARGETS {
            if self.generation.ended.get() {
                return MoveOutcome::Ended;
            }
            let deadline = self.last_copy_deadline().await;
            let grant = match client.request(&self.generation, deadline, &tried).await {
                Answer::Granted(grant) => grant,
                Answer::Wait => {
                    tokio::time::sleep(super::jitter(LINK_POLL_INTERVAL)).await;
                    continue;
                }
                Answer::TooLate => return MoveOutcome::Stay("not enough time left for a copy"),
            };
            let since = clock::now();
            self.times.hold = since.saturating_duration_since(self.started);
            match self.copy(grant.to, false).await {
                Ok(CopyOutcome::Done(first)) => {
                    let now = clock::now();
                    self.times.first = now.saturating_duration_since(since);
                    if self.is_evacuated(grant.guard.key) {
                        tried.push(grant.guard.key);
                        task::spawn("free", free_copy(self.gw.clone(), first));
                        continue;
                    }
                    let outcome = self.final_copy(grant, first, deadline).await;
                    self.times.last = clock::now().saturating_duration_since(now);
                    return outcome;
                }
                Ok(CopyOutcome::Absent | CopyOutcome::Busy) => {
                    drop(grant);
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
                Ok(CopyOutcome::NoRoom(_)) => tried.push(grant.guard.key),
                Err(e) => {
                    log::debug!(
                        "copying generation {} to {} failed: {e}",
                        self.generation.id,
                        grant.to
                    );
                    tried.push(grant.guard.key);
                }
            }
        }
        MoveOutcome::Stay("no engine accepted the copy")
    }

    /// Returns whether the data centre of a target has been evacuated since its choice.
    fn is_evacuated(&self, target: PoolKey) -> bool {
        self.gw.pool.borrow().endpoints.get(target).is_some_and(Endpoint::is_evacuated)
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

    /// Waits until the generation may be sent to another engine, which counts as a retry; `None` if
    /// that is not before the deadline. Until then it goes on where it is.
    async fn wait_for_permit(&self, deadline: Instant) -> Option<Permit> {
        let generation = &self.generation;
        loop {
            let permit = retries::try_permit(&self.gw, &generation.service).await;
            let is_over = generation.ended.get() || clock::now() >= deadline;
            if permit.is_some() || is_over {
                let id = Some(&generation.id);
                retries::record(&self.gw, &generation.service, id, permit.as_ref());
                return permit.map(Permit::Retry);
            }
            tokio::time::sleep(super::jitter(RETRY_INTERVAL)).await;
        }
    }

    /// Makes the last copy, of what was added since the first one. The generation pauses for it.
    async fn final_copy(&self, grant: Grant, first: Handoff, deadline: Instant) -> MoveOutcome {
        let Some(permit) = self.wait_for_permit(deadline).await else {
            task::spawn("free", free_copy(self.gw.clone(), first));
            return MoveOutcome::Stay("no retry is allowed in time");
        };
        let outcome = loop {
            if self.generation.ended.get() {
                break MoveOutcome::Ended;
            }
            if !self.generation.can_continue.get() {
                break MoveOutcome::Stay("the last event has no number");
            }
            self.generation.stopping.set(true);
            match self.copy(grant.to, true).await {
                Ok(CopyOutcome::Done(handoff)) => {
                    return MoveOutcome::To(grant.guard, handoff, permit);
                }
                Ok(CopyOutcome::Busy) => tokio::time::sleep(RETRY_INTERVAL).await,
                Ok(CopyOutcome::Absent) => break self.absent().await,
                Ok(CopyOutcome::NoRoom(_)) if self.is_evacuated(self.generation.source) => {
                    break MoveOutcome::Stay(
                        "no memory on the target, and the source is evacuated",
                    );
                }
                // The generation has stopped. The source holds its memory and still serves.
                Ok(CopyOutcome::NoRoom(Some(handoff))) => {
                    let guard =
                        WorkGuard::new(&self.gw, self.generation.source, self.generation.work());
                    return MoveOutcome::To(guard, handoff, permit);
                }
                Ok(CopyOutcome::NoRoom(None)) => {
                    break MoveOutcome::Stay("no memory on the target for the last copy");
                }
                Err(e) => {
                    log::debug!("last copy of generation {} failed: {e}", self.generation.id);
                    break MoveOutcome::Stay("last copy failed");
                }
            }
        };
        permit.release();
        // The first copy holds memory on the target for seconds if it is not freed.
        task::spawn("free", free_copy(self.gw.clone(), first));
        outcome
    }

    /// Returns the outcome for a generation that its source does not know. One that has started again
    /// does not know the generations that its earlier process broke off.
    async fn absent(&self) -> MoveOutcome {
        if self.generation.host.is_restarted(&self.gw).await {
            MoveOutcome::Stay("the engine has started again")
        } else {
            MoveOutcome::Ended
        }
    }
}

async fn free_copy(gw: Rc<Gateway>, copy: Handoff) {
    if let Err(e) = platform::free_copy(&copy, &gw.codec, RELEASE_TIMEOUT).await {
        log::debug!("freeing copy {copy} failed: {e}");
    }
}
