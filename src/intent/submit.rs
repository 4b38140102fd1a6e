//! Writes submitted configurations to the store and reads versions from it.
//!
//! The text of a version is stored in parts, each under the hash of its content, and a head lists
//! the parts of the newest version. A submission replaces the head by compare-and-swap. In the same
//! transaction it writes a record of its version. If the answer to that transaction is lost, the
//! record shows whether the submission was accepted.

use super::{chunk_hash, split_chunks};
use crate::frame::IntentCopy;
use crate::id::IntentVersion;
use crate::store::{Compare, Op, Store, StoreError, StoredValue};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Key of the [`Head`] of the newest version.
pub const HEAD_KEY: &str = "skylark/intent/head";
/// Maximum number of parts in one transaction; a part has about 64 KiB at most.
const MAX_TXN_PARTS: usize = 16;
/// Attempts to read the record of a version after the answer to its write was lost.
const READ_BACK_ATTEMPTS: u32 = 3;

/// Stored record of one version, without the contents of its parts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Version that the submission created.
    pub version: IntentVersion,
    /// Hashes of the parts, in order.
    pub parts: Vec<Arc<str>>,
    /// Id of the submission, derived from its content.
    pub submission: Arc<str>,
    /// Operator who submitted it.
    pub who: Arc<str>,
    /// Time of the submission in seconds since the Unix epoch.
    pub when: u64,
}

/// Configuration that an operator submits.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// Source text of the configuration.
    pub text: Arc<str>,
    /// Version that the text was edited from, 0 for the first submission.
    pub from: IntentVersion,
    /// Operator who submits it.
    pub who: Arc<str>,
    /// Time of the submission in seconds since the Unix epoch.
    pub when: u64,
}

/// Result of a submission.
#[derive(Debug, Clone, PartialEq)]
pub enum Submitted {
    /// The submission is stored as this version, possibly by an earlier attempt.
    Accepted(IntentVersion),
    /// Another submission was accepted first; holds the head of the newest version.
    Conflict(Head),
    /// This attempt did not write the head; holds the error of the store.
    NotWritten(StoreError),
    /// The submission may have been accepted; submitting it again gives a definite answer.
    Unknown,
}

impl Submission {
    /// Returns an id derived from the content, so that a repeated submission has the same id.
    fn id(&self) -> Arc<str> {
        let mut h = Sha256::new();
        h.update(self.from.0.to_le_bytes());
        h.update((self.who.len() as u64).to_le_bytes());
        h.update(self.who.as_bytes());
        h.update(self.text.as_bytes());
        Arc::from(h.finalize()[..16].iter().map(|b| format!("{b:02x}")).collect::<String>())
    }
}

fn version_key(n: IntentVersion) -> String {
    format!("skylark/intent/version/{n}")
}

/// Returns the store key of the part with this hash.
pub fn part_key(name: &str) -> String {
    format!("skylark/intent/part/{name}")
}

/// Writes a submission to the store, unless another one has replaced the version it is based on.
/// `known` is the version in force in this process: a store that holds an older one would give out
/// its number again.
pub async fn submit<S: Store>(store: &S, known: IntentVersion, s: &Submission) -> Submitted {
    let next = IntentVersion(s.from.0 + 1);
    // A repeat of an accepted submission is answered from its record, even if newer versions exist.
    match store.get(&version_key(next)).await {
        Ok(Some(record)) => return outcome_of_record(store, s, &record.value).await,
        Ok(None) => {}
        Err(e) => return Submitted::NotWritten(e),
    }
    let parts = match write_parts(store, &s.text).await {
        Ok(parts) => parts,
        Err(e) => return Submitted::NotWritten(e),
    };
    let head = Head { version: next, parts, submission: s.id(), who: s.who.clone(), when: s.when };
    let old = match store.get(HEAD_KEY).await {
        Ok(old) => old,
        Err(e) => return Submitted::NotWritten(e),
    };
    let current = old.as_ref().map_or(IntentVersion(0), |o| head_version(&o.value));
    if current < known {
        return Submitted::NotWritten(StoreError::Behind);
    }
    if current != s.from {
        return read_conflict(store).await;
    }
    let compare = head_unchanged(old);
    let value = serde_json::to_vec(&head).unwrap_or_default();
    let then =
        [Op::Put(HEAD_KEY.into(), value.clone(), None), Op::Put(version_key(next), value, None)];
    match store.txn(&[compare], &then, &[]).await {
        Ok(o) if o.succeeded => Submitted::Accepted(next),
        Ok(_) => read_back_outcome(store, s, next).await,
        Err(StoreError::Unreached) => Submitted::NotWritten(StoreError::Unreached),
        Err(_) => read_back_outcome(store, s, next).await,
    }
}

/// Writes the configuration in force again to a store that came back from an older copy. Returns
/// whether it was written; a store that holds this version or a newer one is left as it is.
///
/// # Errors
///
/// Returns [`StoreError`] if the store does not answer or refuses the write.
pub async fn write_back<S: Store>(
    store: &S,
    version: IntentVersion,
    text: &str,
) -> Result<bool, StoreError> {
    let old = store.get(HEAD_KEY).await?;
    if old.as_ref().is_some_and(|o| head_version(&o.value) >= version) {
        return Ok(false);
    }
    let parts = write_parts(store, text).await?;
    // Who submitted it, and when, is known to the lost record only.
    let head = Head { version, parts, submission: Arc::from(""), who: Arc::from(""), when: 0 };
    let value = serde_json::to_vec(&head).unwrap_or_default();
    let then =
        [Op::Put(HEAD_KEY.into(), value.clone(), None), Op::Put(version_key(version), value, None)];
    Ok(store.txn(&[head_unchanged(old)], &then, &[]).await?.succeeded)
}

/// Returns the condition that the head is still the one that was read.
fn head_unchanged(read: Option<StoredValue>) -> Compare {
    match read {
        Some(head) => Compare::Value(HEAD_KEY.into(), head.value),
        None => Compare::Absent(HEAD_KEY.into()),
    }
}

fn head_version(value: &[u8]) -> IntentVersion {
    serde_json::from_slice::<Head>(value).map_or(IntentVersion(0), |h| h.version)
}

/// Reads the record of a version to find out whether the write of the submission succeeded.
async fn read_back_outcome<S: Store>(store: &S, s: &Submission, next: IntentVersion) -> Submitted {
    for _ in 0..READ_BACK_ATTEMPTS {
        // An absent record proves nothing: the write may still be in flight.
        if let Ok(Some(record)) = store.get(&version_key(next)).await {
            return outcome_of_record(store, s, &record.value).await;
        }
    }
    Submitted::Unknown
}

/// Returns the result of a submission from the record of the version that it would create.
async fn outcome_of_record<S: Store>(store: &S, s: &Submission, record: &[u8]) -> Submitted {
    match serde_json::from_slice::<Head>(record) {
        Ok(head) if is_record_of(&head, s) => Submitted::Accepted(head.version),
        _ => read_conflict(store).await,
    }
}

/// Returns whether a record is that of a submission. One that was written back names no submission
/// and is recognized by its text.
fn is_record_of(head: &Head, s: &Submission) -> bool {
    let has_text =
        || head.parts.iter().cloned().eq(split_chunks(&s.text).iter().map(|c| chunk_hash(c)));
    head.submission == s.id() || head.submission.is_empty() && has_text()
}

/// Returns a conflict with the newest version in the store.
async fn read_conflict<S: Store>(store: &S) -> Submitted {
    match store.get(HEAD_KEY).await {
        Ok(Some(o)) => serde_json::from_slice(&o.value)
            .map_or(Submitted::NotWritten(StoreError::Malformed), Submitted::Conflict),
        Ok(None) => Submitted::NotWritten(StoreError::Malformed),
        Err(e) => Submitted::NotWritten(e),
    }
}

/// Writes the parts of a text that the store does not have yet; returns the hashes of all parts.
async fn write_parts<S: Store>(store: &S, text: &str) -> Result<Vec<Arc<str>>, StoreError> {
    let all = split_chunks(text);
    let names: Vec<Arc<str>> = all.iter().map(|c| chunk_hash(c)).collect();
    for (chunks, names) in all.chunks(MAX_TXN_PARTS).zip(names.chunks(MAX_TXN_PARTS)) {
        let claim =
            |(c, n): (&Arc<str>, &Arc<str>)| Op::Claim(part_key(n), c.as_bytes().to_vec(), None);
        let claims: Vec<Op> = chunks.iter().zip(names).map(claim).collect();
        store.txn(&[], &claims, &[]).await?;
    }
    Ok(names)
}

/// Reads the newest version from the store, without the chunks whose hashes are in `have`.
///
/// Returns it with the store revision of the head; `None` if nothing has been submitted yet.
///
/// # Errors
///
/// Returns [`StoreError`] if the store does not answer or its data is malformed.
pub async fn read_newest<S: Store>(
    store: &S,
    have: &[Arc<str>],
) -> Result<Option<(IntentCopy, u64)>, StoreError> {
    let Some(stored) = store.get(HEAD_KEY).await? else { return Ok(None) };
    let copy = read_parts(store, &stored.value, have).await?;
    Ok(Some((copy, stored.revision)))
}

/// Reads the record and the source text of a version; `None` if there is no such version.
///
/// # Errors
///
/// Returns [`StoreError`] if the store does not answer or its data is malformed.
pub async fn read_version<S: Store>(
    store: &S,
    version: IntentVersion,
) -> Result<Option<(Head, String)>, StoreError> {
    let Some(stored) = store.get(&version_key(version)).await? else { return Ok(None) };
    let head = serde_json::from_slice(&stored.value).map_err(|_| StoreError::Malformed)?;
    let copy = read_parts(store, &stored.value, &[]).await?;
    Ok(Some((head, copy.chunks.iter().map(|c| &**c).collect())))
}

async fn read_parts<S: Store>(
    store: &S,
    head: &[u8],
    have: &[Arc<str>],
) -> Result<IntentCopy, StoreError> {
    let head: Head = serde_json::from_slice(head).map_err(|_| StoreError::Malformed)?;
    let missing: Vec<&Arc<str>> = head.parts.iter().filter(|n| !have.contains(n)).collect();
    let mut found = Vec::new();
    for names in missing.chunks(MAX_TXN_PARTS) {
        let gets: Vec<Op> = names.iter().map(|n| Op::Get(part_key(n))).collect();
        for part in store.txn(&[], &gets, &[]).await?.found {
            let part = part.ok_or(StoreError::Malformed)?;
            let chunk = String::from_utf8(part.value).map_err(|_| StoreError::Malformed)?;
            found.push(Arc::from(chunk));
        }
    }
    Ok(IntentCopy { version: head.version, parts: head.parts, chunks: found })
}
