//! Shutdown on request by signal.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT; never returns if the signal handlers cannot be installed.
pub async fn wait_for_signal() {
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
