//! Calls on plain services, and idempotency keys for operations that must run at most once.
//!
//! A key is bound to one run of one sidecar, which records the outcome of its call. Later copies of
//! the call are sent to the same sidecar run and get the recorded outcome, so the call never runs
//! twice; if that run has ended, the outcome is reported as unknown.

use super::{Entry, claims, elapsed_since, generate, links, request};
use crate::board::EndpointKey;
use crate::clock;
use crate::event::Kind;
use crate::frame::{
    Answer, Call, CallKey, CallReply, ClaimStamp, Refusal, Reply, Request, StatedLength,
};
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

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;
/// Header of the idempotency key (draft-ietf-httpapi-idempotency-key-header).
const KEY_HEADER: &str = "idempotency-key";
/// Timeout for sealing a key at its sidecar.
const SEAL_TIMEOUT: Duration = Duration::from_millis(700);
/// Time added to the timeout of a call for the reply to arrive.
const REPLY_MARGIN: Duration = Duration::from_millis(500);
/// `Retry-After` of refusals whose cause is expected to pass.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of endpoints to which a repeatable call is sent.
const MAX_ATTEMPTS: usize = 3;
/// Cause of a refusal if a claim was not confirmed.
const UNCONFIRMED: &str = "store did not confirm a claim on this key";
/// Cause of a refusal if claims may be missing in the store.
const DOUBTFUL: &str = "store came back from an older copy, which may lack a claim on this key";
/// Cost of one call in the retry budget, which is counted in tokens.
const CALL_COST: Tokens = Tokens(100);

/// A key issued by an entry.
///
/// It names the sidecar run it is bound to, so it needs no claim in the store.
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

    /// Parses `sk1~instance~incarnation~epoch~nonce`.
    ///
    /// # Errors
    ///
    /// Returns [`IdError`] if the prefix or a part is missing or malformed.
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

/// The only sidecar run that may execute the call of a key.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyBinding {
    /// Instance of the sidecar.
    pub instance: InstanceId,
    /// Run of the sidecar; a restarted sidecar has another incarnation and no record of the key.
    pub incarnation: Incarnation,
    /// Epoch of the sidecar's ledger of calls when the key was bound.
    pub epoch: Epoch,
}

/// Issues a key that is bound to a run of one of the service's sidecars.
///
/// # Errors
///
/// Returns a problem if the service name is malformed or no endpoint of the service is available.
pub fn mint_key(e: &Rc<Entry>, req: &Incoming) -> Result<Response<Body>, Problem> {
    let name = req.query_param("service").unwrap_or_default();
    let service = parse_service(&name)?;
    let binding =
        choose_binding(e, &service).map_err(|r| Problem::from(r).retry_after(RETRY_AFTER))?;
    let key = MintedKey {
        instance: binding.instance,
        incarnation: binding.incarnation,
        epoch: binding.epoch,
        nonce: Nonce::random(),
    };
    Ok(http::json_response(200, &serde_json::json!({ "key": key.to_string() })))
}

fn parse_service(name: &str) -> Result<ServiceName, Problem> {
    name.parse()
        .map_err(|_| Problem::new(ProblemKind::NotFound, format!("no service named {name:?}")))
}

fn placement_need(service: &ServiceName) -> Need {
    let pool = Arc::from(service.as_str());
    Need { pool, spec: None, input: Tokens(0), prefix: 0, alone: false }
}

fn choose_endpoint(
    e: &Entry,
    service: &ServiceName,
    tried: &[InstanceId],
) -> Result<EndpointKey, Refusal> {
    let board = e.board.borrow();
    e.placer.borrow_mut().choose(&board, &placement_need(service), tried, &mut rand::rng())
}

fn choose_binding(e: &Rc<Entry>, service: &ServiceName) -> Result<KeyBinding, Refusal> {
    let key = choose_endpoint(e, service, &[])?;
    let board = e.board.borrow();
    let endpoint = &board.endpoints[key];
    let latest = endpoint.latest.as_ref().ok_or(Refusal::Down)?;
    Ok(KeyBinding {
        instance: endpoint.instance.clone(),
        incarnation: latest.incarnation,
        epoch: latest.report.epoch,
    })
}

/// Answers a call on a plain service. `rest` is the part of the path after `/s/`: the name of the
/// service, and the path to call on it.
///
/// # Errors
///
/// Returns a problem if the call is refused, no endpoint answers, or its outcome is unknown.
pub async fn answer(
    e: &Rc<Entry>,
    req: &Incoming,
    workspace: &Workspace,
    rest: &str,
) -> Result<Response<Body>, Problem> {
    let (name, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let service = parse_service(name)?;
    let text = e.text();
    let config = text.services.get(&service);
    // Another entry with a newer intent may know the service and may already have run the call.
    let missing =
        || Problem::new(ProblemKind::NotFound, format!("no service named {service}")).maybe_ran();
    let config = config.ok_or_else(missing)?;
    if matches!(config.kind, crate::text::ServiceKind::Model(_)) {
        return Err(Problem::new(
            ProblemKind::NotFound,
            format!("{service} is a model service; it is served below /v1/"),
        ));
    }
    let is_once = config.is_once(req.method.as_str(), path);
    // An earlier copy of the call may have run through another entry; the key is not looked up yet.
    let mark_maybe_ran = |p: Problem| if is_once { p.maybe_ran() } else { p };
    let _open = e.open_request(workspace).map_err(mark_maybe_ran)?;
    request::check_dependencies(e, &text, &service).map_err(mark_maybe_ran)?;
    let call = build_call(req, if path.is_empty() { "/" } else { path }, config.max_latency);
    if is_once {
        answer_keyed(e, req, workspace, &service, call).await
    } else {
        answer_repeatable(e, &service, call).await
    }
}

fn build_call(req: &Incoming, path: &str, left: Duration) -> Call {
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

/// Runs a repeatable call, retrying on other endpoints after a failure.
async fn answer_repeatable(
    e: &Rc<Entry>,
    service: &ServiceName,
    mut call: Call,
) -> Result<Response<Body>, Problem> {
    let arrived = clock::now();
    let timeout = Duration::from_millis(call.left);
    let mut tried = Vec::new();
    let mut maybe_ran = false;
    e.budget.borrow_mut().earn(service, CALL_COST);
    for n in 0..MAX_ATTEMPTS {
        let left = timeout.saturating_sub(elapsed_since(arrived));
        if left.is_zero() || n > 0 && !e.budget.borrow_mut().spend(service, CALL_COST) {
            break;
        }
        let Ok(key) = choose_endpoint(e, service, &tried) else { break };
        // Each attempt but the last gets half of the remaining time, so that an unresponsive
        // endpoint leaves time for the next one.
        let share = if n + 1 < MAX_ATTEMPTS { left / 2 } else { left };
        call.left = share.as_millis() as u64;
        // The endpoint may have been removed by the time of the reply.
        tried.extend(e.board.borrow().endpoints.get(key).map(|x| x.instance.clone()));
        let reply = send_call(e, key, call.clone()).await;
        match &reply {
            Some(CallReply::Done(_)) | Some(CallReply::NotRun(_)) => {}
            _ => maybe_ran = true,
        }
        if let Some(CallReply::Done(answer)) = reply {
            return Ok(to_response(answer));
        }
        // An endpoint that limits its requests is no failing one.
        if reply != Some(CallReply::NotRun(Refusal::Busy)) {
            generate::record_failure(e, key);
        }
    }
    let kind = if maybe_ran { ProblemKind::Unknown } else { ProblemKind::Refused(Refusal::Down) };
    Err(Problem::new(kind, format!("no endpoint completed the call; {} attempted", tried.len()))
        .retry_after(RETRY_AFTER))
}

async fn send_call(e: &Rc<Entry>, key: EndpointKey, call: Call) -> Option<CallReply> {
    let link = links::get_or_open(e, key)?;
    let wait = Duration::from_millis(call.left) + REPLY_MARGIN;
    match link.request(e, Request::Call(Box::new(call)), wait).await.ok()?.body {
        Reply::Call(reply) => Some(*reply),
        _ => None,
    }
}

/// Runs a call that must run at most once, under the caller's idempotency key.
async fn answer_keyed(
    e: &Rc<Entry>,
    req: &Incoming,
    workspace: &Workspace,
    service: &ServiceName,
    mut call: Call,
) -> Result<Response<Body>, Problem> {
    let key_text = req.header(KEY_HEADER).map(|k| k.trim_matches('"')).unwrap_or("");
    if key_text.is_empty() || key_text.len() > MAX_KEY_BYTES {
        let detail =
            format!("Idempotency-Key must have 1 to {MAX_KEY_BYTES} bytes; got {}", key_text.len());
        return Err(Problem::new(ProblemKind::KeyRequired, detail));
    }
    let parts: [&[u8]; 3] =
        [workspace.as_str().as_bytes(), service.as_str().as_bytes(), key_text.as_bytes()];
    let hash = Fingerprint::of(&parts);
    let content = Fingerprint::of(&[call.method.as_bytes(), call.path.as_bytes(), &call.body]);
    let (binding, claim) = match key_text.parse::<MintedKey>() {
        Ok(k) => {
            let (instance, incarnation, epoch) = (k.instance, k.incarnation, k.epoch);
            (KeyBinding { instance, incarnation, epoch }, None)
        }
        Err(_) => claim_key(e, service, hash).await.map(|(b, stamp)| (b, Some(stamp)))?,
    };
    let (incarnation, epoch) = (binding.incarnation, binding.epoch);
    let key = CallKey { incarnation, epoch, hash, content, claim };
    call.key = Some(key.clone());
    let reply = send_once(e, &binding, call).await;
    respond(e, &key, reply)
}

/// Binds a key chosen by the caller to a sidecar run, or returns its existing binding.
async fn claim_key(
    e: &Rc<Entry>,
    service: &ServiceName,
    hash: Fingerprint,
) -> Result<(KeyBinding, ClaimStamp), Problem> {
    // Another copy of the call in flight may still claim the key, so a refusal here must not claim
    // that the call did not run.
    let binding = choose_binding(e, service)
        .map_err(|r| Problem::from(r).retry_after(RETRY_AFTER).maybe_ran());
    // Without an available endpoint, an existing claim is still looked up.
    let found = claims::claim(e, service, hash, binding.clone().ok()).await;
    match found {
        claims::Claimed::New(stamp) => binding.map(|b| (b, stamp)),
        claims::Claimed::Existing(binding, stamp) => Ok((binding, stamp)),
        claims::Claimed::Unclaimed => Err(binding.err().unwrap_or_else(|| no_claim(UNCONFIRMED))),
        claims::Claimed::Unavailable => Err(no_claim(UNCONFIRMED)),
        claims::Claimed::Doubtful => Err(no_claim(DOUBTFUL)),
    }
}

fn no_claim(cause: &str) -> Problem {
    let detail = format!(
        "{cause}, so an earlier use cannot be ruled out; retry with the same key, or use a key \
         from /v1/keys"
    );
    Problem::new(ProblemKind::NoClaim, detail).retry_after(RETRY_AFTER)
}

/// Sends a call to the sidecar run that its key is bound to.
///
/// If no reply arrives, asks that run to seal the key, so that a call that has not started yet can
/// never run.
async fn send_once(e: &Rc<Entry>, binding: &KeyBinding, call: Call) -> CallReply {
    let key = call.key.clone();
    let endpoint = e.board.borrow().find(&binding.instance);
    let Some(endpoint) = endpoint else { return CallReply::Unknown };
    if let Some(reply) = send_call(e, endpoint, call).await {
        return reply;
    }
    let (Some(key), Some(link)) = (key, links::get_or_open(e, endpoint)) else {
        return CallReply::Unknown;
    };
    match link.request(e, Request::Seal(key), SEAL_TIMEOUT).await.map(|r| r.body) {
        Ok(Reply::Call(reply)) => *reply,
        _ => CallReply::Unknown,
    }
}

fn respond(e: &Entry, key: &CallKey, reply: CallReply) -> Result<Response<Body>, Problem> {
    match reply {
        CallReply::Done(answer) => Ok(to_response(answer)),
        CallReply::Ran => Err(Problem::new(
            ProblemKind::KeyDone,
            "call with this key already ran; its response is no longer stored",
        )),
        CallReply::Running => {
            Err(Problem::new(ProblemKind::KeyRunning, "call with this key is still running")
                .retry_after(RETRY_AFTER))
        }
        CallReply::NotRun(refusal) => {
            let detail = "call did not run and never will with this key; retry with a new key";
            Err(Problem::new(ProblemKind::Refused(refusal), detail).retry_after(RETRY_AFTER))
        }
        CallReply::Mismatch => Err(Problem::new(
            ProblemKind::KeyReused,
            "idempotency key was already used for a different request",
        )),
        CallReply::Unknown => {
            e.process.event(Kind::CallUnknown, key.hash, "");
            let detail = "it is unknown whether the call ran; it will not be retried";
            Err(Problem::new(ProblemKind::Unknown, detail))
        }
    }
}

fn to_response(answer: Answer) -> Response<Body> {
    match answer.omitted {
        None => http::full_response(answer.status, &answer.content, answer.body),
        Some(StatedLength::Bytes(n)) => {
            http::head_response(answer.status, &answer.content, Some(n))
        }
        Some(StatedLength::Unknown) => http::head_response(answer.status, &answer.content, None),
    }
}
