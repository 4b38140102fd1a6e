//! The demonstration: both deployments at a small scale, with streams, bookings and faults.

use crate::caller::{Caller, RequestError, StreamEnd};
use crate::engine::Params;
use crate::fleet::{Fleet, Plan, Pool};
use skylarkthread::clock;
use std::path::PathBuf;
use std::process::ExitCode;

/// Streams of each deployment.
const STREAMS: usize = 24;
/// Calls of each deployment that may not be repeated.
const CALLS: usize = 12;

struct Deployment {
    name: &'static str,
    text: &'static str,
    model: &'static str,
    generate: &'static str,
    plain: &'static str,
    path: &'static str,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Vigilwell",
        text: include_str!("../../../examples/vigilwell.jsonc"),
        model: "caption-large",
        generate: "captions",
        plain: "booking",
        path: "/bookings",
    },
    Deployment {
        name: "Cymdeithas Offer Ffilm Cymru",
        text: include_str!("../../../examples/offer-ffilm.jsonc"),
        model: "hire-draft",
        generate: "drafts",
        plain: "hire-booking",
        path: "/holds",
    },
];

/// Counts checks and prints each.
#[derive(Debug, Default)]
struct Checks {
    failed: usize,
}

impl Checks {
    fn check(&mut self, what: &str, holds: bool) {
        println!("  {} {what}", if holds { "ok  " } else { "FAIL" });
        self.failed += usize::from(!holds);
    }
}

/// Finds the binary of the daemons beside this one.
pub fn daemon_binary() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    let binary = own.with_file_name("skylarkthread");
    binary.exists().then_some(binary)
}

/// Runs the demonstration and prints what happened.
pub fn run() -> ExitCode {
    let Some(binary) = daemon_binary() else {
        eprintln!("the daemons' binary is not built; run `cargo build --release --workspace`");
        return ExitCode::FAILURE;
    };
    let mut checks = Checks::default();
    for d in &DEPLOYMENTS {
        actix_rt::System::new().block_on(deployment(&binary, d, &mut checks));
    }
    println!("{} checks failed", checks.failed);
    if checks.failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn deployment(binary: &std::path::Path, d: &Deployment, checks: &mut Checks) {
    println!("{}: 3 data centres, 3 entries, 6 engines, 3 replicas of {}", d.name, d.plain);
    let plan = Plan {
        entries: 3,
        pools: vec![Pool::Engines(d.model, 6, Params::default()), Pool::Plain(d.plain, 3)],
        ..Plan::default()
    };
    let mut fleet = Fleet::start(binary, &plan);
    let up = clock::now();
    while fleet.status(0).await.is_none() && up.elapsed().as_secs() < 10 {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    println!("  submitting the text");
    let (code, out) = fleet.submit(d.text, 0);
    checks.check(&format!("submit: {}", out.trim()), code == 0);
    checks.check("in force on every entry, models loaded", fleet.wait_all_ready(1).await);
    streams(&fleet, d, checks).await;
    calls(&fleet, d, checks).await;
    crash(&mut fleet, d, checks).await;
    let (_, line) = fleet.run_command(&["timeline", "--kind", "EngineLost"]);
    checks.check("the time line has the crash", line.contains("EngineLost"));
    stop(&mut fleet, checks);
}

async fn streams(fleet: &Fleet, d: &Deployment, checks: &mut Checks) {
    println!("  sending {STREAMS} streams");
    let reads = (0..STREAMS).map(|n| async move {
        let caller = Caller::new(&format!("key-{}", n % 10));
        let prompt = format!("output={}; stream {n}", 20 + n * 4);
        let mut reading = caller.open(fleet.entry_address(n), d.generate, &prompt, 1000).await?;
        let end = reading.finish().await;
        Ok::<_, RequestError>((end, reading.tokens.len() == 20 + n * 4, reading.faults()))
    });
    let all = futures_util::future::join_all(reads).await;
    let is_whole =
        |r: &Result<_, _>| matches!(r, Ok((StreamEnd::Done(_), true, f)) if Vec::is_empty(f));
    let whole = all.iter().filter(|r| is_whole(r)).count();
    all.iter().filter(|r| !is_whole(r)).for_each(|r| println!("  {r:?}"));
    checks.check(&format!("{whole} of {STREAMS} streams whole, in order, once"), whole == STREAMS);
}

async fn calls(fleet: &Fleet, d: &Deployment, checks: &mut Checks) {
    println!("  sending {CALLS} calls that may not be repeated, each three times");
    let path = format!("/s/{}{}", d.plain, d.path);
    let mut answered = 0;
    for n in 0..CALLS {
        let caller = Caller::new("key-1");
        let body = format!("call {n}");
        let minted = caller.mint_key(fleet.entry_address(n), d.plain).await.unwrap_or_default();
        // Keys of both kinds: minted here, and chosen by the caller.
        let key = if n % 2 == 0 { minted } else { format!("own-{n}") };
        for again in 0..3 {
            let sent =
                caller.call(fleet.entry_address(n + again), "POST", &path, Some(&key), &body);
            answered += usize::from(sent.await.is_ok());
        }
    }
    checks.check(&format!("{answered} of {} answered", CALLS * 3), answered == CALLS * 3);
    let once = fleet.call_log.counts().values().filter(|n| **n == 1).count();
    checks.check(&format!("{once} of {CALLS} ran exactly once"), once == CALLS);
}

async fn crash(fleet: &mut Fleet, d: &Deployment, checks: &mut Checks) {
    println!("  crashing an engine under 6 streams");
    let mut open = Vec::new();
    for n in 0..6 {
        let caller = Caller::new("key-2");
        let prompt = format!("output=200; crash test {n}");
        match caller.open(fleet.entry_address(n), d.generate, &prompt, 1000).await {
            Ok(mut r) => {
                r.next().await;
                open.push(r);
            }
            Err(e) => println!("  stream {n}: {e:?}"),
        }
    }
    fleet.crash_backend(0);
    let mut honest = 0;
    let mut broken = 0;
    for r in &mut open {
        match r.finish().await {
            StreamEnd::Done(_) => {
                honest += usize::from(r.tokens.len() == 200 && r.faults().is_empty())
            }
            StreamEnd::Broken(outcome) => {
                broken += 1;
                honest += usize::from(outcome == "incomplete" && r.faults().is_empty());
            }
            StreamEnd::Dropped => println!("  dropped after {} tokens", r.tokens.len()),
        }
    }
    let what = format!("{honest} of 6 whole or honestly incomplete ({broken} incomplete)");
    checks.check(&what, honest == 6);
}

fn stop(fleet: &mut Fleet, checks: &mut Checks) {
    println!("  asking every process to stop");
    fleet.entries.iter().for_each(|e| e.daemon.terminate());
    fleet.endpoints.iter().for_each(|e| e.sidecar.terminate());
    let wait = std::time::Duration::from_secs(10);
    let entries = fleet.entries.iter_mut().map(|e| e.daemon.wait_exit(wait));
    let sidecars = fleet.endpoints.iter_mut().map(|e| e.sidecar.wait_exit(wait));
    let codes: Vec<_> = entries.chain(sidecars).collect();
    let is_clean = codes.iter().all(|code| *code == Some(0));
    if !is_clean {
        println!("  exit codes: {codes:?}");
    }
    checks.check("every process ended by itself with exit code 0", is_clean);
}
