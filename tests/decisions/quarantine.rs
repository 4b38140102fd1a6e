//! Which crashes of an engine are the same one, while the list of endpoints may be out of date.

use rstest::rstest;
use skylarkthread::id::{Incarnation, PartId};
use skylarkthread::quarantine::{PartSet, PartSuspects, RunEnd, Runs, SoundRun};
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
        let answered = self.runs.last_answered(&ENGINE, now);
        let (id, at) = self.suspects.identify_crash(LISTED, now, answered);
        let crashed = self.runs.accuse(&ENGINE, at, id);
        self.suspects.record_crash(at, id, &crashed.parts);
    }

    /// Returns at how many crashes the part was present.
    fn crashes(&self, now: Instant) -> usize {
        self.suspects.gossip_of(now, &bad()).rows[0].crashes.len()
    }
}

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Other instances and the store tell of numbers.
#[test]
fn crash_after_one_with_the_highest_number_is_taken_for_that_one() {
    let (start, mut suspects) = (Instant::now(), PartSuspects::default());
    let last = (LISTED, u32::MAX);
    suspects.record_crash(start, last, &[]);
    let answered = Some(start + millis(1000));
    assert_eq!(suspects.identify_crash(LISTED, start + millis(2000), answered), (last, start));
}

#[test]
fn part_that_crashes_an_engine_again_and_again_is_refused_while_its_listing_is_old() {
    let (start, mut sender) = (Instant::now(), Sender::default());
    for n in 0..3 {
        let at = start + millis(1000 * n);
        sender.send(at);
        sender.notice_crash(at + millis(60));
        let sound = SoundRun { parts: [PartId::of("b2")].into(), begun: at + millis(500) };
        sender.suspects.record_sound(at + millis(900), &sound);
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

/// A sound part was refused in place of the cause: requests with it were sent to engines that were down.
#[test]
fn request_that_was_sent_after_the_crash_is_not_accused_of_it() {
    let (start, mut sender) = (Instant::now(), Sender::default());
    sender.send(start);
    sender.notice_crash(start + millis(60));
    sender.runs.start(start + millis(200), ENGINE, [PartId::of("b2")].into());
    sender.notice_crash(start + millis(300));
    assert!(!sender.suspects.is_accused(&PartId::of("b2")));
    assert_eq!(sender.crashes(start + millis(300)), 1);
}

/// A gateway that was paused took the crash that the others had told of for another one.
#[test]
fn instance_that_notices_a_crash_late_adds_its_runs_to_the_known_crash() {
    let (start, mut late) = (Instant::now(), Sender::default());
    let mut first = Sender::default();
    first.send(start);
    first.notice_crash(start + millis(60));
    // What arrived before the pause is read after it.
    let run = late.runs.start(start, ENGINE, [PartId::of("b2")].into());
    late.runs.record_head(start + millis(3000), run);
    let told = first.suspects.gossip_of(start + millis(3000), &bad());
    let known = late.suspects.merge(start + millis(3000), &told);
    assert_eq!(known.len(), 1);
    late.notice_crash(start + millis(3010));
    assert!(late.suspects.is_accused(&PartId::of("b2")));
    let parts = PartSet::from([PartId::of("b2")]);
    let crashes = &late.suspects.gossip_of(start + millis(3010), &parts).rows[0].crashes;
    assert_eq!(crashes.iter().map(|c| (c.number, c.age)).collect::<Vec<_>>(), [(0, 2950)]);
}

/// A response that had ended in order cleared its parts though its engine crashed right after it.
#[rstest]
#[case::whole(RunEnd::Whole)]
#[case::unframed(RunEnd::Unframed)]
fn run_that_ended_is_sound_once_its_engine_has_outlived_it(#[case] end: RunEnd) {
    let (start, part, mut runs) = (Instant::now(), PartId::of(BAD), Runs::default());
    let run = runs.start(start, ENGINE, [part].into());
    runs.record_head(start, run);
    runs.record_event(start + millis(50), run);
    runs.record_life(start + millis(50), ENGINE);
    runs.end(start + millis(60), run, end);
    assert_eq!(runs.step(start + millis(800)), []);
    let unproven = |accused: bool| runs.unproven(start + millis(800), |_| accused);
    assert_eq!(unproven(true), [(ENGINE, start + millis(60))]);
    assert_eq!(unproven(false).len(), usize::from(end == RunEnd::Unframed));
    let crashed = runs.accuse(&ENGINE, start + millis(110), (LISTED, 0));
    assert_eq!(crashed.parts.iter().map(|p| p.part).collect::<Vec<_>>(), [part]);

    let run = runs.start(start + millis(1000), ENGINE, [part].into());
    runs.record_event(start + millis(1050), run);
    runs.end(start + millis(1060), run, end);
    runs.record_life(start + millis(1600), ENGINE);
    let sound = runs.step(start + millis(1600));
    assert_eq!(sound.iter().map(|r| r.begun).collect::<Vec<_>>(), [start + millis(1050)]);
}

/// Two runs of an engine that crashed, came back and crashed again within a second.
#[test]
fn run_is_accused_of_one_crash_only() {
    let (start, mut runs) = (Instant::now(), Runs::default());
    let run = runs.start(start, ENGINE, [PartId::of(BAD)].into());
    runs.end(start + millis(60), run, RunEnd::Broken);
    assert_eq!(runs.accuse(&ENGINE, start + millis(60), (LISTED, 0)).parts.len(), 1);
    assert_eq!(runs.accuse(&ENGINE, start + millis(60), (LISTED, 0)).parts.len(), 1);
    assert_eq!(runs.accuse(&ENGINE, start + millis(400), (LISTED, 1)).parts.len(), 0);
}
