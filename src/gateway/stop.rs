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
    /// Begins the stop of an instance that is killed `grace` after `now`.
    pub fn begin(&self, now: Instant, grace: Duration) -> Drain {
        let drain = Drain::new(now, grace);
        self.drain.set(Some(drain));
        drain
    }

    /// Returns the phase that the instance is in now; the first one if the stop has not begun.
    fn step(&self, now: Instant, open: OpenWork) -> Phase {
        let mut drain = self.drain.get();
        let phase = drain.as_mut().map_or(Phase::Serving, |drain| drain.step(now, open));
        self.drain.set(drain);
        phase
    }

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

/// Takes this instance through the phases of a stop that has begun, and returns once the process can
/// exit. Called again after a panic, it goes on in the phase that was reached.
pub async fn run(gw: &Gateway) {
    let instance = gw.settings.borrow().instance.clone();
    let mut phase = gw.stop.phase.get().max(Phase::Draining);
    loop {
        if gw.stop.phase.replace(phase) != phase {
            gw.stop.changed.notify_waiters();
            log_phase(gw, &instance, phase);
        }
        if phase == Phase::Stopped {
            break;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
        let open = OpenWork { connections: connections(gw), requests: gw.active_requests.get() };
        phase = gw.stop.step(clock::now(), open);
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
