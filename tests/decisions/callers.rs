//! Callers that take more than their part of an instance, and the ordinary ones beside them.

use rstest::rstest;
use skylarkthread::callers::{CallerKey, Callers, Charge, Listener, Load, Part, Room, bounds};
use std::time::{Duration, Instant};

const MEMORY: usize = 44_000_000;
const SOCKETS: u32 = 1500;
/// What a connection may take of the memory beyond that of the instance itself, in bytes.
const LIMIT: usize = 13_200_000;

fn callers() -> Callers {
    let mut callers = Callers::default();
    callers.set_limits(MEMORY, SOCKETS);
    callers
}

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Adds connections until there is no free room; returns them in order.
fn fill(callers: &mut Callers, start: Instant, listener: Listener) -> Vec<(CallerKey, Load)> {
    let mut all = Vec::new();
    while callers.room(start, listener) == Room::Free {
        all.push(callers.join(at(start, all.len() as u64), listener));
        assert!(all.len() <= SOCKETS as usize);
    }
    all
}

#[test]
fn heaviest_connections_are_closed_first_and_ordinary_ones_stay() {
    let mut callers = callers();
    let start = Instant::now();
    let all: Vec<_> = (0..300).map(|_| callers.join(start, Listener::Front)).collect();
    for (n, (_, load)) in all.iter().enumerate() {
        // One in ten keeps 600 KB, the others 4 KB in two parts.
        let bytes = if n % 10 == 0 { 600_000 } else { 2_000 };
        load.set(Part::Received, bytes);
        load.set(Part::Unsent, 2_000);
    }
    assert!(callers.bytes() > LIMIT);
    let chosen = callers.relieve(start);
    let heavy =
        |key: &CallerKey| all.iter().position(|(k, _)| k == key).is_some_and(|n| n % 10 == 0);
    assert!(!chosen.is_empty() && chosen.iter().all(|(key, _)| heavy(key)), "{chosen:?}");
    chosen.iter().for_each(|(key, _)| callers.leave(*key));
    assert!(callers.bytes() <= LIMIT);
    assert!(callers.relieve(start).is_empty());
}

/// Twelve bookings in progress were cut beside a crowd whose connections each keep a little less.
#[test]
fn requests_in_progress_stay_beside_many_that_do_not_arrive() {
    let mut callers = callers();
    let start = Instant::now();
    let ordinary: Vec<_> = (0..12).map(|_| callers.join(start, Listener::Front)).collect();
    for (key, load) in &ordinary {
        load.set(Part::Body, 34_000);
        callers.begin(*key);
    }
    let crowd: Vec<_> = (0..330).map(|_| callers.join(start, Listener::Front)).collect();
    crowd.iter().for_each(|(_, load)| load.set(Part::Body, 32_000));
    assert!(callers.bytes() > LIMIT);
    let chosen = callers.relieve(at(start, 300));
    assert!(!chosen.is_empty());
    let is_ordinary = |key: &CallerKey| ordinary.iter().any(|(k, _)| k == key);
    assert!(!chosen.iter().any(|(key, _)| is_ordinary(key)), "{chosen:?}");
}

#[test]
fn request_that_arrives_quickly_stays_beside_smaller_ones_that_do_not_arrive() {
    let mut callers = callers();
    let start = Instant::now();
    // Connected long before its request.
    let (ordinary, load) = callers.join(start, Listener::Front);
    let crowd: Vec<_> = (0..330).map(|_| callers.join(start, Listener::Front)).collect();
    crowd.iter().for_each(|(_, load)| load.set(Part::Received, 32_000));
    callers.arrive(at(start, 495), ordinary);
    load.set(Part::Received, 64_000);
    let chosen = callers.relieve(at(start, 500));
    assert!(!chosen.is_empty());
    assert!(!chosen.iter().any(|(key, _)| *key == ordinary), "{chosen:?}");
}

#[test]
fn bytes_that_callers_leave_unread_are_no_protection() {
    let mut callers = callers();
    let start = Instant::now();
    let all: Vec<_> = (0..20).map(|_| callers.join(start, Listener::Front)).collect();
    for (n, (key, load)) in all.iter().enumerate() {
        load.set(Part::Body, 500_000);
        load.set(Part::Unsent, if n == 7 { 4_000_000 } else { 0 });
        callers.begin(*key);
    }
    let chosen = callers.relieve(at(start, 300));
    assert_eq!(chosen.iter().map(|(key, _)| *key).collect::<Vec<_>>(), [all[7].0]);
}

#[test]
fn large_heads_leave_room_for_many_small_ones() {
    let mut callers = callers();
    let start = Instant::now();
    let mut crowd = 0;
    loop {
        let (key, load) = callers.join(start, Listener::Front);
        if !load.has_room(32_000) {
            callers.leave(key);
            break;
        }
        load.set(Part::Head, 32_000);
        callers.begin(key);
        crowd += 1;
    }
    let mut small = 0;
    loop {
        let (key, load) = callers.join(start, Listener::Front);
        if !load.has_room(1_000) {
            break;
        }
        load.set(Part::Head, 1_000);
        callers.begin(key);
        small += 1;
    }
    assert!(crowd >= 250 && small >= 100, "{crowd} large and {small} small heads");
    assert!(callers.relieve(start).is_empty());
}

#[test]
fn small_bodies_find_room_beside_large_ones_that_do_not() {
    let mut callers = callers();
    let start = Instant::now();
    let large: Vec<_> = (0..12).map(|_| callers.join(start, Listener::Front).1).collect();
    let (_, small) = callers.join(start, Listener::Front);
    let mut bytes = 0;
    while large.iter().any(|load| load.has_room(8_000)) {
        bytes += 8_000;
        let growing = large.iter().filter(|load| load.has_room(8_000));
        growing.for_each(|load| load.set(Part::Body, bytes));
    }
    assert!(small.has_room(500_000), "{} of {LIMIT} bytes", callers.bytes());
    assert!(callers.relieve(start).is_empty());
}

#[test]
fn connections_that_are_being_closed_are_not_counted_twice() {
    let mut callers = callers();
    let start = Instant::now();
    let all: Vec<_> = (0..3).map(|_| callers.join(start, Listener::Front)).collect();
    all.iter().for_each(|(_, load)| load.set(Part::Body, 5_000_000));
    assert_eq!(callers.relieve(start).len(), 1);
    assert!(callers.relieve(start).is_empty());
}

#[test]
fn sum_returns_to_nothing_when_all_have_left() {
    let mut callers = callers();
    let all = fill(&mut callers, Instant::now(), Listener::Front);
    for (n, (_, load)) in all.iter().enumerate() {
        Part::ALL.iter().for_each(|part| load.set(*part, 1_000 + n));
    }
    all.iter().for_each(|(key, _)| callers.leave(*key));
    assert_eq!(callers.bytes(), 0);
    // A clone that outlives its connection counts no more.
    all[0].1.set(Part::Body, 0);
    assert_eq!((callers.bytes(), callers.count(Listener::Front)), (0, 0));
}

#[rstest]
#[case::front(Listener::Front)]
#[case::probes(Listener::Probes)]
fn new_connection_takes_the_place_of_one_that_never_had_a_request(#[case] listener: Listener) {
    let mut callers = callers();
    let start = Instant::now();
    let all = fill(&mut callers, start, listener);
    // The first has a request in progress, the second has had one.
    callers.begin(all[0].0);
    callers.begin(all[1].0);
    callers.end(at(start, 2_000), all[1].0);
    assert_eq!(callers.room(at(start, 3_000), listener), Room::Instead(all[2].0));
    callers.close(at(start, 3_000), all[2].0);
    assert_eq!(callers.room(at(start, 3_000), listener), Room::Free);
}

#[test]
fn connections_with_requests_in_progress_keep_their_places() {
    let mut callers = callers();
    let start = Instant::now();
    let all = fill(&mut callers, start, Listener::Front);
    all.iter().for_each(|(key, _)| callers.begin(*key));
    assert_eq!(callers.room(at(start, 5_000), Listener::Front), Room::Full);
    callers.end(at(start, 5_000), all[7].0);
    assert_eq!(callers.room(at(start, 5_001), Listener::Front), Room::Instead(all[7].0));
}

#[test]
fn request_that_has_ended_counts_no_more() {
    let mut callers = callers();
    let start = Instant::now();
    let (key, load) = callers.join(start, Listener::Front);
    let before = callers.bytes();
    callers.begin(key);
    [Part::Head, Part::Body, Part::Response].iter().for_each(|part| load.set(*part, 9_000));
    load.set(Part::Received, 500);
    callers.end(start, key);
    assert_eq!(callers.bytes(), before + 500);
}

/// A response that was kept while its request was tried again was in no sum.
#[test]
fn charges_of_several_attempts_add_up_until_dropped() {
    let mut callers = callers();
    let start = Instant::now();
    let (key, load) = callers.join(start, Listener::Front);
    let before = callers.bytes();
    let (mut first, mut second) = (Charge::new(&load), Charge::new(&load));
    first.set(9_000);
    second.set(500);
    first.set(7_000);
    assert_eq!(callers.bytes(), before + 7_500);
    drop(first);
    assert_eq!(callers.bytes(), before + 500);
    callers.end(start, key);
    drop(second);
    assert_eq!(callers.bytes(), before);
}

/// An instance with less memory than it takes itself.
#[test]
fn connection_of_an_instance_with_little_memory_stays() {
    let mut callers = Callers::default();
    callers.set_limits(16_000_000, SOCKETS);
    let start = Instant::now();
    let (_, load) = callers.join(start, Listener::Front);
    load.set(Part::Received, 16_000);
    assert!(callers.relieve(start).is_empty());
}

/// The smallest and the largest memory of an instance, with the most descriptors of both.
#[rstest]
#[case::small(88_000_000, 7_992)]
#[case::usual(110_000_000, 3_900)]
#[case::large(512_000_000, 7_992)]
fn connections_that_keep_nothing_fit_beside_requests(#[case] memory: usize, #[case] sockets: u32) {
    let mut callers = Callers::default();
    callers.set_limits(memory, sockets);
    let start = Instant::now();
    let mut count = 0;
    while callers.room(start, Listener::Front) == Room::Free {
        callers.join(start, Listener::Front);
        count += 1;
    }
    assert!(count >= 1_000, "{count} connections");
    assert!(count < sockets / 2, "{count} of {sockets} descriptors");
    assert!(callers.bytes() < memory / 4, "{} bytes", callers.bytes());
    assert!(callers.relieve(start).is_empty());
}

/// Connections that the kernel kept until they were accepted held 10 MB of 44.
#[rstest]
#[case::low(44_000_000, 64)]
#[case::small(88_000_000, 256)]
#[case::usual(110_000_000, 512)]
#[case::large(512_000_000, 1_024)]
fn connections_that_wait_to_be_accepted_have_a_share(#[case] memory: usize, #[case] least: u32) {
    let [front, probes] = [Listener::Front, Listener::Probes].map(|l| bounds(l, memory));
    assert!(front.backlog >= least && probes.backlog >= 16, "{front:?} {probes:?}");
    let held = |b: skylarkthread::net::Bounds| b.backlog as usize * b.receive as usize;
    assert!(held(front) + 2 * held(probes) <= memory / 10, "{front:?} {probes:?}");
}

/// A reset would take a whole response from a caller that has not received it yet.
#[rstest]
#[case::answered_just_now(true, 900, false)]
#[case::answered_before(true, 1_100, true)]
#[case::in_progress(false, 0, true)]
fn connection_that_was_just_answered_is_not_reset(
    #[case] has_ended: bool,
    #[case] idle_ms: u64,
    #[case] is_reset: bool,
) {
    let (mut callers, start) = (Callers::default(), Instant::now());
    let (key, load) = callers.join(start, Listener::Front);
    callers.begin(key);
    if has_ended {
        callers.end(start, key);
    }
    callers.close(at(start, idle_ms), key);
    assert_eq!(load.is_revoked(), is_reset);
}
