//! Headers of requests and responses.

use super::engine::Handoff;
use super::servers::parse_cold_time;
use super::time;
use crate::escape::{header_value, query_value};
use crate::event::shorten;
use crate::h1::Head;
use crate::id::{EndpointId, PartId, RequestId, Tokens};
use crate::limit::Stated;
use crate::pool::Load;
use crate::route::KeyOwner;
use crate::sse::EventId;
use actix_http::header::{
    AUTHORIZATION, CONNECTION, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER,
};
use actix_http::{RequestHead, Response, ResponseHead, StatusCode};
use percent_encoding::percent_decode_str;
use std::borrow::Cow;
use std::fmt::{self, Display};
use std::rc::Rc;
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
const LEAVING: &str = "server-leaving";
const LIMIT: &str = "server-limit";
const COLD: &str = "x-cold-ms";
const TOKEN_COUNTS: &str = "x-token-counts";
const LENGTH_HINT: &str = "x-length-hint";
const PROMPT_PARTS: &str = "x-prompt-prefix";
/// Shared parts of a prompt that are told apart; callers choose how many there are.
const MAX_SHARED_PARTS: usize = 64;
const LAST_EVENT: &str = "last-event-id";
const RESUME_FROM: &str = "kv-from";

/// Hop-by-hop headers, which apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: &[&str] = &[
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

/// Headers that callers may not set; they are removed from requests.
const INTERNAL_HEADERS: &[&str] = &[
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

/// Most headers that an instance sets itself in a request to an endpoint.
const MAX_OWN_HEADERS: usize = 5;

/// Prompt and output sizes of a generation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub input: Tokens,
    /// Maximum number of output tokens.
    pub max_output: Tokens,
    /// Number of output tokens that the caller expects. A single hint may be far off; only the
    /// median over many requests is accurate.
    pub output_hint: Option<Tokens>,
}

impl Display for TokenCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hint = self.output_hint.map_or(0, |h| h.0);
        write!(f, "input={} hint={hint} most={}", self.input.0, self.max_output.0)
    }
}

/// Information from the headers of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestInfo {
    /// Identifier of the request.
    pub id: Option<RequestId>,
    /// API key of the caller.
    pub key: Option<Box<str>>,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Sizes of the generation; `None` for other requests.
    pub tokens: Option<TokenCounts>,
    /// Parts of the prompt that other requests may share: all but the last.
    pub shared_parts: Rc<[PartId]>,
}

fn find<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

fn parse<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    find(headers, name)?.trim().parse().ok()
}

fn parse_field<T: FromStr>(req: &Head, name: &str) -> Option<T> {
    req.find(name)?.trim().parse().ok()
}

/// Returns the id that an endpoint states in a response.
pub(super) fn endpoint_id(headers: &HeaderMap) -> Option<EndpointId> {
    parse(headers, ENDPOINT)
}

/// Returns the host that a request is addressed to, or an empty string.
pub fn host(req: &Head) -> &str {
    req.find("host").or_else(|| req.uri().host()).unwrap_or("")
}

/// Prefix of the paths with which operators ask what would happen to a request.
const EXPLAIN_PREFIX: &str = "/explain";
/// Names the workspace that a question is about; not a header of requests.
const ASKED_WORKSPACE: &str = "x-asked-workspace";

/// Returns the path of the request that a question is about; `None` if it is no such question.
pub fn explained_path(req: &Head) -> Option<String> {
    let path = req.path().strip_prefix(EXPLAIN_PREFIX)?;
    path.starts_with('/').then(|| path.to_owned())
}

/// Request that an operator asks about.
#[derive(Debug, Clone)]
pub struct Question<'a> {
    /// Host that it would be addressed to.
    pub host: &'a str,
    /// Its path.
    pub path: &'a str,
    /// API key of the caller.
    pub key: Option<&'a str>,
    /// Workspace of the caller, instead of a key.
    pub workspace: Option<&'a str>,
    /// Parts of the prompt, as callers state them.
    pub prefix: Option<&'a str>,
    /// Time for which the caller would wait.
    pub timeout: Option<Duration>,
    /// Sizes of the generation.
    pub tokens: Option<TokenCounts>,
}

impl Question<'_> {
    /// Returns the path and the headers with which an instance is asked.
    pub fn to_parts(&self) -> (String, Vec<(&'static str, String)>) {
        let mut headers = vec![("host", self.host.to_owned())];
        headers.extend(self.key.map(|key| ("authorization", format!("Bearer {key}"))));
        headers.extend(self.workspace.map(|name| (ASKED_WORKSPACE, query_value(name).to_string())));
        headers.extend(self.prefix.map(|parts| (PROMPT_PARTS, parts.to_owned())));
        headers.extend(self.timeout.map(|t| (DEADLINE, t.as_millis().to_string())));
        if let Some(tokens) = self.tokens {
            headers.push((TOKEN_COUNTS, format!("{},{}", tokens.input, tokens.max_output)));
            headers.extend(tokens.output_hint.map(|hint| (LENGTH_HINT, hint.to_string())));
        }
        (format!("{EXPLAIN_PREFIX}{}", self.path), headers)
    }
}

/// Returns the workspace that a question is about, if it names one.
pub fn asked_workspace(req: &Head) -> Option<Cow<'_, str>> {
    Some(percent_decode_str(req.find(ASKED_WORKSPACE)?).decode_utf8_lossy())
}

/// Extracts the information in the headers of a request. Invalid headers count as absent.
pub fn parse_request(req: &Head) -> RequestInfo {
    let key = req.find(AUTHORIZATION.as_str()).and_then(|v| v.strip_prefix("Bearer "));
    let ms: Option<f64> = parse_field(req, DEADLINE);
    RequestInfo {
        id: parse_field(req, REQUEST_ID),
        key: key.map(Box::from),
        timeout: ms.and_then(time::millis),
        tokens: req.find(TOKEN_COUNTS).and_then(|v| parse_counts(v, parse_field(req, LENGTH_HINT))),
        shared_parts: req.find(PROMPT_PARTS).map_or_else(Rc::default, parse_shared_parts),
    }
}

/// Parses `id:tokens` entries separated by commas, and leaves out the last, which belongs to the
/// request itself, and those beyond [`MAX_SHARED_PARTS`].
fn parse_shared_parts(s: &str) -> Rc<[PartId]> {
    let names = s.split(',').map(|p| p.split_once(':').map_or(p, |(name, _)| name).trim());
    let count = names.clone().count().saturating_sub(1);
    names.take(count.min(MAX_SHARED_PARTS)).map(PartId::of).collect()
}

/// Parses `input,max_output`, both in tokens.
fn parse_counts(counts: &str, hint: Option<f64>) -> Option<TokenCounts> {
    let (input, max_output) = counts.split_once(',')?;
    Some(TokenCounts {
        input: input.trim().parse().ok()?,
        max_output: max_output.trim().parse().ok()?,
        output_hint: hint.map(|n| Tokens(n as u32)),
    })
}

/// Parameters with which a request is forwarded to an endpoint.
#[derive(Debug)]
pub struct ForwardParams<'a> {
    /// Endpoint that the request is meant for; another one at the same address rejects it.
    pub endpoint: &'a EndpointId,
    /// Workspace of the caller's API key.
    pub key_owner: Option<&'a KeyOwner>,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// KV memory of the generation that the request resumes.
    pub handoff: Option<&'a Handoff>,
    /// Last event of the generation that the caller has received.
    pub last_event: Option<EventId>,
    /// Whether the caller's own `Last-Event-ID` header is forwarded.
    pub resumable: bool,
}

/// A value that a header cannot carry.
#[derive(Debug, PartialEq)]
pub struct HeaderFault {
    name: &'static str,
    value: Box<str>,
}

impl fmt::Display for HeaderFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "header {} cannot carry {:?}", self.name, shorten(&self.value))
    }
}

impl std::error::Error for HeaderFault {}

fn set(
    headers: &mut HeaderMap,
    name: &'static str,
    value: impl Display,
) -> Result<(), HeaderFault> {
    let value = value.to_string();
    let Some(set) = header_value(&value) else {
        return Err(HeaderFault { name, value: value.into() });
    };
    headers.insert(HeaderName::from_static(name), set);
    Ok(())
}

/// Returns the names of headers that the `Connection` header declares as hop-by-hop.
fn connection_headers<'h>(values: impl Iterator<Item = &'h [u8]>) -> Vec<Box<str>> {
    let values = values.filter_map(|v| std::str::from_utf8(v).ok());
    let names = values.flat_map(|v| v.split(','));
    names.map(|n| Box::from(n.trim().to_ascii_lowercase())).collect()
}

/// Builds the head of a request to an endpoint from the caller's request.
///
/// # Errors
///
/// Returns [`HeaderFault`] if a header would be missing: the endpoint would do something else then.
pub fn forward_head(req: &Head, to: &ForwardParams<'_>) -> Result<RequestHead, HeaderFault> {
    let mut head = RequestHead::default();
    head.method = req.method().clone();
    head.uri = req.uri().clone();
    head.headers = HeaderMap::with_capacity(req.count() + MAX_OWN_HEADERS);
    let named = req.fields().filter(|(n, _)| *n == CONNECTION.as_str());
    let hop_by_hop = connection_headers(named.map(|(_, value)| value));
    for (n, value) in req.fields() {
        let is_dropped = HOP_BY_HOP_HEADERS.contains(&n)
            || INTERNAL_HEADERS.contains(&n)
            || n == AUTHORIZATION.as_str()
            || n == LAST_EVENT && !to.resumable
            // A `Connection` header must not remove the identifier of the request or its host.
            || n != REQUEST_ID && n != "host" && hop_by_hop.iter().any(|h| **h == *n);
        let field = (HeaderName::from_bytes(n.as_bytes()), HeaderValue::from_bytes(value));
        if let (Ok(name), Ok(value), false) = (field.0, field.1, is_dropped) {
            head.headers.append(name, value);
        }
    }
    let h = &mut head.headers;
    set(h, DEADLINE, to.time_left.as_millis())?;
    set(h, EXPECT_ENDPOINT, to.endpoint)?;
    if let Some(m) = to.key_owner {
        set(h, WORKSPACE, &m.workspace)?;
    }
    if let Some(handoff) = to.handoff {
        set(h, RESUME_FROM, handoff)?;
    }
    if let Some(last) = to.last_event {
        set(h, LAST_EVENT, last)?;
    }
    Ok(head)
}

/// Information from the head of a response.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseInfo {
    /// Status code of the endpoint.
    pub status: StatusCode,
    /// Identifier of the request that the response belongs to.
    pub id: Option<RequestId>,
    /// Whether the response names a request, even in a form that is no identifier.
    pub has_id: bool,
    /// Whether the response has several ids of requests or several seals.
    pub ambiguous: bool,
    /// Whether the response has the seal header of an endpoint, whose value is not verified.
    pub sealed: bool,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether another endpoint than the expected one received the request.
    pub misdirected: bool,
    /// Number of requests at the endpoint, if it reports that.
    pub load: Option<Load>,
    /// Whether the endpoint states that it is leaving.
    pub leaving: bool,
    /// Pause that an endpoint asks for after it turned the request away.
    pub pause: Option<Duration>,
    /// What the endpoint states of the rate of requests that it takes from all instances.
    pub limit: Stated,
    /// Time for which the endpoint stays cold, if it states that.
    pub cold: Option<Duration>,
}

/// Extracts the information in the head of a response.
pub fn parse_response(head: &ResponseHead) -> ResponseInfo {
    let h = head.headers();
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    ResponseInfo {
        status: head.status,
        id: parse(h, REQUEST_ID),
        has_id: h.contains_key(REQUEST_ID),
        ambiguous: has_several(h, REQUEST_ID) || has_several(h, SEAL),
        sealed: h.contains_key(SEAL),
        not_run: h.contains_key(NOT_RUN) || misdirected,
        misdirected,
        load: find(h, LOAD).and_then(parse_load),
        leaving: states_leaving(h),
        pause: find(h, RETRY_AFTER.as_str())
            .filter(|_| head.status == StatusCode::SERVICE_UNAVAILABLE)
            .and_then(parse_seconds),
        limit: parse_limit(h),
        cold: cold_time(h),
    }
}

/// Returns whether a header is given with different values.
fn has_several(headers: &HeaderMap, name: &str) -> bool {
    let mut values = headers.get_all(name);
    values.next().is_some_and(|first| values.any(|value| value != first))
}

/// Returns what the headers of a response state about the limit of its sender.
pub fn parse_limit(headers: &HeaderMap) -> Stated {
    if !headers.contains_key(LIMIT) {
        return Stated::Unlimited;
    }
    let text = find(headers, LIMIT).unwrap_or("").trim();
    match text.parse() {
        Ok(rate) => Stated::Limited(rate),
        Err(e) => {
            let text = shorten(text);
            log::warn!("header {LIMIT} is {text:?}, not a rate of requests: ignored: {e}");
            Stated::Unreadable
        }
    }
}

/// Returns the time for which the sender of a response states that it stays cold.
pub fn cold_time(headers: &HeaderMap) -> Option<Duration> {
    let s = find(headers, COLD)?;
    match s.trim().parse() {
        Ok(ms) => parse_cold_time(ms),
        Err(e) => {
            let s = shorten(s);
            log::warn!("header {COLD} is {s:?}, not a number of milliseconds: ignored: {e}");
            None
        }
    }
}

/// Parses a number of seconds, which may have a fraction.
fn parse_seconds(s: &str) -> Option<Duration> {
    let time = s.trim().parse().ok().and_then(time::seconds);
    if time.is_none() {
        let s = shorten(s);
        log::warn!("header {RETRY_AFTER} is {s:?}, not a number of seconds: ignored");
    }
    time
}

/// Returns whether the sender of a response states that it is leaving.
pub fn states_leaving(headers: &HeaderMap) -> bool {
    find(headers, LEAVING).is_some_and(|v| v.trim() == "1")
}

/// Parses `running,waiting,slots`, and the slowness in percent that may follow. The number of slots
/// is ignored, since the listing has it.
fn parse_load(s: &str) -> Option<Load> {
    let mut parts = s.split(',').map(str::trim);
    let (running, waiting) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    let slowness = parts.nth(1).and_then(|text| {
        let (parsed, text) = (text.parse(), shorten(text));
        parsed.inspect_err(|e| log::warn!("header {LOAD} states {text:?} percent: {e}")).ok()
    });
    Some(Load { running, waiting, slowness })
}

/// Builds the head of a response to a caller from an endpoint's response.
pub fn response_head(head: &ResponseHead) -> Response<()> {
    let mut res = Response::with_body(head.status, ());
    let hop_by_hop =
        connection_headers(head.headers().get_all(CONNECTION).map(HeaderValue::as_bytes));
    for (name, value) in head.headers() {
        let n = name.as_str();
        let is_dropped = HOP_BY_HOP_HEADERS.contains(&n)
            || matches!(n, LOAD | ENDPOINT | NOT_RUN | LEAVING)
            // A `Connection` header must not remove what shows whose response it is.
            || !matches!(n, SEAL | REQUEST_ID) && hop_by_hop.iter().any(|h| **h == *n);
        if !is_dropped {
            res.headers_mut().append(name.clone(), value.clone());
        }
    }
    res
}

/// Builds the head of an error response with a problem document.
pub fn refusal_head(status: u16, id: Option<&RequestId>, retry: Option<Duration>) -> Response<()> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = Response::with_body(status, ());
    let h = res.headers_mut();
    h.insert(
        HeaderName::from_static("content-type"),
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(Err(e)) = id.map(|id| set(h, REQUEST_ID, id)) {
        log::warn!("refusal without the id of its request: {e}");
    }
    if let Some(after) = retry {
        // Callers on this platform accept fractions of seconds in `Retry-After`.
        let text = format!("{:.2}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            h.insert(RETRY_AFTER, value);
        }
    }
    res
}
