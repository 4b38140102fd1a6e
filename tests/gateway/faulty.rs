//! Endpoints that send refusals of other requests or parts of heads, and odd entries in their list.

use crate::common::{
    list_endpoint, request_bytes, send_request, start_platform, start_stream, wait_for,
};
use rstest::rstest;
use standin::host::free_address;
use standin::platform::{Action, Endpoint, send};

/// Sends a request that must run once to two endpoints with this action. Returns the status of the
/// response, how often the request ran, and the body.
fn send_once(route: &str, action: Action) -> (u16, usize, String) {
    let service = if route == "unsafe" { "plain" } else { "model" };
    let [e, f] = ["i-1", "i-2"].map(|id| Endpoint::start(id, action.clone()));
    let (_store, gateway) = start_platform(&[(&e, service), (&f, service)]);
    let reply = match route {
        "unsafe" => {
            send(gateway.front, &request_bytes("POST", "/unsafe/x", "id-1", "", "b")).reply()
        }
        _ => start_stream(&gateway, "id-1").reply(),
    };
    (reply.status, e.run_count() + f.run_count(), reply.body)
}

#[rstest]
fn refusal_of_an_earlier_request_does_not_say_that_this_one_has_not_run(
    #[values(503, 429, 421)] status: u16,
    #[values("unsafe", "stream")] route: &str,
) {
    let (status, runs, body) = send_once(route, Action::StaleRefusal(status));
    assert_eq!((status, runs), (502, 1), "{body}");
}

#[rstest]
fn head_that_ends_early_is_no_response(
    #[values(5, 12, 16, 20, 60, 100, usize::MAX)] bytes: usize,
    #[values("unsafe", "stream")] route: &str,
) {
    let (status, runs, body) = send_once(route, Action::TruncatedHead(bytes));
    assert_eq!((status, runs), (502, 1), "{body}");
}

#[test]
fn odd_entries_among_the_endpoints_end_no_instance_and_the_others_are_followed() {
    let e = Endpoint::start("i-1", Action::Respond(200, "one".into()));
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    let process = gateway.process_id();
    // Nothing listens there.
    let listing = Endpoint::listing_at(free_address(), "plain", "ready");
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let odd = [
        listing.replacen('{', &format!("{{\"deep\":{nested},"), 1),
        nested,
        listing.replacen('{', "{\"slots\":1e400,", 1),
        listing.replacen('{', "{\"cold_remaining_ms\":1e308,", 1),
        listing.replacen('{', "{\"born\":99999999999999999999999,", 1),
        r#"{"service":"plain","address":"127.0.0.1:99999","zone":"z-a","slots":1,"state":"ready"}"#.into(),
        r#"{"service":"plain","address":"127.0.0.1:0","zone":"z-a","slots":4294967295,"state":"ready"}"#.into(),
        r#"{"service":"model","address":"127.0.0.1:0","zone":"z-a","slots":4294967295,"state":"ready","born":18446744073709551615,"cold_remaining_ms":-1e308}"#.into(),
        r#"{"service":7,"address":[],"zone":null,"slots":"x","state":{}}"#.into(),
        "\u{0}\u{7f}not json".into(),
    ];
    for (n, entry) in odd.iter().enumerate() {
        store.set(&format!("servers/i-odd-{n}"), Some(entry.as_bytes()));
    }
    store.set("servers/i-bytes", Some(&[0xff, 0xfe, 0x00, 0x7b]));
    let f = Endpoint::start("i-2", Action::Respond(200, "two".into()));
    list_endpoint(&store, &f, "plain", "ready");
    store.set("servers/i-1", None);
    let is_followed = || send_request(&gateway, "GET", "/safe/x", "id").body == "two";
    assert!(wait_for(5, is_followed), "the list is not followed any more");
    for n in 0..20 {
        let reply = send_request(&gateway, "GET", "/safe/x", &format!("id-{n}"));
        assert_eq!((reply.status, reply.body.as_str()), (200, "two"));
    }
    let log = gateway.into_log();
    assert_eq!(log.matches("kind=Started").count(), 1, "process {process} has ended");
}
