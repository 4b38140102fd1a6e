//! The operators' configuration: services with their dependencies, and workspaces.

use crate::id::{ModelName, ServiceName, Tokens, Workspace};
use crate::jsonc::{Fault, FaultKind, Reader};
use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Largest configuration that is parsed.
pub const MAX_TEXT_BYTES: usize = 16 << 20;
const MAX_SERVICES: usize = 1000;
const MAX_WORKSPACES: usize = 100_000;
/// Maximum number of keys of a workspace, and of dependencies or operations of a service.
const MAX_LIST_LEN: usize = 64;

/// Model, adapter and version that an engine must have loaded to serve a model service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ModelSpec {
    /// Name of the base model.
    pub model: ModelName,
    /// Adapter applied to the base model, if any.
    pub adapter: Option<ModelName>,
    /// Version of the combination of model and adapter.
    pub version: ModelName,
}

impl std::fmt::Display for ModelSpec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let adapter = self.adapter.as_ref().map_or("", |a| a.as_str());
        write!(f, "{}+{adapter}@{}", self.model, self.version)
    }
}

/// Operation of a plain service that must run at most once.
#[derive(Debug, Clone, PartialEq)]
pub struct Operation {
    /// HTTP method in upper case.
    pub method: Arc<str>,
    /// Path of the request; a trailing `*` matches any suffix.
    pub path: Arc<str>,
}

impl Operation {
    fn matches(&self, method: &str, path: &str) -> bool {
        let is_path = match self.path.strip_suffix('*') {
            Some(start) => path.starts_with(start),
            None => path == &*self.path,
        };
        is_path && method == &*self.method
    }
}

/// Kind of a service, with what is specific to it.
#[derive(Debug, Clone, PartialEq)]
pub enum ServiceKind {
    /// Generates text on model engines.
    Model(ModelSpec),
    /// Answers plain HTTP calls; the listed operations run at most once.
    Plain(Vec<Operation>),
}

/// Configuration of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Model or plain service.
    pub kind: ServiceKind,
    /// Priority when capacity is short, 0 to 9; higher values are served first.
    pub priority: u8,
    /// Latency target of the first token for a model service, timeout of a call for a plain one.
    pub max_latency: Duration,
    /// Longest gap between two tokens that users accept.
    pub max_gap: Duration,
    /// Largest output of one generation.
    pub max_tokens: Tokens,
    /// Services that must be available for this one to work.
    pub dependencies: Vec<ServiceName>,
}

impl Service {
    /// Returns whether an operation must run at most once.
    pub fn is_once(&self, method: &str, path: &str) -> bool {
        match &self.kind {
            ServiceKind::Model(_) => false,
            ServiceKind::Plain(ops) => ops.iter().any(|o| o.matches(method, path)),
        }
    }
}

/// Configuration of one workspace, apart from its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceSettings {
    /// Weight of the workspace in the fair sharing of busy engines.
    pub weight: u32,
}

/// A valid configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Text {
    /// Services by name; their dependencies exist and have no cycles.
    pub services: BTreeMap<ServiceName, Service>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Workspace, WorkspaceSettings>,
    /// Workspaces by SHA-256 of their API keys.
    keys: HashMap<[u8; 32], Workspace>,
}

impl Text {
    /// Parses and validates a configuration.
    ///
    /// # Errors
    ///
    /// Returns every fault with its line and column.
    pub fn parse(text: &str) -> Result<Text, Vec<Fault>> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(vec![Fault {
                line: 1,
                column: 1,
                kind: FaultKind::TooMany(MAX_TEXT_BYTES),
            }]);
        }
        Reader::read(text, read_text)
    }

    /// Returns the workspace that an API key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        let hash: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        self.keys.get(&hash)
    }

    /// Returns the highest priority among a service and all services that depend on it, directly or
    /// indirectly.
    pub fn effective_priority(&self, name: &ServiceName) -> u8 {
        let own = self.services.get(name).map_or(0, |s| s.priority);
        let dependents = self.services.iter().filter(|(_, s)| s.dependencies.contains(name));
        dependents.map(|(n, _)| self.effective_priority(n)).fold(own, u8::max)
    }

    /// Returns the services in topological order: each follows its dependencies.
    pub fn dependency_order(&self) -> Vec<&ServiceName> {
        let mut done: Vec<&ServiceName> = Vec::new();
        while done.len() < self.services.len() {
            let n = done.len();
            for (name, s) in &self.services {
                let is_ready = s.dependencies.iter().all(|d| done.contains(&d));
                if is_ready && !done.contains(&name) {
                    done.push(name);
                }
            }
            // A valid configuration has no cycle, so each round adds a service.
            if done.len() == n {
                break;
            }
        }
        done
    }
}

fn read_text<'t>(r: &mut Reader<'t>, v: &Value<'t>) -> Option<Text> {
    let o = r.object(v, &["services", "workspaces"])?;
    let mut text = Text::default();
    let services = r.required(o, "services")?;
    let services = r.map(services)?;
    if services.properties.len() > MAX_SERVICES {
        r.report(services.start(), FaultKind::TooMany(MAX_SERVICES));
    }
    for p in &services.properties {
        let name = r.key(p);
        let service = read_service(r, &p.value);
        if let (Some(name), Some(service)) = (name, service) {
            text.services.insert(name, service);
        }
    }
    check_dependencies(r, &text, services);
    if let Some(p) = o.get("workspaces") {
        read_workspaces(r, &mut text, &p.value);
    }
    Some(text)
}

const SERVICE_FIELDS: &[&str] = &[
    "kind",
    "model",
    "adapter",
    "version",
    "priority",
    "first_ms",
    "gap_ms",
    "max_tokens",
    "depends_on",
    "once",
];

fn read_service<'t>(r: &mut Reader<'t>, v: &Value<'t>) -> Option<Service> {
    let o = r.object(v, SERVICE_FIELDS)?;
    let kind = r.required(o, "kind")?;
    let kind = match r.text(kind)? {
        "model" => read_model(r, o),
        "plain" => read_plain(r, o),
        _ => {
            r.report(kind.start(), FaultKind::NotOneOf("\"model\", \"plain\""));
            None
        }
    };
    let service = Service {
        priority: r.number_or(o, "priority", 5, 0..=9) as u8,
        max_latency: Duration::from_millis(r.number_or(o, "first_ms", 1800, 1..=600_000)),
        max_gap: Duration::from_millis(r.number_or(o, "gap_ms", 71, 1..=60_000)),
        max_tokens: Tokens(r.number_or(o, "max_tokens", 65_536, 1..=1_000_000) as u32),
        dependencies: r
            .list(o, "depends_on", MAX_LIST_LEN)
            .iter()
            .filter_map(|v| r.name(v))
            .collect(),
        kind: kind?,
    };
    Some(service)
}

fn read_model<'t>(r: &mut Reader<'t>, o: &Object<'t>) -> Option<ServiceKind> {
    if let Some(p) = o.get("once") {
        r.report(p.start(), FaultKind::Misplaced("once"));
    }
    let model = r.required(o, "model").and_then(|v| r.name(v));
    let version = r.required(o, "version").and_then(|v| r.name(v));
    let adapter = r.optional_name(o, "adapter");
    Some(ServiceKind::Model(ModelSpec { model: model?, adapter, version: version? }))
}

fn read_plain<'t>(r: &mut Reader<'t>, o: &Object<'t>) -> Option<ServiceKind> {
    for name in ["model", "adapter", "version", "max_tokens", "gap_ms"] {
        if let Some(p) = o.get(name) {
            r.report(p.start(), FaultKind::Misplaced(name));
        }
    }
    let ops = r.list(o, "once", MAX_LIST_LEN).iter();
    Some(ServiceKind::Plain(ops.filter_map(|v| read_operation(r, v)).collect()))
}

fn read_operation<'t>(r: &mut Reader<'t>, v: &Value<'t>) -> Option<Operation> {
    let s = r.text(v)?;
    let found = parse_operation(s);
    if found.is_none() {
        r.report(v.start(), FaultKind::Operation);
    }
    found
}

fn parse_operation(s: &str) -> Option<Operation> {
    let (method, path) = s.split_once(' ')?;
    let is_method = matches!(method, "POST" | "PUT" | "PATCH" | "DELETE");
    let stars = path.matches('*').count();
    let is_path = path.starts_with('/') && (stars == 0 || stars == 1 && path.ends_with('*'));
    (is_method && is_path).then(|| Operation { method: Arc::from(method), path: Arc::from(path) })
}

fn check_dependencies<'t>(r: &mut Reader<'t>, text: &Text, services: &Object<'t>) {
    for p in &services.properties {
        let Some(list) = p.value.as_object().and_then(|o| o.get_array("depends_on")) else {
            continue;
        };
        for v in list.elements.iter() {
            let Some(s) = v.as_string_lit() else { continue };
            // A dependency on a service that exists but has faults is not reported as unknown.
            if services.get(&s.value).is_none() {
                r.report(v.start(), FaultKind::UnknownService(s.value.as_ref().into()));
            }
        }
        check_cycle(r, text, p);
    }
}

fn check_cycle<'t>(r: &mut Reader<'t>, text: &Text, p: &ObjectProp<'t>) {
    let Ok(start) = p.name.as_str().parse::<ServiceName>() else { return };
    let mut path = vec![&start];
    if find_path(text, &start, &start, &mut path) {
        let names: Vec<&str> = path.iter().map(|n| n.as_str()).collect();
        r.report(p.start(), FaultKind::Cycle(names.join(" -> ").into()));
    }
}

/// Searches depth-first for a path of dependencies from `at` to `goal` and appends it to `path`.
///
/// Each service is expanded only once, so the search takes linear time.
fn find_path<'a>(
    text: &'a Text,
    goal: &ServiceName,
    at: &ServiceName,
    path: &mut Vec<&'a ServiceName>,
) -> bool {
    let mut stack: Vec<(&ServiceName, usize)> = vec![];
    let mut visited = std::collections::HashSet::new();
    let push = |stack: &mut Vec<(&'a ServiceName, usize)>, from: &ServiceName, depth: usize| {
        let depends = text.services.get(from).map_or(&[][..], |s| &s.dependencies);
        stack.extend(depends.iter().map(|d| (d, depth)));
    };
    push(&mut stack, at, 1);
    while let Some((next, depth)) = stack.pop() {
        path.truncate(depth);
        path.push(next);
        if next == goal {
            return true;
        }
        if visited.insert(next) {
            push(&mut stack, next, depth + 1);
        }
    }
    false
}

fn read_workspaces<'t>(r: &mut Reader<'t>, text: &mut Text, v: &Value<'t>) {
    let Some(all) = r.map(v) else { return };
    if all.properties.len() > MAX_WORKSPACES {
        r.report(all.start(), FaultKind::TooMany(MAX_WORKSPACES));
    }
    for p in &all.properties {
        let Some(name) = r.key::<Workspace>(p) else { continue };
        let Some(o) = r.object(&p.value, &["keys", "weight"]) else { continue };
        for v in r.list(o, "keys", MAX_LIST_LEN) {
            read_key(r, text, &name, v);
        }
        let weight = r.number_or(o, "weight", 1, 1..=1000) as u32;
        text.workspaces.insert(name, WorkspaceSettings { weight });
    }
}

fn read_key<'t>(r: &mut Reader<'t>, text: &mut Text, name: &Workspace, v: &Value<'t>) {
    let Some(s) = r.text(v) else { return };
    let is_new = parse_sha256(s).is_some_and(|h| text.keys.insert(h, name.clone()).is_none());
    if !is_new {
        r.report(v.start(), FaultKind::KeyHash);
    }
}

/// Parses a SHA-256 hash of 64 hexadecimal digits.
pub fn parse_sha256(s: &str) -> Option<[u8; 32]> {
    if s.len() != 64 || !s.is_ascii() {
        return None;
    }
    let mut hash = [0; 32];
    for (ix, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&s[ix * 2..ix * 2 + 2], 16).ok()?;
    }
    Some(hash)
}

#[cfg(test)]
mod tests;
