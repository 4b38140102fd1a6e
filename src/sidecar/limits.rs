//! Keeps the requests to the endpoint to the limit that it states for their rate.

use super::Sidecar;
use crate::clock;
use crate::event::Kind;
use crate::limit::{Known, Stated};
use std::time::{Duration, Instant};

/// Interval at which a request that waits for its turn checks for it.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Records what the response to a request sent at `sent` states.
pub fn record_response(s: &Sidecar, sent: Instant, stated: Stated) {
    let now = clock::now();
    if let Some(known) = Known::of_response(now, sent, stated) {
        record(s, now, known);
    }
}

/// Records what a load report or health check states. One without a limit says nothing: the
/// endpoint may state limits only in its responses to requests.
pub fn record_check(s: &Sidecar, stated: Stated) {
    if let Stated::Limited(rate) = stated {
        let now = clock::now();
        record(s, now, Known { limit: Some(rate), at: now });
    }
}

fn record(s: &Sidecar, now: Instant, known: Known) {
    if s.board.borrow_mut().throttle.record(now, known) {
        let limit = known.limit.map_or("none".to_owned(), |rate| rate.to_string());
        s.process.event(Kind::Limited, s.engine, format_args!("limit={limit}"));
        s.wake.notify_one();
    }
}

/// A call that waits to be sent; dropping it gives up its place.
struct WaitingCall<'a> {
    s: &'a Sidecar,
    number: u64,
}

impl<'a> WaitingCall<'a> {
    fn join(s: &'a Sidecar) -> Self {
        let queue = &mut s.board.borrow_mut().waiting_calls;
        let number = queue.back().map_or(0, |last| last + 1);
        queue.push_back(number);
        WaitingCall { s, number }
    }

    fn ahead(&self) -> usize {
        let board = self.s.board.borrow();
        board.waiting_calls.iter().take_while(|n| **n != self.number).count()
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        self.s.board.borrow_mut().waiting_calls.retain(|n| *n != self.number);
    }
}

/// Waits, in the order of arrival, until a call may be sent. Returns `false` as soon as that would
/// not be within `left`.
pub async fn wait_for_turn(s: &Sidecar, left: Duration) -> bool {
    let deadline = clock::now() + left;
    let call = WaitingCall::join(s);
    loop {
        let (now, ahead) = (clock::now(), call.ahead());
        if ahead == 0 && s.board.borrow_mut().throttle.take(now) {
            return true;
        }
        if now + s.board.borrow().throttle.wait(now, ahead) > deadline {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
