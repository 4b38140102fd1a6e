//! Messages between instances: datagrams that tell what each has under way at endpoints.
//!
//! Each instance writes its address and a key of its own into the store, under a lease. Others
//! check its messages with that key, so that only who may write to the store is believed.

use super::{Gateway, jitter};
use crate::clock;
use crate::event::Kind;
use crate::frame::{Envelope, Keyring};
use crate::id::{Incarnation, InstanceId, IntentVersion};
use crate::share::{Digest, FULL_TIME, Teller};
use crate::store::{Fact, LeaseId, Leases, StoreError};
use actix_rt::net::UdpSocket;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Start of the keys of instances in the store.
pub const PREFIX: &str = "gateways/";
/// Time after which an instance that has gone silent is no longer listed.
const LEASE_TIME: Duration = Duration::from_secs(15);
/// Time between two renewals; two may fail before the lease ends.
const RENEW_TIME: Duration = Duration::from_secs(5);
/// Time between two tries while the store does not answer.
const RETRY_TIME: Duration = Duration::from_millis(1000);
/// Largest datagram in bytes.
const DATAGRAM_LIMIT: usize = 16 << 10;
/// Bytes of the key of an instance.
const KEY_BYTES: usize = 16;

/// What an instance writes into the store.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    address: SocketAddr,
    key: [u8; KEY_BYTES],
}

/// Another instance.
#[derive(Debug)]
pub struct Peer {
    /// Address for messages.
    address: SocketAddr,
    /// Key that its messages are signed with.
    keys: Keyring,
}

/// Begins to talk with other instances.
///
/// # Errors
///
/// Returns an error where the address cannot be used.
pub async fn start(gw: &Rc<Gateway>, address: SocketAddr) -> std::io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(address).await?);
    let key: [u8; KEY_BYTES] = rand::rng().random();
    let entry = Entry { address, key };
    let keys = Keyring::new(&[Arc::from(&key[..])]);
    actix_rt::spawn(enroll(gw.clone(), entry));
    actix_rt::spawn(tell(gw.clone(), socket.clone(), keys));
    actix_rt::spawn(hear(gw.clone(), socket));
    Ok(())
}

/// Keeps this instance listed in the store.
async fn enroll(gw: Rc<Gateway>, entry: Entry) {
    let instance = gw.boot.borrow().instance.clone();
    let key = format!("{PREFIX}{instance}");
    // Plain data of fixed shape always serializes.
    let value = serde_json::to_vec(&entry).unwrap_or_default();
    let mut lease = None;
    loop {
        match keep(&gw, &key, &value, lease).await {
            Ok(kept) => {
                lease = kept;
                let wait = if kept.is_some() { RENEW_TIME } else { Duration::ZERO };
                tokio::time::sleep(jitter(wait)).await;
            }
            Err(e) => {
                log::debug!("instance not listed: {e:?}");
                tokio::time::sleep(jitter(RETRY_TIME)).await;
            }
        }
    }
}

async fn keep(
    gw: &Gateway,
    key: &str,
    value: &[u8],
    lease: Option<LeaseId>,
) -> Result<Option<LeaseId>, StoreError> {
    if let Some(lease) = lease {
        return Ok(gw.store.renew(lease).await?.then_some(lease));
    }
    let lease = gw.store.grant(LEASE_TIME).await?;
    Ok(gw.store.put(key, value, lease).await?.then_some(lease))
}

/// Takes over what the store says of an instance.
pub fn take_peer(gw: &Gateway, fact: &Fact) {
    let Some(name) = fact.key.strip_prefix(PREFIX) else { return };
    let Ok(instance) = name.parse::<InstanceId>() else { return };
    if instance == gw.boot.borrow().instance {
        return;
    }
    let entry = fact.value.as_ref().and_then(|v| serde_json::from_slice::<Entry>(v).ok());
    match entry {
        Some(e) => {
            let keys = Keyring::new(&[Arc::from(&e.key[..])]);
            let peer = Peer { address: e.address, keys };
            if gw.peers.borrow_mut().insert(instance.clone(), peer).is_none() {
                gw.event(Kind::LinkUp, instance, format_args!("address={}", e.address));
            }
        }
        None => {
            if gw.peers.borrow_mut().remove(&instance).is_some() {
                gw.event(Kind::LinkSilent, instance, "why=\"no longer listed\"");
            }
        }
    }
}

/// Tells the others what has changed here, as soon as it does.
async fn tell(gw: Rc<Gateway>, socket: Rc<UdpSocket>, keys: Keyring) {
    let incarnation = Incarnation::random();
    let mut teller = Teller::default();
    loop {
        // A change that is not told at once is told with the next one, or with a full message.
        let _ = tokio::time::timeout(FULL_TIME / 2, gw.changed.notified()).await;
        let peers: Vec<SocketAddr> = gw.peers.borrow().values().map(|p| p.address).collect();
        let now = clock::now();
        let digest = {
            let pool = gw.pool.borrow();
            let work = pool.endpoints.values().map(|e| (e.tag, e.own));
            teller.step(now, peers.len(), work)
        };
        let Some(digest) = digest else {
            tokio::time::sleep(teller.pause(peers.len())).await;
            gw.changed.notify_one();
            continue;
        };
        let frame = seal(&gw, &keys, incarnation, digest);
        for peer in peers {
            // A datagram that finds no room is made good by the next full one.
            if let Err(e) = socket.try_send_to(&frame, peer) {
                log::debug!("message to {peer} not sent: {e}");
            }
        }
    }
}

fn seal(gw: &Gateway, keys: &Keyring, incarnation: Incarnation, body: Digest) -> Vec<u8> {
    let at = gw.ring.borrow_mut().clock.tick(clock::wall());
    let from = gw.boot.borrow().instance.clone();
    let version = IntentVersion(gw.table.borrow().as_ref().map_or(0, |t| t.version.0));
    keys.seal(&Envelope { from, incarnation, at, version, body })
}

/// Hears what others have under way.
async fn hear(gw: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; DATAGRAM_LIMIT];
    loop {
        let (n, from) = match socket.recv_from(&mut buf).await {
            Ok(got) => got,
            Err(e) => {
                log::debug!("no message received: {e}");
                continue;
            }
        };
        let Some(envelope) = open(&gw, &buf[..n], from) else {
            metrics::counter!("frames_dropped_total").increment(1);
            continue;
        };
        let mut ledger = gw.ledger.borrow_mut();
        ledger.note(clock::now(), envelope.from, &envelope.body);
        gw.pool.borrow_mut().refresh(&ledger);
    }
}

fn open(gw: &Gateway, frame: &[u8], from: SocketAddr) -> Option<Envelope<Digest>> {
    let peers = gw.peers.borrow();
    let peer = peers.values().find(|p| p.address == from)?;
    peer.keys.open(frame).ok()
}
