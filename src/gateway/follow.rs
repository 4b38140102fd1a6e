//! Follows the store: the operators' configuration, the list of endpoints and the list of peers.

use super::parts::FullRead;
use super::{Gateway, evacuation, jitter, membership, peers, refusals};
use crate::clock;
use crate::event::Kind;
use crate::gossip::{StoreChanges, Succession};
use crate::id::EndpointId;
use crate::platform::{self, Listed};
use crate::pool::{Listing, Source};
use crate::readiness::OutageReasons;
use crate::store::{ChangeFeed, KeyValue, ListStart, Position, Rereads, StoreError, StoreUpdate};
use std::fmt::Display;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest wait of a watch. A connection that has become silent is noticed soon after it.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Wait of a watch that only fetches changes which were missed.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(50);
/// Interval between two calls of a reader while the store is unreachable.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Time for each answer of a full read while there is no configuration.
pub const FIRST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for each answer of a read that is made beside those, from a store that is slow.
const SLOW_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the start until the slow read begins.
const SLOW_DELAY: Duration = Duration::from_millis(500);
/// Interval between two slow reads.
const SLOW_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two reads while those before had no configuration that can be used.
const REREAD_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the store has come back from a copy until all keys are read once more. By then
/// entries that live owners did not write again are gone from the store.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Delay after a change, so that changes which belong together are read at once.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// Interval at which an instance that is no reader checks whether its next poll is due.
const POLL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Prefixes of the keys that an instance follows, in the order in which they are applied: an evacuation
/// is logged with the number of its endpoints. Others may keep any number of keys beside them.
pub const FOLLOWED_KEYS: [&str; 5] = [
    platform::CONFIG_KEY,
    platform::SERVERS_PREFIX,
    platform::EVACUATIONS_PREFIX,
    membership::KEY_PREFIX,
    refusals::KEY_PREFIX,
];

/// State of the connection to the store.
#[derive(Debug, Default)]
struct Connection {
    /// What was logged of the present outage.
    reasons: OutageReasons,
    /// Full reads since the last watch that was answered with changes, or with none.
    rereads: Rereads,
    /// When all keys are read once more after the store came back from a copy.
    settled_at: Option<Instant>,
}

/// Follows the store. Does not return.
pub async fn follow_store(gw: Rc<Gateway>) {
    let mut connection = Connection::default();
    loop {
        match poll_store(&gw, &mut connection).await {
            Ok(()) if gw.store_position.borrow().is_disputed() => {
                tokio::time::sleep(jitter(connection.rereads.delay())).await;
            }
            Ok(()) => wait_for_poll(&gw).await,
            Err(e) if e.requires_full_read() && gw.store_position.borrow().get().is_some() => {
                gw.store_position.borrow_mut().reset();
                tokio::time::sleep(jitter(connection.rereads.delay())).await;
            }
            Err(e) => {
                record_failure(&gw, &mut connection, e);
                tokio::time::sleep(jitter(retry_interval(&gw))).await;
                if gw.store_position.borrow().get().is_some() {
                    wait_for_poll(&gw).await;
                }
            }
        }
    }
}

/// Records that the last call failed, and logs that the store is lost when that is new or has another
/// reason.
fn record_failure(gw: &Gateway, connection: &mut Connection, e: StoreError) {
    let (now, failure) = (clock::now(), gw.store.last_failure());
    if gw.store_position.borrow().get().is_none() {
        gw.full_read.set(FullRead::Failed);
    }
    gw.readiness.fail_read(now, e, failure.clone());
    if !connection.reasons.is_lost() {
        gw.outages.borrow_mut().begin(now);
        gw.work_changed.notify_one();
    }
    if connection.reasons.is_due(now, e, &failure.why) {
        let at = gw.store_position.borrow().get().unwrap_or_default();
        let detail = format!("why={e:?} revision={} era={} {failure}", at.revision, at.era);
        gw.event(Kind::StoreLost, "store", detail);
    }
}

/// Returns the time to wait after a failed call.
fn retry_interval(gw: &Gateway) -> Duration {
    if peers::is_reader(gw) || gw.store_position.borrow().get().is_none() {
        RETRY_INTERVAL
    } else {
        peers::reader_report(gw, clock::now()).retry_interval()
    }
}

/// Waits until the next poll is due. Readers poll again after [`BATCH_DELAY`]; the other
/// instances rely on the changes that readers pass on, and poll when some of these are missing,
/// and at long intervals.
async fn wait_for_poll(gw: &Gateway) {
    tokio::time::sleep(BATCH_DELAY).await;
    let since = clock::now();
    while !peers::is_reader(gw) {
        let is_hinted =
            tokio::time::timeout(POLL_CHECK_INTERVAL, gw.poll_hint.notified()).await.is_ok();
        let now = clock::now();
        let report = peers::reader_report(gw, now);
        let is_behind = gw.store_position.borrow_mut().is_behind(now, report.newest);
        if is_hinted || is_behind || now >= since + report.poll_interval() {
            break;
        }
    }
}

/// Applies changes passed on by a reader, and requests a poll if they are not complete.
pub fn apply_changes(gw: &Rc<Gateway>, changes: &StoreChanges) {
    let end = changes.end();
    if gw.store_position.borrow().compare(end) == Succession::Outdated {
        log::debug!("dropped changes up to {end}: the store has come back from a copy");
        return gw.poll_hint.notify_one();
    }
    let may_expire = changes.recovering || gw.outages.borrow().may_expire(clock::now());
    changes.kvs.iter().for_each(|kv| apply_kv(gw, kv, end, may_expire));
    gw.store_position.borrow_mut().extend(changes);
    record_position(gw);
    if changes.truncated {
        gw.poll_hint.notify_one();
    }
}

/// Records that all changes up to the position of this instance are applied.
fn record_position(gw: &Gateway) {
    if let Some(at) = gw.store_position.borrow().get() {
        gw.applied.borrow_mut().advance(clock::now(), at);
    }
}

/// Applies a change that was read at `at` unless the same or a newer one of the key was applied
/// before. `may_expire` is set if a key that is gone may have expired in an outage.
fn apply_kv(gw: &Rc<Gateway>, kv: &KeyValue, at: Position, may_expire: bool) {
    let changed = Position::new(at.era, kv.revision);
    if !gw.applied.borrow_mut().admit_change(clock::now(), &kv.key, changed) {
        return;
    }
    evacuation::apply_kv(gw, kv, at.era);
    apply_listing(gw, kv, may_expire);
    membership::update_peer(gw, kv);
    refusals::apply_kv(gw, kv);
}

async fn poll_store(gw: &Rc<Gateway>, connection: &mut Connection) -> Result<(), StoreError> {
    if connection.settled_at.take_if(|t| *t <= clock::now()).is_some() {
        gw.store_position.borrow_mut().reset();
    }
    let known = gw.store_position.borrow().get();
    let Some(after) = known else { return read_all(gw, connection).await };
    // An instance that is not a reader reads what it has missed, and does not wait for changes.
    let wait = if peers::is_reader(gw) { WATCH_TIMEOUT } else { CATCH_UP_TIMEOUT };
    let update = gw.store.watch(&FOLLOWED_KEYS, after.revision, wait).await?;
    log_store_back(gw, connection);
    let succession = gw.store_position.borrow().compare(update.at);
    match succession {
        Succession::Same => connection.rereads.reset(),
        // Its revisions were given out anew, so the changes after one of them are incomplete.
        Succession::Returned => {
            connection.rereads.reset();
            return Err(StoreError::Compacted);
        }
        Succession::Outdated => {
            drop_outdated(gw, update.at);
            return Ok(());
        }
    }
    let newest = update.at.max(after);
    apply_config(gw, &update);
    let may_expire = gw.outages.borrow().may_expire(clock::now());
    let (large, small): (Vec<_>, Vec<_>) =
        update.kvs.iter().partition(|kv| &*kv.key == platform::CONFIG_KEY);
    let mut changes = StoreChanges::of(small.into_iter());
    changes.truncated |= !large.is_empty();
    (changes.after, changes.upto) = (after.revision, newest.revision);
    (changes.era, changes.recovering) = (newest.era, may_expire);
    if newest > after {
        peers::publish(gw, changes);
    }
    update.kvs.iter().for_each(|kv| apply_kv(gw, kv, update.at, may_expire));
    gw.store_position.borrow_mut().set(newest);
    record_position(gw);
    let config = update.kvs.iter().rev().find(|kv| &*kv.key == platform::CONFIG_KEY);
    if config.is_some_and(|kv| kv.value.as_ref().is_some_and(Vec::is_empty)) {
        // It could not be read, and no later change would show it.
        gw.store_position.borrow_mut().reset();
    }
    Ok(())
}

/// Reads all keys that are followed.
async fn read_all(gw: &Rc<Gateway>, connection: &mut Connection) -> Result<(), StoreError> {
    let is_first = gw.table.borrow().is_none();
    if let FullRead::Done = gw.full_read.get() {
        gw.full_read.set(FullRead::Since(clock::now()));
    }
    let listed = match is_first {
        true => gw.store.list_within(&FOLLOWED_KEYS, FIRST_TIMEOUT).await?,
        false => gw.store.list_all(&FOLLOWED_KEYS).await?,
    };
    gw.readiness.end_read(clock::now());
    gw.full_read.set(FullRead::Done);
    log_store_back(gw, connection);
    if gw.store_position.borrow().get().is_some() {
        return Ok(());
    }
    let known = gw.store_position.borrow().era();
    let at = listed.update.at;
    let succession = gw.store_position.borrow().compare(at);
    let source = match succession {
        Succession::Same => Source::Current,
        Succession::Returned => Source::Copy,
        Succession::Outdated => {
            drop_outdated(gw, at);
            return Ok(());
        }
    };
    if source == Source::Copy {
        let now = clock::now();
        gw.outages.borrow_mut().end(now);
        connection.settled_at = Some(now + SETTLE_TIME);
        let detail = format!("era={} before={known} revision={}", at.era, at.revision);
        gw.event(Kind::StoreReturned, "store", detail);
    }
    apply_all(gw, &listed, source);
    Ok(())
}

/// Reads from a store beside [`follow_store`], whose short limits end soon where an answer is lost: all
/// keys until there is a configuration, and then little, to learn the time that late answers take. Does
/// not return.
pub async fn read_slowly(gw: Rc<Gateway>) {
    let own_key = format!("{}{}", membership::KEY_PREFIX, gw.settings.borrow().instance);
    tokio::time::sleep(SLOW_DELAY).await;
    while gw.table.borrow().is_none() {
        let interval = read_first(&gw).await;
        tokio::time::sleep(jitter(interval)).await;
    }
    loop {
        if gw.store.is_silent() {
            // Only the time that the answer takes matters; the client records it.
            if let Err(e) = gw.store.list_within(&[&own_key], SLOW_TIMEOUT).await {
                log::debug!("no answer of the store within {SLOW_TIMEOUT:?}: {e:?}");
            }
        }
        tokio::time::sleep(jitter(SLOW_INTERVAL)).await;
    }
}

/// Reads all keys while there is no configuration; returns the time until the next read. After a read
/// without a configuration that can be used, watches show only changes.
async fn read_first(gw: &Rc<Gateway>) -> Duration {
    let is_prompt = gw.store_position.borrow().get().is_some() && !gw.store.is_silent();
    let (wait, interval) = match is_prompt {
        true => (FIRST_TIMEOUT, REREAD_INTERVAL),
        false => (SLOW_TIMEOUT, SLOW_INTERVAL),
    };
    match gw.store.list_within(&FOLLOWED_KEYS, wait).await {
        Ok(listed) => {
            gw.readiness.end_read(clock::now());
            if is_ahead(gw, listed.update.at) {
                apply_all(gw, &listed, Source::Current);
            } else {
                gw.readiness.record_outdated();
            }
        }
        Err(e) => gw.readiness.fail_read(clock::now(), e, gw.store.last_failure()),
    }
    interval
}

/// Returns whether a read at `at` has all that is known, and may have a first configuration.
pub fn is_ahead(gw: &Gateway, at: Position) -> bool {
    let position = gw.store_position.borrow();
    let is_missing = gw.table.borrow().is_none();
    position.compare(at) == Succession::Same
        && position.get().is_none_or(|known| is_missing && known <= at)
}

/// Applies a read of all keys.
fn apply_all(gw: &Rc<Gateway>, listed: &Listed, source: Source) {
    let Listed { update: all, begun_at } = listed;
    gw.readiness.record_absent();
    apply_config(gw, all);
    if !gw.applied.borrow().can_compare(*begun_at) {
        return log::warn!("dropped a read of all keys: too many changed meanwhile");
    }
    FOLLOWED_KEYS.iter().for_each(|prefix| apply_kind(gw, prefix, listed, source));
    membership::check_registered(gw, *begun_at, &all.kvs);
    gw.store_position.borrow_mut().set(all.at);
    gw.full_read.set(FullRead::Done);
    if source == Source::Copy {
        gw.registration.due.notify_one();
    }
}

/// Applies the keys of a read that have a prefix, without those that are known to have changed since.
/// The configuration has a version of its own; see [`apply_config`].
pub fn apply_kind(gw: &Rc<Gateway>, prefix: &str, listed: &Listed, source: Source) {
    let Listed { update: StoreUpdate { kvs, at }, begun_at } = listed;
    let list = ListStart { at: *at, begun_at: *begun_at };
    let items = gw.applied.borrow_mut().admit_list(clock::now(), prefix, &list, kvs);
    let Some(items) = items else {
        return log::debug!("dropped a list of {prefix:?} at {at}: a later one was applied");
    };
    match prefix {
        platform::EVACUATIONS_PREFIX => evacuation::replace(gw, *at, &items, source),
        platform::SERVERS_PREFIX => replace_listings(gw, &list, &items, source),
        membership::KEY_PREFIX => membership::apply_list(gw, &list, &items, source),
        refusals::KEY_PREFIX => refusals::apply_list(gw, &items),
        _ => {}
    }
}

/// Drops a response of an era before the newest one, unless the store names its era steadily. The
/// newest one was wrong then, in all responses for a while.
fn drop_outdated(gw: &Gateway, at: Position) {
    log::debug!("dropped a response of the store at {at}: the store has come back from a copy");
    gw.readiness.record_outdated();
    let mut position = gw.store_position.borrow_mut();
    if !position.is_refuted(clock::now(), at) {
        return;
    }
    let detail = format!("era={} before={}", at.era, position.era());
    position.forget_era();
    drop(position);
    gw.store.set_era(at.era);
    gw.pool.borrow_mut().forget_evacuation_positions();
    gw.event(Kind::EraCorrected, "store", detail);
}

fn log_store_back(gw: &Gateway, connection: &mut Connection) {
    if connection.reasons.end() {
        gw.outages.borrow_mut().end(clock::now());
        gw.registration.record_return();
        gw.event(Kind::StoreBack, "store", "");
    }
}

pub fn apply_config(gw: &Gateway, update: &StoreUpdate) {
    let configs = update.kvs.iter().rev().filter(|kv| &*kv.key == platform::CONFIG_KEY);
    let mut values = configs.filter_map(|kv| kv.value.as_ref()).peekable();
    let is_there = values.peek().is_some();
    // The store has a valid one; an empty value is one that could not be read.
    match values.find(|value| !value.is_empty()) {
        Some(value) => adopt_table(gw, value, "store"),
        None if is_there => gw.readiness.record_refused("the value is empty or cannot be read"),
        None => {}
    }
}

/// Puts a configuration into force if it is newer than the current one. `from` names its source in
/// the log.
pub fn adopt_table(gw: &Gateway, text: &[u8], from: impl Display) {
    let table = match platform::parse_table(text) {
        Ok(table) => table,
        Err(e) => {
            gw.readiness.record_refused(&format!("from={from} {e}"));
            return gw.event(Kind::TableRefused, "table", format_args!("from={from} {e}"));
        }
    };
    if gw.table.borrow().as_ref().is_some_and(|known| known.version >= table.version) {
        return;
    }
    let (routes, keys) = (table.hosts.len(), table.keys.len());
    gw.event(Kind::Adopted, table.version, format_args!("from={from} routes={routes} keys={keys}"));
    metrics::gauge!("table_version").set(table.version.0 as f64);
    metrics::gauge!("table_faults").set(table.faults.len() as f64);
    if let Some(first) = table.faults.first() {
        let detail = format_args!("from={from} faults={} first={first}", table.faults.len());
        gw.event(Kind::TableFaulty, table.version, detail);
    }
    let cold = table.services.iter().map(|(name, s)| (name.clone(), s.cold_limit));
    gw.pool.borrow_mut().set_cold_limits(clock::now(), cold);
    *gw.table_text.borrow_mut() = text.into();
    *gw.table.borrow_mut() = Some(Rc::new(table));
    gw.table_known.notify_waiters();
}

fn replace_listings(gw: &Gateway, list: &ListStart, items: &[&KeyValue], source: Source) {
    let all = items.iter().filter_map(|kv| read_listing(gw, kv)).collect();
    let has_changed = |id: &EndpointId| {
        let key = format!("{}{id}", platform::SERVERS_PREFIX);
        gw.applied.borrow().has_changed(&key, list)
    };
    let changes = gw.pool.borrow_mut().replace_listings(clock::now(), all, source, has_changed);
    changes.into_iter().for_each(|c| gw.log_change(c));
}

/// Reads the entry of an endpoint. One that cannot be read counts as the last listing of a known
/// endpoint: as long as the key exists, the endpoint has not left.
fn read_listing(gw: &Gateway, kv: &KeyValue) -> Option<Listing> {
    let value = kv.value.as_ref()?;
    let id = kv.key.strip_prefix(platform::SERVERS_PREFIX)?;
    let read = platform::parse_listing(&kv.key, value);
    if read.is_some() {
        return read;
    }
    let known = id.parse().ok().and_then(|id| gw.pool.borrow().last_listing(&id));
    let detail = format!("revision={} kept={}", kv.revision, known.is_some());
    gw.wave_event(Kind::ListingUnreadable, &kv.key, detail);
    known
}

fn apply_listing(gw: &Gateway, kv: &KeyValue, may_expire: bool) {
    let Some(id) = kv.key.strip_prefix(platform::SERVERS_PREFIX) else { return };
    let now = clock::now();
    let listing = read_listing(gw, kv);
    let mut pool = gw.pool.borrow_mut();
    let change = match &kv.value {
        Some(_) => listing.and_then(|l| pool.upsert(now, l)),
        None => {
            let Ok(id) = id.parse() else { return };
            // Leases expire while the store is unreachable, also those of healthy endpoints.
            if may_expire {
                pool.mark_lapsed(now, &id);
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
