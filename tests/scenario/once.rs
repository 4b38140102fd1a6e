//! Commands on the ledger of calls.

use super::{arg, need};
use datadriven::TestCase;
use skylarkthread::clock;
use skylarkthread::frame::{Answer, CallKey, CallReply, ClaimStamp};
use skylarkthread::id::{Epoch, Fingerprint, Incarnation, Nonce};
use skylarkthread::once::{Ledger, Limits, Verdict};
use skylarkthread::store::{Era, Position};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct State {
    start: Instant,
    ledger: Ledger,
}

impl Default for State {
    fn default() -> Self {
        let limits = Limits { epochs: 2, records: 4, bytes: 100 };
        let start = clock::now();
        State { start, ledger: Ledger::new(start, Incarnation(1), limits) }
    }
}

fn key(case: &TestCase) -> CallKey {
    let text: String = need(case, "key");
    let content: String = arg(case, "content").unwrap_or_default();
    CallKey {
        incarnation: Incarnation(arg(case, "run").unwrap_or(1)),
        epoch: Epoch(arg(case, "epoch").unwrap_or(1)),
        hash: Fingerprint::of(&[text.as_bytes()]),
        content: Fingerprint::of(&[content.as_bytes()]),
        claim: arg(case, "era")
            .map(|era| ClaimStamp { at: Position::new(Era(era), 0), nonce: Nonce(1) }),
    }
}

fn format_reply(reply: &CallReply) -> String {
    match reply {
        CallReply::Done(a) => format!("done with {} bytes\n", a.body.len()),
        other => format!("{other:?}\n"),
    }
}

impl State {
    pub fn run(&mut self, case: &TestCase) -> String {
        match case.directive.as_str() {
            "call" => match self.ledger.begin(self.start, &key(case)) {
                Verdict::Run => "run\n".into(),
                Verdict::Answer(r) => format_reply(&r),
            },
            "done" => {
                let body = vec![b'x'; arg(case, "bytes").unwrap_or(10)];
                let answer = Answer { status: 200, content: Arc::from(""), body, omitted: None };
                self.ledger.finish(&key(case), CallReply::Done(answer));
                "ok\n".into()
            }
            "lost" => {
                self.ledger.finish(&key(case), CallReply::Unknown);
                "ok\n".into()
            }
            "enter" => match self.ledger.enter_era(Era(need(case, "era"))) {
                Some(keys) => format!("{} claims\n", keys.len()),
                None => "incomplete\n".into(),
            },
            "seal" => format_reply(&self.ledger.seal(self.start, &key(case))),
            "epochs" => {
                for n in 1..=need::<u32>(case, "n") {
                    self.ledger.step(self.start + Duration::from_secs(600) * n);
                }
                format!("epoch {}\n", self.ledger.epoch())
            }
            other => panic!("no command {other}"),
        }
    }
}
