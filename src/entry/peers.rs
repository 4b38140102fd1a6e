//! Serves requests from other entries.

use super::{Entry, background, sync};
use crate::event;
use crate::frame::{Envelope, Reply, Request};
use crate::net::Opening;
use crate::peer::{Listener, PeerError};
use crate::task;
use std::rc::Rc;

/// Maximum number of events in one reply.
const MAX_REPLY_EVENTS: usize = 2000;

/// Answers requests from peers until the listener closes.
///
/// Frames that cannot be verified or decoded are dropped without a reply.
pub async fn serve(e: Rc<Entry>, mut opening: Opening<Listener, PeerError>) {
    // Not stored, since older processes could not read the events.
    let mut listener = opening.finish(&event::log).await;
    while let Some((message, responder)) = listener.next().await {
        // After a panic the peer gets no reply.
        let _ = task::step("peers", || {
            if let Some(envelope) = e.process.decode::<Request>(&message) {
                let reply = answer(&e, envelope);
                responder.reply(&e.process.encode(reply));
            }
        });
    }
}

fn answer(e: &Rc<Entry>, envelope: Envelope<Request>) -> Reply {
    match envelope.body {
        Request::Hello(gossip) => Reply::Hello(background::answer_hello(e, &gossip)),
        Request::GetIntent(have) => {
            Reply::Intent(Box::new(e.process.intent.borrow().copy_without(&have)))
        }
        Request::PutIntent(copy) => {
            let lacking = e.process.intent.borrow().missing_chunks(&copy);
            if !lacking.is_empty() {
                return Reply::Lacking(lacking);
            }
            sync::adopt(e, &copy, "peer");
            Reply::Ok
        }
        Request::Events(filter) => {
            Reply::Events(e.process.ring.borrow().select(&filter, MAX_REPLY_EVENTS))
        }
        _ => Reply::Unsupported,
    }
}
