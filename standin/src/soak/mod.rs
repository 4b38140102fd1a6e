//! A randomized soak: real gateways as processes, harmed from outside, judged by what callers and
//! endpoints see.

pub mod checker;
mod cluster;
pub mod faults;

use checker::Violation;
use serde_json::json;
use std::path::Path;
use std::time::Duration;

/// What became of one seed.
#[derive(Debug)]
pub struct RunReport {
    /// Seed.
    pub seed: u64,
    /// Requests sent.
    pub requests: usize,
    /// Requests by status; 0 where nothing came back.
    pub statuses: std::collections::BTreeMap<u16, usize>,
    /// Generations that went on at another engine.
    pub moved: usize,
    /// Faults, with their times in milliseconds.
    pub faults: Vec<(u128, String)>,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Where the logs of the processes are kept, for a seed that failed.
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

/// Runs one seed.
pub fn run(binary: &Path, seed: u64, length: Duration) -> RunReport {
    cluster::Cluster::start(binary, seed).play(length)
}
