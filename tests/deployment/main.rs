//! Whole deployments on loopback under failure: the real daemons as processes among stand-ins.

mod calls;
mod common;
mod day;
mod hostile;
mod intent;
mod memory;
mod streams;
