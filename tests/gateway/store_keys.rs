//! Tests that keys which others write to the store keep no instance from following it.

use crate::common::{
    APPLY_SECS, CONFIG, assert_serves, send_request, start_gateway, start_gateway_at, start_store,
    wait_for,
};
use crate::odd_messages::Peer;
use rstest::rstest;
use skylarkthread::gossip::{Digest, PeerMessage};
use standin::platform::{Gateway, Outage};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Time in which a change of the list of endpoints applies.
const CHANGE_SECS: u64 = 2;
/// Time to live of a registration.
const TTL_SECS: u64 = 15;
/// Size of a value of which no two fit in a page of the store.
const LARGE_VALUE: usize = 800_000;

/// Prefixes of keys, the first of which are not the system's.
const PREFIXES: [&str; 5] = ["", "gateways/", "op/", "quarantine/", "servers/"];
/// Largest value that is kept.
const KEPT_VALUE: usize = 48 << 10;

/// Keys that sort before those of the system, with bytes that have a meaning in a query.
const KEYS: [&str; 12] = [
    "a00%25",
    "a01%2F",
    "a02&b=",
    "a03+",
    "a04%C3%A9",
    "a05é",
    "a06 x",
    "a07#",
    "a08%zz",
    r#"a09"\"#,
    "a10?prefix=z",
    "a11🔒\u{7f}\n",
];

#[rstest]
fn instance_is_ready_though_a_page_ends_at_any_key(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)] key: usize,
) {
    let (_e, store) = start_store();
    store.set_page_items(1);
    PREFIXES.iter().for_each(|p| store.set(&format!("{p}{}", KEYS[key]), Some(b"{}")));
    assert_serves(&mut start_gateway(&store));
}

#[rstest]
fn instance_is_ready_though_a_large_value_ends_a_page(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)] key: usize,
) {
    let (_e, store) = start_store();
    // The first page of each prefix has no room for another item.
    let large = vec![b'x'; LARGE_VALUE];
    PREFIXES.iter().for_each(|p| store.set(&format!("{p}{}", KEYS[key]), Some(&large)));
    assert_serves(&mut start_gateway(&store));
}

#[rstest]
fn instances_that_are_killed_are_ready_again_though_pages_end_at_any_keys(
    #[values(1, 2, 500)] page_items: usize,
) {
    let (_e, store) = start_store();
    let mut gateways: Vec<Gateway> = (0..3).map(|_| start_gateway(&store)).collect();
    gateways.iter_mut().for_each(assert_serves);
    store.set_page_items(page_items);
    let keys = PREFIXES.iter().flat_map(|p| KEYS.map(|key| format!("{p}{key}")));
    keys.for_each(|key| store.set(&key, Some(&[0xff; 1000])));
    gateways.iter_mut().for_each(Gateway::restart);
    gateways.iter_mut().for_each(assert_serves);
}

#[rstest]
fn changes_apply_though_a_page_ends_at_any_key(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)] key: usize,
) {
    let (_e, store) = start_store();
    let mut gateway = start_gateway(&store);
    assert_serves(&mut gateway);
    store.set(&format!("op/{}", KEYS[key]), Some(&vec![b'x'; LARGE_VALUE]));
    // The changes are not in a watch, so that all keys are read.
    let config = CONFIG.replace(r#""version":7"#, r#""version":8"#).replace("/safe/", "/new/");
    store.set("op/config", Some(config.as_bytes()));
    store.compact();
    let is_applied = || send_request(&gateway, "GET", "/new/x", "id-2").status == 200;
    assert!(wait_for(APPLY_SECS, is_applied), "the configuration does not apply");
}

#[rstest]
fn endpoints_are_listed_though_a_page_ends_at_an_odd_entry(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)] key: usize,
) {
    let (_e, store) = start_store();
    store.set_page_items(1);
    store.set(&format!("servers/{}", KEYS[key]), Some(b"{}"));
    let gateway = start_gateway(&store);
    let is_served = || send_request(&gateway, "GET", "/safe/x", "id-1").status == 200;
    assert!(wait_for(APPLY_SECS + CHANGE_SECS, is_served), "no endpoint is listed");
}

#[test]
fn keys_of_others_do_not_delay_a_start() {
    let (_e, store) = start_store();
    store.set_page_items(1);
    (0..20_000).for_each(|n| store.set(&format!("a/{n}"), Some(b"{}")));
    assert_serves(&mut start_gateway(&store));
}

fn has_line(gateway: &Gateway, text: &str) -> bool {
    let log = std::fs::read(gateway.settings_file.with_extension("log"));
    log.is_ok_and(|log| String::from_utf8_lossy(&log).lines().any(|line| line.contains(text)))
}

#[test]
fn endpoint_behind_unusable_entries_of_others_is_used() {
    let (_e, store) = start_store();
    for n in 0..300 {
        store.set(&format!("servers/a-{n:03}"), Some(&vec![b'x'; KEPT_VALUE]));
    }
    let gateway = start_gateway(&store);
    let is_served = || send_request(&gateway, "GET", "/safe/x", "id-1").status == 200;
    assert!(wait_for(APPLY_SECS + CHANGE_SECS, is_served), "no endpoint is used");
}

#[test]
fn peer_whose_registration_cannot_be_read_stays_a_peer() {
    let (_e, store) = start_store();
    let mut gateways = [start_gateway(&store), start_gateway(&store)];
    gateways.iter_mut().for_each(assert_serves);
    let is_linked = || gateways.iter().all(|g| has_line(g, "kind=LinkUp"));
    assert!(wait_for(APPLY_SECS, is_linked), "no peers");
    store.keys("gateways/").iter().for_each(|key| store.set(key, Some(b"\xff")));
    for n in 0..300 {
        store.set(&format!("gateways/a-{n:03}"), Some(&vec![b'x'; KEPT_VALUE]));
    }
    store.compact();
    let is_removed = || gateways.iter().any(|g| has_line(g, "kind=LinkSilent"));
    assert!(!wait_for(APPLY_SECS, is_removed), "a peer that is registered is removed");
}

/// The history that tells of the end of a registration is gone.
#[rstest]
#[case::silent(false)]
#[case::heard_from(true)]
fn peer_is_one_until_its_registration_and_its_messages_have_ended(#[case] is_heard: bool) {
    let (_e, store) = start_store();
    let gateway = start_gateway(&store);
    let peer = Peer::register(&store, "g-peer");
    let has_event = |kind| has_line(&gateway, &format!("kind={kind} subject=g-peer"));
    assert!(wait_for(APPLY_SECS, || has_event("LinkUp")), "no peer");
    if is_heard {
        peer.send(&gateway, PeerMessage::Digest(Digest::default()));
    }
    store.set_outage(Some(Outage::Busy));
    std::thread::sleep(Duration::from_millis(100));
    store.set("gateways/g-peer", None);
    store.compact();
    store.set_outage(None);
    let kept = || has_event("LinkUnlisted");
    assert!(wait_for(APPLY_SECS, || kept() || has_event("LinkSilent")), "it stays registered");
    assert_eq!((kept(), has_event("LinkSilent")), (is_heard, !is_heard));
    assert!(wait_for(TTL_SECS, || has_event("LinkSilent")), "it stays a peer");
}

#[test]
fn values_of_keys_that_are_not_followed_are_not_logged() {
    let (_e, store) = start_store();
    let gateway = start_gateway(&store);
    for _ in 0..10 {
        store.set("a/large", Some(&vec![b'x'; 100_000]));
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(!has_line(&gateway, "a/large"));
}

/// Starts a front of the store that admits so many calls at once, and one more every 100 ms.
fn start_limiter(store: SocketAddr, burst: f64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot listen");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        let (mut admitted, mut since) = (burst, Instant::now());
        for mut io in listener.incoming().flatten() {
            admitted = (admitted + 10.0 * since.elapsed().as_secs_f64()).min(burst);
            since = Instant::now();
            if admitted < 1.0 {
                let _ = io.read(&mut [0; 4096]);
                let _ = io.write_all(b"HTTP/1.1 429 X\r\nContent-Length: 4\r\n\r\nnull");
                continue;
            }
            admitted -= 1.0;
            let Ok(mut up) = TcpStream::connect(store) else { return };
            let (Ok(mut from), Ok(mut to)) = (io.try_clone(), up.try_clone()) else { return };
            std::thread::spawn(move || std::io::copy(&mut from, &mut to));
            std::thread::spawn(move || std::io::copy(&mut up, &mut io));
        }
    });
    address
}

#[rstest]
fn instance_is_ready_though_the_store_admits_few_calls_at_a_time(
    #[values(1.0, 2.0, 3.0)] burst: f64,
) {
    let (_e, store) = start_store();
    assert_serves(&mut start_gateway_at(start_limiter(store.address, burst)));
}
