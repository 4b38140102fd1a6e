//! Arguments of the command line.

use gumdrop::Options;
use std::fmt;
use std::net::{AddrParseError, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

/// Serves language-model generations of unknown length on busy engines.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<Command>,
}

#[derive(Debug, Options)]
pub enum Command {
    #[options(help = "run an entry instance")]
    Entry(DaemonArgs),
    #[options(help = "run an entry instance on the users' platform")]
    Gateway(GatewayArgs),
    #[options(help = "run the sidecar of an endpoint")]
    Sidecar(DaemonArgs),
    #[options(help = "check a configuration, settings or deploy file without submitting it")]
    Check(CheckArgs),
    #[options(help = "submit a configuration")]
    Submit(SubmitArgs),
    #[options(help = "print the current configuration or an older version")]
    Show(ShowArgs),
    #[options(help = "print all processes with their configuration versions and endpoints")]
    Status(StatusArgs),
    #[options(help = "print the events of all processes in causal order")]
    Timeline(TimelineArgs),
    #[options(help = "print where a request would go now, and why, without sending it")]
    Explain(ExplainArgs),
    #[options(help = "print an annotated example of a daemon's settings")]
    Settings(NoArgs),
}

#[derive(Debug, Options)]
pub struct NoArgs {
    #[options(help = "print this help")]
    pub help: bool,
}

#[derive(Debug, Options)]
pub struct DaemonArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "settings file in JSON with comments", required)]
    pub settings: PathBuf,
}

#[derive(Debug, Options)]
pub struct GatewayArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(
        help = "settings file; defaults to the one named by SKYLARKTHREAD_BOOT, or to the platform's usual one",
        meta = "FILE"
    )]
    pub settings: Option<PathBuf>,
    #[options(help = "additional port for the probes and metrics", meta = "PORT")]
    pub metrics: Option<u16>,
}

#[derive(Debug, Options)]
pub struct CheckArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "kind of file: text, settings or deploy; text if omitted", meta = "FORM")]
    pub form: Form,
    #[options(free, required, help = "file to check")]
    pub file: PathBuf,
}

/// Kind of a file to check.
#[derive(Debug, Clone, Copy, Default)]
pub enum Form {
    /// Configuration written by operators.
    #[default]
    Text,
    /// Settings file written by the platform.
    Settings,
    /// Deploy file for the platform.
    Deploy,
}

/// The argument names no kind of file.
#[derive(Debug)]
pub struct FormError;

impl fmt::Display for FormError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("must be text, settings or deploy")
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

/// Address of an entry; wrapped because gumdrop requires a default value.
#[derive(Debug, Clone, Copy)]
pub struct Address(pub SocketAddr);

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

#[derive(Debug, Options)]
pub struct StatusArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "address of an entry", meta = "IP:PORT", required)]
    pub entry: Address,
    #[options(help = "file that holds the operator's key", required)]
    pub key: PathBuf,
}

#[derive(Debug, Options)]
pub struct SubmitArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "address of an entry", meta = "IP:PORT", required)]
    pub entry: Address,
    #[options(help = "file that holds the operator's key", required)]
    pub key: PathBuf,
    #[options(
        help = "version that the file was edited from; 0 for the first submission",
        required
    )]
    pub from: u64,
    #[options(free, required, help = "configuration file")]
    pub file: PathBuf,
}

#[derive(Debug, Options)]
pub struct ShowArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "address of an entry", meta = "IP:PORT", required)]
    pub entry: Address,
    #[options(help = "file that holds the operator's key", required)]
    pub key: PathBuf,
    #[options(help = "version to print; the current one if omitted")]
    pub version: Option<u64>,
}

#[derive(Debug, Options)]
pub struct TimelineArgs {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "address of an entry", meta = "IP:PORT", required)]
    pub entry: Address,
    #[options(help = "file that holds the operator's key", required)]
    pub key: PathBuf,
    #[options(help = "print only events whose subject or detail contains this")]
    pub subject: Option<String>,
    #[options(help = "print only events of this kind, given by number or name")]
    pub kind: Option<String>,
}

#[derive(Debug, Options)]
pub struct ExplainArgs {
    #[options(help = "print this help; exits with 0 if the request would be sent or wait, \
                      1 if it would be refused, 2 if the instance cannot be asked")]
    pub help: bool,
    #[options(help = "address of the probes and metrics of a gateway", meta = "IP:PORT", required)]
    pub instance: Address,
    #[options(help = "host that the request is addressed to", required)]
    pub host: String,
    #[options(help = "path of the request", required)]
    pub path: String,
    #[options(help = "API key of the caller")]
    pub key: Option<String>,
    #[options(no_short, help = "workspace of the caller, instead of a key", meta = "NAME")]
    pub workspace: Option<String>,
    #[options(no_short, help = "parts of the prompt", meta = "ID:TOKENS,...")]
    pub prefix: Option<String>,
    #[options(help = "tokens of the prompt", meta = "TOKENS")]
    pub input: Option<u32>,
    #[options(help = "maximum number of output tokens", meta = "TOKENS", default = "200")]
    pub output: u32,
    #[options(no_short, help = "output tokens that the caller expects", meta = "TOKENS")]
    pub hint: Option<u32>,
    #[options(help = "milliseconds that the caller would wait", meta = "MS")]
    pub timeout: Option<u64>,
    #[options(no_short, help = "print the explanation as JSON")]
    pub json: bool,
}
