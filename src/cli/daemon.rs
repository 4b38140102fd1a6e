//! Runs the daemons.

use super::args::GatewayArgs;
use super::log_output::ProcessLog;
use super::process::{LOG_FLUSH_TIME, log_failure, run_logged};
use super::to_strings;
use crate::clock;
use crate::http::Metrics;
use crate::platform;
use crate::process::Process;
use crate::readiness::{Obstacle, Watch, wait_settings};
use crate::reload::{Content, SettingsFile};
use crate::settings::{EndpointSettings, Settings};
use crate::shutdown::{EXIT_FAILED, StopSignals};
use crate::{entry, gateway, sidecar};
use std::path::PathBuf;
use std::process::ExitCode;

/// Kind of a daemon that is not a gateway.
#[derive(Debug, Clone, Copy)]
pub enum Role {
    /// Entry.
    Entry,
    /// Sidecar.
    Sidecar,
}

/// What a daemon serves as.
#[derive(Debug)]
enum Served {
    Entry,
    Sidecar(EndpointSettings),
}

/// Returns what a text says of the settings of a daemon.
fn parse_daemon(text: &str, role: Role) -> Content<(Settings, Served)> {
    let settings = match Settings::parse(text) {
        Ok(settings) => settings,
        Err(faults) => {
            return Content { settings: None, fault: Some(to_strings(&faults).join(", ")) };
        }
    };
    let served = match role {
        Role::Entry => Some(Served::Entry),
        Role::Sidecar => settings.endpoint.clone().map(Served::Sidecar),
    };
    let fault = served.is_none().then(|| "endpoint is missing, which a sidecar needs".to_owned());
    Content { settings: served.map(|served| (settings, served)), fault }
}

/// Runs an entry or a sidecar until it ends.
pub fn run_daemon(file: PathBuf, role: Role) -> ExitCode {
    run_logged(libc::STDERR_FILENO, |log, metrics| serve_daemon(file, role, log, metrics))
}

/// Exits the process once the daemon has stopped.
///
/// Destructors are skipped: no state needs cleanup, and closing the sockets of nng would wait for
/// peers.
async fn serve_daemon(
    file: PathBuf,
    role: Role,
    log: ProcessLog,
    metrics: Metrics,
) -> Result<(), std::io::Error> {
    let mut watch = Watch::new(clock::now(), Obstacle::Settings);
    let mut stop_signals = StopSignals::install()?;
    let mut file = SettingsFile::new(file);
    let usable = file.wait_usable(&mut stop_signals, |text| parse_daemon(text, role));
    let usable = match role {
        Role::Entry => wait_settings(&mut watch, usable).await,
        // Sidecars have no readiness.
        Role::Sidecar => usable.await,
    };
    let Some((settings, served)) = usable else { return Ok(()) };
    log.name(&settings.instance);
    let process = Process::new(settings);
    let stopped = match served {
        Served::Entry => entry::run(process, watch, metrics, stop_signals).await,
        Served::Sidecar(endpoint) => sidecar::run(process, endpoint, metrics, stop_signals).await,
    };
    if let Err(e) = &stopped {
        log_failure(format_args!("the stop has {e}"));
    }
    log.writer.flush(LOG_FLUSH_TIME);
    std::process::exit(stopped.map_or(EXIT_FAILED.into(), |()| 0))
}

/// Runs a gateway until it ends.
pub fn run_gateway(args: GatewayArgs) -> ExitCode {
    let file = args.settings.unwrap_or_else(platform::settings_path);
    run_logged(libc::STDOUT_FILENO, |log, metrics| {
        gateway::run(file, metrics, args.metrics, move |id| log.name(id))
    })
}
