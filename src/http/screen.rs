//! Holds back the bytes of a connection until they are known to be valid.

use crate::h1::{Fault, ReadError, RequestScanner};
use actix_http::header::UPGRADE;
use bytes::{Buf, BytesMut};
use tokio::io::ReadBuf;

/// Head that the server refuses with status 400.
const MALFORMED_HEAD: &str = "\0";
/// Number of fields in a head that the server refuses with status 431; it takes 96.
const TOO_MANY_FIELDS: usize = 97;

/// Bytes between a connection and the library's server, which takes requests that a gateway refuses.
#[derive(Debug, Default)]
pub struct Screen {
    scanner: RequestScanner,
    /// Received bytes that have not been passed on.
    held: BytesMut,
    /// Number of bytes at the front of `held` that may be passed on.
    valid: usize,
    /// Whether no more bytes are received.
    is_ended: bool,
    has_refused: bool,
}

impl Screen {
    /// Takes received bytes. At the first one that is not valid, the connection ends for the server.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if the bytes are not valid.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(), ReadError> {
        self.held.extend_from_slice(bytes);
        loop {
            let is_head = self.scanner.is_in_head();
            let rest = &mut self.held[self.valid..];
            match self.scanner.scan(rest) {
                Ok(0) => return Ok(()),
                Ok(n) => {
                    if is_head {
                        decline_upgrade(&mut rest[..n]);
                    }
                    self.valid += n;
                }
                Err(fault) => {
                    self.refuse(fault);
                    return Err(fault.into());
                }
            }
        }
    }

    /// Makes the server refuse the present request after those before it. A body without its end makes
    /// it do so; a head has to be replaced.
    fn refuse(&mut self, fault: Fault) {
        self.end();
        self.has_refused = true;
        if self.scanner.is_in_head() {
            self.held.extend_from_slice(refused_head(fault).as_bytes());
            self.valid = self.held.len();
        }
    }

    /// Returns whether there were bytes that are not valid.
    pub fn has_refused(&self) -> bool {
        self.has_refused
    }

    /// Ends the connection for the server.
    pub fn end(&mut self) {
        self.held.truncate(self.valid);
        self.is_ended = true;
    }

    /// Returns whether the server has to wait for more bytes.
    pub fn is_waiting(&self) -> bool {
        self.valid == 0 && !self.is_ended
    }

    /// Passes valid bytes on; none at the end of the connection.
    pub fn pass(&mut self, buf: &mut ReadBuf<'_>) {
        let n = self.valid.min(buf.remaining());
        buf.put_slice(&self.held[..n]);
        self.held.advance(n);
        self.valid -= n;
        if self.held.is_empty() {
            self.held = BytesMut::new();
        }
    }
}

/// Blanks the values of fields that offer another protocol: the server would take all bytes after this
/// head for those of a WebSocket.
fn decline_upgrade(head: &mut [u8]) {
    for line in head.split_mut(|b| *b == b'\n') {
        let Some(end) = line.iter().position(|b| *b == b':') else { continue };
        let (name, rest) = line.split_at_mut(end);
        if let [b':', value @ .., b'\r'] = rest
            && name.eq_ignore_ascii_case(UPGRADE.as_str().as_bytes())
        {
            value.fill(b' ');
        }
    }
}

fn refused_head(fault: Fault) -> String {
    match fault {
        Fault::HeadSize => format!("GET / HTTP/1.1\r\n{}", "a:\r\n".repeat(TOO_MANY_FIELDS)),
        _ => MALFORMED_HEAD.to_owned(),
    }
}
