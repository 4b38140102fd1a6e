//! Text that callers, engines, the operator and others choose, where it is written on.

use crate::common::{
    CONFIG, list_endpoint, request_bytes, send_request, start_gateway, start_long_stream,
    start_platform, wait_for,
};
use rstest::rstest;
use standin::platform::{Action, Endpoint, Gateway, Store, StreamEnd, send};
use std::time::Duration;

/// Time between two events of an engine that leaves, in which its generations migrate.
const INTERVAL: Duration = Duration::from_millis(1500);

/// Reads the pairs of a line of the log; a value in quotes is read like one of JSON.
fn read_pairs(line: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = line.trim_start();
    while let Some((name, value)) = rest.split_once('=') {
        let mut values = serde_json::Deserializer::from_str(value).into_iter::<String>();
        let (value, end) = match value.starts_with('"') {
            true => (values.next().expect("a value").expect(line), values.byte_offset()),
            false => {
                let end = value.find(' ').unwrap_or(value.len());
                assert!(!value[..end].contains('"'), "{line}");
                (value[..end].to_owned(), end)
            }
        };
        pairs.push((name.to_owned(), value));
        rest = rest[name.len() + 1 + end..].trim_start();
    }
    pairs
}

/// Returns a value of the event of this kind in the log, of which each line is read.
fn value(log: &str, kind: &str, name: &str) -> Option<String> {
    // JSON has no braces.
    let log = log.replace(r"\u{1b}", r"\u001b");
    assert!(log.lines().all(|line| line.starts_with("time=")), "{log}");
    assert!(!log.contains(|c: char| c.is_control() && c != '\n'), "{log:?}");
    let is_event = |l: &&str| l.split(' ').nth(3).is_some_and(|pair| pair.starts_with("event="));
    let events: Vec<_> = log.lines().filter(is_event).map(read_pairs).collect();
    let is_kind = |pairs: &&Vec<(String, String)>| pairs.contains(&("kind".into(), kind.into()));
    let found = events.iter().find(is_kind)?;
    found.iter().find(|(n, _)| n == name).map(|(_, value)| value.clone())
}

/// Returns the log once it has this text, which a thread writes.
fn log_with(gateway: &Gateway, text: &str) -> String {
    let file = gateway.settings_file.with_extension("log");
    let log = || std::fs::read_to_string(&file).unwrap_or_default();
    assert!(wait_for(5, || log().contains(text)), "no {text}: {}", log());
    log()
}

fn plain_endpoint(id: &str) -> Endpoint {
    Endpoint::start(id, Action::Respond(200, "fine".into()))
}

fn start_with(e: &Endpoint, config: &str) -> (Store, Gateway) {
    let store = Store::start();
    list_endpoint(&store, e, "plain", "ready");
    store.set("op/config", Some(config.as_bytes()));
    let gateway = start_gateway(&store);
    assert!(wait_for(5, || gateway.readiness() == 200), "not ready within 5 s");
    (store, gateway)
}

#[rstest]
#[case::usual("id-1", "i-1")]
#[case::quote("a\"b", "i\"1")]
#[case::pair("id=1", "i-1=\"x")]
#[case::backslash(r"a\nb", r"i\1")]
fn ids_are_read_from_the_log_as_they_are(#[case] id: &str, #[case] endpoint: &str) {
    let e = plain_endpoint(endpoint);
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    assert_eq!(send_request(&gateway, "GET", "/safe/x", id).status, 200);
    let log = log_with(&gateway, "kind=Answered");
    assert_eq!(value(&log, "Answered", "subject").as_deref(), Some(id));
    assert_eq!(value(&log, "Answered", "endpoint").as_deref(), Some(endpoint));
}

#[rstest]
#[case::blank("servers/i 9")]
#[case::new_line("servers/i-9\ntime=1 level=INFO instance=x event=113 kind=Exiting subject=x")]
#[case::control("servers/i-9\u{1b}[2J\r")]
fn key_of_the_store_does_not_forge_a_line(#[case] key: &str) {
    let e = plain_endpoint("i-1");
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    store.set(key, Some(b"{}"));
    store.set(&key.replace("servers/", "quarantine/"), Some(b"{}"));
    log_with(&gateway, "names no part");
    let log = log_with(&gateway, "kind=ListingUnreadable");
    assert_eq!(value(&log, "ListingUnreadable", "subject").as_deref(), Some(key));
    assert_eq!(value(&log, "Exiting", "subject"), None);
}

/// A generation whose engine leaves, and names its memory by a handle.
struct Moved {
    source: Endpoint,
    target: Endpoint,
    is_whole: bool,
    log: String,
}

fn migrate(handle: &str, is_refused: bool) -> Moved {
    const EVENTS: &[&str] = &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
    let source = Endpoint::start("i-1", Action::TextStream(EVENTS, INTERVAL));
    source.set_handle(handle);
    if is_refused {
        source.refuse_last_copies();
    }
    let (store, gateway) = start_platform(&[(&source, "model")]);
    let mut sent = start_long_stream(&gateway, "id-1");
    assert!(wait_for(2, || source.run_count() == 1));
    let rest = Action::EndingStream(StreamEnd::Chunked, 0, EVENTS[1]);
    let target = Endpoint::start("i-2", rest);
    list_endpoint(&store, &target, "model", "ready");
    std::thread::sleep(Duration::from_millis(300));
    list_endpoint(&store, &source, "model", "draining");
    let reply = sent.reply();
    let is_whole = reply.complete && reply.body == EVENTS.concat();
    Moved { source, target, is_whole, log: log_with(&gateway, "subject=id-1 endpoint=") }
}

#[rstest]
#[case::usual("h-1")]
#[case::blank("h 1")]
#[case::separators("a/b?c#d%2F")]
#[case::pair("h=1 event=113 kind=\"Exiting\"")]
#[case::other_letters("süd")]
fn handle_that_a_header_can_carry_reaches_the_other_engine(#[case] handle: &str) {
    let moved = migrate(handle, false);
    assert!(moved.is_whole, "{}", moved.log);
    let received = moved.target.received();
    let expected = format!("{}/{handle}", moved.source.address);
    assert_eq!(received[0].req.header("kv-from"), Some(&*expected));
    assert_eq!(value(&moved.log, "MoveDone", "handle").as_deref(), Some(handle));
}

/// Without its header the generation would run a second time, from its start.
#[rstest]
#[case::new_line("h\r\nX-Other: 1")]
#[case::control("h\u{1}")]
#[case::blank_at_the_end("h ")]
#[case::empty("")]
fn generation_stays_where_it_is_if_no_header_can_carry_its_handle(#[case] handle: &str) {
    let moved = migrate(handle, false);
    assert_eq!((moved.is_whole, moved.target.run_count()), (true, 0), "{}", moved.log);
    assert!(moved.log.contains("level=WARN") && moved.log.contains("handle"), "{}", moved.log);
}

#[rstest]
#[case::usual("h-1", "h-1")]
#[case::separators("../a?b#c", "..%2Fa%3Fb%23c")]
#[case::blank("a b%", "a%20b%25")]
fn copy_is_freed_by_its_own_handle(#[case] handle: &str, #[case] segment: &str) {
    let moved = migrate(handle, true);
    assert!(wait_for(2, || moved.source.freed_copies() == [segment]), "{}", moved.log);
}

#[rstest]
#[case::usual("huka270")]
#[case::capital("Huka270")]
#[case::blank("Süd & Co.")]
#[case::other_letters("テナント")]
fn tenant_of_any_name_is_served_and_named(#[case] name: &str) {
    let e = plain_endpoint("i-1");
    let (_store, gateway) = start_with(&e, &CONFIG.replace("acme", name));
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, 200);
    assert_eq!(e.received()[0].req.header("x-tenant"), Some(name));
    let asked = std::process::Command::new(env!("CARGO_BIN_EXE_skylarkthread"))
        .args(["explain", "--instance", &gateway.ready.to_string(), "--host", "app.example"])
        .args(["--path", "/safe/x", "--workspace", name])
        .output()
        .expect("the binary runs");
    assert!(asked.status.success(), "{asked:?}");
}

#[rstest]
#[case::new_line(r"a\r\nX-Other: 1")]
#[case::blank_at_the_end("a ")]
fn tenant_whose_name_no_header_can_carry_is_not_served_without_it(#[case] name: &str) {
    let e = plain_endpoint("i-1");
    let (_store, gateway) = start_with(&e, &CONFIG.replace("acme", name));
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, 401);
    assert_eq!(e.received().len(), 0);
    log_with(&gateway, "kind=TableFaulty");
}

#[rstest]
#[case::blank("/health check", "/health%20check")]
#[case::no_slash("health?full=1", "/health?full=1")]
#[case::fragment("/a#b", "/a%23b")]
fn health_path_of_any_form_is_asked(#[case] path: &str, #[case] target: &str) {
    let e = Endpoint::start("i-1", Action::Reset);
    let (_store, gateway) = start_with(&e, &CONFIG.replacen("/healthz", path, 1));
    send(gateway.front, &request_bytes("POST", "/unsafe/x", "id-1", "", "b")).reply();
    let is_asked = || e.received().iter().any(|r| r.req.target == target);
    assert!(wait_for(3, is_asked), "not asked at {target}");
}
