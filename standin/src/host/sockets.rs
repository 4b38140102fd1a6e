//! Sockets that the kernel lists.

use std::collections::HashMap;
use std::net::SocketAddr;

/// State of a connection whose handshake has not ended, in the kernel's numbers.
const SYN_SENT: u8 = 2;

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
