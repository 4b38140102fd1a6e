//! Generations: admission, placement and retries until the first token, then the relay.

use super::links::{self, LinkState, Tokens};
use super::request::{self, Ask};
use super::{Entry, Open, relay, since};
use crate::board::EndpointKey;
use crate::clock;
use crate::eject;
use crate::event::Kind;
use crate::frame::{Batch, Finish, Refusal, Reply, Request, Start};
use crate::http::{Body, Incoming};
use crate::id::{GenerationId, InstanceId, Nonce, TokenId, Workspace};
use crate::place;
use crate::problem::{Problem, ProblemKind};
use crate::quarantine::Standing;
use actix_http::{Method, Response};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time for a sidecar to take a generation.
const START_TIME: Duration = Duration::from_millis(700);
/// Time between two looks for a better place of a queued generation.
const LOOK_TIME: Duration = Duration::from_millis(250);
/// Endpoints that a request may be refused by before its caller is.
const OFFERS: usize = 3;
/// Times that a generation lost before its first token is begun anew.
const RESTARTS: u32 = 3;
/// Time for a cancelled generation to be taken off.
const CANCEL_TIME: Duration = Duration::from_secs(1);
/// Time after which a content under suspicion may be tried again.
const SUSPECT_RETRY: Duration = Duration::from_secs(1);

/// A generation that has its first token.
pub struct Opened {
    /// Identifier, as callers see it.
    pub generation: GenerationId,
    /// Tokens that are here.
    pub first: Batch,
    /// Tokens to come.
    pub rest: Tokens,
    /// What ends with the generation.
    pub hold: Hold,
}

/// Counts a generation as open at its endpoint and for quarantine.
pub struct Hold {
    entry: Rc<Entry>,
    endpoint: EndpointKey,
    ask: Option<Ask>,
    _open: Option<Open>,
}

impl Hold {
    /// Notes that the generation ran to its end.
    pub fn completed(&self) {
        let Some(ask) = &self.ask else { return };
        if self.entry.quarantine.borrow_mut().clear(&ask.content) {
            self.entry.process.event(Kind::Cleared, ask.content, "");
        }
        if let Some(e) = self.entry.board.borrow_mut().endpoints.get_mut(self.endpoint) {
            eject::note_success(e);
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if let Some(ask) = &self.ask {
            self.entry.quarantine.borrow_mut().finish(&ask.content);
            if let Some(e) = self.entry.board.borrow_mut().endpoints.get_mut(self.endpoint) {
                e.open_requests = e.open_requests.saturating_sub(1);
            }
        }
    }
}

/// Answers a request for a generation, or resumes one where the request names its last token.
///
/// # Errors
///
/// Returns a problem where the generation does not begin.
pub async fn answer(
    e: &Rc<Entry>,
    req: &Incoming,
    workspace: Workspace,
    chat: bool,
) -> Result<Response<Body>, Problem> {
    let ask = request::read(e, req, workspace, chat)?;
    if let Some(last) = req.header("last-event-id") {
        let id: TokenId = last.parse().map_err(malformed)?;
        return resume(e, &ask.service.to_string(), chat, id.generation, id.ix + 1).await;
    }
    let open = e.enter(&ask.workspace)?;
    e.process.event(Kind::Admitted, ask.content, format_args!("service={}", ask.service));
    let (service, stream) = (ask.service.to_string(), ask.stream);
    let opened = begin(e, ask, open).await.inspect_err(|p| {
        e.process.event(Kind::Refused, &service, p.kind);
    })?;
    let form = relay::Form { service: service.into(), chat };
    if stream { Ok(relay::stream(e, opened, form)) } else { relay::whole(e, opened, form).await }
}

fn malformed(err: crate::id::IdError) -> Problem {
    Problem::new(ProblemKind::Malformed, err.to_string())
}

/// What one attempt came to.
enum Attempt {
    /// The first token is here.
    Opened(Box<Opened>),
    /// The sidecar refused; nothing ran.
    Refused(Refusal, Duration),
    /// The generation was lost before its first token.
    Lost,
    /// It was taken back from a queue; another endpoint has room.
    Moved,
    /// The time was up.
    Late,
}

/// Places a request until an endpoint gives its first token.
async fn begin(e: &Rc<Entry>, mut ask: Ask, open: Open) -> Result<Opened, Problem> {
    let arrived = clock::now();
    let mut open = Some(open);
    let mut tried: Vec<InstanceId> = Vec::new();
    let mut refusals = 0;
    let mut losses = 0;
    let mut last = (Refusal::Down, Duration::from_secs(1));
    e.budget.borrow_mut().earn(&ask.service, ask.need.input);
    loop {
        let key = match choose(e, &ask, &tried) {
            Ok(key) => key,
            Err(_) if !tried.is_empty() => return Err(refused(last)),
            Err(r) => return Err(refused((r, Duration::from_secs(1)))),
        };
        let hold = enter(e, &mut ask, key, &mut open)?;
        let instance = e.board.borrow().endpoints.get(key).map(|x| x.instance.clone());
        tried.extend(instance);
        match attempt(e, &ask, key, hold, arrived, &mut open).await {
            Attempt::Opened(opened) => return Ok(*opened),
            Attempt::Refused(refusal, wait) => {
                last = (refusal, wait.min(last.1).max(Duration::from_millis(500)));
                refusals += 1;
                if refusals >= OFFERS && refusal == Refusal::Busy {
                    return Err(refused(last));
                }
            }
            Attempt::Lost => {
                losses += 1;
                let may_retry = e.budget.borrow_mut().spend(&ask.service, ask.need.input);
                if losses > RESTARTS || !may_retry {
                    return Err(refused((Refusal::Down, Duration::from_secs(1))));
                }
                e.process.event(Kind::Replaced, ask.content, format_args!("losses={losses}"));
            }
            // Only the endpoint whose queue it left is passed over.
            Attempt::Moved => drop(tried.drain(..tried.len() - 1)),
            Attempt::Late => return Err(refused((Refusal::Expired, Duration::from_secs(1)))),
        }
    }
}

fn refused((refusal, wait): (Refusal, Duration)) -> Problem {
    let problem = Problem::from(refusal);
    match refusal {
        Refusal::TooLarge | Refusal::Convicted => problem,
        _ => problem.retry(wait),
    }
}

fn choose(e: &Entry, ask: &Ask, tried: &[InstanceId]) -> Result<EndpointKey, Refusal> {
    let board = e.board.borrow();
    e.placer.borrow_mut().choose(&board, &ask.need, tried, &mut rand::rng())
}

/// Checks the standing of the content and counts the attempt.
fn enter(
    e: &Rc<Entry>,
    ask: &mut Ask,
    key: EndpointKey,
    open: &mut Option<Open>,
) -> Result<Hold, Problem> {
    let standing = e.quarantine.borrow().standing(&ask.content);
    if standing == Standing::Refused {
        return Err(Refusal::Convicted.into());
    }
    if !e.quarantine.borrow_mut().try_start(&ask.content) {
        let detail = "a request with this content is being tried after a crash";
        let kind = ProblemKind::Refused(Refusal::Busy);
        return Err(Problem::new(kind, detail).retry(SUSPECT_RETRY));
    }
    ask.need.alone = standing == Standing::Alone;
    if let Some(endpoint) = e.board.borrow_mut().endpoints.get_mut(key) {
        endpoint.open_requests += 1;
        endpoint.sent_requests += 1;
        endpoint.sent_tokens += ask.need.input.0;
    }
    Ok(Hold { entry: e.clone(), endpoint: key, ask: Some(ask.clone()), _open: open.take() })
}

async fn attempt(
    e: &Rc<Entry>,
    ask: &Ask,
    key: EndpointKey,
    mut hold: Hold,
    arrived: Instant,
    open: &mut Option<Open>,
) -> Attempt {
    let result = try_start(e, ask, key, arrived).await;
    match result {
        Ok((generation, first, rest)) => {
            Attempt::Opened(Box::new(Opened { generation, first, rest, hold }))
        }
        Err(failed) => {
            *open = hold._open.take();
            failed
        }
    }
}

async fn try_start(
    e: &Rc<Entry>,
    ask: &Ask,
    key: EndpointKey,
    arrived: Instant,
) -> Result<(GenerationId, Batch, Tokens), Attempt> {
    let left = ask.first.saturating_sub(since(arrived));
    if left.is_zero() {
        return Err(Attempt::Late);
    }
    let down = || Attempt::Refused(Refusal::Down, Duration::from_secs(1));
    let link = links::get(e, key).ok_or_else(down)?;
    let generation = name(e, key).ok_or_else(down)?;
    let mut tokens = link.read(generation.nonce, 0, Some(ask.content));
    let start = start(ask, &generation, left);
    let reply = link.ask(e, Request::Start(Box::new(start)), START_TIME).await;
    match reply.map(|r| r.body) {
        Ok(Reply::Accepted) => link.poke(),
        Ok(Reply::Refused(refusal, millis)) => {
            return Err(Attempt::Refused(refusal, Duration::from_millis(millis)));
        }
        // It may have been queued: it is cancelled, and its tokens are not read.
        Ok(_) | Err(_) => {
            give_up(e, &link, generation.nonce);
            fail(e, key);
            return Err(Attempt::Lost);
        }
    }
    e.process.event(Kind::Placed, &generation, format_args!("content={}", ask.content));
    loop {
        let wait = ask.first.saturating_sub(since(arrived));
        match tokio::time::timeout(wait.min(LOOK_TIME), tokens.next()).await {
            Ok(Some(batch)) => return opened(e, key, generation, batch, tokens),
            Ok(None) => return Err(Attempt::Lost),
            Err(_) if wait <= LOOK_TIME => {
                give_up(e, &link, generation.nonce);
                return Err(Attempt::Late);
            }
            Err(_) => {
                if may_move(e, ask, key) && withdraw(e, &link, generation.nonce).await {
                    e.process.event(Kind::Replaced, &generation, "queued elsewhere");
                    return Err(Attempt::Moved);
                }
            }
        }
    }
}

/// Tells whether a queued generation would begin at once on another endpoint.
fn may_move(e: &Entry, ask: &Ask, key: EndpointKey) -> bool {
    let board = e.board.borrow();
    let is_queued = board.endpoints.get(key).and_then(|x| x.latest.as_ref());
    is_queued.is_some_and(|k| k.report.waiting > 0) && place::has_room(&board, &ask.need)
}

/// Takes a generation back that has not begun; `false` where it has, or where nobody knows.
async fn withdraw(e: &Rc<Entry>, link: &Rc<LinkState>, nonce: Nonce) -> bool {
    let reply = link.ask(e, Request::Withdraw(nonce), CANCEL_TIME).await;
    matches!(reply.map(|r| r.body), Ok(Reply::Withdrawn(true)))
}

fn opened(
    e: &Entry,
    key: EndpointKey,
    generation: GenerationId,
    batch: Batch,
    tokens: Tokens,
) -> Result<(GenerationId, Batch, Tokens), Attempt> {
    let has_ended = matches!(batch.finish, Some(Finish::Stop | Finish::Length));
    if !batch.tokens.is_empty() || has_ended {
        e.process.event(Kind::FirstToken, &generation, "");
        return Ok((generation, batch, tokens));
    }
    match batch.finish {
        Some(Finish::NotRun(Refusal::Expired)) => Err(Attempt::Late),
        Some(Finish::NotRun(r)) => Err(Attempt::Refused(r, Duration::from_secs(1))),
        _ => {
            fail(e, key);
            Err(Attempt::Lost)
        }
    }
}

fn name(e: &Entry, key: EndpointKey) -> Option<GenerationId> {
    let board = e.board.borrow();
    let endpoint = board.endpoints.get(key)?;
    let incarnation = endpoint.latest.as_ref()?.incarnation;
    Some(GenerationId { instance: endpoint.instance.clone(), incarnation, nonce: Nonce::random() })
}

fn start(ask: &Ask, generation: &GenerationId, left: Duration) -> Start {
    Start {
        generation: generation.clone(),
        service: ask.service.clone(),
        spec: ask.spec.clone(),
        workspace: ask.workspace.clone(),
        weight: ask.weight,
        rank: ask.rank,
        prompt: ask.prompt.clone(),
        input: ask.need.input,
        limit: ask.limit,
        fingerprint: ask.content,
        alone: ask.need.alone,
        left: left.as_millis() as u64,
    }
}

fn fail(e: &Entry, key: EndpointKey) {
    if let Some(endpoint) = e.board.borrow_mut().endpoints.get_mut(key) {
        eject::note_failure(endpoint);
    }
}

/// Cancels a generation in the background.
fn give_up(e: &Rc<Entry>, link: &Rc<LinkState>, nonce: Nonce) {
    let (e, link) = (e.clone(), link.clone());
    actix_rt::spawn(async move {
        let _ = link.ask(&e, Request::Cancel(nonce), CANCEL_TIME).await;
    });
}

/// Answers requests that name a generation.
///
/// # Errors
///
/// Returns a problem where the generation is not held any more.
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
            let next = last.map_err(malformed)?.map_or(0, |t| t.ix + 1);
            let chat = req.field("form") == Some("chat");
            resume(e, req.field("model").unwrap_or(""), chat, generation, next).await
        }
        Method::DELETE => {
            let link = find_link(e, &generation)?;
            let _ = link.ask(e, Request::Cancel(generation.nonce), CANCEL_TIME).await;
            e.process.event(Kind::Cancelled, &generation, "by=caller");
            Ok(crate::http::full(204, "text/plain", ""))
        }
        _ => Err(Problem::new(ProblemKind::NotFound, "no such method here")),
    }
}

fn find_link(e: &Rc<Entry>, generation: &GenerationId) -> Result<Rc<LinkState>, Problem> {
    let gone = || Problem::new(ProblemKind::Gone, "the endpoint of this generation is gone");
    let board = e.board.borrow();
    let key = board.find(&generation.instance).ok_or_else(gone)?;
    let incarnation = board.endpoints[key].latest.as_ref().map(|k| k.incarnation);
    drop(board);
    if incarnation.is_some_and(|i| i != generation.incarnation) {
        return Err(gone());
    }
    links::get(e, key).ok_or_else(gone)
}

async fn resume(
    e: &Rc<Entry>,
    service: &str,
    chat: bool,
    generation: GenerationId,
    next: u32,
) -> Result<Response<Body>, Problem> {
    let link = find_link(e, &generation)?;
    let mut rest = link.read(generation.nonce, next, None);
    link.poke();
    e.process.event(Kind::Resumed, &generation, format_args!("at={next}"));
    let gone = || Problem::new(ProblemKind::Gone, "the generation is not held any more");
    let first = rest.next().await.ok_or_else(gone)?;
    if matches!(first.finish, Some(Finish::Unknown)) && first.tokens.is_empty() {
        return Err(gone());
    }
    let endpoint = e.board.borrow().find(&generation.instance).ok_or_else(gone)?;
    let hold = Hold { entry: e.clone(), endpoint, ask: None, _open: None };
    let form = relay::Form { service: service.into(), chat };
    Ok(relay::stream(e, Opened { generation, first, rest, hold }, form))
}
