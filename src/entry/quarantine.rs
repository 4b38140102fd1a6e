//! Crashes that sidecars report, and the contents and parts that they are attributed to.

use super::Entry;
use super::request::GenerationRequest;
use crate::clock;
use crate::event::Kind;
use crate::frame::{Crash, Gossip, Refusal};
use crate::id::{Incarnation, PartId};
use crate::quarantine::{AccusedPart, SoundRun, Standing};
use std::time::Duration;

/// Records the crashes that a sidecar reports, known ones included.
pub fn record_crashes(e: &Entry, incarnation: Incarnation, crashes: &[Crash]) {
    let now = clock::now();
    for crash in crashes {
        let changes = e.quarantine.borrow_mut().record_crash(now, incarnation, crash);
        for (content, standing) in changes {
            let kind = match standing {
                Standing::Refused => Kind::Convicted,
                _ => Kind::Suspected,
            };
            e.process.event(kind, content, format_args!("{standing:?}"));
        }
        let at = now.checked_sub(Duration::from_millis(crash.age)).unwrap_or(now);
        let id = (incarnation, crash.number);
        // The sidecar names only generations that its engine was running.
        let parts: Vec<AccusedPart> =
            crash.parts.iter().map(|p| AccusedPart { part: *p, begun: true }).collect();
        let accused = e.quarantine.borrow_mut().parts.record_crash(at, id, &parts);
        if !accused.is_empty() {
            let detail = format_args!("parts={}", accused.len());
            e.process.event(Kind::Accused, incarnation, detail);
        }
    }
}

/// Refuses a generation of which a part has crashed engines.
///
/// # Errors
///
/// Returns [`Refusal::Convicted`] if a part is refused.
pub fn check_parts(e: &Entry, request: &GenerationRequest) -> Result<(), Refusal> {
    match e.quarantine.borrow().parts.find_refused(&request.parts) {
        Some(_) => Err(Refusal::Convicted),
        None => Ok(()),
    }
}

/// Clears the parts of a sound run.
pub fn record_sound(e: &Entry, run: &SoundRun) {
    let cleared = e.quarantine.borrow_mut().parts.record_sound(clock::now(), run);
    for (part, crashes) in cleared {
        e.process.event(Kind::Cleared, part, format_args!("crashes={crashes}"));
    }
}

/// Brings what is accused and refused up to date; called at short intervals.
pub fn step(e: &Entry) {
    let now = clock::now();
    // Sidecars report the crashes of their endpoints.
    let unproven = e.runs.borrow().unproven(now, |_| true);
    unproven.into_iter().for_each(|(key, _)| e.runs.borrow_mut().record_life(now, key));
    let sound = e.runs.borrow_mut().step(now);
    sound.iter().for_each(|run| record_sound(e, run));
    let new = e.quarantine.borrow_mut().parts.step(now);
    for refused in new {
        let parts: Vec<String> = refused.parts.iter().map(PartId::to_string).collect();
        let detail = format_args!("crashes={}", refused.crashes);
        e.process.event(Kind::Convicted, parts.join("+"), detail);
    }
}

/// Merges what another entry knows.
pub fn merge(e: &Entry, gossip: &Gossip) {
    e.quarantine.borrow_mut().merge(clock::now(), gossip);
}
