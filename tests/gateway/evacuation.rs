//! Evacuations of data centres, counted at their endpoints.

use crate::common::{
    CONFIG, expected_events, send_request, start_gateway, start_gateway_at, start_platform,
    start_stream, wait_for,
};
use standin::platform::{Action, Endpoint, Gateway, Outage, Proxy, ProxyMode, Store};
use std::thread;
use std::time::{Duration, Instant};

/// Time from the store's acknowledgement of an evacuation until nothing may arrive there.
const EVACUATE_TIME: Duration = Duration::from_millis(5000);
/// Time for which arrivals are counted.
const COUNT_TIME: Duration = Duration::from_millis(2000);
const KEY: &str = "op/evacuate/z-a";

fn endpoint(name: &str) -> Endpoint {
    Endpoint::start(name, Action::Respond(200, name.to_owned()))
}

/// Writes the list entry of an endpoint in a data centre.
fn list_at(store: &Store, e: &Endpoint, service: &str, centre: &str) {
    let listing = e.listing(service, "ready").replace("z-a", centre);
    store.set(&format!("servers/{}", e.id), Some(listing.as_bytes()));
}

/// Sends requests at all gateways, one after the other; returns whether all were answered.
fn send_round(gateways: &[Gateway]) -> bool {
    gateways.iter().all(|g| send_request(g, "GET", "/safe/x", "id-1").status == 200)
}

/// Evacuates the data centre, and returns how many requests reach an endpoint there later than
/// [`EVACUATE_TIME`] after that, and whether all requests were answered.
fn count_late(store: &Store, e: &Endpoint, gateways: &[Gateway]) -> (usize, bool) {
    store.set(KEY, Some(b"{}"));
    let from = Instant::now() + EVACUATE_TIME;
    let mut is_answered = true;
    while Instant::now() < from + COUNT_TIME {
        is_answered &= send_round(gateways);
        thread::sleep(Duration::from_millis(15));
    }
    (e.received().iter().filter(|r| r.at >= from).count(), is_answered)
}

#[test]
fn evacuated_data_centre_gets_nothing_from_any_gateway_until_it_is_taken_back() {
    let (e, f) = (endpoint("i-1"), endpoint("i-2"));
    let (store, first) = start_platform(&[(&e, "plain")]);
    list_at(&store, &f, "plain", "z-b");
    let proxy = Proxy::start(store.address);
    let mut gateways = vec![first, start_gateway_at(proxy.address)];
    assert!(wait_for(5, || gateways.iter().all(|g| g.readiness() == 200)));
    // Leave the instances time to read each other's registration before one loses the store.
    thread::sleep(Duration::from_millis(1500));
    proxy.set_mode(ProxyMode::Silent);
    assert_eq!(count_late(&store, &e, &gateways), (0, true));
    // An instance that starts meanwhile.
    gateways.push(start_gateway(&store));
    assert!(wait_for(5, || gateways[2].readiness() == 200));
    let before = e.received().len();
    (0..20).for_each(|_| assert!(send_round(&gateways)));
    assert_eq!(e.received().len(), before);
    for _ in 0..2 {
        store.set(KEY, None);
        let is_back = |g| send_request(g, "GET", "/safe/x", "id-2").body == "i-1";
        assert!(wait_for(5, || gateways.iter().all(is_back)), "it is not used again");
        assert_eq!(count_late(&store, &e, &gateways), (0, true));
    }
}

#[test]
fn generation_in_an_evacuated_data_centre_ends_there() {
    let engine = |name| Endpoint::start(name, Action::Stream(60, Duration::from_millis(30)));
    let (e, f) = (engine("i-1"), engine("i-2"));
    let (store, gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    list_at(&store, &f, "model", "z-b");
    store.set(KEY, Some(b"{}"));
    thread::sleep(Duration::from_millis(500));
    assert!(start_stream(&gateway, "id-2").reply().complete);
    let reply = sent.reply();
    assert_eq!((reply.complete, reply.body), (true, expected_events(60)));
    assert_eq!((e.received().len(), f.received().len(), e.copies().len()), (1, 1, 0));
}

#[test]
fn callers_are_refused_at_once_without_an_endpoint_elsewhere() {
    let (e, f) = (endpoint("i-1"), endpoint("i-2"));
    let (store, gateway) = start_platform(&[(&e, "plain"), (&f, "model")]);
    store.set(KEY, Some(b"{}"));
    thread::sleep(Duration::from_millis(500));
    let started = Instant::now();
    let replies =
        [send_request(&gateway, "GET", "/safe/x", "id-1"), start_stream(&gateway, "id-2").reply()];
    assert!(started.elapsed() < Duration::from_millis(400));
    assert!(replies.iter().all(|r| r.status == 503 && r.header("retry-after").is_some()));
}

#[test]
fn evacuation_outlasts_an_outage_and_a_return_of_the_store_from_an_older_copy() {
    let (e, f) = (endpoint("i-1"), endpoint("i-2"));
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    list_at(&store, &f, "plain", "z-b");
    let copy = store.copy();
    store.set(KEY, Some(b"{}"));
    store.set("op/evacuate/no-such-place", Some(b"{}"));
    thread::sleep(Duration::from_millis(500));
    store.restore(copy);
    store.set("op/config", Some(CONFIG.as_bytes()));
    let gateways = [gateway];
    let before = e.received().len();
    for _ in 0..100 {
        assert!(send_round(&gateways));
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(e.received().len(), before);
}

/// An engine leaves while the store cannot tell. What runs there is moved as from any engine, and an
/// engine of the same data centre on which nothing runs is not even asked.
#[test]
fn generation_in_an_evacuated_data_centre_is_moved_when_its_engine_leaves_in_an_outage() {
    let engine = |name| Endpoint::start(name, Action::Stream(100, Duration::from_millis(30)));
    let (e, f, idle) = (engine("i-1"), engine("i-2"), engine("i-3"));
    let (store, gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    list_at(&store, &idle, "model", "z-a");
    list_at(&store, &f, "model", "z-b");
    store.set(KEY, Some(b"{}"));
    thread::sleep(Duration::from_millis(500));
    store.set_outage(Some(Outage::Busy));
    e.start_draining();
    let reply = sent.reply();
    assert_eq!((reply.complete, reply.body), (true, expected_events(100)));
    assert_eq!((e.run_count(), f.run_count(), idle.report_count()), (1, 1, 0));
    assert!(e.report_count() > 0);
}

/// The entry of an engine that leaves without a word is removed soon after an outage. It may have
/// expired in the outage, so its generations are not moved before the engine itself says so.
#[test]
fn generation_is_moved_from_an_engine_whose_entry_lapsed_and_that_leaves() {
    let engine = |name| Endpoint::start(name, Action::Stream(100, Duration::from_millis(30)));
    let (e, f) = (engine("i-1"), engine("i-2"));
    let (store, gateway) = start_platform(&[(&e, "model")]);
    store.set_outage(Some(Outage::Busy));
    thread::sleep(Duration::from_millis(700));
    store.set_outage(None);
    thread::sleep(Duration::from_millis(700));
    let mut sent = start_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    list_at(&store, &f, "model", "z-b");
    thread::sleep(Duration::from_millis(300));
    e.start_draining();
    store.set("servers/i-1", None);
    // An instance that waits for the end of the lapse moves it after 1.8 s.
    assert!(wait_for(1, || f.run_count() == 1), "it is not moved before the engine is gone");
    let reply = sent.reply();
    assert_eq!((reply.complete, reply.body), (true, expected_events(100)));
}

#[test]
fn evacuation_of_an_unknown_data_centre_is_logged_and_changes_nothing() {
    let e = endpoint("i-1");
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    for name in ["no-such-place", "no such place", ""] {
        store.set(&format!("op/evacuate/{name}"), Some(b"{}"));
    }
    thread::sleep(Duration::from_millis(500));
    assert!((0..5).all(|_| send_request(&gateway, "GET", "/safe/x", "id-1").status == 200));
    let log = gateway.into_log();
    let has = |text: &str| log.lines().any(|l| l.contains("level=WARN") && l.contains(text));
    assert!(has(r#"no endpoint is known in the evacuated data centre "no-such-place""#), "{log}");
    assert!(has("ignored evacuation of"), "{log}");
}

/// The evacuation was applied before the endpoints were known.
#[test]
fn evacuation_that_an_instance_finds_at_its_start_is_logged_with_its_endpoints() {
    let e = endpoint("i-1");
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    list_at(&store, &e, "plain", "z-b");
    store.set("op/evacuate/z-b", Some(b"{}"));
    let gateway = start_gateway(&store);
    assert!(wait_for(5, || gateway.readiness() == 200), "gateway not ready within 5 s");
    let begun = "kind=EvacuationBegun subject=z-b";
    let file = gateway.settings_file.with_extension("log");
    let read = || std::fs::read_to_string(&file).expect("the log is written");
    assert!(wait_for(5, || read().contains(begun)), "{}", read());
    let log = gateway.into_log();
    let line = log.lines().find(|l| l.contains(begun)).expect(&log);
    assert!(line.contains(" endpoints=1 "), "{log}");
    assert!(!log.contains("no endpoint is known"), "{log}");
}
