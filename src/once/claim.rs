//! Claims on idempotency keys chosen by callers, as the store has them.

use crate::id::{Epoch, Fingerprint, Incarnation, InstanceId, Nonce, ServiceName};
use crate::store::Era;
use serde::{Deserialize, Serialize};

/// Record that binds a key to one sidecar run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Instance of the sidecar.
    pub instance: InstanceId,
    /// Run of the sidecar.
    pub incarnation: Incarnation,
    /// Epoch of the sidecar's ledger when the key was bound.
    pub epoch: Epoch,
    /// Era of the store in which the claim was written.
    #[serde(default, skip_serializing_if = "Era::is_first")]
    pub era: Era,
    /// Random value of this claim; 0 in claims of older builds.
    #[serde(default)]
    pub nonce: Nonce,
}

/// Returns the store key of the claim on a key of a service.
pub fn claim_key(service: &ServiceName, hash: Fingerprint) -> String {
    format!("skylark/claim/{service}/{hash}")
}

/// What may be done with a key by the claim that the store has for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimUse {
    /// It is bound to a sidecar if there is no claim.
    Bind,
    /// The claim decides.
    Use,
    /// It is unknown whether the key has run.
    Doubt,
}

/// Decides on a key in `era`. `claim` is the era in which its claim was written, if it has one;
/// `is_settled` tells whether all claims that may have gone with a copy are written again.
///
/// A claim of an earlier era may have been written between the return of the store and its notice,
/// when the key already had another claim.
pub fn judge_claim(era: Era, claim: Option<Era>, is_settled: bool) -> ClaimUse {
    match claim {
        None if is_settled => ClaimUse::Bind,
        Some(written) if is_settled || written >= era => ClaimUse::Use,
        _ => ClaimUse::Doubt,
    }
}
