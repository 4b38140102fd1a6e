//! Requests from the entries.

use super::{
    Sidecar, WRONG_INCARNATION, calls, cancel, engine, finish, polls, restore, retry_millis,
};
use crate::board::{Job, Phase};
use crate::clock;
use crate::event::{self, Kind};
use crate::frame::{Envelope, Finish, Order, Refusal, Reply, Request, Start};
use crate::id::{Fence, Nonce};
use crate::intent::AdoptError;
use crate::net::Opening;
use crate::peer::{Listener, PeerError, Responder};
use crate::task;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of events in one reply.
const MAX_EVENTS: usize = 2000;

/// Handles requests for as long as the process runs.
pub async fn serve(s: Rc<Sidecar>, mut opening: Opening<Listener, PeerError>) {
    // Not stored, since older processes could not read the events.
    let mut listener = opening.finish(&event::log).await;
    while let Some((message, responder)) = listener.next().await {
        // After a panic the entry gets no reply.
        let _ = task::step("peers", || {
            if let Some(envelope) = s.process.decode::<Request>(&message) {
                handle(&s, envelope, responder);
            }
        });
    }
}

fn handle(s: &Rc<Sidecar>, envelope: Envelope<Request>, responder: Responder) {
    match envelope.body {
        Request::Poll(mut poll) => {
            // An entry with a newer configuration gets its reply at once, learns from it which
            // version is in force here, and sends the newer one.
            if envelope.version > s.process.version() {
                poll.hold = 0;
            }
            restore::learn(s, poll.store);
            polls::hold(s, poll, responder);
        }
        Request::Call(call) => {
            let s = s.clone();
            call.key.iter().for_each(|key| restore::note_claim(&s, key));
            task::spawn("call", async move {
                let reply = Reply::Call(Box::new(calls::call(&s, *call).await));
                responder.reply(&s.process.encode(reply));
            });
        }
        Request::Order(order) => {
            let s = s.clone();
            task::spawn("order", async move {
                let reply = Reply::Ordered(execute_order(&s, &order).await);
                responder.reply(&s.process.encode(reply));
            });
        }
        other => responder.reply(&s.process.encode(reply(s, other))),
    }
}

fn reply(s: &Rc<Sidecar>, request: Request) -> Reply {
    match request {
        Request::Start(start) => enqueue(s, *start),
        Request::Withdraw(nonce) => Reply::Withdrawn(withdraw(s, nonce)),
        Request::Cancel(nonce) => Reply::Cancelled(cancel_generation(s, nonce)),
        Request::Seal(key) => {
            restore::note_claim(s, &key);
            Reply::Call(Box::new(calls::seal(s, &key)))
        }
        Request::Ticket(fence) => issue_ticket(s, fence),
        Request::GetIntent(have) => {
            Reply::Intent(Box::new(s.process.intent.borrow().copy_without(&have)))
        }
        Request::PutIntent(copy) => {
            let result = s.process.intent.borrow_mut().adopt(&copy);
            match result {
                Ok(()) => s.process.event(Kind::Adopted, copy.version, "from=peer"),
                Err(AdoptError::MissingChunks(hashes)) => return Reply::Lacking(hashes),
                Err(AdoptError::Stale | AdoptError::Invalid(_)) => {}
            }
            Reply::Ok
        }
        Request::Events(filter) => {
            Reply::Events(s.process.ring.borrow().select(&filter, MAX_EVENTS))
        }
        _ => Reply::Unsupported,
    }
}

/// Queues a generation if the gate admits it. A repeated request for a known generation changes
/// nothing.
fn enqueue(s: &Rc<Sidecar>, start: Start) -> Reply {
    let generation = start.generation.clone();
    if generation.incarnation != s.process.incarnation {
        return Reply::Refused(WRONG_INCARNATION, 0);
    }
    if s.board.borrow().by_nonce.contains_key(&generation.nonce) {
        return Reply::Accepted;
    }
    let admitted = s.gate.borrow().admit(clock::now(), &s.board.borrow(), &start);
    if let Err((refusal, wait)) = admitted {
        metrics::counter!("generations_refused_total").increment(1);
        return Reply::Refused(refusal, retry_millis(wait));
    }
    let now = clock::now();
    let job = Job {
        phase: Phase::Queued,
        arrived: now,
        deadline: now + Duration::from_millis(start.left),
        tokens: Vec::new(),
        last_active: now,
        last_read: now,
        prefilled: false,
        submissions: 0,
        begun: None,
        end_sent: false,
        start,
    };
    let mut board = s.board.borrow_mut();
    let key = board.jobs.insert(job);
    board.by_nonce.insert(generation.nonce, key);
    s.process.event(Kind::Queued, &generation, "");
    s.wake.notify_one();
    Reply::Accepted
}

/// Ends a generation that is still queued, so that it never runs. Returns whether it has not run: one
/// that was refused meanwhile never will either.
fn withdraw(s: &Rc<Sidecar>, nonce: Nonce) -> bool {
    let key = s.board.borrow().by_nonce.get(&nonce).copied();
    let Some(key) = key else { return false };
    let phase = s.board.borrow().jobs[key].phase;
    if phase == Phase::Queued {
        finish(s, key, Finish::NotRun(Refusal::Busy));
    }
    phase.has_not_run()
}

/// Ends a generation; returns whether it had been submitted to the engine.
fn cancel_generation(s: &Rc<Sidecar>, nonce: Nonce) -> bool {
    let board = s.board.borrow();
    let Some(key) = board.by_nonce.get(&nonce).copied() else { return false };
    let phase = board.jobs[key].phase;
    drop(board);
    match phase {
        Phase::Queued => finish(s, key, Finish::NotRun(Refusal::Expired)),
        Phase::Running | Phase::Held => cancel(s, key),
        Phase::Ended(_) => {}
    }
    !phase.has_not_run()
}

fn issue_ticket(s: &Sidecar, fence: Fence) -> Reply {
    let issued = s.guard.borrow_mut().issue_ticket(clock::now(), fence, Nonce::random());
    match issued {
        Ok(nonce) => Reply::Ticket(nonce),
        Err(e) => {
            s.process.event(Kind::OrderRefused, fence, format_args!("{e:?}"));
            Reply::Ordered(false)
        }
    }
}

async fn execute_order(s: &Sidecar, order: &Order) -> bool {
    let admitted = s.guard.borrow_mut().admit(clock::now(), order.fence, order.ticket);
    if let Err(e) = admitted {
        s.process.event(Kind::OrderRefused, order.fence, format_args!("{e:?}"));
        return false;
    }
    s.process.event(Kind::Ordered, order.fence, format_args!("{:?}", order.action));
    engine::order(s, order).await
}
