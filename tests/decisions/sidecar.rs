//! Statuses of an engine's response to a submission and to the resumption of a stream.

use rstest::rstest;
use skylarkthread::sidecar::status::{StreamStatus, classify};

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
    assert_eq!(classify(status, false), expected);
}

#[test]
fn no_status_of_a_resumption_says_that_the_generation_has_not_run() {
    for status in 100..600 {
        assert_ne!(classify(status, true), StreamStatus::NotRun, "{status}");
    }
    assert_eq!(classify(404, true), StreamStatus::Forgotten);
    assert_eq!(classify(503, true), StreamStatus::MayRun);
    assert_eq!(classify(200, true), StreamStatus::Open);
}
