//! The operators' configuration and the list of endpoints.

use crate::common::{CONFIG, list_endpoint, request_bytes, send_request, start_platform, wait_for};
use standin::host::free_address;
use standin::platform::{Act, Endpoint, Mode, Outage, Proxy, Store, send};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

fn named(name: &str) -> Endpoint {
    Endpoint::start(name, Act::Answer(200, name.to_owned()))
}

#[test]
fn before_a_configuration_is_known_nothing_is_denied() {
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
fn routes_and_keys_decide_who_is_let_in() {
    let e = named("i-1");
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
fn a_version_comes_into_force_and_never_goes_back() {
    let (e, f) = (named("i-1"), named("i-2"));
    let (store, gateway) = start_platform(&[(&e, "plain"), (&f, "second")]);
    let body = || send_request(&gateway, "GET", "/safe/x", "id-1").body;
    assert_eq!(body(), "i-1");
    let moved = CONFIG.replace("\"version\":7", "\"version\":12").replacen(
        "\"plain\",\"max",
        "\"second\",\"max",
        1,
    );
    store.set("op/config", Some(moved.as_bytes()));
    assert!(wait_for(2, || body() == "i-2"), "the new version is in force within two seconds");
    store.set("op/config", Some(CONFIG.as_bytes()));
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(body(), "i-2");
    store.set("op/config", Some(b"not a configuration"));
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(body(), "i-2");
}

#[test]
fn a_key_that_is_taken_away_is_refused_within_two_seconds() {
    let e = named("i-1");
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, 200);
    let fewer = CONFIG.replace("\"version\":7", "\"version\":8").replace("\"key-1\"", "\"key-9\"");
    store.set("op/config", Some(fewer.as_bytes()));
    assert!(wait_for(2, || send_request(&gateway, "GET", "/safe/x", "id-2").status == 401));
}

#[test]
fn an_instance_that_is_cut_off_from_the_store_follows_the_others() {
    let (e, f) = (named("i-1"), named("i-2"));
    let (store, near) = start_platform(&[(&e, "plain"), (&f, "second")]);
    let link = Proxy::start(store.address);
    let far = crate::common::start_gateway_at(link.address);
    assert!(wait_for(5, || far.readiness() == 200));
    // Each must have read the other's key before the cut.
    std::thread::sleep(Duration::from_millis(1500));
    for (n, cut) in [Mode::Silent, Mode::Reset].into_iter().enumerate() {
        link.set(cut);
        std::thread::sleep(Duration::from_millis(1000));
        let to = ["second", "plain"][n];
        let version = format!("\"version\":{}", 12 + n);
        let mut text = CONFIG.replace("\"version\":7", &version);
        text = text.replace(
            "\"priority\":2,\"service\":\"plain\"",
            &format!("\"priority\":2,\"service\":\"{to}\""),
        );
        // Larger than a datagram.
        text.push_str(&" ".repeat(40_000));
        store.set("op/config", Some(text.as_bytes()));
        let body = |g| send_request(g, "GET", "/safe/x", "id-1").body;
        let want = ["i-2", "i-1"][n];
        assert!(wait_for(2, || body(&near) == want), "{cut:?}");
        assert!(wait_for(2, || body(&far) == want), "{cut:?}: the far one follows");
        link.set(Mode::Pass);
        std::thread::sleep(Duration::from_millis(1000));
    }
}

#[test]
fn a_configuration_is_handed_to_nobody_who_has_no_key_in_the_store() {
    let e = named("i-1");
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    for frame in
        [b"\0\0\0\x20aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", &b"GET /config HTTP/1.1\r\n\r\n"[..]]
    {
        let mut io = TcpStream::connect(gateway.inner).expect("the instance listens");
        io.set_read_timeout(Some(Duration::from_secs(2))).expect("it is a valid time");
        io.write_all(frame).expect("it takes the bytes");
        let mut got = Vec::new();
        let ended = io.read_to_end(&mut got);
        assert!(got.is_empty(), "{got:?}");
        assert!(ended.is_ok_and(|n| n == 0), "it closes the connection");
    }
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, 200);
}

#[test]
fn an_endpoint_that_is_leaving_gets_nothing_new() {
    let (e, f) = (named("i-1"), named("i-2"));
    let (store, gateway) = start_platform(&[(&e, "plain"), (&f, "plain")]);
    list_endpoint(&store, &e, "plain", "draining");
    std::thread::sleep(Duration::from_millis(500));
    let before = e.seen().len();
    for n in 0..20 {
        assert_eq!(send_request(&gateway, "GET", "/safe/x", &format!("id-{n}")).status, 200);
    }
    assert_eq!(e.seen().len(), before);
}

#[test]
fn entries_of_other_writers_name_no_endpoint() {
    let e = named("i-1");
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
fn while_the_store_is_away_what_is_known_serves_on() {
    let e = named("i-1");
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    for outage in [Outage::Busy, Outage::Silent] {
        store.fail(Some(outage));
        std::thread::sleep(Duration::from_millis(2500));
        assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, 200);
        assert_eq!(gateway.readiness(), 200);
        store.fail(None);
        let f = named("i-2");
        list_endpoint(&store, &f, "plain", "ready");
        assert!(
            wait_for(6, || send_request(&gateway, "GET", "/safe/x", "id-2").body == "i-2"),
            "{outage:?}"
        );
        store.set("servers/i-2", None);
    }
}

/// Load it plays: endpoints go while the store cannot say so, and look idle from then on.
#[test]
fn endpoints_that_are_gone_cost_no_request_while_the_store_is_away() {
    let e = named("i-1");
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    for n in 0..8 {
        let nobody = Endpoint::entry_at(free_address(), "plain", "ready");
        store.set(&format!("servers/dead-{n}"), Some(nobody.as_bytes()));
    }
    std::thread::sleep(Duration::from_millis(400));
    store.fail(Some(Outage::Busy));
    let bad: Vec<u16> = (0..40)
        .map(|n| send_request(&gateway, "POST", "/unsafe/x", &format!("id-{n}")).status)
        .filter(|status| *status != 200)
        .collect();
    assert!(bad.is_empty(), "{bad:?}");
}

#[test]
fn an_entry_that_lapsed_in_an_outage_stays_in_use_until_it_is_back() {
    let e = named("i-1");
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    store.fail(Some(Outage::Busy));
    std::thread::sleep(Duration::from_millis(1800));
    store.set("servers/i-1", None);
    store.fail(None);
    std::thread::sleep(Duration::from_millis(900));
    list_endpoint(&store, &e, "plain", "ready");
    assert!(wait_for(2, || send_request(&gateway, "GET", "/safe/x", "id-1").status == 200));
    std::thread::sleep(Duration::from_millis(2200));
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-2").status, 200);
}

#[test]
fn a_history_that_is_gone_is_made_good_by_a_list() {
    let (e, f) = (named("i-1"), named("i-2"));
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    store.compact();
    list_endpoint(&store, &f, "plain", "ready");
    store.compact();
    assert!(wait_for(4, || send_request(&gateway, "GET", "/safe/x", "id-1").body == "i-2"));
}

#[test]
fn idle_instances_ask_the_store_seldom() {
    let e = named("i-1");
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    std::thread::sleep(Duration::from_millis(500));
    let before = store.calls();
    std::thread::sleep(Duration::from_secs(3));
    let calls = store.calls() - before;
    // Two watches, ten stale pings and a renewal.
    assert!(calls <= 20, "{calls} calls in three seconds");
    drop(gateway);
}

#[test]
fn a_request_in_chunks_goes_on_with_the_same_body() {
    let e = named("i-1");
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    let mut bytes = request_bytes("POST", "/safe/x", "id-1", "Transfer-Encoding: chunked\r\n", "");
    bytes.extend_from_slice(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    assert_eq!(send(gateway.front, &bytes).reply().status, 200);
    assert_eq!(e.seen()[0].req.body, b"abcde");
}
