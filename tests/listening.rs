//! Listening sockets that break, and sockets beside which an address is listened on.

use actix_rt::net::{TcpListener, TcpStream as Stream, UdpSocket};
use rstest::rstest;
use skylarkthread::clock;
use skylarkthread::event::Kind;
use skylarkthread::net::{self, Accept, Acceptor, Failures, Opening, Purpose};
use socket2::{Domain, SockRef, Socket, Type};
use standin::host::{free_address, unshared};
use std::cell::{Cell, RefCell};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

/// Time for what needs no other process.
const WAIT: Duration = Duration::from_secs(5);

/// Connections that are opened until their ports are looked at.
const ROUND_CONNECTIONS: usize = 50;
/// Rounds until one of the ports is shared with no other connection of the machine.
const MAX_ROUNDS: usize = 40;

#[actix_rt::test]
async fn listening_socket_that_breaks_is_opened_anew() {
    let address = free_address();
    let (is_open, events) = (Rc::new(Cell::new(false)), RefCell::new(Vec::new()));
    let record = |kind: Kind, _: &str, _: &str| events.borrow_mut().push(kind);
    let opening = Opening::start(address, Purpose::Callers, net::listen);
    let mut acceptor = Acceptor::new(opening, record).show_in(is_open.clone());
    let listener: &TcpListener = acceptor.listening().await;
    assert!(is_open.get());
    SockRef::from(listener).shutdown(Shutdown::Both).expect("the socket is open");
    assert!(TcpStream::connect(address).is_err(), "still listened on");
    let client = std::thread::spawn(move || {
        let connect = || {
            std::thread::sleep(Duration::from_millis(10));
            TcpStream::connect(address).ok()
        };
        (0..500).find_map(|_| connect()).is_some()
    });
    timeout(WAIT, acceptor.accept()).await.expect("no connection is accepted");
    assert!(is_open.get() && client.join().expect("the client does not panic"));
    assert_eq!(events.into_inner(), [Kind::Listening, Kind::Listening]);
}

/// A socket that is not connected, in place of one for datagrams, fails each time.
#[actix_rt::test]
async fn error_of_a_datagram_socket_that_persists_does_not_make_its_reader_spin() {
    let stream = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be opened");
    stream.set_nonblocking(true).expect("the option is known");
    let socket = UdpSocket::from_std(stream.into()).expect("the runtime takes the socket");
    let (mut failures, mut buf) = (Failures::new(clock::now()), [0; 16]);
    let received = net::receive(&socket, &mut buf, &mut failures);
    assert!(timeout(Duration::from_millis(500), received).await.is_err(), "the socket broke");
    // The first pauses are of 20, 40, 80 and 160 ms.
    assert!((1..=6).contains(&failures.count()), "{} attempts", failures.count());
}

/// How far a connection has got when an address is to be listened on.
#[derive(Debug, PartialEq)]
enum State {
    Established,
    TimeWait,
}

/// Connects to a server; returns the local address, and both ends while they are connected.
async fn connect(state: &State) -> (SocketAddr, Option<[Stream; 2]>) {
    let mut server = net::listen(free_address()).expect("the address is free");
    let to = server.local_addr().expect("the server is bound");
    let client = net::connect(to).await.expect("the server listens");
    let mut served = Accept::accept(&mut server).await;
    let local = client.local_addr().expect("the client is connected");
    if *state == State::Established {
        return (local, Some([client, served]));
    }
    drop(client);
    let read = served.read(&mut [0]).await.expect("the client closes in order");
    assert_eq!(read, 0);
    (local, None)
}

/// The kernel keeps the port of a closed connection for a minute.
#[rstest]
#[case::established(State::Established)]
#[case::time_wait(State::TimeWait)]
#[actix_rt::test]
async fn port_of_an_outgoing_connection_can_be_listened_on(#[case] state: State) {
    for _ in 0..MAX_ROUNDS {
        let mut round = Vec::new();
        for _ in 0..ROUND_CONNECTIONS {
            round.push(connect(&state).await);
        }
        let locals = unshared(&round.iter().map(|(local, _)| *local).collect::<Vec<_>>());
        let (accepted, refused): (Vec<_>, Vec<_>) =
            locals.into_iter().partition(|local| net::listen(*local).is_ok());
        // Another process may have taken one of the ports by now.
        assert_eq!(unshared(&refused), [], "accepted: {accepted:?}");
        if !accepted.is_empty() {
            return;
        }
    }
    panic!("each port is shared with another connection of this machine");
}
