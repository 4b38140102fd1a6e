//! What an entry knows of endpoints and other entries.

use crate::frame::Report;
use crate::id::{DataCentre, Incarnation, InstanceId};
use crate::store::ListedState;
use slotmap::{SlotMap, new_key_type};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

new_key_type! {
    /// Names an endpoint on the board of an entry.
    pub struct EndpointKey;
}

/// Time an endpoint stays out after its first ejection.
const EJECT_BASE: Duration = Duration::from_secs(2);
/// Longest time an endpoint stays out.
const EJECT_MAX: Duration = Duration::from_secs(60);

/// Failures of an endpoint.
#[derive(Debug, Default)]
pub struct Health {
    /// Failures since the last success.
    pub failures: u32,
    /// Ejections since the endpoint last served well.
    pub ejections: u32,
    /// End of the present ejection, if there is one.
    pub ejected_until: Option<Instant>,
    /// Tells that the endpoint is being tried after an ejection.
    pub on_trial: bool,
}

/// Failures in a row after which an endpoint is ejected.
pub const FAILURE_LIMIT: u32 = 3;

impl Health {
    /// Counts a failure to serve.
    pub fn record_failure(&mut self) {
        self.failures += 1;
        // One failure on trial is enough to end the trial.
        if self.on_trial {
            self.failures = self.failures.max(FAILURE_LIMIT);
        }
    }

    /// Counts a request that was served well.
    pub fn record_success(&mut self) {
        self.failures = 0;
        if self.on_trial {
            self.on_trial = false;
            self.ejections = 0;
        }
    }

    /// Takes the endpoint out of service for a time that doubles with each ejection.
    pub fn eject(&mut self, now: Instant) -> Instant {
        let until = now + EJECT_BASE.saturating_mul(1 << self.ejections.min(5)).min(EJECT_MAX);
        self.ejected_until = Some(until);
        self.ejections += 1;
        until
    }

    /// Lets an endpoint whose time is up back on trial; `true` where that changed something.
    pub fn readmit(&mut self, now: Instant) -> bool {
        let is_due = self.ejected_until.is_some_and(|t| t <= now);
        if is_due {
            self.ejected_until = None;
            self.failures = 0;
            self.on_trial = true;
        }
        is_due
    }
}

/// What an endpoint last said of itself.
#[derive(Debug)]
pub struct LatestReport {
    /// The report.
    pub report: Report,
    /// Run of the sidecar.
    pub incarnation: Incarnation,
    /// When it came.
    pub received: Instant,
}

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Instance.
    pub instance: InstanceId,
    /// Data centre.
    pub centre: DataCentre,
    /// Address of the sidecar.
    pub peer: SocketAddr,
    /// What the instance list says; `None` once it lists the instance no more.
    pub listed: Option<ListedState>,
    /// What the endpoint said of itself.
    pub latest: Option<LatestReport>,
    /// Tells that the link answers.
    pub linked: bool,
    /// Failures.
    pub health: Health,
    /// Requests of this entry that run or wait there.
    pub open_requests: u32,
    /// Requests sent since the last report.
    pub sent_requests: u32,
    /// Prompt tokens sent since the last report.
    pub sent_tokens: u32,
}

impl Endpoint {
    /// Tells whether the endpoint may get new work.
    pub fn is_serving(&self) -> bool {
        let is_leaving = |k: &LatestReport| k.report.leaving || !k.report.alive;
        self.linked
            && self.listed == Some(ListedState::Live)
            && self.latest.as_ref().is_some_and(|k| !is_leaving(k))
    }
}

/// Another entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Instance.
    pub instance: InstanceId,
    /// Data centre.
    pub centre: DataCentre,
    /// Address.
    pub peer: SocketAddr,
}

/// The state of an entry that its controllers share.
#[derive(Debug, Default)]
pub struct EntryBoard {
    /// Endpoints.
    pub endpoints: SlotMap<EndpointKey, Endpoint>,
    /// Other entries.
    pub entries: Vec<Peer>,
    /// When the instance list was last read.
    pub list_read: Option<Instant>,
    /// Tells that this entry takes no new work.
    pub draining: bool,
}

impl EntryBoard {
    /// Finds an endpoint by its instance.
    pub fn find(&self, instance: &InstanceId) -> Option<EndpointKey> {
        self.endpoints.iter().find(|(_, e)| e.instance == *instance).map(|(k, _)| k)
    }
}
