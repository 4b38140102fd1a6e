//! Cluster of a run: its processes and callers, and the injection of faults.

use super::RunReport;
use super::callers::{CRASH_PART, STREAM_EVENTS, Target, send_request};
use super::checker::{self, Arrival, CallRecord, History, LimitPeriod, Violation};
use super::faults::{self, Fault, Sizes};
use crate::platform::{
    Action, Connection, Endpoint, Gateway, Outage, Proxy, ProxyMode, Store, StreamEnd, foreign,
    wait_until,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Number of callers for each gateway, each of which sends one request after the other.
const CALLERS_PER_GATEWAY: usize = 2;
/// Time that a gateway has to become ready or to stop.
const GATEWAY_TIMEOUT: Duration = Duration::from_secs(6);

/// Time in which a configuration applies, with the platform's allowance for a gateway that starts.
const READY_TIME: Duration = Duration::from_secs(7);

/// One of so many requests of a caller has that part in its prompt, if it is for a generation.
const CRASH_PART_INTERVAL: usize = 3;
/// Interval of checks for endpoints that have restarted.
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Endpoint whose restarts are listed in the store.
struct Listed {
    id: String,
    service: &'static str,
    centre: &'static str,
    proxy: SocketAddr,
    restarts: Arc<AtomicU32>,
    /// Restarts that the store has.
    known: u32,
}

/// Endpoint behind a proxy.
struct ProxiedEndpoint {
    endpoint: Endpoint,
    proxy: Proxy,
    service: &'static str,
}

/// Store, gateways and endpoints of a run.
pub struct Cluster {
    seed: u64,
    sizes: Sizes,
    store: Store,
    gateways: Vec<Arc<Mutex<Gateway>>>,
    /// Proxies between the gateways and the store, in the order of the gateways.
    store_links: Vec<Proxy>,
    endpoints: Vec<ProxiedEndpoint>,
    /// Endpoints in use, as the store lists them.
    listed: Arc<Mutex<Vec<Listed>>>,
    /// How long an engine is down that a part of a prompt has crashed; `None` if none does.
    crash_time: Option<Duration>,
    /// Endpoints that were replaced, still running.
    replaced: Vec<ProxiedEndpoint>,
    history: Arc<Mutex<History>>,
    /// Newest version of the configuration.
    version: Arc<AtomicU64>,
    /// Number of the last endpoint that was started.
    last_endpoint: usize,
    /// Threads that end faults.
    fault_threads: Vec<JoinHandle<()>>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().expect("no holder of the lock panics")
}

/// Returns the configuration of a version, whose API key names the version.
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

/// Returns the listing of an endpoint in a data centre after a number of restarts.
fn listing(address: SocketAddr, service: &str, state: &str, restarts: u32, centre: &str) -> String {
    Endpoint::listing_of_start(address, service, state, restarts).replace("z-a", centre)
}

impl Cluster {
    /// Starts the processes and waits until all gateways are ready.
    pub fn start(binary: &Path, seed: u64, sizes: Sizes) -> Cluster {
        let store = Store::start();
        let store_links: Vec<Proxy> =
            (0..sizes.gateways).map(|_| Proxy::start(store.address)).collect();
        let gateways =
            store_links.iter().map(|l| Arc::new(Mutex::new(Gateway::start(binary, l.address))));
        let mut cluster = Cluster {
            seed,
            sizes,
            gateways: gateways.collect(),
            store_links,
            endpoints: Vec::new(),
            listed: Arc::default(),
            crash_time: None,
            replaced: Vec::new(),
            history: Arc::default(),
            version: Arc::new(AtomicU64::new(0)),
            last_endpoint: 0,
            fault_threads: Vec::new(),
            store,
        };
        cluster.publish_config();
        for n in 0..2 * sizes.endpoints {
            let endpoint =
                cluster.add_endpoint(if n < sizes.endpoints { "plain" } else { "model" });
            cluster.endpoints.push(endpoint);
        }
        for g in &cluster.gateways {
            assert!(
                wait_until(GATEWAY_TIMEOUT, || lock(g).readiness() == 200),
                "a gateway did not become ready"
            );
        }
        std::thread::sleep(Duration::from_millis(300));
        cluster
    }

    /// Starts an endpoint of a service behind a proxy and lists it in the store.
    fn add_endpoint(&mut self, service: &'static str) -> ProxiedEndpoint {
        self.last_endpoint += 1;
        let action = if service == "plain" {
            Action::EchoId
        } else {
            Action::TaggedStream(STREAM_EVENTS.0, STREAM_EVENTS.1)
        };
        let endpoint = Endpoint::start(&format!("i-{}", self.last_endpoint), action);
        let proxy = Proxy::start(endpoint.address);
        let centre = faults::centre(self.seed, self.last_endpoint);
        lock(&self.history).centres.insert(endpoint.id.clone(), centre);
        let listing = listing(proxy.address, service, "ready", 0, centre);
        self.store.set(&format!("servers/{}", endpoint.id), Some(listing.as_bytes()));
        let (id, restarts) = (endpoint.id.clone(), endpoint.restarts());
        lock(&self.listed).push(Listed {
            id,
            service,
            centre,
            proxy: proxy.address,
            restarts,
            known: 0,
        });
        let endpoint = ProxiedEndpoint { endpoint, proxy, service };
        self.arm(&endpoint);
        endpoint
    }

    /// Lets an engine crash on the part of prompts that does so.
    fn arm(&self, e: &ProxiedEndpoint) {
        if let Some(time) = self.crash_time.filter(|_| e.service == "model") {
            e.endpoint.crash_on_part(CRASH_PART, time);
        }
    }

    /// Lists the endpoints that have restarted, until `stop` is set.
    fn list_restarts(&self, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
        let (listed, stop, set) = (self.listed.clone(), stop.clone(), self.store.setter());
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                for e in lock(&listed).iter_mut() {
                    let restarts = e.restarts.load(Ordering::SeqCst);
                    if restarts > std::mem::replace(&mut e.known, restarts) {
                        let listing = listing(e.proxy, e.service, "ready", restarts, e.centre);
                        set(&format!("servers/{}", e.id), &listing);
                    }
                }
                std::thread::sleep(RESTART_CHECK_INTERVAL);
            }
        })
    }

    /// Stops to list the restarts of an endpoint that leaves.
    fn unlist(&self, id: &str) {
        lock(&self.listed).retain(|e| e.id != id);
    }

    /// Writes the next version of the configuration to the store.
    fn publish_config(&mut self) {
        let version = self.version.load(Ordering::SeqCst) + 1;
        self.store.set("op/config", Some(config(version).as_bytes()));
        lock(&self.history).versions.push((version, Instant::now()));
        self.version.store(version, Ordering::SeqCst);
    }

    /// Injects the faults of the seed under load for `length`, and checks the promises.
    pub fn run(mut self, length: Duration) -> RunReport {
        let stop = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = (0..CALLERS_PER_GATEWAY * self.sizes.gateways)
            .map(|n| self.start_caller(n as u64, &stop))
            .collect();
        let listing = self.list_restarts(&stop);
        let (start, faults) = (Instant::now(), faults::draw(self.seed, length, self.sizes));
        for (at, fault) in &faults {
            std::thread::sleep((start + *at).saturating_duration_since(Instant::now()));
            self.inject(fault);
        }
        std::thread::sleep((start + length).saturating_duration_since(Instant::now()));
        std::mem::take(&mut self.fault_threads).into_iter().for_each(|h| drop(h.join()));
        std::thread::sleep(Duration::from_millis(1500));
        let unready = self.find_unready();
        stop.store(true, Ordering::SeqCst);
        let calls: Vec<CallRecord> =
            callers.into_iter().flat_map(|c| c.join().expect("a caller panicked")).collect();
        drop(listing.join());
        std::thread::sleep(Duration::from_millis(500));
        let arrivals = self.arrivals();
        let mut violations = checker::check(&calls, &arrivals, &lock(&self.history));
        violations.extend(unready);
        let logs = lock(&self.gateways[0]).settings_file.parent().map(Path::to_owned);
        RunReport {
            seed: self.seed,
            requests: calls.len(),
            statuses: checker::statuses(&calls),
            moved: arrivals.iter().filter(|a| a.resumed).count(),
            faults: faults.iter().map(|(t, f)| (t.as_millis(), format!("{f:?}"))).collect(),
            logs: logs.filter(|_| !violations.is_empty()),
            violations,
        }
    }

    /// Returns a violation for each gateway that is not ready in time after the last fault.
    fn find_unready(&self) -> Vec<Violation> {
        let end = Instant::now() + READY_TIME;
        let is_ready = |g: &Arc<Mutex<Gateway>>| {
            let left = end.saturating_duration_since(Instant::now());
            wait_until(left, || lock(g).probe() == 200)
        };
        let unready = self.gateways.iter().filter(|g| !is_ready(g));
        let violation = |g: &Arc<Mutex<Gateway>>| Violation {
            promise: "ready",
            subject: format!("gateway {}", lock(g).ready),
            observed: format!("not ready {READY_TIME:?} after the last fault"),
        };
        unready.map(violation).collect()
    }

    /// Returns the requests that reached the endpoints, replaced ones included.
    fn arrivals(&self) -> Vec<Arrival> {
        let all = self.endpoints.iter().chain(&self.replaced);
        let arrivals_at = |e: &ProxiedEndpoint| {
            let endpoint = e.endpoint.id.clone();
            let arrival = move |r: crate::platform::ReceivedRequest| Arrival {
                id: r.req.header("x-attempt-id").unwrap_or("").to_owned(),
                endpoint: endpoint.clone(),
                at: r.at,
                ran: r.ran,
                pause: r.pause,
                resumed: r.req.header("kv-from").is_some(),
            };
            e.endpoint.received().into_iter().map(arrival).collect::<Vec<_>>()
        };
        all.flat_map(arrivals_at).collect()
    }

    /// Records a fault that lasts for `time` from now on.
    fn record_fault(&self, time: Duration) {
        let now = Instant::now();
        lock(&self.history).faults.push((now, now + time));
    }

    /// Records that gateway `g` is stopped, paused or restarted within `time` from now on.
    fn record_break(&self, g: usize, time: Duration) {
        let now = Instant::now();
        lock(&self.history).breaks.push((g, now, now + time));
    }

    /// Injects a fault, and records it for the checker.
    fn inject(&mut self, fault: &Fault) {
        match fault {
            Fault::Kill(g) => {
                self.record_fault(Duration::from_millis(300));
                let killed = Instant::now();
                lock(&self.gateways[*g]).restart();
                lock(&self.history).breaks.push((*g, killed, Instant::now()));
            }
            Fault::Pause(g, time) => {
                self.record_fault(*time);
                self.record_break(*g, *time);
                lock(&self.gateways[*g]).signal(libc::SIGSTOP);
                self.run_later(*time, |g| lock(g).signal(libc::SIGCONT), *g);
            }
            Fault::Stop(g) => self.stop_gateway(*g),
            Fault::Reload(g) => {
                let now = Instant::now();
                lock(&self.history).planned.push((now, now + Duration::from_secs(1)));
                lock(&self.gateways[*g]).signal(libc::SIGHUP);
            }
            Fault::StoreBusy(time) => self.start_outage(Outage::Busy, *time),
            Fault::StoreSilent(time) => self.start_outage(Outage::Silent, *time),
            Fault::Compact => {
                self.record_fault(Duration::ZERO);
                self.store.compact();
            }
            Fault::StoreReturn(time) => {
                self.record_fault(*time + Duration::from_millis(2500));
                self.record_outage(*time);
                let restore = self.store.restorer(self.store.copy());
                self.store.set_outage(Some(Outage::Busy));
                let time = *time;
                self.fault_threads.push(std::thread::spawn(move || {
                    std::thread::sleep(time);
                    restore();
                }));
            }
            Fault::Announce(e) => self.announce_leaving(*e),
            Fault::AskPause(e, time) => {
                self.endpoints[*e].endpoint.push_action(Action::Pause(*time));
            }
            Fault::StoreLink(g, mode, time) => {
                self.record_fault(*time);
                self.store_links[*g].set_mode(*mode);
                self.restore_link(&self.store_links[*g].shared_mode(), *time);
            }
            Fault::EndpointLink(e, mode, time) => {
                self.record_fault(*time);
                let link = (
                    self.endpoints[*e].endpoint.id.clone(),
                    Instant::now(),
                    Instant::now() + *time,
                );
                lock(&self.history).links.push(link);
                self.endpoints[*e].proxy.set_mode(*mode);
                self.restore_link(&self.endpoints[*e].proxy.shared_mode(), *time);
            }
            Fault::Misbehave(e, n) => self.queue_faulty_actions(*e, *n),
            Fault::Replace(e) => self.replace_endpoint(*e),
            Fault::Configure => self.publish_config(),
            Fault::CrashPart(time) => {
                self.crash_time = Some(*time);
                self.endpoints.iter().chain(&self.replaced).for_each(|e| self.arm(e));
                lock(&self.history).crash_part = Some(Instant::now());
            }
            Fault::Limit(e, limit, time) => self.state_limit(*e, *limit, *time),
            Fault::Evacuate(centre, time) => self.evacuate(centre, *time),
            Fault::ForeignKeys(n, seed) => self.write_foreign_keys(*n, *seed),
            Fault::PageItems(n) => self.store.set_page_items(*n),
        }
    }

    /// Writes keys as others do, which concern no gateway. The promises hold as without them.
    fn write_foreign_keys(&self, n: usize, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..n {
            let key = foreign::draw_key(&mut rng);
            self.store.set(&key, Some(&foreign::draw_value(&mut rng)));
        }
    }

    /// Tells a gateway to stop, and restarts it once it has, unless another fault has done so.
    fn stop_gateway(&mut self, n: usize) {
        let stopped = Instant::now();
        lock(&self.history).planned.push((stopped, stopped + GATEWAY_TIMEOUT));
        let process = lock(&self.gateways[n]).process_id();
        lock(&self.gateways[n]).signal(libc::SIGTERM);
        let history = self.history.clone();
        let restart = move |g: &Arc<Mutex<Gateway>>| {
            let has_ended =
                |g: &mut Gateway| g.process_id() != process || g.wait_for_exit(0).is_some();
            wait_until(GATEWAY_TIMEOUT, || has_ended(&mut lock(g)));
            let mut gateway = lock(g);
            if gateway.process_id() == process {
                gateway.restart();
            }
            lock(&history).breaks.push((n, stopped, Instant::now()));
        };
        self.run_later(Duration::from_millis(10), restart, n);
    }

    /// Records that the store is away for `time` from now on.
    fn record_outage(&self, time: Duration) {
        let now = Instant::now();
        lock(&self.history).outages.push((now, now + time));
    }

    /// Evacuates a data centre for some time.
    fn evacuate(&mut self, centre: &'static str, time: Duration) {
        let key = format!("op/evacuate/{centre}");
        self.store.set(&key, Some(b"{}"));
        let now = Instant::now();
        lock(&self.history).evacuations.push((centre, now, now + time));
        let remove = self.store.remover();
        self.fault_threads.push(std::thread::spawn(move || {
            std::thread::sleep(time);
            remove(&key);
        }));
    }

    /// Lets an endpoint state a limit for some time.
    fn state_limit(&mut self, e: usize, limit: f64, time: Duration) {
        let id = self.endpoints[e].endpoint.id.clone();
        self.endpoints[e].endpoint.set_headers(&format!("Server-Limit: {limit}\r\n"));
        let now = Instant::now();
        lock(&self.history).end_limit(&id, now);
        lock(&self.history).limits.push(LimitPeriod {
            endpoint: id,
            limit,
            from: now,
            to: now + time,
        });
        let end = self.endpoints[e].endpoint.header_setter();
        let (history, id) = (self.history.clone(), self.endpoints[e].endpoint.id.clone());
        self.fault_threads.push(std::thread::spawn(move || {
            std::thread::sleep(time);
            // Another limit or notice may have taken its place.
            if lock(&history)
                .limits
                .iter()
                .any(|l| l.endpoint == id && l.from == now && l.to == now + time)
            {
                end("");
            }
        }));
    }

    /// Calls a function on gateway `g` after `time`, in another thread.
    fn run_later(
        &mut self,
        time: Duration,
        action: impl Fn(&Arc<Mutex<Gateway>>) + Send + 'static,
        g: usize,
    ) {
        let gateway = self.gateways[g].clone();
        self.fault_threads.push(std::thread::spawn(move || {
            std::thread::sleep(time);
            action(&gateway);
        }));
    }

    /// Lets a proxy forward again after `time`, from another thread.
    fn restore_link(&self, link: &Arc<Mutex<ProxyMode>>, time: Duration) {
        let link = link.clone();
        std::thread::spawn(move || {
            std::thread::sleep(time);
            *lock(&link) = ProxyMode::Pass;
        });
    }

    /// Starts an outage of the store that ends after `time`.
    fn start_outage(&mut self, outage: Outage, time: Duration) {
        // Watches sent during a silent outage still wait on their connections when it has ended.
        self.record_fault(time + Duration::from_millis(2500));
        self.record_outage(time);
        self.store.set_outage(Some(outage));
        let end_outage = self.store.outage_ender();
        self.fault_threads.push(std::thread::spawn(move || {
            std::thread::sleep(time);
            end_outage();
        }));
    }

    /// Lets an endpoint reject its next `n` requests or respond to them incorrectly.
    fn queue_faulty_actions(&mut self, e: usize, n: u32) {
        self.record_fault(Duration::from_secs(2));
        let target = &self.endpoints[e];
        let mut rng = SmallRng::seed_from_u64(self.seed ^ u64::from(n));
        for _ in 0..n {
            let action = match (target.service, rng.random_range(0..8)) {
                (_, 0) => Action::NotExecuted,
                (_, 1) => Action::Reset,
                ("model", 2 | 3) => Action::TruncatedStream(0),
                (_, 2) => Action::TruncatedBody,
                (_, 3) => Action::WrongId,
                (_, 4) => Action::Unsealed,
                ("model", 6 | 7) => draw_cut_stream(&mut rng),
                _ => Action::Misdirected,
            };
            target.endpoint.push_action(action);
        }
    }

    /// Lets an endpoint drain and adds another one for its service.
    fn replace_endpoint(&mut self, e: usize) {
        let service = self.endpoints[e].service;
        let new = self.add_endpoint(service);
        let old = std::mem::replace(&mut self.endpoints[e], new);
        self.unlist(&old.endpoint.id);
        old.endpoint.start_draining();
        let centre = lock(&self.history).centres[&old.endpoint.id];
        let listing = listing(old.proxy.address, service, "draining", 0, centre);
        self.store.set(&format!("servers/{}", old.endpoint.id), Some(listing.as_bytes()));
        lock(&self.history).drained.push((old.endpoint.id.clone(), Instant::now()));
        self.replaced.push(old);
    }

    /// Lets an endpoint state that it is leaving, which the list does not say, and adds another one
    /// for its service.
    fn announce_leaving(&mut self, e: usize) {
        let new = self.add_endpoint(self.endpoints[e].service);
        let old = std::mem::replace(&mut self.endpoints[e], new);
        self.unlist(&old.endpoint.id);
        lock(&self.history).end_limit(&old.endpoint.id, Instant::now());
        old.endpoint.set_headers("Server-Leaving: 1\r\n");
        lock(&self.history).announced.push((old.endpoint.id.clone(), Instant::now()));
        self.replaced.push(old);
    }

    /// Starts caller `n`, which sends one request after the other until `stop` is set.
    fn start_caller(&self, n: u64, stop: &Arc<AtomicBool>) -> JoinHandle<Vec<CallRecord>> {
        let fronts: Vec<SocketAddr> = self.gateways.iter().map(|g| lock(g).front).collect();
        let (stop, version) = (stop.clone(), self.version.clone());
        let mut rng = SmallRng::seed_from_u64(self.seed.wrapping_mul(31) + n);
        let seed = self.seed;
        std::thread::spawn(move || {
            let mut calls = Vec::new();
            let mut open: Vec<Option<Connection>> = fronts.iter().map(|_| None).collect();
            while !stop.load(Ordering::SeqCst) {
                let id = format!("{seed:x}x{n}x{:x}", calls.len());
                let gateway = rng.random_range(0..fronts.len());
                // Some requests carry the API key of the previous version.
                let newest = version.load(Ordering::SeqCst);
                let key = if rng.random_bool(0.2) { newest.max(2) - 1 } else { newest };
                let target = Target { gateway, front: fronts[gateway], open: &mut open[gateway] };
                let has_crash_part =
                    faults::has_crash_part(seed) && calls.len() % CRASH_PART_INTERVAL == 0;
                calls.push(send_request(target, id, key, has_crash_part, &mut rng));
                std::thread::sleep(Duration::from_millis(rng.random_range(0..30)));
            }
            calls
        })
    }
}

/// Draws a stream that breaks off inside an event, or before the first.
fn draw_cut_stream(rng: &mut SmallRng) -> Action {
    let ends = [StreamEnd::Close, StreamEnd::Chunked, StreamEnd::Length, StreamEnd::Reset];
    let events = rng.random_range(0..STREAM_EVENTS.0);
    Action::CutStream(ends[rng.random_range(0..ends.len())], events, rng.random_range(1..64))
}
