//! Answers of a store or an engine that are malformed, cut off or errors, which acknowledge no write
//! and show no state.

use actix_http::ServiceConfig;
use rstest::rstest;
use skylarkthread::platform::{self, KvClient};
use skylarkthread::store::{ChangeFeed, Etcd, InstanceList, LeaseId, Leases, Store, StoreError};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Answers each connection with these bytes and closes it; returns the address of the server.
fn answer_with(bytes: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for io in listener.incoming() {
            let mut io = io.unwrap();
            // The requests are far smaller than this. A client may close its connection unused.
            let mut request = [0; 4096];
            if io.read(&mut request).is_ok_and(|n| n > 0) {
                let _ = io.write_all(bytes.as_bytes());
            }
        }
    });
    address
}

/// Heads that are malformed, up to the number of their status.
const MALFORMED: [&str; 8] = [
    "HTTP/1.1 {}\r\nX-Other : 1\r\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.1 {}\r\nX Other: 1\r\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.1 {}\r\nContent-Length : 7\r\n\r\n{}",
    "HTTP/1.1 {}\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.1 {}\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    "HTTP/1.1 {}\r\nContent-Length: 7\r\n\r\n{}",
    "HTTP/1.1 {}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
    "HTTP/1.1 {}\r\nTransfer-Encoding: chunked\r\n\r\n2 \r\n{}\r\n0\r\n\r\n",
];

/// Returns a malformed answer with this status.
fn malformed(form: usize, status: u16) -> String {
    MALFORMED[form].replacen("{}", &format!("{status} X"), 1)
}

#[rstest]
#[actix_rt::test]
async fn malformed_answer_of_the_platform_store_leaves_the_outcome_unknown(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] form: usize,
    #[values(200, 404, 429, 503)] status: u16,
) {
    let store = KvClient::new(answer_with(malformed(form, status)));
    assert_eq!(store.put("key", b"value", LeaseId(1)).await, Err(StoreError::Lost), "put");
    assert_eq!(store.renew(LeaseId(1)).await, Err(StoreError::Lost), "renew");
    let ping = store.ping("key", Duration::from_secs(1)).await;
    assert_eq!(ping, Err(StoreError::Lost), "ping");
}

#[rstest]
#[case::no_content("HTTP/1.1 204 X\r\n\r\n")]
#[case::redirect("HTTP/1.1 302 X\r\nContent-Length: 0\r\n\r\n")]
#[case::over_range("HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}")]
#[case::empty("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")]
#[case::cut("HTTP/1.1 200 X\r\nContent-Length: 12\r\n\r\n{\"revision\":")]
#[case::head("HTTP/1.1 200 X\r\nContent-Length: 2\r\n")]
#[case::interim("HTTP/1.1 100 X\r\n\r\n")]
#[case::encoded("HTTP/1.1 200 X\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\n{}")]
#[actix_rt::test]
async fn answer_of_the_platform_store_that_says_nothing_leaves_the_outcome_unknown(
    #[case] answer: &str,
) {
    let store = KvClient::new(answer_with(answer.to_owned()));
    assert_eq!(store.put("key", b"value", LeaseId(1)).await, Err(StoreError::Lost));
    assert_eq!(store.grant(Duration::from_secs(9)).await, Err(StoreError::Lost));
}

#[rstest]
#[actix_rt::test]
async fn malformed_answer_of_etcd_acknowledges_nothing(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] form: usize,
    #[values(200, 404)] status: u16,
) {
    let body = r#"{"code":5,"succeeded":true,"header":{"revision":"7"}}"#;
    let (n, size) = (body.len(), format!("{:x}", body.len()));
    let answer = malformed(form, status)
        .replace("Length: 2", &format!("Length: {n}"))
        .replace("Length: 7", &format!("Length: {}", n + 5))
        .replace("\r\n2", &format!("\r\n{size}"))
        .replace("{}", body);
    let store = Etcd::new(answer_with(answer));
    let txn = store.txn(&[], &[], &[]).await;
    assert!(matches!(txn, Err(StoreError::Lost)), "{txn:?}");
    assert_eq!(store.put("key", b"value", LeaseId(1)).await, Err(StoreError::Lost));
}

#[rstest]
#[actix_rt::test]
async fn malformed_list_of_instances_is_not_read(#[values(0, 1, 3, 4, 7)] form: usize) {
    let answer = malformed(form, 200).replace("{}", "[]");
    assert!(InstanceList::new(answer_with(answer)).read().await.is_err());
}

#[actix_rt::test]
async fn list_of_instances_under_an_error_status_is_not_read() {
    let answer = "HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n[]".to_owned();
    assert!(InstanceList::new(answer_with(answer)).read().await.is_err());
}

#[rstest]
#[case::ok("200 X", true)]
#[case::other_success("203 X", true)]
#[case::redirect("302 X", false)]
#[case::not_found("404 X", false)]
#[case::failed("500 X", false)]
#[case::full("503 X", false)]
#[actix_rt::test]
async fn report_of_an_engine_is_taken_from_a_success_alone(
    #[case] status: &str,
    #[case] is_taken: bool,
) {
    let address = answer_with(format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\n{{}}"));
    let config = ServiceConfig::default();
    let report = platform::fetch_report(address, &config, Duration::from_secs(1)).await;
    assert_eq!(report.is_ok(), is_taken, "{report:?}");
}
