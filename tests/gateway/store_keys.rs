//! Tests that keys which others write to the store keep no instance from following it.

use crate::common::{CONFIG, list_endpoint, send_request, start_gateway, wait_for};
use rstest::rstest;
use standin::platform::{Action, Endpoint, Gateway, Store};

/// Time in which a configuration applies, with the platform's allowance for an instance that starts.
const APPLY_SECS: u64 = 7;
/// Time in which a change of the list of endpoints applies.
const CHANGE_SECS: u64 = 2;
/// Size of a value of which no two fit in a page of the store.
const LARGE_VALUE: usize = 800_000;

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

fn start_store() -> (Endpoint, Store) {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    list_endpoint(&store, &e, "plain", "ready");
    (e, store)
}

fn assert_serves(gateway: &mut Gateway) {
    let is_ready = wait_for(APPLY_SECS, || gateway.probe() == 200);
    assert!(!gateway.has_ended(), "the process has ended");
    assert!(is_ready, "not ready within {APPLY_SECS} s");
    assert_eq!(send_request(gateway, "GET", "/safe/x", "id-1").status, 200);
}

#[rstest]
fn instance_is_ready_though_a_page_ends_at_any_key(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)] key: usize,
) {
    let (_e, store) = start_store();
    // The first page has no room for another item.
    store.set(KEYS[key], Some(&vec![b'x'; LARGE_VALUE]));
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
    KEYS.iter().for_each(|key| store.set(key, Some(&[0xff; 1000])));
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
    store.set(KEYS[key], Some(&vec![b'x'; LARGE_VALUE]));
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
