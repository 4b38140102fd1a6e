//! Responses to callers that read slowly.

use super::Gateway;
use super::attempt::EndpointResponse;
use super::respond::{Disposition, disposition};
use crate::backlog::{Flow, HeldKey};
use crate::clock;
use crate::event::Kind;
use crate::h1::Inbound;
use crate::platform;
use actix_http::body::BodySize;
use bytes::Bytes;
use std::rc::Rc;
use tokio::sync::Notify;

/// A response that is held for its caller, counted in the backlog until dropped.
pub struct Holder {
    gw: Rc<Gateway>,
    key: HeldKey,
    /// Notified when the backlog has decided anew.
    changed: Rc<Notify>,
    /// Request id, for the log.
    id: Box<str>,
}

impl Holder {
    /// Adds the response to a request with this id to the backlog.
    pub fn new(gw: &Rc<Gateway>, id: &str) -> Self {
        let key = gw.backlog.borrow_mut().join(clock::now());
        let changed = Rc::new(Notify::new());
        gw.unread.borrow_mut().insert(key, changed.clone());
        Holder { gw: gw.clone(), key, changed, id: id.into() }
    }

    /// Records what is held, after the caller has taken `sent` bytes. `partial` bytes cannot be sent
    /// yet.
    pub fn update(&self, conn: &Inbound, partial: usize, sent: usize) {
        let mut backlog = self.gw.backlog.borrow_mut();
        backlog.update(clock::now(), self.key, conn.unsent(), partial, sent > 0);
    }

    /// Returns how the response goes on, and records that its caller is dropped.
    pub fn flow(&self) -> Flow {
        let flow = self.gw.backlog.borrow_mut().flow(clock::now(), self.key);
        if flow == Flow::Drop {
            let backlog = self.gw.backlog.borrow();
            let (responses, bodies) = (backlog.responses(), backlog.bodies());
            let (own, limit) = (backlog.held(self.key), backlog.limit());
            let detail = format!("held={own} responses={responses} bodies={bodies} limit={limit}");
            self.gw.event(Kind::SlowReader, &self.id, detail);
            metrics::counter!("slow_readers_dropped_total").increment(1);
        }
        flow
    }

    /// Waits until the backlog has decided anew.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Sends the rest of a response that is complete. Returns an error if its caller is gone or has
    /// been dropped.
    pub async fn send_rest(&self, conn: &mut Inbound) -> std::io::Result<()> {
        loop {
            self.update(conn, 0, 0);
            if conn.unsent() == 0 {
                return conn.end_body();
            }
            if self.flow() == Flow::Drop {
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            tokio::select! {
                sent = conn.send_some() => self.update(conn, 0, sent?),
                () = self.changed() => {}
            }
        }
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        self.gw.backlog.borrow_mut().leave(self.key);
        self.gw.unread.borrow_mut().remove(self.key);
    }
}

/// Sends the whole response of an endpoint, which is held for as long as the caller reads it.
pub async fn respond(
    gw: &Rc<Gateway>,
    conn: &mut Inbound,
    id: &str,
    response: &EndpointResponse,
    body: Bytes,
    close: bool,
) -> Disposition {
    let head = platform::response_head(&response.head);
    let size = response.out.stated_size().unwrap_or(BodySize::Sized(body.len() as u64));
    let mut sent = conn.queue_response(head, size, body, close);
    if sent.is_ok() && conn.unsent() > 0 {
        sent = Holder::new(gw, id).send_rest(conn).await;
    }
    disposition(conn, sent, close)
}

/// Wakes the responses for which the backlog has decided anew.
pub fn step(gw: &Gateway) {
    let mut backlog = gw.backlog.borrow_mut();
    backlog.set_memory(gw.settings.borrow().memory_bytes());
    let due = backlog.step(clock::now());
    metrics::gauge!("backlog_bytes", "of" => "responses").set(backlog.responses() as f64);
    metrics::gauge!("backlog_bytes", "of" => "bodies").set(backlog.bodies() as f64);
    metrics::gauge!("held_endpoints").set(backlog.held_endpoints() as f64);
    let unread = gw.unread.borrow();
    due.into_iter().filter_map(|key| unread.get(key)).for_each(|n| n.notify_one());
}
