//! Client of the platform's metadata store, a key-value store over HTTP.

use crate::clock;
use crate::escape::query_value;
use crate::event::shorten;
use crate::h1::{self, Broken, CallLimits, Fault, FetchError};
use crate::platform::CONFIG_KEY;
use crate::store::{
    ChangeFeed, Era, KeyValue, LeaseId, Leases, Patience, Position, StoreError, StoreUpdate,
};
use actix_http::{Method, ResponseHead, ServiceConfig};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures_util::future::try_join_all;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::cell::{Cell, RefCell};
use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout of connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Usual timeout of a call other than a watch. A healthy store answers within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time that the response to a watch may usually take in addition to the requested wait.
const WATCH_MARGIN: Duration = Duration::from_millis(600);
/// Maximum size of a response body: one page of items in its JSON and base64 encoding.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Most pages of the keys with one prefix, so that a list which never ends is given up.
const MAX_PAGES: usize = 200;
/// Largest value that is kept, in base64, other than a configuration.
const MAX_VALUE_BYTES: usize = 64 << 10;
/// Size of all values that one read keeps, in base64, other than a configuration.
const MAX_VALUES_BYTES: usize = 16 << 20;

/// Most repetitions of a failed call of a list of which the store has answered others.
const MAX_REPEATS: usize = 3;
/// Time from the failure of such a call to its repetition.
const REPEAT_DELAY: Duration = Duration::from_millis(50);

/// Path of the call that lists keys.
const RANGE_PATH: &str = "kv-range";

/// Header of each response with the number of times that the store has come back from a copy.
const ERA: &str = "store-era";

/// Why the last failed call failed.
#[derive(Debug)]
struct CallFailure {
    target: Box<str>,
    why: String,
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "call={:?} failure={:?}", shorten(&self.target), self.why)
    }
}

/// Client of the platform's metadata store.
#[derive(Clone)]
pub struct KvClient {
    config: ServiceConfig,
    address: Rc<Cell<SocketAddr>>,
    /// Newest era that two reads in a row have named.
    era: Rc<Cell<Era>>,
    /// Time for answers, by those so far that are not stale.
    patience: Rc<RefCell<Patience>>,
    failure: Rc<RefCell<Option<CallFailure>>>,
}

impl fmt::Debug for KvClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KvClient({})", self.address.get())
    }
}

/// Key of an item of which nothing else can be read.
#[derive(Debug, Deserialize)]
struct ItemKey {
    key: Box<str>,
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

/// State that the calls of a list share.
#[derive(Debug)]
struct List {
    /// Time for each answer.
    wait: Duration,
    /// Size of the values that may still be kept.
    room: Cell<usize>,
    /// Whether the store has answered a call.
    is_answered: Cell<bool>,
}

#[derive(Debug, Deserialize)]
struct RangeResponse {
    items: Vec<Box<RawValue>>,
    /// Whether more keys follow after the last item.
    truncated: bool,
    /// Revision of the whole store at the time of the response.
    current_rev: u64,
}

#[derive(Debug, Deserialize)]
struct WatchResponse {
    events: Vec<Box<RawValue>>,
    /// Revision to continue the watch from.
    current_rev: u64,
}

impl KvClient {
    /// Creates a client, which connects for each call.
    pub fn new(address: SocketAddr) -> Self {
        let address = Rc::new(Cell::new(address));
        let (config, era) = (ServiceConfig::default(), Rc::default());
        KvClient { config, address, era, patience: Rc::default(), failure: Rc::default() }
    }

    /// Returns the target and the reason of the last call that failed, for the log; empty if there is none.
    pub fn last_failure(&self) -> String {
        self.failure.borrow().as_ref().map(CallFailure::to_string).unwrap_or_default()
    }

    /// Records why a call failed; returns `e`.
    fn fail(&self, target: &str, why: impl Display, e: StoreError) -> StoreError {
        *self.failure.borrow_mut() =
            Some(CallFailure { target: target.into(), why: why.to_string() });
        e
    }

    /// Sends all further calls to another address of the store.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.set(address);
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
    fn limit(&self, limit: Duration) -> Duration {
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

    /// Lists keys, as [`ChangeFeed::list`]; each page has `wait` for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if a call fails.
    pub async fn list_within(
        &self,
        prefixes: &[&str],
        wait: Duration,
    ) -> Result<StoreUpdate, StoreError> {
        let listed = self.list_once(prefixes, wait).await?;
        if listed.at.era <= self.era.get() {
            return Ok(listed);
        }
        // An era that is wrong in a single read would outdate all later ones.
        let again = self.list_once(prefixes, wait).await?;
        let (named, era) = (listed.at.era, again.at.era);
        if era != named {
            let why = format!("the store named era {named} and then {era}");
            return Err(self.fail(RANGE_PATH, why, StoreError::Malformed));
        }
        self.era.set(era);
        Ok(again)
    }

    async fn list_once(
        &self,
        prefixes: &[&str],
        wait: Duration,
    ) -> Result<StoreUpdate, StoreError> {
        let list = List { wait, room: Cell::new(MAX_VALUES_BYTES), is_answered: Cell::new(false) };
        let lists = prefixes.iter().map(|prefix| self.list_prefix(prefix, &list));
        let lists = try_join_all(lists).await?;
        // Neither pages nor lists are a snapshot. Continuing from the earliest position makes the next
        // watch return whatever changed while the others were read.
        let at = lists.iter().map(|list| list.at).min().unwrap_or_default();
        if lists.iter().any(|list| list.at.era != at.era) {
            return Err(self.fail(RANGE_PATH, "the era changed", StoreError::Compacted));
        }
        let kvs = lists.into_iter().flat_map(|list| list.kvs).collect();
        Ok(StoreUpdate { kvs, at })
    }

    async fn list_prefix(&self, prefix: &str, list: &List) -> Result<StoreUpdate, StoreError> {
        let mut path = range_path(prefix, None);
        let (era, mut page) = self.get_page(&path, list).await?;
        let at = Position::new(era, page.current_rev);
        let (mut kvs, mut last) = (Vec::new(), None);
        for _ in 0..MAX_PAGES {
            let known = kvs.len();
            kvs.extend(read_items(&page.items, page.current_rev, &list.room));
            if !page.truncated || page.items.is_empty() {
                return Ok(StoreUpdate { kvs, at });
            }
            let end = kvs[known..].last().map(|kv| kv.key.clone());
            if end.is_none() || end == last {
                let why = "a page ends with no key, or where the one before it did";
                return Err(self.fail(&path, why, StoreError::Malformed));
            }
            path = range_path(prefix, end.as_deref());
            last = end;
            let next;
            (next, page) = self.get_page(&path, list).await?;
            if next != era {
                return Err(self.fail(&path, "the era changed", StoreError::Compacted));
            }
        }
        Err(self.fail(&path, "too many pages", StoreError::TooLarge))
    }

    /// Reads a page. Where the store answers only some calls, a list whose calls all have to succeed at
    /// once may never be complete, so that a failed one is repeated.
    async fn get_page(&self, path: &str, list: &List) -> Result<(Era, RangeResponse), StoreError> {
        let mut repeats = 0;
        loop {
            let read = self.get_json(path, list.wait).await;
            if read.is_ok() {
                list.is_answered.set(true);
            }
            let may_repeat =
                matches!(read, Err(StoreError::Refused | StoreError::Lost | StoreError::Unreached));
            if !may_repeat || repeats == MAX_REPEATS {
                return read;
            }
            tokio::time::sleep(REPEAT_DELAY).await;
            if !list.is_answered.get() {
                return read;
            }
            repeats += 1;
        }
    }

    /// Reads a JSON document that the store has at once; returns it with the era in which it was read.
    async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<(Era, T), StoreError> {
        let sent = clock::now();
        let read = self.wait_for_json(path, wait).await?;
        self.record_answer(sent, Duration::ZERO);
        Ok(read)
    }

    /// Records an answer to a call sent at `sent`, with the time that the store was told to wait.
    fn record_answer(&self, sent: Instant, held: Duration) {
        let time = clock::now().saturating_duration_since(sent).saturating_sub(held);
        self.patience.borrow_mut().record_answer(time);
    }

    /// Reads a JSON document; returns it with the era in which it was read.
    async fn wait_for_json<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<(Era, T), StoreError> {
        let (head, body) = self.call(Method::GET, path, Bytes::new(), wait).await?;
        match head.status.as_u16() {
            200 => {
                // A key of other bytes than UTF-8 is no reason to lose the others.
                let body = String::from_utf8_lossy(&body);
                let value = serde_json::from_str(&body).map_err(|e| {
                    count_failure("malformed");
                    self.fail(path, e, StoreError::Malformed)
                })?;
                Ok((self.read_era(&head), value))
            }
            410 => Err(self.fail(path, "status 410", StoreError::Compacted)),
            status => Err(self.fail(path, format_args!("status {status}"), StoreError::Refused)),
        }
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
            200 => serde_json::from_slice(&body).map(Some).map_err(|_| StoreError::Lost),
            404 => Ok(None),
            status => Err(classify_status(status)),
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
            count_failure("invalid-target");
            self.fail(path, "invalid target", StoreError::Unreached)
        })?;
        let limits = CallLimits { connect: CONNECT_TIMEOUT, wait, max_body: MAX_RESPONSE_BYTES };
        let called = h1::fetch(address, &limits, &self.config, head, body).await;
        let (head, body) = called.map_err(|e| {
            if matches!(e, FetchError::Slow) {
                self.patience.borrow_mut().record_timeout(wait);
            }
            count_failure(failure_label(&e));
            self.fail(path, &e, classify_error(&e))
        })?;
        let status = head.status.as_u16();
        // Writes and readiness checks of the store ask for keys and leases that may not exist.
        if status != 200 && (status != 404 || path.starts_with(RANGE_PATH)) {
            count_failure(status.to_string());
        }
        Ok((head, body))
    }
}

/// Counts a call to the store without a usable answer, by its reason.
fn count_failure(why: impl Into<metrics::SharedString>) {
    metrics::counter!("store_failures_total", "why" => why.into()).increment(1);
}

fn failure_label(e: &FetchError) -> &'static str {
    match e {
        FetchError::Unsent(_) => "unreached",
        FetchError::Broken(Broken::Malformed(Fault::BodySize)) => "too-large",
        FetchError::Broken(_) => "broken",
        FetchError::Slow => "slow",
    }
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

/// Returns the target of a call that lists the keys with a prefix, from behind a key on.
fn range_path(prefix: &str, after: Option<&str>) -> String {
    let after = after.map_or(String::new(), |after| format!("&after={}", query_value(after)));
    format!("{RANGE_PATH}?prefix={}{after}", query_value(prefix))
}

/// Reads the items of a response at the revision `at`; those without a key are left out.
fn read_items(
    items: &[Box<RawValue>],
    at: u64,
    room: &Cell<usize>,
) -> impl Iterator<Item = KeyValue> {
    items.iter().filter_map(move |item| read_item(item.get(), at, room))
}

/// Reads an item. One without a value that can be read has an empty one: its key exists.
fn read_item(text: &str, at: u64, room: &Cell<usize>) -> Option<KeyValue> {
    let e = match serde_json::from_str::<Item>(text) {
        Ok(item) => return Some(decode_item(item, room)),
        Err(e) => e,
    };
    let Ok(ItemKey { key }) = serde_json::from_str(text) else {
        log::warn!("skipped an item of the store without a key: {e}");
        return None;
    };
    log::warn!("the item {:?} of the store cannot be read: {e}", shorten(&key));
    Some(KeyValue { key, value: Some(Vec::new()), revision: at })
}

fn decode_item(item: Item, room: &Cell<usize>) -> KeyValue {
    let Item { key, value, revision, tombstone } = item;
    let value = value.filter(|_| !tombstone);
    let value = value.map(|v| decode_value(&key, revision, &v, room).unwrap_or_default());
    KeyValue { key, value, revision }
}

/// Decodes a value; `None` if it is no base64 or larger than any that is read.
fn decode_value(key: &str, revision: u64, value: &str, room: &Cell<usize>) -> Option<Vec<u8>> {
    let key = shorten(key);
    if key != CONFIG_KEY {
        let left = room.get().checked_sub(value.len()).filter(|_| value.len() <= MAX_VALUE_BYTES);
        let Some(left) = left else {
            let size = value.len();
            log::warn!("skipped the value of {key:?} at revision {revision}: {size} bytes");
            return None;
        };
        room.set(left);
    }
    let decoded = STANDARD.decode(value).inspect_err(|e| {
        log::warn!("skipped the value of {key:?} at revision {revision}, which is not base64: {e}");
    });
    decoded.ok()
}

impl ChangeFeed for KvClient {
    async fn list(&self, prefixes: &[&str]) -> Result<StoreUpdate, StoreError> {
        self.list_within(prefixes, self.limit(CALL_TIMEOUT)).await
    }

    async fn ping(&self, key: &str, wait: Duration) -> Result<(), StoreError> {
        let path = format!("kv-key?key={}&allow_stale=1", query_value(key));
        let (head, _) = self.call(Method::GET, &path, Bytes::new(), wait).await?;
        match head.status.as_u16() {
            // A missing key also shows that the store is reachable.
            200 | 404 => Ok(()),
            status => Err(self.fail(&path, format_args!("status {status}"), StoreError::Refused)),
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
        let path = format!("kv-watch?prefix=&after={after}&wait_ms={ms}");
        let (sent, limit) = (clock::now(), self.limit(wait + WATCH_MARGIN));
        let (era, changes): (Era, WatchResponse) = self.wait_for_json(&path, limit).await?;
        // After which part of the wait a change came is not known.
        if changes.events.is_empty() {
            self.record_answer(sent, wait);
        }
        let room = Cell::new(MAX_VALUES_BYTES);
        let is_asked = |kv: &KeyValue| prefixes.iter().any(|prefix| kv.key.starts_with(prefix));
        let kvs =
            read_items(&changes.events, changes.current_rev, &room).filter(is_asked).collect();
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
