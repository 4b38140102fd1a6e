//! Requests and replies between the system's own processes over nng.
//!
//! Each request is idempotent, so nng may send one again after a reconnect. A held reply costs a
//! context, not a connection.

use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize};
use nng::{Aio, AioResult, Context, Message, Protocol, Socket};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Shortest pause before a lost connection is dialled again.
const RECONNECT_MIN: Duration = Duration::from_millis(20);
/// Longest pause before a lost connection is dialled again.
const RECONNECT_MAX: Duration = Duration::from_millis(500);
/// Most requests under way over one link.
const CALL_LIMIT: usize = 1024;
/// Contexts that a listener opens at a time.
const SLOT_STEP: usize = 16;
/// Most requests that a listener holds at once.
const SLOT_LIMIT: usize = 4096;

/// Tells why a peer gave no answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PeerError {
    /// nng could not open or use a socket.
    Socket(nng::Error),
    /// No answer came in time; the request may have been carried out.
    Silent,
}

impl From<nng::Error> for PeerError {
    fn from(e: nng::Error) -> Self {
        PeerError::Socket(e)
    }
}

/// A context with its operation; it is used for one request after another and freed only with its
/// socket, as freeing an operation that is under way can block.
#[derive(Debug)]
struct Call {
    ctx: Context,
    aio: Aio,
    shared: Arc<CallState>,
}

type Reply = Result<Message, nng::Error>;

/// What a call shares with nng's threads.
#[derive(Debug, Default)]
struct CallState {
    tx: Mutex<Option<oneshot::Sender<Reply>>>,
    busy: AtomicBool,
}

impl CallState {
    fn end(&self, reply: Reply) {
        let tx = self.tx.lock().ok().and_then(|mut t| t.take());
        self.busy.store(false, Ordering::Release);
        if let Some(tx) = tx {
            let _ = tx.send(reply);
        }
    }
}

impl Call {
    fn new(socket: &Socket) -> Result<Call, PeerError> {
        let ctx = Context::new(socket)?;
        let shared = Arc::new(CallState::default());
        let (inner, state) = (ctx.clone(), shared.clone());
        let aio = Aio::new(move |aio, result| match result {
            AioResult::Send(Ok(())) => {
                if let Err(e) = inner.recv(&aio) {
                    state.end(Err(e));
                }
            }
            AioResult::Send(Err((_, e))) | AioResult::Recv(Err(e)) => state.end(Err(e)),
            AioResult::Recv(Ok(m)) => state.end(Ok(m)),
            AioResult::Sleep(_) => {}
        })?;
        Ok(Call { ctx, aio, shared })
    }

    fn is_free(&self) -> bool {
        !self.shared.busy.load(Ordering::Acquire)
    }
}

/// A socket with its calls; dropped, it is closed away from this thread, as nng waits for its own
/// threads then.
#[derive(Debug)]
struct Dialled {
    socket: Option<Socket>,
    calls: Mutex<Vec<Arc<Call>>>,
}

impl Dialled {
    /// Returns a call that is not under way.
    fn call(&self) -> Result<Arc<Call>, PeerError> {
        let socket = self.socket.as_ref().ok_or(PeerError::Silent)?;
        let mut calls = self.calls.lock().map_err(|_| PeerError::Silent)?;
        if let Some(call) = calls.iter().find(|c| Arc::strong_count(c) == 1 && c.is_free()) {
            return Ok(call.clone());
        }
        if calls.len() >= CALL_LIMIT {
            return Err(PeerError::Silent);
        }
        let call = Arc::new(Call::new(socket)?);
        calls.push(call.clone());
        Ok(call)
    }
}

impl Drop for Dialled {
    fn drop(&mut self) {
        let socket = self.socket.take();
        let calls = self.calls.lock().map(|mut c| std::mem::take(&mut *c)).unwrap_or_default();
        std::thread::spawn(move || {
            calls.iter().for_each(|c| c.ctx.close());
            drop(socket);
            drop(calls);
        });
    }
}

/// A connection to one peer, dialled again by itself when lost.
#[derive(Debug, Clone)]
pub struct Link {
    dialled: Arc<Dialled>,
}

impl Link {
    /// Starts to dial a peer and returns at once.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Socket`] where no socket can be had.
    pub fn dial(address: SocketAddr) -> Result<Link, PeerError> {
        let socket = Socket::new(Protocol::Req0)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        socket.set_opt::<RecvMaxSize>(crate::frame::MAX_FRAME_BYTES)?;
        socket.dial_async(&format!("tcp://{address}"))?;
        let dialled = Dialled { socket: Some(socket), calls: Mutex::new(Vec::new()) };
        Ok(Link { dialled: Arc::new(dialled) })
    }

    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Silent`] where no reply comes within `wait`.
    pub async fn request(&self, frame: &[u8], wait: Duration) -> Result<Message, PeerError> {
        let call = self.dialled.call()?;
        let (tx, rx) = oneshot::channel();
        if let Ok(mut slot) = call.shared.tx.lock() {
            *slot = Some(tx);
        }
        // nng ends the operation by itself then, also where nobody waits for it any more.
        call.aio.set_timeout(Some(wait))?;
        call.shared.busy.store(true, Ordering::Release);
        if let Err((_, e)) = call.ctx.send(&call.aio, frame) {
            call.shared.end(Err(e));
        }
        match tokio::time::timeout(wait, rx).await {
            Ok(Ok(Ok(m))) => Ok(m),
            Ok(Ok(Err(nng::Error::TimedOut))) | Ok(Err(_)) | Err(_) => Err(PeerError::Silent),
            Ok(Ok(Err(e))) => Err(PeerError::Socket(e)),
        }
    }
}

#[derive(Debug)]
struct Slot {
    ctx: Context,
    aio: Aio,
}

/// Takes requests from peers.
#[derive(Debug)]
pub struct Listener {
    socket: Socket,
    tx: mpsc::UnboundedSender<(usize, Message)>,
    rx: mpsc::UnboundedReceiver<(usize, Message)>,
    slots: Vec<Arc<Slot>>,
    busy: Rc<Cell<usize>>,
}

impl Drop for Listener {
    fn drop(&mut self) {
        // A socket does not close before its contexts have.
        self.slots.iter().for_each(|s| s.ctx.close());
    }
}

impl Listener {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Socket`] where the address cannot be bound.
    pub fn bind(address: SocketAddr) -> Result<Listener, PeerError> {
        let socket = Socket::new(Protocol::Rep0)?;
        socket.set_opt::<RecvMaxSize>(crate::frame::MAX_FRAME_BYTES)?;
        socket.listen(&format!("tcp://{address}"))?;
        let (tx, rx) = mpsc::unbounded_channel();
        let busy = Rc::new(Cell::new(0));
        let mut listener = Listener { socket, tx, rx, slots: Vec::new(), busy };
        listener.grow()?;
        Ok(listener)
    }

    fn grow(&mut self) -> Result<(), PeerError> {
        for _ in 0..SLOT_STEP {
            let ctx = Context::new(&self.socket)?;
            let ix = self.slots.len();
            let tx = self.tx.clone();
            let inner = ctx.clone();
            let aio = Aio::new(move |aio, result| match result {
                AioResult::Recv(Ok(m)) => {
                    let _ = tx.send((ix, m));
                }
                AioResult::Recv(Err(nng::Error::Closed)) => {}
                _ => {
                    let _ = inner.recv(&aio);
                }
            })?;
            ctx.recv(&aio)?;
            self.slots.push(Arc::new(Slot { ctx, aio }));
        }
        Ok(())
    }

    /// Waits for the next request.
    pub async fn next(&mut self) -> Option<(Message, Responder)> {
        let (ix, message) = self.rx.recv().await?;
        self.busy.set(self.busy.get() + 1);
        // A request is read only by a free context, so some are always kept free.
        if self.busy.get() + SLOT_STEP / 2 > self.slots.len() && self.slots.len() < SLOT_LIMIT {
            let _ = self.grow();
        }
        let slot = self.slots.get(ix)?.clone();
        Some((message, Responder { slot: Some(slot), busy: self.busy.clone() }))
    }
}

/// Answers one request; dropped unused, it leaves the request without an answer.
#[derive(Debug)]
pub struct Responder {
    slot: Option<Arc<Slot>>,
    busy: Rc<Cell<usize>>,
}

impl Responder {
    /// Sends the reply.
    pub fn reply(mut self, frame: &[u8]) {
        if let Some(slot) = self.slot.take() {
            self.busy.set(self.busy.get() - 1);
            if slot.ctx.send(&slot.aio, frame).is_err() {
                let _ = slot.ctx.recv(&slot.aio);
            }
        }
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            self.busy.set(self.busy.get() - 1);
            let _ = slot.ctx.recv(&slot.aio);
        }
    }
}
