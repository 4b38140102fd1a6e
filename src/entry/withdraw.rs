//! Withdraws generations whose first token has not come.

use super::generate::Attempt;
use super::links::{LinkState, TokenReceiver};
use super::{Entry, elapsed_since};
use crate::clock;
use crate::event::Kind;
use crate::frame::{Finish, Reply, Request};
use crate::id::{GenerationId, Nonce};
use futures_util::FutureExt;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of cancel and withdraw requests to a sidecar.
pub const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the reply to the withdrawal of a generation whose time is over.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(250);

/// Answer to the withdrawal of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// The generation has not run and never will.
    NotRun,
    /// The sidecar does not know that it has not run.
    MayHaveRun,
    /// No answer arrived in time.
    Unanswered,
}

impl fmt::Display for Withdrawal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Withdrawal::NotRun => "not-run",
            Withdrawal::MayHaveRun => "may-have-run",
            Withdrawal::Unanswered => "unanswered",
        })
    }
}

/// Withdraws a generation that has not started.
pub async fn withdraw(
    e: &Rc<Entry>,
    link: &Rc<LinkState>,
    nonce: Nonce,
    wait: Duration,
) -> Withdrawal {
    match link.request(e, Request::Withdraw(nonce), wait).await.map(|r| r.body) {
        Ok(Reply::Withdrawn(true)) => Withdrawal::NotRun,
        Ok(_) => Withdrawal::MayHaveRun,
        Err(_) => Withdrawal::Unanswered,
    }
}

/// Gives up a generation whose first token is late. It has not run if it was still queued or its
/// sidecar had refused it, as the answer to the withdrawal or the end of the generation tells; the two
/// may arrive in either order, and one of them may be missing.
pub async fn give_up(
    e: &Rc<Entry>,
    link: &Rc<LinkState>,
    generation: &GenerationId,
    tokens: &mut TokenReceiver,
) -> Attempt {
    let asked = clock::now();
    let withdrawn = withdraw(e, link, generation.nonce, WITHDRAW_TIMEOUT).await;
    let waited = elapsed_since(asked).as_millis();
    let arrived = tokens.next().now_or_never().flatten();
    let is_refused = arrived.is_some_and(|b| matches!(b.finish, Some(Finish::NotRun(_))));
    let detail = format_args!("withdrawal={withdrawn} refused={is_refused} waited_ms={waited}");
    e.process.event(Kind::GivenUp, generation, detail);
    if is_refused || withdrawn == Withdrawal::NotRun {
        return Attempt::TimedOut { may_have_run: false };
    }
    cancel_in_background(e, link, generation.nonce);
    Attempt::TimedOut { may_have_run: true }
}

/// Cancels a generation without waiting for the reply.
pub fn cancel_in_background(e: &Rc<Entry>, link: &Rc<LinkState>, nonce: Nonce) {
    let (e, link) = (e.clone(), link.clone());
    actix_rt::spawn(async move {
        let _ = link.request(&e, Request::Cancel(nonce), CANCEL_TIMEOUT).await;
    });
}
