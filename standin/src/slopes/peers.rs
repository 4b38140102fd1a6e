//! Peers that answer as idle sidecars and entries do, many in one process.

use crate::fleet::{Fleet, PEER_KEY};
use crate::host::{ServerThread, free_address};
use skylarkthread::clock;
use skylarkthread::frame::{Envelope, Gossip, Keyring, Reply, Report, Request};
use skylarkthread::hlc::Hlc;
use skylarkthread::id::{Incarnation, IntentVersion};
use skylarkthread::peer::{Listener, Responder};
use skylarkthread::store::{ListedInstance, ListedState, Role};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Specs that an engine has loaded.
const LOADED: usize = 2;
/// Prefixes that an engine names.
const PREFIXES: u32 = 40;

/// Peers in one process.
#[derive(Debug)]
pub struct Crowd {
    bytes: Arc<AtomicU64>,
    _hosts: Vec<ServerThread>,
}

impl Crowd {
    /// Starts idle sidecars of engines and lists them.
    pub fn sidecars(n: usize, fleet: &Fleet) -> Crowd {
        Crowd::start(n, fleet, Role::Endpoint)
    }

    /// Starts idle entries and lists them.
    pub fn entries(n: usize, fleet: &Fleet) -> Crowd {
        Crowd::start(n, fleet, Role::Entry)
    }

    /// Returns the bytes of messages, both ways, so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn start(n: usize, fleet: &Fleet, role: Role) -> Crowd {
        let bytes = Arc::new(AtomicU64::new(0));
        let mut hosts = Vec::new();
        for ix in 0..n {
            let address = free_address();
            let row = ListedInstance {
                instance: format!("peer-{ix}").parse().expect("a fleet's names are valid"),
                centre: "dc-0".parse().expect("a fleet's names are valid"),
                role,
                peer: address,
                state: ListedState::Live,
            };
            let (counted, own) = (bytes.clone(), row.clone());
            hosts.push(ServerThread::spawn(move || serve(address, own, counted)));
            fleet.list.put(row);
        }
        Crowd { bytes, _hosts: hosts }
    }
}

async fn serve(address: SocketAddr, own: ListedInstance, bytes: Arc<AtomicU64>) {
    let keys = Keyring::new(&[Arc::from(PEER_KEY.as_bytes())]);
    let incarnation = Incarnation::random();
    let mut clock_state = Hlc::default();
    let mut listener = Listener::bind(address).expect("the address is free");
    while let Some((message, responder)) = listener.next().await {
        bytes.fetch_add(message.len() as u64, Ordering::Relaxed);
        let Ok(envelope) = keys.decode::<Request>(&message) else { continue };
        let (body, wait) = match envelope.body {
            Request::Poll(p) => {
                let hold = Duration::from_millis(p.hold);
                (Reply::Batches(Vec::new(), Box::new(report())), hold)
            }
            Request::Hello(_) => (Reply::Hello(Gossip::default()), Duration::ZERO),
            _ => (Reply::Unsupported, Duration::ZERO),
        };
        let reply = Envelope {
            from: own.instance.clone(),
            incarnation,
            at: clock_state.observe(clock::wall(), envelope.at),
            version: IntentVersion(0),
            body,
        };
        let frame = keys.encode(&reply);
        bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
        actix_rt::spawn(answer(responder, frame, wait));
    }
}

async fn answer(responder: Responder, frame: Vec<u8>, wait: Duration) {
    tokio::time::sleep(wait).await;
    responder.reply(&frame);
}

fn report() -> Report {
    Report {
        alive: true,
        pool: Arc::from("caption-large"),
        loaded: (0..LOADED).map(|n| Arc::from(format!("caption-large+memorial@v{n}"))).collect(),
        capacity: 8192,
        gap: 20_000,
        prefixes: (0..PREFIXES).map(|n| n * 7919).collect(),
        ..Report::default()
    }
}
