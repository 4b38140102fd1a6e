//! The processes of a run, its callers, and the faults as they are done.

use super::RunReport;
use super::checker::{self, Arrival, CallRecord, History, RequestKind};
use super::faults::{self, ENDPOINTS, Fault, GATEWAYS};
use crate::platform::{
    Action, Endpoint, Gateway, Outage, Proxy, ProxyMode, Reply, Store, try_send, wait_until,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Threads that send requests one after the other.
const CALLERS: usize = 6;
/// Events of each generation and the pause between them.
const EVENTS: (u64, Duration) = (40, Duration::from_millis(25));
/// Time that a gateway takes at most to stop.
const STOP_TIME: Duration = Duration::from_secs(6);

/// An endpoint behind a proxy.
struct Back {
    endpoint: Endpoint,
    proxy: Proxy,
    service: &'static str,
}

/// All that runs.
pub struct Cluster {
    seed: u64,
    store: Store,
    gateways: Vec<Arc<Mutex<Gateway>>>,
    links: Vec<Proxy>,
    backs: Vec<Back>,
    gone: Vec<Back>,
    events: Arc<Mutex<History>>,
    version: Arc<AtomicU64>,
    next: usize,
    helpers: Vec<JoinHandle<()>>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().expect("no holder of the lock panics")
}

fn config(version: u64) -> String {
    let route = |path: &str, kind: &str, service: &str, attempts: u32, timeout: u32| {
        format!(
            r#"{{"name":"{path}","host":"app.example","prefix":"/{path}/","kind":"{kind}",
            "timeout_ms":{timeout},"target_latency_ms":600,"priority":1,"service":"{service}",
            "max_attempts":{attempts},"gap_target_ms":180}}"#
        )
    };
    let routes = [
        route("safe", "safe", "plain", 2, 900),
        route("unsafe", "unsafe", "plain", 1, 900),
        route("stream", "streaming", "model", 1, 9000),
    ]
    .join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[
        {{"name":"plain","max_connections":50}},
        {{"name":"model","max_connections":50,"engine":{{"slots":8,"kv_capacity_tokens":30000,
        "kv_token_bytes":163840.0,"link_mbps":24000.0,"moves":true,"stride":1}}}}],
        "limits":{{"max_header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,
        "idle_timeout_ms":3000}},"tenants":[{{"name":"acme","api_keys":["key-{version}"]}}]}}"#
    )
}

impl Cluster {
    /// Starts everything and waits until it serves.
    pub fn start(binary: &Path, seed: u64) -> Cluster {
        let store = Store::start();
        let links: Vec<Proxy> = (0..GATEWAYS).map(|_| Proxy::start(store.address)).collect();
        let gateways =
            links.iter().map(|l| Arc::new(Mutex::new(Gateway::start(binary, l.address))));
        let mut cluster = Cluster {
            seed,
            gateways: gateways.collect(),
            links,
            backs: Vec::new(),
            gone: Vec::new(),
            events: Arc::default(),
            version: Arc::new(AtomicU64::new(0)),
            next: 0,
            helpers: Vec::new(),
            store,
        };
        cluster.configure();
        for n in 0..2 * ENDPOINTS {
            let back = cluster.join(if n < ENDPOINTS { "plain" } else { "model" });
            cluster.backs.push(back);
        }
        for g in &cluster.gateways {
            assert!(wait_until(STOP_TIME, || lock(g).readiness() == 200), "gateways are ready");
        }
        std::thread::sleep(Duration::from_millis(300));
        cluster
    }

    fn join(&mut self, service: &'static str) -> Back {
        self.next += 1;
        let usual = if service == "plain" {
            Action::EchoId
        } else {
            Action::TaggedStream(EVENTS.0, EVENTS.1)
        };
        let endpoint = Endpoint::start(&format!("i-{}", self.next), usual);
        let proxy = Proxy::start(endpoint.address);
        let entry = Endpoint::listing_at(proxy.address, service, "ready");
        self.store.set(&format!("servers/{}", endpoint.id), Some(entry.as_bytes()));
        Back { endpoint, proxy, service }
    }

    fn configure(&mut self) {
        let version = self.version.load(Ordering::SeqCst) + 1;
        self.store.set("op/config", Some(config(version).as_bytes()));
        lock(&self.events).versions.push((version, Instant::now()));
        self.version.store(version, Ordering::SeqCst);
    }

    /// Plays the faults of the seed under load, and judges.
    pub fn play(mut self, length: Duration) -> RunReport {
        let stop = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = (0..CALLERS).map(|n| self.call(n as u64, &stop)).collect();
        let (start, plan) = (Instant::now(), faults::draw(self.seed, length));
        for (at, fault) in &plan {
            std::thread::sleep((start + *at).saturating_duration_since(Instant::now()));
            self.harm(fault);
        }
        std::thread::sleep((start + length).saturating_duration_since(Instant::now()));
        std::mem::take(&mut self.helpers).into_iter().for_each(|h| drop(h.join()));
        std::thread::sleep(Duration::from_millis(1500));
        stop.store(true, Ordering::SeqCst);
        let calls: Vec<CallRecord> =
            callers.into_iter().flat_map(|c| c.join().expect("callers do not panic")).collect();
        std::thread::sleep(Duration::from_millis(500));
        let arrivals = self.arrivals();
        let violations = checker::check(&calls, &arrivals, &lock(&self.events));
        let logs = lock(&self.gateways[0]).settings_file.parent().map(Path::to_owned);
        RunReport {
            seed: self.seed,
            requests: calls.len(),
            statuses: checker::statuses(&calls),
            moved: arrivals.iter().filter(|a| a.resumed).count(),
            faults: plan.iter().map(|(t, f)| (t.as_millis(), format!("{f:?}"))).collect(),
            logs: logs.filter(|_| !violations.is_empty()),
            violations,
        }
    }

    fn arrivals(&self) -> Vec<Arrival> {
        let all = self.backs.iter().chain(&self.gone);
        let of = |b: &Back| {
            let endpoint = b.endpoint.id.clone();
            let arrival = move |s: crate::platform::ReceivedRequest| Arrival {
                id: s.req.header("x-attempt-id").unwrap_or("").to_owned(),
                endpoint: endpoint.clone(),
                at: s.at,
                ran: s.ran,
                resumed: s.req.header("kv-from").is_some(),
            };
            b.endpoint.received().into_iter().map(arrival).collect::<Vec<_>>()
        };
        all.flat_map(of).collect()
    }

    /// Notes a harmful fault that lasts for a time.
    fn note(&self, time: Duration) {
        let now = Instant::now();
        lock(&self.events).faults.push((now, now + time));
    }

    fn harm(&mut self, fault: &Fault) {
        match fault {
            Fault::Kill(g) => {
                self.note(Duration::from_millis(300));
                lock(&self.gateways[*g]).restart();
            }
            Fault::Pause(g, time) => {
                self.note(*time);
                lock(&self.gateways[*g]).signal(libc::SIGSTOP);
                self.later(*time, |g| lock(g).signal(libc::SIGCONT), *g);
            }
            Fault::Stop(g) => {
                let now = Instant::now();
                lock(&self.events).planned.push((now, now + STOP_TIME));
                lock(&self.gateways[*g]).signal(libc::SIGTERM);
                let stopped = |g: &Arc<Mutex<Gateway>>| {
                    wait_until(STOP_TIME, || lock(g).wait_for_exit(0).is_some());
                    lock(g).restart();
                };
                self.later(Duration::from_millis(10), stopped, *g);
            }
            Fault::Reload(g) => {
                let now = Instant::now();
                lock(&self.events).planned.push((now, now + Duration::from_secs(1)));
                lock(&self.gateways[*g]).signal(libc::SIGHUP);
            }
            Fault::StoreBusy(time) => self.outage(Outage::Busy, *time),
            Fault::StoreSilent(time) => self.outage(Outage::Silent, *time),
            Fault::Compact => {
                self.note(Duration::ZERO);
                self.store.compact();
            }
            Fault::StoreLink(g, mode, time) => {
                self.note(*time);
                self.links[*g].set_mode(*mode);
                self.heal(&self.links[*g].shared_mode(), *time);
            }
            Fault::EndpointLink(e, mode, time) => {
                self.note(*time);
                self.backs[*e].proxy.set_mode(*mode);
                self.heal(&self.backs[*e].proxy.shared_mode(), *time);
            }
            Fault::Misbehave(e, n) => self.misbehave(*e, *n),
            Fault::Replace(e) => self.replace(*e),
            Fault::Configure => self.configure(),
        }
    }

    fn later(
        &mut self,
        time: Duration,
        what: impl Fn(&Arc<Mutex<Gateway>>) + Send + 'static,
        g: usize,
    ) {
        let gateway = self.gateways[g].clone();
        self.helpers.push(std::thread::spawn(move || {
            std::thread::sleep(time);
            what(&gateway);
        }));
    }

    fn heal(&self, link: &Arc<Mutex<ProxyMode>>, time: Duration) {
        let link = link.clone();
        std::thread::spawn(move || {
            std::thread::sleep(time);
            *lock(&link) = ProxyMode::Pass;
        });
    }

    fn outage(&mut self, outage: Outage, time: Duration) {
        // Watches that were silenced hold on to their connections for longer than the outage.
        self.note(time + Duration::from_millis(2500));
        self.store.set_outage(Some(outage));
        let mend = self.store.outage_ender();
        self.helpers.push(std::thread::spawn(move || {
            std::thread::sleep(time);
            mend();
        }));
    }

    fn misbehave(&mut self, e: usize, n: u32) {
        self.note(Duration::from_secs(2));
        let back = &self.backs[e];
        let mut rng = SmallRng::seed_from_u64(self.seed ^ u64::from(n));
        for _ in 0..n {
            let act = match (back.service, rng.random_range(0..6)) {
                (_, 0) => Action::NotExecuted,
                (_, 1) => Action::Reset,
                ("model", 2 | 3) => Action::TruncatedStream(0),
                (_, 2) => Action::TruncatedBody,
                (_, 3) => Action::WrongId,
                (_, 4) => Action::Unsealed,
                _ => Action::Misdirected,
            };
            back.endpoint.push_action(act);
        }
    }

    fn replace(&mut self, e: usize) {
        let service = self.backs[e].service;
        let new = self.join(service);
        let old = std::mem::replace(&mut self.backs[e], new);
        old.endpoint.start_draining();
        let entry = Endpoint::listing_at(old.proxy.address, service, "draining");
        self.store.set(&format!("servers/{}", old.endpoint.id), Some(entry.as_bytes()));
        lock(&self.events).drained.push((old.endpoint.id.clone(), Instant::now()));
        self.gone.push(old);
    }

    /// Starts a caller that sends one request after the other.
    fn call(&self, n: u64, stop: &Arc<AtomicBool>) -> JoinHandle<Vec<CallRecord>> {
        let fronts: Vec<SocketAddr> = self.gateways.iter().map(|g| lock(g).front).collect();
        let (stop, version) = (stop.clone(), self.version.clone());
        let mut rng = SmallRng::seed_from_u64(self.seed.wrapping_mul(31) + n);
        let seed = self.seed;
        std::thread::spawn(move || {
            let mut calls = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let id = format!("{seed:x}x{n}x{:x}", calls.len());
                let front = fronts[rng.random_range(0..fronts.len())];
                // Now and then somebody still uses the key of before.
                let newest = version.load(Ordering::SeqCst);
                let key = if rng.random_bool(0.2) { newest.max(2) - 1 } else { newest };
                calls.push(once(front, id, key, &mut rng));
                std::thread::sleep(Duration::from_millis(rng.random_range(0..30)));
            }
            calls
        })
    }
}

fn once(front: SocketAddr, id: String, version: u64, rng: &mut SmallRng) -> CallRecord {
    let kind = match rng.random_range(0..4) {
        0 => RequestKind::Stream(EVENTS.0),
        1 => RequestKind::Safe,
        _ => RequestKind::Unsafe,
    };
    let (path, extra) = match kind {
        RequestKind::Safe => ("safe", ""),
        RequestKind::Unsafe => ("unsafe", ""),
        RequestKind::Stream(_) => ("stream", "X-Model: m\r\nX-Token-Counts: 100,100\r\n"),
    };
    let bytes = format!(
        "POST /{path}/x HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: {id}\r\nContent-Length: 2\r\n\
        Authorization: Bearer key-{version}\r\nX-Deadline-Ms: 6000\r\n{extra}\r\nhi"
    );
    let sent = Instant::now();
    let leaves = rng.random_bool(0.05);
    let reply = match try_send(front, bytes.as_bytes()) {
        Ok(_) if leaves => Reply::default(),
        Ok(mut sent) => sent.reply(),
        Err(_) => Reply::default(),
    };
    // One that leaves by itself is no sign of anything that was cut.
    let reply = if leaves { Reply { complete: true, status: 499, ..reply } } else { reply };
    CallRecord { id, kind, version, sent, done: Instant::now(), reply }
}
