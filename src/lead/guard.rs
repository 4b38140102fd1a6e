//! Guards an engine against orders of leaders whose lease has ended.
//!
//! Some engines ignore fencing numbers, so the sidecar checks them. It remembers the highest
//! number and learns it from the store after a restart. A number alone cannot stop a leader that
//! was paused past its lease while nobody else was elected, so an order also needs a ticket: the
//! leader draws one, then checks that its lease lasts longer than the ticket, then sends the
//! order. Whatever is paused after the check outlives the ticket first.

use crate::id::{Fence, Nonce};
use std::time::{Duration, Instant};

/// Time that a ticket is good for.
pub const TICKET_TTL: Duration = Duration::from_secs(2);

/// Tells why an order was refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum GuardError {
    /// The floor is not yet known since the restart.
    Floor,
    /// A higher number has been seen.
    Fence(Fence),
    /// The ticket is unknown or too old.
    Ticket,
}

/// The memory of one sidecar.
#[derive(Debug, Default)]
pub struct Guard {
    floor: Option<Fence>,
    ticket: Option<(Nonce, Fence, Instant)>,
}

impl Guard {
    /// Takes over the number that the store holds.
    pub fn learn_fence(&mut self, floor: Fence) {
        self.floor = Some(self.floor.map_or(floor, |f| f.max(floor)));
    }

    /// Draws a ticket for the leader with this number.
    ///
    /// # Errors
    ///
    /// Returns [`GuardError`] where the number is too low or the floor unknown.
    pub fn issue_ticket(
        &mut self,
        now: Instant,
        fence: Fence,
        nonce: Nonce,
    ) -> Result<Nonce, GuardError> {
        self.check(fence)?;
        self.floor = Some(fence);
        self.ticket = Some((nonce, fence, now));
        Ok(nonce)
    }

    /// Admits an order once per ticket.
    ///
    /// # Errors
    ///
    /// Returns [`GuardError`] where number or ticket do not hold.
    pub fn admit(&mut self, now: Instant, fence: Fence, nonce: Nonce) -> Result<(), GuardError> {
        self.check(fence)?;
        let (ticket, holder, drawn) = self.ticket.take().ok_or(GuardError::Ticket)?;
        let is_good = ticket == nonce && holder == fence && now < drawn + TICKET_TTL;
        if is_good { Ok(()) } else { Err(GuardError::Ticket) }
    }

    fn check(&self, fence: Fence) -> Result<(), GuardError> {
        match self.floor {
            None => Err(GuardError::Floor),
            Some(floor) if fence < floor => Err(GuardError::Fence(floor)),
            Some(_) => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_leader_paused_past_its_lease_gives_no_order() {
        let t = crate::clock::now();
        let mut guard = Guard::default();
        guard.learn_fence(Fence(5));
        let ticket = guard.issue_ticket(t, Fence(5), Nonce(1)).unwrap();
        let late = guard.admit(t + TICKET_TTL, Fence(5), ticket);
        assert_eq!(late, Err(GuardError::Ticket));
    }

    #[test]
    fn a_restarted_sidecar_refuses_an_old_leader() {
        let t = crate::clock::now();
        let mut guard = Guard::default();
        assert_eq!(guard.issue_ticket(t, Fence(5), Nonce(1)), Err(GuardError::Floor));
        guard.learn_fence(Fence(6));
        assert_eq!(guard.issue_ticket(t, Fence(5), Nonce(1)), Err(GuardError::Fence(Fence(6))));
    }

    #[test]
    fn a_repeated_order_takes_effect_once() {
        let t = crate::clock::now();
        let mut guard = Guard::default();
        guard.learn_fence(Fence(5));
        let ticket = guard.issue_ticket(t, Fence(5), Nonce(1)).unwrap();
        assert_eq!(guard.admit(t, Fence(5), ticket), Ok(()));
        assert_eq!(guard.admit(t, Fence(5), ticket), Err(GuardError::Ticket));
    }
}
