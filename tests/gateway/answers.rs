//! Answers of endpoints that are malformed or break off, which are passed on as no answer.

use crate::common::{
    CONFIG, GENERATION, list_endpoint, request_bytes, send_request, start_gateway, start_platform,
    start_stream, wait_for,
};
use rstest::rstest;
use standin::platform::{Action, EarlyAnswer, EarlyEnd, Endpoint, Gateway, Reply, Store, send};
use std::time::Duration;

/// Size of an upload that does not fit into the buffers of a connection.
const UPLOAD_BYTES: usize = 4 << 20;
/// Times between the bytes of an answer and the end of its connection.
const DELAYS_MS: [u64; 6] = [0, 0, 1, 5, 20, 60];

/// Starts the platform with room for uploads in requests.
fn start_upload_platform(endpoints: &[(&Endpoint, &str)]) -> (Store, Gateway) {
    let store = Store::start();
    let limit = format!("\"max_body_bytes\":{}", 2 * UPLOAD_BYTES);
    let config = CONFIG.replace("\"max_body_bytes\":100000", &limit);
    assert_ne!(config, CONFIG);
    store.set("op/config", Some(config.as_bytes()));
    endpoints.iter().for_each(|(e, service)| list_endpoint(&store, e, service, "ready"));
    let gateway = start_gateway(&store);
    assert!(wait_for(5, || gateway.readiness() == 200), "gateway not ready within 5 s");
    (store, gateway)
}

/// Sends a request with a long body to a route.
fn upload(gateway: &Gateway, route: &str, id: &str) -> Reply {
    let extra = if route == "stream" { GENERATION } else { "" };
    let body = "x".repeat(UPLOAD_BYTES);
    send(gateway.front, &request_bytes("POST", &format!("/{route}/x"), id, extra, &body)).reply()
}

fn service(route: &str) -> &'static str {
    if route == "stream" { "model" } else { "plain" }
}

/// Time in which a process reads what has arrived.
const SETTLE: Duration = Duration::from_millis(150);
/// Body of an answer to an upload: a whole event.
const EVENT: &str = "id: 1\ndata: token-1\n\n";

/// Returns the treatment of an upload of which this many bytes are read.
fn early(read: usize, headers: &str, body: &str, end: EarlyEnd) -> Action {
    early_with(read, "HTTP/1.1 200 OK", headers, body, end)
}

/// Returns the treatment of an upload whose answer starts with these lines.
fn early_with(read: usize, start: &str, headers: &str, body: &str, end: EarlyEnd) -> Action {
    let (start, headers, body) = (start.into(), headers.into(), body.into());
    Action::Early(EarlyAnswer { read, start, headers, body, end })
}

#[rstest]
fn part_of_an_answer_before_a_reset_during_the_upload_is_no_answer(
    #[values("safe", "unsafe", "stream")] route: &str,
    #[values(0, 100_000, 3 << 20)] read: usize,
) {
    let e = Endpoint::start("i-1", Action::Hang);
    let (_store, gateway) = start_upload_platform(&[(&e, service(route))]);
    let mut passed = Vec::new();
    for (n, ms) in DELAYS_MS.iter().cycle().take(18).enumerate() {
        let reset = EarlyEnd::Reset(Duration::from_millis(*ms));
        e.push_action(early(read, "", EVENT, reset));
        let reply = upload(&gateway, route, &format!("id-{n}"));
        if reply.complete && !matches!(reply.status, 502 | 504) {
            passed.push((*ms, reply.status, reply.body));
        }
    }
    assert_eq!(e.run_count(), 18, "requests did not reach the endpoint: {passed:?}");
    assert!(passed.is_empty(), "{} of 18: {passed:?}", passed.len());
}

#[rstest]
fn part_of_an_answer_of_an_endpoint_that_ends_during_the_upload_is_no_answer(
    #[values("safe", "unsafe", "stream")] route: &str,
    #[values(0, 100_000)] read: usize,
) {
    let e = Endpoint::start("i-1", Action::Hang);
    let (_store, gateway) = start_upload_platform(&[(&e, service(route))]);
    let mut passed = Vec::new();
    for (n, ms) in [0, 1, 5].iter().cycle().take(18).enumerate() {
        let end = EarlyEnd::CloseThenReset(Duration::from_millis(*ms));
        e.push_action(early(read, "", EVENT, end));
        let reply = upload(&gateway, route, &format!("id-{n}"));
        if reply.complete && !matches!(reply.status, 502 | 504) {
            passed.push((*ms, reply.status, reply.body));
        }
    }
    assert_eq!(e.run_count(), 18, "requests did not reach the endpoint: {passed:?}");
    assert!(passed.is_empty(), "{} of 18: {passed:?}", passed.len());
}

#[rstest]
#[case::close("", EarlyEnd::Close)]
#[case::close_then_reset("", EarlyEnd::CloseThenReset(SETTLE))]
#[case::length("Content-Length: 21\r\n", EarlyEnd::Reset(SETTLE))]
#[case::length_and_close("Connection: close\r\nContent-Length: 21\r\n", EarlyEnd::Reset(SETTLE))]
fn whole_answer_during_the_upload_is_passed_on(
    #[case] headers: &str,
    #[case] end: EarlyEnd,
    #[values("safe", "unsafe", "stream")] route: &str,
    #[values(0, 100_000)] read: usize,
) {
    let e = Endpoint::start("i-1", early(read, headers, EVENT, end));
    let (_store, gateway) = start_upload_platform(&[(&e, service(route))]);
    let reply = upload(&gateway, route, "id-1");
    assert_eq!((reply.status, reply.complete, reply.body.as_str()), (200, true, EVENT));
}

/// Header line of an answer whose body is [`EVENT`].
const LENGTH: &str = "Content-Length: 21\r\n";

#[rstest]
#[case::continues("HTTP/1.1 100 X\r\n\r\n", 1, 200)]
#[case::hints("HTTP/1.1 103 X\r\nX-Other: 1\r\n\r\n", 1, 200)]
#[case::unknown("HTTP/1.1 199 X\r\n\r\n", 1, 200)]
#[case::many("HTTP/1.1 100 X\r\n\r\n", 16, 200)]
#[case::too_many("HTTP/1.1 100 X\r\n\r\n", 17, 502)]
#[case::switching("HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n", 1, 502)]
#[case::switching_later("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 101 X\r\n\r\n", 1, 502)]
#[case::length("HTTP/1.1 103 X\r\nContent-Length: 5\r\n\r\n", 1, 200)]
#[case::malformed("HTTP/1.1 103 X\r\nX Other: 1\r\n\r\n", 1, 502)]
fn interim_responses_during_the_upload_are_passed_over(
    #[case] interim: &str,
    #[case] count: usize,
    #[case] status: u16,
    #[values(EarlyEnd::Reset(SETTLE), EarlyEnd::Close)] end: EarlyEnd,
    #[values("safe", "unsafe", "stream")] route: &str,
) {
    let start = interim.repeat(count) + "HTTP/1.1 200 OK";
    let e = Endpoint::start("i-1", early_with(0, &start, LENGTH, EVENT, end));
    let (_store, gateway) = start_upload_platform(&[(&e, service(route))]);
    let reply = upload(&gateway, route, "id-1");
    assert_eq!((reply.status, reply.complete), (status, true), "{}", reply.body);
    assert_eq!(reply.body == EVENT, status == 200, "{}", reply.body);
}

#[rstest]
#[case::not_found("HTTP/1.1 404 X", "", 21, 404)]
#[case::too_large("HTTP/1.1 413 X", "", 21, 413)]
#[case::refusal("HTTP/1.1 503 X", "X-Not-Executed: 1\r\n", 21, 503)]
#[case::refusal_after_an_interim(
    "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 503 X",
    "X-Not-Executed: 1\r\n",
    21,
    503
)]
#[case::part("HTTP/1.1 404 X", "", 22, 502)]
#[case::part_of_a_refusal("HTTP/1.1 503 X", "X-Not-Executed: 1\r\n", 22, 502)]
fn failure_during_the_upload_is_passed_on_if_it_is_whole(
    #[case] start: &str,
    #[case] headers: &str,
    #[case] length: usize,
    #[case] status: u16,
    #[values(EarlyEnd::Reset(SETTLE), EarlyEnd::Close)] end: EarlyEnd,
    #[values("safe", "unsafe", "stream")] route: &str,
) {
    let headers = format!("{headers}Content-Length: {length}\r\n");
    let e = Endpoint::start("i-1", early_with(0, start, &headers, EVENT, end));
    let (_store, gateway) = start_upload_platform(&[(&e, service(route))]);
    let reply = upload(&gateway, route, "id-1");
    assert_eq!((reply.status, reply.complete), (status, true), "{}", reply.body);
}

#[test]
fn safe_upload_is_sent_to_another_endpoint_after_a_reset_during_the_answer() {
    let reset = EarlyEnd::Reset(Duration::from_millis(5));
    let e = Endpoint::start("i-1", early(0, "", EVENT, reset));
    let f = Endpoint::start("i-2", Action::Respond(200, "whole".into()));
    let (_store, gateway) = start_upload_platform(&[(&e, "plain"), (&f, "plain")]);
    for n in 0..40 {
        let reply = upload(&gateway, "safe", &format!("id-{n}"));
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole"));
        if e.run_count() >= 3 {
            break;
        }
    }
    assert!(e.run_count() > 0, "no request met the endpoint that resets");
    let log = || std::fs::read_to_string(gateway.settings_file.with_extension("log"));
    let has_reason = || log().is_ok_and(|log| log.contains("reason=\"connection lost in a "));
    assert!(wait_for(5, has_reason), "no reason in the log");
}

#[test]
fn long_answer_cut_off_during_the_upload_does_not_end_in_order_at_an_http_1_0_caller() {
    let part = "x".repeat(600 << 10);
    let e = Endpoint::start("i-1", Action::Hang);
    let (_store, gateway) = start_upload_platform(&[(&e, "plain")]);
    for n in 0..12 {
        e.push_action(early(100_000, "", &part, EarlyEnd::Reset(SETTLE)));
        let body = "x".repeat(UPLOAD_BYTES);
        let bytes = request_bytes("POST", "/unsafe/x", &format!("id-{n}"), "", &body);
        let bytes = String::from_utf8(bytes).expect("text").replacen("HTTP/1.1", "HTTP/1.0", 1);
        let (received, is_closed) = send(gateway.front, bytes.as_bytes()).read_to_end();
        let is_passed = received.starts_with("HTTP/1.0 200") && is_closed;
        assert!(!is_passed, "request {n}: {} bytes and an end in order", received.len());
    }
}

/// Sends a request to an endpoint that answers with these bytes, and returns the status and the
/// body that the caller gets.
fn pass_on(route: &str, status: &'static str, headers: &'static str) -> (u16, String) {
    let reply = ask(route, Action::Raw(status, headers, EVENT));
    (reply.status, reply.body)
}

/// Sends a request to an endpoint that treats it in this way, and returns what the caller gets.
fn ask(route: &str, action: Action) -> Reply {
    let e = Endpoint::start("i-1", action);
    let (_store, gateway) = start_platform(&[(&e, service(route))]);
    match route {
        "safe" => send_request(&gateway, "GET", "/safe/x", "id-1"),
        "unsafe" => {
            send(gateway.front, &request_bytes("POST", "/unsafe/x", "id-1", "", "b")).reply()
        }
        _ => start_stream(&gateway, "id-1").reply(),
    }
}

#[rstest]
#[case::zero("HTTP/1.1 000 X")]
#[case::under_range("HTTP/1.1 099 X")]
#[case::over_range("HTTP/1.1 600 X")]
#[case::largest("HTTP/1.1 999 X")]
#[case::two_digits("HTTP/1.1 20 X")]
#[case::four_digits("HTTP/1.1 2000 X")]
#[case::switching("HTTP/1.1 101 X")]
#[case::version_2("HTTP/2.0 200 X")]
#[case::version_1_2("HTTP/1.2 200 X")]
#[case::two_blanks("HTTP/1.1  200 X")]
#[case::control("HTTP/1.1 200 X\x01")]
#[case::bare_feed("HTTP/1.1 200 X\nX-Other: 1")]
#[case::bare_return("HTTP/1.1 200 X\rX-Other: 1")]
#[case::no_status("HTTP/1.1")]
#[case::no_version("200 X")]
#[case::sign("HTTP/1.1 +20 X")]
#[case::blank_before(" HTTP/1.1 200 X")]
#[case::line_before("\r\nHTTP/1.1 200 X")]
fn status_line_that_is_malformed_is_no_answer(
    #[case] status: &'static str,
    #[values("safe", "unsafe", "stream")] route: &str,
) {
    let (status, body) = pass_on(route, status, "Content-Length: 21\r\n");
    assert_eq!(status, 502, "{body}");
}

#[rstest]
#[case::blank_in_name("X Other: 1\r\nContent-Length: 21\r\n")]
#[case::blank_after_name("X-Other : 1\r\nContent-Length: 21\r\n")]
#[case::blank_after_length("Content-Length : 5\r\n")]
#[case::tab_after_length("Content-Length\t: 5\r\n")]
#[case::control_in_name("X-Ot\x01her: 1\r\nContent-Length: 21\r\n")]
#[case::nul_in_name("X-Ot\0her: 1\r\nContent-Length: 21\r\n")]
#[case::delete_in_name("X-Ot\x7fher: 1\r\nContent-Length: 21\r\n")]
#[case::letter_in_name("X-Ot\u{e9}her: 1\r\nContent-Length: 21\r\n")]
#[case::empty_name(": 1\r\nContent-Length: 21\r\n")]
#[case::no_colon("X-Other\r\nContent-Length: 21\r\n")]
#[case::folded("X-Other: 1\r\n two\r\nContent-Length: 21\r\n")]
#[case::nul_in_value("X-Other: 1\x002\r\nContent-Length: 21\r\n")]
#[case::return_in_value("X-Other: 1\r2\r\nContent-Length: 21\r\n")]
#[case::control_in_value("X-Other: 1\x7f\r\nContent-Length: 21\r\n")]
#[case::bare_feed("X-Other: 1\nContent-Length: 21\r\n")]
#[case::lengths_differ("Content-Length: 21\r\nContent-Length: 5\r\n")]
#[case::lengths_equal("Content-Length: 21\r\nContent-Length: 21\r\n")]
#[case::length_with_sign("Content-Length: +21\r\n")]
#[case::length_negative("Content-Length: -1\r\n")]
#[case::length_empty("Content-Length: \r\n")]
#[case::length_list("Content-Length: 21, 21\r\n")]
#[case::length_overflow("Content-Length: 18446744073709551637\r\n")]
#[case::chunks_beside_length("Transfer-Encoding: chunked\r\nContent-Length: 21\r\n")]
#[case::coding_unknown("Transfer-Encoding: gzip\r\n")]
#[case::coding_twice("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n")]
#[case::coding_repeated("Transfer-Encoding: chunked, chunked\r\n")]
#[case::coding_empty("Transfer-Encoding: \r\n")]
#[case::coding_list("Transfer-Encoding: gzip, chunked\r\n")]
fn field_that_is_malformed_is_no_answer(
    #[case] headers: &'static str,
    #[values("safe", "unsafe", "stream")] route: &str,
) {
    let (status, body) = pass_on(route, "HTTP/1.1 200 X", headers);
    assert_eq!(status, 502, "{body}");
}

#[rstest]
fn malformed_head_does_not_say_that_the_request_has_not_run(
    #[values("HTTP/1.1 503 X", "HTTP/1.1 429 X", "HTTP/1.1 421 X", "HTTP/1.1 408 X")]
    status: &'static str,
    #[values("unsafe", "stream")] route: &str,
) {
    let headers = "X-Not-Executed: 1\r\nRetry-After: 1\r\nX Other: 1\r\nContent-Length: 21\r\n";
    let (status, body) = pass_on(route, status, headers);
    assert_eq!(status, 502, "{body}");
}

#[rstest]
#[case::length("Content-Length: 30\r\n", "part of it")]
#[case::chunk("Transfer-Encoding: chunked\r\n", "5\r\npar")]
#[case::last_chunk("Transfer-Encoding: chunked\r\n", "5\r\npart \r\n")]
#[case::last_line("Transfer-Encoding: chunked\r\n", "5\r\npart \r\n0\r\n")]
#[case::last_feed("Transfer-Encoding: chunked\r\n", "5\r\npart \r\n0\r\n\r")]
#[case::trailer("Transfer-Encoding: chunked\r\n", "5\r\npart \r\n0\r\nX-Other: 1\r\n")]
#[case::trailer_name("Transfer-Encoding: chunked\r\n", "5\r\npart \r\n0\r\nX Other: 1\r\n\r\n")]
#[case::size_sign("Transfer-Encoding: chunked\r\n", "+5\r\npart \r\n0\r\n\r\n")]
#[case::size_negative("Transfer-Encoding: chunked\r\n", "-5\r\npart \r\n0\r\n\r\n")]
#[case::size_extension("Transfer-Encoding: chunked\r\n", "5;a\x01\r\npart \r\n0\r\n\r\n")]
#[case::size_prefix("Transfer-Encoding: chunked\r\n", "0x5\r\npart \r\n0\r\n\r\n")]
#[case::size_blank("Transfer-Encoding: chunked\r\n", "5 \r\npart \r\n0\r\n\r\n")]
#[case::size_empty("Transfer-Encoding: chunked\r\n", "\r\npart \r\n0\r\n\r\n")]
#[case::size_overflow("Transfer-Encoding: chunked\r\n", "10000000000000005\r\npart \r\n0\r\n\r\n")]
#[case::size_feed("Transfer-Encoding: chunked\r\n", "5\npart \n0\n\n")]
#[case::size_short("Transfer-Encoding: chunked\r\n", "4\r\npart \r\n0\r\n\r\n")]
fn body_that_is_cut_off_or_malformed_is_no_answer(
    #[case] headers: &'static str,
    #[case] body: &'static str,
    #[values("safe", "unsafe", "stream")] route: &str,
) {
    let reply = ask(route, Action::Raw("HTTP/1.1 200 X", headers, body));
    assert!(!(reply.complete && reply.status == 200), "{}", reply.body);
    assert!(route == "stream" || reply.status == 502, "{}", reply.status);
}

#[rstest]
#[case::extension(
    "Transfer-Encoding: chunked\r\n",
    "15;a=b\r\nid: 1\ndata: token-1\n\n\r\n0\r\n\r\n"
)]
#[case::trailer(
    "Transfer-Encoding: Chunked\r\n",
    "15\r\nid: 1\ndata: token-1\n\n\r\n0\r\nX-A: 1\r\n\r\n"
)]
#[case::two_chunks(
    "Transfer-Encoding: chunked\r\n",
    "7\r\nid: 1\nd\r\n0E\r\nata: token-1\n\n\r\n00\r\n\r\n"
)]
#[case::blanks("Content-Length: \t 21 \r\n", EVENT)]
#[case::upgrade("Upgrade: websocket\r\nContent-Length: 21\r\n", EVENT)]
#[case::more_bytes("Content-Length: 21\r\n", "id: 1\ndata: token-1\n\nHTTP/1.1 200 X\r\n")]
#[case::text("X-Other: caf\u{e9}\tau lait\r\nContent-Length: 21\r\n", EVENT)]
fn valid_answer_is_passed_on(
    #[case] headers: &'static str,
    #[case] body: &'static str,
    #[values("safe", "unsafe", "stream")] route: &str,
) {
    let reply = ask(route, Action::Raw("HTTP/1.1 200", headers, body));
    assert_eq!((reply.status, reply.complete, reply.body.as_str()), (200, true, EVENT));
}

#[rstest]
#[case::encoded("HTTP/1.1 200 X", "Content-Encoding: gzip\r\n")]
#[case::encoded_refusal("HTTP/1.1 503 X", "Content-Encoding: gzip\r\nX-Not-Executed: 1\r\n")]
#[case::two_ids("HTTP/1.1 200 X", "X-Attempt-Id: id-2\r\n")]
#[case::two_ids_in_a_refusal("HTTP/1.1 503 X", "X-Attempt-Id: id-2\r\nX-Not-Executed: 1\r\n")]
#[case::two_seals("HTTP/1.1 200 X", "X-Replica-Seal: s.id-2\r\n")]
fn answer_that_is_not_known_to_be_that_of_the_endpoint_is_not_passed_on(
    #[case] status: &'static str,
    #[case] headers: &'static str,
    #[values("safe", "unsafe", "stream")] route: &str,
) {
    let (status, body) = pass_on(route, status, headers);
    assert_eq!(status, 502, "{body}");
}

#[rstest]
#[case::length("X-Not-Executed: 1\r\nContent-Length: 30\r\n", "part of it")]
#[case::chunks("X-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n", "5\r\npart \r\n")]
#[case::malformed(
    "X-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n",
    "5 \r\npart \r\n0\r\n\r\n"
)]
fn refusal_that_is_cut_off_does_not_say_that_the_request_has_not_run(
    #[case] headers: &'static str,
    #[case] body: &'static str,
    #[values("HTTP/1.1 503 X", "HTTP/1.1 429 X", "HTTP/1.1 421 X")] status: &'static str,
    #[values("unsafe", "stream")] route: &str,
) {
    let reply = ask(route, Action::Raw(status, headers, body));
    assert_eq!(reply.status, 502, "{}", reply.body);
}

#[rstest]
#[case::interim("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 X", "Content-Length: 21\r\n", 200)]
#[case::hints("HTTP/1.1 103 X\r\nX-Other: 1\r\n\r\nHTTP/1.1 200 X", "Content-Length: 21\r\n", 200)]
#[case::malformed_interim(
    "HTTP/1.1 103 X\r\nX Other: 1\r\n\r\nHTTP/1.1 200 X",
    "Content-Length: 21\r\n",
    502
)]
#[case::interim_alone("HTTP/1.1 100 X", "", 502)]
fn interim_response_is_passed_over_if_it_is_valid(
    #[case] start: &'static str,
    #[case] headers: &'static str,
    #[case] expected: u16,
    #[values("safe", "unsafe", "stream")] route: &str,
) {
    let (status, body) = pass_on(route, start, headers);
    assert_eq!((status, body == EVENT), (expected, expected == 200), "{body}");
}

#[rstest]
#[case::no_content("POST", "HTTP/1.1 204 X", "")]
#[case::not_modified("POST", "HTTP/1.1 304 X", "Content-Length: 99\r\n")]
#[case::head("HEAD", "HTTP/1.1 200 X", "Content-Length: 99\r\n")]
#[case::head_in_chunks("HEAD", "HTTP/1.1 200 X", "Transfer-Encoding: chunked\r\n")]
fn answer_without_a_body_is_whole(
    #[case] method: &str,
    #[case] status: &'static str,
    #[case] headers: &'static str,
    #[values("safe", "unsafe")] route: &str,
) {
    let e = Endpoint::start("i-1", Action::Raw(status, headers, ""));
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    let reply = send_request(&gateway, method, &format!("/{route}/x"), "id-1");
    let expected = status[9..12].parse();
    assert_eq!(Ok(reply.status), expected, "{}", reply.body);
}

#[rstest]
#[case::no_content("HTTP/1.1 204 X", "")]
#[case::no_content_with_a_length("HTTP/1.1 204 X", "Content-Length: 99\r\n")]
#[case::no_content_in_chunks("HTTP/1.1 204 X", "Transfer-Encoding: chunked\r\n")]
#[case::not_modified("HTTP/1.1 304 X", "")]
fn answer_without_a_body_is_followed_by_the_next_answer(
    #[case] status: &'static str,
    #[case] headers: &'static str,
    #[values("safe", "unsafe", "stream")] route: &str,
) {
    let e = Endpoint::start("i-1", Action::Raw(status, headers, ""));
    let (_store, gateway) = start_platform(&[(&e, service(route))]);
    let extra = if route == "stream" { GENERATION } else { "" };
    let request = |id: &str| request_bytes("POST", &format!("/{route}/x"), id, extra, "b");
    let mut connection = send(gateway.front, &[request("id-1"), request("id-2")].concat());
    let expected = status[9..12].parse();
    for id in ["id-1", "id-2"] {
        let reply = connection.reply();
        assert_eq!((Ok(reply.status), reply.header("x-attempt-id")), (expected.clone(), Some(id)));
    }
}

#[test]
fn log_names_the_rule_that_an_answer_breaks() {
    let headers = "X Other: 1\r\nContent-Length: 21\r\n";
    let malformed = || Action::Raw("HTTP/1.1 200 X", headers, EVENT);
    let [e, f] = ["i-1", "i-2"].map(|id| Endpoint::start(id, malformed()));
    let (_store, gateway) = start_platform(&[(&e, "plain"), (&f, "plain")]);
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, 502);
    let has_line = |kind: &str, text: &str| {
        let log = std::fs::read_to_string(gateway.settings_file.with_extension("log"));
        let kind = format!("kind={kind} ");
        log.is_ok_and(|log| log.lines().any(|line| line.contains(&kind) && line.contains(text)))
    };
    for (kind, text) in [
        ("Reoffered", r#" why=broken tried=1 runs=1 reason="malformed: field name""#),
        ("Failed", "is unknown: broken, malformed: field name"),
    ] {
        assert!(wait_for(5, || has_line(kind, text)), "no line {kind} with {text}");
    }
}
