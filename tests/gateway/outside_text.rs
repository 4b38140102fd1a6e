//! Text that callers, engines, the operator and others choose, where it is written on.

use crate::common::{send_request, start_platform, wait_for};
use rstest::rstest;
use standin::platform::{Action, Endpoint, Gateway};

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
