//! Shutdown on request by signal, and the phases of an instance that stops.

mod drain;

pub use drain::{Drain, OpenWork, Phase};

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of the signals that ask a process to stop. The process is not ended by these signals
/// from then on.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers of SIGTERM and SIGINT. Called before a process accepts requests, which
    /// an unhandled signal would cut off.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    pub fn install() -> std::io::Result<StopSignals> {
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for one of the signals.
    pub async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
