//! Links to sidecars.
//!
//! Each link keeps one long poll open. Its replies carry new tokens and the sidecar's report, and
//! also serve as heartbeat.

use super::{Entry, quarantine, sync};
use crate::board::{EndpointKey, EntryBoard, LatestReport};
use crate::clock;
use crate::event::Kind;
use crate::frame::{Batch, Crash, Cursor, Envelope, Finish, Poll, Reply, Report, Request};
use crate::id::{Fingerprint, Incarnation, InstanceId, IntentVersion, Nonce};
use crate::peer::{Link, PeerError};
use crate::task;
use slotmap::{SlotMap, new_key_type};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc};

/// Time for which the sidecar may hold a poll while generations are read over the link.
const BUSY_POLL_HOLD: Duration = Duration::from_millis(200);
/// Time for which the sidecar may hold a poll of an idle link.
const IDLE_POLL_HOLD: Duration = Duration::from_secs(3);
/// Time past the hold after which an unanswered poll fails.
const POLL_MARGIN: Duration = Duration::from_millis(600);
/// Time without a reply after which an endpoint gets no new work.
const UNLINK_AFTER: Duration = Duration::from_millis(800);
/// Time without a reply after which the generations on a link count as lost.
const LOST_AFTER: Duration = Duration::from_secs(4);
/// Delay before the next poll after a connection error, so that a refused connection causes no busy
/// loop. Timed-out polls need no delay.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Number of undelivered tokens above which a reader is left out of polls.
const MAX_PENDING_TOKENS: usize = 1024;
/// Crash number under which the loss of a whole link is recorded.
const LINK_CRASH_NUMBER: u32 = u32::MAX;

new_key_type! {
    /// Key of a [`Reader`] on its link.
    pub struct ReaderKey;
}

/// Read position of one response in a generation on the link.
#[derive(Debug)]
pub struct Reader {
    nonce: Nonce,
    next: Cell<u32>,
    /// Number of tokens that the [`TokenReceiver`] has not received yet; shared with it.
    pending: Rc<Cell<usize>>,
    content: Option<Fingerprint>,
    tx: mpsc::UnboundedSender<Batch>,
}

impl Reader {
    /// Forwards the tokens past the read position; returns `false` once the generation has ended.
    fn receive(&self, batch: &Batch) -> bool {
        // A reply to an older poll may repeat tokens that were already read.
        let first = self.next.get();
        let skip = first.saturating_sub(batch.first) as usize;
        if batch.first > first || skip > batch.tokens.len() {
            return true;
        }
        let tokens = batch.tokens[skip..].to_vec();
        self.next.set(first + tokens.len() as u32);
        self.pending.set(self.pending.get() + tokens.len());
        if !tokens.is_empty() || batch.finish.is_some() {
            let rest = Batch { nonce: batch.nonce, first, tokens, finish: batch.finish };
            let _ = self.tx.send(rest);
        }
        batch.finish.is_none()
    }
}

/// The receiving end of a [`Reader`]. Dropping it removes the reader from the link.
#[derive(Debug)]
pub struct TokenReceiver {
    key: ReaderKey,
    link: Weak<LinkState>,
    pending: Rc<Cell<usize>>,
    rx: mpsc::UnboundedReceiver<Batch>,
}

impl TokenReceiver {
    /// Waits for the next batch; returns `None` if the link was closed.
    pub async fn next(&mut self) -> Option<Batch> {
        let batch = self.rx.recv().await?;
        let before = self.pending.get();
        let remaining = before - batch.tokens.len().min(before);
        self.pending.set(remaining);
        if before > MAX_PENDING_TOKENS && remaining <= MAX_PENDING_TOKENS {
            // The reader was left out of the current poll and has to be included again.
            if let Some(link) = self.link.upgrade() {
                link.changed.notify_one();
            }
        }
        Some(batch)
    }
}

impl Drop for TokenReceiver {
    fn drop(&mut self) {
        if let Some(link) = self.link.upgrade() {
            link.readers.borrow_mut().remove(self.key);
        }
    }
}

/// State of the link to one sidecar.
#[derive(Debug)]
pub struct LinkState {
    instance: InstanceId,
    address: SocketAddr,
    /// Identifier of the link in its polls.
    nonce: Nonce,
    link: RefCell<Option<Link>>,
    readers: RefCell<SlotMap<ReaderKey, Reader>>,
    changed: Notify,
    last_reply: Cell<Instant>,
    version: Cell<IntentVersion>,
    /// Whether the endpoint was removed or has a new address; ends the poll loop.
    closed: Cell<bool>,
}

impl LinkState {
    /// Adds a reader of a generation that starts at the token with index `next`.
    pub fn add_reader(
        self: &Rc<Self>,
        nonce: Nonce,
        next: u32,
        content: Option<Fingerprint>,
    ) -> TokenReceiver {
        let (tx, rx) = mpsc::unbounded_channel();
        let pending = Rc::new(Cell::new(0));
        let next = Cell::new(next);
        let reader = Reader { nonce, next, pending: pending.clone(), content, tx };
        let key = self.readers.borrow_mut().insert(reader);
        TokenReceiver { key, link: Rc::downgrade(self), pending, rx }
    }

    /// Returns the current connection, or `None` if the last dial failed.
    pub fn connection(&self) -> Option<Link> {
        self.link.borrow().clone()
    }

    /// Returns the intent version in the sidecar's last reply, 0 before the first.
    pub fn version(&self) -> IntentVersion {
        self.version.get()
    }

    /// Replaces the poll in flight by one with the current cursors and version.
    pub fn request_poll(&self) {
        self.changed.notify_one();
    }

    /// Sends a request over the current connection.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no connection or no reply within `wait`.
    pub async fn request(
        &self,
        e: &Entry,
        request: Request,
        wait: Duration,
    ) -> Result<Envelope<Reply>, PeerError> {
        let link = self.connection().ok_or(PeerError::Silent)?;
        e.process.request(&link, request, wait).await
    }

    /// Returns one cursor per generation, at the position of its slowest reader.
    ///
    /// Readers with more than [`MAX_PENDING_TOKENS`] undelivered tokens are left out.
    fn cursors(&self) -> Vec<Cursor> {
        let mut next: HashMap<Nonce, u32> = HashMap::new();
        for r in self.readers.borrow().values().filter(|r| r.pending.get() <= MAX_PENDING_TOKENS) {
            let at = next.entry(r.nonce).or_insert(u32::MAX);
            *at = r.next.get().min(*at);
        }
        next.into_iter().map(|(nonce, next)| Cursor { nonce, next }).collect()
    }

    /// Delivers a batch to the readers of its generation.
    ///
    /// There are two of them while a resumed response overlaps the interrupted one.
    fn dispatch(&self, batch: &Batch) {
        let mut readers = self.readers.borrow_mut();
        readers.retain(|_, r| r.nonce != batch.nonce || r.receive(batch));
    }

    /// Ends all readers with [`Finish::Lost`]; returns the fingerprints of their contents.
    fn fail_readers(&self) -> Vec<Fingerprint> {
        let mut contents = Vec::new();
        for (_, r) in self.readers.borrow_mut().drain() {
            let (nonce, first, finish) = (r.nonce, r.next.get(), Some(Finish::Lost));
            let _ = r.tx.send(Batch { nonce, first, tokens: Vec::new(), finish });
            contents.extend(r.content);
        }
        contents
    }
}

/// Returns the link to an endpoint, opening it if there is none at the endpoint's address.
pub fn get_or_open(e: &Rc<Entry>, key: EndpointKey) -> Option<Rc<LinkState>> {
    let (instance, address) = {
        let board = e.board.borrow();
        let endpoint = board.endpoints.get(key)?;
        (endpoint.instance.clone(), endpoint.peer)
    };
    let mut links = e.links.borrow_mut();
    if let Some(link) = links.get(&instance) {
        if link.address == address {
            return Some(link.clone());
        }
        link.closed.set(true);
    }
    let link = Rc::new(LinkState {
        instance: instance.clone(),
        address,
        nonce: Nonce::random(),
        link: RefCell::new(Link::dial(address).ok()),
        readers: RefCell::new(SlotMap::with_key()),
        changed: Notify::new(),
        last_reply: Cell::new(clock::now()),
        version: Cell::new(IntentVersion(0)),
        closed: Cell::new(false),
    });
    links.insert(instance, link.clone());
    let (entry, polled) = (e.clone(), link.clone());
    task::keep("link", move || run_polls(entry.clone(), polled.clone()));
    Some(link)
}

/// Closes the link to an endpoint that was removed from the board.
pub fn close(e: &Entry, instance: &InstanceId) {
    if let Some(link) = e.links.borrow_mut().remove(instance) {
        link.closed.set(true);
        link.fail_readers();
    }
}

async fn run_polls(e: Rc<Entry>, link: Rc<LinkState>) {
    while !link.closed.get() {
        let cursors = link.cursors();
        let hold = if cursors.is_empty() { IDLE_POLL_HOLD } else { BUSY_POLL_HOLD };
        let store = e.history.known();
        let poll = Poll { link: link.nonce, cursors, hold: hold.as_millis() as u64, store };
        let sent = clock::now();
        let reply = tokio::select! {
            reply = link.request(&e, Request::Poll(poll), hold + POLL_MARGIN) => reply,
            // A new poll replaces this one; tokens in a reply that is missed here are sent again.
            () = link.changed.notified() => continue,
        };
        match reply {
            Ok(envelope) => handle_reply(&e, &link, envelope),
            Err(error) => {
                handle_silence(&e, &link);
                // Without a connection, or with all calls in use, silence is reported at once.
                let took = clock::now().saturating_duration_since(sent);
                if error != PeerError::Silent || took < RECONNECT_DELAY {
                    tokio::time::sleep(RECONNECT_DELAY).await;
                }
            }
        }
    }
    link.fail_readers();
}

fn handle_reply(e: &Rc<Entry>, link: &Rc<LinkState>, envelope: Envelope<Reply>) {
    let now = clock::now();
    link.last_reply.set(now);
    let incarnation = envelope.incarnation;
    link.version.set(envelope.version);
    sync::reconcile(e, link, envelope.version);
    let Reply::Batches(batches, report) = envelope.body else { return };
    if link.closed.get() {
        return log::debug!("dropped the report of {}, which has left", link.instance);
    }
    quarantine::record_crashes(e, incarnation, &report.crashes);
    e.history.note_report(&link.instance, incarnation, &report);
    apply_report(e, link, now, incarnation, *report);
    for batch in batches {
        link.dispatch(&batch);
    }
}

fn apply_report(
    e: &Entry,
    link: &LinkState,
    now: Instant,
    incarnation: Incarnation,
    report: Report,
) {
    let mut board = e.board.borrow_mut();
    let Some(key) = board.find(&link.instance) else { return };
    let endpoint = &mut board.endpoints[key];
    if !endpoint.linked {
        endpoint.linked = true;
        e.process.event(Kind::LinkUp, &link.instance, incarnation);
    }
    let was_leaving = endpoint.latest.as_ref().is_some_and(|l| l.report.leaving);
    if report.leaving && !was_leaving {
        e.process.event(Kind::Leaving, &link.instance, "from=report");
    }
    endpoint.sent_requests = 0;
    endpoint.sent_tokens = 0;
    endpoint.latest = Some(LatestReport { report, incarnation, received: now });
}

fn handle_silence(e: &Rc<Entry>, link: &Rc<LinkState>) {
    let silence = super::elapsed_since(link.last_reply.get());
    // The sidecar may be reachable even if this connection is dead, so it is replaced.
    *link.link.borrow_mut() = Link::dial(link.address).ok();
    if silence < UNLINK_AFTER {
        return;
    }
    let key = e.board.borrow().find(&link.instance);
    let unlinked = key.and_then(|k| unlink(&mut e.board.borrow_mut(), k));
    if let Some(endpoint) = unlinked {
        e.process.event(Kind::LinkSilent, endpoint, format_args!("{}ms", silence.as_millis()));
    }
    if silence >= LOST_AFTER {
        let contents = link.fail_readers();
        if contents.is_empty() {
            return;
        }
        let mut board = e.board.borrow_mut();
        let Some(endpoint) = key.and_then(|k| board.endpoints.get_mut(k)) else { return };
        crate::eject::note_failure(endpoint);
        let incarnation = endpoint.latest.as_ref().map(|l| l.incarnation);
        drop(board);
        if let Some(incarnation) = incarnation {
            let (number, running) = (LINK_CRASH_NUMBER, contents);
            // A silent link does not show that the engine crashed, so no part is accused.
            let crash = Crash { number, running, parts: Vec::new(), age: 0 };
            quarantine::record_crashes(e, incarnation, &[crash]);
        }
    }
}

/// Marks an endpoint as not linked; returns its instance if it was linked before.
fn unlink(board: &mut EntryBoard, key: EndpointKey) -> Option<InstanceId> {
    let endpoint = board.endpoints.get_mut(key).filter(|e| e.linked)?;
    endpoint.linked = false;
    Some(endpoint.instance.clone())
}
