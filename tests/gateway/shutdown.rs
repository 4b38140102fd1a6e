//! Requests over kept connections while an instance stops, until its process is gone.

use crate::common::{request_bytes, send_request, start_platform, start_stream, wait_for};
use rstest::rstest;
use standin::platform::{Action, Connection, Endpoint, Gateway, send};
use std::time::{Duration, Instant};

/// Connections that callers keep open when the instance is stopped.
const KEPT: usize = 40;
/// Time from the signal until callers use the kept connections again.
const QUIET_TIME: Duration = Duration::from_millis(2400);
/// Time that an endpoint takes for a call.
const CALL_TIME: Duration = Duration::from_millis(30);
/// Times between two calls, in turn, so that the instance is idle at varying moments.
const PAUSES: [Duration; 3] =
    [Duration::from_millis(6), Duration::from_millis(12), Duration::from_millis(18)];
/// Deadline of a call, short enough that the instance accepts it until shortly before it exits.
const DEADLINE: &str = "X-Deadline-Ms: 200\r\n";
/// Grace period of the gateways that tests start.
const GRACE: Duration = Duration::from_millis(4000);

/// Opens connections and has a request served on each.
fn open_kept(gateway: &Gateway) -> Vec<Connection> {
    let request = |n| request_bytes("GET", "/safe/x", &format!("first-{n}"), "", "");
    let mut kept: Vec<_> = (0..KEPT).map(|n| send(gateway.front, &request(n))).collect();
    assert!(kept.iter_mut().all(|conn| conn.reply().status == 200));
    kept
}

/// Sends one request on each connection, one after the other, until `end`. Returns the ids of those
/// that got no complete response.
fn send_on_kept(kept: Vec<Connection>, method: &str, path: &str, end: Instant) -> Vec<String> {
    let mut unanswered = Vec::new();
    for (n, mut conn) in kept.into_iter().enumerate() {
        if Instant::now() >= end {
            break;
        }
        let id = format!("late-{n}");
        let sent = conn.write(&request_bytes(method, path, &id, DEADLINE, ""));
        let reply = conn.reply();
        drop(conn);
        if sent.is_err() || reply.status == 0 || !reply.complete {
            unanswered.push(id);
        }
        std::thread::sleep(PAUSES[n % PAUSES.len()]);
    }
    unanswered
}

/// Returns those of the requests that have reached an endpoint.
fn reached(e: &Endpoint, ids: &[String]) -> Vec<String> {
    let received = e.received();
    let has = |id: &str| received.iter().any(|r| r.req.header("x-attempt-id") == Some(id));
    ids.iter().filter(|id| has(id)).cloned().collect()
}

/// A stopping instance read requests from kept connections after it had decided to exit, passed them
/// on and ended without a response.
#[rstest]
#[case::safe("GET", "/safe/x")]
#[case::unsafe_("POST", "/unsafe/x")]
fn requests_read_until_the_process_ends_are_answered(#[case] method: &str, #[case] path: &str) {
    let e = Endpoint::start("i-1", Action::Stream(2, CALL_TIME / 2));
    let (_store, mut gateway) = start_platform(&[(&e, "plain")]);
    let kept = open_kept(&gateway);
    gateway.signal(libc::SIGTERM);
    let end = Instant::now() + GRACE;
    std::thread::sleep(QUIET_TIME);
    let unanswered = send_on_kept(kept, method, path, end);
    assert_eq!(gateway.wait_for_exit(5), Some(0));
    assert_eq!(reached(&e, &unanswered), Vec::<String>::new(), "passed on without a response");
    assert!(!unanswered.is_empty(), "the process did not end while requests were sent");
}

/// Requests arrive without a pause, so that the instance is busy until its grace period ends.
#[test]
fn requests_of_a_busy_instance_are_answered_until_the_process_ends() {
    let e = Endpoint::start("i-1", Action::Stream(2, CALL_TIME / 2));
    let f = Endpoint::start("i-2", Action::Stream(400, Duration::from_millis(20)));
    let (_store, mut gateway) = start_platform(&[(&e, "plain"), (&f, "model")]);
    let _running = start_stream(&gateway, "stream");
    assert!(wait_for(2, || f.run_count() == 1));
    let kept = open_kept(&gateway);
    gateway.signal(libc::SIGTERM);
    let end = Instant::now() + GRACE;
    std::thread::sleep(QUIET_TIME);
    let unanswered = send_on_kept(kept, "POST", "/unsafe/x", end);
    assert_eq!(gateway.wait_for_exit(5), Some(0));
    assert_eq!(reached(&e, &unanswered), Vec::<String>::new(), "passed on without a response");
}

/// The engine does not answer before the grace period ends.
#[test]
fn generation_without_a_response_is_answered_before_the_process_ends() {
    let e = Endpoint::start("i-1", Action::Hang);
    let (_store, mut gateway) = start_platform(&[(&e, "model")]);
    let mut waiting = crate::common::start_long_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    gateway.signal(libc::SIGTERM);
    let reply = waiting.reply();
    assert_eq!((reply.status, reply.header("connection")), (502, Some("close")));
    assert_eq!(gateway.wait_for_exit(2), Some(0));
}

/// An idle connection is closed unread, so that its caller may send a request again elsewhere.
#[test]
fn idle_connections_are_closed_when_the_instance_exits() {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let (_store, mut gateway) = start_platform(&[(&e, "plain")]);
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, 200);
    let mut kept = open_kept(&gateway);
    gateway.signal(libc::SIGTERM);
    assert!(kept.iter_mut().all(|conn| conn.is_closed(GRACE)));
    assert_eq!(gateway.wait_for_exit(1), Some(0));
}
