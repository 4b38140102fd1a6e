//! Responses whose body is sent in chunks, and how they end.

use actix_http::{Request, Response};
use bytes::Bytes;
use rstest::rstest;
use skylarkthread::http::{self, Body, Chunk};
use skylarkthread::net;
use standin::host::{ServerThread, free_address};
use standin::platform::{send, wait_until};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tokio::sync::mpsc;

const PART: Bytes = Bytes::from_static(b"data: 1\n\n");

/// How the sender of a body ends.
#[derive(Debug, Clone, Copy)]
enum SenderEnd {
    Last,
    Dropped,
    Panicked,
}

async fn send_body(tx: mpsc::Sender<Chunk>, end: SenderEnd) {
    tx.send(Chunk::More(PART)).await.expect("the response is read");
    match end {
        SenderEnd::Last => tx.send(Chunk::Last(PART)).await.expect("the response is read"),
        SenderEnd::Dropped => {}
        SenderEnd::Panicked => panic!("a fault of the sender"),
    }
}

async fn respond(end: SenderEnd) -> Response<Body> {
    let (tx, rx) = mpsc::channel(4);
    actix_rt::spawn(send_body(tx, end));
    http::event_stream(rx)
}

async fn serve(address: SocketAddr, end: SenderEnd) {
    let mut listener = net::listen(address).expect("the address is free");
    http::serve(&mut listener, move |_: Request| respond(end)).await;
}

#[rstest]
#[case::last(SenderEnd::Last, true)]
#[case::dropped(SenderEnd::Dropped, false)]
#[case::panicked(SenderEnd::Panicked, false)]
fn body_is_complete_only_after_its_last_chunk(#[case] end: SenderEnd, #[case] is_complete: bool) {
    let address = free_address();
    let _server = ServerThread::spawn(move || serve(address, end));
    let is_listening = || TcpStream::connect(address).is_ok();
    assert!(wait_until(Duration::from_secs(5), is_listening), "no server within 5 s");
    let reply = send(address, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n").reply();
    assert_eq!((reply.status, reply.complete), (200, is_complete), "{reply:?}");
    assert!(!is_complete || reply.body == "data: 1\n\ndata: 1\n\n", "{reply:?}");
}

#[rstest]
#[case::last(SenderEnd::Last, true)]
#[case::dropped(SenderEnd::Dropped, false)]
#[case::panicked(SenderEnd::Panicked, false)]
fn success_of_an_http_1_0_caller_ends_in_order_only_after_the_last_chunk(
    #[case] end: SenderEnd,
    #[case] is_complete: bool,
) {
    let address = free_address();
    let _server = ServerThread::spawn(move || serve(address, end));
    let is_listening = || TcpStream::connect(address).is_ok();
    assert!(wait_until(Duration::from_secs(5), is_listening), "no server within 5 s");
    let (received, is_closed) = send(address, b"GET / HTTP/1.0\r\nHost: x\r\n\r\n").read_to_end();
    let is_passed = received.starts_with("HTTP/1.0 200") && is_closed;
    assert_eq!(is_passed, is_complete, "{received:?}");
    assert!(!is_complete || received.ends_with("\r\n\r\ndata: 1\n\ndata: 1\n\n"), "{received:?}");
}
