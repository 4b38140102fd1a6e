//! Notices of endpoints that they are leaving: in their responses, passed on by other instances,
//! and, where the store cannot report it, in the reports that engines are asked for.

use super::{Gateway, membership, peers};
use crate::balance;
use crate::clock;
use crate::escape::log_value;
use crate::evacuate::{self, POLL_INTERVAL, PollSchedule};
use crate::event::Kind;
use crate::gossip::{StoreStatus, Tag};
use crate::id::InstanceId;
use crate::platform;
use crate::pool::{Closure, Endpoint, PoolKey, Purpose};
use crate::store::{ChangeFeed, StoreError};
use crate::task;
use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between two checks of the store. An engine may announce that it leaves only a few of
/// these intervals ahead.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of a stale read from the store, many times what a healthy store needs.
const PING_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a request for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Checks whether the store is reachable, and polls the engines on which this instance has
/// generations running: all of them while it is not, in turns with the other instances that have
/// some there, and otherwise those whose listing has lapsed. Does not return.
pub async fn poll_engines(gw: Rc<Gateway>) {
    let own_key = format!("{}{}", membership::KEY_PREFIX, gw.settings.borrow().instance);
    let mut schedule = PollSchedule::default();
    loop {
        let was_lost = gw.store_lost.get();
        let is_short = was_lost || !engines_in_use(&gw).is_empty();
        tokio::time::sleep(if is_short { POLL_INTERVAL } else { CHECK_INTERVAL }).await;
        let status = if peers::is_reader(&gw) {
            StoreStatus::Unknown
        } else {
            peers::reader_report(&gw, clock::now()).status
        };
        let is_reachable = match status {
            StoreStatus::Reachable => true,
            StoreStatus::Unreachable => false,
            StoreStatus::Unknown => {
                let ping = gw.store.ping(&own_key, PING_TIMEOUT);
                // During an outage the ping has a short timeout, so that a store that does not
                // respond does not delay the polls of engines.
                if was_lost { answers_again(ping).await } else { ping.await.is_ok() }
            }
        };
        gw.store_lost.set(!is_reachable);
        if was_lost && is_reachable {
            gw.registration.record_return();
        }
        for (key, address) in due_polls(&gw, clock::now(), &mut schedule) {
            task::spawn("poll", poll_engine(gw.clone(), key, address));
        }
    }
}

/// Returns whether the store answers again, without waiting long if it does not.
async fn answers_again(ping: impl Future<Output = Result<(), StoreError>>) -> bool {
    /// Timeout of a ping during an outage.
    const OUTAGE_PING_TIMEOUT: Duration = Duration::from_millis(60);
    tokio::time::timeout(OUTAGE_PING_TIMEOUT, ping).await.is_ok_and(|done| done.is_ok())
}

/// Returns the engines on which this instance has generations running and that are not known to
/// be leaving: all of them while the store cannot tell whether they leave. Otherwise those whose
/// listing has lapsed, of which it cannot tell either.
fn engines_in_use(gw: &Gateway) -> Vec<(PoolKey, SocketAddr)> {
    let table = gw.table.borrow();
    let Some(table) = table.as_ref() else { return Vec::new() };
    let is_engine = |s| table.services.get(s).is_some_and(|s| s.engine.is_some());
    let pool = gw.pool.borrow();
    let is_untold = |e: &Endpoint| gw.store_lost.get() || e.closure() == Some(Closure::Lapsed);
    let is_asked = |e: &Endpoint| e.own.held > 0 && is_untold(e) && e.hold(Purpose::Poll).is_none();
    let used = pool.endpoints.iter().filter(|(_, e)| is_asked(e));
    let used = used.filter(|(_, e)| is_engine(&e.listing.service));
    used.map(|(k, e)| (k, e.listing.address)).collect()
}

/// Returns those of the engines in use that are due for a poll.
fn due_polls(
    gw: &Gateway,
    now: Instant,
    schedule: &mut PollSchedule,
) -> Vec<(PoolKey, SocketAddr)> {
    let own = gw.settings.borrow().instance.clone();
    let (pool, peer_loads) = (gw.pool.borrow(), gw.peer_loads.borrow());
    let is_due = |(key, _): &(PoolKey, SocketAddr)| {
        let Some(e) = pool.endpoints.get(*key) else { return false };
        let interval = evacuate::poll_interval(e.tag, &own, peer_loads.holders(now, e.tag));
        schedule.take_due(now, *key, interval)
    };
    engines_in_use(gw).into_iter().filter(is_due).collect()
}

async fn poll_engine(gw: Rc<Gateway>, key: PoolKey, address: SocketAddr) {
    let result = platform::fetch_report(address, &gw.codec, REPORT_TIMEOUT).await;
    let outcome = match &result {
        Ok(report) if report.leaving => "leaving",
        Ok(_) => "staying",
        Err(_) => "failed",
    };
    metrics::counter!("polls_total", "outcome" => outcome).increment(1);
    match result {
        Ok(report) if report.leaving => {
            record_departure(&gw, key, report.leaves_in);
            gw.pool.borrow_mut().record_leaving(key);
            let left = report.leaves_in.map(|d| d.as_millis());
            if let Some(tag) =
                mark_leaving(&gw, key, format_args!("from=report leaves_ms={left:?}"))
            {
                peers::send_leaving(&gw, tag);
            }
        }
        Ok(report) => {
            if let Some(left) = report.cold {
                gw.pool.borrow_mut().record_cold(clock::now(), key, left);
            }
        }
        Err(e) => log::debug!("report of engine {address} not received: {e}"),
    }
}

/// Records how much time an engine has left, and tells the other instances.
fn record_departure(gw: &Gateway, key: PoolKey, left: Option<Duration>) {
    if let Some(left) = left {
        gw.pool.borrow_mut().record_departure(clock::now(), key, left);
        gw.work_changed.notify_one();
    }
}

/// Records that an endpoint states in a response that it is leaving, and tells the other instances.
pub fn record_notice(gw: &Gateway, key: PoolKey) {
    gw.pool.borrow_mut().record_leaving(key);
    if let Some(tag) = mark_leaving(gw, key, "from=response") {
        peers::send_leaving(gw, tag);
    }
}

/// Marks an endpoint as leaving and returns its tag; `None` if it was known to be leaving.
fn mark_leaving(gw: &Gateway, key: PoolKey, detail: impl Display) -> Option<Tag> {
    let known = gw.pool.borrow().endpoints.get(key).map(|e| (e.listing.id.clone(), e.is_leaving()));
    let (id, false) = known? else { return None };
    gw.pool.borrow_mut().mark_leaving(clock::now(), key);
    let tag = Tag::of(&id);
    gw.event(Kind::Leaving, id, detail);
    Some(tag)
}

/// Records that an endpoint told another instance that it is leaving. Of the instances with
/// generations on the engine, the first to ask spares the others up to a whole interval.
///
/// Where memory is short, an instance without any goes on using the engine until it asks itself:
/// short generations still end in time there.
pub fn record_leaving(gw: &Gateway, tag: Tag, from: &InstanceId) {
    let key = gw.pool.borrow().find_key_by_tag(tag).filter(|k| is_notice_useful(gw, *k));
    if let Some(key) = key {
        let detail = format_args!("from=peer peer={}", log_value(from.as_str()));
        mark_leaving(gw, key, detail);
    }
}

fn is_notice_useful(gw: &Gateway, key: PoolKey) -> bool {
    let pool = gw.pool.borrow();
    let Some(e) = pool.endpoints.get(key) else { return false };
    let service = &e.listing.service;
    let table = gw.table.borrow();
    let config = table.as_ref().and_then(|t| t.services.get(service));
    let engine = config.and_then(|s| s.engine.as_ref());
    e.own.open > 0 || engine.is_none_or(|engine| !balance::is_memory_short(&pool, service, engine))
}
