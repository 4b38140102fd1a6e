//! Failure tests of complete deployments on loopback: real daemon processes with simulated engines,
//! services, store and instance list.

mod answers;
mod calls;
mod common;
mod hostile;
mod intent;
mod memory;
mod outages;
mod ports;
mod requests;
mod schedule;
mod shutdown;
mod start;
mod streams;
mod withdrawals;
