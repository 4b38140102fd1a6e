//! Restarts on the same ports at once, while callers, a predecessor or another process use them.

use crate::common::{CONFIG, list_endpoint, request_bytes, wait_for};
use rstest::rstest;
use standin::host::Holder;
use standin::platform::{Action, Connection, Endpoint, Gateway, Listen, Store, send};
use std::path::Path;
use std::time::{Duration, Instant};

/// Time from the start in which an instance has to be ready.
const READY_SECS: u64 = 10;
/// Starts of each case.
const STARTS: usize = 4;
/// Connections that callers keep open, and connections that the instance closes.
const CONNECTIONS: usize = 20;
/// Times for which another process holds the port, in turn.
const HOLD_TIMES: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_millis(1000), Duration::from_millis(3000)];

/// What becomes of the process that ran before.
#[derive(Debug, Clone, Copy)]
enum Before {
    /// It was killed, and is gone.
    Killed,
    /// It was killed, and another process holds the port for callers for a time.
    KilledAndHeld,
    /// It was asked to stop, and is still ending.
    Ending,
    /// It has stopped.
    Stopped,
}

/// Has a request answered on each of some connections, and returns them.
fn call(gateway: &Gateway, extra: &str) -> Vec<Connection> {
    let request = |n| request_bytes("GET", "/safe/x", &format!("id-{n}"), extra, "");
    let mut open: Vec<_> = (0..CONNECTIONS).map(|n| send(gateway.front, &request(n))).collect();
    assert!(open.iter_mut().all(|sent| sent.reply().status == 200));
    open
}

/// Ends a process, as far as the next one starts after it.
fn end(gateway: &mut Gateway, before: Before) {
    match before {
        Before::Killed | Before::KilledAndHeld => gateway.signal(libc::SIGKILL),
        Before::Ending | Before::Stopped => gateway.signal(libc::SIGTERM),
    }
    if !matches!(before, Before::Ending) {
        assert!(wait_for(6, || gateway.has_ended()), "the process has not ended");
    }
}

#[rstest]
#[case::killed(Before::Killed)]
#[case::killed_and_held(Before::KilledAndHeld)]
#[case::ending(Before::Ending)]
#[case::stopped(Before::Stopped)]
fn restarted_instance_is_ready_in_time(#[case] before: Before) {
    let e = Endpoint::start("i-1", Action::Respond(200, "fine".into()));
    let (store, listen) = (Store::start(), Listen::with_metrics());
    store.set("op/config", Some(CONFIG.as_bytes()));
    list_endpoint(&store, &e, "plain", "ready");
    let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let start = || Gateway::start_on(binary, store.address, listen);
    let mut gateway = start();
    assert!(wait_for(READY_SECS, || gateway.probe() == 200), "not ready at first");
    for n in 0..STARTS {
        // The instance closes these first, so that its port is in TIME_WAIT.
        drop(call(&gateway, "Connection: close\r\n"));
        let _open = call(&gateway, "");
        end(&mut gateway, before);
        let hold_time = HOLD_TIMES[n % HOLD_TIMES.len()];
        let holder =
            matches!(before, Before::KilledAndHeld).then(|| Holder::listener(listen.front));
        let started = Instant::now();
        let mut next = start();
        let release = std::thread::spawn(move || {
            std::thread::sleep(hold_time);
            holder.map(Holder::release)
        });
        // Until the one before has ended, it may answer the check.
        let is_ready = wait_for(READY_SECS, || {
            next.has_ended() || (gateway.has_ended() && next.probe() == 200)
        });
        assert!(!next.has_ended(), "the process has ended: {:?}", next.wait_for_exit(0));
        assert!(is_ready, "start {n}: not ready within {READY_SECS} s: {}", next.into_log());
        println!("{before:?} start {n}: ready after {:?}", started.elapsed());
        release.join().expect("the thread does not panic");
        gateway = next;
    }
}
