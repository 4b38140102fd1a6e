//! Streams of events as an engine of the platform writes them, complete or broken off.

use super::endpoint::CrashPoint;
use socket2::SockRef;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Time between the last bytes of a response and the reset of its connection, which would discard
/// them at the receiver.
const RESET_DELAY: Duration = Duration::from_millis(100);

/// How the response that carries a stream ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StreamEnd {
    /// At the length given in its head.
    Length,
    /// With its last chunk.
    Chunked,
    /// With its connection; the head has neither a length nor chunks.
    Close,
    /// Like `Close`, but the connection is reset.
    Reset,
}

/// Run of a generation, which may continue on another endpoint.
#[derive(Debug)]
pub struct Run {
    /// Name of the run in its events, and handle of its memory.
    pub tag: String,
    /// Its events, instead of numbered ones that name it.
    texts: Option<&'static [&'static str]>,
    /// Set by the last copy of the memory; the stream then breaks off before its end.
    stopped: AtomicBool,
}

impl Run {
    /// Creates a run under a name.
    pub fn new(tag: String) -> Run {
        Run { tag, texts: None, stopped: AtomicBool::new(false) }
    }

    /// Creates a run with these events.
    pub fn of_texts(tag: String, texts: &'static [&'static str]) -> Run {
        Run { texts: Some(texts), ..Run::new(tag) }
    }

    /// Returns the event after the first `ix`.
    fn event(&self, ix: u64) -> String {
        let numbered = || events(&self.tag, ix..ix + 1);
        let text = |all: &[&str]| all.get(ix as usize).copied().unwrap_or("").to_owned();
        self.texts.map_or_else(numbered, text)
    }

    /// Lets the stream break off before its next event.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// Returns a name for a run of the request `id`.
pub fn run_tag(id: &str) -> String {
    format!("{id}.{:08x}", rand::random::<u32>())
}

/// Returns the events of a run after the start of the range, up to its end.
pub fn events(tag: &str, range: Range<u64>) -> String {
    range.map(|ix| ix + 1).map(|ix| format!("id: {ix}\ndata: {tag}-{ix}\n\n")).collect()
}

fn write_head(writer: &mut TcpStream, headers: &str, framing: &str) -> Option<()> {
    let kind = "Content-Type: text/event-stream\r\n";
    let head = format!("HTTP/1.1 200 X\r\n{headers}{kind}{framing}\r\n\r\n");
    writer.write_all(head.as_bytes()).ok()
}

fn write_chunk(writer: &mut TcpStream, text: &str) -> Option<()> {
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()
}

/// Returns the header that announces how a response with this body ends.
fn framing(end: StreamEnd, body_len: usize) -> String {
    match end {
        StreamEnd::Length => format!("Content-Length: {body_len}"),
        StreamEnd::Chunked => "Transfer-Encoding: chunked".to_owned(),
        StreamEnd::Close | StreamEnd::Reset => "Connection: close".to_owned(),
    }
}

/// Writes a stream in one part and ends its response and connection; `None` closes it in order.
pub fn end_stream(writer: &mut TcpStream, headers: &str, end: StreamEnd, body: &str) -> Option<()> {
    write_head(writer, headers, &framing(end, body.len()))?;
    if end == StreamEnd::Chunked {
        write_chunk(writer, body)?;
        writer.write_all(b"0\r\n\r\n").ok()?;
    } else {
        writer.write_all(body.as_bytes()).ok()?;
    }
    if end == StreamEnd::Reset {
        std::thread::sleep(RESET_DELAY);
        SockRef::from(&*writer).set_linger(Some(Duration::ZERO)).ok()?;
        // Ends the loop over requests; the last close then sends the reset.
        return writer.shutdown(Shutdown::Read).ok();
    }
    None
}

/// Writes the response to a request that crashes the endpoint, as far as it comes.
pub fn write_until(writer: &mut TcpStream, headers: &str, point: CrashPoint) -> Option<()> {
    let end =
        if point == CrashPoint::UnframedEvent { StreamEnd::Close } else { StreamEnd::Chunked };
    if point != CrashPoint::Start {
        write_head(writer, headers, &framing(end, 0))?;
    }
    let event = events("token", 0..1);
    match point {
        CrashPoint::Start | CrashPoint::Head => Some(()),
        CrashPoint::UnframedEvent => writer.write_all(event.as_bytes()).ok(),
        CrashPoint::End => {
            write_chunk(writer, &event)?;
            writer.write_all(b"0\r\n\r\n").ok()
        }
    }
}

/// Writes `n` events and the beginning of another in chunks, without the last chunk.
pub fn truncate_stream(writer: &mut TcpStream, headers: &str, n: u64) -> Option<()> {
    write_head(writer, headers, &framing(StreamEnd::Chunked, 0))?;
    (0..n).try_for_each(|ix| write_chunk(writer, &events("token", ix..ix + 1)))?;
    write_chunk(writer, "id: 99\ndata: to")?;
    None
}

/// Writes the events of a run after the start of the range, up to its end, and ends the response;
/// `None` closes the connection.
pub fn write_events(
    writer: &mut TcpStream,
    headers: &str,
    end: StreamEnd,
    run: &Run,
    range: Range<u64>,
    interval: Duration,
    closed: &AtomicBool,
) -> Option<()> {
    write_head(writer, headers, &framing(end, 0))?;
    for ix in range {
        if run.stopped.load(Ordering::SeqCst) {
            return None;
        }
        let event = run.event(ix);
        let sent = match end {
            StreamEnd::Chunked => write_chunk(writer, &event),
            _ => writer.write_all(event.as_bytes()).ok(),
        };
        if sent.is_none() {
            closed.store(true, Ordering::SeqCst);
            return None;
        }
        std::thread::sleep(interval);
    }
    if end == StreamEnd::Chunked { writer.write_all(b"0\r\n\r\n").ok() } else { None }
}
