//! The command line: the daemons, an offline check of files and the operators' client.

mod args;
mod check;
mod client;
mod daemon;
mod explain;
mod log_output;
mod process;

use crate::shutdown::EXIT_FAILED;
use crate::{settings, shutdown};
use args::{Args, Command};
use daemon::{Role, run_daemon, run_gateway};
use gumdrop::Options;
use std::path::Path;
use std::process::ExitCode;

/// Exit code if the input is invalid or the entry refuses the request, also for a submission that
/// conflicts with a newer version.
const EXIT_REFUSED: u8 = 1;
/// Exit code if the outcome of a submission is unknown.
const EXIT_UNKNOWN: u8 = 3;

/// Parses the arguments and runs the command.
pub fn run() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let serves =
        |c: &Command| matches!(c, Command::Entry(_) | Command::Gateway(_) | Command::Sidecar(_));
    if !args.command.as_ref().is_some_and(serves) {
        shutdown::restore_strays();
    }
    match args.command {
        Some(Command::Entry(d)) => run_daemon(d.settings, Role::Entry),
        Some(Command::Gateway(g)) => run_gateway(g),
        Some(Command::Sidecar(d)) => run_daemon(d.settings, Role::Sidecar),
        Some(Command::Check(c)) => check::check_file(&c.file, c.form),
        Some(Command::Submit(s)) => client::submit(&s),
        Some(Command::Show(s)) => client::show(&s),
        Some(Command::Status(a)) => client::status(&a),
        Some(Command::Timeline(t)) => client::timeline(&t),
        Some(Command::Explain(a)) => explain::explain(&a),
        Some(Command::Settings(_)) => {
            print!("{}", settings::EXAMPLE);
            ExitCode::SUCCESS
        }
        None => {
            eprintln!("{}", Args::usage());
            eprintln!("{}", Args::command_list().unwrap_or(""));
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn read_file(file: &Path) -> Result<String, ExitCode> {
    std::fs::read_to_string(file).map_err(|e| {
        eprintln!("{}: {e}", file.display());
        ExitCode::from(EXIT_FAILED)
    })
}

fn to_strings<T: ToString>(faults: &[T]) -> Vec<String> {
    faults.iter().map(ToString::to_string).collect()
}
