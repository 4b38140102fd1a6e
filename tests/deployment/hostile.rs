//! Malformed HTTP requests and peer frames, and frames signed with an unknown key.

use crate::common::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::caller::{Caller, RequestError};
use standin::fleet::{Fleet, Plan};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

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
