//! Held polls: readers wait here for tokens, and each answer carries the report.

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

/// Longest time that a poll is held, whatever the entry asks.
const HOLD_MAX: Duration = Duration::from_secs(10);
/// Time between two looks at polls whose time is up.
const LOOK_TIME: Duration = Duration::from_millis(25);
/// Change of running and waiting work that an idle link is told of at once.
const CHANGE: u32 = 3;
/// Most tokens of one generation in one answer.
const BATCH_LIMIT: usize = 512;

#[derive(Debug)]
struct Held {
    poll: Poll,
    responder: Responder,
    until: Instant,
    /// Work that the link was told of, or was here when the poll came.
    told: u32,
}

/// Polls that wait.
#[derive(Debug, Default)]
pub struct Polls {
    held: RefCell<Vec<Held>>,
    news: Notify,
    dirty: Cell<bool>,
    all: Cell<bool>,
}

impl Polls {
    /// Answers every poll that is held now, for the sake of the report.
    pub fn announce(&self) {
        self.all.set(true);
        self.touch();
    }

    /// Wakes the readers.
    pub fn touch(&self) {
        self.dirty.set(true);
        self.news.notify_one();
    }
}

/// Takes a poll; an older one of the same link is answered at once.
pub fn hold(s: &Sidecar, poll: Poll, responder: Responder) {
    let older = {
        let mut held = s.polls.held.borrow_mut();
        let at = held.iter().position(|h| h.poll.link == poll.link);
        let older = at.map(|ix| held.swap_remove(ix));
        let until = clock::now() + Duration::from_millis(poll.hold).min(HOLD_MAX);
        held.push(Held { poll, responder, until, told: work(&s.board.borrow()) });
        older
    };
    if let Some(h) = older {
        let empty = Reply::Batches(Vec::new(), Box::new(report(s)));
        h.responder.reply(&s.process.encode(empty));
    }
    s.polls.touch();
}

/// Answers polls when there is something to read or their time is up.
pub async fn flush(s: Rc<Sidecar>) {
    loop {
        let _ = tokio::time::timeout(LOOK_TIME, s.polls.news.notified()).await;
        // Tokens of one batch step arrive on several connections at about the same time.
        tokio::task::yield_now().await;
        tokio::task::yield_now().await;
        let has_news = s.polls.dirty.replace(false);
        let is_all = s.polls.all.replace(false);
        let ready = collect(&s, clock::now(), has_news, is_all);
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

fn collect(
    s: &Sidecar,
    now: Instant,
    has_news: bool,
    is_all: bool,
) -> Vec<(Responder, Vec<Batch>)> {
    let mut held = s.polls.held.borrow_mut();
    let mut board = s.board.borrow_mut();
    let work = work(&board);
    let mut ready = Vec::new();
    let mut ix = 0;
    while ix < held.len() {
        let batches = if has_news { read(now, &mut board, &held[ix].poll) } else { Vec::new() };
        let has_changed = work.abs_diff(held[ix].told) >= CHANGE;
        if batches.is_empty() && now < held[ix].until && !is_all && !has_changed {
            ix += 1;
            continue;
        }
        let h = held.swap_remove(ix);
        ready.push((h.responder, batches));
    }
    ready
}

/// Counts the work that runs or waits.
fn work(board: &SidecarBoard) -> u32 {
    let is_open = |p: Phase| !matches!(p, Phase::Ended(_));
    board.calls + board.jobs.values().filter(|j| is_open(j.phase)).count() as u32
}

/// Reads what is past the cursors of a poll.
pub fn read(now: Instant, board: &mut SidecarBoard, poll: &Poll) -> Vec<Batch> {
    poll.cursors.iter().filter_map(|c| read_one(now, board, c)).collect()
}

fn read_one(now: Instant, board: &mut SidecarBoard, c: &Cursor) -> Option<Batch> {
    let job = board.by_nonce.get(&c.nonce).and_then(|k| board.jobs.get_mut(*k));
    let Some(job) = job else { return Some(ended(c.nonce, c.next, Finish::Unknown)) };
    job.last_read = now;
    let first = c.next as usize;
    if first > job.tokens.len() {
        return Some(ended(c.nonce, c.next, Finish::Unknown));
    }
    let last = job.tokens.len().min(first + BATCH_LIMIT);
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

fn ended(nonce: Nonce, first: u32, finish: Finish) -> Batch {
    Batch { nonce, first, tokens: Vec::new(), finish: Some(finish) }
}
