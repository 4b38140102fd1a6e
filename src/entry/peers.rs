//! Requests from other entries.

use super::{Entry, background, sync};
use crate::frame::{Envelope, Reply, Request};
use crate::peer::Listener;
use std::rc::Rc;

/// Most events in one answer.
const EVENT_LIMIT: usize = 2000;

/// Takes requests for as long as the process runs.
pub async fn serve(e: Rc<Entry>, mut listener: Listener) {
    while let Some((message, responder)) = listener.next().await {
        if let Some(envelope) = e.process.open::<Request>(&message) {
            let reply = answer(&e, envelope);
            responder.reply(&e.process.seal(reply));
        }
    }
}

fn answer(e: &Rc<Entry>, envelope: Envelope<Request>) -> Reply {
    match envelope.body {
        Request::Hello(gossip) => Reply::Hello(background::greet(e, &gossip)),
        Request::GetIntent(have) => Reply::Intent(Box::new(e.process.intent.borrow().copy(&have))),
        Request::PutIntent(copy) => {
            let lacking = e.process.intent.borrow().lacking(&copy);
            if !lacking.is_empty() {
                return Reply::Lacking(lacking);
            }
            sync::adopt(e, &copy, "peer");
            Reply::Ok
        }
        Request::Events(filter) => {
            Reply::Events(e.process.ring.borrow().select(&filter, EVENT_LIMIT))
        }
        _ => Reply::Unsupported,
    }
}
