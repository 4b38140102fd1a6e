//! Log lines on standard output that never hold up the process.
//!
//! A thread writes what a bounded queue holds. A line that finds the queue full, or the lines of
//! this second used up, is dropped and counted; the count is written once there is room.

use std::io::{self, Write};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Lines that wait for a reader of standard output.
const QUEUE_LINES: usize = 1024;
/// Lines a second; a busy instance answers fewer requests than this.
const LINES_A_SECOND: u32 = 400;

/// Counts lines by the second.
#[derive(Debug)]
pub struct LineRate {
    since: Instant,
    lines: u32,
    dropped: u64,
}

impl LineRate {
    /// Makes a rate that starts at `now`.
    pub fn new(now: Instant) -> Self {
        LineRate { since: now, lines: 0, dropped: 0 }
    }

    /// Tells whether another line fits; one that does not is counted as dropped.
    pub fn admit(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.since) >= Duration::from_secs(1) {
            self.since = now;
            self.lines = 0;
        }
        let fits = self.lines < LINES_A_SECOND;
        if fits {
            self.lines += 1;
        } else {
            self.dropped += 1;
        }
        fits
    }

    /// Counts a line that was admitted and could not be queued.
    pub fn count_dropped(&mut self) {
        self.dropped += 1;
    }

    /// Returns the lines dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

/// Takes lines without blocking.
#[derive(Debug)]
pub struct LogWriter {
    queue: SyncSender<Box<[u8]>>,
    rate: Mutex<LineRate>,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error where no thread can be started.
    pub fn start<W: Write + Send + 'static>(now: Instant, out: W) -> io::Result<LogWriter> {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        let name = "log".to_owned();
        std::thread::Builder::new().name(name).spawn(move || write(&lines, out))?;
        Ok(LogWriter { queue, rate: Mutex::new(LineRate::new(now)) })
    }

    /// Queues one line, with a count of those dropped before it.
    pub fn push(&self, now: Instant, line: &[u8]) {
        let Ok(mut rate) = self.rate.lock() else { return };
        if !rate.admit(now) {
            return;
        }
        let dropped = rate.take_dropped();
        if dropped > 0 {
            let note = format!("event=104 kind=LinesDropped count={dropped}\n");
            if self.queue.try_send(note.into_bytes().into()).is_err() {
                (0..dropped).for_each(|_| rate.count_dropped());
            }
        }
        if self.queue.try_send(line.into()).is_err() {
            rate.count_dropped();
        }
    }
}

fn write<W: Write>(lines: &Receiver<Box<[u8]>>, mut out: W) {
    while let Ok(line) = lines.recv() {
        // Nobody is left to tell where the log itself cannot be written.
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
