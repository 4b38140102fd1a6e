//! Tests how a gateway follows the operators' configuration and the list of endpoints.

use crate::common::{CONFIG, list_endpoint, request_bytes, send_request, start_platform, wait_for};
use standin::host::free_address;
use standin::platform::{Action, Endpoint, Outage, Proxy, ProxyMode, Store, send};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

fn endpoint(name: &str) -> Endpoint {
    Endpoint::start(name, Action::Respond(200, name.to_owned()))
}

#[test]
fn requests_get_503_until_a_configuration_is_known() {
    let store = Store::start();
    let gateway = crate::common::start_gateway(&store);
    assert_eq!(gateway.readiness(), 503);
    let reply = send_request(&gateway, "GET", "/safe/x", "id-1");
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    store.set("op/config", Some(CONFIG.as_bytes()));
    assert!(wait_for(3, || gateway.readiness() == 200));
}

#[test]
fn route_and_api_key_decide_status() {
    let e = endpoint("i-1");
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    let status = |path: &str, auth: &str| {
        let bytes =
            format!("GET {path} HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: a\r\n{auth}\r\n");
        send(gateway.front, bytes.as_bytes()).reply().status
    };
    let key = "Authorization: Bearer key-1\r\n";
    assert_eq!(status("/safe/x", key), 200);
    assert_eq!(status("/safe/x", ""), 401);
    assert_eq!(status("/safe/x", "Authorization: Bearer nobody\r\n"), 401);
    assert_eq!(status("/nowhere/x", key), 404);
    assert_eq!(status("/safe", key), 404);
    assert_eq!(status("/open/x", ""), 200);
}

#[test]
fn newer_version_is_adopted_and_older_or_invalid_ones_ignored() {
    let (e, f) = (endpoint("i-1"), endpoint("i-2"));
    let (store, gateway) = start_platform(&[(&e, "plain"), (&f, "second")]);
    let body = || send_request(&gateway, "GET", "/safe/x", "id-1").body;
    assert_eq!(body(), "i-1");
    let moved = CONFIG.replace("\"version\":7", "\"version\":12").replacen(
        "\"plain\",\"max",
        "\"second\",\"max",
        1,
    );
    store.set("op/config", Some(moved.as_bytes()));
    assert!(wait_for(2, || body() == "i-2"), "the new version is not in force within two seconds");
    store.set("op/config", Some(CONFIG.as_bytes()));
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(body(), "i-2");
    store.set("op/config", Some(b"not a configuration"));
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(body(), "i-2");
}

#[test]
fn removed_api_key_is_refused_within_two_seconds() {
    let e = endpoint("i-1");
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, 200);
    let fewer = CONFIG.replace("\"version\":7", "\"version\":8").replace("\"key-1\"", "\"key-9\"");
    store.set("op/config", Some(fewer.as_bytes()));
    assert!(wait_for(2, || send_request(&gateway, "GET", "/safe/x", "id-2").status == 401));
}

#[test]
fn instance_without_store_pulls_configuration_from_peer() {
    let (e, f) = (endpoint("i-1"), endpoint("i-2"));
    let (store, connected) = start_platform(&[(&e, "plain"), (&f, "second")]);
    let proxy = Proxy::start(store.address);
    let isolated = crate::common::start_gateway_at(proxy.address);
    assert!(wait_for(5, || isolated.readiness() == 200));
    // Leave both instances time to read each other's registration before the connection is cut.
    std::thread::sleep(Duration::from_millis(1500));
    for (n, mode) in [ProxyMode::Silent, ProxyMode::Reset].into_iter().enumerate() {
        proxy.set_mode(mode);
        std::thread::sleep(Duration::from_millis(1000));
        let to = ["second", "plain"][n];
        let version = format!("\"version\":{}", 12 + n);
        let mut text = CONFIG.replace("\"version\":7", &version);
        text = text.replace(
            "\"priority\":2,\"service\":\"plain\"",
            &format!("\"priority\":2,\"service\":\"{to}\""),
        );
        // Make the configuration larger than a datagram.
        text.push_str(&" ".repeat(40_000));
        store.set("op/config", Some(text.as_bytes()));
        let body = |g| send_request(g, "GET", "/safe/x", "id-1").body;
        let want = ["i-2", "i-1"][n];
        assert!(wait_for(2, || body(&connected) == want), "{mode:?}");
        assert!(
            wait_for(2, || body(&isolated) == want),
            "{mode:?}: the isolated instance does not follow"
        );
        proxy.set_mode(ProxyMode::Pass);
        std::thread::sleep(Duration::from_millis(1000));
    }
}

#[test]
fn configuration_is_not_sent_to_unregistered_peers() {
    let e = endpoint("i-1");
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    for frame in
        [b"\0\0\0\x20aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", &b"GET /config HTTP/1.1\r\n\r\n"[..]]
    {
        let mut io =
            TcpStream::connect(gateway.internal).expect("cannot connect to the peer address");
        io.set_read_timeout(Some(Duration::from_secs(2))).expect("cannot set the read timeout");
        io.write_all(frame).expect("cannot send the frame");
        let mut received = Vec::new();
        let ended = io.read_to_end(&mut received);
        assert!(received.is_empty(), "{received:?}");
        assert!(ended.is_ok_and(|n| n == 0), "the connection was not closed");
    }
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, 200);
}

#[test]
fn draining_endpoint_gets_no_new_requests() {
    let (e, f) = (endpoint("i-1"), endpoint("i-2"));
    let (store, gateway) = start_platform(&[(&e, "plain"), (&f, "plain")]);
    list_endpoint(&store, &e, "plain", "draining");
    std::thread::sleep(Duration::from_millis(500));
    let before = e.received().len();
    for n in 0..20 {
        assert_eq!(send_request(&gateway, "GET", "/safe/x", &format!("id-{n}")).status, 200);
    }
    assert_eq!(e.received().len(), before);
}

#[test]
fn malformed_endpoint_entries_are_ignored() {
    let e = endpoint("i-1");
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    for (key, value) in [
        ("servers/x1", "not json"),
        ("servers/x2", r#"{"service":"plain"}"#),
        (
            "servers/x3",
            r#"{"service":5,"address":"1.2.3.4:1","zone":"z","slots":1,"state":"ready"}"#,
        ),
        (
            "servers/x4",
            r#"{"service":"plain","address":"127.0.0.1:1","zone":"z-a","slots":1,"state":"odd"}"#,
        ),
        (
            "servers/x5",
            r#"{"service":"plain","address":"nowhere","zone":"z-a","slots":1,"state":"ready"}"#,
        ),
    ] {
        store.set(key, Some(value.as_bytes()));
    }
    std::thread::sleep(Duration::from_millis(400));
    for n in 0..10 {
        assert_eq!(send_request(&gateway, "GET", "/safe/x", &format!("id-{n}")).body, "i-1");
    }
}

#[test]
fn requests_are_served_during_store_outages() {
    let e = endpoint("i-1");
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    for outage in [Outage::Busy, Outage::Silent] {
        store.set_outage(Some(outage));
        std::thread::sleep(Duration::from_millis(2500));
        assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, 200);
        assert_eq!(gateway.readiness(), 200);
        store.set_outage(None);
        let f = endpoint("i-2");
        list_endpoint(&store, &f, "plain", "ready");
        assert!(
            wait_for(6, || send_request(&gateway, "GET", "/safe/x", "id-2").body == "i-2"),
            "{outage:?}"
        );
        store.set("servers/i-2", None);
    }
}

/// Guards against failed requests when endpoints die during a store outage: they stay listed, and
/// look idle from then on because they never answer.
#[test]
fn dead_endpoints_fail_no_request_during_store_outage() {
    let e = endpoint("i-1");
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    for n in 0..8 {
        let dead = Endpoint::listing_at(free_address(), "plain", "ready");
        store.set(&format!("servers/dead-{n}"), Some(dead.as_bytes()));
    }
    std::thread::sleep(Duration::from_millis(400));
    store.set_outage(Some(Outage::Busy));
    let bad: Vec<u16> = (0..40)
        .map(|n| send_request(&gateway, "POST", "/unsafe/x", &format!("id-{n}")).status)
        .filter(|status| *status != 200)
        .collect();
    assert!(bad.is_empty(), "{bad:?}");
}

#[test]
fn endpoint_whose_lease_expired_in_outage_stays_in_use_until_relisted() {
    let e = endpoint("i-1");
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    store.set_outage(Some(Outage::Busy));
    std::thread::sleep(Duration::from_millis(1800));
    store.set("servers/i-1", None);
    store.set_outage(None);
    std::thread::sleep(Duration::from_millis(900));
    list_endpoint(&store, &e, "plain", "ready");
    assert!(wait_for(2, || send_request(&gateway, "GET", "/safe/x", "id-1").status == 200));
    std::thread::sleep(Duration::from_millis(2200));
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-2").status, 200);
}

#[test]
fn compacted_history_leads_to_new_list() {
    let (e, f) = (endpoint("i-1"), endpoint("i-2"));
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    store.compact();
    list_endpoint(&store, &f, "plain", "ready");
    store.compact();
    assert!(wait_for(4, || send_request(&gateway, "GET", "/safe/x", "id-1").body == "i-2"));
}

#[test]
fn idle_instance_makes_few_store_calls() {
    let e = endpoint("i-1");
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    std::thread::sleep(Duration::from_millis(500));
    let before = store.calls();
    std::thread::sleep(Duration::from_secs(3));
    let calls = store.calls() - before;
    // Expected are two watches, ten stale pings and one lease renewal.
    assert!(calls <= 20, "{calls} store calls in three seconds");
    drop(gateway);
}

#[test]
fn chunked_request_body_is_forwarded_unchanged() {
    let e = endpoint("i-1");
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    let mut bytes = request_bytes("POST", "/safe/x", "id-1", "Transfer-Encoding: chunked\r\n", "");
    bytes.extend_from_slice(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    assert_eq!(send(gateway.front, &bytes).reply().status, 200);
    assert_eq!(e.received()[0].req.body, b"abcde");
}

/// Versions that were written while an instance did not reach the store are larger together than a
/// response that it accepts.
#[test]
fn instance_adopts_the_newest_of_many_large_versions_after_an_outage() {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    store.set_outage(Some(Outage::Busy));
    let padding = format!(r#"{{"padding":"{}","version":"#, "x".repeat(500_000));
    for version in 8..24 {
        let text = CONFIG.replacen(r#"{"version":7"#, &format!("{padding}{version}"), 1);
        store.set("op/config", Some(text.replace("/safe/", &format!("/v{version}/")).as_bytes()));
    }
    store.set_outage(None);
    let is_adopted = || send_request(&gateway, "GET", "/v23/x", "id-1").status == 200;
    assert!(wait_for(5, is_adopted), "the newest version is not in force");
}
