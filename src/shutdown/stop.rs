//! Runs the stop of a process, which ends in time whatever hangs.

use super::Drain;
use crate::clock;
use crate::event::{self, Kind};
use crate::task::{self, Unfinished};
use std::future::Future;
use std::time::{Duration, Instant};

/// Exit code if a file, an entry or the store is unavailable, a daemon cannot start, has not stopped in
/// order, or there is no command.
pub const EXIT_FAILED: u8 = 2;
/// Time after which a process that has given up its stop and still runs is ended.
const HANG_TIME: Duration = Duration::from_millis(20);
/// Time for the log thread to write the last lines.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(10);

/// Runs `stop` until it ends, again after a panic. The process ends by the end of the grace period even if
/// the thread of the caller does not run on, or the exit of the process waits for something.
///
/// # Errors
///
/// Returns [`Unfinished`] if `stop` has not ended by [`Drain::abort`].
pub async fn run_stop<F: Future<Output = ()>>(
    drain: Drain,
    stop: impl Fn() -> F,
) -> Result<(), Unfinished> {
    exit_after(drain.abort() + HANG_TIME);
    task::run_until("stop", drain.abort(), stop).await
}

/// Starts a thread that ends the process after `end`.
fn exit_after(end: Instant) {
    let watch = move || {
        std::thread::sleep(end.saturating_duration_since(clock::now()));
        event::log(Kind::Exiting, "process", "why=\"the stop hangs\"");
        std::thread::sleep(LOG_FLUSH_TIME);
        // SAFETY: ends the process at once. Handlers that run at its exit may be what hangs.
        unsafe { libc::_exit(EXIT_FAILED.into()) }
    };
    if let Err(e) = std::thread::Builder::new().name("stop".to_owned()).spawn(watch) {
        log::warn!("no thread to end a stop that hangs: {e}");
    }
}
