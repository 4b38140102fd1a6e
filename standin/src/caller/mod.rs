//! A client of the entries, which reads streams token by token and checks their order and origin.

use awc::http::StatusCode;
use bytes::Bytes;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::stream::{LocalBoxStream, StreamExt};
use serde_json::{Value, json};
use skylarkthread::clock;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout for connecting to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without received bytes after which a connection counts as dead. Entries send comments more
/// often than this.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
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
    /// The entry could not be reached, or gave no readable response.
    Unreached,
}

impl RequestError {
    /// Returns the outcome stated by the entry, or `unreached`.
    pub fn outcome(&self) -> &str {
        match self {
            RequestError::Refused(r) => &r.outcome,
            RequestError::Unreached => "unreached",
        }
    }
}

/// A client with an API key.
#[derive(Clone)]
pub struct Caller {
    client: awc::Client,
    key: String,
}

impl Caller {
    /// Creates a client that sends `key` as its bearer token.
    pub fn new(key: &str) -> Caller {
        let connector =
            awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0).conn_keep_alive(Duration::ZERO);
        let client = awc::Client::builder().connector(connector).disable_timeout().finish();
        Caller { client, key: key.to_string() }
    }

    fn request(&self, method: &str, url: &str) -> awc::ClientRequest {
        let method = method.parse().unwrap_or(awc::http::Method::GET);
        let auth = ("authorization", format!("Bearer {}", self.key));
        self.client.request(method, url).insert_header(auth)
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
        let req = self.request("POST", &format!("http://{entry}/v1/completions"));
        self.read_response(req.send_json(&body).await).await
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
        let req = self.request("POST", &format!("http://{entry}/v1/chat/completions"));
        self.read_response(req.send_json(&body).await).await
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
        let url = format!("http://{entry}/v1/generations/{}", previous.generation);
        let mut req = self.request("GET", &url);
        if let Some(last) = previous.tokens.last() {
            let id = format!("{}:{}", previous.generation, last.ix);
            req = req.insert_header(("last-event-id", id));
        }
        let mut next = self.read_response(req.send().await).await?;
        next.tokens = previous.tokens.clone();
        next.generation = previous.generation.clone();
        Ok(next)
    }

    async fn read_response<S>(
        &self,
        sent: Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
    ) -> Result<TokenStream, RequestError>
    where
        S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + 'static,
    {
        let mut res = sent.map_err(|_| RequestError::Unreached)?;
        if res.status() != StatusCode::OK {
            let retry = res.headers().get("retry-after").and_then(|v| v.to_str().ok());
            let retry = retry.and_then(|v| v.parse().ok());
            let status = res.status().as_u16();
            let body = res.body().await.map_err(|_| RequestError::Unreached)?;
            return Err(RequestError::Refused(parse_refusal(status, retry, &body)));
        }
        let received = Rc::new(Cell::new(clock::now()));
        let shared = received.clone();
        // Recorded for bytes rather than events, since comments show that a connection is alive.
        let bytes = res.inspect(move |_| shared.set(clock::now()));
        let events = bytes.eventsource().boxed_local();
        Ok(TokenStream {
            generation: Arc::from(""),
            tokens: Vec::new(),
            end: None,
            received,
            events,
        })
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
        let mut req = self.request(method, &format!("http://{entry}{path}"));
        if let Some(key) = key {
            req = req.insert_header(("idempotency-key", format!("\"{key}\"")));
        }
        let sent = tokio::time::timeout(Duration::from_secs(20), req.send_body(body.to_string()));
        let mut res = sent
            .await
            .map_err(|_| RequestError::Unreached)?
            .map_err(|_| RequestError::Unreached)?;
        let retry = res.headers().get("retry-after").and_then(|v| v.to_str().ok());
        let retry = retry.and_then(|v| v.parse().ok());
        let status = res.status();
        let body = res.body().await.map_err(|_| RequestError::Unreached)?;
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|_| RequestError::Unreached);
        }
        Err(RequestError::Refused(parse_refusal(status.as_u16(), retry, &body)))
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

fn parse_refusal(status: u16, retry: Option<u64>, body: &[u8]) -> Refusal {
    let v: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let text = |name: &str| Arc::from(v[name].as_str().unwrap_or("none"));
    Refusal { status, outcome: text("outcome"), kind: text("title"), retry_after: retry }
}

type Events = LocalBoxStream<'static, Result<Event, EventStreamError<awc::error::PayloadError>>>;

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
                Ok(_) | Err(_) => {
                    self.end = Some(StreamEnd::Dropped);
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
        self.end.clone().unwrap_or(StreamEnd::Dropped)
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
