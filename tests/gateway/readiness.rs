//! Tests that log and metrics name the reason of each second without readiness.

use crate::common::{CONFIG, start_gateway_at, start_platform, wait_for};
use crate::slow_files::{replace_by_pipe, replace_by_text};
use rstest::rstest;
use standin::host::Holder;
use standin::platform::{Gateway, Listen, Store, StoreFault, StoreFront, send};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time in which the reason is in log and metrics.
const FIRST_SECS: f64 = 1.0;
/// Time in which it is there again.
const AGAIN_SECS: f64 = 6.0;
/// Time without readiness in each test.
const FAULT_SECS: f64 = 7.0;
/// Largest difference between the counted seconds and the time.
const COUNT_SECS: f64 = 1.5;
/// Interval at which an instance checks what stands in the way.
const STEP_SECS: f64 = 0.1;
/// Time from which on an obstacle is logged as it ends.
const LOGGED_SECS: f64 = 0.5;

fn wall() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set").as_secs_f64()
}

fn log(gateway: &Gateway) -> String {
    std::fs::read_to_string(gateway.settings_file.with_extension("log")).unwrap_or_default()
}

/// Returns the times of the lines with all of these texts.
fn times(log: &str, texts: &[&str]) -> Vec<f64> {
    let lines = log.lines().filter(|line| texts.iter().all(|text| line.contains(text)));
    let time = |line: &str| line.strip_prefix("time=")?.split(' ').next()?.parse().ok();
    lines.filter_map(time).collect()
}

/// Returns the time at which the process had its settings, which is later than its spawn on a busy machine.
fn start_time(gateway: &Gateway) -> f64 {
    let started = || times(&log(gateway), &["kind=Started "]);
    assert!(wait_for(5, || !started().is_empty()), "not started");
    started()[0]
}

fn metrics(address: SocketAddr) -> String {
    send(address, b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").reply().body
}

/// Returns the sum of a metric over its labels; `None` if it has no series.
fn sum(metrics: &str, name: &str) -> Option<f64> {
    let values = metrics.lines().filter_map(|line| line.strip_prefix(name)?.split(' ').next_back());
    values.map(|v| v.parse::<f64>().expect("a number")).reduce(|a, b| a + b)
}

/// Checks that log and metrics name a reason within 1 s of `begun`, and the log again within 6 s.
/// `texts` are in each of the lines.
fn assert_named(gateway: &Gateway, probes: SocketAddr, begun: f64, why: &str, texts: &[&str]) {
    let field = format!(" why={why} for_ms=");
    let texts: Vec<&str> =
        ["kind=NotReady subject=g-", &field].into_iter().chain(texts.iter().copied()).collect();
    let is_logged = || !times(&log(gateway), &texts).is_empty();
    assert!(wait_for(2, is_logged), "no line with {texts:?}: {}", log(gateway));
    let series = format!("unready_seconds_total{{why=\"{why}\"}}");
    assert!(metrics(probes).contains(&series), "no series {series}");
    let first = times(&log(gateway), &texts)[0] - begun;
    assert!(first < FIRST_SECS, "logged after {first:.2} s");
    let is_repeated = || times(&log(gateway), &texts).len() > 1;
    assert!(wait_for(7, is_repeated), "not logged again: {}", log(gateway));
    let lines = times(&log(gateway), &texts);
    assert!(lines[1] - lines[0] < AGAIN_SECS, "logged again after {:.2} s", lines[1] - lines[0]);
}

/// Checks that the seconds since `begun` are counted as such without readiness.
fn assert_counted(probes: SocketAddr, begun: f64) {
    sleep(Duration::from_secs_f64((begun + FAULT_SECS - wall()).max(0.0)));
    let (before, text, after) = (wall() - begun, metrics(probes), wall() - begun);
    assert_eq!(sum(&text, "ready "), Some(0.0));
    let counted = sum(&text, "unready_seconds_total").expect("seconds are counted");
    let range = before - COUNT_SECS..=after + COUNT_SECS;
    assert!(range.contains(&counted), "{counted} of {before:.2} s are counted");
}

/// Checks what is logged and counted once the instance is ready.
fn assert_ready(gateway: &Gateway, probes: SocketAddr) {
    let is_ready = || sum(&metrics(probes), "ready ") == Some(1.0);
    assert!(wait_for(7, is_ready), "not ready: {}", log(gateway));
    assert!(wait_for(2, || !times(&log(gateway), &["kind=Ready subject=g-"]).is_empty()));
    let counted = || sum(&metrics(probes), "unready_seconds_total");
    let before = counted();
    sleep(Duration::from_millis(1500));
    assert_eq!(counted(), before, "seconds with readiness are counted");
}

#[rstest]
#[case::absent(StoreFault::Absent, "store-unreached", r#" failure=""#, "unreached")]
#[case::limiting(StoreFault::Status(429), "store-refused", r#" failure="status 429" call="#, "429")]
#[case::refusing(StoreFault::Status(400), "store-refused", r#" failure="status 400" call="#, "400")]
#[case::not_json(StoreFault::Body("<html>"), "store-malformed", "expected value", "malformed")]
#[case::closing(StoreFault::Closing, "store-lost", "connection closed", "broken")]
fn fault_of_the_store_is_named_while_an_instance_is_not_ready(
    #[case] fault: StoreFault,
    #[case] why: &str,
    #[case] failure: &str,
    #[case] label: &str,
) {
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    let front = StoreFront::start(store.address, fault);
    let gateway = start_gateway_at(front.address);
    let begun = start_time(&gateway);
    assert_named(&gateway, gateway.ready, begun, why, &["table=0 read=false", "peers=0", failure]);
    let series = format!("store_failures_total{{why=\"{label}\"}}");
    assert!(metrics(gateway.ready).contains(&series), "no series {series}");
    let asked = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let reply = send(gateway.ready, asked).reply();
    assert!(reply.status == 503 && reply.body.contains(failure), "{}", reply.body);
    assert_counted(gateway.ready, begun);
    front.mend();
    assert_ready(&gateway, gateway.ready);
}

#[test]
fn registration_that_the_store_refuses_is_named() {
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    let front = StoreFront::start(store.address, StoreFault::Target("POST", 400));
    let gateway = start_gateway_at(front.address);
    let text = ["registration of this instance in the store failed: Refused"];
    assert!(wait_for(2, || !times(&log(&gateway), &text).is_empty()), "{}", log(&gateway));
}

#[test]
fn silent_store_is_named_before_and_after_the_first_read_has_failed() {
    let front = StoreFront::start(Store::start().address, StoreFault::Silent);
    let gateway = start_gateway_at(front.address);
    let begun = start_time(&gateway);
    let unread = ["kind=NotReady", "why=store-unread", "read=false ended_ms="];
    assert!(wait_for(2, || !times(&log(&gateway), &unread).is_empty()), "{}", log(&gateway));
    let first = times(&log(&gateway), &unread)[0] - begun;
    assert!(first < FIRST_SECS, "logged after {first:.2} s");
    // The first answer is waited for at most 1 s.
    assert_named(&gateway, gateway.ready, begun + 1.0, "store-lost", &["failure=", "call="]);
    assert_counted(gateway.ready, begun);
}

#[rstest]
#[case::absent(None, "configuration-absent", "read=true")]
#[case::empty(Some(""), "configuration-refused", "refused=\"the value is empty")]
#[case::cut_off(Some(&CONFIG[..40]), "configuration-refused", "refused=\"from=store EOF while")]
#[case::two_lines(Some("{\"version\":\"a\nb"), "configuration-refused", "refused=\"from=store")]
fn configuration_that_cannot_be_used_is_named_while_an_instance_is_not_ready(
    #[case] text: Option<&str>,
    #[case] why: &str,
    #[case] detail: &str,
) {
    let store = Store::start();
    store.set("op/config", text.map(str::as_bytes));
    let gateway = start_gateway_at(store.address);
    let begun = start_time(&gateway);
    assert_named(&gateway, gateway.ready, begun, why, &["read=true", detail]);
    assert_counted(gateway.ready, begun);
    store.set("op/config", Some(CONFIG.as_bytes()));
    assert_ready(&gateway, gateway.ready);
}

#[test]
fn address_for_callers_that_is_in_use_is_named() {
    let listen = Listen::with_metrics();
    let probes = listen.metrics.expect("an address for metrics");
    let holder = Holder::listener(listen.front);
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let gateway = Gateway::start_on(binary, store.address, listen);
    let begun = start_time(&gateway);
    assert_named(&gateway, probes, begun, "not-listening", &[]);
    assert_counted(probes, begun);
    holder.release();
    assert_ready(&gateway, probes);
}

/// A 116 or 117 line.
#[derive(Debug)]
struct Line {
    at: f64,
    why: String,
    /// Time of the reason.
    secs: f64,
    /// Time without readiness.
    total: f64,
    is_last: bool,
}

fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let value = line.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    value.unwrap_or_else(|| panic!("no {name} in {line}"))
}

/// Returns the lines on the readiness; `is_last` is set in the last one of each obstacle.
fn readiness_lines(log: &str) -> Vec<Line> {
    let is_one = |l: &&str| l.contains(" kind=NotReady ") || l.contains(" kind=Ready ");
    let lines = log.lines().filter(is_one).map(|line| {
        let number = |name| field(line, name).parse::<f64>().expect("a number");
        Line {
            at: number("time"),
            why: field(line, "why").to_owned(),
            secs: number("for_ms") / 1e3,
            total: number("total_ms") / 1e3,
            is_last: line.ends_with(" ended=true") || line.contains(" kind=Ready "),
        }
    });
    lines.collect()
}

/// Returns the time in the last lines of all obstacles, or of one.
fn last_secs(lines: &[Line], why: &str) -> f64 {
    let is_one = |l: &&Line| l.is_last && (why.is_empty() || l.why == why);
    lines.iter().filter(is_one).map(|l| l.secs).sum()
}

/// How the settings are kept from an instance that starts.
#[derive(Debug, Clone, Copy)]
enum Withheld {
    Absent,
    HalfWritten,
    Blocked,
}

impl Withheld {
    fn prepare(self, file: &Path, text: &str) {
        let half = text.find("listen.front=").expect("it is in the settings") + 9;
        match self {
            Withheld::Absent => {}
            Withheld::HalfWritten => std::fs::write(file, &text[..half]).expect("cannot write"),
            Withheld::Blocked => replace_by_pipe(file),
        }
    }
}

/// The time was part of the next reason's, and fractions of a second were counted as such.
#[rstest]
#[case::absent(Withheld::Absent)]
#[case::half_written(Withheld::HalfWritten)]
#[case::blocked(Withheld::Blocked)]
fn time_without_settings_is_logged_and_counted_as_such(#[case] withheld: Withheld) {
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    let front = StoreFront::start(store.address, StoreFault::Status(429));
    let mut whole = String::new();
    let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let gateway = Gateway::start_prepared(binary, front.address, |_, file, text| {
        withheld.prepare(file, text);
        text.clone_into(&mut whole);
    });
    let waiting = ["event=116 kind=NotReady subject=- why=settings for_ms="];
    assert!(wait_for(2, || !times(&log(&gateway), &waiting).is_empty()), "{}", log(&gateway));
    let first = &readiness_lines(&log(&gateway))[0];
    assert!(first.secs < FIRST_SECS, "logged after {:.2} s", first.secs);
    let begun = first.at - first.secs;
    sleep(Duration::from_secs_f64((begun + FAULT_SECS - wall()).max(0.0)));
    let repeated = times(&log(&gateway), &waiting);
    assert!(repeated.len() > 1 && repeated[1] - repeated[0] < AGAIN_SECS, "{}", log(&gateway));

    replace_by_text(&gateway.settings_file, &whole);
    let refused = ["kind=NotReady subject=g-", "why=store-refused for_ms="];
    assert!(wait_for(4, || !times(&log(&gateway), &refused).is_empty()), "{}", log(&gateway));
    let settled = wall();
    sleep(Duration::from_secs(3));
    front.mend();
    let is_ready = || !times(&log(&gateway), &["kind=Ready subject=g-"]).is_empty();
    assert!(wait_for(7, is_ready), "not ready: {}", log(&gateway));

    let (text, counts) = (log(&gateway), metrics(gateway.ready));
    let lines = readiness_lines(&text);
    let is_settings = |l: &Line| l.why == "settings" && l.is_last;
    let end = lines.iter().rposition(is_settings).expect(&text);
    let (waiting, later) = lines.split_at(end + 1);
    // A busy machine may stall the process, which is a reason of its own.
    let is_known = |l: &Line| l.why == "settings" || l.why == "stalled";
    assert!(waiting.iter().all(is_known), "{text}");
    let stalls = lines.iter().filter(|l| l.why == "stalled" && l.is_last).count() as f64;
    let short = |reasons: f64| LOGGED_SECS * (reasons + stalls);
    let waited = waiting[end].total;
    let range = FAULT_SECS - STEP_SECS..=settled - begun + STEP_SECS;
    assert!(range.contains(&waited), "{range:?}: {text}");
    let missing = waited - last_secs(waiting, "");
    assert!((-STEP_SECS..=STEP_SECS + short(0.0)).contains(&missing), "{missing}: {text}");
    for line in later {
        assert!(line.secs <= line.at - waiting[end].at + STEP_SECS, "{line:?}: {text}");
    }
    let total = lines.last().expect(&text).total;
    let missing = total - last_secs(&lines, "");
    // Until the address for callers is listened on, and until a read of the store ends.
    assert!((-STEP_SECS..=STEP_SECS + short(2.0)).contains(&missing), "{missing}: {text}");
    let counted = sum(&counts, "unready_seconds_total").expect("seconds are counted");
    assert!((0.0..1.0).contains(&(total - counted)), "{counted} of {total}: {counts}");
    for why in ["settings", "store-refused"] {
        let series = format!("unready_seconds_total{{why=\"{why}\"}}");
        let counted = sum(&counts, &series).expect("the reason is counted");
        let difference = (last_secs(&lines, why) - counted).abs();
        assert!(difference < 1.0 + short(0.0), "{counted} for {why}: {text}");
    }
}

/// Such an instance counted as ready, while the platform got no answer from it.
#[test]
fn address_for_probes_that_is_in_use_is_named() {
    let listen = Listen::with_metrics();
    let probes = listen.metrics.expect("an address for metrics");
    let holder = Holder::listener(listen.ready);
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let gateway = Gateway::start_on(binary, store.address, listen);
    let begun = start_time(&gateway);
    assert_named(&gateway, probes, begun, "probes-not-listening", &["table=7"]);
    let asked = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let reply = send(probes, asked).reply();
    assert!(reply.status == 503 && reply.body.contains("probes-not-listening"), "{}", reply.body);
    assert_counted(probes, begun);
    holder.release();
    assert_ready(&gateway, probes);
    assert_eq!(gateway.probe(), 200);
}

#[test]
fn address_for_probes_that_comes_with_a_reload_and_is_in_use_is_named() {
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    let mut whole = String::new();
    let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let gateway = Gateway::start_prepared(binary, store.address, |_, file, text| {
        let lines = text.lines().filter(|line| !line.starts_with("listen.ready="));
        let part: String = lines.map(|line| format!("{line}\n")).collect();
        std::fs::write(file, part).expect("cannot write the settings file");
        text.clone_into(&mut whole);
    });
    assert!(wait_for(7, || !times(&log(&gateway), &["kind=Ready subject=g-"]).is_empty()));
    let holder = Holder::listener(gateway.ready);
    std::fs::write(&gateway.settings_file, whole).expect("cannot write the settings file");
    let named = ["kind=NotReady subject=g-", " why=probes-not-listening for_ms="];
    // The settings are read every 2 s.
    assert!(wait_for(4, || !times(&log(&gateway), &named).is_empty()), "{}", log(&gateway));
    holder.release();
    assert!(wait_for(2, || gateway.probe() == 200), "not ready: {}", log(&gateway));
}

#[test]
fn stop_is_named_in_log_and_metrics() {
    let (_store, gateway) = start_platform(&[]);
    assert!(wait_for(2, || !times(&log(&gateway), &["kind=Ready subject=g-"]).is_empty()));
    let begun = wall();
    gateway.signal(libc::SIGTERM);
    let stopping = ["kind=NotReady", "why=stopping for_ms=", "table=7"];
    assert!(wait_for(2, || !times(&log(&gateway), &stopping).is_empty()), "{}", log(&gateway));
    assert!(times(&log(&gateway), &stopping)[0] - begun < FIRST_SECS);
    sleep(Duration::from_millis(1500));
    let text = metrics(gateway.ready);
    let counted = sum(&text, "unready_seconds_total{why=\"stopping\"}").expect("it is counted");
    assert!((1.5 - COUNT_SECS..=wall() - begun + COUNT_SECS).contains(&counted) && counted > 0.0);
}

#[test]
fn time_for_which_the_process_was_held_is_named_and_counted() {
    let (_store, gateway) = start_platform(&[]);
    assert!(wait_for(2, || !times(&log(&gateway), &["kind=Ready subject=g-"]).is_empty()));
    gateway.signal(libc::SIGSTOP);
    sleep(Duration::from_secs(3));
    gateway.signal(libc::SIGCONT);
    let held = ["kind=Ready", "why=stalled for_ms="];
    assert!(wait_for(2, || !times(&log(&gateway), &held).is_empty()), "{}", log(&gateway));
    let counted = sum(&metrics(gateway.ready), "unready_seconds_total{why=\"stalled\"}");
    let counted = counted.expect("it is counted");
    assert!((3.0 - COUNT_SECS..=3.0 + COUNT_SECS).contains(&counted), "{counted}");
}

/// Stops the main thread of a process, and no other, for a time.
fn hold_main_thread(gateway: &Gateway, time: Duration) {
    let (id, none) = (gateway.process_id() as libc::pid_t, std::ptr::null_mut::<libc::c_void>());
    // SAFETY: none of the calls accesses memory of this process, and the child has not been waited for.
    let request = |number| unsafe { libc::ptrace(number, id, none, none) };
    assert_eq!(request(libc::PTRACE_SEIZE), 0, "{}", std::io::Error::last_os_error());
    assert_eq!(request(libc::PTRACE_INTERRUPT), 0, "{}", std::io::Error::last_os_error());
    sleep(time);
    assert_eq!(request(libc::PTRACE_DETACH), 0, "{}", std::io::Error::last_os_error());
}

/// Nothing was logged while the thread that serves did not run.
#[test]
fn thread_that_is_blocked_is_named_while_it_is() {
    let (_store, gateway) = start_platform(&[]);
    assert!(wait_for(2, || !times(&log(&gateway), &["kind=Ready subject=g-"]).is_empty()));
    let begun = wall();
    hold_main_thread(&gateway, Duration::from_secs(8));
    let end = wall();
    let lines = times(&log(&gateway), &["kind=NotReady subject=g-", " why=stalled for_ms="]);
    assert!(lines.len() >= 2 && lines.iter().all(|at| *at < end), "{}", log(&gateway));
    // The time until the stall counts as one, and until it is checked.
    assert!(lines[0] - begun < FIRST_SECS + 0.5, "logged after {:.2} s", lines[0] - begun);
    assert!(lines[1] - lines[0] < AGAIN_SECS);
    let is_over = || !times(&log(&gateway), &["kind=Ready", " why=stalled for_ms="]).is_empty();
    assert!(wait_for(2, is_over), "{}", log(&gateway));
}

/// Starts a store that answers each request with this status; returns its address.
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

/// The log had one line for a whole outage.
#[test]
fn outage_of_the_store_that_changes_its_reason_is_logged_again() {
    let status = Arc::new(AtomicU16::new(429));
    let gateway = start_gateway_at(start_refusing(status.clone()));
    let is_lost = |text| !times(&log(&gateway), &["kind=StoreLost", text]).is_empty();
    assert!(wait_for(2, || is_lost("status 429")), "{}", log(&gateway));
    status.store(400, Ordering::Relaxed);
    assert!(wait_for(7, || is_lost("status 400")), "{}", log(&gateway));
    assert_eq!(times(&log(&gateway), &["kind=StoreLost"]).len(), 2, "{}", log(&gateway));
}
