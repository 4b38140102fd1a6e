//! Randomized fault soak: runs gateways as processes, injects faults from outside, and checks the
//! promises against what callers and endpoints observed.

mod callers;
pub mod checker;
mod cluster;
pub mod faults;

use checker::Violation;
pub use faults::Sizes;
use serde_json::json;
use std::path::Path;
use std::time::Duration;

/// Result of the run of one seed.
#[derive(Debug)]
pub struct RunReport {
    /// Seed of the faults and requests.
    pub seed: u64,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests by status; 0 stands for requests without a response.
    pub statuses: std::collections::BTreeMap<u16, usize>,
    /// Number of times that a generation was continued on another engine.
    pub moved: usize,
    /// Faults with their times since the start in milliseconds.
    pub faults: Vec<(u128, String)>,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Directory with the logs of the gateways, if a promise was broken.
    pub logs: Option<std::path::PathBuf>,
}

impl RunReport {
    /// Returns the report as one line of JSON.
    pub fn to_json(&self) -> String {
        let violations: Vec<_> = self
            .violations
            .iter()
            .map(|v| json!({ "promise": v.promise, "subject": v.subject, "seen": v.observed }))
            .collect();
        json!({
            "seed": self.seed, "requests": self.requests, "statuses": self.statuses,
            "moved": self.moved, "faults": self.faults, "violations": violations,
            "logs": self.logs,
        })
        .to_string()
    }
}

/// Runs a seed under load for `length`.
pub fn run(binary: &Path, seed: u64, length: Duration, sizes: Sizes) -> RunReport {
    cluster::Cluster::start(binary, seed, sizes).run(length)
}
