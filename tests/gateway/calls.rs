//! Plain requests: forwarding, retries, limits and refusals.

use crate::common::{request_bytes, send_request, start_platform, wait_for};
use rstest::rstest;
use standin::platform::{Action, Endpoint, Gateway, RetryTerms, send};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

fn ok(body: &str) -> Action {
    Action::Respond(200, body.to_owned())
}

#[test]
fn response_passes_unchanged_with_headers_set_by_the_gateway() {
    let e = Endpoint::start("i-1", ok("the body"));
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    let extra = "X-Tenant: forged\r\nX-Expect-Replica: forged\r\nX-Hold: 1\r\nX-Pin-Ms: 5\r\n\
        X-Kv-Backup: 1.1.1.1:1\r\nKv-From: 1.1.1.1:1/h\r\nX-Other: kept\r\nConnection: x-secret\r\n\
        X-Secret: hop\r\n";
    let bytes = request_bytes("POST", "/unsafe/a%20b?q=1&q=2", "id-1", extra, "content");
    let reply = send(gateway.front, &bytes).reply();
    assert_eq!((reply.status, reply.body.as_str()), (200, "the body"));
    assert_eq!(reply.header("x-replica-seal"), Some("s.id-1"));
    assert_eq!(reply.header("x-attempt-id"), Some("id-1"));
    let forwarded = e.received().remove(0).req;
    assert_eq!(
        (forwarded.method.as_str(), forwarded.target.as_str()),
        ("POST", "/unsafe/a%20b?q=1&q=2")
    );
    assert_eq!(forwarded.body, b"content");
    let head = |n| forwarded.header(n);
    assert_eq!(head("x-tenant"), Some("acme"));
    assert_eq!(head("x-expect-replica"), Some("i-1"));
    assert_eq!(head("x-other"), Some("kept"));
    assert_eq!(head("host"), Some("app.example"));
    for removed in ["authorization", "x-hold", "x-pin-ms", "x-kv-backup", "kv-from", "x-secret"] {
        assert_eq!(head(removed), None, "{removed}");
    }
    let left: u64 = head("x-deadline-ms")
        .and_then(|v| v.parse().ok())
        .expect("missing or malformed x-deadline-ms");
    assert!((1..=800).contains(&left), "deadline {left} ms not within the route's 800 ms");
}

#[rstest]
#[case::cut(Action::TruncatedBody)]
#[case::reset(Action::Reset)]
#[case::foreign_id(Action::WrongId)]
#[case::missing_seal(Action::Unsealed)]
fn invalid_response_gives_502_and_unsafe_request_is_not_retried(#[case] act: Action) {
    let e = Endpoint::start("i-1", act.clone());
    let f = Endpoint::start("i-2", act);
    let (_store, gateway) = start_platform(&[(&e, "plain"), (&f, "plain")]);
    let reply = send(gateway.front, &request_bytes("POST", "/unsafe/x", "id-1", "", "b")).reply();
    // 502 means that the request may have run; 503 would promise that it has not.
    assert_eq!(reply.status, 502);
    assert_eq!(e.run_count() + f.run_count(), 1);
}

#[test]
fn safe_request_is_retried_elsewhere_up_to_max_attempts() {
    let e = Endpoint::start("i-1", Action::TruncatedBody);
    let f = Endpoint::start("i-2", ok("good"));
    let (_store, gateway) = start_platform(&[(&e, "plain"), (&f, "plain")]);
    for n in 0..6 {
        let reply = send_request(&gateway, "GET", "/safe/x", &format!("id-{n}"));
        assert_eq!((reply.status, reply.body.as_str()), (200, "good"));
    }
    let (_store, gateway) = {
        let (e, f) = (Endpoint::start("i-1", Action::Reset), Endpoint::start("i-2", Action::Reset));
        let g = Endpoint::start("i-3", Action::Reset);
        let started = start_platform(&[(&e, "plain"), (&f, "plain"), (&g, "plain")]);
        assert_eq!(send_request(&started.1, "GET", "/safe/x", "id-1").status, 502);
        assert_eq!(e.run_count() + f.run_count() + g.run_count(), 2);
        started
    };
    drop(gateway);
}

#[test]
fn request_rejected_unrun_is_sent_elsewhere_and_503_means_not_run() {
    let e = Endpoint::start("i-1", Action::NotExecuted);
    let f = Endpoint::start("i-2", Action::Misdirected);
    let g = Endpoint::start("i-3", ok("good"));
    let (store, gateway) = start_platform(&[(&e, "plain"), (&f, "plain"), (&g, "plain")]);
    let reply = send(gateway.front, &request_bytes("POST", "/unsafe/x", "id-1", "", "b")).reply();
    assert_eq!((reply.status, reply.body.as_str()), (200, "good"));
    store.set("servers/i-3", None);
    assert!(wait_for(3, || {
        let reply =
            send(gateway.front, &request_bytes("POST", "/unsafe/x", "id-2", "", "b")).reply();
        let after = reply.header("retry-after").and_then(|v| v.parse::<f64>().ok());
        reply.status == 503 && after.is_some_and(|s| s > 0.0 && s < 1.7)
    }));
    assert_eq!(e.run_count() + f.run_count(), 0);
}

#[test]
fn bytes_after_a_response_are_discarded() {
    let e = Endpoint::start("i-1", Action::ExtraResponse("first".into()));
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    let mut conn = send(gateway.front, &request_bytes("GET", "/safe/x", "id-1", "", ""));
    assert_eq!(conn.reply().body, "first");
    e.push_action(ok("second"));
    conn.write(&request_bytes("GET", "/safe/x", "id-2", "", "")).expect("the connection is kept");
    let reply = conn.reply();
    assert_eq!((reply.body.as_str(), reply.header("x-attempt-id")), ("second", Some("id-2")));
}

#[test]
fn response_without_length_ends_with_its_connection() {
    let e = Endpoint::start("i-1", Action::CloseDelimited("all of it".into()));
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    let reply = send_request(&gateway, "GET", "/safe/x", "id-1");
    assert_eq!((reply.status, reply.body.as_str(), reply.complete), (200, "all of it", true));
}

#[rstest]
#[case::identity("HTTP/1.1 200 X", "Transfer-Encoding: identity\r\n")]
#[case::http_1_0("HTTP/1.0 200 X", "")]
#[case::upgrade("HTTP/1.1 200 X", "Upgrade: websocket\r\n")]
fn body_that_the_codec_does_not_see_is_not_dropped(
    #[case] status: &'static str,
    #[case] headers: &'static str,
) {
    let e = Endpoint::start("i-1", Action::Raw(status, headers, "all of it"));
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    let reply = send_request(&gateway, "GET", "/safe/x", "id-1");
    assert_eq!((reply.status, reply.body.as_str(), reply.complete), (200, "all of it", true));
}

#[rstest]
#[case::length_under_upgrade("HTTP/1.1 200 X", "Upgrade: websocket\r\nContent-Length: 30\r\n")]
#[case::chunked_in_http_1_0("HTTP/1.0 200 X", "Transfer-Encoding: chunked\r\n")]
fn body_of_unknown_length_is_not_passed_on(
    #[case] status: &'static str,
    #[case] headers: &'static str,
) {
    let e = Endpoint::start("i-1", Action::Raw(status, headers, "part of it"));
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, 502);
}

#[test]
fn response_sent_before_the_body_is_read_is_passed_on() {
    let e = Endpoint::start("i-1", Action::ContentTooLarge);
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    let body = "x".repeat(90_000);
    let reply = send(gateway.front, &request_bytes("POST", "/unsafe/x", "id-1", "", &body)).reply();
    assert_eq!((reply.status, reply.body.as_str()), (413, "too long"));
}

#[rstest]
#[case::two_framings(
    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    "0\r\n\r\nGET /safe/y HTTP/1.1\r\n\r\n"
)]
#[case::two_lengths(
    "Content-Length: 1\r\nContent-Length: 40\r\n",
    "xGET /safe/y HTTP/1.1\r\nHost: a\r\n\r\n"
)]
#[case::signed_length("Content-Length: +3\r\n", "abc")]
#[case::unknown_coding("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n")]
fn request_that_could_smuggle_another_is_refused(#[case] framing: &str, #[case] rest: &str) {
    let e = Endpoint::start("i-1", ok("fine"));
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    let mut bytes = request_bytes("POST", "/safe/x", "id-1", framing, "");
    bytes.extend_from_slice(rest.as_bytes());
    let mut conn = send(gateway.front, &bytes);
    assert_eq!(conn.reply().status, 400);
    assert!(conn.is_closed(Duration::from_secs(2)));
    assert_eq!(e.received().len(), 0);
}

#[test]
fn head_and_body_limits_are_enforced() {
    let e = Endpoint::start("i-1", ok("fine"));
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    let long = format!("X-Long: {}\r\n", "a".repeat(6000));
    let reply = send(gateway.front, &request_bytes("GET", "/safe/x", "id-1", &long, "")).reply();
    assert_eq!(reply.status, 431);
    let body = "x".repeat(100_001);
    let reply = send(gateway.front, &request_bytes("POST", "/safe/x", "id-2", "", &body)).reply();
    assert_eq!(reply.status, 413);
    assert_eq!(e.received().len(), 0);
}

#[test]
fn route_timeout_gives_504_and_cancels_the_request() {
    let e = Endpoint::start("i-1", Action::Hang);
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    let started = Instant::now();
    let reply = send(gateway.front, &request_bytes("POST", "/unsafe/x", "id-1", "", "b")).reply();
    let took = started.elapsed();
    assert_eq!(reply.status, 504);
    assert!(took >= Duration::from_millis(750) && took < Duration::from_millis(1300), "{took:?}");
    assert!(wait_for(1, || e.received()[0].closed.load(Ordering::SeqCst)));
}

#[test]
fn caller_disconnect_cancels_the_request() {
    let e = Endpoint::start("i-1", Action::Hang);
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    let conn = send(gateway.front, &request_bytes("GET", "/safe/x", "id-1", "", ""));
    assert!(wait_for(2, || e.received().len() == 1));
    drop(conn);
    let disconnected = Instant::now();
    assert!(wait_for(2, || e.received()[0].closed.load(Ordering::SeqCst)));
    assert!(disconnected.elapsed() < Duration::from_millis(400), "{:?}", disconnected.elapsed());
}

#[test]
fn retries_stay_within_the_budget() {
    let e = Endpoint::start("i-1", Action::Reset);
    let f = Endpoint::start("i-2", Action::Reset);
    let (store, _) = start_platform(&[(&e, "plain"), (&f, "plain")]);
    let terms = RetryTerms { slack: 4.0, ..RetryTerms::DEFAULT };
    let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let gateway = Gateway::start_with(binary, store.address, &terms);
    assert!(wait_for(5, || gateway.readiness() == 200));
    let n = 60;
    for ix in 0..n {
        send_request(&gateway, "GET", "/safe/x", &format!("id-{ix}"));
    }
    let retries = e.run_count() + f.run_count() - n;
    // The budget is a fifth of the requests, and a slack of four.
    assert!(retries <= n / 5 + 4, "{retries} retries for {n} requests");
}

#[test]
fn request_is_refused_by_all_gateways_after_crashing_three_endpoints() {
    let down = Duration::from_secs(8);
    let all: Vec<Endpoint> =
        (0..5).map(|n| Endpoint::start(&format!("i-{n}"), Action::Crash(down))).collect();
    let listed: Vec<(&Endpoint, &str)> = all.iter().map(|e| (e, "plain")).collect();
    let (store, gateway) = start_platform(&listed);
    let other = crate::common::start_gateway(&store);
    assert!(wait_for(3, || other.readiness() == 200 && store.keys("gateways/").len() == 2));
    std::thread::sleep(Duration::from_millis(500));
    let status_of = |front, id: &str, body: &str| {
        send(front, &request_bytes("POST", "/unsafe/x", id, "", body)).reply().status
    };
    let ran = || all.iter().map(Endpoint::run_count).sum::<usize>();
    for n in 0..3 {
        assert_eq!(status_of(gateway.front, &format!("id-{n}"), "boom"), 502);
        assert!(wait_for(2, || ran() == n + 1));
        std::thread::sleep(Duration::from_millis(500));
    }
    assert_eq!(status_of(gateway.front, "id-8", "boom"), 503);
    assert_eq!(status_of(other.front, "id-9", "boom"), 503);
    assert_eq!(ran(), 3);
    // Another content is still accepted.
    assert_eq!(status_of(gateway.front, "id-10", "else"), 502);
    assert_eq!(ran(), 4);
}
