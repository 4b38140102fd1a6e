//! Submission of texts to the store, and reading them back.
//!
//! A text lives in parts named by their content under one head. The head moves by
//! compare-and-swap, and each version keeps a record of its submission, by which an answer lost
//! after the write is settled.

use super::{chunk_hash, split_chunks};
use crate::frame::IntentCopy;
use crate::id::IntentVersion;
use crate::store::{Compare, Op, Store, StoreError};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Key of the head.
pub const HEAD_KEY: &str = "skylark/intent/head";
/// Parts in one call of the store; each has 64 KB at most.
const MAX_TXN_PARTS: usize = 16;
/// Tries to settle a lost answer.
const READ_BACK_ATTEMPTS: u32 = 3;

/// What the store keeps of one version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Version.
    pub version: IntentVersion,
    /// Names of the parts in order.
    pub parts: Vec<Arc<str>>,
    /// Names the submission.
    pub submission: Arc<str>,
    /// Operator who submitted it.
    pub who: Arc<str>,
    /// Seconds since the Unix epoch.
    pub when: u64,
}

/// A submission as an operator made it.
#[derive(Debug, Clone, PartialEq)]
pub struct Submission {
    /// The text.
    pub text: Arc<str>,
    /// Version it was edited from; 0 for the first.
    pub from: IntentVersion,
    /// Operator.
    pub who: Arc<str>,
    /// Seconds since the Unix epoch.
    pub when: u64,
}

/// What became of a submission.
#[derive(Debug, Clone, PartialEq)]
pub enum Submitted {
    /// It is this version, now or since an earlier try.
    Accepted(IntentVersion),
    /// Another submission came first; this is the newest version.
    Conflict(Head),
    /// Nothing was written.
    NotWritten(StoreError),
    /// It may have been accepted; submitting the same text again settles it.
    Unknown,
}

impl Submission {
    /// Names the submission by its content, so that a repeat has the same name.
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

/// Returns the key of a part.
pub fn part_key(name: &str) -> String {
    format!("skylark/intent/part/{name}")
}

/// Submits a text.
pub async fn submit<S: Store>(store: &S, s: &Submission) -> Submitted {
    let next = IntentVersion(s.from.0 + 1);
    // A repeat of an accepted submission is answered from its record, however much came since.
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
    let stands = old.as_ref().map_or(IntentVersion(0), |o| head_version(&o.value));
    if stands != s.from {
        return read_conflict(store).await;
    }
    let compare = match &old {
        Some(o) => Compare::Revision(HEAD_KEY.into(), o.revision),
        None => Compare::Absent(HEAD_KEY.into()),
    };
    let value = serde_json::to_vec(&head).unwrap_or_default();
    let then =
        [Op::Put(HEAD_KEY.into(), value.clone(), None), Op::Put(version_key(next), value, None)];
    match store.txn(&[compare], &then, &[]).await {
        Ok(o) if o.succeeded => Submitted::Accepted(next),
        Ok(_) => resolve_lost_answer(store, s, next).await,
        Err(StoreError::Unreached) => Submitted::NotWritten(StoreError::Unreached),
        Err(_) => resolve_lost_answer(store, s, next).await,
    }
}

fn head_version(value: &[u8]) -> IntentVersion {
    serde_json::from_slice::<Head>(value).map_or(IntentVersion(0), |h| h.version)
}

/// Finds out what became of a write whose answer was lost.
async fn resolve_lost_answer<S: Store>(
    store: &S,
    s: &Submission,
    next: IntentVersion,
) -> Submitted {
    for _ in 0..READ_BACK_ATTEMPTS {
        // Where the record is absent the write may still be on its way: that proves nothing.
        if let Ok(Some(record)) = store.get(&version_key(next)).await {
            return outcome_of_record(store, s, &record.value).await;
        }
    }
    Submitted::Unknown
}

async fn outcome_of_record<S: Store>(store: &S, s: &Submission, record: &[u8]) -> Submitted {
    match serde_json::from_slice::<Head>(record) {
        Ok(head) if head.submission == s.id() => Submitted::Accepted(head.version),
        _ => read_conflict(store).await,
    }
}

async fn read_conflict<S: Store>(store: &S) -> Submitted {
    match store.get(HEAD_KEY).await {
        Ok(Some(o)) => serde_json::from_slice(&o.value)
            .map_or(Submitted::NotWritten(StoreError::Malformed), Submitted::Conflict),
        Ok(None) => Submitted::NotWritten(StoreError::Malformed),
        Err(e) => Submitted::NotWritten(e),
    }
}

/// Writes the parts that the store lacks, many in one call.
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

/// Reads the newest version from the store, less the chunks that are held already.
///
/// # Errors
///
/// Returns [`StoreError`] where the store gives no answer.
pub async fn read_newest<S: Store>(
    store: &S,
    have: &[Arc<str>],
) -> Result<Option<(IntentCopy, u64)>, StoreError> {
    let Some(stored) = store.get(HEAD_KEY).await? else { return Ok(None) };
    let copy = read_parts(store, &stored.value, have).await?;
    Ok(Some((copy, stored.revision)))
}

/// Reads one version of the history.
///
/// # Errors
///
/// Returns [`StoreError`] where the store gives no answer.
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
    let lacking: Vec<&Arc<str>> = head.parts.iter().filter(|n| !have.contains(n)).collect();
    let mut found = Vec::new();
    for names in lacking.chunks(MAX_TXN_PARTS) {
        let gets: Vec<Op> = names.iter().map(|n| Op::Get(part_key(n))).collect();
        for part in store.txn(&[], &gets, &[]).await?.found {
            let part = part.ok_or(StoreError::Malformed)?;
            let chunk = String::from_utf8(part.value).map_err(|_| StoreError::Malformed)?;
            found.push(Arc::from(chunk));
        }
    }
    Ok(IntentCopy { version: head.version, parts: head.parts, chunks: found })
}
