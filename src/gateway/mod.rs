//! An entry instance on the users' platform: takes callers' requests and sends each straight to
//! an endpoint.
//!
//! The modules here do I/O only. Who may send what is decided by [`crate::route`], where a
//! request goes by [`crate::balance`], what may be sent again by [`crate::budget`], and where
//! running generations move by [`crate::evacuate`].

mod attempt;
mod begin;
mod call;
mod copy;
mod follow;
mod job;
mod migrate;
mod outage;
mod peers;
mod quarantine;
mod serve;
mod stream;

use crate::admit::{Line, Reading};
use crate::budget::{Allowance, Budget};
use crate::clock;
use crate::event::{Kind, Ring};
use crate::gossip::{ConfigPull, PeerLoads, Work};
use crate::http::{self, Metrics};
use crate::id::{InstanceId, ServiceName};
use crate::platform::{GatewaySettings, KvClient, SettingsError};
use crate::pool::{Change, Pool, PoolKey};
use crate::quarantine::Quarantine;
use crate::route::Table;
use actix_http::{KeepAlive, ServiceConfig};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

/// Time between two looks at endpoints that fail or lapsed.
const STEP_TIME: Duration = Duration::from_millis(100);
/// Time between two looks at the settings file, which may change without a signal.
const RELOAD_TIME: Duration = Duration::from_secs(2);
/// Time for which a stopping instance still takes connections: the platform notices within two
/// looks, a second apart.
const LINGER_TIME: Duration = Duration::from_millis(2600);
/// Part of the time to SIGKILL that is left unused.
const GRACE_RESERVE: Duration = Duration::from_millis(600);
/// Retries that a service may save up, per instance.
const RETRY_MOST: u64 = 10;
/// Retries that a service may have at the start, per instance.
const RETRY_START: u64 = 3;
/// Share of the retries allowed overall that an instance uses, in percent: others may see more
/// failures than requests.
const RETRY_SHARE: f64 = 70.0;

/// Tells why an instance cannot run.
#[derive(Debug)]
pub enum GatewayError {
    /// The settings cannot be read.
    File(std::io::Error),
    /// The settings are wrong.
    Settings(SettingsError),
    /// The settings name no address for callers.
    NoFront,
    /// An address cannot be used.
    Bind(SocketAddr, std::io::Error),
    /// A signal cannot be watched.
    Signal(std::io::Error),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GatewayError::File(e) => write!(f, "the settings cannot be read: {e}"),
            GatewayError::Settings(e) => write!(f, "{e}"),
            GatewayError::NoFront => f.write_str("listen.front is missing"),
            GatewayError::Bind(a, e) => write!(f, "{a} cannot be used: {e}"),
            GatewayError::Signal(e) => write!(f, "signals cannot be watched: {e}"),
        }
    }
}

/// The state of an instance.
#[derive(Debug)]
struct Gateway {
    settings: RefCell<GatewaySettings>,
    ring: RefCell<Ring>,
    table: RefCell<Option<Rc<Table>>>,
    /// Text that the table was read from, for instances that are cut off from the store.
    table_text: RefCell<Box<[u8]>>,
    /// Versions that others have in force.
    config_pull: RefCell<ConfigPull>,
    pool: RefCell<Pool>,
    budget: RefCell<Budget>,
    /// Bytes of request bodies that are held.
    body_bytes: Cell<usize>,
    /// Connections of callers.
    connections: Cell<u32>,
    /// Requests that are being answered.
    active_requests: Cell<u32>,
    /// When this instance was told to stop.
    stopping_since: Cell<Option<Instant>>,
    /// Configuration of the HTTP codecs.
    codec: ServiceConfig,
    store: KvClient,
    metrics: Metrics,
    /// What other instances have under way.
    peer_loads: RefCell<PeerLoads>,
    /// Generations that wait for room.
    queue: RefCell<Line>,
    /// How fast engines read, by service.
    read_rates: RefCell<HashMap<ServiceName, Reading>>,
    /// Contents that crashed endpoints.
    quarantine: RefCell<Quarantine>,
    /// Other instances.
    peers: RefCell<HashMap<InstanceId, peers::Peer>>,
    /// Messages to other instances, and answers that are awaited.
    messenger: peers::Messenger,
    /// Revisions of the keys that were taken over.
    revisions: RefCell<HashMap<Box<str>, u64>>,
    /// Tells that the store did not answer the last question whether it does.
    store_lost: Cell<bool>,
    /// Tells that the store has news that nobody passes on.
    poll_hint: Notify,
    /// Tells that what this instance has under way has changed.
    work_changed: Notify,
}

/// Reads settings from a file.
///
/// # Errors
///
/// Returns [`GatewayError`] where the file cannot be read or is wrong.
pub fn read_settings(file: &Path) -> Result<GatewaySettings, GatewayError> {
    let text = std::fs::read_to_string(file).map_err(GatewayError::File)?;
    GatewaySettings::parse(&text).map_err(GatewayError::Settings)
}

/// Runs an instance until it is told to stop and has finished its work.
///
/// # Errors
///
/// Returns [`GatewayError`] where it cannot start.
pub async fn run(
    file: PathBuf,
    settings: GatewaySettings,
    metrics: Metrics,
    port: Option<u16>,
) -> Result<(), GatewayError> {
    let front = settings.caller_address.ok_or(GatewayError::NoFront)?;
    let gw = Rc::new(Gateway::new(&settings, metrics));
    gw.event(Kind::Started, &settings.instance, format_args!("data_centre={}", settings.centre));
    for address in
        [settings.probe_address, port.map(|p| SocketAddr::new(front.ip(), p))].into_iter().flatten()
    {
        let listener = bind(address).await?;
        actix_rt::spawn(serve::accept_probes(gw.clone(), listener));
    }
    actix_rt::spawn(serve::accept_callers(gw.clone(), bind(front).await?));
    actix_rt::spawn(follow::follow_store(gw.clone()));
    actix_rt::spawn(step(gw.clone()));
    actix_rt::spawn(outage::poll_engines(gw.clone()));
    if let Some(address) = settings.peer_address {
        peers::start(&gw, address).await.map_err(|e| GatewayError::Bind(address, e))?;
        copy::start(&gw, address).await?;
    }
    let hangups = signal(SignalKind::hangup()).map_err(GatewayError::Signal)?;
    actix_rt::spawn(reload(gw.clone(), file, hangups));
    crate::shutdown::requested().await;
    stop(&gw).await;
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<actix_rt::net::TcpListener, GatewayError> {
    http::bind(address).await.map_err(|e| GatewayError::Bind(address, e))
}

fn codec() -> ServiceConfig {
    // The times of the codec are not used: each connection here runs its own.
    let idle = KeepAlive::Timeout(Duration::from_secs(5));
    ServiceConfig::new(idle, Duration::ZERO, Duration::ZERO, false, None)
}

fn allowance(settings: &GatewaySettings) -> Allowance {
    let share = (settings.retry_ratio * RETRY_SHARE) as u64;
    Allowance { percent: share, initial: RETRY_START, max: RETRY_MOST }
}

impl Gateway {
    fn new(settings: &GatewaySettings, metrics: Metrics) -> Self {
        Gateway {
            ring: RefCell::new(Ring::new(settings.instance.clone())),
            table: RefCell::new(None),
            table_text: RefCell::default(),
            config_pull: RefCell::default(),
            pool: RefCell::new(Pool::default()),
            budget: RefCell::new(Budget::new(allowance(settings))),
            body_bytes: Cell::new(0),
            connections: Cell::new(0),
            active_requests: Cell::new(0),
            stopping_since: Cell::new(None),
            codec: codec(),
            store: KvClient::new(settings.store_address),
            metrics,
            peer_loads: RefCell::new(PeerLoads::default()),
            peers: RefCell::new(HashMap::new()),
            queue: RefCell::new(Line::default()),
            quarantine: RefCell::new(Quarantine::default()),
            messenger: peers::Messenger::default(),
            revisions: RefCell::new(HashMap::new()),
            store_lost: Cell::new(false),
            poll_hint: Notify::new(),
            read_rates: RefCell::new(HashMap::new()),
            work_changed: Notify::new(),
            settings: RefCell::new(settings.clone()),
        }
    }

    fn event(&self, kind: Kind, subject: impl Display, detail: impl Display) {
        let (subject, detail) = (subject.to_string(), detail.to_string());
        self.ring.borrow_mut().push(clock::wall(), kind, &subject, &detail);
    }

    fn log_change(&self, change: Change) {
        match change {
            Change::Joined(id) => self.event(Kind::Joined, id, ""),
            Change::Leaving(id) => self.event(Kind::Leaving, id, "from=list"),
            Change::Left(id) => self.event(Kind::Left, id, ""),
            Change::Ejected(id) => self.event(Kind::Ejected, id, ""),
            Change::Readmitted(id) => self.event(Kind::Readmitted, id, ""),
        }
    }

    /// Returns the version in force, 0 before there is one.
    fn table_version(&self) -> u64 {
        self.table.borrow().as_ref().map_or(0, |t| t.version.0)
    }

    /// Returns when this instance ends whatever runs, once it was told to stop.
    fn stop_deadline(&self) -> Option<Instant> {
        let grace = self.settings.borrow().stop_grace.saturating_sub(GRACE_RESERVE);
        self.stopping_since.get().map(|begun| begun + grace)
    }

    /// Tells whether new connections are welcome.
    fn is_ready(&self) -> bool {
        self.stopping_since.get().is_none() && self.table.borrow().is_some()
    }
}

/// Counts a request at an endpoint for as long as it lives.
#[derive(Debug)]
struct WorkGuard {
    gw: Rc<Gateway>,
    key: PoolKey,
    work: Work,
}

impl WorkGuard {
    fn new(gw: &Rc<Gateway>, key: PoolKey, work: Work) -> Self {
        gw.pool.borrow_mut().enter(key, work);
        gw.work_changed.notify_one();
        WorkGuard { gw: gw.clone(), key, work }
    }

    /// Counts the prompt as read.
    fn mark_read(&mut self) {
        let unread = std::mem::take(&mut self.work.unread);
        if unread > 0 {
            self.gw.pool.borrow_mut().read(self.key, unread);
            self.gw.work_changed.notify_one();
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.gw.pool.borrow_mut().leave(self.key, self.work);
        self.gw.work_changed.notify_one();
    }
}

async fn step(gw: Rc<Gateway>) {
    loop {
        tokio::time::sleep(STEP_TIME).await;
        let now = clock::now();
        gw.peer_loads.borrow_mut().step(now);
        gw.pool.borrow_mut().refresh_all(&mut gw.peer_loads.borrow_mut());
        let changes = gw.pool.borrow_mut().step(now);
        changes.into_iter().for_each(|c| gw.log_change(c));
        copy::fetch_newer(&gw);
    }
}

/// Takes over changed settings, on SIGHUP and when the file has changed.
async fn reload(gw: Rc<Gateway>, file: PathBuf, mut hangups: tokio::signal::unix::Signal) {
    loop {
        let is_asked = tokio::select! {
            got = hangups.recv() => got.is_some(),
            () = tokio::time::sleep(RELOAD_TIME) => false,
        };
        match read_settings(&file) {
            Ok(settings) if settings == *gw.settings.borrow() => {
                if is_asked {
                    gw.event(Kind::Reloaded, &settings.instance, "changed=false");
                }
            }
            Ok(settings) => {
                gw.event(Kind::Reloaded, &settings.instance, "changed=true");
                *gw.settings.borrow_mut() = settings;
            }
            Err(e) => log::warn!("settings stay as they were: {e}"),
        }
    }
}

/// Takes nothing new after a while, and returns when every answer is finished or time is up.
async fn stop(gw: &Gateway) {
    let begun = clock::now();
    gw.stopping_since.set(Some(begun));
    let settings = gw.settings.borrow().clone();
    gw.event(
        Kind::Draining,
        &settings.instance,
        format_args!("active={}", gw.active_requests.get()),
    );
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let now = clock::now();
        let is_done = now >= begun + LINGER_TIME && gw.active_requests.get() == 0;
        if is_done || gw.stop_deadline().is_some_and(|end| now >= end) {
            break;
        }
    }
    gw.event(
        Kind::Stopped,
        &settings.instance,
        format_args!("active={}", gw.active_requests.get()),
    );
    // The log thread gets a moment to write the last lines.
    tokio::time::sleep(Duration::from_millis(20)).await;
}

/// Spreads a time by a quarter either way, so that instances do not act together.
fn jitter(time: Duration) -> Duration {
    time.mul_f64(0.75 + rand::random::<f64>() / 2.0)
}
