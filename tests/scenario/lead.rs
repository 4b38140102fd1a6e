//! Commands on the planner of load and unload orders.

use super::{arg, at, endpoint, lines, names, need};
use datadriven::TestCase;
use skylarkthread::board::{EndpointKey, EntryBoard};
use skylarkthread::clock;
use skylarkthread::frame::Report;
use skylarkthread::lead::Planner;
use skylarkthread::text::Text;
use std::sync::Arc;
use std::time::Instant;

pub struct State {
    start: Instant,
    board: EntryBoard,
    keys: Vec<EndpointKey>,
    planner: Planner,
    text: Text,
}

impl Default for State {
    fn default() -> Self {
        State {
            start: clock::now(),
            board: EntryBoard::default(),
            keys: Vec::new(),
            planner: Planner::new(2),
            text: Text::default(),
        }
    }
}

impl State {
    pub fn run(&mut self, case: &TestCase) -> String {
        match case.directive.as_str() {
            "text" => {
                self.text = Text::parse(&case.input).expect("the text is valid");
                "ok\n".into()
            }
            "engine" => {
                let ix = self.keys.len();
                let endpoint = endpoint(ix, self.start, report(case));
                self.keys.push(self.board.endpoints.insert(endpoint));
                "ok\n".into()
            }
            "loaded" => {
                let loaded =
                    names(case, "spec").iter().map(|v| Arc::from(format!("m+@{v}"))).collect();
                let key = self.keys[need::<usize>(case, "engine")];
                let known =
                    self.board.endpoints[key].latest.as_mut().expect("the engine has reported");
                known.report.loaded = loaded;
                known.report.running = arg(case, "running").unwrap_or(0);
                "ok\n".into()
            }
            "step" => {
                let orders = self.planner.step(at(self.start, case), &self.board, &self.text);
                let name = |k: EndpointKey| self.board.endpoints[k].instance.clone();
                let line = |o: &skylarkthread::lead::PlannedOrder| {
                    format!("{} {:?}", name(o.endpoint), o.action)
                };
                lines(orders.iter().map(line).collect())
            }
            other => panic!("no command {other}"),
        }
    }
}

fn report(case: &TestCase) -> Report {
    Report {
        alive: true,
        pool: Arc::from(need::<String>(case, "model")),
        loaded: names(case, "loaded").iter().map(|s| Arc::from(s.as_str())).collect(),
        ..Report::default()
    }
}
