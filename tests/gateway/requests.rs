//! Requests that are malformed or cut off: an endpoint gets what the caller sent, once and whole, or
//! nothing.

use crate::common::{GENERATION, expected_events, request_bytes, start_platform};
use rstest::rstest;
use socket2::SockRef;
use standin::malformed::{self, CHUNKS, FIRST_LINES};
use standin::platform::{Action, Endpoint, Gateway, ReceivedRequest, send};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

const FIELDS: &str = "Host: app.example\r\nX-Attempt-Id: id-1\r\nAuthorization: Bearer key-1\r\nX-Deadline-Ms: 800\r\n";
/// Request behind the one under test, on the same connection.
const NEXT: &str = "POST /unsafe/next HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: id-2\r\n\
    Authorization: Bearer key-1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nnext";
/// Time after which a request that was passed on has reached its endpoint.
const ARRIVAL: Duration = Duration::from_millis(100);

fn start() -> (Endpoint, standin::platform::Store, Gateway) {
    let e = Endpoint::start("i-1", Action::Respond(200, "whole".into()));
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    (e, store, gateway)
}

fn post(fields: &str, body: &str) -> Vec<u8> {
    format!("POST /unsafe/x HTTP/1.1\r\n{FIELDS}{fields}\r\n{body}").into_bytes()
}

fn get(line: &str) -> Vec<u8> {
    format!("{line}\r\n{FIELDS}\r\n").into_bytes()
}

fn targets(e: &Endpoint) -> Vec<String> {
    e.received().into_iter().map(|r| r.req.target).collect()
}

/// Asserts that each request is refused, and that nothing is served of it and of what follows it.
fn assert_refused<const N: usize>(requests: [(&str, Vec<u8>); N]) {
    let (e, _store, gateway) = start();
    for (name, request) in requests {
        let bytes = [&request, NEXT.as_bytes()].concat();
        let (received, _) = send(gateway.front, &bytes).read_to_end();
        std::thread::sleep(ARRIVAL);
        assert_eq!(targets(&e), [""; 0], "{name}: passed on; answered {received:?}");
        let statuses: Vec<_> = received.split("HTTP/1.1 ").skip(1).map(|s| &s[..3]).collect();
        assert_eq!(statuses, ["400"], "{name}: {received:?}");
    }
}

#[test]
fn request_with_a_malformed_head_reaches_no_endpoint() {
    assert_refused(malformed::FIELDS.map(|(name, fields, body)| (name, post(fields, body))));
}

#[test]
fn request_with_malformed_chunks_reaches_no_endpoint() {
    let fields = "Transfer-Encoding: chunked\r\n";
    assert_refused(CHUNKS.map(|(name, body)| (name, post(fields, body))));
}

#[test]
fn request_with_a_malformed_first_line_reaches_no_endpoint() {
    assert_refused(FIRST_LINES.map(|(name, line)| (name, get(line))));
}

#[test]
fn request_without_a_host_reaches_no_endpoint() {
    let head = "GET /safe/x HTTP/1.1\r\nAuthorization: Bearer key-1\r\nX-Attempt-Id: a\r\n\r\n";
    assert_refused([("no host", head.into())]);
}

/// Asserts that the endpoint got a request as given, and the next one on the connection.
fn assert_passed_on(e: &Endpoint, target: &str, body: &str) {
    let received = e.received();
    let got = |r: &ReceivedRequest| {
        (r.req.target.clone(), String::from_utf8_lossy(&r.req.body).into_owned())
    };
    let got: Vec<_> = received.iter().map(got).collect();
    let expected = [(target, body), ("/unsafe/next", "next")].map(|(t, b)| (t.into(), b.into()));
    assert_eq!(got, expected);
    let framing = ["transfer-encoding", "trailer", "x-trailer", "content-length"];
    let values = framing.map(|name| received[0].req.header(name));
    let length = (!body.is_empty()).then(|| body.len().to_string());
    assert!(values[..3].iter().all(Option::is_none), "{:?}", received[0].req);
    assert_eq!(values[3].filter(|n| *n != "0"), length.as_deref(), "{:?}", received[0].req);
}

#[rstest]
#[case::length("Content-Length: 3\r\n", "abc", "abc")]
#[case::length_zeros("Content-Length: 0003\r\n", "abc", "abc")]
#[case::length_blanks("Content-Length: \t 3 \t\r\n", "abc", "abc")]
#[case::length_zero("Content-Length: 0\r\n", "", "")]
#[case::no_body("", "", "")]
#[case::chunks("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "abcde")]
#[case::chunks_upper_case("TRANSFER-ENCODING: Chunked\r\n", "3\r\nabc\r\n0\r\n\r\n", "abc")]
#[case::chunks_zeros("Transfer-Encoding: chunked\r\n", "0003\r\nabc\r\n000\r\n\r\n", "abc")]
#[case::chunks_extension(
    "Transfer-Encoding: chunked\r\n",
    "3;a=\"b\"\r\nabc\r\n0;c\r\n\r\n",
    "abc"
)]
#[case::chunks_empty("Transfer-Encoding: chunked\r\n", "0\r\n\r\n", "")]
#[case::chunks_like_a_head(
    "Transfer-Encoding: chunked\r\n",
    "4\r\n\r\n\r\n\r\n0\r\n\r\n",
    "\r\n\r\n"
)]
#[case::trailers(
    "Transfer-Encoding: chunked\r\nTrailer: X-Trailer\r\n",
    "3\r\nabc\r\n0\r\nX-Trailer: 1\r\nContent-Length: 9\r\n\r\n",
    "abc"
)]
#[case::expectation("Expect: 100-continue\r\nContent-Length: 3\r\n", "abc", "abc")]
#[case::websocket("Upgrade: websocket\r\nContent-Length: 3\r\n", "abc", "abc")]
#[case::upgrade("Connection: keep-alive, upgrade\r\nUpgrade: h2c\r\n", "", "")]
fn body_reaches_the_endpoint_once_and_whole(
    #[case] fields: &str,
    #[case] sent: &str,
    #[case] body: &str,
    #[values(false, true)] in_bytes: bool,
) {
    let (e, _store, gateway) = start();
    let bytes = [&post(fields, sent)[..], NEXT.as_bytes()].concat();
    let mut io = TcpStream::connect(gateway.front).expect("cannot connect");
    io.set_nodelay(true).expect("cannot set TCP_NODELAY");
    for part in bytes.chunks(if in_bytes { 1 } else { bytes.len() }) {
        io.write_all(part).expect("cannot send");
    }
    let mut received = String::new();
    io.read_to_string(&mut received).expect("the connection is not reset");
    assert_passed_on(&e, "/unsafe/x", body);
    assert_eq!(received.matches("HTTP/1.1 200").count(), 2, "{received:?}");
}

#[rstest]
fn offer_of_another_protocol_does_not_change_the_framing_of_the_answer(
    #[values("websocket", "h2c")] protocol: &str,
    #[values("", "Connection: upgrade\r\n")] connection: &str,
) {
    let e = Endpoint::start("i-1", Action::Stream(3, Duration::from_millis(1)));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let fields = format!("{GENERATION}{connection}Upgrade: {protocol}\r\n");
    let mut caller = send(gateway.front, &request_bytes("POST", "/stream/x", "id-1", &fields, "p"));
    for n in 1..=2 {
        let reply = caller.reply();
        assert_eq!((reply.status, reply.complete, reply.fault), (200, true, None), "{reply:?}");
        assert_eq!(reply.body, expected_events(3));
        assert_eq!(reply.header("transfer-encoding"), Some("chunked"), "{reply:?}");
        let next = request_bytes("POST", "/stream/x", &format!("id-{n}-next"), GENERATION, "p");
        caller.write(&next).expect("the connection is open");
    }
}

#[rstest]
#[case::query("/safe/x?a=b&c=%0d%0a", "/safe/x?a=b&c=%0d%0a")]
#[case::odd_bytes("/safe/a|b{c}\"d<e>[f]^`\\", "/safe/a|b{c}\"d<e>[f]^`\\")]
#[case::not_ascii("/safe/\u{e9}", "/safe/\u{e9}")]
#[case::two_slashes("/safe//x", "/safe//x")]
#[case::dots("/safe/../x", "/safe/../x")]
#[case::empty_query("/safe/x?", "/safe/x?")]
#[case::absolute("http://app.example/safe/x?y", "/safe/x?y")]
#[case::absolute_upper_case("HTTP://APP.example/safe/x", "/safe/x")]
fn target_reaches_the_endpoint_as_sent_or_not_at_all(#[case] sent: &str, #[case] target: &str) {
    let (e, _store, gateway) = start();
    let bytes = [&get(&format!("GET {sent} HTTP/1.1"))[..], NEXT.as_bytes()].concat();
    let (received, _) = send(gateway.front, &bytes).read_to_end();
    if received.starts_with("HTTP/1.1 400") {
        return assert_eq!(targets(&e), [""; 0]);
    }
    assert_passed_on(&e, target, "");
}

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    HalfClosed,
    Closed,
    Reset,
}

#[rstest]
#[case::length("Content-Length: 6\r\n", "abcdef")]
#[case::chunks("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n3\r\ndef\r\n0\r\nX-A: 1\r\n\r\n")]
fn request_that_is_cut_off_reaches_no_endpoint(
    #[case] fields: &str,
    #[case] body: &str,
    #[values(End::HalfClosed, End::Closed, End::Reset)] end: End,
) {
    let (e, _store, gateway) = start();
    let whole = post(fields, body);
    let ends = (whole.len() - body.len() - 20..whole.len()).map(|n| &whole[..n]);
    for part in ends {
        let mut io = TcpStream::connect(gateway.front).expect("cannot connect");
        io.write_all(part).expect("cannot send");
        match end {
            End::HalfClosed => {
                io.shutdown(Shutdown::Write).expect("cannot shut down");
                let mut received = String::new();
                let _ = io.read_to_string(&mut received);
                assert!(!received.contains("HTTP/1.1 200"), "{received:?}");
            }
            End::Closed => {}
            End::Reset => {
                let linger = Some(Duration::ZERO);
                SockRef::from(&io).set_linger(linger).expect("cannot set SO_LINGER");
            }
        }
    }
    std::thread::sleep(ARRIVAL);
    assert_eq!(targets(&e), [""; 0]);
}
