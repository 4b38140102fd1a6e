//! Malformed HTTP requests and peer frames, and frames signed with an unknown key.

use crate::common::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::caller::{Caller, RequestError};
use standin::fleet::{Fleet, Plan};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use Role::{Entry, Sidecar};

/// Process that gets the bytes.
#[derive(Debug, Clone, Copy)]
enum Role {
    Entry,
    Sidecar,
}

/// Seed of the random bytes.
const SEED: u64 = 7;

/// Sends raw bytes and returns what the server sends back within 150 ms, up to 4096 bytes.
fn send(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut s = TcpStream::connect(address).unwrap();
    s.set_read_timeout(Some(Duration::from_millis(150))).unwrap();
    let _ = s.write_all(bytes);
    let mut answer = vec![0; 4096];
    let n = s.read(&mut answer).unwrap_or(0);
    answer.truncate(n);
    answer
}

async fn assert_still_serves(fleet: &Fleet) {
    let mut r = open_stream(fleet.entry_address(0), 10, "after").await.unwrap();
    assert_complete(&mut r, 10).await;
}

#[actix_rt::test]
async fn malformed_requests_and_frames_are_refused_without_disruption() {
    let plan = Plan { entries: 1, pools: vec![engine_pool(1, loaded_params())], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let mut rng = StdRng::seed_from_u64(SEED);
    let good = b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{}".to_vec();
    for _ in 0..60 {
        let mut bytes = good.clone();
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..bytes.len());
            bytes[at] = rng.random();
        }
        send(fleet.entry_address(0), &bytes);
        let noise: Vec<u8> = (0..rng.random_range(1..300)).map(|_| rng.random()).collect();
        send(fleet.entries[0].daemon.peer, &noise);
        send(fleet.endpoints[0].sidecar.peer, &noise);
    }
    assert_still_serves(&fleet).await;
    let caller = Caller::new("key-1");
    let long = "x".repeat(3 << 20);
    let cases: [(&str, &str, u16, &str); 6] = [
        ("/v1/completions", "{", 400, "not-run"),
        ("/v1/completions", "{\"model\":\"captions\"}", 400, "not-run"),
        ("/v1/completions", "{\"model\":\"nothing\",\"prompt\":\"x\"}", 404, "not-run"),
        ("/v1/completions", &long, 413, "not-run"),
        ("/nowhere", "", 404, "not-run"),
        // The outcome is unknown because an entry with a newer configuration may know the service
        // and may have run the call.
        ("/s/nowhere/x", "", 404, "unknown"),
    ];
    for (path, body, status, outcome) in cases {
        let r = caller.call(fleet.entry_address(0), "POST", path, None, body).await;
        let Err(RequestError::Refused(r)) = r else { panic!("{path}: {r:?}") };
        assert_eq!((r.status, &*r.outcome), (status, outcome), "{path}");
    }
    let unauthorized =
        Caller::new("no-key").call(fleet.entry_address(0), "POST", "/v1/keys", None, "").await;
    assert!(matches!(unauthorized, Err(RequestError::Refused(r)) if r.status == 401));
    assert_still_serves(&fleet).await;
}

/// Longest time for which a test sends a body.
const SEND_TIME: Duration = Duration::from_secs(25);

/// Connects and sends the head of a request with a body in chunks.
fn begin_body(address: SocketAddr, path: &str) -> TcpStream {
    let mut io = TcpStream::connect(address).unwrap();
    io.set_write_timeout(Some(SEND_TIME)).unwrap();
    io.set_read_timeout(Some(SEND_TIME)).unwrap();
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n");
    io.write_all(head.as_bytes()).unwrap();
    io
}

/// Sends chunks of a body without end, until the server takes no more of them.
fn send_endless_body(mut io: TcpStream) {
    let chunk = [b"10000\r\n".as_slice(), &[b'x'; 0x10000], b"\r\n"].concat();
    let started = Instant::now();
    while started.elapsed() < SEND_TIME && io.write_all(&chunk).is_ok() {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Sends a part of a body, then nothing until the server closes the connection.
fn send_part_of_body(mut io: TcpStream) {
    io.write_all(b"1\r\nx\r\n").unwrap();
    let _ = io.read_to_end(&mut Vec::new());
}

#[rstest::rstest]
#[case::read(Entry, "/v1/completions", send_endless_body)]
#[case::not_read(Entry, "/healthz", send_endless_body)]
#[case::not_read_by_a_sidecar(Sidecar, "/healthz", send_endless_body)]
#[case::stalled(Entry, "/v1/completions", send_part_of_body)]
#[case::stalled_not_read(Entry, "/healthz", send_part_of_body)]
#[case::stalled_not_read_by_a_sidecar(Sidecar, "/healthz", send_part_of_body)]
#[actix_rt::test]
async fn upload_without_end_is_not_read_beyond_the_time_for_a_body(
    #[case] role: Role,
    #[case] path: &'static str,
    #[case] send: fn(TcpStream),
) {
    let plan = Plan { entries: 1, pools: vec![engine_pool(1, loaded_params())], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let address = match role {
        Entry => fleet.entry_address(0),
        Sidecar => fleet.endpoints[0].sidecar.http,
    };
    let started = Instant::now();
    let sent = actix_rt::task::spawn_blocking(move || send(begin_body(address, path)));
    sent.await.unwrap();
    // A body has to arrive within 20 s.
    let time = started.elapsed();
    assert!(time <= Duration::from_secs(21), "read for {time:?}");
    assert_still_serves(&fleet).await;
}

/// Sends requests with bodies over one connection for longer than one body may take.
#[actix_rt::test]
async fn connection_is_kept_beyond_the_time_for_a_body() {
    let plan = Plan { entries: 1, pools: vec![engine_pool(1, loaded_params())], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let address = fleet.entry_address(0);
    let send = move || {
        let mut io = TcpStream::connect(address).unwrap();
        io.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        for number in 0..23 {
            io.write_all(b"POST /v1/keys HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{}")
                .unwrap();
            let n = io.read(&mut [0; 4096]).unwrap();
            assert!(n > 0, "no answer to request {number}");
            std::thread::sleep(Duration::from_secs(1));
        }
    };
    actix_rt::task::spawn_blocking(send).await.unwrap();
}

#[actix_rt::test]
async fn stream_to_an_http_1_0_caller_is_not_sent_in_chunks() {
    let plan = Plan { entries: 1, pools: vec![engine_pool(1, loaded_params())], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let body = r#"{"model":"captions","prompt":"output=3; a","max_tokens":3,"stream":true}"#;
    let head = "POST /v1/completions HTTP/1.0\r\nhost: x\r\nauthorization: Bearer key-1";
    let request = format!("{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let address = fleet.entry_address(0);
    let sent = move || standin::platform::send(address, request.as_bytes()).read_to_end().0;
    let answer = actix_rt::task::spawn_blocking(sent).await.unwrap();
    assert!(answer.starts_with("HTTP/1."), "{answer}");
    assert!(!answer.to_ascii_lowercase().contains("transfer-encoding"), "{answer}");
}

#[actix_rt::test]
async fn frame_with_unknown_key_is_dropped_and_recorded() {
    use skylarkthread::frame::{Envelope, Keyring, Request};
    use skylarkthread::hlc::Stamp;
    use skylarkthread::id::{Incarnation, IntentVersion, Nonce};
    let plan = Plan { entries: 1, pools: vec![engine_pool(1, loaded_params())], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let frame = Keyring::new(&[b"not-the-key-of-this-fleet".as_slice().into()]).encode(&Envelope {
        from: "x".parse().unwrap(),
        incarnation: Incarnation(1),
        at: Stamp::default(),
        version: IntentVersion(9),
        body: Request::Cancel(Nonce(1)),
    });
    let link = skylarkthread::peer::Link::dial(fleet.endpoints[0].sidecar.peer).unwrap();
    let answer = link.request(&frame, Duration::from_millis(500)).await;
    assert!(answer.is_err(), "a frame with an unknown key got a reply");
    let (_, out) = fleet.run_command(&["timeline", "--kind", "FrameDropped"]);
    assert!(out.contains("FrameDropped"), "{out}");
    assert_still_serves(&fleet).await;
}

#[rstest::rstest]
#[case::whole("6\r\nabcdef\r\n0\r\n\r\n", true)]
#[case::no_last_chunk("6\r\nabcdef\r\n", false)]
#[case::cut_chunk("6\r\nabc", false)]
#[case::cut_end("6\r\nabcdef\r\n0\r\n", false)]
#[actix_rt::test]
async fn call_whose_body_is_cut_off_does_not_succeed(#[case] body: &str, #[case] is_whole: bool) {
    let answer = answer_to_call(body).await;
    assert_eq!(answer.starts_with("HTTP/1.1 200"), is_whole, "{answer:?}");
}

#[rstest::rstest]
#[case::request_after_last_chunk("6\r\nabcdef\r\n0\r\nGET /x HTTP/1.1\r\n\r\n")]
#[case::blank_after_size("6 \r\nabcdef\r\n0\r\n\r\n")]
#[actix_rt::test]
async fn call_with_malformed_chunks_does_not_succeed(#[case] body: &str) {
    let answer = answer_to_call(body).await;
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

/// Sends a call with a body in chunks, and returns the answer.
async fn answer_to_call(body: &str) -> String {
    let plan = Plan { entries: 1, pools: vec![booking_pool(1)], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let head = format!(
        "POST {CALL_PATH} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1\r\nidempotency-key: k-1\r\n\
        connection: close\r\ntransfer-encoding: chunked\r\n\r\n{body}"
    );
    let mut io = TcpStream::connect(fleet.entry_address(0)).unwrap();
    io.set_read_timeout(Some(SEND_TIME)).unwrap();
    io.write_all(head.as_bytes()).unwrap();
    io.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = Vec::new();
    let _ = io.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}
