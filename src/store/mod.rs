//! The platform's key-value service and instance list.
//!
//! The key-value service is met by the JSON gateway of etcd v3: it has compare-and-swap over
//! several keys in one call, leases, and watches that name the revision they start from.

mod etcd;
mod list;

pub use etcd::Etcd;
pub use list::{InstanceList, ListedInstance, ListedState, Role};

use serde::{Deserialize, Serialize};
use std::future::Future;
use std::time::Duration;

/// Tells why the store gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// The call never reached the store.
    Unreached,
    /// The call may have taken effect.
    Lost,
    /// The store answered in a way that is not understood.
    Malformed,
    /// The revision to watch from is no longer kept.
    Compacted,
    /// The store turned the call away; nothing was done.
    Refused,
}

/// A value as the store holds it.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredValue {
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the store at its last change.
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key was last changed at this revision.
    Revision(String, u64),
}

/// A change or a read of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum Op {
    /// Writes a key, with the lease that it ends with.
    Put(String, Vec<u8>, Option<LeaseId>),
    /// Reads a key.
    Get(String),
    /// Writes a key that does not exist, or reads the one that does.
    Claim(String, Vec<u8>, Option<LeaseId>),
}

/// What a transaction did.
#[derive(Debug, Clone, PartialEq)]
pub struct TxnOutcome {
    /// Tells whether the conditions held.
    pub succeeded: bool,
    /// Revision of the store after it.
    pub revision: u64,
    /// Values read, in the order of the reads and claims; `None` for a claim that was won.
    pub found: Vec<Option<StoredValue>>,
}

/// Names a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// A store with leases: keys end with the lease that they were written under.
pub trait Leases {
    /// Opens a lease.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] where the store gives no answer.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>>;

    /// Renews a lease; `false` where it has lapsed.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] where the store gives no answer.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<bool, StoreError>>;

    /// Writes a key under a lease, whatever it held before; `false` where the lease has lapsed.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Lost`] where the write may have taken effect.
    fn put(
        &self,
        key: &str,
        value: &[u8],
        lease: LeaseId,
    ) -> impl Future<Output = Result<bool, StoreError>>;
}

/// A small store with compare-and-swap, leases and watches. Each call counts once.
pub trait Store: Leases {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] where the store gives no answer.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<StoredValue>, StoreError>>;

    /// Runs `then` if all of `compares` hold, else `otherwise`, as one step.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Lost`] where the transaction may have taken effect.
    fn txn(
        &self,
        compares: &[Compare],
        then: &[Op],
        otherwise: &[Op],
    ) -> impl Future<Output = Result<TxnOutcome, StoreError>>;

    /// Waits until a key changes after `revision`, at most `wait`; returns its value then.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] where the store gives no answer.
    fn wait_for_change(
        &self,
        key: &str,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<StoredValue>, StoreError>>;
}

/// One key as the store holds it, or the fact that it was removed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    #[serde(rename = "k")]
    pub key: Box<str>,
    /// Value; `None` where the key was removed.
    #[serde(rename = "v", with = "serde_bytes")]
    pub value: Option<Vec<u8>>,
    /// Revision of the store at this change.
    #[serde(rename = "r")]
    pub revision: u64,
}

/// Facts, and the revision that they bring a reader to.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreUpdate {
    /// Facts in the order of their revisions.
    pub kvs: Vec<KeyValue>,
    /// Revision to watch from.
    pub revision: u64,
}

/// A store that can be followed: read as a whole once, then change by change.
pub trait ChangeFeed {
    /// Reads all keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] where the store gives no answer.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<StoreUpdate, StoreError>>;

    /// Asks whether the store answers, by a read of `key` that may be old.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] where it gives no answer within `wait`.
    fn ping(&self, key: &str, wait: Duration) -> impl Future<Output = Result<(), StoreError>>;

    /// Waits at most `wait` for changes of keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Compacted`] where changes since `after` are no longer kept.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreUpdate, StoreError>>;
}
