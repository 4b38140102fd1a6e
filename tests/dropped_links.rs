//! Links that are dropped while nng's threads end their calls. A target of its own: nng starts its
//! threads once, on the cores of the thread that first uses it.

use futures_util::future::join_all;
use skylarkthread::peer::{Link, Listener};
use standin::host::{ServerThread, free_address, open_sockets, use_one_core};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of links that a test drops.
const DROPPED_LINKS: usize = 4_000;
/// Number of links that are open at the same time.
const OPEN_LINKS: usize = 20;
/// Number of calls in progress over a link.
const CALLS: usize = 16;
/// Longest time that calls wait for their reply, in milliseconds.
const MAX_WAIT_MS: u64 = 20;
/// Time in which dropped links are closed.
const CLOSE_TIME: Duration = Duration::from_secs(5);

/// Starts a server that replies to requests that are not empty.
fn spawn_server(address: SocketAddr) -> ServerThread {
    ServerThread::spawn(move || async move {
        let mut listener = Listener::bind(address).expect("a free address can be bound");
        while let Some((message, responder)) = listener.next().await {
            if !message.is_empty() {
                responder.reply(&message);
            }
        }
    })
}

/// Starts a server that replies to each request after as many milliseconds as its last byte.
fn spawn_holder(address: SocketAddr) -> ServerThread {
    ServerThread::spawn(move || async move {
        let mut listener = Listener::bind(address).expect("the address is free");
        while let Some((message, responder)) = listener.next().await {
            actix_rt::spawn(async move {
                let held = message.last().copied().unwrap_or_default();
                tokio::time::sleep(Duration::from_millis(u64::from(held))).await;
                responder.reply(&message);
            });
        }
    })
}

/// Starts calls over a new link and drops it with them after a time.
async fn drop_link(address: SocketAddr, frame: &[u8], wait: Duration, until_drop: Duration) {
    let link = Link::dial(address).expect("a socket can be created");
    let calls = join_all((0..CALLS).map(|_| link.request(frame, wait)));
    let _ = tokio::time::timeout(until_drop, calls).await;
}

/// Waits until no link is open to the server; returns how many still are after [`CLOSE_TIME`].
async fn wait_for_close(server: SocketAddr) -> usize {
    let deadline = Instant::now() + CLOSE_TIME;
    loop {
        let open = open_sockets().iter().filter(|s| s.remote == server).count();
        if open == 0 || Instant::now() > deadline {
            return open;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// nng freed the context of a call while one of its threads was ending the call, and ended the process.
#[actix_rt::test]
async fn link_that_is_dropped_as_its_calls_time_out_does_not_end_the_process() {
    use_one_core();
    let address = free_address();
    let _server = spawn_server(address);
    for round in 0..DROPPED_LINKS / OPEN_LINKS {
        let wait = Duration::from_millis(1 + round as u64 % MAX_WAIT_MS);
        join_all((0..OPEN_LINKS).map(|_| drop_link(address, &[], wait, wait))).await;
    }
    assert_eq!(wait_for_close(address).await, 0, "links are still open");
}

/// A thread of nng that freed the operation of its own callback waited for itself.
#[actix_rt::test]
async fn links_that_are_dropped_during_calls_leave_nng_its_threads() {
    use_one_core();
    let address = free_address();
    let _server = spawn_server(address);
    for round in 0..DROPPED_LINKS / OPEN_LINKS {
        let until_drop = Duration::from_millis(round as u64 % 4);
        let drops = (0..OPEN_LINKS).map(|_| drop_link(address, &[0], CLOSE_TIME, until_drop));
        join_all(drops).await;
    }
    assert_eq!(wait_for_close(address).await, 0, "links are still open");
    let link = Link::dial(address).expect("a socket can be created");
    assert_eq!(link.request(&[0], CLOSE_TIME).await.map(|m| m.len()), Ok(1));
}

/// Number of listeners that are dropped, each bound to the same address.
const DROPPED_LISTENERS: usize = 200;

/// A listener that is closed while nng's threads receive and reply must not wait for ever.
#[actix_rt::test]
async fn listener_that_is_dropped_during_requests_is_closed() {
    use_one_core();
    let address = free_address();
    for round in 0..DROPPED_LISTENERS {
        let link = Link::dial(address).expect("a socket can be created");
        let server = spawn_holder(address);
        assert_eq!(link.request(&[0], CLOSE_TIME).await.map(|m| m.len()), Ok(1));
        let frames: Vec<_> = (0..CALLS).map(|n| [n as u8]).collect();
        let calls = join_all(frames.iter().map(|f| link.request(f, CLOSE_TIME)));
        let until_drop = Duration::from_millis(round as u64 % 4);
        let _ = tokio::time::timeout(until_drop, calls).await;
        drop(server);
    }
    assert_eq!(wait_for_close(address).await, 0, "links are still open");
}
