//! Simulated peers that respond as idle sidecars or entries, many in one process.

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

/// Number of model specs that an engine reports as loaded.
const LOADED_SPEC_COUNT: usize = 2;
/// Number of cached prefixes that an engine reports.
const CACHED_PREFIX_COUNT: u32 = 40;

/// Idle peers, stopped on drop.
#[derive(Debug)]
pub struct IdlePeers {
    bytes: Arc<AtomicU64>,
    _threads: Vec<ServerThread>,
}

impl IdlePeers {
    /// Starts idle sidecars of engines and adds them to the fleet's instance list.
    pub fn sidecars(n: usize, fleet: &Fleet) -> IdlePeers {
        IdlePeers::start(n, fleet, Role::Endpoint)
    }

    /// Starts idle entries and adds them to the fleet's instance list.
    pub fn entries(n: usize, fleet: &Fleet) -> IdlePeers {
        IdlePeers::start(n, fleet, Role::Entry)
    }

    /// Returns the number of bytes of messages received and sent so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn start(n: usize, fleet: &Fleet, role: Role) -> IdlePeers {
        let bytes = Arc::new(AtomicU64::new(0));
        let mut threads = Vec::new();
        for ix in 0..n {
            let address = free_address();
            let row = ListedInstance {
                instance: format!("peer-{ix}").parse().expect("invalid instance name"),
                centre: "dc-0".parse().expect("invalid data centre name"),
                role,
                peer: address,
                state: ListedState::Live,
            };
            let (counter, own) = (bytes.clone(), row.clone());
            threads.push(ServerThread::spawn(move || serve(address, own, counter)));
            fleet.list.put(row);
        }
        IdlePeers { bytes, _threads: threads }
    }
}

async fn serve(address: SocketAddr, own: ListedInstance, bytes: Arc<AtomicU64>) {
    let keys = Keyring::new(&[Arc::from(PEER_KEY.as_bytes())]);
    let incarnation = Incarnation::random();
    let mut hlc = Hlc::default();
    let mut listener = Listener::bind(address).expect("cannot listen on the free address");
    while let Some((message, responder)) = listener.next().await {
        bytes.fetch_add(message.len() as u64, Ordering::Relaxed);
        let Ok(envelope) = keys.decode::<Request>(&message) else { continue };
        let (body, delay) = match envelope.body {
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
            at: hlc.observe(clock::wall(), envelope.at),
            version: IntentVersion(0),
            body,
        };
        let frame = keys.encode(&reply);
        bytes.fetch_add(frame.len() as u64, Ordering::Relaxed);
        actix_rt::spawn(reply_after(responder, frame, delay));
    }
}

async fn reply_after(responder: Responder, frame: Vec<u8>, delay: Duration) {
    tokio::time::sleep(delay).await;
    responder.reply(&frame);
}

/// Returns the load report of an idle engine.
fn report() -> Report {
    Report {
        alive: true,
        pool: Arc::from("caption-large"),
        loaded: (0..LOADED_SPEC_COUNT)
            .map(|n| Arc::from(format!("caption-large+memorial@v{n}")))
            .collect(),
        capacity: 8192,
        gap: 20_000,
        prefixes: (0..CACHED_PREFIX_COUNT).map(|n| n * 7919).collect(),
        ..Report::default()
    }
}
