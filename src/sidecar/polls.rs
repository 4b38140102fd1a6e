//! Long polls of the entries. A poll is held until there are tokens for it or its hold expires, and
//! each reply includes the report on the endpoint.

use super::{Sidecar, report};
use crate::board::{Phase, SidecarBoard};
use crate::clock;
use crate::frame::{Batch, Cursor, Finish, Poll, Reply};
use crate::id::Nonce;
use crate::peer::Responder;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Upper bound of the time that a poll is held.
const MAX_HOLD: Duration = Duration::from_secs(10);
/// Interval of checks for polls whose hold has expired.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Change in the number of open generations and calls at which a poll is answered before its hold
/// expires, so that the entry gets a current report.
const OPEN_WORK_CHANGE: u32 = 3;
/// Maximum number of tokens of one generation in one reply.
const MAX_BATCH_TOKENS: usize = 512;

/// A poll that waits for its reply.
#[derive(Debug)]
struct HeldPoll {
    poll: Poll,
    responder: Responder,
    expires: Instant,
    /// Number of open generations and calls when the poll arrived.
    open_work: u32,
}

/// Polls held for entries.
#[derive(Debug, Default)]
pub struct Polls {
    held: RefCell<Vec<HeldPoll>>,
    wake: Notify,
    /// Whether generations have changed since the last flush.
    has_changes: Cell<bool>,
    /// Whether the next flush answers all held polls.
    flush_all: Cell<bool>,
}

impl Polls {
    /// Causes a reply to every held poll, so that all entries get a new report.
    pub fn flush_all(&self) {
        self.flush_all.set(true);
        self.notify();
    }

    /// Causes a reply to each held poll that has something to read.
    pub fn notify(&self) {
        self.has_changes.set(true);
        self.wake.notify_one();
    }
}

/// Holds a poll; an older one of the same link is answered at once.
pub fn hold(s: &Sidecar, poll: Poll, responder: Responder) {
    let older = {
        let mut held = s.polls.held.borrow_mut();
        let at = held.iter().position(|h| h.poll.link == poll.link);
        let older = at.map(|ix| held.swap_remove(ix));
        let expires = clock::now() + Duration::from_millis(poll.hold).min(MAX_HOLD);
        held.push(HeldPoll { poll, responder, expires, open_work: open_work(&s.board.borrow()) });
        older
    };
    if let Some(h) = older {
        let empty = Reply::Batches(Vec::new(), Box::new(report(s)));
        h.responder.reply(&s.process.encode(empty));
    }
    s.polls.notify();
}

/// Answers held polls as they become ready, for as long as the process runs.
pub async fn run_flush(s: Rc<Sidecar>) {
    loop {
        let _ = tokio::time::timeout(EXPIRY_CHECK_INTERVAL, s.polls.wake.notified()).await;
        // Tokens of one batch step arrive on several connections at about the same time. Yielding
        // lets them be read first, so that they share a reply.
        tokio::task::yield_now().await;
        tokio::task::yield_now().await;
        let has_changes = s.polls.has_changes.replace(false);
        let flush_all = s.polls.flush_all.replace(false);
        let ready = take_ready(&s, clock::now(), has_changes, flush_all);
        if ready.is_empty() {
            continue;
        }
        let report = Box::new(report(&s));
        for (responder, batches) in ready {
            let reply = Reply::Batches(batches, report.clone());
            responder.reply(&s.process.encode(reply));
        }
    }
}

/// Removes the polls that are to be answered now, and reads their batches.
fn take_ready(
    s: &Sidecar,
    now: Instant,
    has_changes: bool,
    flush_all: bool,
) -> Vec<(Responder, Vec<Batch>)> {
    let mut held = s.polls.held.borrow_mut();
    let mut board = s.board.borrow_mut();
    let open_work = open_work(&board);
    let mut ready = Vec::new();
    let mut ix = 0;
    while ix < held.len() {
        let batches =
            if has_changes { read_batches(now, &mut board, &held[ix].poll) } else { Vec::new() };
        let is_stale = open_work.abs_diff(held[ix].open_work) >= OPEN_WORK_CHANGE;
        if batches.is_empty() && now < held[ix].expires && !flush_all && !is_stale {
            ix += 1;
            continue;
        }
        let h = held.swap_remove(ix);
        ready.push((h.responder, batches));
    }
    ready
}

/// Returns the number of calls in progress and of generations that have not ended.
fn open_work(board: &SidecarBoard) -> u32 {
    let is_open = |p: Phase| !matches!(p, Phase::Ended(_));
    board.calls + board.jobs.values().filter(|j| is_open(j.phase)).count() as u32
}

/// Returns the tokens and ends past the cursors of a poll.
pub fn read_batches(now: Instant, board: &mut SidecarBoard, poll: &Poll) -> Vec<Batch> {
    poll.cursors.iter().filter_map(|c| read_batch(now, board, c)).collect()
}

fn read_batch(now: Instant, board: &mut SidecarBoard, c: &Cursor) -> Option<Batch> {
    let job = board.by_nonce.get(&c.nonce).and_then(|k| board.jobs.get_mut(*k));
    let Some(job) = job else { return Some(end_batch(c.nonce, c.next, Finish::Unknown)) };
    job.last_read = now;
    let first = c.next as usize;
    if first > job.tokens.len() {
        return Some(end_batch(c.nonce, c.next, Finish::Unknown));
    }
    let last = job.tokens.len().min(first + MAX_BATCH_TOKENS);
    let tokens: Vec<Arc<str>> = job.tokens[first..last].to_vec();
    let finish = match job.phase {
        Phase::Ended(end) if last == job.tokens.len() => Some(end),
        _ => None,
    };
    if tokens.is_empty() && finish.is_none() {
        return None;
    }
    job.end_sent |= finish.is_some();
    Some(Batch { nonce: c.nonce, first: c.next, tokens, finish })
}

fn end_batch(nonce: Nonce, first: u32, finish: Finish) -> Batch {
    Batch { nonce, first, tokens: Vec::new(), finish: Some(finish) }
}
