//! Protects an engine against orders of leaders whose lease has expired.
//!
//! Some engines ignore fencing numbers, so the sidecar checks them. It remembers the highest
//! number, and reads it from the store after a restart. A number alone cannot stop a leader that
//! was paused beyond the end of its lease while no other leader was elected, so each order also
//! needs a ticket. The leader draws a ticket, then checks that its lease is valid for longer than
//! the ticket, then sends the order. If it is paused after the check, the ticket expires before the
//! lease does.

use crate::id::{Fence, Nonce};
use std::time::{Duration, Instant};

/// Validity of a ticket.
pub const TICKET_TTL: Duration = Duration::from_secs(2);

/// Reason for the refusal of an order or a ticket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum GuardError {
    /// The highest fencing number has not been read since the restart.
    Floor,
    /// The number is lower than this one, the highest known.
    Fence(Fence),
    /// The ticket is unknown, used or expired.
    Ticket,
}

/// Fencing state of one sidecar.
#[derive(Debug, Default)]
pub struct Guard {
    /// Highest known fencing number; `None` until it is read after a restart.
    floor: Option<Fence>,
    /// Latest ticket, with the fencing number of its holder and the time of its issue.
    ticket: Option<(Nonce, Fence, Instant)>,
}

impl Guard {
    /// Raises the highest known fencing number to the one read from the store.
    pub fn learn_fence(&mut self, stored: Fence) {
        self.floor = Some(self.floor.map_or(stored, |f| f.max(stored)));
    }

    /// Issues a ticket to the leader with fencing number `fence`. It replaces an earlier ticket.
    ///
    /// # Errors
    ///
    /// Returns [`GuardError`] if the number is too low or the highest number is not yet known.
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

    /// Admits an order and uses up its ticket.
    ///
    /// # Errors
    ///
    /// Returns [`GuardError`] if the fencing number or the ticket is not valid.
    pub fn admit(&mut self, now: Instant, fence: Fence, nonce: Nonce) -> Result<(), GuardError> {
        self.check(fence)?;
        let (ticket, holder, issued) = self.ticket.take().ok_or(GuardError::Ticket)?;
        let is_valid = ticket == nonce && holder == fence && now < issued + TICKET_TTL;
        if is_valid { Ok(()) } else { Err(GuardError::Ticket) }
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
    fn order_with_expired_ticket_is_refused() {
        let t = crate::clock::now();
        let mut guard = Guard::default();
        guard.learn_fence(Fence(5));
        let ticket = guard.issue_ticket(t, Fence(5), Nonce(1)).unwrap();
        let late = guard.admit(t + TICKET_TTL, Fence(5), ticket);
        assert_eq!(late, Err(GuardError::Ticket));
    }

    #[test]
    fn restarted_sidecar_refuses_former_leader() {
        let t = crate::clock::now();
        let mut guard = Guard::default();
        assert_eq!(guard.issue_ticket(t, Fence(5), Nonce(1)), Err(GuardError::Floor));
        guard.learn_fence(Fence(6));
        assert_eq!(guard.issue_ticket(t, Fence(5), Nonce(1)), Err(GuardError::Fence(Fence(6))));
    }

    #[test]
    fn ticket_admits_one_order() {
        let t = crate::clock::now();
        let mut guard = Guard::default();
        guard.learn_fence(Fence(5));
        let ticket = guard.issue_ticket(t, Fence(5), Nonce(1)).unwrap();
        assert_eq!(guard.admit(t, Fence(5), ticket), Ok(()));
        assert_eq!(guard.admit(t, Fence(5), ticket), Err(GuardError::Ticket));
    }
}
