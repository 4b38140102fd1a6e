//! In-memory metadata store of the platform, with outages that tests switch on.
//!
//! Queries are decoded as forms are, lists come in pages, and calls that the platform does not allow
//! are refused. The operator and the endpoints write through [`Store::set`], which has no limits.

use super::workers::{self, Server};
use super::{Request, read_request};
use crate::host::free_address;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::{Value, json};
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::{Bound, RangeInclusive};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Most items of a page of a list.
const PAGE_ITEMS: usize = 500;
/// Size of the values in base64 from which a page gets no further item.
const PAGE_BYTES: usize = 1_000_000;
/// Longest key.
const MAX_KEY_BYTES: usize = 200;
/// Largest value before its encoding.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Most comparisons and writes of a transaction together.
const MAX_TXN_ENTRIES: usize = 32;
/// Prefixes of the keys that only the operator and the endpoints write.
const THEIR_PREFIXES: [&str; 2] = ["op/", "servers/"];
/// Longest wait of a watch in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;
/// Times to live of a lease in milliseconds.
const TTL_MS: RangeInclusive<u64> = 1000..=600_000;
/// Time for which changes are kept for watches.
const HISTORY_TIME: Duration = Duration::from_secs(20);
/// Period in which the calls of [`Rates`] are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Failure of the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outage {
    /// Calls are refused with status 503.
    Busy,
    /// Calls get no response. Watches that are pending when it begins end with status 503.
    Silent,
}

/// Calls per second that are not refused with status 429.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rates {
    /// Lists, reads and watches; ten renewals of leases count as one.
    pub reads: f64,
    /// Transactions, and grants and ends of leases.
    pub writes: f64,
}

/// Calls since the start of a window.
#[derive(Debug)]
struct Usage {
    since: Instant,
    used: Rates,
}

/// Lease, which ends unless it is renewed.
#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl_ms: u64,
    end: Instant,
}

impl Lease {
    fn new(ttl_ms: u64, now: Instant) -> Lease {
        Lease { ttl_ms, end: now + Duration::from_millis(ttl_ms) }
    }
}

/// Write to a key.
#[derive(Debug, Clone, PartialEq)]
struct Change {
    key: String,
    /// Value in base64, as on the wire; `None` for a removal.
    value: Option<String>,
    revision: u64,
    /// Revision at which the key was created.
    created: u64,
    at: Instant,
    /// Lease under which the key was written; 0 without one.
    lease: u64,
}

/// Body of a transaction.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Transaction {
    #[serde(default)]
    expected_rev: Vec<Expectation>,
    #[serde(default)]
    set_keys: Vec<Assignment>,
    #[serde(default)]
    remove: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Expectation {
    key: String,
    /// Revision of the last change; 0 if the key does not exist.
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct Assignment {
    key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

/// Copy of the store's content at one moment.
#[derive(Debug)]
pub struct StoreCopy {
    revision: u64,
    last_lease: u64,
    items: BTreeMap<String, Change>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of times that the store has come back from a copy.
    era: u64,
    revision: u64,
    items: BTreeMap<String, Change>,
    history: VecDeque<Change>,
    /// Revision from which the history is complete.
    oldest_revision: u64,
    leases: HashMap<u64, Lease>,
    /// Last lease that was granted.
    last_lease: u64,
    outage: Option<Outage>,
    outage_since: Option<Instant>,
    /// Whether the time of an outage does not count for leases.
    pauses_leases: bool,
    rates: Option<Rates>,
    usage: Option<Usage>,
    /// Content from which reads that may be stale are answered.
    stale_items: Option<BTreeMap<String, Change>>,
    /// Time after which the connection of a watch that still waits is closed.
    watch_time: Option<Duration>,
    /// Whether leases end as soon as they are granted.
    ends_leases: bool,
    /// Whether each watch finds its history discarded.
    keeps_nothing: bool,
    /// Start of the path of a call whose next response names an era that is far too large.
    odd_call: Option<&'static str>,
    /// Whether each response names an era that is far too large.
    names_odd_era: bool,
    /// Most items of a page, if fewer than [`PAGE_ITEMS`].
    page_items: Option<usize>,
    calls: u64,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// Serves the calls of instances.
struct Calls {
    listener: Arc<TcpListener>,
    shared: Shared,
}

impl Server for Calls {
    fn accept(&self) -> Option<TcpStream> {
        workers::accept(&self.listener).ok()
    }

    fn serve(&self, io: TcpStream) {
        serve(&self.shared, io);
    }
}

/// Running store.
#[derive(Debug)]
pub struct Store {
    /// Address that the store listens on.
    pub address: SocketAddr,
    listener: Arc<TcpListener>,
    shared: Shared,
}

impl Drop for Store {
    fn drop(&mut self) {
        workers::close(&self.listener);
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.0.lock().expect("no holder of the lock panics")
}

impl Store {
    /// Starts an empty store at revision 10.
    pub fn start() -> Store {
        let address = free_address();
        let listener = workers::listen(address).expect("cannot listen on the free address");
        let listener = Arc::new(listener);
        let shared = Shared::default();
        lock(&shared).revision = 10;
        workers::start(Arc::new(Calls { listener: listener.clone(), shared: shared.clone() }));
        Store { address, listener, shared }
    }

    /// Writes a key; `None` removes it.
    ///
    /// # Panics
    ///
    /// Panics if the key is longer than the platform allows.
    pub fn set(&self, key: &str, value: Option<&[u8]>) {
        assert!(key.len() <= MAX_KEY_BYTES, "the key has {} bytes", key.len());
        lock(&self.shared).write(key, value.map(|v| STANDARD.encode(v)), 0);
        self.shared.1.notify_all();
    }

    /// Returns a function that writes a key, for use in another thread.
    pub fn setter(&self) -> impl Fn(&str, &str) + Send + 'static {
        let shared = self.shared.clone();
        move |key, value| {
            lock(&shared).write(key, Some(STANDARD.encode(value)), 0);
            shared.1.notify_all();
        }
    }

    /// Returns a function that removes a key, for use in another thread.
    pub fn remover(&self) -> impl FnOnce(&str) + Send + 'static {
        let shared = self.shared.clone();
        move |key| {
            lock(&shared).write(key, None, 0);
            shared.1.notify_all();
        }
    }

    /// Begins or ends an outage.
    pub fn set_outage(&self, outage: Option<Outage>) {
        lock(&self.shared).set_outage(outage);
        self.shared.1.notify_all();
    }

    /// Leaves the time of outages out of account for leases from now on; otherwise they expire.
    pub fn pause_leases(&self) {
        lock(&self.shared).pauses_leases = true;
    }

    /// Limits the calls of each second from now on, or no longer.
    pub fn set_rates(&self, rates: Option<Rates>) {
        lock(&self.shared).rates = rates;
    }

    /// Answers reads that may be stale from the present content from now on.
    pub fn freeze_stale_reads(&self) {
        let mut state = lock(&self.shared);
        state.stale_items = Some(state.items.clone());
    }

    /// Closes the connection of each watch that still waits after this time, or no longer.
    pub fn cut_watches(&self, time: Option<Duration>) {
        lock(&self.shared).watch_time = time;
        self.shared.1.notify_all();
    }

    /// Returns a function that ends the outage, for use in another thread.
    pub fn outage_ender(&self) -> impl FnOnce() + Send + 'static {
        let shared = self.shared.clone();
        move || {
            lock(&shared).set_outage(None);
            shared.1.notify_all();
        }
    }

    /// Discards the history, so that watches from an earlier revision get status 410.
    pub fn compact(&self) {
        let mut state = lock(&self.shared);
        state.oldest_revision = state.revision + 1;
        state.revision += 1;
        state.history.clear();
        drop(state);
        self.shared.1.notify_all();
    }

    /// Copies the content, without the keys under leases.
    pub fn copy(&self) -> StoreCopy {
        let state = lock(&self.shared);
        let lasting = state.items.iter().filter(|(_, c)| c.lease == 0);
        let items = lasting.map(|(k, c)| (k.clone(), c.clone())).collect();
        StoreCopy { revision: state.revision, last_lease: state.last_lease, items }
    }

    /// Comes back from a copy: what was written since is gone, leases too, and their revisions are
    /// given out again.
    pub fn restore(&self, copy: StoreCopy) {
        lock(&self.shared).restore(copy);
        self.shared.1.notify_all();
    }

    /// Returns a function that ends the outage with a return from a copy, for use in another
    /// thread. The operator and the endpoints write their keys again at once.
    pub fn restorer(&self, copy: StoreCopy) -> impl FnOnce() + Send + 'static {
        let shared = self.shared.clone();
        move || {
            let mut state = lock(&shared);
            let mut lost: Vec<_> = state.items.values().cloned().collect();
            lost.retain(|c| is_theirs(&c.key) && copy.items.get(&c.key) != Some(c));
            state.restore(copy);
            lost.into_iter().for_each(|c| state.write(&c.key, c.value, 0));
            state.set_outage(None);
            drop(state);
            shared.1.notify_all();
        }
    }

    /// Sets the most items of a page from now on.
    pub fn set_page_items(&self, items: usize) {
        lock(&self.shared).page_items = Some(items);
    }

    /// Returns the number of requests received, refused ones included.
    pub fn calls(&self) -> u64 {
        lock(&self.shared).calls
    }

    /// Keeps no history from now on, so that each watch gets status 410.
    pub fn keep_nothing(&self) {
        lock(&self.shared).keeps_nothing = true;
        self.shared.1.notify_all();
    }

    /// Names an era that is far too large in the next response to a call whose path starts so.
    pub fn name_odd_era(&self, call: &'static str) {
        lock(&self.shared).odd_call = Some(call);
    }

    /// Returns whether the era that is far too large was named.
    pub fn has_named_odd_era(&self) -> bool {
        lock(&self.shared).odd_call.is_none()
    }

    /// Names an era that is far too large in each response, or no longer.
    pub fn name_odd_eras(&self, is_odd: bool) {
        lock(&self.shared).names_odd_era = is_odd;
    }

    /// Ends all leases, and each new one as soon as it is granted.
    pub fn end_leases(&self) {
        let mut state = lock(&self.shared);
        state.ends_leases = true;
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        leases.into_iter().for_each(|lease| state.end_lease(lease));
        drop(state);
        self.shared.1.notify_all();
    }

    /// Returns the keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let mut state = lock(&self.shared);
        state.expire(Instant::now());
        state.items.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }
}

impl State {
    fn restore(&mut self, copy: StoreCopy) {
        self.era += 1;
        self.revision = copy.revision;
        self.items = copy.items;
        self.leases.clear();
        self.last_lease = copy.last_lease;
        self.oldest_revision = self.oldest_revision.min(copy.revision + 1);
        self.history.retain(|c| c.revision <= copy.revision);
    }

    fn set_outage(&mut self, outage: Option<Outage>) {
        let now = Instant::now();
        let since = self.outage_since.take().unwrap_or(now);
        match outage {
            Some(_) => {
                // Leases that have ended by now are gone in either case.
                self.expire(now);
                self.outage_since = Some(since);
            }
            None if self.pauses_leases => {
                self.leases.values_mut().for_each(|l| l.end += now.duration_since(since));
            }
            None => {}
        }
        self.outage = outage;
    }

    fn write(&mut self, key: &str, value: Option<String>, lease: u64) {
        self.revision += 1;
        let (revision, at) = (self.revision, Instant::now());
        let created = self.items.get(key).map_or(revision, |known| known.created);
        let change = Change { key: key.to_owned(), value, revision, created, at, lease };
        match change.value {
            Some(_) => drop(self.items.insert(key.to_owned(), change.clone())),
            None => drop(self.items.remove(key)),
        }
        self.history.push_back(change);
    }

    /// Discards the history that is too old, and ends leases unless the store is down.
    fn expire(&mut self, now: Instant) {
        while let Some(c) = self.history.pop_front_if(|c| now >= c.at + HISTORY_TIME) {
            self.oldest_revision = self.oldest_revision.max(c.revision + 1);
        }
        if self.outage.is_some() {
            return;
        }
        let ended = self.leases.iter().filter(|(_, l)| l.end <= now).map(|(lease, _)| *lease);
        ended.collect::<Vec<_>>().into_iter().for_each(|lease| self.end_lease(lease));
    }

    /// Ends a lease, if there is one, and removes its keys.
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.values().filter(|c| c.lease == lease).map(|c| c.key.clone()).collect();
        keys.iter().for_each(|key| self.write(key, None, 0));
    }

    /// Counts a call of this price; returns whether it is within the limits.
    fn is_within_rates(&mut self, now: Instant, price: Rates) -> bool {
        let Some(rates) = self.rates else { return true };
        let usage = self.usage.take().filter(|u| now < u.since + RATE_WINDOW);
        let mut usage =
            usage.unwrap_or(Usage { since: now, used: Rates { reads: 0.0, writes: 0.0 } });
        usage.used.reads += price.reads;
        usage.used.writes += price.writes;
        let is_within = usage.used.reads <= rates.reads && usage.used.writes <= rates.writes;
        self.usage = Some(usage);
        is_within
    }
}

/// Returns a list of changes in the form of watches and ranges.
fn to_json<'c>(changes: impl IntoIterator<Item = &'c Change>) -> String {
    let items: Vec<String> = changes.into_iter().map(item_to_json).collect();
    format!("[{}]", items.join(","))
}

/// Returns a change in JSON. Its value may be large, and base64 needs no escapes.
fn item_to_json(c: &Change) -> String {
    let (key, revision) = (Value::from(&*c.key), c.revision);
    match &c.value {
        Some(v) => format!(
            r#"{{"key":{key},"value":"{v}","revision":{revision},"created":{},"lease":{}}}"#,
            c.created, c.lease
        ),
        None => format!(r#"{{"key":{key},"revision":{revision},"tombstone":true}}"#),
    }
}

fn serve(shared: &Shared, io: TcpStream) {
    let Ok(mut writer) = io.try_clone() else { return };
    let mut reader = BufReader::new(io);
    while let Some(req) = read_request(&mut reader) {
        lock(shared).calls += 1;
        let outage = lock(shared).outage;
        let answer = match outage {
            Some(Outage::Silent) => return std::thread::sleep(Duration::from_secs(20)),
            Some(Outage::Busy) => Some(refuse(503)),
            None => handle_request(shared, &req),
        };
        let Some((status, body)) = answer else { return };
        let mut state = lock(shared);
        let odd = state.odd_call.take_if(|call| req.target.starts_with(*call));
        let is_odd = odd.is_some() || state.names_odd_era;
        let era = if is_odd { u64::MAX } else { state.era };
        drop(state);
        let head = format!(
            "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Status and body of a response.
type Answer = (u16, String);

fn refuse(status: u16) -> Answer {
    (status, Value::Null.to_string())
}

fn query(req: &Request) -> &str {
    req.target.split_once('?').map_or("", |(_, q)| q)
}

/// Returns a decoded parameter of the query string; empty if absent.
fn query_param<'q>(req: &'q Request, name: &str) -> Cow<'q, str> {
    let mut pairs = form_urlencoded::parse(query(req).as_bytes());
    pairs.find(|(n, _)| n == name).map_or(Cow::Borrowed(""), |(_, v)| v)
}

/// Returns whether a query can be decoded: visible ASCII, with two digits after each percent sign.
fn is_encoded(query: &str) -> bool {
    let is_triplet =
        |part: &str| part.len() >= 2 && part.bytes().take(2).all(|b| b.is_ascii_hexdigit());
    query.bytes().all(|b| b.is_ascii_graphic()) && query.split('%').skip(1).all(is_triplet)
}

/// Returns the price of a call in reads and writes.
fn price(req: &Request) -> Rates {
    let is_stale = query_param(req, "allow_stale") == "1";
    let (reads, writes) = match req.method.as_str() {
        "GET" if is_stale => (0.0, 0.0),
        "GET" => (1.0, 0.0),
        _ if req.target.starts_with("/kv-keep/") => (0.1, 0.0),
        _ => (0.0, 1.0),
    };
    Rates { reads, writes }
}

/// Returns the response to a call; `None` if the connection is closed without one.
fn handle_request(shared: &Shared, req: &Request) -> Option<Answer> {
    let path = req.target.split('?').next().unwrap_or("");
    if !is_encoded(query(req)) {
        return Some(refuse(400));
    }
    let mut state = lock(shared);
    let (now, before) = (Instant::now(), state.revision);
    state.expire(now);
    if !state.is_within_rates(now, price(req)) {
        return Some(refuse(429));
    }
    let lease_of = |prefix: &str| path.strip_prefix(prefix)?.parse::<u64>().ok();
    let answer = match (req.method.as_str(), path) {
        ("GET", "/kv-key") => handle_key(&state, req),
        ("GET", "/kv-range") => handle_range(&state, req),
        ("GET", "/kv-watch") => {
            drop(state);
            return handle_watch(shared, req);
        }
        ("POST", "/kv-lease") => handle_grant(&mut state, now, req),
        ("POST", "/kv-txn") => handle_transaction(&mut state, req),
        ("POST", _) => match lease_of("/kv-keep/").and_then(|l| state.leases.get_mut(&l)) {
            Some(lease) => {
                *lease = Lease::new(lease.ttl_ms, now);
                (200, json!({ "ttl_ms": lease.ttl_ms }).to_string())
            }
            None => refuse(404),
        },
        ("DELETE", _) => {
            match lease_of("/kv-lease-end/").filter(|l| state.leases.contains_key(l)) {
                Some(lease) => {
                    state.end_lease(lease);
                    (200, json!({}).to_string())
                }
                None => refuse(404),
            }
        }
        _ => refuse(400),
    };
    if state.revision != before {
        shared.1.notify_all();
    }
    Some(answer)
}

fn handle_grant(state: &mut State, now: Instant, req: &Request) -> Answer {
    let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
    let Some(ttl_ms) = body["ttl_ms"].as_u64().filter(|ms| TTL_MS.contains(ms)) else {
        return refuse(400);
    };
    state.last_lease += 1;
    let lease = state.last_lease;
    if !state.ends_leases {
        state.leases.insert(lease, Lease::new(ttl_ms, now));
    }
    (200, json!({ "lease": lease, "ttl_ms": ttl_ms }).to_string())
}

/// Returns the content that a read sees.
fn items<'s>(state: &'s State, req: &Request) -> &'s BTreeMap<String, Change> {
    let stale = state.stale_items.as_ref().filter(|_| query_param(req, "allow_stale") == "1");
    stale.unwrap_or(&state.items)
}

fn handle_key(state: &State, req: &Request) -> Answer {
    let Some(found) = items(state, req).get(&*query_param(req, "key")) else {
        return refuse(404);
    };
    let item = item_to_json(found);
    let fields = item.trim_end_matches('}');
    (200, format!(r#"{fields},"current_rev":{}}}"#, state.revision))
}

/// Answers with a page of the keys with the prefix, from the first one behind the key in `after`.
fn handle_range(state: &State, req: &Request) -> Answer {
    let (prefix, after) = (query_param(req, "prefix"), query_param(req, "after"));
    let max_items = state.page_items.unwrap_or(PAGE_ITEMS);
    let start = match *after < *prefix {
        true => Bound::Included(&*prefix),
        false => Bound::Excluded(&*after),
    };
    let behind = items(state, req).range::<str, _>((start, Bound::Unbounded));
    let mut found = behind.map(|(_, c)| c).take_while(|c| c.key.starts_with(&*prefix)).peekable();
    let (mut page, mut bytes) = (Vec::new(), 0);
    while page.len() < max_items && bytes < PAGE_BYTES {
        let Some(c) = found.next() else { break };
        bytes += c.value.as_ref().map_or(0, String::len);
        page.push(c);
    }
    let (is_truncated, revision) = (found.peek().is_some(), state.revision);
    let items = to_json(page);
    (200, format!(r#"{{"items":{items},"truncated":{is_truncated},"current_rev":{revision}}}"#))
}

/// Applies a transaction as a whole, or nothing of it.
fn handle_transaction(state: &mut State, req: &Request) -> Answer {
    let Ok(txn) = serde_json::from_slice::<Transaction>(&req.body) else {
        return refuse(400);
    };
    let Transaction { expected_rev, set_keys, remove } = txn;
    let written: Vec<&String> = set_keys.iter().map(|set| &set.key).chain(&remove).collect();
    let is_key = |k: &String| (1..=MAX_KEY_BYTES).contains(&k.len());
    let is_value = |v: &str| STANDARD.decode(v).is_ok_and(|v| v.len() <= MAX_VALUE_BYTES);
    if expected_rev.len() + written.len() > MAX_TXN_ENTRIES
        || !written.iter().all(|k| is_key(k))
        || !set_keys.iter().all(|set| is_value(&set.value))
    {
        return refuse(400);
    }
    if written.iter().any(|k| is_theirs(k)) {
        return refuse(403);
    }
    if set_keys.iter().any(|set| set.lease != 0 && !state.leases.contains_key(&set.lease)) {
        return refuse(404);
    }
    let revision = |key: &str| state.items.get(key).map_or(0, |c| c.revision);
    if expected_rev.iter().any(|row| row.revision != revision(&row.key)) {
        let found = expected_rev.iter().filter_map(|row| state.items.get(&row.key));
        return (412, format!(r#"{{"items":{}}}"#, to_json(found)));
    }
    set_keys.into_iter().for_each(|set| state.write(&set.key, Some(set.value), set.lease));
    for key in remove {
        if state.items.contains_key(&key) {
            state.write(&key, None, 0);
        }
    }
    (200, json!({ "revision": state.revision }).to_string())
}

fn is_theirs(key: &str) -> bool {
    THEIR_PREFIXES.iter().any(|prefix| key.starts_with(prefix))
}

fn handle_watch(shared: &Shared, req: &Request) -> Option<Answer> {
    let number = |name| query_param(req, name).parse::<u64>().ok();
    let wait_ms = number("wait_ms").filter(|ms| *ms <= MAX_WAIT_MS);
    let (Some(after), Some(wait_ms)) = (number("after"), wait_ms) else {
        return Some(refuse(400));
    };
    let prefix = query_param(req, "prefix");
    let start = Instant::now();
    let end = start + Duration::from_millis(wait_ms);
    let mut state = lock(shared);
    loop {
        let now = Instant::now();
        state.expire(now);
        if state.keeps_nothing || after + 1 < state.oldest_revision || after > state.revision {
            return Some(refuse(410));
        }
        if state.outage.is_some() {
            return Some(refuse(503));
        }
        let is_match = |c: &&Change| c.revision > after && c.key.starts_with(&*prefix);
        let events: Vec<&Change> = state.history.iter().filter(is_match).collect();
        if !events.is_empty() || now >= end {
            let (events, revision) = (to_json(events), state.revision);
            return Some((200, format!(r#"{{"events":{events},"current_rev":{revision}}}"#)));
        }
        let cut = state.watch_time.map(|time| start + time);
        if cut.is_some_and(|cut| now >= cut) {
            return None;
        }
        let next = state.leases.values().map(|l| l.end).chain(cut).chain([end]).min();
        let left = next.unwrap_or(end).saturating_duration_since(now);
        state = shared.1.wait_timeout(state, left).expect("no holder panics").0;
    }
}
