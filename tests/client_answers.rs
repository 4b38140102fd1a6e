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

/// Runs a command with a key against a server that sends no answer; returns its request and its output.
fn request_of(args: &[&str], key: &str) -> (String, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let entry = listener.local_addr().expect("it has an address");
    let file =
        std::env::temp_dir().join(format!("request-{}-{}", std::process::id(), entry.port()));
    std::fs::write(&file, key).expect("the temporary directory is writable");
    let command = Command::new(env!("CARGO_BIN_EXE_skylarkthread"))
        .args(args)
        .args(["--entry", &entry.to_string(), "--key"])
        .arg(&file)
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the binary runs");
    let reader = std::thread::spawn(move || {
        let mut request = [0; 4096];
        let (mut io, _) = listener.accept().expect("the listener works");
        let n = io.read(&mut request).unwrap_or(0);
        String::from_utf8_lossy(&request[..n]).into_owned()
    });
    let out = command.wait_with_output().expect("the command ends");
    std::fs::remove_file(&file).expect("the file is there");
    // Ends the wait for a request that is not sent.
    drop(std::net::TcpStream::connect(entry));
    let request = reader.join().expect("the reader does not panic");
    (request, String::from_utf8(out.stderr).expect("the output is UTF-8"))
}

#[rstest]
#[case::name("Failed", "Failed")]
#[case::separators("702&subject=a#b", "702%26subject%3Da%23b")]
#[case::blank("a b", "a%20b")]
fn argument_stays_within_its_part_of_the_target(#[case] kind: &str, #[case] value: &str) {
    let (request, _) = request_of(&["timeline", "--kind", kind], "key");
    let line = format!("GET /admin/timeline?kind={value} HTTP/1.1\r\n");
    assert!(request.starts_with(&line), "{request}");
}

/// It said that there was no connection.
#[test]
fn key_that_cannot_be_sent_is_named() {
    let (request, text) = request_of(&["status"], "k\u{1}ey");
    assert_eq!((&*request, &*text), ("", "the operator's key cannot be sent; nothing was sent\n"));
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
