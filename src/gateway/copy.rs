//! Hands the operators' configuration to instances that cannot read it from the store.
//!
//! A configuration is larger than a datagram, so it goes over a connection of its own: one sealed
//! frame asks, one answers. `nng` would keep threads and a socket per pair for a message that is
//! sent only while the store is away for some.

use super::{Gateway, GatewayError, bind, follow, peers, serve};
use crate::clock;
use crate::gossip::PeerMessage;
use crate::id::InstanceId;
use actix_rt::net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Time for a whole exchange: a mebibyte over a link of 10 Mbit/s takes most of a second.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Largest frame in bytes, as for answers of the store.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Exchanges that an instance serves at a time, so that a small link is left to its callers.
const MAX_SERVED_EXCHANGES: usize = 2;

type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Tells why an exchange failed.
#[derive(Debug)]
enum CopyError {
    /// Connecting, sending or receiving failed.
    Io(std::io::Error),
    /// The other closed the connection instead of answering.
    Closed,
    /// The frame is not one that is expected here.
    Frame,
    /// It took too long.
    Timeout,
}

impl Display for CopyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CopyError::Io(e) => write!(f, "{e}"),
            CopyError::Closed => f.write_str("connection closed without an answer"),
            CopyError::Frame => f.write_str("frame of an unknown sender or of another kind"),
            CopyError::Timeout => f.write_str("no answer in time"),
        }
    }
}

impl From<std::io::Error> for CopyError {
    fn from(e: std::io::Error) -> Self {
        CopyError::Io(e)
    }
}

/// Serves copies on an address.
///
/// # Errors
///
/// Returns [`GatewayError::Bind`] where the address cannot be used.
pub async fn start(gw: &Rc<Gateway>, address: SocketAddr) -> Result<(), GatewayError> {
    let listener = bind(address).await?;
    actix_rt::spawn(accept(gw.clone(), listener));
    Ok(())
}

/// Asks another instance for its configuration, if one is known to have a newer one.
pub fn fetch_newer(gw: &Rc<Gateway>) {
    let Some(from) = gw.config_pull.borrow_mut().step(clock::now(), gw.table_version()) else {
        return;
    };
    let address = gw.peers.borrow().get(&from).map(|p| p.address);
    if let Some(address) = address {
        actix_rt::spawn(pull(gw.clone(), from, address));
    }
}

async fn pull(gw: Rc<Gateway>, from: InstanceId, address: SocketAddr) {
    let fetched = timeout(EXCHANGE_TIMEOUT, fetch(&gw, address)).await;
    match fetched.unwrap_or(Err(CopyError::Timeout)) {
        Ok(text) => follow::adopt_table(&gw, &text, &from),
        Err(e) => log::warn!("configuration of {from} not copied: {e}"),
    }
}

async fn fetch(gw: &Gateway, address: SocketAddr) -> Result<Vec<u8>, CopyError> {
    let mut framed = Framed::new(TcpStream::connect(address).await?, codec());
    send_note(gw, &mut framed, PeerMessage::PullConfig).await?;
    let frame = framed.next().await.ok_or(CopyError::Closed)??;
    match peers::open_message(gw, &frame, |a| *a == address) {
        Some(envelope) => match envelope.body {
            PeerMessage::Config(text) => Ok(text),
            _ => Err(CopyError::Frame),
        },
        None => Err(CopyError::Frame),
    }
}

async fn accept(gw: Rc<Gateway>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_SERVED_EXCHANGES));
    loop {
        let stream = serve::accept(&listener).await;
        // Who is turned away asks another instance next.
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        let gw = gw.clone();
        actix_rt::spawn(async move {
            let served = timeout(EXCHANGE_TIMEOUT, serve_exchange(&gw, stream)).await;
            if let Err(e) = served.unwrap_or(Err(CopyError::Timeout)) {
                log::debug!("configuration not handed on: {e}");
            }
            drop(permit);
        });
    }
}

async fn serve_exchange(gw: &Gateway, stream: TcpStream) -> Result<(), CopyError> {
    let mut framed = Framed::new(stream, codec());
    let frame = framed.next().await.ok_or(CopyError::Closed)??;
    // The key tells who asks: a connection comes from a port of its own.
    let asked = peers::open_message(gw, &frame, |_| true).ok_or(CopyError::Frame)?;
    if asked.body != PeerMessage::PullConfig {
        return Err(CopyError::Frame);
    }
    let text = gw.table_text.borrow().to_vec();
    send_note(gw, &mut framed, PeerMessage::Config(text)).await
}

async fn send_note(
    gw: &Gateway,
    framed: &mut FramedStream,
    note: PeerMessage,
) -> Result<(), CopyError> {
    let frame = peers::seal_message(gw, note).ok_or(CopyError::Frame)?;
    Ok(framed.send(Bytes::from(frame)).await?)
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
