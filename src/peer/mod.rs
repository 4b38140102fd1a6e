//! Requests and replies between the processes of a deployment, over nng.
//!
//! All requests are idempotent, since nng may resend a request after it reconnects. A request whose
//! reply is delayed occupies an nng context at the listener, but no connection of its own.

use crate::net::{self, Opening, Purpose};
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize};
use nng::{Aio, AioResult, Context, Message, PipeEvent, Protocol, Socket};
use std::cell::Cell;
use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Shortest delay before a reconnect.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Longest delay before a reconnect.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of requests in progress over one link.
const MAX_CALLS: usize = 1024;
/// Number of contexts that a listener opens at a time.
const SLOT_BATCH: usize = 16;
/// Number of contexts at which a listener stops opening more. It bounds the requests in progress.
const MAX_SLOTS: usize = 4096;

/// Reason why a socket failed or a request got no reply.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PeerError {
    /// nng could not open or use a socket.
    Socket(nng::Error),
    /// No reply arrived in time, or too many requests are in progress; the peer may have processed
    /// the request.
    Silent,
}

impl Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::Socket(e) => write!(f, "{e}"),
            PeerError::Silent => f.write_str("no reply arrived in time"),
        }
    }
}

impl From<nng::Error> for PeerError {
    fn from(e: nng::Error) -> Self {
        PeerError::Socket(e)
    }
}

/// An nng context that can be kept from starting operations.
#[derive(Debug, Clone)]
struct SharedContext {
    ctx: Context,
    is_closing: Arc<Mutex<bool>>,
}

impl SharedContext {
    fn new(socket: &Socket) -> Result<Self, PeerError> {
        Ok(SharedContext { ctx: Context::new(socket)?, is_closing: Arc::default() })
    }

    /// Runs `start` unless the context is closing; [`SharedContext::refuse`] waits until it has returned.
    fn start(&self, start: impl FnOnce(&Context) -> nng::Result<()>) -> nng::Result<()> {
        let is_closing = self.is_closing.lock().unwrap_or_else(PoisonError::into_inner);
        if *is_closing { Err(nng::Error::Closed) } else { start(&self.ctx) }
    }

    fn send(&self, aio: &Aio, frame: &[u8]) -> nng::Result<()> {
        self.start(|ctx| ctx.send(aio, frame).map_err(|(_, e)| e))
    }

    fn recv(&self, aio: &Aio) -> nng::Result<()> {
        self.start(|ctx| ctx.recv(aio))
    }

    /// Keeps further operations from starting.
    fn refuse(&self) {
        *self.is_closing.lock().unwrap_or_else(PoisonError::into_inner) = true;
    }
}

/// An nng context with its asynchronous operation, which is reused for one request after another.
///
/// nng's threads use the context and its socket until they have ended the operation. Closing either
/// does not wait for them, but freeing the operation does, so that comes first. A callback that freed
/// its own operation would wait for itself, so callbacks have returned before.
#[derive(Debug)]
struct Operation {
    // Freed before the context.
    aio: Aio,
    ctx: SharedContext,
}

impl Operation {
    /// Opens a context. nng's threads run `callback` at the end of each operation.
    fn new<F>(socket: &Socket, callback: F) -> Result<Operation, PeerError>
    where
        F: Fn(&SharedContext, &Aio, AioResult) + Send + Sync + 'static,
    {
        let ctx = SharedContext::new(socket)?;
        let inner = ctx.clone();
        let aio = Aio::new(move |aio, result| callback(&inner, &aio, result))?;
        Ok(Operation { aio, ctx })
    }

    fn send(&self, frame: &[u8]) -> nng::Result<()> {
        self.ctx.send(&self.aio, frame)
    }

    fn recv(&self) -> nng::Result<()> {
        self.ctx.recv(&self.aio)
    }

    /// Ends the operation in progress, whose callback may run later, and keeps others from starting.
    fn cancel(&self) {
        self.ctx.refuse();
        self.aio.cancel();
    }
}

impl Drop for Operation {
    fn drop(&mut self) {
        self.cancel();
        self.aio.wait();
    }
}

/// An operation that sends a request and receives its reply.
#[derive(Debug)]
struct Call {
    operation: Operation,
    shared: Arc<CallState>,
}

type Reply = Result<Message, nng::Error>;

/// State of a call that is shared with nng's threads.
#[derive(Debug, Default)]
struct CallState {
    /// Receives the reply; `None` while no request is in progress.
    tx: Mutex<Option<oneshot::Sender<Reply>>>,
    /// Whether the operation is in progress, even if the requester has stopped waiting.
    busy: AtomicBool,
}

impl CallState {
    fn complete(&self, reply: Reply) {
        let tx = self.tx.lock().ok().and_then(|mut t| t.take());
        self.busy.store(false, Ordering::Release);
        if let Some(tx) = tx {
            let _ = tx.send(reply);
        }
    }
}

impl Call {
    fn new(socket: &Socket) -> Result<Call, PeerError> {
        let shared = Arc::new(CallState::default());
        let state = shared.clone();
        let operation = Operation::new(socket, move |ctx, aio, result| match result {
            AioResult::Send(Ok(())) => {
                if let Err(e) = ctx.recv(aio) {
                    state.complete(Err(e));
                }
            }
            AioResult::Send(Err((_, e))) | AioResult::Recv(Err(e)) => state.complete(Err(e)),
            AioResult::Recv(Ok(m)) => state.complete(Ok(m)),
            AioResult::Sleep(_) => {}
        })?;
        Ok(Call { operation, shared })
    }

    fn is_idle(&self) -> bool {
        !self.shared.busy.load(Ordering::Acquire)
    }
}

/// A socket with its calls.
#[derive(Debug)]
struct OpenClient {
    // Freed before the socket.
    calls: Vec<Arc<Call>>,
    socket: Socket,
}

impl Drop for OpenClient {
    fn drop(&mut self) {
        self.calls.iter().for_each(|c| c.operation.cancel());
    }
}

/// A client socket with its calls. When dropped, it is closed on a separate thread, because closing
/// blocks until nng's threads are done with it.
#[derive(Debug)]
struct ClientSocket {
    open: Mutex<Option<OpenClient>>,
}

impl ClientSocket {
    /// Returns an idle call, creating one if there is none.
    fn idle_call(&self) -> Result<Arc<Call>, PeerError> {
        let mut open = self.open.lock().map_err(|_| PeerError::Silent)?;
        let OpenClient { calls, socket } = open.as_mut().ok_or(PeerError::Silent)?;
        if let Some(call) = calls.iter().find(|c| Arc::strong_count(c) == 1 && c.is_idle()) {
            return Ok(call.clone());
        }
        if calls.len() >= MAX_CALLS {
            return Err(PeerError::Silent);
        }
        let call = Arc::new(Call::new(socket)?);
        calls.push(call.clone());
        Ok(call)
    }
}

impl Drop for ClientSocket {
    fn drop(&mut self) {
        let open = self.open.get_mut().unwrap_or_else(PoisonError::into_inner).take();
        if let Err(e) = std::thread::Builder::new().spawn(move || drop(open)) {
            log::warn!("no thread to close a link to a peer, which was closed here: {e}");
        }
    }
}

/// A connection to one peer that is re-established automatically when lost.
#[derive(Debug, Clone)]
pub struct Link {
    client: Arc<ClientSocket>,
}

impl Link {
    /// Starts to connect to a peer and returns immediately.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Socket`] if nng cannot create or configure the socket.
    pub fn dial(address: SocketAddr) -> Result<Link, PeerError> {
        let socket = Socket::new(Protocol::Req0)?;
        socket.set_opt::<ReconnectMinTime>(Some(MIN_RECONNECT_DELAY))?;
        socket.set_opt::<ReconnectMaxTime>(Some(MAX_RECONNECT_DELAY))?;
        socket.set_opt::<RecvMaxSize>(crate::frame::MAX_FRAME_BYTES)?;
        socket.pipe_notify(move |_, event| {
            if event == PipeEvent::AddPost {
                net::share_ports(address);
            }
        })?;
        socket.dial_async(&format!("tcp://{address}"))?;
        let open = OpenClient { calls: Vec::new(), socket };
        Ok(Link { client: Arc::new(ClientSocket { open: Mutex::new(Some(open)) }) })
    }

    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Silent`] if no reply arrives within `wait` or too many requests are in
    /// progress, and [`PeerError::Socket`] if nng reports another error.
    pub async fn request(&self, frame: &[u8], wait: Duration) -> Result<Message, PeerError> {
        let call = self.client.idle_call()?;
        let (tx, rx) = oneshot::channel();
        if let Ok(mut slot) = call.shared.tx.lock() {
            *slot = Some(tx);
        }
        // nng also ends the operation after `wait` when this future has been dropped.
        call.operation.aio.set_timeout(Some(wait))?;
        call.shared.busy.store(true, Ordering::Release);
        if let Err(e) = call.operation.send(frame) {
            call.shared.complete(Err(e));
        }
        match tokio::time::timeout(wait, rx).await {
            Ok(Ok(Ok(m))) => Ok(m),
            Ok(Ok(Err(nng::Error::TimedOut))) | Ok(Err(_)) | Err(_) => Err(PeerError::Silent),
            Ok(Ok(Err(e))) => Err(PeerError::Socket(e)),
        }
    }
}

/// Receives requests from peers.
#[derive(Debug)]
pub struct Listener {
    /// Operations that receive one request at a time and send its reply. Freed before the socket.
    slots: Vec<Rc<Operation>>,
    socket: Socket,
    tx: mpsc::UnboundedSender<(usize, Message)>,
    rx: mpsc::UnboundedReceiver<(usize, Message)>,
    /// Number of requests that wait for their reply.
    busy: Rc<Cell<usize>>,
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.slots.iter().for_each(|s| s.cancel());
    }
}

impl Listener {
    /// Starts to listen on an address.
    pub fn open(address: SocketAddr) -> Opening<Listener, PeerError> {
        Opening::start(address, Purpose::PeerConnections, Listener::bind)
    }

    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Socket`] if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> Result<Listener, PeerError> {
        let socket = Socket::new(Protocol::Rep0)?;
        socket.set_opt::<RecvMaxSize>(crate::frame::MAX_FRAME_BYTES)?;
        socket.listen(&format!("tcp://{address}"))?;
        let (tx, rx) = mpsc::unbounded_channel();
        let busy = Rc::new(Cell::new(0));
        let mut listener = Listener { slots: Vec::new(), socket, tx, rx, busy };
        listener.add_slots()?;
        Ok(listener)
    }

    /// Opens further contexts, each of which receives a request.
    fn add_slots(&mut self) -> Result<(), PeerError> {
        for _ in 0..SLOT_BATCH {
            let ix = self.slots.len();
            let tx = self.tx.clone();
            let slot = Operation::new(&self.socket, move |ctx, aio, result| match result {
                AioResult::Recv(Ok(m)) => {
                    let _ = tx.send((ix, m));
                }
                AioResult::Recv(Err(nng::Error::Closed)) => {}
                _ => {
                    let _ = ctx.recv(aio);
                }
            })?;
            slot.recv()?;
            self.slots.push(Rc::new(slot));
        }
        Ok(())
    }

    /// Waits for the next request and returns it with the means to reply.
    pub async fn next(&mut self) -> Option<(Message, Responder)> {
        let (ix, message) = self.rx.recv().await?;
        self.busy.set(self.busy.get() + 1);
        // Only a free context can receive a request, so some are kept free.
        if self.busy.get() + SLOT_BATCH / 2 > self.slots.len() && self.slots.len() < MAX_SLOTS {
            let _ = self.add_slots();
        }
        let slot = Rc::downgrade(self.slots.get(ix)?);
        Some((message, Responder { slot, busy: self.busy.clone() }))
    }
}

/// Sends the reply to one request. If it is dropped unused, the request gets no reply.
#[derive(Debug)]
pub struct Responder {
    /// Operation of the listener; none once it is used.
    slot: Weak<Operation>,
    busy: Rc<Cell<usize>>,
}

impl Responder {
    /// Sends the reply, after which the context receives another request.
    pub fn reply(mut self, frame: &[u8]) {
        if let Some(slot) = self.take_slot()
            && slot.send(frame).is_err()
        {
            let _ = slot.recv();
        }
    }

    fn take_slot(&mut self) -> Option<Rc<Operation>> {
        let slot = std::mem::take(&mut self.slot).upgrade()?;
        self.busy.set(self.busy.get() - 1);
        Some(slot)
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if let Some(slot) = self.take_slot() {
            let _ = slot.recv();
        }
    }
}
