//! Heads of requests and answers.

use super::engine::Handoff;
use crate::id::{EndpointId, RequestId, Tokens};
use crate::pool::Load;
use crate::route::Member;
use crate::sse::EventId;
use actix_http::header::{
    AUTHORIZATION, CONNECTION, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER,
};
use actix_http::{HttpMessage, Request, RequestHead, Response, ResponseHead, StatusCode};
use std::fmt::{self, Display};
use std::str::FromStr;
use std::time::Duration;

const REQUEST_ID: &str = "x-attempt-id";
const DEADLINE: &str = "x-deadline-ms";
const WORKSPACE: &str = "x-tenant";
const EXPECT_ENDPOINT: &str = "x-expect-replica";
const URGENCY: &str = "x-request-priority";
const SEAL: &str = "x-replica-seal";
const LOAD: &str = "x-replica-load";
const ENDPOINT: &str = "x-replica-id";
const NOT_RUN: &str = "x-not-executed";
const TOKENS: &str = "x-token-counts";
const LENGTH_HINT: &str = "x-length-hint";
const LAST_EVENT: &str = "last-event-id";
const RESUME_FROM: &str = "kv-from";

/// Headers that concern one connection only.
const HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "content-length",
    "upgrade",
    "expect",
];

/// Headers that only the system sets.
const OWN_HEADERS: &[&str] = &[
    WORKSPACE,
    EXPECT_ENDPOINT,
    URGENCY,
    RESUME_FROM,
    DEADLINE,
    "x-expect-version",
    "x-pin-ms",
    "x-hold",
    "x-kv-backup",
    "kv-fetch",
];

/// What a generation is asked to read and write.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenCounts {
    /// Tokens to read.
    pub input: Tokens,
    /// Most tokens to write.
    pub max_output: Tokens,
    /// Tokens that the caller expects; right at the median only.
    pub output_hint: Option<Tokens>,
}

impl Display for TokenCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hint = self.output_hint.map_or(0, |h| h.0);
        write!(f, "input={} hint={hint} most={}", self.input.0, self.max_output.0)
    }
}

/// What the head of a request says.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestInfo {
    /// Name of the request.
    pub id: Option<RequestId>,
    /// Key of the caller.
    pub key: Option<Box<str>>,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// Size, for a generation.
    pub tokens: Option<TokenCounts>,
}

fn find<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

fn parse<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    find(headers, name)?.trim().parse().ok()
}

/// Returns the host that a request is for.
pub fn host(req: &Request) -> &str {
    find(req.headers(), "host").or_else(|| req.uri().host()).unwrap_or("")
}

/// Reads what the head of a request says.
pub fn parse_request(req: &Request) -> RequestInfo {
    let headers = req.headers();
    let key = find(headers, AUTHORIZATION.as_str()).and_then(|v| v.strip_prefix("Bearer "));
    let ms: Option<f64> = parse(headers, DEADLINE);
    RequestInfo {
        id: parse(headers, REQUEST_ID),
        key: key.map(Box::from),
        timeout: ms.and_then(|ms| Duration::try_from_secs_f64(ms / 1e3).ok()),
        tokens: find(headers, TOKENS).and_then(|v| scan_prompt(v, parse(headers, LENGTH_HINT))),
    }
}

/// Reads `in,out`: tokens of the prompt and the most tokens of the output.
fn scan_prompt(counts: &str, hint: Option<f64>) -> Option<TokenCounts> {
    let (input, most) = counts.split_once(',')?;
    Some(TokenCounts {
        input: input.trim().parse().ok()?,
        max_output: most.trim().parse().ok()?,
        output_hint: hint.map(|n| Tokens(n as u32)),
    })
}

/// How a request goes on to an endpoint.
#[derive(Debug)]
pub struct ForwardParams<'a> {
    /// Endpoint that it is meant for.
    pub endpoint: &'a EndpointId,
    /// Workspace that the caller's key belongs to.
    pub member: Option<&'a Member>,
    /// Time that is left.
    pub time_left: Duration,
    /// Memory of the generation that it goes on from.
    pub handoff: Option<&'a Handoff>,
    /// Last event that the caller has.
    pub last_event: Option<EventId>,
    /// Tells that a caller's own position in a stream is passed on.
    pub resumable: bool,
}

fn set(headers: &mut HeaderMap, name: &'static str, value: impl Display) {
    match HeaderValue::from_str(&value.to_string()) {
        Ok(value) => drop(headers.insert(HeaderName::from_static(name), value)),
        Err(e) => log::warn!("header {name} cannot be set: {e}"),
    }
}

/// Returns the names that a `Connection` header makes hop-by-hop.
fn named_hops(headers: &HeaderMap) -> Vec<Box<str>> {
    let values = headers.get_all(CONNECTION).filter_map(|v| v.to_str().ok());
    let names = values.flat_map(|v| v.split(','));
    names.map(|n| Box::from(n.trim().to_ascii_lowercase())).collect()
}

/// Makes the head of a request for an endpoint from the caller's.
pub fn forward_head(req: &Request, to: &ForwardParams<'_>) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = req.method().clone();
    head.uri = req.uri().clone();
    let hops = named_hops(req.headers());
    for (name, value) in req.headers() {
        let n = name.as_str();
        let is_dropped = HOP_HEADERS.contains(&n)
            || OWN_HEADERS.contains(&n)
            || n == AUTHORIZATION.as_str()
            || n == LAST_EVENT && !to.resumable
            // Nobody may drop what names the request or the host.
            || n != REQUEST_ID && n != "host" && hops.iter().any(|h| **h == *n);
        if !is_dropped {
            head.headers.append(name.clone(), value.clone());
        }
    }
    let h = &mut head.headers;
    set(h, DEADLINE, to.time_left.as_millis());
    set(h, EXPECT_ENDPOINT, to.endpoint);
    if let Some(m) = to.member {
        set(h, WORKSPACE, &m.workspace);
    }
    if let Some(handoff) = to.handoff {
        set(h, RESUME_FROM, handoff);
    }
    if let Some(last) = to.last_event {
        set(h, LAST_EVENT, last);
    }
    head
}

/// What the head of an answer says.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseInfo {
    /// Status.
    pub status: StatusCode,
    /// Request that it answers.
    pub id: Option<RequestId>,
    /// Tells that the endpoint signed it.
    pub sealed: bool,
    /// Tells that the endpoint did not run the request.
    pub not_run: bool,
    /// Tells that the endpoint is not the one that was meant.
    pub misdirected: bool,
    /// Requests at the endpoint.
    pub load: Option<Load>,
}

/// Reads what the head of an answer says.
pub fn parse_response(head: &ResponseHead) -> ResponseInfo {
    let h = head.headers();
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    ResponseInfo {
        status: head.status,
        id: parse(h, REQUEST_ID),
        sealed: h.contains_key(SEAL),
        not_run: h.contains_key(NOT_RUN) || misdirected,
        misdirected,
        load: find(h, LOAD).and_then(scan_load),
    }
}

/// Reads `running,waiting,slots`.
fn scan_load(s: &str) -> Option<Load> {
    let mut parts = s.split(',').map(|p| p.trim().parse().ok());
    Some(Load { running: parts.next()??, waiting: parts.next()?? })
}

/// Makes the head of an answer for a caller from an endpoint's.
pub fn response_head(head: &ResponseHead) -> Response<()> {
    let mut res = Response::with_body(head.status, ());
    let hops = named_hops(head.headers());
    for (name, value) in head.headers() {
        let n = name.as_str();
        let is_inner = n == LOAD || n == ENDPOINT || n == NOT_RUN;
        if !HOP_HEADERS.contains(&n) && !is_inner && !hops.iter().any(|h| **h == *n) {
            res.headers_mut().append(name.clone(), value.clone());
        }
    }
    res
}

/// Makes the head of a refusal.
pub fn refusal_head(status: u16, id: Option<&RequestId>, retry: Option<Duration>) -> Response<()> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = Response::with_body(status, ());
    let h = res.headers_mut();
    h.insert(
        HeaderName::from_static("content-type"),
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(id) = id {
        set(h, REQUEST_ID, id);
    }
    if let Some(after) = retry {
        // Callers of this platform read fractions of seconds here.
        let text = format!("{:.2}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            h.insert(RETRY_AFTER, value);
        }
    }
    res
}
