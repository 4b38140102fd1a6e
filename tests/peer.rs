//! Links between processes with cancelled, unanswered and concurrent requests.

use rstest::rstest;
use skylarkthread::net;
use skylarkthread::peer::{Link, Listener, PeerError};
use standin::host::{ServerThread, free_address, unshared};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
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

/// Links that are opened until their ports are looked at.
const ROUND_LINKS: usize = 50;
/// Rounds until one of the ports is shared with no other connection of the machine.
const MAX_ROUNDS: usize = 40;

/// Dials a server that answers nothing; returns the local address of the link with both ends.
async fn dial(server: &std::net::TcpListener) -> (SocketAddr, Link, TcpStream) {
    let link = Link::dial(server.local_addr().unwrap()).expect("a socket can be created");
    let (mut served, local) = server.accept().expect("the link is dialed");
    // The greeting of the dialer, which it sends once it is connected.
    served.read_exact(&mut [0; 8]).expect("the greeting arrives");
    served.write_all(b"\0SP\0\0\x31\0\0").expect("the link is open");
    (local, link, served)
}

/// A process that started on a port of a link waited for it until the link was closed, and a minute more.
#[rstest]
#[case::established(false)]
#[case::closed(true)]
#[actix_rt::test]
async fn port_of_a_link_can_be_listened_on(
    #[case] is_closed: bool,
    #[values(|a| net::listen(a).is_ok(), |a| Listener::bind(a).is_ok())] opens: fn(
        SocketAddr,
    ) -> bool,
) {
    let server = std::net::TcpListener::bind(free_address()).expect("the address is free");
    for _ in 0..MAX_ROUNDS {
        let mut round = Vec::new();
        for _ in 0..ROUND_LINKS {
            round.push(dial(&server).await);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        let locals = unshared(&round.iter().map(|(local, ..)| *local).collect::<Vec<_>>());
        if is_closed {
            // The side that closes first keeps the port.
            let links = round.into_iter().map(|(_, link, served)| (drop(link), served).1);
            let mut open: Vec<_> = links.collect();
            open.iter_mut().for_each(|io| drop(io.read_to_end(&mut Vec::new())));
        }
        let (accepted, refused): (Vec<_>, Vec<_>) = locals.into_iter().partition(|a| opens(*a));
        // Another process may have taken one of the ports by now.
        assert_eq!(unshared(&refused), [], "accepted: {accepted:?}");
        if !accepted.is_empty() {
            return;
        }
    }
    panic!("each port is shared with another connection of this machine");
}
