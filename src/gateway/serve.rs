//! Accepts and serves connections of callers, and probes for readiness and metrics.

use super::callers::CallerGuard;
use super::job::{self, Job};
use super::listeners::BoundedOpening;
use super::respond::{Disposition, disposition};
use super::{Gateway, call, explain, keep, quarantine, readiness, stream};
use crate::callers::{Listener, Load, Part};
use crate::clock;
use crate::h1::{Head, Inbound, ReadError, RequestLimits};
use crate::net::{Accept, Acceptor};
use crate::platform;
use crate::problem::Problem;
use crate::route::RouteKind;
use crate::shutdown::Phase;
use crate::startup;
use crate::task;
use actix_http::{Method, Response, StatusCode};
use actix_rt::net::TcpStream;
use bytes::Bytes;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// Time after which a caller may send a request again for which there was no memory.
const BODY_RETRY_TIME: Duration = Duration::from_millis(500);
/// Time that an idle connection stays open beyond the timeout that callers are told.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Accepts callers until this instance closes.
pub fn start_callers(gw: &Rc<Gateway>, opening: BoundedOpening) {
    let acceptor = Acceptor::new(opening, gw.recorder()).show_in(gw.callers_accepted.clone());
    let acceptor = Rc::new(Mutex::new(acceptor));
    keep(gw, "callers", move |gw| accept_callers(gw, acceptor.clone()));
}

async fn accept_callers(gw: Rc<Gateway>, acceptor: Rc<Mutex<impl Accept>>) {
    let mut acceptor = acceptor.lock().await;
    loop {
        let io = tokio::select! {
            biased;
            () = gw.stop.reached(Phase::Closing) => return,
            io = acceptor.accept() => io,
        };
        // Reading a request only to refuse it would hold the same descriptor.
        if let Some(caller) = CallerGuard::admit(&gw, Listener::Front) {
            task::spawn("connection", serve_connection(gw.clone(), io, caller));
        }
    }
}

/// Counts a connection or request until dropped.
struct CountGuard<'a>(&'a std::cell::Cell<u32>);

impl<'a> CountGuard<'a> {
    fn new(cell: &'a std::cell::Cell<u32>) -> Self {
        cell.set(cell.get() + 1);
        CountGuard(cell)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve_connection(gw: Rc<Gateway>, io: TcpStream, caller: CallerGuard) {
    let conn = Inbound::new(io, &gw.codec, caller.load.clone());
    tokio::select! {
        biased;
        () = gw.stop.reached(Phase::Stopped) => {}
        () = caller.closed() => {}
        () = serve_requests(&gw, conn, &caller) => {}
    }
}

async fn serve_requests(gw: &Rc<Gateway>, mut conn: Inbound, caller: &CallerGuard) {
    loop {
        let limits = gw.table.borrow().as_ref().map_or_else(RequestLimits::default, |t| t.limits);
        let is_readable = tokio::select! {
            // A request that is there when the instance closes is read and answered.
            biased;
            readable = conn.wait_readable(limits.idle_timeout + IDLE_MARGIN) => readable.is_ok(),
            () = gw.stop.reached(Phase::Closing) => false,
        };
        if !is_readable {
            return;
        }
        caller.arrive();
        let active = CountGuard::new(&gw.active_requests);
        let disposition = serve_request(gw, &mut conn, &limits, caller).await;
        drop(active);
        caller.end();
        match disposition {
            Disposition::Keep => {}
            Disposition::Close => return conn.close().await,
            Disposition::Abort => return,
        }
    }
}

async fn serve_request(
    gw: &Rc<Gateway>,
    conn: &mut Inbound,
    limits: &RequestLimits,
    caller: &CallerGuard,
) -> Disposition {
    let mut reserved = BodyReservation { gw, load: &caller.load, bytes: 0 };
    let reserve = |part, n| reserved.admit(part, n);
    let (req, body) = match conn.read_request(limits, || delays(gw), reserve).await {
        Ok(read) => read,
        Err(e) => return answer_read_error(gw, conn, &e).await,
    };
    caller.begin();
    let now = clock::now();
    let close = gw.stop.is_requested();
    let meta = platform::parse_request(&req);
    let id = meta.id.clone();
    if !wait_for_table(gw, conn, now, meta.timeout).await {
        return Disposition::Abort;
    }
    let job = Job::new(gw, now, req, body, meta).map(|job| job.with_load(&caller.load));
    let checked = job
        .inspect(|job| quarantine::note_request(gw, job))
        .and_then(|job| check_draining(gw, job))
        .and_then(|job| quarantine::check(gw, &job).map(|()| job));
    let job = match checked {
        Ok(job) => job,
        Err(problem) => {
            let sent = job::refuse(gw, conn, id.as_ref(), &problem, close).await;
            return disposition(conn, sent, close);
        }
    };
    match job.route.kind {
        RouteKind::Streaming => stream::answer(gw, conn, &job).await,
        RouteKind::Safe | RouteKind::Unsafe => call::answer(gw, conn, &job).await,
    }
}

/// Returns the sum of all delays of this instance so far.
fn delays(gw: &Gateway) -> Duration {
    gw.lag.borrow().total(clock::now())
}

/// Waits for the first configuration for as long as it is better for the caller than a refusal.
/// Returns `false` if the caller has disconnected.
async fn wait_for_table(
    gw: &Gateway,
    conn: &mut Inbound,
    since: Instant,
    timeout: Option<Duration>,
) -> bool {
    if gw.table.borrow().is_some() || gw.stop.is_requested() {
        return true;
    }
    let has_peers = !gw.peers.borrow().is_empty();
    let Some(end) = startup::wait_end(since, timeout, has_peers) else { return true };
    let outcome = tokio::select! {
        () = gw.table_known.notified() => "served",
        () = tokio::time::sleep_until(end.into()) => "refused",
        () = conn.closed() => "left",
    };
    metrics::counter!("configuration_waits_total", "outcome" => outcome).increment(1);
    outcome != "left"
}

/// Refuses a request that could not finish before this instance stops. Callers reach a stopping
/// instance if it is the only one in their data centre, or over a kept-alive connection.
fn check_draining(gw: &Gateway, job: Job) -> Result<Job, Problem> {
    let is_generation = job.route.kind == RouteKind::Streaming;
    if gw.stop.refuses(job.received, job.deadline, is_generation) {
        return Err(job.stop_refusal());
    }
    Ok(job)
}

/// Memory reserved for a request body, released on drop.
struct BodyReservation<'a> {
    gw: &'a Gateway,
    load: &'a Load,
    bytes: usize,
}

impl BodyReservation<'_> {
    /// Reserves memory for a part of a request; returns `false` if there is none.
    fn admit(&mut self, part: Part, bytes: usize) -> bool {
        match part {
            Part::Body => self.grow(bytes),
            _ => self.load.has_room(bytes),
        }
    }

    fn grow(&mut self, bytes: usize) -> bool {
        // While a buffer grows, there is a copy of it.
        let has_room =
            self.load.has_room(2 * bytes) && self.gw.backlog.borrow_mut().reserve_body(bytes);
        self.bytes += if has_room { bytes } else { 0 };
        self.load.set(Part::Body, 2 * self.bytes);
        has_room
    }
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        self.gw.backlog.borrow_mut().release_body(self.bytes);
    }
}

async fn answer_read_error(gw: &Gateway, conn: &mut Inbound, e: &ReadError) -> Disposition {
    let status = match e {
        ReadError::Closed => return Disposition::Abort,
        ReadError::Slow => 408,
        ReadError::Malformed(_) | ReadError::Refused(_) => 400,
        ReadError::HeadTooLarge => 431,
        ReadError::BodyTooLarge => 413,
        ReadError::NoMemory => 503,
    };
    gw.event(crate::event::Kind::TurnedAway, "-", format_args!("status={status} why={e:?}"));
    let retry = matches!(e, ReadError::NoMemory).then_some(BODY_RETRY_TIME);
    if retry.is_some() {
        metrics::counter!("bodies_refused_total").increment(1);
    }
    let head = platform::refusal_head(status, None, retry);
    // After a request that was not read to its end, the next byte may not start a request.
    match conn.send_response(head, Bytes::new(), true).await {
        Ok(()) => Disposition::Close,
        Err(_) => Disposition::Abort,
    }
}

/// Accepts connections that ask for readiness, on the address of the settings.
pub fn start_probes(gw: &Rc<Gateway>, opening: BoundedOpening) {
    let acceptor = Acceptor::new(opening, gw.recorder()).show_in(gw.probes_accepted.clone());
    keep_probes(gw, acceptor);
}

/// Accepts connections that ask for metrics, on the port of the command line.
pub fn start_metrics(gw: &Rc<Gateway>, opening: BoundedOpening) {
    keep_probes(gw, Acceptor::new(opening, gw.recorder()));
}

fn keep_probes(gw: &Rc<Gateway>, acceptor: impl Accept + 'static) {
    let acceptor = Rc::new(Mutex::new(acceptor));
    keep(gw, "probes", move |gw| accept_probes(gw, acceptor.clone()));
}

async fn accept_probes(gw: Rc<Gateway>, acceptor: Rc<Mutex<impl Accept>>) {
    let mut acceptor = acceptor.lock().await;
    loop {
        let io = tokio::select! {
            biased;
            () = gw.stop.reached(Phase::Stopped) => return,
            io = acceptor.accept() => io,
        };
        if let Some(caller) = CallerGuard::admit(&gw, Listener::Probes) {
            task::spawn("probe", serve_probes(gw.clone(), io, caller));
        }
    }
}

async fn serve_probes(gw: Rc<Gateway>, io: TcpStream, caller: CallerGuard) {
    let conn = Inbound::new(io, &gw.codec, caller.load.clone());
    tokio::select! {
        biased;
        () = gw.stop.reached(Phase::Stopped) => {}
        () = caller.closed() => {}
        () = answer_probes(&gw, conn, &caller) => {}
    }
}

async fn answer_probes(gw: &Gateway, mut conn: Inbound, caller: &CallerGuard) {
    let limits = RequestLimits { max_body: 0, ..RequestLimits::default() };
    loop {
        if conn.wait_readable(limits.idle_timeout).await.is_err() {
            return;
        }
        let Ok((req, _)) = conn.read_request(&limits, || delays(gw), |_, _| true).await else {
            return;
        };
        caller.begin();
        let (head, body) = answer_probe(gw, req);
        let sent = conn.send_response(head, body, false).await;
        if disposition(&conn, sent, false) != Disposition::Keep {
            return;
        }
        caller.end();
    }
}

/// Returns the body for an instance that is not ready. The platform reads only the status.
fn describe_readiness(gw: &Gateway, req: &Head) -> Bytes {
    match *req.method() {
        Method::HEAD => Bytes::new(),
        _ => readiness::describe(gw, clock::now()).into(),
    }
}

fn answer_probe(gw: &Gateway, req: Head) -> (Response<()>, Bytes) {
    if let Some(path) = platform::explained_path(&req) {
        return explain::answer(gw, req, &path);
    }
    let (status, body) = match req.path() {
        platform::READY_PATH if gw.is_ready() => (StatusCode::OK, Bytes::new()),
        platform::READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, describe_readiness(gw, &req)),
        "/metrics" => (StatusCode::OK, gw.metrics.render().into()),
        _ => (StatusCode::NOT_FOUND, Bytes::new()),
    };
    (Response::with_body(status, ()), body)
}
