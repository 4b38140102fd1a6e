//! Limits that endpoints state: recorded from responses, passed on to the other instances, and
//! kept to with permits from the coordinator of each endpoint.

use super::peers::{self, Reply};
use super::{Gateway, jitter};
use crate::clock;
use crate::escape::log_value;
use crate::event::Kind;
use crate::gossip::{self, LimitNotice, LimitRow, PeerMessage, Tag};
use crate::id::{InstanceId, ServiceName};
use crate::limit::{
    Allocator, Grant, Known, NOTICE_INTERVAL, PermitRequest, REPLY_TIMEOUT, Rate, Stated,
};
use crate::pool::{Endpoint, PoolKey};
use crate::task;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Age in the row of an endpoint that has stated nothing, as one that is cold may not have.
const UNKNOWN_AGE: u32 = u32::MAX;

/// Brings the permits for a service's endpoints up to date, and has them requested if due.
pub fn refresh(gw: &Gateway, now: Instant, service: &ServiceName) {
    let waiting = gw.queue.borrow().len(service);
    if gw.pool.borrow_mut().update_permits(now, service, waiting) {
        gw.permits_due.notify_one();
    }
}

/// Records what an endpoint states in the response to a request sent at `sent`, and tells its
/// coordinator of a change.
pub fn record_response(gw: &Gateway, key: PoolKey, sent: Instant, stated: Stated) {
    let Some(known) = Known::of_response(clock::now(), sent, stated) else { return };
    let Some(tag) = record(gw, key, known, "from=response") else { return };
    match peers::coordinator(gw, tag) {
        None => publish(gw, vec![tag]),
        Some((_, address)) => {
            let notice = notice(gw, &[tag], false);
            peers::send(gw, &[address], PeerMessage::Limits(notice));
        }
    }
}

/// Records a statement and returns the tag of the endpoint if its limit changed.
fn record(gw: &Gateway, key: PoolKey, known: Known, from: impl Display) -> Option<Tag> {
    if !gw.pool.borrow_mut().record_limit(clock::now(), key, known) {
        return None;
    }
    let pool = gw.pool.borrow();
    let e = pool.endpoints.get(key)?;
    let limit = known.limit.map_or("none".to_owned(), |rate| rate.to_string());
    gw.event(Kind::Limited, &e.listing.id, format_args!("limit={limit} {from}"));
    Some(e.tag)
}

/// Builds a notice of what this instance knows of the limits of endpoints.
fn notice(gw: &Gateway, tags: &[Tag], forward: bool) -> LimitNotice {
    let now = clock::now();
    let pool = gw.pool.borrow();
    let rows = tags.iter().filter_map(|tag| {
        let known = pool.find_by_tag(*tag)?.notices.known_limit();
        let granting = gw.allocator.borrow().is_active(*tag);
        let age_ms = known.map_or(UNKNOWN_AGE, |known| age_ms(now, known.at));
        let limit = known.and_then(|k| k.limit);
        Some(LimitRow { tag: *tag, limit, age_ms, granting, ended: false, by: None })
    });
    LimitNotice { rows: rows.collect(), forward }
}

fn age_ms(now: Instant, at: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
}

/// Returns the time of a statement that has the given age.
fn time_of(now: Instant, age_ms: u32) -> Instant {
    now.checked_sub(Duration::from_millis(u64::from(age_ms))).unwrap_or(now)
}

/// Tells all other instances what this one knows of the limits of endpoints.
fn publish(gw: &Gateway, tags: Vec<Tag>) {
    let peers = gw.peers.borrow();
    let groups = gossip::notice_groups(peers::registered(&peers).map(|(i, _)| i).collect());
    let first = groups.iter().filter_map(|g| Some(peers.get(*g.first()?)?.address));
    let first: Vec<SocketAddr> = first.collect();
    let forward = groups.iter().any(|g| g.len() > 1);
    peers::send(gw, &first, PeerMessage::Limits(notice(gw, &tags, forward)));
    // Those that are not registered are in no group, as not all know them.
    let apart = peers.values().filter(|p| !p.is_registered()).map(|p| p.address);
    let apart: Vec<SocketAddr> = apart.collect();
    peers::send(gw, &apart, PeerMessage::Limits(notice(gw, &tags, false)));
}

/// Applies a notice of another instance. The coordinator of an endpoint passes changes on to all,
/// and the first of a group passes the notice on to the group.
pub fn merge(gw: &Gateway, from: &InstanceId, notice: &LimitNotice) {
    let now = clock::now();
    let mut changed = Vec::new();
    for row in &notice.rows {
        note_granting(gw, now, from, row);
        if row.age_ms == UNKNOWN_AGE {
            continue;
        }
        let known = Known { limit: row.limit, at: time_of(now, row.age_ms) };
        let key = gw.pool.borrow().find_key_by_tag(row.tag);
        let source = format_args!("from=peer peer={}", log_value(from.as_str()));
        changed.extend(key.and_then(|key| record(gw, key, known, source)));
    }
    changed.retain(|tag| peers::coordinator(gw, *tag).is_none());
    if !changed.is_empty() {
        publish(gw, changed);
    }
    if notice.forward {
        forward(gw, from, notice);
    }
}

/// Records what a row of a notice says about an instance that grants permits.
fn note_granting(gw: &Gateway, now: Instant, from: &InstanceId, row: &LimitRow) {
    let by = row.by.as_ref().unwrap_or(from);
    if *by == gw.settings.borrow().instance {
        return;
    }
    let mut allocator = gw.allocator.borrow_mut();
    if row.granting {
        allocator.note_rival(now, row.tag, by);
    } else if row.ended {
        allocator.end_rival(row.tag, by);
    }
}

/// Passes a notice on to the other instances of this one's group.
fn forward(gw: &Gateway, from: &InstanceId, notice: &LimitNotice) {
    let own = gw.settings.borrow().instance.clone();
    let peers = gw.peers.borrow();
    let others = peers::registered(&peers).map(|(i, _)| i).filter(|i| *i != from);
    let receivers = others.chain(std::iter::once(&own)).collect();
    let groups = gossip::notice_groups(receivers);
    let group = groups.iter().find(|g| g.contains(&&own));
    let others = group.into_iter().flatten().filter_map(|i| peers.get(*i));
    let others: Vec<SocketAddr> = others.map(|p| p.address).collect();
    let rows = notice.rows.iter().map(|row| {
        let by = (row.granting || row.ended).then(|| from.clone());
        LimitRow { by, ..row.clone() }
    });
    let notice = LimitNotice { rows: rows.collect(), forward: false };
    peers::send(gw, &others, PeerMessage::Limits(notice));
}

/// Tells the instances that come before this one in the choice of an endpoint's coordinator that it
/// has begun or ended to grant permits.
fn announce(gw: &Gateway, tag: Tag, ended: bool) {
    let to = peers::predecessors(gw, tag);
    if to.is_empty() {
        return;
    }
    let mut notice = notice(gw, &[tag], false);
    notice.rows.iter_mut().for_each(|row| row.ended = ended);
    peers::send(gw, &to, PeerMessage::Limits(notice));
}

/// Tells an instance that has started of the limits that this one coordinates.
pub fn inform_started(gw: &Gateway, address: SocketAddr) {
    let tags = coordinated(gw);
    if !tags.is_empty() {
        peers::send(gw, &[address], PeerMessage::Limits(notice(gw, &tags, false)));
    }
}

/// Returns the limited endpoints that this instance coordinates, or grants permits for.
fn coordinated(gw: &Gateway) -> Vec<Tag> {
    let pool = gw.pool.borrow();
    let limited = pool.endpoints.values().filter(|e| e.is_limited()).map(|e| e.tag);
    let is_own =
        |tag: &Tag| gw.allocator.borrow().is_active(*tag) || peers::coordinator(gw, *tag).is_none();
    limited.filter(is_own).collect()
}

/// Drops the permits that this instance has and has granted if the machine was suspended.
pub fn check_suspension(gw: &Gateway) {
    let Some(time) = gw.suspension.borrow_mut().update(clock::suspended()) else { return };
    log::warn!("the machine was suspended for {} ms: permits are dropped", time.as_millis());
    let now = clock::now();
    gw.pool.borrow_mut().drop_permits(now, time);
    gw.retries.borrow_mut().record_suspension(time);
    *gw.allocator.borrow_mut() = Allocator::new(now);
}

/// Repeats the notices of the limits that this instance coordinates.
pub fn step(gw: &Gateway, now: Instant) {
    check_suspension(gw);
    let last_sign = |i: &InstanceId| peers::last_sign(gw, now, i);
    gw.allocator.borrow_mut().check_rivals(now, last_sign);
    gw.allocator.borrow_mut().step(now);
    let ended = gw.allocator.borrow_mut().take_ended();
    ended.into_iter().for_each(|tag| announce(gw, tag, true));
    if gw.limits_sent.get().is_some_and(|t| now < t + NOTICE_INTERVAL) {
        return;
    }
    gw.limits_sent.set(Some(now));
    let tags = coordinated(gw);
    if !tags.is_empty() {
        publish(gw, tags);
    }
}

/// Requests permits whenever some are due. Does not return.
pub async fn request_permits(gw: Rc<Gateway>) {
    loop {
        gw.permits_due.notified().await;
        let now = clock::now();
        let waiting = |service: &ServiceName| gw.queue.borrow().len(service);
        let due = gw.pool.borrow_mut().due_permit_requests(now, waiting);
        for (key, request) in due {
            task::spawn("permit", request_grant(gw.clone(), key, request));
        }
    }
}

/// Returns the reply of an endpoint's coordinator to a request for permits.
async fn ask_coordinator(gw: &Gateway, sent: Instant, request: PermitRequest) -> Option<Grant> {
    let Some((coordinator, address)) = peers::coordinator(gw, request.tag) else {
        let own = gw.settings.borrow().instance.clone();
        return Some(grant(gw, sent, &own, &request));
    };
    let number = gw.messenger.number();
    let message = PeerMessage::PermitRequest(number, request);
    let reply = peers::request_reply(gw, address, number, message, REPLY_TIMEOUT).await;
    peers::record_reply(gw, coordinator, reply.is_some());
    match reply {
        Some(Reply::Permits(grant)) => Some(grant),
        _ => None,
    }
}

async fn request_grant(gw: Rc<Gateway>, key: PoolKey, request: PermitRequest) {
    let sent = clock::now();
    // After a panic the request counts as unanswered, since no other is sent before its end.
    let grant = task::run("permit", ask_coordinator(&gw, sent, request)).await.unwrap_or(None);
    metrics::counter!("permit_requests_total", "answered" => grant.is_some().to_string())
        .increment(1);
    let fleet = peers::fleet(&gw);
    let mut pool = gw.pool.borrow_mut();
    let Some(share) = pool.endpoints.get_mut(key).and_then(|e| e.notices.share()) else { return };
    match grant {
        Some(grant) => share.apply(clock::now(), sent, &grant),
        None => {
            let (part, interval) = (fleet.own_part(request.limit), jitter(fleet.retry_interval()));
            share.record_unanswered(clock::now(), part, interval);
        }
    }
}

/// Decides on a request for permits as the coordinator of the endpoint. An instance whose knowledge
/// of the limit is outdated is told what is known here.
pub fn decide(
    gw: &Gateway,
    from: &InstanceId,
    address: SocketAddr,
    request: &PermitRequest,
) -> Grant {
    let now = clock::now();
    let key = gw.pool.borrow().find_key_by_tag(request.tag);
    let Some(key) = key else { return grant(gw, now, from, request) };
    if !request.cold {
        update_stated(gw, from, address, key, request);
    }
    let own = gw.pool.borrow().endpoints.get(key).and_then(Endpoint::limit);
    // Either may not know yet that the endpoint is cold, or of its end.
    let limit = own.filter(|own| !request.cold || *own < request.limit).unwrap_or(request.limit);
    grant(gw, now, from, &PermitRequest { limit, ..*request })
}

/// Records the limit that another instance knows as stated by an endpoint, and tells that instance
/// what is known here if it differs.
fn update_stated(
    gw: &Gateway,
    from: &InstanceId,
    address: SocketAddr,
    key: PoolKey,
    request: &PermitRequest,
) {
    let at = time_of(clock::now(), request.age_ms);
    let known = Known { limit: Some(request.limit), at };
    if let Some(tag) =
        record(gw, key, known, format_args!("from=peer peer={}", log_value(from.as_str())))
    {
        publish(gw, vec![tag]);
    }
    let stated: Option<Rate> =
        gw.pool.borrow().endpoints.get(key).and_then(|e| e.notices.limit()).map(|(rate, _)| rate);
    if stated != Some(request.limit) {
        let notice = notice(gw, &[request.tag], false);
        peers::send(gw, &[address], PeerMessage::Limits(notice));
    }
}

fn grant(gw: &Gateway, now: Instant, from: &InstanceId, request: &PermitRequest) -> Grant {
    check_suspension(gw);
    let fleet = peers::fleet(gw);
    let begins = !gw.allocator.borrow().is_active(request.tag);
    let grant = gw.allocator.borrow_mut().request(now, fleet, from, request);
    if begins {
        announce(gw, request.tag, false);
    }
    grant
}
