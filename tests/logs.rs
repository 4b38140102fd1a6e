//! The log writer under load: limits the line rate and never blocks on its output.

use skylarkthread::logs::{LineKind, LogWriter};
use std::io::{self, Write};
use std::process::Command;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An output that stores the written lines.
#[derive(Debug, Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl SharedOutput {
    fn lines(&self) -> Vec<String> {
        let bytes = self.0.lock().expect("no holder panics").clone();
        String::from_utf8(bytes).expect("lines are UTF-8").lines().map(str::to_owned).collect()
    }

    /// Waits up to 5 s until there are `n` lines, and returns all lines.
    fn wait_for_lines(&self, n: usize) -> Vec<String> {
        let deadline = Instant::now() + Duration::from_secs(5);
        while self.lines().len() < n && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.lines()
    }
}

impl Write for SharedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no holder panics").write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output that blocks until its sender is dropped.
struct BlockedOutput {
    release: Receiver<()>,
    output: SharedOutput,
}

impl BlockedOutput {
    fn new() -> (Sender<()>, BlockedOutput, SharedOutput) {
        let (sender, release) = channel();
        let output = SharedOutput::default();
        (sender, BlockedOutput { release, output: output.clone() }, output)
    }
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Returns an error once the sender is dropped.
        let _ = self.release.recv();
        self.output.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_over_400_per_second_are_dropped_and_counted() {
    let start = Instant::now();
    let output = SharedOutput::default();
    let writer = LogWriter::start(start, output.clone());
    for n in 0..1000 {
        // The lines are spread over 0.9 s.
        writer.push(start + Duration::from_micros(900 * n), LineKind::Event, b"line\n");
    }
    assert_eq!(output.wait_for_lines(400).len(), 400);
    writer.push(start + Duration::from_secs(1), LineKind::Event, b"next\n");
    let all = output.wait_for_lines(402);
    assert_eq!(all[400..], ["event=104 kind=LinesDropped count=600", "next"]);
}

#[test]
fn warnings_leave_room_for_events() {
    let (start, output) = (Instant::now(), SharedOutput::default());
    let writer = LogWriter::start(start, output.clone());
    (0..1000).for_each(|_| writer.push(start, LineKind::Warning, b"odd\n"));
    writer.push(start, LineKind::Event, b"event\n");
    let lines = output.wait_for_lines(102);
    assert_eq!(lines[99..], ["odd", "event=104 kind=LinesDropped count=900", "event"]);
}

#[test]
fn blocked_output_does_not_block_callers_and_dropped_lines_are_counted() {
    let start = Instant::now();
    let (release, blocked, output) = BlockedOutput::new();
    let writer = LogWriter::start(start, blocked);
    let mut pushed = 0;
    for second in 0..10 {
        for _ in 0..300 {
            writer.push(start + Duration::from_secs(second), LineKind::Event, b"line\n");
            pushed += 1;
        }
    }
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    drop(release);
    // The queue is drained first, so that it has room for the number of dropped lines.
    output.wait_for_lines(1024);
    writer.push(start + Duration::from_secs(20), LineKind::Event, b"last\n");
    output.wait_for_lines(1026);
    let all = output.lines();
    let dropped: u64 = all
        .iter()
        .filter_map(|l| l.strip_prefix("event=104 kind=LinesDropped count="))
        .map(|n| n.parse::<u64>().expect("the count is a number"))
        .sum();
    let written = all.iter().filter(|l| *l == "line").count() as u64;
    assert!(dropped > 1000, "{dropped}");
    assert_eq!(written + dropped, pushed);
}

/// An output whose first writes fail, as those to a full pipe that does not block.
struct FullOutput {
    failures: u32,
    output: SharedOutput,
}

impl Write for FullOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.failures > 0 {
            self.failures -= 1;
            return Err(io::ErrorKind::WouldBlock.into());
        }
        self.output.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn output_that_is_full_for_a_while_gets_all_lines() {
    let start = Instant::now();
    let output = SharedOutput::default();
    let full = FullOutput { failures: 3, output: output.clone() };
    let writer = LogWriter::start(start, full);
    let lines: Vec<_> = (0..5).map(|n| format!("line {n}")).collect();
    lines
        .iter()
        .for_each(|line| writer.push(start, LineKind::Event, format!("{line}\n").as_bytes()));
    assert_eq!(output.wait_for_lines(5), lines);
}

/// An output that takes a byte more and then fails, as often as told, and works from then on.
struct FailingOutput {
    failures: u32,
    is_partial: bool,
    output: SharedOutput,
}

impl Write for FailingOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.failures == 0 {
            return self.output.write(buf);
        }
        self.is_partial = !self.is_partial;
        if self.is_partial {
            return self.output.write(&buf[..1]);
        }
        self.failures -= 1;
        Err(io::ErrorKind::StorageFull.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn errors_of_the_output_do_not_end_the_log() {
    let start = Instant::now();
    let output = SharedOutput::default();
    let failing = FailingOutput { failures: 2, is_partial: false, output: output.clone() };
    let writer = LogWriter::start(start, failing);
    for line in ["one\n", "two\n", "three\n"] {
        writer.push(start, LineKind::Event, line.as_bytes());
    }
    assert_eq!(output.wait_for_lines(2), ["o", "three"]);
    writer.push(start, LineKind::Event, b"four\n");
    let all = output.wait_for_lines(4);
    assert_eq!(all[2..], ["event=104 kind=LinesDropped count=2", "four"]);
}

#[test]
fn flush_waits_for_queued_lines_and_no_longer_than_told() {
    let start = Instant::now();
    let (release, blocked, output) = BlockedOutput::new();
    let writer = LogWriter::start(start, blocked);
    writer.push(start, LineKind::Event, b"last\n");
    writer.flush(Duration::from_millis(20));
    assert!(output.lines().is_empty());
    drop(release);
    writer.flush(Duration::from_secs(5));
    assert_eq!(output.lines(), ["last"]);
}

/// Set for the process that has no memory for a thread.
const NO_THREAD: &str = "TEST_LOG_NO_THREAD";
/// Memory that is left to it, less than the stack of a thread.
const SPARE_BYTES: u64 = 512 << 10;

/// Limits the address space of this process.
fn limit_memory(bytes: u64) {
    let limit = libc::rlimit { rlim_cur: bytes, rlim_max: libc::RLIM_INFINITY };
    // SAFETY: the call reads the limit and changes nothing else of this process.
    let set = unsafe { libc::setrlimit(libc::RLIMIT_AS, &limit) };
    assert_eq!(set, 0, "{}", io::Error::last_os_error());
}

/// Returns the address space that this process uses.
fn used_memory() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm").expect("the file is there");
    let pages: u64 = pages.split(' ').next().and_then(|n| n.parse().ok()).expect("a number");
    // SAFETY: the call reads a constant of the system.
    let page = unsafe { libc::sysconf(libc::_SC_PAGESIZE) };
    pages * u64::try_from(page).expect("pages have a size")
}

fn log_without_memory_for_a_thread() {
    let (start, output) = (Instant::now(), SharedOutput::default());
    limit_memory(used_memory() + SPARE_BYTES);
    let other = std::thread::Builder::new().spawn(|| {}).is_err();
    let writer = LogWriter::start(start, output.clone());
    for n in 0..1100 {
        // The lines are spread over 4 s; the thread is tried again each second.
        writer.push(start + Duration::from_micros(3600 * n), LineKind::Event, b"early\n");
    }
    let early = output.lines();
    limit_memory(libc::RLIM_INFINITY);
    assert!(other && early.is_empty(), "there was memory for a thread");
    assert_eq!(writer.dropped(), 76);
    writer.push(start + Duration::from_secs(6), LineKind::Event, b"late\n");
    output.wait_for_lines(1024);
    writer.push(start + Duration::from_secs(7), LineKind::Event, b"last\n");
    let all = output.wait_for_lines(1026);
    assert!(all[..1024].iter().all(|line| line == "early"), "{:?}", all[1023]);
    assert_eq!(all[1024..], ["event=104 kind=LinesDropped count=77", "last"]);
}

fn flush_after_a_lack_of_memory() {
    let (start, output) = (Instant::now(), SharedOutput::default());
    limit_memory(used_memory() + SPARE_BYTES);
    let other = std::thread::Builder::new().spawn(|| {}).is_err();
    let writer = LogWriter::start(start, output.clone());
    writer.push(start, LineKind::Event, b"last\n");
    writer.flush(Duration::from_millis(20));
    let early = output.lines();
    limit_memory(libc::RLIM_INFINITY);
    assert!(other && early.is_empty(), "there was memory for a thread");
    writer.flush(Duration::from_millis(500));
    assert_eq!(output.lines(), ["last"]);
}

/// Runs a test again in a process that may limit its memory.
fn run_alone(test: &str) {
    let mut command = Command::new(std::env::current_exe().expect("the test has a path"));
    command.args(["--exact", test, "--nocapture"]);
    let status = command.env(NO_THREAD, "1").status().expect("it starts");
    assert!(status.success(), "{status}");
}

/// A process whose log thread could not start wrote no line as long as it ran.
#[test]
fn thread_that_cannot_start_is_started_later() {
    match std::env::var_os(NO_THREAD) {
        Some(_) => log_without_memory_for_a_thread(),
        None => run_alone("thread_that_cannot_start_is_started_later"),
    }
}

/// The last lines of a process that ends, such as the reason, were lost.
#[test]
fn flush_starts_the_thread_that_could_not_start() {
    match std::env::var_os(NO_THREAD) {
        Some(_) => flush_after_a_lack_of_memory(),
        None => run_alone("flush_starts_the_thread_that_could_not_start"),
    }
}
