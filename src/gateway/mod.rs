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
mod membership;
mod migrate;
mod outage;
mod pauses;
mod peers;
mod quarantine;
mod refusals;
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
use crate::evacuate::LinkScheduler;
use crate::event::{EventRing, Kind, WaveLog};
use crate::gossip::{ConfigPull, Outages, PeerLoads, StorePosition, Work};
use crate::http::{self, Metrics};
use crate::id::{InstanceId, ServiceName};
use crate::limit::Allocator;
use crate::platform::{GatewaySettings, KvClient, SettingsError};
use crate::pool::{Change, Pool, PoolKey};
use crate::prompts::Pauses;
use crate::quarantine::{Quarantine, Runs};
use crate::route::Table;
use crate::shutdown::StopSignals;
use crate::store::Position;
use actix_http::{KeepAlive, ServiceConfig};
use slotmap::SecondaryMap;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

/// Interval at which peer loads, endpoint states and configuration pulls are brought up to date.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the settings file is read again, since it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// The reason why an instance cannot start.
#[derive(Debug)]
pub enum GatewayError {
    /// The settings file cannot be read.
    File(std::io::Error),
    /// The settings file is not valid.
    Settings(SettingsError),
    /// The settings do not contain `listen.front`, the address for callers.
    NoFront,
    /// Listening on an address failed.
    Bind(SocketAddr, std::io::Error),
    /// A signal handler cannot be installed.
    Signal(std::io::Error),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GatewayError::File(e) => write!(f, "cannot read the settings file: {e}"),
            GatewayError::Settings(e) => write!(f, "{e}"),
            GatewayError::NoFront => f.write_str("listen.front is missing"),
            GatewayError::Bind(a, e) => write!(f, "cannot listen on {a}: {e}"),
            GatewayError::Signal(e) => write!(f, "cannot install a signal handler: {e}"),
        }
    }
}

/// State of an instance, shared by all of its tasks.
#[derive(Debug)]
struct Gateway {
    settings: RefCell<GatewaySettings>,
    ring: RefCell<EventRing>,
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
    /// Other instances registered in the store.
    peers: RefCell<HashMap<InstanceId, peers::Peer>>,
    /// Sends messages to peers and matches their replies with requests.
    messenger: peers::Messenger,
    /// Position in the store up to which this instance has all changes.
    store_position: RefCell<StorePosition>,
    /// Latest applied change of each store key, to discard changes that arrive late.
    revisions: RefCell<HashMap<Box<str>, Position>>,
    /// Whether the store has the registration of this instance.
    registration: membership::RegistrationState,
    /// Outages of the store that this instance or another one has noticed.
    outages: RefCell<Outages>,
    /// Whether the last check found the store unreachable.
    store_lost: Cell<bool>,
    /// Notified when the store has changes that a reader did not include in its message.
    poll_hint: Notify,
    /// Notified when the work of this instance at an endpoint changes.
    work_changed: Notify,
}

/// Reads and parses a settings file.
///
/// # Errors
///
/// Returns [`GatewayError`] if the file cannot be read or is not valid.
pub fn read_settings(file: &Path) -> Result<GatewaySettings, GatewayError> {
    let text = std::fs::read_to_string(file).map_err(GatewayError::File)?;
    GatewaySettings::parse(&text).map_err(GatewayError::Settings)
}

/// Runs an instance until it is asked to stop and has finished its requests.
///
/// `file` is read again when it changes. If `port` is set, readiness and metrics are also served on
/// this port of the address for callers.
///
/// # Errors
///
/// Returns [`GatewayError`] if the instance cannot start.
pub async fn run(
    file: PathBuf,
    settings: GatewaySettings,
    metrics: Metrics,
    port: Option<u16>,
) -> Result<(), GatewayError> {
    let mut stop_signals = StopSignals::install().map_err(GatewayError::Signal)?;
    let hangups = signal(SignalKind::hangup()).map_err(GatewayError::Signal)?;
    let front = settings.caller_address.ok_or(GatewayError::NoFront)?;
    let gw = Rc::new(Gateway::new(&settings, metrics));
    callers::step(&gw);
    gw.event(Kind::Started, &settings.instance, format_args!("data_centre={}", settings.centre));
    for address in
        [settings.probe_address, port.map(|p| SocketAddr::new(front.ip(), p))].into_iter().flatten()
    {
        let listener = bind(address).await?;
        actix_rt::spawn(serve::accept_probes(gw.clone(), listener));
    }
    actix_rt::spawn(serve::accept_callers(gw.clone(), bind(front).await?));
    actix_rt::spawn(follow::follow_store(gw.clone()));
    actix_rt::spawn(run_maintenance(gw.clone()));
    actix_rt::spawn(callers::relieve(gw.clone()));
    actix_rt::spawn(outage::poll_engines(gw.clone()));
    actix_rt::spawn(refusals::publish_refused(gw.clone()));
    actix_rt::spawn(limits::request_permits(gw.clone()));
    if let Some(address) = settings.peer_address {
        inbox::start(&gw, address).await.map_err(|e| GatewayError::Bind(address, e))?;
        copy::start(&gw, address).await?;
        actix_rt::spawn(suspects::run_gossip(gw.clone()));
    }
    actix_rt::spawn(reload(gw.clone(), file, hangups));
    stop_signals.wait().await;
    stop::run(&gw).await;
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<actix_rt::net::TcpListener, GatewayError> {
    http::bind(address).await.map_err(|e| GatewayError::Bind(address, e))
}

fn codec() -> ServiceConfig {
    // The timeouts of the codec are not used; each connection applies its own.
    let idle = KeepAlive::Timeout(Duration::from_secs(5));
    ServiceConfig::new(idle, Duration::ZERO, Duration::ZERO, false, None)
}

impl Gateway {
    fn new(settings: &GatewaySettings, metrics: Metrics) -> Self {
        Gateway {
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
            callers: RefCell::default(),
            closing: RefCell::default(),
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
            revisions: RefCell::new(HashMap::new()),
            store_position: RefCell::default(),
            outages: RefCell::default(),
            store_lost: Cell::new(false),
            registration: membership::RegistrationState::default(),
            poll_hint: Notify::new(),
            prefill_rates: RefCell::new(HashMap::new()),
            pauses: RefCell::new(HashMap::new()),
            work_changed: Notify::new(),
            settings: RefCell::new(settings.clone()),
        }
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
        !self.stop.is_requested() && self.table.borrow().is_some()
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

async fn run_maintenance(gw: Rc<Gateway>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        let now = clock::now();
        let delay = gw.lag.borrow_mut().record(now, MAINTENANCE_INTERVAL);
        metrics::histogram!("lag_seconds").record(delay.as_secs_f64());
        gw.peer_loads.borrow_mut().step(now);
        gw.pool.borrow_mut().update_all_peer_work(&mut gw.peer_loads.borrow_mut());
        let changes = gw.pool.borrow_mut().step(now);
        changes.into_iter().for_each(|c| gw.log_change(c));
        let waves = gw.waves.borrow_mut().step(now);
        waves.into_iter().for_each(|w| gw.event(w.kind, w.subject, w.detail));
        quarantine::step(&gw);
        unread::step(&gw);
        callers::step(&gw);
        limits::step(&gw, now);
        retries::step(&gw, now);
        evacuation::step(&gw, now);
        copy::fetch_newer(&gw);
    }
}

/// Applies changed settings, on SIGHUP and when a periodic check finds the file changed.
async fn reload(gw: Rc<Gateway>, file: PathBuf, mut hangups: tokio::signal::unix::Signal) {
    loop {
        let is_requested = tokio::select! {
            received = hangups.recv() => received.is_some(),
            () = tokio::time::sleep(RELOAD_INTERVAL) => false,
        };
        match read_settings(&file) {
            Ok(settings) if settings == *gw.settings.borrow() => {
                if is_requested {
                    gw.event(Kind::Reloaded, &settings.instance, "changed=false");
                }
            }
            Ok(settings) => {
                gw.event(Kind::Reloaded, &settings.instance, "changed=true");
                *gw.settings.borrow_mut() = settings;
            }
            Err(e) => log::warn!("settings not reloaded, the previous ones stay in force: {e}"),
        }
    }
}

/// Varies a duration randomly by up to a quarter either way, so that instances do not act in
/// lockstep.
fn jitter(duration: Duration) -> Duration {
    duration.mul_f64(0.75 + rand::random::<f64>() / 2.0)
}
