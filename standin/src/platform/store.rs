//! In-memory metadata store of the platform, with outages that tests switch on.
//!
//! Queries are decoded as forms are, and lists come in pages. Transactions are applied without their comparisons, and leases end only when the store comes
//! back from a copy.

use super::workers::{self, Server};
use super::{Request, read_request};
use crate::host::free_address;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Most items of a page of a list.
const PAGE_ITEMS: usize = 500;
/// Size of the values in base64 from which a page gets no further item.
const PAGE_BYTES: usize = 1_000_000;
/// Longest key.
const MAX_KEY_BYTES: usize = 200;

/// Failure of the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outage {
    /// Calls are refused with status 503.
    Busy,
    /// Calls get no response. Watches that are pending when it begins end with status 503.
    Silent,
}

/// Write to a key.
#[derive(Debug, Clone, PartialEq)]
struct Change {
    key: String,
    /// Value in base64, as on the wire; `None` for a removal.
    value: Option<String>,
    revision: u64,
    /// Lease under which the key was written; 0 without one.
    lease: u64,
}

/// Copy of the store's content at one moment.
#[derive(Debug)]
pub struct StoreCopy {
    revision: u64,
    items: BTreeMap<String, Change>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of times that the store has come back from a copy.
    era: u64,
    revision: u64,
    items: BTreeMap<String, Change>,
    history: Vec<Change>,
    /// Revision from which the history is complete.
    oldest_revision: u64,
    leases: HashMap<u64, Instant>,
    outage: Option<Outage>,
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
        lock(&self.shared).outage = outage;
        self.shared.1.notify_all();
    }

    /// Returns a function that ends the outage, for use in another thread.
    pub fn outage_ender(&self) -> impl FnOnce() + Send + 'static {
        let shared = self.shared.clone();
        move || {
            lock(&shared).outage = None;
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
        StoreCopy { revision: state.revision, items }
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
            let is_theirs = |k: &str| k.starts_with("op/") || k.starts_with("servers/");
            let mut lost: Vec<_> = state.items.values().cloned().collect();
            lost.retain(|c| is_theirs(&c.key) && copy.items.get(&c.key) != Some(c));
            state.restore(copy);
            lost.into_iter().for_each(|c| state.write(&c.key, c.value, 0));
            state.outage = None;
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
        state.leases.clear();
    }

    /// Returns the keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = lock(&self.shared);
        state.items.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }
}

impl State {
    fn restore(&mut self, copy: StoreCopy) {
        self.era += 1;
        self.revision = copy.revision;
        self.items = copy.items;
        self.leases.clear();
        self.history.retain(|c| c.revision <= copy.revision);
    }

    fn write(&mut self, key: &str, value: Option<String>, lease: u64) {
        self.revision += 1;
        let change = Change { key: key.to_owned(), value, revision: self.revision, lease };
        match change.value {
            Some(_) => drop(self.items.insert(key.to_owned(), change.clone())),
            None => drop(self.items.remove(key)),
        }
        self.history.push(change);
    }
}

/// Returns a change in the form of watches and ranges.
fn to_json(c: &Change) -> Value {
    match &c.value {
        Some(v) => json!({ "key": c.key, "value": v, "revision": c.revision, "lease": c.lease }),
        None => json!({ "key": c.key, "revision": c.revision, "tombstone": true }),
    }
}

fn serve(shared: &Shared, io: TcpStream) {
    let Ok(mut writer) = io.try_clone() else { return };
    let mut reader = BufReader::new(io);
    while let Some(req) = read_request(&mut reader) {
        lock(shared).calls += 1;
        let outage = lock(shared).outage;
        let (status, body) = match outage {
            Some(Outage::Silent) => return std::thread::sleep(Duration::from_secs(20)),
            Some(Outage::Busy) => (503, Value::Null),
            None => handle_request(shared, &req),
        };
        let body = body.to_string();
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

fn handle_request(shared: &Shared, req: &Request) -> (u16, Value) {
    let path = req.target.split('?').next().unwrap_or("");
    if !is_encoded(query(req)) {
        return (400, Value::Null);
    }
    match (req.method.as_str(), path) {
        ("GET", "/kv-key") => handle_key(&lock(shared), req),
        ("GET", "/kv-range") => handle_range(&lock(shared), req),
        ("GET", "/kv-watch") => handle_watch(shared, req),
        ("POST", "/kv-lease") => {
            let mut state = lock(shared);
            state.revision += 1;
            let lease = state.revision;
            if !state.ends_leases {
                state.leases.insert(lease, Instant::now());
            }
            (200, json!({ "lease": lease, "ttl_ms": 15_000 }))
        }
        ("POST", "/kv-txn") => handle_transaction(shared, req),
        ("POST", p) if p.starts_with("/kv-keep/") => {
            let lease = p.trim_start_matches("/kv-keep/").parse().unwrap_or(0);
            let is_known = lock(shared).leases.contains_key(&lease);
            if is_known { (200, json!({ "ttl_ms": 15_000 })) } else { (404, Value::Null) }
        }
        _ => (400, Value::Null),
    }
}

fn handle_key(state: &State, req: &Request) -> (u16, Value) {
    let Some(found) = state.items.get(&*query_param(req, "key")) else { return (404, Value::Null) };
    let mut item = to_json(found);
    item["current_rev"] = state.revision.into();
    (200, item)
}

/// Answers with a page of the keys with the prefix, from the first one behind the key in `after`.
fn handle_range(state: &State, req: &Request) -> (u16, Value) {
    let (prefix, after) = (query_param(req, "prefix"), query_param(req, "after"));
    let max_items = state.page_items.unwrap_or(PAGE_ITEMS);
    let is_found = |c: &&Change| c.key.starts_with(&*prefix) && *c.key > *after;
    let mut found = state.items.values().filter(is_found).peekable();
    let (mut items, mut bytes) = (Vec::new(), 0);
    while items.len() < max_items && bytes < PAGE_BYTES {
        let Some(c) = found.next() else { break };
        bytes += c.value.as_ref().map_or(0, String::len);
        items.push(to_json(c));
    }
    let is_truncated = found.peek().is_some();
    (200, json!({ "items": items, "truncated": is_truncated, "current_rev": state.revision }))
}

fn handle_transaction(shared: &Shared, req: &Request) -> (u16, Value) {
    let Ok(body) = serde_json::from_slice::<Value>(&req.body) else { return (400, Value::Null) };
    let mut state = lock(shared);
    let sets = || body["set_keys"].as_array().into_iter().flatten();
    let lease_of = |set: &Value| set["lease"].as_u64().unwrap_or(0);
    if sets().map(lease_of).any(|l| l != 0 && !state.leases.contains_key(&l)) {
        return (404, Value::Null);
    }
    for set in sets() {
        let key = set["key"].as_str().unwrap_or("").to_owned();
        state.write(&key, set["value"].as_str().map(str::to_owned), lease_of(set));
    }
    let revision = state.revision;
    drop(state);
    shared.1.notify_all();
    (200, json!({ "revision": revision }))
}

fn handle_watch(shared: &Shared, req: &Request) -> (u16, Value) {
    let after: u64 = query_param(req, "after").parse().unwrap_or(0);
    let timeout = Duration::from_millis(query_param(req, "wait_ms").parse().unwrap_or(0));
    let prefix = query_param(req, "prefix");
    let end = Instant::now() + timeout;
    let mut state = lock(shared);
    loop {
        if state.keeps_nothing || after + 1 < state.oldest_revision || after > state.revision {
            return (410, Value::Null);
        }
        if state.outage.is_some() {
            return (503, Value::Null);
        }
        let is_match = |c: &&Change| c.revision > after && c.key.starts_with(&*prefix);
        let events: Vec<Value> = state.history.iter().filter(is_match).map(to_json).collect();
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            return (200, json!({ "events": events, "current_rev": state.revision }));
        }
        state = shared.1.wait_timeout(state, left).expect("no holder panics").0;
    }
}
