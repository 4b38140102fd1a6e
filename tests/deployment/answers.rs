//! Answers of engines and plain services that a sidecar reads whole.

use crate::common::*;
use rstest::rstest;
use serde_json::Value;
use standin::broken::{self, BROKEN, Form, WHOLE, form};
use standin::caller::{Caller, RequestError, StreamEnd};
use standin::fleet::{Fleet, Plan, Pool};
use standin::platform::send;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Heads and body of an answer, by the start of the request that it is sent for.
type Answers = &'static [(&'static str, &'static str, &'static str)];

const REPORT: &str =
    r#"{"boot":"b","capacity":90000,"batch":8,"loaded":["caption-large+memorial@v1"]}"#;
const EMPTY_REPORT: &str = r#"{"boot":"b","capacity":90000,"batch":8,"loaded":[]}"#;
const EVENTS: &str = r#"[{"seq":7,"prefix":1,"stored":true}]"#;
const JSON: &str = r#"{"count":1}"#;
/// A token, and the last event up to its end.
macro_rules! last_event {
    ($end:literal) => {
        concat!(
            "id: 0\ndata: {\"choices\":[{\"index\":0,\"text\":\" a.0\",\"finish_reason\":null}]}\n\n",
            "id: 1\ndata: {\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}]}",
            $end
        )
    };
}
const OK: &str = "HTTP/1.1 200 X\r\n";
const ENCODED: &str = "HTTP/1.1 200 X\r\nContent-Encoding: gzip\r\n";

/// Answers all connections to an address; returns the targets of the requests.
fn answer_at(address: SocketAddr, answers: Answers) -> Arc<Mutex<Vec<String>>> {
    let listener = TcpListener::bind(address).expect("the backend has freed its address");
    let requests = Arc::new(Mutex::new(Vec::new()));
    let shared = requests.clone();
    std::thread::spawn(move || {
        for mut io in listener.incoming().flatten() {
            let mut bytes = [0; 4096];
            let n = io.read(&mut bytes).unwrap_or(0);
            let request = String::from_utf8_lossy(&bytes[..n]).into_owned();
            let answer = answers.iter().find(|(start, ..)| request.starts_with(start));
            let Some((_, head, body)) = answer else { continue };
            let states_end =
                ["Content-Length", "Transfer-Encoding"].iter().any(|n| head.contains(n));
            let length = match states_end {
                true => String::new(),
                false => format!("Content-Length: {}\r\n", body.len()),
            };
            let bytes = format!("{head}{length}\r\n{body}");
            // A client that has closed its connection needs no answer.
            let _ = io.write_all(bytes.as_bytes());
            let target = request.split(' ').nth(1).unwrap_or("").to_owned();
            shared.lock().expect("no holder panics").push(target);
        }
    });
    requests
}

/// Starts a deployment with one endpoint whose backend is replaced.
async fn start_with(pool: Pool, answers: Answers) -> (Fleet, Arc<Mutex<Vec<String>>>) {
    let mut fleet =
        start_deployment(Plan { entries: 1, pools: vec![pool], ..Plan::default() }).await;
    fleet.crash_backend(0);
    assert!(wait_until(10, async || serves(&fleet).await == Some(false)).await, "still serving");
    let requests = answer_at(fleet.backend_address(0), answers);
    (fleet, requests)
}

/// Returns whether the entry counts the endpoint as serving; `None` if it does not know it.
async fn serves(fleet: &Fleet) -> Option<bool> {
    let status = fleet.status(0).await?;
    let endpoint: &Value = status["endpoints"].as_array()?.first()?;
    endpoint["serving"].as_bool()
}

#[rstest]
#[case::ok(&[("GET /v1/load", OK, REPORT)], true)]
#[case::other_success(&[("GET /v1/load", "HTTP/1.1 203 X\r\n", REPORT)], true)]
#[case::redirect(&[("GET /v1/load", "HTTP/1.1 302 X\r\n", REPORT)], false)]
#[case::not_found(&[("GET /v1/load", "HTTP/1.1 404 X\r\n", REPORT)], false)]
#[case::failed(&[("GET /v1/load", "HTTP/1.1 500 X\r\n", REPORT)], false)]
#[case::full(&[("GET /v1/load", "HTTP/1.1 503 X\r\n", REPORT)], false)]
#[case::encoded(&[("GET /v1/load", ENCODED, REPORT)], false)]
#[actix_rt::test]
async fn load_report_is_taken_from_a_whole_success_alone(
    #[case] answers: Answers,
    #[case] is_taken: bool,
) {
    let (fleet, requests) = start_with(engine_pool(1, loaded_params()), answers).await;
    let has_read = async || requests.lock().expect("no holder panics").len() >= 8;
    assert!(wait_until(10, has_read).await, "the engine is not asked for its load");
    let is_known = async || serves(&fleet).await == Some(true);
    assert_eq!(wait_until(2, is_known).await, is_taken);
}

#[rstest]
#[case::ok(&[("GET /v1/load", OK, REPORT), ("GET /v1/cache_events", OK, EVENTS)], true)]
#[case::failed(
    &[("GET /v1/load", OK, REPORT), ("GET /v1/cache_events", "HTTP/1.1 500 X\r\n", EVENTS)],
    false
)]
#[case::redirect(
    &[("GET /v1/load", OK, REPORT), ("GET /v1/cache_events", "HTTP/1.1 302 X\r\n", EVENTS)],
    false
)]
#[case::encoded(&[("GET /v1/load", OK, REPORT), ("GET /v1/cache_events", ENCODED, EVENTS)], false)]
#[actix_rt::test]
async fn cache_events_are_taken_from_a_whole_success_alone(
    #[case] answers: Answers,
    #[case] is_taken: bool,
) {
    let (_fleet, requests) = start_with(engine_pool(1, loaded_params()), answers).await;
    let reads = || -> Vec<String> {
        let all = requests.lock().expect("no holder panics");
        all.iter().filter(|target| target.starts_with("/v1/cache_events")).cloned().collect()
    };
    assert!(wait_until(15, async || reads().len() >= 2).await, "no second read: {:?}", reads());
    assert_eq!(reads()[1] == "/v1/cache_events?since=7", is_taken, "{:?}", reads());
}

/// Starts a deployment with one endpoint whose backend answers the requests with this start in these
/// forms, one after the other, and others as a sound one; returns the number of such requests.
async fn start_faulty(
    pool: Pool,
    start: &'static str,
    forms: Vec<Form>,
    answer: (u16, &'static str),
) -> (Fleet, Arc<AtomicUsize>) {
    let mut fleet =
        start_deployment(Plan { entries: 1, pools: vec![pool], ..Plan::default() }).await;
    fleet.crash_backend(0);
    assert!(wait_until(10, async || serves(&fleet).await == Some(false)).await, "still serving");
    let listener = TcpListener::bind(fleet.backend_address(0)).expect("the address is free");
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    broken::serve_at(listener, move |request| {
        if request.starts_with(start) {
            let n = counted.fetch_add(1, Ordering::SeqCst);
            return Some((forms[n % forms.len()], answer.0, answer.1));
        }
        if request.starts_with("GET /v1/streams") {
            return Some((WHOLE, 404, "{}"));
        }
        let is_known = ["GET /v1/load", "GET /healthz"].iter().any(|s| request.starts_with(s));
        is_known.then_some((
            WHOLE,
            200,
            if start.starts_with("POST /v1/orders") { EMPTY_REPORT } else { REPORT },
        ))
    });
    (fleet, count)
}

#[rstest]
#[case::whole(&["whole"], 200, 1)]
#[case::refused(&["whole"], 409, 4)]
#[case::malformed(&["status of zero", "control in a name", "whole"], 200, 3)]
#[case::line_ends(&["bare feeds", "blank after the length", "whole"], 200, 3)]
#[case::cut(&["body under its length", "no last chunk", "whole"], 200, 3)]
#[case::lost(&["reset without a length", "nothing", "whole"], 200, 3)]
#[actix_rt::test]
async fn order_is_repeated_until_the_answer_to_it_is_a_whole_success(
    #[case] names: &[&str],
    #[case] status: u16,
    #[case] expected: usize,
) {
    let forms = names.iter().map(|name| form(name)).collect();
    let pool = engine_pool(1, loaded_params());
    let (_fleet, count) = start_faulty(pool, "POST /v1/orders", forms, (status, "{}")).await;
    // An order is repeated after about 2 s.
    wait_until(12, async || count.load(Ordering::SeqCst) > 3).await;
    assert_eq!(count.load(Ordering::SeqCst), expected);
}

#[rstest]
#[case::report(engine_pool(1, loaded_params()), "GET /v1/load", REPORT)]
#[case::health(booking_pool(1), "GET /healthz", "ok")]
#[actix_rt::test]
async fn broken_answers_do_not_show_that_an_endpoint_serves(
    #[case] pool: Pool,
    #[case] start: &'static str,
    #[case] body: &'static str,
) {
    let (fleet, count) = start_faulty(pool, start, BROKEN.into(), (200, body)).await;
    let has_read_all = async || {
        assert_ne!(serves(&fleet).await, Some(true), "{} answers", count.load(Ordering::SeqCst));
        count.load(Ordering::SeqCst) > BROKEN.len()
    };
    assert!(wait_until(20, has_read_all).await, "the endpoint is not asked");
}

#[rstest]
#[actix_rt::test]
async fn outcome_of_a_call_is_unknown_after_a_broken_answer(#[values(200, 421, 503)] status: u16) {
    let (fleet, count) = start_faulty(booking_pool(1), "POST", BROKEN.into(), (status, JSON)).await;
    assert!(wait_until(10, async || serves(&fleet).await == Some(true)).await, "not serving");
    let caller = Caller::new("key-1");
    for form in BROKEN {
        let result =
            caller.call(fleet.entry_address(0), "POST", CALL_PATH, Some(form.name), "x").await;
        let outcome = result.as_ref().err().map(RequestError::outcome);
        assert_eq!(outcome, Some("unknown"), "{}: {result:?}", form.name);
    }
    assert_eq!(count.load(Ordering::SeqCst), BROKEN.len());
}

#[rstest]
#[case::ok(&[("GET /healthz", OK, ""), ("POST", OK, JSON)], None)]
#[case::encoded(&[("GET /healthz", OK, ""), ("POST", ENCODED, JSON)], Some("unknown"))]
#[case::encoded_failure(
    &[
        ("GET /healthz", OK, ""),
        ("POST", "HTTP/1.1 500 X\r\nContent-Encoding: br\r\n", JSON)
    ],
    Some("unknown")
)]
#[case::malformed(
    &[("GET /healthz", OK, ""), ("POST", "HTTP/1.1 200 X\r\nX Other: 1\r\n", JSON)],
    Some("unknown")
)]
#[actix_rt::test]
async fn answer_to_a_call_is_passed_on_only_as_the_service_sent_it(
    #[case] answers: Answers,
    #[case] outcome: Option<&str>,
) {
    let (fleet, _requests) = start_with(booking_pool(1), answers).await;
    assert!(wait_until(10, async || serves(&fleet).await == Some(true)).await, "not serving");
    let caller = Caller::new("key-1");
    let result = caller.call(fleet.entry_address(0), "POST", CALL_PATH, Some("k"), "x").await;
    match outcome {
        None => assert!(result.is_ok(), "{result:?}"),
        Some(outcome) => {
            assert_eq!(result.as_ref().err().map(RequestError::outcome), Some(outcome))
        }
    }
}

#[rstest]
#[case::blank_line(last_event!("\n\n"), true)]
#[case::returns(last_event!("\r\n\r\n"), true)]
#[case::no_blank_line(last_event!("\n"), false)]
#[case::no_line_end(last_event!(""), false)]
#[case::half_a_line_end(last_event!("\r\n\r"), false)]
#[case::half_a_return(last_event!("\n\r"), false)]
#[actix_rt::test]
async fn generation_ends_with_the_blank_line_after_its_last_event(
    #[case] stream: &'static str,
    #[case] is_whole: bool,
) {
    // The engine has forgotten a generation whose stream is opened again.
    let forgotten = ("GET /v1/streams", "HTTP/1.1 404 X\r\n", "");
    let answers =
        Box::leak(Box::new([("GET /v1/load", OK, REPORT), forgotten, ("POST", OK, stream)]));
    let (fleet, _requests) = start_with(engine_pool(1, loaded_params()), answers).await;
    assert!(wait_until(10, async || serves(&fleet).await == Some(true)).await, "not serving");
    let end = match open_stream(fleet.entry_address(0), 1, "a").await {
        Ok(mut stream) => stream.finish().await,
        Err(e) => StreamEnd::Broken(e.outcome().to_owned()),
    };
    assert_eq!(end == StreamEnd::Done("stop".into()), is_whole, "{end:?}");
}

#[rstest]
#[case::submission_unknown("POST /v1/completions", 404, 1)]
#[case::submission_refused("POST /v1/completions", 503, 1)]
#[case::stream_unknown("GET /v1/streams", 404, BROKEN.len() + 1)]
#[actix_rt::test]
async fn generation_is_neither_refused_nor_forgotten_by_a_broken_answer(
    #[case] start: &'static str,
    #[case] status: u16,
    #[case] requests: usize,
) {
    let forms = if requests == 1 { BROKEN.into() } else { [&BROKEN[..], &[WHOLE]].concat() };
    let pool = engine_pool(1, loaded_params());
    let (fleet, count) = start_faulty(pool, start, forms, (status, "{}")).await;
    assert!(wait_until(10, async || serves(&fleet).await == Some(true)).await, "not serving");
    for n in 1..=BROKEN.len() / requests + 1 {
        let opened = open_stream(fleet.entry_address(0), 1, "a").await;
        let error = opened.err().expect("the engine sends no token");
        assert_eq!((error.outcome(), count.load(Ordering::SeqCst)), ("unknown", n * requests));
    }
}

#[rstest]
#[case::submitted(false, "unknown")]
#[case::queued(true, "not-run")]
#[actix_rt::test]
async fn generation_that_may_have_run_when_its_time_is_over_is_not_said_to_have_not_run(
    #[case] is_queued: bool,
    #[case] outcome: &str,
) {
    const ONE_AT_A_TIME: &str =
        r#"{"boot":"b","capacity":90000,"batch":1,"loaded":["caption-large+memorial@v1"]}"#;
    const ANSWERS: Answers =
        &[("GET /v1/load", OK, ONE_AT_A_TIME), ("GET /v1/streams", "HTTP/1.1 503 X\r\n", "")];
    let (fleet, requests) = start_with(engine_pool(1, loaded_params()), ANSWERS).await;
    // The other service has more time.
    let config = CONFIG.replace("\"priority\": 4", "\"priority\": 9");
    let config = config.replace(",\n      \"depends_on\": [\"booking\"]", "");
    let (code, out) = fleet.submit(&config, 1);
    assert_eq!(code, 0, "{out}");
    assert!(fleet.wait_ready(0, 2, 1, Duration::from_secs(10)).await, "not serving");
    let caller = Caller::new("key-1");
    let entry = fleet.entry_address(0);
    let other = async {
        if is_queued {
            let _ = caller.open(entry, "summaries", "output=1; a", 30_000).await;
        }
        std::future::pending::<()>().await
    };
    let asked = async {
        let is_sent = async || streams(&requests) > 0;
        assert!(!is_queued || wait_until(5, is_sent).await, "the engine is not asked");
        open_stream(entry, 1, "b").await.err().map(|e| e.outcome().to_owned())
    };
    let end = tokio::select! {
        end = asked => end,
        () = other => None,
    };
    assert_eq!(end.as_deref(), Some(outcome));
}

/// Returns how often a stream of a generation was asked for.
fn streams(requests: &Mutex<Vec<String>>) -> usize {
    let requests = requests.lock().expect("no holder panics");
    requests.iter().filter(|target| target.starts_with("/v1/streams")).count()
}

/// Size of an event that an engine sends without its end.
const ENDLESS_BYTES: usize = 96 << 20;
/// Memory that a sidecar may take, several times what it takes without load.
const MAX_SIDECAR_KB: usize = 48 << 10;

/// Returns the largest memory that a process has had resident, in KiB.
fn peak_kb(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|text| text.trim().strip_suffix(" kB")?.parse().ok());
    peak.expect("the process runs")
}

#[rstest]
#[case::event("data: ", "x")]
#[case::comments("", ": comment\n")]
#[actix_rt::test]
async fn stream_without_an_event_is_not_kept_without_end(#[case] start: &str, #[case] part: &str) {
    let stream: &'static str = (start.to_owned() + &part.repeat(ENDLESS_BYTES / part.len())).leak();
    let forgotten = ("GET /v1/streams", "HTTP/1.1 404 X\r\n", "");
    let answers =
        Box::leak(Box::new([("GET /v1/load", OK, REPORT), forgotten, ("POST", OK, stream)]));
    let (fleet, _requests) = start_with(engine_pool(1, loaded_params()), answers).await;
    assert!(wait_until(10, async || serves(&fleet).await == Some(true)).await, "not serving");
    let sidecar = fleet.endpoints[0].sidecar.id();
    let before = peak_kb(sidecar);
    let end = match open_stream(fleet.entry_address(0), 1, "a").await {
        Ok(mut stream) => stream.finish().await,
        Err(e) => StreamEnd::Broken(e.outcome().to_owned()),
    };
    assert!(!matches!(end, StreamEnd::Done(_)), "{end:?}");
    let after = peak_kb(sidecar);
    assert!(after <= MAX_SIDECAR_KB, "{after} KiB, {before} before");
}

#[rstest]
#[case::stated("HTTP/1.1 200 X\r\nContent-Length: 99\r\n", Some("99"))]
#[case::chunks("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n", None)]
#[actix_rt::test]
async fn answer_to_head_states_the_length_of_the_service(
    #[case] head: &'static str,
    #[case] length: Option<&str>,
) {
    let answers = Box::leak(Box::new([("GET /healthz", OK, ""), ("HEAD", head, "")]));
    let (fleet, _requests) = start_with(booking_pool(1), answers).await;
    assert!(wait_until(10, async || serves(&fleet).await == Some(true)).await, "not serving");
    let request =
        "HEAD /s/booking/slots HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\n\r\n";
    let entry = fleet.entry_address(0);
    let models = "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\n\r\n";
    let ask = move || {
        let mut connection = send(entry, request.as_bytes());
        let first = connection.reply();
        connection.write(models.as_bytes()).map(|()| (first, connection.reply()))
    };
    let asked = tokio::task::spawn_blocking(ask).await.expect("no panic");
    let (first, second) = asked.expect("the connection is kept");
    assert_eq!((first.status, first.header("content-length")), (200, length), "{first:?}");
    assert_eq!((second.status, second.fault, second.complete), (200, None, true), "{second:?}");
}

#[rstest]
#[case::number_with_a_point(
    r#"{"boot":"b","capacity":9e4,"batch":8.0,"prefill_us":10.0,"loaded":["caption-large+memorial@v1"]}"#
)]
#[case::model_without_a_name(
    r#"{"boot":"b","capacity":90000,"batch":8,"loaded":[null,{"a":1e999},"caption-large+memorial@v1"]}"#
)]
#[case::no_batch_or_boot(r#"{"boot":[],"capacity":90000,"loaded":["caption-large+memorial@v1"]}"#)]
#[actix_rt::test]
async fn field_of_a_load_report_that_cannot_be_read_leaves_the_others(
    #[case] report: &'static str,
) {
    let stream = ("POST", OK, last_event!("\n\n"));
    let answers = Box::leak(Box::new([("GET /v1/load", OK, report), stream]));
    let (fleet, _requests) = start_with(engine_pool(1, loaded_params()), answers).await;
    assert!(wait_until(10, async || serves(&fleet).await == Some(true)).await, "not serving");
    let mut stream = open_stream(fleet.entry_address(0), 1, "a").await.expect("it is served");
    assert_eq!(stream.finish().await, StreamEnd::Done("stop".into()));
}

/// Returns the logs of the daemons.
fn daemon_logs(fleet: &Fleet) -> String {
    let files = std::fs::read_dir(fleet.log_dir()).expect("the directory exists");
    let files = files.flatten().map(|file| file.path());
    let logs = files.filter(|path| path.extension().is_some_and(|e| e == "log"));
    logs.filter_map(|path| std::fs::read_to_string(path).ok()).collect()
}

#[rstest]
#[case::prefix(
    r#"[{"seq":6,"prefix":4294967296,"stored":true},{"seq":7,"prefix":1,"stored":true}]"#
)]
#[case::last(r#"[{"seq":6,"prefix":1,"stored":true},{"seq":7,"prefix":1,"stored":"yes"},7]"#)]
#[actix_rt::test]
async fn cache_event_that_cannot_be_read_is_passed_over(#[case] events: &'static str) {
    let answers =
        Box::leak(Box::new([("GET /v1/load", OK, REPORT), ("GET /v1/cache_events", OK, events)]));
    let (fleet, requests) = start_with(engine_pool(1, loaded_params()), answers).await;
    let has_moved = async || {
        let all = requests.lock().expect("no holder panics");
        all.iter().any(|target| target == "/v1/cache_events?since=7")
    };
    assert!(wait_until(10, has_moved).await, "{}", daemon_logs(&fleet));
    let named = daemon_logs(&fleet).matches("kind=EngineUnreadable").count();
    assert!((1..=2).contains(&named), "{}", daemon_logs(&fleet));
}

#[rstest]
#[case::no_choices(r#"{"choices":[],"usage":{"total":1}}"#, None)]
#[case::end_without_a_text(r#"{"choices":[{"text":null,"finish_reason":"stop"}]}"#, None)]
#[case::text(r#"{"choices":[{"text":7}]}"#, Some("field=text count=1 found=\"7\""))]
#[case::end(r#"{"choices":[{"text":"","finish_reason":[]}]}"#, Some("field=finish_reason"))]
#[actix_rt::test]
async fn stream_event_without_a_token_is_passed_over_and_an_unreadable_one_is_named(
    #[case] event: &str,
    #[case] named: Option<&str>,
) {
    const TOKEN: &str = r#"{"choices":[{"text":" a.0"}]}"#;
    let stream = format!("id: 0\ndata: {TOKEN}\n\ndata: {event}\n\ndata: [DONE]\n\n");
    let forgotten = ("GET /v1/streams", "HTTP/1.1 404 X\r\n", "");
    let answers = Box::leak(Box::new([
        ("GET /v1/load", OK, REPORT),
        forgotten,
        ("POST", OK, &*stream.leak()),
    ]));
    let (fleet, _requests) = start_with(engine_pool(1, loaded_params()), answers).await;
    assert!(wait_until(10, async || serves(&fleet).await == Some(true)).await, "not serving");
    let mut stream = open_stream(fleet.entry_address(0), 1, "a").await.expect("a token came");
    assert_eq!(stream.finish().await == StreamEnd::Done("stop".into()), named.is_none());
    let log = daemon_logs(&fleet);
    let line = log.lines().find(|line| line.contains("kind=EngineSilent"));
    assert_eq!(line.is_some(), named.is_some(), "{log}");
    let why = "why=unreadable document=stream-event";
    assert!(line.is_none_or(|l| l.contains(why) && named.is_some_and(|n| l.contains(n))), "{log}");
}
