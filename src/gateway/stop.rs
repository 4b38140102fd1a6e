//! Stop of this instance: leads it through the phases that [`crate::shutdown::Drain`] decides on.

use super::Gateway;
use crate::callers::Listener;
use crate::clock;
use crate::event::Kind;
use crate::id::InstanceId;
use crate::shutdown::{Drain, OpenWork, Phase};
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Interval at which a stopping instance checks what is open.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the log thread to write the last lines.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(20);

/// How far the stop of an instance has come.
#[derive(Debug, Default)]
pub struct StopState {
    /// Stop under way; `None` while the instance runs normally.
    drain: Cell<Option<Drain>>,
    phase: Cell<Phase>,
    /// Notified when `phase` changes.
    changed: Notify,
}

impl StopState {
    /// Returns whether the instance has been asked to stop.
    pub fn is_requested(&self) -> bool {
        self.phase.get() > Phase::Serving
    }

    /// Waits until the stop has reached a phase.
    pub async fn reached(&self, phase: Phase) {
        loop {
            let changed = self.changed.notified();
            if self.phase.get() >= phase {
                return;
            }
            changed.await;
        }
    }

    /// Returns whether a request that was read at `now` is refused; see [`Drain::refuses`].
    pub fn refuses(&self, now: Instant, deadline: Instant, is_generation: bool) -> bool {
        self.drain.get().is_some_and(|drain| drain.refuses(now, deadline, is_generation))
    }
}

/// Takes this instance through the phases of its stop, and returns once the process can exit.
pub async fn run(gw: &Gateway) {
    let settings = gw.settings.borrow().clone();
    let mut drain = Drain::new(clock::now(), settings.stop_grace);
    gw.stop.drain.set(Some(drain));
    let mut phase = Phase::Draining;
    loop {
        if gw.stop.phase.replace(phase) != phase {
            log_phase(gw, &settings.instance, phase);
            gw.stop.changed.notify_waiters();
        }
        if phase == Phase::Stopped {
            break;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
        let open = OpenWork { connections: connections(gw), requests: gw.active_requests.get() };
        phase = drain.step(clock::now(), open);
    }
    tokio::time::sleep(LOG_FLUSH_TIME).await;
}

fn log_phase(gw: &Gateway, instance: &InstanceId, phase: Phase) {
    let kind = match phase {
        Phase::Serving => return,
        Phase::Draining => Kind::Draining,
        Phase::Closing => Kind::Closing,
        Phase::Expiring => Kind::Expiring,
        Phase::Stopped => Kind::Stopped,
    };
    let (active, connections) = (gw.active_requests.get(), connections(gw));
    gw.event(kind, instance, format_args!("active={active} connections={connections}"));
}

/// Returns the number of open connections of callers.
fn connections(gw: &Gateway) -> u32 {
    gw.callers.borrow().count(Listener::Front) as u32
}
