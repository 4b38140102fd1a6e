//! Choice of the coordinator of a limited endpoint, and other instances that grant its permits.

use skylarkthread::gossip::{Tag, rank};
use skylarkthread::id::InstanceId;
use skylarkthread::limit::{
    Allocator, Fleet, MAX_MISSES, Misses, PermitRequest, Rate, Sign, coordinator, predecessors,
};
use std::time::{Duration, Instant};

const LIMIT: f64 = 8.0;

fn names(n: usize) -> Vec<InstanceId> {
    (0..n).map(|i| format!("front-north-{i}").parse().unwrap()).collect()
}

fn tag() -> Tag {
    Tag::of(&"i-1".parse().unwrap())
}

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn next_coordinator_is_asked_after_unanswered_requests_and_the_first_again_later() {
    let (all, now) = (names(5), Instant::now());
    let mut misses = Misses::default();
    let own = *rank(tag(), all.iter()).last().unwrap();
    let heard = || all.iter().filter(|i| *i != own);
    let asked = |at, misses: &Misses| coordinator(at, tag(), own, heard(), misses);
    let first = asked(now, &misses).clone();
    for _ in 1..MAX_MISSES {
        misses.record(now, first.clone(), false);
        assert_eq!(*asked(now, &misses), first);
    }
    misses.record(now, first.clone(), true);
    (1..MAX_MISSES).for_each(|_| misses.record(now, first.clone(), false));
    assert_eq!(*asked(now, &misses), first, "a reply ends the row");
    misses.record(now, first.clone(), false);
    let second = asked(now, &misses).clone();
    assert_ne!(second, first);
    let before = predecessors(tag(), &second, all.iter().filter(|i| **i != second));
    assert_eq!(before, [&first], "the one that takes over tells the first");
    (0..MAX_MISSES).for_each(|_| misses.record(now, second.clone(), false));
    let third = asked(now, &misses);
    assert!(*third != first && *third != second);
    assert_eq!(*asked(now + millis(2000), &misses), first);
}

#[test]
fn instance_that_all_others_leave_unanswered_coordinates_itself() {
    let (all, now) = (names(3), Instant::now());
    let mut misses = Misses::default();
    all[1..]
        .iter()
        .for_each(|i| (0..MAX_MISSES).for_each(|_| misses.record(now, i.clone(), false)));
    assert_eq!(*coordinator(now, tag(), &all[0], all[1..].iter(), &misses), all[0]);
    let none = coordinator(now, tag(), &all[0], std::iter::empty(), &misses);
    assert_eq!(*none, all[0]);
}

/// Returns the rate that the only one of four instances that asks can expect.
fn expected(allocator: &mut Allocator, now: Instant) -> f64 {
    let (limit, demand) = (Rate::per_second(LIMIT), Rate::per_second(50.0));
    let request = PermitRequest { tag: tag(), limit, age_ms: 0, demand, cold: false, earned: 0 };
    let fleet = Fleet { owners: 4, heard: 4 };
    allocator.request(now, fleet, &names(1)[0], &request).expected.as_f64()
}

/// Starts an allocator that hears that another instance grants permits.
fn start_with_rival(rival: &InstanceId) -> (Allocator, Instant) {
    let started = Instant::now();
    let now = started + Duration::from_secs(3600);
    let mut allocator = Allocator::new(started);
    allocator.note_rival(now, tag(), rival);
    assert_eq!(expected(&mut allocator, now), LIMIT / 4.0);
    (allocator, now)
}

#[test]
fn limit_is_used_as_soon_as_the_other_coordinator_has_ended() {
    let rival = &names(2)[1];
    let (mut allocator, now) = start_with_rival(rival);
    allocator.end_rival(tag(), &names(1)[0]);
    assert_eq!(expected(&mut allocator, now), LIMIT / 4.0, "another instance has ended");
    allocator.end_rival(tag(), rival);
    assert_eq!(expected(&mut allocator, now), LIMIT);
}

#[test]
fn end_is_told_only_after_the_last_permit_has_expired() {
    let started = Instant::now();
    let now = started + Duration::from_secs(3600);
    let mut allocator = Allocator::new(started);
    expected(&mut allocator, now);
    // A permit that was granted alone is good for a second.
    allocator.step(now + millis(999));
    assert!(allocator.take_ended().is_empty());
    allocator.step(now + millis(1500));
    assert_eq!(allocator.take_ended(), [tag()]);
    assert!(allocator.take_ended().is_empty());
}

#[rstest::rstest]
#[case::silent_without_digests(true, millis(1600), LIMIT)]
#[case::silent_for_a_moment(true, millis(300), LIMIT / 4.0)]
#[case::replies_without_digests(false, millis(1600), LIMIT / 4.0)]
fn other_coordinator_is_gone_if_it_neither_replies_nor_sends_digests(
    #[case] is_silent: bool,
    #[case] time: Duration,
    #[case] rate: f64,
) {
    let (mut allocator, at) = start_with_rival(&names(2)[1]);
    allocator.check_rivals(at + time, |_| Some(Sign { at, is_silent }));
    assert_eq!(expected(&mut allocator, at + time), rate);
}

#[test]
fn other_coordinator_that_does_not_reply_but_sends_digests_is_not_gone() {
    let (mut allocator, now) = start_with_rival(&names(2)[1]);
    for n in 1..18 {
        let at = now + millis(500 * n);
        allocator.check_rivals(at + millis(100), |_| Some(Sign { at, is_silent: true }));
        assert_eq!(expected(&mut allocator, at + millis(100)), LIMIT / 4.0);
    }
}
