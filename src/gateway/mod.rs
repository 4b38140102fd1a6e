//! A gateway instance on the users' platform: accepts callers' requests and forwards each directly
//! to an endpoint.
//!
//! The modules here only do I/O. [`crate::route`] decides who may send what, [`crate::balance`]
//! selects the endpoint of a request, [`crate::budget`] limits retries, and [`crate::evacuate`]
//! selects the engines that running generations move to.

mod admission;
mod attempt;
mod begin;
mod call;
mod callers;
mod copy;
mod digests;
mod evacuation;
mod examine;
mod explain;
mod follow;
mod inbox;
mod job;
mod limits;
mod listeners;
mod membership;
mod memory;
mod migrate;
mod outage;
mod parts;
mod pauses;
mod peers;
mod quarantine;
mod readiness;
mod refusals;
mod reload;
mod respond;
mod retries;
mod serve;
mod stats;
mod stop;
mod stream;
mod suspects;
mod transfer;
mod unread;

use crate::admit::{PrefillRate, WaitQueue};
use crate::backlog::{Backlog, HeldKey};
use crate::budget::SharedBudget;
use crate::callers::{CallerKey, Callers};
use crate::clock;
use crate::escape::log_value;
use crate::evacuate::LinkScheduler;
use crate::event::{EventRing, Kind, WaveLog};
use crate::gossip::{ConfigPull, Outages, PeerLoads, StorePosition, Work};
use crate::http::Metrics;
use crate::id::{InstanceId, ServiceName};
use crate::limit::Allocator;
use crate::platform::{GatewaySettings, KvClient};
use crate::pool::{Change, Pool, PoolKey};
use crate::prompts::Pauses;
use crate::quarantine::{Quarantine, Runs};
use crate::readiness::{Obstacle, Watch, wait_settings};
use crate::reload::SettingsFile;
use crate::route::Table;
use crate::shutdown::{StopSignals, run_stop};
use crate::store::Applied;
use crate::task::{self, Unfinished};
use actix_http::{KeepAlive, ServiceConfig};
use listeners::Listeners;
use slotmap::SecondaryMap;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt::{self, Display};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Mutex, Notify};

/// Interval at which peer loads, endpoint states and configuration pulls are brought up to date.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

/// The reason why an instance cannot start, or has not stopped in order.
#[derive(Debug)]
pub enum GatewayError {
    /// A signal handler cannot be installed.
    Signal(std::io::Error),
    /// The stop has not come to its end before the process would be killed.
    Stop(Unfinished),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GatewayError::Signal(e) => write!(f, "cannot install a signal handler: {e}"),
            GatewayError::Stop(e) => write!(f, "the stop has {e}"),
        }
    }
}

/// State of an instance, shared by all of its tasks.
#[derive(Debug)]
struct Gateway {
    settings: RefCell<GatewaySettings>,
    ring: RefCell<EventRing>,
    memory: RefCell<memory::MemoryState>,
    /// Changes of the fleet that are not in the log yet.
    waves: RefCell<WaveLog>,
    /// Operators' configuration in force; `None` until the first one is known.
    table: RefCell<Option<Rc<Table>>>,
    /// Notified when the first configuration is put into force.
    table_known: Notify,
    /// Serialized form of `table`, sent to instances that cannot reach the store.
    table_text: RefCell<Box<[u8]>>,
    /// Decides when to pull a newer configuration from a peer.
    config_pull: RefCell<ConfigPull>,
    pool: RefCell<Pool>,
    /// Part of this instance in the retries of all.
    retries: RefCell<SharedBudget>,
    /// Bytes held for callers and endpoints.
    backlog: RefCell<Backlog>,
    /// Notified when the backlog has decided anew on a response.
    unread: RefCell<SecondaryMap<HeldKey, Rc<Notify>>>,
    /// What stands between this instance and its readiness.
    readiness: readiness::ReadinessState,
    /// Whether connections of callers are accepted.
    callers_accepted: Rc<Cell<bool>>,
    /// Whether connections of readiness checks are accepted on the address of the settings.
    probes_accepted: Rc<Cell<bool>>,
    /// Open connections from callers.
    callers: RefCell<Callers>,
    /// Notified when a connection has to be closed.
    closing: RefCell<SecondaryMap<CallerKey, Rc<Notify>>>,
    /// Number of requests in progress.
    active_requests: Cell<u32>,
    /// How far the stop of this instance has come.
    stop: stop::StopState,
    /// Configuration of the HTTP/1 codecs.
    codec: ServiceConfig,
    store: KvClient,
    metrics: Metrics,
    /// Work that other instances have in progress at endpoints.
    peer_loads: RefCell<PeerLoads>,
    /// Generations waiting for an engine that can admit them.
    queue: RefCell<WaitQueue>,
    /// Prefill rates of engines, by service.
    prefill_rates: RefCell<HashMap<ServiceName, PrefillRate>>,
    /// Pauses of streams by service, as seen by this instance.
    pauses: RefCell<HashMap<ServiceName, Pauses>>,
    /// Copies of generations that this instance has granted.
    links: RefCell<LinkScheduler>,
    /// Permits for limited endpoints that this instance has granted.
    allocator: RefCell<Allocator>,
    /// Detects suspensions of the machine, after which permits are dropped.
    suspension: RefCell<clock::Suspension>,
    /// Delays of the maintenance, which any other task of the thread may have had too.
    lag: RefCell<clock::Lag>,
    /// Notified when permits for a limited endpoint are due to be requested.
    permits_due: Notify,
    /// When this instance last sent notices of the limits that it coordinates.
    limits_sent: Cell<Option<Instant>>,
    /// Contents of requests and parts of prompts that have crashed endpoints.
    quarantine: RefCell<Quarantine>,
    /// Runs that may still crash their endpoints.
    runs: RefCell<Runs<examine::Host>>,
    /// Endpoints that are checked for a crash.
    crash_checks: RefCell<examine::Checks>,
    /// Endpoints that were found down of late.
    downs: RefCell<examine::Downs>,
    /// Notified when a part of a prompt or a content is refused, to write it to the store.
    refusal_added: Notify,
    /// Notified when a part is refused, to stop generations that wait for their first event.
    parts_changed: Notify,
    /// Refused parts and contents that the store holds.
    published: RefCell<HashSet<refusals::Refused>>,
    /// Other instances that are registered in the store, or were and are still heard from.
    peers: RefCell<HashMap<InstanceId, peers::Peer>>,
    /// Sends messages to peers and matches their replies with requests.
    messenger: peers::Messenger,
    /// Position in the store up to which this instance has all changes.
    store_position: RefCell<StorePosition>,
    /// What was applied of the store, to discard changes and lists that arrive late.
    applied: RefCell<Applied>,
    /// Whether the store has the registration of this instance.
    registration: membership::RegistrationState,
    /// Outages of the store that this instance or another one has noticed.
    outages: RefCell<Outages>,
    /// State of the reads of all followed keys.
    full_read: Cell<parts::FullRead>,
    /// Whether the last check found the store unreachable.
    store_lost: Cell<bool>,
    /// Notified when the store has changes that a reader did not include in its message.
    poll_hint: Notify,
    /// Notified when the work of this instance at an endpoint changes.
    work_changed: Notify,
}

/// Runs an instance until it is asked to stop and has finished its requests.
///
/// The settings in `file` are waited for, and read again when they change; `name_log` is called with
/// the name of the instance once it is known. If `port` is set, readiness and metrics are also served
/// on this port of the address for callers.
///
/// # Errors
///
/// Returns [`GatewayError`] if the instance cannot start, or does not come to the end of its stop in time.
pub async fn run(
    file: PathBuf,
    metrics: Metrics,
    port: Option<u16>,
    name_log: impl FnOnce(&InstanceId),
) -> Result<(), GatewayError> {
    let begun = clock::now();
    crate::memory::map_buffers();
    let mut stop_signals = StopSignals::install().map_err(GatewayError::Signal)?;
    // A hang-up from here on makes the file be read again.
    let hangups = Rc::new(Mutex::new(signal(SignalKind::hangup()).map_err(GatewayError::Signal)?));
    let mut file = SettingsFile::new(file);
    let mut watch = Watch::new(begun, Obstacle::Settings);
    let usable = file.wait_usable(&mut stop_signals, reload::parse_first);
    let usable = wait_settings(&mut watch, usable).await;
    let Some((settings, front)) = usable else { return Ok(()) };
    name_log(&settings.instance);
    let listeners = Listeners::open(&settings, front, port);
    let gw = Rc::new(Gateway::new(&settings, metrics, watch));
    callers::step(&gw);
    let centre = log_value(settings.centre.as_str());
    gw.event(Kind::Started, &settings.instance, format_args!("data_centre={centre}"));
    readiness::step(&gw, clock::now());
    readiness::watch_stalls(&gw);
    if let Some(opening) = listeners.probes {
        serve::start_probes(&gw, opening);
    }
    if let Some(opening) = listeners.metrics {
        serve::start_metrics(&gw, opening);
    }
    serve::start_callers(&gw, listeners.callers);
    keep(&gw, "store", follow::follow_store);
    keep(&gw, "slow store", follow::read_slowly);
    keep(&gw, "parts of the store", parts::follow);
    keep(&gw, "maintenance", run_maintenance);
    keep(&gw, "relief", callers::relieve);
    keep(&gw, "outages", outage::poll_engines);
    keep(&gw, "refusals", refusals::publish_refused);
    keep(&gw, "permits", limits::request_permits);
    if let Some(peers) = listeners.peers {
        inbox::start(&gw, peers);
    }
    let file = Rc::new(Mutex::new(file));
    keep(&gw, "reload", move |gw| reload::run(gw, file.clone(), hangups.clone()));
    stop_signals.wait().await;
    let grace = gw.settings.borrow().stop_grace;
    let drain = gw.stop.begin(clock::now(), grace);
    run_stop(drain, || stop::run(&gw)).await.map_err(GatewayError::Stop)
}

/// Starts a task that serves as long as the process runs.
fn keep<F: Future<Output = ()>>(
    gw: &Rc<Gateway>,
    name: &'static str,
    run: impl Fn(Rc<Gateway>) -> F + 'static,
) {
    let gw = gw.clone();
    task::keep(name, move || run(gw.clone()));
}

fn codec() -> ServiceConfig {
    // The timeouts of the codec are not used; each connection applies its own.
    let idle = KeepAlive::Timeout(Duration::from_secs(5));
    ServiceConfig::new(idle, Duration::ZERO, Duration::ZERO, false, None)
}

impl Gateway {
    fn new(settings: &GatewaySettings, metrics: Metrics, watch: Watch) -> Self {
        Gateway {
            readiness: readiness::ReadinessState::new(watch, clock::now()),
            ring: RefCell::new(EventRing::new(settings.instance.clone())),
            waves: RefCell::default(),
            table: RefCell::new(None),
            table_known: Notify::new(),
            table_text: RefCell::default(),
            config_pull: RefCell::default(),
            pool: RefCell::new(Pool::default()),
            retries: RefCell::new(SharedBudget::new(
                clock::now(),
                settings.retry_terms,
                settings.is_first_start,
            )),
            backlog: RefCell::new(Backlog::new(settings.memory_bytes())),
            unread: RefCell::default(),
            callers_accepted: Rc::default(),
            probes_accepted: Rc::default(),
            callers: RefCell::default(),
            closing: RefCell::default(),
            memory: RefCell::default(),
            active_requests: Cell::new(0),
            stop: stop::StopState::default(),
            codec: codec(),
            store: KvClient::new(settings.store_address),
            metrics,
            peer_loads: RefCell::new(PeerLoads::default()),
            peers: RefCell::new(HashMap::new()),
            queue: RefCell::new(WaitQueue::default()),
            links: RefCell::default(),
            allocator: RefCell::new(Allocator::new(clock::now())),
            suspension: RefCell::new(clock::Suspension::new(clock::suspended())),
            lag: RefCell::new(clock::Lag::new(clock::now() + MAINTENANCE_INTERVAL)),
            permits_due: Notify::new(),
            limits_sent: Cell::default(),
            quarantine: RefCell::new(Quarantine::default()),
            runs: RefCell::default(),
            crash_checks: RefCell::default(),
            downs: RefCell::default(),
            refusal_added: Notify::new(),
            parts_changed: Notify::new(),
            published: RefCell::default(),
            messenger: peers::Messenger::default(),
            applied: RefCell::new(Applied::new(&follow::FOLLOWED_KEYS)),
            store_position: RefCell::default(),
            outages: RefCell::default(),
            full_read: Cell::default(),
            store_lost: Cell::new(false),
            registration: membership::RegistrationState::default(),
            poll_hint: Notify::new(),
            prefill_rates: RefCell::new(HashMap::new()),
            pauses: RefCell::new(HashMap::new()),
            work_changed: Notify::new(),
            settings: RefCell::new(settings.clone()),
        }
    }

    /// Returns a function that records events of listening sockets.
    fn recorder(self: &Rc<Self>) -> impl Fn(Kind, &str, &str) + use<> {
        let gw = self.clone();
        move |kind, subject, detail| gw.event(kind, subject, detail)
    }

    fn event(&self, kind: Kind, subject: impl Display, detail: impl Display) {
        let (subject, detail) = (subject.to_string(), detail.to_string());
        self.ring.borrow_mut().push(clock::wall(), kind, &subject, &detail);
    }

    /// Records a change of which many may come at once, and which all instances notice.
    fn wave_event(&self, kind: Kind, subject: impl Display, detail: impl Display) {
        let (subject, detail) = (subject.to_string(), detail.to_string());
        self.waves.borrow_mut().add(clock::now(), kind, &subject, &detail);
    }

    fn log_change(&self, change: Change) {
        match change {
            Change::Joined(id) => self.wave_event(Kind::Joined, id, ""),
            Change::Leaving(id) => self.event(Kind::Leaving, id, "from=list"),
            Change::Left(id) => self.event(Kind::Left, id, ""),
            Change::Ejected(id) => self.event(Kind::Ejected, id, "why=failures"),
            Change::Outlying(id) => self.event(Kind::Ejected, id, "why=outlier"),
            Change::Readmitted(id) => self.event(Kind::Readmitted, id, ""),
            Change::Cold(id) => self.wave_event(Kind::Cold, id, ""),
            Change::Warm(id) => self.wave_event(Kind::Warm, id, ""),
        }
    }

    /// Returns the version of the configuration in force, or 0 if there is none yet.
    fn table_version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |t| t.version.0)
    }

    /// Returns whether new connections should be sent to this instance.
    fn is_ready(&self) -> bool {
        readiness::obstacle(self).is_none()
    }
}

/// Counts work at an endpoint until it is dropped.
#[derive(Debug)]
struct WorkGuard {
    gw: Rc<Gateway>,
    key: PoolKey,
    work: Work,
}

impl WorkGuard {
    fn new(gw: &Rc<Gateway>, key: PoolKey, work: Work) -> Self {
        gw.pool.borrow_mut().add_work(key, work);
        gw.work_changed.notify_one();
        WorkGuard { gw: gw.clone(), key, work }
    }

    /// Counts the prompt tokens as processed by the engine.
    fn finish_prefill(&mut self) {
        let unread = std::mem::take(&mut self.work.unread);
        if unread > 0 {
            self.gw.pool.borrow_mut().finish_prefill(self.key, unread);
            self.gw.work_changed.notify_one();
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.gw.pool.borrow_mut().remove_work(self.key, self.work);
        self.gw.work_changed.notify_one();
    }
}

/// Step of the maintenance.
type Step = fn(&Rc<Gateway>, Instant);

/// Steps of the maintenance by name. A panic of one leaves the others as they are.
const MAINTENANCE_STEPS: [(&str, Step); 11] = [
    ("readiness", |gw, now| readiness::step(gw, now)),
    ("peers", |gw, now| membership::step(gw, now)),
    ("pool", step_pool),
    ("quarantine", |gw, _| quarantine::step(gw)),
    ("backlog", |gw, _| unread::step(gw)),
    ("connections", |gw, _| callers::step(gw)),
    ("memory", |gw, now| memory::step(gw, now)),
    ("limits", |gw, now| limits::step(gw, now)),
    ("retries", |gw, now| retries::step(gw, now)),
    ("evacuations", |gw, now| evacuation::step(gw, now)),
    ("configuration", |gw, _| copy::fetch_newer(gw)),
];

async fn run_maintenance(gw: Rc<Gateway>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        let now = clock::now();
        let delay = gw.lag.borrow_mut().record(now, MAINTENANCE_INTERVAL);
        metrics::histogram!("lag_seconds").record(delay.as_secs_f64());
        for (name, step) in MAINTENANCE_STEPS {
            // A panic has been logged, and the step is due again after the interval.
            let _ = task::step(name, || step(&gw, now));
        }
    }
}

/// Brings the endpoints and the work of other instances up to date, and logs what has changed.
fn step_pool(gw: &Rc<Gateway>, now: Instant) {
    gw.peer_loads.borrow_mut().step(now);
    gw.pool.borrow_mut().update_all_peer_work(&mut gw.peer_loads.borrow_mut());
    let changes = gw.pool.borrow_mut().step(now);
    changes.into_iter().for_each(|c| gw.log_change(c));
    let waves = gw.waves.borrow_mut().step(now);
    waves.into_iter().for_each(|w| gw.event(w.kind, w.subject, w.detail));
}

/// Varies a duration randomly by up to a quarter either way, so that instances do not act in
/// lockstep.
fn jitter(duration: Duration) -> Duration {
    duration.mul_f64(0.75 + rand::random::<f64>() / 2.0)
}
