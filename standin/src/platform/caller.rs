//! HTTP client that sends given bytes over a new connection and reads the responses.

use super::read_headers;
use actix_http::StatusCode;
use skylarkthread::h1::{BodyLength, ChunkScanner, ChunkStep, Fault, ScannedHead, scan_head};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time that a read waits for data.
const READ_TIMEOUT: Duration = Duration::from_secs(12);
/// Number of bytes that are read at once.
const READ_BYTES: usize = 16 << 10;

/// Client connection on which a request was sent.
#[derive(Debug)]
pub struct Connection {
    io: TcpStream,
    /// Received bytes that are not read yet.
    buf: Vec<u8>,
    /// Whether the last request was a HEAD request.
    is_head: bool,
}

/// HTTP response as received.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reply {
    /// Status; 0 if the connection ended before a complete response head.
    pub status: u16,
    /// Headers in order, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body. If truncated, what arrived of its chunks, or that padded with NUL to its length.
    pub body: String,
    /// Whether the body arrived to its end, as given by its length, its last chunk or the end of the
    /// connection.
    pub complete: bool,
    /// Rule of HTTP/1.1 that the response breaks.
    pub fault: Option<Fault>,
    /// Whether more bytes had arrived at the end of a response that no other should follow.
    pub excess: bool,
}

impl Reply {
    /// Returns the value of the first header with a lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Sends the bytes of a request over a new connection; panics if that fails.
pub fn send(to: SocketAddr, bytes: &[u8]) -> Connection {
    try_send(to, bytes).expect("cannot send the request")
}

/// Sends the bytes of a request over a new connection.
///
/// # Errors
///
/// Returns an error if the connection is refused or closed while the bytes are written.
pub fn try_send(to: SocketAddr, bytes: &[u8]) -> std::io::Result<Connection> {
    let mut io = TcpStream::connect(to)?;
    io.set_read_timeout(Some(READ_TIMEOUT))?;
    io.write_all(bytes)?;
    Ok(Connection { io, buf: Vec::new(), is_head: is_head(bytes) })
}

fn is_head(request: &[u8]) -> bool {
    request.starts_with(b"HEAD ")
}

impl Connection {
    /// Sends further bytes on the connection.
    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.is_head = is_head(bytes);
        self.io.write_all(bytes)
    }

    /// Reads the next response to its end.
    pub fn reply(&mut self) -> Reply {
        let mut reply = Reply::default();
        reply.fault = self.read_reply(&mut reply).err();
        reply
    }

    /// Returns whether bytes have arrived after the last response that was read.
    pub fn has_excess(&self) -> bool {
        !self.buf.is_empty()
    }

    fn read_reply(&mut self, reply: &mut Reply) -> Result<(), Fault> {
        let Some(head) = self.read_head()? else { return Ok(()) };
        let text = String::from_utf8_lossy(&self.buf[..head.size]).into_owned();
        let lines: Vec<String> = text.lines().skip(1).map(str::to_owned).collect();
        (reply.status, reply.headers) = (head.status.as_u16(), read_headers(&lines));
        self.buf.drain(..head.size);
        let has_body = !self.is_head
            && !head.status.is_informational()
            && !matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let mut body = Vec::new();
        let read = match head.length {
            _ if !has_body => Ok(true),
            BodyLength::Bytes(n) => Ok(self.read_bytes(n, &mut body)),
            BodyLength::Chunked => self.read_chunks(&mut body),
            BodyLength::Close => {
                let is_closed;
                (body, is_closed) = self.read_rest();
                Ok(is_closed)
            }
        };
        reply.body = String::from_utf8_lossy(&body).into_owned();
        reply.complete = read?;
        Ok(())
    }

    /// Reads some bytes; returns `false` if the connection ends.
    fn read_more(&mut self) -> bool {
        let mut bytes = [0; READ_BYTES];
        let n = self.io.read(&mut bytes).unwrap_or(0);
        self.buf.extend_from_slice(&bytes[..n]);
        n > 0
    }

    /// Returns the next head, which stays in the buffer; `None` if the connection ends before.
    fn read_head(&mut self) -> Result<Option<ScannedHead>, Fault> {
        loop {
            if !self.buf.is_empty()
                && let Some(head) = scan_head(&self.buf)?
            {
                return Ok(Some(head));
            }
            if !self.read_more() {
                return Ok(None);
            }
        }
    }

    /// Reads a body of a given length; returns `false` if the connection ends before.
    fn read_bytes(&mut self, length: u64, body: &mut Vec<u8>) -> bool {
        let length = usize::try_from(length).expect("the length fits into memory");
        while self.buf.len() < length && self.read_more() {}
        let n = length.min(self.buf.len());
        body.extend(self.buf.drain(..n));
        body.resize(length, 0);
        n == length
    }

    /// Reads a body in chunks; returns `false` if the connection ends before the last chunk.
    fn read_chunks(&mut self, body: &mut Vec<u8>) -> Result<bool, Fault> {
        let mut scanner = ChunkScanner::default();
        loop {
            match scanner.scan(&self.buf)? {
                ChunkStep::More if !self.read_more() => return Ok(false),
                ChunkStep::More => {}
                ChunkStep::Mark(n) => drop(self.buf.drain(..n)),
                ChunkStep::Data(n) => body.extend(self.buf.drain(..n)),
                ChunkStep::End(n) => {
                    self.buf.drain(..n);
                    return Ok(true);
                }
            }
        }
    }

    /// Reads until the connection ends. Returns what was received, and whether the connection was
    /// closed in order rather than reset.
    pub fn read_to_end(&mut self) -> (String, bool) {
        let (received, is_closed) = self.read_rest();
        (String::from_utf8_lossy(&received).into_owned(), is_closed)
    }

    fn read_rest(&mut self) -> (Vec<u8>, bool) {
        let mut received = std::mem::take(&mut self.buf);
        let is_closed = self.io.read_to_end(&mut received).is_ok();
        (received, is_closed)
    }

    /// Returns whether the instance closes the connection within `timeout`.
    pub fn is_closed(&mut self, timeout: Duration) -> bool {
        self.io.set_read_timeout(Some(timeout)).expect("cannot set the read timeout");
        matches!(self.io.read(&mut [0]), Ok(0))
    }
}
