//! Connections of callers, and of those who ask for readiness and metrics.

use super::job::{self, Job};
use super::{Gateway, call, quarantine, stream};
use crate::clock;
use crate::h1::{Inbound, Limits, ReadError};
use crate::platform;
use crate::problem::{Problem, ProblemKind};
use crate::route::Kind;
use actix_http::{Response, StatusCode};
use actix_rt::net::{TcpListener, TcpStream};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;

/// Part of the descriptors that callers may hold; the rest is for endpoints and the store.
const CALLER_SHARE: f64 = 0.45;
/// Part of the memory that held request bodies may take.
const BODY_SHARE: f64 = 0.25;
/// Time after the order to stop from which no new generation begins: it would not end in time.
const LAST_START: Duration = Duration::from_millis(2500);
/// Time after which an idle connection is closed, beyond what callers are told.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Whether a connection stays open.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Next {
    /// Another request may follow.
    Keep,
    /// The answer was the last one on this connection.
    Close,
    /// The answer is incomplete, or nobody reads it.
    Abort,
}

/// Accepts callers for as long as the process runs.
pub async fn accept_callers(gw: Rc<Gateway>, listener: TcpListener) {
    loop {
        let io = accept(&listener).await;
        let most = f64::from(gw.settings.borrow().max_sockets) * CALLER_SHARE;
        if f64::from(gw.connections.get()) >= most {
            // Reading a request only to refuse it would cost the same descriptor.
            metrics::counter!("connections_refused_total").increment(1);
            continue;
        }
        actix_rt::spawn(converse(gw.clone(), io));
    }
}

/// Accepts a connection, however long that takes.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((io, _)) => return io,
            Err(e) => {
                // Out of descriptors: those in use come back as connections end.
                log::warn!("connection not accepted: {e}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Counts a connection or request for as long as it lives.
struct Count<'a>(&'a std::cell::Cell<u32>);

impl<'a> Count<'a> {
    fn up(cell: &'a std::cell::Cell<u32>) -> Self {
        cell.set(cell.get() + 1);
        Count(cell)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn converse(gw: Rc<Gateway>, io: TcpStream) {
    let _open = Count::up(&gw.connections);
    let mut conn = Inbound::new(io, &gw.codec);
    loop {
        let limits = gw.table.borrow().as_ref().map_or_else(Limits::default, |t| t.limits);
        if conn.begin(limits.idle + IDLE_MARGIN).await.is_err() {
            return;
        }
        let _active = Count::up(&gw.active_requests);
        match exchange(&gw, &mut conn, &limits).await {
            Next::Keep => {}
            Next::Close => return conn.close().await,
            Next::Abort => return,
        }
    }
}

async fn exchange(gw: &Rc<Gateway>, conn: &mut Inbound, limits: &Limits) -> Next {
    let (req, body) = match conn.next(limits).await {
        Ok(read) => read,
        Err(e) => return reject(gw, conn, &e).await,
    };
    let now = clock::now();
    let close = gw.stopping_since.get().is_some();
    let held = Held::take(gw, body.len());
    let ask = platform::parse_request(&req);
    let id = ask.id.clone();
    let job = match held {
        Some(_) => Job::new(gw, now, req, body, ask),
        None => Err(Problem::new(ProblemKind::TooMany, "request bodies fill the memory")
            .retry(Duration::from_millis(500))),
    };
    let job =
        match job.and_then(|job| check_start(gw, job)).and_then(|job| quarantine::check(gw, job)) {
            Ok(job) => job,
            Err(problem) => {
                let sent = job::refuse(gw, conn, id.as_ref(), &problem, close).await;
                return after(conn, sent, close);
            }
        };
    match job.route.kind {
        Kind::Streaming => stream::answer(gw, conn, &job).await,
        Kind::Safe | Kind::Unsafe => call::answer(gw, conn, &job).await,
    }
}

/// Refuses what could not end before this instance does. Callers reach it so late where it is
/// all that their data centre has, or over a connection that they kept.
fn check_start(gw: &Gateway, job: Job) -> Result<Job, Problem> {
    let is_late = gw.stopping_since.get().is_some_and(|t| job.since >= t + LAST_START);
    let outlasts = gw.stop_deadline().is_some_and(|end| job.deadline > end);
    if is_late && (outlasts || job.route.kind == Kind::Streaming) {
        let problem = Problem::new(ProblemKind::Draining, "this instance is stopping");
        return Err(problem.retry(Duration::from_millis(100)));
    }
    Ok(job)
}

/// Returns what becomes of a connection after an answer.
pub fn after(conn: &Inbound, sent: std::io::Result<()>, close: bool) -> Next {
    match sent {
        Err(e) => {
            log::debug!("answer not sent: {e}");
            Next::Abort
        }
        Ok(()) if close || !conn.is_kept() => Next::Close,
        Ok(()) => Next::Keep,
    }
}

/// Request bodies held in memory.
struct Held<'a> {
    gw: &'a Gateway,
    bytes: usize,
}

impl<'a> Held<'a> {
    /// Counts a body; `None` where the memory for bodies is used up.
    fn take(gw: &'a Gateway, bytes: usize) -> Option<Self> {
        let most = f64::from(gw.settings.borrow().memory_mb) * BODY_SHARE * 1e6;
        let sum = gw.body_bytes.get() + bytes;
        if sum as f64 > most {
            return None;
        }
        gw.body_bytes.set(sum);
        Some(Held { gw, bytes })
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.gw.body_bytes.set(self.gw.body_bytes.get() - self.bytes);
    }
}

async fn reject(gw: &Gateway, conn: &mut Inbound, e: &ReadError) -> Next {
    let status = match e {
        ReadError::Closed => return Next::Abort,
        ReadError::Slow => 408,
        ReadError::Malformed(_) => 400,
        ReadError::HeadTooLarge => 431,
        ReadError::BodyTooLarge => 413,
    };
    gw.event(crate::event::Kind::TurnedAway, "-", format_args!("status={status} why={e:?}"));
    let head = platform::refusal_head(status, None, None);
    // What follows on this connection may not begin where a request begins.
    match conn.answer(head, Bytes::new(), true).await {
        Ok(()) => Next::Close,
        Err(_) => Next::Abort,
    }
}

/// Answers those who ask for readiness and metrics.
pub async fn accept_probes(gw: Rc<Gateway>, listener: TcpListener) {
    loop {
        let io = accept(&listener).await;
        actix_rt::spawn(probe(gw.clone(), io));
    }
}

async fn probe(gw: Rc<Gateway>, io: TcpStream) {
    let mut conn = Inbound::new(io, &gw.codec);
    let limits = Limits::default();
    while conn.begin(limits.idle).await.is_ok() {
        let Ok((req, _)) = conn.next(&limits).await else { return };
        let (status, body) = match req.path() {
            platform::READY_PATH if gw.is_ready() => (StatusCode::OK, Bytes::new()),
            platform::READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            "/metrics" => (StatusCode::OK, gw.metrics.render().into()),
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        };
        let sent = conn.answer(Response::with_body(status, ()), body, false).await;
        if after(&conn, sent, false) != Next::Keep {
            return;
        }
    }
}
