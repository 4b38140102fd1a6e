//! Shared setup of the gateway tests: gateways, a store and endpoints.

use standin::platform::{Action, Connection, Endpoint, Gateway, Reply, Store, send, wait_until};
use std::net::SocketAddr;
use std::path::Path;

/// Initial configuration: a route of each kind, a plain service and a service with engines.
pub const CONFIG: &str = r#"{"version":7,
"routes":[
 {"name":"r1","host":"app.example","prefix":"/safe/","kind":"safe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2},
 {"name":"r2","host":"app.example","prefix":"/unsafe/","kind":"unsafe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":1},
 {"name":"r3","host":"app.example","prefix":"/stream/","kind":"streaming","timeout_ms":9000,"target_latency_ms":1500,"priority":1,"service":"model","max_attempts":1,"sticky":true,"gap_target_ms":180},
 {"name":"r5","host":"app.example","prefix":"/resume/","kind":"streaming","timeout_ms":9000,"target_latency_ms":1500,"priority":1,"service":"model","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":180},
 {"name":"r4","host":"app.example","prefix":"/open/","kind":"safe","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":1,"public":true}],
"services":[
 {"name":"plain","health_path":"/healthz","max_connections":50},
 {"name":"model","health_path":"/healthz","max_connections":50,"engine":{"slots":8,"kv_capacity_tokens":30000,"kv_token_bytes":163840.0,"link_mbps":24000.0,"moves":true,"backups":true,"stride":1,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,"idle_timeout_ms":3000},
"tenants":[{"name":"acme","api_keys":["key-1"]},{"name":"other","api_keys":["key-2"]}]}"#;

/// Time in which a configuration applies, with the platform's allowance for an instance that starts.
pub const APPLY_SECS: u64 = 7;

/// Polls until `is_true` returns true, for at most `secs` seconds; returns whether it did.
pub fn wait_for(secs: u64, is_true: impl FnMut() -> bool) -> bool {
    wait_until(std::time::Duration::from_secs(secs), is_true)
}

/// Starts a gateway that uses the store.
pub fn start_gateway(store: &Store) -> Gateway {
    start_gateway_at(store.address)
}

/// Starts a gateway that uses the store at an address, such as that of a proxy.
pub fn start_gateway_at(store: SocketAddr) -> Gateway {
    Gateway::start(Path::new(env!("CARGO_BIN_EXE_skylarkthread")), store)
}

/// Starts a store with [`CONFIG`] and the endpoints, and a gateway, and waits for its readiness.
pub fn start_platform(endpoints: &[(&Endpoint, &str)]) -> (Store, Gateway) {
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    endpoints.iter().for_each(|(e, service)| list_endpoint(&store, e, service, "ready"));
    let gateway = start_gateway(&store);
    assert!(wait_for(5, || gateway.readiness() == 200), "gateway not ready within 5 s");
    (store, gateway)
}

/// Writes the list entry of an endpoint into the store.
pub fn list_endpoint(store: &Store, e: &Endpoint, service: &str, state: &str) {
    store.set(&format!("servers/{}", e.id), Some(e.listing(service, state).as_bytes()));
}

/// Starts a store with a configuration and an endpoint.
pub fn start_store() -> (Endpoint, Store) {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    list_endpoint(&store, &e, "plain", "ready");
    (e, store)
}

/// Checks that an instance is ready in time, and serves.
pub fn assert_serves(gateway: &mut Gateway) {
    let is_ready = wait_for(APPLY_SECS, || gateway.probe() == 200);
    assert!(!gateway.has_ended(), "the process has ended");
    assert!(is_ready, "not ready within {APPLY_SECS} s");
    assert_eq!(send_request(gateway, "GET", "/safe/x", "id-1").status, 200);
}

/// Builds a request as sent on the wire, with `extra` header lines.
pub fn request_bytes(method: &str, path: &str, id: &str, extra: &str, body: &str) -> Vec<u8> {
    let length =
        if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let deadline = if extra.contains("X-Deadline-Ms") { "" } else { "X-Deadline-Ms: 5000\r\n" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: {id}\r\n\
        Authorization: Bearer key-1\r\n{deadline}{extra}{length}\r\n{body}"
    )
    .into_bytes()
}

/// Sends a request without a body and reads the response.
pub fn send_request(gateway: &Gateway, method: &str, path: &str, id: &str) -> Reply {
    send(gateway.front, &request_bytes(method, path, id, "", "")).reply()
}

/// Header lines of a request for a generation.
pub const GENERATION: &str = "X-Model: m\r\nX-Token-Counts: 100,500\r\nX-Prompt-Prefix: ab:100\r\n";

/// Sends a request for a generation.
pub fn start_stream(gateway: &Gateway, id: &str) -> Connection {
    send(gateway.front, &request_bytes("POST", "/stream/x", id, GENERATION, "prompt"))
}

/// Sends a request for a generation that has to end within the route's timeout of 9 s.
pub fn start_long_stream(gateway: &Gateway, id: &str) -> Connection {
    let extra = format!("X-Deadline-Ms: 9000\r\n{GENERATION}");
    send(gateway.front, &request_bytes("POST", "/stream/x", id, &extra, "prompt"))
}

/// Returns the body of a complete stream of `n` events.
pub fn expected_events(n: u64) -> String {
    (1..=n).map(|ix| format!("id: {ix}\ndata: token-{ix}\n\n")).collect()
}
