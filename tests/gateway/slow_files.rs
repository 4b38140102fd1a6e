//! Tests that a settings file that cannot be read for a while holds up nothing else.

use crate::common::{CONFIG, start_gateway, wait_for};
use rstest::rstest;
use standin::platform::{Gateway, Store};
use std::ffi::CString;
use std::fs::File;
use std::io::Write;
use std::os::unix::ffi::OsStrExt;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time for which reads of the file are blocked.
const BLOCKED: Duration = Duration::from_secs(5);
/// Time in which an instance is ready once its file can be read.
const READY_SECS: u64 = 2;
/// Longest time for which readiness may be late.
const PROBE_TIME: Duration = Duration::from_millis(500);

fn start_store() -> Store {
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    store
}

/// Replaces a file by a pipe, of which a read waits for a writer.
pub fn replace_by_pipe(file: &Path) {
    let pipe = file.with_extension("pipe");
    let path = CString::new(pipe.as_os_str().as_bytes()).expect("no NUL in the path");
    // SAFETY: `path` ends with NUL and lives as long as the call.
    assert_eq!(unsafe { libc::mkfifo(path.as_ptr(), 0o600) }, 0, "cannot create a pipe");
    std::fs::rename(&pipe, file).expect("cannot replace the file");
}

/// Replaces a file by one with this text.
pub fn replace_by_text(file: &Path, text: &str) {
    let new = file.with_extension("new");
    std::fs::write(&new, text).expect("cannot write the file");
    std::fs::rename(&new, file).expect("cannot replace the file");
}

/// Starts an instance whose settings are a pipe without a writer; returns it with their text.
fn start_blocked(store: &Store) -> (Gateway, String) {
    let mut whole = String::new();
    let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let gateway = Gateway::start_prepared(binary, store.address, |_, file, text| {
        replace_by_pipe(file);
        text.clone_into(&mut whole);
    });
    (gateway, whole)
}

/// How the content of a file that is blocked can be read again.
#[derive(Debug, Clone, Copy)]
enum End {
    Written,
    Replaced,
}

#[rstest]
#[case::written(End::Written)]
#[case::replaced(End::Replaced)]
fn read_of_the_settings_that_blocks_at_the_start_is_waited_for(#[case] end: End) {
    let store = start_store();
    let (gateway, whole) = start_blocked(&store);
    std::thread::sleep(BLOCKED);
    match end {
        End::Written => {
            let pipe = File::options().write(true).open(&gateway.settings_file);
            let mut pipe = pipe.expect("cannot open the pipe");
            pipe.write_all(whole.as_bytes()).expect("the process reads the pipe");
        }
        End::Replaced => replace_by_text(&gateway.settings_file, &whole),
    }
    assert!(wait_for(READY_SECS, || gateway.probe() == 200), "not ready within {READY_SECS} s");
}

#[test]
fn stop_signal_ends_a_read_of_the_settings_that_blocks() {
    let store = start_store();
    let (mut gateway, _) = start_blocked(&store);
    std::thread::sleep(Duration::from_secs(2));
    gateway.signal(libc::SIGTERM);
    assert_eq!(gateway.wait_for_exit(2), Some(0));
}

#[test]
fn read_of_the_settings_that_blocks_does_not_stall_a_running_instance() {
    let store = start_store();
    let mut gateway = start_gateway(&store);
    assert!(wait_for(5, || gateway.readiness() == 200));
    let text = std::fs::read_to_string(&gateway.settings_file).expect("cannot read the settings");
    replace_by_pipe(&gateway.settings_file);
    let end = Instant::now() + BLOCKED;
    while Instant::now() < end {
        let asked = Instant::now();
        assert_eq!(gateway.probe(), 200);
        assert!(asked.elapsed() < PROBE_TIME, "readiness took {:?}", asked.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
    replace_by_text(&gateway.settings_file, &text.replace("memory_mb=110", "memory_mb=120"));
    let log = gateway.settings_file.with_extension("log");
    let log = || std::fs::read_to_string(&log).unwrap_or_default();
    let is_applied = wait_for(6, || log().contains("changed=true"));
    assert!(is_applied, "a later change is not applied: {}", log());
    // The read of the pipe goes on, and the file as it is now counts.
    replace_by_text(&gateway.settings_file, &text.replace("memory_mb=110", "memory_mb=130"));
    gateway.signal(libc::SIGHUP);
    let is_applied = || log().matches("changed=true").count() == 2;
    assert!(wait_for(READY_SECS, is_applied), "a hang-up applies no change: {}", log());
    gateway.signal(libc::SIGTERM);
    assert_eq!(gateway.wait_for_exit(5), Some(0));
}
