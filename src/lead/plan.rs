//! Decides which orders bring the engines to the text in force.

use crate::board::{Endpoint, EndpointKey, EntryBoard};
use crate::frame::OrderAction;
use crate::text::{ServiceKind, Text};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Window over which loads are counted.
const WINDOW: Duration = Duration::from_secs(60);
/// Time after which an order without effect is given again.
const AGAIN: Duration = Duration::from_secs(30);

/// An order about to be given.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedOrder {
    /// Endpoint that gets it.
    pub endpoint: EndpointKey,
    /// What it asks.
    pub action: OrderAction,
}

/// Keeps loads within the rate of the weight store.
#[derive(Debug)]
pub struct Planner {
    rate: u32,
    loads: Vec<Instant>,
    given: HashMap<EndpointKey, (OrderAction, Instant)>,
}

impl Planner {
    /// Makes a planner that orders at most `rate` loads a minute.
    pub fn new(rate: u32) -> Self {
        Planner { rate, loads: Vec::new(), given: HashMap::new() }
    }

    /// Forgets an order that was not carried out.
    pub fn forget(&mut self, order: &PlannedOrder) {
        self.given.remove(&order.endpoint);
    }

    /// Returns the orders to give now, dependencies first.
    pub fn step(&mut self, now: Instant, board: &EntryBoard, text: &Text) -> Vec<PlannedOrder> {
        self.loads.retain(|t| *t + WINDOW > now);
        self.given.retain(|key, (action, at)| {
            let is_done = board.endpoints.get(*key).is_none_or(|e| has_effect(e, action));
            !is_done && *at + AGAIN > now
        });
        let mut orders = Vec::new();
        let wanted = wanted(text);
        for (pool, spec) in &wanted {
            self.plan_loads(now, board, pool, spec, &mut orders);
        }
        self.plan_unloads(now, board, &wanted, &mut orders);
        orders
    }

    fn plan_loads(
        &mut self,
        now: Instant,
        board: &EntryBoard,
        pool: &Arc<str>,
        spec: &Arc<str>,
        orders: &mut Vec<PlannedOrder>,
    ) {
        for (key, e) in &board.endpoints {
            let lacks = is_of(e, pool) && e.is_serving() && !has(e, spec);
            if !lacks || self.given.contains_key(&key) || self.loads.len() >= self.rate as usize {
                continue;
            }
            self.loads.push(now);
            self.give(now, key, OrderAction::Load(spec.clone()), orders);
        }
    }

    /// Unloads what the text does not name, on engines that already have all that it does.
    fn plan_unloads(
        &mut self,
        now: Instant,
        board: &EntryBoard,
        wanted: &[(Arc<str>, Arc<str>)],
        orders: &mut Vec<PlannedOrder>,
    ) {
        for (key, e) in &board.endpoints {
            let Some(k) = e.latest.as_ref().filter(|_| e.is_serving()) else { continue };
            let own: Vec<&Arc<str>> =
                wanted.iter().filter(|(p, _)| *p == k.report.pool).map(|(_, s)| s).collect();
            // Work that runs on the old version ends before it is unloaded.
            let is_ready =
                !own.is_empty() && own.iter().all(|s| has(e, s)) && k.report.running == 0;
            let stale = k.report.loaded.iter().find(|s| !own.contains(s));
            if let Some(stale) = stale.filter(|_| is_ready && !self.given.contains_key(&key)) {
                self.give(now, key, OrderAction::Unload(stale.clone()), orders);
            }
        }
    }

    fn give(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        action: OrderAction,
        orders: &mut Vec<PlannedOrder>,
    ) {
        self.given.insert(endpoint, (action.clone(), now));
        orders.push(PlannedOrder { endpoint, action });
    }
}

/// Lists the specs that the text names with their pools, dependencies first.
fn wanted(text: &Text) -> Vec<(Arc<str>, Arc<str>)> {
    let mut all = Vec::new();
    for name in text.ordered() {
        let ServiceKind::Model(spec) = &text.services[name].kind else { continue };
        let row = (Arc::from(spec.model.as_str()), Arc::from(spec.to_string()));
        if !all.contains(&row) {
            all.push(row);
        }
    }
    all
}

fn is_of(e: &Endpoint, pool: &Arc<str>) -> bool {
    e.latest.as_ref().is_some_and(|k| k.report.pool == *pool)
}

fn has(e: &Endpoint, spec: &Arc<str>) -> bool {
    e.latest.as_ref().is_some_and(|k| k.report.loaded.contains(spec))
}

fn has_effect(e: &Endpoint, action: &OrderAction) -> bool {
    match action {
        OrderAction::Load(spec) => has(e, spec),
        OrderAction::Unload(spec) => !has(e, spec),
    }
}
