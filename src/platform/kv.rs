//! Client of the platform's metadata store, a key-value store over HTTP.

use crate::store::{ChangeFeed, Era, KeyValue, LeaseId, Leases, Position, StoreError, StoreUpdate};
use awc::error::{PayloadError, SendRequestError};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures_util::Stream;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a call other than a watch. A healthy store answers within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time that the response to a watch may take in addition to the requested wait.
const WATCH_MARGIN: Duration = Duration::from_millis(600);
/// Maximum size of a response body: one page of items in its JSON and base64 encoding.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Header of each response with the number of times that the store has come back from a copy.
const ERA: &str = "store-era";

/// Client of the platform's metadata store.
#[derive(Clone)]
pub struct KvClient {
    client: awc::Client,
    address: SocketAddr,
    /// Newest era that a response has named.
    era: Rc<Cell<Era>>,
}

impl std::fmt::Debug for KvClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "KvClient({})", self.address)
    }
}

#[derive(Debug, Deserialize)]
struct Item {
    key: Box<str>,
    /// Value in base64.
    #[serde(default)]
    value: Option<Box<str>>,
    /// Revision of the store at the last change of the key.
    revision: u64,
    /// Whether the key was deleted.
    #[serde(default)]
    tombstone: bool,
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
struct RangeResponse {
    items: Vec<Item>,
    /// Whether more keys follow after the last item.
    truncated: bool,
    /// Revision of the whole store at the time of the response.
    current_rev: u64,
}

#[derive(Debug, Deserialize)]
struct WatchResponse {
    events: Vec<Item>,
    /// Revision to continue the watch from.
    current_rev: u64,
}

impl KvClient {
    /// Creates a client, which connects on its first call.
    pub fn new(address: SocketAddr) -> Self {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT);
        let client = awc::Client::builder().connector(connector).disable_timeout().finish();
        KvClient { client, address, era: Rc::default() }
    }

    /// Returns the era that a response names, or else the newest known.
    fn read_era<S>(&self, response: &awc::ClientResponse<S>) -> Era {
        let newest = self.era.get();
        let Some(value) = response.headers().get(ERA) else { return newest };
        let Some(era) = value.to_str().ok().and_then(|v| v.trim().parse().ok()) else {
            log::warn!("header {ERA} is {value:?}, not an unsigned number: ignored");
            return newest;
        };
        self.era.set(newest.max(era));
        era
    }

    /// Reads a JSON document; returns it with the era in which it was read.
    async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<(Era, T), StoreError> {
        let request = self.client.get(self.url(path)).timeout(wait);
        let res = request.send().await.map_err(|e| classify_error(&e))?;
        let era = self.read_era(&res);
        match res.status().as_u16() {
            200 => Ok((era, read_json(res, wait).await?)),
            410 => Err(StoreError::Compacted),
            _ => Err(StoreError::Refused),
        }
    }

    /// Posts a JSON body; `None` if the store answers that the key or lease does not exist.
    async fn post_json<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<Option<T>, StoreError> {
        let request = self.client.post(self.url(path)).timeout(CALL_TIMEOUT);
        let res = request.send_json(body).await.map_err(|e| classify_error(&e))?;
        match res.status().as_u16() {
            200 => read_json(res, CALL_TIMEOUT).await.map(Some),
            404 => Ok(None),
            status => Err(classify_status(status)),
        }
    }

    fn url(&self, path: &str) -> String {
        metrics::counter!("store_calls_total").increment(1);
        format!("http://{}/{path}", self.address)
    }
}

async fn read_json<S, T>(mut res: awc::ClientResponse<S>, wait: Duration) -> Result<T, StoreError>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
    T: DeserializeOwned,
{
    let read = res.body().limit(MAX_RESPONSE_BYTES);
    let body = match tokio::time::timeout(wait, read).await {
        Ok(body) => body.map_err(|e| match e {
            PayloadError::Overflow => StoreError::TooLarge,
            _ => StoreError::Lost,
        })?,
        Err(_) => return Err(StoreError::Lost),
    };
    serde_json::from_slice(&body).map_err(|_| StoreError::Malformed)
}

fn classify_error(e: &SendRequestError) -> StoreError {
    match e {
        SendRequestError::Connect(_) => StoreError::Unreached,
        _ => StoreError::Lost,
    }
}

/// Returns the error for the status of a write. The store promises for 503 that nothing was done;
/// after another server error the write may have taken effect.
fn classify_status(status: u16) -> StoreError {
    match status {
        503 => StoreError::Refused,
        500.. => StoreError::Lost,
        _ => StoreError::Refused,
    }
}

fn decode_item(item: Item) -> Option<KeyValue> {
    let value = match item.value {
        Some(_) if item.tombstone => None,
        Some(v) => Some(STANDARD.decode(&*v).ok()?),
        None => None,
    };
    Some(KeyValue { key: item.key, value, revision: item.revision })
}

impl ChangeFeed for KvClient {
    async fn list(&self, prefix: &str) -> Result<StoreUpdate, StoreError> {
        let mut kvs = Vec::new();
        let mut after = String::new();
        let mut start = None;
        loop {
            let path = format!("kv-range?prefix={prefix}{after}");
            let (era, page): (Era, RangeResponse) = self.get_json(&path, CALL_TIMEOUT).await?;
            // Pages are not a snapshot. Continuing from the revision of the first page makes the
            // next watch return whatever changed while the later pages were read.
            let at = *start.get_or_insert(Position::new(era, page.current_rev));
            if at.era != era {
                return Err(StoreError::Compacted);
            }
            after = page.items.last().map_or(String::new(), |i| format!("&after={}", i.key));
            kvs.extend(page.items.into_iter().filter_map(decode_item));
            if !page.truncated || after.is_empty() {
                return Ok(StoreUpdate { kvs, at });
            }
        }
    }

    async fn ping(&self, key: &str, wait: Duration) -> Result<(), StoreError> {
        let url = self.url(&format!("kv-key?key={key}&allow_stale=1"));
        let res =
            self.client.get(url).timeout(wait).send().await.map_err(|e| classify_error(&e))?;
        match res.status().as_u16() {
            // A missing key also shows that the store is reachable.
            200 | 404 => Ok(()),
            _ => Err(StoreError::Refused),
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<StoreUpdate, StoreError> {
        let ms = wait.as_millis();
        let path = format!("kv-watch?prefix={prefix}&after={after}&wait_ms={ms}");
        let (era, changes): (Era, WatchResponse) =
            self.get_json(&path, wait + WATCH_MARGIN).await?;
        let kvs = changes.events.into_iter().filter_map(decode_item).collect();
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
