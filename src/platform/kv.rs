//! The platform's metadata store over HTTP, as a feed of changes.

use crate::store::{Fact, Feed, LeaseId, Leases, News, StoreError};
use awc::error::{PayloadError, SendRequestError};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures_util::Stream;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Time to connect to the store.
const CONNECT_TIME: Duration = Duration::from_millis(700);
/// Time that a read may take; the store answers in milliseconds when it is well.
const CALL_TIME: Duration = Duration::from_millis(2000);
/// Time that the answer to a watch may take beyond the wait that it asks for.
const WATCH_MARGIN: Duration = Duration::from_millis(600);
/// Largest answer in bytes: a page of items and its encoding.
const ANSWER_LIMIT: usize = 4 << 20;

/// A client of the store.
#[derive(Clone)]
pub struct KvClient {
    client: awc::Client,
    address: SocketAddr,
}

impl std::fmt::Debug for KvClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Kv({})", self.address)
    }
}

#[derive(Debug, Deserialize)]
struct Item {
    key: Box<str>,
    #[serde(default)]
    value: Option<Box<str>>,
    revision: u64,
    #[serde(default)]
    tombstone: bool,
}

#[derive(Debug, Serialize)]
struct Grant {
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Granted {
    lease: u64,
}

#[derive(Debug, Serialize)]
struct Change<'a> {
    set_keys: Vec<Assignment<'a>>,
}

#[derive(Debug, Serialize)]
struct Assignment<'a> {
    key: &'a str,
    value: String,
    lease: u64,
}

#[derive(Debug, Deserialize)]
struct Page {
    items: Vec<Item>,
    truncated: bool,
    /// Revision of the store as a whole when it answered.
    current_rev: u64,
}

#[derive(Debug, Deserialize)]
struct Changes {
    events: Vec<Item>,
    /// Revision to go on from.
    current_rev: u64,
}

impl KvClient {
    /// Makes a client; it connects when it is used.
    pub fn new(address: SocketAddr) -> Self {
        let connector = awc::Connector::new().timeout(CONNECT_TIME);
        let client = awc::Client::builder().connector(connector).disable_timeout().finish();
        KvClient { client, address }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str, wait: Duration) -> Result<T, StoreError> {
        let request = self.client.get(self.url(path)).timeout(wait);
        let res = request.send().await.map_err(|e| scan_error(&e))?;
        match res.status().as_u16() {
            200 => read(res, wait).await,
            410 => Err(StoreError::Compacted),
            _ => Err(StoreError::Refused),
        }
    }

    /// Sends a change; `None` where what it refers to does not exist.
    async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<Option<T>, StoreError> {
        let request = self.client.post(self.url(path)).timeout(CALL_TIME);
        let res = request.send_json(body).await.map_err(|e| scan_error(&e))?;
        match res.status().as_u16() {
            200 => read(res, CALL_TIME).await.map(Some),
            404 => Ok(None),
            _ => Err(StoreError::Refused),
        }
    }

    fn url(&self, path: &str) -> String {
        metrics::counter!("store_calls_total").increment(1);
        format!("http://{}/{path}", self.address)
    }
}

async fn read<S, T>(mut res: awc::ClientResponse<S>, wait: Duration) -> Result<T, StoreError>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
    T: DeserializeOwned,
{
    let read = res.body().limit(ANSWER_LIMIT);
    let body = match tokio::time::timeout(wait, read).await {
        Ok(body) => body.map_err(|_| StoreError::Lost)?,
        Err(_) => return Err(StoreError::Lost),
    };
    serde_json::from_slice(&body).map_err(|_| StoreError::Malformed)
}

fn scan_error(e: &SendRequestError) -> StoreError {
    match e {
        SendRequestError::Connect(_) => StoreError::Unreached,
        _ => StoreError::Lost,
    }
}

fn scan_fact(item: Item) -> Option<Fact> {
    let value = match item.value {
        Some(_) if item.tombstone => None,
        Some(v) => Some(STANDARD.decode(&*v).ok()?),
        None => None,
    };
    Some(Fact { key: item.key, value, revision: item.revision })
}

impl Feed for KvClient {
    async fn list(&self, prefix: &str) -> Result<News, StoreError> {
        let mut facts = Vec::new();
        let mut after = String::new();
        let mut revision = None;
        loop {
            let path = format!("kv-range?prefix={prefix}{after}");
            let page: Page = self.get(&path, CALL_TIME).await?;
            // Pages are no snapshot: what changed since the first one comes with the next watch.
            revision.get_or_insert(page.current_rev);
            after = page.items.last().map_or(String::new(), |i| format!("&after={}", i.key));
            facts.extend(page.items.into_iter().filter_map(scan_fact));
            if !page.truncated || after.is_empty() {
                return Ok(News { facts, revision: revision.unwrap_or_default() });
            }
        }
    }

    async fn ping(&self, key: &str, wait: Duration) -> Result<(), StoreError> {
        let url = self.url(&format!("kv-key?key={key}&allow_stale=1"));
        let res = self.client.get(url).timeout(wait).send().await.map_err(|e| scan_error(&e))?;
        match res.status().as_u16() {
            // A missing key is an answer too.
            200 | 404 => Ok(()),
            _ => Err(StoreError::Refused),
        }
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<News, StoreError> {
        let ms = wait.as_millis();
        let path = format!("kv-watch?prefix={prefix}&after={after}&wait_ms={ms}");
        let changes: Changes = self.get(&path, wait + WATCH_MARGIN).await?;
        let facts = changes.events.into_iter().filter_map(scan_fact).collect();
        Ok(News { facts, revision: changes.current_rev })
    }
}

impl Leases for KvClient {
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let ask = Grant { ttl_ms: ttl.as_millis() as u64 };
        let granted: Option<Granted> = self.post("kv-lease", &ask).await?;
        granted.map(|g| LeaseId(g.lease)).ok_or(StoreError::Malformed)
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let path = format!("kv-keep/{}", lease.0);
        let kept: Option<IgnoredAny> = self.post(&path, &()).await?;
        Ok(kept.is_some())
    }

    async fn put(&self, key: &str, value: &[u8], lease: LeaseId) -> Result<bool, StoreError> {
        let value = STANDARD.encode(value);
        let change = Change { set_keys: vec![Assignment { key, value, lease: lease.0 }] };
        let done: Option<IgnoredAny> = self.post("kv-txn", &change).await?;
        Ok(done.is_some())
    }
}
