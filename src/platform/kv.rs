//! The platform's metadata store over HTTP, as a feed of changes.

use crate::store::{Fact, Feed, News, StoreError};
use awc::error::SendRequestError;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Time to connect to the store.
const CONNECT_TIME: Duration = Duration::from_millis(700);
/// Time that a read may take; the store answers in milliseconds when it is well.
const CALL_TIME: Duration = Duration::from_millis(2000);
/// Time that the answer to a watch may take beyond the wait that it asks for.
const WATCH_MARGIN: Duration = Duration::from_millis(1000);
/// Largest answer in bytes: a page of items and its encoding.
const ANSWER_LIMIT: usize = 4 << 20;

/// A client of the store.
#[derive(Clone)]
pub struct Kv {
    client: awc::Client,
    address: SocketAddr,
}

impl std::fmt::Debug for Kv {
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

impl Kv {
    /// Makes a client; it connects when it is used.
    pub fn new(address: SocketAddr) -> Self {
        let connector = awc::Connector::new().timeout(CONNECT_TIME);
        let client = awc::Client::builder().connector(connector).disable_timeout().finish();
        Kv { client, address }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str, wait: Duration) -> Result<T, StoreError> {
        metrics::counter!("store_calls_total").increment(1);
        let url = format!("http://{}/{path}", self.address);
        let request = self.client.get(url).timeout(wait);
        let mut res = request.send().await.map_err(|e| scan_error(&e))?;
        match res.status().as_u16() {
            200 => {}
            410 => return Err(StoreError::Compacted),
            _ => return Err(StoreError::Refused),
        }
        let read = res.body().limit(ANSWER_LIMIT);
        let body = match tokio::time::timeout(wait, read).await {
            Ok(body) => body.map_err(|_| StoreError::Lost)?,
            Err(_) => return Err(StoreError::Lost),
        };
        serde_json::from_slice(&body).map_err(|_| StoreError::Malformed)
    }
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

impl Feed for Kv {
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

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<News, StoreError> {
        let ms = wait.as_millis();
        let path = format!("kv-watch?prefix={prefix}&after={after}&wait_ms={ms}");
        let changes: Changes = self.get(&path, wait + WATCH_MARGIN).await?;
        let facts = changes.events.into_iter().filter_map(scan_fact).collect();
        Ok(News { facts, revision: changes.current_rev })
    }
}
