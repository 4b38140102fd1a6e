//! One leader gives orders to engines; fencing numbers and tickets keep an old one from it.

mod elect;
mod guard;
mod plan;

pub use elect::{Election, FENCE_KEY, LEASE_TTL, Term};
pub use guard::{Guard, GuardError, TICKET_TTL};
pub use plan::{PlannedOrder, Planner};
