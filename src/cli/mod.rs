//! The command line: two daemons and the operators' client.

mod client;

use crate::clock;
use crate::gateway;
use crate::http::Metrics;
use crate::id::InstanceId;
use crate::logs::LogWriter;
use crate::platform::{self, Deploy, GatewaySettings};
use crate::process::Process;
use crate::settings::{self, Settings};
use crate::text::Text;
use crate::{entry, sidecar};
use gumdrop::Options;
use std::fmt;
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;

/// Serves language-model generations of unknown length on busy engines.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run an entry instance")]
    Entry(Daemon),
    #[options(help = "run an entry instance on the users' platform")]
    Gateway(Gateway),
    #[options(help = "run the process beside an endpoint")]
    Sidecar(Daemon),
    #[options(help = "check a text without submitting it")]
    Check(Check),
    #[options(help = "submit a text")]
    Submit(Submit),
    #[options(help = "print the text in force, or an older version")]
    Show(Show),
    #[options(help = "print processes, their versions and endpoints")]
    Status(Access),
    #[options(help = "print the events of all processes in causal order")]
    Timeline(Timeline),
    #[options(help = "print an annotated example of a daemon's settings")]
    Settings(Nothing),
}

#[derive(Debug, Options)]
struct Nothing {
    #[options(help = "print this help")]
    help: bool,
}

#[derive(Debug, Options)]
struct Daemon {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "file of settings, JSON with comments", required)]
    settings: PathBuf,
}

#[derive(Debug, Options)]
struct Gateway {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "file of settings; the platform names it in the environment", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(help = "port that serves metrics", meta = "PORT")]
    metrics: Option<u16>,
}

#[derive(Debug, Options)]
struct Check {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "what the file is: text, settings or deploy", meta = "FORM")]
    form: Form,
    #[options(free, required, help = "the file")]
    file: PathBuf,
}

/// What a file to be checked is.
#[derive(Debug, Clone, Copy, Default)]
enum Form {
    /// The operators' text.
    #[default]
    Text,
    /// Settings as the platform writes them.
    Settings,
    /// The deploy file.
    Deploy,
}

/// Tells that no file is of this form.
#[derive(Debug)]
struct FormError;

impl fmt::Display for FormError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a file is text, settings or deploy")
    }
}

impl FromStr for Form {
    type Err = FormError;

    fn from_str(s: &str) -> Result<Self, FormError> {
        match s {
            "text" => Ok(Form::Text),
            "settings" => Ok(Form::Settings),
            "deploy" => Ok(Form::Deploy),
            _ => Err(FormError),
        }
    }
}

/// Address of an entry on the command line.
#[derive(Debug, Clone, Copy)]
struct Address(SocketAddr);

impl Default for Address {
    fn default() -> Self {
        Address(SocketAddr::from(([127, 0, 0, 1], 0)))
    }
}

impl FromStr for Address {
    type Err = AddrParseError;

    fn from_str(s: &str) -> Result<Self, AddrParseError> {
        s.parse().map(Address)
    }
}

/// How to reach an entry.
#[derive(Debug, Options)]
struct Access {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address of an entry", meta = "IP:PORT", required)]
    entry: Address,
    #[options(help = "file that holds the operator's key", required)]
    key: PathBuf,
}

#[derive(Debug, Options)]
struct Submit {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address of an entry", meta = "IP:PORT", required)]
    entry: Address,
    #[options(help = "file that holds the operator's key", required)]
    key: PathBuf,
    #[options(help = "version the text was edited from; 0 for the first", required)]
    from: u64,
    #[options(free, required, help = "the text")]
    file: PathBuf,
}

#[derive(Debug, Options)]
struct Show {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address of an entry", meta = "IP:PORT", required)]
    entry: Address,
    #[options(help = "file that holds the operator's key", required)]
    key: PathBuf,
    #[options(help = "version of the history")]
    version: Option<u64>,
}

#[derive(Debug, Options)]
struct Timeline {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address of an entry", meta = "IP:PORT", required)]
    entry: Address,
    #[options(help = "file that holds the operator's key", required)]
    key: PathBuf,
    #[options(help = "request, endpoint or version to follow")]
    subject: Option<String>,
    #[options(help = "number or name of a kind of event")]
    kind: Option<String>,
}

/// Exit code where the input has faults or the submission lost a race.
const REFUSED: u8 = 1;
/// Exit code where something could not be reached or read.
const FAILED: u8 = 2;
/// Exit code where the outcome of a submission is not known.
const UNKNOWN: u8 = 3;

/// Runs the command that the arguments name.
pub fn run() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match args.command {
        Some(Command::Entry(d)) => daemon(&d.settings, Role::Entry),
        Some(Command::Gateway(g)) => gateway(g),
        Some(Command::Sidecar(d)) => daemon(&d.settings, Role::Sidecar),
        Some(Command::Check(c)) => check(&c.file, c.form),
        Some(Command::Submit(s)) => client::submit(&s),
        Some(Command::Show(s)) => client::show(&s),
        Some(Command::Status(a)) => client::status(&a),
        Some(Command::Timeline(t)) => client::timeline(&t),
        Some(Command::Settings(_)) => {
            print!("{}", settings::EXAMPLE);
            ExitCode::SUCCESS
        }
        None => {
            eprintln!("{}", Args::usage());
            eprintln!("{}", Args::command_list().unwrap_or(""));
            ExitCode::from(FAILED)
        }
    }
}

fn read(file: &Path) -> Result<String, ExitCode> {
    std::fs::read_to_string(file).map_err(|e| {
        eprintln!("{}: {e}", file.display());
        ExitCode::from(FAILED)
    })
}

fn check(file: &Path, form: Form) -> ExitCode {
    let text = match read(file) {
        Ok(text) => text,
        Err(code) => return code,
    };
    let checked = match form {
        Form::Text => Text::parse(&text)
            .map(|t| format!("{} services, {} workspaces", t.services.len(), t.workspaces.len()))
            .map_err(|faults| lines(&faults)),
        Form::Settings => GatewaySettings::parse(&text)
            .map(|b| format!("instance {} in {}", b.instance, b.centre))
            .map_err(|e| vec![format!(" {e}")]),
        Form::Deploy => Deploy::parse(&text)
            .map(|d| format!("{} roles", d.roles.len()))
            .map_err(|faults| faults.iter().map(|f| format!(" {f}")).collect()),
    };
    match checked {
        Ok(found) => {
            println!("{found}");
            ExitCode::SUCCESS
        }
        Err(faults) => {
            faults.iter().for_each(|f| eprintln!("{}:{f}", file.display()));
            ExitCode::from(REFUSED)
        }
    }
}

fn lines<T: ToString>(faults: &[T]) -> Vec<String> {
    faults.iter().map(ToString::to_string).collect()
}

#[derive(Debug, Clone, Copy)]
enum Role {
    Entry,
    Sidecar,
}

fn daemon(file: &Path, role: Role) -> ExitCode {
    let text = match read(file) {
        Ok(text) => text,
        Err(code) => return code,
    };
    let settings = match Settings::parse(&text) {
        Ok(s) => s,
        Err(faults) => {
            faults.iter().for_each(|f| eprintln!("{}:{f}", file.display()));
            return ExitCode::from(REFUSED);
        }
    };
    start_log(&settings);
    let Some(metrics) = Metrics::install() else { return ExitCode::from(FAILED) };
    let process = Process::new(settings);
    let done = actix_rt::System::new().block_on(async move {
        match role {
            Role::Entry => end(entry::run(process, metrics).await),
            Role::Sidecar => end(sidecar::run(process, metrics).await),
        }
    });
    eprintln!("{}: {done}", file.display());
    ExitCode::from(FAILED)
}

fn gateway(args: Gateway) -> ExitCode {
    let Some(file) = args.settings.or_else(platform::settings_path) else {
        eprintln!("no settings: give --settings, or start where the platform names them");
        return ExitCode::from(FAILED);
    };
    let settings = match gateway::read_settings(&file) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{}: {e}", file.display());
            return ExitCode::from(REFUSED);
        }
    };
    if let Err(e) = start_lines(settings.instance.clone()) {
        eprintln!("the log cannot be started: {e}");
        return ExitCode::from(FAILED);
    }
    let Some(metrics) = Metrics::install() else { return ExitCode::from(FAILED) };
    let run = gateway::run(file.clone(), settings, metrics, args.metrics);
    match actix_rt::System::new().block_on(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{}: {e}", file.display());
            ExitCode::from(FAILED)
        }
    }
}

/// Sends log lines to standard output without ever waiting for its reader.
fn start_lines(instance: InstanceId) -> std::io::Result<()> {
    let lines = LogWriter::start(clock::now(), std::io::stdout())?;
    let output = fern::Output::call(move |record| {
        let t = clock::wall();
        let line = format!(
            "time={}.{:06} level={} instance={instance} {}\n",
            t.as_secs(),
            t.subsec_micros(),
            record.level(),
            record.args(),
        );
        lines.push(clock::now(), line.as_bytes());
    });
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("skylarkthread", log::LevelFilter::Info)
        .chain(output);
    // A second logger in one process would be a mistake of the caller; the first one stays.
    let _ = dispatch.apply();
    Ok(())
}

/// Ends the process where the work is done; returns why it could not be done.
///
/// Nothing is kept, so nothing has to be taken down, and nng would wait for its peers.
fn end<E: std::fmt::Debug>(done: Result<(), E>) -> String {
    match done {
        Ok(()) => std::process::exit(0),
        Err(why) => format!("{why:?}"),
    }
}

/// Sends log lines to standard error, each with time, level and instance.
fn start_log(settings: &Settings) {
    let instance = settings.instance.clone();
    let dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            let t = crate::clock::wall();
            out.finish(format_args!(
                "time={}.{:06} level={} instance={instance} {message}",
                t.as_secs(),
                t.subsec_micros(),
                record.level(),
            ))
        })
        .level(log::LevelFilter::Warn)
        .level_for("skylarkthread", log::LevelFilter::Info)
        .chain(std::io::stderr());
    // A second logger in one process would be a mistake of the caller; the first one stays.
    let _ = dispatch.apply();
}
