//! Command line of the stand-ins: the demonstration and the measurements.

use gumdrop::Options;
use standin::demo;
use std::process::ExitCode;

/// Stand-ins and measurements for skylarkthread.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run both deployments at a small scale and check what happens")]
    Demo(Demo),
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
        None => {
            eprintln!("{}\n{}", Args::usage(), Args::command_list().unwrap_or(""));
            ExitCode::from(2)
        }
    }
}
