//! Admits connections of callers, and closes those that keep too much.

use super::Gateway;
use crate::callers::{CallerKey, Listener, Load, Room};
use crate::clock;
use crate::event::Kind;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Interval between looks for connections to close after there were none.
const RELIEF_INTERVAL: Duration = Duration::from_millis(10);

/// A connection of a caller, counted until dropped.
pub struct CallerGuard {
    gw: Rc<Gateway>,
    key: CallerKey,
    /// What the connection keeps.
    pub load: Load,
    closed: Rc<Notify>,
}

impl CallerGuard {
    /// Admits a connection; `None` if there are too many.
    pub fn admit(gw: &Rc<Gateway>, listener: Listener) -> Option<CallerGuard> {
        let now = clock::now();
        let room = gw.callers.borrow().room(now, listener);
        match room {
            Room::Free => {}
            Room::Instead(other) => close(gw, other),
            Room::Full => {
                metrics::counter!("connections_refused_total").increment(1);
                return None;
            }
        }
        let (key, load) = gw.callers.borrow_mut().join(now, listener);
        let closed = Rc::new(Notify::new());
        gw.closing.borrow_mut().insert(key, closed.clone());
        Some(CallerGuard { gw: gw.clone(), key, load, closed })
    }

    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }

    /// Records that the first bytes of a request have arrived.
    pub fn arrive(&self) {
        self.gw.callers.borrow_mut().arrive(clock::now(), self.key);
    }

    /// Records that a request has been read in full.
    pub fn begin(&self) {
        self.gw.callers.borrow_mut().begin(self.key);
    }

    /// Records that the request in progress has ended, or could not be read.
    pub fn end(&self) {
        self.gw.callers.borrow_mut().end(clock::now(), self.key);
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.gw.callers.borrow_mut().leave(self.key);
        self.gw.closing.borrow_mut().remove(self.key);
    }
}

fn close(gw: &Gateway, key: CallerKey) {
    gw.callers.borrow_mut().close(clock::now(), key);
    if let Some(closed) = gw.closing.borrow().get(key) {
        closed.notify_one();
    }
    metrics::counter!("connections_closed_total").increment(1);
}

/// Closes connections whenever all together keep too much.
pub async fn relieve(gw: Rc<Gateway>) {
    loop {
        let exceeded = gw.callers.borrow().exceeded();
        exceeded.await;
        let (sum, chosen) = {
            let mut callers = gw.callers.borrow_mut();
            (callers.bytes(), callers.relieve(clock::now()))
        };
        if let Some((_, most)) = chosen.first() {
            let detail = format_args!("closed={} most={most} sum={sum}", chosen.len());
            gw.event(Kind::Overfull, "-", detail);
        }
        chosen.iter().for_each(|(key, _)| close(&gw, *key));
        if chosen.is_empty() {
            tokio::time::sleep(RELIEF_INTERVAL).await;
        }
    }
}

/// Brings the limits up to date with the settings.
pub fn step(gw: &Gateway) {
    let settings = gw.settings.borrow();
    let mut callers = gw.callers.borrow_mut();
    callers.set_limits(settings.memory_bytes(), settings.max_sockets);
    metrics::gauge!("caller_bytes").set(callers.bytes() as f64);
}
