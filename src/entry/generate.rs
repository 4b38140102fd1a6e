//! Generations: admission, placement, and retries until the first token; then tokens are relayed.
//!
//! After its first token a generation is not restarted.

use super::links::{self, LinkState, TokenReceiver};
use super::request::{self, GenerationRequest};
use super::withdraw::{CANCEL_TIMEOUT, Withdrawal, cancel_in_background, give_up, withdraw};
use super::{Entry, OpenRequest, elapsed_since, quarantine, relay};
use crate::board::EndpointKey;
use crate::clock;
use crate::eject;
use crate::event::Kind;
use crate::frame::{Batch, Finish, Refusal, Reply, Request, Start};
use crate::http::{Body, Incoming};
use crate::id::{GenerationId, InstanceId, Nonce, TokenId, Workspace};
use crate::place;
use crate::problem::{Problem, ProblemKind};
use crate::quarantine::{RunEnd, RunKey, Standing};
use actix_http::{Method, Response};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout for a sidecar to accept or refuse a generation.
const START_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval of checks whether another endpoint could start a queued generation at once.
const MOVE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of refusals by endpoints after which a busy refusal is returned to the caller.
const MAX_REFUSALS: usize = 3;
/// Maximum number of restarts of a generation that is lost before its first token.
const MAX_RESTARTS: u32 = 3;
/// `Retry-After` while another request with the same quarantined content is running.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A generation that has produced its first token.
pub struct StartedGeneration {
    /// Identifier returned to the caller.
    pub generation: GenerationId,
    /// Tokens received so far.
    pub first: Batch,
    /// Receiver of the remaining tokens.
    pub rest: TokenReceiver,
    /// Keeps the generation counted as open until dropped.
    pub guard: GenerationGuard,
}

/// Guard that counts a generation as open at its endpoint and in the quarantine until dropped.
///
/// `request` is `None` for resumed streams, which are not counted again.
pub struct GenerationGuard {
    entry: Rc<Entry>,
    endpoint: EndpointKey,
    request: Option<GenerationRequest>,
    /// Key of the run while it may crash its endpoint.
    run: Option<RunKey>,
    /// Whether the generation finished.
    is_whole: Cell<bool>,
    _open: Option<OpenRequest>,
}

impl GenerationGuard {
    /// Records that tokens have arrived.
    pub fn record_tokens(&self) {
        let Some(key) = self.run else { return };
        let sound = self.entry.runs.borrow_mut().record_event(clock::now(), key);
        sound.iter().for_each(|run| quarantine::record_sound(&self.entry, run));
    }

    /// Records that the generation finished without a crash.
    pub fn record_completion(&self) {
        let Some(request) = &self.request else { return };
        self.is_whole.set(true);
        if self.entry.quarantine.borrow_mut().clear(clock::now(), &request.content, None) {
            self.entry.process.event(Kind::Cleared, request.content, "");
        }
        if let Some(e) = self.entry.board.borrow_mut().endpoints.get_mut(self.endpoint) {
            eject::note_success(e);
        }
    }
}

impl Drop for GenerationGuard {
    fn drop(&mut self) {
        if let Some(key) = self.run {
            let end = if self.is_whole.get() { RunEnd::Whole } else { RunEnd::Broken };
            self.entry.runs.borrow_mut().end(clock::now(), key, end);
        }
        if let Some(request) = &self.request {
            self.entry.quarantine.borrow_mut().finish(&request.content);
            if let Some(e) = self.entry.board.borrow_mut().endpoints.get_mut(self.endpoint) {
                e.open_requests = e.open_requests.saturating_sub(1);
            }
        }
    }
}

/// Answers a request for a generation, or resumes a stream if the request has `Last-Event-ID`.
///
/// # Errors
///
/// Returns a problem if the request is invalid or refused, or if no endpoint starts the generation.
pub async fn answer(
    e: &Rc<Entry>,
    req: &Incoming,
    workspace: Workspace,
    chat: bool,
) -> Result<Response<Body>, Problem> {
    let request = request::read(e, req, workspace, chat)?;
    if let Some(last) = req.header("last-event-id") {
        let id: TokenId = last.parse().map_err(malformed)?;
        let next = id.next_ix();
        return resume(e, &request.service.to_string(), chat, id.generation, next).await;
    }
    let open = e.open_request(&request.workspace)?;
    e.process.event(Kind::Admitted, request.content, format_args!("service={}", request.service));
    let (service, stream) = (request.service.to_string(), request.stream);
    let started = start_generation(e, request, open).await.inspect_err(|p| {
        e.process.event(Kind::Refused, &service, p.kind);
    })?;
    let format = relay::ResponseFormat { service: service.into(), chat };
    if stream {
        Ok(relay::stream(e, started, format))
    } else {
        relay::document(e, started, format).await
    }
}

fn malformed(err: crate::id::IdError) -> Problem {
    Problem::new(ProblemKind::Malformed, err.to_string())
}

/// Outcome of one attempt to start a generation on an endpoint.
pub enum Attempt {
    /// The first token has arrived.
    Started(Box<StartedGeneration>),
    /// The sidecar refused the generation without running it; a retry makes sense after the delay.
    Refused(Refusal, Duration),
    /// The generation was lost before its first token.
    Lost,
    /// The generation was withdrawn from the sidecar's queue because another endpoint has capacity.
    Withdrawn,
    /// The time limit for the first token was reached.
    TimedOut {
        /// Whether the engine may have the generation.
        may_have_run: bool,
    },
}

/// Starts a generation on an endpoint. A refusal after an attempt whose generation was lost or given up
/// leaves open whether it ran.
async fn start_generation(
    e: &Rc<Entry>,
    request: GenerationRequest,
    open: OpenRequest,
) -> Result<StartedGeneration, Problem> {
    let mut losses = 0;
    let started = try_endpoints(e, request, open, &mut losses).await;
    started.map_err(|problem| if losses > 0 { problem.maybe_ran() } else { problem })
}

/// Tries endpoints until one produces the first token of the generation. Counts the attempts whose
/// generation was lost, or given up when it may have run, in `losses`.
async fn try_endpoints(
    e: &Rc<Entry>,
    mut request: GenerationRequest,
    open: OpenRequest,
    losses: &mut u32,
) -> Result<StartedGeneration, Problem> {
    let arrived = clock::now();
    let mut open = Some(open);
    let mut tried: Vec<InstanceId> = Vec::new();
    let mut refusals = 0;
    let mut last_refusal = (Refusal::Down, Duration::from_secs(1));
    e.budget.borrow_mut().earn(&request.service, request.need.input);
    loop {
        quarantine::check_parts(e, &request)?;
        let key = match choose_endpoint(e, &request, &tried) {
            Ok(key) => key,
            Err(_) if !tried.is_empty() => return Err(refusal_problem(last_refusal)),
            Err(r) => return Err(refusal_problem((r, Duration::from_secs(1)))),
        };
        let guard = begin_attempt(e, &mut request, key, &mut open)?;
        let instance = e.board.borrow().endpoints.get(key).map(|x| x.instance.clone());
        tried.extend(instance);
        match run_attempt(e, &request, key, guard, arrived, &mut open).await {
            Attempt::Started(started) => return Ok(*started),
            Attempt::Refused(refusal, wait) => {
                last_refusal = (refusal, wait.min(last_refusal.1).max(Duration::from_millis(500)));
                refusals += 1;
                if refusals >= MAX_REFUSALS && refusal == Refusal::Busy {
                    return Err(refusal_problem(last_refusal));
                }
            }
            Attempt::Lost => {
                *losses += 1;
                let may_retry = e.budget.borrow_mut().spend(&request.service, request.need.input);
                let is_suspect = e.quarantine.borrow().parts.is_suspect(&request.parts);
                if *losses > MAX_RESTARTS || !may_retry || is_suspect {
                    return Err(refusal_problem((Refusal::Down, Duration::from_secs(1))));
                }
                e.process.event(Kind::Replaced, request.content, format_args!("losses={losses}"));
            }
            // Endpoints that refused earlier may have capacity by now, so only the endpoint that
            // queued the generation stays excluded.
            Attempt::Withdrawn => drop(tried.drain(..tried.len() - 1)),
            Attempt::TimedOut { may_have_run } => {
                *losses += u32::from(may_have_run);
                return Err(refusal_problem((Refusal::Expired, Duration::from_secs(1))));
            }
        }
    }
}

fn refusal_problem((refusal, wait): (Refusal, Duration)) -> Problem {
    let problem = Problem::from(refusal);
    match refusal {
        Refusal::TooLarge | Refusal::Convicted => problem,
        _ => problem.retry_after(wait),
    }
}

fn choose_endpoint(
    e: &Entry,
    request: &GenerationRequest,
    tried: &[InstanceId],
) -> Result<EndpointKey, Refusal> {
    let board = e.board.borrow();
    e.placer.borrow_mut().choose(&board, &request.need, tried, &mut rand::rng())
}

/// Checks that the content is not quarantined, and counts the attempt as open.
fn begin_attempt(
    e: &Rc<Entry>,
    request: &mut GenerationRequest,
    key: EndpointKey,
    open: &mut Option<OpenRequest>,
) -> Result<GenerationGuard, Problem> {
    let standing = e.quarantine.borrow().standing(&request.content);
    if standing == Standing::Refused {
        return Err(Refusal::Convicted.into());
    }
    if !e.quarantine.borrow_mut().try_start(&request.content) {
        let detail = "content is quarantined after a crash, and another request with it is running";
        let kind = ProblemKind::Refused(Refusal::Busy);
        return Err(Problem::new(kind, detail).retry_after(SUSPECT_RETRY_AFTER));
    }
    request.need.alone = standing == Standing::Alone;
    if let Some(endpoint) = e.board.borrow_mut().endpoints.get_mut(key) {
        endpoint.open_requests += 1;
        endpoint.sent_requests += 1;
        endpoint.sent_tokens = endpoint.sent_tokens.saturating_add(request.need.input.0);
    }
    let parts = request.parts.clone();
    let run = (!parts.is_empty()).then(|| e.runs.borrow_mut().start(clock::now(), key, parts));
    Ok(GenerationGuard {
        entry: e.clone(),
        endpoint: key,
        request: Some(request.clone()),
        run,
        is_whole: Cell::new(false),
        _open: open.take(),
    })
}

async fn run_attempt(
    e: &Rc<Entry>,
    request: &GenerationRequest,
    key: EndpointKey,
    mut guard: GenerationGuard,
    arrived: Instant,
    open: &mut Option<OpenRequest>,
) -> Attempt {
    let result = try_start(e, request, key, arrived).await;
    match result {
        Ok((generation, first, rest)) => {
            guard.record_tokens();
            Attempt::Started(Box::new(StartedGeneration { generation, first, rest, guard }))
        }
        Err(failed) => {
            *open = guard._open.take();
            failed
        }
    }
}

async fn try_start(
    e: &Rc<Entry>,
    request: &GenerationRequest,
    key: EndpointKey,
    arrived: Instant,
) -> Result<(GenerationId, Batch, TokenReceiver), Attempt> {
    let left = request.first_timeout.saturating_sub(elapsed_since(arrived));
    if left.is_zero() {
        return Err(Attempt::TimedOut { may_have_run: false });
    }
    let down = || Attempt::Refused(Refusal::Down, Duration::from_secs(1));
    let link = links::get_or_open(e, key).ok_or_else(down)?;
    let generation = new_generation_id(e, key).ok_or_else(down)?;
    let mut tokens = link.add_reader(generation.nonce, 0, Some(request.content));
    let start = build_start(request, &generation, left);
    let reply = link.request(e, Request::Start(Box::new(start)), START_TIMEOUT).await;
    match reply.map(|r| r.body) {
        Ok(Reply::Accepted) => link.request_poll(),
        Ok(Reply::Refused(refusal, millis)) => {
            return Err(Attempt::Refused(refusal, Duration::from_millis(millis)));
        }
        // The sidecar may have accepted the generation although no reply arrived, so it is
        // cancelled and its tokens are not read.
        Ok(_) | Err(_) => {
            cancel_in_background(e, &link, generation.nonce);
            record_failure(e, key);
            return Err(Attempt::Lost);
        }
    }
    e.process.event(Kind::Placed, &generation, format_args!("content={}", request.content));
    loop {
        let wait = request.first_timeout.saturating_sub(elapsed_since(arrived));
        match tokio::time::timeout(wait.min(MOVE_CHECK_INTERVAL), tokens.next()).await {
            Ok(Some(batch)) => return check_first_batch(e, key, generation, batch, tokens),
            Ok(None) => return Err(Attempt::Lost),
            Err(_) if wait <= MOVE_CHECK_INTERVAL => {
                return Err(give_up(e, &link, &generation, &mut tokens).await);
            }
            Err(_) => {
                let outcome = reason_to_withdraw(e, request, key);
                if let Some(outcome) = outcome
                    && withdraw(e, &link, generation.nonce, CANCEL_TIMEOUT).await
                        == Withdrawal::NotRun
                {
                    e.process.event(Kind::Replaced, &generation, "withdrawn from queue");
                    return Err(outcome);
                }
            }
        }
    }
}

/// Returns the outcome for a generation that should not stay in the queue of its endpoint.
fn reason_to_withdraw(e: &Entry, request: &GenerationRequest, key: EndpointKey) -> Option<Attempt> {
    match quarantine::check_parts(e, request) {
        Err(refusal) => Some(Attempt::Refused(refusal, Duration::from_secs(1))),
        Ok(()) => can_move(e, request, key).then_some(Attempt::Withdrawn),
    }
}

/// Returns whether the endpoint has a queue while another one could start the generation at once.
fn can_move(e: &Entry, request: &GenerationRequest, key: EndpointKey) -> bool {
    let board = e.board.borrow();
    let latest = board.endpoints.get(key).and_then(|x| x.latest.as_ref());
    latest.is_some_and(|l| l.report.waiting > 0) && place::can_start_now(&board, &request.need)
}

fn check_first_batch(
    e: &Entry,
    key: EndpointKey,
    generation: GenerationId,
    batch: Batch,
    tokens: TokenReceiver,
) -> Result<(GenerationId, Batch, TokenReceiver), Attempt> {
    let has_ended = matches!(batch.finish, Some(Finish::Stop | Finish::Length));
    if !batch.tokens.is_empty() || has_ended {
        e.process.event(Kind::FirstToken, &generation, "");
        return Ok((generation, batch, tokens));
    }
    match batch.finish {
        Some(Finish::NotRun(Refusal::Expired)) => Err(Attempt::TimedOut { may_have_run: false }),
        Some(Finish::NotRun(r)) => Err(Attempt::Refused(r, Duration::from_secs(1))),
        _ => {
            record_failure(e, key);
            Err(Attempt::Lost)
        }
    }
}

fn new_generation_id(e: &Entry, key: EndpointKey) -> Option<GenerationId> {
    let board = e.board.borrow();
    let endpoint = board.endpoints.get(key)?;
    let incarnation = endpoint.latest.as_ref()?.incarnation;
    Some(GenerationId { instance: endpoint.instance.clone(), incarnation, nonce: Nonce::random() })
}

fn build_start(request: &GenerationRequest, generation: &GenerationId, left: Duration) -> Start {
    Start {
        generation: generation.clone(),
        service: request.service.clone(),
        spec: request.spec.clone(),
        workspace: request.workspace.clone(),
        weight: request.weight,
        rank: request.rank,
        prompt: request.prompt.clone(),
        input: request.need.input,
        limit: request.max_output,
        fingerprint: request.content,
        parts: request.parts.to_vec(),
        alone: request.need.alone,
        left: left.as_millis() as u64,
    }
}

/// Counts a failure of an endpoint, unless it has been removed.
pub fn record_failure(e: &Entry, key: EndpointKey) {
    if let Some(endpoint) = e.board.borrow_mut().endpoints.get_mut(key) {
        eject::note_failure(endpoint);
    }
}

/// Cancels a generation without waiting for the reply.
/// Resumes (`GET`) or cancels (`DELETE`) the generation with the identifier `id`.
///
/// # Errors
///
/// Returns a problem if the identifier is malformed, the method is not supported, or the generation
/// is no longer held.
pub async fn by_id(
    e: &Rc<Entry>,
    req: &Incoming,
    method: &Method,
    id: &str,
) -> Result<Response<Body>, Problem> {
    let generation: GenerationId = id.parse().map_err(malformed)?;
    match *method {
        Method::GET => {
            let last = req.header("last-event-id").map(str::parse::<TokenId>).transpose();
            let next = last.map_err(malformed)?.map_or(0, |t| t.next_ix());
            let chat = req.query_param("form").as_deref() == Some("chat");
            let model = req.query_param("model").unwrap_or_default();
            resume(e, &model, chat, generation, next).await
        }
        Method::DELETE => {
            let link = find_link(e, &generation)?;
            let _ = link.request(e, Request::Cancel(generation.nonce), CANCEL_TIMEOUT).await;
            e.process.event(Kind::Cancelled, &generation, "by=caller");
            Ok(crate::http::full_response(204, "text/plain", ""))
        }
        _ => Err(Problem::new(
            ProblemKind::NotFound,
            format!("method {method} is not supported for generations"),
        )),
    }
}

fn find_link(e: &Rc<Entry>, generation: &GenerationId) -> Result<Rc<LinkState>, Problem> {
    let gone =
        || Problem::new(ProblemKind::Gone, format!("endpoint of generation {generation} is gone"));
    let board = e.board.borrow();
    let key = board.find(&generation.instance).ok_or_else(gone)?;
    let incarnation = board.endpoints[key].latest.as_ref().map(|l| l.incarnation);
    drop(board);
    if incarnation.is_some_and(|i| i != generation.incarnation) {
        return Err(gone());
    }
    links::get_or_open(e, key).ok_or_else(gone)
}

async fn resume(
    e: &Rc<Entry>,
    service: &str,
    chat: bool,
    generation: GenerationId,
    next: u32,
) -> Result<Response<Body>, Problem> {
    let link = find_link(e, &generation)?;
    let mut rest = link.add_reader(generation.nonce, next, None);
    link.request_poll();
    e.process.event(Kind::Resumed, &generation, format_args!("at={next}"));
    let gone =
        || Problem::new(ProblemKind::Gone, format!("generation {generation} is no longer held"));
    let first = rest.next().await.ok_or_else(gone)?;
    if matches!(first.finish, Some(Finish::Unknown)) && first.tokens.is_empty() {
        return Err(gone());
    }
    let endpoint = e.board.borrow().find(&generation.instance).ok_or_else(gone)?;
    let guard = GenerationGuard {
        entry: e.clone(),
        endpoint,
        request: None,
        run: None,
        is_whole: Cell::new(false),
        _open: None,
    };
    let format = relay::ResponseFormat { service: service.into(), chat };
    Ok(relay::stream(e, StartedGeneration { generation, first, rest, guard }, format))
}
