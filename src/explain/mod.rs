//! Explains where a request would go now, and why, without sending it.
//!
//! The reasons come from the functions that decide on requests; nothing is taken or changed. How
//! long a call of a plain service would wait is only estimated.

use crate::admit::{self, Candidate, Decision, Place, PrefillRate, Resource};
use crate::balance::{self, Cost, Need};
use crate::id::{DataCentre, EndpointId, ServiceName};
use crate::pool::{Closure, Endpoint, Hold, Pool, Purpose};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::{Duration, Instant};

/// Why an endpoint would not get a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exclusion {
    /// It is leaving.
    Leaving,
    /// Its listing has lapsed.
    Lapsed,
    /// It was ejected after failures.
    Ejected,
    /// It is on trial after an ejection, and has a request.
    OnTrial,
    /// It refused a connection.
    Unreachable,
    /// Its data centre is evacuated.
    Evacuated,
    /// It has asked for a pause.
    Paused,
    /// It limits its requests, and there is no permit.
    Limited,
    /// It is cold, tolerates only some requests meanwhile, and there is no permit.
    Cold,
    /// It has as many requests as it accepts connections.
    Connections,
    /// It lacks memory.
    NoMemory,
    /// It could not process the prompt in time.
    NotInTime,
    /// It has no free slot.
    NoSlot,
}

impl From<Closure> for Exclusion {
    fn from(closure: Closure) -> Self {
        match closure {
            Closure::Leaving => Exclusion::Leaving,
            Closure::Lapsed => Exclusion::Lapsed,
            Closure::Ejected => Exclusion::Ejected,
            Closure::OnTrial => Exclusion::OnTrial,
            Closure::Unreachable => Exclusion::Unreachable,
        }
    }
}

impl From<Hold> for Exclusion {
    fn from(hold: Hold) -> Self {
        match hold {
            Hold::Leaving => Exclusion::Leaving,
            Hold::Evacuated => Exclusion::Evacuated,
            Hold::Paused(_) => Exclusion::Paused,
            Hold::Limited => Exclusion::Limited,
        }
    }
}

impl From<Resource> for Exclusion {
    fn from(resource: Resource) -> Self {
        match resource {
            Resource::Memory => Exclusion::NoMemory,
            Resource::Prefill => Exclusion::NotInTime,
            Resource::Slot => Exclusion::NoSlot,
        }
    }
}

impl fmt::Display for Exclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Exclusion::Leaving => "leaving",
            Exclusion::Lapsed => "listing lapsed",
            Exclusion::Ejected => "ejected after failures",
            Exclusion::OnTrial => "on trial after an ejection",
            Exclusion::Unreachable => "refused a connection",
            Exclusion::Evacuated => "data centre evacuated",
            Exclusion::Paused => "asked for a pause",
            Exclusion::Limited => "limits its requests, no permit",
            Exclusion::Cold => "cold, no permit",
            Exclusion::Connections => "no connection left",
            Exclusion::NoMemory => "not enough memory",
            Exclusion::NotInTime => "prompt not read in time",
            Exclusion::NoSlot => "no free slot",
        })
    }
}

/// An endpoint of the service, as the decision sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Its data centre.
    pub centre: DataCentre,
    /// Open requests of all instances there.
    pub open: u32,
    /// Tokens of memory that these are expected to need.
    pub held: u64,
    /// Prompt tokens that are not read yet.
    pub unread: u64,
    /// Cost by which endpoints are compared, without the random part.
    pub cost: f64,
    /// Parts of the cost.
    #[serde(default)]
    pub parts: Cost,
    /// Time in milliseconds in which an engine reads the prompts before this one, and this one.
    pub first_ms: Option<u64>,
    /// Why it would not get the request; absent if it could.
    pub exclusion: Option<Exclusion>,
}

/// What would happen to the request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It would be sent at once, most likely to this endpoint.
    Sent(EndpointId),
    /// It would wait in the queue.
    Waits,
    /// It would be refused.
    Refused {
        /// Delay in milliseconds after which the caller is asked to retry.
        retry_ms: Option<u64>,
        /// Explanation.
        detail: Box<str>,
    },
}

/// Where a request would go now, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Service that would serve the request.
    pub service: ServiceName,
    /// Prefix of its route.
    pub prefix: Box<str>,
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// Time in milliseconds until the request would be given up.
    pub timeout_ms: u64,
    /// Target in milliseconds for the answer, or its first event.
    pub target_ms: u64,
    /// Longest pause in milliseconds between two events of a stream.
    #[serde(default)]
    pub gap_ms: u64,
    /// Mean slowness in percent up to which engines keep it; absent if not known.
    #[serde(default)]
    pub tolerated: Option<u32>,
    /// Requests that wait for the service at this instance.
    pub queued: usize,
    /// Those of them that come before it; absent from builds that do not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ahead: Option<usize>,
    /// Endpoints of the service, the best first.
    pub choices: Vec<Choice>,
    /// What would happen.
    pub outcome: Outcome,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (service, prefix, queued) = (&self.service, &self.prefix, self.queued);
        let (timeout, target, urgency) = (self.timeout_ms, self.target_ms, self.urgency);
        write!(f, "route {prefix} to service {service}: urgency {urgency}, ")?;
        write!(f, "target {target} ms, timeout {timeout} ms, pauses {} ms", self.gap_ms)?;
        self.tolerated.map_or(Ok(()), |percent| write!(f, " (slowness {percent})"))?;
        write!(f, ", {queued} waiting")?;
        self.ahead.map_or(Ok(()), |ahead| write!(f, ", {ahead} before it"))?;
        writeln!(f)?;
        for c in &self.choices {
            let reason = c.exclusion.map_or(String::new(), |e| format!("  left out: {e}"));
            let (open, held, unread) = (c.open, c.held, c.unread);
            write!(f, "{:<16} {:<12} cost {:>6.3}", c.endpoint.as_str(), c.centre, c.cost)?;
            write!(f, "  open {open:>3}  held {held:>6}  unread {unread:>6}")?;
            c.first_ms.map_or(Ok(()), |ms| write!(f, "  first {ms:>5} ms"))?;
            writeln!(f, "{}{reason}", Parts(&c.parts))?;
        }
        match &self.outcome {
            Outcome::Sent(endpoint) => {
                write!(f, "sent at once, most likely to {endpoint}")?;
                let choice = self.choices.iter().find(|c| c.endpoint == *endpoint);
                let first = choice.and_then(|c| c.first_ms);
                first.map_or(Ok(()), |ms| write!(f, ", first event expected in {ms} ms"))
            }
            Outcome::Waits => f.write_str("waits in the queue"),
            Outcome::Refused { retry_ms, detail } => {
                let retry = retry_ms.map_or(String::new(), |ms| format!(", retry after {ms} ms"));
                write!(f, "refused{retry}: {detail}")
            }
        }
    }
}

/// Writes the parts of a cost that are not zero.
struct Parts<'a>(&'a Cost);

impl fmt::Display for Parts<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let c = self.0;
        let parts = [
            ("load", c.load),
            ("unread", c.unread),
            ("remote", c.remote),
            ("warm-up", c.warmup),
            ("failed", c.failed),
            ("pace", c.pace),
            ("pauses", c.pauses),
        ];
        let mut others = parts.into_iter().filter(|(_, cost)| *cost != 0.0);
        others.try_for_each(|(name, cost)| write!(f, "  {name} {cost:.3}"))
    }
}

/// What admission adds to the choice of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Admission<'a> {
    /// Generation as an engine's check sees it.
    pub candidate: &'a Candidate,
    /// Prefill rate of the service.
    pub rate: &'a PrefillRate,
}

/// Lists the endpoints of a service, those that could get the request first, by cost.
pub fn choices(
    now: Instant,
    pool: &Pool,
    need: &Need<'_>,
    admission: Option<Admission<'_>>,
) -> Vec<Choice> {
    let ranked = balance::rank(now, pool, need);
    let mut choices: Vec<Choice> = ranked
        .into_iter()
        .map(|(key, cost)| choice(now, &pool.endpoints[key], need, admission, cost))
        .collect();
    choices.sort_by_key(|c| c.exclusion.is_some());
    choices
}

fn choice(
    now: Instant,
    e: &Endpoint,
    need: &Need<'_>,
    admission: Option<Admission<'_>>,
    parts: Cost,
) -> Choice {
    let work = e.work();
    let prompts = work.unread + need.work.unread;
    let first = admission.map(|a| admit::prefill_time(now, e, a.rate, prompts));
    Choice {
        endpoint: e.listing.id.clone(),
        centre: e.listing.centre.clone(),
        open: work.open,
        held: work.held,
        unread: work.unread,
        cost: parts.total(),
        parts,
        first_ms: first.map(millis),
        exclusion: exclusion(now, e, need, admission),
    }
}

/// Returns why an endpoint would not get a request now.
pub fn exclusion(
    now: Instant,
    e: &Endpoint,
    need: &Need<'_>,
    admission: Option<Admission<'_>>,
) -> Option<Exclusion> {
    if let Some(closure) = e.closure() {
        return Some(closure.into());
    }
    if let Some(hold) = e.hold(Purpose::Request) {
        let is_cold = hold == Hold::Limited && e.notices.cold.limit(now).is_some();
        return Some(if is_cold { Exclusion::Cold } else { hold.into() });
    }
    if e.work().open >= need.connections {
        return Some(Exclusion::Connections);
    }
    let (engine, admission) = need.engine.zip(admission)?;
    let missing = admit::missing_resource(now, e, engine, admission.candidate, admission.rate);
    missing.map(Exclusion::from)
}

/// Converts the decision on a generation that would have this place in the queue to an outcome.
pub fn outcome_of(decision: Decision, place: Place, pool: &Pool) -> Outcome {
    match decision {
        Decision::Send(key) => match pool.endpoints.get(key) {
            Some(e) if place.may_start(e) => Outcome::Sent(e.listing.id.clone()),
            _ => Outcome::Waits,
        },
        Decision::Wait => Outcome::Waits,
        Decision::Refuse(after) => refused(Some(after), "no engine could begin it in time"),
    }
}

/// Returns the outcome of a refusal.
pub fn refused(retry_after: Option<Duration>, detail: &str) -> Outcome {
    Outcome::Refused { retry_ms: retry_after.map(millis), detail: detail.into() }
}

fn millis(t: Duration) -> u64 {
    u64::try_from(t.as_millis()).unwrap_or(u64::MAX)
}
