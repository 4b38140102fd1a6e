//! Messages whose numbers no sound instance sends: no task may end by a panic.

use crate::common::{send_request, start_platform, start_stream, wait_for};
use skylarkthread::frame::{CrashedRun, Suspect};
use skylarkthread::frame::{Envelope, Gossip, Keyring, PartRow, PartsGossip, SeenCrash};
use skylarkthread::gossip::{
    AdmissionRequest, Digest, LimitNotice, LimitRow, LoanRequest, PeerMessage, StatementRow,
    StoreChanges, Tag, TransferMessage,
};
use skylarkthread::hlc::Stamp;
use skylarkthread::id::{EndpointId, Fingerprint, Incarnation, IntentVersion, PartId};
use skylarkthread::limit::{Grant, PermitRequest, Rate};
use skylarkthread::store::{Era, KeyValue};
use standin::platform::{Action, Endpoint, Gateway, Store};
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

/// Instance that is registered in the store, and signs what it sends.
pub struct Peer {
    name: &'static str,
    socket: UdpSocket,
    keys: Keyring,
}

impl Peer {
    /// Writes its registration into the store.
    pub fn register(store: &Store, name: &'static str) -> Peer {
        let key = [7u8; 16];
        let socket = UdpSocket::bind("127.0.0.1:0").expect("cannot bind a socket");
        let address = socket.local_addr().expect("the socket is bound");
        let text = format!("{{\"address\":\"{address}\",\"key\":{key:?},\"power\":4294967295}}");
        store.set(&format!("gateways/{name}"), Some(text.as_bytes()));
        Peer { name, socket, keys: Keyring::new(&[Arc::from(&key[..])]) }
    }

    /// Sends a message to a gateway.
    pub fn send(&self, gateway: &Gateway, body: PeerMessage) {
        let from = self.name.parse().expect("the name is valid");
        let at = Stamp { micros: u64::MAX, count: u32::MAX };
        let (incarnation, version) = (Incarnation(u64::MAX), IntentVersion(u64::MAX));
        let frame = self.keys.encode(&Envelope { from, incarnation, at, version, body });
        self.socket.send_to(&frame, gateway.internal).expect("cannot send a datagram");
    }
}

/// Returns messages whose numbers no sound instance sends, about the endpoint with this tag.
fn odd_messages(tag: Tag) -> Vec<PeerMessage> {
    let (n, max) = (u64::MAX, u32::MAX);
    let rate = |x: f64| Rate::per_second(x);
    let row = (tag, max, max, max, max);
    let statement = |ms| StatementRow {
        tag,
        cold_ms: Some(ms),
        gone_ms: Some(ms),
        leaving: false,
        incarnation: None,
    };
    let crash = SeenCrash { endpoint: Incarnation(n), number: max, age: n, begun: true };
    let run = CrashedRun { endpoint: Incarnation(n), number: max, age: n, ran: n, service: None };
    let suspect = Suspect {
        content: Fingerprint(n),
        crashes: vec![(Incarnation(n), max), (Incarnation(0), 0)],
        runs: vec![run.clone(), CrashedRun { age: 0, ..run }],
    };
    let part = PartRow {
        part: PartId(n),
        crashes: vec![crash.clone(), SeenCrash { age: 0, ..crash.clone() }],
        cleared: vec![crash.clone()],
    };
    let digest = Digest {
        full: true,
        rows: vec![row, row],
        revision: n,
        era: Era(n),
        token_times: vec![(tag, max), (tag, 0)],
        pauses: vec![(tag, max), (tag, 0)],
        outcomes: vec![(tag, u16::MAX, u16::MAX)],
        speeds: vec![(tag, 0, u16::MAX, 0, max, u16::MAX), (tag, 0, 1, u16::MAX, 1, 1)],
        statements: vec![statement(0)],
        ..Digest::default()
    };
    let admission =
        AdmissionRequest { number: n, row, left_ms: max, urgency: 255, acceptable: Some(0) };
    let permit = |limit: f64, demand: f64| PermitRequest {
        tag,
        limit: rate(limit),
        age_ms: max,
        demand: rate(demand),
        cold: limit < 1.0,
        earned: 255,
    };
    let limit = |limit: Option<f64>| LimitRow {
        tag,
        limit: limit.map(rate),
        age_ms: 0,
        granting: true,
        ended: true,
        by: None,
    };
    let transfer = TransferMessage {
        number: n,
        source: tag,
        service: "model".parse().expect("the name is valid"),
        centre: "z-a".parse().expect("the name is valid"),
        tokens: max,
        held: max,
        left_ms: max,
        tried: vec![tag],
    };
    let kv = KeyValue { key: "servers/\u{e9}/..".into(), value: Some(vec![0xff]), revision: n };
    let changes =
        StoreChanges { kvs: vec![kv], era: Era(0), after: n, upto: n, ..StoreChanges::default() };
    vec![
        PeerMessage::Digest(digest.clone()),
        PeerMessage::Digest(Digest { full: false, ..digest }),
        PeerMessage::AdmissionRequest(admission.clone()),
        PeerMessage::AdmissionRequest(AdmissionRequest { row: (tag, 1, 0, 0, 0), ..admission }),
        PeerMessage::AdmissionReply(n, true),
        PeerMessage::PermitRequest(n, permit(1e300, 1e300)),
        PeerMessage::PermitRequest(n, permit(0.0, 0.0)),
        PeerMessage::PermitRequest(n, permit(f64::NAN, f64::INFINITY)),
        PeerMessage::PermitReply(
            0,
            Grant { permits: max, rate: rate(1e300), expected: rate(0.0), interval_ms: max },
        ),
        PeerMessage::Limits(LimitNotice { rows: vec![limit(Some(0.0))], forward: true }),
        PeerMessage::Limits(LimitNotice { rows: vec![limit(Some(f64::NAN))], forward: true }),
        PeerMessage::Limits(LimitNotice { rows: vec![limit(None)], forward: true }),
        PeerMessage::LoanRequest(
            n,
            LoanRequest {
                service: "plain".parse().expect("the name is valid"),
                wanted: serde_json::from_str("65535").expect("the number is valid"),
            },
        ),
        PeerMessage::TransferRequest(transfer.clone()),
        PeerMessage::TransferRequest(TransferMessage { tokens: 1, ..transfer }),
        PeerMessage::TransferDone(n),
        PeerMessage::EngineLeaving(Tag::of(&endpoint_id("i-none"))),
        PeerMessage::Quarantine(Gossip {
            suspects: vec![suspect.clone()],
            cleared: vec![suspect],
            parts: PartsGossip {
                rows: vec![part],
                refused: vec![PartId(n), PartId(0)],
                together: vec![vec![], vec![PartId(n), PartId(n)]],
                crashes: vec![crash],
            },
            store: None,
        }),
        PeerMessage::StoreChanges(changes),
        PeerMessage::PullConfig,
        PeerMessage::Config(vec![0xff; 100]),
    ]
}

fn endpoint_id(id: &str) -> EndpointId {
    id.parse().expect("the id is valid")
}

#[test]
fn messages_with_odd_values_end_no_task() {
    let e = Endpoint::start("i-1", Action::Respond(200, "sound".into()));
    let m = Endpoint::start("i-2", Action::Stream(3, Duration::from_millis(1)));
    let (store, gateway) = start_platform(&[(&e, "plain"), (&m, "model")]);
    m.set_headers("X-Replica-Load: 1,0,8,100\r\n");
    let peers = ["g-odd-1", "g-odd-2"].map(|name| Peer::register(&store, name));
    std::thread::sleep(Duration::from_millis(300));
    for id in [&e.id, &m.id] {
        for message in odd_messages(Tag::of(&endpoint_id(id))) {
            peers.iter().for_each(|peer| peer.send(&gateway, message.clone()));
            drop(send_request(&gateway, "GET", "/safe/x", "id-c"));
            drop(start_stream(&gateway, "id-s"));
        }
    }
    // The work of an instance counts until its digests have been absent for a while.
    assert!(wait_for(20, || send_request(&gateway, "GET", "/safe/x", "id").status == 200));
    for n in 0..5 {
        let reply = send_request(&gateway, "GET", "/safe/x", &format!("id-after-{n}"));
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    let log = gateway.into_log();
    assert!(log.contains("from=peer peer=g-odd-"), "no message was accepted: {log}");
    assert!(!log.contains("kind=Panicked"), "{log}");
}
