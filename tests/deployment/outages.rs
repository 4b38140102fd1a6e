//! What an entry or a sidecar tells in log and metrics while the store or the instance list fails.

use crate::common::*;
use rstest::rstest;
use serde_json::Value;
use skylarkthread::id::IntentVersion;
use skylarkthread::intent::{HEAD_KEY, chunk_hash, part_key, split_chunks, write_back};
use skylarkthread::store::{Etcd, MARKER_KEY, Op, Store};
use standin::fleet::{Daemon, Fleet, Plan};
use standin::host::Holder;
use standin::platform::{StoreFault, StoreFront};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Longest time that may be missing in the seconds of a metric: a step and a fraction.
const COUNT_SECS: f64 = 1.5;

/// Longest time from the end of a fault of the store until an entry has logged it: a pause of 10 s
/// between two tries and a first watch of 1 s, both a quarter longer, and a second for the calls.
const RETURN_SECS: u64 = 15;

/// Starts an entry without any peers.
fn start_entry() -> Fleet {
    Fleet::start(binary(), &Plan { entries: 1, ..Plan::default() })
}

/// Starts a daemon again with another address in a field of its settings.
fn redirect(daemon: &mut Daemon, field: &str, address: SocketAddr) {
    daemon.kill();
    let text = std::fs::read_to_string(&daemon.settings).expect("the file is there");
    let mut settings: Value = serde_json::from_str(&text).expect("the settings are JSON");
    settings[field] = address.to_string().into();
    std::fs::write(&daemon.settings, settings.to_string()).expect("cannot write the settings");
    std::fs::write(log_file(daemon), "").expect("cannot empty the log");
    daemon.restart(binary());
}

fn log_file(daemon: &Daemon) -> std::path::PathBuf {
    daemon.settings.with_extension("log")
}

fn read_log(daemon: &Daemon) -> String {
    std::fs::read_to_string(log_file(daemon)).expect("the log is written")
}

/// Returns the lines of the log that contain all of `parts`.
fn lines(daemon: &Daemon, parts: &[&str]) -> Vec<String> {
    let log = read_log(daemon);
    let has_all = |line: &&str| parts.iter().all(|part| line.contains(part));
    log.lines().filter(has_all).map(str::to_owned).collect()
}

async fn wait_for_line(secs: u64, daemon: &Daemon, parts: &[&str]) {
    let has_line = async || !lines(daemon, parts).is_empty();
    assert!(wait_until(secs, has_line).await, "no line with {parts:?}: {}", read_log(daemon));
}

/// Returns the metrics of a daemon; empty if it does not answer.
fn metrics(daemon: &Daemon) -> String {
    let mut text = String::new();
    let read = TcpStream::connect(daemon.http).and_then(|mut io| {
        io.set_read_timeout(Some(Duration::from_secs(2)))?;
        io.write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        io.read_to_string(&mut text)
    });
    read.map(|_| text).unwrap_or_default()
}

/// Returns the value of a series in the metrics of a daemon.
fn value(metrics: &str, series: &str) -> Option<f64> {
    metrics.lines().find_map(|line| line.strip_prefix(series)?.trim().parse().ok())
}

async fn wait_for_series(daemon: &Daemon, series: &str) {
    let is_counted = async || value(&metrics(daemon), series).is_some_and(|n| n > 0.0);
    assert!(wait_until(5, is_counted).await, "no series {series}: {}", metrics(daemon));
}

/// Starts a server that answers each request with this status; returns its address.
fn start_refusing(status: Arc<AtomicU16>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot listen");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        for mut client in listener.incoming().flatten() {
            // Requests are far smaller than this.
            let _ = client.read(&mut [0; 4096]);
            let status = status.load(Ordering::Relaxed);
            let _ = write!(client, "HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        }
    });
    address
}

/// The log had the same line for each reason, and the metrics had none.
#[rstest]
#[case::bad_request(StoreFault::Status(400), "refused", "status 400", "400")]
#[case::too_many(StoreFault::Status(429), "refused", "status 429", "429")]
#[case::unavailable(StoreFault::Status(503), "refused", "status 503", "503")]
#[case::not_json(StoreFault::Body("<html>"), "malformed", "expected value", "malformed")]
#[case::no_answer_of_a_store(StoreFault::Body("{}"), "malformed", "unknown form", "malformed")]
#[case::closing(StoreFault::Closing, "lost", "connection closed", "broken")]
#[case::silent(StoreFault::Silent, "lost", "no response in time", "slow")]
#[case::absent(StoreFault::Absent, "unreached", "cannot connect", "unreached")]
#[actix_rt::test]
async fn failed_call_of_an_entry_to_the_store_is_named_in_log_and_metrics(
    #[case] fault: StoreFault,
    #[case] why: &str,
    #[case] failure: &str,
    #[case] label: &str,
) {
    let mut fleet = start_entry();
    let front = StoreFront::start(fleet.store.address, fault);
    let entry = &mut fleet.entries[0].daemon;
    redirect(entry, "store", front.address);
    let (lost, unready) = (format!("subject=store why={why} "), format!("why=store-{why} "));
    let call = "call=\"/v3/kv/txn\"";
    wait_for_line(5, entry, &["event=510 kind=StoreLost", &lost, failure, call]).await;
    wait_for_line(5, entry, &["event=116 kind=NotReady", &unready, failure, call]).await;
    wait_for_series(entry, &format!("store_failures_total{{why=\"{label}\"}}")).await;
    wait_for_series(entry, &format!("unready_seconds_total{{why=\"store-{why}\"}}")).await;
}

/// Whoever wrote the value is to find it by the line.
#[rstest]
#[case::marker(MARKER_KEY, "<html>", "expected value")]
#[case::head(HEAD_KEY, "<html>", "expected value")]
#[case::head_without_fields(HEAD_KEY, "{}", "missing field")]
#[case::parts_absent(
    HEAD_KEY,
    r#"{"version":1,"parts":["none"],"submission":"","who":"","when":0}"#,
    "parts of the text are missing or invalid"
)]
#[actix_rt::test]
async fn value_of_the_store_that_an_entry_cannot_read_is_named_by_its_key(
    #[case] key: &str,
    #[case] stored: &str,
    #[case] failure: &str,
) {
    let mut fleet = start_entry();
    let entry = &mut fleet.entries[0].daemon;
    entry.kill();
    let put = [Op::Put(key.into(), stored.into(), None)];
    let written = Etcd::new(fleet.store.address).txn(&[], &put, &[]).await;
    assert!(written.is_ok_and(|w| w.succeeded), "not written");
    redirect(entry, "store", fleet.store.address);
    let call = format!("call=\"{key}\"");
    let lost = ["event=510 kind=StoreLost", "subject=store why=malformed ", failure, &call];
    wait_for_line(5, entry, &lost).await;
    let unready = ["event=116 kind=NotReady", "why=store-malformed ", failure, &call];
    wait_for_line(5, entry, &unready).await;
    wait_for_series(entry, "store_failures_total{why=\"malformed\"}").await;
}

/// The log had one line for a whole outage.
#[actix_rt::test]
async fn outage_of_the_store_that_changes_its_reason_is_logged_again_by_an_entry() {
    let mut fleet = start_entry();
    let status = Arc::new(AtomicU16::new(429));
    let entry = &mut fleet.entries[0].daemon;
    redirect(entry, "store", start_refusing(status.clone()));
    wait_for_line(3, entry, &["kind=StoreLost", "status 429"]).await;
    status.store(400, Ordering::Relaxed);
    wait_for_line(15, entry, &["kind=StoreLost", "status 400"]).await;
    assert_eq!(lines(entry, &["kind=StoreLost"]).len(), 2, "{}", read_log(entry));
}

/// Sidecars left no line at all.
#[rstest]
#[case::unavailable(StoreFault::Status(503), "why=refused failure=\"status 503\"", "503")]
#[case::absent(StoreFault::Absent, "why=unreached failure=\"cannot connect", "unreached")]
#[actix_rt::test]
async fn store_that_fails_a_sidecar_is_named_once_and_its_return_too(
    #[case] fault: StoreFault,
    #[case] reason: &str,
    #[case] label: &str,
) {
    let pools = vec![engine_pool(1, loaded_params())];
    let mut fleet = Fleet::start(binary(), &Plan { entries: 1, pools, ..Plan::default() });
    let front = StoreFront::start(fleet.store.address, fault);
    let sidecar = &mut fleet.endpoints[0].sidecar;
    redirect(sidecar, "store", front.address);
    let lost = ["event=510 kind=StoreLost subject=fence", reason, "call=\"/v3/kv/txn\""];
    wait_for_line(5, sidecar, &lost).await;
    wait_for_series(sidecar, &format!("store_failures_total{{why=\"{label}\"}}")).await;
    front.mend();
    wait_for_line(5, sidecar, &["event=511 kind=StoreBack subject=fence"]).await;
    assert_eq!(lines(sidecar, &["kind=StoreLost"]).len(), 1, "{}", read_log(sidecar));
}

/// A list that could not be read left no line.
#[rstest]
#[case::unavailable(StoreFault::Status(503), "refused", "status 503", "503")]
#[case::not_json(StoreFault::Body("<html>"), "malformed", "expected value", "malformed")]
#[case::closing(StoreFault::Closing, "lost", "connection closed", "broken")]
#[case::silent(StoreFault::Silent, "lost", "no response in time", "slow")]
#[case::absent(StoreFault::Absent, "unreached", "cannot connect", "unreached")]
#[actix_rt::test]
async fn instance_list_that_cannot_be_read_is_named_once_and_its_return_too(
    #[case] fault: StoreFault,
    #[case] why: &str,
    #[case] failure: &str,
    #[case] label: &str,
) {
    let mut fleet = start_entry();
    let front = StoreFront::start(fleet.list.address, fault);
    let entry = &mut fleet.entries[0].daemon;
    redirect(entry, "instance_list", front.address);
    let subject = "subject=instance-list";
    let reason = format!("why={why} ");
    let lost = ["event=510 kind=StoreLost", subject, &reason, failure, "call=\"/instances\""];
    wait_for_line(5, entry, &lost).await;
    wait_for_series(entry, &format!("list_failures_total{{why=\"{label}\"}}")).await;
    // A list that fails further leaves no other line.
    sleep_ms(2_000).await;
    assert_eq!(lines(entry, &["kind=StoreLost", subject]).len(), 1, "{}", read_log(entry));
    front.mend();
    wait_for_line(5, entry, &["event=511 kind=StoreBack", subject]).await;
    assert_eq!(lines(entry, &["kind=StoreBack", subject]).len(), 1, "{}", read_log(entry));
}

/// The line came after the next wait for a change, of half a minute.
#[actix_rt::test]
async fn return_of_the_store_is_logged_by_an_entry_when_it_is_read() {
    let mut fleet = start_entry();
    let front = StoreFront::start(fleet.store.address, StoreFault::Status(503));
    let entry = &mut fleet.entries[0].daemon;
    redirect(entry, "store", front.address);
    wait_for_line(3, entry, &["kind=StoreLost subject=store"]).await;
    front.mend();
    wait_for_line(RETURN_SECS, entry, &["event=511 kind=StoreBack subject=store"]).await;
    assert_eq!(lines(entry, &["kind=StoreLost"]).len(), 1, "{}", read_log(entry));
    assert_eq!(lines(entry, &["kind=StoreBack"]).len(), 1, "{}", read_log(entry));
}

/// Reads between two watches that fail are no return of the store.
#[actix_rt::test]
async fn store_that_refuses_watches_alone_is_not_lost_and_back_at_each_try() {
    let mut fleet = start_entry();
    let fault = StoreFault::Target("/v3/watch", 503);
    let front = StoreFront::start(fleet.store.address, fault);
    let entry = &mut fleet.entries[0].daemon;
    redirect(entry, "store", front.address);
    let call = "failure=\"status 503\" call=\"/v3/watch\"";
    wait_for_line(5, entry, &["kind=StoreLost subject=store why=refused", call]).await;
    sleep_ms(4_000).await;
    assert_eq!(lines(entry, &["kind=StoreBack"]), [""; 0], "{}", read_log(entry));
    front.mend();
    wait_for_line(RETURN_SECS, entry, &["kind=StoreBack subject=store"]).await;
    assert_eq!(lines(entry, &["kind=StoreLost"]).len(), 1, "{}", read_log(entry));
}

/// Returns the seconds without readiness that a daemon has counted, for all reasons.
fn unready_secs(metrics: &str) -> f64 {
    let series = metrics.lines().filter_map(|l| l.strip_prefix("unready_seconds_total{"));
    series.filter_map(|s| s.split_once("} ")?.1.parse::<f64>().ok()).sum()
}

/// Time without settings, and with the callers' port held, was not counted.
#[actix_rt::test]
async fn each_second_without_readiness_of_an_entry_is_counted_for_its_reason() {
    let mut fleet = start_entry();
    let front = StoreFront::start(fleet.store.address, StoreFault::Status(503));
    let entry = &mut fleet.entries[0].daemon;
    redirect(entry, "store", front.address);
    entry.kill();
    let settings = std::fs::read(&entry.settings).expect("the file is there");
    std::fs::remove_file(&entry.settings).expect("the file is there");
    std::fs::write(log_file(entry), "").expect("cannot empty the log");
    let holder = Holder::listener(entry.http);
    entry.restart(binary());
    wait_for_line(10, entry, &["event=109 kind=SettingsUnusable"]).await;
    let begun = Instant::now();
    sleep_ms(2_000).await;
    std::fs::write(&entry.settings, settings).expect("cannot write the settings");
    wait_for_line(10, entry, &["event=100 kind=Started"]).await;
    let started = Instant::now();
    let reason = "why=not-listening ";
    wait_for_line(10, entry, &["event=116 kind=NotReady subject=entry-0", reason]).await;
    sleep_ms(2_000).await;
    let held = started.elapsed();
    holder.release();
    wait_for_series(entry, "unready_seconds_total{why=\"store-refused\"}").await;
    let (metrics, elapsed) = (metrics(entry), begun.elapsed());
    let counted = |why| value(&metrics, &format!("unready_seconds_total{{why=\"{why}\"}}"));
    for (why, time) in [("settings", started - begun), ("not-listening", held)] {
        let counted = counted(why).unwrap_or_default();
        assert!(counted >= time.as_secs_f64() - COUNT_SECS, "{why}: {counted} of {time:?}");
    }
    let (all, secs) = (unready_secs(&metrics), elapsed.as_secs_f64());
    assert!((secs - COUNT_SECS..=secs + COUNT_SECS).contains(&all), "{all} of {secs}: {metrics}");
}

/// Starts the entry of a fleet again on a store that holds a configuration, changed by `ops`.
async fn restart_with_stored(fleet: &mut Fleet, text: &str, ops: &[Op]) {
    let entry = &mut fleet.entries[0].daemon;
    entry.kill();
    let store = Etcd::new(fleet.store.address);
    let is_written = write_back(&store, IntentVersion(1), text).await;
    assert_eq!(is_written, Ok(true), "not written");
    let changed = store.txn(&[], ops, &[]).await;
    assert!(changed.is_ok_and(|o| o.succeeded), "not changed");
    redirect(entry, "store", fleet.store.address);
}

/// The 502 line had no fault, and the 116 line no reason.
#[actix_rt::test]
async fn configuration_that_an_entry_refuses_is_named_with_its_fault() {
    let mut fleet = start_entry();
    let text = r#"{ "services": { "a": { "kind": "batch" } } }"#;
    restart_with_stored(&mut fleet, text, &[]).await;
    let entry = &fleet.entries[0].daemon;
    let fault = "\"1:32: E008 expected one of";
    wait_for_line(5, entry, &["event=502 kind=Rejected subject=1 ", "from=store", fault]).await;
    wait_for_line(5, entry, &["event=116", "why=configuration-refused ", fault]).await;
    wait_for_series(entry, "unready_seconds_total{why=\"configuration-refused\"}").await;
}

/// The entry told that no read of the store had ended.
#[actix_rt::test]
async fn stored_part_of_a_configuration_that_was_overwritten_is_named() {
    let mut fleet = start_entry();
    let part = chunk_hash(&split_chunks(CONFIG)[0]);
    let overwrite = Op::Put(part_key(&part), b"other".to_vec(), None);
    restart_with_stored(&mut fleet, CONFIG, &[overwrite]).await;
    let (entry, call) = (&fleet.entries[0].daemon, format!("call={:?}", part_key(&part)));
    let lost = ["event=510 kind=StoreLost", "subject=store why=malformed ", &call];
    wait_for_line(5, entry, &lost).await;
    wait_for_line(5, entry, &["event=116", "why=store-malformed ", &call]).await;
    wait_for_series(entry, "unready_seconds_total{why=\"store-malformed\"}").await;
}
