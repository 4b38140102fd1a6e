//! Datagrams between instances, mainly digests of the work that each has at endpoints.
//!
//! Each instance registers its address and a random signing key in the store, under a lease. Peers
//! verify its messages with that key, so that only processes with write access to the store are
//! trusted.

use super::{Gateway, follow, jitter, limits, outage, quarantine, transfer};
use crate::admit::{self, Candidate};
use crate::clock;
use crate::evacuate::Verdict;
use crate::event::Kind;
use crate::frame::{Envelope, Gossip, Keyring};
use crate::gossip::{
    self, AdmissionRequest, DigestScheduler, FULL_DIGEST_INTERVAL, PeerMessage, ReaderReport,
    StoreChanges, Tag,
};
use crate::id::{Incarnation, InstanceId, IntentVersion, MilliCores};
use crate::limit::{Fleet, Grant, MAX_MISSES};
use crate::route::Urgency;
use crate::store::{KeyValue, LeaseId, Leases, StoreError};
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

/// Prefix of the store keys under which instances are registered.
pub const KEY_PREFIX: &str = "gateways/";
/// Time to live of a registration that is no longer renewed.
const LEASE_TTL: Duration = Duration::from_secs(15);
/// Interval between two renewals; two may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between two attempts while the store is unreachable.
const RETRY_INTERVAL: Duration = Duration::from_millis(1000);
/// Time for a coordinator to answer an admission request, and so the delay that a lost datagram
/// causes.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(15);
/// Time for which an instance that does not reply is not asked again.
const MISS_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the receive buffer for datagrams.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Length of the signing key of an instance.
const KEY_BYTES: usize = 16;

/// Registration of an instance in the store.
#[derive(Debug, Serialize, Deserialize)]
struct Registration {
    address: SocketAddr,
    key: [u8; KEY_BYTES],
    /// Absent in registrations of older versions.
    #[serde(default)]
    power: MilliCores,
}

/// Another instance.
#[derive(Debug)]
pub struct Peer {
    /// Address of its datagrams, and of connections that transfer the configuration.
    pub address: SocketAddr,
    /// Processing power.
    pub power: MilliCores,
    /// Key that verifies its messages, new with each start.
    key: [u8; KEY_BYTES],
    keys: Keyring,
}

/// Sends messages to peers and matches admission replies with requests.
#[derive(Debug, Default)]
pub struct Messenger {
    /// `None` where the settings name no address for peers.
    sender: RefCell<Option<Sender>>,
    /// Requests without a reply yet, by their numbers.
    pending: RefCell<HashMap<u64, oneshot::Sender<Reply>>>,
    /// Number of the next request.
    next_number: Cell<u64>,
    /// Requests for permits without a reply.
    misses: RefCell<HashMap<InstanceId, Misses>>,
}

/// Requests to an instance without a reply in a row.
#[derive(Debug)]
struct Misses {
    count: u32,
    /// When they are forgotten.
    until: Instant,
}

/// Reply of a coordinator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reply {
    /// Whether a generation may begin.
    Admission(bool),
    /// Whether a copy may start.
    Transfer(Verdict),
    /// Permits for a limited endpoint.
    Permits(Grant),
}

impl Messenger {
    /// Returns a number that no other request of this instance has.
    pub fn number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }
}

/// Removes a pending request when its future is dropped.
struct PendingGuard<'a> {
    messenger: &'a Messenger,
    number: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.messenger.pending.borrow_mut().remove(&self.number);
    }
}

/// Socket and identity that messages are sent with.
#[derive(Debug)]
struct Sender {
    socket: Rc<UdpSocket>,
    keys: Keyring,
    incarnation: Incarnation,
}

/// Registers this instance, and starts to exchange messages with peers.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start(gw: &Rc<Gateway>, address: SocketAddr) -> std::io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(address).await?);
    let key: [u8; KEY_BYTES] = rand::rng().random();
    let registration = Registration { address, key, power: gw.settings.borrow().power };
    let keys = Keyring::new(&[Arc::from(&key[..])]);
    let sender = Sender { socket: socket.clone(), keys, incarnation: Incarnation::random() };
    *gw.messenger.sender.borrow_mut() = Some(sender);
    actix_rt::spawn(keep_registered(gw.clone(), registration));
    actix_rt::spawn(send_digests(gw.clone()));
    actix_rt::spawn(receive_messages(gw.clone(), socket));
    Ok(())
}

/// Encodes and signs a message; `None` if this instance does not exchange messages.
pub fn seal_message(gw: &Gateway, body: PeerMessage) -> Option<Vec<u8>> {
    let sender = gw.messenger.sender.borrow();
    let s = sender.as_ref()?;
    let at = gw.ring.borrow_mut().clock.tick(clock::wall());
    let from = gw.settings.borrow().instance.clone();
    let version = IntentVersion(gw.table_version());
    Some(s.keys.encode(&Envelope { from, incarnation: s.incarnation, at, version, body }))
}

/// Sends a message to the given addresses without waiting.
pub fn send(gw: &Gateway, to: &[SocketAddr], body: PeerMessage) {
    let Some(frame) = seal_message(gw, body) else { return };
    let sender = gw.messenger.sender.borrow();
    let Some(s) = sender.as_ref() else { return };
    for peer in to {
        // A digest that does not fit the socket's buffer is superseded by the next full digest.
        if let Err(e) = s.socket.try_send_to(&frame, *peer) {
            log::debug!("message to {peer} not sent: {e}");
        }
    }
}

/// Passes changes of the store on to all peers if this instance is a reader.
pub fn publish(gw: &Gateway, changes: StoreChanges) {
    let to: Vec<SocketAddr> = gw.peers.borrow().values().map(|p| p.address).collect();
    if !to.is_empty() && is_reader(gw) {
        send(gw, &to, PeerMessage::StoreChanges(changes));
    }
}

/// Tells all peers that an engine reported that it is leaving.
pub fn send_leaving(gw: &Gateway, tag: Tag) {
    let to: Vec<SocketAddr> = gw.peers.borrow().values().map(|p| p.address).collect();
    send(gw, &to, PeerMessage::EngineLeaving(tag));
}

/// Sends what is known of contents and parts that crashed endpoints to all peers.
pub fn send_suspects(gw: &Gateway, gossip: Gossip) {
    let to: Vec<SocketAddr> = gw.peers.borrow().values().map(|p| p.address).collect();
    send(gw, &to, PeerMessage::Quarantine(gossip));
}

/// Returns whether this instance follows the store closely on behalf of others.
pub fn is_reader(gw: &Gateway) -> bool {
    gossip::is_reader(&gw.settings.borrow().instance, gw.peers.borrow().keys())
}

/// Returns what the readers' digests say about the store.
pub fn reader_report(gw: &Gateway, now: Instant) -> ReaderReport {
    let peers = gw.peers.borrow();
    gw.peer_loads.borrow().reader_report(now, &gossip::readers(peers.keys()))
}

/// Asks the coordinator of an engine whether a generation may begin there.
///
/// Returns `false` only on an explicit denial: a request without a reply counts as granted, and so
/// does one for an engine that this instance coordinates.
pub async fn request_admission(gw: &Gateway, tag: Tag, candidate: &Candidate) -> bool {
    let own = gw.settings.borrow().instance.clone();
    let coordinator = {
        let peers = gw.peers.borrow();
        let instances = peers.keys().chain(std::iter::once(&own));
        gossip::coordinator(tag, instances).and_then(|i| peers.get(i)).map(|p| p.address)
    };
    let Some(coordinator) = coordinator else { return true };
    let number = gw.messenger.number();
    let left = u32::try_from(candidate.left.as_millis()).unwrap_or(u32::MAX);
    let row = gossip::encode_row(tag, candidate.work);
    let request = AdmissionRequest { number, row, left_ms: left, urgency: candidate.urgency.0 };
    let message = PeerMessage::AdmissionRequest(request);
    let reply = request_reply(gw, coordinator, number, message, ADMISSION_TIMEOUT).await;
    metrics::counter!("asks_total", "answered" => reply.is_some().to_string()).increment(1);
    reply != Some(Reply::Admission(false))
}

/// Sends a request with a number and waits for the reply; `None` if it does not come within `wait`.
pub async fn request_reply(
    gw: &Gateway,
    to: SocketAddr,
    number: u64,
    message: PeerMessage,
    wait: Duration,
) -> Option<Reply> {
    let (reply, replied) = oneshot::channel();
    gw.messenger.pending.borrow_mut().insert(number, reply);
    let _guard = PendingGuard { messenger: &gw.messenger, number };
    send(gw, &[to], message);
    tokio::time::timeout(wait, replied).await.ok()?.ok()
}

/// Returns the instance among those heard from recently that coordinates an endpoint, and its
/// address; `None` if it is this one.
pub fn coordinator(gw: &Gateway, tag: Tag) -> Option<(InstanceId, SocketAddr)> {
    let own = gw.settings.borrow().instance.clone();
    let (peers, loads) = (gw.peers.borrow(), gw.peer_loads.borrow());
    let (now, misses) = (clock::now(), gw.messenger.misses.borrow());
    let is_silent = |i| misses.get(i).is_some_and(|m| m.count >= MAX_MISSES && now < m.until);
    let heard = peers.keys().filter(|i| loads.has_heard(i) && !is_silent(i));
    let found = gossip::coordinator(tag, heard.chain(std::iter::once(&own)))?;
    peers.get(found).map(|p| (found.clone(), p.address))
}

/// Records whether a coordinator replied. After several requests without a reply in a row, another
/// instance is asked for a while.
pub fn record_reply(gw: &Gateway, coordinator: InstanceId, has_replied: bool) {
    let mut all = gw.messenger.misses.borrow_mut();
    if has_replied {
        all.remove(&coordinator);
        return;
    }
    let now = clock::now();
    all.retain(|_, m| now < m.until);
    let misses = all.entry(coordinator).or_insert(Misses { count: 0, until: now });
    misses.count += 1;
    misses.until = now + MISS_TIMEOUT;
}

/// Returns how many instances are registered, and how many of them were heard from recently.
pub fn fleet(gw: &Gateway) -> Fleet {
    let (peers, loads) = (gw.peers.borrow(), gw.peer_loads.borrow());
    let heard = peers.keys().filter(|i| loads.has_heard(i)).count();
    Fleet { registered: peers.len() + 1, heard: heard + 1 }
}

fn receive_reply(gw: &Gateway, number: u64, reply: Reply) {
    if let Some(pending) = gw.messenger.pending.borrow_mut().remove(&number) {
        // The request may have timed out meanwhile.
        let _ = pending.send(reply);
    }
}

/// Decides on an admission request as the coordinator of the engine. Grants it if the engine is
/// not known here, and reserves the granted work until it shows in a digest.
fn decide_admission(gw: &Gateway, request: &AdmissionRequest) -> bool {
    let now = clock::now();
    let (tag, work) = gossip::decode_row(request.row);
    let left = Duration::from_millis(u64::from(request.left_ms));
    let candidate = Candidate { work, left, urgency: Urgency(request.urgency) };
    gw.peer_loads.borrow_mut().step(now);
    gw.pool.borrow_mut().update_peer_work(&mut gw.peer_loads.borrow_mut());
    let pool = gw.pool.borrow();
    let Some(e) = pool.find_by_tag(tag) else { return true };
    let service = &e.listing.service;
    let table = gw.table.borrow();
    let config = table.as_ref().and_then(|t| t.services.get(service));
    let Some(engine) = config.and_then(|s| s.engine.as_ref()) else { return true };
    let rate = gw.prefill_rates.borrow().get(service).copied().unwrap_or_default();
    let granted = admit::fits(now, e, engine, &candidate, &rate);
    if granted {
        gw.peer_loads.borrow_mut().reserve(now, tag, work);
    }
    granted
}

/// Keeps this instance registered in the store. Does not return.
async fn keep_registered(gw: Rc<Gateway>, registration: Registration) {
    let instance = gw.settings.borrow().instance.clone();
    let key = format!("{KEY_PREFIX}{instance}");
    // Serializing an address and a byte array cannot fail.
    let value = serde_json::to_vec(&registration).unwrap_or_default();
    let (mut lease, mut era) = (None, gw.store_position.borrow().era());
    loop {
        let newest = gw.store_position.borrow().era();
        if newest > std::mem::replace(&mut era, newest) {
            // The lease is gone, and its number may have been given to another instance.
            lease = None;
        }
        match renew_or_register(&gw, &key, &value, lease).await {
            Ok(renewed) => {
                lease = renewed;
                let wait = if renewed.is_some() { RENEW_INTERVAL } else { Duration::ZERO };
                let _ = tokio::time::timeout(jitter(wait), gw.store_returned.notified()).await;
            }
            Err(e) => {
                log::debug!("registration of this instance in the store failed: {e:?}");
                tokio::time::sleep(jitter(RETRY_INTERVAL)).await;
            }
        }
    }
}

/// Renews the lease of the registration, or writes the registration under a new lease. Returns
/// `None` if the lease has expired, so that the next call registers again.
async fn renew_or_register(
    gw: &Gateway,
    key: &str,
    value: &[u8],
    lease: Option<LeaseId>,
) -> Result<Option<LeaseId>, StoreError> {
    if let Some(lease) = lease {
        return Ok(gw.store.renew(lease).await?.then_some(lease));
    }
    let lease = gw.store.grant(LEASE_TTL).await?;
    Ok(gw.store.put(key, value, lease).await?.then_some(lease))
}

/// Adds, updates or removes a peer after a change of its registration.
pub fn update_peer(gw: &Rc<Gateway>, kv: &KeyValue) {
    let Some(name) = kv.key.strip_prefix(KEY_PREFIX) else { return };
    let Ok(instance) = name.parse::<InstanceId>() else { return };
    if instance == gw.settings.borrow().instance {
        return;
    }
    let registration =
        kv.value.as_ref().and_then(|v| serde_json::from_slice::<Registration>(v).ok());
    match registration {
        Some(r) => {
            let keys = Keyring::new(&[Arc::from(&r.key[..])]);
            let peer = Peer { address: r.address, power: r.power, key: r.key, keys };
            let known = gw.peers.borrow_mut().insert(instance.clone(), peer);
            if known.as_ref().is_none_or(|k| k.key != r.key) {
                quarantine::inform_started(gw, r.address);
                limits::inform_started(gw, r.address);
            }
            if known.is_none() {
                gw.wave_event(Kind::LinkUp, instance, format_args!("address={}", r.address));
            }
        }
        None => {
            if gw.peers.borrow_mut().remove(&instance).is_some() {
                gw.wave_event(Kind::LinkSilent, instance, "why=\"no longer listed\"");
            }
        }
    }
}

/// Sends digests of the work of this instance to all peers: changes soon after they happen, and a
/// full digest at a fixed interval. Does not return.
async fn send_digests(gw: Rc<Gateway>) {
    let mut scheduler = DigestScheduler::default();
    loop {
        // Go on without a change too, since a full digest may be due.
        let _ = tokio::time::timeout(FULL_DIGEST_INTERVAL / 2, gw.work_changed.notified()).await;
        let peers: Vec<SocketAddr> = gw.peers.borrow().values().map(|p| p.address).collect();
        let now = clock::now();
        let mut digest = {
            let pool = gw.pool.borrow();
            let work = pool.endpoints.values().map(|e| (e.tag, e.own));
            scheduler.store_down = gw.store_lost.get();
            let position = gw.store_position.borrow().get().filter(|_| is_reader(&gw));
            scheduler.position = position.unwrap_or_default();
            scheduler.step(now, peers.len(), work)
        };
        if let Some(digest) = digest.as_mut().filter(|d| d.full) {
            digest.token_times = own_token_times(&gw, now);
        }
        match digest {
            Some(digest) => send(&gw, &peers, PeerMessage::Digest(digest)),
            None => {
                tokio::time::sleep(scheduler.min_interval(peers.len())).await;
                gw.work_changed.notify_one();
            }
        }
    }
}

/// Returns the time per output token, in microseconds, of the engines whose streams this instance
/// relays.
fn own_token_times(gw: &Gateway, now: Instant) -> Vec<(Tag, u32)> {
    let pool = gw.pool.borrow();
    let times = pool.endpoints.values().filter_map(|e| Some((e.tag, e.own_token_time.get(now)?)));
    times.map(|(tag, time)| (tag, u32::try_from(time.as_micros()).unwrap_or(u32::MAX))).collect()
}

/// Receives and handles messages of peers. Does not return.
async fn receive_messages(gw: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (n, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!("cannot receive datagrams: {e}");
                continue;
            }
        };
        let Some(envelope) = open_message(&gw, &buf[..n], |a| *a == from) else { continue };
        gw.config_pull.borrow_mut().note_version(clock::now(), &envelope.from, envelope.version.0);
        handle_message(&gw, envelope, from);
    }
}

fn handle_message(gw: &Rc<Gateway>, envelope: Envelope<PeerMessage>, from: SocketAddr) {
    match envelope.body {
        PeerMessage::Digest(digest) => {
            let mut peer_loads = gw.peer_loads.borrow_mut();
            let now = clock::now();
            peer_loads.apply(now, envelope.from, &digest);
            let mut pool = gw.pool.borrow_mut();
            pool.update_peer_work(&mut peer_loads);
            for (tag, micros) in digest.token_times {
                let time = Duration::from_micros(u64::from(micros));
                pool.observe_peer_token_time(now, tag, time);
            }
        }
        PeerMessage::AdmissionRequest(request) => {
            let granted = decide_admission(gw, &request);
            send(gw, &[from], PeerMessage::AdmissionReply(request.number, granted));
        }
        PeerMessage::PermitRequest(number, request) => {
            let grant = limits::decide(gw, &envelope.from, from, &request);
            send(gw, &[from], PeerMessage::PermitReply(number, grant));
        }
        PeerMessage::PermitReply(number, grant) => {
            receive_reply(gw, number, Reply::Permits(grant));
        }
        PeerMessage::Limits(notice) => limits::merge(gw, &envelope.from, &notice),
        PeerMessage::Quarantine(gossip) => quarantine::merge(gw, &gossip),
        PeerMessage::StoreChanges(changes) => follow::apply_changes(gw, &changes),
        PeerMessage::PullConfig | PeerMessage::Config(_) => {
            log::debug!(
                "ignored datagram from {from}: the configuration is only exchanged on connections"
            );
        }
        PeerMessage::AdmissionReply(number, granted) => {
            receive_reply(gw, number, Reply::Admission(granted));
        }
        PeerMessage::TransferRequest(request) => {
            let number = request.number;
            let verdict = transfer::decide(gw, envelope.from, &request);
            send(gw, &[from], PeerMessage::TransferReply(number, verdict));
        }
        PeerMessage::TransferReply(number, verdict) => {
            receive_reply(gw, number, Reply::Transfer(verdict));
        }
        PeerMessage::EngineLeaving(tag) => outage::record_leaving(gw, tag, &envelope.from),
        PeerMessage::TransferDone(number) => transfer::finish(gw, envelope.from, number),
    }
}

/// Verifies and decodes a frame with the keys of the peers whose address satisfies `is_sender`;
/// `None` if none of them verifies it.
pub fn open_message(
    gw: &Gateway,
    frame: &[u8],
    is_sender: impl Fn(&SocketAddr) -> bool,
) -> Option<Envelope<PeerMessage>> {
    let peers = gw.peers.borrow();
    let mut senders = peers.values().filter(|p| is_sender(&p.address));
    let envelope = senders.find_map(|p| p.keys.decode(frame).ok());
    if envelope.is_none() {
        metrics::counter!("frames_dropped_total").increment(1);
    }
    envelope
}
