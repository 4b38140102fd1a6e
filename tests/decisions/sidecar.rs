//! What a sidecar makes of the responses of its engine.

use rstest::rstest;
use skylarkthread::sidecar::documents::{self, FaultLog};
use skylarkthread::sidecar::status::{Standing, StreamStatus, classify};

#[rstest]
#[case::accepted(200, StreamStatus::Open)]
#[case::invalid(400, StreamStatus::NotRun)]
#[case::no_such_model(404, StreamStatus::NotRun)]
#[case::busy(429, StreamStatus::NotRun)]
#[case::unavailable(503, StreamStatus::NotRun)]
#[case::internal_error(500, StreamStatus::MayRun)]
#[case::bad_gateway(502, StreamStatus::MayRun)]
#[case::gateway_timeout(504, StreamStatus::MayRun)]
fn only_a_refused_submission_has_not_run(#[case] status: u16, #[case] expected: StreamStatus) {
    assert_eq!(classify(status, Standing::New), expected);
}

#[test]
fn no_status_of_a_resumption_says_that_the_generation_has_not_run() {
    for status in 100..600 {
        assert_ne!(classify(status, Standing::Known), StreamStatus::NotRun, "{status}");
        assert_ne!(classify(status, Standing::Held), StreamStatus::NotRun, "{status}");
    }
    assert_eq!(classify(404, Standing::Known), StreamStatus::Forgotten);
    assert_eq!(classify(503, Standing::Known), StreamStatus::MayRun);
    assert_eq!(classify(200, Standing::Known), StreamStatus::Open);
    assert_eq!(classify(503, Standing::Held), StreamStatus::Forgotten);
    assert_eq!(classify(500, Standing::Held), StreamStatus::MayRun);
    assert_eq!(classify(200, Standing::Held), StreamStatus::Open);
}

#[rstest]
#[case::capacity(r#"{"boot":"b","capacity":null,"batch":8,"loaded":["m"]}"#, &["capacity"])]
#[case::models(r#"{"boot":"b","capacity":900,"batch":[8],"loaded":"m"}"#, &["loaded", "batch"])]
#[case::range(r#"{"boot":7,"capacity":1e999,"batch":8,"loaded":["m"]}"#, &["capacity"])]
fn field_of_a_report_that_cannot_be_read_stays_as_it_was(
    #[case] report: &str,
    #[case] fields: &[&str],
) {
    let whole = br#"{"boot":"b","capacity":900,"batch":8,"block":4,"loaded":["m"]}"#;
    let read = |text: &[u8], faults: &mut Vec<_>| documents::read_load(text, faults);
    let last = read(whole, &mut Vec::new()).and_then(|r| r.into_engine(None));
    assert_eq!(last.as_ref().map(|e| (e.capacity, e.batch, e.block)), Some((900, 8, 4)));
    let mut faults = Vec::new();
    let report = read(report.as_bytes(), &mut faults).expect("a part can be read");
    assert_eq!(faults.iter().map(|fault| fault.field).collect::<Vec<_>>(), fields);
    assert_eq!(report.clone().into_engine(None), None);
    assert_eq!(report.into_engine(last.as_ref()), last);
    let mut log = FaultLog::default();
    assert!(log.record(&faults[0], false) && !log.record(&faults[0], false));
    assert!(log.record(&faults[0], true));
}

#[rstest]
#[case::no_json("<html>")]
#[case::no_object("7")]
#[case::other_object(r#"{"boot":"b","status":"ok"}"#)]
fn document_without_a_report_is_none(#[case] body: &str) {
    let mut faults = Vec::new();
    assert_eq!(documents::read_load(body.as_bytes(), &mut faults), None);
    assert!(!faults.is_empty());
}
