//! Requests of the callers of a run.

use super::checker::{CallRecord, RequestKind};
use crate::platform::{Connection, Reply, try_send};
use rand::Rng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of events of each generation and the time between them.
pub const STREAM_EVENTS: (u64, Duration) = (40, Duration::from_millis(25));
/// Part of prompts that crashes engines, once the fault of that kind is injected.
pub const CRASH_PART: &str = "dead";

/// Gateway that a request is sent to.
pub struct Target<'a> {
    /// Its number.
    pub gateway: usize,
    /// Its address for callers.
    pub front: SocketAddr,
    /// Connection of the caller that stays open between its requests.
    pub open: &'a mut Option<Connection>,
}

impl Target<'_> {
    /// Sends a request on the open connection, or else on a new one.
    fn send(&mut self, bytes: &[u8]) -> std::io::Result<Connection> {
        match self.open.take() {
            Some(mut connection) => connection.write(bytes).map(|()| connection),
            None => try_send(self.front, bytes),
        }
    }

    /// Reads the response, and keeps the connection open if it allows that.
    fn read(&mut self, mut connection: Connection) -> Reply {
        let mut reply = connection.reply();
        reply.excess = connection.has_excess();
        if reply.complete && reply.header("connection") != Some("close") {
            *self.open = Some(connection);
        }
        reply
    }
}

/// Sends a random request; some callers disconnect without reading the response.
pub fn send_request(
    mut target: Target<'_>,
    id: String,
    version: u64,
    has_crash_part: bool,
    rng: &mut SmallRng,
) -> CallRecord {
    let kind = match rng.random_range(0..4) {
        0 => RequestKind::Stream(STREAM_EVENTS.0),
        1 => RequestKind::Safe,
        _ => RequestKind::Unsafe,
    };
    let (path, extra) = match kind {
        RequestKind::Safe => ("safe", String::new()),
        RequestKind::Unsafe => ("unsafe", String::new()),
        RequestKind::Stream(_) => {
            let part = if has_crash_part { CRASH_PART } else { "b2" };
            let parts = format!("X-Prompt-Prefix: a1:40,{part}:40,{id}:20\r\n");
            ("stream", format!("X-Model: m\r\nX-Token-Counts: 100,100\r\n{parts}"))
        }
    };
    let has_crash_part = has_crash_part && matches!(kind, RequestKind::Stream(_));
    // No two requests have the same content, which would be refused for crashes as a whole.
    let length = id.len();
    let bytes = format!(
        "POST /{path}/x HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: {id}\r\n\
        Content-Length: {length}\r\nAuthorization: Bearer key-{version}\r\n\
        X-Deadline-Ms: 6000\r\n{extra}\r\n{id}"
    );
    let sent = Instant::now();
    let disconnects = rng.random_bool(0.05);
    let reply = match target.send(bytes.as_bytes()) {
        Ok(_) if disconnects => Reply::default(),
        Ok(connection) => target.read(connection),
        Err(_) => Reply::default(),
    };
    // A response that the caller did not wait for must not count as interrupted.
    let reply = if disconnects { Reply { complete: true, status: 499, ..reply } } else { reply };
    let gateway = target.gateway;
    CallRecord { id, gateway, kind, version, has_crash_part, sent, done: Instant::now(), reply }
}
