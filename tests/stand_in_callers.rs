//! Callers of the stand-in, which tell malformed answers and parts of answers from whole ones.

use rstest::rstest;
use standin::caller::Caller;
use standin::platform::send;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

/// Answers each connection with these bytes and closes it; returns the address of the server.
fn answer_with(bytes: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for mut io in listener.incoming().flatten() {
            let mut request = [0; 4096];
            if io.read(&mut request).is_ok_and(|n| n > 0) {
                let _ = io.write_all(bytes.as_bytes());
            }
        }
    });
    address
}

/// Heads and bodies that are no answer of HTTP/1.1, each with the rule that it breaks.
#[rstest]
#[case::status("HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}", "status")]
#[case::over_range("HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}", "status")]
#[case::line_feed("HTTP/1.1 200 X\nContent-Length: 2\r\n\r\n{}", "line ending")]
#[case::blank("HTTP/1.1 200 X\r\nX Other: 1\r\nContent-Length: 2\r\n\r\n{}", "field name")]
#[case::blank_at_end("HTTP/1.1 200 X\r\nX-Other : 1\r\nContent-Length: 2\r\n\r\n{}", "field name")]
#[case::control("HTTP/1.1 200 X\r\nX-Ot\x01her: 1\r\nContent-Length: 2\r\n\r\n{}", "field name")]
#[case::two_lengths("HTTP/1.1 200 X\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}", "length")]
#[case::sign("HTTP/1.1 200 X\r\nContent-Length: +2\r\n\r\n{}", "length")]
#[case::both(
    "HTTP/1.1 200 X\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    "coding"
)]
#[case::size(
    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n+2\r\n{}\r\n0\r\n\r\n",
    "chunk size"
)]
#[case::chunk_end(
    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{}\r\n0\r\n\r\n",
    "chunk"
)]
#[actix_rt::test]
async fn callers_name_the_rule_that_an_answer_breaks(#[case] answer: &str, #[case] rule: &str) {
    let address = answer_with(answer.into());
    let called = Caller::new("key").call(address, "GET", "/x", None, "").await;
    let called = format!("{called:?}");
    assert!(called.contains("Invalid") && called.contains(rule), "{called}");
    let fault = send(address, b"GET /x HTTP/1.1\r\n\r\n").reply().fault;
    let fault = fault.map(|rule| rule.to_string());
    assert!(fault.as_ref().is_some_and(|f| f.contains(rule)), "{fault:?}");
}

const CHUNKED: &str = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
const TOKEN: &str = "id: g:0\ndata: {\"choices\":[{\"text\":\" a.0\",\"finish_reason\":null}]}\n\n";
const STOP: &str = "id: g:1\ndata: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n";

/// Returns a response in chunks up to its last chunk.
fn in_chunks(parts: &[&str]) -> String {
    let chunk = |part: &&str| format!("{:x}\r\n{part}\r\n", part.len());
    format!("{CHUNKED}{}", parts.iter().map(chunk).collect::<String>())
}

#[rstest]
#[case::whole(in_chunks(&[TOKEN, STOP]) + "0\r\n\r\n", "Done")]
#[case::no_last_chunk(in_chunks(&[TOKEN, STOP]), "Done")]
#[case::cut(in_chunks(&[TOKEN]), "Dropped")]
#[case::cut_in_an_event(in_chunks(&[TOKEN, &STOP[..20]]), "Dropped")]
#[case::part_as_whole(in_chunks(&[TOKEN]) + "0\r\n\r\n", "Invalid")]
#[case::nothing_as_whole(in_chunks(&[]) + "0\r\n\r\n", "Invalid")]
#[case::event_after_the_last(in_chunks(&[TOKEN, STOP, TOKEN]) + "0\r\n\r\n", "Invalid")]
#[case::malformed_chunk(in_chunks(&[TOKEN]) + "x\r\n", "Invalid")]
#[case::malformed_end(in_chunks(&[TOKEN, STOP]) + "0\r\nX Other: 1\r\n\r\n", "Invalid")]
#[actix_rt::test]
async fn caller_tells_a_part_of_a_stream_from_the_whole(
    #[case] answer: String,
    #[case] expected: &str,
) {
    let address = answer_with(answer);
    let mut stream = Caller::new("key").open(address, "m", "a", 1).await.expect("a head");
    let end = format!("{:?}", stream.finish().await);
    assert!(end.starts_with(expected), "{end}");
}

#[rstest]
#[case::length("HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{}", "Unreached")]
#[case::chunks("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", "Unreached")]
#[case::refusal("HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n{}", "Unreached")]
#[case::no_json("HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\n{\"a\"", "Invalid")]
#[actix_rt::test]
async fn caller_takes_no_part_of_an_answer_for_the_whole(
    #[case] answer: &str,
    #[case] expected: &str,
) {
    let called = Caller::new("key").call(answer_with(answer.into()), "GET", "/x", None, "").await;
    assert!(format!("{called:?}").contains(expected), "{called:?}");
}

#[rstest]
#[case::length("GET", "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}", true, false)]
#[case::chunks(
    "GET",
    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    true,
    false
)]
#[case::close("GET", "HTTP/1.0 200 X\r\n\r\n{}", true, false)]
#[case::head("HEAD", "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n", true, false)]
#[case::body_after_head("HEAD", "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}", true, true)]
#[case::no_content("GET", "HTTP/1.1 204 X\r\n\r\n", true, false)]
#[case::last_chunk_after_no_content("GET", "HTTP/1.1 204 X\r\n\r\n0\r\n\r\n", true, true)]
#[case::two("GET", "HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\n{}", true, true)]
#[case::cut("GET", "HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\n{}", false, false)]
#[case::cut_chunks(
    "GET",
    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
    false,
    false
)]
fn plain_caller_tells_a_whole_answer_from_a_part_and_from_more(
    #[case] method: &str,
    #[case] answer: &str,
    #[case] is_whole: bool,
    #[case] has_excess: bool,
) {
    let request = format!("{method} /x HTTP/1.1\r\n\r\n");
    let mut connection = send(answer_with(answer.into()), request.as_bytes());
    let reply = connection.reply();
    assert_eq!((reply.complete, reply.fault), (is_whole, None), "{reply:?}");
    assert_eq!(connection.has_excess(), has_excess, "{reply:?}");
}
