//! Client of the platform's metadata store, a key-value store over HTTP.

use super::items::read_items;
use super::range::{Lists, RANGE_PATH};
use crate::clock;
use crate::escape::query_value;
use crate::h1::{self, Broken, CallLimits, Fault, FetchError};
use crate::store::{
    CallFailure, ChangeFeed, Era, LeaseId, Leases, Patience, Position, StoreError, StoreUpdate,
    failure_label,
};
use actix_http::{Method, ResponseHead, ServiceConfig};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout of connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Usual timeout of a call other than a watch. A healthy store answers within milliseconds.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time that the response to a watch may usually take in addition to the requested wait.
const WATCH_MARGIN: Duration = Duration::from_millis(600);
/// Maximum size of a response body: one page of items in its JSON and base64 encoding.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Path of the call that waits for changes.
const WATCH_PATH: &str = "kv-watch";

/// Header of each response with the number of times that the store has come back from a copy.
const ERA: &str = "store-era";

/// Client of the platform's metadata store.
#[derive(Clone)]
pub struct KvClient {
    config: ServiceConfig,
    pub(super) address: Rc<Cell<SocketAddr>>,
    /// Newest era that two reads in a row have named.
    pub(super) era: Rc<Cell<Era>>,
    /// Time for answers, by those so far that are not stale.
    patience: Rc<RefCell<Patience>>,
    failure: Rc<RefCell<CallFailure>>,
    pub(super) lists: Rc<RefCell<Lists>>,
}

impl fmt::Debug for KvClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KvClient({})", self.address.get())
    }
}

#[derive(Debug, Serialize)]
struct LeaseRequest {
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct LeaseResponse {
    lease: u64,
}

#[derive(Debug, Serialize)]
struct TxnRequest<'a> {
    set_keys: Vec<Assignment<'a>>,
}

#[derive(Debug, Serialize)]
struct Assignment<'a> {
    key: &'a str,
    value: String,
    lease: u64,
}

#[derive(Debug, Deserialize)]
struct WatchResponse<'a> {
    #[serde(borrow)]
    events: Vec<&'a RawValue>,
    /// Revision to continue the watch from.
    current_rev: u64,
}

impl KvClient {
    /// Creates a client, which connects for each call.
    pub fn new(address: SocketAddr) -> Self {
        let address = Rc::new(Cell::new(address));
        let (config, era) = (ServiceConfig::default(), Rc::default());
        let (patience, failure, lists) = Default::default();
        KvClient { config, address, era, patience, failure, lists }
    }

    /// Returns the last read that failed.
    pub fn last_failure(&self) -> CallFailure {
        self.failure.borrow().clone()
    }

    /// Counts that a call failed, with the label `why` in the metrics, and records it if it is a read.
    /// Returns `e`.
    pub(super) fn fail(
        &self,
        target: &str,
        why: impl Into<metrics::SharedString>,
        reason: impl Display,
        e: StoreError,
    ) -> StoreError {
        metrics::counter!("store_failures_total", "why" => why.into()).increment(1);
        // The failure of a write says nothing of why the keys cannot be read.
        if target.starts_with(RANGE_PATH) || target.starts_with(WATCH_PATH) {
            *self.failure.borrow_mut() = CallFailure::new(target, reason);
        }
        e
    }

    /// Counts and records that a call got this status; returns `e`.
    fn fail_status(&self, target: &str, status: u16, e: StoreError) -> StoreError {
        self.fail(target, status.to_string(), format_args!("status {status}"), e)
    }

    /// Sends all further calls to another address of the store.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.set(address);
        self.forget_lists();
    }

    /// Takes an era for the newest one, after it was found that a newer one was wrong.
    pub fn set_era(&self, era: Era) {
        self.era.set(era);
    }

    /// Returns whether the last call got no answer in its time.
    pub fn is_silent(&self) -> bool {
        self.patience.borrow().is_silent()
    }

    /// Returns the time for the answer to a call that usually has `limit`.
    pub(super) fn limit(&self, limit: Duration) -> Duration {
        self.patience.borrow().limit(limit)
    }

    /// Returns the era that a response names, or else the newest known.
    fn read_era(&self, response: &ResponseHead) -> Era {
        let newest = self.era.get();
        let Some(value) = response.headers().get(ERA) else { return newest };
        let Some(era) = value.to_str().ok().and_then(|v| v.trim().parse().ok()) else {
            log::warn!("header {ERA} is {value:?}, not an unsigned number: ignored");
            return newest;
        };
        era
    }

    /// Records an answer to a call sent at `sent`, with the time that the store was told to wait.
    pub(super) fn record_answer(&self, sent: Instant, held: Duration) {
        let time = clock::now().saturating_duration_since(sent).saturating_sub(held);
        self.patience.borrow_mut().record_answer(time);
    }

    /// Reads a JSON document that is not parsed yet; returns it with the era in which it was read.
    pub(super) async fn get(&self, path: &str, wait: Duration) -> Result<(Era, Bytes), StoreError> {
        let (head, body) = self.call(Method::GET, path, Bytes::new(), wait).await?;
        match head.status.as_u16() {
            200 => Ok((self.read_era(&head), body)),
            410 => Err(self.fail_status(path, 410, StoreError::Compacted)),
            status => Err(self.fail_status(path, status, StoreError::Refused)),
        }
    }

    /// Parses the response to a read.
    pub(super) fn parse<'a, T: Deserialize<'a>>(
        &self,
        path: &str,
        text: &'a str,
    ) -> Result<T, StoreError> {
        let parsed = serde_json::from_str(text);
        parsed.map_err(|e| self.fail(path, "malformed", e, StoreError::Malformed))
    }

    /// Posts a JSON body; `None` if the store answers that the key or lease does not exist.
    async fn post_json<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<Option<T>, StoreError> {
        let body = serde_json::to_vec(body).map_err(|_| StoreError::Malformed)?;
        let (sent, limit) = (clock::now(), self.limit(CALL_TIMEOUT));
        let (head, body) = self.call(Method::POST, path, body.into(), limit).await?;
        self.record_answer(sent, Duration::ZERO);
        match head.status.as_u16() {
            200 => serde_json::from_slice(&body)
                .map(Some)
                .map_err(|e| self.fail(path, "malformed", e, StoreError::Lost)),
            404 => Ok(None),
            status => Err(self.fail_status(path, status, classify_status(status))),
        }
    }

    /// Makes a call and reads its whole response.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<(ResponseHead, Bytes), StoreError> {
        metrics::counter!("store_calls_total").increment(1);
        let address = self.address.get();
        let content = (!body.is_empty()).then_some("application/json");
        let head = h1::request_head(address, method, &format!("/{path}"), content);
        let head = head.ok_or_else(|| {
            self.fail(path, "invalid-target", "invalid target", StoreError::Unreached)
        })?;
        let limits = CallLimits { connect: CONNECT_TIMEOUT, wait, max_body: MAX_RESPONSE_BYTES };
        let called = h1::fetch(address, &limits, &self.config, head, body).await;
        called.map_err(|e| {
            if matches!(e, FetchError::Slow) {
                self.patience.borrow_mut().record_timeout(wait);
            }
            self.fail(path, failure_label(&e), &e, classify_error(&e))
        })
    }
}

/// Returns a body as text. A key of other bytes than UTF-8 is no reason to lose the others.
pub(super) fn decode_text(body: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(body)
}

fn classify_error(e: &FetchError) -> StoreError {
    match e {
        FetchError::Unsent(_) => StoreError::Unreached,
        FetchError::Broken(Broken::Malformed(Fault::BodySize)) => StoreError::TooLarge,
        FetchError::Broken(_) | FetchError::Slow => StoreError::Lost,
    }
}

/// Returns the error for the status of a write. The store promises for 503, and for an error of the
/// client, that nothing was done; after another status the write may have taken effect.
fn classify_status(status: u16) -> StoreError {
    match status {
        503 | 400..500 => StoreError::Refused,
        _ => StoreError::Lost,
    }
}

impl ChangeFeed for KvClient {
    async fn list(&self, prefixes: &[&str]) -> Result<StoreUpdate, StoreError> {
        self.list_all(prefixes).await.map(|listed| listed.update)
    }

    async fn ping(&self, key: &str, wait: Duration) -> Result<(), StoreError> {
        let path = format!("kv-key?key={}&allow_stale=1", query_value(key));
        let (head, _) = self.call(Method::GET, &path, Bytes::new(), wait).await?;
        match head.status.as_u16() {
            // A missing key also shows that the store is reachable.
            200 | 404 => Ok(()),
            status => Err(self.fail_status(&path, status, StoreError::Refused)),
        }
    }

    async fn watch(
        &self,
        prefixes: &[&str],
        after: u64,
        wait: Duration,
    ) -> Result<StoreUpdate, StoreError> {
        let ms = wait.as_millis();
        // One call for all prefixes.
        let path = format!("{WATCH_PATH}?prefix=&after={after}&wait_ms={ms}");
        let (sent, limit) = (clock::now(), self.limit(wait + WATCH_MARGIN));
        let read = self.get(&path, limit).await;
        if matches!(read, Err(StoreError::Compacted)) {
            // Lists from before may be too old to go on from, too.
            self.forget_lists();
        }
        let (era, body) = read?;
        let text = decode_text(&body);
        let changes: WatchResponse = self.parse(&path, &text)?;
        // After which part of the wait a change came is not known.
        if changes.events.is_empty() {
            self.record_answer(sent, wait);
        }
        let kvs = read_items(&changes.events, prefixes);
        Ok(StoreUpdate { kvs, at: Position::new(era, changes.current_rev) })
    }
}

impl Leases for KvClient {
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let request = LeaseRequest { ttl_ms: ttl.as_millis() as u64 };
        let granted: Option<LeaseResponse> = self.post_json("kv-lease", &request).await?;
        granted.map(|g| LeaseId(g.lease)).ok_or(StoreError::Malformed)
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let path = format!("kv-keep/{}", lease.0);
        let renewed: Option<IgnoredAny> = self.post_json(&path, &()).await?;
        Ok(renewed.is_some())
    }

    async fn put(&self, key: &str, value: &[u8], lease: LeaseId) -> Result<bool, StoreError> {
        let value = STANDARD.encode(value);
        let txn = TxnRequest { set_keys: vec![Assignment { key, value, lease: lease.0 }] };
        let applied: Option<IgnoredAny> = self.post_json("kv-txn", &txn).await?;
        Ok(applied.is_some())
    }
}
