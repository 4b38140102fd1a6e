//! Endpoint of the platform whose treatment of requests, valid or faulty, is set by tests.

use super::early::EarlyAnswer;
use super::stream::{self, Run, StreamEnd};
use super::workers::{self, Server};
use super::{Request, read_request_body, read_request_head};
use crate::broken::Form;
use crate::host::free_address;
use std::collections::{HashMap, VecDeque};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Treatment of a request by an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Responds with this status and body.
    Respond(u16, String),
    /// Responds with 503 and states that the request has not run.
    NotExecuted,
    /// Responds with 503, states that the request has not run, and asks for a pause.
    Pause(Duration),
    /// Responds with 421, as an endpoint other than the one addressed does.
    Misdirected,
    /// Runs the request and closes the connection without a response.
    Reset,
    /// Closes the connection in the middle of the response body.
    TruncatedBody,
    /// Responds without a content length; the end of the connection ends the body.
    CloseDelimited(String),
    /// Responds with this status line, these headers beside its own, and this body, and closes the
    /// connection.
    Raw(&'static str, &'static str, &'static str),
    /// Responds with this body and then sends a second response that nothing asked for.
    ExtraResponse(String),
    /// Responds with the id and the seal of another request.
    WrongId,
    /// Runs the request and sends the refusal of an earlier one, with this status.
    StaleRefusal(u16),
    /// Runs the request and closes the connection after this many bytes of the response's head.
    TruncatedHead(usize),
    /// Responds without the seal.
    Unsealed,
    /// Responds with 413, after the whole request has been read.
    ContentTooLarge,
    /// Sends no response and waits until the caller closes the connection.
    Hang,
    /// Streams events up to this index, at this interval.
    Stream(u64, Duration),
    /// Like `Stream`, in a response that ends with its connection.
    UnframedStream(u64, Duration),
    /// Like `Stream`, with these events.
    TextStream(&'static [&'static str], Duration),
    /// Responds with the id of the request as the body.
    EchoId,
    /// Runs the request, breaks off all responses, and refuses connections for this time.
    Crash(Duration),
    /// Like `Stream`, with events that name their request and run. A continued run keeps its name.
    TaggedStream(u64, Duration),
    /// Like `Stream`, with this many bytes in each event. Breaks off if the stream is unread for
    /// [`UNREAD_TIMEOUT`].
    WideStream(u64, Duration, usize),
    /// Streams this many events and closes the connection in the middle of the next.
    TruncatedStream(u64),
    /// Streams this many events and then these bytes, and ends the response in this way.
    EndingStream(StreamEnd, u64, &'static str),
    /// Streams events up to this index that name their request and run, and then at most this many
    /// bytes of the next, and ends the response in this way. A continued run keeps its name.
    CutStream(StreamEnd, u64, usize),
    /// Sends bytes that never make up a response until the caller closes the connection.
    Endless(EndlessPart),
    /// Responds while the request is still arriving.
    Early(EarlyAnswer),
}

/// Part of a response that does not end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EndlessPart {
    /// Header lines.
    Head,
    /// A single header line.
    HeaderLine,
    /// Interim responses before the final one.
    Interim,
    /// Chunks of a body.
    Body,
    /// A body that would end with the connection.
    UnframedBody,
    /// The body of a server error, of a stated length.
    ErrorBody,
    /// The extension of a chunk.
    ChunkExtension,
    /// An event of a stream.
    Event,
    /// Comment lines of a stream.
    Comments,
}

impl EndlessPart {
    /// Returns the bytes before the endless part, and those that repeat in it.
    fn bytes(self, sealed_headers: &str) -> (String, &'static str) {
        let ok = "HTTP/1.1 200 X\r\n";
        let chunked = format!("{ok}{sealed_headers}Transfer-Encoding: chunked\r\n");
        let stream = format!("{chunked}Content-Type: text/event-stream\r\n\r\n");
        match self {
            EndlessPart::Head => (ok.into(), "X-Filler: filler filler filler\r\n"),
            EndlessPart::HeaderLine => (format!("{ok}X-Filler: "), "filler filler filler "),
            EndlessPart::Interim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
            EndlessPart::Body => (format!("{chunked}\r\n"), "10\r\nfiller filler fi\r\n"),
            EndlessPart::ErrorBody => (
                format!("HTTP/1.1 500 X\r\n{sealed_headers}Content-Length: 999999999\r\n\r\n"),
                "filler filler filler ",
            ),
            EndlessPart::UnframedBody => {
                (format!("{ok}{sealed_headers}Connection: close\r\n\r\n"), "filler filler filler ")
            }
            EndlessPart::ChunkExtension => (format!("{chunked}\r\n10;"), "filler=filler;filler"),
            EndlessPart::Event => (stream, "10\r\ndata: filler fil\r\n"),
            EndlessPart::Comments => (stream, "10\r\n: filler fille\n\n\r\n"),
        }
    }
}

/// How far the response to a request is that crashes an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum CrashPoint {
    /// Nothing has been sent.
    Start,
    /// The head has been sent.
    #[default]
    Head,
    /// All of it has been sent.
    End,
    /// The head and an event have been sent, of a response that ends with its connection.
    UnframedEvent,
}

/// What becomes of connections to the address of an endpoint that has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum DownMode {
    /// They are refused.
    #[default]
    Refuse,
    /// They are closed after this time.
    Close(Duration),
    /// They stay open without a response.
    Silent,
}

/// Request that reached an endpoint.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Request as received.
    pub req: Request,
    /// Time at which the endpoint had read all of it.
    pub at: Instant,
    /// Whether the endpoint ran the request.
    pub ran: bool,
    /// Pause that the endpoint asked for in its response.
    pub pause: Option<Duration>,
    /// Set once the caller has closed the connection of a request that hangs or streams.
    pub closed: Arc<AtomicBool>,
}

/// Copy of a generation's memory to another endpoint.
#[derive(Debug, Clone)]
pub struct MemoryCopy {
    /// Body of the request.
    pub request: String,
    /// When the copy started.
    pub started: Instant,
    /// When it ended.
    pub ended: Instant,
}

/// Answer to the control calls to a target with a part in their body.
#[derive(Debug, Clone)]
struct ControlFault {
    target: &'static str,
    part: &'static str,
    form: Form,
    status: u16,
}

#[derive(Debug)]
struct State {
    /// Actions for the next requests.
    actions: Mutex<VecDeque<Action>>,
    /// Action for requests without one in the queue.
    default_action: Action,
    received: Mutex<Vec<ReceivedRequest>>,
    /// Generations that run here, by request id.
    runs: Mutex<HashMap<String, Arc<Run>>>,
    /// Requests to copy the memory of a generation.
    copies: Mutex<Vec<MemoryCopy>>,
    /// Time that each copy takes, except a last one.
    copy_time: Mutex<Duration>,
    /// Handle of the memory of all generations, instead of the names of their runs.
    handle: Mutex<Option<String>>,
    /// Whether last copies find no memory at their target.
    refuses_last: AtomicBool,
    /// Whether the run of a last copy ends before it, as if it had ended or been lost.
    loses_last: AtomicBool,
    /// Handles of the copies that were freed.
    freed: Mutex<Vec<String>>,
    /// Number of coming reports that give the state as draining.
    draining_reports: AtomicU32,
    /// Body of the reports, instead of its own.
    report: Mutex<Option<String>>,
    /// Answer to some control calls, instead of its own.
    fault: Mutex<Option<ControlFault>>,
    /// Number of reports sent.
    reports: AtomicU32,
    /// Headers beside the usual ones in all responses to requests.
    extra_headers: Mutex<String>,
    /// Address that the endpoint listens on.
    address: SocketAddr,
    /// Replaced after a crash.
    listener: Mutex<Arc<TcpListener>>,
    /// Time until which connections are refused.
    down_until: Mutex<Option<Instant>>,
    /// Part of a prompt that crashes the endpoint, and how long it is down then.
    crash_part: Mutex<Option<(String, Duration)>>,
    /// How far the response to a request with that part is at the crash.
    crash_point: Mutex<CrashPoint>,
    /// What becomes of connections while the endpoint is down.
    down_mode: Mutex<DownMode>,
    /// Connections accepted while it is down that stay open.
    held: Mutex<Vec<TcpStream>>,
    /// Target of a request that crashes the endpoint, and how long it is down then.
    crash_target: Mutex<Option<(String, Duration)>>,
    /// Number of crashes after which the endpoint serves again.
    restarts: Arc<AtomicU32>,
    /// Connections accepted since the last crash.
    connections: Mutex<Vec<TcpStream>>,
    is_stopped: AtomicBool,
}

/// Time after which an endpoint breaks off a stream that is not read.
pub const UNREAD_TIMEOUT: Duration = Duration::from_secs(4);
/// Time from a request, or the head of its response, to the crash of an endpoint.
const CRASH_DELAY: Duration = Duration::from_millis(60);

impl State {
    /// Returns how long the endpoint is still down; `None` if it is not.
    fn down_time(&self) -> Option<Duration> {
        let until = (*self.down_until.lock().ok()?)?;
        Some(until.saturating_duration_since(Instant::now())).filter(|d| !d.is_zero())
    }

    /// Breaks off all responses, and takes no connections for this time.
    fn crash(&self, down: Duration) -> Option<()> {
        *self.down_until.lock().ok()? = Some(Instant::now() + down);
        if *self.down_mode.lock().ok()? == DownMode::Refuse {
            workers::close(&*self.listener.lock().ok()?);
        }
        for io in self.connections.lock().ok()?.drain(..) {
            // A connection that has ended is closed already.
            let _ = io.shutdown(Shutdown::Both);
        }
        None
    }

    /// Ends the threads that wait for connections.
    fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        if let Ok(listener) = self.listener.lock() {
            workers::close(&listener);
        }
    }

    /// Listens again once the endpoint is no longer down, unless it has stopped or another thread has done so since
    /// `closed` was closed.
    fn restart(&self, closed: &Arc<TcpListener>) {
        while let Some(time) = self.down_time() {
            std::thread::sleep(time);
        }
        let mut listener = self.listener.lock().expect("no holder panics");
        if Arc::ptr_eq(&listener, closed) && !self.is_stopped.load(Ordering::SeqCst) {
            let opened = workers::listen(self.address);
            *listener = Arc::new(opened.expect("cannot listen again after a crash"));
            self.restarts.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Records an accepted connection, to be broken off by a crash; returns `false` if the endpoint
    /// is down.
    fn record_connection(&self, io: &TcpStream) -> bool {
        let mut connections = self.connections.lock().expect("no holder panics");
        let is_up = self.down_time().is_none();
        connections.extend(io.try_clone().into_iter().filter(|_| is_up));
        is_up
    }

    /// Forgets a recorded connection that has ended, and frees its descriptor.
    fn forget_connection(&self, peer: SocketAddr) {
        let mut connections = self.connections.lock().expect("no holder panics");
        // One without a peer has been reset.
        connections.retain(|io| io.peer_addr().is_ok_and(|p| p != peer));
    }

    /// Treats a connection that was accepted while the endpoint is down.
    fn turn_away(&self, io: TcpStream) {
        match *self.down_mode.lock().expect("no holder panics") {
            DownMode::Refuse => {}
            DownMode::Close(delay) => {
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    drop(io);
                });
            }
            DownMode::Silent => self.held.lock().expect("no holder panics").push(io),
        }
    }

    /// Returns how long the endpoint is down after it has begun to answer the request; `None` if
    /// the request does not crash it.
    fn crash_time(&self, req: &Request) -> Option<Duration> {
        let (part, down) = self.crash_part.lock().ok()?.clone()?;
        let mut parts = req.header("x-prompt-prefix")?.split(',');
        parts.any(|p| p.split(':').next() == Some(&part)).then_some(down)
    }

    /// Returns the action of a request that is answered before its body is read; `None` if the
    /// request has another one.
    fn take_early(&self, req: &Request) -> Option<EarlyAnswer> {
        let is_own = ["/report", "/healthz", "/kv-"].iter().any(|p| req.target.starts_with(p));
        let mut actions = self.actions.lock().ok()?;
        let next = actions.front().unwrap_or(&self.default_action);
        let Action::Early(answer) = next.clone() else { return None };
        if is_own {
            return None;
        }
        actions.pop_front();
        Some(answer)
    }

    /// Returns the form and the status of the answer to a control call that tests have set.
    fn fault(&self, req: &Request) -> Option<(Form, u16)> {
        let fault = self.fault.lock().ok()?.clone()?;
        let has_part = String::from_utf8_lossy(&req.body).contains(fault.part);
        (req.target.starts_with(fault.target) && has_part).then_some((fault.form, fault.status))
    }

    /// Records a request whose body is not read.
    fn record_early(&self, req: &Request) {
        let (req, at, closed) = (req.clone(), Instant::now(), Arc::default());
        let received = ReceivedRequest { req, at, ran: true, pause: None, closed };
        self.received.lock().expect("no holder panics").push(received);
    }

    /// Returns how long the endpoint is down after it has received the request; `None` if the
    /// request does not crash it.
    fn target_crash_time(&self, req: &Request) -> Option<Duration> {
        let (target, down) = self.crash_target.lock().ok()?.clone()?;
        (req.target == target).then_some(down)
    }
}

/// Running endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Id under which tests list it in the store.
    pub id: String,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.state.stop();
    }
}

impl Endpoint {
    /// Starts an endpoint with the action for requests without one of their own.
    pub fn start(id: &str, default_action: Action) -> Endpoint {
        let address = free_address();
        let listener = workers::listen(address).expect("cannot listen on the free address");
        let state = Arc::new(State {
            actions: Mutex::default(),
            default_action,
            received: Mutex::default(),
            runs: Mutex::default(),
            copies: Mutex::default(),
            copy_time: Mutex::default(),
            handle: Mutex::default(),
            refuses_last: AtomicBool::new(false),
            loses_last: AtomicBool::new(false),
            freed: Mutex::default(),
            draining_reports: AtomicU32::new(0),
            report: Mutex::default(),
            fault: Mutex::default(),
            reports: AtomicU32::new(0),
            extra_headers: Mutex::default(),
            address,
            listener: Mutex::new(Arc::new(listener)),
            down_until: Mutex::default(),
            crash_part: Mutex::default(),
            crash_point: Mutex::default(),
            down_mode: Mutex::default(),
            held: Mutex::default(),
            crash_target: Mutex::default(),
            restarts: Arc::default(),
            connections: Mutex::default(),
            is_stopped: AtomicBool::new(false),
        });
        workers::start(state.clone());
        Endpoint { id: id.to_owned(), address, state }
    }

    /// Reports the state as draining from now on.
    pub fn start_draining(&self) {
        self.report_draining(u32::MAX);
    }

    /// Reports the state as draining to the next `n` callers.
    pub fn report_draining(&self, n: u32) {
        self.state.draining_reports.store(n, Ordering::SeqCst);
    }

    /// Answers with this body when it is asked for its report.
    pub fn set_report(&self, body: &str) {
        *self.state.report.lock().expect("no holder panics") = Some(body.to_owned());
    }

    /// Carries out the control calls to this target with this part in their body, and answers them in
    /// this form and with this status.
    pub fn set_control_answer(
        &self,
        target: &'static str,
        part: &'static str,
        form: Form,
        status: u16,
    ) {
        let fault = ControlFault { target, part, form, status };
        *self.state.fault.lock().expect("no holder panics") = Some(fault);
    }

    /// Returns how often the endpoint was asked for its report.
    pub fn report_count(&self) -> u32 {
        self.state.reports.load(Ordering::SeqCst)
    }

    /// Adds header lines, each with its line ending, to all responses to requests from now on.
    pub fn set_headers(&self, headers: &str) {
        *self.state.extra_headers.lock().expect("no holder panics") = headers.to_owned();
    }

    /// Returns a function that sets these header lines, for another thread.
    pub fn header_setter(&self) -> impl Fn(&str) + Send + 'static {
        let state = self.state.clone();
        move |headers| {
            *state.extra_headers.lock().expect("no holder panics") = headers.to_owned();
        }
    }

    /// Crashes, for this time, whenever the endpoint begins to answer a request whose prompt has
    /// this part.
    pub fn crash_on_part(&self, part: &str, down: Duration) {
        let crash = Some((part.to_owned(), down));
        *self.state.crash_part.lock().expect("no holder panics") = crash;
    }

    /// Sets how far the response to a request that crashes the endpoint is then, and what becomes of
    /// connections to its address while it is down.
    pub fn set_crash_form(&self, point: CrashPoint, mode: DownMode) {
        *self.state.crash_point.lock().expect("no holder panics") = point;
        *self.state.down_mode.lock().expect("no holder panics") = mode;
    }

    /// Crashes, for this time, whenever the endpoint receives a request with this path and query.
    pub fn crash_on_target(&self, target: &str, down: Duration) {
        let crash = Some((target.to_owned(), down));
        *self.state.crash_target.lock().expect("no holder panics") = crash;
    }

    /// Crashes: breaks off all responses, and refuses connections for this time.
    pub fn crash(&self, down: Duration) {
        self.state.crash(down);
    }

    /// Returns the number of crashes after which the endpoint serves again, updated as it does.
    pub fn restarts(&self) -> Arc<AtomicU32> {
        self.state.restarts.clone()
    }

    /// Queues an action; each request takes the first one in the queue.
    pub fn push_action(&self, action: Action) {
        self.state.actions.lock().expect("no holder panics").push_back(action);
    }

    /// Drops the actions that no request has taken.
    pub fn clear_actions(&self) {
        self.state.actions.lock().expect("no holder panics").clear();
    }

    /// Returns the requests received so far, without reports and copies of memory.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state.received.lock().expect("no holder panics").clone()
    }

    /// Returns the number of requests that the endpoint ran.
    pub fn run_count(&self) -> usize {
        self.received().iter().filter(|r| r.ran).count()
    }

    /// Returns the bodies of the requests to copy the memory of a generation.
    pub fn copy_requests(&self) -> Vec<String> {
        self.copies().into_iter().map(|c| c.request).collect()
    }

    /// Returns the copies made so far, in the order in which they ended.
    pub fn copies(&self) -> Vec<MemoryCopy> {
        self.state.copies.lock().expect("no holder panics").clone()
    }

    /// Makes last copies find no memory at their target, so that generations stay.
    pub fn refuse_last_copies(&self) {
        self.state.refuses_last.store(true, Ordering::SeqCst);
    }

    /// Ends the runs of which a last copy is requested, and denies that they exist.
    pub fn lose_runs_at_last_copies(&self) {
        self.state.loses_last.store(true, Ordering::SeqCst);
    }

    /// Names the memory of generations by this handle.
    pub fn set_handle(&self, handle: &str) {
        *self.state.handle.lock().expect("no holder panics") = Some(handle.to_owned());
    }

    /// Returns the handles of the copies that were freed, as they stand in the paths.
    pub fn freed_copies(&self) -> Vec<String> {
        self.state.freed.lock().expect("no holder panics").clone()
    }

    /// Sets the time that each copy takes, except a last one.
    pub fn set_copy_time(&self, time: Duration) {
        *self.state.copy_time.lock().expect("no holder panics") = time;
    }

    /// Returns the value of the endpoint's key in the store.
    pub fn listing(&self, service: &str, state: &str) -> String {
        Endpoint::listing_at(self.address, service, state)
    }

    /// Returns a listing with another address, such as that of a proxy.
    pub fn listing_at(address: SocketAddr, service: &str, state: &str) -> String {
        Endpoint::listing_of_start(address, service, state, 0)
    }

    /// Returns a listing of the endpoint after a number of restarts.
    pub fn listing_of_start(
        address: SocketAddr,
        service: &str,
        state: &str,
        restarts: u32,
    ) -> String {
        let born = 7 + restarts;
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"z-a","version":"v1","slots":8,
            "state":"{state}","cold_remaining_ms":0,"sequence":4,"born":{born}}}"#,
            address
        )
    }
}

impl Server for State {
    /// Waits for the next connection. None is accepted while the endpoint is down.
    fn accept(&self) -> Option<TcpStream> {
        while !self.is_stopped.load(Ordering::SeqCst) {
            let listener = self.listener.lock().expect("no holder panics").clone();
            match workers::accept(&listener) {
                Ok(io) if self.record_connection(&io) => return Some(io),
                Ok(io) => self.turn_away(io),
                Err(_) => self.restart(&listener),
            }
        }
        None
    }

    fn serve(&self, io: TcpStream) {
        let peer = io.peer_addr();
        serve(self, io);
        if let Ok(peer) = peer {
            self.forget_connection(peer);
        }
    }
}

fn serve(state: &State, io: TcpStream) {
    let Ok(mut writer) = io.try_clone() else { return };
    let mut reader = BufReader::new(io);
    while let Some(mut req) = read_request_head(&mut reader) {
        if let Some(answer) = state.take_early(&req) {
            state.record_early(&req);
            let _ = answer.send(&mut reader, &mut writer, &req);
            return;
        }
        if read_request_body(&mut reader, &mut req).is_none() {
            return;
        }
        let control = match req.target.as_str() {
            "/kv-move" => Some(copy_memory(state, &req)),
            "/report" => Some(report(state)),
            "/healthz" => Some(Some((200, String::new()))),
            t if t.starts_with("/kv-handle/") => Some(free_copy(state, &req)),
            _ => None,
        };
        if let (Some(Some((_, body))), Some((form, status))) = (&control, state.fault(&req)) {
            let _ = form.send(&mut writer, status, body);
            return;
        }
        let result = match control {
            Some(answer) => {
                answer.and_then(|(status, body)| respond(&mut writer, "", status, &body))
            }
            None => perform_action(state, req, &mut writer),
        };
        if result.is_none() {
            let _ = writer.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Returns the status and the body of a report.
fn report(state: &State) -> Option<(u16, String)> {
    state.reports.fetch_add(1, Ordering::SeqCst);
    if let Some(body) = &*state.report.lock().ok()? {
        return Some((200, body.clone()));
    }
    let left = |n: u32| n.checked_sub(1);
    let reports = &state.draining_reports;
    let is_draining = reports.fetch_update(Ordering::SeqCst, Ordering::SeqCst, left).is_ok();
    let body = if is_draining {
        r#"{"leaves_ms":2000,"state":"draining"}"#
    } else {
        r#"{"state":"ready"}"#
    };
    Some((200, body.to_owned()))
}

fn free_copy(state: &State, req: &Request) -> Option<(u16, String)> {
    let handle = req.target.trim_start_matches("/kv-handle/").to_owned();
    state.freed.lock().ok()?.push(handle);
    Some((200, "{}".to_owned()))
}

fn copy_memory(state: &State, req: &Request) -> Option<(u16, String)> {
    let body: serde_json::Value = serde_json::from_slice(&req.body).ok()?;
    let id = body["id"].as_str().unwrap_or("");
    let Some(run) = state.runs.lock().ok()?.get(id).cloned() else {
        return Some((404, "{}".to_owned()));
    };
    if body["last"] == true && state.loses_last.load(Ordering::SeqCst) {
        run.stop();
        return Some((404, "{}".to_owned()));
    }
    let started = Instant::now();
    if body["last"] == true && state.refuses_last.load(Ordering::SeqCst) {
        return Some((503, "{}".to_owned()));
    }
    if body["last"] == true {
        run.stop();
        std::thread::sleep(Duration::from_millis(20));
    } else {
        let time = *state.copy_time.lock().ok()?;
        std::thread::sleep(time);
    }
    let copy = MemoryCopy { request: body.to_string(), started, ended: Instant::now() };
    state.copies.lock().ok()?.push(copy);
    let handle = state.handle.lock().ok()?.clone().unwrap_or_else(|| run.tag.clone());
    Some((200, serde_json::json!({ "handle": handle, "created": 1 }).to_string()))
}

fn respond(writer: &mut TcpStream, headers: &str, status: u16, body: &str) -> Option<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    writer.write_all(text.as_bytes()).ok()
}

/// Performs the next action for a request; `None` closes the connection.
fn perform_action(state: &State, req: Request, writer: &mut TcpStream) -> Option<()> {
    let action =
        state.actions.lock().ok()?.pop_front().unwrap_or_else(|| state.default_action.clone());
    let id = req.header("x-attempt-id").unwrap_or("").to_owned();
    let ran = !matches!(action, Action::NotExecuted | Action::Misdirected | Action::Pause(_));
    let pause = if let Action::Pause(time) = action { Some(time) } else { None };
    let closed = Arc::new(AtomicBool::new(false));
    let (crash_time, target_crash) = (state.crash_time(&req), state.target_crash_time(&req));
    let continued =
        req.header("kv-from").and_then(|v| v.rsplit_once('/')).map(|(_, tag)| tag.to_owned());
    let last = req.header("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
    state.received.lock().ok()?.push(ReceivedRequest {
        req,
        at: Instant::now(),
        ran,
        pause,
        closed: closed.clone(),
    });
    let extra = state.extra_headers.lock().ok()?.clone();
    let id_header = format!("X-Attempt-Id: {id}\r\n{extra}");
    let sealed_headers = format!("{id_header}X-Replica-Seal: s.{id}\r\nX-Replica-Load: 1,0,8\r\n");
    if let Some(down) = target_crash {
        std::thread::sleep(CRASH_DELAY);
        return state.crash(down);
    }
    if let Some(down) = crash_time {
        let point = *state.crash_point.lock().ok()?;
        stream::write_until(writer, &sealed_headers, point)?;
        std::thread::sleep(CRASH_DELAY);
        return state.crash(down);
    }
    match action {
        Action::Respond(status, body) => respond(writer, &sealed_headers, status, &body),
        Action::NotExecuted => {
            respond(writer, &format!("{id_header}X-Not-Executed: 1\r\n"), 503, "")
        }
        Action::Pause(time) => {
            let pause = format!("X-Not-Executed: 1\r\nRetry-After: {}\r\n", time.as_secs_f64());
            respond(writer, &(id_header + &pause), 503, "")
        }
        Action::Misdirected => respond(writer, &id_header, 421, ""),
        Action::Reset => None,
        Action::TruncatedBody => {
            let text =
                format!("HTTP/1.1 200 X\r\n{sealed_headers}Content-Length: 100\r\n\r\nhalf of it");
            writer.write_all(text.as_bytes()).ok()?;
            None
        }
        Action::CloseDelimited(body) => {
            let text = format!("HTTP/1.1 200 X\r\n{sealed_headers}Connection: close\r\n\r\n{body}");
            writer.write_all(text.as_bytes()).ok()?;
            None
        }
        Action::Raw(status, headers, body) => {
            let text = format!("{status}\r\n{sealed_headers}{headers}\r\n{body}");
            writer.write_all(text.as_bytes()).ok()?;
            None
        }
        Action::ExtraResponse(body) => {
            respond(writer, &sealed_headers, 200, &body)?;
            respond(writer, "X-Attempt-Id: other\r\nX-Replica-Seal: s.other\r\n", 200, "stray")
        }
        Action::WrongId => {
            let headers = format!("X-Attempt-Id: other\r\nX-Replica-Seal: s.other\r\n{extra}");
            respond(writer, &headers, 200, "stray")
        }
        Action::StaleRefusal(status) => {
            let headers = "X-Attempt-Id: earlier\r\nX-Not-Executed: 1\r\nRetry-After: 1\r\n";
            respond(writer, headers, status, "")
        }
        Action::TruncatedHead(n) => {
            let text = format!("HTTP/1.1 200 X\r\n{sealed_headers}Content-Length: 0\r\n\r\n");
            writer.write_all(&text.as_bytes()[..n.min(text.len() - 1)]).ok()?;
            None
        }
        Action::Unsealed => respond(writer, &id_header, 200, "forged"),
        Action::ContentTooLarge => respond(writer, &sealed_headers, 413, "too long"),
        Action::Hang => wait_for_close(writer, &closed),
        Action::Crash(time) => state.crash(time),
        Action::EchoId => respond(writer, &sealed_headers, 200, &id),
        Action::Endless(part) => {
            let (start, repeated) = part.bytes(&sealed_headers);
            writer.write_all(start.as_bytes()).ok()?;
            let block = repeated.repeat(200);
            while writer.write_all(block.as_bytes()).is_ok() {}
            closed.store(true, Ordering::SeqCst);
            None
        }
        _ => {
            let stream = StreamRequest { id: &id, continued, last, headers: &sealed_headers };
            perform_stream(state, action, &stream, writer, &closed)
        }
    }
}

/// What a request for a generation asks for.
struct StreamRequest<'a> {
    id: &'a str,
    /// Name of the run that it continues.
    continued: Option<String>,
    /// Last event that the caller has.
    last: u64,
    /// Headers of the response.
    headers: &'a str,
}

/// Performs an action that streams events; `None` closes the connection.
fn perform_stream(
    state: &State,
    action: Action,
    request: &StreamRequest<'_>,
    writer: &mut TcpStream,
    closed: &AtomicBool,
) -> Option<()> {
    let (id, last, headers) = (request.id, request.last, request.headers);
    let continued = request.continued.clone();
    let mut texts = None;
    let (tag, end, n, interval) = match action {
        Action::TextStream(all, interval) => {
            texts = Some(all);
            ("token".into(), StreamEnd::Chunked, all.len() as u64, interval)
        }
        Action::Stream(n, interval) => ("token".into(), StreamEnd::Chunked, n, interval),
        Action::UnframedStream(n, interval) => ("token".into(), StreamEnd::Close, n, interval),
        Action::TaggedStream(n, interval) => (stream::run_tag(id), StreamEnd::Chunked, n, interval),
        Action::WideStream(n, interval, bytes) => {
            writer.set_write_timeout(Some(UNREAD_TIMEOUT)).ok()?;
            ("x".repeat(bytes), StreamEnd::Chunked, n, interval)
        }
        Action::EndingStream(end, n, rest) => {
            return stream::end_stream(
                writer,
                headers,
                end,
                &(stream::events("token", 0..n) + rest),
            );
        }
        Action::CutStream(end, n, bytes) => {
            let tag = continued.unwrap_or_else(|| stream::run_tag(id));
            let n = n.max(last);
            let next = stream::events(&tag, n..n + 1);
            let cut = &next[..bytes.min(next.len() - 1)];
            return stream::end_stream(
                writer,
                headers,
                end,
                &(stream::events(&tag, last..n) + cut),
            );
        }
        Action::TruncatedStream(n) => return stream::truncate_stream(writer, headers, n),
        _ => return None,
    };
    let tag = continued.unwrap_or(tag);
    let run = texts.map_or_else(|| Run::new(tag.clone()), |all| Run::of_texts(tag.clone(), all));
    let run = start_run(state, id, run)?;
    let result = stream::write_events(writer, headers, end, &run, last..n, interval, closed);
    finish_run(state, id, result)
}

fn wait_for_close(writer: &mut TcpStream, closed: &AtomicBool) -> Option<()> {
    let mut byte = [0];
    let _ = writer.read(&mut byte);
    closed.store(true, Ordering::SeqCst);
    None
}

fn start_run(state: &State, id: &str, run: Run) -> Option<Arc<Run>> {
    let run = Arc::new(run);
    state.runs.lock().ok()?.insert(id.to_owned(), run.clone());
    Some(run)
}

fn finish_run(state: &State, id: &str, result: Option<()>) -> Option<()> {
    state.runs.lock().ok()?.remove(id);
    result
}
