//! Start of an instance while another socket holds one of its ports.

use crate::common::{CONFIG, list_endpoint, request_bytes, wait_for};
use rstest::rstest;
use standin::host::{Holder, connections_to, unshared};
use standin::platform::{Action, Endpoint, Gateway, Listen, Store, try_send};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

/// Time from the start of the process until the port is free.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Time from the start of the instances until their callers come.
const TRAFFIC_START: Duration = Duration::from_secs(10);

/// Calls that are sent until the ports of their connections are looked at.
const ROUND_CALLS: usize = 50;
/// Starts of an instance, to meet the moment between two of its listening sockets.
const STARTS: usize = 200;
/// Rounds of calls until one of their ports is shared with no other connection of the machine.
const MAX_ROUNDS: usize = 40;

/// What an instance listens for.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Port {
    Callers,
    Readiness,
    Metrics,
    PeerStreams,
    PeerDatagrams,
}

impl Port {
    fn address(self, listen: &Listen) -> SocketAddr {
        match self {
            Port::Callers => listen.front,
            Port::Readiness => listen.ready,
            Port::Metrics => listen.metrics.expect("the instance serves metrics"),
            Port::PeerStreams | Port::PeerDatagrams => listen.internal,
        }
    }
}

/// Returns the status of a request; 0 without a response.
fn status(to: SocketAddr, path: &str) -> u16 {
    let request = request_bytes("GET", path, "id-1", "Connection: close\r\n", "");
    try_send(to, &request).map_or(0, |mut conn| conn.reply().status)
}

/// Returns whether an instance serves on all of its ports but one.
fn serves_beside(listen: &Listen, store: &Store, held: Option<Port>) -> bool {
    let is_peer = matches!(held, Some(Port::PeerStreams | Port::PeerDatagrams));
    let ready = if held == Some(Port::Callers) { 503 } else { 200 };
    let metrics = Port::Metrics.address(listen);
    (held == Some(Port::Callers) || status(listen.front, "/safe/x") == 200)
        && (held == Some(Port::Readiness) || status(listen.ready, "/ready") == ready)
        && (held == Some(Port::Metrics) || status(metrics, "/metrics") == 200)
        && store.keys("gateways/").len() == usize::from(!is_peer)
}

fn start(listen: Listen) -> (Endpoint, Store, Gateway) {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    list_endpoint(&store, &e, "plain", "ready");
    let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let gateway = Gateway::start_on(binary, store.address, listen);
    (e, store, gateway)
}

#[rstest]
#[case::callers_listener(Port::Callers, Holder::listener)]
#[case::callers_connection(Port::Callers, Holder::connection)]
#[case::readiness_listener(Port::Readiness, Holder::listener)]
#[case::readiness_connection(Port::Readiness, Holder::connection)]
#[case::metrics_listener(Port::Metrics, Holder::listener)]
#[case::metrics_connection(Port::Metrics, Holder::connection)]
#[case::peer_streams_listener(Port::PeerStreams, Holder::listener)]
#[case::peer_streams_connection(Port::PeerStreams, Holder::connection)]
#[case::peer_datagrams(Port::PeerDatagrams, Holder::datagrams)]
fn port_held_at_the_start_is_served_once_it_is_free(
    #[case] port: Port,
    #[case] hold: fn(SocketAddr) -> Holder,
) {
    let listen = Listen::with_metrics();
    let holder = hold(port.address(&listen));
    let begun = Instant::now();
    let (_e, store, mut gateway) = start(listen);
    let serves = wait_for(2, || serves_beside(&listen, &store, Some(port)));
    assert_eq!(gateway.wait_for_exit(0), None, "the process has ended");
    assert!(serves, "not served on the other ports");
    std::thread::sleep((begun + HOLD_TIME).saturating_duration_since(Instant::now()));
    assert!(serves_beside(&listen, &store, Some(port)), "no longer served on the other ports");
    holder.release();
    let serves_all = || serves_beside(&listen, &store, None);
    assert!(wait_for(10, serves_all), "not served after the port was free");
    assert!(begun.elapsed() < TRAFFIC_START, "served {:?} after the start", begun.elapsed());
}

#[rstest]
#[case::callers(Port::Callers, Holder::listener)]
#[case::readiness(Port::Readiness, Holder::listener)]
#[case::metrics(Port::Metrics, Holder::listener)]
#[case::peer_streams(Port::PeerStreams, Holder::listener)]
#[case::peer_datagrams(Port::PeerDatagrams, Holder::datagrams)]
fn stop_while_a_port_is_held_ends_in_order(
    #[case] port: Port,
    #[case] hold: fn(SocketAddr) -> Holder,
) {
    let listen = Listen::with_metrics();
    let _holder = hold(port.address(&listen));
    let (_e, store, mut gateway) = start(listen);
    assert!(wait_for(2, || serves_beside(&listen, &store, Some(port))), "not served otherwise");
    gateway.signal(libc::SIGTERM);
    // The grace period is 4 s.
    assert_eq!(gateway.wait_for_exit(5), Some(0));
}

/// Returns the lines of the log that contain a text.
fn log_lines(gateway: &Gateway, text: &str) -> Vec<String> {
    let log = std::fs::read_to_string(gateway.settings_file.with_extension("log"));
    let log = log.expect("the log is written");
    log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
}

/// The address of the machine is not set yet.
#[test]
fn address_that_does_not_exist_leaves_the_others_served() {
    let absent = SocketAddr::from(([192, 0, 2, 1], 9000));
    let listen = Listen { ready: absent, ..Listen::with_metrics() };
    let (_e, store, mut gateway) = start(listen);
    assert!(wait_for(5, || serves_beside(&listen, &store, Some(Port::Readiness))));
    assert_eq!(gateway.wait_for_exit(0), None, "the process has ended");
    let line = || log_lines(&gateway, "kind=PortBusy subject=192.0.2.1:9000 ").pop();
    let has_reason = || line().is_some_and(|l| l.contains("Cannot assign requested address"));
    assert!(wait_for(2, has_reason), "{:?}", line());
}

#[test]
fn log_tells_which_port_is_not_listened_on_yet() {
    let listen = Listen::with_metrics();
    let holder = Holder::listener(listen.front);
    let (_e, store, gateway) = start(listen);
    assert!(wait_for(2, || serves_beside(&listen, &store, Some(Port::Callers))));
    holder.release();
    assert!(wait_for(5, || serves_beside(&listen, &store, None)));
    let lines =
        |kind: &str| log_lines(&gateway, &format!("{kind} subject={} for=callers ", listen.front));
    assert!(wait_for(2, || lines("event=107 kind=Listening").len() == 1));
    let busy = lines("event=108 kind=PortBusy");
    assert!(busy.len() == 1 && busy[0].contains("why=\"Address already in use"), "{busy:?}");
}

/// The kernel keeps the port of a closed connection for a minute.
#[test]
fn connections_to_endpoints_do_not_keep_their_ports_from_listeners() {
    let listen = Listen::with_metrics();
    let (e, store, _gateway) = start(listen);
    assert!(wait_for(5, || serves_beside(&listen, &store, None)));
    for _ in 0..MAX_ROUNDS {
        (0..ROUND_CALLS).for_each(|_| assert_eq!(status(listen.front, "/safe/x"), 200));
        let locals = unshared(&connections_to(e.address));
        let (accepted, refused): (Vec<_>, Vec<_>) =
            locals.into_iter().partition(|local| TcpListener::bind(local).is_ok());
        // A connection of another process may share one of the ports for a moment.
        let mut kept = refused;
        let is_free = || {
            kept.retain(|local| TcpListener::bind(local).is_err());
            unshared(&kept).is_empty()
        };
        assert!(wait_for(2, is_free), "kept: {kept:?}, accepted: {accepted:?}");
        if !accepted.is_empty() {
            return;
        }
    }
    panic!("each port is shared with another connection of this machine");
}

/// The platform chooses the ports of the settings, and the deploy file that of the metrics.
#[rstest]
#[case::callers(Port::Callers)]
#[case::readiness(Port::Readiness)]
#[case::peer_streams(Port::PeerStreams)]
fn metrics_port_that_the_settings_name_too_leaves_that_address_served(#[case] port: Port) {
    let free = Listen::free();
    let listen = Listen { metrics: Some(port.address(&free)), ..free };
    let (_e, store, mut gateway) = start(listen);
    let serves = wait_for(5, || serves_beside(&listen, &store, Some(Port::Metrics)));
    assert_eq!(gateway.wait_for_exit(0), None, "the process has ended");
    assert!(serves, "not served");
}

#[test]
fn readiness_is_served_from_the_time_that_callers_can_connect() {
    let store = Store::start();
    for _ in 0..STARTS {
        let listen = Listen::free();
        let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
        let _gateway = Gateway::start_on(binary, store.address, listen);
        let end = Instant::now() + TRAFFIC_START;
        while TcpStream::connect(listen.front).is_err() {
            assert!(Instant::now() < end, "callers cannot connect");
        }
        let probe = TcpStream::connect(listen.ready);
        assert!(probe.is_ok(), "{probe:?}");
    }
}
