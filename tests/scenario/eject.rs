//! Commands on the ejection of endpoints.

use super::{at, lines, need};
use datadriven::TestCase;
use skylarkthread::board::{Endpoint, EndpointKey, EntryBoard, Health, Known};
use skylarkthread::clock;
use skylarkthread::eject::{self, Change};
use skylarkthread::frame::Report;
use skylarkthread::id::Incarnation;
use skylarkthread::platform::ListedState;
use std::net::SocketAddr;
use std::time::Instant;

pub struct State {
    start: Instant,
    board: EntryBoard,
    keys: Vec<EndpointKey>,
}

impl Default for State {
    fn default() -> Self {
        State { start: clock::now(), board: EntryBoard::default(), keys: Vec::new() }
    }
}

fn endpoint(ix: usize, now: Instant) -> Endpoint {
    let report = Report { alive: true, gap: 20_000, ..Report::default() };
    Endpoint {
        instance: format!("e-{ix}").parse().unwrap(),
        centre: "dc".parse().unwrap(),
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        listed: Some(ListedState::Live),
        known: Some(Known { report, incarnation: Incarnation(1), at: now }),
        linked: true,
        health: Health::default(),
        open: 0,
        sent: 0,
        load: 0,
    }
}

impl State {
    pub fn run(&mut self, case: &TestCase) -> String {
        match case.directive.as_str() {
            "endpoints" => {
                for ix in 0..need(case, "n") {
                    self.keys.push(self.board.endpoints.insert(endpoint(ix, self.start)));
                }
                "ok\n".into()
            }
            "fail" => {
                for _ in 0..need::<u32>(case, "times") {
                    eject::note_failure(self.endpoint(case));
                }
                "ok\n".into()
            }
            "succeed" => {
                eject::note_success(self.endpoint(case));
                "ok\n".into()
            }
            "slow" => {
                let gap = need(case, "gap");
                self.endpoint(case).known.as_mut().expect("endpoints are known").report.gap = gap;
                "ok\n".into()
            }
            "open" => {
                self.endpoint(case).open += 1;
                "ok\n".into()
            }
            "step" => self.step(case),
            other => panic!("no command {other}"),
        }
    }

    fn endpoint(&mut self, case: &TestCase) -> &mut Endpoint {
        let key = self.keys[need::<usize>(case, "endpoint")];
        &mut self.board.endpoints[key]
    }

    fn step(&mut self, case: &TestCase) -> String {
        let now = at(self.start, case);
        let changes = eject::step(now, &mut self.board);
        let name = |k| self.board.endpoints[k].instance.clone();
        let mut out: Vec<String> = changes
            .into_iter()
            .map(|c| match c {
                Change::Ejected(k, until) => {
                    format!("eject {} until {}s", name(k), (until - self.start).as_secs())
                }
                Change::Readmitted(k) => format!("readmit {}", name(k)),
            })
            .collect();
        let allowed = self.keys.iter().filter(|k| eject::allows(&self.board.endpoints[**k]));
        let allowed: Vec<String> = allowed.map(|k| name(*k).to_string()).collect();
        out.push(format!("allowed: {}", allowed.join(" ")));
        lines(out)
    }
}
