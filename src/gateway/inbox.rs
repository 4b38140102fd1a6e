//! Receives the messages of peers, and dispatches each to the module that handles it.

use super::listeners::{self, PeerSockets};
use super::membership::{self, Registration};
use super::peers::{self, Identity, Reply};
use super::{
    Gateway, admission, copy, digests, follow, keep, limits, outage, retries, suspects, transfer,
};
use crate::clock;
use crate::event::Kind;
use crate::frame::Envelope;
use crate::gossip::PeerMessage;
use crate::net::{self, Acceptor, Failures, Opening};
use crate::task;
use actix_rt::net::UdpSocket;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Mutex;

/// Size of the receive buffer for datagrams, which is that of the largest one. A digest grows with
/// the number of endpoints.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// What is left to open and to start for messages of peers.
struct Inbox<R> {
    address: SocketAddr,
    identity: Identity,
    datagrams: Opening<UdpSocket>,
    /// Taken once it listens, as copies are served from then on.
    connections: Option<Acceptor<R>>,
    /// Taken once both sockets are open.
    registration: Option<Rc<Registration>>,
}

/// Opens the sockets for peers, then registers this instance and exchanges messages.
pub fn start(gw: &Rc<Gateway>, sockets: PeerSockets) {
    let PeerSockets { address, datagrams, connections } = sockets;
    let identity = Identity::random();
    let power = gw.settings.borrow().power;
    let registration = Some(Rc::new(Registration { address, key: identity.key, power }));
    let connections = Some(Acceptor::new(connections, gw.recorder()));
    let inbox = Inbox { address, identity, datagrams, connections, registration };
    let inbox = Rc::new(Mutex::new(inbox));
    keep(gw, "inbox", move |gw| run(gw, inbox.clone()));
}

async fn run<R: Fn(Kind, &str, &str) + 'static>(gw: Rc<Gateway>, inbox: Rc<Mutex<Inbox<R>>>) {
    let mut inbox = inbox.lock().await;
    // A run that has panicked leaves its socket open there.
    gw.messenger.close();
    if let Some(acceptor) = &mut inbox.connections {
        acceptor.listening().await;
    }
    if let Some(acceptor) = inbox.connections.take() {
        let acceptor = Rc::new(Mutex::new(acceptor));
        keep(&gw, "copies", move |gw| copy::serve(gw, acceptor.clone()));
    }
    loop {
        let socket = Rc::new(inbox.datagrams.finish(&gw.recorder()).await);
        gw.messenger.open(socket.clone(), &inbox.identity);
        if let Some(registration) = inbox.registration.take() {
            keep(&gw, "registration", move |gw| {
                membership::keep_registered(gw, registration.clone())
            });
            keep(&gw, "digests", digests::send);
            keep(&gw, "gossip", suspects::run_gossip);
        }
        receive_messages(&gw, &socket).await;
        gw.messenger.close();
        drop(socket);
        inbox.datagrams = listeners::datagrams(inbox.address);
    }
}

/// Receives and handles messages of peers until the socket breaks.
async fn receive_messages(gw: &Rc<Gateway>, socket: &UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut failures = Failures::new(clock::now());
    while let Ok((n, from)) = net::receive(socket, &mut buf, &mut failures).await {
        // A panic ends with its message, so that those behind it in the kernel's buffer are read.
        let _ = task::step("inbox", || open_message(gw, &buf[..n], from));
    }
}

fn open_message(gw: &Rc<Gateway>, frame: &[u8], from: SocketAddr) {
    let Some(envelope) = peers::open_message(gw, frame, |a| *a == from) else { return };
    gw.config_pull.borrow_mut().note_version(clock::now(), &envelope.from, envelope.version.0);
    handle_message(gw, envelope, from);
}

fn handle_message(gw: &Rc<Gateway>, envelope: Envelope<PeerMessage>, from: SocketAddr) {
    match envelope.body {
        PeerMessage::Digest(digest) => digests::apply(gw, envelope.from, digest),
        PeerMessage::AdmissionRequest(request) => {
            let granted = admission::decide(gw, &request);
            peers::send(gw, &[from], PeerMessage::AdmissionReply(request.number, granted));
        }
        PeerMessage::LoanRequest(number, request) => {
            let lent = retries::lend(gw, &request);
            peers::send(gw, &[from], PeerMessage::LoanReply(number, lent));
        }
        PeerMessage::LoanReply(number, lent) => peers::receive_reply(gw, number, Reply::Loan(lent)),
        PeerMessage::PermitRequest(number, request) => {
            let grant = limits::decide(gw, &envelope.from, from, &request);
            peers::send(gw, &[from], PeerMessage::PermitReply(number, grant));
        }
        PeerMessage::PermitReply(number, grant) => {
            peers::receive_reply(gw, number, Reply::Permits(grant));
        }
        PeerMessage::Limits(notice) => limits::merge(gw, &envelope.from, &notice),
        PeerMessage::Quarantine(gossip) => suspects::merge(gw, &gossip),
        PeerMessage::StoreChanges(changes) => follow::apply_changes(gw, &changes),
        PeerMessage::PullConfig | PeerMessage::Config(_) => {
            log::debug!(
                "ignored datagram from {from}: the configuration is only exchanged on connections"
            );
        }
        PeerMessage::AdmissionReply(number, granted) => {
            peers::receive_reply(gw, number, Reply::Admission(granted));
        }
        PeerMessage::TransferRequest(request) => {
            let number = request.number;
            let verdict = transfer::decide(gw, envelope.from, &request);
            peers::send(gw, &[from], PeerMessage::TransferReply(number, verdict));
        }
        PeerMessage::TransferReply(number, verdict) => {
            peers::receive_reply(gw, number, Reply::Transfer(verdict));
        }
        PeerMessage::EngineLeaving(tag) => outage::record_leaving(gw, tag, &envelope.from),
        PeerMessage::TransferDone(number) => transfer::finish(gw, envelope.from, number),
    }
}
