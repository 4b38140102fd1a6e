//! Tells in log, metrics and health checks what stands between an entry and its readiness.

use super::Entry;
use crate::event::Kind;
use crate::readiness::{Obstacle, Report};
use std::time::Instant;

/// Returns what stands between an entry and its readiness; `None` if it is ready.
pub fn obstacle(e: &Entry) -> Option<Obstacle> {
    if e.board.borrow().draining {
        return Some(Obstacle::Stopping);
    }
    if !e.callers_accepted.get() {
        return Some(Obstacle::NotListening);
    }
    (e.process.version().0 == 0).then(|| e.missing.borrow().clone())
}

/// Logs and counts the time without readiness.
pub fn step(e: &Entry, now: Instant) {
    let found = obstacle(e);
    metrics::gauge!("ready").set(if found.is_none() { 1.0 } else { 0.0 });
    let step = e.readiness.borrow_mut().step(now, found);
    if let Some((obstacle, seconds)) = step.counted {
        let why = obstacle.to_string();
        metrics::counter!("unready_seconds_total", "why" => why).increment(seconds);
    }
    let instance = &e.process.settings.instance;
    match step.report {
        Some(Report::NotReady(why, time)) => {
            let (ms, links) = (time.as_millis(), e.links.borrow().len());
            let mut detail = format!("why={why} for_ms={ms} links={links}");
            match why {
                Obstacle::StoreFailed(..) => detail += &format!(" {}", e.failure.borrow()),
                Obstacle::ConfigurationRefused(fault) => detail += &format!(" refused={fault:?}"),
                _ => {}
            }
            e.process.event(Kind::NotReady, instance, detail);
        }
        Some(Report::Ready(last, time)) => {
            let detail = format_args!("why={last} for_ms={}", time.as_millis());
            e.process.event(Kind::Ready, instance, detail);
        }
        None => {}
    }
}
