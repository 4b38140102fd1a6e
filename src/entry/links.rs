//! Links to sidecars: one held poll each carries tokens, the report and the heartbeat.

use super::{Entry, sync};
use crate::board::{EndpointKey, EntryBoard, LatestReport};
use crate::clock;
use crate::event::Kind;
use crate::frame::{Batch, Crash, Cursor, Envelope, Finish, Poll, Reply, Report, Request};
use crate::id::{Fingerprint, Incarnation, InstanceId, IntentVersion, Nonce};
use crate::peer::{Link, PeerError};
use slotmap::{SlotMap, new_key_type};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc};

/// Time that a poll is held while generations are read over the link.
const BUSY_HOLD: Duration = Duration::from_millis(200);
/// Time that a poll of an idle link is held.
const IDLE_HOLD: Duration = Duration::from_secs(3);
/// Time past its hold in which a poll has to be answered.
const POLL_MARGIN: Duration = Duration::from_millis(600);
/// Silence after which an endpoint gets no new work.
const SILENCE: Duration = Duration::from_millis(800);
/// Silence after which the generations on a link count as lost.
const LOST_TIME: Duration = Duration::from_secs(4);
/// Pause between polls of a link that fails at once.
const PAUSE: Duration = Duration::from_millis(50);
/// Tokens that may wait for one caller; past them the cursor rests.
const WINDOW: usize = 1024;
/// Number of a crash that the loss of a whole link stands for.
const LINK_CRASH: u32 = u32::MAX;

new_key_type! {
    /// Names a reader of a link.
    pub struct ReaderKey;
}

/// One generation that is read over a link.
#[derive(Debug)]
pub struct Reader {
    nonce: Nonce,
    next: Cell<u32>,
    pending: Rc<Cell<usize>>,
    content: Option<Fingerprint>,
    tx: mpsc::UnboundedSender<Batch>,
}

impl Reader {
    /// Passes on what is past the cursor; `false` once the generation has ended for this reader.
    fn take(&self, batch: &Batch) -> bool {
        // An answer to an older poll may hold what was read before.
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

/// The receiving end of a [`Reader`]; dropped, it takes the cursor off the link.
#[derive(Debug)]
pub struct Tokens {
    key: ReaderKey,
    link: Weak<LinkState>,
    pending: Rc<Cell<usize>>,
    rx: mpsc::UnboundedReceiver<Batch>,
}

impl Tokens {
    /// Waits for the next tokens.
    pub async fn next(&mut self) -> Option<Batch> {
        let batch = self.rx.recv().await?;
        let was = self.pending.get();
        let left = was - batch.tokens.len().min(was);
        self.pending.set(left);
        if was > WINDOW && left <= WINDOW {
            // The cursor rested; it goes on.
            if let Some(link) = self.link.upgrade() {
                link.changed.notify_one();
            }
        }
        Some(batch)
    }
}

impl Drop for Tokens {
    fn drop(&mut self) {
        if let Some(link) = self.link.upgrade() {
            link.readers.borrow_mut().remove(self.key);
        }
    }
}

/// A link to one sidecar.
#[derive(Debug)]
pub struct LinkState {
    instance: InstanceId,
    address: SocketAddr,
    nonce: Nonce,
    link: RefCell<Option<Link>>,
    readers: RefCell<SlotMap<ReaderKey, Reader>>,
    changed: Notify,
    heard: Cell<Instant>,
    version: Cell<IntentVersion>,
    /// Tells that the endpoint was removed and the link should end.
    closed: Cell<bool>,
}

impl LinkState {
    /// Starts to read a generation from a token on.
    pub fn read(self: &Rc<Self>, nonce: Nonce, next: u32, content: Option<Fingerprint>) -> Tokens {
        let (tx, rx) = mpsc::unbounded_channel();
        let pending = Rc::new(Cell::new(0));
        let next = Cell::new(next);
        let reader = Reader { nonce, next, pending: pending.clone(), content, tx };
        let key = self.readers.borrow_mut().insert(reader);
        Tokens { key, link: Rc::downgrade(self), pending, rx }
    }

    /// Returns the connection as it stands.
    pub fn raw(&self) -> Option<Link> {
        self.link.borrow().clone()
    }

    /// Returns the version that the sidecar last named.
    pub fn version(&self) -> IntentVersion {
        self.version.get()
    }

    /// Sends a poll that has the newest cursors.
    pub fn poke(&self) {
        self.changed.notify_one();
    }

    /// Sends a request over the link.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] where no answer comes within `wait`.
    pub async fn ask(
        &self,
        e: &Entry,
        request: Request,
        wait: Duration,
    ) -> Result<Envelope<Reply>, PeerError> {
        let link = self.raw().ok_or(PeerError::Silent)?;
        e.process.ask(&link, request, wait).await
    }

    /// Returns one cursor per generation: that of the reader that is furthest behind.
    fn cursors(&self) -> Vec<Cursor> {
        let mut next: HashMap<Nonce, u32> = HashMap::new();
        for r in self.readers.borrow().values().filter(|r| r.pending.get() <= WINDOW) {
            let at = next.entry(r.nonce).or_insert(u32::MAX);
            *at = r.next.get().min(*at);
        }
        next.into_iter().map(|(nonce, next)| Cursor { nonce, next }).collect()
    }

    /// Hands a batch to the readers of its generation; a caller that resumed has two for a while.
    fn dispatch(&self, batch: &Batch) {
        let mut readers = self.readers.borrow_mut();
        readers.retain(|_, r| r.nonce != batch.nonce || r.take(batch));
    }

    /// Ends all generations on the link; returns their contents.
    fn lose(&self) -> Vec<Fingerprint> {
        let mut contents = Vec::new();
        for (_, r) in self.readers.borrow_mut().drain() {
            let (nonce, first, finish) = (r.nonce, r.next.get(), Some(Finish::Lost));
            let _ = r.tx.send(Batch { nonce, first, tokens: Vec::new(), finish });
            contents.extend(r.content);
        }
        contents
    }
}

/// Returns the link to an endpoint, opening it if needed.
pub fn get(e: &Rc<Entry>, key: EndpointKey) -> Option<Rc<LinkState>> {
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
        heard: Cell::new(clock::now()),
        version: Cell::new(IntentVersion(0)),
        closed: Cell::new(false),
    });
    links.insert(instance, link.clone());
    actix_rt::spawn(poll(e.clone(), link.clone()));
    Some(link)
}

/// Ends the link to an endpoint that was forgotten.
pub fn close(e: &Entry, instance: &InstanceId) {
    if let Some(link) = e.links.borrow_mut().remove(instance) {
        link.closed.set(true);
        link.lose();
    }
}

async fn poll(e: Rc<Entry>, link: Rc<LinkState>) {
    while !link.closed.get() {
        let cursors = link.cursors();
        let hold = if cursors.is_empty() { IDLE_HOLD } else { BUSY_HOLD };
        let poll = Poll { link: link.nonce, cursors, hold: hold.as_millis() as u64 };
        let answer = tokio::select! {
            answer = link.ask(&e, Request::Poll(poll), hold + POLL_MARGIN) => answer,
            // A newer poll replaces this one; its answer, if any, is read again.
            () = link.changed.notified() => continue,
        };
        match answer {
            Ok(envelope) => heard(&e, &link, envelope),
            Err(error) => {
                silent(&e, &link);
                if error != PeerError::Silent {
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }
    link.lose();
}

fn heard(e: &Rc<Entry>, link: &Rc<LinkState>, envelope: Envelope<Reply>) {
    let now = clock::now();
    link.heard.set(now);
    let incarnation = envelope.incarnation;
    link.version.set(envelope.version);
    sync::compare(e, link, envelope.version);
    let Reply::Batches(batches, report) = envelope.body else { return };
    note_crashes(e, incarnation, &report.crashes);
    note_report(e, link, now, incarnation, *report);
    for batch in batches {
        link.dispatch(&batch);
    }
}

fn note_report(
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
    let was_leaving = endpoint.latest.as_ref().is_some_and(|k| k.report.leaving);
    if report.leaving && !was_leaving {
        e.process.event(Kind::Leaving, &link.instance, "from=report");
    }
    endpoint.sent_requests = 0;
    endpoint.sent_tokens = 0;
    endpoint.latest = Some(LatestReport { report, incarnation, received: now });
}

fn note_crashes(e: &Entry, incarnation: Incarnation, crashes: &[Crash]) {
    for crash in crashes {
        let worse = e.quarantine.borrow_mut().record_crash(incarnation, crash);
        for (content, standing) in worse {
            let kind = match standing {
                crate::quarantine::Standing::Refused => Kind::Convicted,
                _ => Kind::Suspected,
            };
            e.process.event(kind, content, format_args!("{standing:?}"));
        }
    }
}

fn silent(e: &Rc<Entry>, link: &Rc<LinkState>) {
    let silence = super::since(link.heard.get());
    // The peer may be well and only this connection dead, so a new one takes its place.
    *link.link.borrow_mut() = Link::dial(link.address).ok();
    if silence < SILENCE {
        return;
    }
    let key = e.board.borrow().find(&link.instance);
    let unlinked = key.and_then(|k| unlink(&mut e.board.borrow_mut(), k));
    if let Some(endpoint) = unlinked {
        e.process.event(Kind::LinkSilent, endpoint, format_args!("{}ms", silence.as_millis()));
    }
    if silence >= LOST_TIME {
        let contents = link.lose();
        if contents.is_empty() {
            return;
        }
        let mut board = e.board.borrow_mut();
        let Some(endpoint) = key.and_then(|k| board.endpoints.get_mut(k)) else { return };
        crate::eject::note_failure(endpoint);
        let incarnation = endpoint.latest.as_ref().map(|k| k.incarnation);
        drop(board);
        if let Some(incarnation) = incarnation {
            let crash = Crash { number: LINK_CRASH, running: contents };
            note_crashes(e, incarnation, &[crash]);
        }
    }
}

/// Marks an endpoint as not linked; returns its instance where it was.
fn unlink(board: &mut EntryBoard, key: EndpointKey) -> Option<InstanceId> {
    let endpoint = board.endpoints.get_mut(key).filter(|e| e.linked)?;
    endpoint.linked = false;
    Some(endpoint.instance.clone())
}
