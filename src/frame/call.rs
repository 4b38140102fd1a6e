//! Calls to plain services, and the keys that make them run at most once.

use super::Refusal;
use crate::id::{Epoch, Fingerprint, Incarnation, Nonce};
use crate::store::Position;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Key that makes the call run at most once; absent if it may be repeated.
    pub key: Option<CallKey>,
    /// HTTP method for the endpoint.
    pub method: Arc<str>,
    /// Path and query for the endpoint.
    pub path: Arc<str>,
    /// Content type of the body; empty if there is none.
    pub content: Arc<str>,
    /// Request body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Time limit of the call, in milliseconds.
    pub left: u64,
}

/// Identity of a call that runs at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallKey {
    /// The only sidecar incarnation that may run the call.
    pub incarnation: Incarnation,
    /// Ledger epoch to which the key belongs.
    pub epoch: Epoch,
    /// Hash of the workspace and the caller's idempotency key.
    pub hash: Fingerprint,
    /// Fingerprint of the call's content, to detect a key that is reused for another call.
    pub content: Fingerprint,
    /// Claim on the key; absent for a key that needs none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub claim: Option<ClaimStamp>,
}

/// A claim in the store, as it was read or written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimStamp {
    /// Revision of its write, in the era in which it was read.
    pub at: Position,
    /// Random value of this claim.
    pub nonce: Nonce,
}

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallReply {
    /// The service responded.
    Done(Answer),
    /// The call ran, but its answer is not kept.
    Ran,
    /// The call is still running.
    Running,
    /// The call did not run and never will under this key.
    NotRun(#[serde(deserialize_with = "super::unknown::read_refusal")] Refusal),
    /// It is not known whether the call ran.
    Unknown,
    /// The key was used before for a call with another content.
    Mismatch,
}

/// Response of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content: Arc<str>,
    /// Response body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Length of the body that the response to a HEAD request leaves out.
    #[serde(default)]
    pub omitted: Option<StatedLength>,
}

/// Length that the head of a response states.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum StatedLength {
    /// Number of bytes.
    Bytes(u64),
    /// It states none.
    Unknown,
}
