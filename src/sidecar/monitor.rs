//! Load reports and cache events of a model engine, and health checks of a plain service.

use super::documents::{self, CacheEvent, Fault, FaultLog, LoadReport};
use super::engine::{CallError, call, read_document};
use super::{Sidecar, finish, limits};
use crate::board::{Engine, Job, JobKey, Phase, SidecarBoard};
use crate::clock;
use crate::event::Kind;
use crate::frame::{Crash, Finish, Refusal};
use crate::id::PartId;
use crate::platform;
use crate::quarantine::SOUND_TIME;
use crate::settings::EndpointKind;
use actix_http::Method;
use bytes::Bytes;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Delay between two load reports or health checks.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Number of load reports after which the cache events are read.
const REPORTS_PER_CACHE_READ: u32 = 5;
/// Total weight of consecutive misses at which the endpoint counts as lost;
/// [`Monitor::record_miss`] weighs each of them.
const MAX_MISSES: u32 = 5;
/// Maximum number of contents, and of parts, recorded with a crash.
const MAX_CRASH_CONTENTS: usize = 256;
/// Maximum number of cached prefixes kept for reports.
const MAX_PREFIXES: usize = 256;

/// Monitors the endpoint for as long as the process runs.
pub async fn run(s: Rc<Sidecar>) {
    let mut monitor = Monitor::default();
    loop {
        match &s.endpoint.kind {
            EndpointKind::Engine(_) => monitor.check_engine(&s).await,
            EndpointKind::Plain(_) => monitor.check_service(&s).await,
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// State of the monitor between two load reports or health checks.
#[derive(Debug, Default)]
struct Monitor {
    /// Boot identifier in the last load report; another one means that the engine restarted.
    boot: Option<Arc<str>>,
    /// Total weight of the misses since the last success.
    misses: u32,
    /// Load reports received.
    reports: u32,
    /// Highest sequence number of a cache event received.
    seq: u64,
    /// Cached prefixes, each with the sequence number of its event.
    prefixes: HashMap<u32, u64>,
    /// What could not be read of the engine's documents.
    faults: FaultLog,
}

impl Monitor {
    async fn check_engine(&mut self, s: &Rc<Sidecar>) {
        match read_load_report(s).await {
            Ok(body) => {
                let mut faults = Vec::new();
                let report = documents::read_load(&body, &mut faults);
                let is_used = report.is_some_and(|report| self.apply_report(s, report));
                self.record_faults(s, &faults, is_used);
                if !is_used {
                    return self.record_miss(s, false);
                }
                self.misses = 0;
                self.reports += 1;
                if self.reports.is_multiple_of(REPORTS_PER_CACHE_READ) {
                    self.read_cache(s).await;
                }
            }
            Err(is_refused) => self.record_miss(s, is_refused),
        }
    }

    async fn check_service(&mut self, s: &Rc<Sidecar>) {
        match call(s, Method::GET, "/healthz", Bytes::new()).await {
            Ok((head, _)) if head.status.is_success() => {
                self.misses = 0;
                limits::record_check(s, platform::parse_limit(head.headers()));
                s.board.borrow_mut().engine.alive = true;
            }
            Ok(_) => self.record_miss(s, false),
            Err(e) => self.record_miss(s, e == CallError::Unreached),
        }
    }

    fn record_miss(&mut self, s: &Rc<Sidecar>, is_refused: bool) {
        // A timeout may come from a stalled network, so it weighs 1, like other failures after
        // the connection was made. A failed connection shows that the endpoint is down, so two of
        // them suffice.
        self.misses += if is_refused { MAX_MISSES.div_ceil(2) } else { 1 };
        if self.misses >= MAX_MISSES && s.board.borrow().engine.alive {
            record_loss(s);
        }
    }

    /// Records what could not be read of a document; `is_used` tells whether the rest is used.
    fn record_faults(&mut self, s: &Sidecar, faults: &[Fault], is_used: bool) {
        for fault in faults {
            fault.count();
            if self.faults.record(fault, is_used) {
                let detail = format_args!("used={is_used} {fault}");
                s.process.event(Kind::EngineUnreadable, s.engine, detail);
            }
        }
    }

    /// Applies a load report; returns whether it says enough to use the engine.
    fn apply_report(&mut self, s: &Rc<Sidecar>, report: LoadReport) -> bool {
        let is_known = self.boot.is_some() && report.boot.is_some();
        let is_same = is_known && self.boot == report.boot;
        if is_known && !is_same {
            // A loss that the monitor has noticed is recorded already.
            let is_new = s.board.borrow().engine.alive;
            if is_new {
                record_loss(s);
            }
            self.prefixes.clear();
            self.seq = 0;
            self.faults = FaultLog::default();
        }
        // Without an identifier, only a loss tells of a restart.
        self.boot = report.boot.clone().or(self.boot.take());
        let mut board = s.board.borrow_mut();
        let is_back = !board.engine.alive;
        let last = (is_same || !is_back).then_some(&board.engine);
        let Some(engine) = report.into_engine(last) else { return false };
        if is_back {
            s.process.event(Kind::EngineBack, s.engine, "");
        }
        let (gap, prefixes) = (board.engine.gap, self.prefixes.keys().copied().collect());
        board.engine = Engine { gap, prefixes, ..engine };
        drop(board);
        s.wake.notify_one();
        if is_back {
            s.polls.flush_all();
        }
        true
    }

    /// Applies new cache events of the engine. Events may be late or missing, so the prefixes are
    /// hints only.
    async fn read_cache(&mut self, s: &Sidecar) {
        let path = format!("/v1/cache_events?since={}", self.seq);
        let Ok((_, body)) = read_document(s, &path).await else { return };
        let mut faults = Vec::new();
        for CacheEvent { seq, change } in documents::read_cache_events(&body, &mut faults) {
            self.seq = self.seq.max(seq);
            match change {
                Some((prefix, true)) => drop(self.prefixes.insert(prefix, seq)),
                Some((prefix, false)) => drop(self.prefixes.remove(&prefix)),
                None => {}
            }
        }
        self.record_faults(s, &faults, true);
        while self.prefixes.len() > MAX_PREFIXES {
            let oldest = self.prefixes.iter().min_by_key(|(_, seq)| **seq).map(|(p, _)| *p);
            if let Some(p) = oldest {
                self.prefixes.remove(&p);
            }
        }
    }
}

/// Fetches a load report; the error is whether the connection could not be established.
async fn read_load_report(s: &Sidecar) -> Result<Bytes, bool> {
    let read = read_document(s, "/v1/load").await;
    let (head, body) = read.map_err(|e| e == CallError::Unreached)?;
    limits::record_check(s, platform::parse_limit(head.headers()));
    Ok(body)
}

/// Returns the shared parts of the running generations that may have crashed the engine: those
/// that have not sent tokens for a while.
fn accused_parts(board: &SidecarBoard) -> Vec<PartId> {
    let is_sound = |j: &Job| j.begun.is_some_and(|begun| j.last_active >= begun + SOUND_TIME);
    let suspects = board.in_phase(Phase::Running).filter(|(_, j)| !is_sound(j));
    let mut parts: Vec<PartId> = suspects.flat_map(|(_, j)| j.start.parts.clone()).collect();
    parts.sort();
    parts.dedup();
    parts.truncate(MAX_CRASH_CONTENTS);
    parts
}

/// Records the loss of the endpoint: ends its generations, and records a crash with the contents
/// that were running.
fn record_loss(s: &Rc<Sidecar>) {
    let (started, queued) = {
        let mut board = s.board.borrow_mut();
        board.engine.alive = false;
        board.engine.prefixes.clear();
        let number = board.crashes.len() as u32 + 1;
        let has_started = |p: Phase| matches!(p, Phase::Running | Phase::Held);
        let running = board.in_phase(Phase::Running).map(|(_, j)| j.start.fingerprint);
        let running: Vec<_> = running.take(MAX_CRASH_CONTENTS).collect();
        let parts = accused_parts(&board);
        let started = board.jobs.iter().filter(|(_, j)| has_started(j.phase)).map(|(k, _)| k);
        let started: Vec<JobKey> = started.collect();
        let queued: Vec<JobKey> = board.in_phase(Phase::Queued).map(|(k, _)| k).collect();
        s.process.event(Kind::EngineLost, s.engine, format_args!("running={}", running.len()));
        if !running.is_empty() {
            board.crashes.push((clock::now(), Crash { number, running, parts, age: 0 }));
        }
        (started, queued)
    };
    for key in started {
        finish(s, key, Finish::Lost);
    }
    for key in queued {
        finish(s, key, Finish::NotRun(Refusal::Down));
    }
    s.polls.flush_all();
}
