//! Start of a daemon while another socket holds one of its ports.

use crate::common::*;
use standin::fleet::{Daemon, Fleet, Plan};
use standin::host::Holder;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time from the start of the process until the port is free.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// Process that starts while one of its ports is held.
#[derive(Debug, Clone, Copy)]
enum Role {
    Entry,
    Sidecar,
}

/// Port that is held.
#[derive(Debug, Clone, Copy)]
enum Port {
    Http,
    Peers,
}

fn daemon(fleet: &mut Fleet, role: Role) -> &mut Daemon {
    match role {
        Role::Entry => &mut fleet.entries[0].daemon,
        Role::Sidecar => &mut fleet.endpoints[0].sidecar,
    }
}

/// Returns the address that is held and the other one.
fn addresses(daemon: &Daemon, port: Port) -> (SocketAddr, SocketAddr) {
    match port {
        Port::Http => (daemon.http, daemon.peer),
        Port::Peers => (daemon.peer, daemon.http),
    }
}

#[rstest::rstest]
#[case::entry_http(Role::Entry, Port::Http)]
#[case::entry_peers(Role::Entry, Port::Peers)]
#[case::sidecar_http(Role::Sidecar, Port::Http)]
#[case::sidecar_peers(Role::Sidecar, Port::Peers)]
#[actix_rt::test]
async fn port_held_at_the_start_of_a_daemon_is_served_once_it_is_free(
    #[case] role: Role,
    #[case] port: Port,
) {
    let pools = vec![engine_pool(1, loaded_params())];
    let mut fleet = start_deployment(Plan { pools, ..Plan::default() }).await;
    let started = daemon(&mut fleet, role);
    started.kill();
    let (held, other) = addresses(started, port);
    let holder = Holder::listener(held);
    started.restart(binary());
    tokio::time::sleep(HOLD_TIME).await;
    assert_eq!(started.wait_exit(Duration::from_millis(1)), None, "the process has ended");
    assert!(TcpStream::connect(other).is_ok(), "the other port is not listened on");
    holder.release();
    let is_open = async || TcpStream::connect(held).is_ok();
    assert!(wait_until(2, is_open).await, "not listened on after the port was free");
    assert!(fleet.wait_all_ready(1).await, "endpoints not all in service");
    let mut stream = open_with_retry(fleet.entry_address(0), 5, "after").await;
    assert_complete(&mut stream, 5).await;
}

#[rstest::rstest]
#[case::entry_http(Role::Entry, Port::Http)]
#[case::entry_peers(Role::Entry, Port::Peers)]
#[case::sidecar_http(Role::Sidecar, Port::Http)]
#[case::sidecar_peers(Role::Sidecar, Port::Peers)]
#[actix_rt::test]
async fn stop_while_a_port_of_a_daemon_is_held_ends_in_order(
    #[case] role: Role,
    #[case] port: Port,
) {
    let pools = vec![engine_pool(1, loaded_params())];
    let mut fleet = start_deployment(Plan { pools, ..Plan::default() }).await;
    let started = daemon(&mut fleet, role);
    started.kill();
    let (held, other) = addresses(started, port);
    let _holder = Holder::listener(held);
    started.restart(binary());
    assert!(wait_until(5, async || TcpStream::connect(other).is_ok()).await, "not started");
    started.terminate();
    assert_eq!(started.wait_exit(Duration::from_secs(5)), Some(0));
}

/// An older process cannot read a timeline with an event that it does not know.
#[actix_rt::test]
async fn timeline_has_no_events_of_listening_sockets() {
    let pools = vec![engine_pool(1, loaded_params())];
    let fleet = start_deployment(Plan { pools, ..Plan::default() }).await;
    let (code, out) = fleet.run_command(&["timeline"]);
    assert!(code == 0 && out.contains(" Started "), "{out}");
    assert!(!out.contains(" Listening "), "{out}");
}
