//! The connection of a caller.

use super::{read_available, set_socket_options};
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message};
use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{ConnectionType, HttpMessage, Request, Response, ServiceConfig};
use actix_rt::net::TcpStream;
use bytes::{Bytes, BytesMut};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};

/// Time for a caller to take the bytes of one write before it counts as gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time to wait for a caller to close after an answer that ends the connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of further requests that a caller may send ahead of an answer.
const MAX_PIPELINED_BYTES: usize = 64 << 10;

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestLimits {
    /// Largest head in bytes.
    pub max_head: usize,
    /// Largest body in bytes.
    pub max_body: usize,
    /// Time for the head, and again for the body, to arrive.
    pub arrival_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            max_head: 16 << 10,
            max_body: 4 << 20,
            arrival_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Tells why no request was read.
#[derive(Debug)]
pub enum ReadError {
    /// The caller closed the connection, or left it idle.
    Closed,
    /// The request did not arrive in time.
    Slow,
    /// The bytes are no request that can be forwarded safely.
    Malformed(&'static str),
    /// The head is over its limit.
    HeadTooLarge,
    /// The body is over its limit.
    BodyTooLarge,
}

/// The connection of a caller: one request at a time.
#[derive(Debug)]
pub struct Inbound {
    io: TcpStream,
    codec: Codec,
    buf: BytesMut,
    out: BytesMut,
}

impl Inbound {
    /// Takes over an accepted connection.
    pub fn new(io: TcpStream, config: &ServiceConfig) -> Self {
        set_socket_options(&io);
        let codec = Codec::new(config.clone());
        Inbound { io, codec, buf: BytesMut::new(), out: BytesMut::new() }
    }

    /// Waits until the first bytes of a request are here.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Closed`] where none come within `idle`.
    pub async fn wait_readable(&mut self, idle: Duration) -> Result<(), ReadError> {
        if !self.buf.is_empty() {
            return Ok(());
        }
        match timeout(idle, read_available(&mut self.io, &mut self.buf)).await {
            Ok(Ok(n)) if n > 0 => Ok(()),
            _ => Err(ReadError::Closed),
        }
    }

    /// Reads a request with its whole body.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] where no acceptable request arrives in time.
    pub async fn read_request(
        &mut self,
        limits: &RequestLimits,
    ) -> Result<(Request, Bytes), ReadError> {
        let req = match timeout(limits.arrival_timeout, self.read_head(limits.max_head)).await {
            Ok(done) => done?,
            Err(_) => return Err(ReadError::Slow),
        };
        // Two framings in one head are read differently by different servers.
        let headers = req.headers();
        if headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING) {
            return Err(ReadError::Malformed("the head has two framings"));
        }
        if self.codec.message_type() == actix_http::h1::MessageType::None {
            return Ok((req, Bytes::new()));
        }
        if req.head().expect() {
            self.out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            self.flush().await.map_err(|_| ReadError::Closed)?;
        }
        match timeout(limits.arrival_timeout, self.read_body(limits.max_body)).await {
            Ok(done) => Ok((req, done?)),
            Err(_) => Err(ReadError::Slow),
        }
    }

    async fn read_head(&mut self, most: usize) -> Result<Request, ReadError> {
        loop {
            let before = self.buf.len();
            match self.codec.decode(&mut self.buf) {
                // A head that came in one piece was never looked at unfinished.
                Ok(Some(Message::Item(_))) if before - self.buf.len() > most => {
                    return Err(ReadError::HeadTooLarge);
                }
                Ok(Some(Message::Item(req))) => return Ok(req),
                Ok(Some(Message::Chunk(_))) => {
                    return Err(ReadError::Malformed("a body without a head"));
                }
                Ok(None) if self.buf.len() > most => return Err(ReadError::HeadTooLarge),
                Ok(None) => self.read_more().await?,
                Err(ParseError::TooLarge) => return Err(ReadError::HeadTooLarge),
                Err(_) => return Err(ReadError::Malformed("the head is malformed")),
            }
        }
    }

    async fn read_body(&mut self, most: usize) -> Result<Bytes, ReadError> {
        let mut body = BytesMut::new();
        loop {
            match self.codec.decode(&mut self.buf) {
                Ok(Some(Message::Chunk(Some(chunk)))) => {
                    if body.len() + chunk.len() > most {
                        return Err(ReadError::BodyTooLarge);
                    }
                    body.extend_from_slice(&chunk);
                }
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(Some(Message::Item(_))) => {
                    return Err(ReadError::Malformed("a head within a body"));
                }
                Ok(None) => self.read_more().await?,
                Err(_) => return Err(ReadError::Malformed("the body is malformed")),
            }
        }
    }

    async fn read_more(&mut self) -> Result<(), ReadError> {
        match read_available(&mut self.io, &mut self.buf).await {
            Ok(n) if n > 0 => Ok(()),
            _ => Err(ReadError::Closed),
        }
    }

    /// Waits until the caller has closed the connection; may be dropped at any time.
    pub async fn closed(&mut self) {
        while self.buf.len() < MAX_PIPELINED_BYTES {
            match read_available(&mut self.io, &mut self.buf).await {
                Ok(n) if n > 0 => {}
                _ => return,
            }
        }
        std::future::pending().await
    }

    /// Tells whether the connection stays open after the answer that was sent last.
    pub fn is_keep_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Sends the head of an answer; a chunk follows for each part of the body.
    ///
    /// # Errors
    ///
    /// Returns an error where the caller is gone or takes no bytes.
    pub async fn send_head(
        &mut self,
        head: Response<()>,
        size: BodySize,
        close: bool,
    ) -> std::io::Result<()> {
        self.encode_head(head, size, close)?;
        self.flush().await
    }

    fn encode_head(
        &mut self,
        mut head: Response<()>,
        size: BodySize,
        close: bool,
    ) -> std::io::Result<()> {
        if close {
            head.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.codec.encode(Message::Item((head, size)), &mut self.out)
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error where the caller is gone or takes no bytes.
    pub async fn send_response(
        &mut self,
        head: Response<()>,
        body: Bytes,
        close: bool,
    ) -> std::io::Result<()> {
        self.encode_head(head, BodySize::Sized(body.len() as u64), close)?;
        if !body.is_empty() {
            self.codec.encode(Message::Chunk(Some(body)), &mut self.out)?;
        }
        self.flush().await
    }

    /// Sends a part of the body.
    ///
    /// # Errors
    ///
    /// Returns an error where the caller is gone or takes no bytes.
    pub async fn send_chunk(&mut self, chunk: Bytes) -> std::io::Result<()> {
        self.codec.encode(Message::Chunk(Some(chunk)), &mut self.out)?;
        self.flush().await
    }

    /// Ends a body that was sent in chunks.
    ///
    /// # Errors
    ///
    /// Returns an error where the caller is gone or takes no bytes.
    pub async fn finish_body(&mut self) -> std::io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.out)?;
        self.flush().await
    }

    async fn flush(&mut self) -> std::io::Result<()> {
        match timeout(WRITE_TIMEOUT, self.io.write_all_buf(&mut self.out)).await {
            Ok(done) => done,
            Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
        }
    }

    /// Closes the connection after what was sent has left.
    pub async fn close(mut self) {
        if let Err(e) = self.io.shutdown().await {
            log::debug!("connection not closed in order: {e}");
        }
        // Bytes that arrive unread would reset the connection and take the answer with them.
        let _ = timeout(LINGER_TIMEOUT, self.closed()).await;
    }
}
