//! State of an entry or sidecar process that its controllers share.
//!
//! Controllers such as placement, ejection and admission are plain functions on these structures;
//! they do no I/O, so tests can run them step by step.

mod entry;
mod sidecar;

pub use entry::{Endpoint, EndpointKey, EntryBoard, FAILURE_LIMIT, Health, LatestReport, Peer};
pub use sidecar::{Engine, Job, JobKey, Phase, SidecarBoard};
