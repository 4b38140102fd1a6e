//! Which contents of requests are refused after crashes, for how long, and what instances tell each
//! other of them.

use rstest::rstest;
use skylarkthread::frame::Gossip;
use skylarkthread::id::{Fingerprint, Incarnation};
use skylarkthread::quarantine::{CRASH_MEMORY, LostRun, Quarantine, Scope, Standing};
use std::time::{Duration, Instant};

/// Largest datagram that an instance receives.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Content that crashes endpoints.
const BAD: Fingerprint = Fingerprint(7);
const SERVICE: Fingerprint = Fingerprint(100);
const OTHER_SERVICE: Fingerprint = Fingerprint(101);

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Instance that sees crashes of different endpoints.
struct Seen {
    quarantine: Quarantine,
    start: Instant,
    crashes: u64,
}

impl Seen {
    fn new() -> Seen {
        Seen { quarantine: Quarantine::default(), start: Instant::now(), crashes: 0 }
    }

    /// Records the crash of another endpoint, to which a content was sent at `sent`.
    fn crash(&mut self, f: Fingerprint, sent: Duration, ended: Duration, service: Fingerprint) {
        self.crashes += 1;
        let (sent, ended) = (self.start + sent, self.start + ended);
        let run = LostRun { sent, ended, service: Some(service) };
        let id = (Incarnation(self.crashes), 0);
        self.quarantine.record_lost(ended, id, &[(f, run)]);
    }

    /// Records `n` crashes, one each second.
    fn crash_each_second(&mut self, f: Fingerprint, n: u64) {
        for at in (0..n).map(|ix| millis(1000 * ix)) {
            self.crash(f, at, at + millis(60), SERVICE);
        }
    }

    /// Merges the messages of another instance about what is in a scope.
    fn merge(&mut self, other: &mut Seen, at: Duration, scope: Scope) {
        let messages = other.quarantine.messages(other.start + at, scope);
        messages.iter().for_each(|m| drop(self.quarantine.merge(other.start + at, m)));
    }
}

/// Attempts of one request follow each other within milliseconds, and each shows the cause.
#[test]
fn content_is_refused_after_three_crashes_in_a_row() {
    let mut seen = Seen::new();
    for at in [0, 61, 122].map(millis) {
        assert_ne!(seen.quarantine.standing(&BAD), Standing::Refused);
        seen.crash(BAD, at, at + millis(60), SERVICE);
    }
    assert_eq!(seen.quarantine.standing(&BAD), Standing::Refused);
}

/// All endpoints of a data centre lose power while copies of a sound request run there.
#[test]
fn copies_that_end_with_crashes_at_one_moment_count_once() {
    let mut seen = Seen::new();
    for n in 0..5 {
        seen.crash(BAD, millis(5 * n), millis(60 + n), SERVICE);
    }
    assert_eq!(seen.quarantine.standing(&BAD), Standing::Single);
}

#[test]
fn refusal_ends_when_its_crashes_are_forgotten_and_returns_with_the_next_one() {
    let mut seen = Seen::new();
    seen.crash_each_second(BAD, 3);
    let until = seen.quarantine.refused_until(&BAD).expect("the content is refused");
    assert_eq!(until, seen.start + millis(60) + CRASH_MEMORY);
    seen.quarantine.forget(until);
    assert_eq!(seen.quarantine.standing(&BAD), Standing::Alone);
    let at = until.duration_since(seen.start);
    seen.crash(BAD, at, at + millis(60), SERVICE);
    assert_eq!(seen.quarantine.standing(&BAD), Standing::Refused);
}

/// Instances that tell each other of a refusal do not keep it alive.
#[test]
fn refusal_ends_at_the_same_time_at_an_instance_that_was_told_late() {
    let (mut seen, mut told) = (Seen::new(), Seen::new());
    seen.crash_each_second(BAD, 3);
    told.merge(&mut seen, millis(500_000), Scope::Refused);
    assert_eq!(told.quarantine.refused_until(&BAD), seen.quarantine.refused_until(&BAD));
}

#[test]
fn success_clears_the_crashes_at_its_service_only() {
    let mut seen = Seen::new();
    seen.crash(BAD, millis(0), millis(60), SERVICE);
    let now = seen.start + millis(500);
    assert!(!seen.quarantine.clear(now, &BAD, Some(OTHER_SERVICE)));
    assert_eq!(seen.quarantine.standing(&BAD), Standing::Single);
    assert!(seen.quarantine.clear(now, &BAD, Some(SERVICE)));
    assert_eq!(seen.quarantine.standing(&BAD), Standing::Free);
}

/// An instance starts long after the crashes, and changes are no longer told.
#[test]
fn instance_that_starts_is_told_all_suspects_in_messages_that_fit_datagrams() {
    let (mut seen, mut started) = (Seen::new(), Seen::new());
    seen.crash_each_second(BAD, 6);
    let others: Vec<Fingerprint> = (1000..1120).map(Fingerprint).collect();
    others.iter().for_each(|f| seen.crash_each_second(*f, 2));
    let at = millis(60_000);
    let messages = seen.quarantine.messages(seen.start + at, Scope::All);
    let size = |m: &Gossip| rmp_serde::to_vec_named(m).map(|bytes| bytes.len());
    assert!(messages.iter().all(|m| size(m).expect("serializable") < MAX_DATAGRAM_BYTES));
    assert!(seen.quarantine.messages(seen.start + at, Scope::Changed).is_empty());
    started.merge(&mut seen, at, Scope::All);
    assert_eq!(started.quarantine.standing(&BAD), Standing::Refused);
    assert!(others.iter().all(|f| started.quarantine.standing(f) == Standing::Alone));
}

/// An instance that was paused, or lost messages, hears of a refusal with the repeated ones.
#[test]
fn refused_contents_are_repeated_after_their_change_was_told() {
    let (mut seen, mut paused) = (Seen::new(), Seen::new());
    seen.crash_each_second(BAD, 3);
    seen.crash_each_second(Fingerprint(8), 1);
    paused.merge(&mut seen, millis(60_000), Scope::Refused);
    assert_eq!(paused.quarantine.standing(&BAD), Standing::Refused);
    assert_eq!(paused.quarantine.standing(&Fingerprint(8)), Standing::Free);
}

/// All instances are stopped and started in turn, after the time in which changes are told.
#[rstest]
#[case::small(4)]
#[case::large(410)]
fn content_stays_refused_when_all_instances_start_in_turn(#[case] instances: usize) {
    let mut first = Seen::new();
    first.crash_each_second(BAD, 3);
    let start = first.start;
    let mut fleet: Vec<Quarantine> = (0..instances).map(|_| Quarantine::default()).collect();
    let messages = first.quarantine.messages(start + millis(3000), Scope::Changed);
    fleet.iter_mut().for_each(|q| {
        messages.iter().for_each(|m| drop(q.merge(start + millis(3000), m)));
    });
    for ix in 0..instances {
        let now = start + millis(10_000 + 300 * ix as u64);
        let told = fleet[(ix + 1) % instances].messages(now, Scope::All);
        fleet[ix] = Quarantine::default();
        told.iter().for_each(|m| drop(fleet[ix].merge(now, m)));
    }
    assert!(fleet.iter().all(|q| q.standing(&BAD) == Standing::Refused));
}
