//! Shutdown on request by signal, and the phases of an instance that stops.

mod drain;
mod stop;

pub use drain::{Drain, OpenWork, Phase};
pub use stop::{EXIT_FAILED, run_stop};

use std::mem::MaybeUninit;
use std::ptr;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Number of signals of the kernel.
const SIGNALS: libc::c_int = 64;
/// Signals that are left as they are: those that ask a process to stop, report a fault of its own, or
/// do not end it.
const KEPT_SIGNALS: [libc::c_int; 20] = [
    libc::SIGTERM,
    libc::SIGINT,
    libc::SIGQUIT,
    libc::SIGKILL,
    libc::SIGSEGV,
    libc::SIGBUS,
    libc::SIGILL,
    libc::SIGFPE,
    libc::SIGTRAP,
    libc::SIGABRT,
    libc::SIGSYS,
    libc::SIGPIPE,
    libc::SIGCHLD,
    libc::SIGURG,
    libc::SIGWINCH,
    libc::SIGSTOP,
    libc::SIGTSTP,
    libc::SIGTTIN,
    libc::SIGTTOU,
    libc::SIGCONT,
];

/// Signals that [`ignore_strays`] has ignored, a bit each from the signal 1.
static IGNORED: AtomicU64 = AtomicU64::new(0);

/// Returns the signals that end a process unless they are handled, and that do not ask it to stop, such
/// as that of an output file at its size limit; each with its bit.
fn stray_signals() -> impl Iterator<Item = (libc::c_int, u64)> {
    let all = (1..=SIGNALS).map(|signal| (signal, 1 << (signal - 1)));
    all.filter(|(signal, _)| !KEPT_SIGNALS.contains(signal))
}

fn has_default_action(signal: libc::c_int) -> bool {
    let mut action = MaybeUninit::<libc::sigaction>::zeroed();
    // SAFETY: the call sets no action, and writes the present one to memory that is valid for it.
    let is_known = unsafe { libc::sigaction(signal, ptr::null(), action.as_mut_ptr()) } == 0;
    // SAFETY: a zeroed action is valid, and so is the one that the call has written.
    is_known && unsafe { action.assume_init() }.sa_sigaction == libc::SIG_DFL
}

/// Ignores signals that do not ask a process to stop, until a handler is installed for them. Those for
/// which a library that is loaded before has a handler stay as they are.
pub extern "C" fn ignore_strays() {
    for (signal, bit) in stray_signals().filter(|(signal, _)| has_default_action(*signal)) {
        // SAFETY: ignoring a signal installs no code.
        unsafe { libc::signal(signal, libc::SIG_IGN) };
        IGNORED.fetch_or(bit, Ordering::Relaxed);
    }
}

/// Undoes [`ignore_strays`], for a command that is no daemon.
pub fn restore_strays() {
    let ignored = IGNORED.swap(0, Ordering::Relaxed);
    for (signal, _) in stray_signals().filter(|(_, bit)| ignored & bit != 0) {
        // SAFETY: the default action is no code of this process.
        unsafe { libc::signal(signal, libc::SIG_DFL) };
    }
}

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
