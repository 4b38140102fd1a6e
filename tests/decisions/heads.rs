//! Heads of requests as they are kept.

use actix_http::Request;
use actix_http::header::{HeaderName, HeaderValue};
use rstest::rstest;
use skylarkthread::h1::Head;
use skylarkthread::platform::{ForwardParams, Handoff, forward_head};
use std::time::Duration;

fn head(uri: &str, fields: &[(&'static str, &'static [u8])]) -> Head {
    let mut req = Request::new();
    req.head_mut().uri = uri.parse().expect("the URI is valid");
    for (name, value) in fields {
        let value = HeaderValue::from_bytes(value).expect("the value is valid");
        req.head_mut().headers.append(HeaderName::from_static(name), value);
    }
    Head::new(&req)
}

#[test]
fn repeated_and_opaque_values_of_headers_are_kept() {
    let head = head(
        "/a/b?c=d:e",
        &[("x-time", b"12:30"), ("x-many", b"1"), ("x-many", b"2"), ("x-bytes", b"\xe4\xff")],
    );
    let mut fields: Vec<_> = head.fields().collect();
    fields.sort_unstable();
    let expected: [(&str, &[u8]); 4] =
        [("x-bytes", b"\xe4\xff"), ("x-many", b"1"), ("x-many", b"2"), ("x-time", b"12:30")];
    assert_eq!(fields, expected);
    assert_eq!((head.find("x-many"), head.find("x-time")), (Some("1"), Some("12:30")));
    assert_eq!((head.find("x-bytes"), head.find("x-none"), head.count()), (None, None, 4));
    assert_eq!((head.path(), head.uri().query()), ("/a/b", Some("c=d:e")));
}

#[test]
fn size_of_a_head_counts_its_target_and_its_headers() {
    let (path, value): (String, &[u8]) = (format!("/{}", "p".repeat(3_000)), &[b'v'; 2_000]);
    let small = head("/", &[]);
    let large = head(&path, &[("x-long", value)]);
    assert!(small.bytes() < 512, "{} bytes", small.bytes());
    assert!(large.bytes() >= small.bytes() + 5_000, "{} bytes", large.bytes());
}

/// Without its header the request would start a generation instead of continuing one.
#[rstest]
#[case::usual("h-1", true)]
#[case::other_letters("süd 1", true)]
#[case::line_feed("h\n1", false)]
#[case::blank_at_the_end("h ", false)]
fn request_has_all_headers_of_the_instance_or_is_not_sent(
    #[case] handle: &str,
    #[case] is_sent: bool,
) {
    let source = ([127, 0, 0, 1], 80).into();
    let params = ForwardParams {
        endpoint: &"i-1".parse().expect("the id is valid"),
        key_owner: None,
        time_left: Duration::from_secs(1),
        handoff: Some(&Handoff { source, handle: handle.into() }),
        last_event: None,
        resumable: false,
    };
    let built = forward_head(&head("/a", &[]), &params);
    assert_eq!(built.is_ok(), is_sent);
    let value = built.ok().and_then(|head| head.headers.get("kv-from").cloned());
    let expected = is_sent.then(|| format!("127.0.0.1:80/{handle}"));
    assert_eq!(value.as_ref().map(HeaderValue::as_bytes), expected.as_deref().map(str::as_bytes));
}
