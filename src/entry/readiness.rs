//! Tells in log, metrics and health checks what stands between an entry and its readiness.

use super::Entry;
use crate::event::Kind;
use crate::readiness::{Obstacle, Report, count_seconds};
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
    step.counted.iter().for_each(|obstacle| count_seconds(obstacle, 1));
    step.reports.iter().for_each(|report| log_report(e, report));
}

fn log_report(e: &Entry, report: &Report) {
    let instance = &e.process.settings.instance;
    match report {
        Report::NotReady(span) => {
            let mut detail = format!("{span} links={}", e.links.borrow().len());
            match &span.obstacle {
                Obstacle::StoreFailed(..) => detail += &format!(" {}", e.failure.borrow()),
                Obstacle::ConfigurationRefused(fault) => detail += &format!(" refused={fault:?}"),
                _ => {}
            }
            e.process.event(Kind::NotReady, instance, detail);
        }
        _ => e.process.event(report.kind(), instance, report),
    }
}
