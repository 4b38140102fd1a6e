//! Receives the messages of peers, and dispatches each to the module that handles it.

use super::membership::{self, Registration};
use super::peers::{self, Reply, SigningKey};
use super::{Gateway, admission, digests, follow, limits, outage, retries, suspects, transfer};
use crate::clock;
use crate::frame::Envelope;
use crate::gossip::PeerMessage;
use actix_rt::net::UdpSocket;
use rand::Rng;
use std::net::SocketAddr;
use std::rc::Rc;

/// Size of the receive buffer for datagrams.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Registers this instance, and starts to exchange messages with peers.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start(gw: &Rc<Gateway>, address: SocketAddr) -> std::io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(address).await?);
    let key: SigningKey = rand::rng().random();
    let registration = Registration { address, key, power: gw.settings.borrow().power };
    gw.messenger.open(socket.clone(), &key);
    actix_rt::spawn(membership::keep_registered(gw.clone(), registration));
    actix_rt::spawn(digests::send(gw.clone()));
    actix_rt::spawn(receive_messages(gw.clone(), socket));
    Ok(())
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
        let Some(envelope) = peers::open_message(&gw, &buf[..n], |a| *a == from) else { continue };
        gw.config_pull.borrow_mut().note_version(clock::now(), &envelope.from, envelope.version.0);
        handle_message(&gw, envelope, from);
    }
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
