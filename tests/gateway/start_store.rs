//! Tests that an instance starts, and then serves, whatever the store and its peers are like at first.

use crate::common::{
    APPLY_SECS, CONFIG, assert_serves, list_endpoint, send_request, start_gateway_at, wait_for,
};
use rstest::rstest;
use serde_json::json;
use standin::platform::{Action, Endpoint, Gateway, Store, StoreFault, StoreFront, send};
use std::net::UdpSocket;
use std::time::{Duration, Instant};

/// Time from the end of a fault in which an instance is ready.
const READY_SECS: u64 = 2;
/// Time in which a readiness check gets its answer.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Checks the answer to a readiness check, each 100 ms for a while.
fn assert_probes(gateway: &mut Gateway, time: Duration, status: u16) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        assert!(!gateway.has_ended(), "the process has ended");
        let asked = Instant::now();
        assert_eq!(gateway.probe(), status);
        assert!(asked.elapsed() < PROBE_TIME, "readiness took {:?}", asked.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[rstest]
#[case::absent(StoreFault::Absent, 3)]
#[case::absent_for_long(StoreFault::Absent, 20)]
#[case::silent(StoreFault::Silent, 6)]
#[case::closing(StoreFault::Closing, 3)]
#[case::slow(StoreFault::Slow, 6)]
#[case::failing(StoreFault::Status(500), 3)]
#[case::busy(StoreFault::Status(503), 3)]
#[case::limiting(StoreFault::Status(429), 3)]
#[case::not_found(StoreFault::Status(404), 3)]
#[case::compacted(StoreFault::Status(410), 3)]
#[case::not_json(StoreFault::Body("<html>starting</html>"), 3)]
#[case::other_json(StoreFault::Body("[1, {}]"), 3)]
#[case::empty(StoreFault::Body(""), 3)]
#[case::no_items(StoreFault::Body(r#"{"items":[],"truncated":true,"current_rev":0}"#), 3)]
#[case::page_cut_short(StoreFault::Cut, 3)]
fn store_that_fails_at_the_start_is_waited_for(#[case] fault: StoreFault, #[case] secs: u64) {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    list_endpoint(&store, &e, "plain", "ready");
    let front = StoreFront::start(store.address, fault);
    let mut gateway = start_gateway_at(front.address);
    assert_probes(&mut gateway, Duration::from_secs(secs), 503);
    front.mend();
    assert_serves(&mut gateway);
}

#[rstest]
#[case::none(None)]
#[case::empty(Some(""))]
#[case::cut_off(Some(&CONFIG[..CONFIG.len() / 2]))]
#[case::other_json(Some("[]"))]
fn configuration_that_is_not_there_is_waited_for(#[case] text: Option<&str>) {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let store = Store::start();
    list_endpoint(&store, &e, "plain", "ready");
    store.set("op/config", text.map(str::as_bytes));
    let mut gateway = start_gateway_at(store.address);
    assert_probes(&mut gateway, Duration::from_secs(3), 503);
    store.set("op/config", Some(CONFIG.as_bytes()));
    assert_serves(&mut gateway);
}

/// Starts a store that lists an endpoint, behind a front with a fault.
fn start_behind(fault: StoreFault) -> (Endpoint, Store, StoreFront) {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    list_endpoint(&store, &e, "plain", "ready");
    let front = StoreFront::start(store.address, fault);
    (e, store, front)
}

#[rstest]
fn instance_is_ready_soon_after_a_fault_of_the_store(
    #[values(
        StoreFault::Absent,
        StoreFault::Silent,
        StoreFault::Closing,
        StoreFault::Slow,
        StoreFault::Status(503),
        StoreFault::Status(429),
        StoreFault::Body("<html>starting</html>"),
        StoreFault::Cut,
        StoreFault::Lost
    )]
    fault: StoreFault,
    #[values(300, 4200, 9000)] fault_ms: u64,
) {
    let (_e, _store, front) = start_behind(fault);
    let mut gateway = start_gateway_at(front.address);
    assert_probes(&mut gateway, Duration::from_millis(fault_ms), 503);
    front.mend();
    assert!(wait_for(READY_SECS, || gateway.probe() == 200), "not ready within {READY_SECS} s");
}

#[rstest]
#[case::none(r#"{"items":[],"truncated":false,"current_rev":12}"#)]
#[case::no_value(
    r#"{"items":[{"key":"op/config","revision":11}],"truncated":false,"current_rev":12}"#
)]
#[case::no_base64(
    r#"{"items":[{"key":"op/config","value":"*","revision":11}],"truncated":false,"current_rev":12}"#
)]
#[case::cut_off(
    r#"{"items":[{"key":"op/config","value":"eyJ2Ijo=","revision":11}],"truncated":false,"current_rev":12}"#
)]
fn read_without_a_configuration_is_repeated(#[case] page: &'static str) {
    let (_e, _store, front) = start_behind(StoreFault::Body(page));
    let mut gateway = start_gateway_at(front.address);
    assert_probes(&mut gateway, Duration::from_secs(3), 503);
    front.mend();
    assert!(wait_for(READY_SECS, || gateway.probe() == 200), "not ready within {READY_SECS} s");
}

#[rstest]
#[case(1)]
#[case(3)]
#[case(9)]
fn store_that_answers_late_is_read(#[case] secs: u64) {
    let (_e, _store, front) = start_behind(StoreFault::Late(Duration::from_secs(secs)));
    let mut gateway = start_gateway_at(front.address);
    // An era of the store counts once two reads name it.
    let secs = 2 * secs + READY_SECS;
    let is_ready = wait_for(secs, || gateway.probe() == 200);
    assert!(!gateway.has_ended(), "the process has ended");
    assert!(is_ready, "not ready within {secs} s");
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, 200);
}

/// An instance followed a store only if its answers took less than 2 s.
#[rstest]
fn changes_in_a_store_that_answers_late_apply(
    #[values(1, 3, 5)] secs: u64,
    #[values(true, false)] from_start: bool,
) {
    let (_e, store, front) = start_behind(StoreFault::Late(Duration::from_secs(secs)));
    if !from_start {
        front.mend();
    }
    let gateway = start_gateway_at(front.address);
    assert!(wait_for(2 * secs + READY_SECS, || gateway.probe() == 200), "not ready");
    front.relapse();
    let is_registered = || !store.keys("gateways/").is_empty();
    assert!(wait_for(2 * secs + APPLY_SECS, is_registered), "not registered");
    let f = Endpoint::start("i-2", Action::Respond(200, "second".into()));
    let config = CONFIG.replace(r#""version":7"#, r#""version":8"#).replace("/safe/", "/new/");
    for change in ["configuration", "endpoint"] {
        match change {
            "endpoint" => list_endpoint(&store, &f, "plain", "ready"),
            _ => store.set("op/config", Some(config.as_bytes())),
        }
        let replies =
            || (0..4).map(|n| send_request(&gateway, "GET", "/new/x", &format!("id-{n}")));
        let is_applied = || match change {
            "endpoint" => replies().any(|r| r.body == "second"),
            _ => replies().all(|r| r.status == 200),
        };
        assert!(wait_for(2 * secs + APPLY_SECS, is_applied), "{change} does not apply");
    }
}

/// Entries of instances and endpoints that are gone, of which some cannot be read.
fn add_stale_entries(store: &Store) {
    for n in 0..400 {
        let registration = match n % 4 {
            0 => b"\xff\x00 no JSON".to_vec(),
            1 => json!({ "address": "nowhere", "key": [] }).to_string().into_bytes(),
            _ => {
                let address = format!("127.255.{}.{}:7200", n / 200, n % 200 + 1);
                let key = vec![n % 256; 16];
                json!({ "address": address, "key": key, "power": 190 }).to_string().into_bytes()
            }
        };
        store.set(&format!("gateways/gone-{n}"), Some(&registration));
    }
    let listings: [&[u8]; 4] = [b"", b"{", b"\xff\xfe", br#"{"service":"plain","address":"x"}"#];
    for (n, listing) in listings.into_iter().enumerate() {
        store.set(&format!("servers/bad-{n}"), Some(listing));
    }
    store.set("servers/", Some(b"{}"));
    store.set("gateways/", Some(b"{}"));
}

#[test]
fn stale_entries_and_garbage_datagrams_do_not_prevent_a_start() {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let store = Store::start();
    add_stale_entries(&store);
    list_endpoint(&store, &e, "plain", "ready");
    store.set("op/config", Some(CONFIG.as_bytes()));
    let mut gateway = start_gateway_at(store.address);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("cannot bind a datagram socket");
    for n in 0..2000_usize {
        let bytes: Vec<u8> = (0..n % 1400).map(|i| (i * n) as u8).collect();
        let _ = socket.send_to(&bytes, gateway.internal);
    }
    assert_serves(&mut gateway);
    assert_probes(&mut gateway, Duration::from_secs(5), 200);
    // Those that can be read were taken for peers.
    assert!(gateway.into_log().contains("kind=LinkUp"));
}

#[test]
fn value_of_the_store_that_is_skipped_as_invalid_is_named_in_the_log() {
    const PAGE: &str = r#"{"items":[{"key":"servers/i-odd","value":"e30","revision":3},
        {"key":"servers/i-odder","value":"{}","revision":4}],"truncated":false,"current_rev":4}"#;
    let front = StoreFront::start(Store::start().address, StoreFault::Body(PAGE));
    let gateway = start_gateway_at(front.address);
    let log = || std::fs::read_to_string(gateway.settings_file.with_extension("log"));
    for (key, revision) in [("servers/i-odd", 3), ("servers/i-odder", 4)] {
        let text = format!("value of {key:?} at revision {revision}");
        let is_named = |line: &str| line.contains("level=WARN") && line.contains(&text);
        let has_line = || log().is_ok_and(|log| log.lines().any(is_named));
        assert!(wait_for(5, has_line), "no line with {text}");
    }
}

/// The log had the same line for each reason, and the metrics had none.
#[rstest]
#[case::refused(StoreFault::Status(400), "status 400", "400")]
#[case::not_json(StoreFault::Body("<html>"), "expected value", "malformed")]
#[case::closed(StoreFault::Closing, "connection closed", "broken")]
fn failed_read_of_the_store_is_named_in_log_and_metrics(
    #[case] fault: StoreFault,
    #[case] failure: &str,
    #[case] label: &str,
) {
    let (_e, _store, front) = start_behind(fault);
    let gateway = start_gateway_at(front.address);
    let log = || std::fs::read_to_string(gateway.settings_file.with_extension("log"));
    let is_named = |line: &str| {
        line.contains("kind=StoreLost")
            && line.contains(r#"call="kv-range"#)
            && line.contains(failure)
    };
    let has_line = || log().is_ok_and(|log| log.lines().any(is_named));
    assert!(wait_for(5, has_line), "no line names the failure");
    let request = b"GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n";
    let series = format!("store_failures_total{{why=\"{label}\"}}");
    let is_counted = || send(gateway.ready, request).reply().body.contains(&series);
    assert!(wait_for(5, is_counted), "no series {series}");
}
