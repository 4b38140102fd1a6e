//! Key-value store and instance list of the platform.
//!
//! [`Etcd`] uses the JSON gateway of etcd v3, because etcd has compare-and-swap over several keys
//! in one call, leases, and watches from a given revision.

mod applied;
mod etcd;
mod failure;
mod history;
mod list;
mod patience;
mod position;
mod rereads;

pub use applied::{Applied, ListStart};
pub use etcd::Etcd;
pub use failure::{CallFailure, failure_label};
pub use history::{History, MARKER_KEY, Marker, Standing};
pub use list::{InstanceList, ListedInstance, ListedState, Role, parse_instances};
pub use patience::Patience;
pub use position::{Era, Position, PositionError};
pub use rereads::Rereads;

use serde::{Deserialize, Serialize};
use std::fmt;
use std::future::Future;
use std::time::Duration;

/// Reason why a call to the store or the instance list failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// The call did not reach the server.
    Unreached,
    /// The call was sent but got no successful response; it may have taken effect.
    Lost,
    /// The response could not be parsed.
    Malformed,
    /// The history since the revision to watch from was compacted.
    Compacted,
    /// The store refused the call, which had no effect.
    Refused,
    /// The store has come back from an older copy, which lacks what was written since.
    Behind,
    /// The response is larger than a client accepts.
    TooLarge,
}

impl StoreError {
    /// Returns whether changes can't be followed from the known revision, so that all keys have to be
    /// read. Many versions of a large value may be too large for one response, over and over.
    pub fn requires_full_read(self) -> bool {
        matches!(self, StoreError::Compacted | StoreError::TooLarge)
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StoreError::Unreached => "unreached",
            StoreError::Lost => "lost",
            StoreError::Malformed => "malformed",
            StoreError::Compacted => "compacted",
            StoreError::Refused => "refused",
            StoreError::Behind => "behind",
            StoreError::TooLarge => "too-large",
        })
    }
}

/// A value in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredValue {
    /// Content in bytes.
    pub value: Vec<u8>,
    /// Store revision of the last change of the key.
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key has this value. Revisions are given out again by a store that comes back from an
    /// older copy.
    Value(String, Vec<u8>),
}

/// An operation of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Op {
    /// Writes a key; if a lease is given, the key is deleted when the lease expires.
    Put(String, Vec<u8>, Option<LeaseId>),
    /// Reads a key.
    Get(String),
    /// Writes a key as [`Op::Put`] does if it does not exist, otherwise reads it.
    Claim(String, Vec<u8>, Option<LeaseId>),
}

/// Identity of the servers that answer for a store. It does not change without a restart of one or
/// an election among them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Identifier of the cluster; 0 if the store gives none.
    pub cluster: u64,
    /// Number of the election of the present leader; 0 if the store gives none.
    pub term: u64,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub struct TxnOutcome {
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Store revision after the transaction.
    pub revision: u64,
    /// Server that ran the transaction.
    pub origin: Origin,
    /// Results of the reads and claims, in their order; `None` for a read of an absent key and for
    /// a claim that wrote its key.
    pub found: Vec<Option<StoredValue>>,
}

/// Identifier of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// A store with leases. Keys written under a lease are deleted when it expires.
pub trait Leases {
    /// Creates a lease that expires `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the call fails.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>>;

    /// Renews a lease; returns `false` if it has expired.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the call fails.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<bool, StoreError>>;

    /// Writes a key under a lease unconditionally; returns `false` if the store reports that the
    /// lease has expired.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Lost`] if the write may have taken effect.
    fn put(
        &self,
        key: &str,
        value: &[u8],
        lease: LeaseId,
    ) -> impl Future<Output = Result<bool, StoreError>>;
}

/// A store with transactions, leases and watches. Each method makes one call to the store.
pub trait Store: Leases {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the call fails.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<StoredValue>, StoreError>>;

    /// Runs `then` if all of `compares` hold, else `otherwise`, atomically.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Lost`] if the transaction may have taken effect.
    fn txn(
        &self,
        compares: &[Compare],
        then: &[Op],
        otherwise: &[Op],
    ) -> impl Future<Output = Result<TxnOutcome, StoreError>>;

    /// Waits for a write of a key after `revision` and returns the new value, or `None` if there is
    /// none within `wait`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the call fails.
    fn wait_for_change(
        &self,
        key: &str,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<StoredValue>, StoreError>>;
}

/// Value or deletion of one key at a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Full key, with its prefix.
    #[serde(rename = "k")]
    pub key: Box<str>,
    /// Content in bytes; `None` if the key was deleted.
    #[serde(rename = "v", with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
    /// Store revision of the change, in the era of the read.
    #[serde(rename = "r")]
    pub revision: u64,
}

/// Values and deletions of keys from one read of a store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreUpdate {
    /// The keys, in the order in which the store returned them.
    pub kvs: Vec<KeyValue>,
    /// Position after which the next watch has to start.
    pub at: Position,
}

/// A store whose keys can be listed and then watched for changes. Others write keys of their own to it.
pub trait ChangeFeed {
    /// Lists the keys with any of `prefixes`. A value that cannot be read is empty.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if a call fails.
    fn list(&self, prefixes: &[&str]) -> impl Future<Output = Result<StoreUpdate, StoreError>>;

    /// Checks that the store responds, by a read of `key` that may return stale data.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store does not answer within `wait`.
    fn ping(&self, key: &str, wait: Duration) -> impl Future<Output = Result<(), StoreError>>;

    /// Waits up to `wait` for changes after the revision `after`, and returns those of keys with any of
    /// `prefixes`.
    ///
    /// The store may have entered another era meanwhile; then the changes are incomplete.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Compacted`] if the store no longer has all changes since `after`.
    fn watch(
        &self,
        prefixes: &[&str],
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreUpdate, StoreError>>;
}
