//! A caller's request, resolved to its route, workspace and service.

use super::{Gateway, limits};
use crate::admit::{self, AdmissionRequest, Candidate, Decision, PrefillRate, Shortage};
use crate::balance::{self, Need};
use crate::callers::Load;
use crate::clock;
use crate::event::Kind;
use crate::frame::Refusal;
use crate::gossip::Work;
use crate::h1::{Head, Inbound};
use crate::id::{DataCentre, Fingerprint, PartId, RequestId, ServiceName, Tokens};
use crate::platform::{self, ForwardParams, HeaderFault, RequestInfo};
use crate::pool::PoolKey;
use crate::problem::{Problem, ProblemKind};
use crate::prompts;
use crate::route::{Denied, Engine, KeyOwner, Route, RouteKind, Service, Urgency};
use crate::speed::Slowness;
use crate::startup;
use actix_http::RequestHead;
use bytes::Bytes;
use std::cell::OnceCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Retry delay suggested to a refused caller when no better estimate exists.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry delay suggested to the callers of a stopping instance, who can reach another one at once.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(100);
/// A suggested retry delay is at most the caller's remaining time divided by this. Callers do not
/// retry after longer delays.
const RETRY_AFTER_DIVISOR: u32 = 4;
/// Output tokens assumed for a generation whose caller sent no length hint.
const DEFAULT_OUTPUT_TOKENS: u32 = 200;

/// A request and the configuration that applies to it.
#[derive(Debug)]
pub struct Job {
    /// The request as the caller sent it.
    pub req: Head,
    /// Whole request body.
    pub body: Bytes,
    /// Parsed headers of the request.
    pub meta: RequestInfo,
    /// When the request had been read in full.
    pub received: Instant,
    /// Route that matches the request's host and path.
    pub route: Rc<Route>,
    /// Workspace of the API key; absent where no key is required and no known key was sent.
    pub workspace: Option<Rc<KeyOwner>>,
    /// Service drawn by weight from those of the route.
    pub service: ServiceName,
    /// Configuration of the service; absent if the table has no entry for it.
    pub spec: Option<Rc<Service>>,
    /// End of the caller's timeout or the route's, whichever is earlier.
    pub deadline: Instant,
    /// What the connection of the caller keeps.
    pub load: Load,
    /// Identifies the content, once something has asked for it.
    content: OnceCell<Fingerprint>,
}

impl Job {
    /// Resolves a request against the routing table.
    ///
    /// # Errors
    ///
    /// Returns a problem if no configuration is loaded yet, no route matches, the API key is
    /// missing or unknown, or the route has no service to send to.
    pub fn new(
        gw: &Gateway,
        now: Instant,
        req: Head,
        body: Bytes,
        meta: RequestInfo,
    ) -> Result<Job, Problem> {
        let Some(table) = gw.table.borrow().clone() else {
            let detail = "no configuration has been loaded yet";
            let after = startup::retry_after(clock::now(), now, meta.timeout);
            return Err(
                Problem::new(ProblemKind::NotReady, detail).retry_after(super::jitter(after))
            );
        };
        let path = req.uri().path();
        let admitted = table.authorize(platform::host(&req), path, meta.key.as_deref());
        let (route, workspace) = admitted.map_err(|denied| match denied {
            Denied::Route => {
                Problem::new(ProblemKind::NotFound, "no route matches the host and path")
            }
            Denied::Key => Problem::new(ProblemKind::Unauthorized, "missing or unknown API key"),
        })?;
        let drawn = route.pick_service(&mut rand::rng()).cloned();
        let service = drawn.ok_or_else(|| {
            Problem::new(ProblemKind::NotReady, "the route has no service with a non-zero weight")
                .retry_after(DEFAULT_RETRY_AFTER)
        })?;
        let spec = table.services.get(&service).cloned();
        let timeout = meta.timeout.map_or(route.timeout, |t| t.min(route.timeout));
        let deadline = now + timeout;
        let (load, content, received) = (Load::default(), OnceCell::new(), now);
        Ok(Job {
            req,
            body,
            meta,
            received,
            route,
            workspace,
            service,
            spec,
            deadline,
            load,
            content,
        })
    }

    /// Counts what is kept for the request towards that of its connection.
    pub fn with_load(self, load: &Load) -> Job {
        Job { load: load.clone(), ..self }
    }

    /// Returns what identifies the content, which `identify` computes the first time: that reads the whole
    /// body, and nothing else is served meanwhile.
    pub fn content(&self, identify: impl FnOnce(&Job) -> Fingerprint) -> Fingerprint {
        *self.content.get_or_init(|| identify(self))
    }

    /// Returns the time until the deadline, zero once it has passed.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the engine configuration of the service; `None` for a plain HTTP service.
    pub fn engine(&self) -> Option<&Engine> {
        self.spec.as_ref()?.engine.as_ref()
    }

    /// Returns the engine memory that the generation is expected to need at its end: prompt and
    /// output. Zero for plain requests.
    pub fn expected_tokens(&self) -> Tokens {
        let input = self.meta.tokens.map_or(0, |t| t.input.0);
        Tokens(input.saturating_add(self.expected_output().0))
    }

    /// Returns the number of output tokens that the generation is expected to have. Zero for plain
    /// requests.
    fn expected_output(&self) -> Tokens {
        let Some(tokens) = self.meta.tokens else { return Tokens(0) };
        let output = tokens.output_hint.map_or(DEFAULT_OUTPUT_TOKENS, |h| h.0);
        Tokens(output.min(tokens.max_output.0))
    }

    /// Returns the token counts and the shared parts of a generation for a log line, with a leading
    /// space; empty for plain requests.
    pub fn prompt_suffix(&self) -> String {
        /// Most parts in one line.
        const MAX_LOGGED_PARTS: usize = 8;
        let Some(tokens) = self.meta.tokens else { return String::new() };
        let parts = self.meta.shared_parts.iter().take(MAX_LOGGED_PARTS);
        let parts: Vec<String> = parts.map(PartId::to_string).collect();
        format!(" {tokens} parts={}", parts.join(","))
    }

    /// Returns the load that the request is expected to put on an endpoint.
    pub fn expected_work(&self) -> Work {
        let unread = self.meta.tokens.map_or(0, |t| u64::from(t.input.0));
        Work { open: 1, held: u64::from(self.expected_tokens().0), unread, copies: 0 }
    }

    /// Returns whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.route.kind {
            RouteKind::Safe => true,
            RouteKind::Streaming => self.route.resumable,
            RouteKind::Unsafe => false,
        }
    }

    /// Chooses an endpoint by load, excluding those in `tried`.
    pub fn choose_endpoint(
        &self,
        gw: &Gateway,
        now: Instant,
        tried: &[PoolKey],
    ) -> Option<PoolKey> {
        limits::refresh(gw, now, &self.service);
        let settings = gw.settings.borrow();
        let need = self.need(gw, now, &settings.centre);
        balance::choose(now, &gw.pool.borrow(), &need, tried, &mut rand::rng())
    }

    /// Returns what the request needs of an endpoint.
    pub fn need<'a>(&'a self, gw: &Gateway, now: Instant, centre: &'a DataCentre) -> Need<'a> {
        let connections = self.spec.as_ref().map_or(u32::MAX, |s| s.max_connections);
        let (service, engine, work) = (&self.service, self.engine(), self.expected_work());
        let tolerated = self.tolerated(gw, now);
        let output = self.expected_output();
        Need { service, engine, work, output, centre, tolerated, connections }
    }

    /// Returns the mean slowness up to which an engine keeps the pauses of the stream within the limit
    /// of its route.
    pub fn tolerated(&self, gw: &Gateway, now: Instant) -> Option<Slowness> {
        let pauses = gw.pauses.borrow().get(&self.service).copied();
        pauses.and_then(|pauses| pauses.tolerated(now, self.route.max_gap))
    }

    /// Returns the priority of the request: the workspace's, or else the route's.
    pub fn urgency(&self) -> Urgency {
        let own = self.workspace.as_ref().and_then(|w| w.urgency);
        own.unwrap_or(self.route.urgency)
    }

    /// Decides whether the generation is sent to an engine now, waits behind `ahead` others or is
    /// refused.
    pub fn decide_admission(
        &self,
        gw: &Gateway,
        now: Instant,
        ahead: usize,
        tried: &[PoolKey],
    ) -> Decision {
        limits::refresh(gw, now, &self.service);
        self.decide(gw, now, ahead, tried)
    }

    /// The same, by the permits as they are.
    pub fn decide(&self, gw: &Gateway, now: Instant, ahead: usize, tried: &[PoolKey]) -> Decision {
        let settings = gw.settings.borrow();
        let request =
            AdmissionRequest { ahead, ..self.admission_request(gw, now, &settings.centre) };
        admit::decide(
            now,
            &gw.pool.borrow(),
            &request,
            &self.prefill_rate(gw),
            tried,
            &mut rand::rng(),
        )
    }

    /// Counts the engines by the resource that they lack for the generation.
    pub fn shortage(&self, gw: &Gateway, now: Instant) -> Shortage {
        let settings = gw.settings.borrow();
        admit::shortage(
            now,
            &gw.pool.borrow(),
            &self.admission_request(gw, now, &settings.centre),
            &self.prefill_rate(gw),
        )
    }

    /// Returns the generation as an engine's admission check sees it now.
    pub fn candidate(&self, gw: &Gateway, now: Instant) -> Candidate {
        let settings = gw.settings.borrow();
        admit::candidate(
            now,
            &gw.pool.borrow(),
            &self.admission_request(gw, now, &settings.centre),
            &self.prefill_rate(gw),
        )
    }

    /// Returns the number of unread tokens up to which the generation accepts an engine; see
    /// [`prompts::acceptable_unread`].
    pub fn acceptable_unread(
        &self,
        gw: &Gateway,
        now: Instant,
        choice: (PoolKey, &[PoolKey]),
        denials: u32,
    ) -> Option<u64> {
        let settings = gw.settings.borrow();
        let (request, rate) =
            (self.admission_request(gw, now, &settings.centre), self.prefill_rate(gw));
        prompts::acceptable_unread(now, &gw.pool.borrow(), &request, &rate, choice, denials)
    }

    fn admission_request<'a>(
        &'a self,
        gw: &Gateway,
        now: Instant,
        centre: &'a DataCentre,
    ) -> AdmissionRequest<'a> {
        AdmissionRequest {
            need: self.need(gw, now, centre),
            since: self.received,
            target: self.route.target_latency,
            deadline: self.deadline,
            urgency: self.urgency(),
            queue_len: gw.queue.borrow().len(&self.service),
            ahead: 0,
        }
    }

    /// Returns the prefill rate of the engines of the service.
    pub fn prefill_rate(&self, gw: &Gateway) -> PrefillRate {
        gw.prefill_rates.borrow().get(&self.service).copied().unwrap_or_default()
    }

    /// Builds the head of the request to an endpoint.
    ///
    /// # Errors
    ///
    /// Returns [`HeaderFault`] if a header cannot carry its value.
    pub fn forward_head(&self, params: &ForwardParams<'_>) -> Result<RequestHead, HeaderFault> {
        platform::forward_head(&self.req, params)
    }

    /// Returns the jittered retry delay for a refused caller, limited by its remaining time.
    pub fn retry_after(&self, now: Instant) -> Duration {
        let max = self.time_left(now) / RETRY_AFTER_DIVISOR;
        super::jitter(DEFAULT_RETRY_AFTER).min(max)
    }

    /// Builds a refusal for a request whose endpoints are all paused until `end`. Another
    /// instance may serve it before, so the delay is limited like that of other refusals.
    pub fn pause_refusal(&self, now: Instant, end: Instant) -> Problem {
        let left = end.saturating_duration_since(now);
        let detail =
            format!("all endpoints of the service are paused for another {} ms", left.as_millis());
        let max = self.time_left(now) / RETRY_AFTER_DIVISOR;
        let kind = ProblemKind::Refused(Refusal::Busy);
        Problem::new(kind, detail).retry_after(super::jitter(left).min(max))
    }

    /// Builds a refusal for a request that can expect a permit for a limited endpoint at `permit`
    /// at the earliest.
    pub fn limit_refusal(&self, now: Instant, permit: Instant) -> Problem {
        let (wait, left) = (permit.saturating_duration_since(now), self.time_left(now));
        let detail = format!(
            "the endpoints of the service limit their requests: the wait for a permit is {} ms, \
            the time left {} ms",
            wait.as_millis(),
            left.as_millis()
        );
        let kind = ProblemKind::Refused(Refusal::Busy);
        let after = super::jitter(wait).max(DEFAULT_RETRY_AFTER).min(left / RETRY_AFTER_DIVISOR);
        Problem::new(kind, detail).retry_after(after)
    }

    /// Builds a refusal for a request that could not finish before this instance stops. Callers reach
    /// a stopping instance if it is the only one in their data centre, or over a kept connection.
    pub fn stop_refusal(&self) -> Problem {
        let problem = Problem::new(ProblemKind::Draining, "this instance is shutting down");
        problem.retry_after(STOP_RETRY_AFTER)
    }

    /// Builds a refusal with a retry delay, for a request that has not run.
    pub fn refusal(&self, now: Instant, kind: ProblemKind, detail: &str) -> Problem {
        Problem::new(kind, detail).retry_after(self.retry_after(now))
    }
}

/// Returns the request id as written to the log, `-` if the caller sent none.
pub fn log_id(id: Option<&RequestId>) -> &str {
    id.map_or("-", RequestId::as_str)
}

/// Sends a refusal and records it as one event and in `refusals_total`.
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
    let retry = problem.retry_after.map_or(0, |r| r.as_millis());
    let detail = format!(
        "status={status} why={} retry_ms={retry} detail={:?}",
        problem.kind, problem.detail
    );
    gw.event(kind, log_id(id), detail);
    metrics::counter!("refusals_total", "kind" => problem.kind.to_string()).increment(1);
    let head = platform::refusal_head(status, id, problem.retry_after);
    conn.send_response(head, problem.to_json().into(), close).await
}
