//! Commands on the quarantine of crashing contents and parts, for several entries that exchange
//! gossip. Gossip may be sent `lost`, or kept and delivered later.

use super::{arg, at, lines, names, need};
use datadriven::TestCase;
use skylarkthread::frame::{Crash, Gossip};
use skylarkthread::id::{Fingerprint, Incarnation, PartId};
use skylarkthread::quarantine::{AccusedPart, Quarantine, RefusedParts, SoundRun};
use std::collections::BTreeMap;
use std::time::Instant;

pub struct State {
    entries: BTreeMap<String, Quarantine>,
    kept: BTreeMap<String, Gossip>,
    start: Instant,
}

impl Default for State {
    fn default() -> Self {
        // Ages in gossip need times before the first command.
        State { entries: BTreeMap::new(), kept: BTreeMap::new(), start: Instant::now() }
    }
}

/// Returns the part whose name is the hexadecimal number `name`.
fn part(name: &str) -> PartId {
    PartId::of(name)
}

fn part_names<'a>(parts: impl Iterator<Item = &'a PartId>) -> String {
    parts.map(|p| format!("{:x}", p.0)).collect::<Vec<_>>().join("+")
}

fn refused_line(r: &RefusedParts) -> String {
    format!("refused {} crashes={}", part_names(r.parts.iter()), r.crashes)
}

fn content(name: &str) -> Fingerprint {
    Fingerprint::of(&[name.as_bytes()])
}

impl State {
    pub fn run(&mut self, case: &TestCase) -> String {
        let entry: String = need(case, "entry");
        let now = at(self.start, case);
        let quarantine = self.entries.entry(entry.clone()).or_default();
        match case.directive.as_str() {
            "crash" => {
                let running: Vec<_> = names(case, "running");
                let crash = Crash {
                    number: need(case, "number"),
                    running: running.iter().map(|n| content(n)).collect(),
                    parts: Vec::new(),
                    age: 0,
                };
                let endpoint = Incarnation(need(case, "endpoint"));
                let changed = quarantine.record_crash(now, endpoint, &crash);
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
                format!("cleared {}\n", quarantine.clear(now, &f, None))
            }
            "lost" => {
                quarantine.finish(&content(&need::<String>(case, "content")));
                "ok\n".into()
            }
            "standing" => {
                format!("{:?}\n", quarantine.standing(&content(&need::<String>(case, "content"))))
            }
            "gossip" => {
                let gossip = quarantine.gossip(now);
                let to: String = need(case, "to");
                self.entries.entry(to).or_default().merge(now, &gossip);
                "ok\n".into()
            }
            "keep" => {
                self.kept.insert(entry, quarantine.gossip(now));
                "ok\n".into()
            }
            "deliver" => {
                let to: String = need(case, "to");
                let late = arg(case, "late").unwrap_or(0);
                let now = now + std::time::Duration::from_millis(late);
                self.entries.entry(to).or_default().merge(now, &self.kept[&entry]);
                "ok\n".into()
            }
            "restart" => {
                *quarantine = Quarantine::default();
                "ok\n".into()
            }
            "accuse" => {
                let begun = arg(case, "begun").unwrap_or(true);
                let parts: Vec<AccusedPart> = names(case, "parts")
                    .iter()
                    .map(|n| AccusedPart { part: part(n), begun })
                    .collect();
                let id = (Incarnation(need(case, "endpoint")), 0);
                quarantine.parts.record_crash(now, id, &parts);
                let settled = now + std::time::Duration::from_millis(300);
                lines(quarantine.parts.step(settled).iter().map(refused_line).collect())
            }
            "sound" => {
                let parts = names(case, "parts").iter().map(|n| part(n)).collect();
                let begun = arg(case, "begun")
                    .map_or(now, |ms| self.start + std::time::Duration::from_millis(ms));
                quarantine.parts.record_sound(now, &SoundRun { parts, begun });
                lines(quarantine.parts.step(now).iter().map(refused_line).collect())
            }
            // The state at the time of a crash, which may be one of several.
            "crash_part" => {
                let parts: Vec<AccusedPart> = names(case, "parts")
                    .iter()
                    .map(|n| AccusedPart { part: part(n), begun: true })
                    .collect();
                let id = (Incarnation(need(case, "endpoint")), 0);
                quarantine.parts.record_crash(now, id, &parts);
                lines(quarantine.parts.step(now).iter().map(refused_line).collect())
            }
            "step" => lines(quarantine.parts.step(now).iter().map(refused_line).collect()),
            "request" => {
                let parts: Vec<PartId> = names(case, "parts").iter().map(|n| part(n)).collect();
                quarantine.parts.record_request(&parts);
                let refused = quarantine.parts.find_refused(&parts);
                let served = match quarantine.parts.find_single(&parts) {
                    _ if quarantine.parts.is_held(&parts) => "held\n",
                    Some(_) => "one at a time\n",
                    None => "served\n",
                };
                refused.map_or(served.into(), |r| format!("{}\n", refused_line(r)))
            }
            other => panic!("no command {other}"),
        }
    }
}
