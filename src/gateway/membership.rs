//! Registration of this instance in the store, and the list of its peers.
//!
//! Each instance registers its address and a random signing key in the store, under a lease. Peers
//! verify its messages with that key, so that only processes with write access to the store are
//! trusted.

use super::peers::{self, Peer, SigningKey};
use super::{Gateway, jitter, limits, suspects};
use crate::clock;
use crate::event::Kind;
use crate::id::{InstanceId, MilliCores};
use crate::pool::Source;
use crate::readiness::OutageReasons;
use crate::store::{KeyValue, LeaseId, Leases, ListStart, StoreError};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Prefix of the store keys under which instances are registered.
pub const KEY_PREFIX: &str = "gateways/";
/// Time to live of a registration that is no longer renewed.
const LEASE_TTL: Duration = Duration::from_secs(15);
/// Interval between two renewals; two may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between two attempts while the store is unreachable.
const RETRY_INTERVAL: Duration = Duration::from_millis(1000);
/// Time from when the store is found to answer again until a call from before is given up. Its connection
/// may be one that returns nothing, or the store may be slow.
const RETURN_DELAY: Duration = Duration::from_millis(300);

/// Registration of an instance in the store.
#[derive(Debug, Serialize, Deserialize)]
pub struct Registration {
    /// Address of its datagrams.
    pub address: SocketAddr,
    /// Key that verifies its messages.
    pub key: SigningKey,
    /// Processing power.
    /// Absent in registrations of older versions.
    #[serde(default)]
    pub power: MilliCores,
}

/// Whether the store has the registration of this instance.
#[derive(Debug, Default)]
pub struct RegistrationState {
    /// When it was last written.
    written_at: Cell<Option<Instant>>,
    /// What is written; empty before the first time.
    value: RefCell<Rc<[u8]>>,
    /// Whether the store was found without it.
    is_lost: Cell<bool>,
    /// Whether the store was found with another value.
    is_replaced: Cell<bool>,
    /// Notified when the store may lack it, as after a return from a copy.
    pub due: Notify,
    /// Notified when the store is found to answer again.
    returned: Notify,
}

impl RegistrationState {
    /// Records that the store answers again: a registration that may have ended meanwhile is not to wait
    /// for a call from before.
    pub fn record_return(&self) {
        self.returned.notify_waiters();
    }

    /// Waits until the store is found to answer again, and then for what may still be answered.
    async fn returned(&self) {
        self.returned.notified().await;
        tokio::time::sleep(jitter(RETURN_DELAY)).await;
    }
}

/// Keeps this instance registered in the store. Does not return.
pub async fn keep_registered(gw: Rc<Gateway>, registration: Rc<Registration>) {
    let instance = gw.settings.borrow().instance.clone();
    let key = format!("{KEY_PREFIX}{instance}");
    // Serializing an address and a byte array cannot fail.
    let value: Rc<[u8]> = serde_json::to_vec(&*registration).unwrap_or_default().into();
    *gw.registration.value.borrow_mut() = value.clone();
    let (mut held, mut era) = (RegistrationLease::default(), gw.store_position.borrow().era());
    let (mut is_repeated, mut reasons) = (false, OutageReasons::default());
    loop {
        if gw.registration.is_replaced.take() {
            // Two processes with the same name would replace each other's without a pause.
            tokio::time::sleep(jitter(RETRY_INTERVAL)).await;
            gw.registration.is_lost.set(true);
        }
        let sent = clock::now();
        let newest = gw.store_position.borrow().era();
        let is_copy = newest > std::mem::replace(&mut era, newest);
        if gw.registration.is_lost.take() || is_copy {
            // The lease is gone or holds another key. After a return from a copy its number may have
            // been given to another instance.
            held = RegistrationLease::default();
        }
        let calls = renew_or_register(&gw, &key, &value, &mut held);
        let outcome = tokio::select! {
            biased;
            outcome = calls => Some(outcome),
            // The next call has its whole time, as a slow store may be lost and found again and again.
            () = gw.registration.returned(), if !is_repeated => None,
        };
        is_repeated = outcome.is_none();
        match outcome {
            None => log::debug!("a call from before the store's return is given up"),
            Some(Ok(is_registered)) => {
                reasons.end();
                if is_registered {
                    gw.retries.borrow_mut().record_registration(sent, LEASE_TTL);
                }
                let wait = if is_registered { RENEW_INTERVAL } else { RETRY_INTERVAL };
                let _ = tokio::time::timeout(jitter(wait), gw.registration.due.notified()).await;
            }
            Some(Err(e)) => {
                if reasons.is_due(clock::now(), e, "") {
                    log::warn!("registration of this instance in the store failed: {e:?}");
                }
                let returned = gw.registration.returned();
                let _ = tokio::time::timeout(jitter(RETRY_INTERVAL), returned).await;
            }
        }
    }
}

/// Lease for the registration.
#[derive(Debug, Default)]
struct RegistrationLease {
    lease: Option<LeaseId>,
    /// Whether the registration was written under it.
    is_written: bool,
}

/// Renews the lease of the registration, or writes the registration, under a new lease if there is none
/// or it has expired. Returns `false` if the lease has expired before the write.
///
/// May be given up at any time. A write that is executed late then names the lease that is kept for the
/// next one, or one that has ended, and fails; for others see [`record_lost`].
async fn renew_or_register(
    gw: &Gateway,
    key: &str,
    value: &[u8],
    held: &mut RegistrationLease,
) -> Result<bool, StoreError> {
    if let Some(lease) = held.lease.filter(|_| held.is_written) {
        if gw.store.renew(lease).await? {
            return Ok(true);
        }
        *held = RegistrationLease::default();
    }
    // A lease that is there is kept, so that a write that fails is repeated alone.
    let lease = match held.lease {
        Some(lease) => lease,
        None => *held.lease.insert(gw.store.grant(LEASE_TTL).await?),
    };
    held.is_written = gw.store.put(key, value, lease).await?;
    gw.registration.written_at.set(Some(clock::now()));
    if !held.is_written {
        *held = RegistrationLease::default();
    }
    Ok(held.is_written)
}

/// Checks that a full read of the store, begun at `asked`, has the registration of this instance if it
/// was written before.
pub fn check_registered(gw: &Gateway, asked: Instant, kvs: &[KeyValue]) {
    let own = format!("{KEY_PREFIX}{}", gw.settings.borrow().instance);
    let is_written = gw.registration.written_at.get().is_some_and(|at| at <= asked);
    if is_written && !kvs.iter().any(|kv| *kv.key == *own) {
        record_lost(gw);
    }
}

/// Has the registration written again: a write that the store executes late can leave it under a lease
/// that is not renewed, and peers accept no messages of an instance that is not registered.
fn record_lost(gw: &Gateway) {
    gw.registration.is_lost.set(true);
    gw.registration.due.notify_one();
}

/// Has the registration written again if the store has another value, written by a call of an earlier
/// process that was executed late, or by somebody else. Its lease may be renewed all the same.
fn check_value(gw: &Gateway, value: &[u8]) {
    let state = &gw.registration;
    if state.written_at.get().is_some() && **state.value.borrow() != *value {
        log::warn!("the registration of this instance in the store was replaced");
        state.is_replaced.set(true);
        state.due.notify_one();
    }
}

/// Adds or updates a peer after a change of its registration. One whose registration has ended stays a
/// peer as long as it is heard from.
pub fn update_peer(gw: &Rc<Gateway>, kv: &KeyValue) {
    let Some(name) = kv.key.strip_prefix(KEY_PREFIX) else { return };
    let Ok(instance) = InstanceId::from_label(name) else {
        return log::warn!("ignored registration of {name:?}, not the name of an instance");
    };
    if instance == gw.settings.borrow().instance {
        match &kv.value {
            Some(value) => check_value(gw, value),
            None => record_lost(gw),
        }
        return;
    }
    let read = kv.value.as_deref().map(serde_json::from_slice::<Registration>).transpose();
    let registration = match read {
        Ok(registration) => registration,
        // Its key exists, so a known peer stays.
        Err(e) => return log::warn!("the registration of {instance} cannot be read: {e}"),
    };
    match registration {
        Some(r) => add_peer(gw, instance, &r),
        None => end_registration(gw, &instance),
    }
}

fn add_peer(gw: &Rc<Gateway>, instance: InstanceId, r: &Registration) {
    let known = gw.peers.borrow_mut().remove(&instance);
    let was_registered = known.as_ref().is_some_and(Peer::is_registered);
    // An instance that has started again has another key, and has not been heard from.
    let known = known.filter(|k| k.has_key(&r.key));
    let is_started = known.is_none();
    let mut presence = known.map(|k| k.presence.get()).unwrap_or_default();
    presence.register();
    let peer = Peer::new(r.address, r.power, r.key, presence);
    gw.peers.borrow_mut().insert(instance.clone(), peer);
    if is_started {
        suspects::inform_started(gw, r.address);
        limits::inform_started(gw, r.address);
    }
    if !was_registered {
        gw.wave_event(Kind::LinkUp, instance, format_args!("address={}", r.address));
    }
}

/// Records that the store has no registration of a peer any more.
fn end_registration(gw: &Gateway, instance: &InstanceId) {
    let is_gone = {
        let peers = gw.peers.borrow();
        let Some(peer) = peers.get(instance).filter(|p| p.is_registered()) else { return };
        let mut presence = peer.presence.get();
        presence.unregister();
        peer.presence.set(presence);
        presence.is_gone(clock::now())
    };
    if is_gone {
        drop_peer(gw, instance);
    } else {
        gw.wave_event(Kind::LinkUnlisted, instance, "");
    }
}

fn drop_peer(gw: &Gateway, instance: &InstanceId) {
    if gw.peers.borrow_mut().remove(instance).is_some() {
        gw.wave_event(Kind::LinkSilent, instance, "why=\"no longer listed\"");
    }
}

/// Applies the registrations that a list of the store has, without those that have changed since.
pub fn apply_list(gw: &Rc<Gateway>, list: &ListStart, items: &[&KeyValue], source: Source) {
    // A copy lacks registrations that their owners write again.
    if source == Source::Current {
        end_missing(gw, list, items);
    }
    items.iter().for_each(|kv| update_peer(gw, kv));
}

/// Records that peers whose registration a list of the store lacks are not registered any more: no
/// change shows that if the history is gone.
fn end_missing(gw: &Gateway, list: &ListStart, items: &[&KeyValue]) {
    let found: HashSet<&str> = items.iter().map(|kv| &*kv.key).collect();
    let is_ended = |(instance, _): &(&InstanceId, &Peer)| {
        let key = format!("{KEY_PREFIX}{instance}");
        // A reader may have passed on one that was written after the read.
        !found.contains(&*key) && !gw.applied.borrow().has_changed(&key, list)
    };
    let ended: Vec<InstanceId> = {
        let peers = gw.peers.borrow();
        peers::registered(&peers).filter(is_ended).map(|(instance, _)| instance.clone()).collect()
    };
    ended.iter().for_each(|instance| end_registration(gw, instance));
}

/// Drops the peers that are neither registered nor heard from.
pub fn step(gw: &Gateway, now: Instant) {
    let is_gone = |(_, peer): &(&InstanceId, &Peer)| peer.presence.get().is_gone(now);
    let gone: Vec<InstanceId> =
        gw.peers.borrow().iter().filter(is_gone).map(|(instance, _)| instance.clone()).collect();
    gone.iter().for_each(|instance| drop_peer(gw, instance));
}
