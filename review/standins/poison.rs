//! Cases 2 and 3: a request that crashes each replica that begins to run it comes again and again. In
//! case 2 the machines are stopped and started in turn; in case 3 other requests have the same path,
//! caller and body, and another query.

use super::gateway::{Machine, choose, probe};
use super::http;
use super::record::{Random, Record};
use super::store::Store;
use std::collections::HashMap;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time for which a replica is away after a crash.
const DOWN: Duration = Duration::from_secs(3);
const STABLE_WINDOW: f64 = 3.0;
const GRACE: Duration = Duration::from_secs(8);
/// Time between the return of one machine and the stop of the next.
const GAP: Duration = Duration::from_secs(12);
/// Time between two of the requests that crash replicas.
const POISON_PAUSE: Duration = Duration::from_secs(1);
const WARM_UP: Duration = Duration::from_secs(5);
/// Time of these requests before the machines are stopped in turn, and after.
const BEFORE: Duration = Duration::from_secs(12);
const AFTER: Duration = Duration::from_secs(4);
const CLIENTS: usize = 43;
/// Requests that may reach replicas later than `stable_window_ms` after the third crash.
const ALLOWED: usize = 3;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const ZONES: [&str; 3] = ["caerdydd", "abertawe", "casnewydd"];
const FRONTS: [(&str, &str); 4] = [
    ("front-caerdydd-1", "caerdydd"),
    ("front-caerdydd-2", "caerdydd"),
    ("front-abertawe-1", "abertawe"),
    ("front-casnewydd-1", "casnewydd"),
];
const KEY: &str = "xd9dnn2ctnfzs989anu6";
const OTHER_KEY: &str = "wsjnbanfqasnmgkcuyj8";

/// What differs between the cases.
#[derive(Clone, Copy)]
pub struct Plan {
    /// Method, target, body and key of the request that crashes replicas.
    method: &'static str,
    target: &'static str,
    body: &'static str,
    key: &'static str,
    /// Target of sound look-ups without the number at its end.
    sound: &'static str,
    /// Whether the crashing request is sent.
    has_poison: bool,
    /// Whether the machines are stopped and started in turn.
    has_stops: bool,
}

impl Plan {
    /// Case 2; the disruption is that machines are stopped.
    pub fn stops(has_trouble: bool) -> Plan {
        Plan {
            method: "POST",
            target: "/hold/b4d",
            body: "a hold on a kit that does not exist",
            key: OTHER_KEY,
            sound: "/stock/",
            has_poison: true,
            has_stops: has_trouble,
        }
    }

    /// Case 3; the disruption is the crashing request.
    pub fn query(has_trouble: bool) -> Plan {
        Plan {
            method: "GET",
            target: "/stock/search?kit=b4d",
            body: "",
            key: KEY,
            sound: "/stock/search?kit=",
            has_poison: has_trouble,
            has_stops: false,
        }
    }
}

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-hold","host":"ficu95.example","prefix":"/hold/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"hire","max_attempts":1,"public":false},
{"name":"r-stock","host":"ficu95.example","prefix":"/stock/","kind":"safe","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"hire","max_attempts":2,"public":false}],
"services":[{"name":"hire","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6","wsjnbanfqasnmgkcuyj8"]}]}"#;

/// A crash: when, of which replica, by which request, and the requests that ran there.
struct Crash {
    at: f64,
    replica: String,
    request: String,
    others: Vec<String>,
}

struct World {
    plan: Plan,
    machines: Vec<Arc<Machine>>,
    record: Record,
    store: Store,
    is_over: AtomicBool,
    crashes: Mutex<Vec<Crash>>,
    /// Machine that each crashing request was sent to.
    sent_to: Mutex<HashMap<String, String>>,
    /// Seconds of each SIGTERM and each start of a machine.
    touched: Mutex<HashMap<String, Vec<f64>>>,
    /// Answers to sound requests by status; 0 for a connection that ended without one.
    sound: Mutex<HashMap<String, u16>>,
}

/// Plays the case; returns whether the rule was broken.
pub fn play(binary: &str, dir: &Path, record: &Record, plan: Plan) -> std::io::Result<bool> {
    let store = Store::start()?;
    store.set("op/config", Some(CONFIG));
    let mut machines = Vec::new();
    for (name, zone) in FRONTS {
        machines.push(Arc::new(Machine::new(binary, dir, name, zone, store.address)?));
    }
    let world = Arc::new(World {
        plan,
        machines,
        record: record.clone(),
        store,
        is_over: AtomicBool::new(false),
        crashes: Mutex::default(),
        sent_to: Mutex::default(),
        touched: Mutex::default(),
        sound: Mutex::default(),
    });
    for n in 0..ZONES.len() {
        let w = world.clone();
        std::thread::spawn(move || live(&w, n));
    }
    let result = play_day(&world);
    world.is_over.store(true, Ordering::SeqCst);
    result?;
    Ok(judge(&world))
}

fn play_day(w: &Arc<World>) -> std::io::Result<()> {
    w.machines.iter().for_each(|m| probe(m.clone(), w.record.clone()));
    for m in &w.machines {
        wait_ready(m)?;
    }
    for n in 0..CLIENTS {
        let w = w.clone();
        std::thread::spawn(move || sound_client(&w, n));
    }
    std::thread::sleep(WARM_UP);
    if w.plan.has_poison {
        let poison = w.clone();
        std::thread::spawn(move || poison_client(&poison));
    }
    std::thread::sleep(BEFORE);
    for m in &w.machines {
        if w.plan.has_stops {
            let touch = || {
                let mut touched = w.touched.lock().expect("no holder panics");
                touched.entry(m.name.clone()).or_default().push(w.record.now());
            };
            touch();
            w.record.line(&format!("platform: SIGTERM to {}", m.name));
            m.signal("TERM");
            let end = m.wait(GRACE);
            w.record.line(&format!("platform: {} has ended: {end}", m.name));
            std::thread::sleep(Duration::from_millis(300));
            m.start()?;
            touch();
            w.record.line(&format!("platform: {} is started", m.name));
            std::thread::sleep(Duration::from_secs(1));
            wait_ready(m)?;
        }
        std::thread::sleep(GAP);
    }
    std::thread::sleep(AFTER);
    Ok(())
}

fn wait_ready(m: &Machine) -> std::io::Result<()> {
    let end = Instant::now() + Duration::from_secs(10);
    while !m.in_rotation.load(Ordering::SeqCst) {
        if Instant::now() >= end {
            return Err(std::io::Error::other(format!("{} is not ready within 10 s", m.name)));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// One start of a replica.
struct Replica {
    id: String,
    is_down: AtomicBool,
    /// Open connections.
    connections: Mutex<Vec<TcpStream>>,
    /// Requests at work.
    running: Mutex<Vec<String>>,
    /// Requests at work, and waiting.
    load: (Mutex<(usize, usize)>, Condvar),
}

/// Runs a replica for the whole time: after each crash it is back as a new one, at another address.
fn live(w: &Arc<World>, n: usize) {
    for start in 0.. {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0") else { return };
        let Ok(address) = listener.local_addr() else { return };
        let r = Arc::new(Replica {
            id: format!("i-{n}{start:03}"),
            is_down: AtomicBool::new(false),
            connections: Mutex::default(),
            running: Mutex::default(),
            load: Default::default(),
        });
        w.record.line(&format!("replica {} starts", r.id));
        let beat = (w.clone(), r.clone());
        std::thread::spawn(move || send_beats(&beat.0, &beat.1, address, ZONES[n]));
        for (count, io) in listener.incoming().flatten().enumerate() {
            if r.is_down.load(Ordering::SeqCst) {
                break;
            }
            r.connections.lock().expect("no holder panics").extend(io.try_clone());
            let (w, r) = (w.clone(), r.clone());
            std::thread::spawn(move || r.serve(&w, io, address, count as u64));
        }
        // From here on connections are refused.
        drop(listener);
        std::thread::sleep(DOWN);
    }
}

/// Writes the entry of a replica at each heartbeat. It is removed after three of them without a beat.
fn send_beats(w: &World, r: &Replica, address: SocketAddr, zone: &str) {
    let born = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_millis());
    for sequence in 1.. {
        let entry = format!(
            "{{\"service\":\"hire\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
            \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
        );
        w.store.set(&format!("servers/{}", r.id), Some(&entry));
        std::thread::sleep(HEARTBEAT);
        if r.is_down.load(Ordering::SeqCst) {
            break;
        }
    }
    std::thread::sleep(HEARTBEAT * 2);
    w.store.set(&format!("servers/{}", r.id), None);
}

impl Replica {
    fn serve(&self, w: &World, io: TcpStream, address: SocketAddr, count: u64) {
        let Ok(mut out) = io.try_clone() else { return };
        let _ = out.set_nodelay(true);
        let mut reader = BufReader::new(io);
        let mut random = Random::new(count + 77);
        while let Ok(req) = http::read(&mut reader) {
            let id = req.header("x-attempt-id").unwrap_or("").to_owned();
            if req.header("x-expect-replica").is_some_and(|e| e != self.id) {
                let head = format!(
                    "HTTP/1.1 421 X\r\nX-Replica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                let _ = out.write_all(head.as_bytes());
                continue;
            }
            let (lock, freed) = &self.load;
            let mut load = lock.lock().expect("no holder panics");
            if load.1 >= QUEUE {
                drop(load);
                let head = format!(
                    "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                let _ = out.write_all(head.as_bytes());
                continue;
            }
            load.1 += 1;
            while load.0 >= SLOTS {
                load = freed.wait(load).expect("no holder panics");
            }
            (load.0, load.1) = (load.0 + 1, load.1 - 1);
            drop(load);
            if self.is_down.load(Ordering::SeqCst) {
                return;
            }
            w.record.line(&format!("replica {} runs {id}: {}", self.id, req.first));
            if req.request().1 == w.plan.target {
                return self.crash(w, &id, address);
            }
            self.running.lock().expect("no holder panics").push(id.clone());
            std::thread::sleep(Duration::from_secs_f64(0.03 + 0.06 * random.unit()));
            self.running.lock().expect("no holder panics").retain(|other| *other != id);
            let load = {
                let mut load = lock.lock().expect("no holder panics");
                load.0 -= 1;
                freed.notify_one();
                *load
            };
            if self.is_down.load(Ordering::SeqCst) {
                return;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Seal: seal.{}.{id}\r\n\
                X-Replica-Load: {},{},{SLOTS}\r\nContent-Length: 800\r\n\r\n",
                self.id, load.0, load.1
            );
            let _ = out.write_all((head + &"x".repeat(800)).as_bytes());
        }
    }

    /// Breaks off all responses, and refuses connections.
    fn crash(&self, w: &World, request: &str, address: SocketAddr) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        // Wakes the thread that accepts, so that it closes the listener first.
        let _ = TcpStream::connect(address);
        std::thread::sleep(Duration::from_millis(2));
        for io in self.connections.lock().expect("no holder panics").drain(..) {
            let _ = io.shutdown(Shutdown::Both);
        }
        let others = self.running.lock().expect("no holder panics").clone();
        w.record.line(&format!(
            "replica {} crashes with {request}; {} other requests ran there",
            self.id,
            others.len()
        ));
        let (replica, request) = (self.id.clone(), request.to_owned());
        w.crashes.lock().expect("no holder panics").push(Crash {
            at: w.record.now(),
            replica,
            request,
            others,
        });
    }
}

fn request_text(method: &str, path: &str, id: &str, key: &str, body: &str) -> String {
    let length =
        if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\
        Authorization: Bearer {key}\r\n{length}\r\n{body}"
    )
}

/// Sends the request that crashes replicas, at any machine.
fn poison_client(w: &World) {
    let mut random = Random::new(4711);
    for n in 0.. {
        if w.is_over.load(Ordering::SeqCst) {
            return;
        }
        let next = Instant::now() + POISON_PAUSE;
        let zone = ZONES[(random.unit() * ZONES.len() as f64) as usize];
        let m = choose(&w.machines, zone, (random.unit() * 100.0) as usize);
        let id = format!("bad{n:013x}");
        w.sent_to.lock().expect("no holder panics").insert(id.clone(), m.name.clone());
        w.record.line(&format!("client of the crashing request sends {id} to {}", m.name));
        let answer = http::connect(m.front).and_then(|mut io| {
            io.set_read_timeout(Some(Duration::from_secs(3)))?;
            io.write_all(
                request_text(w.plan.method, w.plan.target, &id, w.plan.key, w.plan.body).as_bytes(),
            )?;
            http::read(&mut BufReader::new(io))
        });
        let status = answer.map_or(0, |m| m.status());
        w.record.line(&format!("client of the crashing request gets {status} for {id}"));
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// Sends sound requests, one a second.
fn sound_client(w: &World, n: usize) {
    let mut random = Random::new(n as u64 + 1);
    let zone = ZONES[n % ZONES.len()];
    let mut kept: Option<BufReader<TcpStream>> = None;
    for count in 0.. {
        if w.is_over.load(Ordering::SeqCst) {
            return;
        }
        std::thread::sleep(Duration::from_secs_f64(0.5 + random.unit()));
        let m = choose(&w.machines, zone, n / ZONES.len());
        let Some(mut io) =
            kept.take().filter(is_open).or_else(|| http::connect(m.front).ok().map(BufReader::new))
        else {
            continue;
        };
        let id = format!("{n:08x}{count:08x}");
        let text = if random.unit() < 0.71 {
            request_text("POST", "/hold/2f", &id, KEY, &format!("{id} {}", "b".repeat(580)))
        } else {
            request_text("GET", &format!("{}{n}", w.plan.sound), &id, KEY, "")
        };
        let _ = io.get_ref().set_read_timeout(Some(Duration::from_secs(3)));
        let answer = io.get_mut().write_all(text.as_bytes()).and_then(|()| http::read(&mut io));
        let status = match &answer {
            Ok(m) => m.status(),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => 1,
            Err(_) => 0,
        };
        if status != 200 {
            w.record.line(&format!("client {n} gets {status} for {id}"));
        }
        w.sound.lock().expect("no holder panics").insert(id, status);
        if answer
            .is_ok_and(|m| !m.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")))
        {
            kept = Some(io);
        }
    }
}

fn is_open(io: &BufReader<TcpStream>) -> bool {
    let socket = io.get_ref();
    let _ = socket.set_nonblocking(true);
    let open = matches!(socket.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
    let _ = socket.set_nonblocking(false);
    open
}

/// Counts the requests that reached replicas later than `stable_window_ms` after the third crash, sent by
/// machines in touch. Returns whether there are more than the rule allows.
fn judge(w: &World) -> bool {
    let crashes = w.crashes.lock().expect("no holder panics");
    let (sent_to, touched) =
        (w.sent_to.lock().expect("no holder panics"), w.touched.lock().expect("no holder panics"));
    let sound = w.sound.lock().expect("no holder panics");
    let third = crashes.get(2).map_or(f64::INFINITY, |c| c.at);
    let (mut late, mut lost) = (std::collections::BTreeSet::new(), 0);
    for c in crashes.iter().filter(|c| c.at > third + STABLE_WINDOW) {
        let machine = sent_to.get(&c.request).map_or("", String::as_str);
        let last = touched
            .get(machine)
            .into_iter()
            .flatten()
            .filter(|t| **t <= c.at)
            .fold(0.0f64, |a, b| a.max(*b));
        let is_touched = last > 0.0 && c.at - last < STABLE_WINDOW;
        let broken: Vec<&String> =
            c.others.iter().filter(|id| sound.get(*id) != Some(&200)).collect();
        lost += broken.len();
        if !is_touched {
            late.insert(c.request.as_str());
        }
        w.record.line(&format!(
            "{}: {} reaches {} from {machine} at {:.3} s, {:.1} s after the third crash; sound requests that ran there \
            and got no success: {broken:?}",
            if is_touched { "not counted, its machine is not in touch" } else { "counted" },
            c.request, c.replica, c.at, c.at - third
        ));
    }
    let mut statuses: std::collections::BTreeMap<u16, usize> = std::collections::BTreeMap::new();
    sound.values().for_each(|status| *statuses.entry(*status).or_default() += 1);
    let summary = format!(
        "summary: {} crashes, the third at {third:.3} s; later than {STABLE_WINDOW} s after it, from machines in touch: {} requests \
        reached replicas (the rule allows {ALLOWED}); sound requests broken off by the later crashes and not served: {lost} of {}; \
        answers to sound requests by status {statuses:?}",
        crashes.len(),
        late.len(),
        sound.len()
    );
    w.record.line(&summary);
    println!("{summary}");
    late.len() > ALLOWED
}
