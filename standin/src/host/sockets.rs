//! Sockets that the kernel lists.

use socket2::{Domain, Protocol, Socket, Type};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};

/// State of a connection whose handshake has not ended, in the kernel's numbers.
const SYN_SENT: u8 = 2;
/// State of a closed connection whose addresses are still reserved.
const TIME_WAIT: u8 = 6;
/// State of a listener.
const LISTEN: u8 = 10;
/// Kind of a message that asks for sockets or lists one.
const SOCKETS_BY_FAMILY: u16 = 20;
/// Bytes of the header of a message.
const HEADER_BYTES: usize = 16;
/// Bytes of a message that asks for sockets.
const QUERY_BYTES: usize = 72;
/// Least bytes of a message that lists a socket.
const ROW_BYTES: usize = 80;

/// A TCP socket over IPv4.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListedSocket {
    /// Local address.
    pub local: SocketAddr,
    /// Address of the peer.
    pub remote: SocketAddr,
    /// Bytes that the peer has not acknowledged.
    pub sent: u64,
    /// Bytes received and not read; for a listener, the number of connections to accept.
    pub received: u64,
}

/// Returns the TCP sockets over IPv4 of all processes.
///
/// # Panics
///
/// Panics if the kernel does not list them.
pub fn sockets() -> Vec<ListedSocket> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel lists sockets");
    table.lines().filter_map(scan_socket).collect()
}

/// Returns the TCP sockets over IPv4 of all processes, without closed ones whose addresses are still reserved.
/// A busy machine has a hundred times as many of those, and the table with them takes up to a second to read.
/// That is read where the kernel answers no queries.
///
/// # Panics
///
/// Panics if the kernel does not list them.
pub fn open_sockets() -> Vec<ListedSocket> {
    query_open().unwrap_or_else(|_| sockets())
}

fn query_open() -> io::Result<Vec<ListedSocket>> {
    let (domain, protocol) = (Domain::from(libc::AF_NETLINK), libc::NETLINK_INET_DIAG);
    let mut socket = Socket::new(domain, Type::RAW, Some(Protocol::from(protocol)))?;
    socket.write_all(&open_query())?;
    let (mut found, mut buf) = (Vec::new(), vec![0; 64 << 10]);
    loop {
        let n = socket.read(&mut buf)?;
        let mut rest = &buf[..n];
        while let Some((kind, message, others)) = split_message(rest) {
            match kind {
                SOCKETS_BY_FAMILY => found.extend(scan_message(message)),
                kind if i32::from(kind) == libc::NLMSG_DONE => return Ok(found),
                _ => return Err(io::ErrorKind::InvalidData.into()),
            }
            rest = others;
        }
    }
}

/// Returns the message that asks for all TCP sockets over IPv4 but those in [`TIME_WAIT`].
fn open_query() -> [u8; QUERY_BYTES] {
    let mut query = [0; QUERY_BYTES];
    let flags = (libc::NLM_F_REQUEST | libc::NLM_F_DUMP) as u16;
    query[..4].copy_from_slice(&(QUERY_BYTES as u32).to_ne_bytes());
    query[4..6].copy_from_slice(&SOCKETS_BY_FAMILY.to_ne_bytes());
    query[6..8].copy_from_slice(&flags.to_ne_bytes());
    query[HEADER_BYTES] = libc::AF_INET as u8;
    query[HEADER_BYTES + 1] = libc::IPPROTO_TCP as u8;
    query[HEADER_BYTES + 4..][..4].copy_from_slice(&(!(1u32 << TIME_WAIT)).to_ne_bytes());
    query
}

/// Returns the kind of the first message, the message, and the bytes after it.
fn split_message(bytes: &[u8]) -> Option<(u16, &[u8], &[u8])> {
    let header = bytes.get(..HEADER_BYTES)?;
    let length = u32::from_ne_bytes(header[..4].try_into().ok()?) as usize;
    let kind = u16::from_ne_bytes(header[4..6].try_into().ok()?);
    let end = length.next_multiple_of(4).min(bytes.len());
    Some((kind, bytes.get(..length)?, &bytes[end..]))
}

/// Scans a message that lists a socket.
fn scan_message(message: &[u8]) -> Option<ListedSocket> {
    let row = message.get(HEADER_BYTES..ROW_BYTES)?;
    let port = |at: usize| u16::from_be_bytes([row[at], row[at + 1]]);
    let ip = |at: usize| Ipv4Addr::new(row[at], row[at + 1], row[at + 2], row[at + 3]);
    let count = |at: usize| u64::from(u32::from_ne_bytes([0, 1, 2, 3].map(|n| row[at + n])));
    let local = SocketAddr::from((ip(8), port(4)));
    let remote = SocketAddr::from((ip(24), port(6)));
    let (received, sent) = match row[1] {
        SYN_SENT => (0, count(60)),
        // The other number is the most that may wait.
        LISTEN => (count(56), 0),
        _ => (count(56), count(60)),
    };
    Some(ListedSocket { local, remote, sent, received })
}

/// Scans a line of `/proc/net/tcp`; returns `None` for its heading.
pub fn scan_socket(line: &str) -> Option<ListedSocket> {
    let mut fields = line.split_whitespace().skip(1);
    let local = parse_address(fields.next()?)?;
    let remote = parse_address(fields.next()?)?;
    let state = u8::from_str_radix(fields.next()?, 16).ok()?;
    let (sent, received) = fields.next()?.split_once(':')?;
    let count = |hex| u64::from_str_radix(hex, 16).ok();
    let received = match state {
        // The kernel sets the two numbers whose difference this is one after the other.
        SYN_SENT => 0,
        _ => count(received)?,
    };
    Some(ListedSocket { local, remote, sent: count(sent)?, received })
}

/// Returns the local addresses of the connections to a server, also of closed ones that the kernel
/// still lists.
pub fn connections_to(server: SocketAddr) -> Vec<SocketAddr> {
    sockets().into_iter().filter(|s| s.remote == server).map(|s| s.local).collect()
}

/// Returns those of the addresses whose port one socket of this machine has. The kernel gives one
/// port to connections of several processes to different servers.
pub fn unshared(locals: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut counts = HashMap::new();
    sockets().iter().for_each(|s| *counts.entry(s.local.port()).or_insert(0) += 1);
    locals.iter().copied().filter(|local| counts.get(&local.port()) == Some(&1)).collect()
}

/// Parses an address: its bytes as a number of the machine, then the port, both in hexadecimal.
fn parse_address(field: &str) -> Option<SocketAddr> {
    let (ip, port) = field.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
    Some(SocketAddr::from((ip, u16::from_str_radix(port, 16).ok()?)))
}
