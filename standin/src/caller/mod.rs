//! A caller that reads answers token by token and checks what it was promised.

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

/// Time to connect to an entry.
const CONNECT_TIME: Duration = Duration::from_secs(2);
/// Silence after which a caller takes its connection for dead; entries send comments more often.
const SILENCE: Duration = Duration::from_secs(4);

/// Time between two looks at a silent connection.
const LOOK: Duration = Duration::from_millis(250);

/// One token as it came.
#[derive(Debug, Clone)]
pub struct Token {
    /// Place in the generation, from its event's id.
    pub ix: u32,
    /// Text.
    pub text: Arc<str>,
    /// When it came.
    pub at: Instant,
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamEnd {
    /// The whole answer is here.
    Done(String),
    /// The entry said that it broke off, with the outcome it named.
    Broken(String),
    /// The connection broke or went silent.
    Dropped,
}

/// A departure from what is promised of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TokenFault {
    /// A token came twice.
    Doubled,
    /// A token is missing.
    Lost,
    /// Tokens of two generations are in one answer.
    Mixed,
}

/// A refusal.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Outcome that the problem document names.
    pub outcome: Arc<str>,
    /// Kind of problem.
    pub kind: Arc<str>,
    /// Seconds to wait, where the entry named them.
    pub retry_after: Option<u64>,
}

/// What a caller may get besides an answer.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestError {
    /// The entry refused.
    Refused(Refusal),
    /// The entry could not be reached or gave no answer.
    Unreached,
}

impl RequestError {
    /// Returns the outcome that was named, if any.
    pub fn outcome(&self) -> &str {
        match self {
            RequestError::Refused(r) => &r.outcome,
            RequestError::Unreached => "unreached",
        }
    }
}

/// A caller with an API key.
#[derive(Clone)]
pub struct Caller {
    client: awc::Client,
    key: String,
}

impl Caller {
    /// Makes a caller with an API key.
    pub fn new(key: &str) -> Caller {
        let connector =
            awc::Connector::new().timeout(CONNECT_TIME).limit(0).conn_keep_alive(Duration::ZERO);
        let client = awc::Client::builder().connector(connector).disable_timeout().finish();
        Caller { client, key: key.to_string() }
    }

    fn request(&self, method: &str, url: &str) -> awc::ClientRequest {
        let method = method.parse().unwrap_or(awc::http::Method::GET);
        let auth = ("authorization", format!("Bearer {}", self.key));
        self.client.request(method, url).insert_header(auth)
    }

    /// Asks for a generation; returns once the first token is here.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] where no answer begins.
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
        let sent = self.request("POST", &format!("http://{entry}/v1/completions"));
        self.begin(sent.send_json(&body).await).await
    }

    /// Resumes a generation after the last token of `reading`, through any entry.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] where the generation is not held any more.
    pub async fn resume(
        &self,
        entry: SocketAddr,
        reading: &TokenStream,
    ) -> Result<TokenStream, RequestError> {
        let url = format!("http://{entry}/v1/generations/{}", reading.generation);
        let mut req = self.request("GET", &url);
        if let Some(last) = reading.tokens.last() {
            let id = format!("{}:{}", reading.generation, last.ix);
            req = req.insert_header(("last-event-id", id));
        }
        let mut next = self.begin(req.send().await).await?;
        next.tokens = reading.tokens.clone();
        next.generation = reading.generation.clone();
        Ok(next)
    }

    async fn begin<S>(
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
            return Err(RequestError::Refused(scan_refusal(status, retry, &body)));
        }
        let heard = Rc::new(Cell::new(clock::now()));
        let seen = heard.clone();
        // Comments keep a connection known to be alive, but are no events.
        let bytes = res.inspect(move |_| seen.set(clock::now()));
        let events = bytes.eventsource().boxed_local();
        Ok(TokenStream { generation: Arc::from(""), tokens: Vec::new(), end: None, heard, events })
    }

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] where there is no answer of the service.
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
        Err(RequestError::Refused(scan_refusal(status.as_u16(), retry, &body)))
    }

    /// Has a key minted for a service.
    ///
    /// # Errors
    ///
    /// Returns [`RequestError`] where no endpoint can be had.
    pub async fn mint_key(&self, entry: SocketAddr, service: &str) -> Result<String, RequestError> {
        let path = format!("/v1/keys?service={service}");
        let v = self.call(entry, "POST", &path, None, "").await?;
        v["key"].as_str().map(str::to_string).ok_or(RequestError::Unreached)
    }
}

fn scan_refusal(status: u16, retry: Option<u64>, body: &[u8]) -> Refusal {
    let v: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let text = |name: &str| Arc::from(v[name].as_str().unwrap_or("none"));
    Refusal { status, outcome: text("outcome"), kind: text("title"), retry_after: retry }
}

type Events = LocalBoxStream<'static, Result<Event, EventStreamError<awc::error::PayloadError>>>;

/// An answer as it comes.
pub struct TokenStream {
    /// Identifier of the generation; empty before the first token.
    pub generation: Arc<str>,
    /// Tokens so far.
    pub tokens: Vec<Token>,
    /// How it ended, once it did.
    pub end: Option<StreamEnd>,
    heard: Rc<Cell<Instant>>,
    events: Events,
}

impl TokenStream {
    /// Waits for the next token; `false` once the answer has ended.
    pub async fn next(&mut self) -> bool {
        while self.end.is_none() {
            let event = match tokio::time::timeout(LOOK, self.events.next()).await {
                Ok(Some(Ok(event))) => event,
                Err(_) if self.heard.get().elapsed() < SILENCE => continue,
                Ok(_) | Err(_) => {
                    self.end = Some(StreamEnd::Dropped);
                    return false;
                }
            };
            if self.note(&event) {
                return true;
            }
        }
        false
    }

    /// Takes over one event; `true` where it is a token.
    fn note(&mut self, event: &Event) -> bool {
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

    /// Reads to the end.
    pub async fn finish(&mut self) -> StreamEnd {
        while self.next().await {}
        self.end.clone().unwrap_or(StreamEnd::Dropped)
    }

    /// Checks that each token is here once, in order and of one generation.
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
            // The engine writes its own count into each token.
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
