//! Commands for the gate of a sidecar.

use super::{arg, at, lines, need};
use datadriven::TestCase;
use skylarkthread::board::{Engine, Job, JobKey, Phase, SidecarBoard};
use skylarkthread::clock;
use skylarkthread::frame::{Finish, Start};
use skylarkthread::gate::{Action, Gate};
use skylarkthread::id::{Fingerprint, GenerationId, Incarnation, Nonce, Tokens};
use skylarkthread::limit::Known;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct State {
    start: Instant,
    gate: Gate,
    board: SidecarBoard,
    names: Vec<(String, JobKey)>,
}

impl Default for State {
    fn default() -> Self {
        State {
            start: clock::now(),
            gate: Gate::default(),
            board: SidecarBoard::default(),
            names: Vec::new(),
        }
    }
}

fn start(case: &TestCase) -> Start {
    let id: String = need(case, "id");
    Start {
        generation: GenerationId {
            instance: "e".parse().unwrap(),
            incarnation: Incarnation(1),
            nonce: Nonce(Fingerprint::of(&[id.as_bytes()]).0),
        },
        service: arg(case, "service").unwrap_or("s".parse().unwrap()),
        spec: Arc::from("m+@v1"),
        workspace: arg(case, "ws").unwrap_or("w".parse().unwrap()),
        weight: 1,
        rank: arg(case, "rank").unwrap_or(5),
        prompt: Arc::from(""),
        input: arg(case, "input").unwrap_or(Tokens(10)),
        limit: arg(case, "limit").unwrap_or(Tokens(1000)),
        fingerprint: Fingerprint(1),
        parts: Vec::new(),
        alone: arg(case, "alone").unwrap_or(false),
        left: arg(case, "left").unwrap_or(5000),
    }
}

impl State {
    pub fn run(&mut self, case: &TestCase) -> String {
        match case.directive.as_str() {
            "engine" => self.engine(case),
            "lengths" => self.lengths(case),
            "limit" => self.limit(case),
            "start" => self.begin(case),
            "tokens" => self.tokens(case),
            "end" => self.end(case),
            "read" => self.read(case),
            "step" => self.step(case),
            other => panic!("unknown command {other}"),
        }
    }

    fn engine(&mut self, case: &TestCase) -> String {
        self.board.engine = Engine {
            alive: arg(case, "alive").unwrap_or(true),
            capacity: need(case, "capacity"),
            batch: arg(case, "batch").unwrap_or(64),
            gap: Duration::from_millis(20),
            loaded: vec![Arc::from("m+@v1")],
            ..Engine::default()
        };
        self.board.leaving = arg(case, "leaving").unwrap_or(false);
        "ok\n".into()
    }

    fn limit(&mut self, case: &TestCase) -> String {
        let known = Known { limit: arg(case, "rate"), at: at(self.start, case) };
        match self.board.throttle.record(known.at, known) {
            true => "changed\n".into(),
            false => "unchanged\n".into(),
        }
    }

    fn lengths(&mut self, case: &TestCase) -> String {
        let service = arg(case, "service").unwrap_or("s".parse().unwrap());
        for _ in 0..need::<u32>(case, "times") {
            let n = need(case, "n");
            self.board.lengths.record(&service, &"w".parse().unwrap(), n, true);
        }
        "ok\n".into()
    }

    fn begin(&mut self, case: &TestCase) -> String {
        let start = start(case);
        let now = at(self.start, case);
        if let Err((refusal, wait)) = self.gate.admit(now, &self.board, &start) {
            return format!("refused {refusal:?}, again in {}s\n", wait.as_secs_f32().ceil());
        }
        let nonce = start.generation.nonce;
        let job = Job {
            deadline: now + Duration::from_millis(start.left),
            phase: Phase::Queued,
            arrived: now,
            tokens: Vec::new(),
            last_active: now,
            last_read: now,
            prefilled: false,
            submissions: 0,
            begun: None,
            end_sent: false,
            start,
        };
        let key = self.board.jobs.insert(job);
        self.board.by_nonce.insert(nonce, key);
        self.names.push((need(case, "id"), key));
        "queued\n".into()
    }

    fn job(&mut self, case: &TestCase) -> &mut Job {
        let id: String = need(case, "id");
        let key = self.names.iter().find(|(n, _)| *n == id).expect("the id was started").1;
        &mut self.board.jobs[key]
    }

    fn tokens(&mut self, case: &TestCase) -> String {
        let (n, now) = (need(case, "n"), at(self.start, case));
        let job = self.job(case);
        job.prefilled = true;
        job.last_read = now;
        job.tokens.extend((0..n).map(|_| Arc::from("t")));
        "ok\n".into()
    }

    fn end(&mut self, case: &TestCase) -> String {
        self.job(case).phase = Phase::Ended(Finish::Stop);
        "ok\n".into()
    }

    /// Records a read of a generation.
    fn read(&mut self, case: &TestCase) -> String {
        let now = at(self.start, case);
        self.job(case).last_read = now;
        "ok\n".into()
    }

    fn step(&mut self, case: &TestCase) -> String {
        let now = at(self.start, case);
        let mut out = Vec::new();
        for _ in 0..64 {
            let actions = self.gate.step(now, &mut self.board);
            if actions.is_empty() {
                break;
            }
            out.extend(actions.into_iter().map(|a| self.apply(a)));
        }
        lines(out)
    }

    fn apply(&mut self, action: Action) -> String {
        let (verb, key, phase) = match action {
            Action::Begin(k) => ("begin".into(), k, Phase::Running),
            Action::Continue(k) => ("continue".into(), k, Phase::Running),
            Action::Hold(k) => ("hold".into(), k, Phase::Held),
            Action::Refuse(k, r) => (format!("refuse {r:?}"), k, Phase::Ended(Finish::NotRun(r))),
            Action::Abandon(k) => ("abandon".into(), k, Phase::Ended(Finish::Cancelled)),
        };
        let job = &mut self.board.jobs[key];
        job.phase = phase;
        job.prefilled = false;
        let name = self.names.iter().find(|(_, k)| *k == key).map_or("?", |(n, _)| n);
        format!("{verb} {name}")
    }
}
