//! Commands on the quarantine of crashing contents, for several entries that exchange gossip.

use super::{lines, names, need};
use datadriven::TestCase;
use skylarkthread::frame::Crash;
use skylarkthread::id::{Fingerprint, Incarnation};
use skylarkthread::quarantine::Quarantine;
use std::collections::BTreeMap;

#[derive(Default)]
pub struct State {
    entries: BTreeMap<String, Quarantine>,
}

fn content(name: &str) -> Fingerprint {
    Fingerprint::of(&[name.as_bytes()])
}

impl State {
    pub fn run(&mut self, case: &TestCase) -> String {
        let entry: String = need(case, "entry");
        let quarantine = self.entries.entry(entry).or_default();
        match case.directive.as_str() {
            "crash" => {
                let running: Vec<_> = names(case, "running");
                let crash = Crash {
                    number: need(case, "number"),
                    running: running.iter().map(|n| content(n)).collect(),
                };
                let changed = quarantine.record_crash(Incarnation(need(case, "endpoint")), &crash);
                let name = |f| running.iter().find(|n| content(n) == f).cloned();
                let line = |(f, s)| format!("{} {s:?}", name(f).unwrap_or_default());
                lines(changed.into_iter().map(line).collect())
            }
            "run" => {
                format!("{}\n", quarantine.try_start(&content(&need::<String>(case, "content"))))
            }
            "end" => {
                let f = content(&need::<String>(case, "content"));
                quarantine.finish(&f);
                format!("cleared {}\n", quarantine.clear(&f))
            }
            "lost" => {
                quarantine.finish(&content(&need::<String>(case, "content")));
                "ok\n".into()
            }
            "standing" => {
                format!("{:?}\n", quarantine.standing(&content(&need::<String>(case, "content"))))
            }
            "gossip" => {
                let gossip = quarantine.gossip();
                let to: String = need(case, "to");
                self.entries.entry(to).or_default().merge(&gossip);
                "ok\n".into()
            }
            other => panic!("no command {other}"),
        }
    }
}
