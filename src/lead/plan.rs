//! Plans the orders that load and unload models until the engines match the configuration in
//! force.

use crate::board::{Endpoint, EndpointKey, EntryBoard};
use crate::frame::OrderAction;
use crate::text::{ServiceKind, Text};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Window over which load orders are counted for the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(60);
/// Time after which an order without effect is sent again.
const RETRY_AFTER: Duration = Duration::from_secs(30);

/// An order to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedOrder {
    pub endpoint: EndpointKey,
    pub action: OrderAction,
}

/// Plans orders, and limits loads to the rate that the weight store can serve.
#[derive(Debug)]
pub struct Planner {
    /// Limit of load orders within [`RATE_WINDOW`].
    rate: u32,
    /// Times of the load orders within [`RATE_WINDOW`].
    loads: Vec<Instant>,
    /// Orders that have been sent and have no effect yet.
    pending: HashMap<EndpointKey, (OrderAction, Instant)>,
}

impl Planner {
    /// Creates a planner that orders at most `rate` loads per minute.
    pub fn new(rate: u32) -> Self {
        Planner { rate, loads: Vec::new(), pending: HashMap::new() }
    }

    /// Removes an order that was not carried out, so that it can be planned again at once.
    pub fn forget(&mut self, order: &PlannedOrder) {
        self.pending.remove(&order.endpoint);
    }

    /// Returns the orders to send now, dependencies first.
    pub fn step(&mut self, now: Instant, board: &EntryBoard, text: &Text) -> Vec<PlannedOrder> {
        self.loads.retain(|t| *t + RATE_WINDOW > now);
        self.pending.retain(|key, (action, at)| {
            let is_done = board.endpoints.get(*key).is_none_or(|e| has_effect(e, action));
            !is_done && *at + RETRY_AFTER > now
        });
        let mut orders = Vec::new();
        let required = required_specs(text);
        for (pool, spec) in &required {
            self.plan_loads(now, board, pool, spec, &mut orders);
        }
        self.plan_unloads(now, board, &required, &mut orders);
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
            let is_missing = is_in_pool(e, pool) && e.is_serving() && !has_loaded(e, spec);
            if !is_missing
                || self.pending.contains_key(&key)
                || self.loads.len() >= self.rate as usize
            {
                continue;
            }
            self.loads.push(now);
            self.add_order(now, key, OrderAction::Load(spec.clone()), orders);
        }
    }

    /// Unloads models that the configuration does not name, on engines that have loaded all models
    /// that it names for their pool.
    fn plan_unloads(
        &mut self,
        now: Instant,
        board: &EntryBoard,
        required: &[(Arc<str>, Arc<str>)],
        orders: &mut Vec<PlannedOrder>,
    ) {
        for (key, e) in &board.endpoints {
            let Some(k) = e.latest.as_ref().filter(|_| e.is_serving()) else { continue };
            let own: Vec<&Arc<str>> =
                required.iter().filter(|(p, _)| *p == k.report.pool).map(|(_, s)| s).collect();
            // Generations on the old version end before it is unloaded.
            let may_unload =
                !own.is_empty() && own.iter().all(|s| has_loaded(e, s)) && k.report.running == 0;
            let stale = k.report.loaded.iter().find(|s| !own.contains(s));
            if let Some(stale) = stale.filter(|_| may_unload && !self.pending.contains_key(&key)) {
                self.add_order(now, key, OrderAction::Unload(stale.clone()), orders);
            }
        }
    }

    fn add_order(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        action: OrderAction,
        orders: &mut Vec<PlannedOrder>,
    ) {
        self.pending.insert(endpoint, (action.clone(), now));
        orders.push(PlannedOrder { endpoint, action });
    }
}

/// Lists the pools and specs that the configuration names, dependencies first.
fn required_specs(text: &Text) -> Vec<(Arc<str>, Arc<str>)> {
    let mut all = Vec::new();
    for name in text.dependency_order() {
        let ServiceKind::Model(spec) = &text.services[name].kind else { continue };
        let row = (Arc::from(spec.model.as_str()), Arc::from(spec.to_string()));
        if !all.contains(&row) {
            all.push(row);
        }
    }
    all
}

fn is_in_pool(e: &Endpoint, pool: &Arc<str>) -> bool {
    e.latest.as_ref().is_some_and(|k| k.report.pool == *pool)
}

fn has_loaded(e: &Endpoint, spec: &Arc<str>) -> bool {
    e.latest.as_ref().is_some_and(|k| k.report.loaded.contains(spec))
}

fn has_effect(e: &Endpoint, action: &OrderAction) -> bool {
    match action {
        OrderAction::Load(spec) => has_loaded(e, spec),
        OrderAction::Unload(spec) => !has_loaded(e, spec),
    }
}
