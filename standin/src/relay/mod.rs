//! A relay between two ends whose open connections can go silent while new ones work.

use crate::host::{ServerThread, free_address};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time between two looks at the switches by a silent connection.
const LOOK: Duration = Duration::from_millis(20);
/// Most bytes moved at a time.
const CHUNK: usize = 16 << 10;

#[derive(Debug, Default)]
struct Switches {
    /// Connections opened before this generation pass nothing.
    silent: AtomicU64,
    generation: AtomicU64,
    stalled: AtomicBool,
}

/// A running relay.
#[derive(Debug)]
pub struct Relay {
    /// Address it listens on.
    pub address: SocketAddr,
    switches: Arc<Switches>,
    _host: ServerThread,
}

impl Relay {
    /// Starts a relay to `target`.
    pub fn start(target: SocketAddr) -> Relay {
        let address = free_address();
        let switches = Arc::new(Switches::default());
        let shared = switches.clone();
        let host = ServerThread::spawn(move || async move {
            let listener = TcpListener::bind(address).await.expect("the relay's address is free");
            while let Ok((near, _)) = listener.accept().await {
                actix_rt::spawn(relay(near, target, shared.clone()));
            }
        });
        Relay { address, switches, _host: host }
    }

    /// Has all open connections go silent for good; both ends stay open, new ones work.
    pub fn silence_open(&self) {
        let next = self.switches.generation.fetch_add(1, Ordering::SeqCst) + 1;
        self.switches.silent.store(next, Ordering::SeqCst);
    }

    /// Stops or lets go all traffic, of new connections too.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.switches.stalled.store(is_stalled, Ordering::SeqCst);
    }
}

async fn relay(near: TcpStream, target: SocketAddr, switches: Arc<Switches>) {
    let generation = switches.generation.load(Ordering::SeqCst);
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let up = pass(near_read, far_write, generation, &switches);
    let down = pass(far_read, near_write, generation, &switches);
    tokio::join!(up, down);
}

async fn pass<R, W>(mut from: R, mut to: W, generation: u64, switches: &Switches)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buf = vec![0; CHUNK];
    while let Ok(n) = from.read(&mut buf).await {
        while switches.stalled.load(Ordering::SeqCst)
            || switches.silent.load(Ordering::SeqCst) > generation
        {
            tokio::time::sleep(LOOK).await;
        }
        if n == 0 || to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
