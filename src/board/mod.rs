//! The state of a process, which controllers read and write.

mod entry;
mod sidecar;

pub use entry::{Endpoint, EndpointKey, EntryBoard, FAILURE_LIMIT, Health, LatestReport, Peer};
pub use sidecar::{Engine, Job, JobKey, Phase, SidecarBoard};
