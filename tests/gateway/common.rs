//! What the tests share: one or more gateways, a store and endpoints.

use standin::host::free_address;
use standin::platform::{Endpoint, Reply, Sent, Store, send};
use std::io::Read;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// The first configuration: a route of each kind, one service of each sort.
pub const CONFIG: &str = r#"{"version":7,
"routes":[
 {"name":"r1","host":"app.example","prefix":"/safe/","kind":"safe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2},
 {"name":"r2","host":"app.example","prefix":"/unsafe/","kind":"unsafe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":1},
 {"name":"r3","host":"app.example","prefix":"/stream/","kind":"streaming","timeout_ms":9000,"target_latency_ms":1500,"priority":1,"service":"model","max_attempts":1,"sticky":true,"gap_target_ms":180},
 {"name":"r4","host":"app.example","prefix":"/open/","kind":"safe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":1,"public":true}],
"services":[
 {"name":"plain","health_path":"/healthz","max_connections":50},
 {"name":"model","health_path":"/healthz","max_connections":50,"engine":{"slots":8,"kv_capacity_tokens":30000,"kv_token_bytes":163840.0,"link_mbps":24000.0,"moves":true,"backups":true,"stride":1,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,"idle_timeout_ms":3000},
"tenants":[{"name":"acme","api_keys":["key-1"]},{"name":"other","api_keys":["key-2"]}]}"#;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A gateway process.
pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
    pub file: std::path::PathBuf,
}

impl Gateway {
    /// Starts a gateway on the store.
    pub fn start(store: &Store) -> Gateway {
        let (front, ready) = (free_address(), free_address());
        let name = format!("g-{}", NEXT.fetch_add(1, Ordering::Relaxed));
        let dir = std::env::temp_dir().join(format!("gateway-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the folder can be made");
        let file = dir.join(format!("{name}.conf"));
        std::fs::write(&file, settings(&name, front, ready, store.address)).expect("it is written");
        let child = Command::new(env!("CARGO_BIN_EXE_skylarkthread"))
            .arg("gateway")
            .env("SKYLARKTHREAD_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the binary runs");
        let gateway = Gateway { front, ready, child, file };
        assert!(wait(5, || TcpStream::connect(front).is_ok()), "the gateway listens");
        gateway
    }

    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the id is that of a child that has not been waited for, so it is not reused.
        unsafe {
            libc::kill(self.child.id() as i32, signal);
        }
    }

    /// Tells what it says when it is asked for readiness.
    pub fn readiness(&self) -> u16 {
        send(self.ready, b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .reply()
            .status
    }

    /// Waits for the process to end.
    pub fn exit(&mut self, secs: u64) -> Option<i32> {
        let child = &mut self.child;
        let mut code = None;
        wait(secs, || {
            code = child.try_wait().expect("the child can be waited for");
            code.is_some()
        });
        code.and_then(|c| c.code())
    }

    /// Returns what it has logged; it is killed for that.
    pub fn log(mut self) -> String {
        let _ = self.child.kill();
        let mut text = String::new();
        if let Some(mut out) = self.child.stdout.take() {
            out.read_to_string(&mut text).expect("the log is text");
        }
        text
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings(name: &str, front: SocketAddr, ready: SocketAddr, store: SocketAddr) -> String {
    let inner = free_address();
    assert_eq!(inner.ip(), front.ip());
    let ip: IpAddr = front.ip();
    let port = inner.port();
    format!(
        "node={name}\nclass=front\nip={ip}\nzone=z-a\nlisten.front={front}\nlisten.ready={ready}\n\
        internal_port_range={port},{port}\nlimits.memory_mb=110\nlimits.max_fds=4100\n\
        bounds.grace_s=4\nbounds.retry_budget_ratio=0.2\nbounds.pass_ms=120\n\
        platform.address={store}\nnew.field=1\n"
    )
}

/// Polls until `is_true`, for at most `secs`.
pub fn wait(secs: u64, mut is_true: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs(secs);
    while Instant::now() < end {
        if is_true() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(15));
    }
    false
}

/// Starts a store with the configuration and the endpoints, and a gateway that knows them.
pub fn start(endpoints: &[(&Endpoint, &str)]) -> (Store, Gateway) {
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    endpoints.iter().for_each(|(e, service)| list(&store, e, service, "ready"));
    let gateway = Gateway::start(&store);
    assert!(wait(5, || gateway.readiness() == 200), "the gateway is ready");
    (store, gateway)
}

/// Writes the entry of an endpoint.
pub fn list(store: &Store, e: &Endpoint, service: &str, state: &str) {
    store.set(&format!("servers/{}", e.id), Some(e.entry(service, state).as_bytes()));
}

/// Makes the bytes of a request.
pub fn request(method: &str, path: &str, id: &str, extra: &str, body: &str) -> Vec<u8> {
    let length =
        if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: {id}\r\n\
        Authorization: Bearer key-1\r\nX-Deadline-Ms: 5000\r\n{extra}{length}\r\n{body}"
    )
    .into_bytes()
}

/// Sends a request and reads the answer.
pub fn call(gateway: &Gateway, method: &str, path: &str, id: &str) -> Reply {
    send(gateway.front, &request(method, path, id, "", "")).reply()
}

/// Begins a stream.
pub fn stream(gateway: &Gateway, id: &str) -> Sent {
    let extra = "X-Model: m\r\nX-Token-Counts: 100,500\r\nX-Prompt-Prefix: ab:100\r\n";
    send(gateway.front, &request("POST", "/stream/x", id, extra, "prompt"))
}

/// Returns the events that a stream of `n` consists of.
pub fn events(n: u64) -> String {
    (1..=n).map(|ix| format!("id: {ix}\ndata: token-{ix}\n\n")).collect()
}
