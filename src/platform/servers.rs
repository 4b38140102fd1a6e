//! Endpoint entries in the store, which the platform calls servers.

use crate::id::EndpointId;
use crate::pool::Listing;
use serde::Deserialize;
use std::time::Duration;

/// Serialized form of an entry. Other writers may use the same prefix, so values that do not have
/// this form are ignored.
#[derive(Debug, Deserialize)]
struct ServerEntry<'a> {
    service: &'a str,
    address: &'a str,
    /// Data centre of the endpoint.
    zone: &'a str,
    /// Number of requests that run at a time.
    slots: u32,
    /// `ready` or `draining`.
    state: &'a str,
    /// Time for which the endpoint is still slow after its start. It accepts requests meanwhile.
    #[serde(default)]
    cold_remaining_ms: f64,
    /// Start time in milliseconds since the Unix epoch.
    #[serde(default)]
    born: Option<u64>,
}

/// Parses an entry; `None` if it does not describe a usable endpoint.
pub fn parse_listing(key: &str, value: &[u8]) -> Option<Listing> {
    let id: EndpointId = key.strip_prefix(super::SERVERS_PREFIX)?.parse().ok()?;
    let e: ServerEntry<'_> = serde_json::from_slice(value).ok()?;
    let leaving = match e.state {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    let warmup = Duration::try_from_secs_f64(e.cold_remaining_ms / 1e3).ok()?;
    Some(Listing {
        id,
        service: e.service.parse().ok()?,
        address: e.address.parse().ok()?,
        centre: e.zone.parse().ok()?,
        slots: e.slots,
        leaving,
        warmup,
        started_ms: e.born,
    })
}
