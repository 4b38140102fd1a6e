//! What is logged and counted while a process is not ready.

use rstest::rstest;
use skylarkthread::readiness::{Obstacle, OutageReasons, Report, StallWatch, Watch};
use skylarkthread::store::StoreError;
use std::time::{Duration, Instant};

/// Interval between two steps, in milliseconds.
const STEP: u64 = 100;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn failed(why: &str) -> Option<Obstacle> {
    Some(Obstacle::StoreFailed(StoreError::Refused, why.into()))
}

/// Steps a watch from `first` to `end`; `find` returns the obstacle at a time, or nothing where there is
/// no step. Returns the reports with their times, and the seconds that are counted.
fn play(
    first: u64,
    end: u64,
    find: impl Fn(u64) -> Option<Option<Obstacle>>,
) -> (Vec<String>, Vec<(String, u64)>) {
    let begun = Instant::now();
    let mut watch = Watch::new(begun, begun + ms(first));
    let (mut reports, mut counted) = (Vec::new(), Vec::<(String, u64)>::new());
    for at in (first..=end).step_by(STEP as usize) {
        let Some(obstacle) = find(at) else { continue };
        let step = watch.step(begun + ms(at), obstacle);
        reports.extend(step.report.map(|r| match r {
            Report::NotReady(o, time) => format!("{at} not {o} {}", time.as_millis()),
            Report::Ready(o, time) => format!("{at} ready {o} {}", time.as_millis()),
        }));
        let Some((obstacle, seconds)) = step.counted.filter(|c| c.1 > 0) else { continue };
        let why = obstacle.to_string();
        match counted.iter_mut().find(|c| c.0 == why) {
            Some(known) => known.1 += seconds,
            None => counted.push((why, seconds)),
        }
    }
    (reports, counted)
}

/// Each case: when the settings are known, when the watch ends, the obstacle from each time on, the
/// reports and the seconds.
#[rstest]
#[case::ready_soon(
    0, 9_000, &[(0, Some(Obstacle::NotListening)), (200, None)],
    &["500 ready not-listening 200"], &[]
)]
#[case::store_refuses(
    0, 11_500, &[(0, failed("429")), (11_000, None)],
    &["500 not store-refused 500", "5500 not store-refused 5500", "10500 not store-refused 10500",
        "11000 ready store-refused 11000"],
    &[("store-refused", 11)]
)]
#[case::reason_changes(
    0, 4_000, &[(0, Some(Obstacle::StoreUnread)), (1_000, failed("429")), (3_000, failed("400"))],
    &["500 not store-unread 500", "1000 not store-refused 1000", "3000 not store-refused 3000"],
    &[("store-unread", 1), ("store-refused", 3)]
)]
#[case::settings_are_waited_for(
    3_000, 3_500, &[(0, Some(Obstacle::NotListening)), (3_200, None)],
    &["3000 not not-listening 3000", "3500 ready not-listening 3200"], &[("settings", 3)]
)]
#[case::stop(
    0, 21_000, &[(0, None), (20_000, Some(Obstacle::Stopping))],
    &["500 ready settings 0", "20000 not stopping 0"], &[("stopping", 1)]
)]
fn each_time_without_readiness_is_reported_and_counted(
    #[case] first: u64,
    #[case] end: u64,
    #[case] obstacles: &[(u64, Option<Obstacle>)],
    #[case] expected: &[&str],
    #[case] seconds: &[(&str, u64)],
) {
    let find = |at| obstacles.iter().rev().find(|(from, _)| *from <= at).map(|o| o.1.clone());
    let (reports, counted) = play(first, end, find);
    assert_eq!(reports, expected);
    assert_eq!(counted.iter().map(|(why, n)| (&**why, *n)).collect::<Vec<_>>(), seconds);
}

#[rstest]
#[case::ready(None, "8000 ready stalled 5000", 5)]
#[case::not_ready(Some(Obstacle::Stopping), "8000 not stopping 5000", 5)]
fn time_in_which_the_process_did_not_run_is_reported_and_counted(
    #[case] later: Option<Obstacle>,
    #[case] expected: &str,
    #[case] seconds: u64,
) {
    let (reports, counted) = play(0, 8_000, |at| match at {
        0..=3_000 => Some(None),
        8_000 => Some(later.clone()),
        _ => None,
    });
    assert_eq!(reports[1..], [expected]);
    assert_eq!(counted, [("stalled".to_owned(), seconds)]);
}

#[test]
fn alternating_obstacles_are_reported_twice_a_second_and_counted_in_full() {
    let find = |at: u64| match at / STEP % 3 {
        0 => failed("429"),
        1 => failed("400"),
        _ => Some(Obstacle::StoreUnread),
    };
    let (reports, counted) = play(0, 60_000, |at| Some(find(at)));
    assert!((100..=120).contains(&reports.len()), "{} reports", reports.len());
    assert_eq!(counted.iter().map(|c| c.1).sum::<u64>(), 60);
}

#[test]
fn reasons_of_an_outage_are_logged_when_they_change_and_at_a_bounded_rate() {
    let (start, mut reasons) = (Instant::now(), OutageReasons::default());
    let mut logged = Vec::new();
    for tenth in 0..200 {
        let why = if tenth < 70 { "status 429" } else { "status 400" };
        if reasons.is_due(start + ms(100 * tenth), StoreError::Refused, why) {
            logged.push((tenth, why));
        }
    }
    assert_eq!(logged, [(0, "status 429"), (70, "status 400")]);
    let is_due = |n: u64| {
        let why = if n.is_multiple_of(2) { "status 429" } else { "status 400" };
        reasons.is_due(start + ms(20_000 + 100 * n), StoreError::Refused, why)
    };
    assert!((0..200).map(is_due).filter(|due| *due).count() <= 5);
    assert!(reasons.end() && !reasons.end());
}

#[test]
fn thread_that_does_not_run_is_reported_after_a_second_and_at_intervals() {
    let begun = Instant::now();
    let mut watch = StallWatch::new(begun);
    let mut reports = Vec::new();
    for at in (0..20_000).step_by(250) {
        // The thread runs until 4 s, and again from 17 s on.
        let beats = if at < 17_000 { at.min(4_000) } else { at };
        let step = watch.step(begun + ms(at), beats);
        reports.extend(step.map(|time| (at, time.as_millis())));
    }
    assert_eq!(reports, [(5_000, 1_000), (10_000, 6_000), (15_000, 11_000)]);
}
