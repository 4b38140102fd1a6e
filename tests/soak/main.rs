//! The fault soak: a short seeded run, the seeds that once failed, and proof that its judge catches
//! a mistake of each kind.

mod checker;

use rstest::rstest;
use standin::soak;
use std::path::Path;
use std::time::Duration;

#[rstest]
#[case::short(2)]
#[case::stops_and_pauses(4)]
fn seeds_break_no_promise(#[case] seed: u64) {
    let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let report = soak::run(binary, seed, Duration::from_secs(6));
    println!("{}", report.to_json());
    assert!(report.requests > 50, "the callers were served");
    assert_eq!(report.violations, []);
}
