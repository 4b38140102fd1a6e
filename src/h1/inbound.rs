//! Connections from callers.

use super::request::{Allowance, ReadError, RequestLimits};
use super::scan::{BodyLength, ChunkScanner, ChunkStep, ScannedRequest, scan_request};
use super::{
    FULL_TIMEOUT, Head, SEND_BUFFER_BYTES, grow, read_available, set_socket_options, try_write,
    write_some,
};
use crate::backlog::READ_TIMEOUT;
use crate::callers::{
    ENDPOINT_BUFFER_BYTES, Load, Part, RECEIVE_BUFFER_BYTES, RESPONSE_BUFFER_BYTES,
};
use crate::clock;
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message};
use actix_http::header::UPGRADE;
use actix_http::{ConnectionType, Method, Request, Response, ServiceConfig, Version};
use actix_rt::net::TcpStream;
use bytes::{Buf, Bytes, BytesMut};
use socket2::SockRef;
use std::pin::pin;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::tcp::ReadHalf;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};

/// Time to wait for the caller to close its side after the last response of a connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Copies of the head of a request: the one received, and the one that an endpoint has not taken yet.
const HEAD_COPIES: usize = 2;
/// Multiple of the size of a send buffer that the kernel reserves.
const KERNEL_MULTIPLE: usize = 2;
/// Bytes of pipelined requests that are buffered while a response is pending.
const MAX_PIPELINED_BYTES: usize = 64 << 10;

/// Interval at which a connection checks whether it may read again.
const ROOM_INTERVAL: Duration = Duration::from_millis(10);
/// Time that a request waits for room before it is refused.
const ROOM_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval between checks of whether a caller with many pipelined bytes has disconnected.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Connection from a caller, which serves one request at a time.
#[derive(Debug)]
pub struct Inbound {
    io: TcpStream,
    codec: Codec,
    /// Received bytes that are not decoded yet.
    buf: BytesMut,
    /// Encoded bytes that are not sent yet.
    out: BytesMut,
    /// HTTP version of the latest request.
    version: Version,
    /// Whether the end of the connection marks the end of the response.
    is_unframed: bool,
    /// Bytes that the kernel may hold of a response that the caller does not take.
    kernel_bytes: usize,
    /// What the connection keeps.
    load: Load,
}

impl Inbound {
    /// Creates a connection from an accepted socket. What it keeps is recorded in `load`.
    pub fn new(io: TcpStream, config: &ServiceConfig, load: Load) -> Self {
        set_socket_options(&io);
        let codec = Codec::new(config.clone());
        Inbound {
            io,
            codec,
            buf: BytesMut::new(),
            out: BytesMut::new(),
            version: Version::HTTP_11,
            is_unframed: false,
            kernel_bytes: KERNEL_MULTIPLE * RESPONSE_BUFFER_BYTES,
            load,
        }
    }

    /// Waits until the first bytes of a request have arrived.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::Closed`] if the caller closes the connection or is idle for `idle`.
    pub async fn wait_readable(&mut self, idle: Duration) -> Result<(), ReadError> {
        if !self.buf.is_empty() {
            return Ok(());
        }
        let read = timeout(idle, read_available(&mut self.io.split().0, &mut self.buf)).await;
        self.record_received();
        match read {
            Ok(Ok(n)) if n > 0 => Ok(()),
            _ => Err(ReadError::Closed),
        }
    }

    fn record_received(&self) {
        record_received(&self.load, &self.buf);
    }

    /// While some of the response cannot be sent, the kernel may hold received bytes, and its buffer for
    /// sent ones is full.
    fn record_unsent(&self) {
        let bytes = match self.out.len() {
            0 => 0,
            _ => self.out.capacity() + self.kernel_bytes + RECEIVE_BUFFER_BYTES,
        };
        self.load.set(Part::Unsent, bytes);
    }

    /// Reads a request with its complete body. `delays` returns the sum of all delays of this process so
    /// far. `reserve` is called with the size of the head and of each part of the body, and states whether
    /// there is memory for it.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if no valid request within the limits arrives in time.
    pub async fn read_request(
        &mut self,
        limits: &RequestLimits,
        delays: impl Fn() -> Duration,
        mut reserve: impl FnMut(Part, usize) -> bool,
    ) -> Result<(Head, Bytes), ReadError> {
        let head = self.read_head(limits.max_head);
        let (req, length) = arrive(limits.arrival_timeout, &delays, head).await?;
        self.record_received();
        self.version = req.version();
        let is_expecting = req.head().expect();
        let head = Head::new(&req);
        drop(req);
        // The rest of the buffer would keep the memory of the received head.
        self.buf = BytesMut::from(&self.buf[..]);
        self.record_received();
        let bytes = HEAD_COPIES * head.bytes() + ENDPOINT_BUFFER_BYTES;
        if !has_room_soon(&self.load, || reserve(Part::Head, bytes)).await {
            return Err(ReadError::NoMemory);
        }
        self.load.set(Part::Response, ENDPOINT_BUFFER_BYTES);
        self.load.set(Part::Head, HEAD_COPIES * head.bytes());
        if length == BodyLength::Bytes(0) {
            return Ok((head, Bytes::new()));
        }
        if is_expecting {
            self.out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            self.flush().await.map_err(|_| ReadError::Closed)?;
        }
        let body = self.read_body(length, limits.max_body, reserve);
        let read = arrive(limits.arrival_timeout, &delays, body).await;
        self.record_received();
        Ok((head, read?))
    }

    /// Reads a head. Its body is read without the codec, which would pass over faults.
    async fn read_head(&mut self, max: usize) -> Result<(Request, BodyLength), ReadError> {
        let head = self.scan_head(max).await?;
        let mut bytes = self.buf.split_to(head.size);
        let mut codec = Codec::new(self.codec.config().clone());
        match codec.decode(&mut bytes) {
            Ok(Some(Message::Item(req))) => {
                self.codec = response_codec(codec, &req)?;
                Ok((req, head.body))
            }
            Ok(_) => Err(ReadError::Refused(ParseError::Incomplete)),
            Err(ParseError::TooLarge) => Err(ReadError::HeadTooLarge),
            Err(e) => Err(ReadError::Refused(e)),
        }
    }

    /// Reads until the buffer has a whole head.
    async fn scan_head(&mut self, max: usize) -> Result<ScannedRequest, ReadError> {
        loop {
            match scan_request(&self.buf)? {
                Some(head) if head.size > max => return Err(ReadError::HeadTooLarge),
                Some(head) => return Ok(head),
                None if self.buf.len() > max => return Err(ReadError::HeadTooLarge),
                None => self.read_more().await?,
            }
        }
    }

    async fn read_body(
        &mut self,
        length: BodyLength,
        max: usize,
        mut reserve: impl FnMut(Part, usize) -> bool,
    ) -> Result<Bytes, ReadError> {
        let mut body = BytesMut::new();
        let mut take = |buf: &mut BytesMut, n: usize| {
            if body.len() + n > max {
                return Err(ReadError::BodyTooLarge);
            }
            if !reserve(Part::Body, n) {
                return Err(ReadError::NoMemory);
            }
            body.extend_from_slice(&buf[..n]);
            buf.advance(n);
            Ok(())
        };
        match length {
            BodyLength::Bytes(mut left) => {
                while left > 0 {
                    if self.buf.is_empty() {
                        self.read_more().await?;
                    }
                    let n = usize::try_from(left).unwrap_or(usize::MAX).min(self.buf.len());
                    take(&mut self.buf, n)?;
                    left -= n as u64;
                }
            }
            _ => self.read_chunks(take).await?,
        }
        Ok(body.freeze())
    }

    async fn read_chunks(
        &mut self,
        mut take: impl FnMut(&mut BytesMut, usize) -> Result<(), ReadError>,
    ) -> Result<(), ReadError> {
        let mut scanner = ChunkScanner::default();
        loop {
            match scanner.scan(&self.buf)? {
                ChunkStep::More => self.read_more().await?,
                ChunkStep::Mark(n) => self.buf.advance(n),
                ChunkStep::Data(n) => take(&mut self.buf, n)?,
                ChunkStep::End(n) => {
                    self.buf.advance(n);
                    return Ok(());
                }
            }
        }
    }

    /// Reads more bytes into the buffer; an error or the end of the stream counts as closed.
    async fn read_more(&mut self) -> Result<(), ReadError> {
        wait_for_room(&self.load).await;
        let read = read_available(&mut self.io.split().0, &mut self.buf).await;
        self.record_received();
        match read {
            Ok(n) if n > 0 => Ok(()),
            _ => Err(ReadError::Closed),
        }
    }

    /// Waits until the caller has closed the connection. Cancel safe.
    pub async fn closed(&mut self) {
        let (mut io, _) = self.io.split();
        closed(&mut io, &mut self.buf, &self.load).await;
    }

    /// Returns whether the connection stays open after the last response.
    pub fn is_keep_alive(&self) -> bool {
        self.codec.keep_alive() && !self.is_unframed
    }

    /// Sends the head of a response whose body follows in chunks. HTTP/1.0 has no chunks, so the
    /// end of the connection then marks the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected or does not read.
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
        self.is_unframed = size == BodySize::Stream && self.version < Version::HTTP_11;
        if self.is_unframed {
            // A close in order, also that of a process that is killed, would mark the response as
            // complete.
            SockRef::from(&self.io).set_linger(Some(Duration::ZERO))?;
            head.head_mut().no_chunking(true);
        }
        if close || self.is_unframed {
            head.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.codec.encode(Message::Item((head, size)), &mut self.out)
    }

    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected or does not read.
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

    /// Encodes a complete response, and sends of it what the socket takes at once. `size` is that of
    /// the body, or what the response to a HEAD request states in place of one.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn queue_response(
        &mut self,
        head: Response<()>,
        size: BodySize,
        body: Bytes,
        close: bool,
    ) -> std::io::Result<()> {
        self.encode_head(head, size, close)?;
        if body.is_empty() {
            return self.write_queued().map(|_| ());
        }
        self.queue_chunk(body).map(|_| ())
    }

    /// Encodes a chunk of the body, and sends what the socket takes at once. Returns the number of
    /// bytes sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn queue_chunk(&mut self, chunk: Bytes) -> std::io::Result<usize> {
        grow(&mut self.out, chunk.len());
        self.codec.encode(Message::Chunk(Some(chunk)), &mut self.out)?;
        self.write_queued()
    }

    fn write_queued(&mut self) -> std::io::Result<usize> {
        let sent = try_write(&self.io, &mut self.out);
        self.record_unsent();
        sent
    }

    /// Encodes the end of a body that is sent in chunks.
    ///
    /// # Errors
    ///
    /// Returns an error if the body cannot end here.
    pub fn queue_end(&mut self) -> std::io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.out)
    }

    /// Returns the number of encoded bytes that have not been sent.
    pub fn unsent(&self) -> usize {
        self.out.len()
    }

    /// Sends some of the encoded bytes, waiting until the socket takes them. Returns their number.
    /// Cancel safe.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub async fn send_some(&mut self) -> std::io::Result<usize> {
        let sent = write_some(&mut self.io.split().1, &mut self.out).await;
        self.record_unsent();
        sent
    }

    /// Like [`Inbound::send_some`], and waits without end if all bytes have been sent. It also fails
    /// as soon as the caller closes its side of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub async fn send_until_closed(&mut self) -> std::io::Result<usize> {
        let has_unsent = !self.out.is_empty();
        let (mut reader, mut writer) = self.io.split();
        let sent = tokio::select! {
            sent = write_some(&mut writer, &mut self.out), if has_unsent => sent,
            () = closed(&mut reader, &mut self.buf, &self.load) => {
                Err(std::io::ErrorKind::ConnectionAborted.into())
            }
        };
        self.record_unsent();
        sent
    }

    /// Marks the end of a body after its last byte has been sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket does not accept the option.
    pub fn end_body(&mut self) -> std::io::Result<()> {
        if self.is_unframed { SockRef::from(&self.io).set_linger(None) } else { Ok(()) }
    }

    /// Bounds the kernel's buffer for a stream, and lets the caller read in long intervals: the
    /// time that it takes is limited by the sender of the stream.
    pub fn bound_buffer(&mut self) {
        let socket = SockRef::from(&self.io);
        if let Err(e) = socket.set_send_buffer_size(SEND_BUFFER_BYTES) {
            log::debug!("setting SO_SNDBUF failed: {e}");
        }
        self.kernel_bytes = KERNEL_MULTIPLE * SEND_BUFFER_BYTES;
        if let Err(e) = socket.set_tcp_user_timeout(Some(FULL_TIMEOUT)) {
            log::debug!("setting TCP_USER_TIMEOUT failed: {e}");
        }
    }

    async fn flush(&mut self) -> std::io::Result<()> {
        while !self.out.is_empty() {
            match timeout(READ_TIMEOUT, self.send_some()).await {
                Ok(sent) => sent?,
                Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
            };
        }
        Ok(())
    }

    /// Closes the connection after the bytes written to it have been sent.
    pub async fn close(mut self) {
        if let Err(e) = self.io.shutdown().await {
            log::debug!("shutting down a caller connection failed: {e}");
        }
        // Closing the socket with unread bytes would reset the connection, and the caller could
        // lose the response.
        let _ = timeout(LINGER_TIMEOUT, self.discard()).await;
    }

    /// Reads and discards bytes until the caller has closed the connection.
    async fn discard(&mut self) {
        loop {
            self.buf.clear();
            self.record_received();
            match read_available(&mut self.io.split().0, &mut self.buf).await {
                Ok(n) if n > 0 => {}
                _ => return,
            }
        }
    }
}

impl Drop for Inbound {
    /// Resets the connection if bytes of a response are unsent, or its response is given up. The kernel
    /// would keep what the caller has not taken otherwise, after the connection has left the sum.
    fn drop(&mut self) {
        if self.out.is_empty() && !self.load.is_revoked() {
            return;
        }
        if let Err(e) = SockRef::from(&self.io).set_linger(Some(Duration::ZERO)) {
            log::debug!("setting SO_LINGER failed: {e}");
        }
    }
}

/// Returns the codec of the response to a request that `codec` has decoded. An offer to change the
/// protocol is declined; the codec alone would take the connection for that of another protocol.
fn response_codec(codec: Codec, req: &Request) -> Result<Codec, ReadError> {
    let (head, version) = (req.head(), req.version());
    if !head.upgrade() && !head.headers().contains_key(UPGRADE) {
        return Ok(codec);
    }
    let is_kept = match head.connection_type() {
        ConnectionType::Close => false,
        ConnectionType::KeepAlive => true,
        ConnectionType::Upgrade => version == Version::HTTP_11,
    };
    let connection = if is_kept { "keep-alive" } else { "close" };
    let method = if *req.method() == Method::HEAD { "HEAD" } else { "GET" };
    let plain = format!("{method} / {version:?}\r\nHost: -\r\nConnection: {connection}\r\n\r\n");
    let mut codec = Codec::new(codec.config().clone());
    codec.decode(&mut BytesMut::from(plain.as_str())).map_err(ReadError::Refused)?;
    Ok(codec)
}

/// Waits for a part of a request for as long as its caller may take.
async fn arrive<T>(
    limit: Duration,
    delays: &impl Fn() -> Duration,
    part: impl Future<Output = Result<T, ReadError>>,
) -> Result<T, ReadError> {
    let allowance = Allowance::new(limit, clock::now(), delays());
    let (mut part, mut left) = (pin!(part), limit);
    loop {
        if let Ok(done) = timeout(left, part.as_mut()).await {
            return done;
        }
        left = allowance.left(clock::now(), delays());
        if left.is_zero() {
            return Err(ReadError::Slow);
        }
    }
}

/// Waits until the sum over all connections keeps to its limit.
async fn wait_for_room(load: &Load) {
    while load.is_sum_exceeded() {
        tokio::time::sleep(ROOM_INTERVAL).await;
    }
}

/// Returns whether there is room for a request within [`ROOM_TIMEOUT`], in which connections that keep much
/// are closed.
async fn has_room_soon(load: &Load, mut has_room: impl FnMut() -> bool) -> bool {
    let waited = async {
        while !has_room() {
            load.ask_for_room();
            tokio::time::sleep(ROOM_INTERVAL).await;
        }
    };
    timeout(ROOM_TIMEOUT, waited).await.is_ok()
}

/// Records the bytes in the buffer, and those that the kernel may hold once it is full.
fn record_received(load: &Load, buf: &BytesMut) {
    let bytes = match buf.len() {
        0 => 0,
        n if n < MAX_PIPELINED_BYTES => buf.capacity(),
        _ => buf.capacity() + RECEIVE_BUFFER_BYTES,
    };
    load.set(Part::Received, bytes);
}

/// Waits until the caller has closed the connection. Cancel safe.
///
/// Once the buffer for pipelined requests is full, it reads no more, and checks at intervals whether
/// the caller has closed its end.
async fn closed(io: &mut ReadHalf<'_>, buf: &mut BytesMut, load: &Load) {
    while buf.len() < MAX_PIPELINED_BYTES {
        if !buf.is_empty() {
            wait_for_room(load).await;
        }
        match read_available(io, buf).await {
            Ok(n) if n > 0 => record_received(load, buf),
            _ => return,
        }
    }
    while !is_read_closed(io).await {
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
    }
}

/// Returns whether the caller has closed its end, even if bytes before that are unread.
async fn is_read_closed(io: &ReadHalf<'_>) -> bool {
    match io.ready(Interest::READABLE).await {
        Ok(ready) => ready.is_read_closed(),
        Err(_) => true,
    }
}
