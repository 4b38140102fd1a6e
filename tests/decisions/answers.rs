//! Scan of the bytes of responses, beside the codec that reads requests.

use actix_http::ServiceConfig;
use actix_http::h1::ClientCodec;
use actix_http::header::HeaderMap;
use bytes::BytesMut;
use proptest::collection;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, TestRunner};
use rstest::rstest;
use skylarkthread::h1::{BodyLength, ChunkScanner, ChunkStep, Fault, scan_head};
use std::cell::Cell;
use tokio_util::codec::Decoder;

/// Scans a head in one part.
fn scan(head: &[u8]) -> Result<(u16, BodyLength), Fault> {
    let head = scan_head(head)?.expect("the head is complete");
    Ok((head.status.as_u16(), head.length))
}

#[rstest]
#[case("HTTP/1.1 200 OK\r\n\r\n", 200, BodyLength::Close)]
#[case("HTTP/1.1 200\r\n\r\n", 200, BodyLength::Close)]
#[case("HTTP/1.0 599 \r\n\r\n", 599, BodyLength::Close)]
#[case("HTTP/1.1 100 Continue\r\n\r\n", 100, BodyLength::Close)]
#[case("HTTP/1.1 200 OK\r\ncontent-length:5\r\n\r\n", 200, BodyLength::Bytes(5))]
#[case("HTTP/1.1 200 OK\r\nContent-Length: \t05 \r\n\r\n", 200, BodyLength::Bytes(5))]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n", 200, BodyLength::Chunked)]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n", 200, BodyLength::Close)]
fn valid_head_is_read(#[case] head: &str, #[case] status: u16, #[case] length: BodyLength) {
    assert_eq!(scan(head.as_bytes()), Ok((status, length)));
}

#[rstest]
#[case("HTTP/2 200 X", Fault::Version)]
#[case("HTTP/1.2 200 X", Fault::Version)]
#[case("http/1.1 200 X", Fault::Version)]
#[case("HTTP/1.1\t200 X", Fault::Version)]
#[case(" HTTP/1.1 200 X", Fault::Version)]
#[case("", Fault::Version)]
#[case("HTTP/1.1 000 X", Fault::Status)]
#[case("HTTP/1.1 099 X", Fault::Status)]
#[case("HTTP/1.1 101 X", Fault::Status)]
#[case("HTTP/1.1 600 X", Fault::Status)]
#[case("HTTP/1.1 20 X", Fault::Status)]
#[case("HTTP/1.1 +20 X", Fault::Status)]
#[case("HTTP/1.1  200 X", Fault::Status)]
#[case("HTTP/1.1 2000 X", Fault::Reason)]
#[case("HTTP/1.1 200\tX", Fault::Reason)]
#[case("HTTP/1.1 200 X\x01", Fault::Reason)]
#[case("HTTP/1.1 200 X\nX-Other: 1", Fault::LineEnd)]
#[case("HTTP/1.1 200 X\r\nX Other: 1", Fault::FieldName)]
#[case("HTTP/1.1 200 X\r\nX-Other : 1", Fault::FieldName)]
#[case("HTTP/1.1 200 X\r\nX-\x01Other: 1", Fault::FieldName)]
#[case("HTTP/1.1 200 X\r\nX-\u{e9}: 1", Fault::FieldName)]
#[case("HTTP/1.1 200 X\r\n: 1", Fault::FieldName)]
#[case("HTTP/1.1 200 X\r\nX-Other", Fault::FieldName)]
#[case("HTTP/1.1 200 X\r\nX-Other: 1\r\n 2", Fault::FieldName)]
#[case("HTTP/1.1 200 X\r\nX-Other: 1\0", Fault::FieldValue)]
#[case("HTTP/1.1 200 X\r\nX-Other: 1\r2", Fault::FieldValue)]
#[case("HTTP/1.1 200 X\r\nX-Other: 1\r", Fault::FieldValue)]
#[case("HTTP/1.1 200 X\r\nX-Other: 1\x7f", Fault::FieldValue)]
#[case("HTTP/1.1 200 X\r\nX-Other: 1\nX-More: 2", Fault::LineEnd)]
#[case("HTTP/1.1 200 X\r\nContent-Length: +5", Fault::Length)]
#[case("HTTP/1.1 200 X\r\nContent-Length: -5", Fault::Length)]
#[case("HTTP/1.1 200 X\r\nContent-Length: 5, 5", Fault::Length)]
#[case("HTTP/1.1 200 X\r\nContent-Length: 0x5", Fault::Length)]
#[case("HTTP/1.1 200 X\r\nContent-Length:", Fault::Length)]
#[case("HTTP/1.1 200 X\r\nContent-Length: 18446744073709551616", Fault::Length)]
#[case("HTTP/1.1 200 X\r\nContent-Length: 5\r\nContent-Length: 5", Fault::Length)]
#[case("HTTP/1.1 200 X\r\nContent-Length: 5\r\ncontent-length: 6", Fault::Length)]
#[case("HTTP/1.1 200 X\r\nTransfer-Encoding: gzip", Fault::Coding)]
#[case("HTTP/1.1 200 X\r\nTransfer-Encoding: gzip, chunked", Fault::Coding)]
#[case("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked, chunked", Fault::Coding)]
#[case("HTTP/1.1 200 X\r\nTransfer-Encoding: x\r\nTransfer-Encoding: chunked", Fault::Coding)]
#[case("HTTP/1.1 200 X\r\nTransfer-Encoding:", Fault::Coding)]
#[case("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nContent-Length: 5", Fault::Coding)]
#[case("HTTP/1.0 200 X\r\nTransfer-Encoding: chunked", Fault::Coding)]
fn malformed_head_is_rejected(#[case] head: &str, #[case] fault: Fault) {
    assert_eq!(scan(format!("{head}\r\n\r\n").as_bytes()), Err(fault));
}

#[rstest]
#[case(96, Ok(200))]
#[case(97, Err(Fault::HeadSize))]
fn head_has_96_fields_at_most(#[case] n: usize, #[case] status: Result<u16, Fault>) {
    let head = format!("HTTP/1.1 200 X\r\n{}\r\n", "X-Other: 1\r\n".repeat(n));
    assert_eq!(scan(head.as_bytes()).map(|(status, _)| status), status);
}

#[rstest]
#[case(128 << 10, Ok(200))]
#[case((128 << 10) + 1, Err(Fault::HeadSize))]
fn head_has_the_size_of_the_limit_at_most(#[case] size: usize, #[case] status: Result<u16, Fault>) {
    let (start, end) = ("HTTP/1.1 200 X\r\nX-Other: ", "\r\n\r\n");
    let head = format!("{start}{}{end}", "x".repeat(size - start.len() - end.len()));
    assert_eq!(scan(head.as_bytes()).map(|(status, _)| status), status);
}

#[test]
fn head_without_end_is_rejected_at_its_limit() {
    let lines = format!("HTTP/1.1 200 X\r\n{}", "X-Other: 1\r\n".repeat(200));
    assert_eq!(scan_head(lines.as_bytes()).err(), Some(Fault::HeadSize));
    let line = format!("HTTP/1.1 200 X\r\nX-Other: {}", "x".repeat(128 << 10));
    assert_eq!(scan_head(line.as_bytes()).err(), Some(Fault::HeadSize));
    let reason = format!("HTTP/1.1 200 {}", "x".repeat(128 << 10));
    assert_eq!(scan_head(reason.as_bytes()).err(), Some(Fault::HeadSize));
}

/// Reads a body in chunks that arrives `part` bytes at a time; returns the data, and the number of
/// bytes after its end.
fn read_chunks(body: &[u8], part: usize) -> Result<Option<(Vec<u8>, usize)>, Fault> {
    let (mut scanner, mut data, mut pos, mut arrived) = (ChunkScanner::default(), vec![], 0, 0);
    loop {
        match scanner.scan(&body[pos..arrived])? {
            ChunkStep::More if arrived == body.len() => return Ok(None),
            ChunkStep::More => arrived = body.len().min(arrived + part),
            ChunkStep::Mark(n) => pos += n,
            ChunkStep::End(n) => return Ok(Some((data, body.len() - pos - n))),
            ChunkStep::Data(n) => {
                data.extend_from_slice(&body[pos..pos + n]);
                pos += n;
            }
        }
    }
}

#[rstest]
#[case("5\r\nparts\r\n0\r\n\r\n", "parts", 0)]
#[case("2\r\npa\r\n0003;a=b\r\nrts\r\n000\r\n\r\n", "parts", 0)]
#[case("0\r\nX-Other: 1\r\nX-More:\r\n\r\nHTTP", "", 4)]
fn body_in_chunks_is_read(#[case] body: &str, #[case] data: &str, #[case] rest: usize) {
    for part in 1..=body.len() {
        let whole = Ok(Some((data.as_bytes().to_vec(), rest)));
        let read = read_chunks(body.as_bytes(), part).map(|read| read.map(|(d, _)| d));
        assert_eq!(read, Ok(Some(data.as_bytes().to_vec())), "{part} bytes at a time");
        assert_eq!(read_chunks(body.as_bytes(), body.len()), whole);
    }
    let end = body.len() - rest;
    for cut in 0..end {
        assert_eq!(read_chunks(&body.as_bytes()[..cut], cut), Ok(None), "cut after {cut} bytes");
    }
}

#[rstest]
#[case("+5\r\nparts\r\n0\r\n\r\n", Fault::ChunkSize)]
#[case("-5\r\nparts\r\n0\r\n\r\n", Fault::ChunkSize)]
#[case(" 5\r\nparts\r\n0\r\n\r\n", Fault::ChunkSize)]
#[case("5 \r\nparts\r\n0\r\n\r\n", Fault::ChunkSize)]
#[case("5 ;a\r\nparts\r\n0\r\n\r\n", Fault::ChunkSize)]
#[case("5;a\x01\r\nparts\r\n0\r\n\r\n", Fault::ChunkSize)]
#[case("0x5\r\nparts\r\n0\r\n\r\n", Fault::ChunkSize)]
#[case("\r\nparts\r\n0\r\n\r\n", Fault::ChunkSize)]
#[case(";a\r\nparts\r\n0\r\n\r\n", Fault::ChunkSize)]
#[case("10000000000000000\r\nparts\r\n0\r\n\r\n", Fault::ChunkSize)]
#[case("5\nparts\r\n0\r\n\r\n", Fault::LineEnd)]
#[case("4\r\nparts\r\n0\r\n\r\n", Fault::ChunkEnd)]
#[case("6\r\nparts\r\n0\r\n\r\n", Fault::ChunkEnd)]
#[case("5\r\nparts\n0\r\n\r\n", Fault::ChunkEnd)]
#[case("0\r\nX Other: 1\r\n\r\n", Fault::FieldName)]
#[case("0\r\nHTTP/1.1 200 X\r\n\r\n", Fault::FieldName)]
#[case("0\r\n\n", Fault::LineEnd)]
fn malformed_chunks_are_rejected(#[case] body: &str, #[case] fault: Fault) {
    assert_eq!(read_chunks(body.as_bytes(), body.len()), Err(fault));
}

/// Lines of valid heads.
const FIELDS: [&str; 6] = [
    "Content-Length: 5\r\n",
    "X-Not-Executed: 1\r\n",
    "Transfer-Encoding: chunked\r\n",
    "X-Attempt-Id: id-1\r\n",
    "X-Attempt-Id:id-2 \t\r\n",
    "Connection: close\r\n",
];
/// Pieces of heads, valid and malformed.
const PIECES: [&str; 46] = [
    "HTTP/1.1 ",
    "HTTP/1.0 ",
    "200",
    "204",
    "404",
    "503",
    "000",
    "600",
    " ",
    " OK",
    "\r\n",
    "\r\n",
    "\r\n\r\n",
    "\n",
    "\r",
    "\t",
    "\0",
    "\x01",
    "\x7f",
    ":",
    ",",
    ";",
    "Content-Length",
    ": ",
    "5",
    "0",
    "+",
    "-",
    "18446744073709551615",
    "Transfer-Encoding",
    "chunked",
    "identity",
    "gzip",
    "X-Attempt-Id",
    "id-1",
    "X-Not-Executed",
    "1",
    "Connection",
    "close",
    "Upgrade",
    "websocket",
    "keep-alive",
    "Retry-After",
    "\u{e9}",
    "\"",
    "a",
];

/// Compares a head that passes the scan with what the codec of the library makes of it, which rejects
/// some valid heads.
fn compare_with_codec(
    text: &str,
    config: &ServiceConfig,
    compared: &Cell<u32>,
) -> Result<(), TestCaseError> {
    let Ok(Some(head)) = scan_head(text.as_bytes()) else { return Ok(()) };
    if head.status.is_informational() {
        return Ok(());
    }
    let mut bytes = BytesMut::from(text.as_bytes());
    let Ok(Some(read)) = ClientCodec::new(config.clone()).decode(&mut bytes) else {
        return Ok(());
    };
    compared.set(compared.get() + 1);
    prop_assert_eq!((read.status, read.version), (head.status, head.version));
    prop_assert_eq!(text.len() - bytes.len(), head.size);
    prop_assert_eq!(fields(read.headers()), fields(&head.headers));
    Ok(())
}

fn fields(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let all = headers.iter().map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
    let mut all: Vec<_> = all.collect();
    all.sort();
    all
}

/// Inserts pieces into a valid head.
fn head() -> impl Strategy<Value = String> {
    let start = select(vec!["HTTP/1.1 200 OK\r\n", "HTTP/1.0 503 X\r\n", ""]);
    let fields = collection::vec(select(&FIELDS[..]), 0..4);
    let pieces = collection::vec(select(&PIECES[..]), 0..12);
    (start, fields, pieces, 0usize..120).prop_map(|(start, fields, pieces, at)| {
        let mut text = format!("{start}{}\r\n", fields.concat());
        text.insert_str(at.min(text.len()), &pieces.concat());
        text
    })
}

#[test]
fn head_that_passes_the_scan_reads_the_same_in_the_codec() {
    actix_rt::System::new().block_on(async {
        let config = ServiceConfig::default();
        let mut runner = TestRunner::new(Config::with_cases(20_000));
        let compared = Cell::new(0);
        let result = runner.run(&head(), |text| compare_with_codec(&text, &config, &compared));
        result.unwrap_or_else(|e| panic!("{e}"));
        assert!(compared.get() >= 1000, "only {} heads pass both", compared.get());
    });
}
