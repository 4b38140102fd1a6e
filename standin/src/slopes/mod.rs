//! Measures what one daemon costs as what it has to do with grows.

mod peers;

use crate::caller::Caller;
use crate::demo;
use crate::engine::Params;
use crate::fleet::{Fleet, Plan, Pool};
use peers::Crowd;
use skylarkthread::clock;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Time over which costs are counted.
const WINDOW: Duration = Duration::from_secs(8);
/// Time before it, for links and the text to settle.
const SETTLE: Duration = Duration::from_secs(5);
/// Clock ticks a second in `/proc`.
const TICKS: f64 = 100.0;

/// What a process has used so far.
#[derive(Debug, Clone, Copy)]
struct Usage {
    cpu: f64,
    memory: f64,
}

/// Reads processor time in seconds and memory in megabytes of a process.
fn usage(pid: u32) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("VmRSS"))?;
    let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(Usage { cpu: ticks / TICKS, memory: kb / 1024.0 })
}

async fn watch(pid: u32) -> Option<(f64, f64)> {
    tokio::time::sleep(SETTLE).await;
    let before = usage(pid)?;
    tokio::time::sleep(WINDOW).await;
    let after = usage(pid)?;
    Some(((after.cpu - before.cpu) / WINDOW.as_secs_f64(), after.memory))
}

/// Measures slopes, all or the one named, and prints a table.
pub fn run(only: Option<&str>) -> ExitCode {
    let Some(binary) = demo::daemon_binary() else {
        eprintln!("the daemons' binary is not built; run `cargo build --release --workspace`");
        return ExitCode::FAILURE;
    };
    actix_rt::System::new().block_on(async {
        println!("what | n | processor % of a core | memory MB | KB/s of messages");
        let is_asked = |name: &str| only.is_none_or(|o| o == name);
        for n in [0, 8, 16, 32].into_iter().filter(|_| is_asked("endpoints")) {
            endpoints(&binary, n).await;
        }
        for n in [0, 8, 16].into_iter().filter(|_| is_asked("entries")) {
            entries(&binary, n).await;
        }
        for n in [10, 18_000, 36_000].into_iter().filter(|_| is_asked("workspaces")) {
            workspaces(&binary, n).await;
        }
        for n in [0, 16, 32].into_iter().filter(|_| is_asked("streams")) {
            streams(&binary, n).await;
        }
    });
    ExitCode::SUCCESS
}

fn print(what: &str, n: usize, used: Option<(f64, f64)>, bytes: Option<f64>) {
    let Some((cpu, memory)) = used else { return println!("{what} | {n} | no reading") };
    let bytes = bytes.map_or("-".into(), |b| format!("{:.1}", b / 1024.0));
    println!("{what} | {n} | {:.2} | {memory:.1} | {bytes}", cpu * 100.0);
}

/// An idle entry linked to `n` idle sidecars.
async fn endpoints(binary: &Path, n: usize) {
    let fleet = Fleet::start(binary, &Plan { entries: 1, centres: 1, ..Plan::default() });
    let crowd = Crowd::sidecars(n, &fleet);
    let pid = fleet.entries[0].daemon.id();
    tokio::time::sleep(SETTLE).await;
    let before = crowd.bytes();
    let used = watch(pid).await;
    let bytes = (crowd.bytes() - before) as f64 / (SETTLE + WINDOW).as_secs_f64();
    print("entry: idle links to endpoints", n, used, Some(bytes));
}

/// An idle entry among `n` others.
async fn entries(binary: &Path, n: usize) {
    let fleet = Fleet::start(binary, &Plan { entries: 1, centres: 1, ..Plan::default() });
    let crowd = Crowd::entries(n, &fleet);
    let pid = fleet.entries[0].daemon.id();
    tokio::time::sleep(SETTLE).await;
    let before = crowd.bytes();
    let used = watch(pid).await;
    let bytes = (crowd.bytes() - before) as f64 / (SETTLE + WINDOW).as_secs_f64();
    print("entry: other entries", n, used, Some(bytes));
}

/// An entry and a sidecar with a text of `n` workspaces.
async fn workspaces(binary: &Path, n: usize) {
    let plan =
        Plan { entries: 1, centres: 1, pools: vec![Pool::Plain("booking", 1)], ..Plan::default() };
    let fleet = Fleet::start(binary, &plan);
    let up = async || fleet.status(0).await.is_some();
    while !up().await {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let rows: Vec<String> = (0..n)
        .map(|ix| format!("\"w-{ix}\": {{ \"keys\": [\"{ix:064x}\"], \"weight\": 1 }}"))
        .collect();
    let services = "\"services\": { \"booking\": { \"kind\": \"plain\" } }";
    let text = format!("{{ {services}, \"workspaces\": {{\n{}\n}} }}\n", rows.join(",\n"));
    let asked = clock::now();
    let (code, out) = fleet.submit(&text, 0);
    let taken = asked.elapsed();
    let is_in_force = fleet.wait_ready(0, 1, 1, Duration::from_secs(30)).await;
    let whole = asked.elapsed();
    print("entry: workspaces in the text", n, watch(fleet.entries[0].daemon.id()).await, None);
    let sidecar = usage(fleet.endpoints[0].sidecar.id()).map(|u| (0.0, u.memory));
    print("sidecar: workspaces in the text", n, sidecar, None);
    let calls: u64 = fleet.store.calls().values().sum();
    println!(
        "  {} KB of text; submit {taken:.1?} (exit {code}); in force {whole:.1?} {is_in_force}; \
         {calls} calls of the store so far; {}",
        text.len() / 1024,
        out.trim()
    );
}

/// An entry and a sidecar that relay `n` streams.
async fn streams(binary: &Path, n: usize) {
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
    let both = futures_util::join!(watch(fleet.entries[0].daemon.id()), watch(sidecar));
    print("entry: streams of 50 tokens/s", n, both.0, None);
    print("sidecar: streams of 50 tokens/s", n, both.1, None);
}
