//! Numbers of events around a migration: none comes twice, and none is left out unseen.

use crate::common::{expected_events, list_endpoint, start_long_stream, start_platform, wait_for};
use rstest::rstest;
use standin::platform::{Action, Endpoint, Reply, StreamEnd};
use std::time::Duration;

/// Time between two events of an engine that leaves, in which its generations migrate.
const INTERVAL: Duration = Duration::from_millis(1500);

/// A stream whose engine has left after the first event.
struct Moved {
    reply: Reply,
    /// Number of requests to the target.
    runs: usize,
    /// Whether each copy of the memory was the last one.
    copies: Vec<bool>,
}

/// Starts a stream on an engine that leaves; its copies take `copy_time`.
fn migrate(events: &'static [&'static str], copy_time: Duration, target: Action) -> Moved {
    let e = Endpoint::start("i-1", Action::TextStream(events, INTERVAL));
    let (store, gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_long_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    let f = Endpoint::start("i-2", target);
    list_endpoint(&store, &f, "model", "ready");
    std::thread::sleep(Duration::from_millis(300));
    e.set_copy_time(copy_time);
    list_endpoint(&store, &e, "model", "draining");
    let reply = sent.reply();
    let copies = e.copy_requests().iter().map(|c| c.contains("\"last\":true")).collect();
    Moved { reply, runs: f.run_count(), copies }
}

const NUMBERED: &[&str] = &["id: 1\ndata: token-1\n\n", "id: 2\ndata: token-2\n\n"];

#[rstest]
#[case::next(StreamEnd::Chunked, "id: 2\ndata: b\n\n", "id: 2\ndata: b\n\n")]
#[case::last_twice(
    StreamEnd::Chunked,
    "id: 1\ndata: x\n\nid: 1\ndata: x\n\nid: 2\ndata: b\n\n",
    "id: 2\ndata: b\n\n"
)]
#[case::backwards(
    StreamEnd::Chunked,
    "id: 2\ndata: b\n\nid: 1\ndata: x\n\nid: 3\ndata: c\n\n",
    "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
)]
#[case::none_after_next(
    StreamEnd::Chunked,
    "id: 2\ndata: b\n\ndata: end\n\n",
    "id: 2\ndata: b\n\ndata: end\n\n"
)]
#[case::none_after_repeated(
    StreamEnd::Chunked,
    "id: 1\ndata: x\n\ndata: x\n\nid: 2\ndata: b\n\n",
    "id: 2\ndata: b\n\n"
)]
#[case::comment(StreamEnd::Chunked, ": a\n\nid: 2\ndata: b\n\n", ": a\n\nid: 2\ndata: b\n\n")]
#[case::no_more(StreamEnd::Length, "", "")]
#[case::repeated_alone(StreamEnd::Length, "id: 1\ndata: x\n\n", "")]
fn stream_that_migrates_has_each_event_once(
    #[case] end: StreamEnd,
    #[case] rest: &'static str,
    #[case] passed: &str,
) {
    let moved = migrate(NUMBERED, Duration::ZERO, Action::EndingStream(end, 0, rest));
    assert_eq!((moved.copies, moved.runs), (vec![false, true], 1));
    assert_eq!((moved.reply.complete, moved.reply.body), (true, expected_events(1) + passed));
}

#[rstest]
#[case::skipped(StreamEnd::Chunked, "id: 3\ndata: x\n\n")]
#[case::largest(StreamEnd::Chunked, "id: 18446744073709551615\ndata: x\n\n")]
#[case::none_first(StreamEnd::Chunked, "data: x\n\n")]
#[case::no_number_first(StreamEnd::Chunked, "id: x\ndata: x\n\n")]
#[case::unframed_no_more(StreamEnd::Close, "")]
#[case::unframed_repeated_alone(StreamEnd::Close, "id: 1\ndata: x\n\n")]
#[case::open_event(StreamEnd::Length, "id: 2\ndata: tok")]
#[case::skipped_later(StreamEnd::Chunked, "id: 1\ndata: x\n\nid: 1\ndata: x\n\nid: 3\ndata: x\n\n")]
fn stream_that_misses_an_event_after_a_migration_does_not_look_complete(
    #[case] end: StreamEnd,
    #[case] rest: &'static str,
) {
    let target = Action::EndingStream(end, 0, rest);
    let moved = migrate(NUMBERED, Duration::ZERO, target);
    assert_eq!((moved.copies, moved.runs), (vec![false, true], 1));
    assert_eq!((moved.reply.complete, moved.reply.body), (false, expected_events(1)));
}

#[rstest]
#[case::none(&["data: a\n\n", "data: b\n\n"], Duration::ZERO, 0)]
#[case::none_last(&["id: 1\ndata: a\n\ndata: b\n\n", "data: c\n\n"], Duration::ZERO, 0)]
#[case::none_during_a_copy(
    &["id: 1\ndata: a\n\n", "data: b\n\n", "data: c\n\n", "data: d\n\n"],
    2 * INTERVAL,
    1
)]
fn stream_with_events_without_a_number_stays_on_its_engine(
    #[case] events: &'static [&'static str],
    #[case] copy_time: Duration,
    #[case] copies: usize,
) {
    let moved = migrate(events, copy_time, Action::Stream(9, Duration::ZERO));
    assert_eq!((moved.reply.complete, moved.reply.body), (true, events.concat()));
    assert_eq!((moved.copies, moved.runs), (vec![false; copies], 0));
}
