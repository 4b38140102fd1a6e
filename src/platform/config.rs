//! Parses the operators' configuration, as the store holds it in JSON.
//!
//! A part that cannot be read costs what it belongs to and no more. A route of which the services
//! cannot be read stays, without any, so that its requests do not get to the route of a shorter prefix.

use super::fields::{self, Fields};
use crate::h1::RequestLimits;
use crate::id::{ServiceName, Tokens, Workspace};
use crate::limit::{Rate, Stated};
use crate::route::{
    Engine, KeyOwner, Route, RouteKind, Service, Table, TableFault, TableVersion, Urgency,
    WeightedService,
};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Urgency of a route without a priority.
const DEFAULT_URGENCY: u8 = 5;
/// Time limit of a route without one. Callers have limits of their own.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// Connections that an endpoint of a service without a number of them is taken to accept.
const DEFAULT_CONNECTIONS: u32 = 16;
/// Highest rate of requests a second that a configuration can set for an endpoint.
const MAX_COLD_LIMIT: f64 = 1e6;

#[derive(Debug, Deserialize)]
struct ConfigText<'a> {
    #[serde(borrow)]
    version: &'a RawValue,
    #[serde(default, borrow, deserialize_with = "read_null")]
    routes: Option<&'a RawValue>,
    #[serde(default, borrow, deserialize_with = "read_null")]
    services: Option<&'a RawValue>,
    #[serde(default, borrow)]
    limits: Option<&'a RawValue>,
    /// Workspaces; if the field is absent, no request needs an API key.
    #[serde(default, borrow, deserialize_with = "read_null")]
    tenants: Option<&'a RawValue>,
}

/// Reads a field that is there, so that null is told from an absent one.
fn read_null<'de, D: Deserializer<'de>>(from: D) -> Result<Option<&'de RawValue>, D::Error> {
    Deserialize::deserialize(from).map(Some)
}

/// The reason why a text is no configuration.
#[derive(Debug)]
pub enum ConfigError {
    /// It is no JSON object with a version.
    Syntax(serde_json::Error),
    /// The version is no whole number.
    Version(Box<str>),
    /// This field is no list.
    List(&'static str),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Syntax(e) => write!(f, "{e}"),
            ConfigError::Version(version) => write!(f, "version {version:?} is no whole number"),
            ConfigError::List(field) => write!(f, "{field} is no list"),
        }
    }
}

impl std::error::Error for ConfigError {}

type Object = Map<String, Value>;

/// Parses a configuration. Parts that cannot be read are left out or have defaults, and are listed in
/// the table.
///
/// # Errors
///
/// Returns [`ConfigError`] if the text as a whole is not a configuration.
pub fn parse_table(value: &[u8]) -> Result<Table, ConfigError> {
    let text: ConfigText<'_> = serde_json::from_slice(value).map_err(ConfigError::Syntax)?;
    let version = fields::whole(&fields::read_lenient(text.version));
    let version = version.ok_or_else(|| ConfigError::Version(text.version.get().into()))?;
    let mut table = Table { version: TableVersion(version), ..Table::default() };
    let mut faults = Vec::new();
    let routes = fields::entries(text.routes, "routes", &mut faults);
    for (ix, r) in routes.ok_or(ConfigError::List("routes"))?.iter().enumerate() {
        let fields = &mut Fields::new(r, "routes", &entry_name(r, ix), &mut faults);
        if let Some(route) = parse_route(fields) {
            table.add_route(route);
        }
    }
    let services = fields::entries(text.services, "services", &mut faults);
    for (ix, s) in services.ok_or(ConfigError::List("services"))?.iter().enumerate() {
        let fields = &mut Fields::new(s, "services", &entry_name(s, ix), &mut faults);
        if let Some(name) = fields.required("name", service_name) {
            table.services.insert(name, Rc::new(parse_service(fields)));
        }
    }
    add_tenants(&mut table, text.tenants, &mut faults);
    if let Some(limits) = text.limits {
        table.limits = parse_limits(&fields::read_lenient(limits), &mut faults);
    }
    table.faults = faults;
    Ok(table)
}

/// Returns the name of an entry, or else its number.
fn entry_name(entry: &Object, ix: usize) -> String {
    entry.get("name").and_then(Value::as_str).map_or_else(|| ix.to_string(), str::to_owned)
}

/// Adds the workspaces and their keys. Keys that cannot be read admit nobody.
fn add_tenants(table: &mut Table, list: Option<&RawValue>, faults: &mut Vec<TableFault>) {
    table.requires_key = list.is_some();
    let Some(tenants) = fields::entries(list, "tenants", faults) else {
        return faults.push(TableFault { place: "tenants", entry: "".into(), field: "" });
    };
    for (ix, t) in tenants.iter().enumerate() {
        let fields = &mut Fields::new(t, "tenants", &entry_name(t, ix), faults);
        let Some(workspace) = fields.required("name", fields::name(str::parse::<Workspace>)) else {
            continue;
        };
        let urgency = fields.optional("priority", fields::whole).map(Urgency);
        let key_owner = Rc::new(KeyOwner { workspace, urgency });
        for key in fields.optional("api_keys", Value::as_array).into_iter().flatten() {
            match key.as_str() {
                Some(key) => drop(table.keys.insert(Arc::from(key), key_owner.clone())),
                None => fields.fault("api_keys"),
            }
        }
    }
}

fn parse_limits(limits: &Value, faults: &mut Vec<TableFault>) -> RequestLimits {
    let usual = RequestLimits::default();
    let none = Object::new();
    let fields = &mut Fields::new(limits.as_object().unwrap_or(&none), "limits", "", faults);
    RequestLimits {
        max_head: fields.required("max_header_bytes", fields::whole).unwrap_or(usual.max_head),
        max_body: fields.required("max_body_bytes", fields::whole).unwrap_or(usual.max_body),
        // Time for the head of a request to arrive, and again for its body.
        arrival_timeout: fields
            .required("header_timeout_ms", fields::millis)
            .unwrap_or(usual.arrival_timeout),
        idle_timeout: fields
            .required("idle_timeout_ms", fields::millis)
            .unwrap_or(usual.idle_timeout),
    }
}

/// Returns a route; `None` if it cannot be known which requests are its own.
fn parse_route(r: &mut Fields<'_>) -> Option<Route> {
    let host = r.required("host", Value::as_str)?;
    let prefix = r.required("prefix", Value::as_str)?;
    // A request of an unknown kind may not run more than once.
    let kind = r.required("kind", parse_kind).unwrap_or(RouteKind::Unsafe);
    let timeout = r.required("timeout_ms", fields::millis).unwrap_or(DEFAULT_TIMEOUT);
    let target = r.required("target_latency_ms", fields::millis).unwrap_or(timeout);
    Some(Route {
        host: Arc::from(host.to_ascii_lowercase()),
        prefix: Arc::from(prefix),
        kind,
        timeout,
        target_latency: target,
        max_gap: r.optional("gap_target_ms", fields::millis).unwrap_or(target),
        urgency: Urgency(r.optional("priority", fields::whole).unwrap_or(DEFAULT_URGENCY)),
        services: parse_shares(r),
        max_attempts: r.optional("max_attempts", fields::whole).unwrap_or(1),
        // It does not mean that the route is published.
        is_keyless: r.flag("public"),
        resumable: r.flag("resumable"),
    })
}

fn parse_kind(kind: &Value) -> Option<RouteKind> {
    match kind.as_str()? {
        "safe" => Some(RouteKind::Safe),
        "unsafe" => Some(RouteKind::Unsafe),
        "streaming" => Some(RouteKind::Streaming),
        _ => None,
    }
}

/// Returns the services that a route is split between; those that cannot be read are left out.
fn parse_shares(r: &mut Fields<'_>) -> Vec<WeightedService> {
    let split = r.value("traffic_split");
    if split.is_none_or(|s| s.as_array().is_some_and(Vec::is_empty)) {
        let service = r.optional("service", service_name);
        return service.map(|service| WeightedService { service, weight: 1 }).into_iter().collect();
    }
    let mut shares = Vec::new();
    for share in r.optional("traffic_split", Value::as_array).into_iter().flatten() {
        match parse_share(share) {
            Some(share) => shares.push(share),
            None => r.fault("traffic_split"),
        }
    }
    shares
}

fn service_name(value: &Value) -> Option<ServiceName> {
    fields::name(ServiceName::from_label)(value)
}

fn parse_share(share: &Value) -> Option<WeightedService> {
    let service = service_name(share.get("service")?)?;
    Some(WeightedService { service, weight: fields::whole(share.get("weight")?)? })
}

fn parse_service(s: &mut Fields<'_>) -> Service {
    Service {
        max_connections: s
            .required("max_connections", fields::whole)
            .unwrap_or(DEFAULT_CONNECTIONS),
        health_path: s.optional("health_path", |v| v.as_str().map(Arc::from)),
        // Absent for a service that does not run generations.
        engine: s.optional("engine", parse_engine),
        cold_limit: parse_cold_limit(s),
    }
}

/// Returns an engine; `None` if it cannot be known what it can hold.
fn parse_engine(engine: &Value) -> Option<Engine> {
    let number = |field: &str| engine.get(field).and_then(Value::as_f64);
    let moves = engine.get("moves").and_then(Value::as_bool).unwrap_or_default();
    let (bytes, link) = (number("kv_token_bytes"), number("link_mbps"));
    Some(Engine {
        slots: fields::whole(engine.get("slots")?)?,
        kv_capacity: Tokens(fields::whole(engine.get("kv_capacity_tokens")?)?),
        token_bytes: bytes.unwrap_or_default() as u64,
        link_bps: link.unwrap_or_default() * 1e6,
        // How long a copy takes has to be known.
        can_migrate: moves && bytes.is_some() && link.is_some(),
        event_tokens: engine.get("stride").and_then(fields::whole).unwrap_or(1),
    })
}

/// Returns the requests a second that a cold endpoint tolerates; 0 means that there is no bound.
fn parse_cold_limit(s: &mut Fields<'_>) -> Stated {
    let Some(limit) = s.value("cold_per_s") else { return Stated::Unlimited };
    match limit.as_f64() {
        Some(0.0) => Stated::Unlimited,
        Some(n) if n > 0.0 && n <= MAX_COLD_LIMIT => Stated::Limited(Rate::per_second(n)),
        _ => {
            s.fault("cold_per_s");
            Stated::Unreadable
        }
    }
}
