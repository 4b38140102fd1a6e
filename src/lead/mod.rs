//! Leader election among the entries, and the orders that the leader sends to engines. Fencing
//! numbers and tickets prevent a former leader from sending any.

mod elect;
mod guard;
mod plan;

pub use elect::{Election, FENCE_KEY, LEASE_TTL, Term, fence_at};
pub use guard::{Guard, GuardError, TICKET_TTL};
pub use plan::{PlannedOrder, Planner};
