//! Follows the store: the operators' configuration and the list of endpoints.

use super::{Gateway, jitter, peers};
use crate::clock;
use crate::event::Kind;
use crate::gossip::StoreChanges;
use crate::platform;
use crate::store::{Fact, Feed, News, StoreError};
use std::fmt::Display;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest wait of a watch; a silent connection is noticed soon after it.
const WATCH_TIME: Duration = Duration::from_millis(1500);
/// Time between two calls while the store does not answer.
const RETRY_TIME: Duration = Duration::from_millis(300);
/// Time after the store's return within which entries that lapsed come back.
const RETURN_TIME: Duration = Duration::from_millis(2000);
/// Time after a change within which others that belong to it are awaited.
const GATHER_TIME: Duration = Duration::from_millis(40);
/// Time between two questions whether it is time to look.
const STEP_TIME: Duration = Duration::from_millis(100);
/// Keys whose revisions are remembered.
const SEEN_LIMIT: usize = 4096;
/// The configuration and the endpoints are followed by one watch over all keys.
const ALL_KEYS: &str = "";

/// Where the follower stands.
#[derive(Debug, Default)]
struct Position {
    /// Revision to watch from; `None` before the first list.
    revision: Option<u64>,
    /// Tells that the last call failed.
    lost: bool,
    /// When the store came back last.
    back: Option<Instant>,
}

/// Follows the store for as long as the process runs.
pub async fn follow_store(gw: Rc<Gateway>) {
    let mut position = Position::default();
    loop {
        match advance(&gw, &mut position).await {
            Ok(()) => pause(&gw).await,
            Err(StoreError::Compacted) => position.revision = None,
            Err(e) => {
                if !position.lost {
                    position.lost = true;
                    let at = position.revision.unwrap_or_default();
                    gw.event(Kind::StoreLost, "store", format_args!("why={e:?} revision={at}"));
                }
                tokio::time::sleep(jitter(RETRY_TIME)).await;
            }
        }
    }
}

/// Waits before the next look: others follow the store closely for those who are no readers.
async fn pause(gw: &Gateway) {
    tokio::time::sleep(GATHER_TIME).await;
    let since = clock::now();
    while !peers::is_reader(gw) {
        let is_hinted = tokio::time::timeout(STEP_TIME, gw.poll_hint.notified()).await.is_ok();
        let now = clock::now();
        if is_hinted || now >= since + peers::store_report(gw, now).poll_interval() {
            break;
        }
    }
}

/// Takes over what a reader passes on.
pub fn apply_bulletin(gw: &Gateway, bulletin: &StoreChanges) {
    bulletin.facts.iter().for_each(|f| take_fact(gw, f, false));
    if bulletin.truncated {
        gw.poll_hint.notify_one();
    }
}

/// Takes over a change, unless a newer one of the same key is known.
fn take_fact(gw: &Gateway, fact: &Fact, is_back: bool) {
    {
        let mut seen = gw.revisions.borrow_mut();
        if seen.get(&fact.key).is_some_and(|r| *r >= fact.revision) {
            return;
        }
        if seen.len() >= SEEN_LIMIT {
            seen.clear();
        }
        seen.insert(fact.key.clone(), fact.revision);
    }
    take_endpoint(gw, fact, is_back);
    peers::update_peer(gw, fact);
}

async fn advance(gw: &Gateway, position: &mut Position) -> Result<(), StoreError> {
    let Some(revision) = position.revision else {
        let endpoints = gw.store.list(platform::SERVERS_PREFIX).await?;
        let config = gw.store.list(platform::CONFIG_KEY).await?;
        let peers = gw.store.list(peers::KEY_PREFIX).await?;
        note_back(gw, position);
        position.revision = Some(endpoints.revision.min(config.revision));
        take_config(gw, &config);
        relist(gw, &endpoints);
        peers.facts.iter().for_each(|f| peers::update_peer(gw, f));
        return Ok(());
    };
    let news = gw.store.watch(ALL_KEYS, revision, WATCH_TIME).await?;
    note_back(gw, position);
    position.revision = Some(news.revision.max(revision));
    take_config(gw, &news);
    let is_back = position.back.is_some_and(|t| clock::now() < t + RETURN_TIME);
    let (large, small): (Vec<_>, Vec<_>) =
        news.facts.iter().partition(|f| &*f.key == platform::CONFIG_KEY);
    let mut bulletin = StoreChanges::of(small.into_iter());
    bulletin.truncated |= !large.is_empty();
    if !news.facts.is_empty() {
        peers::publish(gw, bulletin);
    }
    news.facts.iter().for_each(|f| take_fact(gw, f, is_back));
    Ok(())
}

fn note_back(gw: &Gateway, position: &mut Position) {
    if std::mem::take(&mut position.lost) {
        position.back = Some(clock::now());
        gw.event(Kind::StoreBack, "store", "");
    }
}

fn take_config(gw: &Gateway, news: &News) {
    let newest = news.facts.iter().rev().find(|f| &*f.key == platform::CONFIG_KEY);
    if let Some(value) = newest.and_then(|f| f.value.as_ref()) {
        adopt_table(gw, value, "store");
    }
}

/// Takes over a configuration, unless it is no newer than the one in force.
pub fn adopt_table(gw: &Gateway, text: &[u8], from: impl Display) {
    let table = match platform::parse_table(text) {
        Ok(table) => table,
        Err(e) => return gw.event(Kind::TableRefused, "table", format_args!("from={from} {e}")),
    };
    if gw.table_version() >= table.version.0 {
        return;
    }
    let (routes, keys) = (table.hosts.len(), table.keys.len());
    gw.event(Kind::Adopted, table.version, format_args!("from={from} routes={routes} keys={keys}"));
    metrics::gauge!("table_version").set(table.version.0 as f64);
    *gw.table_text.borrow_mut() = text.into();
    *gw.table.borrow_mut() = Some(Rc::new(table));
}

fn relist(gw: &Gateway, news: &News) {
    let listed = |f: &Fact| platform::parse_listing(&f.key, f.value.as_ref()?);
    let all = news.facts.iter().filter_map(listed).collect();
    let changes = gw.pool.borrow_mut().relist(clock::now(), all);
    changes.into_iter().for_each(|c| gw.log_change(c));
}

fn take_endpoint(gw: &Gateway, fact: &Fact, is_back: bool) {
    let Some(id) = fact.key.strip_prefix(platform::SERVERS_PREFIX) else { return };
    let now = clock::now();
    let mut pool = gw.pool.borrow_mut();
    let change = match &fact.value {
        Some(value) => platform::parse_listing(&fact.key, value).and_then(|l| pool.list(now, l)),
        None => {
            let Ok(id) = id.parse() else { return };
            // Leases run out while the store is away, of endpoints that are well too.
            if is_back {
                pool.lapse(now, &id);
                drop(pool);
                return gw.event(Kind::Lapsed, id, "");
            }
            pool.remove(now, &id)
        }
    };
    drop(pool);
    if let Some(change) = change {
        gw.log_change(change);
    }
}
