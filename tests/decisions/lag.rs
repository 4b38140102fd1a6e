//! Delays of a thread, as logged with requests that were not answered.

use rstest::rstest;
use skylarkthread::clock::Lag;
use skylarkthread::h1::Allowance;
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(100);

#[test]
fn longest_delay_is_told_from_the_time_of_the_request() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let ms = Duration::from_millis;
    let mut lag = Lag::new(at(100));
    assert_eq!(lag.record(at(101), INTERVAL), ms(1));
    assert_eq!(lag.record(at(701), INTERVAL), ms(500));
    assert_eq!(lag.record(at(831), INTERVAL), ms(30));
    // A request that arrived before, after and during the long delay.
    assert_eq!(lag.longest(at(900), at(90)), ms(500));
    assert_eq!(lag.longest(at(900), at(750)), ms(30));
    assert_eq!(lag.longest(at(900), at(600)), ms(500));
    assert_eq!(lag.total(at(900)), ms(530));
    // The thread is late at this moment.
    assert_eq!(lag.longest(at(1231), at(900)), ms(300));
    assert_eq!(lag.total(at(1231)), ms(830));
}

#[rstest]
#[case::caller_is_slow(0, 999, 1)]
#[case::caller_is_late(0, 1000, 0)]
#[case::process_was_stopped(1500, 1600, 900)]
#[case::both_are_late(500, 1500, 0)]
fn caller_is_not_charged_for_delays_of_the_process(
    #[case] delay: u64,
    #[case] elapsed: u64,
    #[case] left: u64,
) {
    let (start, ms) = (Instant::now(), Duration::from_millis);
    let allowance = Allowance::new(ms(1000), start, ms(300));
    assert_eq!(allowance.left(start + ms(elapsed), ms(300 + delay)), ms(left));
}
