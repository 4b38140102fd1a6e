//! Turns a wave of changes of one kind into one event.
//!
//! Each instance notices each change of the fleet, so that one line for each would make the volume
//! of the logs grow with the square of the number of instances.

use super::Kind;
use crate::escape::log_value;
use std::time::{Duration, Instant};

/// Time over which changes of one kind are collected.
const WAVE_TIME: Duration = Duration::from_secs(1);

/// Changes of one kind that are not reported yet.
#[derive(Debug)]
struct Wave {
    kind: Kind,
    since: Instant,
    count: u32,
    /// Subject and detail of the first change.
    first: (Box<str>, Box<str>),
}

/// An event for one change, or for several of the same kind.
#[derive(Debug, Clone, PartialEq)]
pub struct WaveEvent {
    pub kind: Kind,
    /// The subject of a single change, or a word for all subjects of a wave.
    pub subject: Box<str>,
    pub detail: Box<str>,
}

/// Collects changes until they are reported.
#[derive(Debug, Default)]
pub struct WaveLog {
    waves: Vec<Wave>,
}

impl WaveLog {
    /// Adds a change.
    pub fn add(&mut self, now: Instant, kind: Kind, subject: &str, detail: &str) {
        match self.waves.iter_mut().find(|w| w.kind == kind) {
            Some(wave) => wave.count += 1,
            None => {
                let first = (subject.into(), detail.into());
                self.waves.push(Wave { kind, since: now, count: 1, first });
            }
        }
    }

    /// Returns the events of the waves whose time is over.
    pub fn step(&mut self, now: Instant) -> Vec<WaveEvent> {
        let is_over = |w: &mut Wave| now.saturating_duration_since(w.since) >= WAVE_TIME;
        self.waves.extract_if(.., is_over).map(Wave::into_event).collect()
    }
}

impl Wave {
    fn into_event(self) -> WaveEvent {
        let Wave { kind, count, first: (subject, detail), .. } = self;
        if count == 1 {
            return WaveEvent { kind, subject, detail };
        }
        let detail = format!("count={count} first={}", log_value(&subject)).into();
        WaveEvent { kind, subject: "several".into(), detail }
    }
}
