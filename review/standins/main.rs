//! Stand-ins for the review's scripts, on the standard library alone: the platform's store, its
//! replicas, its choice of a machine for new connections, and clients. Each case is a subcommand.

mod gateway;
mod http;
mod limit;
mod poison;
mod record;
mod replica;
mod rolling;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    match args.get(1).map(String::as_str) {
        Some("rolling") => rolling::run(&args[2], &args[3], has_trouble),
        Some("limit") => limit::run(&args[2], &args[3], has_trouble),
        Some("poison") => poison::run(&args[2], &args[3], poison::Plan::stops(has_trouble)),
        Some("query") => poison::run(&args[2], &args[3], poison::Plan::query(has_trouble)),
        _ => {
            eprintln!("usage: standins rolling|poison|query|limit BINARY RECORD");
            ExitCode::from(2)
        }
    }
}
