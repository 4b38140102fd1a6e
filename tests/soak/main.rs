//! Fault soak: short runs, among them one of a seed that failed before, and tests that the checker
//! detects a violation of each promise.

mod checker;
mod proxy;

use rstest::rstest;
use standin::soak;
use std::path::Path;
use std::time::Duration;

#[rstest]
#[case::short(2)]
#[case::stops_and_pauses(4)]
// The proxy discarded bytes in the middle of a connection and passed on those that followed.
#[case::silent_engine_link(609)]
// Streams that an engine ended inside an event were passed on as complete.
#[case::cut_streams(800)]
// The stand-in of an engine gave a continued generation the name of a new run.
#[case::cut_after_a_move(1017)]
// A part of prompts crashes engines.
#[case::crashing_part(2000)]
fn seeded_run_breaks_no_promise(#[case] seed: u64) {
    check_run(seed, Duration::from_secs(6));
}

// Instances that started again did not know of the crashes before.
#[test]
fn seeded_run_with_restarts_between_crashes_breaks_no_promise() {
    check_run(2117, Duration::from_secs(20));
}

#[test]
fn seeded_run_with_limited_endpoints_breaks_no_promise() {
    check_run(3000, Duration::from_secs(15));
}

#[test]
fn seeded_run_with_evacuations_breaks_no_promise() {
    check_run(4000, Duration::from_secs(20));
}

#[test]
fn seeded_run_with_keys_of_others_breaks_no_promise() {
    check_run(5000, Duration::from_secs(15));
}

fn check_run(seed: u64, length: Duration) {
    let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let report = soak::run(binary, seed, length, soak::Sizes::default());
    println!("{}", report.to_json());
    assert!(report.requests > 50, "too few requests: {}", report.requests);
    assert_eq!(report.violations, []);
}
