//! Routing table: which requests are accepted, which service serves them, and their limits.

use crate::h1::RequestLimits;
use crate::id::{ServiceName, Tokens, Workspace};
use crate::limit::Stated;
use rand::Rng;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Whether the requests of a route may run more than once, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: a request may run more than once.
    Safe,
    /// Not idempotent: a request runs at most once.
    Unsafe,
    /// Generations: not idempotent, and answered with a stream of events.
    Streaming,
}

/// Urgency of a request; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency(pub u8);

impl std::fmt::Display for Urgency {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::str::FromStr for Urgency {
    type Err = std::num::ParseIntError;

    /// Parses a decimal number.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a number from 0 to 255.
    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Urgency)
    }
}

/// Service of a route, with its weight in the traffic split.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Service that requests are sent to.
    pub service: ServiceName,
    /// Weight relative to the route's other services; 0 sends no requests.
    pub weight: u32,
}

/// Requests of one host and path prefix, with their services and limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Host of the requests, in lower case and without a port.
    pub host: Arc<str>,
    /// Prefix of the paths of the requests.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once, and how it is answered.
    pub kind: RouteKind,
    /// Time limit for the answer.
    pub timeout: Duration,
    /// Time within which an answer is of full use to the caller.
    pub target_latency: Duration,
    /// Longest pause between two events with which a stream is of full use to the caller; the
    /// target latency if not configured.
    pub max_gap: Duration,
    /// Urgency of requests whose API key does not set one.
    pub urgency: Urgency,
    /// Services that the requests are split between.
    pub services: Vec<WeightedService>,
    /// Number of endpoints that one request may run on.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_keyless: bool,
    /// Whether a caller may resume a stream that was interrupted.
    pub resumable: bool,
}

impl Route {
    /// Picks a service at random by weight; `None` if all weights are 0.
    pub fn pick_service<R: Rng>(&self, rng: &mut R) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut n = if total == 0 { return None } else { rng.random_range(0..total) };
        for s in &self.services {
            if n < u64::from(s.weight) {
                return Some(&s.service);
            }
            n -= u64::from(s.weight);
        }
        None
    }
}

/// Properties of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Number of generations that run at a time.
    pub slots: u32,
    /// KV memory that running generations and cached prefixes share.
    pub kv_capacity: Tokens,
    /// Bytes of KV memory per token.
    pub token_bytes: u64,
    /// Bandwidth between two engines in bit/s.
    pub link_bps: f64,
    /// Whether running generations can migrate to another engine.
    pub can_migrate: bool,
    /// Tokens per event.
    pub event_tokens: u32,
}

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Path at which an endpoint says who it is.
    pub health_path: Option<Arc<str>>,
    /// Properties of its engines; absent for a plain service.
    pub engine: Option<Engine>,
    /// Rate of requests from all instances together that an endpoint tolerates while it is cold.
    pub cold_limit: Stated,
}

/// Workspace that an API key belongs to.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyOwner {
    /// Name of the workspace.
    pub workspace: Workspace,
    /// Urgency that takes precedence over the one of the route.
    pub urgency: Option<Urgency>,
}

/// Version of the routing table. Versions increase, not always by 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct TableVersion(pub u64);

impl std::fmt::Display for TableVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Number of characters of the name of an entry in the log.
const MAX_ENTRY_CHARS: usize = 60;

/// A part of the operators' configuration that cannot be read. What it belongs to is left out, or has
/// a default.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableFault {
    /// List or object that the part is in.
    pub place: &'static str,
    /// Name or number of its entry in a list.
    pub entry: Box<str>,
    /// Field; empty if the whole entry cannot be read.
    pub field: &'static str,
}

impl std::fmt::Display for TableFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let TableFault { place, entry, field } = self;
        let entry: String = entry.chars().take(MAX_ENTRY_CHARS).collect();
        write!(f, "{place}[{entry:?}].{field}")
    }
}

/// Routing table, built from the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// Version of the configuration.
    pub version: TableVersion,
    /// Routes by host, those with the longest prefix first.
    pub hosts: HashMap<Arc<str>, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Rc<Service>>,
    /// Workspaces by API key.
    pub keys: HashMap<Arc<str>, Rc<KeyOwner>>,
    /// Whether requests need an API key, except on routes that are keyless.
    pub requires_key: bool,
    /// Limits on requests from callers.
    pub limits: RequestLimits,
    /// What could not be read.
    pub faults: Vec<TableFault>,
}

impl Table {
    /// Adds a route, keeping the routes of its host ordered by prefix length.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.hosts.entry(route.host.clone()).or_default();
        let at = routes.partition_point(|r| r.prefix.len() >= route.prefix.len());
        routes.insert(at, Rc::new(route));
    }

    /// Returns the route of the host with the longest prefix that the path starts with.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&*host.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }
}

/// Reason why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No route matches its host and path.
    Route,
    /// Its API key is missing or unknown.
    Key,
}

impl Table {
    /// Returns the route of a request and the workspace that its API key belongs to.
    ///
    /// # Errors
    ///
    /// Returns [`Denied`] if no route matches, or if the route needs a key and the key is missing
    /// or unknown.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(Rc<Route>, Option<Rc<KeyOwner>>), Denied> {
        let route = self.find_route(host, path).ok_or(Denied::Route)?;
        let owner = key.and_then(|k| self.keys.get(k));
        if self.requires_key && !route.is_keyless && owner.is_none() {
            return Err(Denied::Key);
        }
        Ok((route.clone(), owner.cloned()))
    }

    /// Returns an API key of a workspace; `None` if it has none.
    pub fn key_of(&self, workspace: &str) -> Option<&str> {
        let mut owned = self.keys.iter().filter(|(_, o)| o.workspace.as_str() == workspace);
        owned.next().map(|(key, _)| &**key)
    }
}
