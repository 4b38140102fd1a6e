//! A caller of the platform: one request on a connection of its own, read byte by byte.

use super::{read_head, read_headers};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time after which a read gives up.
const READ_TIME: Duration = Duration::from_secs(12);

/// A request that was sent.
#[derive(Debug)]
pub struct Connection {
    reader: BufReader<TcpStream>,
}

/// An answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reply {
    /// Status; 0 where the connection closed without an answer.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body, as far as it came.
    pub body: String,
    /// Tells that the body came with its proper end.
    pub complete: bool,
}

impl Reply {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Sends the bytes of a request to an instance that listens.
pub fn send(to: SocketAddr, bytes: &[u8]) -> Connection {
    try_send(to, bytes).expect("the instance listens and reads")
}

/// Sends the bytes of a request.
///
/// # Errors
///
/// Returns an error where the instance does not take them.
pub fn try_send(to: SocketAddr, bytes: &[u8]) -> std::io::Result<Connection> {
    let mut io = TcpStream::connect(to)?;
    io.set_read_timeout(Some(READ_TIME))?;
    io.write_all(bytes)?;
    Ok(Connection { reader: BufReader::new(io) })
}

impl Connection {
    /// Sends more on the same connection.
    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads the answer to its end.
    pub fn reply(&mut self) -> Reply {
        let Some(lines) = read_head(&mut self.reader) else { return Reply::default() };
        let status = lines[0].split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let mut reply = Reply { status, headers: read_headers(&lines[1..]), ..Reply::default() };
        if reply.header("transfer-encoding").is_some() {
            reply.complete = self.chunks(&mut reply.body).is_some();
        } else {
            let n = reply.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            let mut body = vec![0; n];
            reply.complete = self.reader.read_exact(&mut body).is_ok();
            reply.body = String::from_utf8_lossy(&body).into_owned();
        }
        reply
    }

    /// Reads chunks into `body`; `None` where the last one never comes.
    fn chunks(&mut self, body: &mut String) -> Option<()> {
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

    /// Tells whether the connection has been closed, waiting for it at most `wait`.
    pub fn is_closed(&mut self, wait: Duration) -> bool {
        let io = self.reader.get_mut();
        io.set_read_timeout(Some(wait)).expect("a time-out can be set");
        matches!(io.read(&mut [0]), Ok(0))
    }
}
