//! The platform's metadata store: items, watches, leases, and outages that tests switch on.

use super::{Request, read_request};
use crate::host::free_address;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How the store fails.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outage {
    /// It turns calls away with 503.
    Busy,
    /// It answers nothing.
    Silent,
}

#[derive(Debug, Clone)]
struct Change {
    key: String,
    value: Option<String>,
    revision: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Change>,
    history: Vec<Change>,
    oldest: u64,
    leases: HashMap<u64, Instant>,
    outage: Option<Outage>,
    calls: u64,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// A running store.
#[derive(Debug)]
pub struct Store {
    /// Address it listens on.
    pub address: SocketAddr,
    shared: Shared,
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.0.lock().expect("no holder of the lock panics")
}

impl Store {
    /// Starts a store.
    pub fn start() -> Store {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("the address was free");
        let shared = Shared::default();
        lock(&shared).revision = 10;
        let serving = shared.clone();
        std::thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let shared = serving.clone();
                std::thread::spawn(move || serve(&shared, io));
            }
        });
        Store { address, shared }
    }

    /// Writes a key; `None` removes it.
    pub fn set(&self, key: &str, value: Option<&[u8]>) {
        lock(&self.shared).write(key, value.map(|v| STANDARD.encode(v)));
        self.shared.1.notify_all();
    }

    /// Begins or ends an outage.
    pub fn set_outage(&self, outage: Option<Outage>) {
        lock(&self.shared).outage = outage;
        self.shared.1.notify_all();
    }

    /// Returns what ends an outage from another thread.
    pub fn outage_ender(&self) -> impl FnOnce() + Send + 'static {
        let shared = self.shared.clone();
        move || {
            lock(&shared).outage = None;
            shared.1.notify_all();
        }
    }

    /// Forgets all history.
    pub fn compact(&self) {
        let mut state = lock(&self.shared);
        state.oldest = state.revision + 1;
        state.revision += 1;
        state.history.clear();
        drop(state);
        self.shared.1.notify_all();
    }

    /// Counts the calls made so far.
    pub fn calls(&self) -> u64 {
        lock(&self.shared).calls
    }

    /// Returns the keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = lock(&self.shared);
        state.items.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<String>) {
        self.revision += 1;
        let change = Change { key: key.to_owned(), value, revision: self.revision };
        match change.value {
            Some(_) => drop(self.items.insert(key.to_owned(), change.clone())),
            None => drop(self.items.remove(key)),
        }
        self.history.push(change);
    }
}

fn show(c: &Change) -> Value {
    match &c.value {
        Some(v) => json!({ "key": c.key, "value": v, "revision": c.revision, "lease": 0 }),
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
            None => answer(shared, &req),
        };
        let body = body.to_string();
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn field<'q>(req: &'q Request, name: &str) -> &'q str {
    let query = req.target.split_once('?').map_or("", |(_, q)| q);
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
}

fn answer(shared: &Shared, req: &Request) -> (u16, Value) {
    let path = req.target.split('?').next().unwrap_or("");
    match (req.method.as_str(), path) {
        ("GET", "/kv-key") => match lock(shared).items.get(field(req, "key")) {
            Some(c) => (200, show(c)),
            None => (404, Value::Null),
        },
        ("GET", "/kv-range") => {
            let state = lock(shared);
            let prefix = field(req, "prefix");
            let found = state.items.values().filter(|c| c.key.starts_with(prefix));
            let items: Vec<Value> = found.map(show).collect();
            let now = state.revision;
            (200, json!({ "items": items, "truncated": false, "current_rev": now }))
        }
        ("GET", "/kv-watch") => watch(shared, req),
        ("POST", "/kv-lease") => {
            let mut state = lock(shared);
            state.revision += 1;
            let lease = state.revision;
            state.leases.insert(lease, Instant::now());
            (200, json!({ "lease": lease, "ttl_ms": 15_000 }))
        }
        ("POST", "/kv-txn") => txn(shared, req),
        ("POST", p) if p.starts_with("/kv-keep/") => (200, json!({ "ttl_ms": 15_000 })),
        _ => (400, Value::Null),
    }
}

fn txn(shared: &Shared, req: &Request) -> (u16, Value) {
    let Ok(body) = serde_json::from_slice::<Value>(&req.body) else { return (400, Value::Null) };
    let mut state = lock(shared);
    for set in body["set_keys"].as_array().into_iter().flatten() {
        let key = set["key"].as_str().unwrap_or("").to_owned();
        state.write(&key, set["value"].as_str().map(str::to_owned));
    }
    let revision = state.revision;
    drop(state);
    shared.1.notify_all();
    (200, json!({ "revision": revision }))
}

fn watch(shared: &Shared, req: &Request) -> (u16, Value) {
    let after: u64 = field(req, "after").parse().unwrap_or(0);
    let wait = Duration::from_millis(field(req, "wait_ms").parse().unwrap_or(0));
    let prefix = field(req, "prefix");
    let end = Instant::now() + wait;
    let mut state = lock(shared);
    loop {
        if after + 1 < state.oldest {
            return (410, Value::Null);
        }
        if state.outage.is_some() {
            return (503, Value::Null);
        }
        let fits = |c: &&Change| c.revision > after && c.key.starts_with(prefix);
        let events: Vec<Value> = state.history.iter().filter(fits).map(show).collect();
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            return (200, json!({ "events": events, "current_rev": state.revision }));
        }
        state = shared.1.wait_timeout(state, left).expect("no holder panics").0;
    }
}
