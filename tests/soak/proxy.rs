//! The proxy that disturbs connections does nothing that TCP could not do.

use rstest::rstest;
use standin::platform::{Proxy, ProxyMode};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Opens a connection through a proxy; returns both ends.
fn connect() -> (Proxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot listen");
    let proxy = Proxy::start(listener.local_addr().expect("the listener is bound"));
    let mut client = TcpStream::connect(proxy.address).expect("the proxy accepts connections");
    let (mut server, _) = listener.accept().expect("the proxy connects to the server");
    let timeout = Some(Duration::from_secs(2));
    client.set_read_timeout(timeout).expect("the timeout is valid");
    server.set_read_timeout(timeout).expect("the timeout is valid");
    let mut byte = [0];
    client.write_all(b"q").expect("the proxy reads");
    server.read_exact(&mut byte).expect("the proxy forwards");
    server.write_all(b"1").expect("the proxy reads");
    client.read_exact(&mut byte).expect("the proxy forwards");
    (proxy, client, server)
}

#[rstest]
#[case::silent(ProxyMode::Silent)]
#[case::one_way(ProxyMode::OneWay)]
fn connection_with_discarded_bytes_ends_with_a_reset(#[case] mode: ProxyMode) {
    let (proxy, mut client, mut server) = connect();
    proxy.set_mode(mode);
    server.write_all(b"2").expect("the proxy reads");
    std::thread::sleep(Duration::from_millis(100));
    proxy.set_mode(ProxyMode::Pass);
    server.write_all(b"3").expect("the proxy reads");
    drop(server);
    let mut rest = Vec::new();
    let end = client.read_to_end(&mut rest).expect_err("the end looks regular");
    assert_eq!((end.kind(), rest), (ErrorKind::ConnectionReset, Vec::new()));
}

#[test]
fn server_that_closes_after_discarded_bytes_does_not_end_the_response_regularly() {
    let (proxy, mut client, mut server) = connect();
    proxy.set_mode(ProxyMode::Silent);
    server.write_all(b"2").expect("the proxy reads");
    drop(server);
    let end = client.read_to_end(&mut Vec::new()).expect_err("the end looks regular");
    assert_eq!(end.kind(), ErrorKind::ConnectionReset);
}

#[test]
fn undisturbed_connection_ends_regularly() {
    let (_proxy, mut client, mut server) = connect();
    server.write_all(b"2").expect("the proxy reads");
    drop(server);
    let mut rest = Vec::new();
    client.read_to_end(&mut rest).expect("the end is regular");
    assert_eq!(rest, b"2");
}
