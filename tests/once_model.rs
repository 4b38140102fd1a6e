//! Checks the protocol of calls that may not be repeated under random interleavings of loss,
//! duplication, reordering, pauses, crashes and changes of membership.
//!
//! Two rules have to hold: no call runs twice, and a call that was refused as not run has not run
//! and never does. Mistakes seeded on purpose have to break a rule.

use proptest::prelude::*;
use proptest::test_runner::{Config, TestCaseError, TestRunner};
use skylarkthread::clock;
use skylarkthread::frame::{CallKey, CallReply, Refusal};
use skylarkthread::id::{Fingerprint, Incarnation};
use skylarkthread::once::{Ledger, Limits, Verdict};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Sidecars of the service.
const SIDECARS: usize = 3;
/// Keys in play.
const KEYS: u8 = 5;
/// Bounds small enough that a case reaches them.
const LIMITS: Limits = Limits { epochs: 2, records: 4, bytes: 64 };

/// A mistake to be caught.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Mistake {
    None,
    /// A new run of a sidecar honours keys of the old one.
    TakesOldRuns,
    /// `not-run` is said without sealing the key.
    SaysWithoutSeal,
    /// A resend is placed anew instead of at the home of its key.
    MovesHome,
    /// A full record forgets its oldest epoch and goes on.
    Forgets,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// An entry mints a key, or claims the caller's, at a sidecar and sends the call.
    Send { key: u8, sidecar: usize },
    /// An entry gives up on a call and asks for a seal.
    Seal { key: u8 },
    /// The network delivers a message; it may keep a copy.
    Deliver { at: usize, keep: bool },
    /// The network loses a message.
    Lose { at: usize },
    /// A service answers the oldest running call of a sidecar.
    Finish { sidecar: usize },
    /// A sidecar is replaced.
    Crash { sidecar: usize },
    /// Time passes.
    Epoch,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..KEYS, 0..SIDECARS).prop_map(|(key, sidecar)| Step::Send { key, sidecar }),
        2 => (0..KEYS).prop_map(|key| Step::Seal { key }),
        6 => (0usize..8, any::<bool>()).prop_map(|(at, keep)| Step::Deliver { at, keep }),
        1 => (0usize..8).prop_map(|at| Step::Lose { at }),
        2 => (0..SIDECARS).prop_map(|sidecar| Step::Finish { sidecar }),
        1 => (0..SIDECARS).prop_map(|sidecar| Step::Crash { sidecar }),
        1 => Just(Step::Epoch),
    ]
}

#[derive(Debug, Clone)]
enum Message {
    Call(usize, CallKey),
    Seal(usize, CallKey),
}

struct Sidecar {
    ledger: Ledger,
    incarnation: Incarnation,
    running: Vec<CallKey>,
}

struct World {
    mistake: Mistake,
    now: Instant,
    runs: u64,
    sidecars: Vec<Sidecar>,
    homes: HashMap<u8, (usize, CallKey)>,
    network: Vec<Message>,
    ran: HashMap<Fingerprint, u32>,
    told: HashSet<Fingerprint>,
}

impl World {
    fn new(mistake: Mistake) -> Self {
        let now = clock::now();
        let mut world = World {
            mistake,
            now,
            runs: 0,
            sidecars: Vec::new(),
            homes: HashMap::new(),
            network: Vec::new(),
            ran: HashMap::new(),
            told: HashSet::new(),
        };
        for _ in 0..SIDECARS {
            let fresh = world.fresh();
            world.sidecars.push(fresh);
        }
        world
    }

    fn fresh(&mut self) -> Sidecar {
        self.runs += 1;
        let incarnation = Incarnation(self.runs);
        let ledger = Ledger::new(self.now, incarnation, LIMITS);
        Sidecar { ledger, incarnation, running: Vec::new() }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Send { key, sidecar } => {
                let (home, key) = self.home(key, sidecar);
                self.network.push(Message::Call(home, key));
            }
            Step::Seal { key } => {
                if let Some((home, key)) = self.homes.get(&key).cloned() {
                    self.network.push(Message::Seal(home, key));
                }
            }
            Step::Deliver { at, keep } => {
                if at < self.network.len() {
                    let message = self.network[at].clone();
                    if !keep {
                        self.network.remove(at);
                    }
                    self.deliver(message);
                }
            }
            Step::Lose { at } => {
                if at < self.network.len() {
                    self.network.remove(at);
                }
            }
            Step::Finish { sidecar } => {
                let s = &mut self.sidecars[sidecar];
                if !s.running.is_empty() {
                    let key = s.running.remove(0);
                    s.ledger.finish(&key, CallReply::Ran);
                }
            }
            Step::Crash { sidecar } => {
                let fresh = self.fresh();
                self.sidecars[sidecar] = fresh;
            }
            Step::Epoch => {
                self.now += Duration::from_secs(600);
                let now = self.now;
                self.sidecars.iter_mut().for_each(|s| s.ledger.step(now));
            }
        }
    }

    /// Returns the home of a key; the first to ask decides it.
    fn home(&mut self, key: u8, sidecar: usize) -> (usize, CallKey) {
        let s = &self.sidecars[sidecar];
        let fresh = CallKey {
            incarnation: s.incarnation,
            epoch: s.ledger.epoch(),
            hash: Fingerprint(u64::from(key)),
            content: Fingerprint(0),
        };
        if self.mistake == Mistake::MovesHome {
            self.homes.insert(key, (sidecar, fresh.clone()));
        }
        self.homes.entry(key).or_insert((sidecar, fresh)).clone()
    }

    fn deliver(&mut self, message: Message) {
        let (at, mut key, is_seal) = match message {
            Message::Call(at, key) => (at, key, false),
            Message::Seal(at, key) => (at, key, true),
        };
        let s = &mut self.sidecars[at];
        if self.mistake == Mistake::TakesOldRuns {
            key.incarnation = s.incarnation;
            key.epoch = s.ledger.epoch();
        }
        if self.mistake == Mistake::Forgets && s.running.is_empty() {
            s.ledger = Ledger::new(self.now, s.incarnation, LIMITS);
            key.epoch = s.ledger.epoch();
        }
        if is_seal {
            let reply = match self.mistake {
                Mistake::SaysWithoutSeal if !self.ran.contains_key(&key.hash) => {
                    CallReply::NotRun(Refusal::Expired)
                }
                _ => s.ledger.seal(self.now, &key),
            };
            return self.told(&key, &reply);
        }
        match s.ledger.begin(self.now, &key) {
            Verdict::Run => {
                *self.ran.entry(key.hash).or_default() += 1;
                s.running.push(key);
            }
            Verdict::Answer(reply) => self.told(&key, &reply),
        }
    }

    fn told(&mut self, key: &CallKey, reply: &CallReply) {
        if matches!(reply, CallReply::NotRun(_)) {
            self.told.insert(key.hash);
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (key, n) in &self.ran {
            prop_assert!(*n <= 1, "{key} ran {n} times");
            prop_assert!(!self.told.contains(key), "{key} ran although not-run was said");
        }
        Ok(())
    }
}

fn explore(mistake: Mistake, cases: u32) -> Result<(), String> {
    let mut config = Config::with_cases(cases);
    config.failure_persistence = None;
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..60);
    let result = runner.run(&steps, |steps| {
        let mut world = World::new(mistake);
        for step in steps {
            world.apply(step);
            world.check()?;
        }
        // What is still under way arrives at last.
        while !world.network.is_empty() {
            world.apply(Step::Deliver { at: 0, keep: false });
            world.check()?;
        }
        Ok(())
    });
    result.map_err(|e| e.to_string())
}

#[test]
fn no_call_runs_twice_and_not_run_stays_true() {
    explore(Mistake::None, 20_000).unwrap();
}

#[rstest::rstest]
#[case(Mistake::TakesOldRuns)]
#[case(Mistake::SaysWithoutSeal)]
#[case(Mistake::MovesHome)]
#[case(Mistake::Forgets)]
fn a_seeded_mistake_is_caught(#[case] mistake: Mistake) {
    let caught = explore(mistake, 20_000).unwrap_err();
    assert!(caught.contains("ran"), "{caught}");
}
