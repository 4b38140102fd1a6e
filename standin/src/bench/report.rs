//! Totals of a cell, its row in the table, and the output files.

use super::run::Cell;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// Upper bound of recorded times, in microseconds.
const MAX_TIME_US: u64 = 600_000_000;

/// Counts of callers and engines in a cell.
#[derive(Debug)]
pub struct Totals {
    /// Generation requests that arrived in the window.
    pub asked: u64,
    /// Requests of the window that got all their tokens.
    pub whole: u64,
    /// Requests of the window whose stream ended without all tokens.
    pub broken: u64,
    /// Requests of the window that were abandoned after refusals.
    pub given_up: u64,
    /// Streams that did not end in time, those of the warm-up included.
    pub unfinished: u64,
    /// Tokens of complete responses that arrived within the window.
    pub tokens: u64,
    /// Streams with missing tokens, plus complete streams with the wrong number of tokens.
    pub lost: u64,
    /// Streams in which a token arrived again.
    pub doubled: u64,
    /// Streams with tokens of several generations.
    pub mixed: u64,
    /// Calls sent that must not run more than once.
    pub calls: u64,
    /// Calls whose last attempt got a successful response.
    pub answered: u64,
    /// Calls that ran more than once.
    pub twice: u64,
    /// Bodies of the calls that were refused as not run.
    pub not_run: Vec<String>,
    /// Calls that were refused as not run and have run.
    pub false_not_run: u64,
    /// Preemptions by engines since the start of the window.
    pub preemptions: u64,
    /// Cancellations at engines since the start of the window; sidecars cancel a generation to hold
    /// it.
    pub holds: u64,
    /// Refusals of requests of the window by title of the problem document.
    pub refusals: BTreeMap<String, u64>,
    /// Tokens of requests of the window by workspace.
    pub by_workspace: BTreeMap<usize, u64>,
    /// Longest stall by service, in microseconds.
    pub longest_stalls: BTreeMap<&'static str, u64>,
    gaps: Histogram<u64>,
    first_tokens: Histogram<u64>,
    stalls: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_TIME_US, 3).expect("the bounds are valid")
}

impl Default for Totals {
    fn default() -> Self {
        Totals {
            asked: 0,
            whole: 0,
            broken: 0,
            given_up: 0,
            unfinished: 0,
            tokens: 0,
            lost: 0,
            doubled: 0,
            mixed: 0,
            calls: 0,
            answered: 0,
            twice: 0,
            not_run: Vec::new(),
            false_not_run: 0,
            preemptions: 0,
            holds: 0,
            refusals: BTreeMap::new(),
            by_workspace: BTreeMap::new(),
            longest_stalls: BTreeMap::new(),
            gaps: histogram(),
            first_tokens: histogram(),
            stalls: histogram(),
        }
    }
}

fn micros(d: Duration) -> u64 {
    (d.as_micros() as u64).clamp(1, MAX_TIME_US)
}

impl Totals {
    /// Adds the counts of other callers.
    pub fn add(&mut self, other: Totals) {
        self.asked += other.asked;
        self.whole += other.whole;
        self.broken += other.broken;
        self.given_up += other.given_up;
        self.unfinished += other.unfinished;
        self.tokens += other.tokens;
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.mixed += other.mixed;
        self.calls += other.calls;
        self.answered += other.answered;
        self.not_run.extend(other.not_run);
        for (kind, n) in other.refusals {
            *self.refusals.entry(kind).or_default() += n;
        }
        for (workspace, n) in other.by_workspace {
            *self.by_workspace.entry(workspace).or_default() += n;
        }
        for (service, n) in other.longest_stalls {
            let longest = self.longest_stalls.entry(service).or_default();
            *longest = n.max(*longest);
        }
        self.gaps += other.gaps;
        self.first_tokens += other.first_tokens;
        self.stalls += other.stalls;
    }

    /// Records the time from the request to the first token, if there was one.
    pub fn record_first_token(&mut self, time: Option<Duration>) {
        if let Some(time) = time {
            self.first_tokens.saturating_record(micros(time));
        }
    }

    /// Records the time between two tokens.
    pub fn record_gap(&mut self, time: Duration) {
        self.gaps.saturating_record(micros(time));
    }

    /// Records the total time for which a stream was stalled.
    pub fn record_stall(&mut self, service: &'static str, time: Duration) {
        self.stalls.saturating_record(micros(time));
        let longest = self.longest_stalls.entry(service).or_default();
        *longest = micros(time).max(*longest);
    }
}

/// Row of the table.
#[derive(Debug)]
pub struct Row {
    /// Cell that was run.
    pub cell: Cell,
    /// Counts of the cell.
    pub totals: Totals,
}

/// Returns a quantile of a histogram in milliseconds.
fn ms(h: &Histogram<u64>, quantile: f64) -> f64 {
    h.value_at_quantile(quantile) as f64 / 1000.0
}

impl Row {
    /// Returns the header line of the table.
    pub fn header() -> &'static str {
        "workload   load policy          seed | preempt holds | stall p99 ms sum s max ms | \
         gap p50 p99 p99.9 ms | first p50 p95 ms | good tok/s | asked whole broken given-up \
         unfinished refusals | lost doubled mixed twice false-not-run"
    }

    /// Returns the number of violations of the delivery and execution guarantees.
    pub fn violation_count(&self) -> u64 {
        let t = &self.totals;
        t.lost + t.doubled + t.mixed + t.twice + t.false_not_run
    }

    /// Returns the sum of all stalls in seconds.
    fn stall_sum(&self) -> f64 {
        let all = self.totals.stalls.iter_recorded();
        all.map(|v| v.value_iterated_to() as f64 * v.count_since_last_iteration() as f64)
            .sum::<f64>()
            / 1e6
    }

    /// Returns the tokens of complete responses per second of the window.
    fn goodput(&self) -> f64 {
        self.totals.tokens as f64 / self.cell.window.as_secs_f64()
    }

    fn to_json(&self) -> Value {
        let (c, t) = (&self.cell, &self.totals);
        let quantiles = |h: &Histogram<u64>| {
            json!({
                "n": h.len(), "p50": ms(h, 0.5), "p95": ms(h, 0.95), "p99": ms(h, 0.99),
                "p999": ms(h, 0.999), "max": h.max() as f64 / 1000.0
            })
        };
        json!({
            "workload": c.workload.name(), "policy": c.policy.name(), "load": c.load,
            "seed": c.seed, "faults": c.faults, "window_s": c.window.as_secs(),
            "preemptions": t.preemptions, "holds": t.holds,
            "stall_ms": quantiles(&t.stalls), "stall_sum_s": self.stall_sum(),
            "longest_stall_us": t.longest_stalls, "gap_ms": quantiles(&t.gaps),
            "first_ms": quantiles(&t.first_tokens), "goodput": self.goodput(),
            "asked": t.asked, "whole": t.whole, "broken": t.broken, "given_up": t.given_up,
            "unfinished": t.unfinished, "refusals": t.refusals, "by_workspace": t.by_workspace,
            "calls": t.calls, "answered": t.answered,
            "lost": t.lost, "doubled": t.doubled, "mixed": t.mixed, "twice": t.twice,
            "false_not_run": t.false_not_run,
        })
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (c, t) = (&self.cell, &self.totals);
        write!(
            f,
            "{:<10} {:<4} {:<15} {:>4} | {:>6} {:>5} | {:>8.0} {:>7.1} {:>7.0} | ",
            c.workload.name(),
            c.load,
            c.policy.name(),
            c.seed,
            t.preemptions,
            t.holds,
            ms(&t.stalls, 0.99),
            self.stall_sum(),
            t.stalls.max() as f64 / 1000.0,
        )?;
        write!(
            f,
            "{:>5.1} {:>6.1} {:>6.1} | {:>6.0} {:>6.0} | {:>7.0} | ",
            ms(&t.gaps, 0.5),
            ms(&t.gaps, 0.99),
            ms(&t.gaps, 0.999),
            ms(&t.first_tokens, 0.5),
            ms(&t.first_tokens, 0.95),
            self.goodput(),
        )?;
        let refusals: u64 = t.refusals.values().sum();
        write!(
            f,
            "{} {} {} {} {} {refusals} | {} {} {} {} {}",
            t.asked,
            t.whole,
            t.broken,
            t.given_up,
            t.unfinished,
            t.lost,
            t.doubled,
            t.mixed,
            t.twice,
            t.false_not_run
        )
    }
}

/// Failure to write the output files.
#[derive(Debug)]
pub enum WriteError {
    /// The directory or a file could not be written.
    File(std::io::Error),
    /// The plot could not be drawn or written.
    Plot,
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WriteError::File(e) => write!(f, "{e}"),
            WriteError::Plot => write!(f, "cannot draw the plot gaps.svg"),
        }
    }
}

/// Writes the rows as JSON and a plot of the times between tokens.
///
/// # Errors
///
/// Returns [`WriteError`] if the directory or one of the files cannot be written.
pub fn write(dir: &Path, rows: &[Row]) -> Result<(), WriteError> {
    std::fs::create_dir_all(dir).map_err(WriteError::File)?;
    let all: Vec<Value> = rows.iter().map(Row::to_json).collect();
    let text = serde_json::to_string_pretty(&all).unwrap_or_default();
    std::fs::write(dir.join("bench.json"), text).map_err(WriteError::File)?;
    plot(&dir.join("gaps.svg"), rows).map_err(|_| WriteError::Plot)
}

/// Draws the quantiles of the time between tokens, with one line per row.
fn plot(
    file: &Path,
    rows: &[Row],
) -> Result<(), DrawingAreaErrorKind<<SVGBackend<'static> as DrawingBackend>::ErrorType>> {
    let root = SVGBackend::new(file, (1000, 600)).into_drawing_area();
    root.fill(&WHITE)?;
    let quantile = |n: u32| 1.0 - 0.5f64.powf(f64::from(n) / 4.0);
    let max_gap = rows.iter().map(|r| ms(&r.totals.gaps, 0.9999)).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0f64..13f64, (1f64..max_gap * 1.2).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("quantile 1 - 2^-x (x = 10 is 99.9%)")
        .y_desc("time between tokens, ms")
        .draw()?;
    for (ix, row) in rows.iter().enumerate() {
        let color = Palette99::pick(ix).mix(0.9);
        let points =
            (0..52).map(|n| (f64::from(n) / 4.0, ms(&row.totals.gaps, quantile(n)).max(1.0)));
        let label =
            format!("{} {} {}", row.cell.workload.name(), row.cell.load, row.cell.policy.name());
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(label)
            .legend(move |(x, y)| Rectangle::new([(x, y - 3), (x + 12, y + 3)], color.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    root.present()
}
