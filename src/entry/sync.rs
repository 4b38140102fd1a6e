//! Synchronizes the intent: adopts newer versions from the store and from peers, and sends the
//! current one to peers that lag behind.
//!
//! The intent is the operators' configuration text. It is stored as a versioned head and a list of
//! content-hashed chunks, so that only changed chunks are transferred.

use super::links::LinkState;
use super::{Entry, elapsed_since, history, jitter};
use crate::clock;
use crate::event::Kind;
use crate::frame::{IntentCopy, Reply, Request};
use crate::id::IntentVersion;
use crate::intent::{AdoptError, HEAD_KEY, Head, part_key, read_newest, write_back};
use crate::peer::Link;
use crate::place;
use crate::process::OutageLog;
use crate::readiness::Obstacle;
use crate::store::{Store, StoreError};
use crate::task;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Number of entries per data centre that watch the store; the others poll it.
const MAX_WATCHERS: usize = 2;
/// Mean time after which a watch without a change is renewed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Mean time of the first watch in an outage, which shows that watches succeed again.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);
/// Mean poll interval of an entry that does not watch the store.
const STORE_POLL_INTERVAL: Duration = Duration::from_secs(60);
/// Initial retry delay after a store error; doubled with each further error.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Upper bound of the retry delay after store errors.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Longest time for which an entry that starts asks sidecars for a newer version.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which it looks for their answers.
const START_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of each request of an intent transfer between processes.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// Follows the intent in the store for the lifetime of the process.
pub async fn watch_store(e: Rc<Entry>) {
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut revision = 0;
    let mut outage = OutageLog::new("store");
    loop {
        match sync_once(&e, &mut revision, outage.is_open()).await {
            Ok(has_watched) => {
                outage.end(&e.process);
                retry_delay = MIN_RETRY_DELAY;
                if !has_watched {
                    tokio::time::sleep(jitter(STORE_POLL_INTERVAL)).await;
                }
            }
            Err(why) => {
                let failure = e.store.last_failure();
                outage.fail(&e.process, clock::now(), why, &failure);
                *e.missing.borrow_mut() = Obstacle::StoreFailed(why, failure.why.clone());
                *e.failure.borrow_mut() = failure;
                tokio::time::sleep(jitter(retry_delay)).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Reads the store once. A watcher then waits for a change, for a short time if the store `was_lost`;
/// returns whether it did.
async fn sync_once(e: &Rc<Entry>, revision: &mut u64, was_lost: bool) -> Result<bool, StoreError> {
    history::refresh(e).await?;
    let found = fetch_newer(e).await?;
    *revision = found.unwrap_or(*revision);
    if !is_watcher(e) {
        return Ok(false);
    }
    let wait = if was_lost { CONFIRM_TIMEOUT } else { WATCH_TIMEOUT };
    // The watch starts at the revision that was read, so no change in between is missed.
    match e.store.wait_for_change(HEAD_KEY, *revision, jitter(wait)).await {
        Ok(_) | Err(StoreError::Compacted) => Ok(true),
        Err(other) => Err(other),
    }
}

/// Reads the head, and adopts the stored intent if it is newer than the current one. If it is older,
/// the store has come back from a copy, and the current one is written again.
///
/// Returns the revision that was read, or `None` if the store holds no intent.
async fn fetch_newer(e: &Rc<Entry>) -> Result<Option<u64>, StoreError> {
    let Some(stored) = e.store.get(HEAD_KEY).await? else {
        *e.missing.borrow_mut() = Obstacle::ConfigurationAbsent;
        write_back_newer(e, IntentVersion(0)).await?;
        return Ok(None);
    };
    let head: Head = serde_json::from_slice(&stored.value)
        .map_err(|error| e.store.fail_value(HEAD_KEY, error, StoreError::Malformed))?;
    while !may_adopt_stored(e, head.version) {
        *e.missing.borrow_mut() = Obstacle::StoreOutdated;
        tokio::time::sleep(START_INTERVAL).await;
    }
    write_back_newer(e, head.version).await?;
    if head.version > e.process.version() {
        let hashes = e.process.intent.borrow().chunk_hashes();
        let newest = read_newest(&e.store, &hashes).await.inspect_err(|error| {
            if *error == StoreError::Malformed && e.store.last_failure().is_empty() {
                e.store.fail_value(HEAD_KEY, "parts of the text are missing or invalid", *error);
            }
        });
        if let Some((copy, revision)) = newest? {
            check_parts(e, &copy, &hashes)?;
            adopt(e, &copy, "store");
            return Ok(Some(revision));
        }
        *e.missing.borrow_mut() = Obstacle::ConfigurationAbsent;
    }
    Ok(Some(stored.revision))
}

/// Checks that the parts that were read are those that the head names; those in `had` were not read.
fn check_parts(e: &Entry, copy: &IntentCopy, had: &[Arc<str>]) -> Result<(), StoreError> {
    let missing = e.process.intent.borrow().missing_chunks(copy);
    let Some(hash) = missing.iter().find(|h| !had.contains(h)) else { return Ok(()) };
    let reason = "the content is not that of its hash";
    Err(e.store.fail_value(&part_key(hash), reason, StoreError::Malformed))
}

/// Returns whether a stored version may be put in force. Where the store has come back, an entry
/// that has none asks the sidecars first, which may have a newer one.
fn may_adopt_stored(e: &Entry, stored: IntentVersion) -> bool {
    let has_returned = e.history.marker().is_none_or(|m| !m.era.is_first());
    if e.process.version().0 > 0 || !has_returned {
        return true;
    }
    let newest = e.links.borrow().values().map(|link| link.version()).max();
    if newest.is_some_and(|v| v > stored) {
        return false;
    }
    let board = e.board.borrow();
    let has_heard_all =
        !board.endpoints.is_empty() && board.endpoints.values().all(|x| x.latest.is_some());
    has_heard_all || elapsed_since(e.started) >= START_TIMEOUT
}

/// Writes the current intent to a store that holds the older version `stored`.
async fn write_back_newer(e: &Rc<Entry>, stored: IntentVersion) -> Result<(), StoreError> {
    let (version, text) = {
        let intent = e.process.intent.borrow();
        (intent.version(), intent.source())
    };
    if version <= stored {
        return Ok(());
    }
    let written = write_back(&e.store, version, &text).await?;
    let detail = format!("stored={stored} in_force={version} written={written}");
    e.process.event(Kind::StoreReturned, "store", detail);
    Ok(())
}

/// Returns whether this entry watches the store on behalf of its data centre.
pub fn is_watcher(e: &Entry) -> bool {
    rank(e, true) < MAX_WATCHERS
}

/// Returns the number of entries that precede this one by weight, counting all entries or only
/// those in the same data centre.
///
/// All entries compute the same order, so tasks can be assigned to the first few without messages.
pub fn rank(e: &Entry, same_centre: bool) -> usize {
    let own = &e.process.settings;
    let weight = |instance| place::rendezvous_weight(instance, instance);
    let board = e.board.borrow();
    let others = board.entries.iter().filter(|p| !same_centre || p.centre == own.centre);
    others.filter(|p| weight(&p.instance) < weight(&own.instance)).count()
}

/// Adopts a copy of the intent if it is newer, complete and valid; returns whether it was adopted.
pub fn adopt(e: &Rc<Entry>, copy: &IntentCopy, from: &str) -> bool {
    let adopted = e.process.intent.borrow_mut().adopt(copy);
    match adopted {
        Ok(()) => {
            e.process.event(Kind::Adopted, copy.version, format_args!("from={from}"));
            metrics::gauge!("intent_version").set(copy.version.0 as f64);
            // Each poll carries the version of this entry, and a sidecar with an older one replies
            // at once instead of holding the poll.
            e.links.borrow().values().for_each(|link| link.request_poll());
            true
        }
        Err(AdoptError::Invalid(fault)) => {
            let detail = format_args!("from={from} refused={fault:?}");
            e.process.event(Kind::Rejected, copy.version, detail);
            *e.missing.borrow_mut() = Obstacle::ConfigurationRefused(fault);
            false
        }
        Err(AdoptError::Stale | AdoptError::MissingChunks(_)) => false,
    }
}

thread_local! {
    /// Number of transfers in progress, bounded by [`MAX_TRANSFERS`].
    static TRANSFERS: Cell<u32> = const { Cell::new(0) };
}

/// Maximum number of concurrent intent transfers with sidecars.
const MAX_TRANSFERS: u32 = 8;

/// Starts a transfer in the background if the sidecar's version differs from the local one.
///
/// Does nothing while [`MAX_TRANSFERS`] are in progress; the next poll reply triggers it again.
pub fn reconcile(e: &Rc<Entry>, link: &Rc<LinkState>, peer_version: IntentVersion) {
    let own_version = e.process.version();
    if peer_version == own_version || TRANSFERS.get() >= MAX_TRANSFERS {
        return;
    }
    TRANSFERS.set(TRANSFERS.get() + 1);
    let (e, link) = (e.clone(), link.clone());
    actix_rt::spawn(async move {
        if let Some(connection) = link.connection() {
            let exchange = exchange_intent(&e, &connection, peer_version);
            let _ = task::run("transfer", exchange).await;
        }
        TRANSFERS.set(TRANSFERS.get() - 1);
    });
}

/// Fetches the intent from a peer with a newer version, or sends it to a peer with an older one.
pub async fn exchange_intent(e: &Rc<Entry>, link: &Link, peer_version: IntentVersion) {
    let own_version = e.process.version();
    if peer_version > own_version {
        let hashes = e.process.intent.borrow().chunk_hashes();
        let reply = e.process.request(link, Request::GetIntent(hashes), TRANSFER_TIMEOUT).await;
        if let Ok(Reply::Intent(copy)) = reply.map(|r| r.body) {
            adopt(e, &copy, "peer");
        }
    } else if peer_version < own_version {
        send_intent(e, link).await;
    }
}

/// Sends the chunk hashes of the intent, then the chunks that the peer reports as missing.
async fn send_intent(e: &Rc<Entry>, link: &Link) {
    let hashes = e.process.intent.borrow().chunk_hashes();
    let offer = e.process.intent.borrow().copy_without(&hashes);
    let request = Request::PutIntent(Box::new(offer));
    let reply = e.process.request(link, request, TRANSFER_TIMEOUT).await;
    if let Ok(Reply::Lacking(lacking)) = reply.map(|r| r.body) {
        let present: Vec<_> = hashes.into_iter().filter(|h| !lacking.contains(h)).collect();
        let copy = e.process.intent.borrow().copy_without(&present);
        let _ = e.process.request(link, Request::PutIntent(Box::new(copy)), TRANSFER_TIMEOUT).await;
    }
}

/// Returns the wall-clock time in Unix seconds, as recorded with submissions.
pub fn wall_seconds() -> u64 {
    clock::wall().as_secs()
}
