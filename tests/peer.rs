//! Links between processes with cancelled, unanswered and concurrent requests.

use skylarkthread::peer::{Link, Listener, PeerError};
use standin::host::{ServerThread, free_address};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of requests that are dropped, at varying times.
const DROPPED_REQUESTS: u64 = 3000;
/// Number of requests in progress at the same time.
const CONCURRENT_REQUESTS: u64 = 20;

/// Starts a server that echoes each request after a delay of its first byte in milliseconds.
fn spawn_echo(address: SocketAddr) -> ServerThread {
    ServerThread::spawn(move || async move {
        let mut listener = Listener::bind(address).expect("a free address can be bound");
        while let Some((message, responder)) = listener.next().await {
            let body = message.as_slice().to_vec();
            actix_rt::spawn(async move {
                tokio::time::sleep(Duration::from_millis(u64::from(body[0]))).await;
                responder.reply(&body);
            });
        }
    })
}

/// Dials the address and waits for a first reply.
async fn connect(address: SocketAddr) -> Link {
    let link = Link::dial(address).expect("a socket can be created");
    assert_eq!(link.request(&[0], Duration::from_secs(5)).await.map(|m| m.len()), Ok(1));
    link
}

#[actix_rt::test]
async fn dropped_requests_do_not_block_link() {
    let address = free_address();
    let _server = spawn_echo(address);
    let link = connect(address).await;
    for round in 0..DROPPED_REQUESTS {
        let request = link.request(&[2], Duration::from_millis(1 + round % 4));
        // Drops the request before, while or after the reply arrives.
        let wait = Duration::from_micros(round % 3000);
        let _ = tokio::time::timeout(wait, request).await;
    }
    let last = link.request(&[0, 9], Duration::from_secs(5)).await;
    assert_eq!(last.map(|m| m.as_slice().to_vec()), Ok(vec![0, 9]));
}

#[actix_rt::test]
async fn concurrent_requests_get_their_own_replies() {
    let address = free_address();
    let _server = spawn_echo(address);
    let link = connect(address).await;
    for round in 0..20u8 {
        let requests = (0..CONCURRENT_REQUESTS as u8).map(|n| {
            let (link, frame) = (link.clone(), [(n * 7) % 11, n, round]);
            async move { (frame, link.request(&frame, Duration::from_secs(5)).await) }
        });
        for (frame, reply) in futures_util::future::join_all(requests).await {
            assert_eq!(reply.map(|m| m.as_slice().to_vec()), Ok(frame.to_vec()));
        }
    }
}

#[actix_rt::test]
async fn link_connects_once_absent_peer_starts() {
    let address = free_address();
    let link = Link::dial(address).expect("a socket can be created");
    let absent = link.request(&[0], Duration::from_millis(100)).await;
    assert_eq!(absent.map(|m| m.len()), Err(PeerError::Silent));
    let _server = spawn_echo(address);
    let started = link.request(&[0], Duration::from_secs(5)).await;
    assert_eq!(started.map(|m| m.len()), Ok(1));
}
