//! Claims on keys that callers chose, many in one call of the store.

use super::Entry;
use super::calls::Home;
use crate::clock;
use crate::event::Kind;
use crate::id::{Epoch, Fingerprint, Incarnation, InstanceId, ServiceName};
use crate::store::{LeaseId, Leases, Op, Store, Stored};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};

/// Most claims in one call of the store.
const BATCH: usize = 100;
/// Time that claims are gathered.
const GATHER: Duration = Duration::from_millis(2);
/// Time that a claim lasts at least.
const KEEP: Duration = Duration::from_secs(24 * 3600);
/// Time that one lease takes new claims.
const LEASE_SPAN: Duration = Duration::from_secs(3600);

#[derive(Debug, Serialize, Deserialize)]
struct Claim {
    instance: InstanceId,
    incarnation: Incarnation,
    epoch: Epoch,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq)]
pub enum Claimed {
    /// The key is claimed for the home that was offered.
    Ours,
    /// The key was claimed before.
    Before(Home),
    /// The key is not claimed, and no home was offered.
    Nobody,
    /// The store gave no answer.
    NoAnswer,
}

#[derive(Debug)]
struct Waiting {
    op: Op,
    has_offer: bool,
    tx: oneshot::Sender<Claimed>,
}

/// Claims that wait for the store.
#[derive(Debug, Default)]
pub struct Claims {
    waiting: RefCell<Vec<Waiting>>,
    news: Notify,
    lease: Cell<Option<(LeaseId, Instant)>>,
}

/// Claims a key for `offer`, or reads who has it.
pub async fn claim(
    e: &Entry,
    service: &ServiceName,
    hash: Fingerprint,
    offer: Option<Home>,
) -> Claimed {
    let key = format!("skylark/claim/{service}/{hash}");
    let has_offer = offer.is_some();
    let op = match offer {
        Some(h) => {
            let claim = Claim { instance: h.instance, incarnation: h.incarnation, epoch: h.epoch };
            Op::Claim(key, serde_json::to_vec(&claim).unwrap_or_default(), None)
        }
        None => Op::Get(key),
    };
    let (tx, rx) = oneshot::channel();
    e.claims.waiting.borrow_mut().push(Waiting { op, has_offer, tx });
    e.claims.news.notify_one();
    rx.await.unwrap_or(Claimed::NoAnswer)
}

/// Sends what has gathered to the store, for as long as the process runs.
pub async fn flush(e: Rc<Entry>) {
    loop {
        e.claims.news.notified().await;
        tokio::time::sleep(GATHER).await;
        loop {
            let batch: Vec<Waiting> = {
                let mut waiting = e.claims.waiting.borrow_mut();
                let n = waiting.len().min(BATCH);
                waiting.drain(..n).collect()
            };
            if batch.is_empty() {
                break;
            }
            send(&e, batch).await;
        }
    }
}

async fn send(e: &Entry, batch: Vec<Waiting>) {
    let lease = lease(e).await;
    let with_lease = |op: &Op| match op {
        Op::Claim(key, value, _) => Op::Claim(key.clone(), value.clone(), lease),
        other => other.clone(),
    };
    let ops: Vec<Op> = batch.iter().map(|w| with_lease(&w.op)).collect();
    // A claim without a lease would stay for ever, so none is made where there is no lease.
    let outcome = match lease {
        Some(_) => e.store.txn(&[], &ops, &[]).await.ok(),
        None => None,
    };
    let Some(outcome) = outcome.filter(|o| o.found.len() == batch.len()) else {
        for w in batch {
            let _ = w.tx.send(Claimed::NoAnswer);
        }
        return;
    };
    for (w, found) in batch.into_iter().zip(outcome.found) {
        let claimed = match found {
            Some(stored) => scan_claim(&stored).map_or(Claimed::NoAnswer, Claimed::Before),
            None if w.has_offer => Claimed::Ours,
            None => Claimed::Nobody,
        };
        let _ = w.tx.send(claimed);
    }
    e.process.event(Kind::CallClaimed, ops.len(), "");
}

fn scan_claim(stored: &Stored) -> Option<Home> {
    let c: Claim = serde_json::from_slice(&stored.value).ok()?;
    Some(Home { instance: c.instance, incarnation: c.incarnation, epoch: c.epoch })
}

async fn lease(e: &Entry) -> Option<LeaseId> {
    let now = clock::now();
    if let Some((lease, until)) = e.claims.lease.get().filter(|(_, until)| now < *until) {
        return Some(lease).filter(|_| now < until);
    }
    let lease = e.store.grant(KEEP + LEASE_SPAN).await.ok()?;
    e.claims.lease.set(Some((lease, now + LEASE_SPAN)));
    Some(lease)
}
