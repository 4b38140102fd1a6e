//! Copies the operators' configuration to instances that cannot read it from the store.
//!
//! A configuration is larger than a datagram, so it is sent over a TCP connection of its own: one
//! signed frame with the request, one with the response. `nng` would keep threads and a socket per
//! pair of instances for a message that is sent only while some instances cannot reach the store.

use super::{Gateway, follow, peers};
use crate::clock;
use crate::gossip::PeerMessage;
use crate::id::InstanceId;
use crate::net::{self, Accept};
use crate::task;
use actix_rt::net::TcpStream;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Mutex, Semaphore};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Longest time for a whole exchange. One MiB over a 10 Mbit/s link takes most of a second.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Same limit as for responses of the store.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Exchanges served at a time; limited so that a narrow link is left to the callers.
const MAX_SERVED_EXCHANGES: usize = 2;

type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Why an exchange failed.
#[derive(Debug)]
enum CopyError {
    /// Connecting, sending or receiving failed.
    Io(std::io::Error),
    /// The peer closed the connection without a response.
    Closed,
    /// The frame is not signed by a known peer or has an unexpected kind, or this instance has no
    /// signing key yet.
    Frame,
    /// The exchange exceeded [`EXCHANGE_TIMEOUT`].
    Timeout,
}

impl Display for CopyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CopyError::Io(e) => write!(f, "{e}"),
            CopyError::Closed => f.write_str("connection closed without a response"),
            CopyError::Frame => {
                f.write_str("frame not signed by a known peer, or of an unexpected kind")
            }
            CopyError::Timeout => write!(f, "not complete within {EXCHANGE_TIMEOUT:?}"),
        }
    }
}

impl From<std::io::Error> for CopyError {
    fn from(e: std::io::Error) -> Self {
        CopyError::Io(e)
    }
}

/// Starts to fetch the configuration from another instance, if one is known to have a newer one.
pub fn fetch_newer(gw: &Rc<Gateway>) {
    let Some(from) = gw.config_pull.borrow_mut().step(clock::now(), gw.table_version()) else {
        return;
    };
    let address = gw.peers.borrow().get(&from).map(|p| p.address);
    if let Some(address) = address {
        task::spawn("pull", pull_config(gw.clone(), from, address));
    }
}

async fn pull_config(gw: Rc<Gateway>, from: InstanceId, address: SocketAddr) {
    let fetched = timeout(EXCHANGE_TIMEOUT, fetch_config(&gw, address)).await;
    match fetched.unwrap_or(Err(CopyError::Timeout)) {
        Ok(text) => follow::adopt_table(&gw, &text, &from),
        Err(e) => log::warn!("fetching the configuration from {from} failed: {e}"),
    }
}

async fn fetch_config(gw: &Gateway, address: SocketAddr) -> Result<Vec<u8>, CopyError> {
    let mut framed = Framed::new(net::connect(address).await?, codec());
    send_message(gw, &mut framed, PeerMessage::PullConfig).await?;
    let frame = framed.next().await.ok_or(CopyError::Closed)??;
    match peers::open_message(gw, &frame, |a| *a == address) {
        Some(envelope) => match envelope.body {
            PeerMessage::Config(text) => Ok(text),
            _ => Err(CopyError::Frame),
        },
        None => Err(CopyError::Frame),
    }
}

/// Serves copies of the configuration. Does not return.
pub async fn serve(gw: Rc<Gateway>, acceptor: Rc<Mutex<impl Accept>>) {
    let mut acceptor = acceptor.lock().await;
    let permits = Arc::new(Semaphore::new(MAX_SERVED_EXCHANGES));
    loop {
        let stream = acceptor.accept().await;
        // A rejected instance asks another one next.
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        let gw = gw.clone();
        task::spawn("copy", async move {
            let served = timeout(EXCHANGE_TIMEOUT, serve_exchange(&gw, stream)).await;
            if let Err(e) = served.unwrap_or(Err(CopyError::Timeout)) {
                log::debug!("serving the configuration to a peer failed: {e}");
            }
            drop(permit);
        });
    }
}

async fn serve_exchange(gw: &Gateway, stream: TcpStream) -> Result<(), CopyError> {
    let mut framed = Framed::new(stream, codec());
    let frame = framed.next().await.ok_or(CopyError::Closed)??;
    // The sender is identified by its key alone: its connection comes from an ephemeral port.
    let request = peers::open_message(gw, &frame, |_| true).ok_or(CopyError::Frame)?;
    if request.body != PeerMessage::PullConfig {
        return Err(CopyError::Frame);
    }
    let text = gw.table_text.borrow().to_vec();
    send_message(gw, &mut framed, PeerMessage::Config(text)).await
}

async fn send_message(
    gw: &Gateway,
    framed: &mut FramedStream,
    message: PeerMessage,
) -> Result<(), CopyError> {
    let frame = peers::seal_message(gw, message).ok_or(CopyError::Frame)?;
    Ok(framed.send(Bytes::from(frame)).await?)
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
