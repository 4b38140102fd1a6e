//! The settings of a daemon, checked as a whole at start.

use crate::id::{DataCentre, InstanceId, ModelName, ServiceName};
use crate::jsonc::{Fault, FaultKind, Reader};
use crate::text::parse_sha256;
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use std::net::SocketAddr;
use std::sync::Arc;

/// Shortest key between processes, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// An annotated example, printed by `skylarkthread settings`.
pub const EXAMPLE: &str = include_str!("example.jsonc");

/// How an entry chooses an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// By forecast memory, step time, prefix and distance.
    Forecast,
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest requests of this entry.
    LeastRequests,
    /// The less loaded of two random endpoints.
    TwoChoices,
}

/// How a sidecar admits generations to its engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// Within the forecast memory of the engine.
    Forecast,
    /// At once.
    Open,
}

/// What an endpoint is.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointKind {
    /// An engine set aside for this base model.
    Engine(ModelName),
    /// A replica of this plain service.
    Plain(ServiceName),
}

/// The engine or plain service beside a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointSettings {
    /// Engine or plain service.
    pub kind: EndpointKind,
    /// Address of the engine or plain service.
    pub address: SocketAddr,
    /// How generations are admitted.
    pub admission: Admission,
}

/// An operator who may submit texts.
#[derive(Debug, Clone, PartialEq)]
pub struct Operator {
    /// Name recorded with a submission.
    pub name: Arc<str>,
    /// SHA-256 of the operator's key.
    pub key_hash: [u8; 32],
}

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Instance the daemon runs on.
    pub instance: InstanceId,
    /// Data centre of the instance.
    pub centre: DataCentre,
    /// Address for callers, operators and scrapes.
    pub http: SocketAddr,
    /// Address for the system's own processes.
    pub peer: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the instance list.
    pub instance_list: SocketAddr,
    /// Keys between processes; the first signs, all are accepted.
    pub peer_keys: Vec<Arc<[u8]>>,
    /// How an entry chooses an endpoint.
    pub placement: Placement,
    /// What stands beside a sidecar; absent for an entry.
    pub endpoint: Option<EndpointSettings>,
    /// Operators who may submit texts through an entry.
    pub operators: Vec<Operator>,
    /// Loads per minute that the weight store allows.
    pub load_rate: u32,
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
];

impl Settings {
    /// Reads and checks settings.
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
    Some(Settings {
        placement: read_placement(r, o),
        operators: r.list(o, "operators", 100).iter().filter_map(|v| read_operator(r, v)).collect(),
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
            r.report(v.start(), FaultKind::Type("a key of 16 bytes or more"));
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
            let words = "\"forecast\", \"round-robin\", \"least-requests\", \"two-choices\"";
            r.report(p.value.start(), FaultKind::NotOneOf(words));
            Placement::Forecast
        }
    }
}

fn read_endpoint<'t>(r: &mut Reader<'t>, v: &Value<'t>) -> Option<EndpointSettings> {
    let o = r.object(v, &["model", "service", "address", "admission"])?;
    let model = r.optional_name(o, "model").map(EndpointKind::Engine);
    let service = r.optional_name(o, "service").map(EndpointKind::Plain);
    if model.is_some() == service.is_some() {
        r.report(o.start(), FaultKind::NotOneOf("\"model\", \"service\", and just one of them"));
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
    fn the_printed_example_is_accepted() {
        assert!(Settings::parse(EXAMPLE).is_ok());
    }

    #[test]
    fn every_fault_is_listed_at_once() {
        let text = "{\n  \"instance\": \"A B\",\n  \"http\": \"localhost\",\n  \"peer_keys\": [\"short\"],\n  \"colour\": 1,\n  \"placement\": \"best\"\n}";
        let faults = Settings::parse(text).unwrap_err();
        let shown: Vec<String> = faults.iter().map(|f| f.to_string()).collect();
        insta::assert_snapshot!(shown.join("\n"));
    }
}
