//! The gateway's decisions, played in virtual time without a network.

mod admit;
mod evacuate;
mod fixture;
mod platform;
mod pool;
mod share;
mod sim;
mod sse;
