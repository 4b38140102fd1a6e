//! Runs the gateway as a process against simulated parts of the users' platform.

mod backlog;
mod calls;
mod cold;
mod common;
mod crashing_contents;
mod crashing_fleet;
mod crashing_parts;
mod endless;
mod evacuation;
mod explain;
mod faulty;
mod intent;
mod lifecycle;
mod limits;
mod notices;
mod polls;
mod retries;
mod shutdown;
mod store_return;
mod streams;
