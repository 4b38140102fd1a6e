//! The operators' configuration in the store.

use crate::h1::Limits;
use crate::id::Tokens;
use crate::route::{Engine, Kind, Member, Route, Service, Share, Table, TableVersion, Urgency};
use serde::Deserialize;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Rank of a route that names none.
const NO_URGENCY: u8 = 5;

#[derive(Debug, Deserialize)]
struct ConfigText {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteText>,
    #[serde(default)]
    services: Vec<ServiceText>,
    #[serde(default)]
    limits: Option<LimitsText>,
    #[serde(default)]
    tenants: Option<Vec<TenantText>>,
}

#[derive(Debug, Deserialize)]
struct RouteText {
    host: Box<str>,
    prefix: Arc<str>,
    kind: Box<str>,
    timeout_ms: f64,
    target_latency_ms: f64,
    #[serde(default)]
    priority: Option<u8>,
    /// The only service, where the route has no split.
    #[serde(default)]
    service: Option<Box<str>>,
    #[serde(default)]
    traffic_split: Option<Vec<SplitText>>,
    #[serde(default)]
    max_attempts: Option<u32>,
    /// Tells that no key is asked for, not that the route is listed anywhere.
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    /// Longest pause between events, whatever its name says of a target.
    #[serde(default)]
    gap_target_ms: Option<f64>,
}

#[derive(Debug, Deserialize)]
struct SplitText {
    service: Box<str>,
    weight: u32,
}

#[derive(Debug, Deserialize)]
struct ServiceText {
    name: Box<str>,
    max_connections: u32,
    #[serde(default)]
    engine: Option<EngineText>,
}

#[derive(Debug, Deserialize)]
struct EngineText {
    slots: u32,
    /// Memory that running requests and cached parts share.
    kv_capacity_tokens: u32,
    kv_token_bytes: f64,
    link_mbps: f64,
    #[serde(default)]
    moves: bool,
    /// Tokens of one event.
    #[serde(default)]
    stride: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct LimitsText {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

#[derive(Debug, Deserialize)]
struct TenantText {
    name: Box<str>,
    #[serde(default)]
    api_keys: Vec<Arc<str>>,
    #[serde(default)]
    priority: Option<u8>,
}

/// Reads a configuration; a route, service or workspace that cannot be read is skipped.
///
/// # Errors
///
/// Returns an error where the text is no configuration at all.
pub fn parse_table(value: &[u8]) -> Result<Table, serde_json::Error> {
    let text: ConfigText = serde_json::from_slice(value)?;
    let mut table = Table { version: TableVersion(text.version), ..Table::default() };
    for r in &text.routes {
        match scan_route(r) {
            Some(route) => table.add(route),
            None => log::warn!("a route of host {} at {} cannot be read", r.host, r.prefix),
        }
    }
    for s in &text.services {
        match s.name.parse() {
            Ok(name) => drop(table.services.insert(name, Rc::new(scan_service(s)))),
            Err(e) => log::warn!("a service cannot be read: {e}"),
        }
    }
    table.keyed = text.tenants.is_some();
    for t in text.tenants.iter().flatten() {
        match t.name.parse() {
            Ok(workspace) => {
                let member = Rc::new(Member { workspace, urgency: t.priority.map(Urgency) });
                table.keys.extend(t.api_keys.iter().map(|k| (k.clone(), member.clone())));
            }
            Err(e) => log::warn!("a workspace cannot be read: {e}"),
        }
    }
    if let Some(l) = &text.limits {
        table.limits = Limits {
            head: l.max_header_bytes,
            body: l.max_body_bytes,
            arrival: millis(l.header_timeout_ms),
            idle: millis(l.idle_timeout_ms),
        };
    }
    Ok(table)
}

fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or_default()
}

fn scan_route(r: &RouteText) -> Option<Route> {
    let kind = match &*r.kind {
        "safe" => Kind::Safe,
        "unsafe" => Kind::Unsafe,
        "streaming" => Kind::Streaming,
        _ => return None,
    };
    let mut shares = Vec::new();
    for s in r.traffic_split.iter().flatten() {
        shares.push(Share { service: s.service.parse().ok()?, weight: s.weight });
    }
    if let (true, Some(service)) = (shares.is_empty(), &r.service) {
        shares.push(Share { service: service.parse().ok()?, weight: 1 });
    }
    let target = millis(r.target_latency_ms);
    Some(Route {
        host: Arc::from(r.host.to_ascii_lowercase()),
        prefix: r.prefix.clone(),
        kind,
        timeout: millis(r.timeout_ms),
        target,
        pause: r.gap_target_ms.map_or(target, millis),
        urgency: Urgency(r.priority.unwrap_or(NO_URGENCY)),
        shares,
        attempts: r.max_attempts.unwrap_or(1),
        open: r.public,
        resumable: r.resumable,
    })
}

fn scan_service(s: &ServiceText) -> Service {
    let engine = s.engine.as_ref().map(|e| Engine {
        slots: e.slots,
        memory: Tokens(e.kv_capacity_tokens),
        token_bytes: e.kv_token_bytes as u64,
        link_bits: e.link_mbps * 1e6,
        moves: e.moves,
        stride: e.stride.unwrap_or(1),
    });
    Service { connections: s.max_connections, engine }
}
