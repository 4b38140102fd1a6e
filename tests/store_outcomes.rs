//! What the clients of both stores report of a write, by the answer of the store.

use futures_util::future::join3;
use rstest::rstest;
use skylarkthread::platform::KvClient;
use skylarkthread::store::{ChangeFeed, Etcd, LeaseId, Leases, Op, Store, StoreError};
use standin::platform::{self, StoreFault, StoreFront};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Answers one request with this status and body; returns the address of the server.
fn answer_once(status: u16, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut io, _) = listener.accept().unwrap();
        // The requests are far smaller than this.
        let mut request = [0; 4096];
        let _ = io.read(&mut request).unwrap();
        let length = body.len();
        let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n");
        io.write_all(head.as_bytes()).unwrap();
        io.write_all(body.as_bytes()).unwrap();
    });
    address
}

/// Only 429 and 503 state that nothing was done; a write behind another server error may have
/// taken effect.
#[rstest]
#[case::written(200, Ok(true))]
#[case::no_such_lease(404, Ok(false))]
#[case::over_the_rate(429, Err(StoreError::Refused))]
#[case::busy(503, Err(StoreError::Refused))]
#[case::forbidden(403, Err(StoreError::Refused))]
#[case::server_error(500, Err(StoreError::Lost))]
#[case::bad_gateway(502, Err(StoreError::Lost))]
#[case::gateway_timeout(504, Err(StoreError::Lost))]
#[actix_rt::test]
async fn platform_store_reports_a_write_of_unknown_effect_as_lost(
    #[case] status: u16,
    #[case] expected: Result<bool, StoreError>,
) {
    let store = KvClient::new(answer_once(status, r#"{"revision":1}"#));
    assert_eq!(store.put("key", b"value", LeaseId(1)).await, expected);
}

const EXPIRED: &str = r#"{"error":"etcdserver: requested lease not found","code":5}"#;
const TIMED_OUT: &str = r#"{"error":"etcdserver: request timed out","code":14}"#;
const WRITTEN: &str = r#"{"header":{"revision":"7"},"succeeded":true}"#;

#[rstest]
#[case::written(200, WRITTEN, Ok(true))]
#[case::expired_lease(404, EXPIRED, Ok(false))]
#[case::timed_out(503, TIMED_OUT, Err(StoreError::Lost))]
#[case::no_json(500, "oops", Err(StoreError::Lost))]
#[actix_rt::test]
async fn etcd_reports_an_expired_lease_and_a_write_of_unknown_effect(
    #[case] status: u16,
    #[case] body: &'static str,
    #[case] expected: Result<bool, StoreError>,
) {
    let store = Etcd::new(answer_once(status, body));
    assert_eq!(store.put("key", b"value", LeaseId(1)).await, expected);
}

/// Answers each request with the same page; returns the address of the server.
fn repeat_page(page: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut request = [0; 4096];
        while let Ok((mut io, _)) = listener.accept() {
            while io.read(&mut request).is_ok_and(|n| n > 0) {
                let head = format!("HTTP/1.1 200 X\r\ncontent-length: {}\r\n\r\n", page.len());
                if io.write_all((head + page).as_bytes()).is_err() {
                    break;
                }
            }
        }
    });
    address
}

#[actix_rt::test]
async fn store_that_repeats_a_page_is_not_read_without_end() {
    const PAGE: &str = r#"{"items":[{"key":"a","value":"","revision":1},{"key":"b","value":"","revision":2}],"truncated":true,"current_rev":2}"#;
    let store = KvClient::new(repeat_page(PAGE));
    let read = tokio::time::timeout(Duration::from_secs(2), store.list(&[""])).await;
    assert!(matches!(read, Ok(Err(StoreError::Malformed))), "{read:?}");
}

/// Answers of etcd to a read and to a claim of a key; the last value in each is not base64.
const VALUES: [&str; 4] = [
    r#"{"header":{"revision":"7"},"kvs":[{"value":"e30=","mod_revision":"5"}]}"#,
    r#"{"header":{"revision":"7"},"kvs":[{"value":"{}","mod_revision":"5"}]}"#,
    r#"{"header":{"revision":"7"},"succeeded":true,"responses":[{"response_txn":{"responses":[
        {"response_range":{"kvs":[{"value":"e30=","mod_revision":"5"}]}}]}}]}"#,
    r#"{"header":{"revision":"7"},"succeeded":true,"responses":[{"response_txn":{"responses":[
        {"response_range":{"kvs":[{"value":"{}","mod_revision":"5"}]}}]}}]}"#,
];

#[rstest]
#[case::read(VALUES[0], Ok(true))]
#[case::unreadable(VALUES[1], Err(StoreError::Malformed))]
#[case::no_revision(
    r#"{"header":{"revision":"7"},"kvs":[{"value":""}]}"#,
    Err(StoreError::Malformed)
)]
#[case::absent(r#"{"header":{"revision":"7"}}"#, Ok(false))]
#[actix_rt::test]
async fn unreadable_value_of_etcd_does_not_look_like_an_absent_key(
    #[case] body: &'static str,
    #[case] expected: Result<bool, StoreError>,
) {
    let read = Etcd::new(answer_once(200, body)).get("key").await;
    assert_eq!(read.map(|value| value.is_some()), expected);
}

#[rstest]
#[case::taken(VALUES[2], Ok(true))]
#[case::unreadable(VALUES[3], Err(StoreError::Malformed))]
#[case::nothing_found(
    r#"{"header":{"revision":"7"},"succeeded":true,"responses":[{"response_txn":{"responses":[
        {"response_range":{}}]}}]}"#,
    Err(StoreError::Malformed)
)]
#[case::no_result(
    r#"{"header":{"revision":"7"},"succeeded":true,"responses":[{"response_txn":{}}]}"#,
    Err(StoreError::Malformed)
)]
#[case::claimed(
    r#"{"header":{"revision":"7"},"succeeded":true,"responses":[{"response_txn":{
        "succeeded":true,"responses":[{"response_put":{}}]}}]}"#,
    Ok(false)
)]
#[actix_rt::test]
async fn claim_that_another_holds_does_not_look_like_an_own_one(
    #[case] body: &'static str,
    #[case] is_taken: Result<bool, StoreError>,
) {
    let claim = Op::Claim("key".into(), b"value".to_vec(), None);
    let outcome = Etcd::new(answer_once(200, body)).txn(&[], &[claim], &[]).await;
    assert_eq!(outcome.map(|o| o.found[0].is_some()), is_taken);
}

#[rstest]
#[case::value("e30=", Ok(true))]
#[case::unreadable("{}", Err(StoreError::Malformed))]
#[actix_rt::test]
async fn unreadable_value_in_a_watch_of_etcd_is_not_passed_over(
    #[case] value: &str,
    #[case] expected: Result<bool, StoreError>,
) {
    let event = format!(r#"{{"kv":{{"value":"{value}","mod_revision":"5"}}}}"#);
    let line = format!("{{\"result\":{{\"events\":[{event}]}}}}\n");
    let store = Etcd::new(answer_once(200, line.leak()));
    let change = store.wait_for_change("key", 4, Duration::from_secs(2)).await;
    assert_eq!(change.map(|value| value.is_some()), expected);
}

/// Item that can be read, behind others that cannot.
const SOUND: &str = r#"{"key":"servers/b","value":"e30=","revision":5}"#;

#[rstest]
#[case::no_base64(r#"{"key":"servers/a","value":"*","revision":3}"#, true)]
#[case::no_text(r#"{"key":"servers/a","value":{},"revision":3}"#, true)]
#[case::no_revision(r#"{"key":"servers/a","value":"e30="}"#, true)]
#[case::negative_revision(r#"{"key":"servers/a","value":"e30=","revision":-1}"#, true)]
#[case::odd_tombstone(r#"{"key":"servers/a","value":"e30=","revision":3,"tombstone":0}"#, true)]
#[case::no_key(r#"{"value":"e30=","revision":3}"#, false)]
#[case::odd_key(r#"{"key":7,"value":"e30=","revision":3}"#, false)]
#[case::surrogate(r#"{"key":"\ud800","value":"e30=","revision":3}"#, false)]
#[case::number("7", false)]
#[case::null("null", false)]
#[actix_rt::test]
async fn item_that_cannot_be_read_leaves_the_others(#[case] item: &str, #[case] has_key: bool) {
    let body = |list| format!(r#"{{"{list}":[{item},{SOUND}],"truncated":false,"current_rev":9}}"#);
    let store = KvClient::new(answer_once(200, body("items").leak()));
    let listed = store.list(&["servers/"]).await.expect("the page can be read").kvs;
    let store = KvClient::new(answer_once(200, body("events").leak()));
    let watched = store.watch(&["servers/"], 2, Duration::ZERO).await;
    let watched = watched.expect("the events can be read").kvs;
    for kvs in [listed, watched] {
        let found: Vec<_> = kvs.iter().map(|kv| (&*kv.key, kv.value.as_deref())).collect();
        let (odd, sound) = (("servers/a", Some(&b""[..])), ("servers/b", Some(&b"{}"[..])));
        assert_eq!(found, if has_key { vec![odd, sound] } else { vec![sound] });
    }
}

#[actix_rt::test]
async fn item_that_cannot_be_read_does_not_count_as_newer_than_the_next_one() {
    let odd = r#"{"key":"servers/b","value":{},"revision":4}"#;
    let body = format!(r#"{{"events":[{odd},{SOUND}],"truncated":false,"current_rev":9}}"#);
    let store = KvClient::new(answer_once(200, body.leak()));
    let watched = store.watch(&["servers/"], 2, Duration::ZERO).await;
    let kvs = watched.expect("the events can be read").kvs;
    assert_eq!(kvs.iter().map(|kv| kv.revision).collect::<Vec<_>>(), [4, 5]);
}

#[actix_rt::test]
async fn large_value_of_a_key_other_than_the_configuration_is_not_kept() {
    let large = "e30x".repeat(20_000);
    let item = |key| format!(r#"{{"key":"{key}","value":"{large}","revision":3}}"#);
    let (config, listing) = (item("op/config"), item("servers/a"));
    let body = format!(r#"{{"items":[{config},{listing}],"truncated":false,"current_rev":9}}"#);
    let store = KvClient::new(answer_once(200, body.leak()));
    let kvs = store.list(&[""]).await.expect("the page can be read").kvs;
    let sizes: Vec<_> = kvs.iter().map(|kv| kv.value.as_ref().map(Vec::len)).collect();
    assert_eq!(sizes, [Some(60_000), Some(0)]);
}

#[actix_rt::test]
async fn event_of_a_key_that_is_not_followed_is_left_out() {
    let body = r#"{"events":[{"key":"a00%#","value":"e30=","revision":8}],"current_rev":9}"#;
    let store = KvClient::new(answer_once(200, body));
    let update = store.watch(&["op/", "servers/"], 2, Duration::ZERO).await;
    let update = update.expect("the events can be read");
    assert_eq!((update.kvs.len(), update.at.revision), (0, 9));
}

#[rstest]
#[case::odd_value(r#"{"key":"servers/a","value":{},"revision":11}"#)]
#[case::no_revision(r#"{"key":"servers/a","value":"e30="}"#)]
#[actix_rt::test]
async fn change_behind_one_that_cannot_be_read_is_the_newer_one(#[case] odd: &str) {
    let gone = r#"{"key":"servers/a","revision":12,"tombstone":true}"#;
    let body = format!(r#"{{"events":[{odd},{gone}],"current_rev":15}}"#);
    let store = KvClient::new(answer_once(200, body.leak()));
    let update = store.watch(&["servers/"], 2, Duration::ZERO).await.expect("can be read");
    let revisions: Vec<_> = update.kvs.iter().map(|kv| kv.revision).collect();
    // An instance drops a change of a key that is not newer than the one before.
    assert!(revisions.is_sorted_by(|a, b| a < b), "{revisions:?}");
}

/// Answers each call with an empty page, but refuses the last of as many; returns the address.
fn refuse_each(calls: usize) -> SocketAddr {
    const PAGE: &str = r#"{"items":[],"truncated":false,"current_rev":2}"#;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut request = [0; 4096];
        for n in 1.. {
            let (mut io, _) = listener.accept().unwrap();
            let _ = io.read(&mut request);
            let status = if n % calls == 0 { 429 } else { 200 };
            let length = PAGE.len();
            let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n");
            let _ = io.write_all((head + PAGE).as_bytes());
        }
    });
    address
}

#[rstest]
#[actix_rt::test]
async fn keys_are_listed_though_the_store_refuses_some_calls(#[values(2, 3, 4, 5)] calls: usize) {
    let store = KvClient::new(refuse_each(calls));
    let mut tries = 0;
    while store.list(&["gateways/", "op/", "quarantine/", "servers/"]).await.is_err() {
        tries += 1;
        assert!(tries < 20, "not listed in {tries} tries");
    }
}

#[actix_rt::test]
async fn list_that_ends_with_an_empty_page_though_more_follows_is_not_complete() {
    const PAGE: &str = r#"{"items":[],"truncated":true,"current_rev":2}"#;
    let store = KvClient::new(repeat_page(PAGE));
    let read = store.list(&["servers/"]).await;
    assert!(read.is_err(), "{read:?}");
}

/// Starts a store with these keys of endpoints, one on each page.
fn start_store(keys: usize, value: &[u8]) -> platform::Store {
    let store = platform::Store::start();
    store.set_page_items(1);
    (0..keys).for_each(|n| store.set(&format!("servers/{n:03}"), Some(value)));
    store
}

#[actix_rt::test]
async fn list_goes_on_behind_the_pages_that_were_read_before_a_failure() {
    let store = start_store(3, b"{}");
    let front = StoreFront::start(store.address, StoreFault::Target("after=", 503));
    let client = KvClient::new(front.address);
    assert_eq!(client.list(&["servers/"]).await, Err(StoreError::Refused));
    front.mend();
    let listed = client.list(&["servers/"]).await.expect("the store answers");
    assert_eq!((listed.kvs.len(), store.calls()), (3, 3));
    // The next list is another one.
    client.list(&["servers/"]).await.expect("the store answers");
    assert_eq!(store.calls(), 6);
}

#[actix_rt::test]
async fn reads_at_the_same_time_ask_for_each_page_once() {
    let store = start_store(20, b"{}");
    let client = KvClient::new(store.address);
    let list = || client.list(&["servers/"]);
    let (first, second, third) = join3(list(), list(), list()).await;
    assert_eq!(first.as_ref().map(|listed| listed.kvs.len()), Ok(20));
    assert_eq!((&first, &first), (&second, &third));
    assert_eq!(store.calls(), 20);
}

#[actix_rt::test]
async fn values_are_left_out_beyond_the_room_of_a_list_and_the_largest_first() {
    const VALUE_BYTES: usize = 40 << 10;
    let store = start_store(120, &[b'x'; VALUE_BYTES]);
    store.set("servers/z", Some(b"{}"));
    let listed = KvClient::new(store.address).list(&["servers/"]).await.expect("it answers");
    let sizes = listed.kvs.iter().map(|kv| kv.value.as_ref().map_or(0, Vec::len));
    let sum: usize = sizes.sum();
    assert!((sum..sum + VALUE_BYTES).contains(&(4 << 20)), "{sum} bytes are kept");
    assert_eq!(listed.kvs.last().and_then(|kv| kv.value.as_deref()), Some(&b"{}"[..]));
}

#[actix_rt::test]
async fn list_of_any_number_of_pages_is_read() {
    let store = start_store(250, b"{}");
    let listed = KvClient::new(store.address).list(&["servers/"]).await;
    assert_eq!(listed.map(|listed| listed.kvs.len()), Ok(250));
}
