//! Follows the era of the store, and decides when keys without a claim may be bound again after the
//! store has come back from an older copy.

use super::claims::MAX_BATCH_CLAIMS;
use super::{Entry, sync};
use crate::board::Endpoint;
use crate::clock;
use crate::event::Kind;
use crate::frame::Report;
use crate::id::{Incarnation, InstanceId, Nonce, ServiceName};
use crate::once::{CLAIM_LIFETIME, Homes};
use crate::store::{
    Compare, Era, History, MARKER_KEY, Marker, Op, Origin, Position, Standing, Store, StoreError,
    StoredValue, TxnOutcome,
};
use crate::text::ServiceKind;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Interval at which services in doubt are checked.
const DOUBT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the decisions of other entries on services in doubt are read.
const DECISION_INTERVAL: Duration = Duration::from_secs(1);
/// Difference of the clocks of two instances that is allowed for.
const CLOCK_MARGIN: Duration = Duration::from_secs(3600);

/// What an entry knows of the store's history and of claims.
#[derive(Debug, Default)]
pub struct StoreView {
    history: RefCell<History>,
    homes: RefCell<Homes>,
    /// Era for which the number in the copy was read.
    number_read: Cell<Era>,
    /// Services whose claims are complete, with the marker that was in force then.
    settled: RefCell<HashMap<ServiceName, Nonce>>,
    /// Signals that a service was settled.
    changed: Notify,
    /// Wakes the task that reads the marker.
    stale: Notify,
    /// Time at which the decisions of other entries were last read.
    decisions_read: Cell<Option<Instant>>,
}

impl StoreView {
    /// Returns the latest known position of the store.
    pub fn known(&self) -> Option<Position> {
        self.history.borrow().known()
    }

    /// Returns the marker in force as far as this process knows.
    pub fn marker(&self) -> Option<Marker> {
        self.history.borrow().marker().cloned()
    }

    /// Adds a position that another process knows.
    pub fn learn(&self, position: Option<Position>) {
        let Some(position) = position else { return };
        self.history.borrow_mut().learn(position);
        if self.marker().is_none() {
            self.stale.notify_one();
        }
    }

    /// Records the report of a sidecar.
    pub fn note_report(&self, instance: &InstanceId, incarnation: Incarnation, report: &Report) {
        self.learn(report.store);
        let mut homes = self.homes.borrow_mut();
        homes.note_report(instance, &report.pool, incarnation, report.restored);
    }

    /// Records that a sidecar has left.
    pub fn note_left(&self, instance: &InstanceId) {
        self.homes.borrow_mut().note_left(instance);
    }
}

/// Returns the marker in force, and reads it if it is not known.
pub async fn marker(e: &Rc<Entry>) -> Option<Marker> {
    if e.history.marker().is_none() {
        refresh(e).await.ok()?;
    }
    e.history.marker()
}

/// Reads the marker. If there is none, or the store has come back, a new era begins.
///
/// # Errors
///
/// Returns [`StoreError`] if the store does not answer or the marker is malformed.
pub async fn refresh(e: &Rc<Entry>) -> Result<(), StoreError> {
    let sent = e.history.known();
    let outcome = e.store.txn(&[], &[Op::Get(MARKER_KEY.into())], &[]).await?;
    let stored = outcome.found.first().ok_or(StoreError::Malformed)?;
    let marker = stored.as_ref().map(|s| parse_marker(e, s)).transpose()?;
    let standing = e.history.history.borrow().check(sent, marker.as_ref(), &outcome);
    match (standing, marker) {
        (Standing::Current, Some(marker)) => adopt(e, marker, outcome.revision),
        (_, _) => begin_era(e, stored.as_ref(), outcome.origin).await?,
    }
    Ok(())
}

fn parse_marker(e: &Entry, stored: &StoredValue) -> Result<Marker, StoreError> {
    serde_json::from_slice(&stored.value)
        .map_err(|error| e.store.fail_value(MARKER_KEY, error, StoreError::Malformed))
}

/// Replaces the marker that was read, unless another entry has replaced it before.
async fn begin_era(
    e: &Rc<Entry>,
    read: Option<&StoredValue>,
    origin: Origin,
) -> Result<(), StoreError> {
    let found = read.map(|stored| parse_marker(e, stored)).transpose()?;
    let (nonce, since) = (Nonce::random(), sync::wall_seconds());
    let next = e.history.history.borrow().next_marker(found.as_ref(), origin, nonce, since);
    let unchanged = match read {
        Some(stored) => Compare::Value(MARKER_KEY.into(), stored.value.clone()),
        None => Compare::Absent(MARKER_KEY.into()),
    };
    let put = Op::Put(MARKER_KEY.into(), next.encode(), None);
    let outcome = e.store.txn(&[unchanged], &[put], &[]).await?;
    if outcome.succeeded {
        adopt(e, next, outcome.revision);
    }
    Ok(())
}

fn adopt(e: &Rc<Entry>, marker: Marker, revision: u64) {
    let before = e.history.known();
    e.history.history.borrow_mut().adopt(marker.clone(), revision);
    e.history.homes.borrow_mut().enter_era(marker.era);
    // A number is written as early as possible: only a copy that has one shows what it lacks.
    e.history.stale.notify_one();
    if marker.era.is_first() || before.is_some_and(|k| k.era >= marker.era) {
        return;
    }
    let detail = format!("era={} revision={revision} known={before:?}", marker.era);
    e.process.event(Kind::StoreReturned, "store", detail);
    // Sidecars write their claims again once they know the era.
    e.links.borrow().values().for_each(|link| link.request_poll());
}

/// Returns whether a transaction on the condition of `marker` ran in the history that is known; if
/// not, reads the marker again or begins a new era.
pub async fn confirm(
    e: &Rc<Entry>,
    marker: &Marker,
    sent: Option<Position>,
    outcome: &TxnOutcome,
    wrote: bool,
) -> bool {
    if !outcome.succeeded {
        let _ = refresh(e).await;
        return false;
    }
    let is_continued = e.history.history.borrow().is_continued(sent, outcome, wrote);
    if is_continued && e.history.marker().as_ref() == Some(marker) {
        e.history.learn(Some(Position::new(marker.era, outcome.revision)));
        return true;
    }
    // The era has changed meanwhile, or the response itself shows that the store has come back.
    if e.history.marker().as_ref() == Some(marker) {
        let stored = StoredValue { value: marker.encode(), revision: 0 };
        let _ = begin_era(e, Some(&stored), outcome.origin).await;
    }
    false
}

fn settled_key(service: &ServiceName) -> String {
    format!("{MARKER_KEY}/settled/{service}")
}

/// Returns whether a key of the service that has no claim under `marker` has not run.
pub fn is_settled(e: &Entry, marker: &Marker, service: &ServiceName) -> bool {
    let is_expired = || {
        let end = marker.since + (CLAIM_LIFETIME + CLOCK_MARGIN).as_secs();
        sync::wall_seconds() > end
    };
    marker.era.is_first()
        || e.history.settled.borrow().get(service) == Some(&marker.nonce)
        || is_expired()
}

/// Waits until a service is settled, at most until `until`; returns `false` if that time has passed.
pub async fn wait_for_change(e: &Entry, until: Instant) -> bool {
    let left = until.saturating_duration_since(clock::now());
    let wait = left.min(DOUBT_INTERVAL);
    let _ = tokio::time::timeout(wait, e.history.changed.notified()).await;
    !left.is_zero()
}

/// Reads the marker when it is out of date, and settles services, for the lifetime of the process.
pub async fn run(e: Rc<Entry>) {
    loop {
        if let Err(error) = step(&e).await {
            log::debug!("claims of services in doubt were not decided on: {error:?}");
        }
        if services_in_doubt(&e).is_empty() {
            let _ = tokio::time::timeout(DECISION_INTERVAL, e.history.stale.notified()).await;
        } else {
            tokio::time::sleep(DOUBT_INTERVAL).await;
        }
    }
}

async fn step(e: &Rc<Entry>) -> Result<(), StoreError> {
    if e.history.known().is_some() && e.history.marker().is_none() {
        refresh(e).await?;
    }
    let Some(marker) = e.history.marker() else { return Ok(()) };
    if e.history.number_read.get() < marker.era && !read_number(e, &marker).await? {
        return Ok(());
    }
    let services = services_in_doubt(e);
    let number = e.history.homes.borrow_mut().next_number(!services.is_empty());
    if let Some(number) = number {
        let is_written = write_number(e, &marker, number).await;
        let is_written_here = matches!(is_written, Ok(true));
        e.history.homes.borrow_mut().note_written(marker.era, number, is_written_here);
        is_written?;
    }
    if services.is_empty() { Ok(()) } else { settle(e, &marker, services).await }
}

fn number_key(e: &Entry) -> String {
    format!("{MARKER_KEY}/seen/{}", e.process.settings.instance)
}

/// Reads the number that the copy has from which an era began, before another one is written.
async fn read_number(e: &Rc<Entry>, marker: &Marker) -> Result<bool, StoreError> {
    let sent = e.history.known();
    let get = Op::Get(number_key(e));
    let outcome = e.store.txn(&[marker.in_force()], &[get], &[]).await?;
    if !confirm(e, marker, sent, &outcome, false).await {
        return Ok(false);
    }
    let stored = outcome.found.first().and_then(|f| f.as_ref());
    let number = stored.and_then(|s| parse_number(&s.value, e.process.incarnation));
    e.history.homes.borrow_mut().set_intact(marker.era, number.unwrap_or(0));
    e.history.number_read.set(marker.era);
    Ok(true)
}

async fn write_number(e: &Rc<Entry>, marker: &Marker, number: u64) -> Result<bool, StoreError> {
    let sent = e.history.known();
    let value = format!("{}~{number}", e.process.incarnation);
    let put = Op::Put(number_key(e), value.into_bytes(), None);
    let outcome = e.store.txn(&[marker.in_force()], &[put], &[]).await?;
    Ok(confirm(e, marker, sent, &outcome, true).await)
}

/// Returns the number that this run of the entry wrote.
fn parse_number(value: &[u8], own: Incarnation) -> Option<u64> {
    let (run, number) = std::str::from_utf8(value).ok()?.split_once('~')?;
    if run.parse() == Ok(own) { number.parse().ok() } else { None }
}

fn services_in_doubt(e: &Entry) -> Vec<ServiceName> {
    let Some(marker) = e.history.marker() else { return Vec::new() };
    let text = e.text();
    let plain = text.services.iter().filter(|(_, s)| !matches!(s.kind, ServiceKind::Model(_)));
    plain.map(|(n, _)| n).filter(|n| !is_settled(e, &marker, n)).cloned().collect()
}

/// Settles the services whose claims are known to be complete, and reads which ones others have settled.
async fn settle(
    e: &Rc<Entry>,
    marker: &Marker,
    services: Vec<ServiceName>,
) -> Result<(), StoreError> {
    let now = clock::now();
    let may_read = e.history.decisions_read.get().is_none_or(|at| at + DECISION_INTERVAL <= now);
    let (complete, open): (Vec<_>, Vec<_>) =
        services.into_iter().partition(|s| has_all_claims(e, s));
    let value = marker.nonce.to_string().into_bytes();
    if !complete.is_empty() {
        let put = |s| Op::Put(settled_key(s), value.clone(), None);
        for batch in complete.chunks(MAX_BATCH_CLAIMS) {
            let puts: Vec<Op> = batch.iter().map(put).collect();
            let sent = e.history.known();
            let outcome = e.store.txn(&[marker.in_force()], &puts, &[]).await?;
            if confirm(e, marker, sent, &outcome, true).await {
                batch.iter().for_each(|s| note_settled(e, marker, s));
            }
        }
    }
    if may_read && !open.is_empty() {
        e.history.decisions_read.set(Some(now));
        let is_decided = |f: &Option<StoredValue>| f.as_ref().is_some_and(|v| v.value == value);
        for batch in open.chunks(MAX_BATCH_CLAIMS) {
            let gets: Vec<Op> = batch.iter().map(|s| Op::Get(settled_key(s))).collect();
            let sent = e.history.known();
            let outcome = e.store.txn(&[marker.in_force()], &gets, &[]).await?;
            if confirm(e, marker, sent, &outcome, false).await {
                let found = batch.iter().zip(&outcome.found);
                found.filter(|(_, f)| is_decided(f)).for_each(|(s, _)| note_settled(e, marker, s));
            }
        }
    }
    Ok(())
}

fn has_all_claims(e: &Entry, service: &ServiceName) -> bool {
    let members: Vec<InstanceId> =
        e.board.borrow().endpoints.values().map(|x: &Endpoint| x.instance.clone()).collect();
    e.history.homes.borrow().has_all_claims(service, &members)
}

fn note_settled(e: &Entry, marker: &Marker, service: &ServiceName) {
    e.history.settled.borrow_mut().insert(service.clone(), marker.nonce);
    e.process.event(Kind::ClaimsRestored, service, format_args!("era={}", marker.era));
    e.history.changed.notify_waiters();
}
