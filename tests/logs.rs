//! The log under load: at most so many lines a second, and no wait for a reader.

use skylarkthread::logs::LogWriter;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Keeps what is written.
#[derive(Debug, Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Kept {
    fn lines(&self) -> Vec<String> {
        let bytes = self.0.lock().expect("no holder panics").clone();
        String::from_utf8(bytes).expect("lines are text").lines().map(str::to_owned).collect()
    }

    fn wait(&self, n: usize) -> Vec<String> {
        let end = Instant::now() + Duration::from_secs(5);
        while self.lines().len() < n && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.lines()
    }
}

impl Write for Kept {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no holder panics").write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes nothing until it is told to.
struct Stuck {
    go: Receiver<()>,
    kept: Kept,
}

impl Stuck {
    fn new() -> (Sender<()>, Stuck, Kept) {
        let (sender, go) = channel();
        let kept = Kept::default();
        (sender, Stuck { go, kept: kept.clone() }, kept)
    }
}

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // The sender is dropped once everything may be written.
        let _ = self.go.recv();
        self.kept.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_second_has_at_most_400_lines_and_the_next_one_counts_the_rest() {
    let start = Instant::now();
    let kept = Kept::default();
    let lines = LogWriter::start(start, kept.clone()).expect("a thread starts");
    for n in 0..1000 {
        // Spread over most of a second.
        lines.push(start + Duration::from_micros(900 * n), b"line\n");
    }
    assert_eq!(kept.wait(400).len(), 400);
    lines.push(start + Duration::from_secs(1), b"next\n");
    let all = kept.wait(402);
    assert_eq!(all[400..], ["event=104 kind=LinesDropped count=600", "next"]);
}

#[test]
fn an_output_that_takes_nothing_holds_nobody_up_and_no_line_is_lost_uncounted() {
    let start = Instant::now();
    let (go, stuck, kept) = Stuck::new();
    let lines = LogWriter::start(start, stuck).expect("a thread starts");
    let mut pushed = 0;
    for second in 0..10 {
        for _ in 0..300 {
            lines.push(start + Duration::from_secs(second), b"line\n");
            pushed += 1;
        }
    }
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    drop(go);
    // What the queue held is written first, so that there is room for the count.
    kept.wait(1024);
    lines.push(start + Duration::from_secs(20), b"last\n");
    kept.wait(1026);
    let all = kept.lines();
    let dropped: u64 = all
        .iter()
        .filter_map(|l| l.strip_prefix("event=104 kind=LinesDropped count="))
        .map(|n| n.parse::<u64>().expect("it is a number"))
        .sum();
    let written = all.iter().filter(|l| *l == "line").count() as u64;
    assert!(dropped > 1000, "{dropped}");
    assert_eq!(written + dropped, pushed);
}
