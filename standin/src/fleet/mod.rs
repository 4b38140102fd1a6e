//! A complete deployment on loopback: entries and sidecars as real processes, with stand-ins for
//! engines, plain services, store and instance list.

mod daemon;

pub use daemon::Daemon;
pub use skylarkthread::clock;

use crate::engine::{Engine, Params};
use crate::host::free_address;
use crate::list::InstanceList;
use crate::plain::{CallLog, PlainService};
use crate::relay::Relay;
use crate::store::Store;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use skylarkthread::store::{ListedInstance, ListedState, Role};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Operator's key in every fleet.
pub const OPERATOR_KEY: &str = "operator-key";
/// Key that the processes of every fleet authenticate to each other with.
pub const PEER_KEY: &str = "a-key-for-loopback-only";

/// Endpoints that serve the same model or plain service.
#[derive(Debug, Clone)]
pub enum Pool {
    /// Base model, number of engines and their parameters.
    Engines(&'static str, usize, Params),
    /// Name of a plain service and number of its replicas.
    Plain(&'static str, usize),
}

/// Composition of a fleet.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of entries.
    pub entries: usize,
    /// Number of data centres, over which entries and endpoints are spread in turn.
    pub centres: usize,
    /// Pools, in the order of [`Fleet::endpoints`].
    pub pools: Vec<Pool>,
    /// Placement policy in the entries' settings.
    pub placement: &'static str,
    /// Admission policy in the sidecars' settings.
    pub admission: &'static str,
    /// Delay with which the instance list shows changes.
    pub list_lag: Duration,
    /// Whether each hop passes through a [`Relay`].
    pub relays: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            entries: 2,
            centres: 3,
            pools: Vec::new(),
            placement: "forecast",
            admission: "forecast",
            list_lag: Duration::ZERO,
            relays: false,
        }
    }
}

/// The stand-in behind a sidecar.
#[derive(Debug)]
pub enum Backend {
    /// An inference engine.
    Engine(Engine),
    /// A replica of a plain service.
    Plain(PlainService),
}

/// An endpoint: a backend with its sidecar.
#[derive(Debug)]
pub struct Endpoint {
    /// Engine or plain service that the sidecar forwards to.
    pub backend: Backend,
    /// Process of the sidecar.
    pub sidecar: Daemon,
    /// Relay between sidecar and backend, if the plan has relays.
    pub engine_relay: Option<Relay>,
    /// Relay between entries and sidecar, if the plan has relays.
    pub peer_relay: Option<Relay>,
    row: ListedInstance,
    address: SocketAddr,
    params: Option<Params>,
}

/// An entry with the relay in front of it.
#[derive(Debug)]
pub struct EntryProcess {
    /// Process of the entry.
    pub daemon: Daemon,
    /// Relay between callers and the entry, if the plan has relays.
    pub relay: Option<Relay>,
    row: ListedInstance,
}

impl EntryProcess {
    /// Returns the address that callers connect to: that of the relay, if there is one.
    pub fn address(&self) -> SocketAddr {
        self.relay.as_ref().map_or(self.daemon.http, |r| r.address)
    }
}

/// A running deployment; stopped on drop.
#[derive(Debug)]
pub struct Fleet {
    /// Stand-in for the key-value service.
    pub store: Store,
    /// Stand-in for the instance list.
    pub list: InstanceList,
    /// Calls executed by the replicas of plain services.
    pub call_log: CallLog,
    /// Endpoints in the order of the plan.
    pub endpoints: Vec<Endpoint>,
    /// Entries in the order in which they were added.
    pub entries: Vec<EntryProcess>,
    binary: PathBuf,
    dir: PathBuf,
}

/// Returns the path of the file with the operator's key in the directory of a fleet.
fn key_file(dir: &Path) -> PathBuf {
    dir.join("operator.key")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

impl Fleet {
    /// Starts a deployment whose daemons run `binary`. No configuration is submitted.
    pub fn start(binary: &Path, plan: &Plan) -> Fleet {
        let dir = std::env::temp_dir().join(format!("skylark-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&dir).expect("cannot create the fleet's temporary directory");
        // Written once: a command that runs at the same time as another one reads it too.
        std::fs::write(key_file(&dir), OPERATOR_KEY).expect("cannot write the operator's key file");
        let mut fleet = Fleet {
            store: Store::start(),
            list: InstanceList::start(plan.list_lag),
            call_log: CallLog::default(),
            endpoints: Vec::new(),
            entries: Vec::new(),
            binary: binary.to_path_buf(),
            dir,
        };
        for pool in &plan.pools {
            let n = match pool {
                Pool::Engines(_, n, _) | Pool::Plain(_, n) => *n,
            };
            for ix in 0..n {
                fleet.add_endpoint(plan, pool, ix);
            }
        }
        for ix in 0..plan.entries {
            fleet.add_entry(plan, ix);
        }
        fleet
    }

    fn settings(&self, name: &str, centre: usize, extra: Value) -> Value {
        let mut settings = json!({
            "instance": name,
            "data_centre": format!("dc-{centre}"),
            "http": free_address(),
            "peer": free_address(),
            "store": self.store.address,
            "instance_list": self.list.address,
            "peer_keys": [PEER_KEY],
        });
        if let (Some(to), Some(from)) = (settings.as_object_mut(), extra.as_object()) {
            to.extend(from.clone());
        }
        settings
    }

    fn row(settings: &Value, role: Role, peer: SocketAddr) -> ListedInstance {
        let name = |field: &str| settings[field].as_str().unwrap_or("").to_string();
        ListedInstance {
            instance: name("instance")
                .parse()
                .expect("invalid instance name in a daemon's settings"),
            centre: name("data_centre")
                .parse()
                .expect("invalid data centre in a daemon's settings"),
            role,
            peer,
            state: ListedState::Live,
        }
    }

    /// Starts endpoint `ix` of a pool and adds it to the instance list.
    pub fn add_endpoint(&mut self, plan: &Plan, pool: &Pool, ix: usize) {
        let (name, field, backend, params) = match pool {
            Pool::Engines(model, _, params) => {
                let engine = Engine::start(params.clone());
                (*model, "model", Backend::Engine(engine), Some(params.clone()))
            }
            Pool::Plain(service, _) => {
                let plain = PlainService::start(self.call_log.clone());
                (*service, "service", Backend::Plain(plain), None)
            }
        };
        let address = match &backend {
            Backend::Engine(e) => e.address,
            Backend::Plain(p) => p.address,
        };
        let engine_relay = plan.relays.then(|| Relay::start(address));
        let target = engine_relay.as_ref().map_or(address, |r| r.address);
        let endpoint = json!({ field: name, "address": target, "admission": plan.admission });
        let extra = json!({ "endpoint": endpoint });
        let settings = self.settings(&format!("{name}-{ix}"), ix % plan.centres, extra);
        let sidecar = Daemon::start(&self.binary, &self.dir, "sidecar", &settings);
        let peer_relay = plan.relays.then(|| Relay::start(sidecar.peer));
        let row = Fleet::row(
            &settings,
            Role::Endpoint,
            peer_relay.as_ref().map_or(sidecar.peer, |r| r.address),
        );
        self.list.put(row.clone());
        self.endpoints.push(Endpoint {
            backend,
            sidecar,
            engine_relay,
            peer_relay,
            row,
            address,
            params,
        });
    }

    /// Starts entry `ix` and adds it to the instance list.
    pub fn add_entry(&mut self, plan: &Plan, ix: usize) {
        let hash = hex(&Sha256::digest(OPERATOR_KEY.as_bytes()));
        let extra = json!({
            "placement": plan.placement,
            "operators": [{ "name": "ops", "key_sha256": hash }],
            "loads_per_minute": 600,
        });
        let settings = self.settings(&format!("entry-{ix}"), ix % plan.centres, extra);
        let daemon = Daemon::start(&self.binary, &self.dir, "entry", &settings);
        let relay = plan.relays.then(|| Relay::start(daemon.http));
        let row = Fleet::row(&settings, Role::Entry, daemon.peer);
        self.list.put(row.clone());
        self.entries.push(EntryProcess { daemon, relay, row });
    }

    /// Returns the address that callers use for an entry; `ix` wraps around.
    pub fn entry_address(&self, ix: usize) -> SocketAddr {
        self.entries[ix % self.entries.len()].address()
    }

    /// Marks an endpoint as leaving in the instance list.
    pub fn mark_leaving(&self, ix: usize) {
        self.list.mark_leaving(&self.endpoints[ix].row.instance);
    }

    /// Removes an endpoint from the instance list.
    pub fn unlist(&self, ix: usize) {
        self.list.remove(&self.endpoints[ix].row.instance);
    }

    /// Kills a sidecar if it still runs, and starts it again, as after a crash.
    pub fn restart_sidecar(&mut self, ix: usize) {
        self.endpoints[ix].sidecar.restart(&self.binary);
    }

    /// Kills an entry if it still runs, and starts it again, as after a crash.
    pub fn restart_entry(&mut self, ix: usize) {
        self.entries[ix].daemon.restart(&self.binary);
    }

    /// Returns the instance name of an entry.
    pub fn entry_name(&self, ix: usize) -> String {
        self.entries[ix].row.instance.to_string()
    }

    /// Returns the address at which the backend of an endpoint listens.
    pub fn backend_address(&self, ix: usize) -> SocketAddr {
        self.endpoints[ix].address
    }

    /// Stops the backend of an endpoint without closing its connections first, as in a crash.
    pub fn crash_backend(&mut self, ix: usize) {
        match &mut self.endpoints[ix].backend {
            Backend::Engine(e) => e.stop(),
            Backend::Plain(p) => p.stop(),
        }
    }

    /// Stops the backend of an endpoint, and starts it again at the same address.
    pub fn restart_backend(&mut self, ix: usize) {
        self.crash_backend(ix);
        let e = &mut self.endpoints[ix];
        e.backend = match &e.params {
            Some(params) => Backend::Engine(Engine::start_at(e.address, params.clone())),
            None => Backend::Plain(PlainService::start_at(e.address, self.call_log.clone())),
        };
    }

    /// Returns the engine of an endpoint, or `None` if it is a plain service.
    pub fn engine(&self, ix: usize) -> Option<&Engine> {
        match &self.endpoints[ix].backend {
            Backend::Engine(e) => Some(e),
            Backend::Plain(_) => None,
        }
    }

    /// Runs an operator's command against entry 0; returns its exit code and output.
    pub fn run_command(&self, args: &[&str]) -> (i32, String) {
        self.run_command_at(0, args)
    }

    /// Runs an operator's command against entry `ix`; returns its exit code and output.
    pub fn run_command_at(&self, ix: usize, args: &[&str]) -> (i32, String) {
        let entry = self.entries[ix].daemon.http.to_string();
        let out = std::process::Command::new(&self.binary)
            .arg(args[0])
            .args(["--entry", &entry, "--key"])
            .arg(key_file(&self.dir))
            .args(&args[1..])
            .output()
            .expect("cannot run the operator's command");
        let text = [out.stdout, out.stderr].concat();
        (out.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
    }

    /// Submits a configuration derived from version `from` through entry 0; returns exit code and
    /// output.
    pub fn submit(&self, config: &str, from: u64) -> (i32, String) {
        self.submit_at(0, config, from)
    }

    /// Submits a configuration derived from version `from` through entry `ix`; returns exit code
    /// and output.
    pub fn submit_at(&self, ix: usize, config: &str, from: u64) -> (i32, String) {
        let name = format!("text-{:08x}.jsonc", rand::random::<u32>());
        let file = self.dir.join(name);
        std::fs::write(&file, config).expect("cannot write the configuration file");
        let from = from.to_string();
        let file = file.to_string_lossy().into_owned();
        self.run_command_at(ix, &["submit", "--from", &from, &file])
    }

    /// Returns the status document of an entry, or `None` if it does not answer within 2 s.
    pub async fn status(&self, ix: usize) -> Option<Value> {
        let url = format!("http://{}/admin/status", self.entries[ix].daemon.http);
        let auth = ("authorization", format!("Bearer {OPERATOR_KEY}"));
        let client = awc::Client::builder().timeout(Duration::from_secs(2)).finish();
        client.get(url).insert_header(auth).send().await.ok()?.json().limit(1 << 20).await.ok()
    }

    /// Waits until an entry has adopted `version` or a later one and sees `serving` endpoints in
    /// service, engines with a model loaded; returns whether this was so within `timeout`.
    pub async fn wait_ready(
        &self,
        ix: usize,
        version: u64,
        serving: usize,
        timeout: Duration,
    ) -> bool {
        let end = clock::now() + timeout;
        while clock::now() < end {
            if let Some(s) = self.status(ix).await {
                let is_ready = |x: &&Value| {
                    let loaded = x["loaded"].as_array().is_some_and(|l| !l.is_empty());
                    x["serving"] == true && (loaded || x["capacity"] == 0)
                };
                let n = s["endpoints"].as_array().map_or(0, |a| a.iter().filter(is_ready).count());
                if s["version"].as_u64() >= Some(version) && n >= serving {
                    return true;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Waits for up to 30 s per entry until it has adopted `version` and sees all endpoints in
    /// service; returns whether all entries did.
    pub async fn wait_all_ready(&self, version: u64) -> bool {
        for ix in 0..self.entries.len() {
            if !self.wait_ready(ix, version, self.endpoints.len(), Duration::from_secs(30)).await {
                return false;
            }
        }
        true
    }

    /// Returns the directory with the daemons' logs and settings.
    pub fn log_dir(&self) -> &Path {
        &self.dir
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.clear();
        self.endpoints.clear();
        // Keeps the logs of a failed test.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
