//! Stand-ins for the review's scripts, on the standard library alone: the platform's store, its
//! replicas, its choice of a machine for new connections, and clients. Each case is a subcommand.

mod gateway;
mod http;
mod poison;
mod record;
mod replica;
mod rolling;
mod store;

use poison::Plan;
use record::Record;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, binary, path] = &args[..] else {
        eprintln!("usage: standins rolling|poison|query BINARY RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    let result = play(case, binary, path, &dir, has_trouble);
    gateway::end_all();
    let _ = std::fs::remove_dir_all(&dir);
    match result {
        Ok(is_broken) => ExitCode::from(u8::from(is_broken)),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

/// Plays a case; returns whether the rule was broken.
fn play(
    case: &str,
    binary: &str,
    path: &str,
    dir: &Path,
    has_trouble: bool,
) -> std::io::Result<bool> {
    std::fs::create_dir_all(dir)?;
    let record = Record::create(path)?;
    let is_broken = match case {
        "rolling" => rolling::play(binary, dir, &record, has_trouble)?,
        "poison" => poison::play(binary, dir, &record, Plan::stops(has_trouble))?,
        "query" => poison::play(binary, dir, &record, Plan::query(has_trouble))?,
        _ => return Err(std::io::Error::other(format!("no case {case}"))),
    };
    record.flush();
    Ok(is_broken)
}
