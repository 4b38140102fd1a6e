//! Digests of the work that this instance has at endpoints, and those of its peers.

use super::{Gateway, evacuation, outage, peers};
use crate::clock;
use crate::gossip::{Digest, DigestScheduler, FULL_DIGEST_INTERVAL, PeerMessage, Tag};
use crate::id::{InstanceId, ServiceName};
use crate::outlier::Increment;
use crate::prompts::Pauses;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Sends digests of the work of this instance to all peers: changes soon after they happen, and a
/// full digest at a fixed interval. Does not return.
pub async fn send(gw: Rc<Gateway>) {
    let mut scheduler = DigestScheduler::default();
    loop {
        // Go on without a change too, since a full digest may be due.
        let _ = tokio::time::timeout(FULL_DIGEST_INTERVAL / 2, gw.work_changed.notified()).await;
        let addresses: Vec<SocketAddr> = gw.peers.borrow().values().map(|p| p.address).collect();
        let now = clock::now();
        let mut digest = {
            let pool = gw.pool.borrow();
            let work = pool.endpoints.values().map(|e| (e.tag, e.own));
            scheduler.store_down = gw.store_lost.get();
            // The others read for themselves while the era of this instance may be wrong.
            let position = {
                let known = gw.store_position.borrow();
                known.get().filter(|_| peers::is_reader(&gw) && !known.is_disputed())
            };
            scheduler.position = position.unwrap_or_default();
            let outage = peers::is_reader(&gw) && gw.outages.borrow().is_told(now);
            let is_news = std::mem::replace(&mut scheduler.outage, outage) != outage;
            scheduler.is_due |= is_news || pool.has_new_statements();
            scheduler.step(now, addresses.len(), work)
        };
        if let Some(digest) = digest.as_mut().filter(|d| d.full) {
            digest.token_times = own_token_times(&gw, now);
            digest.pauses = own_pauses(&gw, now);
            digest.evacuations = evacuation::rows(&gw);
            digest.speeds = gw.pool.borrow().speed_rows(now);
        }
        if let Some(digest) = digest.as_mut() {
            let outcomes = gw.pool.borrow_mut().take_outcomes();
            let rows = outcomes.into_iter().map(|(tag, seen)| (tag, seen.served, seen.failed));
            digest.outcomes = rows.collect();
            digest.statements = gw.pool.borrow_mut().take_statements(now, digest.full);
        }
        match digest {
            Some(digest) => {
                for part in digest.into_parts() {
                    peers::send(&gw, &addresses, PeerMessage::Digest(part));
                }
            }
            None => {
                tokio::time::sleep(scheduler.min_interval(addresses.len())).await;
                gw.work_changed.notify_one();
            }
        }
    }
}

/// Returns the time per output token, in microseconds, of the engines whose streams this instance
/// relays.
fn own_token_times(gw: &Gateway, now: Instant) -> Vec<(Tag, u32)> {
    let pool = gw.pool.borrow();
    let times = pool.endpoints.values().filter_map(|e| Some((e.tag, e.own_token_time.get(now)?)));
    times.map(|(tag, time)| (tag, u32::try_from(time.as_micros()).unwrap_or(u32::MAX))).collect()
}

/// Returns the longest pauses of the streams that this instance relays, in microseconds.
fn own_pauses(gw: &Gateway, now: Instant) -> Vec<(Tag, u32)> {
    let (pool, pauses) = (gw.pool.borrow(), gw.pauses.borrow());
    let of_service = |(service, pauses): (&ServiceName, &Pauses)| {
        let micros = u32::try_from(pauses.report(now)?.as_micros()).ok()?;
        let engine = pool.endpoints.values().find(|e| e.serves(service))?;
        Some((engine.tag, micros))
    };
    pauses.iter().filter_map(of_service).collect()
}

/// Applies the digest of another instance.
pub fn apply(gw: &Gateway, from: InstanceId, digest: Digest) {
    let now = clock::now();
    let mut peer_loads = gw.peer_loads.borrow_mut();
    peer_loads.apply(now, from.clone(), &digest);
    // One that is cut off alone may tell of a past outage for as long as it is.
    if digest.outage && peers::is_registered(gw, &from) {
        gw.outages.borrow_mut().record_claim(now);
    }
    evacuation::merge(gw, digest.evacuations);
    let mut pool = gw.pool.borrow_mut();
    pool.update_peer_work(&mut peer_loads);
    for (tag, served, failed) in digest.outcomes {
        pool.merge_outcomes(now, &from, tag, Increment { served, failed });
    }
    for (tag, micros) in digest.token_times {
        pool.observe_peer_token_time(now, tag, Duration::from_micros(u64::from(micros)));
    }
    for (tag, micros) in digest.pauses {
        if let Some(e) = pool.find_by_tag(tag) {
            let mut pauses = gw.pauses.borrow_mut();
            let of_service = pauses.entry(e.listing.service.clone()).or_default();
            of_service.merge(now, Duration::from_micros(u64::from(micros)));
        }
    }
    digest.speeds.into_iter().for_each(|row| pool.apply_speed(now, row));
    let leaving = digest.statements.iter().filter(|row| row.leaving && pool.is_current(row));
    let leaving: Vec<Tag> = leaving.map(|row| row.tag).collect();
    digest.statements.into_iter().for_each(|row| pool.apply_statement(now, row));
    drop(pool);
    leaving.into_iter().for_each(|tag| outage::record_leaving(gw, tag, &from));
}
