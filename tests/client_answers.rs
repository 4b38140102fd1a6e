//! The operators' commands, run against a server whose answers are malformed or cut off.

use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;

/// Answers each connection with these bytes and closes it; returns the address of the server.
fn answer_with(bytes: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for io in listener.incoming() {
            let mut io = io.unwrap();
            // The requests are far smaller than this.
            let mut request = [0; 4096];
            if io.read(&mut request).is_ok_and(|n| n > 0) {
                let _ = io.write_all(bytes.as_bytes());
            }
        }
    });
    address
}

/// Submits a configuration; returns the exit code and the output.
fn submit(entry: SocketAddr) -> (Option<i32>, String) {
    let file = std::env::temp_dir().join(format!("client-{}-{}", std::process::id(), entry.port()));
    std::fs::write(&file, "key").expect("the temporary directory is writable");
    let out = Command::new(env!("CARGO_BIN_EXE_skylarkthread"))
        .args(["submit", "--entry", &entry.to_string(), "--from", "0", "--key"])
        .args([&file, &file])
        .output()
        .expect("the binary runs");
    std::fs::remove_file(&file).expect("the file is there");
    let text = [out.stdout, out.stderr].concat();
    (out.status.code(), String::from_utf8(text).expect("the output is UTF-8"))
}

const BODY: &str = r#"{"result":"accepted","version":1}"#;

#[test]
fn accepted_submission_is_reported() {
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{BODY}", BODY.len());
    let (code, text) = submit(answer_with(answer));
    assert_eq!((code, text.as_str()), (Some(0), "accepted as version 1\n"));
}

#[rstest]
#[case::longer_length("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n")]
#[case::blank_before_colon("HTTP/1.1 200 OK\r\nX-Other : 1\r\nContent-Length: 33\r\n\r\n")]
#[case::encoded("HTTP/1.1 200 OK\r\nContent-Encoding: br\r\nContent-Length: 33\r\n\r\n")]
#[case::status("HTTP/1.1 999 OK\r\nContent-Length: 33\r\n\r\n")]
#[case::line_feed("HTTP/1.1 200 OK\nContent-Length: 33\r\n\r\n")]
fn outcome_of_a_submission_is_unknown_after_a_malformed_answer(#[case] head: &str) {
    assert_eq!(BODY.len(), 33);
    let (code, text) = submit(answer_with(format!("{head}{BODY}")));
    assert_eq!((code, text.as_str()), (Some(3), "no complete response from the entry\n"));
}
