//! Endpoints that are cold, which tolerate only some requests a second from all instances together.
//!
//! Answers the load of endpoints that come back, one or a whole data centre of them: each gets what
//! it tolerates while it is cold, and the rest goes elsewhere. When that ends, the rate rises for a
//! while before the bound is gone, so that not all instances send their callers there at one moment.

use super::Pool;
use crate::id::ServiceName;
use crate::limit::{Rate, Stated};
use std::time::{Duration, Instant};

/// Time after the end of the cold time in which the rate rises, several times that in which an
/// instance learns of the requests of the others.
const RISE_TIME: Duration = Duration::from_millis(500);
/// Rate at the end of the rise, as a multiple of that before it.
const MAX_RISE: f64 = 4.0;

/// How long an endpoint is cold, and what it tolerates meanwhile.
#[derive(Debug, Default)]
pub struct Cold {
    /// Latest end of the cold times that it has stated.
    until: Option<Instant>,
    /// What the service's endpoints tolerate while they are cold; `None` if there is no bound.
    rate: Option<Rate>,
    /// Whether the bound was in force in the last step.
    pub was_bound: bool,
}

impl Cold {
    /// Returns the limit of the requests from all instances together; `None` if there is none.
    pub fn limit(&self, now: Instant) -> Option<Rate> {
        let (until, rate) = (self.until?, self.rate?);
        let since = now.saturating_duration_since(until);
        let risen = since.as_secs_f64() / RISE_TIME.as_secs_f64();
        (risen < 1.0).then(|| rate.times(1.0 + risen * (MAX_RISE - 1.0)))
    }

    /// Records for how long the endpoint stays cold. A statement that is on its way when it turns
    /// cold does not end that, so the latest end counts.
    pub fn extend(&mut self, now: Instant, left: Duration) {
        if !left.is_zero() {
            self.until = self.until.max(Some(now + left));
        }
    }

    /// Sets what the endpoint tolerates while it is cold.
    pub fn set_rate(&mut self, rate: Option<Rate>) {
        self.rate = rate;
    }
}

impl Pool {
    /// Sets how many requests a second the endpoints of services tolerate while they are cold. What was
    /// known of a service stays if that cannot be read.
    pub fn set_cold_limits(
        &mut self,
        now: Instant,
        limits: impl Iterator<Item = (ServiceName, Stated)>,
    ) {
        for (service, stated) in limits {
            match stated {
                Stated::Limited(rate) => drop(self.cold_rates.insert(service, rate)),
                Stated::Unlimited => drop(self.cold_rates.remove(&service)),
                Stated::Unreadable => {}
            }
        }
        for e in self.endpoints.values_mut() {
            e.notices.cold.set_rate(self.cold_rates.get(&e.listing.service).copied());
            e.notices.update_share(now);
        }
    }

    /// Keeps an endpoint cold for some time.
    pub(super) fn extend_cold(&mut self, now: Instant, key: super::PoolKey, left: Duration) {
        if let Some(e) = self.endpoints.get_mut(key) {
            e.warmup_end = e.warmup_end.max(now + left);
            e.notices.cold.extend(now, left);
            e.notices.update_share(now);
        }
    }

    /// Brings what holds requests back from a listed endpoint up to date.
    pub(super) fn update_notices(&mut self, now: Instant, key: super::PoolKey) {
        let e = &mut self.endpoints[key];
        e.notices.evacuated = self.evacuations.is_active(&e.listing.centre);
        e.notices.cold.set_rate(self.cold_rates.get(&e.listing.service).copied());
        e.notices.cold.extend(now, e.listing.warmup.unwrap_or_default());
        e.notices.update_share(now);
    }
}
