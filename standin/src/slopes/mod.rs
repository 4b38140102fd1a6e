//! Measures the processor time and memory of one daemon against the number of endpoints, entries,
//! workspaces or streams that it deals with.

mod peers;

use crate::caller::Caller;
use crate::demo;
use crate::engine::Params;
use crate::fleet::{Fleet, Plan, Pool};
use peers::IdlePeers;
use skylarkthread::clock;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Time over which processor time and traffic are measured.
const MEASURE_TIME: Duration = Duration::from_secs(8);
/// Time before the measurement for links and the configuration to settle.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resource usage of a process.
#[derive(Debug, Clone, Copy)]
struct Usage {
    /// Processor time since the start, in seconds.
    cpu: f64,
    /// Resident memory in megabytes.
    memory: f64,
}

/// Reads the resource usage of a process, or `None` if it has ended.
fn read_usage(pid: u32) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("VmRSS"))?;
    let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(Usage { cpu: ticks / TICKS_PER_SECOND, memory: kb / 1024.0 })
}

/// Measures a process over [`MEASURE_TIME`] after [`SETTLE_TIME`]; returns the processor time per
/// second and the memory in megabytes.
async fn measure_process(pid: u32) -> Option<(f64, f64)> {
    tokio::time::sleep(SETTLE_TIME).await;
    let before = read_usage(pid)?;
    tokio::time::sleep(MEASURE_TIME).await;
    let after = read_usage(pid)?;
    Some(((after.cpu - before.cpu) / MEASURE_TIME.as_secs_f64(), after.memory))
}

/// Runs all measurements, or the one named, and prints a table.
pub fn run(only: Option<&str>) -> ExitCode {
    let Some(binary) = demo::daemon_binary() else {
        eprintln!(
            "`skylarkthread` not found beside this binary; run `cargo build --release --workspace`"
        );
        return ExitCode::FAILURE;
    };
    actix_rt::System::new().block_on(async {
        println!("what | n | processor % of a core | memory MB | KB/s of messages");
        let is_selected = |name: &str| only.is_none_or(|o| o == name);
        for n in [0, 8, 16, 32].into_iter().filter(|_| is_selected("endpoints")) {
            measure_endpoints(&binary, n).await;
        }
        for n in [0, 8, 16].into_iter().filter(|_| is_selected("entries")) {
            measure_entries(&binary, n).await;
        }
        for n in [10, 18_000, 36_000].into_iter().filter(|_| is_selected("workspaces")) {
            measure_workspaces(&binary, n).await;
        }
        for n in [0, 16, 32].into_iter().filter(|_| is_selected("streams")) {
            measure_streams(&binary, n).await;
        }
    });
    ExitCode::SUCCESS
}

/// Prints a row; `bytes` are the bytes of messages per second, `None` if they are not counted.
fn print_row(name: &str, n: usize, usage: Option<(f64, f64)>, bytes: Option<f64>) {
    let Some((cpu, memory)) = usage else { return println!("{name} | {n} | no reading") };
    let bytes = bytes.map_or("-".into(), |b| format!("{:.1}", b / 1024.0));
    println!("{name} | {n} | {:.2} | {memory:.1} | {bytes}", cpu * 100.0);
}

/// Measures an idle entry with links to `n` idle sidecars.
async fn measure_endpoints(binary: &Path, n: usize) {
    let fleet = Fleet::start(binary, &Plan { entries: 1, centres: 1, ..Plan::default() });
    let peers = IdlePeers::sidecars(n, &fleet);
    let pid = fleet.entries[0].daemon.id();
    tokio::time::sleep(SETTLE_TIME).await;
    let before = peers.bytes();
    let usage = measure_process(pid).await;
    let bytes = (peers.bytes() - before) as f64 / (SETTLE_TIME + MEASURE_TIME).as_secs_f64();
    print_row("entry: idle links to endpoints", n, usage, Some(bytes));
}

/// Measures an idle entry beside `n` other idle entries.
async fn measure_entries(binary: &Path, n: usize) {
    let fleet = Fleet::start(binary, &Plan { entries: 1, centres: 1, ..Plan::default() });
    let peers = IdlePeers::entries(n, &fleet);
    let pid = fleet.entries[0].daemon.id();
    tokio::time::sleep(SETTLE_TIME).await;
    let before = peers.bytes();
    let usage = measure_process(pid).await;
    let bytes = (peers.bytes() - before) as f64 / (SETTLE_TIME + MEASURE_TIME).as_secs_f64();
    print_row("entry: other entries", n, usage, Some(bytes));
}

/// Measures an entry and a sidecar with a configuration of `n` workspaces.
async fn measure_workspaces(binary: &Path, n: usize) {
    let plan =
        Plan { entries: 1, centres: 1, pools: vec![Pool::Plain("booking", 1)], ..Plan::default() };
    let fleet = Fleet::start(binary, &plan);
    let is_up = async || fleet.status(0).await.is_some();
    while !is_up().await {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let lines: Vec<String> = (0..n)
        .map(|ix| format!("\"w-{ix}\": {{ \"keys\": [\"{ix:064x}\"], \"weight\": 1 }}"))
        .collect();
    let services = "\"services\": { \"booking\": { \"kind\": \"plain\" } }";
    let config = format!("{{ {services}, \"workspaces\": {{\n{}\n}} }}\n", lines.join(",\n"));
    let started = clock::now();
    let (code, out) = fleet.submit(&config, 0);
    let submit_time = started.elapsed();
    let is_in_force = fleet.wait_ready(0, 1, 1, Duration::from_secs(30)).await;
    let adopt_time = started.elapsed();
    print_row(
        "entry: workspaces in the text",
        n,
        measure_process(fleet.entries[0].daemon.id()).await,
        None,
    );
    let sidecar = read_usage(fleet.endpoints[0].sidecar.id()).map(|u| (0.0, u.memory));
    print_row("sidecar: workspaces in the text", n, sidecar, None);
    let calls: u64 = fleet.store.calls().values().sum();
    println!(
        "  {} KB of text; submit {submit_time:.1?} (exit {code}); \
         in force {adopt_time:.1?} {is_in_force}; {calls} calls of the store so far; {}",
        config.len() / 1024,
        out.trim()
    );
}

/// Measures an entry and a sidecar that relay `n` streams.
async fn measure_streams(binary: &Path, n: usize) {
    let params = Params {
        capacity: 400_000,
        loaded: vec!["caption-large+memorial@v1".into()],
        sequence_time: Duration::ZERO,
        base_time: Duration::from_millis(20),
        ..Params::default()
    };
    let plan = Plan {
        entries: 1,
        centres: 1,
        pools: vec![Pool::Engines("caption-large", 1, params), Pool::Plain("booking", 1)],
        ..Plan::default()
    };
    let fleet = Fleet::start(binary, &plan);
    while fleet.status(0).await.is_none() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.submit(include_str!("../../../examples/vigilwell.jsonc"), 0);
    let _ = fleet.wait_all_ready(1).await;
    let entry = fleet.entry_address(0);
    for ix in 0..n {
        actix_rt::spawn(async move {
            let caller = Caller::new(&format!("key-{}", ix % 10));
            let prompt = format!("output=8000; stream {ix}");
            if let Ok(mut r) = caller.open(entry, "captions", &prompt, 8000).await {
                r.finish().await;
            }
        });
    }
    let sidecar = fleet.endpoints[0].sidecar.id();
    let (entry, sidecar) = futures_util::join!(
        measure_process(fleet.entries[0].daemon.id()),
        measure_process(sidecar)
    );
    print_row("entry: streams of 50 tokens/s", n, entry, None);
    print_row("sidecar: streams of 50 tokens/s", n, sidecar, None);
}
