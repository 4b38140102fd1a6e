//! Tests that instances get on with a store that keeps to the platform's rules, and that the stand-in
//! does.

use crate::common::{
    APPLY_SECS, CONFIG, assert_serves, list_endpoint, send_request, start_gateway,
    start_gateway_at, start_store, wait_for,
};
use rstest::rstest;
use serde_json::{Value, json};
use standin::platform::{
    Action, Endpoint, Gateway, Outage, Rates, Store, StoreFault, StoreFront, send,
};
use std::thread::sleep;
use std::time::Duration;

/// Time in which a change of the list of endpoints applies.
const CHANGE_SECS: u64 = 2;
/// Time to live of a registration.
const TTL_SECS: u64 = 15;

/// Makes a call; returns the status and the body.
fn call(store: &Store, method: &str, target: &str, body: &str) -> (u16, Value) {
    let length = body.len();
    let text = format!("{method} {target} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}");
    let reply = send(store.address, text.as_bytes()).reply();
    (reply.status, serde_json::from_str(&reply.body).unwrap_or_default())
}

fn grant(store: &Store, ttl_ms: u64) -> u64 {
    let (_, body) = call(store, "POST", "/kv-lease", &json!({ "ttl_ms": ttl_ms }).to_string());
    body["lease"].as_u64().expect("a lease is granted")
}

fn set_text(key: &str, value: &str, lease: u64) -> Value {
    json!({ "set_keys": [{ "key": key, "value": value, "lease": lease }] })
}

#[rstest]
#[case::ttl_too_short("POST", "/kv-lease", json!({ "ttl_ms": 999 }), 400)]
#[case::ttl_too_long("POST", "/kv-lease", json!({ "ttl_ms": 600_001 }), 400)]
#[case::unknown_lease("POST", "/kv-keep/77", Value::Null, 404)]
#[case::end_of_unknown_lease("DELETE", "/kv-lease-end/77", Value::Null, 404)]
#[case::key_under_unknown_lease("POST", "/kv-txn", set_text("a", "", 77), 404)]
#[case::key_of_the_operator("POST", "/kv-txn", set_text("op/config", "", 0), 403)]
#[case::key_of_an_endpoint("POST", "/kv-txn", json!({ "remove": ["servers/i"] }), 403)]
#[case::longest_key("POST", "/kv-txn", set_text(&"k".repeat(200), "", 0), 200)]
#[case::key_too_long("POST", "/kv-txn", set_text(&"k".repeat(201), "", 0), 400)]
#[case::largest_value("POST", "/kv-txn", set_text("a", &("AAAA".repeat(349_525) + "AA=="), 0), 200)]
#[case::value_too_large("POST", "/kv-txn", set_text("a", &"AAAA".repeat(349_526), 0), 400)]
#[case::value_without_padding("POST", "/kv-txn", set_text("a", "AA", 0), 400)]
#[case::most_entries("POST", "/kv-txn", json!({ "remove": vec!["a"; 32] }), 200)]
#[case::too_many_entries("POST", "/kv-txn", json!({ "remove": vec!["a"; 33] }), 400)]
#[case::longest_wait("GET", "/kv-watch?prefix=&after=10&wait_ms=30000", Value::Null, 200)]
#[case::wait_too_long("GET", "/kv-watch?prefix=&after=10&wait_ms=30001", Value::Null, 400)]
#[case::wait_not_whole("GET", "/kv-watch?prefix=&after=10&wait_ms=1.5", Value::Null, 400)]
fn stand_in_answers_as_the_platform(
    #[case] method: &str,
    #[case] target: &str,
    #[case] body: Value,
    #[case] status: u16,
) {
    let store = Store::start();
    store.set("b", Some(b"1"));
    assert_eq!(call(&store, method, target, &body.to_string()).0, status);
}

#[test]
fn stand_in_compares_revisions_before_it_writes() {
    let store = Store::start();
    store.set("a", Some(b"1"));
    let txn = |expected: u64| {
        let expected = json!([{ "key": "a", "revision": expected }, { "key": "b", "revision": 0 }]);
        let body =
            json!({ "expected_rev": expected, "set_keys": [{ "key": "a", "value": "Mg==" }] });
        call(&store, "POST", "/kv-txn", &body.to_string())
    };
    let (status, body) = txn(10);
    let item = json!({ "key": "a", "value": "MQ==", "revision": 11, "created": 11, "lease": 0 });
    assert_eq!((status, body), (412, json!({ "items": [item] })));
    assert_eq!(txn(11), (200, json!({ "revision": 12 })));
    store.freeze_stale_reads();
    store.set("a", Some(b"3"));
    let read = |more| call(&store, "GET", &format!("/kv-key?key=a{more}"), "").1;
    let revision = |item: Value| (item["created"].as_u64(), item["revision"].as_u64());
    assert_eq!(revision(read("")), (Some(11), Some(13)));
    assert_eq!(revision(read("&allow_stale=1")), (Some(11), Some(12)));
}

#[test]
fn stand_in_ends_leases_with_their_keys() {
    let store = Store::start();
    let lease = grant(&store, 1000);
    let other = grant(&store, 600_000);
    call(&store, "POST", "/kv-txn", &set_text("t/a", "", lease).to_string());
    call(&store, "POST", "/kv-txn", &set_text("t/b", "", lease).to_string());
    call(&store, "POST", "/kv-txn", &set_text("t/b", "", other).to_string());
    sleep(Duration::from_millis(600));
    assert_eq!(call(&store, "POST", &format!("/kv-keep/{lease}"), "null").0, 200);
    sleep(Duration::from_millis(600));
    assert_eq!(store.keys("t/"), ["t/a", "t/b"]);
    // A watch that waits gets the removal.
    let (_, body) = call(&store, "GET", "/kv-watch?prefix=t/&after=13&wait_ms=1000", "");
    assert_eq!(body["events"], json!([{ "key": "t/a", "revision": 14, "tombstone": true }]));
    assert_eq!(call(&store, "POST", &format!("/kv-keep/{lease}"), "null").0, 404);
    assert_eq!(call(&store, "DELETE", &format!("/kv-lease-end/{other}"), "").0, 200);
    assert_eq!(store.keys("t/"), [""; 0]);
}

fn assert_registered(store: &Store, n: usize, secs: u64) {
    let is_registered = || store.keys("gateways/").len() == n;
    assert!(wait_for(secs, is_registered), "{:?} are registered", store.keys("gateways/"));
}

/// Checks that a change of the list of endpoints and one of the configuration apply in time.
fn assert_follows(store: &Store, gateways: &[Gateway]) {
    assert_follows_within(CHANGE_SECS, store, gateways);
}

fn assert_follows_within(secs: u64, store: &Store, gateways: &[Gateway]) {
    let f = Endpoint::start("i-2", Action::Respond(200, "second".into()));
    list_endpoint(store, &f, "plain", "ready");
    store.set("servers/i-1", None);
    let is_served = |g| send_request(g, "GET", "/safe/x", "id-2").body == "second";
    assert!(wait_for(secs, || gateways.iter().all(is_served)), "the endpoint is not used");
    let config = CONFIG.replace(r#""version":7"#, r#""version":8"#).replace("/safe/", "/new/");
    store.set("op/config", Some(config.as_bytes()));
    let is_applied = |g| send_request(g, "GET", "/new/x", "id-3").status == 200;
    assert!(
        wait_for(APPLY_SECS, || gateways.iter().all(is_applied)),
        "the configuration is not in force"
    );
}

#[test]
fn registrations_are_renewed_and_end_with_their_instances() {
    let (_e, store) = start_store();
    let mut gateways: Vec<Gateway> = (0..2).map(|_| start_gateway(&store)).collect();
    gateways.iter_mut().for_each(assert_serves);
    assert_registered(&store, 2, CHANGE_SECS);
    let end = std::time::Instant::now() + Duration::from_secs(TTL_SECS + 5);
    while std::time::Instant::now() < end {
        assert_eq!(store.keys("gateways/").len(), 2, "a registration has lapsed");
        sleep(Duration::from_millis(100));
    }
    gateways.pop();
    assert_registered(&store, 1, TTL_SECS + 1);
    assert_follows(&store, &gateways);
}

#[rstest]
#[case::leases_end(false)]
#[case::leases_pause(true)]
fn registrations_are_there_soon_after_an_outage(
    #[case] pauses_leases: bool,
    #[values(Outage::Busy, Outage::Silent)] outage: Outage,
) {
    let (_e, store) = start_store();
    if pauses_leases {
        store.pause_leases();
    }
    let mut gateways: Vec<Gateway> = (0..2).map(|_| start_gateway(&store)).collect();
    gateways.iter_mut().for_each(assert_serves);
    assert_registered(&store, 2, CHANGE_SECS);
    store.set_outage(Some(outage));
    sleep(Duration::from_secs(TTL_SECS + 3));
    gateways.iter_mut().for_each(assert_serves);
    store.set_outage(None);
    assert_eq!(store.keys("gateways/").len(), if pauses_leases { 2 } else { 0 });
    assert_registered(&store, 2, CHANGE_SECS);
    sleep(Duration::from_secs(CHANGE_SECS));
    assert_follows(&store, &gateways);
}

/// Another writer, or a late call of the process before, replaces the registration.
#[rstest]
#[case::other_key(
    br#"{"address":"127.0.0.1:9","key":[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16],"power":100}"#
)]
#[case::unreadable(b"\xff\x00")]
fn registration_that_somebody_replaces_is_written_again(#[case] value: &[u8]) {
    let (_e, store) = start_store();
    let mut gateways: Vec<Gateway> = (0..2).map(|_| start_gateway(&store)).collect();
    gateways.iter_mut().for_each(assert_serves);
    assert_registered(&store, 2, CHANGE_SECS);
    for key in store.keys("gateways/") {
        let is_own = || {
            let (_, item) = call(&store, "GET", &format!("/kv-key?key={key}"), "");
            item["lease"] != 0
        };
        store.set(&key, Some(value));
        assert!(wait_for(CHANGE_SECS, is_own), "{key} is not written again");
    }
}

#[test]
fn registration_that_is_replaced_again_and_again_is_written_with_a_pause() {
    let (_e, store) = start_store();
    let mut gateway = start_gateway(&store);
    assert_serves(&mut gateway);
    assert_registered(&store, 1, CHANGE_SECS);
    let (key, before) = (store.keys("gateways/").remove(0), grant(&store, 1000));
    for _ in 0..80 {
        store.set(&key, Some(b"{}"));
        sleep(Duration::from_millis(50));
    }
    let leases = grant(&store, 1000) - before - 1;
    assert!((1..=6).contains(&leases), "{leases} leases in 4 s");
    assert_serves(&mut gateway);
}

/// Behaviour of a store that is in service.
#[derive(Debug, Clone, Copy)]
enum Rule {
    /// Most calls are refused for some seconds.
    FewCalls(f64),
    /// Reads that may be stale are old.
    StaleReads,
    /// Watches that wait are cut.
    CutWatches(u64),
    /// Changes are not kept.
    NoHistory,
    /// Pages have one item, of which some are under leases.
    SmallPages,
}

fn apply(store: &Store, rule: Rule) {
    match rule {
        Rule::FewCalls(reads) => store.set_rates(Some(Rates { reads, writes: 10.0 })),
        Rule::StaleReads => store.freeze_stale_reads(),
        Rule::CutWatches(ms) => store.cut_watches(Some(Duration::from_millis(ms))),
        Rule::NoHistory => store.keep_nothing(),
        Rule::SmallPages => {
            store.set_page_items(1);
            let lease = grant(store, 600_000);
            for n in 0..5 {
                let body = set_text(&format!("gateways/other-{n}"), "e30=", lease).to_string();
                assert_eq!(call(store, "POST", "/kv-txn", &body).0, 200);
            }
        }
    }
}

#[rstest]
fn instances_start_and_follow_the_store(
    #[values(
        Rule::FewCalls(100.0),
        Rule::StaleReads,
        Rule::CutWatches(0),
        Rule::CutWatches(700),
        Rule::NoHistory,
        Rule::SmallPages
    )]
    rule: Rule,
) {
    let (_e, store) = start_store();
    apply(&store, rule);
    let mut gateways: Vec<Gateway> = (0..3).map(|_| start_gateway(&store)).collect();
    gateways.iter_mut().for_each(assert_serves);
    assert_follows(&store, &gateways);
    gateways.iter_mut().for_each(Gateway::restart);
    let is_ready = || gateways.iter().all(|g| g.probe() == 200);
    assert!(wait_for(APPLY_SECS, is_ready), "not ready after a restart");
}

#[test]
fn instances_are_ready_soon_after_most_calls_were_refused() {
    let (_e, store) = start_store();
    store.set_rates(Some(Rates { reads: 3.0, writes: 1.0 }));
    let gateways: Vec<Gateway> = (0..3).map(|_| start_gateway(&store)).collect();
    sleep(Duration::from_secs(4));
    store.set_rates(None);
    let is_ready = || gateways.iter().all(|g| g.probe() == 200);
    assert!(wait_for(CHANGE_SECS, is_ready), "not ready within {CHANGE_SECS} s");
    assert_registered(&store, 3, CHANGE_SECS + 1);
}

/// The store serves the operator and some instances, and refuses one.
#[rstest]
fn instance_that_the_store_refuses_follows_by_the_others(
    #[values(
        StoreFault::Status(429),
        StoreFault::Status(503),
        StoreFault::Closing,
        StoreFault::Silent
    )]
    fault: StoreFault,
) {
    let (_e, store) = start_store();
    let front = StoreFront::start(store.address, fault);
    front.mend();
    let mut gateways = vec![start_gateway_at(front.address)];
    gateways.extend((0..2).map(|_| start_gateway(&store)));
    gateways.iter_mut().for_each(assert_serves);
    assert_registered(&store, 3, CHANGE_SECS);
    sleep(Duration::from_secs(1));
    front.relapse();
    sleep(Duration::from_secs(2));
    assert_follows(&store, &gateways);
}

#[rstest]
fn instance_is_ready_and_follows_a_store_that_fails_some_calls(
    #[values(2, 3, 5)] one_in: usize,
    #[values(1, 500)] page_items: usize,
) {
    let (_e, store) = start_store();
    store.set_page_items(page_items);
    (0..4).for_each(|n| store.set(&format!("servers/other-{n}"), Some(b"{}")));
    let front = StoreFront::start(store.address, StoreFault::OneIn(one_in));
    let mut gateways = vec![start_gateway_at(front.address)];
    gateways.iter_mut().for_each(assert_serves);
    assert_registered(&store, 1, TTL_SECS);
    // A store that fails calls counts as away, so entries that are gone may only have lapsed.
    assert_follows_within(APPLY_SECS, &store, &gateways);
}
