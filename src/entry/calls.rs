//! Calls on plain services, and the keys of those that may not be repeated.

use super::{Entry, claims, links, request, since};
use crate::board::EndpointKey;
use crate::clock;
use crate::event::Kind;
use crate::frame::{Answer, Call, CallKey, CallReply, Refusal, Reply, Request};
use crate::http::{self, Body, Incoming};
use crate::id::{
    Epoch, Fingerprint, IdError, Incarnation, InstanceId, Nonce, ServiceName, Tokens, Workspace,
};
use crate::place::Need;
use crate::problem::{Problem, ProblemKind};
use actix_http::Response;
use std::fmt;
use std::rc::Rc;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// Longest key in bytes.
const KEY_LIMIT: usize = 255;
/// Header that names the key (draft-ietf-httpapi-idempotency-key-header).
const KEY_HEADER: &str = "idempotency-key";
/// Time for a sidecar to seal a key.
const SEAL_TIME: Duration = Duration::from_millis(700);
/// Time added to that of a call for its way back.
const MARGIN: Duration = Duration::from_millis(500);
/// Time after which an outcome that cannot be had now may be.
const RETRY: Duration = Duration::from_secs(2);
/// Endpoints that a call that may be repeated is sent to.
const TRIES: usize = 3;
/// Tokens that a call counts for in the budget of retries.
const CALL_COST: Tokens = Tokens(100);

/// A key minted here: it names the one sidecar run that may run the call.
#[derive(Debug, Clone, PartialEq)]
pub struct MintedKey {
    instance: InstanceId,
    incarnation: Incarnation,
    epoch: Epoch,
    nonce: Nonce,
}

impl fmt::Display for MintedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "sk1~{}~{}~{}~{}", self.instance, self.incarnation, self.epoch, self.nonce)
    }
}

impl FromStr for MintedKey {
    type Err = IdError;

    /// Reads `sk1` and four parts with `~` between them.
    ///
    /// # Errors
    ///
    /// Returns [`IdError`] where a part is missing or malformed.
    fn from_str(s: &str) -> Result<Self, IdError> {
        let rest = s.strip_prefix("sk1~").ok_or(IdError::Shape)?;
        let mut parts = rest.splitn(4, '~');
        let mut part = || parts.next().ok_or(IdError::Shape);
        Ok(MintedKey {
            instance: part()?.parse()?,
            incarnation: part()?.parse()?,
            epoch: part()?.parse()?,
            nonce: part()?.parse()?,
        })
    }
}

/// Where a call with a key runs, if anywhere.
#[derive(Debug, Clone, PartialEq)]
pub struct Home {
    /// Instance of the sidecar.
    pub instance: InstanceId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Epoch of the key.
    pub epoch: Epoch,
}

/// Mints a key for a service.
///
/// # Errors
///
/// Returns a problem where no endpoint of the service can be had.
pub fn mint(e: &Rc<Entry>, req: &Incoming) -> Result<Response<Body>, Problem> {
    let name = req.field("service").unwrap_or("");
    let service = scan_service(name)?;
    let home = choose_home(e, &service).map_err(|r| Problem::from(r).retry(RETRY))?;
    let key = MintedKey {
        instance: home.instance,
        incarnation: home.incarnation,
        epoch: home.epoch,
        nonce: Nonce::random(),
    };
    Ok(http::json(200, &serde_json::json!({ "key": key.to_string() })))
}

fn scan_service(name: &str) -> Result<ServiceName, Problem> {
    name.parse().map_err(|_| Problem::new(ProblemKind::NotFound, "no such service"))
}

fn need(service: &ServiceName) -> Need {
    let pool = Arc::from(service.as_str());
    Need { pool, spec: None, input: Tokens(0), prefix: 0, alone: false }
}

fn choose(e: &Entry, service: &ServiceName, tried: &[InstanceId]) -> Result<EndpointKey, Refusal> {
    let board = e.board.borrow();
    e.placer.borrow_mut().choose(&board, &need(service), tried, &mut rand::rng())
}

fn choose_home(e: &Rc<Entry>, service: &ServiceName) -> Result<Home, Refusal> {
    let key = choose(e, service, &[])?;
    let board = e.board.borrow();
    let endpoint = &board.endpoints[key];
    let known = endpoint.latest.as_ref().ok_or(Refusal::Down)?;
    Ok(Home {
        instance: endpoint.instance.clone(),
        incarnation: known.incarnation,
        epoch: known.report.epoch,
    })
}

/// Answers a call on a plain service.
///
/// # Errors
///
/// Returns a problem where the call is refused or its outcome cannot be known.
pub async fn answer(
    e: &Rc<Entry>,
    req: &Incoming,
    workspace: &Workspace,
    rest: &str,
) -> Result<Response<Body>, Problem> {
    let (name, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let service = scan_service(name)?;
    let text = e.text();
    let terms = text.services.get(&service);
    // Another entry may have a newer text that names it, and may have run the call.
    let missing = || Problem::new(ProblemKind::NotFound, "no such service").unsure();
    let terms = terms.ok_or_else(missing)?;
    if matches!(terms.kind, crate::text::ServiceKind::Model(_)) {
        return Err(Problem::new(ProblemKind::NotFound, "this is a model service"));
    }
    let is_once = terms.is_once(req.method.as_str(), path);
    // Nobody has looked yet whether the call ran before, through another entry.
    let doubt = |p: Problem| if is_once { p.unsure() } else { p };
    let _open = e.enter(workspace).map_err(doubt)?;
    request::check_dependencies(e, &text, &service).map_err(doubt)?;
    let call = call(req, if path.is_empty() { "/" } else { path }, terms.first);
    if is_once {
        once(e, req, workspace, &service, call).await
    } else {
        repeatable(e, &service, call).await
    }
}

fn call(req: &Incoming, path: &str, left: Duration) -> Call {
    let path = match &*req.query {
        "" => Arc::from(path),
        query => Arc::from(format!("{path}?{query}")),
    };
    Call {
        key: None,
        method: Arc::from(req.method.as_str()),
        path,
        content: Arc::from(req.header("content-type").unwrap_or("")),
        body: req.body.to_vec(),
        left: left.as_millis() as u64,
    }
}

/// Runs a call that may be repeated, on another endpoint where one fails.
async fn repeatable(
    e: &Rc<Entry>,
    service: &ServiceName,
    mut call: Call,
) -> Result<Response<Body>, Problem> {
    let arrived = clock::now();
    let whole = Duration::from_millis(call.left);
    let mut tried = Vec::new();
    let mut ran = false;
    e.budget.borrow_mut().earn(service, CALL_COST);
    for n in 0..TRIES {
        let left = whole.saturating_sub(since(arrived));
        if left.is_zero() || n > 0 && !e.budget.borrow_mut().spend(service, CALL_COST) {
            break;
        }
        let Ok(key) = choose(e, service, &tried) else { break };
        // One that gives no answer must leave time for another to give one.
        let share = if n + 1 < TRIES { left / 2 } else { left };
        call.left = share.as_millis() as u64;
        match send(e, key, call.clone()).await {
            Some(CallReply::Done(answer)) => return Ok(document(answer)),
            Some(CallReply::NotRun(_)) => {}
            _ => ran = true,
        }
        let board = &mut *e.board.borrow_mut();
        let endpoint = &mut board.endpoints[key];
        crate::eject::note_failure(endpoint);
        tried.push(endpoint.instance.clone());
    }
    let kind = if ran { ProblemKind::Unknown } else { ProblemKind::Refused(Refusal::Down) };
    Err(Problem::new(kind, "no endpoint gave an answer").retry(RETRY))
}

async fn send(e: &Rc<Entry>, key: EndpointKey, call: Call) -> Option<CallReply> {
    let link = links::get(e, key)?;
    let wait = Duration::from_millis(call.left) + MARGIN;
    match link.ask(e, Request::Call(Box::new(call)), wait).await.ok()?.body {
        Reply::Call(reply) => Some(*reply),
        _ => None,
    }
}

/// Runs a call that may not be repeated.
async fn once(
    e: &Rc<Entry>,
    req: &Incoming,
    workspace: &Workspace,
    service: &ServiceName,
    mut call: Call,
) -> Result<Response<Body>, Problem> {
    let text = req.header(KEY_HEADER).map(|k| k.trim_matches('"')).unwrap_or("");
    if text.is_empty() || text.len() > KEY_LIMIT {
        let detail = "this operation needs an Idempotency-Key of 1 to 255 bytes";
        return Err(Problem::new(ProblemKind::KeyRequired, detail));
    }
    let parts: [&[u8]; 3] =
        [workspace.as_str().as_bytes(), service.as_str().as_bytes(), text.as_bytes()];
    let hash = Fingerprint::of(&parts);
    let content = Fingerprint::of(&[call.method.as_bytes(), call.path.as_bytes(), &call.body]);
    let home = match text.parse::<MintedKey>() {
        Ok(k) => Home { instance: k.instance, incarnation: k.incarnation, epoch: k.epoch },
        Err(_) => claim(e, service, hash).await?,
    };
    let key = CallKey { incarnation: home.incarnation, epoch: home.epoch, hash, content };
    call.key = Some(key.clone());
    let reply = run_once(e, &home, call).await;
    settle(e, &key, reply)
}

/// Claims a key of the caller's for one sidecar run, or reads who has it.
async fn claim(e: &Rc<Entry>, service: &ServiceName, hash: Fingerprint) -> Result<Home, Problem> {
    // A copy that is still under way may claim the key later, so nothing is said for ever.
    let home = choose_home(e, service).map_err(|r| Problem::from(r).retry(RETRY).unsure());
    // With no endpoint to offer, the key may still be claimed for one from before.
    let found = claims::claim(e, service, hash, home.clone().ok()).await;
    match found {
        claims::Claimed::Ours => home,
        claims::Claimed::Before(home) => Ok(home),
        claims::Claimed::Nobody => home,
        claims::Claimed::NoAnswer => {
            let detail = "the store gives no claim on this key, so whether it was used before \
                          cannot be told; send the same key again, or use a key from /v1/keys";
            Err(Problem::new(ProblemKind::NoClaim, detail).retry(RETRY))
        }
    }
}

/// Sends a call to its one home; where no answer comes, has the key sealed.
async fn run_once(e: &Rc<Entry>, home: &Home, call: Call) -> CallReply {
    let key = call.key.clone();
    let at = e.board.borrow().find(&home.instance);
    let Some(at) = at else { return CallReply::Unknown };
    if let Some(reply) = send(e, at, call).await {
        return reply;
    }
    let (Some(key), Some(link)) = (key, links::get(e, at)) else { return CallReply::Unknown };
    match link.ask(e, Request::Seal(key), SEAL_TIME).await.map(|r| r.body) {
        Ok(Reply::Call(reply)) => *reply,
        _ => CallReply::Unknown,
    }
}

fn settle(e: &Entry, key: &CallKey, reply: CallReply) -> Result<Response<Body>, Problem> {
    match reply {
        CallReply::Done(answer) => Ok(document(answer)),
        CallReply::Ran => {
            Err(Problem::new(ProblemKind::KeyDone, "the call ran; its answer is no longer held"))
        }
        CallReply::Running => {
            Err(Problem::new(ProblemKind::KeyRunning, "the call is running").retry(RETRY))
        }
        CallReply::NotRun(refusal) => {
            let detail = "the call did not run and never will under this key; use a new one";
            Err(Problem::new(ProblemKind::Refused(refusal), detail).retry(RETRY))
        }
        CallReply::Mismatch => {
            Err(Problem::new(ProblemKind::KeyReused, "the key was used with another content"))
        }
        CallReply::Unknown => {
            e.process.event(Kind::CallUnknown, key.hash, "");
            let detail = "whether the call ran cannot be known; it will not be repeated";
            Err(Problem::new(ProblemKind::Unknown, detail))
        }
    }
}

fn document(answer: Answer) -> Response<Body> {
    http::full(answer.status, &answer.content, answer.body)
}
