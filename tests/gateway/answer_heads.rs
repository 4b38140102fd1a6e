//! Heads of answers that callers need in full, and statements in answers that are cut off.

use crate::common::{request_bytes, start_platform, start_stream};
use rstest::rstest;
use standin::platform::{Action, Endpoint, send};

const EVENT: &str = "id: 1\ndata: token-1\n\n";

#[rstest]
fn connection_header_does_not_remove_the_seal_or_the_id_of_an_answer(
    #[values(
        "Connection: close, X-Replica-Seal\r\nContent-Length: 21\r\n",
        "Connection: X-Attempt-Id\r\nContent-Length: 21\r\n"
    )]
    headers: &'static str,
    #[values("safe", "unsafe", "stream")] route: &str,
) {
    let e = Endpoint::start("i-1", Action::Raw("HTTP/1.1 200 X", headers, EVENT));
    let service = if route == "stream" { "model" } else { "plain" };
    let (_store, gateway) = start_platform(&[(&e, service)]);
    let path = format!("/{route}/x");
    let reply = match route {
        "stream" => start_stream(&gateway, "id-1").reply(),
        _ => send(gateway.front, &request_bytes("POST", &path, "id-1", "", "b")).reply(),
    };
    assert_eq!((reply.status, reply.complete, reply.body.as_str()), (200, true, EVENT));
    assert!(reply.header("x-replica-seal").is_some(), "no seal: {:?}", reply.headers);
    assert_eq!(reply.header("x-attempt-id"), Some("id-1"));
}

#[rstest]
#[case::misdirected("HTTP/1.1 421 X", "X-Not-Executed: 1\r\nContent-Length: 30\r\n")]
#[case::leaving(
    "HTTP/1.1 503 X",
    "X-Not-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 30\r\n"
)]
#[case::pause("HTTP/1.1 503 X", "X-Not-Executed: 1\r\nRetry-After: 3\r\nContent-Length: 30\r\n")]
fn refusal_that_is_cut_off_does_not_keep_requests_from_its_endpoint(
    #[case] status: &'static str,
    #[case] headers: &'static str,
) {
    let e = Endpoint::start("i-1", Action::Respond(200, "whole".into()));
    e.push_action(Action::Raw(status, headers, "part of it"));
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    let ask = |id: &str| {
        send(gateway.front, &request_bytes("POST", "/unsafe/x", id, "", "b")).reply().status
    };
    assert_eq!((ask("id-1"), ask("id-2")), (502, 200));
}
