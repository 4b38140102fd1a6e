//! Stand-ins of the platform that follow its pages: the metadata store, replicas of a plain service,
//! a proxy, and the gateway as the deploy file starts it. They use the standard library alone.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Record of what was sent, answered and run, in `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be created");
        Record { file: Arc::new(Mutex::new(file)), begun: Instant::now() }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let ms = self.begun.elapsed().as_millis();
        let mut file = self.file.lock().expect("no holder panics");
        let _ = writeln!(file, "{:>7.3} {}", ms as f64 / 1e3, text.as_ref());
    }
}

/// Returns addresses of this IP that nothing listens on, no two alike.
fn free_addresses<const N: usize>(ip: &str) -> [SocketAddr; N] {
    // All are held until the last has been found.
    let held = [(); N].map(|()| TcpListener::bind((ip, 0)).expect("a free port"));
    held.each_ref().map(|l| l.local_addr().expect("bound"))
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = part.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for k in 0..4 {
            match k <= part.len() {
                true => out.push(ALPHABET[(n >> (18 - 6 * k) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

/// HTTP message as received.
#[derive(Clone, Default, Debug)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns the second word of the first line: a target or a status.
    pub fn word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word().parse().unwrap_or(0)
    }
}

/// Reads a message with a content length or without a body.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        match line.split_once(':') {
            _ if message.start.is_empty() => message.start = line.to_owned(),
            Some((n, v)) => {
                message.headers.push((n.to_ascii_lowercase(), v.trim().to_owned()));
            }
            None => return None,
        }
    }
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Accepts connections and serves each in a thread.
fn serve_all(listener: TcpListener, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = io.set_nodelay(true);
            std::thread::Builder::new()
                .stack_size(128 << 10)
                .spawn(move || serve(io))
                .expect("a thread for the connection");
        }
    });
}

#[derive(Clone)]
struct Change {
    key: String,
    value: Option<String>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Change>,
    history: Vec<Change>,
    oldest: u64,
    leases: HashMap<u64, (Instant, Duration)>,
}

impl Content {
    fn write(&mut self, key: &str, value: Option<String>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |c| c.created);
        let change = Change { key: key.into(), value, revision: self.revision, created, lease };
        match change.value {
            Some(_) => drop(self.items.insert(key.into(), change.clone())),
            None => drop(self.items.remove(key)),
        }
        self.history.push(change);
    }

    /// Removes the keys of leases that have ended.
    fn expire(&mut self) {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (at, ttl))| at.elapsed() >= *ttl)
            .map(|(l, _)| *l)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.values().filter(|c| c.lease == lease).map(|c| c.key.clone()).collect();
        keys.iter().for_each(|key| self.write(key, None, 0));
    }
}

/// Metadata store of the platform.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Content>, Condvar)>,
    /// Number of full reads that the store has executed.
    pub ranges: Arc<AtomicU64>,
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("the store can listen");
        let address = listener.local_addr().expect("bound");
        let content = Content { revision: 100, oldest: 0, ..Content::default() };
        let store = Store {
            address,
            shared: Arc::new((Mutex::new(content), Condvar::new())),
            ranges: Arc::default(),
        };
        let served = store.clone();
        serve_all(listener, move |io| served.serve(io));
        let timed = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                timed.shared.0.lock().expect("no holder panics").expire();
                timed.shared.1.notify_all();
            }
        });
        store
    }

    /// Serves the same content at one more address, until it is closed.
    pub fn open(&self, ip: &str) -> Door {
        let listener = TcpListener::bind((ip, 0)).expect("the store can listen");
        let address = listener.local_addr().expect("bound");
        let door = Door { address, is_closed: Arc::default(), open: Arc::default() };
        let (store, served) = (self.clone(), door.clone());
        std::thread::spawn(move || {
            for io in listener.incoming().flatten() {
                if served.is_closed.load(Ordering::SeqCst) {
                    return;
                }
                served.open.lock().expect("no holder panics").extend(io.try_clone());
                let store = store.clone();
                std::thread::spawn(move || store.serve(io));
            }
        });
        door
    }

    /// Writes a key as the operator or a replica does; `None` removes it.
    pub fn set(&self, key: &str, value: Option<&str>) {
        let value = value.map(|v| base64(v.as_bytes()));
        self.shared.0.lock().expect("no holder panics").write(key, value, 0);
        self.shared.1.notify_all();
    }

    /// Forgets the history: watches from an earlier revision get 410.
    pub fn compact(&self) {
        let mut content = self.shared.0.lock().expect("no holder panics");
        content.revision += 1;
        content.oldest = content.revision;
        content.history.clear();
        drop(content);
        self.shared.1.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let content = self.shared.0.lock().expect("no holder panics");
        content.items.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    fn serve(&self, io: TcpStream) {
        let Ok(mut writer) = io.try_clone() else { return };
        let mut reader = BufReader::new(io);
        while let Some(req) = read_message(&mut reader) {
            let (status, body) = self.handle(&req);
            let text = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: 0\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, req: &Message) -> (u16, String) {
        let (path, query) = req.word().split_once('?').unwrap_or((req.word(), ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
        };
        let method = req.start.split(' ').next().unwrap_or("");
        let body = String::from_utf8_lossy(&req.body).into_owned();
        match (method, path) {
            ("GET", "/kv-key") => {
                let content = self.shared.0.lock().expect("no holder panics");
                match content.items.get(param("key")) {
                    Some(c) => (200, to_json(c)),
                    None => (404, "{}".into()),
                }
            }
            ("GET", "/kv-range") => {
                self.ranges.fetch_add(1, Ordering::SeqCst);
                let content = self.shared.0.lock().expect("no holder panics");
                let (prefix, after) = (param("prefix"), param("after"));
                let found = content.items.values().filter(|c| {
                    c.key.starts_with(prefix) && (after.is_empty() || c.key.as_str() > after)
                });
                let items: Vec<String> = found.take(501).map(to_json).collect();
                let truncated = items.len() > 500;
                let items = items[..items.len().min(500)].join(",");
                let revision = content.revision;
                let text = format!(
                    r#"{{"items":[{items}],"truncated":{truncated},"current_rev":{revision}}}"#
                );
                (200, text)
            }
            ("GET", "/kv-watch") => {
                let after = param("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(param("wait_ms").parse().unwrap_or(0));
                self.watch(param("prefix"), after, wait)
            }
            ("POST", "/kv-lease") => {
                let ttl = number(&body, "ttl_ms").unwrap_or(0).clamp(1000, 600_000);
                let mut content = self.shared.0.lock().expect("no holder panics");
                content.revision += 1;
                let lease = 70_000 + content.revision;
                content.leases.insert(lease, (Instant::now(), Duration::from_millis(ttl)));
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
            }
            ("POST", "/kv-txn") => self.transact(&body),
            ("POST", p) if p.starts_with("/kv-keep/") => {
                let lease = p.trim_start_matches("/kv-keep/").parse().unwrap_or(0);
                let mut content = self.shared.0.lock().expect("no holder panics");
                match content.leases.get_mut(&lease) {
                    Some((at, ttl)) => {
                        *at = Instant::now();
                        (200, format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", p) if p.starts_with("/kv-lease-end/") => {
                let lease = p.trim_start_matches("/kv-lease-end/").parse().unwrap_or(0);
                self.shared.0.lock().expect("no holder panics").end_lease(lease);
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }

    /// Applies the assignments of a transaction; the program sends no conditions.
    fn transact(&self, body: &str) -> (u16, String) {
        let mut content = self.shared.0.lock().expect("no holder panics");
        let sets: Vec<&str> = body.split("{\"key\":").skip(1).collect();
        let lease_of = |set: &str| number(set, "lease").unwrap_or(0);
        if sets.iter().any(|s| lease_of(s) != 0 && !content.leases.contains_key(&lease_of(s))) {
            return (404, "{}".into());
        }
        for set in sets {
            let key = set.split('"').nth(1).unwrap_or("").to_owned();
            let value = text(set, "value").unwrap_or_default();
            content.write(&key, Some(value), lease_of(set));
        }
        let revision = content.revision;
        drop(content);
        self.shared.1.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut content = self.shared.0.lock().expect("no holder panics");
        loop {
            if after < content.oldest || after > content.revision {
                return (410, "{}".into());
            }
            let found = content.history.iter();
            let found = found.filter(|c| c.revision > after && c.key.starts_with(prefix));
            let events: Vec<String> = found.map(to_json).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), content.revision);
                return (200, format!(r#"{{"events":[{events}],"current_rev":{revision}}}"#));
            }
            content = self.shared.1.wait_timeout(content, left).expect("no holder panics").0;
        }
    }
}

/// Address at which the store is served.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Door {
    /// Ends the service at this address: connections are closed, and new ones are refused.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        // Ends the wait for a connection.
        let _ = TcpStream::connect(self.address);
        for io in self.open.lock().expect("no holder panics").drain(..) {
            let _ = io.shutdown(Shutdown::Both);
        }
    }
}

fn to_json(c: &Change) -> String {
    let Change { key, revision, created, lease, .. } = c;
    match &c.value {
        Some(v) => format!(
            r#"{{"key":"{key}","value":"{v}","revision":{revision},"created":{created},"lease":{lease}}}"#
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
    }
}

/// Returns a number of a flat JSON object.
fn number(json: &str, name: &str) -> Option<u64> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// Returns a text of a flat JSON object.
fn text(json: &str, name: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{name}\":\""))?.1;
    Some(rest.split('"').next()?.to_owned())
}

/// A request as a replica has received it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
}

/// Replica of a plain service: answers each request after a time, with the id, the seal and a body of
/// a stated size. It drops no request.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    served: Arc<Mutex<Vec<String>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    is_gone: Arc<AtomicBool>,
}

impl Replica {
    pub fn start(ip: &str, id: &str, work: Duration, bytes: usize) -> Replica {
        let listener = TcpListener::bind((ip, 0)).expect("the replica can listen");
        let address = listener.local_addr().expect("bound");
        let replica = Replica {
            id: id.into(),
            address,
            arrivals: Arc::default(),
            served: Arc::default(),
            open: Arc::default(),
            is_gone: Arc::default(),
        };
        let served = replica.clone();
        serve_all(listener, move |io| served.serve(io, work, bytes));
        replica
    }

    pub fn entry(&self, service: &str, state: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"uks-a","version":"v1","slots":24,"state":"{state}","cold_remaining_ms":0,"sequence":4,"born":1796000000000}}"#,
            self.address
        )
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("no holder panics").clone()
    }

    /// Returns the ids of the requests that ran to their end and whose answer was written whole.
    pub fn served(&self) -> Vec<String> {
        self.served.lock().expect("no holder panics").clone()
    }

    /// Ends the replica: its connections close, and new ones are closed at once.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        for io in self.open.lock().expect("no holder panics").drain(..) {
            let _ = io.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, io: TcpStream, work: Duration, bytes: usize) {
        if self.is_gone.load(Ordering::SeqCst) {
            return;
        }
        let Ok(mut writer) = io.try_clone() else { return };
        self.open.lock().expect("no holder panics").extend(io.try_clone());
        let mut reader = BufReader::new(io);
        while let Some(req) = read_message(&mut reader) {
            if req.word() == "/healthz" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Replica-Id: {}\r\nX-Replica-Load: 1,0,24\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let id = req.header("x-attempt-id").unwrap_or("").to_owned();
            if req.header("x-expect-replica").is_some_and(|v| v != self.id) {
                let text = format!(
                    "HTTP/1.1 421 X\r\nX-Replica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                let _ = writer.write_all(text.as_bytes());
                continue;
            }
            let arrival = Arrival { id: id.clone(), at: Instant::now() };
            self.arrivals.lock().expect("no holder panics").push(arrival);
            std::thread::sleep(work);
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Seal: s.{id}\r\nX-Replica-Load: 1,0,24\r\nContent-Length: {bytes}\r\n\r\n"
            );
            let body = vec![b'x'; bytes];
            let sent = writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(&body));
            if sent.is_err() {
                break;
            }
            self.served.lock().expect("no holder panics").push(id);
        }
        let peer = writer.peer_addr().ok();
        let mut open = self.open.lock().expect("no holder panics");
        open.retain(|io| io.peer_addr().ok().is_some_and(|p| Some(p) != peer));
    }
}

/// Proxy that holds back what comes from its target for a time, as a link does that loses a packet.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    hold: Arc<Mutex<Hold>>,
}

struct Hold {
    /// Time for which the answer to the next full read is held back.
    next: Option<Duration>,
    until: Instant,
    held: u32,
}

impl Proxy {
    pub fn start(ip: &str, to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind((ip, 0)).expect("the proxy can listen");
        let address = listener.local_addr().expect("bound");
        let hold = Hold { next: None, until: Instant::now(), held: 0 };
        let proxy = Proxy { address, hold: Arc::new(Mutex::new(hold)) };
        let hold = proxy.hold.clone();
        serve_all(listener, move |near| {
            let Ok(far) = TcpStream::connect(to) else { return };
            let _ = far.set_nodelay(true);
            let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { return };
            let asked = hold.clone();
            std::thread::spawn(move || forward(near2, far2, |bytes| note_read(&asked, bytes)));
            forward(far, near, |_| wait_out(&hold));
        });
        proxy
    }

    /// Holds back for this time the answer to the next full read.
    pub fn hold_next_read(&self, time: Duration) {
        self.hold.lock().expect("no holder panics").next = Some(time);
    }

    /// Returns the number of answers that were held back.
    pub fn held(&self) -> u32 {
        self.hold.lock().expect("no holder panics").held
    }
}

fn note_read(hold: &Mutex<Hold>, bytes: &[u8]) {
    if !bytes.starts_with(b"GET /kv-range") {
        return;
    }
    let mut hold = hold.lock().expect("no holder panics");
    if let Some(time) = hold.next.take() {
        hold.until = Instant::now() + time;
        hold.held += 1;
    }
}

fn wait_out(hold: &Mutex<Hold>) {
    loop {
        let until = hold.lock().expect("no holder panics").until;
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        std::thread::sleep(left);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, mut on_bytes: impl FnMut(&[u8])) {
    let mut buf = [0; 16 << 10];
    while let Ok(n) = from.read(&mut buf) {
        on_bytes(&buf[..n]);
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// Gateway process, started as the deploy file does; killed on drop.
pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    dir: PathBuf,
    name: String,
    metrics: u16,
    child: Child,
}

impl Gateway {
    /// Starts a gateway on an IP of its own with the settings of `vigilwell-live`.
    pub fn start(dir: &Path, name: &str, ip: &str, store: SocketAddr) -> Gateway {
        let [front, ready, internal, metrics] = free_addresses(ip);
        let metrics = metrics.port();
        let port = internal.port();
        let settings = format!(
            "node={name}\nrole=entry\nclass=front\nserves=front\nip={ip}\nzone=uks-a\nregion=uk-south\n\
            zones.uks-a=uk-south\nlisten.front={front}\nlisten.ready={ready}\n\
            internal_port_range={port},{port}\n{FIRST_START}loss_counts=false\n\
            limits.cpu_share=0.19\nlimits.cores=1\nlimits.memory_mb=110\nlimits.max_fds=4100\n\
            limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n\
            contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n\
            tolerate.machines=2\ntolerate.zones=0\ntolerate.regions=0\nbounds.seed_lag_s=3\n\
            bounds.addr_reuse_s=2\nbounds.stable_window_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\n\
            bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
            bounds.downgrade_ms=250\nbounds.max_stretch_ms=5000\nbounds.strict_revoke=false\n\
            bounds.revoke_ms=5000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
            bounds.budget_slack=56\nbounds.recover_s=12\nbounds.pass_ms=120\nbounds.reuse_window_s=4.4\n\
            platform.address={store}\nplatform.form=kv\nplatform.writes_per_s=400\n\
            platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n\
            platform.min_ttl_ms=1000\n"
        );
        std::fs::write(dir.join(format!("{name}.conf")), settings)
            .expect("the settings are written");
        let child = spawn(dir, name, metrics);
        Gateway { front, ready, dir: dir.into(), name: name.into(), metrics, child }
    }

    /// Changes the address of the store in the settings, and signals that they have changed.
    pub fn move_store(&self, from: SocketAddr, to: SocketAddr) {
        let file = self.dir.join(format!("{}.conf", self.name));
        let settings = std::fs::read_to_string(&file).expect("the settings can be read");
        let named = |a: SocketAddr| format!("platform.address={a}\n");
        assert!(settings.contains(&named(from)), "the settings name the store");
        let next = file.with_extension("next");
        std::fs::write(&next, settings.replace(&named(from), &named(to))).expect("it is written");
        std::fs::rename(&next, &file).expect("the settings are replaced");
        self.signal("HUP");
    }

    /// Kills the process, and starts it again after a short delay, as the platform does.
    pub fn kill_and_restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let file = self.dir.join(format!("{}.conf", self.name));
        let settings = std::fs::read_to_string(&file).expect("the settings can be read");
        std::fs::write(&file, settings.replace(FIRST_START, "")).expect("the settings are written");
        std::thread::sleep(Duration::from_millis(500));
        self.child = spawn(&self.dir, &self.name, self.metrics);
    }

    /// Waits until the gateway says that it is ready. The last line of its log is recorded if it does
    /// not.
    pub fn wait_ready(&self, record: &Record) -> bool {
        let is_ready = wait_until(Duration::from_secs(10), || self.is_ready());
        if !is_ready {
            let log = std::fs::read_to_string(self.dir.join(format!("{}.log", self.name)));
            let log = log.unwrap_or_default();
            record.note(format!(
                "{} is not ready: {}",
                self.name,
                log.lines().last().unwrap_or("-")
            ));
        }
        is_ready
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let Ok(mut io) = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let _ = io.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = io.write_all(request).is_ok();
        sent && read_message(&mut BufReader::new(io)).is_some_and(|m| m.status() == 200)
    }

    /// Sends a signal, by the id of the process.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|s| s.to_string())
    }

    /// Returns the resident memory in bytes.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib =
            line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }

    /// Returns the bytes that the kernel holds for callers, received and not read.
    pub fn unread(&self) -> u64 {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let queued = |line: &str| {
            let mut fields = line.split_whitespace().skip(1);
            let (_, port) = fields.next()?.split_once(':')?;
            let (_, received) = fields.nth(2)?.split_once(':')?;
            let hex = |s| u64::from_str_radix(s, 16).ok();
            // A listener has the number of its connections there, and state 0A.
            let is_own = Some(u64::from(self.front.port())) == hex(port);
            is_own.then_some(hex(received)?)
        };
        table.lines().skip(1).filter(|l| !l.contains(" 0A ")).filter_map(queued).sum()
    }
}

/// Line of the settings that is there only at the first start.
const FIRST_START: &str = "bootstrap=true\n";

fn spawn(dir: &Path, name: &str, metrics: u16) -> Child {
    let log = File::options().create(true).append(true).open(dir.join(format!("{name}.log")));
    let log = log.expect("the log can be opened");
    Command::new("target/release/skylarkthread")
        .args(["gateway", "--metrics", &metrics.to_string()])
        .env("SKYLARKTHREAD_BOOT", dir.join(format!("{name}.conf")))
        .stdin(Stdio::null())
        .stderr(Stdio::from(log.try_clone().expect("the log is open")))
        .stdout(Stdio::from(log))
        .spawn()
        .expect("the build of the deploy file stands in target/release")
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn wait_until(time: Duration, mut is_true: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + time;
    while !is_true() {
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    true
}

/// Configuration of a small deployment: a booking service with an `unsafe` and a `safe` route.
pub const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-1","host":"desk.example","prefix":"/book/","kind":"unsafe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1,"public":false,"sticky":false,"resumable":false},
{"name":"r-2","host":"desk.example","prefix":"/look/","kind":"safe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"desk","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"acme","api_keys":["key-1"]}]}"#;

/// Builds a request of the tenant `acme` with a body of this size.
pub fn request(method: &str, path: &str, id: &str, body: usize) -> Vec<u8> {
    let length = if body > 0 { format!("Content-Length: {body}\r\n") } else { String::new() };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n{length}\r\n"
    );
    [head.into_bytes(), vec![b'b'; body]].concat()
}

/// Connection of an ordinary client.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(to: SocketAddr) -> std::io::Result<Client> {
        let io = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        io.set_nodelay(true)?;
        io.set_read_timeout(Some(Duration::from_millis(2500)))?;
        Ok(Client { reader: BufReader::new(io) })
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads the next answer; `None` if the connection ends before a whole one.
    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }
}
