//! Runs one cell of the measurement.

use super::Policy;
use super::report::{Row, Totals};
use super::workload::{Arrival, Workload};
use crate::caller::{Caller, RequestError, StreamEnd, TokenFault, TokenStream};
use crate::fleet::{Fleet, Plan, Pool};
use skylarkthread::clock;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time of arrivals before the measured window.
const WARM: Duration = Duration::from_secs(10);
/// Time after the window for answers to end.
const DRAIN: Duration = Duration::from_secs(8);
/// Threads that callers run on.
const THREADS: usize = 3;
/// Entries.
const ENTRIES: usize = 3;
/// Times that a refused caller comes back.
const COMEBACKS: u32 = 3;
/// Gap past which a reader takes a stream for stalled.
pub const STALL: Duration = Duration::from_millis(200);
/// Calls a second that may not be repeated, beside the streams.
const CALL_RATE: f64 = 4.0;
/// Times that a broken stream is resumed.
const RESUMES: u32 = 5;

/// One cell.
#[derive(Debug, Clone, Copy)]
pub struct Cell {
    /// Workload.
    pub workload: Workload,
    /// Policy.
    pub policy: Policy,
    /// Share of capacity.
    pub load: f64,
    /// Measured time.
    pub window: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Whether faults happen.
    pub faults: bool,
}

impl Cell {
    /// Runs the cell on a fleet of its own.
    pub fn run(&self, binary: &Path) -> Row {
        let mut fleet = self.fleet(binary);
        let arrivals: Arc<Vec<Arrival>> =
            Arc::new(self.workload.arrivals(self.load, WARM + self.window, self.seed));
        let entries: Arc<Vec<SocketAddr>> =
            Arc::new((0..ENTRIES).map(|n| fleet.entry_address(n)).collect());
        let start = clock::now();
        let load = Load { start, entries, arrivals, cell: *self };
        let streams: Vec<_> = (0..THREADS)
            .map(|n| {
                let load = load.clone();
                thread::spawn(move || load.streams(n))
            })
            .collect();
        let calls = {
            let load = load.clone();
            thread::spawn(move || load.calls())
        };
        thread::sleep((start + WARM).saturating_duration_since(clock::now()));
        let before = counts(&fleet);
        if self.faults {
            self.break_things(&mut fleet, start);
        }
        let mut totals = Totals::default();
        for t in streams {
            totals.add(t.join().expect("a caller's thread ends"));
        }
        totals.add(calls.join().expect("the calls' thread ends"));
        self.finish(&fleet, before, totals)
    }

    fn fleet(&self, binary: &Path) -> Fleet {
        let (model, n, mut params) = self.workload.engines();
        params.capacity *= self.policy.memory_factor();
        let plan = Plan {
            entries: ENTRIES,
            pools: vec![Pool::Engines(model, n, params), Pool::Plain(self.workload.plain().0, 3)],
            placement: self.policy.placement(),
            admission: self.policy.admission(),
            ..Plan::default()
        };
        let fleet = Fleet::start(binary, &plan);
        let is_ready = actix_rt::System::new().block_on(async {
            let end = clock::now() + Duration::from_secs(10);
            while fleet.status(0).await.is_none() && clock::now() < end {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            fleet.submit(self.workload.text(), 0).0 == 0 && fleet.wait_all_ready(1).await
        });
        assert!(is_ready, "the fleet is ready; logs in {}", fleet.log_dir().display());
        fleet
    }

    fn finish(&self, fleet: &Fleet, before: (u64, u64), mut totals: Totals) -> Row {
        let (preemptions, cancels) = counts(fleet);
        totals.preemptions = preemptions.saturating_sub(before.0);
        totals.holds = cancels.saturating_sub(before.1);
        let ran = fleet.call_log.counts();
        totals.twice = ran.values().filter(|n| **n > 1).count() as u64;
        let has_run = |body: &String| ran.keys().any(|k| k.ends_with(body.as_str()));
        totals.false_not_run = totals.not_run.iter().filter(|b| has_run(b)).count() as u64;
        Row { cell: *self, totals }
    }

    /// Kills and replaces engines, a sidecar and an entry at even steps of the window.
    fn break_things(&self, fleet: &mut Fleet, start: Instant) {
        let step = self.window / 6;
        for n in 0..5 {
            let at = start + WARM + step * (n + 1);
            thread::sleep(at.saturating_duration_since(clock::now()));
            match n {
                0 => fleet.crash_backend(0),
                1 => fleet.restart_backend(0),
                2 => fleet.restart_sidecar(1),
                3 => fleet.restart_entry(0),
                _ => fleet.endpoints[2].sidecar.pause(),
            }
        }
        thread::sleep(step);
        fleet.endpoints[2].sidecar.resume();
    }
}

/// Returns preemptions and cancels of all engines so far.
fn counts(fleet: &Fleet) -> (u64, u64) {
    let engines = (0..fleet.endpoints.len()).filter_map(|ix| fleet.engine(ix));
    let counts = engines.map(|e| e.counts());
    counts.fold((0, 0), |(p, c), n| (p + n.preemptions, c + n.cancels))
}

#[derive(Debug, Clone)]
struct Load {
    start: Instant,
    entries: Arc<Vec<SocketAddr>>,
    arrivals: Arc<Vec<Arrival>>,
    cell: Cell,
}

impl Load {
    fn end(&self) -> Instant {
        self.start + WARM + self.cell.window
    }

    /// Runs every third arrival.
    fn streams(&self, thread: usize) -> Totals {
        let run = async {
            let mut tasks = Vec::new();
            for (n, a) in self.arrivals.iter().enumerate().skip(thread).step_by(THREADS) {
                tokio::time::sleep_until((self.start + a.at).into()).await;
                let load = self.clone();
                tasks.push(actix_rt::spawn(async move { load.stream(n).await }));
            }
            let mut totals = Totals::default();
            let limit = self.end() + DRAIN;
            for task in tasks {
                let left = limit.saturating_duration_since(clock::now());
                match tokio::time::timeout(left, task).await {
                    Ok(Ok(t)) => totals.add(t),
                    Ok(Err(_)) | Err(_) => totals.unfinished += 1,
                }
            }
            totals
        };
        actix_rt::System::new().block_on(run)
    }

    async fn stream(&self, n: usize) -> Totals {
        let a = &self.arrivals[n];
        let mut totals = Totals::default();
        let is_measured = a.at >= WARM;
        totals.asked += u64::from(is_measured);
        let caller = Caller::new(&format!("key-{}", a.workspace));
        let asked = clock::now();
        let Some(mut reading) = self.open(&caller, n, a, &mut totals, is_measured).await else {
            return totals;
        };
        let end = self.read(&caller, n, &mut reading).await;
        self.note(a, asked, &reading, &end, is_measured, &mut totals);
        totals
    }

    /// Asks, and comes back when told to.
    async fn open(
        &self,
        caller: &Caller,
        n: usize,
        a: &Arrival,
        totals: &mut Totals,
        is_measured: bool,
    ) -> Option<TokenStream> {
        for again in 0..=COMEBACKS {
            let entry = self.entries[(n + again as usize) % self.entries.len()];
            match caller.open(entry, a.service, &a.prompt, a.output.max(1) + 1000).await {
                Ok(reading) => return Some(reading),
                Err(RequestError::Refused(r)) => {
                    if is_measured {
                        *totals.refusals.entry(r.kind.to_string()).or_default() += 1;
                    }
                    let Some(wait) = r.retry_after.filter(|_| again < COMEBACKS) else { break };
                    tokio::time::sleep(Duration::from_secs(wait)).await;
                }
                Err(RequestError::Unreached) => {
                    tokio::time::sleep(Duration::from_millis(300)).await
                }
            }
        }
        totals.given_up += u64::from(is_measured);
        None
    }

    /// Reads to the end, through another entry where a connection breaks.
    async fn read(&self, caller: &Caller, n: usize, reading: &mut TokenStream) -> StreamEnd {
        for again in 0..=RESUMES {
            let end = reading.finish().await;
            if end != StreamEnd::Dropped || again == RESUMES {
                return end;
            }
            let entry = self.entries[(n + 1 + again as usize) % self.entries.len()];
            match caller.resume(entry, reading).await {
                Ok(rest) => *reading = rest,
                Err(RequestError::Refused(r)) => return StreamEnd::Broken(r.outcome.to_string()),
                Err(RequestError::Unreached) => {
                    tokio::time::sleep(Duration::from_millis(300)).await
                }
            }
        }
        StreamEnd::Dropped
    }

    fn note(
        &self,
        a: &Arrival,
        asked: Instant,
        reading: &TokenStream,
        end: &StreamEnd,
        is_measured: bool,
        totals: &mut Totals,
    ) {
        for fault in reading.faults() {
            match fault {
                TokenFault::Lost => totals.lost += 1,
                TokenFault::Doubled => totals.doubled += 1,
                TokenFault::Mixed => totals.mixed += 1,
            }
        }
        let is_whole =
            matches!(end, StreamEnd::Done(_)) && reading.tokens.len() == a.output as usize;
        if matches!(end, StreamEnd::Done(_)) && !is_whole {
            totals.lost += 1;
        }
        let (from, to) = (self.start + WARM, self.end());
        if is_whole {
            let inside = reading.tokens.iter().filter(|t| t.at >= from && t.at < to).count();
            totals.tokens += inside as u64;
        }
        if !is_measured {
            return;
        }
        if is_whole {
            totals.whole += 1
        } else {
            totals.broken += 1
        }
        *totals.by_workspace.entry(a.workspace).or_default() += reading.tokens.len() as u64;
        totals.first_token(reading.tokens.first().map(|t| t.at - asked));
        let gaps = reading.tokens.windows(2).map(|w| w[1].at - w[0].at);
        let mut stall = Duration::ZERO;
        for gap in gaps {
            totals.gap(gap);
            stall += gap.saturating_sub(STALL);
        }
        totals.stall(a.service, stall);
    }

    /// Sends calls that may not be repeated, each twice, through two entries.
    fn calls(&self) -> Totals {
        let (service, method, path) = self.cell.workload.plain();
        let path = format!("/s/{service}{path}");
        let run = async {
            let mut totals = Totals::default();
            let mut n = 0u32;
            while clock::now() < self.end() {
                tokio::time::sleep(Duration::from_secs_f64(1.0 / CALL_RATE)).await;
                n += 1;
                let caller = Caller::new(&format!("key-{}", n % 10));
                let body = format!("call-{}-{n};", self.cell.seed);
                let key = format!("k-{}-{n}", self.cell.seed);
                let mut outcome = Err(RequestError::Unreached);
                for again in 0..2 {
                    let entry = self.entries[(n as usize + again) % self.entries.len()];
                    outcome = caller.call(entry, method, &path, Some(&key), &body).await;
                }
                totals.calls += 1;
                totals.answered += u64::from(outcome.is_ok());
                if outcome.as_ref().err().is_some_and(|f| f.outcome() == "not-run") {
                    totals.not_run.push(body);
                }
            }
            totals
        };
        actix_rt::System::new().block_on(run)
    }
}
