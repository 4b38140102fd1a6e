//! Tests that a process starts, and keeps running, whatever its surroundings are like at the time.

use crate::common::{CONFIG, wait_for};
use rstest::rstest;
use serde_json::json;
use standin::platform::{Gateway, Store, StoreFault, StoreFront};
use std::ffi::CString;
use std::fs::File;
use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd, OwnedFd};
use std::os::unix::ffi::OsStrExt;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Time from the start in which an instance has to be ready.
const READY_SECS: u64 = 10;
/// Time in which an instance is ready once nothing disturbs its start.
const SOON_SECS: u64 = 2;
/// Time for which the settings file is not whole.
const DELAY: Duration = Duration::from_secs(2);

const BINARY: &str = env!("CARGO_BIN_EXE_skylarkthread");

fn start_store() -> Store {
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    store
}

/// Waits for the readiness of an instance that was started at `start`; fails if the process ends.
fn assert_ready(gateway: &mut Gateway, start: Instant) {
    let left = READY_SECS.saturating_sub(start.elapsed().as_secs());
    let is_ready = wait_for(left, || gateway.has_ended() || gateway.probe() == 200);
    assert!(!gateway.has_ended(), "the process has ended: {:?}", gateway.wait_for_exit(0));
    assert!(is_ready, "not ready within {READY_SECS} s of the start");
}

/// Starts an instance with a part of its settings, completes them after [`DELAY`], and waits for its
/// readiness.
fn start_with_late_settings(part: impl FnOnce(&Path, &str)) -> Gateway {
    let store = start_store();
    let start = Instant::now();
    let mut whole = String::new();
    let mut gateway = Gateway::start_prepared(Path::new(BINARY), store.address, |_, file, text| {
        part(file, text);
        text.clone_into(&mut whole);
    });
    std::thread::sleep(DELAY);
    std::fs::write(&gateway.settings_file, whole).expect("cannot write the settings file");
    assert_ready(&mut gateway, start);
    gateway
}

#[test]
fn settings_file_that_comes_late_is_waited_for() {
    start_with_late_settings(|_, _| {});
}

#[rstest]
#[case::empty(|text: &str| text[..0].to_owned())]
#[case::half(|text: &str| text[..text.len() / 2].to_owned())]
#[case::in_port_of_store(|text: &str| cut_in(text, "platform.address=127."))]
#[case::in_memory_limit(|text: &str| cut_in(text, "limits.memory_mb=1"))]
#[case::after_address_for_callers(|text: &str| cut_in(text, "listen.front=127."))]
fn half_written_settings_file_is_waited_for(#[case] cut: impl Fn(&str) -> String) {
    start_with_late_settings(|file, text| {
        std::fs::write(file, cut(text)).expect("cannot write the settings file");
    });
}

/// Returns the text up to the line that begins with `start`, without the last digits of that line.
fn cut_in(text: &str, start: &str) -> String {
    let at = text.find(start).expect("the line is in the settings");
    let end = text[at..].find('\n').expect("the line ends");
    text[..at + end - 2].to_owned()
}

fn without_line(text: &str, name: &str) -> String {
    text.lines().filter(|l| !l.starts_with(name)).map(|l| format!("{l}\n")).collect()
}

#[rstest]
#[case::instance("node=")]
#[case::address_for_callers("listen.front=")]
#[case::address_of_store("platform.address=")]
fn missing_field_is_waited_for(#[case] name: &str) {
    start_with_late_settings(|file, text| {
        std::fs::write(file, without_line(text, name)).expect("cannot write the settings file");
    });
}

#[rstest]
#[case::line_without_equals_sign("new.field=1", "new.field")]
#[case::fraction("max_fds=4100", "max_fds=4100.0")]
#[case::empty_limit("memory_mb=110", "memory_mb=")]
#[case::unknown_grace("grace_s=4", "grace_s=soon")]
#[case::no_retries("bounds.retry", "bounds.no_retry")]
#[case::invalid_port_range("internal_port_range=", "internal_port_range=x")]
#[case::not_utf8("new.field=1", "new.field=\u{fffd}")]
fn invalid_optional_field_does_not_prevent_a_start(#[case] old: &str, #[case] new: &str) {
    let store = start_store();
    let start = Instant::now();
    let mut gateway = Gateway::start_prepared(Path::new(BINARY), store.address, |_, file, text| {
        assert!(text.contains(old), "{text}");
        let bytes = text.replace(old, new).into_bytes();
        // A replacement character stands for a byte that is not UTF-8.
        let bytes: Vec<u8> = bytes.into_iter().filter(|b| ![0xbf, 0xbd].contains(b)).collect();
        std::fs::write(file, bytes).expect("cannot write the settings file");
    });
    assert_ready(&mut gateway, start);
}

#[test]
fn readiness_address_that_comes_after_the_start_is_served() {
    let store = start_store();
    let start = Instant::now();
    let mut whole = String::new();
    let mut gateway = Gateway::start_prepared(Path::new(BINARY), store.address, |_, file, text| {
        let part = without_line(text, "listen.ready=");
        std::fs::write(file, part).expect("cannot write the settings file");
        text.clone_into(&mut whole);
    });
    assert!(wait_for(5, || TcpStream::connect(gateway.front).is_ok()), "callers are not served");
    std::fs::write(&gateway.settings_file, whole).expect("cannot write the settings file");
    assert_ready(&mut gateway, start);
}

#[test]
fn stop_signal_ends_the_wait_for_settings_in_order() {
    let store = start_store();
    let mut gateway = Gateway::start_prepared(Path::new(BINARY), store.address, |_, _, _| {});
    let log = gateway.settings_file.with_extension("log");
    let log = || std::fs::read_to_string(&log).unwrap_or_default();
    assert!(wait_for(2, || log().contains("event=109 kind=SettingsUnusable")), "{}", log());
    gateway.signal(libc::SIGTERM);
    assert_eq!(gateway.wait_for_exit(2), Some(0));
    assert!(log().contains("kind=Stopped"), "{}", log());
}

#[test]
fn process_that_gets_no_threads_serves() {
    let store = start_store();
    let start = Instant::now();
    let mut gateway =
        Gateway::start_prepared(Path::new(BINARY), store.address, |command, file, text| {
            write_whole(command, file, text);
            // No thread starts with a stack larger than the address space.
            command.env("RUST_MIN_STACK", (1_u64 << 60).to_string());
        });
    assert_ready(&mut gateway, start);
    gateway.signal(libc::SIGTERM);
    assert_eq!(gateway.wait_for_exit(5), Some(0));
}

#[test]
fn usual_path_of_settings_is_used_without_an_environment() {
    let store = start_store();
    let mut gateway = Gateway::start_prepared(Path::new(BINARY), store.address, |command, _, _| {
        command.env_remove("SKYLARKTHREAD_BOOT");
    });
    let log = gateway.settings_file.with_extension("log");
    let log = || std::fs::read_to_string(&log).unwrap_or_default();
    let path = "/etc/skylarkthread/settings.conf";
    assert!(wait_for(2, || log().contains(path)), "{}", log());
    assert!(!gateway.has_ended());
}

/// Sends signals that do not ask a process to stop, many times.
fn send_strays(gateway: &Gateway) {
    let usual = [libc::SIGHUP, libc::SIGUSR1, libc::SIGUSR2, libc::SIGALRM];
    let of_limits = [libc::SIGXFSZ, libc::SIGXCPU, libc::SIGVTALRM, libc::SIGPROF];
    let of_devices = [libc::SIGIO, libc::SIGPWR, libc::SIGSTKFLT];
    let real_time = [libc::SIGRTMIN(), libc::SIGRTMAX()];
    for _ in 0..20 {
        for signal in [&usual[..], &of_limits, &of_devices, &real_time].concat() {
            gateway.signal(signal);
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn create_pipe(file: &Path) {
    let path = CString::new(file.as_os_str().as_bytes()).expect("no NUL in the path");
    // SAFETY: `path` ends with NUL and lives as long as the call.
    assert_eq!(unsafe { libc::mkfifo(path.as_ptr(), 0o600) }, 0, "cannot create a pipe");
}

/// The process reads its settings from a pipe, so that it gets the signals while it starts.
#[test]
fn stray_signals_while_settings_are_read_do_not_end_a_process() {
    let store = start_store();
    let start = Instant::now();
    let mut whole = String::new();
    let mut gateway = Gateway::start_prepared(Path::new(BINARY), store.address, |_, file, text| {
        create_pipe(file);
        text.clone_into(&mut whole);
    });
    let file = &gateway.settings_file;
    // Opening it waits until the process has opened it.
    let mut pipe = File::options().write(true).open(file).expect("cannot open the pipe");
    send_strays(&gateway);
    let regular = file.with_extension("new");
    std::fs::write(&regular, &whole).expect("cannot write the settings file");
    std::fs::rename(&regular, file).expect("cannot replace the pipe");
    pipe.write_all(whole.as_bytes()).expect("the process reads the pipe");
    drop(pipe);
    assert_ready(&mut gateway, start);
    send_strays(&gateway);
    assert_ready(&mut gateway, Instant::now());
}

/// Returns whether a process ignores SIGPIPE, which its runtime does first.
fn has_begun(pid: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let ignored = status.lines().find_map(|l| l.strip_prefix("SigIgn:"));
    let ignored = ignored.and_then(|set| u64::from_str_radix(set.trim(), 16).ok());
    ignored.is_some_and(|set| set & 1 << (libc::SIGPIPE - 1) != 0)
}

#[test]
fn stray_signals_as_the_runtime_begins_do_not_end_a_process() {
    let store = start_store();
    for _ in 0..10 {
        let start = Instant::now();
        let mut gateway = Gateway::start_prepared(Path::new(BINARY), store.address, write_whole);
        let pid = gateway.process_id();
        while !has_begun(pid) {
            assert!(!gateway.has_ended(), "the process has ended before the first signal");
        }
        send_strays(&gateway);
        assert_ready(&mut gateway, start);
    }
}

fn write_whole(_: &mut Command, file: &Path, text: &str) {
    std::fs::write(file, text).expect("cannot write the settings file");
}

/// An output that takes nothing.
#[derive(Debug, Clone, Copy)]
enum Sink {
    Closed,
    ReaderGone,
    /// A pipe that nobody reads and that is full.
    FullPipe,
    FullDevice,
}

impl Sink {
    /// Returns the descriptor to use in place of an output, and what keeps it as it is.
    fn open(self) -> (Stdio, Option<io::PipeReader>) {
        match self {
            Sink::Closed => (Stdio::null(), None),
            Sink::FullDevice => {
                let full = File::options().write(true).open("/dev/full");
                (full.expect("the device is there").into(), None)
            }
            Sink::ReaderGone | Sink::FullPipe => {
                let (reader, writer) = io::pipe().expect("cannot create a pipe");
                // SAFETY: the descriptor is open, and the call accesses no memory.
                unsafe { libc::fcntl(writer.as_raw_fd(), libc::F_SETFL, libc::O_NONBLOCK) };
                while (&writer).write(&[b'x'; 4096]).is_ok() {}
                // SAFETY: as above.
                unsafe { libc::fcntl(writer.as_raw_fd(), libc::F_SETFL, 0) };
                let reader = matches!(self, Sink::FullPipe).then_some(reader);
                (writer.into(), reader)
            }
        }
    }
}

#[rstest]
fn outputs_that_take_nothing_do_not_prevent_a_start(
    #[values(Sink::Closed, Sink::ReaderGone, Sink::FullPipe, Sink::FullDevice)] sink: Sink,
    #[values(libc::STDOUT_FILENO, libc::STDERR_FILENO)] output: i32,
) {
    let store = start_store();
    let start = Instant::now();
    let (stdio, _reader) = sink.open();
    let mut gateway =
        Gateway::start_prepared(Path::new(BINARY), store.address, |command, file, text| {
            // An invalid field gives the process a reason to write.
            write_whole(command, file, &text.replace("memory_mb=110", "memory_mb=few"));
            match output {
                libc::STDOUT_FILENO => command.stdout(stdio),
                _ => command.stderr(stdio),
            };
            if matches!(sink, Sink::Closed) {
                let close = move || {
                    // SAFETY: nothing else in the new process uses the descriptor.
                    drop(unsafe { OwnedFd::from_raw_fd(output) });
                    Ok(())
                };
                // SAFETY: closing a descriptor is allowed between fork and exec.
                unsafe { command.pre_exec(close) };
            }
        });
    assert_ready(&mut gateway, start);
    gateway.signal(libc::SIGTERM);
    assert_eq!(gateway.wait_for_exit(5), Some(0));
}

#[test]
fn log_file_at_its_size_limit_does_not_end_a_process() {
    let store = start_store();
    let start = Instant::now();
    let mut gateway =
        Gateway::start_prepared(Path::new(BINARY), store.address, |command, file, text| {
            write_whole(command, file, text);
            let limit = libc::rlimit { rlim_cur: 256, rlim_max: 256 };
            let set = move || {
                // SAFETY: `limit` is valid for reads during the call.
                match unsafe { libc::setrlimit(libc::RLIMIT_FSIZE, &limit) } {
                    0 => Ok(()),
                    _ => Err(io::Error::last_os_error()),
                }
            };
            // SAFETY: setting a limit is allowed between fork and exec.
            unsafe { command.pre_exec(set) };
        });
    assert_ready(&mut gateway, start);
    let log = gateway.settings_file.with_extension("log");
    assert!(wait_for(5, || std::fs::metadata(&log).is_ok_and(|m| m.len() == 256)), "not full");
    std::thread::sleep(DELAY);
    assert_ready(&mut gateway, Instant::now());
    gateway.signal(libc::SIGTERM);
    assert_eq!(gateway.wait_for_exit(5), Some(0));
}

/// The settings come first, then the port, the store and the rest; peers stay silent and the log unread.
#[test]
fn disturbances_at_once_delay_a_start_no_longer_than_they_last() {
    let store = start_store();
    let silent = TcpListener::bind("127.0.0.1:0").expect("cannot bind a socket");
    let address = silent.local_addr().expect("the socket has an address");
    for n in 0..50 {
        let peer = json!({ "address": address, "key": vec![n; 16], "power": 190 });
        store.set(&format!("gateways/gone-{n}"), Some(peer.to_string().as_bytes()));
    }
    let front = StoreFront::start(store.address, StoreFault::Lost);
    let (stdio, _reader) = Sink::FullPipe.open();
    let (mut whole, mut held) = (String::new(), Vec::new());
    let mut gateway =
        Gateway::start_prepared(Path::new(BINARY), front.address, |command, file, text| {
            create_pipe(file);
            command.stdout(stdio);
            for name in ["listen.front=", "listen.ready="] {
                let address = text.lines().find_map(|l| l.strip_prefix(name));
                let address = address.expect("it is in the settings");
                held.push(TcpListener::bind(address).expect("cannot hold the port"));
            }
            text.clone_into(&mut whole);
        });
    std::thread::sleep(DELAY);
    let regular = gateway.settings_file.with_extension("new");
    std::fs::write(&regular, &whole).expect("cannot write the settings file");
    std::fs::rename(&regular, &gateway.settings_file).expect("cannot replace the pipe");
    std::thread::sleep(2 * DELAY);
    assert!(!gateway.has_ended(), "the process has ended");
    drop(held);
    front.mend();
    assert!(wait_for(SOON_SECS, || gateway.probe() == 200), "not ready within {SOON_SECS} s");
}

fn descriptor_limit(n: u64) -> libc::rlimit {
    libc::rlimit { rlim_cur: n, rlim_max: 4096 }
}

#[rstest]
#[case::none_for_the_runtime(4)]
#[case::none_for_signals(6)]
#[case::one_for_signals(7)]
#[case::none_for_the_settings(9)]
fn missing_descriptors_are_waited_for(#[case] limit: u64) {
    let store = start_store();
    let start = Instant::now();
    let mut gateway =
        Gateway::start_prepared(Path::new(BINARY), store.address, |command, file, text| {
            write_whole(command, file, text);
            let limit = descriptor_limit(limit);
            let set = move || {
                // SAFETY: `limit` is valid for reads during the call.
                match unsafe { libc::setrlimit(libc::RLIMIT_NOFILE, &limit) } {
                    0 => Ok(()),
                    _ => Err(io::Error::last_os_error()),
                }
            };
            // SAFETY: setting a limit is allowed between fork and exec.
            unsafe { command.pre_exec(set) };
        });
    std::thread::sleep(DELAY);
    assert!(!gateway.has_ended(), "the process has ended: {:?}", gateway.wait_for_exit(0));
    let (pid, usual) = (gateway.process_id() as i32, descriptor_limit(4096));
    // SAFETY: `usual` is valid for reads during the call, and the former limit is not asked for.
    let set = unsafe { libc::prlimit(pid, libc::RLIMIT_NOFILE, &usual, std::ptr::null_mut()) };
    assert_eq!(set, 0, "cannot raise the limit");
    assert_ready(&mut gateway, start);
}
