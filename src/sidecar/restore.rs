//! Writes the claims of the recorded calls again after the store has come back from an older copy.

use super::Sidecar;
use crate::clock;
use crate::event::Kind;
use crate::frame::{CallKey, ClaimStamp};
use crate::id::{Epoch, Fingerprint, Nonce, ServiceName};
use crate::once::{CLAIM_LIFETIME, Claim, claim_key};
use crate::process::OutageLog;
use crate::settings::EndpointKind;
use crate::store::{
    Era, Etcd, Leases, MARKER_KEY, Marker, Op, Position, Store, StoreError, StoredValue,
};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of claims in one store transaction.
const MAX_BATCH_CLAIMS: usize = 100;
/// Mean delay before claims are written again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// What a sidecar knows of the store's history.
#[derive(Debug, Default)]
pub struct Restore {
    known: Cell<Option<Position>>,
    restored: Cell<Era>,
    /// Latest claim on a key that came here, with the hash of the key.
    latest: Cell<Option<(ClaimStamp, Fingerprint)>>,
}

impl Restore {
    /// Returns the latest known position of the store.
    pub fn known(&self) -> Option<Position> {
        self.known.get()
    }

    /// Returns the latest era in which the claims were written again.
    pub fn restored(&self) -> Era {
        self.restored.get()
    }
}

/// Adds a position of the store that an entry knows. In a new era, all claims are written again.
pub fn learn(s: &Rc<Sidecar>, position: Option<Position>) {
    let Some(position) = position else { return };
    s.restore.known.set(s.restore.known.get().max(Some(position)));
    let era = position.era;
    if era <= s.ledger.borrow().era() {
        return;
    }
    // Claims that were not all written again in the present era cannot be found by their latest.
    let is_complete = s.restore.restored.get() == s.ledger.borrow().era();
    let latest = s.restore.latest.get().filter(|_| is_complete);
    let Some(keys) = s.ledger.borrow_mut().enter_era(era) else {
        // Entries bind no keys of the service anew until the claims have expired.
        s.process.event(Kind::StoreReturned, "store", format_args!("era={era} claims=incomplete"));
        return;
    };
    s.process.event(Kind::StoreReturned, "store", format_args!("era={era} claims={}", keys.len()));
    actix_rt::spawn(restore(s.clone(), era, Records { keys, latest }));
}

/// What was recorded before an era began.
#[derive(Debug)]
struct Records {
    keys: Vec<(Fingerprint, Epoch)>,
    /// Latest claim among them, if all earlier ones were in the store when it was written.
    latest: Option<(ClaimStamp, Fingerprint)>,
}

/// Records the claim under which a call or a seal arrived.
pub fn note_claim(s: &Rc<Sidecar>, key: &CallKey) {
    let Some(claim) = key.claim else { return };
    s.restore.latest.set(s.restore.latest.get().max(Some((claim, key.hash))));
    learn(s, Some(claim.at));
}

/// Writes claims until this succeeds or another era begins.
async fn restore(s: Rc<Sidecar>, era: Era, records: Records) {
    let store = Etcd::new(s.process.settings.store);
    let mut outage = OutageLog::new("claims");
    while !records.keys.is_empty() && s.ledger.borrow().era() == era {
        match complete_claims(&s, &store, era, &records).await {
            Ok(detail) => {
                outage.end(&s.process);
                s.process.event(Kind::ClaimsRestored, era, detail);
                break;
            }
            Err(e) => outage.fail(&s.process, clock::now(), e, &store.last_failure()),
        }
        tokio::time::sleep(RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
    }
    if s.ledger.borrow().era() == era {
        s.restore.restored.set(era);
        s.polls.flush_all();
    }
}

/// Writes claims that the copy lacks; returns what was done.
async fn complete_claims(
    s: &Sidecar,
    store: &Etcd,
    era: Era,
    records: &Records,
) -> Result<&'static str, StoreError> {
    let Some(service) = service(s) else { return Ok("claims=none") };
    let latest = records.latest;
    let mut reads = vec![Op::Get(MARKER_KEY.into())];
    reads.extend(latest.map(|(_, hash)| Op::Get(claim_key(&service, hash))));
    let read = store.txn(&[], &reads, &[]).await?;
    let marker = read.found.first().and_then(|f| parse_marker(f.as_ref()));
    let is_current = |m: &Marker| m.era == era && m.origin == read.origin;
    let behind =
        || store.fail_value(MARKER_KEY, "the marker is not that of the era", StoreError::Behind);
    let marker = marker.filter(is_current).ok_or_else(behind)?;
    // A copy with the latest claim has all earlier ones.
    let found = read.found.get(1).and_then(|f| f.as_ref());
    if let Some(((claim, hash), found)) = latest.zip(found)
        && is_claim(found, claim.nonce)
    {
        // A repeat of an older call may arrive under a claim that is read in this era.
        let claim = ClaimStamp { at: Position::new(era, found.revision), ..claim };
        s.restore.latest.set(s.restore.latest.get().max(Some((claim, hash))));
        return Ok("claims=kept");
    }
    let lease = store.grant(CLAIM_LIFETIME).await?;
    let (instance, incarnation) = (&s.process.settings.instance, s.process.incarnation);
    let nonce = Nonce::random();
    let mut written = None;
    for batch in records.keys.chunks(MAX_BATCH_CLAIMS) {
        // A claim that an entry wrote in the copy meanwhile binds a key that has a record here, and
        // no call was sent under it.
        let put = |(hash, epoch): &(Fingerprint, Epoch)| {
            let (instance, epoch) = (instance.clone(), *epoch);
            let claim = Claim { instance, incarnation, epoch, era, nonce };
            let value = serde_json::to_vec(&claim).unwrap_or_default();
            Op::Put(claim_key(&service, *hash), value, Some(lease))
        };
        let puts: Vec<Op> = batch.iter().map(put).collect();
        let outcome = store.txn(&[marker.in_force()], &puts, &[]).await?;
        if !outcome.succeeded || outcome.origin != marker.origin {
            return Err(behind());
        }
        let claim = ClaimStamp { at: Position::new(era, outcome.revision), nonce };
        written = batch.last().map(|(hash, _)| (claim, *hash));
    }
    s.restore.latest.set(s.restore.latest.get().max(written));
    Ok("claims=written")
}

/// Returns whether a stored claim is the one with this random value.
fn is_claim(found: &StoredValue, nonce: Nonce) -> bool {
    let claim = serde_json::from_slice::<Claim>(&found.value).ok();
    claim.is_some_and(|c| c.nonce == nonce && nonce != Nonce::default())
}

/// Returns the marker that was read, if there is one.
pub fn parse_marker(stored: Option<&StoredValue>) -> Option<Marker> {
    serde_json::from_slice(&stored?.value).ok()
}

fn service(s: &Sidecar) -> Option<ServiceName> {
    match &s.endpoint.kind {
        EndpointKind::Plain(service) => Some(service.clone()),
        EndpointKind::Engine(_) => None,
    }
}
