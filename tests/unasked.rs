//! Bytes that arrive on a new connection before its request, which are no part of the answer.

use actix_http::{Method, ServiceConfig};
use bytes::Bytes;
use rstest::rstest;
use skylarkthread::h1::{self, Broken, Fault, Outbound};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Time in which what was sent arrives.
const SETTLE: Duration = Duration::from_millis(100);
const UNASKED: Broken = Broken::Malformed(Fault::Unasked);
const ANSWER: &str = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok";
/// Size of a request that does not fit into the buffers of a connection.
const LONG: usize = 8 << 20;

/// Sends `before` on a new connection, and `after` once the first bytes of a request have arrived.
fn serve(before: &'static str, after: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        let (mut io, _) = listener.accept().expect("the client connects");
        io.write_all(before.as_bytes()).expect("the client is connected");
        let mut request = [0; 4096];
        if io.read(&mut request).is_ok_and(|n| n > 0) {
            let _ = io.write_all(after.as_bytes());
        }
        // Until the client closes the connection.
        while io.read(&mut request).is_ok_and(|n| n > 0) {}
    });
    address
}

/// Sends a request after what the server sends at once has arrived; returns the status.
async fn ask(to: SocketAddr, bytes: usize) -> Result<u16, Broken> {
    let head = h1::request_head(to, Method::POST, "/x", Some("text/plain")).expect("it is valid");
    let (config, body) = (ServiceConfig::default(), Bytes::from(vec![b'x'; bytes]));
    let connecting = Outbound::connect(to, Duration::from_secs(1), &config, head, body);
    let mut out = connecting.await.expect("the server listens");
    tokio::time::sleep(SETTLE).await;
    let head = out.read_head().await?;
    out.read_body(100).await.map(|_| head.status.as_u16())
}

#[rstest]
#[case::answer(ANSWER, "", Err(UNASKED))]
#[case::two_answers(ANSWER, ANSWER, Err(UNASKED))]
#[case::interim("HTTP/1.1 100 X\r\n\r\n", ANSWER, Err(UNASKED))]
#[case::first_byte("H", &ANSWER[1..], Err(UNASKED))]
#[case::nothing("", ANSWER, Ok(200))]
#[actix_rt::test]
async fn bytes_before_the_request_are_no_answer(
    #[case] before: &'static str,
    #[case] after: &'static str,
    #[case] expected: Result<u16, Broken>,
    #[values(0, 100, LONG)] bytes: usize,
) {
    assert_eq!(ask(serve(before, after), bytes).await, expected);
}
