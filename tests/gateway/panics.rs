//! Values from outside that overflow a time: no request and no task may end by a panic.

use crate::common::{
    CONFIG, expected_events, list_endpoint, request_bytes, send_request, start_gateway,
    start_platform, start_stream, wait_for,
};
use rstest::rstest;
use standin::platform::{Action, Endpoint, Gateway, Store, StreamEnd, send};
use std::time::Duration;

/// Numbers that no sound sender states as a time.
const ODD_NUMBERS: [&str; 9] = [
    "1.8446744073709550e19",
    "1.8446744073709550e22",
    "1e18",
    "1e300",
    "-1",
    "NaN",
    "inf",
    "",
    "9",
];

/// Asserts that sound requests are answered and that nothing has panicked.
fn assert_serves(gateway: Gateway, path: &str) {
    for n in 0..5 {
        let reply = send_request(&gateway, "GET", path, &format!("id-after-{n}"));
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    let log = gateway.into_log();
    assert_eq!(log.matches("kind=Started").count(), 1, "{log}");
    assert!(!log.contains("kind=Panicked"), "{log}");
}

#[test]
fn pause_of_any_length_gets_its_caller_an_answer() {
    const HEADS: [&str; ODD_NUMBERS.len()] = [
        "X-Not-Executed: 1\r\nContent-Length: 0\r\nRetry-After: 1.8446744073709550e19\r\n",
        "X-Not-Executed: 1\r\nContent-Length: 0\r\nRetry-After: 1.8446744073709550e22\r\n",
        "X-Not-Executed: 1\r\nContent-Length: 0\r\nRetry-After: 1e18\r\n",
        "X-Not-Executed: 1\r\nContent-Length: 0\r\nRetry-After: 1e300\r\n",
        "X-Not-Executed: 1\r\nContent-Length: 0\r\nRetry-After: -1\r\n",
        "X-Not-Executed: 1\r\nContent-Length: 0\r\nRetry-After: NaN\r\n",
        "X-Not-Executed: 1\r\nContent-Length: 0\r\nRetry-After: inf\r\n",
        "X-Not-Executed: 1\r\nContent-Length: 0\r\nRetry-After: \r\n",
        "X-Not-Executed: 1\r\nContent-Length: 0\r\nRetry-After: 9\r\n",
    ];
    for head in HEADS {
        let e = Endpoint::start("i-1", Action::Raw("HTTP/1.1 503 X", head, ""));
        let f = Endpoint::start("i-2", Action::Respond(200, "sound".into()));
        let (store, gateway) = start_platform(&[(&e, "plain")]);
        let reply = send_request(&gateway, "POST", "/unsafe/x", "id-1");
        assert_eq!(reply.status, 503, "{head}: {}", reply.body);
        list_endpoint(&store, &f, "plain", "ready");
        assert!(wait_for(5, || send_request(&gateway, "GET", "/safe/x", "id").status == 200));
        assert_serves(gateway, "/safe/x");
    }
}

#[test]
fn deadline_of_any_length_gets_its_caller_an_answer_before_the_first_configuration() {
    let store = Store::start();
    let gateway = start_gateway(&store);
    let ask = |number: &&str| {
        let deadline = format!("X-Deadline-Ms: {number}\r\n");
        send(gateway.front, &request_bytes("GET", "/safe/x", "id-1", &deadline, ""))
    };
    let mut asked: Vec<_> = ODD_NUMBERS.iter().map(ask).collect();
    for (number, connection) in ODD_NUMBERS.iter().zip(&mut asked) {
        assert_eq!(connection.reply().status, 503, "{number}");
    }
    let e = Endpoint::start("i-1", Action::Respond(200, "sound".into()));
    store.set("op/config", Some(CONFIG.as_bytes()));
    list_endpoint(&store, &e, "plain", "ready");
    assert!(wait_for(5, || send_request(&gateway, "GET", "/safe/x", "id").status == 200));
    assert_serves(gateway, "/safe/x");
}

#[rstest]
#[case::timeout("\"timeout_ms\":800")]
#[case::target("\"target_latency_ms\":300")]
#[case::idle("\"idle_timeout_ms\":3000")]
#[case::arrival("\"header_timeout_ms\":1000")]
fn configuration_with_times_of_any_length_is_served(#[case] field: &str) {
    let (name, _) = field.split_once(':').unwrap_or((field, ""));
    for number in ["1.8e22", "1e21", "1e300"] {
        let config = CONFIG.replace(field, &format!("{name}:{number}"));
        let e = Endpoint::start("i-1", Action::Respond(200, "sound".into()));
        let store = Store::start();
        store.set("op/config", Some(config.as_bytes()));
        list_endpoint(&store, &e, "plain", "ready");
        let gateway = start_gateway(&store);
        assert!(wait_for(5, || gateway.readiness() == 200));
        let undated = request_bytes("GET", "/safe/x", "id-1", "X-Deadline-Ms: none\r\n", "");
        let reply = send(gateway.front, &undated).reply();
        assert_eq!((reply.status, reply.body.as_str()), (200, "sound"), "{name}: {number}");
        assert_serves(gateway, "/safe/x");
    }
}

#[rstest]
#[case::grace("bounds.grace_s=")]
#[case::retry_window("bounds.budget_window_s=")]
fn settings_with_times_of_any_length_are_served_until_the_stop(#[case] field: &str) {
    for number in ["1.8446744073709550e19", "1e19", "0"] {
        let e = Endpoint::start("i-1", Action::Respond(200, "sound".into()));
        let (_store, mut gateway) = start_platform(&[(&e, "plain")]);
        let text = std::fs::read_to_string(&gateway.settings_file).expect("the file is there");
        let lines = text.lines().map(|line| match line.strip_prefix(field) {
            Some(_) => format!("{field}{number}\n"),
            None => format!("{line}\n"),
        });
        std::fs::write(&gateway.settings_file, lines.collect::<String>()).expect("cannot write");
        gateway.restart();
        assert!(wait_for(5, || gateway.readiness() == 200), "{field}{number}");
        for n in 0..5 {
            let reply = send_request(&gateway, "GET", "/safe/x", &format!("id-{n}"));
            assert_eq!(reply.status, 200, "{field}{number}: {}", reply.body);
        }
        gateway.signal(libc::SIGTERM);
        assert_eq!(gateway.wait_for_exit(10), Some(0), "{field}{number}");
    }
}

#[test]
fn report_of_any_form_ends_no_migration_by_a_panic() {
    const REPORTS: [&str; 6] = [
        r#"{"leaves_ms":1.8e22,"state":"draining"}"#,
        r#"{"leaves_ms":1e300,"state":"draining"}"#,
        r#"{"leaves_ms":-1,"state":"draining"}"#,
        r#"{"leaves_ms":0,"state":"ready","born":-7}"#,
        r#"{"leaves_ms":[],"state":{}}"#,
        "[[[[[",
    ];
    for report in REPORTS {
        let e = Endpoint::start("i-1", Action::Stream(40, Duration::from_millis(20)));
        let f = Endpoint::start("i-2", Action::Stream(40, Duration::from_millis(20)));
        e.set_report(report);
        let (store, gateway) = start_platform(&[(&e, "model")]);
        let mut sent = start_stream(&gateway, "id-1");
        assert!(wait_for(2, || e.run_count() == 1));
        list_endpoint(&store, &f, "model", "ready");
        list_endpoint(&store, &e, "model", "draining");
        let reply = sent.reply();
        assert_eq!((reply.complete, reply.body), (true, expected_events(40)), "{report}");
        let log = gateway.into_log();
        assert!(log.contains("kind=MoveBegun"), "{log}");
        assert!(!log.contains("kind=Panicked"), "{report}: {log}");
    }
}

#[test]
fn odd_values_in_heads_of_responses_end_no_request() {
    const HEADS: [&str; 12] = [
        "X-Replica-Load: 4294967295,4294967295,4294967295,4294967295",
        "X-Replica-Load: 4294967295,1,0,0",
        "X-Replica-Load: -1,1e9,NaN,-0",
        "X-Cold-Ms: 600000\r\nServer-Limit: 1e-30",
        "X-Cold-Ms: 1e308",
        "X-Cold-Ms: NaN",
        "Server-Limit: 3.4e38",
        "Server-Limit: -0",
        "Server-Limit: NaN",
        "Server-Limit: 1e308/s",
        "Retry-After: 1.8446744073709550e19",
        "Keep-Alive: timeout=99999999999999999999",
    ];
    for head in HEADS {
        let e = Endpoint::start("i-1", Action::Respond(200, "odd".into()));
        let m = Endpoint::start("i-2", Action::Stream(3, Duration::from_millis(1)));
        let (store, gateway) = start_platform(&[(&e, "plain"), (&m, "model")]);
        e.set_headers(&format!("{head}\r\n"));
        m.set_headers(&format!("{head}\r\n"));
        for n in 0..3 {
            let called = send_request(&gateway, "GET", "/safe/x", &format!("id-{n}"));
            let streamed = start_stream(&gateway, &format!("id-s-{n}")).reply();
            assert!(called.complete && called.status >= 200, "{head}: {}", called.body);
            assert!(streamed.complete && streamed.status >= 200, "{head}: {}", streamed.body);
        }
        let sound = Endpoint::start("i-3", Action::Respond(200, "sound".into()));
        list_endpoint(&store, &sound, "plain", "ready");
        assert!(wait_for(5, || send_request(&gateway, "GET", "/safe/x", "id").body == "sound"));
        assert_serves(gateway, "/safe/x");
    }
}

#[test]
fn odd_values_in_heads_of_requests_end_no_request() {
    const HEADS: [&str; 13] = [
        "X-Token-Counts: 4294967295,4294967295\r\nX-Length-Hint: 1e300",
        "X-Token-Counts: 4294967295,0\r\nX-Length-Hint: NaN",
        "X-Token-Counts: 0,0\r\nX-Length-Hint: -1",
        "X-Token-Counts: 100,500\r\nX-Deadline-Ms: 0",
        "X-Token-Counts: 100,500\r\nX-Deadline-Ms: 1e-320",
        "X-Token-Counts: -1,1e9",
        "X-Token-Counts: ,,,,",
        "X-Prompt-Prefix: :::,,,:4294967296,a:-1,b",
        "X-Prompt-Prefix: ffffffffffffffffff:1,0:0",
        "X-Token-Counts: 100,500\r\nX-Prompt-Prefix: \u{e9}\u{1f600}:7,\u{e9}:1",
        "Last-Event-Id: 18446744073709551615",
        "Last-Event-Id: -1\r\nConnection: x-attempt-id, host, \u{e9}",
        "Transfer-Encoding: chunked\r\nX-Token-Counts: 1,1",
    ];
    const PATHS: [&str; 8] = [
        "/stream/x",
        "/resume/x",
        "/safe/%ff%00/../..//?\u{e9}",
        "*",
        "http://app.example/safe/x",
        "http://[::1",
        "/explain/stream/x",
        "//",
    ];
    let e = Endpoint::start("i-1", Action::Respond(200, "sound".into()));
    let m = Endpoint::start("i-2", Action::Stream(3, Duration::from_millis(1)));
    let (_store, gateway) = start_platform(&[(&e, "plain"), (&m, "model")]);
    for head in HEADS {
        for path in PATHS {
            let extra = format!("X-Deadline-Ms: 300\r\n{head}\r\nConnection: close\r\n");
            let method = if path == "/safe/x" { "GET" } else { "POST" };
            for address in [gateway.front, gateway.ready] {
                let bytes = request_bytes(method, path, "id-1", &extra, "b");
                drop(send(address, &bytes).reply());
            }
        }
    }
    assert_serves(gateway, "/safe/x");
}

#[test]
fn configurations_with_odd_numbers_end_no_request() {
    const CHANGES: [(&str, &str); 14] = [
        ("\"kv_token_bytes\":163840.0", "\"kv_token_bytes\":1e300"),
        ("\"kv_token_bytes\":163840.0", "\"kv_token_bytes\":-1"),
        ("\"link_mbps\":24000.0", "\"link_mbps\":1e-300"),
        ("\"link_mbps\":24000.0", "\"link_mbps\":-1e300"),
        ("\"kv_capacity_tokens\":30000", "\"kv_capacity_tokens\":0"),
        ("\"kv_capacity_tokens\":30000", "\"kv_capacity_tokens\":4294967295"),
        ("\"stride\":1", "\"stride\":4294967295"),
        ("\"stride\":1", "\"stride\":0"),
        ("\"max_attempts\":2", "\"max_attempts\":4294967295"),
        ("\"max_body_bytes\":100000", "\"max_body_bytes\":18446744073709551615"),
        ("\"max_header_bytes\":4096", "\"max_header_bytes\":18446744073709551615"),
        ("\"gap_target_ms\":180", "\"gap_target_ms\":1.8e22"),
        (
            "\"max_connections\":50,\"engine",
            "\"cold_per_s\":1e-300,\"max_connections\":50,\"engine",
        ),
        (
            "\"service\":\"plain\",\"max_attempts\":1,\"public\":true",
            "\"traffic_split\":[{\"service\":\"plain\",\"weight\":4294967295},{\"service\":\"plain\",\"weight\":1}]",
        ),
    ];
    for (from, to) in CHANGES {
        let config = CONFIG.replace(from, to);
        assert_ne!(config, CONFIG, "{from}");
        let e = Endpoint::start("i-1", Action::Respond(200, "sound".into()));
        let [m, n] = ["i-2", "i-3"]
            .map(|id| Endpoint::start(id, Action::Stream(60, Duration::from_millis(10))));
        let store = Store::start();
        store.set("op/config", Some(config.as_bytes()));
        list_endpoint(&store, &e, "plain", "ready");
        list_endpoint(&store, &m, "model", "ready");
        let gateway = start_gateway(&store);
        assert!(wait_for(5, || gateway.readiness() == 200));
        let mut sent = start_stream(&gateway, "id-s");
        let opened = request_bytes("POST", "/open/x", "id-o", "", "body");
        assert_eq!(send(gateway.front, &opened).reply().status, 200, "{to}");
        list_endpoint(&store, &n, "model", "ready");
        list_endpoint(&store, &m, "model", "draining");
        assert!(sent.reply().status >= 200, "{to}");
        assert_serves(gateway, "/safe/x");
    }
}

#[test]
fn refusal_of_any_age_in_the_store_ends_no_follower() {
    let e = Endpoint::start("i-1", Action::Respond(200, "one".into()));
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    let crash = r#"{"e":1,"n":1,"a":18446744073709551615,"b":true}"#;
    let row = format!(r#"{{"part":7,"crashes":[{crash}],"cleared":[{crash}]}}"#);
    let run = r#"{"e":1,"n":1,"a":18446744073709551615,"r":18446744073709551615}"#;
    let suspect = format!(r#"{{"content":7,"crashes":[[1,1]],"runs":[{run}]}}"#);
    let value =
        format!(r#"{{"rows":[{row}],"refused":[7],"contents":[{suspect}],"written_ms":0}}"#);
    store.set("quarantine/0000000000000007", Some(value.as_bytes()));
    let f = Endpoint::start("i-2", Action::Respond(200, "two".into()));
    list_endpoint(&store, &f, "plain", "ready");
    store.set("servers/i-1", None);
    assert!(wait_for(5, || send_request(&gateway, "GET", "/safe/x", "id").body == "two"));
    assert_serves(gateway, "/safe/x");
}

/// A registration is tried again after a second, and a watch lasts 1.5 s.
#[test]
fn store_that_ends_leases_at_once_is_not_called_without_a_pause() {
    let e = Endpoint::start("i-1", Action::Respond(200, "sound".into()));
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    assert!(wait_for(4, || store.keys("gateways/").len() == 1));
    let own = store.keys("gateways/")[0].clone();
    store.end_leases();
    store.set(&own, None);
    std::thread::sleep(Duration::from_millis(500));
    let before = store.calls();
    std::thread::sleep(Duration::from_secs(2));
    let calls = store.calls() - before;
    assert!(calls <= 30, "{calls} calls in 2 s");
    assert_serves(gateway, "/safe/x");
}

/// A call that fails is made again after 0.3 s.
#[test]
fn store_without_history_is_not_read_without_a_pause() {
    let e = Endpoint::start("i-1", Action::Respond(200, "sound".into()));
    let f = Endpoint::start("i-2", Action::Respond(200, "new".into()));
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    store.keep_nothing();
    std::thread::sleep(Duration::from_millis(500));
    let before = store.calls();
    std::thread::sleep(Duration::from_secs(2));
    let calls = store.calls() - before;
    assert!(calls <= 20, "{calls} calls in 2 s");
    // A change applies within 2 s all the same.
    list_endpoint(&store, &f, "plain", "ready");
    store.set("servers/i-1", None);
    assert!(wait_for(2, || send_request(&gateway, "GET", "/safe/x", "id").body == "new"));
    assert_serves(gateway, "/safe/x");
}

#[test]
fn events_of_any_number_and_size_end_no_stream() {
    const EVENTS: &str = "id: 18446744073709551615\ndata: x\n\nid: 18446744073709551615\n\n\
        id: 0\ndata: y\n\n\n\n: z\n\nid: -1\n\nid: 99999999999999999999\n\ndata\n\nid\n\n";
    let config = CONFIG.replace("\"stride\":1", "\"stride\":4294967295");
    let e = Endpoint::start("i-1", Action::Stream(60, Duration::ZERO));
    let f = Endpoint::start("i-2", Action::Respond(200, "sound".into()));
    let store = Store::start();
    store.set("op/config", Some(config.as_bytes()));
    list_endpoint(&store, &e, "model", "ready");
    list_endpoint(&store, &f, "plain", "ready");
    let gateway = start_gateway(&store);
    assert!(wait_for(5, || gateway.readiness() == 200));
    for n in 0..5 {
        let reply = start_stream(&gateway, &format!("id-{n}")).reply();
        assert_eq!((reply.complete, reply.body), (true, expected_events(60)));
    }
    e.push_action(Action::EndingStream(StreamEnd::Chunked, 0, EVENTS));
    let reply = start_stream(&gateway, "id-odd").reply();
    assert!(reply.complete && reply.status == 200, "{}", reply.body);
    assert_serves(gateway, "/safe/x");
}
