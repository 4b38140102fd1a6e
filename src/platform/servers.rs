//! Endpoint entries in the store, which the platform calls servers.

use super::fields;
use crate::id::{DataCentre, EndpointId, ServiceName};
use crate::pool::Listing;
use serde::Deserialize;
use std::borrow::Cow;
use std::time::Duration;

/// Serialized form of an entry. Other writers may use the same prefix, so values that do not have
/// this form are ignored.
#[derive(Debug, Deserialize)]
struct ServerEntry<'a> {
    #[serde(borrow)]
    service: Cow<'a, str>,
    #[serde(borrow)]
    address: Cow<'a, str>,
    /// Data centre of the endpoint.
    #[serde(borrow)]
    zone: Cow<'a, str>,
    /// Number of requests that run at a time.
    #[serde(deserialize_with = "fields::read_whole")]
    slots: u32,
    /// `ready` or `draining`.
    #[serde(borrow)]
    state: Cow<'a, str>,
    /// Time for which the endpoint is still slow after its start. It accepts requests meanwhile.
    #[serde(default)]
    cold_remaining_ms: f64,
    /// Start time in milliseconds since the Unix epoch.
    #[serde(default, deserialize_with = "fields::read_optional_whole")]
    born: Option<u64>,
}

/// Longest time for which an endpoint can state that it is cold.
const MAX_COLD_MS: f64 = 600_000.0;

/// Reads for how many milliseconds an endpoint stays cold; `None` if that is no such time.
pub fn parse_cold_time(ms: f64) -> Option<Duration> {
    let is_valid = (0.0..=MAX_COLD_MS).contains(&ms);
    if !is_valid {
        log::warn!("ignored a cold time of {ms} ms, not one of up to {MAX_COLD_MS} ms");
    }
    is_valid.then(|| Duration::from_secs_f64(ms / 1e3))
}

/// Parses an entry; `None` if it does not describe a usable endpoint.
pub fn parse_listing(key: &str, value: &[u8]) -> Option<Listing> {
    let id: EndpointId = key.strip_prefix(super::SERVERS_PREFIX)?.parse().ok()?;
    let e: ServerEntry<'_> = serde_json::from_slice(value).ok()?;
    let leaving = match &*e.state {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    Some(Listing {
        id,
        service: ServiceName::from_label(&e.service).ok()?,
        address: e.address.parse().ok()?,
        centre: DataCentre::from_label(&e.zone).ok()?,
        slots: e.slots,
        leaving,
        warmup: parse_cold_time(e.cold_remaining_ms),
        started_ms: e.born,
    })
}
