//! Entries of endpoints in the store that cannot be read.

use crate::common::{send_request, start_gateway, start_platform, wait_for};
use rstest::rstest;
use standin::platform::{Action, Endpoint, Gateway};
use std::time::Duration;

/// Time after which an endpoint is no longer used that a read of all keys did not find.
const LAPSE: Duration = Duration::from_millis(2500);

fn endpoint(name: &str) -> Endpoint {
    Endpoint::start(name, Action::Respond(200, name.to_owned()))
}

/// Returns the bodies of 30 responses in a row, without repetitions.
fn bodies(gateway: &Gateway) -> Vec<String> {
    let mut all: Vec<_> =
        (0..30).map(|_| send_request(gateway, "GET", "/safe/x", "id-1").body).collect();
    all.sort();
    all.dedup();
    all
}

/// How a gateway gets to know of a write.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    Watch,
    FullRead,
}

#[rstest]
#[case::empty(b"")]
#[case::cut_off(br#"{"service":"plain","address":"127."#)]
#[case::state(
    br#"{"service":"plain","address":"127.0.0.1:1","zone":"z-a","slots":1,"state":"odd"}"#
)]
#[case::address(br#"{"service":"plain","address":"host","zone":"z-a","slots":1,"state":"ready"}"#)]
#[case::bytes(b"\xff\0")]
fn unreadable_entry_keeps_the_endpoint_however_it_arrives(
    #[case] value: &[u8],
    #[values(Way::Watch, Way::FullRead)] way: Way,
) {
    let (e, f) = (endpoint("i-1"), endpoint("i-2"));
    let (store, gateway) = start_platform(&[(&e, "plain"), (&f, "plain")]);
    assert!(wait_for(2, || bodies(&gateway).len() == 2));
    store.set("servers/i-2", Some(value));
    if way == Way::FullRead {
        store.set("other/1", Some(b"x"));
        store.compact();
    }
    let started = start_gateway(&store);
    assert!(wait_for(5, || started.readiness() == 200));
    std::thread::sleep(LAPSE);
    assert_eq!(bodies(&gateway), ["i-1", "i-2"]);
    assert_eq!(bodies(&started), ["i-1"]);
    store.set("servers/i-2", None);
    assert!(wait_for(2, || bodies(&gateway) == ["i-1"]));
    for (log, kept) in [(gateway.into_log(), true), (started.into_log(), false)] {
        let mut lines = log.lines().filter(|l| l.contains("kind=ListingUnreadable"));
        let is_told =
            lines.any(|l| l.contains("servers/i-2") && l.contains(&format!("kept={kept}")));
        assert!(is_told, "kept={kept}: {log}");
    }
}
