//! Sockets that the kernel lists.

use std::collections::HashMap;
use std::net::SocketAddr;

/// Returns the local addresses of the connections to a server, also of closed ones that the kernel
/// still lists.
pub fn connections_to(server: SocketAddr) -> Vec<SocketAddr> {
    sockets().into_iter().filter(|(_, remote)| *remote == server).map(|(local, _)| local).collect()
}

/// Returns those of the addresses whose port one socket of this machine has. The kernel gives one
/// port to connections of several processes to different servers.
pub fn unshared(locals: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut counts = HashMap::new();
    sockets().iter().for_each(|(local, _)| *counts.entry(local.port()).or_insert(0) += 1);
    locals.iter().copied().filter(|local| counts.get(&local.port()) == Some(&1)).collect()
}

/// Returns the local and remote address of each TCP socket over IPv4, of any process.
fn sockets() -> Vec<(SocketAddr, SocketAddr)> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel lists sockets");
    let parse = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        Some((parse_address(fields.next()?)?, parse_address(fields.next()?)?))
    };
    table.lines().filter_map(parse).collect()
}

/// Parses an address: its bytes as a number of the machine, then the port, both in hexadecimal.
fn parse_address(field: &str) -> Option<SocketAddr> {
    let (ip, port) = field.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
    Some(SocketAddr::from((ip, u16::from_str_radix(port, 16).ok()?)))
}
