//! HTTP/1.1 messages on plain sockets.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;
use std::time::Duration;

/// A request or response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Status of a response; 0 if the line is no status line.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

fn line(r: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut text = String::new();
    if r.read_line(&mut text)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(text.trim_end().to_owned())
}

/// Reads a message with a length or in chunks. An end of the connection before its end is an error.
pub fn read(r: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut m = Message { first: line(r)?, ..Message::default() };
    loop {
        let l = line(r)?;
        if l.is_empty() {
            break;
        }
        if let Some((n, v)) = l.split_once(':') {
            m.headers.push((n.trim().to_ascii_lowercase(), v.trim().to_owned()));
        }
    }
    if m.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let size = line(r)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut part = vec![0; size];
            r.read_exact(&mut part)?;
            m.body.extend(part);
            line(r)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(n) = m.header("content-length").and_then(|v| v.parse().ok()) {
        m.body = vec![0; n];
        r.read_exact(&mut m.body)?;
    }
    Ok(m)
}

/// Connects with the time that clients allow to a new connection.
pub fn connect(to: std::net::SocketAddr) -> io::Result<TcpStream> {
    let io = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    io.set_nodelay(true)?;
    Ok(io)
}

const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for c in bytes.chunks(3) {
        let n = u32::from(c[0]) << 16
            | u32::from(*c.get(1).unwrap_or(&0)) << 8
            | u32::from(*c.get(2).unwrap_or(&0));
        for i in 0..4 {
            let digit = ALPHABET[(n >> (18 - 6 * i)) as usize & 63] as char;
            out.push(if i <= c.len() { digit } else { '=' });
        }
    }
    out
}
