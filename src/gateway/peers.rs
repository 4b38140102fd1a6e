//! Messages between instances: datagrams that tell what each has under way at endpoints.
//!
//! Each instance writes its address and a key of its own into the store, under a lease. Others
//! check its messages with that key, so that only who may write to the store is believed.

use super::{Gateway, follow, jitter, quarantine};
use crate::admit::{self, Entrant};
use crate::clock;
use crate::event::Kind;
use crate::frame::{Envelope, Gossip, Keyring};
use crate::gossip::{
    self, AdmissionRequest, DigestScheduler, FULL_DIGEST_INTERVAL, PeerMessage, StoreChanges,
    StoreStatus, Tag,
};
use crate::id::{Incarnation, InstanceId, IntentVersion};
use crate::route::Urgency;
use crate::store::{Fact, LeaseId, Leases, StoreError};
use actix_rt::net::UdpSocket;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Start of the keys of instances in the store.
pub const KEY_PREFIX: &str = "gateways/";
/// Time after which an instance that has gone silent is no longer listed.
const LEASE_TIME: Duration = Duration::from_secs(15);
/// Time between two renewals; two may fail before the lease ends.
const RENEW_TIME: Duration = Duration::from_secs(5);
/// Time between two tries while the store does not answer.
const RETRY_TIME: Duration = Duration::from_millis(1000);
/// Time for a coordinator to answer; a lost question costs no more than this.
const ASK_TIME: Duration = Duration::from_millis(15);
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
    /// Address for messages and for copies of the configuration.
    pub address: SocketAddr,
    /// Key that its messages are signed with.
    keys: Keyring,
}

/// Messages to other instances, and answers that are awaited.
#[derive(Debug, Default)]
pub struct Messenger {
    sender: RefCell<Option<Sender>>,
    awaited: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    next: Cell<u64>,
}

/// A question that is forgotten with who asked it.
struct Awaited<'a> {
    messenger: &'a Messenger,
    number: u64,
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        self.messenger.awaited.borrow_mut().remove(&self.number);
    }
}

/// What it takes to send.
#[derive(Debug)]
struct Sender {
    socket: Rc<UdpSocket>,
    keys: Keyring,
    incarnation: Incarnation,
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
    let sender = Sender { socket: socket.clone(), keys, incarnation: Incarnation::random() };
    *gw.messenger.sender.borrow_mut() = Some(sender);
    actix_rt::spawn(enroll(gw.clone(), entry));
    actix_rt::spawn(tell(gw.clone()));
    actix_rt::spawn(hear(gw.clone(), socket));
    Ok(())
}

/// Signs a message; `None` before this instance has a key.
pub fn seal_message(gw: &Gateway, body: PeerMessage) -> Option<Vec<u8>> {
    let sender = gw.messenger.sender.borrow();
    let v = sender.as_ref()?;
    let at = gw.ring.borrow_mut().clock.tick(clock::wall());
    let from = gw.settings.borrow().instance.clone();
    let version = IntentVersion(gw.table_version());
    Some(v.keys.seal(&Envelope { from, incarnation: v.incarnation, at, version, body }))
}

/// Sends a message to other instances.
fn send(gw: &Gateway, to: &[SocketAddr], body: PeerMessage) {
    let Some(frame) = seal_message(gw, body) else { return };
    let sender = gw.messenger.sender.borrow();
    let Some(v) = sender.as_ref() else { return };
    for peer in to {
        // A datagram that finds no room is made good by the next full one.
        if let Err(e) = v.socket.try_send_to(&frame, *peer) {
            log::debug!("message to {peer} not sent: {e}");
        }
    }
}

/// Passes on what the store said, if this instance is a reader.
pub fn publish(gw: &Gateway, bulletin: StoreChanges) {
    let to: Vec<SocketAddr> = gw.peers.borrow().values().map(|p| p.address).collect();
    if !to.is_empty() && is_reader(gw) {
        send(gw, &to, PeerMessage::StoreChanges(bulletin));
    }
}

/// Tells the others of contents that crashed endpoints.
pub fn send_suspects(gw: &Gateway, gossip: Gossip) {
    let to: Vec<SocketAddr> = gw.peers.borrow().values().map(|p| p.address).collect();
    send(gw, &to, PeerMessage::Quarantine(gossip));
}

/// Tells whether this instance follows the store closely.
pub fn is_reader(gw: &Gateway) -> bool {
    gossip::is_reader(&gw.settings.borrow().instance, gw.peers.borrow().keys())
}

/// Returns what is known of the store from those who follow it closely.
pub fn store_report(gw: &Gateway, now: Instant) -> StoreStatus {
    let peers = gw.peers.borrow();
    gw.peer_loads.borrow().store_status(now, &gossip::readers(peers.keys()))
}

/// Asks the coordinator of an engine for room there; it counts as granted where nobody answers.
pub async fn request_admission(gw: &Gateway, tag: Tag, entrant: &Entrant) -> bool {
    let own = gw.settings.borrow().instance.clone();
    let coordinator = {
        let peers = gw.peers.borrow();
        let instances = peers.keys().chain(std::iter::once(&own));
        gossip::coordinator(tag, instances).and_then(|i| peers.get(i)).map(|p| p.address)
    };
    let Some(coordinator) = coordinator else { return true };
    let number = gw.messenger.next.get();
    gw.messenger.next.set(number + 1);
    let (answer, answered) = oneshot::channel();
    gw.messenger.awaited.borrow_mut().insert(number, answer);
    let _awaited = Awaited { messenger: &gw.messenger, number };
    let left = u32::try_from(entrant.left.as_millis()).unwrap_or(u32::MAX);
    let row = gossip::encode_row(tag, entrant.work);
    let ask = AdmissionRequest { number, row, left_ms: left, urgency: entrant.urgency.0 };
    send(gw, &[coordinator], PeerMessage::AdmissionRequest(ask));
    let granted = tokio::time::timeout(ASK_TIME, answered).await;
    metrics::counter!("asks_total", "answered" => granted.is_ok().to_string()).increment(1);
    !matches!(granted, Ok(Ok(false)))
}

/// Decides as the coordinator of an engine.
fn decide(gw: &Gateway, ask: &AdmissionRequest) -> bool {
    let now = clock::now();
    let (tag, work) = gossip::decode_row(ask.row);
    let left = Duration::from_millis(u64::from(ask.left_ms));
    let entrant = Entrant { work, left, urgency: Urgency(ask.urgency) };
    gw.peer_loads.borrow_mut().step(now);
    gw.pool.borrow_mut().refresh(&mut gw.peer_loads.borrow_mut());
    let pool = gw.pool.borrow();
    let Some(e) = pool.find_tag(tag) else { return true };
    let service = &e.listing.service;
    let table = gw.table.borrow();
    let terms = table.as_ref().and_then(|t| t.services.get(service));
    let Some(engine) = terms.and_then(|s| s.engine.as_ref()) else { return true };
    let reading = gw.read_rates.borrow().get(service).copied().unwrap_or_default();
    let granted = admit::fits(now, e, engine, &entrant, &reading);
    if granted {
        gw.peer_loads.borrow_mut().reserve(now, tag, work);
    }
    granted
}

/// Keeps this instance listed in the store.
async fn enroll(gw: Rc<Gateway>, entry: Entry) {
    let instance = gw.settings.borrow().instance.clone();
    let key = format!("{KEY_PREFIX}{instance}");
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
pub fn update_peer(gw: &Gateway, fact: &Fact) {
    let Some(name) = fact.key.strip_prefix(KEY_PREFIX) else { return };
    let Ok(instance) = name.parse::<InstanceId>() else { return };
    if instance == gw.settings.borrow().instance {
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
async fn tell(gw: Rc<Gateway>) {
    let mut scheduler = DigestScheduler::default();
    loop {
        // A change that is not told at once is told with the next one, or with a full message.
        let _ = tokio::time::timeout(FULL_DIGEST_INTERVAL / 2, gw.work_changed.notified()).await;
        let peers: Vec<SocketAddr> = gw.peers.borrow().values().map(|p| p.address).collect();
        let now = clock::now();
        let digest = {
            let pool = gw.pool.borrow();
            let work = pool.endpoints.values().map(|e| (e.tag, e.own));
            scheduler.store_down = gw.store_lost.get();
            scheduler.step(now, peers.len(), work)
        };
        match digest {
            Some(digest) => send(&gw, &peers, PeerMessage::Digest(digest)),
            None => {
                tokio::time::sleep(scheduler.min_interval(peers.len())).await;
                gw.work_changed.notify_one();
            }
        }
    }
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
        let Some(envelope) = open_message(&gw, &buf[..n], |a| *a == from) else { continue };
        gw.config_pull.borrow_mut().note_version(clock::now(), &envelope.from, envelope.version.0);
        take_note(&gw, envelope, from);
    }
}

fn take_note(gw: &Gateway, envelope: Envelope<PeerMessage>, from: SocketAddr) {
    match envelope.body {
        PeerMessage::Digest(digest) => {
            let mut peer_loads = gw.peer_loads.borrow_mut();
            peer_loads.apply(clock::now(), envelope.from, &digest);
            gw.pool.borrow_mut().refresh(&mut peer_loads);
        }
        PeerMessage::AdmissionRequest(ask) => {
            let granted = decide(gw, &ask);
            send(gw, &[from], PeerMessage::AdmissionReply(ask.number, granted));
        }
        PeerMessage::Quarantine(gossip) => quarantine::merge(gw, &gossip),
        PeerMessage::StoreChanges(bulletin) => follow::apply_bulletin(gw, &bulletin),
        PeerMessage::PullConfig | PeerMessage::Config(_) => {
            log::debug!("message of {from} belongs on a connection");
        }
        PeerMessage::AdmissionReply(number, granted) => {
            if let Some(answer) = gw.messenger.awaited.borrow_mut().remove(&number) {
                // Who asked may have given up meanwhile.
                let _ = answer.send(granted);
            }
        }
    }
}

/// Checks a frame with the keys of the instances whose address `is_sender`.
pub fn open_message(
    gw: &Gateway,
    frame: &[u8],
    is_sender: impl Fn(&SocketAddr) -> bool,
) -> Option<Envelope<PeerMessage>> {
    let peers = gw.peers.borrow();
    let mut senders = peers.values().filter(|p| is_sender(&p.address));
    let envelope = senders.find_map(|p| p.keys.open(frame).ok());
    if envelope.is_none() {
        metrics::counter!("frames_dropped_total").increment(1);
    }
    envelope
}
