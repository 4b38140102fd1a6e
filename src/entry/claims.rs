//! Claims on idempotency keys chosen by callers.
//!
//! A claim is a store record that binds a key to one sidecar run. Concurrent claims are sent in one
//! store transaction, on the condition of the marker of the store's era.

use super::calls::KeyBinding;
use super::{Entry, history};
use crate::clock;
use crate::event::Kind;
use crate::frame::ClaimStamp;
use crate::id::{Fingerprint, Nonce, ServiceName};
use crate::once::{CLAIM_LIFETIME, Claim, ClaimUse, claim_key, judge_claim};
use crate::store::{Era, LeaseId, Leases, MARKER_KEY, Op, Position, Store, StoredValue};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};

/// Maximum number of claims in one store transaction.
pub const MAX_BATCH_CLAIMS: usize = 100;
/// Time for which claims are collected before a batch is sent.
const BATCH_DELAY: Duration = Duration::from_millis(2);
/// Time for which one store lease is reused for new claims.
const LEASE_REUSE_PERIOD: Duration = Duration::from_secs(3600);
/// Longest wait for the sidecars to write their claims again.
const DOUBT_WAIT: Duration = Duration::from_secs(2);

/// Outcome of a claim.
#[derive(Debug, Clone, PartialEq)]
pub enum Claimed {
    /// The key is now bound to the offered sidecar run.
    New(ClaimStamp),
    /// The key was already bound to this sidecar run.
    Existing(KeyBinding, ClaimStamp),
    /// The key is not bound, and no sidecar run was offered.
    Unclaimed,
    /// The store did not answer, so the state of the key is unknown.
    Unavailable,
    /// The store may lack a claim that was made before it came back from an older copy.
    Doubtful,
}

#[derive(Debug)]
struct PendingClaim {
    service: ServiceName,
    hash: Fingerprint,
    /// Sidecar run to bind the key to; without one, the claim is only read.
    offer: Option<KeyBinding>,
    nonce: Nonce,
    tx: oneshot::Sender<Claimed>,
}

impl PendingClaim {
    fn op(&self, era: Era, is_settled: bool, lease: LeaseId) -> Op {
        let key = claim_key(&self.service, self.hash);
        match &self.offer {
            Some(b) if is_settled => {
                let (instance, incarnation, epoch) = (b.instance.clone(), b.incarnation, b.epoch);
                let claim = Claim { instance, incarnation, epoch, era, nonce: self.nonce };
                Op::Claim(key, serde_json::to_vec(&claim).unwrap_or_default(), Some(lease))
            }
            _ => Op::Get(key),
        }
    }

    fn outcome(&self, at: Position, is_settled: bool, found: Option<&StoredValue>) -> Claimed {
        let revision = found.map_or(at.revision, |v| v.revision);
        let found = found.map(|v| serde_json::from_slice::<Claim>(&v.value));
        let Some(claim) = found.transpose().ok() else { return Claimed::Unavailable };
        match (judge_claim(at.era, claim.as_ref().map(|c| c.era), is_settled), claim) {
            (ClaimUse::Doubt, _) => Claimed::Doubtful,
            (_, Some(c)) => {
                let (instance, incarnation, epoch) = (c.instance, c.incarnation, c.epoch);
                let stamp = ClaimStamp { at: Position::new(at.era, revision), nonce: c.nonce };
                Claimed::Existing(KeyBinding { instance, incarnation, epoch }, stamp)
            }
            (_, None) if self.offer.is_some() => Claimed::New(ClaimStamp { at, nonce: self.nonce }),
            (_, None) => Claimed::Unclaimed,
        }
    }
}

/// Queue of claims to be sent to the store.
#[derive(Debug, Default)]
pub struct Claims {
    pending: RefCell<Vec<PendingClaim>>,
    added: Notify,
    /// The current lease, and the time until which new claims may use it.
    lease: Cell<Option<(LeaseId, Instant)>>,
}

/// Claims a key for `offer`, or without an offer looks up an existing claim. Waits for a while if
/// claims may be missing in the store.
pub async fn claim(
    e: &Entry,
    service: &ServiceName,
    hash: Fingerprint,
    offer: Option<KeyBinding>,
) -> Claimed {
    let until = clock::now() + DOUBT_WAIT;
    loop {
        let (tx, rx) = oneshot::channel();
        let (service, offer) = (service.clone(), offer.clone());
        e.claims.pending.borrow_mut().push(PendingClaim {
            service,
            hash,
            offer,
            nonce: Nonce::random(),
            tx,
        });
        e.claims.added.notify_one();
        let claimed = rx.await.unwrap_or(Claimed::Unavailable);
        if claimed != Claimed::Doubtful || !history::wait_for_change(e, until).await {
            return claimed;
        }
    }
}

/// Sends pending claims to the store in batches, for the lifetime of the process.
pub async fn flush(e: Rc<Entry>) {
    loop {
        e.claims.added.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        loop {
            let batch: Vec<PendingClaim> = {
                let mut pending = e.claims.pending.borrow_mut();
                let n = pending.len().min(MAX_BATCH_CLAIMS);
                pending.drain(..n).collect()
            };
            if batch.is_empty() {
                break;
            }
            let claimed = send_batch(&e, &batch).await;
            for (p, claimed) in batch.into_iter().zip(claimed) {
                let _ = p.tx.send(claimed);
            }
        }
    }
}

/// Sends a batch; returns the outcome of each claim.
async fn send_batch(e: &Rc<Entry>, batch: &[PendingClaim]) -> Vec<Claimed> {
    let all = |claimed: Claimed| vec![claimed; batch.len()];
    let marker = history::marker(e).await;
    // A claim without a lease would never expire, so nothing is sent without one.
    let (Some(marker), Some(lease)) = (marker, current_lease(e).await) else {
        return all(Claimed::Unavailable);
    };
    let settled: Vec<bool> =
        batch.iter().map(|p| history::is_settled(e, &marker, &p.service)).collect();
    let ops: Vec<Op> =
        batch.iter().zip(&settled).map(|(p, s)| p.op(marker.era, *s, lease)).collect();
    let sent = e.history.known();
    let read_marker = [Op::Get(MARKER_KEY.into())];
    let outcome = e.store.txn(&[marker.in_force()], &ops, &read_marker).await;
    let Some(outcome) = outcome.ok().filter(|o| !o.succeeded || o.found.len() == batch.len())
    else {
        // The lease may be unknown to a store that has come back from an older copy.
        e.claims.lease.set(None);
        return all(Claimed::Unavailable);
    };
    let wrote = ops.iter().zip(&outcome.found).any(|(op, f)| is_written(op, f.as_ref()));
    if !history::confirm(e, &marker, sent, &outcome, wrote).await {
        e.claims.lease.set(None);
        return all(Claimed::Doubtful);
    }
    e.process.event(Kind::CallClaimed, ops.len(), "");
    let at = Position::new(marker.era, outcome.revision);
    let found = outcome.found.iter().zip(&settled);
    batch.iter().zip(found).map(|(p, (f, s))| p.outcome(at, *s, f.as_ref())).collect()
}

fn is_written(op: &Op, found: Option<&StoredValue>) -> bool {
    matches!(op, Op::Claim(..)) && found.is_none()
}

async fn current_lease(e: &Entry) -> Option<LeaseId> {
    let now = clock::now();
    if let Some((lease, _)) = e.claims.lease.get().filter(|(_, until)| now < *until) {
        return Some(lease);
    }
    let lease = e.store.grant(CLAIM_LIFETIME).await.ok()?;
    e.claims.lease.set(Some((lease, now + LEASE_REUSE_PERIOD)));
    Some(lease)
}
