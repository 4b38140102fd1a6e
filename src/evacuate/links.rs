//! Schedules the copies of generations on the links of the engines of one data centre.
//!
//! Answers the load of several engines that are reclaimed at once with many generations on each. A
//! copy occupies the links of two engines, and one that waits for the first link keeps the second
//! from being used, so that a few copies to the same engine hold up those of a whole data centre.
//! Instances that decide on their own all choose the same engine before they hear of each other.
//! One instance therefore grants all copies from a data centre's engines, each only while both
//! links are idle.

use super::{copy_time, memory_share, slow_cost, target_cost};
use crate::balance::Speeds;
use crate::gossip::Tag;
use crate::id::{DataCentre, InstanceId, ServiceName};
use crate::pool::{Endpoint, Pool};
use crate::route::Engine;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time after which a generation that did not ask again no longer waits.
const WAITER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time beyond its estimate after which a transfer that was not reported as finished counts as
/// finished: the time of a last copy, and of a lost message.
const TRANSFER_MARGIN: Duration = Duration::from_millis(150);

/// Identifies a transfer among those of all instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId {
    /// Instance that serves the generation.
    pub instance: InstanceId,
    /// Number that is unique in that instance.
    pub number: u64,
}

/// A request to copy a generation from an engine that is leaving.
#[derive(Debug)]
pub struct TransferRequest<'a> {
    pub id: TransferId,
    /// Engine that the generation runs on.
    pub source: Tag,
    /// Service of that engine.
    pub service: &'a ServiceName,
    /// Data centre of that engine.
    pub centre: &'a DataCentre,
    /// Tokens to copy.
    pub tokens: u32,
    /// Memory that the generation is expected to need by its end, in tokens.
    pub held: u64,
    /// Time within which the copy has to end.
    pub time_left: Duration,
    /// Engines that did not accept the copy.
    pub tried: &'a [Tag],
}

/// Answer to a [`TransferRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The copy starts now, to this engine.
    #[serde(rename = "g")]
    Granted(Tag),
    /// A link is busy; the request has to be repeated.
    #[serde(rename = "w")]
    Wait,
    /// The copy would not end in time.
    #[serde(rename = "l")]
    TooLate,
    /// The service is not known here.
    #[serde(rename = "u")]
    Unknown,
}

/// A copy in progress.
#[derive(Debug)]
struct Transfer {
    links: [Tag; 2],
    ends: Instant,
}

/// A generation that waits for the link of its engine.
#[derive(Debug)]
struct Waiter {
    source: Tag,
    tokens: u32,
    asked: Instant,
}

/// Transfers that one instance has granted, and those that wait.
#[derive(Debug, Default)]
pub struct LinkScheduler {
    transfers: HashMap<TransferId, Transfer>,
    waiting: HashMap<TransferId, Waiter>,
}

impl LinkScheduler {
    /// Decides whether a copy starts now. The smallest generation of an engine goes first, so that
    /// more of them are copied in time.
    pub fn request(
        &mut self,
        now: Instant,
        pool: &Pool,
        engine: &Engine,
        request: &TransferRequest<'_>,
    ) -> Verdict {
        self.transfers.retain(|_, t| t.ends > now);
        self.waiting.retain(|_, w| now.saturating_duration_since(w.asked) < WAITER_TIMEOUT);
        self.waiting.remove(&request.id);
        if copy_time(engine, request.tokens) > request.time_left {
            return Verdict::TooLate;
        }
        let may_start = !self.is_busy(request.source) && !self.is_preceded(request);
        let target = may_start.then(|| self.choose_target(now, pool, engine, request)).flatten();
        let Some((target, time)) = target else {
            let waiter = Waiter { source: request.source, tokens: request.tokens, asked: now };
            self.waiting.insert(request.id.clone(), waiter);
            return Verdict::Wait;
        };
        let transfer =
            Transfer { links: [request.source, target], ends: now + time + TRANSFER_MARGIN };
        self.transfers.insert(request.id.clone(), transfer);
        Verdict::Granted(target)
    }

    /// Records that a transfer has ended or was given up.
    pub fn finish(&mut self, id: &TransferId) {
        self.transfers.remove(id);
        self.waiting.remove(id);
    }

    fn is_busy(&self, link: Tag) -> bool {
        self.transfers.values().any(|t| t.links.contains(&link))
    }

    /// Returns whether a smaller generation waits for the same link.
    fn is_preceded(&self, request: &TransferRequest<'_>) -> bool {
        let own = (request.tokens, &request.id);
        self.waiting.iter().any(|(id, w)| w.source == request.source && (w.tokens, id) < own)
    }

    /// Selects an engine with memory and an idle link, and returns the time of the copy to it.
    fn choose_target(
        &self,
        now: Instant,
        pool: &Pool,
        engine: &Engine,
        request: &TransferRequest<'_>,
    ) -> Option<(Tag, Duration)> {
        let is_remote = |e: &Endpoint| e.listing.centre != *request.centre;
        let time =
            |e: &Endpoint| copy_time(engine, super::link_tokens(request.tokens, is_remote(e)));
        let fits = |e: &Endpoint| {
            e.tag != request.source
                && e.accepts_moves(request.service)
                && !request.tried.contains(&e.tag)
                && !self.is_busy(e.tag)
                // Copies to another data centre's engines are granted by several instances.
                && (!is_remote(e) || e.work().copies == 0)
                && e.open_requests(now) < e.listing.slots
                && memory_share(e, request.held, engine) <= super::MAX_MEMORY_SHARE
                && time(e) <= request.time_left
        };
        let speeds = Speeds::of(now, pool, request.service);
        let cost = |e: &Endpoint| {
            let slow = slow_cost(now, speeds.as_ref(), e);
            target_cost(e, request.centre, request.held, engine) + slow
        };
        pool.endpoints
            .values()
            .filter(|e| fits(e))
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            .map(|e| (e.tag, time(e)))
    }
}
