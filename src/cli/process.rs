//! Runs a process that serves until it ends.

use super::log_output::ProcessLog;
use crate::event::{self, Kind};
use crate::http::Metrics;
use crate::shutdown::EXIT_FAILED;
use crate::task::{self, Panicked};
use std::fmt;
use std::os::fd::{AsFd, RawFd};
use std::process::ExitCode;
use std::time::Duration;

/// Time for the log thread to write the last lines of a process.
pub const LOG_FLUSH_TIME: Duration = Duration::from_millis(200);
/// Interval between two attempts to start the runtime.
const RUNTIME_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Descriptors that have to be free to start the runtime.
const RUNTIME_DESCRIPTORS: usize = 8;

/// The reason why a process that serves has ended.
#[derive(Debug)]
enum EndReason<E> {
    /// Another recorder of metrics is installed already.
    Metrics,
    /// The start has panicked, which has been logged.
    Panicked(Panicked),
    /// It could not start, or has not stopped in order.
    Failed(E),
}

impl<E: fmt::Display> fmt::Display for EndReason<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndReason::Metrics => f.write_str("metrics are recorded elsewhere already"),
            EndReason::Panicked(e) => write!(f, "the start has {e}"),
            EndReason::Failed(e) => write!(f, "{e}"),
        }
    }
}

/// Runs a process that serves until it ends. Its log goes to the descriptor `output`; nothing is
/// written there in another way, since it may be closed, or a pipe that nobody reads.
pub fn run_logged<F, E>(output: RawFd, serve: impl FnOnce(ProcessLog, Metrics) -> F) -> ExitCode
where
    F: Future<Output = Result<(), E>>,
    E: fmt::Display,
{
    let log = ProcessLog::start(output);
    task::log_panics();
    let ended = run_to_end(|metrics| serve(log.clone(), metrics));
    if let Err(reason) = &ended {
        log_failure(reason);
    }
    log.writer.flush(LOG_FLUSH_TIME);
    ended.map_or(ExitCode::from(EXIT_FAILED), |()| ExitCode::SUCCESS)
}

/// Logs why a process ends.
pub fn log_failure(reason: impl fmt::Display) {
    event::log(Kind::Exiting, "process", &format!("why={:?}", reason.to_string()));
}

fn run_to_end<F, E>(serve: impl FnOnce(Metrics) -> F) -> Result<(), EndReason<E>>
where
    F: Future<Output = Result<(), E>>,
{
    let metrics = Metrics::install().ok_or(EndReason::Metrics)?;
    let runtime = start_runtime();
    let system = actix_rt::System::with_tokio_rt(move || runtime);
    let ended = system.block_on(task::run("main", serve(metrics)));
    ended.map_err(EndReason::Panicked)?.map_err(EndReason::Failed)
}

/// Starts the runtime; tries again while the machine lacks descriptors or memory for it.
fn start_runtime() -> tokio::runtime::Runtime {
    loop {
        // Checked first, since the runtime panics if it lacks the descriptors for signals.
        let built = check_descriptors()
            .and_then(|()| tokio::runtime::Builder::new_current_thread().enable_all().build());
        match built {
            Ok(runtime) => return runtime,
            Err(e) => log::warn!("cannot start the runtime, trying again: {e}"),
        }
        std::thread::sleep(RUNTIME_RETRY_INTERVAL);
    }
}

/// Checks that as many descriptors are free as the runtime opens.
fn check_descriptors() -> std::io::Result<()> {
    let out = std::io::stdout();
    let held: std::io::Result<Vec<_>> =
        (0..RUNTIME_DESCRIPTORS).map(|_| out.as_fd().try_clone_to_owned()).collect();
    match held {
        Err(e) if matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE)) => Err(e),
        _ => Ok(()),
    }
}
