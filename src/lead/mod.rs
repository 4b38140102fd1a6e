//! One leader gives orders to engines; fencing numbers and tickets keep an old one from it.

mod elect;
mod guard;
mod plan;

pub use elect::{Election, FENCE_KEY, LEASE_TIME, Tenure};
pub use guard::{Guard, GuardError, TICKET_TIME};
pub use plan::{Planned, Planner};
