//! Leader election among the entries, based on a lease in the store.
//!
//! The fencing number of a leader is the position at which it was elected. A store that comes back
//! from an older copy gives out the same revisions again, in a later era.

use super::guard::TICKET_TTL;
use crate::id::{Fence, InstanceId};
use crate::store::{Compare, Era, LeaseId, Marker, Op, Position, Store, StoreError};
use std::time::{Duration, Instant};

/// Time after which a lease that is not renewed expires.
pub const LEASE_TTL: Duration = Duration::from_secs(10);
/// Key that the leader holds; bound to its lease.
const LEADER_KEY: &str = "skylark/leader";
/// Key whose revision is the fencing number of the latest leader.
pub const FENCE_KEY: &str = "skylark/fence";

/// Number of low bits of a fencing number that hold the revision.
const REVISION_BITS: u32 = 40;

/// Returns the fencing number of a leader that was elected at a position. In the first era it is
/// the revision.
pub fn fence_at(at: Position) -> Fence {
    let revision = at.revision.min((1 << REVISION_BITS) - 1);
    Fence(at.era.0.min((1 << (u64::BITS - REVISION_BITS)) - 1) << REVISION_BITS | revision)
}

/// A term of this entry as leader.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Term {
    /// Fencing number, sent with every order.
    pub fence: Fence,
    /// Time until which the lease is certain to be valid.
    pub until: Instant,
}

impl Term {
    /// Returns whether the lease is valid for longer than any ticket drawn before `now`.
    pub fn may_order(&self, now: Instant) -> bool {
        now + TICKET_TTL < self.until
    }
}

/// State of one entry in the election.
#[derive(Debug, Default)]
pub struct Election {
    lease: Option<LeaseId>,
    /// Latest known era, and the time from which a leader may be elected in it.
    era: Option<(Era, Instant)>,
    /// Current term; `None` if this entry is not the leader.
    pub term: Option<Term>,
}

impl Election {
    /// Renews the lease, or tries to become leader.
    ///
    /// `asked` is the time before the call. The validity of the lease is counted from it, so that
    /// this entry never assumes a later end than the store.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not answer or has come back from an older copy; a
    /// current term then lasts until [`Term::until`].
    pub async fn step<S: Store>(
        &mut self,
        asked: Instant,
        store: &S,
        own: &InstanceId,
        marker: &Marker,
    ) -> Result<(), StoreError> {
        self.note_era(asked, marker.era);
        if self.term.is_some_and(|t| t.until <= asked) {
            self.term = None;
            self.lease = None;
        }
        let Some(lease) = self.lease else {
            self.lease = Some(store.grant(LEASE_TTL).await?);
            return self.campaign(asked, store, own, marker).await;
        };
        if !store.renew(lease).await? {
            self.term = None;
            self.lease = None;
            return Ok(());
        }
        match &mut self.term {
            Some(t) => t.until = asked + LEASE_TTL,
            None => self.campaign(asked, store, own, marker).await?,
        }
        Ok(())
    }

    /// Ends a term of an earlier era, whose orders sidecars that start now would refuse, and delays
    /// elections in a new one. The leader's key may have gone with the copy, and the terms of others
    /// last for [`LEASE_TTL`] at most.
    fn note_era(&mut self, now: Instant, era: Era) {
        if self.era.is_some_and(|(known, _)| known < era) {
            (self.term, self.lease) = (None, None);
        }
        if self.era.is_none_or(|(known, _)| known < era) {
            let delay = if era.is_first() { Duration::ZERO } else { LEASE_TTL };
            self.era = Some((era, now + delay));
        }
    }

    async fn campaign<S: Store>(
        &mut self,
        asked: Instant,
        store: &S,
        own: &InstanceId,
        marker: &Marker,
    ) -> Result<(), StoreError> {
        if self.era.is_some_and(|(_, from)| asked < from) {
            return Ok(());
        }
        let name = own.as_str().as_bytes().to_vec();
        let absent = Compare::Absent(LEADER_KEY.into());
        let then = [
            Op::Put(LEADER_KEY.into(), name.clone(), self.lease),
            Op::Put(FENCE_KEY.into(), name, None),
        ];
        let outcome = store.txn(&[absent, marker.in_force()], &then, &[]).await;
        match outcome {
            Ok(o) if o.succeeded && o.origin == marker.origin => {
                let fence = fence_at(Position::new(marker.era, o.revision));
                self.term = Some(Term { fence, until: asked + LEASE_TTL });
                Ok(())
            }
            Ok(o) if o.succeeded => {
                // The store has come back, and no era has begun yet.
                self.lease = None;
                Err(StoreError::Behind)
            }
            Ok(_) => Ok(()),
            // The transaction may have succeeded all the same. The key is then bound to this lease,
            // which is no longer renewed and expires by itself.
            Err(e) => {
                self.lease = None;
                Err(e)
            }
        }
    }
}
