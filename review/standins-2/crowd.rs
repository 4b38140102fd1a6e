//! Crowds of clients that nobody controls, beside ordinary ones.

use crate::platform::{CONFIG, Client, Gateway, Replica, Store, request};
use crate::{Stage, Verdict};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Connection of a crowd: sends its bytes, and connects again once it has been closed.
struct Member {
    io: Option<TcpStream>,
    bytes: Vec<u8>,
    sent: usize,
    /// Whether it sends its bytes again after each answer.
    repeats: bool,
    /// Bytes that it sends at once; the rest follows after [`REST_DELAY`].
    first: usize,
    since: Instant,
}

/// Time after which a member that pauses sends the rest of its bytes.
const REST_DELAY: Duration = Duration::from_millis(1200);

impl Member {
    fn step(&mut self, to: SocketAddr) {
        let Some(io) = &mut self.io else {
            self.io = TcpStream::connect_timeout(&to, Duration::from_millis(200)).ok();
            (self.sent, self.since) = (0, Instant::now());
            if let Some(io) = &self.io {
                let _ = io.set_nonblocking(true);
            }
            return;
        };
        let is_whole = self.since.elapsed() >= REST_DELAY;
        let end = if is_whole { self.bytes.len() } else { self.first.min(self.bytes.len()) };
        while self.sent < end {
            match io.write(&self.bytes[self.sent..end]) {
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.io = None;
                    return;
                }
            }
        }
        let mut buf = [0; 4096];
        let is_closed = match io.read(&mut buf) {
            Ok(0) => true,
            // The next request follows the answer.
            Ok(_) => {
                self.sent = if self.repeats { 0 } else { self.sent };
                false
            }
            Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
        };
        if is_closed {
            self.io = None;
        }
    }
}

/// A crowd that goes on in threads of its own until it is dropped.
struct Crowd {
    is_over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Crowd {
    fn start(
        to: SocketAddr,
        members: usize,
        repeats: bool,
        pause: Duration,
        bytes: impl Fn(usize) -> (Vec<u8>, usize),
    ) -> Crowd {
        let is_over = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for part in 0..4 {
            let of_part = (0..members).filter(|n| n % 4 == part);
            let new = |n| {
                let (bytes, first) = bytes(n);
                Member { io: None, bytes, sent: 0, repeats, first, since: Instant::now() }
            };
            let mut all: Vec<Member> = of_part.map(new).collect();
            let is_over = is_over.clone();
            threads.push(std::thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    all.iter_mut().for_each(|m| m.step(to));
                    std::thread::sleep(pause);
                }
            }));
        }
        Crowd { is_over, threads }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|t| drop(t.join()));
    }
}

struct Site {
    store: Store,
    replicas: Vec<Replica>,
    gateway: Gateway,
}

fn start(stage: &Stage, work: Duration, bytes: usize) -> Result<Site, Verdict> {
    let store = Store::start("127.0.0.1");
    store.set("op/config", Some(CONFIG));
    let replica = |n: usize| Replica::start("127.0.0.1", &format!("i-{n}"), work, bytes);
    let replicas: Vec<Replica> = (0..3).map(replica).collect();
    for r in &replicas {
        store.set(&format!("servers/{}", r.id), Some(&r.entry("desk", "ready")));
    }
    let gateway = Gateway::start(&stage.dir, "front-uks-a-1", "127.0.1.1", store.address);
    match gateway.wait_ready(&stage.record) {
        true => Ok(Site { store, replicas, gateway }),
        false => Err(Verdict::NotRun("the gateway is not ready".into())),
    }
}

/// What an ordinary client saw of a request.
#[derive(Debug)]
struct Seen {
    id: String,
    /// Status of the answer; 0 if the connection ended without one, 1 if there was no connection.
    status: u16,
    /// Whether the connection had served a request before.
    was_kept: bool,
}

/// Sends bookings on a kept connection until `is_over`.
fn book(
    n: usize,
    to: SocketAddr,
    body: usize,
    pause: Duration,
    seen: &Mutex<Vec<Seen>>,
    is_over: &AtomicBool,
) {
    let mut kept: Option<Client> = None;
    for k in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("b{n}-{k}");
        let was_kept = kept.is_some();
        let status = match kept.take().or_else(|| Client::connect(to).ok()) {
            None => 1,
            Some(mut client) => {
                let sent = client.send(&request("POST", "/book/x", &id, body)).is_ok();
                let answer = sent.then(|| client.answer()).flatten();
                let status = answer.as_ref().map_or(0, |a| a.status());
                let closes = answer.and_then(|a| a.header("connection").map(|v| v == "close"));
                if status > 0 && closes != Some(true) {
                    kept = Some(client);
                }
                status
            }
        };
        seen.lock().expect("no holder panics").push(Seen { id, status, was_kept });
        std::thread::sleep(pause);
    }
}

/// Requests in progress of ordinary clients are cut, since they keep more than each of the crowd.
pub fn play_busy(stage: &Stage) -> Verdict {
    /// Largest body of a request on the sheet of the deployment.
    const BODY: usize = 17_000;
    const CROWD: usize = 1460;
    let mut site = match start(stage, Duration::from_millis(400), 800) {
        Ok(site) => site,
        Err(verdict) => return verdict,
    };
    let (seen, is_over) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let front = site.gateway.front;
    let clients: Vec<_> = (0..12)
        .map(|n| {
            let (seen, is_over) = (seen.clone(), is_over.clone());
            std::thread::spawn(move || {
                book(n, front, BODY, Duration::from_millis(50), &seen, &is_over)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let crowd = stage.trouble.then(|| {
        stage.record.note(format!("of {CROWD} clients, a quarter send a head of 16 KB without its end, in two parts, and the others most of a body of 13 KB"));
        Crowd::start(front, CROWD, false, Duration::from_millis(20), |n| {
            let start = "POST /book/x HTTP/1.1\r\nHost: desk.example\r\n";
            match n % 4 {
                0 => (format!("{start}X-Filler: {}", "x".repeat(16_200)).into_bytes(), 100),
                _ => {
                    let body = "x".repeat(12_400);
                    let bytes = format!("{start}Content-Length: 13000\r\n\r\n{body}").into_bytes();
                    (bytes, usize::MAX)
                }
            }
        })
    });
    std::thread::sleep(Duration::from_secs(15));
    drop(crowd);
    stage.record.note("the crowd is gone");
    std::thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| drop(c.join()));
    let seen = seen.lock().expect("no holder panics");
    let served: Vec<String> = site.replicas.iter().flat_map(Replica::served).collect();
    let arrived: Vec<String> =
        site.replicas.iter().flat_map(|r| r.arrivals()).map(|a| a.id).collect();
    let mut lost = 0;
    for s in seen.iter().filter(|s| s.status < 200) {
        let (ran, ended) = (arrived.contains(&s.id), served.contains(&s.id));
        stage.record.note(format!("{s:?}: arrived {ran}, run to its end {ended}"));
        lost += usize::from(s.was_kept && ran);
    }
    let good = seen.iter().filter(|s| s.status == 200).count();
    stage.record.note(format!("{} bookings, {good} answered 200, {lost} cut after they were passed on from a kept connection", seen.len()));
    if let Some(how) = site.gateway.ended() {
        stage.record.note(format!("the gateway has ended: {how}"));
        return Verdict::Broken;
    }
    if good == 0 {
        return Verdict::NotRun("nothing was served".into());
    }
    // The rule allows three.
    if lost > 3 { Verdict::Broken } else { Verdict::Held }
}

/// Limit of the memory of a process, in bytes.
const MEMORY: u64 = 110_000_000;

/// Heads of many headers take more memory than is counted, and the platform kills the processes.
pub fn play_headers(stage: &Stage) -> Verdict {
    const CROWD: usize = 1464;
    /// The three replicas take 110 connections each.
    const WITH_KEY: usize = 320;
    /// Ends of a process that the rule allows, less one.
    const ENDS: usize = 3;
    let site = match start(stage, Duration::from_millis(700), 800) {
        Ok(site) => site,
        Err(verdict) => return verdict,
    };
    let second = Gateway::start(&stage.dir, "front-uks-a-2", "127.0.1.2", site.store.address);
    if !second.wait_ready(&stage.record) {
        return Verdict::NotRun("the second gateway is not ready".into());
    }
    let count = if stage.trouble { CROWD } else { 50 };
    stage.record.note(format!("{count} clients send heads of 16 KB with 93 headers, at most {WITH_KEY} of them a whole request with a key"));
    let mut broken = 0;
    for mut gateway in [site.gateway, second] {
        let crowd = Crowd::start(gateway.front, count, true, Duration::from_millis(100), |n| {
            let name = "x".repeat(170);
            let extra: String = (0..90).map(|k| format!("{name}{k}: 1\r\n")).collect();
            let rest = match n < WITH_KEY {
                true => "Authorization: Bearer key-1\r\nX-Deadline-Ms: 1500\r\n",
                false => "Content-Length: 600\r\n",
            };
            let start = "POST /book/x HTTP/1.1\r\nHost: desk.example\r\n";
            let bytes = format!("{start}X-Attempt-Id: h{n}\r\n{rest}{extra}\r\n").into_bytes();
            (bytes, usize::MAX)
        });
        let (mut ends, mut most) = (0, 0);
        let end = Instant::now() + Duration::from_secs(if stage.trouble { 50 } else { 15 });
        while Instant::now() < end && ends < ENDS {
            let (resident, unread) = (gateway.memory(), gateway.unread());
            most = most.max(resident + unread);
            if resident + unread > MEMORY {
                ends += 1;
                stage.record.note(format!("{}: {resident} bytes resident and {unread} unread, over {MEMORY}: killed for the {ends}. time", gateway.front));
                gateway.kill_and_restart();
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        stage.record.note(format!(
            "{}: at most {most} bytes of {MEMORY}, ended {ends} times",
            gateway.front
        ));
        broken += usize::from(ends >= ENDS);
        drop(crowd);
    }
    if broken == 2 { Verdict::Broken } else { Verdict::Held }
}

/// Requests that were sent ahead are dropped as the gateway is stopped.
pub fn play_ahead(stage: &Stage) -> Verdict {
    let site = match start(stage, Duration::from_millis(500), 800) {
        Ok(site) => site,
        Err(verdict) => return verdict,
    };
    let front = site.gateway.front;
    let mut clients = Vec::new();
    for n in 0..10 {
        let Ok(mut client) = Client::connect(front) else {
            return Verdict::NotRun("no connection".into());
        };
        let first = client.send(&request("GET", "/look/x", &format!("a{n}-0"), 0)).ok();
        if first.and_then(|()| client.answer()).is_none_or(|a| a.status() != 200) {
            return Verdict::NotRun("the first request was not served".into());
        }
        clients.push(client);
    }
    if stage.trouble {
        site.gateway.signal("TERM");
        stage.record.note("SIGTERM");
    }
    let mut lost = 0;
    for (n, client) in clients.iter_mut().enumerate() {
        let ids = [format!("a{n}-1"), format!("a{n}-2")];
        let bytes = ids.iter().flat_map(|id| request("GET", "/look/x", id, 0)).collect::<Vec<u8>>();
        let _ = client.send(&bytes);
    }
    let sent = Instant::now();
    for (n, client) in clients.iter_mut().enumerate() {
        for k in 1..=2 {
            let answer = client.answer();
            let ms = sent.elapsed().as_millis();
            match &answer {
                Some(a) => stage.record.note(format!(
                    "a{n}-{k}: {} connection={:?} after {ms} ms",
                    a.status(),
                    a.header("connection")
                )),
                None => {
                    stage.record.note(format!(
                        "a{n}-{k}: the connection ended without an answer after {ms} ms"
                    ));
                    lost += 1;
                }
            }
        }
    }
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}
