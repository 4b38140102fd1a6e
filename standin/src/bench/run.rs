//! Runs one cell of the benchmark.

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

/// Length of the warm-up before the measured window.
const WARMUP_TIME: Duration = Duration::from_secs(10);
/// Time after the window within which streams have to end.
const DRAIN_TIME: Duration = Duration::from_secs(8);
/// Number of threads that send generation requests.
const CALLER_THREADS: usize = 3;
/// Number of entries in the fleet.
const ENTRY_COUNT: usize = 3;
/// Maximum number of retries of a refused request.
const MAX_RETRIES: u32 = 3;
/// Time between two tokens beyond which a reader perceives the stream as stalled.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(200);
/// Rate of calls that must not run more than once, sent beside the streams.
const CALLS_PER_SECOND: f64 = 4.0;
/// Maximum number of times that a stream is resumed.
const MAX_RESUMES: u32 = 5;

/// Combination of workload, policy, load and seed that one run measures.
#[derive(Debug, Clone, Copy)]
pub struct Cell {
    /// Workload to run.
    pub workload: Workload,
    /// Policy of placement and admission.
    pub policy: Policy,
    /// Load as a share of [`Workload::capacity`].
    pub load: f64,
    /// Length of the measured window.
    pub window: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Whether processes are restarted and paused during the window.
    pub faults: bool,
}

impl Cell {
    /// Starts a fleet, runs the cell on it and returns its row.
    pub fn run(&self, binary: &Path) -> Row {
        let mut fleet = self.start_fleet(binary);
        let arrivals: Arc<Vec<Arrival>> =
            Arc::new(self.workload.arrivals(self.load, WARMUP_TIME + self.window, self.seed));
        let entries: Arc<Vec<SocketAddr>> =
            Arc::new((0..ENTRY_COUNT).map(|n| fleet.entry_address(n)).collect());
        let start = clock::now();
        let load = LoadGenerator { start, entries, arrivals, cell: *self };
        let streams: Vec<_> = (0..CALLER_THREADS)
            .map(|n| {
                let load = load.clone();
                thread::spawn(move || load.run_streams(n))
            })
            .collect();
        let calls = {
            let load = load.clone();
            thread::spawn(move || load.run_calls())
        };
        thread::sleep((start + WARMUP_TIME).saturating_duration_since(clock::now()));
        let before = engine_counts(&fleet);
        if self.faults {
            self.inject_faults(&mut fleet, start);
        }
        let mut totals = Totals::default();
        for t in streams {
            totals.add(t.join().expect("a thread of callers panicked"));
        }
        totals.add(calls.join().expect("the thread of calls panicked"));
        self.make_row(&fleet, before, totals)
    }

    fn start_fleet(&self, binary: &Path) -> Fleet {
        let (model, n, mut params) = self.workload.engines();
        params.capacity *= self.policy.memory_factor();
        let plan = Plan {
            entries: ENTRY_COUNT,
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
            fleet.submit(self.workload.config(), 0).0 == 0 && fleet.wait_all_ready(1).await
        });
        assert!(is_ready, "the fleet did not become ready; logs in {}", fleet.log_dir().display());
        fleet
    }

    /// Adds the counts of engines and plain services to those of callers.
    fn make_row(&self, fleet: &Fleet, before: (u64, u64), mut totals: Totals) -> Row {
        let (preemptions, cancels) = engine_counts(fleet);
        totals.preemptions = preemptions.saturating_sub(before.0);
        totals.holds = cancels.saturating_sub(before.1);
        let run_counts = fleet.call_log.counts();
        totals.twice = run_counts.values().filter(|n| **n > 1).count() as u64;
        let has_run = |body: &String| run_counts.keys().any(|k| k.ends_with(body.as_str()));
        totals.false_not_run = totals.not_run.iter().filter(|b| has_run(b)).count() as u64;
        Row { cell: *self, totals }
    }

    /// Restarts an engine, a sidecar and an entry, and pauses another sidecar, at equal intervals
    /// within the window.
    fn inject_faults(&self, fleet: &mut Fleet, start: Instant) {
        let step = self.window / 6;
        for n in 0..5 {
            let at = start + WARMUP_TIME + step * (n + 1);
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

/// Returns the preemptions and cancellations of all engines so far.
fn engine_counts(fleet: &Fleet) -> (u64, u64) {
    let engines = (0..fleet.endpoints.len()).filter_map(|ix| fleet.engine(ix));
    let counts = engines.map(|e| e.counts());
    counts.fold((0, 0), |(p, c), n| (p + n.preemptions, c + n.cancels))
}

/// Sends the requests of a cell.
#[derive(Debug, Clone)]
struct LoadGenerator {
    start: Instant,
    entries: Arc<Vec<SocketAddr>>,
    arrivals: Arc<Vec<Arrival>>,
    cell: Cell,
}

impl LoadGenerator {
    /// Returns the end of the measured window.
    fn window_end(&self) -> Instant {
        self.start + WARMUP_TIME + self.cell.window
    }

    /// Sends the generation requests of a thread, which are spread evenly over the threads.
    fn run_streams(&self, thread: usize) -> Totals {
        let run = async {
            let mut tasks = Vec::new();
            for (n, a) in self.arrivals.iter().enumerate().skip(thread).step_by(CALLER_THREADS) {
                tokio::time::sleep_until((self.start + a.at).into()).await;
                let load = self.clone();
                tasks.push(actix_rt::spawn(async move { load.run_stream(n).await }));
            }
            let mut totals = Totals::default();
            let deadline = self.window_end() + DRAIN_TIME;
            for task in tasks {
                let left = deadline.saturating_duration_since(clock::now());
                match tokio::time::timeout(left, task).await {
                    Ok(Ok(t)) => totals.add(t),
                    Ok(Err(_)) | Err(_) => totals.unfinished += 1,
                }
            }
            totals
        };
        actix_rt::System::new().block_on(run)
    }

    /// Sends a generation request and reads its stream.
    async fn run_stream(&self, n: usize) -> Totals {
        let a = &self.arrivals[n];
        let mut totals = Totals::default();
        let is_measured = a.at >= WARMUP_TIME;
        totals.asked += u64::from(is_measured);
        let caller = Caller::new(&format!("key-{}", a.workspace));
        let sent = clock::now();
        let Some(mut stream) = self.open_stream(&caller, n, a, &mut totals, is_measured).await
        else {
            return totals;
        };
        let end = self.read_to_end(&caller, n, &mut stream).await;
        self.record(a, sent, &stream, &end, is_measured, &mut totals);
        totals
    }

    /// Sends a request, with retries at other entries after the time given by `retry-after`.
    async fn open_stream(
        &self,
        caller: &Caller,
        n: usize,
        a: &Arrival,
        totals: &mut Totals,
        is_measured: bool,
    ) -> Option<TokenStream> {
        for retry in 0..=MAX_RETRIES {
            let entry = self.entries[(n + retry as usize) % self.entries.len()];
            match caller.open(entry, a.service, &a.prompt, a.output.max(1) + 1000).await {
                Ok(stream) => return Some(stream),
                Err(RequestError::Refused(r)) => {
                    if is_measured {
                        *totals.refusals.entry(r.kind.to_string()).or_default() += 1;
                    }
                    let Some(wait) = r.retry_after.filter(|_| retry < MAX_RETRIES) else { break };
                    tokio::time::sleep(Duration::from_secs(wait)).await;
                }
                Err(RequestError::Invalid(_)) => {
                    totals.mixed += 1;
                    break;
                }
                Err(RequestError::Unreached) => {
                    tokio::time::sleep(Duration::from_millis(300)).await
                }
            }
        }
        totals.given_up += u64::from(is_measured);
        None
    }

    /// Reads a stream to its end, and resumes it through another entry after a lost connection.
    async fn read_to_end(&self, caller: &Caller, n: usize, stream: &mut TokenStream) -> StreamEnd {
        for resume in 0..=MAX_RESUMES {
            let end = stream.finish().await;
            if end != StreamEnd::Dropped || resume == MAX_RESUMES {
                return end;
            }
            let entry = self.entries[(n + 1 + resume as usize) % self.entries.len()];
            match caller.resume(entry, stream).await {
                Ok(rest) => *stream = rest,
                Err(RequestError::Refused(r)) => return StreamEnd::Broken(r.outcome.to_string()),
                Err(RequestError::Invalid(what)) => return StreamEnd::Invalid(what),
                Err(RequestError::Unreached) => {
                    tokio::time::sleep(Duration::from_millis(300)).await
                }
            }
        }
        StreamEnd::Dropped
    }

    /// Adds the result of a request to the totals.
    fn record(
        &self,
        a: &Arrival,
        sent: Instant,
        stream: &TokenStream,
        end: &StreamEnd,
        is_measured: bool,
        totals: &mut Totals,
    ) {
        for fault in stream.faults() {
            match fault {
                TokenFault::Lost => totals.lost += 1,
                TokenFault::Doubled => totals.doubled += 1,
                TokenFault::Mixed => totals.mixed += 1,
            }
        }
        totals.mixed += u64::from(matches!(end, StreamEnd::Invalid(_)));
        let is_complete =
            matches!(end, StreamEnd::Done(_)) && stream.tokens.len() == a.output as usize;
        if matches!(end, StreamEnd::Done(_)) && !is_complete {
            totals.lost += 1;
        }
        let (from, to) = (self.start + WARMUP_TIME, self.window_end());
        if is_complete {
            let in_window = stream.tokens.iter().filter(|t| t.at >= from && t.at < to).count();
            totals.tokens += in_window as u64;
        }
        if !is_measured {
            return;
        }
        if is_complete {
            totals.whole += 1
        } else {
            totals.broken += 1
        }
        *totals.by_workspace.entry(a.workspace).or_default() += stream.tokens.len() as u64;
        totals.record_first_token(stream.tokens.first().map(|t| t.at - sent));
        let gaps = stream.tokens.windows(2).map(|w| w[1].at - w[0].at);
        let mut stall = Duration::ZERO;
        for gap in gaps {
            totals.record_gap(gap);
            stall += gap.saturating_sub(STALL_THRESHOLD);
        }
        totals.record_stall(a.service, stall);
    }

    /// Sends calls that must not run more than once, each through two entries with the same
    /// idempotency key.
    fn run_calls(&self) -> Totals {
        let (service, method, path) = self.cell.workload.plain();
        let path = format!("/s/{service}{path}");
        let run = async {
            let mut totals = Totals::default();
            let mut n = 0u32;
            while clock::now() < self.window_end() {
                tokio::time::sleep(Duration::from_secs_f64(1.0 / CALLS_PER_SECOND)).await;
                n += 1;
                let caller = Caller::new(&format!("key-{}", n % 10));
                let body = format!("call-{}-{n};", self.cell.seed);
                let key = format!("k-{}-{n}", self.cell.seed);
                let mut outcome = Err(RequestError::Unreached);
                for attempt in 0..2 {
                    let entry = self.entries[(n as usize + attempt) % self.entries.len()];
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
