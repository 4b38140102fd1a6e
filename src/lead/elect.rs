//! Leader election among the entries, based on a lease in the store.

use super::guard::TICKET_TTL;
use crate::id::{Fence, InstanceId};
use crate::store::{Compare, LeaseId, Op, Store, StoreError};
use std::time::{Duration, Instant};

/// Time after which a lease that is not renewed expires.
pub const LEASE_TTL: Duration = Duration::from_secs(10);
/// Key that the leader holds; bound to its lease.
const LEADER_KEY: &str = "skylark/leader";
/// Key whose revision is the fencing number of the latest leader.
pub const FENCE_KEY: &str = "skylark/fence";

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
    /// Returns [`StoreError`] if the store does not answer; a current term then lasts until
    /// [`Term::until`].
    pub async fn step<S: Store>(
        &mut self,
        asked: Instant,
        store: &S,
        own: &InstanceId,
    ) -> Result<(), StoreError> {
        if self.term.is_some_and(|t| t.until <= asked) {
            self.term = None;
            self.lease = None;
        }
        let Some(lease) = self.lease else {
            self.lease = Some(store.grant(LEASE_TTL).await?);
            return self.campaign(asked, store, own).await;
        };
        if !store.renew(lease).await? {
            self.term = None;
            self.lease = None;
            return Ok(());
        }
        match &mut self.term {
            Some(t) => t.until = asked + LEASE_TTL,
            None => self.campaign(asked, store, own).await?,
        }
        Ok(())
    }

    async fn campaign<S: Store>(
        &mut self,
        asked: Instant,
        store: &S,
        own: &InstanceId,
    ) -> Result<(), StoreError> {
        let name = own.as_str().as_bytes().to_vec();
        let absent = Compare::Absent(LEADER_KEY.into());
        let then = [
            Op::Put(LEADER_KEY.into(), name.clone(), self.lease),
            Op::Put(FENCE_KEY.into(), name, None),
        ];
        let outcome = store.txn(&[absent], &then, &[]).await;
        match outcome {
            Ok(o) if o.succeeded => {
                let fence = Fence(o.revision);
                self.term = Some(Term { fence, until: asked + LEASE_TTL });
                Ok(())
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
