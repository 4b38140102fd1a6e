//! Tests of splitting a byte stream into events and of checking their order.

use proptest::prelude::*;
use rstest::rstest;
use skylarkthread::sse::{EventId, EventOrder, EventScanner, check_order, ends_inside_event};

#[rstest]
#[case::complete(b"id: 4\ndata: x\n\nid: 5", Some((15, Some(4))))]
#[case::carriage_returns(b"id:4\r\ndata: x\r\n\r\n", Some((17, Some(4))))]
#[case::no_id(b"data: x\n\n", Some((9, None)))]
#[case::no_blank_line(b"id: 4\ndata: x\n", None)]
#[case::incomplete_blank_line(b"id: 4\r\n\r", None)]
#[case::empty_buffer(b"", None)]
fn scanner_returns_event_once_its_blank_line_arrived(
    #[case] bytes: &[u8],
    #[case] want: Option<(usize, Option<u64>)>,
) {
    let got = EventScanner::default().scan(bytes).map(|e| (e.len, e.id.map(|i| i.0)));
    assert_eq!(got, want);
}

#[rstest]
#[case(None, Some(7), EventOrder::Next)]
#[case(Some(7), Some(8), EventOrder::Next)]
#[case(Some(7), Some(7), EventOrder::Repeated)]
#[case(Some(7), Some(9), EventOrder::Gap)]
#[case(Some(7), None, EventOrder::Next)]
fn check_order_detects_repeated_and_missing_events(
    #[case] last: Option<u64>,
    #[case] id: Option<u64>,
    #[case] want: EventOrder,
) {
    assert_eq!(check_order(last.map(EventId), id.map(EventId)), want);
}

proptest! {
    #[test]
    fn scanner_finds_all_events_for_any_split_of_the_stream(n in 1u64..20, cuts in prop::collection::vec(1usize..30, 0..40)) {
        let all: Vec<u8> = (1..=n).flat_map(|i| format!("id: {i}\ndata: t{i}\n\n").into_bytes()).collect();
        let (mut buf, mut ids, mut at) = (Vec::new(), Vec::new(), 0);
        let mut scanner = EventScanner::default();
        for cut in cuts.into_iter().chain([all.len()]) {
            let end = (at + cut).min(all.len());
            buf.extend_from_slice(&all[at..end]);
            at = end;
            while let Some(e) = scanner.scan(&buf) {
                ids.push(e.id.expect("every event has an id").0);
                buf.drain(..e.len);
            }
        }
        prop_assert!(buf.is_empty());
        prop_assert_eq!(ids, (1..=n).collect::<Vec<_>>());
    }
}

/// A megabyte of one event in parts of 16 bytes. Examining all of it for each part would take 32
/// thousand million steps.
#[test]
fn event_that_arrives_in_many_parts_is_examined_once() {
    let mut scanner = EventScanner::default();
    let mut buf = Vec::new();
    for _ in 0..(1 << 16) {
        buf.extend_from_slice(b"data: filler fil");
        assert_eq!(scanner.scan(&buf), None);
    }
    buf.extend_from_slice(b"\nid: 3\n\n");
    let event = scanner.scan(&buf).expect("the event is complete");
    assert_eq!((event.len, event.id), (buf.len(), Some(EventId(3))));
}

#[rstest]
#[case::nothing("", false)]
#[case::comment(": keep-alive\n", false)]
#[case::comments(": one\r\n:two\n", false)]
#[case::open_comment(": keep-al", true)]
#[case::field("data: token\n", true)]
#[case::open_field("da", true)]
#[case::comment_then_field(": one\nid: 4\n", true)]
#[case::half_line_ending("\r", true)]
fn bytes_after_the_last_event_show_whether_the_stream_broke_off(
    #[case] rest: &str,
    #[case] is_inside: bool,
) {
    assert_eq!(ends_inside_event(rest.as_bytes()), is_inside);
}
