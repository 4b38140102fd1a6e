//! Requests to an entry that are malformed, or framed in an unusual but valid way.

use crate::common::*;
use rstest::rstest;
use standin::fleet::{Fleet, Plan};
use standin::malformed::{CHUNKS, FIELDS, FIRST_LINES};
use standin::platform::send;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Time limit for the answers on a connection.
const ANSWER_TIME: Duration = Duration::from_secs(5);
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

async fn start() -> Fleet {
    let plan = Plan { entries: 1, pools: vec![booking_pool(1)], ..Plan::default() };
    start_deployment(plan).await
}

fn call(key: &str, fields: &str, body: &str) -> Vec<u8> {
    format!(
        "POST {CALL_PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\nIdempotency-Key: {key}\r\n\
        {fields}\r\n{body}"
    )
    .into_bytes()
}

/// Returns the last call of a connection.
fn last_call(key: &str) -> Vec<u8> {
    call(key, "Connection: close\r\nContent-Length: 4\r\n", "next")
}

fn statuses(received: &str) -> Vec<&str> {
    received.split("HTTP/1.1 ").skip(1).map(|s| &s[..3]).collect()
}

/// Asserts that each request is refused, and that nothing runs of it and of the call behind it.
async fn assert_refused(requests: Vec<(&str, Vec<u8>)>) {
    let fleet = start().await;
    let refused = requests.iter().map(|(name, request)| {
        let bytes = [request, &last_call(&format!("next-{name}"))[..]].concat();
        (*name, send(fleet.entry_address(0), &bytes).read_to_end().0)
    });
    let others: Vec<_> = refused.filter(|(_, answer)| statuses(answer) != ["400"]).collect();
    assert_eq!((others, fleet.call_log.counts()), Default::default());
}

#[actix_rt::test]
async fn call_with_a_malformed_head_does_not_run() {
    let request = |&(name, fields, body)| (name, call(name, fields, body));
    assert_refused(FIELDS.iter().map(request).collect()).await;
}

#[actix_rt::test]
async fn call_with_malformed_chunks_does_not_run() {
    assert_refused(CHUNKS.map(|(name, body)| (name, call(name, CHUNKED, body))).into()).await;
}

#[actix_rt::test]
async fn request_with_a_malformed_first_line_is_refused() {
    let request = |line| format!("{line}\r\nHost: x\r\nAuthorization: Bearer key-1\r\n\r\n");
    assert_refused(FIRST_LINES.map(|(name, line)| (name, request(line).into_bytes())).into()).await;
}

#[rstest]
#[case::many_fields("X-A: 1\r\n".repeat(97))]
#[case::large(format!("X-A: {}\r\n", "a".repeat(128 << 10)))]
#[actix_rt::test]
async fn call_with_an_oversized_head_does_not_run(#[case] fields: String) {
    let fleet = start().await;
    let bytes = call("k-1", &fields, "");
    let (received, _) = send(fleet.entry_address(0), &bytes).read_to_end();
    assert_eq!(statuses(&received), ["431"], "{received:?}");
    assert!(fleet.call_log.counts().is_empty());
}

/// Sends bytes in parts of a size, and returns what is received until the connection ends.
fn send_in_parts(address: SocketAddr, bytes: &[u8], size: usize) -> String {
    let mut io = TcpStream::connect(address).expect("cannot connect");
    io.set_nodelay(true).expect("cannot set TCP_NODELAY");
    io.set_read_timeout(Some(ANSWER_TIME)).expect("cannot set the read timeout");
    for part in bytes.chunks(size) {
        io.write_all(part).expect("cannot send");
    }
    let mut received = String::new();
    io.read_to_string(&mut received).expect("the connection is not reset");
    received
}

/// Bodies with the fields that frame them.
const BODIES: [(&str, &str, &str); 9] = [
    ("Content-Length: 3\r\n", "abc", "abc"),
    ("Content-Length: \t 0003 \t\r\n", "abc", "abc"),
    ("Content-Length: 0\r\n", "", ""),
    ("", "", ""),
    ("TRANSFER-ENCODING: Chunked\r\n", "3\r\nabc\r\n0002\r\nde\r\n000\r\n\r\n", "abcde"),
    (CHUNKED, "3;a=\"b\"\r\nabc\r\n0;c\r\n\r\n", "abc"),
    (CHUNKED, "0\r\n\r\n", ""),
    (CHUNKED, "11\r\nPOST / HTTP/1.1\r\n\r\n0\r\n\r\n", "POST / HTTP/1.1\r\n"),
    (CHUNKED, "3\r\nabc\r\n0\r\nX-Trailer: 1\r\nContent-Length: 9\r\n\r\n", "abc"),
];

#[rstest]
#[actix_rt::test]
async fn body_of_a_call_ends_where_its_framing_states(#[values(1, 7, 1 << 20)] size: usize) {
    let fleet = start().await;
    let mut bytes = Vec::new();
    for (ix, (fields, sent, _)) in BODIES.iter().enumerate() {
        bytes.extend(call(&format!("k-{ix}"), fields, sent));
    }
    bytes.extend(last_call("k-next"));
    let received = send_in_parts(fleet.entry_address(0), &bytes, size);
    assert_eq!(statuses(&received), ["200"; BODIES.len() + 1], "{received:?}");
    let mut calls: Vec<String> =
        BODIES.iter().map(|(.., body)| format!("POST /bookings {body}")).collect();
    calls.push("POST /bookings next".into());
    let counts = fleet.call_log.counts();
    for call in &calls {
        let expected = calls.iter().filter(|c| *c == call).count();
        assert_eq!(counts.get(call).map(|n| *n as usize), Some(expected), "{call}: {counts:?}");
    }
}

#[rstest]
#[case::length("Upgrade: websocket\r\nContent-Length: 3\r\n", "abc", "abc")]
#[case::chunks(
    "UPGRADE:websocket\r\nTransfer-Encoding: chunked\r\n",
    "3\r\nabc\r\n0\r\n\r\n",
    "abc"
)]
#[case::no_body("Upgrade: \twebsocket \r\n", "", "")]
#[case::connection("Connection: keep-alive, upgrade\r\nUpgrade: websocket\r\n", "", "")]
#[case::other("Connection: upgrade\r\nUpgrade: h2c\r\n", "", "")]
#[actix_rt::test]
async fn offer_of_another_protocol_does_not_change_the_framing_of_a_call(
    #[case] fields: &str,
    #[case] sent: &str,
    #[case] body: &str,
) {
    let fleet = start().await;
    let bytes = [call("k-1", fields, sent), last_call("k-2")].concat();
    let received = send_in_parts(fleet.entry_address(0), &bytes, bytes.len());
    assert_eq!(statuses(&received), ["200", "200"], "{received:?}");
    let ran: Vec<String> = fleet.call_log.counts().into_keys().collect();
    assert_eq!(ran, [format!("POST /bookings {body}"), "POST /bookings next".into()]);
}

#[actix_rt::test]
async fn calls_before_a_malformed_one_are_answered_in_order() {
    let fleet = start().await;
    let calls = ["delay=300;a", "b"]
        .map(|body| call(body, &format!("Content-Length: {}\r\n", body.len()), body));
    let malformed = call("malformed", CHUNKED, "3 \r\nabc\r\n0\r\n\r\n");
    let bytes = [&calls.concat()[..], &malformed, &last_call("next")].concat();
    let received = send_in_parts(fleet.entry_address(0), &bytes, bytes.len());
    assert_eq!(statuses(&received), ["200", "200", "400"], "{received:?}");
    let ran: Vec<String> = fleet.call_log.counts().into_keys().collect();
    assert_eq!(ran, ["POST /bookings b", "POST /bookings delay=300;a"]);
}

#[rstest]
#[case::head("X-A : 1\r\n", "")]
#[case::chunks(CHUNKED, "3 \r\n")]
#[actix_rt::test]
async fn caller_that_sends_on_after_a_fault_gets_the_refusal(
    #[case] fields: &str,
    #[case] body: &str,
) {
    let fleet = start().await;
    let bytes = [call("k-1", fields, body), vec![b'x'; 1 << 20]].concat();
    let received = send_in_parts(fleet.entry_address(0), &bytes, 1 << 10);
    assert_eq!(statuses(&received), ["400"], "{received:?}");
}

#[rstest]
#[case::length("Content-Length: 6\r\n", "abcdef")]
#[case::chunks(CHUNKED, "3\r\nabc\r\n3\r\ndef\r\n0\r\nX-A: 1\r\n\r\n")]
#[actix_rt::test]
async fn call_that_is_cut_off_does_not_run(#[case] fields: &str, #[case] body: &str) {
    let fleet = start().await;
    let whole = call("k-1", fields, body);
    for end in whole.len() - body.len() - 20..whole.len() {
        let mut io = TcpStream::connect(fleet.entry_address(0)).expect("cannot connect");
        io.set_read_timeout(Some(ANSWER_TIME)).expect("cannot set the read timeout");
        io.write_all(&whole[..end]).expect("cannot send");
        io.shutdown(Shutdown::Write).expect("cannot shut down");
        let mut received = String::new();
        io.read_to_string(&mut received).expect("the connection ends");
        assert!(!received.starts_with("HTTP/1.1 200"), "{end}: {received:?}");
    }
    assert!(fleet.call_log.counts().is_empty());
}
