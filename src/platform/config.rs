//! Parses the operators' configuration, as the store holds it in JSON.

use crate::h1::RequestLimits;
use crate::id::Tokens;
use crate::limit::{Rate, Stated};
use crate::route::{
    Engine, KeyOwner, Route, RouteKind, Service, Table, TableVersion, Urgency, WeightedService,
};
use serde::Deserialize;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Urgency of a route without a priority.
const DEFAULT_URGENCY: u8 = 5;
/// Highest rate of requests a second that a configuration can set for an endpoint.
const MAX_COLD_LIMIT: f64 = 1e6;

#[derive(Debug, Deserialize)]
struct ConfigText {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteText>,
    #[serde(default)]
    services: Vec<ServiceText>,
    #[serde(default)]
    limits: Option<LimitsText>,
    /// Workspaces; if the field is absent, no request needs an API key.
    #[serde(default)]
    tenants: Option<Vec<TenantText>>,
}

#[derive(Debug, Deserialize)]
struct RouteText {
    host: Box<str>,
    prefix: Arc<str>,
    /// `safe`, `unsafe` or `streaming`.
    kind: Box<str>,
    timeout_ms: f64,
    /// Time within which an answer is of full use to the caller.
    target_latency_ms: f64,
    /// Urgency, from 0 for the most urgent.
    #[serde(default)]
    priority: Option<u8>,
    /// The only service of a route without `traffic_split`.
    #[serde(default)]
    service: Option<Box<str>>,
    #[serde(default)]
    traffic_split: Option<Vec<SplitText>>,
    /// Number of endpoints that one request may run on.
    #[serde(default)]
    max_attempts: Option<u32>,
    /// Whether requests need no API key. It does not mean that the route is published.
    #[serde(default)]
    public: bool,
    /// Whether a caller may resume a stream that was interrupted.
    #[serde(default)]
    resumable: bool,
    /// Longest allowed pause between two events; a limit, not a target.
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
    /// Connections that one endpoint accepts from all callers together.
    max_connections: u32,
    /// Path at which an endpoint answers with its id.
    #[serde(default)]
    health_path: Option<Arc<str>>,
    /// Absent for a service that does not run generations.
    #[serde(default)]
    engine: Option<EngineText>,
    /// Requests a second that a cold endpoint tolerates; 0 if there is no bound.
    #[serde(default)]
    cold_per_s: f64,
}

#[derive(Debug, Deserialize)]
struct EngineText {
    /// Number of generations that run at a time.
    slots: u32,
    /// KV memory that running generations and cached prefixes share.
    kv_capacity_tokens: u32,
    kv_token_bytes: f64,
    /// Bandwidth between two engines in Mbit/s.
    link_mbps: f64,
    /// Whether running generations can move to another engine.
    #[serde(default)]
    moves: bool,
    /// Tokens per event.
    #[serde(default)]
    stride: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct LimitsText {
    max_header_bytes: usize,
    max_body_bytes: usize,
    /// Time for the head of a request to arrive, and again for its body.
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

#[derive(Debug, Deserialize)]
struct TenantText {
    name: Box<str>,
    #[serde(default)]
    api_keys: Vec<Arc<str>>,
    /// Urgency that takes precedence over the one of the route.
    #[serde(default)]
    priority: Option<u8>,
}

/// Parses a configuration. Routes, services and workspaces that are not valid are skipped with a
/// warning.
///
/// # Errors
///
/// Returns an error if the text as a whole is not a configuration.
pub fn parse_table(value: &[u8]) -> Result<Table, serde_json::Error> {
    let text: ConfigText = serde_json::from_slice(value)?;
    let mut table = Table { version: TableVersion(text.version), ..Table::default() };
    for r in &text.routes {
        match parse_route(r) {
            Some(route) => table.add_route(route),
            None => log::warn!("skipped invalid route: host {}, prefix {}", r.host, r.prefix),
        }
    }
    for s in &text.services {
        match s.name.parse() {
            Ok(name) => drop(table.services.insert(name, Rc::new(parse_service(s)))),
            Err(e) => log::warn!("skipped service with invalid name {:?}: {e}", s.name),
        }
    }
    table.requires_key = text.tenants.is_some();
    for t in text.tenants.iter().flatten() {
        match t.name.parse() {
            Ok(workspace) => {
                let key_owner = Rc::new(KeyOwner { workspace, urgency: t.priority.map(Urgency) });
                table.keys.extend(t.api_keys.iter().map(|k| (k.clone(), key_owner.clone())));
            }
            Err(e) => log::warn!("skipped workspace with invalid name {:?}: {e}", t.name),
        }
    }
    if let Some(l) = &text.limits {
        table.limits = RequestLimits {
            max_head: l.max_header_bytes,
            max_body: l.max_body_bytes,
            arrival_timeout: millis(l.header_timeout_ms),
            idle_timeout: millis(l.idle_timeout_ms),
        };
    }
    Ok(table)
}

fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or_default()
}

fn parse_route(r: &RouteText) -> Option<Route> {
    let kind = match &*r.kind {
        "safe" => RouteKind::Safe,
        "unsafe" => RouteKind::Unsafe,
        "streaming" => RouteKind::Streaming,
        _ => return None,
    };
    let mut shares = Vec::new();
    for s in r.traffic_split.iter().flatten() {
        shares.push(WeightedService { service: s.service.parse().ok()?, weight: s.weight });
    }
    if let (true, Some(service)) = (shares.is_empty(), &r.service) {
        shares.push(WeightedService { service: service.parse().ok()?, weight: 1 });
    }
    let target = millis(r.target_latency_ms);
    Some(Route {
        host: Arc::from(r.host.to_ascii_lowercase()),
        prefix: r.prefix.clone(),
        kind,
        timeout: millis(r.timeout_ms),
        target_latency: target,
        max_gap: r.gap_target_ms.map_or(target, millis),
        urgency: Urgency(r.priority.unwrap_or(DEFAULT_URGENCY)),
        services: shares,
        max_attempts: r.max_attempts.unwrap_or(1),
        is_keyless: r.public,
        resumable: r.resumable,
    })
}

fn parse_service(s: &ServiceText) -> Service {
    let engine = s.engine.as_ref().map(|e| Engine {
        slots: e.slots,
        kv_capacity: Tokens(e.kv_capacity_tokens),
        token_bytes: e.kv_token_bytes as u64,
        link_bps: e.link_mbps * 1e6,
        can_migrate: e.moves,
        event_tokens: e.stride.unwrap_or(1),
    });
    let health_path = s.health_path.clone();
    Service {
        max_connections: s.max_connections,
        health_path,
        engine,
        cold_limit: parse_cold_limit(s),
    }
}

fn parse_cold_limit(s: &ServiceText) -> Stated {
    match s.cold_per_s {
        0.0 => Stated::Unlimited,
        n if n > 0.0 && n <= MAX_COLD_LIMIT => Stated::Limited(Rate::per_second(n)),
        n => {
            log::warn!("ignored cold_per_s of service {}: {n} is no rate of requests", s.name);
            Stated::Unreadable
        }
    }
}
