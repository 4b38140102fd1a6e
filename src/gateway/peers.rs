//! Carries signed messages to peers, and matches replies with requests. What the messages mean is
//! decided by the modules that `inbox` hands them to.

use super::Gateway;
use crate::budget::Hundredths;
use crate::clock;
use crate::evacuate::Verdict;
use crate::frame::{Envelope, Gossip, Keyring};
use crate::gossip::{self, PeerMessage, Presence, ReaderReport, StoreChanges, Tag};
use crate::id::{Incarnation, InstanceId, IntentVersion, MilliCores};
use crate::limit::{self, Fleet, Grant, Misses, Sign};
use actix_rt::net::UdpSocket;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Length of the signing key of an instance.
const KEY_BYTES: usize = 16;

/// Key with which an instance signs its messages.
pub type SigningKey = [u8; KEY_BYTES];

/// What peers know this run of the process by.
#[derive(Debug)]
pub struct Identity {
    /// Signs its messages.
    pub key: SigningKey,
    incarnation: Incarnation,
}

impl Identity {
    /// Returns an identity that no other run has.
    pub fn random() -> Self {
        Identity { key: rand::random(), incarnation: Incarnation::random() }
    }
}

/// Another instance.
#[derive(Debug)]
pub struct Peer {
    /// Address of its datagrams, and of connections that transfer the configuration.
    pub address: SocketAddr,
    /// Processing power.
    pub power: MilliCores,
    /// Whether it is registered, and when it was heard from.
    pub presence: Cell<Presence>,
    /// Key that verifies its messages, new with each start.
    key: SigningKey,
    keys: Keyring,
}

impl Peer {
    /// Creates a peer from what it has registered.
    pub fn new(
        address: SocketAddr,
        power: MilliCores,
        key: SigningKey,
        presence: Presence,
    ) -> Self {
        let keys = Keyring::new(&[Arc::from(&key[..])]);
        Peer { address, power, presence: Cell::new(presence), key, keys }
    }

    /// Returns whether it signs with this key. A restarted instance has another one.
    pub fn has_key(&self, key: &SigningKey) -> bool {
        self.key == *key
    }

    /// Returns whether the store has its registration.
    pub fn is_registered(&self) -> bool {
        self.presence.get().is_registered()
    }

    /// Decodes a frame if it has signed it.
    fn open(&self, now: Instant, frame: &[u8]) -> Option<Envelope<PeerMessage>> {
        let envelope = self.keys.decode(frame).ok()?;
        let mut presence = self.presence.get();
        presence.record_message(now);
        self.presence.set(presence);
        Some(envelope)
    }
}

/// Returns the instances that are registered, of which all that reach the store know the same.
/// Instances that are cut off from it are peers too as long as they are heard from.
pub fn registered(
    peers: &HashMap<InstanceId, Peer>,
) -> impl Iterator<Item = (&InstanceId, &Peer)> + Clone {
    peers.iter().filter(|(_, peer)| peer.is_registered())
}

fn registered_ids(peers: &HashMap<InstanceId, Peer>) -> impl Iterator<Item = &InstanceId> {
    registered(peers).map(|(instance, _)| instance)
}

/// Sends messages to peers and matches admission replies with requests.
#[derive(Debug, Default)]
pub struct Messenger {
    /// `None` where the settings name no address for peers, or its socket is not open.
    sender: RefCell<Option<Sender>>,
    /// Requests without a reply yet, by their numbers.
    pending: RefCell<HashMap<u64, oneshot::Sender<Reply>>>,
    /// Number of the next request.
    next_number: Cell<u64>,
    /// Requests for permits without a reply.
    misses: RefCell<Misses>,
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
    /// Retries that are lent.
    Loan(Hundredths),
}

impl Messenger {
    /// Sends from now on, from this socket and with this identity.
    pub fn open(&self, socket: Rc<UdpSocket>, identity: &Identity) {
        let keys = Keyring::new(&[Arc::from(&identity.key[..])]);
        let sender = Sender { socket, keys, incarnation: identity.incarnation };
        *self.sender.borrow_mut() = Some(sender);
    }

    /// Sends nothing until it is opened again.
    pub fn close(&self) {
        *self.sender.borrow_mut() = None;
    }

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
    gossip::is_reader(&gw.settings.borrow().instance, registered_ids(&gw.peers.borrow()))
}

/// Returns what the readers' digests say about the store.
pub fn reader_report(gw: &Gateway, now: Instant) -> ReaderReport {
    let peers = gw.peers.borrow();
    gw.peer_loads.borrow().reader_report(now, &gossip::readers(registered_ids(&peers)))
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
    let heard = peers.keys().filter(|i| loads.has_heard(i));
    let found = limit::coordinator(now, tag, &own, heard, &misses);
    peers.get(found).map(|p| (found.clone(), p.address))
}

/// Records whether a coordinator replied. After several requests without a reply in a row, another
/// instance is asked for a while.
pub fn record_reply(gw: &Gateway, coordinator: InstanceId, has_replied: bool) {
    gw.messenger.misses.borrow_mut().record(clock::now(), coordinator, has_replied);
}

/// Returns the addresses of the instances that come before this one in the choice of the
/// coordinator of an endpoint.
pub fn predecessors(gw: &Gateway, tag: Tag) -> Vec<SocketAddr> {
    let own = gw.settings.borrow().instance.clone();
    let peers = gw.peers.borrow();
    let first = limit::predecessors(tag, &own, peers.keys());
    first.into_iter().filter_map(|i| Some(peers.get(i)?.address)).collect()
}

/// Returns the last sign of life of an instance; `None` if there was none recently.
pub fn last_sign(gw: &Gateway, now: Instant, instance: &InstanceId) -> Option<Sign> {
    let at = gw.peer_loads.borrow().last_heard(instance)?;
    let is_silent = gw.messenger.misses.borrow().is_silent(now, instance);
    Some(Sign { at, is_silent })
}

/// Returns how many instances own a part of each limit, and how many of them were heard from recently.
/// One that is cut off from the store goes on to use its part.
pub fn fleet(gw: &Gateway) -> Fleet {
    let (peers, loads) = (gw.peers.borrow(), gw.peer_loads.borrow());
    let heard = peers.keys().filter(|i| loads.has_heard(i)).count();
    Fleet { owners: peers.len() + 1, heard: heard + 1 }
}

/// Returns how many instances are registered, this one included.
pub fn registered_count(gw: &Gateway) -> usize {
    registered(&gw.peers.borrow()).count() + 1
}

/// Returns whether the store has the registration of an instance.
pub fn is_registered(gw: &Gateway, instance: &InstanceId) -> bool {
    gw.peers.borrow().get(instance).is_some_and(Peer::is_registered)
}

/// Hands a reply to the request with this number.
pub fn receive_reply(gw: &Gateway, number: u64, reply: Reply) {
    if let Some(pending) = gw.messenger.pending.borrow_mut().remove(&number) {
        // The request may have timed out meanwhile.
        let _ = pending.send(reply);
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
    let envelope = senders.find_map(|p| p.open(clock::now(), frame));
    if envelope.is_none() {
        metrics::counter!("frames_dropped_total").increment(1);
    }
    envelope
}
