//! Attempts to open a listening socket that fails.

use skylarkthread::net::Failures;
use std::time::{Duration, Instant};

/// Time within which an address that became free is to be listened on. Callers come 10 s after the
/// start, and the platform checks readiness once a second.
const MAX_GAP: Duration = Duration::from_secs(1);
/// Time that the address is in use.
const HELD: Duration = Duration::from_secs(60);

/// Returns the times of the attempts, with whether the failure is reported.
fn play(held: Duration) -> Vec<(Duration, bool)> {
    let begun = Instant::now();
    let (mut failures, mut now, mut attempts) = (Failures::new(begun), begun, Vec::new());
    while now < begun + held {
        let step = failures.record(now);
        attempts.push((now - begun, step.is_reported));
        now += step.delay;
    }
    attempts
}

#[test]
fn attempts_to_listen_go_on_with_bounded_gaps() {
    let attempts = play(HELD);
    assert!(attempts[1].0 < MAX_GAP / 10, "the first gap is {:?}", attempts[1].0);
    for pair in attempts.windows(2) {
        let gap = pair[1].0 - pair[0].0;
        assert!(gap > Duration::ZERO && gap < MAX_GAP, "a gap of {gap:?} at {:?}", pair[0].0);
    }
    assert!(attempts.len() < 200, "{} attempts in a minute", attempts.len());
}

#[test]
fn failures_to_listen_are_reported_at_once_and_then_seldom() {
    let reports: Vec<_> = play(HELD).into_iter().filter(|a| a.1).map(|a| a.0).collect();
    assert_eq!(reports[0], Duration::ZERO);
    assert!((6..=20).contains(&reports.len()), "{} reports in a minute", reports.len());
}

#[test]
fn failures_between_successes_are_reported_seldom_too() {
    let begun = Instant::now();
    let mut failures = Failures::new(begun);
    let is_reported = |n| {
        let step = failures.record(begun + Duration::from_millis(n));
        failures.reset();
        step.is_reported
    };
    assert_eq!((0..1000).map(is_reported).filter(|reported| *reported).count(), 1);
}
