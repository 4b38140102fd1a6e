//! Client of the platform's metadata store, a key-value store over HTTP.

use super::items::read_items;
use super::lists::{ListFault, OpenList, Page, Step};
use crate::clock;
use crate::escape::query_value;
use crate::h1::{self, Broken, CallLimits, Fault, FetchError};
use crate::store::{
    ChangeFeed, Era, KeyValue, LeaseId, Leases, Patience, Position, StoreError, StoreUpdate,
};
use actix_http::{Method, ResponseHead, ServiceConfig};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures_util::future::join_all;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Timeout of connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Usual timeout of a call other than a watch. A healthy store answers within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time that the response to a watch may usually take in addition to the requested wait.
const WATCH_MARGIN: Duration = Duration::from_millis(600);
/// Maximum size of a response body: one page of items in its JSON and base64 encoding.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Most repetitions of a failed call of a list of which the store has answered others.
const MAX_REPEATS: usize = 3;
/// Time within which a call has to fail to be repeated.
const PROMPT_TIME: Duration = Duration::from_millis(300);
/// Time from the failure of such a call to its repetition.
const REPEAT_DELAY: Duration = Duration::from_millis(50);

/// Path of the call that lists keys.
const RANGE_PATH: &str = "kv-range";
/// Path of the call that waits for changes.
const WATCH_PATH: &str = "kv-watch";

/// Header of each response with the number of times that the store has come back from a copy.
const ERA: &str = "store-era";

/// Most bytes of the target, and of the reason, of a failed call in the log. Both may have text from
/// outside, and an event has a limit for its whole detail.
const MAX_FAILURE_BYTES: usize = 150;

/// A call that failed.
#[derive(Debug, Clone, Default)]
pub struct CallFailure {
    target: Arc<str>,
    /// Reason; empty if no call has failed.
    pub why: Arc<str>,
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "failure={:?} call={:?}", self.why, self.target)
    }
}

/// Keys of several prefixes.
#[derive(Debug)]
pub struct Listed {
    /// The keys, with the position from which changes complete them.
    pub update: StoreUpdate,
    /// When the first of them was asked for.
    pub begun_at: Instant,
}

/// List that several reads may read at the same time.
#[derive(Debug)]
struct SharedList {
    list: RefCell<OpenList>,
    /// Notified when a call for a page has ended.
    changed: Notify,
}

/// Lists that are not used up yet.
#[derive(Debug, Default)]
struct Lists {
    /// Lists that are not complete.
    open: Vec<Rc<SharedList>>,
    /// Complete lists of a full read of which others have failed.
    kept: Vec<Rc<SharedList>>,
}

fn shorten_failure(text: &str) -> Arc<str> {
    text[..text.floor_char_boundary(MAX_FAILURE_BYTES)].into()
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
    failure: Rc<RefCell<CallFailure>>,
    lists: Rc<RefCell<Lists>>,
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
    fn fail(
        &self,
        target: &str,
        why: impl Into<metrics::SharedString>,
        reason: impl Display,
        e: StoreError,
    ) -> StoreError {
        metrics::counter!("store_failures_total", "why" => why.into()).increment(1);
        // The failure of a write says nothing of why the keys cannot be read.
        if target.starts_with(RANGE_PATH) || target.starts_with(WATCH_PATH) {
            let (target, why) = (shorten_failure(target), shorten_failure(&reason.to_string()));
            *self.failure.borrow_mut() = CallFailure { target, why };
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

    /// Has all lists begun anew.
    fn forget_lists(&self) {
        let lists = self.lists.take();
        for shared in lists.open {
            shared.list.borrow_mut().give_up();
            shared.changed.notify_waiters();
        }
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
    ) -> Result<Listed, StoreError> {
        let listed = self.list_once(prefixes, wait).await?;
        if listed.update.at.era <= self.era.get() {
            return Ok(listed);
        }
        // An era that is wrong in a single read would outdate all later ones.
        let again = self.list_once(prefixes, wait).await?;
        let (named, era) = (listed.update.at.era, again.update.at.era);
        if era != named {
            let why = format!("the store named era {named} and then {era}");
            return Err(self.fail(RANGE_PATH, "era", why, StoreError::Malformed));
        }
        self.era.set(era);
        Ok(again)
    }

    /// Lists keys; each page has the usual time for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if a call fails.
    pub async fn list_all(&self, prefixes: &[&str]) -> Result<Listed, StoreError> {
        self.list_within(prefixes, self.limit(CALL_TIMEOUT)).await
    }

    /// Lists keys. If some of the lists fail, the others are kept for the next read: a store that admits
    /// few calls at a time would otherwise never be read.
    async fn list_once(&self, prefixes: &[&str], wait: Duration) -> Result<Listed, StoreError> {
        let (now, address) = (clock::now(), self.address.get());
        let mut lists = Vec::new();
        // A read of one list leaves those that another read keeps.
        if prefixes.len() > 1 {
            lists = std::mem::take(&mut self.lists.borrow_mut().kept);
        }
        lists.retain(|shared| {
            let list = shared.list.borrow();
            list.is_recent(now) && prefixes.contains(&list.prefix())
        });
        let is_due = |prefix: &&str| lists.iter().all(|l| l.list.borrow().prefix() != *prefix);
        let due: Vec<&str> = prefixes.iter().copied().filter(is_due).collect();
        let (is_answered, mut failure) = (Cell::new(false), None);
        let due = due.into_iter().map(|prefix| self.read_list(prefix, wait, &is_answered));
        for read in join_all(due).await {
            match read {
                Ok(list) => lists.push(list),
                Err(e) => failure = Some(e),
            }
        }
        if self.address.get() != address {
            let why = "the address of the store changed";
            return Err(self.fail(RANGE_PATH, "address", why, StoreError::Lost));
        }
        if let Some(e) = failure {
            if prefixes.len() > 1 {
                self.lists.borrow_mut().kept = lists;
            }
            return Err(e);
        }
        self.join_lists(lists, now)
    }

    /// Joins complete lists.
    fn join_lists(&self, lists: Vec<Rc<SharedList>>, now: Instant) -> Result<Listed, StoreError> {
        // Neither pages nor lists are a snapshot. Continuing from the earliest position makes the next
        // watch return whatever changed while the others were read.
        let at = lists.iter().map(|shared| shared.list.borrow().at()).min().unwrap_or_default();
        if lists.iter().any(|shared| shared.list.borrow().at().era != at.era) {
            return Err(self.fail(RANGE_PATH, "era", "the era changed", StoreError::Compacted));
        }
        let begun = lists.iter().map(|shared| shared.list.borrow().begun_at()).min();
        let kvs = lists.into_iter().flat_map(SharedList::take_items).collect();
        Ok(Listed { update: StoreUpdate { kvs, at }, begun_at: begun.unwrap_or(now) })
    }

    /// Returns the list with a prefix that is being read, or begins one.
    fn open_list(&self, prefix: &str) -> Rc<SharedList> {
        let (now, open) = (clock::now(), &mut self.lists.borrow_mut().open);
        open.retain(|shared| shared.list.borrow().is_recent(now));
        if let Some(known) = open.iter().find(|shared| shared.list.borrow().prefix() == prefix) {
            return known.clone();
        }
        let list = RefCell::new(OpenList::new(prefix, now));
        let shared = Rc::new(SharedList { list, changed: Notify::new() });
        open.push(shared.clone());
        shared
    }

    /// Reads the list of the keys with a prefix, together with other reads. `is_answered` is set when the
    /// store has answered a call.
    async fn read_list(
        &self,
        prefix: &str,
        wait: Duration,
        is_answered: &Cell<bool>,
    ) -> Result<Rc<SharedList>, StoreError> {
        let mut shared = self.open_list(prefix);
        loop {
            let now = clock::now();
            let step = shared.list.borrow_mut().step(now);
            match step {
                Step::Done => return Ok(shared),
                Step::Restart => shared = self.open_list(prefix),
                Step::Call(page) => self.read_page(&shared, page, wait, is_answered).await?,
                Step::Wait(end) => {
                    // Whether the page is there or another call is due, shows in the next step.
                    let _ = timeout(end - now, shared.changed.notified()).await;
                }
            }
        }
    }

    /// Reads the next page of a list, unless another read has it first.
    async fn read_page(
        &self,
        shared: &Rc<SharedList>,
        page: usize,
        wait: Duration,
        is_answered: &Cell<bool>,
    ) -> Result<(), StoreError> {
        let list = &shared.list;
        let path = range_path(list.borrow().prefix(), list.borrow().end());
        let read = self.get_page(&path, wait, is_answered).await;
        if !list.borrow().lacks(page) {
            return Ok(());
        }
        let added = read.and_then(|(era, body)| {
            let text = decode_text(&body);
            let page = self.parse::<Page>(&path, &text)?;
            let added = list.borrow_mut().add(clock::now(), era, &page);
            added.map_err(|fault| {
                let (label, e) = classify_fault(fault);
                self.fail(&path, label, fault, e)
            })
        });
        list.borrow_mut().end_call();
        if !list.borrow().is_open() {
            self.lists.borrow_mut().open.retain(|open| !Rc::ptr_eq(open, shared));
        }
        shared.changed.notify_waiters();
        added
    }

    /// Reads a page. Where the store answers only some calls, a list whose calls all have to succeed at
    /// once may never be complete, so that one that fails promptly is repeated.
    async fn get_page(
        &self,
        path: &str,
        wait: Duration,
        is_answered: &Cell<bool>,
    ) -> Result<(Era, Bytes), StoreError> {
        let mut repeats = 0;
        loop {
            let sent = clock::now();
            let read = self.get(path, wait).await;
            if read.is_ok() {
                self.record_answer(sent, Duration::ZERO);
                is_answered.set(true);
            }
            let is_transient =
                matches!(read, Err(StoreError::Refused | StoreError::Lost | StoreError::Unreached));
            let is_late = clock::now() >= sent + PROMPT_TIME;
            if !is_transient || is_late || repeats == MAX_REPEATS {
                return read;
            }
            tokio::time::sleep(REPEAT_DELAY).await;
            if !is_answered.get() {
                return read;
            }
            repeats += 1;
        }
    }

    /// Records an answer to a call sent at `sent`, with the time that the store was told to wait.
    fn record_answer(&self, sent: Instant, held: Duration) {
        let time = clock::now().saturating_duration_since(sent).saturating_sub(held);
        self.patience.borrow_mut().record_answer(time);
    }

    /// Reads a JSON document that is not parsed yet; returns it with the era in which it was read.
    async fn get(&self, path: &str, wait: Duration) -> Result<(Era, Bytes), StoreError> {
        let (head, body) = self.call(Method::GET, path, Bytes::new(), wait).await?;
        match head.status.as_u16() {
            200 => Ok((self.read_era(&head), body)),
            410 => Err(self.fail_status(path, 410, StoreError::Compacted)),
            status => Err(self.fail_status(path, status, StoreError::Refused)),
        }
    }

    /// Parses the response to a read.
    fn parse<'a, T: Deserialize<'a>>(&self, path: &str, text: &'a str) -> Result<T, StoreError> {
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

impl SharedList {
    /// Returns the items, copied if another read has use for them.
    fn take_items(self: Rc<Self>) -> Vec<KeyValue> {
        match Rc::try_unwrap(self) {
            Ok(shared) => shared.list.into_inner().into_items(),
            Err(shared) => shared.list.borrow().items().to_vec(),
        }
    }
}

/// Returns a body as text. A key of other bytes than UTF-8 is no reason to lose the others.
fn decode_text(body: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(body)
}

fn classify_fault(fault: ListFault) -> (&'static str, StoreError) {
    match fault {
        ListFault::Era => ("era", StoreError::Compacted),
        ListFault::NoProgress => ("malformed", StoreError::Malformed),
        ListFault::TooLong => ("pages", StoreError::TooLarge),
    }
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
