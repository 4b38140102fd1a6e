//! Tests that an entry or a sidecar starts, and keeps running, whatever its surroundings are like.

use crate::common::*;
use rstest::rstest;
use serde_json::Value;
use standin::fleet::{Daemon, Fleet, Plan};
use standin::host::free_address;
use std::fs::File;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Stdio;
use std::time::Duration;

/// Time for which the settings file cannot be used.
const DELAY: Duration = Duration::from_secs(1);

/// Process that is started.
#[derive(Debug, Clone, Copy)]
enum Role {
    Entry,
    Sidecar,
}

fn daemon(fleet: &mut Fleet, role: Role) -> &mut Daemon {
    match role {
        Role::Entry => &mut fleet.entries[0].daemon,
        Role::Sidecar => &mut fleet.endpoints[0].sidecar,
    }
}

async fn start() -> Fleet {
    let pools = vec![engine_pool(1, loaded_params())];
    start_deployment(Plan { pools, ..Plan::default() }).await
}

fn read_log(daemon: &Daemon) -> String {
    std::fs::read_to_string(daemon.settings.with_extension("log")).expect("the log is written")
}

async fn assert_runs(daemon: &mut Daemon) {
    let address = daemon.http;
    let is_open = async || TcpStream::connect(address).is_ok();
    let has_started = wait_until(5, is_open).await;
    assert_eq!(daemon.wait_exit(Duration::from_millis(100)), None, "the process has ended");
    assert!(has_started, "not listened on within 5 s");
}

async fn assert_serves(fleet: &Fleet) {
    assert!(fleet.wait_all_ready(1).await, "endpoints not all in service");
    let mut stream = open_with_retry(fleet.entry_address(0), 5, "after").await;
    assert_complete(&mut stream, 5).await;
}

#[rstest]
#[case::empty(|text: &str| text[..0].to_owned())]
#[case::half(|text: &str| text[..text.len() / 2].to_owned())]
#[case::no_store(|text: &str| text.replace("\"store\"", "\"no_store\""))]
#[case::no_endpoint(|text: &str| text.replace("\"endpoint\"", "\"no_endpoint\""))]
#[actix_rt::test]
async fn settings_that_cannot_be_used_are_waited_for(
    #[values(Role::Entry, Role::Sidecar)] role: Role,
    #[case] change: impl Fn(&str) -> String,
) {
    let mut fleet = start().await;
    let started = daemon(&mut fleet, role);
    let whole = std::fs::read_to_string(&started.settings).expect("the file is there");
    let part = change(&whole);
    started.kill();
    std::fs::write(&started.settings, &part).expect("cannot write the settings file");
    started.restart(binary());
    tokio::time::sleep(DELAY).await;
    if part != whole {
        assert_eq!(started.wait_exit(Duration::from_millis(1)), None, "the process has ended");
        let log = read_log(started);
        assert!(log.contains("event=109 kind=SettingsUnusable"), "{log}");
    }
    std::fs::write(&started.settings, &whole).expect("cannot write the settings file");
    assert_runs(started).await;
    assert_serves(&fleet).await;
}

#[rstest]
#[actix_rt::test]
async fn absent_settings_are_waited_for_until_a_stop(
    #[values(Role::Entry, Role::Sidecar)] role: Role,
) {
    let mut fleet = start().await;
    let started = daemon(&mut fleet, role);
    started.kill();
    std::fs::remove_file(&started.settings).expect("the file is there");
    started.restart(binary());
    let has_logged = async || read_log(started).contains("kind=SettingsUnusable");
    assert!(wait_until(2, has_logged).await, "{}", read_log(started));
    started.terminate();
    assert_eq!(started.wait_exit(Duration::from_secs(2)), Some(0));
    assert!(read_log(started).contains("kind=Stopped"), "{}", read_log(started));
}

#[rstest]
#[actix_rt::test]
async fn stray_signals_do_not_end_a_daemon(#[values(Role::Entry, Role::Sidecar)] role: Role) {
    let mut fleet = start().await;
    let started = daemon(&mut fleet, role);
    started.restart(binary());
    assert_runs(started).await;
    for signal in [libc::SIGHUP, libc::SIGUSR1, libc::SIGUSR2, libc::SIGALRM] {
        started.signal(signal);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_runs(started).await;
    assert_serves(&fleet).await;
}

/// Returns the reply of a daemon to a request for a path.
fn get(daemon: &Daemon, path: &str) -> String {
    let mut conn = TcpStream::connect(daemon.http).expect("the daemon listens");
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    conn.write_all(request.as_bytes()).expect("the request is sent");
    let mut reply = String::new();
    conn.read_to_string(&mut reply).expect("the reply is text");
    reply
}

#[actix_rt::test]
async fn entry_without_a_configuration_tells_why() {
    let mut fleet = start().await;
    // Any of the others would pass its own on.
    fleet.endpoints.iter_mut().for_each(|e| e.sidecar.kill());
    fleet.entries.iter_mut().for_each(|e| e.daemon.kill());
    let entry = daemon(&mut fleet, Role::Entry);
    let text = std::fs::read_to_string(&entry.settings).expect("the file is there");
    let mut settings: Value = serde_json::from_str(&text).expect("the settings are JSON");
    settings["store"] = free_address().to_string().into();
    std::fs::write(&entry.settings, settings.to_string()).expect("cannot write the settings file");
    entry.restart(binary());
    assert_runs(entry).await;
    let line = "kind=NotReady subject=entry-0 why=store-unreached for_ms=";
    let is_repeated = async || read_log(entry).matches(line).count() > 1;
    assert!(wait_until(8, is_repeated).await, "{}", read_log(entry));
    assert!(read_log(entry).contains("kind=StoreLost subject=store why=unreached"));
    let health = get(entry, "/healthz");
    assert!(health.contains(" 503 ") && health.ends_with("not ready: store-unreached"), "{health}");
    let metrics = get(entry, "/metrics");
    let is_counted = |l: &str| l.starts_with("unready_seconds_total{why=\"store-unreached\"} ");
    assert!(metrics.lines().any(is_counted) && metrics.contains("\nready 0\n"), "{metrics}");
}

/// An output that takes nothing.
#[derive(Debug, Clone, Copy)]
enum Sink {
    ReaderGone,
    FullDevice,
}

impl Sink {
    fn open(self) -> Stdio {
        match self {
            Sink::ReaderGone => std::io::pipe().expect("cannot create a pipe").1.into(),
            Sink::FullDevice => {
                let full = File::options().write(true).open("/dev/full");
                full.expect("the device is there").into()
            }
        }
    }
}

#[rstest]
#[actix_rt::test]
async fn log_that_cannot_be_written_does_not_end_a_daemon(
    #[values(Role::Entry, Role::Sidecar)] role: Role,
    #[values(Sink::ReaderGone, Sink::FullDevice)] sink: Sink,
) {
    let mut fleet = start().await;
    let started = daemon(&mut fleet, role);
    started.restart_prepared(binary(), |command| {
        command.stderr(sink.open());
    });
    assert_runs(started).await;
    assert_serves(&fleet).await;
    let started = daemon(&mut fleet, role);
    started.terminate();
    assert_eq!(started.wait_exit(Duration::from_secs(10)), Some(0));
}
