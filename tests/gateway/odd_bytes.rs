//! Each byte at each place of a head, and texts that are no numbers: nothing may panic.

use crate::common::{list_endpoint, send_request, start_platform, wait_for};
use standin::platform::{Action, Endpoint, Gateway, send};

/// Asserts that sound requests are answered and that nothing has panicked.
fn assert_serves(gateway: Gateway, what: &str) {
    assert!(wait_for(20, || send_request(&gateway, "GET", "/safe/x", "id").body == "sound"));
    let log = gateway.into_log();
    assert!(!log.contains("kind=Panicked"), "{what}: {log}");
}

/// Places of an odd part in the head of a request.
const REQUESTS: [&str; 7] = [
    "GE?T /safe/x HTTP/1.1\r\nHost: app.example\r\nAuthorization: Bearer key-1\r\n\r\n",
    "GET /safe/?x HTTP/1.1\r\nHost: app.example\r\nAuthorization: Bearer key-1\r\n\r\n",
    "GET /safe/x HTTP/1.?\r\nHost: app.example\r\nAuthorization: Bearer key-1\r\n\r\n",
    "GET /safe/x HTTP/1.1\r\nHost: app?.example\r\nAuthorization: Bearer key-1\r\n\r\n",
    "GET /safe/x HTTP/1.1\r\nHost: app.example\r\nAuthorization: Bearer key-1\r\nX-?A: 1\r\n\r\n",
    "GET /safe/x HTTP/1.1\r\nHost: app.example\r\nAuthorization: Bearer key-1\r\nX-Prompt-Prefix: a?,:?:1\r\n\r\n",
    "POST /safe/x HTTP/1.1\r\nHost: app.example\r\nAuthorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n?\r\n",
];

#[test]
fn any_byte_in_the_head_of_a_request_panics_nothing() {
    let e = Endpoint::start("i-1", Action::Respond(200, "sound".into()));
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    for request in REQUESTS {
        for byte in 0..=255u8 {
            let bytes = request.bytes().map(|b| if b == b'?' { byte } else { b });
            let bytes: Vec<u8> = bytes.collect();
            for address in [gateway.front, gateway.ready] {
                // The caller may be kept waiting for the rest of its head.
                drop(send(address, &bytes));
            }
        }
    }
    assert_serves(gateway, "request");
}

/// Places of an odd part in the head of a response, after its status line.
const RESPONSES: [(&str, &str); 6] = [
    ("HTTP/1.1 200 ?", "Content-Length: 2\r\n"),
    ("HTTP/1.1 2?0 X", "Content-Length: 2\r\n"),
    ("HTTP/1.? 200 X", "Content-Length: 2\r\n"),
    ("HTTP/1.1 200 X", "Content-Length: 2\r\nX-?A: 1\r\n"),
    ("HTTP/1.1 200 X", "Content-Length: 2?\r\n"),
    ("HTTP/1.1 200 X", "Content-Length: 2\r\nServer-Leaving: ?\r\nConnection: ?\r\n"),
];
/// Texts in these places.
const TEXTS: [&str; 8] =
    ["00", "\u{e9}", "\u{1f600}", "999999999999999999999", "-1", "NaN", ",;=\"", ""];

#[test]
fn any_text_in_the_head_of_a_response_panics_nothing() {
    let e = Endpoint::start("i-1", Action::Respond(200, "sound".into()));
    let (store, gateway) = start_platform(&[(&e, "plain")]);
    let ascii: Vec<String> = (0..128u8).map(|b| char::from(b).to_string()).collect();
    for (status, headers) in RESPONSES {
        for text in ascii.iter().map(String::as_str).chain(TEXTS) {
            let leak = |s: &str| &*Box::leak(s.replace('?', text).into_boxed_str());
            e.push_action(Action::Raw(leak(status), leak(headers), "ok"));
            drop(send_request(&gateway, "POST", "/unsafe/x", "id-1"));
            e.clear_actions();
        }
    }
    // One of them states that its sender is leaving.
    let sound = Endpoint::start("i-2", Action::Respond(200, "sound".into()));
    list_endpoint(&store, &sound, "plain", "ready");
    assert_serves(gateway, "response");
}
