//! HTTP client that sends given bytes over a new connection and reads the responses.

use super::{read_head, read_headers};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time that a read waits for data.
const READ_TIMEOUT: Duration = Duration::from_secs(12);

/// Client connection on which a request was sent.
#[derive(Debug)]
pub struct Connection {
    reader: BufReader<TcpStream>,
}

/// HTTP response as received.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reply {
    /// Status; 0 if the connection ended before a complete response head.
    pub status: u16,
    /// Headers in order, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body. If truncated, the complete chunks, or what arrived padded with NUL to its length.
    pub body: String,
    /// Whether the body arrived to its end, as given by its length or last chunk.
    pub complete: bool,
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
    Ok(Connection { reader: BufReader::new(io) })
}

impl Connection {
    /// Sends further bytes on the connection.
    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads the next response to its end.
    pub fn reply(&mut self) -> Reply {
        let Some(lines) = read_head(&mut self.reader) else { return Reply::default() };
        let status = lines[0].split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let mut reply = Reply { status, headers: read_headers(&lines[1..]), ..Reply::default() };
        if reply.header("transfer-encoding").is_some() {
            reply.complete = self.read_chunks(&mut reply.body).is_some();
        } else {
            let n = reply.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            let mut body = vec![0; n];
            reply.complete = self.reader.read_exact(&mut body).is_ok();
            reply.body = String::from_utf8_lossy(&body).into_owned();
        }
        reply
    }

    /// Appends chunks to `body`; `None` if the connection ends before the last chunk.
    fn read_chunks(&mut self, body: &mut String) -> Option<()> {
        loop {
            let mut line = String::new();
            self.reader.read_line(&mut line).ok()?;
            let n = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; n + 2];
            self.reader.read_exact(&mut chunk).ok()?;
            if n == 0 {
                return Some(());
            }
            body.push_str(&String::from_utf8_lossy(&chunk[..n]));
        }
    }

    /// Reads until the connection ends. Returns what was received, and whether the connection was
    /// closed in order rather than reset.
    pub fn read_to_end(&mut self) -> (String, bool) {
        let mut received = Vec::new();
        let is_closed = self.reader.read_to_end(&mut received).is_ok();
        (String::from_utf8_lossy(&received).into_owned(), is_closed)
    }

    /// Returns whether the instance closes the connection within `timeout`.
    pub fn is_closed(&mut self, timeout: Duration) -> bool {
        let io = self.reader.get_mut();
        io.set_read_timeout(Some(timeout)).expect("cannot set the read timeout");
        matches!(io.read(&mut [0]), Ok(0))
    }
}
