//! The platform's metadata store: items, a watch, leases and transactions.

use super::http::{self, Message};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: the item as it was written, or `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl State {
    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        if value.is_none() && !self.items.contains_key(key) {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let item = value.map(|(value, lease)| {
            let created = self.items.get(key).map_or(revision, |i| i.created);
            Item { value, revision, created, lease }
        });
        match &item {
            Some(i) => drop(self.items.insert(key.to_owned(), i.clone())),
            None => drop(self.items.remove(key)),
        }
        self.history.push((revision, key.to_owned(), item));
    }

    fn expire(&mut self, now: Instant) {
        let gone: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for id in gone {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let known = self.leases.remove(&id).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| known && i.lease == id)
            .map(|(k, _)| k.clone())
            .collect();
        keys.iter().for_each(|k| self.write(k, None));
        known
    }
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> std::io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store { address: listener.local_addr()?, shared: Arc::default() };
        store.shared.0.lock().expect("no holder panics").revision = 10;
        let (a, b) = (store.clone(), store.clone());
        std::thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let s = a.clone();
                std::thread::spawn(move || s.serve(io));
            }
        });
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                b.shared.0.lock().expect("no holder panics").expire(Instant::now());
                b.shared.1.notify_all();
            }
        });
        Ok(store)
    }

    /// Writes a key for the operator or a replica; `None` removes it.
    pub fn set(&self, key: &str, value: Option<&str>) {
        let value = value.map(|v| (http::base64(v.as_bytes()), 0));
        self.shared.0.lock().expect("no holder panics").write(key, value);
        self.shared.1.notify_all();
    }

    fn serve(&self, io: TcpStream) {
        let Ok(mut out) = io.try_clone() else { return };
        let _ = out.set_nodelay(true);
        let mut reader = BufReader::new(io);
        while let Ok(req) = http::read(&mut reader) {
            let (status, body) = self.answer(&req);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (u16, String) {
        let (method, target) = req.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let arg = |n: &str| query.get(n).copied().unwrap_or("");
        let number = |n: &str| arg(n).parse::<u64>().unwrap_or(0);
        let body = String::from_utf8_lossy(&req.body).into_owned();
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().expect("no holder panics");
        match (method, path) {
            ("GET", "/kv-key") => match state.items.get(arg("key")) {
                Some(i) => {
                    let item = item_text(arg("key"), i);
                    let item = item.trim_end_matches('}');
                    (200, format!("{item},\"current_rev\":{}}}", state.revision))
                }
                None => (404, "{}".into()),
            },
            ("GET", "/kv-range") => {
                let items = state.items.iter().filter(|(k, _)| {
                    k.starts_with(arg("prefix"))
                        && (arg("after").is_empty() || k.as_str() > arg("after"))
                });
                let items: Vec<String> = items.map(|(k, i)| item_text(k, i)).collect();
                let (items, rev) = (items.join(","), state.revision);
                (200, format!("{{\"items\":[{items}],\"truncated\":false,\"current_rev\":{rev}}}"))
            }
            ("GET", "/kv-watch") => {
                let end = Instant::now() + Duration::from_millis(number("wait_ms"));
                loop {
                    let after = number("after");
                    let news = state
                        .history
                        .iter()
                        .filter(|(r, k, _)| *r > after && k.starts_with(arg("prefix")));
                    let events: Vec<String> = news
                        .map(|(r, k, i)| match i {
                            Some(i) => item_text(k, i),
                            None => {
                                format!("{{\"key\":\"{k}\",\"revision\":{r},\"tombstone\":true}}")
                            }
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= end {
                        let (events, rev) = (events.join(","), state.revision);
                        break (200, format!("{{\"events\":[{events}],\"current_rev\":{rev}}}"));
                    }
                    state = changed.wait_timeout(state, end - now).expect("no holder panics").0;
                }
            }
            ("POST", "/kv-lease") => {
                let ttl = field(&body, "ttl_ms").parse().unwrap_or(1000).max(1000);
                state.next_lease += 1;
                let id = 1000 + state.next_lease;
                let ttl_time = Duration::from_millis(ttl);
                state.leases.insert(id, (Instant::now() + ttl_time, ttl_time));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", p) if p.starts_with("/kv-keep/") => {
                let id: u64 = p[9..].parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", p) if p.starts_with("/kv-lease-end/") => {
                let known = state.end_lease(p[14..].parse().unwrap_or(0));
                changed.notify_all();
                (if known { 200 } else { 404 }, "{}".into())
            }
            ("POST", "/kv-txn") => {
                // The programs under review write one key at a time, without a condition.
                let key = field(&body, "key");
                let lease: u64 = field(&body, "lease").parse().unwrap_or(0);
                if key.starts_with("op/") || key.starts_with("servers/") {
                    return (403, "{}".into());
                }
                if lease != 0 && !state.leases.contains_key(&lease) {
                    return (404, "{}".into());
                }
                state.write(&key, Some((field(&body, "value"), lease)));
                changed.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            _ => (400, "{}".into()),
        }
    }
}

fn item_text(key: &str, i: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        i.value, i.revision, i.created, i.lease
    )
}

/// Value of the first field with a name in a JSON text without escapes.
fn field(text: &str, name: &str) -> String {
    let Some(at) = text.find(&format!("\"{name}\":")) else { return String::new() };
    let rest = text[at + name.len() + 3..].trim_start();
    match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next().unwrap_or("").to_owned(),
        None => rest.chars().take_while(|c| c.is_ascii_digit()).collect(),
    }
}
