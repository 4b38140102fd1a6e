//! Heads of requests as they are kept.

use actix_http::Request;
use actix_http::header::{HeaderName, HeaderValue};
use skylarkthread::h1::Head;

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
