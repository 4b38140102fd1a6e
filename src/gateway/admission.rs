//! Requests for admission to engines, and the coordinator's decision on them.

use super::Gateway;
use super::job::Job;
use super::peers::{self, Reply};
use crate::admit::{self, Candidate};
use crate::clock;
use crate::gossip::{self, AdmissionRequest, PeerMessage};
use crate::pool::PoolKey;
use crate::prompts::{self, Outcome, Size};
use crate::route::Urgency;
use std::time::Duration;

/// Time for a coordinator to answer an admission request, and so the delay that a lost datagram
/// causes.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(15);

/// Asks the coordinator of an engine whether a generation may begin there. `denied` are the engines
/// that it cannot be sent to, and `denials` is the number of denials before.
///
/// Returns `false` only on an explicit denial: a request without a reply counts as granted, and so
/// does one for an engine that this instance coordinates.
pub async fn request(
    gw: &Gateway,
    job: &Job,
    key: PoolKey,
    denied: &[PoolKey],
    denials: u32,
) -> bool {
    let now = clock::now();
    let Some(tag) = gw.pool.borrow().endpoints.get(key).map(|e| e.tag) else { return false };
    let candidate = job.candidate(gw, now);
    let acceptable = job.acceptable_unread(gw, now, (key, denied), denials);
    let acceptable = acceptable.map(|n| u32::try_from(n).unwrap_or(u32::MAX));
    let own = gw.settings.borrow().instance.clone();
    let coordinator = {
        let peers = gw.peers.borrow();
        let registered = peers::registered(&peers).map(|(instance, _)| instance);
        let instances = registered.chain(std::iter::once(&own));
        gossip::coordinator(tag, instances).and_then(|i| peers.get(i)).map(|p| p.address)
    };
    let Some(coordinator) = coordinator else { return true };
    let number = gw.messenger.number();
    let left = u32::try_from(candidate.left.as_millis()).unwrap_or(u32::MAX);
    let row = gossip::encode_row(tag, candidate.work);
    let urgency = candidate.urgency.0;
    let request = AdmissionRequest { number, row, left_ms: left, urgency, acceptable };
    let message = PeerMessage::AdmissionRequest(request);
    let reply = peers::request_reply(gw, coordinator, number, message, ADMISSION_TIMEOUT).await;
    metrics::counter!("asks_total", "answered" => reply.is_some().to_string()).increment(1);
    reply != Some(Reply::Admission(false))
}

/// Decides on an admission request as the coordinator of the engine. Grants it if the engine is
/// not known here, and reserves the granted work until it shows in a digest.
pub fn decide(gw: &Gateway, request: &AdmissionRequest) -> bool {
    let now = clock::now();
    let (tag, work) = gossip::decode_row(request.row);
    let left = Duration::from_millis(u64::from(request.left_ms));
    let candidate = Candidate { work, left, urgency: Urgency(request.urgency) };
    gw.peer_loads.borrow_mut().step(now);
    gw.pool.borrow_mut().update_peer_work(&mut gw.peer_loads.borrow_mut());
    let pool = gw.pool.borrow();
    let Some(e) = pool.find_by_tag(tag) else { return true };
    let service = &e.listing.service;
    let table = gw.table.borrow();
    let config = table.as_ref().and_then(|t| t.services.get(service));
    let Some(engine) = config.and_then(|s| s.engine.as_ref()) else { return true };
    let rate = gw.prefill_rates.borrow().get(service).copied().unwrap_or_default();
    let acceptable = request.acceptable.map(u64::from);
    let outcome = prompts::admit(now, e, engine, &candidate, &rate, acceptable);
    let size = Size::of(admit::prefill_time(now, e, &rate, work.unread), left);
    let labels = [("outcome", outcome.to_string()), ("size", size.to_string())];
    metrics::counter!("admissions_total", &labels).increment(1);
    let granted = outcome == Outcome::Granted;
    if granted {
        gw.peer_loads.borrow_mut().reserve(now, tag, work);
    }
    granted
}
