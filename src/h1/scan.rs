//! Strict scan of the bytes of a request or a response.
//!
//! Bytes that break a rule of HTTP/1.1 are no message: where readers differ in what they make of
//! them, one of them takes a part of one message for another.

use actix_http::header::{
    CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use actix_http::{StatusCode, Version};
use std::fmt;

/// Maximum size of a head.
pub const MAX_HEAD_BYTES: usize = 128 << 10;
/// Maximum number of fields in a head, or after the last chunk.
const MAX_FIELDS: usize = 96;
/// Maximum size of the line before a chunk, with its extensions.
const MAX_CHUNK_LINE_BYTES: usize = 4 << 10;
/// Maximum size of a line after the last chunk.
const MAX_TRAILER_LINE_BYTES: usize = 16 << 10;
/// Fields that decide where a request ends and which host it is for.
const ROUTING_FIELDS: [&str; 3] = ["content-length", "transfer-encoding", "host"];
/// Number of hexadecimal digits in the largest size of a chunk.
const MAX_SIZE_DIGITS: usize = 16;

/// Rule that the bytes of a message break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The method is no token, or is CONNECT, which asks for a tunnel.
    Method,
    /// The target is neither a path nor a URI, or has a part that is not passed on.
    Target,
    /// The target names another host than the field does, or there are several fields.
    Host,
    /// The version is neither HTTP/1.1 nor HTTP/1.0.
    Version,
    /// The status is no number from 100 to 599, or is 101, which nothing asked for.
    Status,
    /// The status line has control bytes.
    Reason,
    /// A line does not end with CR and LF.
    LineEnd,
    /// The name of a field is not a token that ends with a colon.
    FieldName,
    /// The value of a field has control bytes.
    FieldValue,
    /// The head is too large or has too many fields.
    HeadSize,
    /// There are too many interim responses.
    Interim,
    /// The length is no number, or given twice.
    Length,
    /// The body has a transfer coding that is not chunked alone, or that its head does not allow.
    Coding,
    /// The body is encoded, which no request asks for.
    Encoding,
    /// The size of a chunk is no number.
    ChunkSize,
    /// A chunk does not end at its size.
    ChunkEnd,
    /// There are too many fields after the last chunk.
    Trailer,
    /// The body is too large.
    BodySize,
    /// An event of a stream is too large.
    EventSize,
    /// There are bytes on the connection before its request.
    Unasked,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::Method => "method",
            Fault::Target => "request target",
            Fault::Host => "host",
            Fault::Version => "version",
            Fault::Status => "status",
            Fault::Reason => "reason phrase",
            Fault::LineEnd => "line ending",
            Fault::FieldName => "field name",
            Fault::FieldValue => "field value",
            Fault::HeadSize => "size of the head",
            Fault::Interim => "number of interim responses",
            Fault::Length => "content length",
            Fault::Coding => "transfer coding",
            Fault::Encoding => "content encoding",
            Fault::ChunkSize => "chunk size",
            Fault::ChunkEnd => "end of a chunk",
            Fault::Trailer => "trailer",
            Fault::BodySize => "size of the body",
            Fault::EventSize => "size of an event",
            Fault::Unasked => "bytes before the request",
        })
    }
}

/// Length of a body as its head states it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BodyLength {
    /// Number of bytes.
    Bytes(u64),
    /// The last chunk ends it.
    Chunked,
    /// The end of the connection ends it.
    Close,
}

/// Head of a response.
#[derive(Debug)]
pub struct ScannedHead {
    /// Version of the protocol.
    pub version: Version,
    /// Status from 100 to 599.
    pub status: StatusCode,
    /// Fields in order.
    pub headers: HeaderMap,
    /// Length of the body, unless the method or the status allows none.
    pub length: BodyLength,
    /// Number of bytes of the head.
    pub size: usize,
}

/// Scans the head of a response; `None` if the bytes end before the head does.
///
/// # Errors
///
/// Returns [`Fault`] if the bytes cannot become a valid head.
pub fn scan_head(bytes: &[u8]) -> Result<Option<ScannedHead>, Fault> {
    let Some((line, size)) = scan_line(bytes)? else { return check_start(bytes) };
    let (version, status) = scan_status_line(line)?;
    let mut headers = HeaderMap::new();
    let append = |name: &[u8], value: &[u8]| append_field(&mut headers, name, value);
    let Some(size) = scan_fields(bytes, size, append)? else { return Ok(None) };
    let length = body_length(version, &headers)?;
    Ok(Some(ScannedHead { version, status, headers, length, size }))
}

/// Head of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScannedRequest {
    /// Number of bytes of the head, with empty lines before it.
    pub size: usize,
    /// Length of the body.
    pub body: BodyLength,
}

/// Scans the head of a request; `None` if the bytes end before the head does.
///
/// # Errors
///
/// Returns [`Fault`] if the bytes cannot become a valid head.
pub fn scan_request(bytes: &[u8]) -> Result<Option<ScannedRequest>, Fault> {
    let mut start = 0;
    // Some clients send an empty line after a body.
    while bytes[start..].starts_with(b"\r\n") {
        start += 2;
    }
    let Some((line, size)) = scan_line(&bytes[start..])? else {
        check_size(bytes)?;
        return check_method(&bytes[start..]).map(|()| None);
    };
    let (target, version) = scan_request_line(line)?;
    let mut framing = HeaderMap::new();
    let keep = |name: &[u8], value: &[u8]| match ROUTING_FIELDS
        .iter()
        .any(|kept| kept.as_bytes().eq_ignore_ascii_case(name))
    {
        true => append_field(&mut framing, name, value),
        false => Ok(()),
    };
    let Some(size) = scan_fields(bytes, start + size, keep)? else { return Ok(None) };
    check_host(target, &framing)?;
    let body = match body_length(version, &framing)? {
        BodyLength::Close => BodyLength::Bytes(0),
        length => length,
    };
    Ok(Some(ScannedRequest { size, body }))
}

/// Checks a request line without its end, which other protocols may never send.
fn check_method(bytes: &[u8]) -> Result<(), Fault> {
    match bytes.iter().position(|b| !is_token(*b)) {
        None => Ok(()),
        Some(n) if n > 0 && bytes[n] == b' ' => Ok(()),
        Some(_) if bytes == b"\r" => Ok(()),
        Some(_) => Err(Fault::Method),
    }
}

/// Returns the target and the version.
fn scan_request_line(line: &[u8]) -> Result<(&[u8], Version), Fault> {
    let end = line.iter().position(|b| !is_token(*b)).filter(|n| *n > 0 && line[*n] == b' ');
    let end = end.ok_or(Fault::Method)?;
    if &line[..end] == b"CONNECT" {
        return Err(Fault::Method);
    }
    let rest = &line[end + 1..];
    let end = rest.iter().position(|b| *b == b' ').ok_or(Fault::Version)?;
    let (target, version) = (&rest[..end], &rest[end + 1..]);
    // A fragment would be cut off.
    if target.is_empty() || !target.iter().all(|b| is_text(*b) && !matches!(b, b'\t' | b'#')) {
        return Err(Fault::Target);
    }
    match version {
        b"HTTP/1.1" => Ok((target, Version::HTTP_11)),
        b"HTTP/1.0" => Ok((target, Version::HTTP_10)),
        _ => Err(Fault::Version),
    }
}

/// Checks that a request names one host. That in a target is not passed on.
fn check_host(target: &[u8], framing: &HeaderMap) -> Result<(), Fault> {
    let mut hosts = framing.get_all(HOST);
    let (field, other) = (hosts.next(), hosts.next());
    if other.is_some() {
        return Err(Fault::Host);
    }
    if target.starts_with(b"/") || target == b"*" {
        return Ok(());
    }
    let start = target.windows(3).position(|w| w == b"://").ok_or(Fault::Target)?;
    let named = target[start + 3..].split(|b| matches!(b, b'/' | b'?')).next();
    match (named, field) {
        (Some(named), Some(field)) if named.eq_ignore_ascii_case(field.as_bytes()) => Ok(()),
        _ => Err(Fault::Host),
    }
}

/// Scans the fields of a head, which begin at `size`, and returns the size of the head; `None` if
/// the bytes end before it does.
fn scan_fields(
    bytes: &[u8],
    mut size: usize,
    mut keep: impl FnMut(&[u8], &[u8]) -> Result<(), Fault>,
) -> Result<Option<usize>, Fault> {
    for count in 0.. {
        let Some((line, n)) = scan_line(&bytes[size..])? else {
            check_size(bytes)?;
            return Ok(None);
        };
        size += n;
        if size > MAX_HEAD_BYTES {
            return Err(Fault::HeadSize);
        }
        if line.is_empty() {
            break;
        }
        if count == MAX_FIELDS {
            return Err(Fault::HeadSize);
        }
        let (name, value) = scan_field(line)?;
        keep(name, value)?;
    }
    Ok(Some(size))
}

fn append_field(headers: &mut HeaderMap, name: &[u8], value: &[u8]) -> Result<(), Fault> {
    let name = HeaderName::from_bytes(name).map_err(|_| Fault::FieldName)?;
    headers.append(name, HeaderValue::from_bytes(value).map_err(|_| Fault::FieldValue)?);
    Ok(())
}

/// Checks a status line without its end.
fn check_start(bytes: &[u8]) -> Result<Option<ScannedHead>, Fault> {
    let is_start = |version: &[u8]| version.iter().zip(bytes).all(|(a, b)| a == b);
    match is_start(b"HTTP/1.1 ") || is_start(b"HTTP/1.0 ") {
        true => check_size(bytes).map(|()| None),
        false => Err(Fault::Version),
    }
}

fn check_size(bytes: &[u8]) -> Result<(), Fault> {
    if bytes.len() > MAX_HEAD_BYTES { Err(Fault::HeadSize) } else { Ok(()) }
}

/// Returns the first line without its end, and its number of bytes with it; `None` if the bytes end
/// before.
fn scan_line(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, Fault> {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else { return Ok(None) };
    let line = bytes[..end].strip_suffix(b"\r").ok_or(Fault::LineEnd)?;
    Ok(Some((line, end + 1)))
}

fn scan_status_line(line: &[u8]) -> Result<(Version, StatusCode), Fault> {
    let (version, rest) = scan_version(line).ok_or(Fault::Version)?;
    let (status, rest) = scan_status(rest).ok_or(Fault::Status)?;
    scan_reason(rest).ok_or(Fault::Reason)?;
    Ok((version, status))
}

fn scan_version(bytes: &[u8]) -> Option<(Version, &[u8])> {
    let rest = bytes.strip_prefix(b"HTTP/1.1 ").map(|rest| (Version::HTTP_11, rest));
    rest.or_else(|| Some((Version::HTTP_10, bytes.strip_prefix(b"HTTP/1.0 ")?)))
}

fn scan_status(bytes: &[u8]) -> Option<(StatusCode, &[u8])> {
    let (digits, rest) = bytes.split_at_checked(3)?;
    let is_number = digits.iter().all(u8::is_ascii_digit) && (b'1'..=b'5').contains(&digits[0]);
    let status = StatusCode::from_bytes(digits).ok().filter(|_| is_number)?;
    (status != StatusCode::SWITCHING_PROTOCOLS).then_some((status, rest))
}

fn scan_reason(bytes: &[u8]) -> Option<()> {
    let Some((first, reason)) = bytes.split_first() else { return Some(()) };
    (*first == b' ' && reason.iter().all(|b| is_text(*b))).then_some(())
}

/// Returns the name and the value of a field.
fn scan_field(line: &[u8]) -> Result<(&[u8], &[u8]), Fault> {
    let end = line.iter().position(|b| !is_token(*b)).filter(|n| *n > 0);
    let end = end.filter(|n| line[*n] == b':').ok_or(Fault::FieldName)?;
    let is_blank = |b: &u8| matches!(b, b' ' | b'\t');
    let value = &line[end + 1..];
    if !value.iter().all(|b| is_text(*b)) {
        return Err(Fault::FieldValue);
    }
    let first = value.iter().position(|b| !is_blank(b)).unwrap_or(value.len());
    let last = value.iter().rposition(|b| !is_blank(b)).map_or(first, |n| n + 1);
    Ok((&line[..end], &value[first..last]))
}

fn is_token(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}

/// Returns whether a byte may stand in the value of a field.
fn is_text(b: u8) -> bool {
    b == b'\t' || b >= b' ' && b != 0x7f
}

/// Returns the length of the body that a head states.
fn body_length(version: Version, headers: &HeaderMap) -> Result<BodyLength, Fault> {
    let mut lengths = headers.get_all(CONTENT_LENGTH);
    let length = match (lengths.next(), lengths.next()) {
        (None, _) => None,
        (Some(n), None) => Some(scan_length(n.as_bytes()).ok_or(Fault::Length)?),
        (Some(_), Some(_)) => return Err(Fault::Length),
    };
    let mut codings = headers.get_all(TRANSFER_ENCODING);
    let coding = codings.next().map(HeaderValue::as_bytes);
    if codings.next().is_some() {
        return Err(Fault::Coding);
    }
    match (coding, length) {
        // Only the first version of HTTP/1.1 names it: the body is as without the field.
        (Some(coding), _) if coding.eq_ignore_ascii_case(b"identity") => {}
        (None, _) => {}
        (Some(coding), None)
            if coding.eq_ignore_ascii_case(b"chunked") && version == Version::HTTP_11 =>
        {
            return Ok(BodyLength::Chunked);
        }
        (Some(_), _) => return Err(Fault::Coding),
    }
    Ok(length.map_or(BodyLength::Close, BodyLength::Bytes))
}

fn scan_length(digits: &[u8]) -> Option<u64> {
    let is_number = digits.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(digits).ok().filter(|_| is_number)?.parse().ok()
}

/// Scans the size in the line before a chunk, whose extensions are passed over.
fn scan_size(line: &[u8]) -> Option<u64> {
    let end = line.iter().position(|b| !b.is_ascii_hexdigit()).unwrap_or(line.len());
    let (digits, extension) = line.split_at(end);
    let is_valid = extension.first().is_none_or(|b| *b == b';')
        && extension.iter().all(|b| is_text(*b))
        && digits.len() <= MAX_SIZE_DIGITS;
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok().filter(|_| is_valid)
}

/// Step in a body that is sent in chunks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ChunkStep {
    /// More bytes are needed.
    More,
    /// This many bytes mark the limits of chunks.
    Mark(usize),
    /// This many bytes belong to the body.
    Data(usize),
    /// The body ends after this many bytes.
    End(usize),
}

/// Finds the data in a body that is sent in chunks.
#[derive(Debug, Default)]
pub struct ChunkScanner {
    place: Place,
    /// Number of fields after the last chunk.
    fields: usize,
}

/// Place in a body that is sent in chunks.
#[derive(Debug, Default, Clone, Copy)]
enum Place {
    /// Before the line with the size of a chunk.
    #[default]
    Size,
    /// Before this many bytes of data.
    Data(u64),
    /// After the data of a chunk.
    End,
    /// After the last chunk.
    Trailer,
}

impl ChunkScanner {
    /// Scans the bytes that follow the last step.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if they do not belong to chunks.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<ChunkStep, Fault> {
        match self.place {
            Place::Data(_) if bytes.is_empty() => Ok(ChunkStep::More),
            Place::Data(left) => {
                let n = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
                self.place = match left - n as u64 {
                    0 => Place::End,
                    left => Place::Data(left),
                };
                Ok(ChunkStep::Data(n))
            }
            Place::End => self.scan_end(bytes),
            Place::Size => self.scan_size(bytes),
            Place::Trailer => self.scan_trailer(bytes),
        }
    }

    fn scan_end(&mut self, bytes: &[u8]) -> Result<ChunkStep, Fault> {
        match bytes {
            [] | [b'\r'] => Ok(ChunkStep::More),
            [b'\r', b'\n', ..] => {
                self.place = Place::Size;
                Ok(ChunkStep::Mark(2))
            }
            _ => Err(Fault::ChunkEnd),
        }
    }

    fn scan_size(&mut self, bytes: &[u8]) -> Result<ChunkStep, Fault> {
        let Some((line, n)) = scan_line(bytes)? else {
            return more(bytes, MAX_CHUNK_LINE_BYTES, Fault::ChunkSize);
        };
        self.place = match scan_size(line).ok_or(Fault::ChunkSize)? {
            0 => Place::Trailer,
            size => Place::Data(size),
        };
        Ok(ChunkStep::Mark(n))
    }

    fn scan_trailer(&mut self, bytes: &[u8]) -> Result<ChunkStep, Fault> {
        let Some((line, n)) = scan_line(bytes)? else {
            return more(bytes, MAX_TRAILER_LINE_BYTES, Fault::Trailer);
        };
        if line.is_empty() {
            return Ok(ChunkStep::End(n));
        }
        scan_field(line)?;
        self.fields += 1;
        if self.fields > MAX_FIELDS { Err(Fault::Trailer) } else { Ok(ChunkStep::Mark(n)) }
    }
}

fn more(bytes: &[u8], max: usize, fault: Fault) -> Result<ChunkStep, Fault> {
    if bytes.len() > max { Err(fault) } else { Ok(ChunkStep::More) }
}
