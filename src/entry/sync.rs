//! Keeps the newest text in force here, and brings peers that have an older one up.

use super::links::LinkState;
use super::{Entry, jitter};
use crate::clock;
use crate::event::Kind;
use crate::frame::{IntentCopy, Reply, Request};
use crate::id::IntentVersion;
use crate::intent::{AdoptError, HEAD_KEY, Head, read_store};
use crate::peer::Link;
use crate::place;
use crate::store::{Store, StoreError};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Watchers of the store per data centre.
const WATCHERS: usize = 2;
/// Longest time that one watch is held.
const WATCH_TIME: Duration = Duration::from_secs(30);
/// Time between two looks at the store of an entry that does not watch.
const LOOK_TIME: Duration = Duration::from_secs(60);
/// Shortest pause after the store gave no answer.
const RETRY_MIN: Duration = Duration::from_millis(500);
/// Longest pause after the store gave no answer.
const RETRY_MAX: Duration = Duration::from_secs(10);
/// Time for a transfer between processes.
const COPY_TIME: Duration = Duration::from_secs(3);

/// Follows the store for as long as the process runs.
pub async fn watch_store(e: Rc<Entry>) {
    let mut pause = RETRY_MIN;
    let mut revision = 0;
    let mut is_up = true;
    loop {
        let result = follow(&e, &mut revision).await;
        if result.is_ok() != is_up {
            is_up = result.is_ok();
            let kind = if is_up { Kind::StoreBack } else { Kind::StoreLost };
            e.process.event(kind, "store", "");
        }
        match result {
            Ok(()) => pause = RETRY_MIN,
            Err(_) => {
                tokio::time::sleep(jitter(pause)).await;
                pause = (pause * 2).min(RETRY_MAX);
            }
        }
    }
}

/// Reads once, then watches, or waits where others of the data centre watch.
async fn follow(e: &Rc<Entry>, revision: &mut u64) -> Result<(), StoreError> {
    let found = read_newer(e).await?;
    *revision = found.unwrap_or(*revision);
    if !is_watcher(e) {
        tokio::time::sleep(jitter(LOOK_TIME)).await;
        return Ok(());
    }
    // A change between the read and the watch is seen, as the watch names its revision.
    match e.store.changed(HEAD_KEY, *revision, jitter(WATCH_TIME)).await {
        Ok(_) | Err(StoreError::Compacted) => Ok(()),
        Err(other) => Err(other),
    }
}

/// Reads the head, and the parts only where it is newer than what is in force.
async fn read_newer(e: &Rc<Entry>) -> Result<Option<u64>, StoreError> {
    let Some(stored) = e.store.get(HEAD_KEY).await? else { return Ok(None) };
    let head: Head = serde_json::from_slice(&stored.value).map_err(|_| StoreError::Malformed)?;
    if head.version > e.process.version() {
        let have = e.process.intent.borrow().hashes();
        if let Some((copy, revision)) = read_store(&e.store, &have).await? {
            adopt(e, &copy, "store");
            return Ok(Some(revision));
        }
    }
    Ok(Some(stored.revision))
}

/// Tells whether this entry is among the watchers of its data centre.
pub fn is_watcher(e: &Entry) -> bool {
    rank(e, true) < WATCHERS
}

/// Counts the entries that come before this one; within its data centre only if `near`.
pub fn rank(e: &Entry, near: bool) -> usize {
    let own = &e.process.settings;
    let weight = |instance| place::weight(instance, instance);
    let board = e.board.borrow();
    let others = board.entries.iter().filter(|p| !near || p.centre == own.centre);
    others.filter(|p| weight(&p.instance) < weight(&own.instance)).count()
}

/// Adopts a copy; `true` where it is now in force.
pub fn adopt(e: &Rc<Entry>, copy: &IntentCopy, from: &str) -> bool {
    let adopted = e.process.intent.borrow_mut().adopt(copy);
    match adopted {
        Ok(()) => {
            e.process.event(Kind::Adopted, copy.version, format_args!("from={from}"));
            metrics::gauge!("intent_version").set(copy.version.0 as f64);
            // Each poll names the version in force here, and a sidecar behind it answers at once.
            e.links.borrow().values().for_each(|link| link.poke());
            true
        }
        Err(AdoptError::Invalid) => {
            e.process.event(Kind::Rejected, copy.version, "the text is not valid here");
            false
        }
        Err(AdoptError::Old | AdoptError::Lacking(_)) => false,
    }
}

thread_local! {
    /// Counts transfers under way, to bound them.
    static TRANSFERS: Cell<u32> = const { Cell::new(0) };
}

/// Most transfers of one entry at one time.
const TRANSFER_LIMIT: u32 = 8;

/// Compares versions with a peer that was heard, and passes on the newer text.
pub fn compare(e: &Rc<Entry>, link: &Rc<LinkState>, theirs: IntentVersion) {
    let ours = e.process.version();
    if theirs == ours || TRANSFERS.get() >= TRANSFER_LIMIT {
        return;
    }
    TRANSFERS.set(TRANSFERS.get() + 1);
    let (e, link) = (e.clone(), link.clone());
    actix_rt::spawn(async move {
        if let Some(raw) = link.raw() {
            exchange(&e, &raw, theirs).await;
        }
        TRANSFERS.set(TRANSFERS.get() - 1);
    });
}

/// Fetches the text of a peer that has a newer one, or hands over the newer one here.
pub async fn exchange(e: &Rc<Entry>, link: &Link, theirs: IntentVersion) {
    let ours = e.process.version();
    if theirs > ours {
        let have = e.process.intent.borrow().hashes();
        let reply = e.process.ask(link, Request::GetIntent(have), COPY_TIME).await;
        if let Ok(Reply::Intent(copy)) = reply.map(|r| r.body) {
            adopt(e, &copy, "peer");
        }
    } else if theirs < ours {
        push(e, link).await;
    }
}

/// Offers the text; the peer names the chunks it lacks, and gets just those.
async fn push(e: &Rc<Entry>, link: &Link) {
    let parts = e.process.intent.borrow().hashes();
    let offer = e.process.intent.borrow().copy(&parts);
    let request = Request::PutIntent(Box::new(offer));
    let reply = e.process.ask(link, request, COPY_TIME).await;
    if let Ok(Reply::Lacking(lacking)) = reply.map(|r| r.body) {
        let have: Vec<_> = parts.into_iter().filter(|p| !lacking.contains(p)).collect();
        let copy = e.process.intent.borrow().copy(&have);
        let _ = e.process.ask(link, Request::PutIntent(Box::new(copy)), COPY_TIME).await;
    }
}

/// Tells the time a submission is recorded with.
pub fn seconds() -> u64 {
    clock::wall().as_secs()
}
