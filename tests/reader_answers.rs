//! Answers to probes, to control calls of engines and to `explain` that are malformed or cut off.

use actix_http::ServiceConfig;
use rstest::rstest;
use skylarkthread::id::RequestId;
use skylarkthread::platform::{self, CopyOutcome, Handoff, Identity, Probe};
use standin::broken::{Form, WHOLE, believed};
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(1);
const HANDLE: &str = r#"{"handle":"h-1"}"#;

/// Runs a call at a server that answers in this form.
fn call<T>(form: Form, status: u16, body: &'static str, f: impl AsyncFnOnce(SocketAddr) -> T) -> T {
    actix_rt::System::new().block_on(f(form.serve(status, body)))
}

async fn ask(to: SocketAddr, probe: &Probe) -> Option<Identity> {
    platform::probe(to, probe, &ServiceConfig::default(), WAIT).await.ok()
}

async fn copy(to: SocketAddr, last: bool) -> Option<CopyOutcome> {
    let id = "id-1".parse::<RequestId>().expect("the id is valid");
    platform::copy_memory(to, to, &id, last, &ServiceConfig::default(), WAIT).await.ok()
}

async fn free(source: SocketAddr) -> bool {
    let handoff = Handoff { source, handle: "h-1".into() };
    platform::free_copy(&handoff, &ServiceConfig::default(), WAIT).await.is_ok()
}

#[rstest]
#[case::report(Probe::Report)]
#[case::health(Probe::Health("/healthz".into()))]
fn malformed_answer_to_a_probe_shows_no_endpoint(
    #[case] probe: Probe,
    #[values(200, 404, 503)] status: u16,
) {
    let is_taken = |form| call(form, status, "{}", async |to| ask(to, &probe).await).is_some();
    assert!(is_taken(WHOLE));
    assert_eq!(believed(is_taken), [""; 0]);
}

#[rstest]
#[case::report(Probe::Report, 200, Some(5))]
#[case::failed_report(Probe::Report, 500, None)]
#[case::health(Probe::Health("/healthz".into()), 200, None)]
fn start_of_an_endpoint_is_read_from_a_report_alone(
    #[case] probe: Probe,
    #[case] status: u16,
    #[case] started_ms: Option<u64>,
) {
    let stated = call(WHOLE, status, r#"{"born":5}"#, async |to| ask(to, &probe).await);
    assert_eq!(stated, Some(Identity { id: None, started_ms }));
}

#[rstest]
fn malformed_answer_to_a_copy_leaves_its_outcome_unknown(
    #[values(200, 404, 409, 503)] status: u16,
    #[values(false, true)] last: bool,
) {
    let is_taken = |form| call(form, status, HANDLE, async |to| copy(to, last).await).is_some();
    assert!(is_taken(WHOLE));
    assert_eq!(believed(is_taken), [""; 0]);
}

#[test]
fn malformed_answer_does_not_say_that_a_copy_is_freed() {
    let is_taken = |form| call(form, 200, "{}", free);
    assert!(is_taken(WHOLE));
    assert_eq!(believed(is_taken), [""; 0]);
}

const EXPLANATION: &str = r#"{"service":"plain","prefix":"/x","urgency":1,"timeout_ms":800,
    "target_ms":300,"queued":0,"choices":[],"outcome":"waits"}"#;

#[rstest]
#[case::explanation(200, EXPLANATION, 0)]
#[case::problem(404, r#"{"detail":"no route"}"#, 1)]
fn malformed_answer_to_a_question_is_not_printed(
    #[case] status: u16,
    #[case] body: &'static str,
    #[case] code: i32,
) {
    let explain = |form: Form| {
        let instance = form.serve(status, body).to_string();
        let out = Command::new(env!("CARGO_BIN_EXE_skylarkthread"))
            .args(["explain", "--instance", &instance, "--host", "app.example", "--path", "/x"])
            .output()
            .expect("the binary runs");
        (out.status.code(), out.stdout.is_empty())
    };
    assert_eq!(explain(WHOLE), (Some(code), status != 200));
    assert_eq!(believed(|form| explain(form) != (Some(2), true)), [""; 0]);
}
