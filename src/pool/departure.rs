//! Remembers which endpoints were removed recently.

use super::Listing;
use crate::id::EndpointId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which a removal is remembered. A copy from which the store comes back is some seconds
/// old and may still list the endpoint.
const RETENTION: Duration = Duration::from_secs(60);

/// Removal of an endpoint.
#[derive(Debug)]
struct Departure {
    at: Instant,
    /// Start time of the removed endpoint.
    started_ms: Option<u64>,
}

/// Recent removals of endpoints.
#[derive(Debug, Default)]
pub struct Departures(HashMap<EndpointId, Departure>);

impl Departures {
    /// Records that the endpoint of a listing was removed.
    pub fn record(&mut self, now: Instant, listing: &Listing) {
        let departure = Departure { at: now, started_ms: listing.started_ms };
        self.0.insert(listing.id.clone(), departure);
    }

    /// Forgets the removal of an endpoint that is listed again.
    pub fn forget(&mut self, id: &EndpointId) {
        self.0.remove(id);
    }

    /// Returns whether the endpoint of a listing, in this start, was removed recently.
    pub fn contains(&self, listing: &Listing) -> bool {
        self.0.get(&listing.id).is_some_and(|d| d.started_ms == listing.started_ms)
    }

    /// Forgets removals after a while.
    pub fn step(&mut self, now: Instant) {
        self.0.retain(|_, d| now < d.at + RETENTION);
    }
}
