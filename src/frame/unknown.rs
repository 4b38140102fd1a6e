//! Reads values of another release, which may be variants that this one does not know.

use super::{Finish, Refusal};
use crate::event::Event;
use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer};

/// A value that may be of a variant that is not known.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Sent<T> {
    Known(T),
    Unknown(IgnoredAny),
}

/// Reads how a generation ended. An end that is not known may be one after it ran: only its output is
/// lost for certain.
pub fn read_finish<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Finish>, D::Error> {
    Ok(match Deserialize::deserialize(from)? {
        Some(Sent::Known(finish)) => Some(finish),
        Some(Sent::Unknown(IgnoredAny)) => {
            log::warn!("the end of a generation is of an unknown kind and counts as a loss");
            Some(Finish::Lost)
        }
        None => None,
    })
}

/// Reads why something was refused. Whatever the reason, it has not run.
pub fn read_refusal<'de, D: Deserializer<'de>>(from: D) -> Result<Refusal, D::Error> {
    Ok(match Deserialize::deserialize(from)? {
        Sent::Known(refusal) => refusal,
        Sent::Unknown(IgnoredAny) => {
            log::warn!("a refusal has an unknown reason");
            Refusal::Down
        }
    })
}

/// Reads events. Those of a kind that is not known are left out.
pub fn read_events<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Event>, D::Error> {
    let sent: Vec<Sent<Event>> = Deserialize::deserialize(from)?;
    let count = sent.len();
    let known = sent.into_iter().filter_map(|event| match event {
        Sent::Known(event) => Some(event),
        Sent::Unknown(IgnoredAny) => None,
    });
    let known: Vec<Event> = known.collect();
    if known.len() < count {
        log::warn!("left out {} events of unknown kinds", count - known.len());
    }
    Ok(known)
}
