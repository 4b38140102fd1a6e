//! Stand-ins for the platform: its metadata store, endpoints, gateways and callers.
//!
//! They use plain sockets instead of an HTTP library, since the tests check the bytes on the wire.

mod caller;
mod early;
mod endpoint;
pub mod foreign;
mod front;
mod gateway;
mod proxy;
mod store;
mod stream;
mod workers;

pub use caller::{Connection, Reply, send, try_send};
pub use early::{EarlyAnswer, EarlyEnd};
pub use endpoint::{Action, CrashPoint, DownMode, EndlessPart, Endpoint, ReceivedRequest};
pub use front::{StoreFault, StoreFront};
pub use gateway::{Gateway, Limits, Listen, RetryTerms, wait_until};
pub use proxy::{Proxy, ProxyMode};
pub use store::{Outage, Rates, Store, StoreCopy};
pub use stream::StreamEnd;

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// HTTP request as received.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Method, such as `GET`.
    pub method: String,
    /// Path with the query string.
    pub target: String,
    /// Headers in order, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body; empty without a content length.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of the first header with a lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Reads the lines of a message head; `None` if the connection ends before the empty line.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            return Some(lines);
        }
        lines.push(line);
    }
}

fn read_headers(lines: &[String]) -> Vec<(String, String)> {
    let pairs = lines.iter().filter_map(|l| l.split_once(':'));
    pairs.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned())).collect()
}

/// Reads a request, whose body must be framed by a content length; `None` if the connection ends
/// or the request is malformed.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut req = read_request_head(reader)?;
    read_request_body(reader, &mut req)?;
    Some(req)
}

/// Reads a request up to its body; `None` if the connection ends or the head is malformed.
fn read_request_head(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let lines = read_head(reader)?;
    let mut parts = lines.first()?.split(' ');
    let (method, target) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    Some(Request { method, target, headers: read_headers(&lines[1..]), body: Vec::new() })
}

fn read_request_body(reader: &mut BufReader<TcpStream>, req: &mut Request) -> Option<()> {
    let length = req.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    req.body = vec![0; length];
    reader.read_exact(&mut req.body).ok()
}
