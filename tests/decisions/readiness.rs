//! What is logged and counted while a process is not ready.

use rstest::rstest;
use skylarkthread::readiness::{Obstacle, OutageReasons, Report, Span, StallWatch, Watch};
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

/// Steps a watch until `end`; `find` returns the obstacle at a time, or nothing where there is no step.
/// Returns the reports with their times, and the seconds that are counted.
fn play(
    end: u64,
    find: impl Fn(u64) -> Option<Option<Obstacle>>,
) -> (Vec<String>, Vec<(String, u64)>) {
    let begun = Instant::now();
    let mut watch = Watch::new(begun, Obstacle::Settings);
    let (mut reports, mut counted) = (Vec::new(), Vec::<(String, u64)>::new());
    for at in (0..=end).step_by(STEP as usize) {
        let Some(obstacle) = find(at) else { continue };
        let step = watch.step(begun + ms(at), obstacle);
        reports.extend(step.reports.into_iter().map(|r| match r {
            Report::NotReady(span) => format!("{at} not {}", describe(&span)),
            Report::Ended(span) => format!("{at} ended {}", describe(&span)),
            Report::Ready(span) => format!("{at} ready {}", describe(&span)),
        }));
        for why in step.counted.iter().map(Obstacle::to_string) {
            match counted.iter_mut().find(|c| c.0 == why) {
                Some(known) => known.1 += 1,
                None => counted.push((why, 1)),
            }
        }
    }
    (reports, counted)
}

fn describe(span: &Span) -> String {
    let Span { obstacle, time, total } = span;
    format!("{obstacle} {} of {}", time.as_millis(), total.as_millis())
}

/// Each case: when the watch ends, the obstacle from each time on, the reports and the seconds.
#[rstest]
#[case::ready_soon(
    9_000, &[(0, Some(Obstacle::NotListening)), (200, None)],
    &["500 ready not-listening 200 of 200"], &[]
)]
#[case::store_refuses(
    11_500, &[(0, failed("429")), (11_000, None)],
    &["500 not store-refused 500 of 500", "5500 not store-refused 5500 of 5500",
        "10500 not store-refused 10500 of 10500", "11000 ready store-refused 11000 of 11000"],
    &[("store-refused", 11)]
)]
#[case::reason_changes(
    4_000, &[(0, Some(Obstacle::StoreUnread)), (1_000, failed("429")), (3_000, failed("400"))],
    &["500 not store-unread 500 of 500", "1000 ended store-unread 1000 of 1000",
        "1000 not store-refused 0 of 1000", "3000 not store-refused 2000 of 3000"],
    &[("store-unread", 1), ("store-refused", 3)]
)]
#[case::settings_are_waited_for(
    3_500, &[(0, Some(Obstacle::Settings)), (3_000, Some(Obstacle::NotListening)), (3_200, None)],
    &["500 not settings 500 of 500", "3000 ended settings 3000 of 3000",
        "3000 not not-listening 0 of 3000", "3500 ready not-listening 200 of 3200"],
    &[("settings", 3)]
)]
#[case::stop(
    21_000, &[(0, None), (20_000, Some(Obstacle::Stopping))],
    &["500 ready settings 0 of 0", "20000 not stopping 0 of 0"], &[("stopping", 1)]
)]
fn each_time_without_readiness_is_reported_and_counted(
    #[case] end: u64,
    #[case] obstacles: &[(u64, Option<Obstacle>)],
    #[case] expected: &[&str],
    #[case] seconds: &[(&str, u64)],
) {
    let find = |at| obstacles.iter().rev().find(|(from, _)| *from <= at).map(|o| o.1.clone());
    let (reports, counted) = play(end, find);
    assert_eq!(reports, expected);
    assert_eq!(counted.iter().map(|(why, n)| (&**why, *n)).collect::<Vec<_>>(), seconds);
}

#[rstest]
#[case::ready(None, &["8000 ready stalled 5000 of 5000"], 5)]
#[case::not_ready(
    Some(Obstacle::Stopping),
    &["8000 ended stalled 5000 of 5000", "8000 not stopping 0 of 5000"],
    5
)]
fn time_in_which_the_process_did_not_run_is_reported_and_counted(
    #[case] later: Option<Obstacle>,
    #[case] expected: &[&str],
    #[case] seconds: u64,
) {
    let (reports, counted) = play(8_000, |at| match at {
        0..=3_000 => Some(None),
        8_000 => Some(later.clone()),
        _ => None,
    });
    assert_eq!(reports[1..], *expected);
    assert_eq!(counted, [("stalled".to_owned(), seconds)]);
}

#[test]
fn alternating_obstacles_are_reported_twice_a_second_and_counted_in_full() {
    let find = |at: u64| match at / STEP % 3 {
        0 => failed("429"),
        1 => failed("400"),
        _ => Some(Obstacle::StoreUnread),
    };
    let (reports, counted) = play(60_000, |at| Some(find(at)));
    assert!((100..=120).contains(&reports.len()), "{} reports", reports.len());
    assert_eq!(counted.iter().map(|c| c.1).sum::<u64>(), 60);
}

/// Each case: how long the obstacles stand, one after the other, in milliseconds.
#[rstest]
#[case::fractions(&[(Obstacle::Settings, 3_900), (Obstacle::StoreUnread, 100)], 100)]
#[case::thirds(&[
    (Obstacle::Settings, 400), (Obstacle::NotListening, 300), (Obstacle::StoreUnread, 300)
], 20)]
#[case::stall(&[(Obstacle::Settings, 700), (Obstacle::Stalled, 5_200), (Obstacle::Stopping, 600)], 10)]
fn seconds_add_up_and_stay_with_the_obstacle_that_stood(
    #[case] round: &[(Obstacle, u64)],
    #[case] rounds: u64,
) {
    let length: u64 = round.iter().map(|(_, time)| time).sum();
    let find = |at: u64| {
        let ends = round.iter().scan(0, |end, (obstacle, time)| {
            *end += time;
            Some((*end, obstacle))
        });
        let mut later = ends.filter(|(end, _)| at % length < *end);
        later.next().map(|(_, obstacle)| obstacle.clone())
    };
    let (_, counted) = play(length * rounds, |at| Some(find(at)));
    assert_eq!(counted.iter().map(|c| c.1).sum::<u64>(), length * rounds / 1_000);
    for (obstacle, time) in round {
        let seconds = counted.iter().find(|c| c.0 == obstacle.to_string()).map_or(0, |c| c.1);
        let difference = (seconds * 1_000).abs_diff(time * rounds);
        assert!(difference < 1_000, "{obstacle}: {seconds} s counted of {} ms", time * rounds);
    }
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
