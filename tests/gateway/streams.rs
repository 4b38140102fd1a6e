//! Generations: relayed events, broken streams and migrations.

use crate::common::{expected_events, list_endpoint, start_platform, start_stream, wait_for};
use rstest::rstest;
use standin::platform::{Action, Endpoint, Outage, Reply, StreamEnd};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const EVENT_INTERVAL: Duration = Duration::from_millis(30);

#[test]
fn stream_is_relayed_to_its_end() {
    let e = Endpoint::start("i-1", Action::Stream(20, EVENT_INTERVAL));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let reply = start_stream(&gateway, "id-1").reply();
    assert_eq!((reply.status, reply.complete), (200, true));
    assert_eq!(reply.body, expected_events(20));
}

#[test]
fn broken_stream_ends_incomplete_after_its_last_whole_event() {
    let e = Endpoint::start("i-1", Action::TruncatedStream(3));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let reply = start_stream(&gateway, "id-1").reply();
    assert!(!reply.complete);
    assert_eq!(reply.body, expected_events(3));
    assert_eq!(e.run_count(), 1);
}

#[rstest]
#[case::id_line(StreamEnd::Close, "id: 4\n")]
#[case::open_line(StreamEnd::Close, "id: 4\ndata: tok")]
#[case::no_blank_line(StreamEnd::Close, "id: 4\ndata: token-4\n")]
#[case::last_chunk(StreamEnd::Chunked, "id: 4\ndata: tok")]
#[case::length(StreamEnd::Length, "id: 4\ndata: tok")]
fn stream_that_ends_inside_an_event_does_not_look_complete(
    #[case] end: StreamEnd,
    #[case] rest: &'static str,
) {
    let e = Endpoint::start("i-1", Action::EndingStream(end, 3, rest));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let reply = start_stream(&gateway, "id-1").reply();
    assert_eq!((reply.status, reply.complete, reply.body), (200, false, expected_events(3)));
    assert_eq!(e.run_count(), 1);
}

#[rstest]
#[case::close(StreamEnd::Close)]
#[case::chunked(StreamEnd::Chunked)]
#[case::length(StreamEnd::Length)]
fn stream_cut_at_any_byte_of_an_event_does_not_look_complete(#[case] end: StreamEnd) {
    const EVENT: &str = ": comment\nid: 4\r\ndata: token-4\r\n\r\n";
    let e = Endpoint::start("i-1", Action::Hang);
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let first_field = EVENT.find("id").expect("the event has an id");
    for cut in (1..EVENT.len()).filter(|n| *n != first_field) {
        e.push_action(Action::EndingStream(end, 3, &EVENT[..cut]));
        let reply = start_stream(&gateway, &format!("id-{cut}")).reply();
        assert_eq!((reply.status, reply.complete), (200, false), "cut after {cut} bytes");
        assert_eq!(reply.body, expected_events(3), "cut after {cut} bytes");
    }
}

/// Sends a request for a generation in HTTP/1.0, whose response ends with its connection.
fn start_http_1_0_stream(gateway: &standin::platform::Gateway) -> standin::platform::Connection {
    let extra = "X-Model: m\r\nX-Token-Counts: 100,500\r\n";
    let request = crate::common::request_bytes("POST", "/stream/x", "id-1", extra, "prompt");
    let text = String::from_utf8(request).expect("the request is text");
    standin::platform::send(gateway.front, text.replace("HTTP/1.1", "HTTP/1.0").as_bytes())
}

#[test]
fn stream_to_an_http_1_0_caller_that_is_broken_off_does_not_look_complete() {
    let e = Endpoint::start("i-1", Action::TruncatedStream(3));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let (response, is_complete) = start_http_1_0_stream(&gateway).read_to_end();
    assert_eq!((is_complete, e.run_count()), (false, 1), "{response}");
}

#[test]
fn stream_to_an_http_1_0_caller_does_not_look_complete_when_its_instance_is_killed() {
    let e = Endpoint::start("i-1", Action::Stream(80, EVENT_INTERVAL));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let mut connection = start_http_1_0_stream(&gateway);
    assert!(wait_for(5, || e.run_count() == 1));
    std::thread::sleep(3 * EVENT_INTERVAL);
    drop(gateway);
    let (response, is_complete) = connection.read_to_end();
    assert!(!is_complete, "{response}");
}

#[test]
fn stream_to_an_http_1_0_caller_that_ends_is_complete() {
    let e = Endpoint::start("i-1", Action::Stream(3, EVENT_INTERVAL));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let (response, is_complete) = start_http_1_0_stream(&gateway).read_to_end();
    assert!(is_complete && response.ends_with(&expected_events(3)), "{response}");
}

#[test]
fn stream_without_framing_that_ends_after_an_event_is_complete() {
    let e = Endpoint::start("i-1", Action::EndingStream(StreamEnd::Close, 3, ": done\n"));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let reply = start_stream(&gateway, "id-1").reply();
    assert_eq!((reply.complete, reply.body), (true, expected_events(3) + ": done\n"));
}

#[rstest]
#[case::nothing("")]
#[case::comment(": started\n")]
fn stream_without_framing_that_ends_before_its_first_event_does_not_look_complete(
    #[case] rest: &'static str,
) {
    let e = Endpoint::start("i-1", Action::EndingStream(StreamEnd::Close, 0, rest));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let reply = start_stream(&gateway, "id-1").reply();
    assert_eq!((reply.status, reply.complete, reply.body.as_str()), (200, false, ""));
}

#[test]
fn stream_without_framing_of_comments_alone_does_not_look_complete() {
    let comments = ": started\n\n: still there\n\n";
    let e = Endpoint::start("i-1", Action::EndingStream(StreamEnd::Close, 0, comments));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let reply = start_stream(&gateway, "id-1").reply();
    assert_eq!((reply.status, reply.complete, reply.body.as_str()), (200, false, comments));
}

#[test]
fn stream_without_framing_that_is_reset_does_not_look_complete() {
    let e = Endpoint::start("i-1", Action::EndingStream(StreamEnd::Reset, 3, ""));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let reply = start_stream(&gateway, "id-1").reply();
    assert_eq!((reply.complete, reply.body), (false, expected_events(3)));
}

fn start_resumable(
    gateway: &standin::platform::Gateway,
    id: &str,
) -> standin::platform::Connection {
    let extra = "X-Model: m\r\nX-Token-Counts: 100,500\r\n";
    let bytes = crate::common::request_bytes("POST", "/resume/x", id, extra, "prompt");
    standin::platform::send(gateway.front, &bytes)
}

/// Sends resumable streams until one has met the engine, and returns their replies.
fn send_until_met(gateway: &standin::platform::Gateway, e: &Endpoint) -> Vec<(bool, String)> {
    let mut replies = Vec::new();
    while e.run_count() == 0 && replies.len() < 40 {
        let reply = start_resumable(gateway, &format!("id-{}", replies.len())).reply();
        replies.push((reply.complete, reply.body));
    }
    assert!(e.run_count() > 0, "no request met the engine");
    replies
}

#[test]
fn resumable_stream_continues_on_another_engine_after_its_last_whole_event() {
    let e = Endpoint::start("i-1", Action::TruncatedStream(3));
    let f = Endpoint::start("i-2", Action::Stream(6, EVENT_INTERVAL));
    let (_store, gateway) = start_platform(&[(&e, "model"), (&f, "model")]);
    let replies = send_until_met(&gateway, &e);
    assert!(replies.iter().all(|r| *r == (true, expected_events(6))), "{replies:?}");
    let last = f.received().pop().expect("the stream continued there").req;
    assert_eq!(last.header("last-event-id"), Some("3"));
    assert_eq!((last.header("kv-from"), &*last.body), (None, &b"prompt"[..]));
}

#[test]
fn resumable_stream_that_ends_inside_an_event_continues_on_another_engine() {
    let e = Endpoint::start("i-1", Action::EndingStream(StreamEnd::Close, 3, "id: 4\ndata: tok"));
    let f = Endpoint::start("i-2", Action::Stream(6, EVENT_INTERVAL));
    let (_store, gateway) = start_platform(&[(&e, "model"), (&f, "model")]);
    let replies = send_until_met(&gateway, &e);
    assert!(replies.iter().all(|r| *r == (true, expected_events(6))), "{replies:?}");
}

#[rstest]
#[case::no_body("", "", false)]
#[case::comment("", ": none\n\n", false)]
#[case::length("Content-Length: 0\r\n", "", true)]
#[case::chunks("Transfer-Encoding: chunked\r\n", "0\r\n\r\n", true)]
fn stream_without_framing_that_continues_without_an_event_does_not_look_complete(
    #[case] headers: &'static str,
    #[case] body: &'static str,
    #[case] is_complete: bool,
) {
    let target = Action::Raw("HTTP/1.1 200 X", headers, body);
    let replies = (0..10).find_map(|_| continue_at(target.clone()));
    let reply = replies.expect("no stream was continued");
    assert_eq!(reply.complete, is_complete, "{}", reply.body);
    assert!(reply.body.starts_with(&expected_events(3)), "{}", reply.body);
}

/// Sends streams to an engine that breaks off and to another one, until one continues at the other;
/// `None` if the first engine is ejected before, as it had streams only after the other had failed.
fn continue_at(target: Action) -> Option<Reply> {
    let e = Endpoint::start("i-1", Action::TruncatedStream(3));
    let f = Endpoint::start("i-2", target);
    let (_store, gateway) = start_platform(&[(&e, "model"), (&f, "model")]);
    let is_continued = || f.received().iter().any(|r| r.req.header("last-event-id") == Some("3"));
    let mut replies = (0..40).map(|n| start_resumable(&gateway, &format!("id-{n}")).reply());
    replies.find(|_| is_continued())
}

/// Sends resumable streams until an engine that breaks off has had one, and returns the last reply.
fn break_off(broken: &'static str, n: u64, second: Action) -> (bool, String) {
    let e = Endpoint::start("i-1", Action::EndingStream(StreamEnd::Reset, n, broken));
    let f = Endpoint::start("i-2", second);
    let (_store, gateway) = start_platform(&[(&e, "model"), (&f, "model")]);
    send_until_met(&gateway, &e).pop().expect("a reply")
}

#[rstest]
#[case::first(0, "data: token-1\n\n")]
#[case::no_number(0, "id: a\ndata: token-1\n\n")]
#[case::after_a_number(1, "data: token-2\n\n")]
fn event_without_a_number_is_not_repeated_by_another_engine(
    #[case] n: u64,
    #[case] rest: &'static str,
) {
    let whole = Action::EndingStream(StreamEnd::Chunked, n, rest);
    let (is_complete, body) = break_off(rest, n, whole);
    assert!(!is_complete, "{body}");
    assert_eq!(body, expected_events(n) + rest);
}

#[test]
fn engine_without_numbers_does_not_continue_a_stream() {
    let second = Action::EndingStream(StreamEnd::Chunked, 0, "data: token-1\n\n");
    assert_eq!(break_off("", 3, second), (false, expected_events(3)));
}

#[rstest]
#[case::after_the_last("data: [DONE]\n\n", 0)]
#[case::after_repeated("data: x\n\nid: 4\ndata: token-4\n\n", 9)]
fn event_without_a_number_follows_the_numbered_one_before_it(
    #[case] rest: &'static str,
    #[case] dropped: usize,
) {
    let n = if dropped == 0 { 4 } else { 3 };
    let second = Action::EndingStream(StreamEnd::Chunked, n, rest);
    let body = expected_events(n) + &rest[dropped..];
    assert_eq!(break_off("", 3, second), (true, body));
}

/// Crashes an engine during a stream whose end is that of the connection.
fn crash_unframed(e: &Endpoint, sent: &mut standin::platform::Connection) -> (bool, String) {
    assert!(wait_for(2, || e.run_count() == 1));
    std::thread::sleep(Duration::from_millis(300));
    e.crash(Duration::from_secs(5));
    let reply = sent.reply();
    (reply.complete, reply.body)
}

#[rstest]
#[case::ready("ready", false)]
#[case::leaving("draining", true)]
fn unframed_stream_whose_engine_is_gone_is_complete_only_if_it_was_leaving(
    #[case] state: &str,
    #[case] is_complete: bool,
) {
    let e = Endpoint::start("i-1", Action::UnframedStream(200, EVENT_INTERVAL));
    let (store, gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    list_endpoint(&store, &e, "model", state);
    let (complete, body) = crash_unframed(&e, &mut sent);
    let events = body.matches("\n\n").count() as u64;
    assert_eq!((complete, body), (is_complete, expected_events(events)));
}

#[test]
fn unframed_resumable_stream_whose_engine_crashes_continues_on_another_engine() {
    let e = Endpoint::start("i-1", Action::UnframedStream(40, EVENT_INTERVAL));
    let (store, gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_resumable(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    let f = Endpoint::start("i-2", Action::UnframedStream(40, EVENT_INTERVAL));
    list_endpoint(&store, &f, "model", "ready");
    assert_eq!(crash_unframed(&e, &mut sent), (true, expected_events(40)));
    assert_eq!(f.run_count(), 1);
}

#[test]
fn resumable_stream_that_got_no_response_runs_on_another_engine() {
    let e = Endpoint::start("i-1", Action::Reset);
    let f = Endpoint::start("i-2", Action::Stream(6, EVENT_INTERVAL));
    let (_store, gateway) = start_platform(&[(&e, "model"), (&f, "model")]);
    let replies = send_until_met(&gateway, &e);
    assert!(replies.iter().all(|r| *r == (true, expected_events(6))), "{replies:?}");
}

#[test]
fn resumable_stream_runs_on_as_many_engines_as_its_route_allows() {
    let engines = ["i-1", "i-2", "i-3"].map(|id| Endpoint::start(id, Action::TruncatedStream(3)));
    let (_store, gateway) = start_platform(&engines.each_ref().map(|e| (e, "model")));
    let reply = start_resumable(&gateway, "id-1").reply();
    assert_eq!((reply.complete, reply.body), (false, expected_events(3)));
    assert_eq!(engines.iter().map(|e| e.run_count()).sum::<usize>(), 2);
}

#[test]
fn stream_continues_on_another_engine_when_its_engine_leaves() {
    let e = Endpoint::start("i-1", Action::Stream(80, EVENT_INTERVAL));
    let (store, gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    let f = Endpoint::start("i-2", Action::Stream(80, EVENT_INTERVAL));
    list_endpoint(&store, &f, "model", "ready");
    std::thread::sleep(Duration::from_millis(300));
    list_endpoint(&store, &e, "model", "draining");
    let reply = sent.reply();
    assert!(reply.complete);
    assert_eq!(reply.body, expected_events(80));
    assert_eq!((e.run_count(), f.run_count()), (1, 1));
    let resumed = f.received().remove(0).req;
    assert_eq!(resumed.header("kv-from"), Some(format!("{}/token", e.address).as_str()));
    assert_eq!(resumed.header("x-attempt-id"), Some("id-1"));
    assert_eq!(resumed.body, b"prompt");
    // The first copy leaves the generation running; the last one stops it.
    let last_flags: Vec<bool> =
        e.copy_requests().iter().map(|m| m.contains("\"last\":true")).collect();
    assert_eq!(last_flags, [false, true]);
}

#[test]
fn first_copy_is_freed_when_the_last_one_finds_no_memory() {
    let e = Endpoint::start("i-1", Action::Stream(60, EVENT_INTERVAL));
    let (store, gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    let f = Endpoint::start("i-2", Action::Stream(60, EVENT_INTERVAL));
    list_endpoint(&store, &f, "model", "ready");
    std::thread::sleep(Duration::from_millis(300));
    e.refuse_last_copies();
    list_endpoint(&store, &e, "model", "draining");
    let reply = sent.reply();
    assert_eq!((reply.complete, reply.body), (true, expected_events(60)));
    assert_eq!((e.freed_copies(), f.run_count()), (vec!["token".to_owned()], 0));
}

#[test]
fn unframed_stream_that_ends_during_its_first_copy_is_complete() {
    let e = Endpoint::start("i-1", Action::UnframedStream(40, EVENT_INTERVAL));
    let (store, gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    let f = Endpoint::start("i-2", Action::UnframedStream(40, EVENT_INTERVAL));
    list_endpoint(&store, &f, "model", "ready");
    std::thread::sleep(Duration::from_millis(300));
    e.set_copy_time(Duration::from_secs(3));
    let started = Instant::now();
    list_endpoint(&store, &e, "model", "draining");
    let reply = sent.reply();
    assert_eq!((reply.complete, reply.body), (true, expected_events(40)));
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    assert_eq!(f.run_count(), 0);
}

#[test]
fn unframed_stream_continues_on_another_engine_when_its_engine_leaves() {
    let e = Endpoint::start("i-1", Action::UnframedStream(80, EVENT_INTERVAL));
    let (store, gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    let f = Endpoint::start("i-2", Action::UnframedStream(80, EVENT_INTERVAL));
    list_endpoint(&store, &f, "model", "ready");
    std::thread::sleep(Duration::from_millis(300));
    list_endpoint(&store, &e, "model", "draining");
    let reply = sent.reply();
    assert_eq!((reply.complete, reply.body), (true, expected_events(80)));
    assert_eq!((e.run_count(), f.run_count()), (1, 1));
}

#[rstest]
#[case::same_start(r#"{"state":"ready","born":7}"#, true)]
#[case::no_start(r#"{"state":"ready"}"#, true)]
#[case::other_start(r#"{"state":"ready","born":8}"#, false)]
fn unframed_stream_whose_last_copy_finds_a_restarted_engine_does_not_look_complete(
    #[case] report: &str,
    #[case] is_complete: bool,
) {
    let e = Endpoint::start("i-1", Action::UnframedStream(200, EVENT_INTERVAL));
    let (store, gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    let f = Endpoint::start("i-2", Action::UnframedStream(200, EVENT_INTERVAL));
    list_endpoint(&store, &f, "model", "ready");
    std::thread::sleep(Duration::from_millis(300));
    e.lose_runs_at_last_copies();
    e.set_report(report);
    list_endpoint(&store, &e, "model", "draining");
    let reply = sent.reply();
    let events = reply.body.matches("\n\n").count() as u64;
    assert_eq!((reply.complete, f.run_count()), (is_complete, 0), "{events} events");
    assert_eq!(reply.body, expected_events(events));
}

/// Two gateways have generations on an engine that is no longer listed. The copies of all of them
/// use its link one after the other, whichever gateway coordinates them.
#[test]
fn copies_of_several_gateways_take_turns_on_the_link_of_an_engine() {
    let e = Endpoint::start("i-1", Action::Stream(100, EVENT_INTERVAL));
    let (store, gateway) = start_platform(&[(&e, "model")]);
    let other = crate::common::start_gateway(&store);
    assert!(wait_for(5, || other.readiness() == 200));
    assert!(wait_for(4, || store.keys("gateways/").len() == 2));
    std::thread::sleep(Duration::from_millis(1500));
    let ids = ["id-1", "id-2", "id-3", "id-4"];
    let gateways = [&gateway, &other, &gateway, &other];
    let mut sent: Vec<_> =
        ids.iter().zip(gateways).map(|(id, gateway)| start_stream(gateway, id)).collect();
    assert!(wait_for(2, || e.run_count() == 4));
    let f = Endpoint::start("i-2", Action::Stream(100, EVENT_INTERVAL));
    list_endpoint(&store, &f, "model", "ready");
    std::thread::sleep(Duration::from_millis(300));
    e.set_copy_time(Duration::from_millis(80));
    store.set("servers/i-1", None);
    for reply in sent.iter_mut().map(|s| s.reply()) {
        assert_eq!((reply.complete, reply.body), (true, expected_events(100)));
    }
    assert_eq!((e.run_count(), f.run_count()), (4, 4));
    let copies = e.copies();
    assert_eq!(copies.len(), 8);
    // A first and a last copy of each, and none starts before the previous one has ended.
    let overlaps = copies.windows(2).filter(|pair| pair[1].started < pair[0].ended).count();
    assert_eq!(overlaps, 0, "{copies:?}");
}

#[test]
fn engines_are_asked_whether_they_leave_during_store_outage() {
    let e = Endpoint::start("i-1", Action::Stream(80, EVENT_INTERVAL));
    let (store, gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    let f = Endpoint::start("i-2", Action::Stream(80, EVENT_INTERVAL));
    list_endpoint(&store, &f, "model", "ready");
    std::thread::sleep(Duration::from_millis(200));
    store.set_outage(Some(Outage::Busy));
    e.start_draining();
    let reply = sent.reply();
    assert_eq!((reply.complete, reply.body), (true, expected_events(80)));
    assert_eq!(f.run_count(), 1);
}

/// An engine tells only one of two gateways that it leaves, while the store cannot.
#[test]
fn notice_of_an_engine_reaches_the_instances_that_did_not_ask() {
    let e = Endpoint::start("i-1", Action::Stream(100, EVENT_INTERVAL));
    let (store, gateway) = start_platform(&[(&e, "model")]);
    let other = crate::common::start_gateway(&store);
    assert!(wait_for(5, || other.readiness() == 200));
    assert!(wait_for(4, || store.keys("gateways/").len() == 2));
    std::thread::sleep(Duration::from_millis(1500));
    let mut sent = [start_stream(&gateway, "id-1"), start_stream(&other, "id-2")];
    assert!(wait_for(2, || e.run_count() == 2));
    let f = Endpoint::start("i-2", Action::Stream(100, EVENT_INTERVAL));
    list_endpoint(&store, &f, "model", "ready");
    std::thread::sleep(Duration::from_millis(300));
    store.set_outage(Some(Outage::Busy));
    e.report_draining(1);
    for reply in sent.iter_mut().map(|s| s.reply()) {
        assert_eq!((reply.complete, reply.body), (true, expected_events(100)));
    }
    assert_eq!((e.run_count(), f.run_count()), (2, 2));
}

#[test]
fn caller_disconnect_cancels_the_generation() {
    let e = Endpoint::start("i-1", Action::Stream(200, EVENT_INTERVAL));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let sent = start_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    std::thread::sleep(Duration::from_millis(200));
    drop(sent);
    let disconnected = Instant::now();
    assert!(wait_for(2, || e.received()[0].closed.load(Ordering::SeqCst)));
    assert!(disconnected.elapsed() < Duration::from_millis(450), "{:?}", disconnected.elapsed());
}

#[test]
fn disconnect_behind_many_pipelined_bytes_cancels_the_generation() {
    let e = Endpoint::start("i-1", Action::Hang);
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.received().len() == 1));
    sent.write(&[b'x'; 80 << 10]).expect("the connection is open");
    std::thread::sleep(Duration::from_millis(300));
    drop(sent);
    let disconnected = Instant::now();
    assert!(wait_for(2, || e.received()[0].closed.load(Ordering::SeqCst)));
    assert!(disconnected.elapsed() < Duration::from_millis(500), "{:?}", disconnected.elapsed());
}

#[test]
fn generation_is_not_retried_after_connection_reset() {
    let e = Endpoint::start("i-1", Action::Reset);
    let f = Endpoint::start("i-2", Action::Reset);
    let (_store, gateway) = start_platform(&[(&e, "model"), (&f, "model")]);
    let reply = start_stream(&gateway, "id-1").reply();
    assert_eq!(reply.status, 502);
    assert_eq!(e.run_count() + f.run_count(), 1);
}

#[test]
fn generation_without_free_engine_memory_is_refused_with_retry_after() {
    let e = Endpoint::start("i-1", Action::Stream(300, EVENT_INTERVAL));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let large = "X-Model: m\r\nX-Token-Counts: 20000,5000\r\n";
    let bytes = |id| crate::common::request_bytes("POST", "/stream/x", id, large, "p");
    let first = standin::platform::send(gateway.front, &bytes("id-1"));
    assert!(wait_for(2, || e.run_count() == 1));
    std::thread::sleep(Duration::from_millis(200));
    let started = Instant::now();
    let reply = standin::platform::send(gateway.front, &bytes("id-2")).reply();
    assert_eq!(reply.status, 503);
    assert!(started.elapsed() < Duration::from_secs(8), "{:?}", started.elapsed());
    assert!(reply.header("retry-after").is_some());
    assert_eq!(e.run_count(), 1);
    drop(first);
}
