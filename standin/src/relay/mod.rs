//! A TCP relay with fault injection: open connections can go silent while new ones work.

use crate::host::{ServerThread, free_address};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Interval at which a blocked connection checks the switches.
const SWITCH_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;

#[derive(Debug, Default)]
struct Switches {
    /// First epoch whose connections pass bytes; those of earlier epochs are silent.
    first_passing: AtomicU64,
    /// Epoch of new connections.
    epoch: AtomicU64,
    /// Whether no connection passes bytes.
    is_stalled: AtomicBool,
}

/// A running relay; stopped on drop.
#[derive(Debug)]
pub struct Relay {
    /// Address that the relay accepts connections on.
    pub address: SocketAddr,
    switches: Arc<Switches>,
    _server: ServerThread,
}

impl Relay {
    /// Starts a relay to `target` on a free loopback address.
    pub fn start(target: SocketAddr) -> Relay {
        let address = free_address();
        let switches = Arc::new(Switches::default());
        let shared = switches.clone();
        let server = ServerThread::spawn(move || async move {
            let listener =
                TcpListener::bind(address).await.expect("cannot bind the relay's address");
            while let Ok((client, _)) = listener.accept().await {
                actix_rt::spawn(relay_connection(client, target, shared.clone()));
            }
        });
        Relay { address, switches, _server: server }
    }

    /// Makes all open connections go silent permanently, without closing either end. New
    /// connections work.
    pub fn silence_open(&self) {
        let next = self.switches.epoch.fetch_add(1, Ordering::SeqCst) + 1;
        self.switches.first_passing.store(next, Ordering::SeqCst);
    }

    /// Blocks or unblocks the traffic of all connections, including new ones.
    pub fn set_stalled(&self, is_stalled: bool) {
        self.switches.is_stalled.store(is_stalled, Ordering::SeqCst);
    }
}

async fn relay_connection(client: TcpStream, target: SocketAddr, switches: Arc<Switches>) {
    let epoch = switches.epoch.load(Ordering::SeqCst);
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let up = copy_one_way(client_read, upstream_write, epoch, &switches);
    let down = copy_one_way(upstream_read, client_write, epoch, &switches);
    tokio::join!(up, down);
}

/// Copies bytes until either end closes, pausing while the switches block the connection.
async fn copy_one_way<R, W>(mut from: R, mut to: W, epoch: u64, switches: &Switches)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buf = vec![0; BUFFER_BYTES];
    while let Ok(n) = from.read(&mut buf).await {
        while switches.is_stalled.load(Ordering::SeqCst)
            || switches.first_passing.load(Ordering::SeqCst) > epoch
        {
            tokio::time::sleep(SWITCH_CHECK_INTERVAL).await;
        }
        if n == 0 || to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
