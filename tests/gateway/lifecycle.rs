//! Tests start, stop, reload, discovery of peers, and the log.

use crate::common::{
    CONFIG, expected_events, list_endpoint, request_bytes, send_request, start_gateway,
    start_platform, start_stream, wait_for,
};
use standin::platform::{Action, Endpoint, Gateway, Outage, Proxy, ProxyMode, Store, send};
use std::time::Duration;

#[test]
fn stop_finishes_streams_and_serves_late_requests() {
    let e = Endpoint::start("i-1", Action::Stream(40, Duration::from_millis(40)));
    let (_store, mut gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    gateway.signal(libc::SIGTERM);
    assert!(wait_for(1, || gateway.readiness() == 503));
    // The platform still sends requests for a while. They are served, and the connection is closed.
    let late = start_stream(&gateway, "id-2").reply();
    assert_eq!((late.status, late.header("connection")), (200, Some("close")));
    let reply = sent.reply();
    assert_eq!((reply.complete, reply.body), (true, expected_events(40)));
    assert_eq!(gateway.wait_for_exit(5), Some(0));
}

/// The grace period is four seconds here, of which the instance leaves 600 ms unused. A call whose
/// deadline lies beyond it must be refused, since it would be cut off.
#[test]
fn stopping_instance_refuses_calls_that_could_outlast_it() {
    let e = Endpoint::start("i-1", Action::Stream(300, Duration::from_millis(20)));
    let f = Endpoint::start("i-2", Action::Hang);
    let (_store, gateway) = start_platform(&[(&e, "model"), (&f, "plain")]);
    let running = start_stream(&gateway, "id-1");
    gateway.signal(libc::SIGTERM);
    std::thread::sleep(Duration::from_millis(2900));
    let late = send_request(&gateway, "POST", "/unsafe/x", "id-2");
    assert_eq!((late.status, late.header("connection")), (503, Some("close")));
    assert!(late.header("retry-after").is_some());
    assert!(f.received().is_empty(), "the refused call was forwarded");
    drop(running);
}

#[test]
fn reload_interrupts_no_stream() {
    let e = Endpoint::start("i-1", Action::Stream(30, Duration::from_millis(20)));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_stream(&gateway, "id-1");
    for _ in 0..5 {
        gateway.signal(libc::SIGHUP);
        std::thread::sleep(Duration::from_millis(50));
    }
    let text =
        std::fs::read_to_string(&gateway.settings_file).expect("cannot read the settings file");
    std::fs::write(&gateway.settings_file, text + "broken line\n")
        .expect("cannot write the settings file");
    gateway.signal(libc::SIGHUP);
    let reply = sent.reply();
    assert_eq!((reply.complete, reply.body), (true, expected_events(30)));
    assert!(gateway.into_log().contains("kind=Reloaded"));
}

#[test]
fn instances_discover_peers_through_store() {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    let other = crate::common::start_gateway(&store);
    assert!(wait_for(4, || store.keys("gateways/").len() == 2));
    std::thread::sleep(Duration::from_millis(1500));
    drop(other);
    assert!(gateway.into_log().contains("kind=LinkUp"));
}

/// A write that the store executes late leaves the registration under a lease that is not renewed.
#[test]
fn registration_that_ends_with_an_older_lease_is_written_again() {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let (store, _gateway) = start_platform(&[(&e, "plain")]);
    let is_registered = || store.keys("gateways/").len() == 1;
    assert!(wait_for(4, is_registered));
    store.set(&store.keys("gateways/")[0], None);
    assert!(!is_registered());
    assert!(wait_for(4, is_registered), "not registered again");
}

#[test]
fn unread_log_pipe_does_not_block_requests() {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let (store, _other) = start_platform(&[(&e, "plain")]);
    let binary = std::path::Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let gateway = Gateway::start_piped(binary, store.address);
    assert!(wait_for(5, || gateway.readiness() == 200));
    // Write far more lines than the pipe and the log queue hold while nothing reads the pipe.
    let mut conn = send(gateway.front, b"");
    for n in 0..4000 {
        let bytes = crate::common::request_bytes("GET", "/safe/x", &format!("id-{n}"), "", "");
        conn.write(&bytes).expect("the connection was not kept open");
        assert_eq!(conn.reply().status, 200);
    }
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "last").status, 200);
}

#[test]
fn log_lines_contain_request_id_and_outcome() {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    send_request(&gateway, "GET", "/safe/x", "id-good");
    send_request(&gateway, "GET", "/nowhere/x", "id-denied");
    e.push_action(Action::Reset);
    send(gateway.front, &crate::common::request_bytes("POST", "/unsafe/x", "id-lost", "", "b"))
        .reply();
    std::thread::sleep(Duration::from_millis(100));
    let log = gateway.into_log();
    let line = |id: &str| log.lines().find(|l| l.contains(&format!("subject={id} "))).unwrap_or("");
    assert!(line("id-good").contains("kind=Answered") && line("id-good").contains("endpoint=i-1"));
    assert!(
        line("id-denied").contains("kind=TurnedAway status=404")
            || line("id-denied").contains("status=404")
    );
    assert!(line("id-lost").contains("kind=Failed"), "{}", line("id-lost"));
}

#[test]
fn log_line_of_an_unanswered_request_tells_who_was_late() {
    let e = Endpoint::start("i-1", Action::Hang);
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    assert_eq!(send_request(&gateway, "POST", "/unsafe/x", "id-late").status, 504);
    std::thread::sleep(Duration::from_millis(100));
    let log = gateway.into_log();
    let line = log.lines().find(|l| l.contains("kind=Unanswered subject=id-late ")).unwrap_or("");
    let value = |name: &str| {
        let number = line.split(name).nth(1).and_then(|rest| rest.split(' ').next());
        number.and_then(|n| n.parse::<u64>().ok())
    };
    assert!(line.contains(" endpoint=i-1 "), "{line}");
    assert_eq!(value("unsent="), Some(0), "{line}");
    let parts = ["queue_ms=", "connect_ms=", "wait_ms="].map(|name| value(name).unwrap_or(0));
    // The route's timeout is 800 ms.
    assert!(parts.iter().sum::<u64>() >= 795 && value("lag_ms=").is_some(), "{line}");
}

/// The store drops the entry of an endpoint in an outage, as its lease expires, and has it back
/// soon after. Running generations stay where they are, at readers and at other instances.
#[test]
fn entry_that_lapsed_in_an_outage_does_not_end_work_at_any_instance() {
    let e = Endpoint::start("i-1", Action::Stream(160, Duration::from_millis(30)));
    let f = Endpoint::start("i-2", Action::Stream(160, Duration::from_millis(30)));
    let (store, first) = start_platform(&[(&e, "model")]);
    let mut gateways = vec![first];
    gateways.extend((0..4).map(|_| crate::common::start_gateway(&store)));
    assert!(gateways.iter().all(|g| wait_for(5, || g.readiness() == 200)));
    assert!(wait_for(4, || store.keys("gateways/").len() == 5));
    std::thread::sleep(Duration::from_millis(1500));
    let mut sent: Vec<_> = gateways
        .iter()
        .enumerate()
        .map(|(n, gateway)| crate::common::start_long_stream(gateway, &format!("id-{n}")))
        .collect();
    assert!(wait_for(2, || e.run_count() == 5));
    crate::common::list_endpoint(&store, &f, "model", "ready");
    std::thread::sleep(Duration::from_millis(300));
    store.set_outage(Some(Outage::Busy));
    std::thread::sleep(Duration::from_millis(700));
    store.set("servers/i-1", None);
    store.set_outage(None);
    std::thread::sleep(Duration::from_millis(1000));
    crate::common::list_endpoint(&store, &e, "model", "ready");
    for reply in sent.iter_mut().map(|s| s.reply()) {
        assert_eq!((reply.complete, reply.body), (true, expected_events(160)));
    }
    assert_eq!((e.run_count(), f.run_count()), (5, 0), "generations were moved");
}

/// Callers connect before the first configuration has arrived, as after a power failure.
#[test]
fn requests_before_the_first_configuration_wait_for_it() {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let store = Store::start();
    let gateway = start_gateway(&store);
    let first = send_request(&gateway, "GET", "/safe/x", "id-1");
    assert_eq!(first.status, 503, "no configuration arrived");
    assert!(first.header("retry-after").is_some());
    let mut waiting = send(gateway.front, &request_bytes("GET", "/safe/x", "id-2", "", ""));
    std::thread::sleep(Duration::from_millis(300));
    list_endpoint(&store, &e, "plain", "ready");
    store.set("op/config", Some(CONFIG.as_bytes()));
    assert_eq!(waiting.reply().status, 200);
    assert_eq!(e.run_count(), 1);
}

#[test]
fn changed_address_of_store_is_used_after_reload() {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    list_endpoint(&store, &e, "plain", "ready");
    let old = Proxy::start(store.address);
    let gateway = crate::common::start_gateway_at(old.address);
    assert!(wait_for(5, || gateway.readiness() == 200), "gateway not ready within 5 s");
    let text = std::fs::read_to_string(&gateway.settings_file).expect("the settings are there");
    let text = text.replace(&old.address.to_string(), &store.address.to_string());
    std::fs::write(&gateway.settings_file, text).expect("cannot write the settings file");
    gateway.signal(libc::SIGHUP);
    std::thread::sleep(Duration::from_secs(1));
    old.set_mode(ProxyMode::Silent);
    let changed = CONFIG.replace("\"version\":7", "\"version\":8").replace("key-1", "key-3");
    store.set("op/config", Some(changed.as_bytes()));
    let is_refused = || send_request(&gateway, "GET", "/safe/x", "id-1").status == 401;
    assert!(wait_for(7, is_refused), "a key that was taken away is accepted after 7 s");
}

#[test]
fn settings_that_are_half_written_at_a_reload_are_not_applied() {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    let file = &gateway.settings_file;
    let text = std::fs::read_to_string(file).expect("the settings are there");
    // Ends within the port, without a digit of it, so that the line is that of another store.
    let port = text.find(&store.address.to_string()).expect("the store is in the settings");
    let end = port + store.address.to_string().len() - 1;
    std::fs::write(file, &text[..end]).expect("cannot write the settings file");
    gateway.signal(libc::SIGHUP);
    std::thread::sleep(Duration::from_millis(500));
    let changed = CONFIG.replace("\"version\":7", "\"version\":8").replace("key-1", "key-3");
    store.set("op/config", Some(changed.as_bytes()));
    let is_refused = || send_request(&gateway, "GET", "/safe/x", "id-1").status == 401;
    assert!(wait_for(2, is_refused), "a key that was taken away is accepted after 2 s");
    std::fs::write(file, &text).expect("cannot write the settings file");
    gateway.signal(libc::SIGHUP);
    std::thread::sleep(Duration::from_millis(500));
    let log = gateway.into_log();
    assert!(log.contains("event=109 kind=SettingsUnusable"), "{log}");
    assert!(!log.contains("changed=true"), "{log}");
}
