//! The demonstration: both example deployments at a small scale, with streams, calls, an engine
//! crash and an orderly shutdown.

use crate::caller::{Caller, RequestError, StreamEnd};
use crate::engine::Params;
use crate::fleet::{Fleet, Plan, Pool};
use skylarkthread::clock;
use std::path::PathBuf;
use std::process::ExitCode;

/// Number of concurrent streams in each deployment.
const STREAM_COUNT: usize = 24;
/// Number of calls in each deployment that must not run more than once.
const CALL_COUNT: usize = 12;

struct Deployment {
    name: &'static str,
    config: &'static str,
    /// Base model of the engines.
    model: &'static str,
    /// Service that generates text.
    text_service: &'static str,
    /// Service that receives the calls.
    plain_service: &'static str,
    /// Path of the calls within the plain service.
    path: &'static str,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Vigilwell",
        config: include_str!("../../../examples/vigilwell.jsonc"),
        model: "caption-large",
        text_service: "captions",
        plain_service: "booking",
        path: "/bookings",
    },
    Deployment {
        name: "Cymdeithas Offer Ffilm Cymru",
        config: include_str!("../../../examples/offer-ffilm.jsonc"),
        model: "hire-draft",
        text_service: "drafts",
        plain_service: "hire-booking",
        path: "/holds",
    },
];

/// Prints the result of each check and counts failures.
#[derive(Debug, Default)]
struct Checks {
    failed: usize,
}

impl Checks {
    fn check(&mut self, name: &str, passed: bool) {
        println!("  {} {name}", if passed { "ok  " } else { "FAIL" });
        self.failed += usize::from(!passed);
    }
}

/// Returns the path of the daemons' binary, if there is one in the directory of this executable.
pub fn daemon_binary() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    let binary = own.with_file_name("skylarkthread");
    binary.exists().then_some(binary)
}

/// Runs the demonstration and prints its checks; fails if any check failed.
pub fn run() -> ExitCode {
    let Some(binary) = daemon_binary() else {
        eprintln!(
            "`skylarkthread` not found beside this binary; run `cargo build --release --workspace`"
        );
        return ExitCode::FAILURE;
    };
    let mut checks = Checks::default();
    for d in &DEPLOYMENTS {
        actix_rt::System::new().block_on(run_deployment(&binary, d, &mut checks));
    }
    println!("{} checks failed", checks.failed);
    if checks.failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn run_deployment(binary: &std::path::Path, d: &Deployment, checks: &mut Checks) {
    println!("{}: 3 data centres, 3 entries, 6 engines, 3 replicas of {}", d.name, d.plain_service);
    let plan = Plan {
        entries: 3,
        pools: vec![Pool::Engines(d.model, 6, Params::default()), Pool::Plain(d.plain_service, 3)],
        ..Plan::default()
    };
    let mut fleet = Fleet::start(binary, &plan);
    let started = clock::now();
    while fleet.status(0).await.is_none() && started.elapsed().as_secs() < 10 {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    println!("  submitting the text");
    let (code, out) = fleet.submit(d.config, 0);
    checks.check(&format!("submit: {}", out.trim()), code == 0);
    checks.check("in force on every entry, models loaded", fleet.wait_all_ready(1).await);
    run_streams(&fleet, d, checks).await;
    run_calls(&fleet, d, checks).await;
    crash_engine(&mut fleet, d, checks).await;
    let (_, timeline) = fleet.run_command(&["timeline", "--kind", "EngineLost"]);
    checks.check("the time line has the crash", timeline.contains("EngineLost"));
    shut_down(&mut fleet, checks);
}

/// Reads streams through all entries; checks that each is complete.
async fn run_streams(fleet: &Fleet, d: &Deployment, checks: &mut Checks) {
    println!("  sending {STREAM_COUNT} streams");
    let reads = (0..STREAM_COUNT).map(|n| async move {
        let caller = Caller::new(&format!("key-{}", n % 10));
        let prompt = format!("output={}; stream {n}", 20 + n * 4);
        let mut stream = caller.open(fleet.entry_address(n), d.text_service, &prompt, 1000).await?;
        let end = stream.finish().await;
        Ok::<_, RequestError>((end, stream.tokens.len() == 20 + n * 4, stream.faults()))
    });
    let all = futures_util::future::join_all(reads).await;
    let is_whole =
        |r: &Result<_, _>| matches!(r, Ok((StreamEnd::Done(_), true, f)) if Vec::is_empty(f));
    let whole = all.iter().filter(|r| is_whole(r)).count();
    all.iter().filter(|r| !is_whole(r)).for_each(|r| println!("  {r:?}"));
    checks.check(
        &format!("{whole} of {STREAM_COUNT} streams whole, in order, once"),
        whole == STREAM_COUNT,
    );
}

/// Sends each call three times through different entries; checks that each runs once.
async fn run_calls(fleet: &Fleet, d: &Deployment, checks: &mut Checks) {
    println!("  sending {CALL_COUNT} calls that may not be repeated, each three times");
    let path = format!("/s/{}{}", d.plain_service, d.path);
    let mut answered = 0;
    for n in 0..CALL_COUNT {
        let caller = Caller::new("key-1");
        let body = format!("call {n}");
        let minted =
            caller.mint_key(fleet.entry_address(n), d.plain_service).await.unwrap_or_default();
        // Alternates between keys issued by the entry and keys chosen by the caller.
        let key = if n % 2 == 0 { minted } else { format!("own-{n}") };
        for attempt in 0..3 {
            let sent =
                caller.call(fleet.entry_address(n + attempt), "POST", &path, Some(&key), &body);
            answered += usize::from(sent.await.is_ok());
        }
    }
    checks.check(&format!("{answered} of {} answered", CALL_COUNT * 3), answered == CALL_COUNT * 3);
    let once = fleet.call_log.counts().values().filter(|n| **n == 1).count();
    checks.check(&format!("{once} of {CALL_COUNT} ran exactly once"), once == CALL_COUNT);
}

/// Crashes an engine during streams; checks that each stream either completes or ends with the
/// outcome `incomplete`, with all tokens in order.
async fn crash_engine(fleet: &mut Fleet, d: &Deployment, checks: &mut Checks) {
    println!("  crashing an engine under 6 streams");
    let mut streams = Vec::new();
    for n in 0..6 {
        let caller = Caller::new("key-2");
        let prompt = format!("output=200; crash test {n}");
        match caller.open(fleet.entry_address(n), d.text_service, &prompt, 1000).await {
            Ok(mut stream) => {
                stream.next().await;
                streams.push(stream);
            }
            Err(e) => println!("  stream {n}: {e:?}"),
        }
    }
    fleet.crash_backend(0);
    let mut correct = 0;
    let mut incomplete = 0;
    for stream in &mut streams {
        match stream.finish().await {
            StreamEnd::Done(_) => {
                correct += usize::from(stream.tokens.len() == 200 && stream.faults().is_empty())
            }
            StreamEnd::Broken(outcome) => {
                incomplete += 1;
                correct += usize::from(outcome == "incomplete" && stream.faults().is_empty());
            }
            StreamEnd::Dropped => println!("  dropped after {} tokens", stream.tokens.len()),
            StreamEnd::Invalid(what) => println!("  invalid response: {what}"),
        }
    }
    let name = format!("{correct} of 6 whole or honestly incomplete ({incomplete} incomplete)");
    checks.check(&name, correct == 6);
}

/// Sends SIGTERM to all processes; checks that each exits with code 0 within 10 s.
fn shut_down(fleet: &mut Fleet, checks: &mut Checks) {
    println!("  asking every process to stop");
    fleet.entries.iter().for_each(|e| e.daemon.terminate());
    fleet.endpoints.iter().for_each(|e| e.sidecar.terminate());
    let timeout = std::time::Duration::from_secs(10);
    let entries = fleet.entries.iter_mut().map(|e| e.daemon.wait_exit(timeout));
    let sidecars = fleet.endpoints.iter_mut().map(|e| e.sidecar.wait_exit(timeout));
    let codes: Vec<_> = entries.chain(sidecars).collect();
    let is_clean = codes.iter().all(|code| *code == Some(0));
    if !is_clean {
        println!("  exit codes: {codes:?}");
    }
    checks.check("every process ended by itself with exit code 0", is_clean);
}
