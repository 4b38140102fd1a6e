//! Answers without a body, whose length is that of the body which another request would get.

use crate::common::{GENERATION, request_bytes, start_platform};
use rstest::rstest;
use standin::platform::{Action, Endpoint, send};

/// Sends a request, and a second one on the same connection; returns both answers as received.
fn ask_twice(route: &str, method: &str, action: Action) -> [String; 2] {
    let e = Endpoint::start("i-1", Action::Respond(200, "whole".into()));
    e.push_action(action);
    let service = if route == "stream" { "model" } else { "plain" };
    let (_store, gateway) = start_platform(&[(&e, service)]);
    let extra = if route == "stream" { GENERATION } else { "" };
    let path = format!("/{route}/x");
    let first = request_bytes(method, &path, "id-1", extra, "");
    let extra = format!("Connection: close\r\n{extra}");
    let second = request_bytes("POST", &path, "id-2", &extra, "b");
    let (received, is_closed) = send(gateway.front, &[first, second].concat()).read_to_end();
    assert!(is_closed, "reset after {received:?}");
    let mut answers = received.split("HTTP/1.1 ").skip(1).map(str::to_owned);
    let both = [answers.next(), answers.next()].map(Option::unwrap_or_default);
    assert_eq!(answers.next(), None, "{received:?}");
    both
}

/// Returns the value of a field with a lower-case name.
fn field<'a>(answer: &'a str, name: &str) -> Option<&'a str> {
    let fields = answer.lines().filter_map(|line| line.split_once(':'));
    let mut values = fields.filter(|(n, _)| n.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim())
}

#[rstest]
#[case::length("HEAD", "HTTP/1.1 200 X", "Content-Length: 99\r\n", Some("99"))]
#[case::empty("HEAD", "HTTP/1.1 200 X", "Content-Length: 0\r\n", Some("0"))]
#[case::no_length("HEAD", "HTTP/1.1 200 X", "", None)]
#[case::chunks("HEAD", "HTTP/1.1 200 X", "Transfer-Encoding: chunked\r\n", None)]
#[case::not_found("HEAD", "HTTP/1.1 404 X", "Content-Length: 12\r\n", Some("12"))]
#[case::failed("HEAD", "HTTP/1.1 500 X", "Content-Length: 7\r\n", Some("7"))]
#[case::no_content("HEAD", "HTTP/1.1 204 X", "Content-Length: 99\r\n", None)]
#[case::hints("HEAD", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X", "Content-Length: 99\r\n", Some("99"))]
#[case::not_modified("GET", "HTTP/1.1 304 X", "Content-Length: 99\r\n", None)]
#[case::not_modified_no_length("GET", "HTTP/1.1 304 X", "", None)]
fn length_of_an_answer_without_a_body_is_the_one_that_the_endpoint_states(
    #[case] method: &str,
    #[case] status: &'static str,
    #[case] headers: &'static str,
    #[case] length: Option<&str>,
    #[values("safe", "unsafe")] route: &str,
) {
    let [first, second] = ask_twice(route, method, Action::Raw(status, headers, ""));
    assert_eq!(first[..3], status[status.len() - 5..status.len() - 2], "{first:?}");
    assert_eq!(field(&first, "content-length"), length, "{first:?}");
    assert_eq!(field(&first, "x-attempt-id"), Some("id-1"), "{first:?}");
    assert!(first.ends_with("\r\n\r\n"), "a body: {first:?}");
    assert!(second.starts_with("200") && second.ends_with("whole"), "{second:?}");
}

#[rstest]
#[case::body(Action::Raw("HTTP/1.1 200 X", "Content-Length: 5\r\n", "other"), "200")]
#[case::answer(Action::ExtraResponse("other".into()), "200")]
#[case::refusal(Action::NotExecuted, "503")]
#[case::reset(Action::Reset, "502")]
#[case::foreign(Action::WrongId, "502")]
fn answer_to_head_has_no_body_and_is_followed_by_the_next_answer(
    #[case] action: Action,
    #[case] status: &str,
    #[values("unsafe", "stream")] route: &str,
) {
    let [first, second] = ask_twice(route, "HEAD", action);
    assert_eq!(first[..3], *status, "{first:?}");
    assert!(first.ends_with("\r\n\r\n"), "a body: {first:?}");
    assert_eq!(field(&second, "x-attempt-id"), Some("id-2"), "{second:?}");
}
