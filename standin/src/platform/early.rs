//! Answers that an endpoint sends while the request is still arriving.

use super::Request;
use socket2::SockRef;
use std::io::{BufReader, Read, Write, copy, sink};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// Time to wait for the rest of a request after the end of its answer.
const REST_TIMEOUT: Duration = Duration::from_secs(2);

/// How a connection ends after an answer that was sent early.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EarlyEnd {
    /// It is reset after this time.
    Reset(Duration),
    /// It is closed in order, and the rest of the request is read.
    Close,
    /// It is closed in order, and reset after this time.
    CloseThenReset(Duration),
}

/// Answer that is sent while the request is still arriving.
#[derive(Debug, Clone, PartialEq)]
pub struct EarlyAnswer {
    /// Bytes of the body of the request that are read before.
    pub read: usize,
    /// Status line, after the interim responses before it.
    pub start: String,
    /// Header lines beside the usual ones.
    pub headers: String,
    /// Body, or the part of it that is sent.
    pub body: String,
    /// How the connection ends.
    pub end: EarlyEnd,
}

impl EarlyAnswer {
    /// Answers a request, and ends the connection.
    pub(super) fn send(
        &self,
        reader: &mut BufReader<TcpStream>,
        writer: &mut TcpStream,
        req: &Request,
    ) -> std::io::Result<()> {
        copy(&mut reader.by_ref().take(self.read as u64), &mut sink())?;
        let id = req.header("x-attempt-id").unwrap_or("");
        let (start, headers, body) = (&self.start, &self.headers, &self.body);
        let head = format!(
            "{start}\r\nX-Attempt-Id: {id}\r\nX-Replica-Seal: s.{id}\r\n\
            Content-Type: text/event-stream\r\n{headers}\r\n{body}"
        );
        writer.write_all(head.as_bytes())?;
        let delay = match self.end {
            EarlyEnd::Reset(delay) => delay,
            EarlyEnd::CloseThenReset(delay) => {
                writer.shutdown(Shutdown::Write)?;
                delay
            }
            EarlyEnd::Close => {
                writer.shutdown(Shutdown::Write)?;
                writer.set_read_timeout(Some(REST_TIMEOUT))?;
                return copy(reader, &mut sink()).map(drop);
            }
        };
        std::thread::sleep(delay);
        SockRef::from(&*writer).set_linger(Some(Duration::ZERO))
    }
}
