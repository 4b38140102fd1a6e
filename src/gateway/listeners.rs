//! Addresses that an instance listens on.

use crate::callers::{self, Listener};
use crate::net::{self, Bounds, Opening, Purpose};
use crate::platform::GatewaySettings;
use actix_rt::net::{TcpListener, UdpSocket};
use std::io;
use std::net::SocketAddr;

/// Listening socket for connections whose memory in the kernel is bounded.
pub type BoundedOpening = Opening<TcpListener, io::Error, Bounds>;

/// Listening sockets of an instance.
#[derive(Debug)]
pub struct Listeners {
    /// Serves callers.
    pub callers: BoundedOpening,
    /// Serves readiness checks, and metrics too; `None` where the settings name no address for them.
    pub probes: Option<BoundedOpening>,
    /// Serves metrics, and readiness checks too, if there is a port of its own for them.
    pub metrics: Option<BoundedOpening>,
    /// Serve other instances; `None` where the settings name no address for them.
    pub peers: Option<PeerSockets>,
}

/// Sockets for other instances.
#[derive(Debug)]
pub struct PeerSockets {
    /// Address of both.
    pub address: SocketAddr,
    /// Receives messages.
    pub datagrams: Opening<UdpSocket>,
    /// Serves copies of the configuration.
    pub connections: Opening<TcpListener>,
}

impl Listeners {
    /// Tries each address once. Called before the instance connects to anything, since the kernel may
    /// give one of the ports to an outgoing connection. `front` is the address for callers; `port`
    /// serves readiness and metrics too, unless the settings use it.
    pub fn open(settings: &GatewaySettings, front: SocketAddr, port: Option<u16>) -> Self {
        // Whoever can connect as a caller finds readiness served.
        let probes = settings.probe_address.map(|a| probes(settings, a));
        let bounds = callers::bounds(Listener::Front, settings.memory_bytes());
        let callers = Opening::start_with(front, Purpose::Callers, bounds);
        let peers = settings.peer_address.map(PeerSockets::open);
        let metrics = port.map(|p| SocketAddr::new(front.ip(), p));
        let metrics = metrics.filter(|a| is_unused(settings, a));
        let metrics = metrics.map(|a| bounded_probes(settings, a, Purpose::Metrics));
        Listeners { callers, probes, metrics, peers }
    }
}

/// Returns whether the settings leave an address to the metrics, which readiness has too.
fn is_unused(settings: &GatewaySettings, metrics: &SocketAddr) -> bool {
    let used = [settings.caller_address, settings.probe_address, settings.peer_address];
    let is_unused = !used.contains(&Some(*metrics));
    if !is_unused {
        log::warn!("metrics are not served on {metrics}: the settings use this address");
    }
    is_unused
}

impl PeerSockets {
    /// Tries both addresses once.
    pub fn open(address: SocketAddr) -> Self {
        PeerSockets {
            address,
            datagrams: datagrams(address),
            connections: Opening::start(address, Purpose::PeerConnections, net::listen),
        }
    }
}

/// Starts to open a socket for readiness checks.
pub fn probes(settings: &GatewaySettings, address: SocketAddr) -> BoundedOpening {
    bounded_probes(settings, address, Purpose::Probes)
}

/// Starts to open the socket for messages.
pub fn datagrams(address: SocketAddr) -> Opening<UdpSocket> {
    Opening::start(address, Purpose::PeerDatagrams, net::bind_datagrams)
}

fn bounded_probes(
    settings: &GatewaySettings,
    address: SocketAddr,
    purpose: Purpose,
) -> BoundedOpening {
    let bounds = callers::bounds(Listener::Probes, settings.memory_bytes());
    Opening::start_with(address, purpose, bounds)
}
