//! Which crashes of an engine are the same one, while the list of endpoints may be out of date.

use skylarkthread::id::{Incarnation, PartId};
use skylarkthread::quarantine::{PartSet, PartSuspects, Runs};
use std::time::{Duration, Instant};

/// Start of the engine that its listing names throughout.
const LISTED: Incarnation = Incarnation(7);
const ENGINE: u8 = 1;
/// Part that crashes engines.
const BAD: &str = "dead";

fn bad() -> PartSet {
    PartSet::from([PartId::of(BAD)])
}

/// Instance that sends requests to the engine.
#[derive(Default)]
struct Sender {
    runs: Runs<u8>,
    suspects: PartSuspects,
}

impl Sender {
    /// Sends the engine a request with [`BAD`], which it begins to answer at `head`.
    fn send(&mut self, head: Instant) {
        let run = self.runs.start(head, ENGINE, [PartId::of(BAD)].into());
        self.runs.record_head(head, run);
    }

    /// Notices that the engine has crashed.
    fn notice_crash(&mut self, now: Instant) {
        let crashed = self.runs.take_crashed(ENGINE);
        let number = self.suspects.crash_number(LISTED, crashed.answered);
        self.suspects.record_crash(now, (LISTED, number), &crashed.parts);
    }

    /// Returns at how many crashes the part was present.
    fn crashes(&self, now: Instant) -> usize {
        self.suspects.gossip_of(now, &bad()).rows[0].crashes.len()
    }
}

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn part_that_crashes_an_engine_again_and_again_is_refused_while_its_listing_is_old() {
    let (start, mut sender) = (Instant::now(), Sender::default());
    for n in 0..3 {
        let at = start + millis(1000 * n);
        sender.send(at);
        sender.notice_crash(at + millis(60));
        sender.suspects.record_sound(at + millis(500), &[PartId::of("b2")]);
    }
    let refused = sender.suspects.step(start + millis(2500));
    assert_eq!(refused.iter().map(|r| r.crashes).collect::<Vec<_>>(), [3]);
}

#[test]
fn crash_that_several_instances_notice_counts_once() {
    let start = Instant::now();
    let (mut first, mut second) = (Sender::default(), Sender::default());
    for n in 0..2 {
        let at = start + millis(1000 * n);
        first.send(at);
        second.send(at + millis(5));
        first.notice_crash(at + millis(60));
        // The notice of the first arrives before the second has noticed the crash, or after.
        if n == 0 {
            second.notice_crash(at + millis(70));
        }
        second.suspects.merge(at + millis(80), &first.suspects.gossip_of(at + millis(80), &bad()));
        second.notice_crash(at + millis(90));
    }
    assert_eq!(second.crashes(start + millis(2000)), 2);
}

#[test]
fn request_that_waits_at_an_engine_that_is_down_shows_no_other_crash() {
    let (start, mut sender) = (Instant::now(), Sender::default());
    sender.send(start);
    sender.notice_crash(start + millis(60));
    sender.runs.start(start + millis(500), ENGINE, [PartId::of(BAD)].into());
    sender.notice_crash(start + millis(1000));
    assert_eq!(sender.crashes(start + millis(1000)), 1);
}

/// An engine that is cut off never answers the only run with a part that may be tried.
#[test]
fn run_that_makes_no_progress_holds_up_others_with_its_part_for_two_seconds() {
    let (start, part, mut runs) = (Instant::now(), PartId::of(BAD), Runs::default());
    let run = runs.start(start, ENGINE, [part].into());
    assert!(runs.is_running(start + millis(1900), part));
    assert!(!runs.is_running(start + millis(2000), part));
    runs.record_head(start + millis(2100), run);
    assert!(
        runs.is_running(start + millis(4000), part) && !runs.is_running(start + millis(4100), part)
    );
}
