//! Which requests are served, by which service, and on what terms.

use crate::h1::RequestLimits;
use crate::id::{ServiceName, Tokens, Workspace};
use rand::Rng;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Not idempotent: runs once at most.
    Unsafe,
    /// A generation, which is not idempotent, answered as a stream of events.
    Streaming,
}

/// A rank from 0, the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency(pub u8);

impl std::fmt::Display for Urgency {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl std::str::FromStr for Urgency {
    type Err = std::num::ParseIntError;

    /// Reads a whole number.
    ///
    /// # Errors
    ///
    /// Returns an error where the text is no number from 0 to 255.
    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Urgency)
    }
}

/// A service that a route may send to, with its weight among the others.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceName,
    /// Weight; 0 sends nothing there.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Host that it answers for, in lower case and without a port.
    pub host: Arc<str>,
    /// Start of the paths that it takes.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is of full use.
    pub target_latency: Duration,
    /// Longest pause between events within which an answer is of full use.
    pub max_gap: Duration,
    /// Rank.
    pub urgency: Urgency,
    /// Services, with weights.
    pub services: Vec<WeightedService>,
    /// Endpoints that one request may run on.
    pub max_attempts: u32,
    /// Tells that no key is asked for.
    pub is_keyless: bool,
    /// Tells that a caller may go on with a stream that broke off.
    pub resumable: bool,
}

impl Route {
    /// Draws a service by weight; `None` where all weights are 0.
    pub fn pick_service<R: Rng>(&self, rng: &mut R) -> Option<&ServiceName> {
        let total: u32 = self.services.iter().map(|s| s.weight).sum();
        let mut n = if total == 0 { return None } else { rng.random_range(0..total) };
        for s in &self.services {
            if n < s.weight {
                return Some(&s.service);
            }
            n -= s.weight;
        }
        None
    }
}

/// What the engines of a service are like.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Generations that run at one time.
    pub slots: u32,
    /// Memory for prompts and output.
    pub kv_capacity: Tokens,
    /// Bytes of memory that a token takes.
    pub token_bytes: u64,
    /// Bits a second between engines.
    pub link_bps: f64,
    /// Tells that a running generation may move to another engine.
    pub can_migrate: bool,
    /// Tokens of one event.
    pub event_tokens: u32,
}

/// What the operators say of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that one endpoint takes from all callers.
    pub max_connections: u32,
    /// Engines; absent for a plain service.
    pub engine: Option<Engine>,
}

/// A workspace as the operators name it.
#[derive(Debug, Clone, PartialEq)]
pub struct KeyOwner {
    /// Workspace.
    pub workspace: Workspace,
    /// Rank that goes before that of a route.
    pub urgency: Option<Urgency>,
}

/// Counts versions of the table; they grow, by uneven steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct TableVersion(pub u64);

impl std::fmt::Display for TableVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The operators' intent as a whole.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// Version.
    pub version: TableVersion,
    /// Routes of each host, longest prefix first.
    pub hosts: HashMap<Arc<str>, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Rc<Service>>,
    /// Workspaces by key.
    pub keys: HashMap<Arc<str>, Rc<KeyOwner>>,
    /// Tells that requests need a key unless their route is open.
    pub requires_key: bool,
    /// Limits on what callers send.
    pub limits: RequestLimits,
}

impl Table {
    /// Adds a route, keeping the longest prefix first.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.hosts.entry(route.host.clone()).or_default();
        let at = routes.partition_point(|r| r.prefix.len() >= route.prefix.len());
        routes.insert(at, Rc::new(route));
    }

    /// Finds the route of the longest prefix that begins the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&*host.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }
}

/// Tells why a request is not let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No route takes its host and path.
    Route,
    /// Its key is missing or unknown.
    Key,
}

impl Table {
    /// Finds the route of a request and the workspace that its key belongs to.
    ///
    /// # Errors
    ///
    /// Returns [`Denied`] where the table does not allow the request.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(Rc<Route>, Option<Rc<KeyOwner>>), Denied> {
        let route = self.find_route(host, path).ok_or(Denied::Route)?;
        let member = key.and_then(|k| self.keys.get(k));
        if self.requires_key && !route.is_keyless && member.is_none() {
            return Err(Denied::Key);
        }
        Ok((route.clone(), member.cloned()))
    }
}
