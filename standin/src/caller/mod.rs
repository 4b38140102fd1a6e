//! A client of the entries, which reads streams token by token and checks their order and origin.

use actix_http::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, ResponseHead, ServiceConfig, StatusCode};
use bytes::Bytes;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::stream::{LocalBoxStream, StreamExt};
use serde_json::{Value, json};
use skylarkthread::clock;
use skylarkthread::h1::{self, Broken, Outbound};
use std::cell::Cell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout for connecting to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without received bytes after which a connection counts as dead. Entries send comments more
/// often than this.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest body of a response that is no stream.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Interval at which a stream without events is checked for [`SILENCE_TIMEOUT`].
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A received token.
#[derive(Debug, Clone)]
pub struct Token {
    /// Index in the generation, from the event's identifier.
    pub ix: u32,
    /// Text; the stand-in engine sends ` tag.index` with one random tag for each generation.
    pub text: Arc<str>,
    /// Time of receipt.
    pub at: Instant,
}

/// How a stream ended.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamEnd {
    /// The generation is complete; holds the finish reason.
    Done(String),
    /// The entry reported an error; holds the outcome that it stated.
    Broken(String),
    /// The connection was closed early, or no bytes arrived within the silence timeout.
    Dropped,
    /// The response is malformed, or ended as whole without its last event or after it; holds what
    /// is wrong.
    Invalid(Arc<str>),
}

/// A violation of the delivery guarantee: each token once, in order, of one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TokenFault {
    /// A token arrived again.
    Doubled,
    /// A token is missing.
    Lost,
    /// The stream contains tokens of several generations.
    Mixed,
}

/// An error response of an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Outcome stated in the problem document; `none` without one.
    pub outcome: Arc<str>,
    /// Title of the problem document; `none` without one.
    pub kind: Arc<str>,
    /// Seconds from the `retry-after` header, if there is one.
    pub retry_after: Option<u64>,
}

/// Why a request got no successful response.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestError {
    /// The entry answered with an error.
    Refused(Refusal),
    /// The entry could not be reached, or its response was cut off.
    Unreached,
    /// The response is malformed, or a success without JSON; holds what is wrong.
    Invalid(Arc<str>),
}

impl RequestError {
    /// Returns the outcome stated by the entry, `unreached` or `invalid`.
    pub fn outcome(&self) -> &str {
        match self {
            RequestError::Refused(r) => &r.outcome,
            RequestError::Unreached => "unreached",
            RequestError::Invalid(_) => "invalid",
        }
    }

    fn of_break(broken: Broken) -> RequestError {
        match broken {
            Broken::Malformed(rule) => RequestError::invalid(rule),
            _ => RequestError::Unreached,
        }
    }

    fn invalid(what: impl Display) -> RequestError {
        RequestError::Invalid(Arc::from(what.to_string()))
    }
}

/// A client with an API key.
#[derive(Clone)]
pub struct Caller {
    codec: ServiceConfig,
    key: String,
}

impl Caller {
    /// Creates a client that sends `key` as its bearer token.
    pub fn new(key: &str) -> Caller {
        Caller { codec: ServiceConfig::default(), key: key.to_string() }
    }

    /// Sends a request on a connection of its own, and reads the head of the response.
    async fn send(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        header: Option<(HeaderName, &str)>,
        body: Bytes,
    ) -> Result<(Outbound, ResponseHead), RequestError> {
        let content = (!body.is_empty()).then_some("application/json");
        let head = h1::request_head(entry, method, path, content);
        let mut head = head.ok_or_else(|| RequestError::invalid("path of the request"))?;
        let bearer = format!("Bearer {}", self.key);
        for (name, value) in [(AUTHORIZATION, &*bearer)].into_iter().chain(header) {
            let value = HeaderValue::from_str(value).map_err(RequestError::invalid)?;
            head.headers.insert(name, value);
        }
        let sent = Outbound::connect(entry, CONNECT_TIMEOUT, &self.codec, head, body).await;
        let mut out = sent.map_err(|_| RequestError::Unreached)?;
        let head = out.read_head().await.map_err(RequestError::of_break)?;
        Ok((out, head))
    }

    /// Requests a generation of at most `limit` tokens; returns once the response has begun.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] if the entry refuses or does not answer.
    pub async fn open(
        &self,
        entry: SocketAddr,
        service: &str,
        prompt: &str,
        limit: u32,
    ) -> Result<TokenStream, RequestError> {
        let body = json!({
            "model": service, "prompt": prompt, "max_tokens": limit, "stream": true
        });
        let body = body.to_string().into();
        read_stream(self.send(entry, Method::POST, "/v1/completions", None, body).await?).await
    }

    /// Requests a generation for a conversation of messages; returns once the response has begun.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] if the entry refuses or does not answer.
    pub async fn open_chat(
        &self,
        entry: SocketAddr,
        service: &str,
        messages: &[&str],
        limit: u32,
    ) -> Result<TokenStream, RequestError> {
        let messages: Vec<Value> =
            messages.iter().map(|m| json!({ "role": "user", "content": m })).collect();
        let body = json!({
            "model": service, "messages": messages, "max_tokens": limit, "stream": true
        });
        let body = body.to_string().into();
        read_stream(self.send(entry, Method::POST, "/v1/chat/completions", None, body).await?).await
    }

    /// Resumes a generation after the last token of `previous`, through any entry. The new stream
    /// starts with the tokens of `previous`.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] if the generation is no longer held or the entry does not answer.
    pub async fn resume(
        &self,
        entry: SocketAddr,
        previous: &TokenStream,
    ) -> Result<TokenStream, RequestError> {
        let path = format!("/v1/generations/{}", previous.generation);
        let last = previous.tokens.last().map(|t| format!("{}:{}", previous.generation, t.ix));
        let header = last.as_deref().map(|id| (HeaderName::from_static("last-event-id"), id));
        let sent = self.send(entry, Method::GET, &path, header, Bytes::new()).await;
        let mut next = read_stream(sent?).await?;
        next.tokens = previous.tokens.clone();
        next.generation = previous.generation.clone();
        Ok(next)
    }

    /// Calls a plain service through an entry, with `key` as the idempotency key.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] unless the service answers with success and JSON within 20 s.
    pub async fn call(
        &self,
        entry: SocketAddr,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<Value, RequestError> {
        let method = method.parse().map_err(RequestError::invalid)?;
        let key = key.map(|key| format!("\"{key}\""));
        let header = key.as_deref().map(|key| (HeaderName::from_static("idempotency-key"), key));
        let call = async {
            let body = Bytes::from(body.to_string());
            let (mut out, head) = self.send(entry, method, path, header, body).await?;
            let body = out.read_body(MAX_BODY_BYTES).await.map_err(RequestError::of_break)?;
            Ok((head, body))
        };
        let called = tokio::time::timeout(CALL_TIMEOUT, call).await;
        let (head, body) = called.map_err(|_| RequestError::Unreached)??;
        if head.status.is_success() {
            return serde_json::from_slice(&body).map_err(RequestError::invalid);
        }
        Err(RequestError::Refused(parse_refusal(&head, &body)))
    }

    /// Requests a new idempotency key for calls of a service.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] if no endpoint of the service is available.
    pub async fn mint_key(&self, entry: SocketAddr, service: &str) -> Result<String, RequestError> {
        let path = format!("/v1/keys?service={service}");
        let v = self.call(entry, "POST", &path, None, "").await?;
        v["key"].as_str().map(str::to_string).ok_or(RequestError::Unreached)
    }
}

/// Reads a refusal to its end, or prepares to read a stream.
async fn read_stream(
    (mut out, head): (Outbound, ResponseHead),
) -> Result<TokenStream, RequestError> {
    if head.status != StatusCode::OK {
        let body = out.read_body(MAX_BODY_BYTES).await.map_err(RequestError::of_break)?;
        return Err(RequestError::Refused(parse_refusal(&head, &body)));
    }
    let received = Rc::new(Cell::new(clock::now()));
    let shared = received.clone();
    // Recorded for bytes rather than events, since comments show that a connection is alive.
    let bytes = out.into_chunks().fuse().inspect(move |_| shared.set(clock::now()));
    Ok(TokenStream {
        generation: Arc::from(""),
        tokens: Vec::new(),
        end: None,
        received,
        events: bytes.eventsource().boxed_local(),
    })
}

fn retry_after(headers: &HeaderMap) -> Option<u64> {
    headers.get("retry-after")?.to_str().ok()?.parse().ok()
}

fn parse_refusal(head: &ResponseHead, body: &[u8]) -> Refusal {
    let v: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let text = |name: &str| Arc::from(v[name].as_str().unwrap_or("none"));
    Refusal {
        status: head.status.as_u16(),
        outcome: text("outcome"),
        kind: text("title"),
        retry_after: retry_after(head.headers()),
    }
}

type Events = LocalBoxStream<'static, Result<Event, EventStreamError<Broken>>>;

/// Returns how a stream ended without its last event.
fn end_of_events(last: Option<EventStreamError<Broken>>) -> StreamEnd {
    match last {
        None => StreamEnd::Invalid("whole without its last event".into()),
        Some(EventStreamError::Transport(Broken::Malformed(rule))) => {
            StreamEnd::Invalid(Arc::from(rule.to_string()))
        }
        Some(EventStreamError::Transport(_)) => StreamEnd::Dropped,
        Some(e) => StreamEnd::Invalid(Arc::from(e.to_string())),
    }
}

/// A generation's tokens, read as they arrive.
pub struct TokenStream {
    /// Identifier of the generation; empty before the first token.
    pub generation: Arc<str>,
    /// Tokens received so far, with those of the streams it resumes.
    pub tokens: Vec<Token>,
    /// How the stream ended; `None` while it is open.
    pub end: Option<StreamEnd>,
    /// When bytes were last received.
    received: Rc<Cell<Instant>>,
    events: Events,
}

impl TokenStream {
    /// Waits for the next token; returns `false` once the stream has ended.
    pub async fn next(&mut self) -> bool {
        while self.end.is_none() {
            let event = match tokio::time::timeout(SILENCE_CHECK_INTERVAL, self.events.next()).await
            {
                Ok(Some(Ok(event))) => event,
                Err(_) if self.received.get().elapsed() < SILENCE_TIMEOUT => continue,
                Err(_) => {
                    self.end = Some(StreamEnd::Dropped);
                    return false;
                }
                Ok(last) => {
                    self.end = Some(end_of_events(last.and_then(Result::err)));
                    return false;
                }
            };
            if self.apply_event(&event) {
                return true;
            }
        }
        false
    }

    /// Processes an event; returns whether it is a token.
    fn apply_event(&mut self, event: &Event) -> bool {
        if event.data == "[DONE]" {
            return false;
        }
        let v: Value = serde_json::from_str(&event.data).unwrap_or(Value::Null);
        if event.event == "error" {
            let outcome = v["outcome"].as_str().unwrap_or("none");
            self.end = Some(StreamEnd::Broken(outcome.to_string()));
            return false;
        }
        let choice = &v["choices"][0];
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.end = Some(StreamEnd::Done(reason.to_string()));
            return false;
        }
        let Some((generation, ix)) = event.id.rsplit_once(':') else { return false };
        self.generation = Arc::from(generation);
        let text = Arc::from(choice["text"].as_str().unwrap_or(""));
        let ix = ix.parse().unwrap_or(u32::MAX);
        self.tokens.push(Token { ix, text, at: clock::now() });
        true
    }

    /// Reads to the end of the stream; returns how it ended.
    pub async fn finish(&mut self) -> StreamEnd {
        while self.next().await {}
        if let Some(StreamEnd::Done(_)) = self.end
            && let Some(what) = self.read_rest().await
        {
            self.end = Some(StreamEnd::Invalid(what));
        }
        self.end.clone().unwrap_or(StreamEnd::Dropped)
    }

    /// Reads what follows the last event; returns what is wrong with it. A connection that is lost
    /// there is no fault, since the caller has all events.
    async fn read_rest(&mut self) -> Option<Arc<str>> {
        loop {
            let next = tokio::time::timeout(SILENCE_TIMEOUT, self.events.next()).await;
            match next {
                Ok(Some(Ok(event))) if event.data == "[DONE]" => {}
                Ok(Some(Ok(_))) => return Some("event after the last one".into()),
                Ok(Some(Err(e))) => match end_of_events(Some(e)) {
                    StreamEnd::Invalid(what) => return Some(what),
                    _ => return None,
                },
                Ok(None) | Err(_) => return None,
            }
        }
    }

    /// Returns the kinds of violations among the tokens so far, each at most once.
    pub fn faults(&self) -> Vec<TokenFault> {
        let mut faults = Vec::new();
        let tag = |t: &Token| t.text.split('.').next().unwrap_or("").to_string();
        for (n, t) in self.tokens.iter().enumerate() {
            let n = n as u32;
            if t.ix < n {
                faults.push(TokenFault::Doubled);
            } else if t.ix > n {
                faults.push(TokenFault::Lost);
            }
            // The stand-in engine ends the text of each token with its index.
            let is_own = t.text.ends_with(&format!(".{}", t.ix));
            if !is_own || tag(t) != tag(&self.tokens[0]) {
                faults.push(TokenFault::Mixed);
            }
        }
        faults.sort_unstable();
        faults.dedup();
        faults
    }
}
