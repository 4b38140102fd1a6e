//! Connections that a library has opened, whose ports others may listen on.

use socket2::{SockRef, Type};
use std::fs;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, RawFd};

/// Lets listeners be opened on the local ports of connections of this process to `peer`, whose
/// descriptors are not known.
pub fn share_ports(peer: SocketAddr) {
    let Ok(entries) = fs::read_dir("/proc/self/fd") else { return };
    let names = entries.flatten().map(|entry| entry.file_name());
    names.filter_map(|name| name.to_str()?.parse().ok()).for_each(|fd| share_if_to(fd, peer));
}

fn share_if_to(fd: RawFd, peer: SocketAddr) {
    // SAFETY: used within this call only. Another thread may close the descriptor meanwhile; the calls then
    // fail, or name another socket of this process, whose address is checked.
    let fd = unsafe { BorrowedFd::borrow_raw(fd) };
    let socket = SockRef::from(&fd);
    let is_to = socket.peer_addr().is_ok_and(|a| a.as_socket() == Some(peer));
    if is_to && socket.r#type().is_ok_and(|t| t == Type::STREAM) {
        let _ = socket.set_reuse_address(true);
    }
}
