//! The log writer under load: limits the line rate and never blocks on its output.

use skylarkthread::logs::LogWriter;
use std::io::{self, Write};
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
    let writer = LogWriter::start(start, output.clone()).expect("a thread starts");
    for n in 0..1000 {
        // The lines are spread over 0.9 s.
        writer.push(start + Duration::from_micros(900 * n), b"line\n");
    }
    assert_eq!(output.wait_for_lines(400).len(), 400);
    writer.push(start + Duration::from_secs(1), b"next\n");
    let all = output.wait_for_lines(402);
    assert_eq!(all[400..], ["event=104 kind=LinesDropped count=600", "next"]);
}

#[test]
fn blocked_output_does_not_block_callers_and_dropped_lines_are_counted() {
    let start = Instant::now();
    let (release, blocked, output) = BlockedOutput::new();
    let writer = LogWriter::start(start, blocked).expect("a thread starts");
    let mut pushed = 0;
    for second in 0..10 {
        for _ in 0..300 {
            writer.push(start + Duration::from_secs(second), b"line\n");
            pushed += 1;
        }
    }
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    drop(release);
    // The queue is drained first, so that it has room for the number of dropped lines.
    output.wait_for_lines(1024);
    writer.push(start + Duration::from_secs(20), b"last\n");
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
