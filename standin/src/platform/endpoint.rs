//! An endpoint of the platform that behaves as a test tells it, badly too.

use super::{Request, read_request};
use crate::host::free_address;
use std::collections::{HashMap, VecDeque};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What it does with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answers with this status and body.
    Respond(u16, String),
    /// Says that it has not run the request.
    NotExecuted,
    /// Says that it is another endpoint.
    Misdirected,
    /// Runs the request and closes the connection without an answer.
    Reset,
    /// Breaks off in the middle of the body.
    TruncatedBody,
    /// Answers without a length; the end of the connection ends the body.
    CloseDelimited(String),
    /// Sends a second answer after the first.
    ExtraResponse(String),
    /// Answers with the id of another request.
    WrongId,
    /// Answers without its seal.
    Unsealed,
    /// Answers before it has read the body, which it reads later.
    ContentTooLarge,
    /// Never answers.
    Hang,
    /// Streams so many events with a pause between them.
    Stream(u64, Duration),
    /// Answers with the id of the request as its body.
    EchoId,
    /// Runs the request, breaks off and takes no connection for a while.
    Crash(Duration),
    /// Streams so many events that name the request and the run they are from.
    TaggedStream(u64, Duration),
    /// Streams so many events and then breaks off in the middle of the next.
    TruncatedStream(u64),
}

/// A request that reached it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// The request.
    pub req: Request,
    /// When it came.
    pub at: Instant,
    /// Tells that it worked on the request.
    pub ran: bool,
    /// Set once the caller has closed the connection of a request that hangs or streams.
    pub closed: Arc<AtomicBool>,
}

#[derive(Debug)]
struct State {
    acts: Mutex<VecDeque<Action>>,
    usual: Action,
    seen: Mutex<Vec<ReceivedRequest>>,
    /// Generations that run here, by the id of their request.
    runs: Mutex<HashMap<String, Arc<Run>>>,
    /// Bodies of the calls that moved memory.
    moves: Mutex<Vec<String>>,
    /// Tells that it is leaving.
    leaving: AtomicBool,
    /// Time until which it takes no connection.
    down: Mutex<Option<Instant>>,
}

/// One run of a generation, wherever it goes on.
#[derive(Debug)]
struct Run {
    /// Names the run; the handle of its memory.
    tag: String,
    /// Set by a last copy: the stream stops without its end.
    stopped: AtomicBool,
}

/// A running endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Name in the store.
    pub id: String,
    /// Address it listens on.
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Endpoint {
    /// Starts an endpoint that does the same with each request unless told otherwise.
    pub fn start(id: &str, usual: Action) -> Endpoint {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("the address was free");
        let state = Arc::new(State {
            acts: Mutex::default(),
            usual,
            seen: Mutex::default(),
            runs: Mutex::default(),
            moves: Mutex::default(),
            leaving: AtomicBool::new(false),
            down: Mutex::default(),
        });
        let serving = state.clone();
        std::thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let state = serving.clone();
                let down = *state.down.lock().expect("no holder panics");
                if down.is_none_or(|t| t < Instant::now()) {
                    std::thread::spawn(move || serve(&state, io));
                }
            }
        });
        Endpoint { id: id.to_owned(), address, state }
    }

    /// Lets its report say that it is leaving.
    pub fn start_draining(&self) {
        self.state.leaving.store(true, Ordering::SeqCst);
    }

    /// Tells what to do with the next request.
    pub fn push_action(&self, act: Action) {
        self.state.acts.lock().expect("no holder panics").push_back(act);
    }

    /// Returns the requests that reached it.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state.seen.lock().expect("no holder panics").clone()
    }

    /// Counts the requests that it worked on.
    pub fn run_count(&self) -> usize {
        self.received().iter().filter(|s| s.ran).count()
    }

    /// Returns the bodies of the calls that moved memory.
    pub fn copy_requests(&self) -> Vec<String> {
        self.state.moves.lock().expect("no holder panics").clone()
    }

    /// Returns its entry in the store.
    pub fn listing(&self, service: &str, state: &str) -> String {
        Endpoint::listing_at(self.address, service, state)
    }

    /// Returns an entry that names another address, as that of a proxy.
    pub fn listing_at(address: SocketAddr, service: &str, state: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"z-a","version":"v1","slots":8,
            "state":"{state}","cold_remaining_ms":0,"sequence":4,"born":7}}"#,
            address
        )
    }
}

fn serve(state: &State, io: TcpStream) {
    let Ok(mut writer) = io.try_clone() else { return };
    let mut reader = BufReader::new(io);
    while let Some(req) = read_request(&mut reader) {
        let done = match req.target.as_str() {
            "/kv-move" => move_memory(state, &req, &mut writer),
            "/report" => report(state, &mut writer),
            t if t.starts_with("/kv-handle/") => answer(&mut writer, "", 200, "{}"),
            _ => act(state, req, &mut writer),
        };
        if done.is_none() {
            let _ = writer.shutdown(Shutdown::Both);
            return;
        }
    }
}

fn report(state: &State, writer: &mut TcpStream) -> Option<()> {
    let leaving = state.leaving.load(Ordering::SeqCst);
    let body =
        if leaving { r#"{"leaves_ms":2000,"state":"draining"}"# } else { r#"{"state":"ready"}"# };
    answer(writer, "", 200, body)
}

fn move_memory(state: &State, req: &Request, writer: &mut TcpStream) -> Option<()> {
    let text: serde_json::Value = serde_json::from_slice(&req.body).ok()?;
    let id = text["id"].as_str().unwrap_or("");
    let Some(run) = state.runs.lock().ok()?.get(id).cloned() else {
        return answer(writer, "", 404, "{}");
    };
    state.moves.lock().ok()?.push(text.to_string());
    if text["last"] == true {
        run.stopped.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(20));
    }
    answer(writer, "", 200, &format!(r#"{{"handle":"{}","created":1}}"#, run.tag))
}

fn answer(writer: &mut TcpStream, extra: &str, status: u16, body: &str) -> Option<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} X\r\n{extra}Content-Length: {length}\r\n\r\n{body}");
    writer.write_all(text.as_bytes()).ok()
}

fn act(state: &State, req: Request, writer: &mut TcpStream) -> Option<()> {
    let act = state.acts.lock().ok()?.pop_front().unwrap_or_else(|| state.usual.clone());
    let id = req.header("x-attempt-id").unwrap_or("").to_owned();
    let ran = !matches!(act, Action::NotExecuted | Action::Misdirected);
    let closed = Arc::new(AtomicBool::new(false));
    let from =
        req.header("kv-from").and_then(|v| v.rsplit_once('/')).map(|(_, tag)| tag.to_owned());
    let last = req.header("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
    state.seen.lock().ok()?.push(ReceivedRequest {
        req,
        at: Instant::now(),
        ran,
        closed: closed.clone(),
    });
    let echo = format!("X-Attempt-Id: {id}\r\n");
    let seal = format!("{echo}X-Replica-Seal: s.{id}\r\nX-Replica-Load: 1,0,8\r\n");
    match act {
        Action::Respond(status, body) => answer(writer, &seal, status, &body),
        Action::NotExecuted => answer(writer, &format!("{echo}X-Not-Executed: 1\r\n"), 503, ""),
        Action::Misdirected => answer(writer, &echo, 421, ""),
        Action::Reset => None,
        Action::TruncatedBody => {
            let text = format!("HTTP/1.1 200 X\r\n{seal}Content-Length: 100\r\n\r\nhalf of it");
            writer.write_all(text.as_bytes()).ok()?;
            None
        }
        Action::CloseDelimited(body) => {
            let text = format!("HTTP/1.1 200 X\r\n{seal}Connection: close\r\n\r\n{body}");
            writer.write_all(text.as_bytes()).ok()?;
            None
        }
        Action::ExtraResponse(body) => {
            answer(writer, &seal, 200, &body)?;
            answer(writer, "X-Attempt-Id: other\r\nX-Replica-Seal: s.other\r\n", 200, "stray")
        }
        Action::WrongId => {
            answer(writer, "X-Attempt-Id: other\r\nX-Replica-Seal: s.other\r\n", 200, "stray")
        }
        Action::Unsealed => answer(writer, &echo, 200, "forged"),
        Action::ContentTooLarge => answer(writer, &seal, 413, "too long"),
        Action::Hang => wait_for_close(writer, &closed),
        Action::Crash(time) => {
            *state.down.lock().ok()? = Some(Instant::now() + time);
            None
        }
        Action::EchoId => answer(writer, &seal, 200, &id),
        Action::Stream(n, pause) => {
            let run = begin(state, &id, from.unwrap_or("token".into()))?;
            let done = stream(&run, writer, &seal, last, n, pause, &closed);
            end(state, &id, done)
        }
        Action::TaggedStream(n, pause) => {
            let tag = from.unwrap_or_else(|| format!("{id}.{:08x}", rand::random::<u32>()));
            let run = begin(state, &id, tag)?;
            let done = stream(&run, writer, &seal, last, n, pause, &closed);
            end(state, &id, done)
        }
        Action::TruncatedStream(n) => {
            stream_head(writer, &seal)?;
            (1..=n).try_for_each(|ix| chunk(writer, &event("token", ix)))?;
            chunk(writer, "id: 99\ndata: to")?;
            None
        }
    }
}

fn wait_for_close(writer: &mut TcpStream, closed: &AtomicBool) -> Option<()> {
    let mut byte = [0];
    let _ = writer.read(&mut byte);
    closed.store(true, Ordering::SeqCst);
    None
}

fn stream_head(writer: &mut TcpStream, seal: &str) -> Option<()> {
    let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    writer.write_all(format!("HTTP/1.1 200 X\r\n{seal}{kind}\r\n").as_bytes()).ok()
}

fn event(tag: &str, ix: u64) -> String {
    format!("id: {ix}\ndata: {tag}-{ix}\n\n")
}

fn begin(state: &State, id: &str, tag: String) -> Option<Arc<Run>> {
    let run = Arc::new(Run { tag, stopped: AtomicBool::new(false) });
    state.runs.lock().ok()?.insert(id.to_owned(), run.clone());
    Some(run)
}

fn end(state: &State, id: &str, done: Option<()>) -> Option<()> {
    state.runs.lock().ok()?.remove(id);
    done
}

fn chunk(writer: &mut TcpStream, text: &str) -> Option<()> {
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()
}

fn stream(
    run: &Run,
    writer: &mut TcpStream,
    seal: &str,
    last: u64,
    n: u64,
    pause: Duration,
    closed: &AtomicBool,
) -> Option<()> {
    stream_head(writer, seal)?;
    for ix in last + 1..=n {
        if run.stopped.load(Ordering::SeqCst) {
            return None;
        }
        if chunk(writer, &event(&run.tag, ix)).is_none() {
            closed.store(true, Ordering::SeqCst);
            return None;
        }
        std::thread::sleep(pause);
    }
    writer.write_all(b"0\r\n\r\n").ok()
}
