//! Benchmark of placement and admission against baselines.
//!
//! Runs the daemons with stand-in engines under arrivals that are drawn from given seeds.

mod report;
mod run;
mod workload;

pub use workload::Workload;

use crate::demo;
use report::Row;
use run::Cell;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Cells to measure, one for each combination of workload, load, seed and policy.
#[derive(Debug, Clone)]
pub struct Options {
    /// Workloads to run.
    pub workloads: Vec<Workload>,
    /// Policies to compare.
    pub policies: Vec<Policy>,
    /// Loads as shares of [`Workload::capacity`].
    pub loads: Vec<f64>,
    /// Length of the measured window of each cell.
    pub window: Duration,
    /// Seeds of the arrivals; all policies run with each of them.
    pub seeds: Vec<u64>,
    /// Whether an engine, a sidecar and an entry are restarted and another sidecar is paused during
    /// the window.
    pub faults: bool,
    /// Directory for the JSON and the plot.
    pub out: PathBuf,
}

/// Policy of placement and admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The system's own placement and admission.
    Forecast,
    /// Each endpoint in turn, without admission control.
    RoundRobin,
    /// The endpoint with the fewest open requests of the entry, without admission control.
    LeastRequests,
    /// The less loaded of two random endpoints, without admission control.
    TwoChoices,
    /// As `RoundRobin`, on engines with ten times the memory.
    Unpressured,
}

impl Policy {
    /// All policies in the order of the table.
    pub const ALL: [Policy; 5] = [
        Policy::Forecast,
        Policy::RoundRobin,
        Policy::LeastRequests,
        Policy::TwoChoices,
        Policy::Unpressured,
    ];

    /// Returns the name on the command line and in the output.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Forecast => "forecast",
            Policy::RoundRobin => "round-robin",
            Policy::LeastRequests => "least-requests",
            Policy::TwoChoices => "two-choices",
            Policy::Unpressured => "unpressured",
        }
    }

    /// Returns the policy with a name, or `None` if there is none.
    pub fn find(name: &str) -> Option<Policy> {
        Policy::ALL.into_iter().find(|p| p.name() == name)
    }

    fn placement(self) -> &'static str {
        if self == Policy::Unpressured { "round-robin" } else { self.name() }
    }

    fn admission(self) -> &'static str {
        if self == Policy::Forecast { "forecast" } else { "open" }
    }

    fn memory_factor(self) -> u32 {
        if self == Policy::Unpressured { 10 } else { 1 }
    }
}

/// Runs all cells, prints a table and writes the files. The policies alternate within each seed.
pub fn run(options: &Options) -> ExitCode {
    let Some(binary) = demo::daemon_binary() else {
        eprintln!(
            "`skylarkthread` not found beside this binary; run `cargo build --release --workspace`"
        );
        return ExitCode::FAILURE;
    };
    let mut rows: Vec<Row> = Vec::new();
    println!("{}", Row::header());
    for workload in &options.workloads {
        for load in &options.loads {
            for seed in &options.seeds {
                for policy in &options.policies {
                    let cell = Cell {
                        workload: *workload,
                        policy: *policy,
                        load: *load,
                        window: options.window,
                        seed: *seed,
                        faults: options.faults,
                    };
                    let row = cell.run(&binary);
                    println!("{row}");
                    rows.push(row);
                }
            }
        }
    }
    if let Err(e) = report::write(&options.out, &rows) {
        eprintln!("{}: {e}", options.out.display());
        return ExitCode::FAILURE;
    }
    let violations: u64 = rows.iter().map(Row::violation_count).sum();
    println!("{violations} broken promises");
    if violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
