//! A stand-in for the platform's key-value service: an in-memory subset of etcd v3's JSON gateway
//! with fault injection.

use crate::host::{ServerThread, free_address};
use actix_http::{Request, Response};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use skylarkthread::clock;
use skylarkthread::http::{self, Body, Chunk};
use skylarkthread::net;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Maximum size of a request body.
const MAX_REQUEST_BYTES: usize = 4 << 20;
/// Maximum size of a value after base64 decoding.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Faults injected into the store.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Answers every request with status 503 and ends open watches.
    pub down: bool,
    /// Delay before each request is processed.
    pub delay: Duration,
    /// Number of writes still to be answered with status 503 although they take effect, as if the
    /// answer were lost.
    pub lost_answers: u32,
}

#[derive(Debug, Clone)]
struct Item {
    /// Base64 text, as received.
    value: String,
    /// Revision of the last write.
    revision: u64,
    /// Lease that the item expires with; 0 for none.
    lease: u64,
}

#[derive(Debug)]
struct State {
    /// Identifier of the cluster in the header of each response.
    cluster: u64,
    /// Number of the leader's election in the header of each response.
    term: u64,
    revision: u64,
    /// How often the content was replaced; ends open watches.
    restores: u64,
    items: BTreeMap<String, Item>,
    /// Time to live and expiry by lease.
    leases: HashMap<u64, (Duration, Instant)>,
    faults: Faults,
    /// Number of requests by path.
    calls: BTreeMap<String, u64>,
    watches: u64,
}

/// A running store; stopped on drop.
#[derive(Debug)]
pub struct Store {
    /// Address that the HTTP server listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    _server: ServerThread,
}

/// Copy of a store's content.
#[derive(Debug)]
pub struct Snapshot {
    term: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Duration, Instant)>,
}

type Shared = (Arc<Mutex<State>>, watch::Sender<u64>);

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}

impl Store {
    /// Starts an empty store on a free loopback address.
    pub fn start() -> Store {
        Store::start_at(free_address())
    }

    /// Starts an empty store that listens on `address`.
    pub fn start_at(address: SocketAddr) -> Store {
        let state = Arc::new(Mutex::new(State {
            cluster: 1,
            term: 2,
            revision: 1,
            restores: 0,
            items: BTreeMap::new(),
            leases: HashMap::new(),
            faults: Faults::default(),
            calls: BTreeMap::new(),
            watches: 0,
        }));
        let shared = state.clone();
        let server = ServerThread::spawn(move || async move {
            let (tx, _) = watch::channel(0);
            let shared: Shared = (shared, tx);
            let mut listener = net::listen(address).expect("cannot bind the store's address");
            http::serve(&mut listener, move |req| handle(shared.clone(), req)).await;
        });
        Store { address, state, _server: server }
    }

    /// Changes the injected faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Expires all leases now, with the items that depend on them.
    pub fn expire_leases(&self) {
        let mut s = lock(&self.state);
        s.leases.clear();
        s.items.retain(|_, i| i.lease == 0);
    }

    /// Returns a copy of the content.
    pub fn snapshot(&self) -> Snapshot {
        let s = lock(&self.state);
        let (items, leases) = (s.items.clone(), s.leases.clone());
        Snapshot { term: s.term, revision: s.revision, items, leases }
    }

    /// Replaces the content by an earlier copy and ends open watches, as a restart of the server
    /// on older disks; revisions are given out again, and the cluster keeps its identifier.
    pub fn restore(&self, copy: Snapshot) {
        let mut s = lock(&self.state);
        (s.revision, s.items, s.leases) = (copy.revision, copy.items, copy.leases);
        // The restarted server is elected anew.
        s.term = copy.term + 1;
        s.restores += 1;
    }

    /// Restarts the server, which loses nothing.
    pub fn restart(&self) {
        self.restore(self.snapshot());
    }

    /// Replaces the content as [`Store::restore`] does, in a cluster with a new identifier, as
    /// the restore command of etcd does with a new token.
    pub fn restore_in_new_cluster(&self, copy: Snapshot) {
        self.restore(copy);
        lock(&self.state).cluster += 1;
    }

    /// Returns the number of requests since start by path.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        lock(&self.state).calls.clone()
    }

    /// Returns the number of open watches.
    pub fn open_watches(&self) -> u64 {
        lock(&self.state).watches
    }
}

async fn handle((state, changes): Shared, req: Request) -> Response<Body> {
    let Ok(incoming) = http::read_request(req, MAX_REQUEST_BYTES).await else {
        return unavailable();
    };
    let (is_down, delay) = {
        let mut s = lock(&state);
        *s.calls.entry(incoming.path.to_string()).or_default() += 1;
        (s.faults.down, s.faults.delay)
    };
    if is_down {
        return unavailable();
    }
    tokio::time::sleep(delay).await;
    let Ok(body) = serde_json::from_slice::<Value>(&incoming.body) else { return unavailable() };
    if &*incoming.path == "/v3/watch" {
        return watch_key(state, &changes, &body);
    }
    let (answer, is_lost) = {
        let mut s = lock(&state);
        s.expire(clock::now());
        let before = s.revision;
        let answer = s.answer(&incoming.path, &body);
        let wrote = s.revision > before;
        let is_lost = wrote && s.faults.lost_answers > 0;
        if is_lost {
            s.faults.lost_answers -= 1;
        }
        if wrote {
            changes.send_replace(s.revision);
        }
        (answer, is_lost)
    };
    match answer {
        Some(_) if is_lost => unavailable(),
        Some(v) => http::json_response(200, &v),
        None => http::full_response(
            400,
            "text/plain",
            "unknown path, malformed body, oversized value or unknown lease",
        ),
    }
}

/// Returns status 503 without a body, which leaves open whether the request took effect.
fn unavailable() -> Response<Body> {
    http::full_response(503, "text/plain", "")
}

impl State {
    /// Removes the leases that have expired by `now`, with the items that depend on them.
    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, (_, until)| *until > now);
        let leases = &self.leases;
        self.items.retain(|_, i| i.lease == 0 || leases.contains_key(&i.lease));
    }

    /// Processes a request; returns `None` where the request is refused.
    fn answer(&mut self, path: &str, body: &Value) -> Option<Value> {
        match path {
            "/v3/kv/range" => Some(self.range(body)),
            "/v3/kv/txn" => self.txn(body),
            "/v3/lease/grant" => {
                let ttl = Duration::from_secs(parse_number(&body["TTL"])?);
                let id = rand::random::<u64>() >> 2;
                self.leases.insert(id, (ttl, clock::now() + ttl));
                Some(json!({ "ID": id.to_string(), "TTL": ttl.as_secs().to_string() }))
            }
            "/v3/lease/keepalive" => {
                let id = parse_number(&body["ID"])?;
                let ttl = self.leases.get_mut(&id).map(|(ttl, until)| {
                    *until = clock::now() + *ttl;
                    ttl.as_secs()
                });
                Some(
                    json!({ "result": { "ID": id.to_string(), "TTL": ttl.unwrap_or(0).to_string() } }),
                )
            }
            _ => None,
        }
    }

    fn header(&self) -> Value {
        json!({
            "cluster_id": self.cluster.to_string(),
            "raft_term": self.term.to_string(),
            "revision": self.revision.to_string(),
        })
    }

    fn range(&self, body: &Value) -> Value {
        let key = body["key"].as_str().unwrap_or("");
        let kvs: Vec<Value> = self.items.get(key).map(|i| format_kv(key, i)).into_iter().collect();
        json!({ "header": self.header(), "kvs": kvs })
    }

    fn txn(&mut self, body: &Value) -> Option<Value> {
        let next = self.revision + 1;
        let answer = self.run_txn(body, next)?;
        Some(answer)
    }

    /// Runs a transaction, giving its writes revision `next`.
    fn run_txn(&mut self, body: &Value, next: u64) -> Option<Value> {
        let empty = Vec::new();
        let compares = body["compare"].as_array().unwrap_or(&empty);
        let is_met = compares.iter().all(|c| self.is_met(c));
        let branch = if is_met { "success" } else { "failure" };
        let mut responses = Vec::new();
        for op in body[branch].as_array().unwrap_or(&empty) {
            responses.push(self.apply(op, next)?);
        }
        Some(json!({ "header": self.header(), "succeeded": is_met, "responses": responses }))
    }

    /// Returns whether one comparison of a transaction holds; only those of a key's existence
    /// and value are supported, others never hold.
    fn is_met(&self, c: &Value) -> bool {
        let item = c["key"].as_str().and_then(|k| self.items.get(k));
        match c["target"].as_str() {
            Some("VERSION") => item.is_none() == (parse_number(&c["version"]) == Some(0)),
            Some("VALUE") => item.is_some_and(|i| c["value"] == i.value.as_str()),
            _ => false,
        }
    }

    /// Runs one operation of a transaction.
    fn apply(&mut self, op: &Value, next: u64) -> Option<Value> {
        if let Some(put) = op.get("request_put") {
            let value = put["value"].as_str()?.to_string();
            let is_small = STANDARD.decode(&value).ok()?.len() <= MAX_VALUE_BYTES;
            let lease = parse_number(&put["lease"]).unwrap_or(0);
            let has_lease = lease == 0 || self.leases.contains_key(&lease);
            if !is_small || !has_lease {
                return None;
            }
            self.revision = next;
            let item = Item { value, revision: next, lease };
            self.items.insert(put["key"].as_str()?.to_string(), item);
            return Some(json!({ "response_put": {} }));
        }
        if let Some(range) = op.get("request_range") {
            return Some(json!({ "response_range": self.range(range) }));
        }
        let inner = op.get("request_txn")?;
        Some(json!({ "response_txn": self.run_txn(inner, next)? }))
    }
}

fn format_kv(key: &str, i: &Item) -> Value {
    json!({ "key": key, "value": i.value, "mod_revision": i.revision.to_string() })
}

/// Parses a number that may be written as a string, as etcd's JSON gateway writes 64-bit numbers.
fn parse_number(v: &Value) -> Option<u64> {
    v.as_u64().or_else(|| v.as_str()?.parse().ok())
}

/// Streams the value of one key after each write from revision `start_revision` on. Writes in quick
/// succession may show as one event, with the last value.
fn watch_key(
    state: Arc<Mutex<State>>,
    changes: &watch::Sender<u64>,
    body: &Value,
) -> Response<Body> {
    let request = &body["create_request"];
    let key = request["key"].as_str().unwrap_or("").to_string();
    let start = parse_number(&request["start_revision"]).unwrap_or(0);
    let mut rx = changes.subscribe();
    let (tx, stream) = mpsc::channel(4);
    let restores = {
        let mut s = lock(&state);
        s.watches += 1;
        s.restores
    };
    actix_rt::spawn(async move {
        let created = json!({ "result": { "created": true } });
        let mut next = start;
        let mut line = Some(created);
        loop {
            if let Some(v) = line.take()
                && tx.send(Chunk::More(format!("{v}\n").into())).await.is_err()
            {
                break;
            }
            {
                let s = lock(&state);
                if s.faults.down || s.restores != restores {
                    break;
                }
                if let Some(i) = s.items.get(&key).filter(|i| i.revision >= next) {
                    next = i.revision + 1;
                    let event = json!({ "type": "PUT", "kv": format_kv(&key, i) });
                    line = Some(json!({ "result": { "events": [event] } }));
                }
            }
            if line.is_some() {
                continue;
            }
            tokio::select! {
                _ = rx.changed() => {}
                () = tx.closed() => break,
                () = tokio::time::sleep(Duration::from_millis(100)) => {}
            }
        }
        lock(&state).watches -= 1;
    });
    http::event_stream(stream)
}
