//! State of an entry: the endpoints and the other entries.

use crate::frame::Report;
use crate::id::{DataCentre, Incarnation, InstanceId};
use crate::store::ListedState;
use slotmap::{SlotMap, new_key_type};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

new_key_type! {
    /// Key of an endpoint in [`EntryBoard::endpoints`].
    pub struct EndpointKey;
}

/// Duration of the first ejection of an endpoint; doubled with each further one.
const MIN_EJECTION: Duration = Duration::from_secs(2);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// Failure history of an endpoint, from which ejection is decided.
#[derive(Debug, Default)]
pub struct Health {
    /// Consecutive failures since the last success or readmission.
    pub failures: u32,
    /// Ejections since the last successful trial.
    pub ejections: u32,
    /// End of the current ejection; `None` if the endpoint is not ejected.
    pub ejected_until: Option<Instant>,
    /// Whether the endpoint was readmitted and has not served a request since.
    pub on_trial: bool,
}

/// Number of consecutive failures after which an endpoint is ejected.
pub const FAILURE_LIMIT: u32 = 3;

impl Health {
    /// Records a failed request.
    pub fn record_failure(&mut self) {
        self.failures += 1;
        // During a trial, a single failure is enough for the next ejection.
        if self.on_trial {
            self.failures = self.failures.max(FAILURE_LIMIT);
        }
    }

    /// Records a successful request, which ends a trial.
    pub fn record_success(&mut self) {
        self.failures = 0;
        if self.on_trial {
            self.on_trial = false;
            self.ejections = 0;
        }
    }

    /// Ejects the endpoint for a time that doubles with each ejection; returns when it ends.
    pub fn eject(&mut self, now: Instant) -> Instant {
        let until = now + MIN_EJECTION.saturating_mul(1 << self.ejections.min(5)).min(MAX_EJECTION);
        self.ejected_until = Some(until);
        self.ejections += 1;
        until
    }

    /// Readmits the endpoint on trial if its ejection has ended; returns whether it did.
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

/// The last report received from an endpoint.
#[derive(Debug)]
pub struct LatestReport {
    /// Load, capacity and crashes as reported.
    pub report: Report,
    /// Run of the sidecar that sent the report.
    pub incarnation: Incarnation,
    /// Time at which the report was received.
    pub received: Instant,
}

/// An endpoint as seen by an entry.
#[derive(Debug)]
pub struct Endpoint {
    /// Name in the instance list.
    pub instance: InstanceId,
    /// Data centre in which the endpoint runs.
    pub centre: DataCentre,
    /// Peer address of the sidecar.
    pub peer: SocketAddr,
    /// State in the instance list; `None` once the instance is no longer listed.
    pub listed: Option<ListedState>,
    /// Last report; `None` before the first.
    pub latest: Option<LatestReport>,
    /// Whether the sidecar answers polls.
    pub linked: bool,
    /// Failure history.
    pub health: Health,
    /// Requests of this entry that are running or queued at the endpoint.
    pub open_requests: u32,
    /// Requests sent since the last report, which does not include them yet.
    pub sent_requests: u32,
    /// Prompt tokens of the requests sent since the last report.
    pub sent_tokens: u32,
}

impl Endpoint {
    /// Returns whether the endpoint may get new work: it is listed as live, linked, and reports
    /// itself alive and not leaving.
    pub fn is_serving(&self) -> bool {
        let is_unusable = |l: &LatestReport| l.report.leaving || !l.report.alive;
        self.linked
            && self.listed == Some(ListedState::Live)
            && self.latest.as_ref().is_some_and(|l| !is_unusable(l))
    }
}

/// Another entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Name in the instance list.
    pub instance: InstanceId,
    /// Data centre in which the entry runs.
    pub centre: DataCentre,
    /// Peer address.
    pub peer: SocketAddr,
}

/// State shared by the controllers of an entry.
#[derive(Debug, Default)]
pub struct EntryBoard {
    /// Endpoints that are listed or still linked.
    pub endpoints: SlotMap<EndpointKey, Endpoint>,
    /// Other live entries in the instance list.
    pub entries: Vec<Peer>,
    /// Whether this entry is shutting down and refuses new requests.
    pub draining: bool,
}

impl EntryBoard {
    /// Returns the key of the endpoint with this instance name.
    pub fn find(&self, instance: &InstanceId) -> Option<EndpointKey> {
        self.endpoints.iter().find(|(_, e)| e.instance == *instance).map(|(k, _)| k)
    }
}
