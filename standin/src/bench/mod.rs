//! The measurement of decisions: the real daemons before engine stand-ins, under recorded seeds.

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

/// What to measure.
#[derive(Debug, Clone)]
pub struct Options {
    /// Workloads by name.
    pub workloads: Vec<Workload>,
    /// Policies by name.
    pub policies: Vec<Policy>,
    /// Loads as shares of capacity.
    pub loads: Vec<f64>,
    /// Time of arrivals that are measured.
    pub window: Duration,
    /// Seeds; each makes a round of all policies.
    pub seeds: Vec<u64>,
    /// Kills engines and an entry, and silences links, during the window.
    pub faults: bool,
    /// Folder for the JSON and the plots.
    pub out: PathBuf,
}

/// How requests are placed and admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The system's own decisions.
    Forecast,
    /// Each endpoint in turn, admitted at once.
    RoundRobin,
    /// The fewest requests of the entry, admitted at once.
    LeastRequests,
    /// The less loaded of two, admitted at once.
    TwoChoices,
    /// In turn and at once, on engines with ten times the memory.
    Unpressured,
}

impl Policy {
    /// Lists all policies.
    pub const ALL: [Policy; 5] = [
        Policy::Forecast,
        Policy::RoundRobin,
        Policy::LeastRequests,
        Policy::TwoChoices,
        Policy::Unpressured,
    ];

    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Forecast => "forecast",
            Policy::RoundRobin => "round-robin",
            Policy::LeastRequests => "least-requests",
            Policy::TwoChoices => "two-choices",
            Policy::Unpressured => "unpressured",
        }
    }

    /// Finds a policy by its name.
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

/// Runs all cells, interleaved by policy, and prints a table.
pub fn run(options: &Options) -> ExitCode {
    let Some(binary) = demo::daemon_binary() else {
        eprintln!("the daemons' binary is not built; run `cargo build --release --workspace`");
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
    let broken: u64 = rows.iter().map(Row::broken).sum();
    println!("{broken} broken promises");
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
