//! One request with the terms that it is served on.

use super::Gateway;
use crate::admit::{self, Bid, Entrant, Reading, Shortage, Verdict};
use crate::balance::{self, Need};
use crate::event::Kind;
use crate::gossip::Work;
use crate::h1::Inbound;
use crate::id::{DataCentre, RequestId, ServiceName, Tokens};
use crate::platform::{self, ForwardParams, RequestInfo};
use crate::pool::PoolKey;
use crate::problem::{Problem, ProblemKind};
use crate::route::{Denied, Engine, Kind as RouteKind, Member, Route, Service, Urgency};
use actix_http::{Request, RequestHead};
use bytes::Bytes;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time after which a refused caller should ask again, where nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Share of the time that a caller has within which it comes back at all.
const RETRY_AFTER_DIVISOR: u32 = 4;
/// Tokens of output that a generation is expected to write, where nobody knows.
const DEFAULT_OUTPUT_TOKENS: u32 = 200;

/// One request.
#[derive(Debug)]
pub struct Job {
    /// The request as the caller sent it.
    pub req: Request,
    /// Its body.
    pub body: Bytes,
    /// What its head says.
    pub meta: RequestInfo,
    /// When it was read.
    pub received: Instant,
    /// Its route.
    pub route: Rc<Route>,
    /// Workspace of its key.
    pub workspace: Option<Rc<Member>>,
    /// Service that it was drawn for.
    pub service: ServiceName,
    /// What the operators say of the service.
    pub spec: Option<Rc<Service>>,
    /// When the caller's or the operators' patience ends.
    pub deadline: Instant,
}

impl Job {
    /// Finds the terms of a request.
    ///
    /// # Errors
    ///
    /// Returns a problem where the request is not allowed, or nothing is known yet.
    pub fn new(
        gw: &Gateway,
        now: Instant,
        req: Request,
        body: Bytes,
        meta: RequestInfo,
    ) -> Result<Job, Problem> {
        let Some(table) = gw.table.borrow().clone() else {
            let detail = "no configuration is in force here yet";
            // Nobody knows for how long, so a caller comes back as late as it can.
            let after = meta.timeout.map_or(DEFAULT_RETRY_AFTER, |p| p / RETRY_AFTER_DIVISOR);
            return Err(Problem::new(ProblemKind::NotReady, detail).retry(super::jitter(after)));
        };
        let path = req.uri().path();
        let admitted = table.admit(platform::host(&req), path, meta.key.as_deref());
        let (route, workspace) = admitted.map_err(|denied| match denied {
            Denied::Route => Problem::new(ProblemKind::NotFound, "no route takes this path"),
            Denied::Key => Problem::new(ProblemKind::Unauthorized, "the API key is not known"),
        })?;
        let drawn = route.draw(&mut rand::rng()).cloned();
        let service = drawn.ok_or_else(|| {
            Problem::new(ProblemKind::NotReady, "the route has no service")
                .retry(DEFAULT_RETRY_AFTER)
        })?;
        let spec = table.services.get(&service).cloned();
        let patience = meta.timeout.map_or(route.timeout, |p| p.min(route.timeout));
        let deadline = now + patience;
        Ok(Job { req, body, meta, received: now, route, workspace, service, spec, deadline })
    }

    /// Returns the time that is left.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the engines of the service, unless it is a plain one.
    pub fn engine(&self) -> Option<&Engine> {
        self.spec.as_ref()?.engine.as_ref()
    }

    /// Returns the memory that a generation is expected to need.
    pub fn expected_tokens(&self) -> Tokens {
        let Some(p) = self.meta.tokens else { return Tokens(0) };
        let output = p.output_hint.map_or(DEFAULT_OUTPUT_TOKENS, |h| h.0).min(p.max_output.0);
        Tokens(p.input.0 + output)
    }

    /// Returns the size of a generation as the log tells it, with a space before it.
    pub fn size_suffix(&self) -> String {
        self.meta.tokens.map_or_else(String::new, |p| format!(" {p}"))
    }

    /// Returns what it will need of an endpoint.
    pub fn expected_work(&self) -> Work {
        let unread = self.meta.tokens.map_or(0, |p| u64::from(p.input.0));
        Work { open: 1, held: u64::from(self.expected_tokens().0), unread, copies: 0 }
    }

    /// Tells whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route.kind == RouteKind::Safe
    }

    /// Chooses an endpoint for it.
    pub fn choose_endpoint(
        &self,
        gw: &Gateway,
        now: Instant,
        tried: &[PoolKey],
    ) -> Option<PoolKey> {
        let settings = gw.settings.borrow();
        let need = self.need(&settings.centre);
        balance::choose(now, &gw.pool.borrow(), &need, tried, &mut rand::rng())
    }

    fn need<'a>(&'a self, centre: &'a DataCentre) -> Need<'a> {
        let connections = self.spec.as_ref().map_or(u32::MAX, |t| t.connections);
        let (service, engine, work) = (&self.service, self.engine(), self.expected_work());
        Need { service, engine, work, centre, connections }
    }

    /// Returns its rank: that of the workspace goes before that of the route.
    pub fn urgency(&self) -> Urgency {
        let own = self.workspace.as_ref().and_then(|w| w.urgency);
        own.unwrap_or(self.route.urgency)
    }

    /// Decides whether it begins now.
    pub fn decide_admission(&self, gw: &Gateway, now: Instant, tried: &[PoolKey]) -> Verdict {
        let settings = gw.settings.borrow();
        let bid = self.bid(gw, &settings.centre);
        admit::decide(now, &gw.pool.borrow(), &bid, &self.reading(gw), tried, &mut rand::rng())
    }

    /// Counts what the engines lack for it.
    pub fn shortage(&self, gw: &Gateway, now: Instant) -> Shortage {
        let settings = gw.settings.borrow();
        admit::shortage(now, &gw.pool.borrow(), &self.bid(gw, &settings.centre), &self.reading(gw))
    }

    /// Returns it as an engine would meet it now.
    pub fn entrant(&self, gw: &Gateway, now: Instant) -> Entrant {
        let settings = gw.settings.borrow();
        admit::entrant(now, &self.bid(gw, &settings.centre), &self.reading(gw))
    }

    fn bid<'a>(&'a self, gw: &Gateway, centre: &'a DataCentre) -> Bid<'a> {
        Bid {
            need: self.need(centre),
            since: self.received,
            target: self.route.target,
            deadline: self.deadline,
            urgency: self.urgency(),
            line: gw.queue.borrow().len(&self.service),
        }
    }

    fn reading(&self, gw: &Gateway) -> Reading {
        gw.read_rates.borrow().get(&self.service).copied().unwrap_or_default()
    }

    /// Makes the head of the request for an endpoint.
    pub fn forward_head(&self, onward: &ForwardParams<'_>) -> RequestHead {
        platform::forward_head(&self.req, onward)
    }

    /// Returns when a refused caller should come back, within the time that it has.
    pub fn retry_after(&self, now: Instant) -> Duration {
        let most = self.time_left(now) / RETRY_AFTER_DIVISOR;
        super::jitter(DEFAULT_RETRY_AFTER).min(most)
    }

    /// Makes a refusal of a request that has not run.
    pub fn refusal(&self, now: Instant, kind: ProblemKind, detail: &str) -> Problem {
        Problem::new(kind, detail).retry(self.retry_after(now))
    }
}

/// Names a request in the log.
pub fn log_id(id: Option<&RequestId>) -> &str {
    id.map_or("-", RequestId::as_str)
}

/// Sends a refusal, with one log line.
pub async fn refuse(
    gw: &Gateway,
    conn: &mut Inbound,
    id: Option<&RequestId>,
    problem: &Problem,
    close: bool,
) -> std::io::Result<()> {
    let status = problem.kind.status();
    let kind = match problem.outcome() {
        crate::problem::Outcome::NotRun => Kind::TurnedAway,
        _ => Kind::Failed,
    };
    let retry = problem.retry.map_or(0, |r| r.as_millis());
    let detail = format!(
        "status={status} why={} retry_ms={retry} detail={:?}",
        problem.kind, problem.detail
    );
    gw.event(kind, log_id(id), detail);
    metrics::counter!("refusals_total", "kind" => problem.kind.to_string()).increment(1);
    let head = platform::refusal_head(status, id, problem.retry);
    conn.answer(head, problem.to_json().into(), close).await
}
