//! Totals of a cell, its row in the table, and the files of a run.

use super::run::Cell;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// Longest time that histograms tell apart, in microseconds.
const LONGEST: u64 = 600_000_000;

/// What callers and engines counted.
#[derive(Debug)]
pub struct Totals {
    /// Requests of the window.
    pub asked: u64,
    /// Whole answers.
    pub whole: u64,
    /// Answers that broke off.
    pub broken: u64,
    /// Requests that were given up after refusals.
    pub given_up: u64,
    /// Answers that did not end in time.
    pub unfinished: u64,
    /// Tokens of whole answers that came within the window.
    pub tokens: u64,
    /// Answers that lack tokens.
    pub lost: u64,
    /// Answers with a token twice.
    pub doubled: u64,
    /// Answers of two generations.
    pub mixed: u64,
    /// Calls sent that may not be repeated.
    pub calls: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls that ran twice.
    pub twice: u64,
    /// Calls refused as not run.
    pub not_run: Vec<String>,
    /// Calls refused as not run that ran.
    pub false_not_run: u64,
    /// Generations that engines dropped.
    pub preemptions: u64,
    /// Generations that sidecars took off.
    pub holds: u64,
    /// Refusals by kind.
    pub refusals: BTreeMap<String, u64>,
    /// Tokens by workspace.
    pub by_workspace: BTreeMap<usize, u64>,
    /// Longest stall by service, in microseconds.
    pub longest: BTreeMap<&'static str, u64>,
    gaps: Histogram<u64>,
    firsts: Histogram<u64>,
    stalls: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST, 3).expect("the bounds are valid")
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
            longest: BTreeMap::new(),
            gaps: histogram(),
            firsts: histogram(),
            stalls: histogram(),
        }
    }
}

fn micros(d: Duration) -> u64 {
    (d.as_micros() as u64).clamp(1, LONGEST)
}

impl Totals {
    /// Adds what another caller counted.
    pub fn add(&mut self, o: Totals) {
        self.asked += o.asked;
        self.whole += o.whole;
        self.broken += o.broken;
        self.given_up += o.given_up;
        self.unfinished += o.unfinished;
        self.tokens += o.tokens;
        self.lost += o.lost;
        self.doubled += o.doubled;
        self.mixed += o.mixed;
        self.calls += o.calls;
        self.answered += o.answered;
        self.not_run.extend(o.not_run);
        for (kind, n) in o.refusals {
            *self.refusals.entry(kind).or_default() += n;
        }
        for (workspace, n) in o.by_workspace {
            *self.by_workspace.entry(workspace).or_default() += n;
        }
        for (service, n) in o.longest {
            let longest = self.longest.entry(service).or_default();
            *longest = n.max(*longest);
        }
        self.gaps += o.gaps;
        self.firsts += o.firsts;
        self.stalls += o.stalls;
    }

    /// Notes the time to the first token.
    pub fn first_token(&mut self, time: Option<Duration>) {
        if let Some(time) = time {
            self.firsts.saturating_record(micros(time));
        }
    }

    /// Notes the time between two tokens.
    pub fn gap(&mut self, time: Duration) {
        self.gaps.saturating_record(micros(time));
    }

    /// Notes the time that one answer stood still.
    pub fn stall(&mut self, service: &'static str, time: Duration) {
        self.stalls.saturating_record(micros(time));
        let longest = self.longest.entry(service).or_default();
        *longest = micros(time).max(*longest);
    }
}

/// One row of the table.
#[derive(Debug)]
pub struct Row {
    /// What was run.
    pub cell: Cell,
    /// What was counted.
    pub totals: Totals,
}

fn ms(h: &Histogram<u64>, quantile: f64) -> f64 {
    h.value_at_quantile(quantile) as f64 / 1000.0
}

impl Row {
    /// Returns the head of the table.
    pub fn header() -> &'static str {
        "workload   load policy          seed | preempt holds | stall p99 ms sum s max ms | \
         gap p50 p99 p99.9 ms | first p50 p95 ms | good tok/s | asked whole broken given-up \
         unfinished refusals | lost doubled mixed twice false-not-run"
    }

    /// Counts promises that were broken.
    pub fn broken(&self) -> u64 {
        let t = &self.totals;
        t.lost + t.doubled + t.mixed + t.twice + t.false_not_run
    }

    fn stalled(&self) -> f64 {
        let all = self.totals.stalls.iter_recorded();
        all.map(|v| v.value_iterated_to() as f64 * v.count_since_last_iteration() as f64)
            .sum::<f64>()
            / 1e6
    }

    fn goodput(&self) -> f64 {
        self.totals.tokens as f64 / self.cell.window.as_secs_f64()
    }

    fn json(&self) -> Value {
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
            "stall_ms": quantiles(&t.stalls), "stall_sum_s": self.stalled(),
            "longest_stall_us": t.longest, "gap_ms": quantiles(&t.gaps),
            "first_ms": quantiles(&t.firsts), "goodput": self.goodput(),
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
            self.stalled(),
            t.stalls.max() as f64 / 1000.0,
        )?;
        write!(
            f,
            "{:>5.1} {:>6.1} {:>6.1} | {:>6.0} {:>6.0} | {:>7.0} | ",
            ms(&t.gaps, 0.5),
            ms(&t.gaps, 0.99),
            ms(&t.gaps, 0.999),
            ms(&t.firsts, 0.5),
            ms(&t.firsts, 0.95),
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

/// Tells why the files of a run could not be written.
#[derive(Debug)]
pub enum WriteError {
    /// The folder or a file cannot be written.
    File(std::io::Error),
    /// The plot cannot be drawn.
    Plot,
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WriteError::File(e) => write!(f, "{e}"),
            WriteError::Plot => write!(f, "the plot cannot be drawn"),
        }
    }
}

/// Writes the rows as JSON, and the distribution of gaps as a plot.
///
/// # Errors
///
/// Returns [`WriteError`] where the folder cannot be written.
pub fn write(folder: &Path, rows: &[Row]) -> Result<(), WriteError> {
    std::fs::create_dir_all(folder).map_err(WriteError::File)?;
    let all: Vec<Value> = rows.iter().map(Row::json).collect();
    let text = serde_json::to_string_pretty(&all).unwrap_or_default();
    std::fs::write(folder.join("bench.json"), text).map_err(WriteError::File)?;
    plot(&folder.join("gaps.svg"), rows).map_err(|_| WriteError::Plot)
}

/// Draws the time between tokens over quantiles, one line per row.
fn plot(
    file: &Path,
    rows: &[Row],
) -> Result<(), DrawingAreaErrorKind<<SVGBackend<'static> as DrawingBackend>::ErrorType>> {
    let root = SVGBackend::new(file, (1000, 600)).into_drawing_area();
    root.fill(&WHITE)?;
    let quantile = |n: u32| 1.0 - 0.5f64.powf(f64::from(n) / 4.0);
    let most = rows.iter().map(|r| ms(&r.totals.gaps, 0.9999)).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .margin(20)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0f64..13f64, (1f64..most * 1.2).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("quantile, as halvings of the rest (10 is 99.9%)")
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
