//! A planned stop under load: when an instance closes its connections, and when it exits.

use rstest::rstest;
use skylarkthread::shutdown::{Drain, OpenWork, Phase};
use std::time::{Duration, Instant};

const GRACE: Duration = Duration::from_secs(8);

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the phases of a stop with what is open at each check, every 50 ms, and when each began.
fn phases(grace: Duration, open: impl Fn(u64, Phase) -> OpenWork) -> Vec<(Phase, u64)> {
    let start = Instant::now();
    let mut drain = Drain::new(start, grace);
    let mut seen = vec![(Phase::Draining, 0)];
    for ms in (50..).step_by(50).take_while(|ms| millis(*ms) <= grace) {
        let last = seen[seen.len() - 1].0;
        let phase = drain.step(start + millis(ms), open(ms, last));
        if phase != last {
            seen.push((phase, ms));
        }
    }
    seen
}

/// The process exits only once all connections are closed, whatever is read meanwhile.
#[test]
fn instance_exits_once_its_connections_are_closed() {
    let open = |ms, phase| match phase {
        Phase::Draining => OpenWork { connections: 300, requests: 0 },
        // A request was read at the moment of closing.
        _ if ms < 2900 => OpenWork { connections: 1, requests: 1 },
        _ => OpenWork::default(),
    };
    let expected = [(Phase::Draining, 0), (Phase::Closing, 2600), (Phase::Stopped, 2900)];
    assert_eq!(phases(GRACE, open), expected);
}

#[test]
fn busy_instance_answers_its_requests_before_the_grace_period_ends() {
    let open = |ms, _| match ms {
        0..=7600 => OpenWork { connections: 40, requests: 3 },
        _ => OpenWork::default(),
    };
    let expected = [(Phase::Draining, 0), (Phase::Expiring, 7400), (Phase::Stopped, 7650)];
    assert_eq!(phases(GRACE, open), expected);
}

#[test]
fn instance_exits_before_it_is_killed() {
    let open = |_, _| OpenWork { connections: 1, requests: 1 };
    let expected = [(Phase::Draining, 0), (Phase::Expiring, 7400), (Phase::Stopped, 7800)];
    assert_eq!(phases(GRACE, open), expected);
}

/// A stop that does not come to its end is given up after one that does would have ended.
#[rstest]
#[case::usual(8000, 8000)]
#[case::short(1100, 1100)]
#[case::none(0, 1100)]
fn stop_is_given_up_before_the_process_is_killed(#[case] grace: u64, #[case] latest: u64) {
    let start = Instant::now();
    let mut drain = Drain::new(start, millis(grace));
    let last = drain.abort();
    assert!(last < start + millis(latest));
    let open = OpenWork { connections: 1, requests: 1 };
    assert_eq!(drain.step(last, open), Phase::Stopped);
}

/// What was read is answered by the expiry: a request that would end later is refused.
#[rstest]
#[case::call_in_time(8000, 6000, 7300, false, false)]
#[case::call_too_long(8000, 6000, 7500, false, true)]
#[case::long_call_while_connections_arrive(8000, 1000, 40000, false, false)]
#[case::generation(8000, 2600, 7000, true, true)]
#[case::generation_while_connections_arrive(8000, 1000, 40000, true, false)]
#[case::short_grace_period(3000, 1500, 3000, false, true)]
fn request_that_could_outlast_the_instance_is_refused(
    #[case] grace: u64,
    #[case] at: u64,
    #[case] deadline: u64,
    #[case] is_generation: bool,
    #[case] is_refused: bool,
) {
    let start = Instant::now();
    let drain = Drain::new(start, millis(grace));
    let refuses = drain.refuses(start + millis(at), start + millis(deadline), is_generation);
    assert_eq!(refuses, is_refused);
}
