//! Sockets as the stand-in reads them from the kernel's list.

use rstest::rstest;
use standin::host::{ListedSocket, open_sockets, scan_socket, sockets};
use std::io::Write;
use std::net::{TcpListener, TcpStream};

/// A connection in its handshake was listed with 447 MB that no peer had sent.
#[rstest]
#[case::heading(
    "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode",
    None
)]
#[case::handshake(
    "   7: 0100007F:9C40 0100007F:1F90 02 00000001:1B4E2C47 01:00000014 00000000     0        0 71 2",
    Some((40_000, 8080, 1, 0))
)]
#[case::established(
    "   8: 0100007F:9C41 0100007F:1F90 01 00000010:0000A000 00:00000000 00000000     0        0 72 1",
    Some((40_001, 8080, 16, 40_960))
)]
#[case::closed_by_its_peer(
    "   9: 0100007F:9C42 0100007F:1F90 08 00000000:0000A000 00:00000000 00000000     0        0 73 1",
    Some((40_002, 8080, 0, 40_960))
)]
fn bytes_of_listed_sockets(#[case] line: &str, #[case] expected: Option<(u16, u16, u64, u64)>) {
    let scanned = scan_socket(line);
    assert_eq!(scanned.map(|s| (s.local.port(), s.remote.port(), s.sent, s.received)), expected);
}

#[rstest]
#[case::all(sockets)]
#[case::open(open_sockets)]
fn unread_bytes_of_a_connection_are_listed(#[case] list: fn() -> Vec<ListedSocket>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let mut writer = TcpStream::connect(address).expect("the listener accepts");
    let (reader, remote) = listener.accept().expect("a connection waits");
    writer.write_all(&[0; 10_000]).expect("the buffers are empty");
    reader.peek(&mut [0; 1]).expect("bytes arrive");
    let find = || list().into_iter().find(|s| s.local == address && s.remote == remote);
    assert_eq!(find().map(|s| s.received), Some(10_000));
    let listed = list().into_iter().find(|s| s.local == address && s.remote.port() == 0);
    assert_eq!(listed.map(|s| (s.sent, s.received)), Some((0, 0)));
}
