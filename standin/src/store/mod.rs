//! A stand-in for the platform's key-value service: a part of etcd v3's JSON gateway, in memory,
//! with faults that tests switch on.

use crate::host::{ServerThread, free_address};
use actix_http::{Request, Response};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde_json::{Value, json};
use skylarkthread::clock;
use skylarkthread::http::{self, Body};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Largest request in bytes.
const REQUEST_LIMIT: usize = 4 << 20;
/// Largest value in bytes.
const VALUE_LIMIT: usize = 1 << 20;

/// Faults of the store.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Answers nothing: connections are accepted and closed.
    pub down: bool,
    /// Time added to each answer.
    pub delay: Duration,
    /// Writes that take effect while their answer is lost.
    pub lost_answers: u32,
}

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Debug)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Duration, Instant)>,
    faults: Faults,
    calls: BTreeMap<String, u64>,
    waiting: u64,
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    /// Address it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    _host: ServerThread,
}

type Shared = (Arc<Mutex<State>>, watch::Sender<u64>);

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}

impl Store {
    /// Starts a store at a free address.
    pub fn start() -> Store {
        Store::start_at(free_address())
    }

    /// Starts a store.
    pub fn start_at(address: SocketAddr) -> Store {
        let state = Arc::new(Mutex::new(State {
            revision: 1,
            items: BTreeMap::new(),
            leases: HashMap::new(),
            faults: Faults::default(),
            calls: BTreeMap::new(),
            waiting: 0,
        }));
        let shared = state.clone();
        let host = ServerThread::spawn(move || async move {
            let (tx, _) = watch::channel(0);
            let shared: Shared = (shared, tx);
            let listener = http::bind(address).await.expect("the store's address is free");
            http::serve(listener, move |req| handle(shared.clone(), req)).await;
        });
        Store { address, state, _host: host }
    }

    /// Changes the faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Lets every lease lapse now.
    pub fn expire_leases(&self) {
        let mut s = lock(&self.state);
        s.leases.clear();
        s.items.retain(|_, i| i.lease == 0);
    }

    /// Counts calls by path.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        lock(&self.state).calls.clone()
    }

    /// Counts watches that wait.
    pub fn open_watches(&self) -> u64 {
        lock(&self.state).waiting
    }
}

async fn handle((state, news): Shared, req: Request) -> Response<Body> {
    let Ok(incoming) = http::read(req, REQUEST_LIMIT).await else { return fail() };
    let (is_down, slow) = {
        let mut s = lock(&state);
        *s.calls.entry(incoming.path.to_string()).or_default() += 1;
        (s.faults.down, s.faults.delay)
    };
    if is_down {
        return fail();
    }
    tokio::time::sleep(slow).await;
    let Ok(body) = serde_json::from_slice::<Value>(&incoming.body) else { return fail() };
    if &*incoming.path == "/v3/watch" {
        return watch_key(state, &news, &body);
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
            news.send_replace(s.revision);
        }
        (answer, is_lost)
    };
    match answer {
        Some(_) if is_lost => fail(),
        Some(v) => http::json(200, &v),
        None => http::full(400, "text/plain", "not understood"),
    }
}

/// Breaks the connection off without an answer that makes sense.
fn fail() -> Response<Body> {
    http::full(503, "text/plain", "")
}

impl State {
    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, (_, until)| *until > now);
        let leases = &self.leases;
        self.items.retain(|_, i| i.lease == 0 || leases.contains_key(&i.lease));
    }

    fn answer(&mut self, path: &str, body: &Value) -> Option<Value> {
        match path {
            "/v3/kv/range" => Some(self.range(body)),
            "/v3/kv/txn" => self.txn(body),
            "/v3/lease/grant" => {
                let ttl = Duration::from_secs(number(&body["TTL"])?);
                let id = rand::random::<u64>() >> 2;
                self.leases.insert(id, (ttl, clock::now() + ttl));
                Some(json!({ "ID": id.to_string(), "TTL": ttl.as_secs().to_string() }))
            }
            "/v3/lease/keepalive" => {
                let id = number(&body["ID"])?;
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
        json!({ "revision": self.revision.to_string() })
    }

    fn range(&self, body: &Value) -> Value {
        let key = body["key"].as_str().unwrap_or("");
        let kvs: Vec<Value> = self.items.get(key).map(|i| kv(key, i)).into_iter().collect();
        json!({ "header": self.header(), "kvs": kvs })
    }

    fn txn(&mut self, body: &Value) -> Option<Value> {
        let next = self.revision + 1;
        let answer = self.run(body, next)?;
        Some(answer)
    }

    /// Runs a transaction whose writes get revision `next`.
    fn run(&mut self, body: &Value, next: u64) -> Option<Value> {
        let empty = Vec::new();
        let compares = body["compare"].as_array().unwrap_or(&empty);
        let held = compares.iter().all(|c| self.holds(c));
        let branch = if held { "success" } else { "failure" };
        let mut responses = Vec::new();
        for op in body[branch].as_array().unwrap_or(&empty) {
            responses.push(self.apply(op, next)?);
        }
        Some(json!({ "header": self.header(), "succeeded": held, "responses": responses }))
    }

    fn holds(&self, c: &Value) -> bool {
        let item = c["key"].as_str().and_then(|k| self.items.get(k));
        match c["target"].as_str() {
            Some("VERSION") => item.is_none() == (number(&c["version"]) == Some(0)),
            Some("MOD") => item.map(|i| i.revision) == number(&c["mod_revision"]),
            _ => false,
        }
    }

    fn apply(&mut self, op: &Value, next: u64) -> Option<Value> {
        if let Some(put) = op.get("request_put") {
            let value = put["value"].as_str()?.to_string();
            let is_small = STANDARD.decode(&value).ok()?.len() <= VALUE_LIMIT;
            let lease = number(&put["lease"]).unwrap_or(0);
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
        Some(json!({ "response_txn": self.run(inner, next)? }))
    }
}

fn kv(key: &str, i: &Item) -> Value {
    json!({ "key": key, "value": i.value, "mod_revision": i.revision.to_string() })
}

fn number(v: &Value) -> Option<u64> {
    v.as_u64().or_else(|| v.as_str()?.parse().ok())
}

fn watch_key(state: Arc<Mutex<State>>, news: &watch::Sender<u64>, body: &Value) -> Response<Body> {
    let request = &body["create_request"];
    let key = request["key"].as_str().unwrap_or("").to_string();
    let start = number(&request["start_revision"]).unwrap_or(0);
    let mut rx = news.subscribe();
    let (tx, stream) = mpsc::channel::<Bytes>(4);
    lock(&state).waiting += 1;
    actix_rt::spawn(async move {
        let created = json!({ "result": { "created": true } });
        let mut next = start;
        let mut line = Some(created);
        loop {
            if let Some(v) = line.take()
                && tx.send(Bytes::from(format!("{v}\n"))).await.is_err()
            {
                break;
            }
            {
                let s = lock(&state);
                if s.faults.down {
                    break;
                }
                if let Some(i) = s.items.get(&key).filter(|i| i.revision >= next) {
                    next = i.revision + 1;
                    let event = json!({ "type": "PUT", "kv": kv(&key, i) });
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
        lock(&state).waiting -= 1;
    });
    http::events(stream)
}
