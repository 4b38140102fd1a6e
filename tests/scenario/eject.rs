//! Commands on the ejection of endpoints.

use super::{at, endpoint, lines, need};
use datadriven::TestCase;
use skylarkthread::board::{Endpoint, EndpointKey, EntryBoard};
use skylarkthread::clock;
use skylarkthread::eject::{self, Change};
use skylarkthread::frame::Report;
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

fn report() -> Report {
    Report { alive: true, gap: 20_000, ..Report::default() }
}

impl State {
    pub fn run(&mut self, case: &TestCase) -> String {
        match case.directive.as_str() {
            "endpoints" => {
                for ix in 0..need(case, "n") {
                    self.keys.push(self.board.endpoints.insert(endpoint(ix, self.start, report())));
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
                self.endpoint(case)
                    .latest
                    .as_mut()
                    .expect("the endpoint has reported")
                    .report
                    .gap = gap;
                "ok\n".into()
            }
            "open" => {
                self.endpoint(case).open_requests += 1;
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
