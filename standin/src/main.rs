//! Command line for the demonstration, benchmarks and soak test.

use gumdrop::Options;
use standin::bench::{self, Policy, Workload};
use standin::soak::Sizes;
use standin::{demo, slopes};
use std::process::ExitCode;
use std::time::Duration;

/// Demonstration, benchmarks and soak test of skylarkthread.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run both example deployments at a small scale and check the results")]
    Demo(Demo),
    #[options(help = "compare placement and admission policies under load")]
    Bench(Bench),
    #[options(help = "measure the resource use of one daemon against the size of its deployment")]
    Slopes(Slopes),
    #[options(help = "inject random faults into real processes and check the invariants")]
    Soak(Soak),
    #[options(help = "print the arrivals of one engine's share of a workload")]
    Trace(Trace),
}

#[derive(Debug, Options)]
struct Soak {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first seed; random if omitted")]
    seed: Option<u64>,
    #[options(help = "number of consecutive seeds to run", default = "1")]
    runs: u64,
    #[options(help = "length of each run in seconds", default = "10")]
    seconds: u64,
    #[options(help = "number of gateway processes", default = "3")]
    gateways: usize,
    #[options(help = "number of plain endpoints, and of engines", default = "3")]
    endpoints: usize,
}

fn soak(args: &Soak) -> ExitCode {
    let Some(binary) = demo::daemon_binary() else {
        eprintln!(
            "`skylarkthread` not found beside this binary; run `cargo build --release --workspace`"
        );
        return ExitCode::from(2);
    };
    let first = args.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let sizes = Sizes { gateways: args.gateways, endpoints: args.endpoints };
    let mut failed = 0;
    for seed in first..first + args.runs {
        let length = Duration::from_secs(args.seconds);
        let report = standin::soak::run(&binary, seed, length, sizes);
        println!("{}", report.to_json());
        failed += u32::from(!report.violations.is_empty());
    }
    println!("{} passed, {failed} failed", args.runs - u64::from(failed));
    ExitCode::from(u8::from(failed > 0))
}

#[derive(Debug, Options)]
struct Trace {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "vigilwell or cymdeithas", required)]
    workload: String,
    #[options(help = "load as a share of the engines' capacity", default = "1.0")]
    load: f64,
    #[options(help = "length of the trace in seconds", default = "60")]
    seconds: u64,
    #[options(help = "seed of the random numbers", default = "1")]
    seed: u64,
}

fn trace(args: &Trace) -> ExitCode {
    let Some(workload) = Workload::find(&args.workload) else {
        eprintln!("unknown workload {:?}; expected vigilwell or cymdeithas", args.workload);
        return ExitCode::from(2);
    };
    let (_, engines, _) = workload.engines();
    println!("# {} load={} seed={}", workload.name(), args.load, args.seed);
    println!("# at_ms service workspace input output");
    let all = workload.arrivals(args.load, Duration::from_secs(args.seconds), args.seed);
    for a in all.iter().step_by(engines) {
        let input = a.prompt.len() / 4 + 1;
        println!("{} {} {} {input} {}", a.at.as_millis(), a.service, a.workspace, a.output);
    }
    ExitCode::SUCCESS
}

#[derive(Debug, Options)]
struct Slopes {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "endpoints, entries, workspaces or streams; all if omitted")]
    only: Option<String>,
}

#[derive(Debug, Options)]
struct Bench {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "vigilwell or cymdeithas; may be repeated; both if omitted")]
    workload: Vec<String>,
    #[options(help = "name of a policy; may be repeated; all if omitted")]
    policy: Vec<String>,
    #[options(help = "load as a share of the engines' capacity; may be repeated", meta = "SHARE")]
    load: Vec<f64>,
    #[options(help = "length of each measurement in seconds", default = "30")]
    seconds: u64,
    #[options(help = "seed of the random numbers; may be repeated")]
    seed: Vec<u64>,
    #[options(help = "kill, restart and pause processes during each measurement")]
    faults: bool,
    #[options(help = "directory for the JSON and the plot", default = "target/bench")]
    out: std::path::PathBuf,
}

/// Returns the given values, or `defaults` if there are none.
fn or_defaults<T: Clone>(given: Vec<T>, defaults: &[T]) -> Vec<T> {
    if given.is_empty() { defaults.to_vec() } else { given }
}

fn bench(args: Bench) -> ExitCode {
    let workloads: Option<Vec<Workload>> =
        args.workload.iter().map(|w| Workload::find(w)).collect();
    let policies: Option<Vec<Policy>> = args.policy.iter().map(|p| Policy::find(p)).collect();
    let (Some(workloads), Some(policies)) = (workloads, policies) else {
        eprintln!(
            "unknown workload or policy in --workload {:?} --policy {:?}",
            args.workload, args.policy
        );
        return ExitCode::from(2);
    };
    bench::run(&bench::Options {
        workloads: or_defaults(workloads, &[Workload::Vigilwell, Workload::Cymdeithas]),
        policies: or_defaults(policies, &Policy::ALL),
        loads: or_defaults(args.load, &[0.9, 1.0]),
        window: Duration::from_secs(args.seconds),
        seeds: or_defaults(args.seed, &[1]),
        faults: args.faults,
        out: args.out,
    })
}

#[derive(Debug, Options)]
struct Demo {
    #[options(help = "print this help")]
    help: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match args.command {
        Some(Command::Demo(_)) => demo::run(),
        Some(Command::Bench(b)) => bench(b),
        Some(Command::Slopes(s)) => slopes::run(s.only.as_deref()),
        Some(Command::Soak(s)) => soak(&s),
        Some(Command::Trace(t)) => trace(&t),
        None => {
            eprintln!("{}\n{}", Args::usage(), Args::command_list().unwrap_or(""));
            ExitCode::from(2)
        }
    }
}
