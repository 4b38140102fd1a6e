//! Callers of instances that have just started and have no configuration yet.

use skylarkthread::startup;
use skylarkthread::store::Rereads;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// A kind of request: the caller's timeout, its target and the time to serve it.
#[derive(Debug, Clone, Copy)]
struct Kind {
    timeout: Duration,
    target: Duration,
    served_in: Duration,
}

const LONG: Kind = Kind { timeout: MS.saturating_mul(39_000), ..SHORT };
const SHORT: Kind = Kind {
    timeout: MS.saturating_mul(6_000),
    target: MS.saturating_mul(1_800),
    served_in: MS.saturating_mul(600),
};
const CALL: Kind = Kind {
    timeout: MS.saturating_mul(1_000),
    target: MS.saturating_mul(100),
    served_in: MS.saturating_mul(20),
};

/// Returns the time from arrival to the first event of a request that arrives when the processes
/// start, and whose configuration arrives after `outage`; `None` if it is not served. The caller
/// tries three times.
fn answer_time(kind: Kind, outage: Duration, waits: bool) -> Option<Duration> {
    let start = Instant::now();
    let (configured, deadline) = (start + outage, start + kind.timeout);
    let mut now = start;
    for _ in 0..3 {
        let left = deadline.saturating_duration_since(now);
        if now < configured {
            let end = startup::wait_end(now, Some(left), !waits).unwrap_or(now);
            if end < configured {
                now = end + startup::retry_after(end, now, Some(left));
                continue;
            }
            now = configured;
        }
        return (now + kind.served_in <= deadline).then(|| now + kind.served_in - start);
    }
    None
}

/// Returns how many of the requests that arrive within `outage` before the configuration, one each
/// ten milliseconds, are served in time, and how many are served at all.
fn served(kind: Kind, outage: Duration, waits: bool) -> (usize, usize) {
    let left = (1..=outage.as_millis() / 10).map(|n| MS * 10 * n as u32);
    let times: Vec<_> = left.filter_map(|left| answer_time(kind, left, waits)).collect();
    (times.iter().filter(|t| **t <= kind.target).count(), times.len())
}

/// All instances lose power, callers connect when they are back, and the configuration arrives 1.4 s
/// later: a generation that can still begin in time does, and all are served.
#[test]
fn generations_begin_in_time_once_the_configuration_arrives() {
    let outage = MS * 1400;
    for kind in [LONG, SHORT] {
        let in_time = (kind.target - kind.served_in).min(outage).as_millis() as usize / 10;
        assert_eq!(served(kind, outage, true), (in_time, 140));
        assert!(served(kind, outage, false).0 < in_time / 2, "without waiting");
    }
}

/// The same for calls, most of which have no time left when the configuration arrives.
#[test]
fn more_calls_are_served_than_by_refusing_at_once() {
    let (waiting, refused) = (served(CALL, MS * 1400, true).1, served(CALL, MS * 1400, false).1);
    assert!(waiting > refused, "{waiting} calls served with waiting, {refused} without");
}

/// The configuration does not arrive: a caller is turned away while it still has half of its time,
/// and before it gives up a stream that sends nothing.
#[test]
fn callers_learn_in_time_that_no_configuration_arrives() {
    let now = Instant::now();
    for kind in [LONG, SHORT, CALL] {
        let end = startup::wait_end(now, Some(kind.timeout), false).expect("it waits");
        assert!(end <= now + kind.timeout / 2 && end <= now + MS * 2000);
        let left = now + kind.timeout - end;
        assert!(startup::retry_after(end, now, Some(kind.timeout)) <= left / 3);
    }
}

/// Callers are not kept from an instance that may have a configuration.
#[test]
fn callers_are_sent_to_other_instances_where_there_are_any() {
    let now = Instant::now();
    assert_eq!(startup::wait_end(now, Some(MS * 6_000), true), None);
    assert_eq!(startup::wait_end(now, None, false), None);
}

/// Changes apply within 2 s, also where only full reads show them.
#[test]
fn full_reads_in_a_row_are_spaced_out_and_bounded() {
    let mut rereads = Rereads::default();
    let delays: Vec<Duration> = (0..100).map(|_| rereads.delay()).collect();
    assert!(delays[0].is_zero() && delays.is_sorted());
    assert!(delays[1..].iter().all(|d| !d.is_zero() && *d < Duration::from_secs(2)), "{delays:?}");
    rereads.reset();
    assert!(rereads.delay().is_zero());
}
