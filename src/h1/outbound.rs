//! Requests to endpoints, each on its own connection.

use super::scan::{
    BodyLength, ChunkScanner, ChunkStep, Fault, MAX_HEAD_BYTES, ScannedHead, scan_head,
};
use super::{Broken, read_available, set_socket_options, try_write, write_some};
use crate::callers::{Charge, ENDPOINT_BUFFER_BYTES, Load};
use crate::clock;
use crate::net;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message};
use actix_http::header::{CONTENT_ENCODING, CONTENT_TYPE, HOST, HeaderValue};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode};
use actix_rt::net::TcpStream;
use bytes::{Buf, Bytes, BytesMut};
use futures_util::stream::{self, Stream};
use socket2::SockRef;
use std::fmt;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio::time::timeout;
use tokio_util::codec::Encoder;

/// Bytes that a decoded field takes beside its name and its value.
const FIELD_BYTES: usize = 256;
/// Time after an end in order in which a reset shows that the request was not read.
const CLOSE_CHECK_TIME: Duration = Duration::from_millis(50);
/// Interval between two checks for such a reset.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Largest body that is copied behind its head, to be sent with it.
const MAX_JOINED_BYTES: usize = 8 << 10;

/// Builds the head of a request to an endpoint, with the content type of its body if it has one;
/// `None` if the path or the content type is invalid.
pub fn request_head(
    to: SocketAddr,
    method: Method,
    path: &str,
    content: Option<&str>,
) -> Option<RequestHead> {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = path.parse().ok()?;
    head.headers.insert(HOST, HeaderValue::from_str(&to.to_string()).ok()?);
    if let Some(content) = content {
        head.headers.insert(CONTENT_TYPE, HeaderValue::from_str(content).ok()?);
    }
    Some(head)
}

/// Reason why a request was not sent.
#[derive(Debug)]
pub enum SendError {
    /// The connection could not be established.
    Unreached(std::io::Error),
    /// The request could not be encoded.
    Head(std::io::Error),
}

/// How a response marks the end of its body.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Framing {
    /// By its length; a response without a body counts too.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection, if it is in order: a reset or a failed write leaves the body
    /// incomplete. An endpoint that crashes may end it in order, too.
    Close,
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::Close => "close",
        })
    }
}

/// Maximum number of interim responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Part of the response that is read next.
#[derive(Debug)]
enum Phase {
    /// Head, after this many interim responses.
    Head(usize),
    /// This many bytes of the body.
    Bytes(u64),
    Chunks(ChunkScanner),
    /// Body that ends with the connection.
    Rest,
    Done,
}

/// Request to an endpoint and its response. Dropping it closes the connection, which cancels the
/// request.
#[derive(Debug)]
pub struct Outbound {
    io: TcpStream,
    /// Received bytes that are not decoded yet.
    buf: BytesMut,
    /// Encoded head of the request, as far as it is not sent yet.
    out: BytesMut,
    /// Body of the request, as far as it is not sent yet.
    body: Bytes,
    phase: Phase,
    method: Method,
    framing: Framing,
    /// Size of the body that the response to a HEAD request leaves out.
    omitted: Option<BodySize>,
    /// Whether the first bytes of the request have been sent.
    is_begun: bool,
    /// Why the rest of the request was not sent.
    write_error: Option<ErrorKind>,
    /// When the check ends that follows an end in order; `None` before it begins.
    close_checked: Option<Instant>,
    /// Bytes of the decoded head of the response.
    head_bytes: usize,
    /// Bytes of its body that the reader keeps.
    body_bytes: usize,
    /// Where the bytes that are kept of the response are counted.
    charge: Option<Charge>,
}

impl Outbound {
    /// Connects to an endpoint and encodes a request, which is sent while the response is awaited.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] if the request cannot be encoded or the connection is not established
    /// within `wait`. Nothing has been sent then.
    pub async fn connect(
        to: SocketAddr,
        wait: Duration,
        config: &ServiceConfig,
        head: RequestHead,
        body: Bytes,
    ) -> Result<Outbound, SendError> {
        Outbound::begin(net::connect(to), wait, config, head, body).await
    }

    /// Connects like [`Outbound::connect`] for a caller. What is kept of the response is counted in what
    /// the connection of the caller keeps, and the kernel keeps at most [`ENDPOINT_BUFFER_BYTES`].
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] as [`Outbound::connect`] does.
    pub async fn connect_for(
        load: &Load,
        to: SocketAddr,
        wait: Duration,
        config: &ServiceConfig,
        head: RequestHead,
        body: Bytes,
    ) -> Result<Outbound, SendError> {
        let connecting = net::connect_bounded(to, ENDPOINT_BUFFER_BYTES as u32);
        let mut out = Outbound::begin(connecting, wait, config, head, body).await?;
        out.charge = Some(Charge::new(load));
        Ok(out)
    }

    async fn begin(
        connecting: impl Future<Output = std::io::Result<TcpStream>>,
        wait: Duration,
        config: &ServiceConfig,
        head: RequestHead,
        body: Bytes,
    ) -> Result<Outbound, SendError> {
        let mut codec = ClientCodec::new(config.clone());
        let mut out = BytesMut::new();
        let method = head.method.clone();
        let size = if !body.is_empty() || method == Method::POST {
            BodySize::Sized(body.len() as u64)
        } else {
            BodySize::None
        };
        let head = RequestHeadType::Owned(head);
        codec.encode(Message::Item((head, size)), &mut out).map_err(SendError::Head)?;
        let mut body = body;
        if body.len() <= MAX_JOINED_BYTES {
            out.extend_from_slice(&std::mem::take(&mut body));
        }
        let io = match timeout(wait, connecting).await {
            Ok(io) => io.map_err(SendError::Unreached)?,
            Err(_) => return Err(SendError::Unreached(std::io::ErrorKind::TimedOut.into())),
        };
        set_socket_options(&io);
        Ok(Outbound {
            io,
            buf: BytesMut::new(),
            out,
            body,
            phase: Phase::Head(0),
            method,
            framing: Framing::Length,
            omitted: None,
            is_begun: false,
            write_error: None,
            close_checked: None,
            head_bytes: 0,
            body_bytes: 0,
            charge: None,
        })
    }

    /// Records that the reader keeps this many bytes of the body.
    pub fn keep_body(&mut self, bytes: usize) {
        self.body_bytes = bytes;
        self.record_kept();
    }

    fn record_kept(&mut self) {
        let undecoded = if self.buf.is_empty() { 0 } else { self.buf.capacity() };
        if let Some(charge) = &mut self.charge {
            charge.set(self.head_bytes + undecoded + self.body_bytes);
        }
    }

    /// Checks that there is memory for a read into a buffer.
    fn check_room(&self, buf: &BytesMut) -> Result<(), Broken> {
        let may_read = |c: &Charge| c.may_read(buf.len(), buf.capacity());
        if self.charge.as_ref().is_none_or(may_read) { Ok(()) } else { Err(Broken::NoMemory) }
    }

    /// Returns the number of bytes of the request that are not sent yet.
    pub fn unsent(&self) -> usize {
        self.out.len() + self.body.len()
    }

    /// Sends the rest of the request and waits for the head of the response, which may arrive
    /// before the request has been sent completely.
    ///
    /// # Errors
    ///
    /// Returns [`Broken`] if no valid head arrives, or there is no memory for it.
    pub async fn read_head(&mut self) -> Result<ResponseHead, Broken> {
        self.begin_request().await?;
        let mut scanned = 0;
        loop {
            // The lines of a head are scanned once they are complete.
            let is_due = self.buf.len() > MAX_HEAD_BYTES || self.buf[scanned..].contains(&b'\n');
            if (scanned == 0 || is_due)
                && let Some(head) = scan_head(&self.buf)?
            {
                self.buf.advance(head.size);
                scanned = 0;
                if head.status.is_informational() {
                    self.count_interim()?;
                    continue;
                }
                // Requests ask for no encoding, and nothing here decodes one.
                if head.headers.contains_key(CONTENT_ENCODING) {
                    return Err(Fault::Encoding.into());
                }
                return Ok(self.begin_body(head));
            }
            scanned = self.buf.len();
            self.record_kept();
            self.check_room(&self.buf)?;
            if !self.exchange_bytes().await? {
                return Err(Broken::Early);
            }
        }
    }

    /// Sends the first bytes of the request. What has arrived before is no part of its response, whatever it
    /// says. Cancel safe.
    async fn begin_request(&mut self) -> Result<(), Broken> {
        while !self.is_begun {
            self.io.writable().await.map_err(|e| Broken::Read(e.kind()))?;
            if is_unasked(&self.io)? {
                return Err(Fault::Unasked.into());
            }
            match try_write(&self.io, &mut self.out) {
                Ok(0) => continue,
                Ok(_) => {}
                Err(e) => self.give_up_request(e.kind()),
            }
            self.is_begun = true;
        }
        Ok(())
    }

    fn count_interim(&mut self) -> Result<(), Fault> {
        match &mut self.phase {
            Phase::Head(n) if *n < MAX_INTERIM_RESPONSES => {
                *n += 1;
                Ok(())
            }
            _ => Err(Fault::Interim),
        }
    }

    /// Chooses how the body of the response is read.
    fn begin_body(&mut self, head: ScannedHead) -> ResponseHead {
        let has_body = self.method != Method::HEAD
            && !matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        (self.framing, self.phase) = match head.length {
            _ if !has_body => (Framing::Length, Phase::Done),
            BodyLength::Bytes(n) => (Framing::Length, Phase::Bytes(n)),
            BodyLength::Chunked => (Framing::Chunked, Phase::Chunks(ChunkScanner::default())),
            BodyLength::Close => (Framing::Close, Phase::Rest),
        };
        self.omitted = (self.method == Method::HEAD).then_some(match head.length {
            BodyLength::Bytes(n) => BodySize::Sized(n),
            BodyLength::Chunked | BodyLength::Close => BodySize::None,
        });
        self.head_bytes = head.size + head.headers.len() * FIELD_BYTES;
        // The rest of the buffer would keep the memory of the received head.
        self.buf = BytesMut::from(&self.buf[..]);
        self.record_kept();
        let mut response = ResponseHead::new(head.status);
        response.version = head.version;
        response.headers = head.headers;
        response
    }

    /// Sends bytes of the request until some bytes of the response have been read; returns `false` if
    /// the endpoint has closed the connection in order instead. Cancel safe.
    async fn exchange_bytes(&mut self) -> Result<bool, Broken> {
        loop {
            let Outbound { io, buf, out, body, .. } = self;
            let (mut reader, mut writer) = io.split();
            let has_unsent = !out.is_empty() || !body.is_empty();
            let sent = tokio::select! {
                read = read_available(&mut reader, buf) => {
                    let n = read.map_err(|e| Broken::Read(e.kind()))?;
                    return self.check_end(n);
                }
                sent = send_part(&mut writer, out, body), if has_unsent => sent,
            };
            if let Err(e) = sent {
                self.give_up_request(e.kind());
            }
        }
    }

    /// Gives up the rest of the request. An endpoint may respond early and stop reading; a response
    /// that states its end still counts.
    fn give_up_request(&mut self, error: ErrorKind) {
        self.write_error = Some(error);
        self.out.clear();
        self.body.clear();
    }

    /// Returns whether `n` bytes read are not the end of the stream.
    fn check_end(&self, n: usize) -> Result<bool, Broken> {
        match self.write_error {
            Some(e) if n == 0 => Err(Broken::Write(e)),
            _ => Ok(n > 0),
        }
    }

    /// Checks that an endpoint which has ended the connection in order takes the rest of the request.
    /// One that closes its socket before it has read the request, as a process that ends does, resets the
    /// connection at the next bytes, and its response may be a part. Cancel safe.
    async fn check_close(&mut self) -> Result<(), Broken> {
        let end = *self.close_checked.get_or_insert_with(|| clock::now() + CLOSE_CHECK_TIME);
        loop {
            if let Err(e) = self.try_send() {
                self.give_up_request(e.kind());
                return Err(Broken::Write(e.kind()));
            }
            if let Ok(Some(e)) = self.io.take_error() {
                return Err(Broken::Read(e.kind()));
            }
            let is_sent = self.unsent() == 0 && unacked(&self.io) == 0;
            if is_sent || clock::now() >= end {
                return Ok(());
            }
            tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }

    /// Sends what the connection takes at once of the rest of the request.
    fn try_send(&mut self) -> std::io::Result<()> {
        if !self.out.is_empty() {
            try_write(&self.io, &mut self.out)?;
        }
        if self.out.is_empty() && !self.body.is_empty() {
            match self.io.try_write(&self.body) {
                Ok(n) => self.body.advance(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Returns the next chunk of the body, `None` at its end. Cancel safe.
    ///
    /// # Errors
    ///
    /// Returns [`Broken`] if the body is incomplete or malformed.
    pub async fn read_chunk(&mut self) -> Result<Option<Bytes>, Broken> {
        loop {
            if let Some(chunk) = self.take_chunk()? {
                return Ok(Some(chunk));
            }
            if matches!(self.phase, Phase::Done) {
                return Ok(None);
            }
            self.record_kept();
            if !self.exchange_bytes().await? {
                match self.phase {
                    Phase::Rest => {
                        self.check_close().await?;
                        self.phase = Phase::Done;
                    }
                    _ => return Err(Broken::Early),
                }
            }
        }
    }

    /// Returns the part of the body that has arrived; `None` if there is none, or the body has ended.
    fn take_chunk(&mut self) -> Result<Option<Bytes>, Fault> {
        loop {
            let n = match &mut self.phase {
                Phase::Bytes(0) => {
                    self.phase = Phase::Done;
                    return Ok(None);
                }
                Phase::Bytes(left) => {
                    let n = usize::try_from(*left).unwrap_or(usize::MAX).min(self.buf.len());
                    *left -= n as u64;
                    n
                }
                Phase::Chunks(scanner) => match scanner.scan(&self.buf)? {
                    ChunkStep::More => 0,
                    ChunkStep::Data(n) => n,
                    ChunkStep::Mark(n) => {
                        self.buf.advance(n);
                        continue;
                    }
                    ChunkStep::End(_) => {
                        self.phase = Phase::Done;
                        return Ok(None);
                    }
                },
                Phase::Rest => self.buf.len(),
                Phase::Head(_) | Phase::Done => return Ok(None),
            };
            return Ok((n > 0).then(|| self.buf.split_to(n).freeze()));
        }
    }

    /// Returns how the response marks the end of its body, once its head has been read.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the size that the response to a HEAD request states of the body that it leaves out;
    /// `None` after another request.
    pub fn stated_size(&self) -> Option<BodySize> {
        self.omitted
    }

    /// Reads a complete body of at most `max` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Broken`] if the body is incomplete, malformed or longer, or there is no memory for it.
    pub async fn read_body(&mut self, max: usize) -> Result<Bytes, Broken> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.read_chunk().await? {
            if body.len() + chunk.len() > max {
                return Err(Fault::BodySize.into());
            }
            body.extend_from_slice(&chunk);
            self.keep_body(body.capacity());
            self.check_room(&body)?;
        }
        Ok(body.freeze())
    }

    /// Reads a complete body of at most `max` bytes, and keeps none of them.
    ///
    /// # Errors
    ///
    /// Returns [`Broken`] if the body is incomplete, malformed or longer.
    pub async fn skip_body(&mut self, max: usize) -> Result<(), Broken> {
        let mut bytes = 0;
        while let Some(chunk) = self.read_chunk().await? {
            bytes += chunk.len();
            if bytes > max {
                return Err(Fault::BodySize.into());
            }
        }
        Ok(())
    }

    /// Converts into a stream of the chunks of the body, which ends after an error.
    pub fn into_chunks(self) -> impl Stream<Item = Result<Bytes, Broken>> {
        stream::unfold(Some(self), async |out| {
            let mut out = out?;
            match out.read_chunk().await {
                Ok(Some(chunk)) => Some((Ok(chunk), Some(out))),
                Ok(None) => None,
                Err(e) => Some((Err(e), None)),
            }
        })
    }
}

/// Returns whether bytes have arrived on a connection. The runtime does not know of them at once.
fn is_unasked(io: &TcpStream) -> Result<bool, Broken> {
    match SockRef::from(io).peek(&mut [MaybeUninit::uninit()]) {
        Ok(n) => Ok(n > 0),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Ok(false),
        Err(e) => Err(Broken::Read(e.kind())),
    }
}

/// Returns the number of sent bytes that the other side has not acknowledged; 0 if it is not known.
fn unacked(io: &TcpStream) -> usize {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the call writes one number, to a place that outlives it.
    let done = unsafe { libc::ioctl(io.as_raw_fd(), libc::TIOCOUTQ, &raw mut bytes) };
    if done == 0 { usize::try_from(bytes).unwrap_or(0) } else { 0 }
}

/// Sends some bytes of a request. Cancel safe.
async fn send_part(
    io: &mut WriteHalf<'_>,
    out: &mut BytesMut,
    body: &mut Bytes,
) -> std::io::Result<()> {
    if !out.is_empty() {
        return write_some(io, out).await.map(|_| ());
    }
    match io.write_buf(body).await? {
        0 => Err(ErrorKind::WriteZero.into()),
        _ => Ok(()),
    }
}
