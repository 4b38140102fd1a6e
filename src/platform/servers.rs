//! Entries of endpoints in the store.

use crate::id::EndpointId;
use crate::pool::Listing;
use serde::Deserialize;
use std::time::Duration;

/// An entry as it is written. Others may write here too; what does not read as this is skipped.
#[derive(Debug, Deserialize)]
struct Entry<'a> {
    service: &'a str,
    address: &'a str,
    /// Data centre.
    zone: &'a str,
    slots: u32,
    state: &'a str,
    /// Time for which it stays slow after its start, not for which it stays cold.
    #[serde(default)]
    cold_remaining_ms: f64,
    /// Start as milliseconds since the Unix epoch.
    #[serde(default)]
    born: Option<u64>,
}

/// Reads an entry; `None` where it names no endpoint that can be used.
pub fn parse_listing(key: &str, value: &[u8]) -> Option<Listing> {
    let id: EndpointId = key.strip_prefix(super::SERVERS_PREFIX)?.parse().ok()?;
    let e: Entry<'_> = serde_json::from_slice(value).ok()?;
    let leaving = match e.state {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    let warming = Duration::try_from_secs_f64(e.cold_remaining_ms / 1e3).ok()?;
    Some(Listing {
        id,
        service: e.service.parse().ok()?,
        address: e.address.parse().ok()?,
        centre: e.zone.parse().ok()?,
        slots: e.slots,
        leaving,
        warming,
        started_ms: e.born,
    })
}
