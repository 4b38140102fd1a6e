//! Replays recorded arrivals through the gate and a model of the engine in virtual time, and
//! compares the outcome with the snapshot of each trace.

use skylarkthread::board::{Engine, Job, JobKey, Phase, SidecarBoard};
use skylarkthread::clock;
use skylarkthread::frame::{Finish, Refusal, Start};
use skylarkthread::gate::{Action, Gate};
use skylarkthread::id::{Fingerprint, GenerationId, Incarnation, Nonce, Tokens};
use standin::engine::{Params, Scheduler};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Gap between tokens above which a stream counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(200);
/// Time for which a generation may be queued.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(7200);
/// Duration of one step of an idle engine.
const IDLE_STEP: Duration = Duration::from_millis(5);

/// One line of a trace.
#[derive(Debug, Clone)]
struct Arrival {
    at: Duration,
    service: String,
    workspace: usize,
    input: u32,
    output: u32,
}

fn parse_arrival(line: &str) -> Option<Arrival> {
    let mut fields = line.split_whitespace();
    Some(Arrival {
        at: Duration::from_millis(fields.next()?.parse().ok()?),
        service: fields.next()?.to_string(),
        workspace: fields.next()?.parse().ok()?,
        input: fields.next()?.parse().ok()?,
        output: fields.next()?.parse().ok()?,
    })
}

#[derive(Debug, Default)]
struct Outcome {
    begun: u32,
    ended: u32,
    refused: u32,
    expired: u32,
    preemptions: u32,
    holds: u32,
    /// Total stall time of each ended generation.
    stalls: Vec<Duration>,
    /// Times to the first token.
    first: Vec<Duration>,
}

struct Replay {
    start: Instant,
    now: Instant,
    gate: Gate,
    board: SidecarBoard,
    model: Scheduler,
    jobs: Vec<(JobKey, Arrival)>,
    /// Time of the latest token of each generation.
    last_token: Vec<Option<Instant>>,
    /// Total stall time of each generation so far.
    stalled: Vec<Duration>,
    outcome: Outcome,
}

impl Replay {
    fn new(open: bool) -> Self {
        let params = Params::default();
        let board = SidecarBoard {
            engine: Engine {
                alive: true,
                capacity: params.capacity,
                batch: params.max_batch as u32,
                prefill: params.prefill_time,
                loaded: vec![Arc::from("m+@v1")],
                ..Engine::default()
            },
            ..SidecarBoard::default()
        };
        let start = clock::now();
        Replay {
            start,
            now: start,
            gate: Gate { open },
            board,
            model: Scheduler::new(params),
            jobs: Vec::new(),
            last_token: Vec::new(),
            stalled: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn arrive(&mut self, a: &Arrival) {
        let start = Start {
            generation: GenerationId {
                instance: "e".parse().unwrap(),
                incarnation: Incarnation(1),
                nonce: Nonce(self.jobs.len() as u64),
            },
            service: a.service.parse().unwrap(),
            spec: Arc::from("m+@v1"),
            workspace: format!("w-{}", a.workspace).parse().unwrap(),
            weight: 1,
            rank: if a.service == "captions" { 9 } else { 4 },
            prompt: Arc::from(""),
            input: Tokens(a.input),
            limit: Tokens(a.output + 1000),
            fingerprint: Fingerprint(1),
            parts: Vec::new(),
            alone: false,
            left: QUEUE_TIMEOUT.as_millis() as u64,
        };
        if self.gate.admit(self.start + a.at, &self.board, &start).is_err() {
            self.outcome.refused += 1;
            return;
        }
        let arrived = self.start + a.at;
        let job = Job {
            phase: Phase::Queued,
            arrived,
            deadline: arrived + QUEUE_TIMEOUT,
            tokens: Vec::new(),
            last_active: arrived,
            last_read: arrived,
            prefilled: false,
            submissions: 0,
            begun: None,
            end_sent: false,
            start,
        };
        let key = self.board.jobs.insert(job);
        self.jobs.push((key, a.clone()));
        self.last_token.push(None);
        self.stalled.push(Duration::ZERO);
    }

    fn decide(&mut self) {
        self.board.jobs.values_mut().for_each(|j| j.last_read = self.now);
        for _ in 0..64 {
            let actions = self.gate.step(self.now, &mut self.board);
            if actions.is_empty() {
                break;
            }
            actions.into_iter().for_each(|a| self.apply(a));
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Begin(k) | Action::Continue(k) => {
                let job = &mut self.board.jobs[k];
                job.phase = Phase::Running;
                job.prefilled = false;
                let done = job.tokens.len() as u32;
                let n = job.start.generation.nonce.0 as usize;
                let (rank, input) = (u32::from(job.start.rank), job.start.input.0);
                self.outcome.begun += u32::from(done == 0);
                let output = self.jobs[n].1.output;
                self.model.add(&n.to_string(), rank, input, n as u32, output, done);
            }
            Action::Hold(k) => {
                let job = &mut self.board.jobs[k];
                job.phase = Phase::Held;
                self.outcome.holds += 1;
                self.model.remove(&job.start.generation.nonce.0.to_string());
            }
            Action::Refuse(k, refusal) => {
                assert_eq!(refusal, Refusal::Expired);
                self.outcome.expired += 1;
                self.board.jobs[k].phase = Phase::Ended(Finish::NotRun(refusal));
            }
            Action::Abandon(_) => panic!("generation abandoned although it is read"),
        }
    }

    fn step(&mut self) {
        if self.model.is_idle() {
            self.now += IDLE_STEP;
            return;
        }
        let step = self.model.step();
        self.now += step.time;
        self.board.engine.gap = step.time;
        self.outcome.preemptions += step.preempted.len() as u32;
        for id in &step.tokens {
            self.record_token(id.parse().unwrap());
        }
        for id in &step.ended {
            let n: usize = id.parse().unwrap();
            let (key, _) = self.jobs[n];
            let job = &mut self.board.jobs[key];
            job.phase = Phase::Ended(Finish::Stop);
            let (start, done) = (&job.start, Tokens(job.tokens.len() as u32));
            self.board.lengths.record(&start.service, &start.workspace, done, true);
            self.outcome.ended += 1;
            self.outcome.stalls.push(self.stalled[n]);
        }
    }

    fn record_token(&mut self, n: usize) {
        let job = &mut self.board.jobs[self.jobs[n].0];
        job.prefilled = true;
        job.tokens.push(Arc::from("t"));
        match self.last_token[n].replace(self.now) {
            Some(last) => self.stalled[n] += (self.now - last).saturating_sub(STALL_THRESHOLD),
            None => self.outcome.first.push(self.now - job.arrived),
        }
        self.board.fair.charge(&job.start.workspace, 1, 1);
    }

    fn run(mut self, arrivals: &[Arrival]) -> Outcome {
        let mut next = arrivals.iter().peekable();
        while next.peek().is_some() || !self.model.is_idle() || !self.board.is_idle() {
            while let Some(a) = next.next_if(|a| self.start + a.at <= self.now) {
                self.arrive(a);
            }
            self.decide();
            self.step();
        }
        self.outcome
    }
}

fn quantile(mut all: Vec<Duration>, q: f64) -> Duration {
    all.sort_unstable();
    let ix = ((all.len() as f64 * q) as usize).min(all.len().saturating_sub(1));
    all.get(ix).copied().unwrap_or_default()
}

fn row(name: &str, s: &Outcome) -> String {
    format!(
        "{name}: begun {} ended {} refused {} expired {} preemptions {} holds {} \
         stall p99 {} ms sum {} ms first p95 {} ms",
        s.begun,
        s.ended,
        s.refused,
        s.expired,
        s.preemptions,
        s.holds,
        quantile(s.stalls.clone(), 0.99).as_millis(),
        s.stalls.iter().sum::<Duration>().as_millis(),
        quantile(s.first.clone(), 0.95).as_millis(),
    )
}

#[rstest::rstest]
#[case("vigilwell-100", include_str!("data/vigilwell-100.trace"))]
#[case("vigilwell-120", include_str!("data/vigilwell-120.trace"))]
fn trace_outcomes_match_snapshot(#[case] name: &str, #[case] trace: &str) {
    let arrivals: Vec<Arrival> = trace.lines().filter_map(parse_arrival).collect();
    assert!(arrivals.len() > 100);
    let forecast = Replay::new(false).run(&arrivals);
    let open = Replay::new(true).run(&arrivals);
    // Each generation that begins also ends, each arrival is accounted for, and the engine preempts
    // nothing behind the gate.
    assert_eq!(forecast.begun, forecast.ended);
    let all = forecast.begun + forecast.refused + forecast.expired;
    assert_eq!(all as usize, arrivals.len());
    assert_eq!(forecast.preemptions, 0);
    // Required gains over sending every generation to the engine at once.
    assert!(forecast.holds * 10 <= open.preemptions, "{forecast:?} {open:?}");
    let stall = |s: &Outcome| quantile(s.stalls.clone(), 0.99);
    assert!(stall(&forecast) * 5 <= stall(&open));
    insta::assert_snapshot!(name, [row("forecast", &forecast), row("open", &open)].join("\n"));
}
