//! Holds a port that a daemon is to listen on.

use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

/// Socket that holds a port until it is dropped.
#[derive(Debug)]
pub struct Holder {
    socket: Socket,
    /// Server of an outgoing connection.
    server: Option<TcpListener>,
}

impl Holder {
    /// Listens on an address.
    pub fn listener(address: SocketAddr) -> Holder {
        let listener = TcpListener::bind(address).expect("the address is free");
        Holder { socket: listener.into(), server: None }
    }

    /// Connects to a server from an address.
    pub fn connection(address: SocketAddr) -> Holder {
        let server = TcpListener::bind((address.ip(), 0)).expect("a port is free");
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be opened");
        socket.bind(&address.into()).expect("the address is free");
        let to = server.local_addr().expect("the server is bound");
        socket.connect(&to.into()).expect("the server listens");
        Holder { socket, server: Some(server) }
    }

    /// Binds an address for datagrams.
    pub fn datagrams(address: SocketAddr) -> Holder {
        let socket = UdpSocket::bind(address).expect("the address is free");
        Holder { socket: socket.into(), server: None }
    }

    /// Frees the port at once; a connection that is closed in order would hold it for a minute.
    pub fn release(self) {
        self.socket.set_linger(Some(Duration::ZERO)).expect("the option is known");
        drop((self.socket, self.server));
    }
}
