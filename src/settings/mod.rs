//! Settings of a daemon, parsed and validated when it starts.

use crate::id::{DataCentre, InstanceId, ModelName, ServiceName};
use crate::jsonc::{Fault, FaultKind, Reader};
use crate::text::parse_sha256;
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Minimum length of a key that signs frames between processes.
const MIN_KEY_BYTES: usize = 16;

/// Seconds between the signal to stop and the end of the process where the settings state none.
const DEFAULT_GRACE_S: u64 = 300;
/// Longest such time, in seconds.
const MAX_GRACE_S: u64 = 86_400;

/// Commented example, printed by `skylarkthread settings`.
pub const EXAMPLE: &str = include_str!("example.jsonc");

/// Policy by which an entry chooses an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// Lowest cost by forecast memory, step time, cached prefix and distance.
    Forecast,
    /// Endpoints in turn.
    RoundRobin,
    /// Endpoint with the fewest open requests from this entry.
    LeastRequests,
    /// Less loaded of two random endpoints.
    TwoChoices,
}

/// Policy by which a sidecar admits generations to its engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// Admits generations while their forecast memory fits the engine.
    Forecast,
    /// Admits generations immediately, without a memory forecast.
    Open,
}

/// Kind of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointKind {
    /// Engine dedicated to this base model.
    Engine(ModelName),
    /// Replica of this plain service.
    Plain(ServiceName),
}

/// Engine or plain service that a sidecar runs beside.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointSettings {
    /// Engine with its model, or replica with its service.
    pub kind: EndpointKind,
    /// HTTP address of the engine or replica.
    pub address: SocketAddr,
    /// Admission policy; has no effect on a plain service.
    pub admission: Admission,
}

/// Operator who may submit configurations.
#[derive(Debug, Clone, PartialEq)]
pub struct Operator {
    /// Name recorded with each submission.
    pub name: Arc<str>,
    /// SHA-256 of the key that the operator authenticates with.
    pub key_hash: [u8; 32],
}

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Instance that the daemon runs on.
    pub instance: InstanceId,
    /// Data centre of that instance.
    pub centre: DataCentre,
    /// Listening address for callers, operators and metric scrapes.
    pub http: SocketAddr,
    /// Listening address for frames from the system's other processes.
    pub peer: SocketAddr,
    /// Address of the platform's key-value store.
    pub store: SocketAddr,
    /// Address of the platform's instance list.
    pub instance_list: SocketAddr,
    /// Keys of frames between processes: the first one signs, each of them is accepted.
    pub peer_keys: Vec<Arc<[u8]>>,
    /// Placement policy of an entry.
    pub placement: Placement,
    /// Endpoint of a sidecar; absent for an entry.
    pub endpoint: Option<EndpointSettings>,
    /// Operators who may submit configurations through an entry.
    pub operators: Vec<Operator>,
    /// Maximum number of model loads per minute that the weight store can serve.
    pub load_rate: u32,
    /// Time from the signal to stop within which the process ends, whatever is still open.
    pub stop_grace: Duration,
}

const SETTINGS_FIELDS: &[&str] = &[
    "instance",
    "data_centre",
    "http",
    "peer",
    "store",
    "instance_list",
    "peer_keys",
    "placement",
    "endpoint",
    "operators",
    "loads_per_minute",
    "stop_grace_s",
];

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns every fault with its line and column.
    pub fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
        Reader::read(text, read_settings)
    }
}

fn read_settings<'t>(r: &mut Reader<'t>, v: &Value<'t>) -> Option<Settings> {
    let o = r.object(v, SETTINGS_FIELDS)?;
    let instance = r.required(o, "instance").and_then(|v| r.name(v));
    let centre = r.required(o, "data_centre").and_then(|v| r.name(v));
    let http = read_address(r, o, "http");
    let peer = read_address(r, o, "peer");
    let store = read_address(r, o, "store");
    let list = read_address(r, o, "instance_list");
    let keys = read_keys(r, o);
    let endpoint = match o.get("endpoint") {
        Some(p) => Some(read_endpoint(r, &p.value)?),
        None => None,
    };
    let grace_s = r.number_or(o, "stop_grace_s", DEFAULT_GRACE_S, 1..=MAX_GRACE_S);
    Some(Settings {
        stop_grace: Duration::from_secs(grace_s),
        placement: read_placement(r, o),
        operators: read_operators(r, o),
        load_rate: r.number_or(o, "loads_per_minute", 6, 1..=10_000) as u32,
        instance: instance?,
        centre: centre?,
        http: http?,
        peer: peer?,
        store: store?,
        instance_list: list?,
        peer_keys: keys?,
        endpoint,
    })
}

fn read_address<'t>(r: &mut Reader<'t>, o: &Object<'t>, name: &'static str) -> Option<SocketAddr> {
    r.required(o, name).and_then(|v| r.address(v))
}

fn read_keys<'t>(r: &mut Reader<'t>, o: &Object<'t>) -> Option<Vec<Arc<[u8]>>> {
    r.required(o, "peer_keys")?;
    let mut keys = Vec::new();
    for v in r.list(o, "peer_keys", 2) {
        let key = r.text(v)?;
        if key.len() < MIN_KEY_BYTES {
            r.report(v.start(), FaultKind::Type("a key of at least 16 bytes"));
        }
        keys.push(Arc::from(key.as_bytes()));
    }
    if keys.is_empty() {
        r.report(o.start(), FaultKind::Missing("peer_keys"));
    }
    Some(keys)
}

fn read_placement<'t>(r: &mut Reader<'t>, o: &Object<'t>) -> Placement {
    let Some(p) = o.get("placement") else { return Placement::Forecast };
    match r.text(&p.value) {
        Some("forecast") => Placement::Forecast,
        Some("round-robin") => Placement::RoundRobin,
        Some("least-requests") => Placement::LeastRequests,
        Some("two-choices") => Placement::TwoChoices,
        _ => {
            let choices = "\"forecast\", \"round-robin\", \"least-requests\", \"two-choices\"";
            r.report(p.value.start(), FaultKind::NotOneOf(choices));
            Placement::Forecast
        }
    }
}

fn read_endpoint<'t>(r: &mut Reader<'t>, v: &Value<'t>) -> Option<EndpointSettings> {
    let o = r.object(v, &["model", "service", "address", "admission"])?;
    let model = r.optional_name(o, "model").map(EndpointKind::Engine);
    let service = r.optional_name(o, "service").map(EndpointKind::Plain);
    if model.is_some() == service.is_some() {
        r.report(o.start(), FaultKind::NotOneOf("\"model\" and \"service\", but not both"));
    }
    let address = read_address(r, o, "address");
    let admission = match o.get("admission").map(|p| (p, r.text(&p.value))) {
        None | Some((_, Some("forecast"))) => Admission::Forecast,
        Some((_, Some("open"))) => Admission::Open,
        Some((p, _)) => {
            r.report(p.value.start(), FaultKind::NotOneOf("\"forecast\", \"open\""));
            Admission::Forecast
        }
    };
    Some(EndpointSettings { kind: model.or(service)?, address: address?, admission })
}

fn read_operators<'t>(r: &mut Reader<'t>, o: &Object<'t>) -> Vec<Operator> {
    let mut all: Vec<Operator> = Vec::new();
    for v in r.list(o, "operators", 100) {
        let Some(operator) = read_operator(r, v) else { continue };
        if all.iter().any(|other| other.key_hash == operator.key_hash) {
            r.report(v.start(), FaultKind::KeyHash);
        }
        all.push(operator);
    }
    all
}

fn read_operator<'t>(r: &mut Reader<'t>, v: &Value<'t>) -> Option<Operator> {
    let o = r.object(v, &["name", "key_sha256"])?;
    let name = r.required(o, "name").and_then(|v| r.text(v)).map(Arc::from);
    let value = r.required(o, "key_sha256")?;
    let hash = r.text(value).and_then(parse_sha256);
    if hash.is_none() {
        r.report(value.start(), FaultKind::KeyHash);
    }
    Some(Operator { name: name?, key_hash: hash? })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn printed_example_parses() {
        assert!(Settings::parse(EXAMPLE).is_ok());
    }

    #[test]
    fn parse_reports_all_faults() {
        let text = "{\n  \"instance\": \"A B\",\n  \"http\": \"localhost\",\n  \"peer_keys\": [\"short\"],\n  \"colour\": 1,\n  \"placement\": \"best\"\n}";
        let faults = Settings::parse(text).unwrap_err();
        let shown: Vec<String> = faults.iter().map(|f| f.to_string()).collect();
        insta::assert_snapshot!(shown.join("\n"));
    }

    #[test]
    fn key_of_two_operators_is_reported() {
        let operator =
            |name| format!("{{ \"name\": \"{name}\", \"key_sha256\": \"{}\" }}", "0a".repeat(32));
        let text = format!("{{\n\"operators\": [\n{},\n{}]\n}}", operator("ann"), operator("bea"));
        let faults = Settings::parse(&text).unwrap_err();
        let found: Vec<String> = faults.iter().map(|f| f.to_string()).collect();
        assert!(found.iter().any(|f| f.starts_with("4:1: E013")), "{found:?}");
    }
}
