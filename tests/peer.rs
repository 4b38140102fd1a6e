//! Links between processes under cancelled, silent and crossing requests.

use skylarkthread::peer::{Link, Listener, PeerError};
use standin::host::{ServerThread, free_address};
use std::net::SocketAddr;
use std::time::Duration;

/// Requests of the test that are cancelled at every moment.
const ROUNDS: u64 = 3000;
/// Requests under way at a time.
const CROSSING: u64 = 20;

/// Echoes each request after as many milliseconds as its first byte says.
fn echo(address: SocketAddr) -> ServerThread {
    ServerThread::spawn(move || async move {
        let mut listener = Listener::bind(address).expect("the address is free");
        while let Some((message, responder)) = listener.next().await {
            let body = message.as_slice().to_vec();
            actix_rt::spawn(async move {
                tokio::time::sleep(Duration::from_millis(u64::from(body[0]))).await;
                responder.reply(&body);
            });
        }
    })
}

/// Waits until the link is connected.
async fn connect(address: SocketAddr) -> Link {
    let link = Link::dial(address).expect("a socket is to be had");
    assert_eq!(link.request(&[0], Duration::from_secs(5)).await.map(|m| m.len()), Ok(1));
    link
}

#[actix_rt::test]
async fn requests_dropped_at_any_moment_never_block_the_process() {
    let address = free_address();
    let _host = echo(address);
    let link = connect(address).await;
    for round in 0..ROUNDS {
        let ask = link.request(&[2], Duration::from_millis(1 + round % 4));
        // Dropped before, while and after the reply arrives.
        let wait = Duration::from_micros(round % 3000);
        let _ = tokio::time::timeout(wait, ask).await;
    }
    let last = link.request(&[0, 9], Duration::from_secs(5)).await;
    assert_eq!(last.map(|m| m.as_slice().to_vec()), Ok(vec![0, 9]));
}

#[actix_rt::test]
async fn each_request_gets_its_own_reply_however_they_cross() {
    let address = free_address();
    let _host = echo(address);
    let link = connect(address).await;
    for round in 0..20u8 {
        let asks = (0..CROSSING as u8).map(|n| {
            let (link, frame) = (link.clone(), [(n * 7) % 11, n, round]);
            async move { (frame, link.request(&frame, Duration::from_secs(5)).await) }
        });
        for (frame, reply) in futures_util::future::join_all(asks).await {
            assert_eq!(reply.map(|m| m.as_slice().to_vec()), Ok(frame.to_vec()));
        }
    }
}

#[actix_rt::test]
async fn a_peer_that_is_not_there_is_silent_and_found_when_it_comes() {
    let address = free_address();
    let link = Link::dial(address).expect("a socket is to be had");
    let none = link.request(&[0], Duration::from_millis(100)).await;
    assert_eq!(none.map(|m| m.len()), Err(PeerError::Silent));
    let _host = echo(address);
    let came = link.request(&[0], Duration::from_secs(5)).await;
    assert_eq!(came.map(|m| m.len()), Ok(1));
}
