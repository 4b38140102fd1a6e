//! Non-blocking output of log lines.
//!
//! A thread writes the lines of a bounded queue. Lines that exceed the rate limit or find the queue
//! full are dropped and counted; their number is logged before the next line that is queued.

use std::io::{self, Write};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Capacity of the queue between callers and the writer thread.
const MAX_QUEUED_LINES: usize = 1024;
/// Rate limit. It exceeds the number of requests per second that a busy instance answers.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Rate limiter that counts the lines of the current second and the dropped ones.
#[derive(Debug)]
pub struct LineRate {
    since: Instant,
    lines: u32,
    dropped: u64,
}

impl LineRate {
    /// Creates a limiter whose first second starts at `now`.
    pub fn new(now: Instant) -> Self {
        LineRate { since: now, lines: 0, dropped: 0 }
    }

    /// Returns whether another line is within the rate limit, and counts it as admitted or dropped.
    pub fn admit(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.since) >= Duration::from_secs(1) {
            self.since = now;
            self.lines = 0;
        }
        let is_admitted = self.lines < MAX_LINES_PER_SECOND;
        if is_admitted {
            self.lines += 1;
        } else {
            self.dropped += 1;
        }
        is_admitted
    }

    /// Counts a line that was within the rate limit but could not be queued.
    pub fn count_dropped(&mut self) {
        self.dropped += 1;
    }

    /// Returns the number of lines dropped since the last call and resets it.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

/// Queues log lines for a writer thread without blocking the caller.
#[derive(Debug)]
pub struct LogWriter {
    queue: SyncSender<Box<[u8]>>,
    rate: Mutex<LineRate>,
}

impl LogWriter {
    /// Starts a thread that writes queued lines to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start<W: Write + Send + 'static>(now: Instant, out: W) -> io::Result<LogWriter> {
        let (queue, lines) = sync_channel(MAX_QUEUED_LINES);
        let name = "log".to_owned();
        std::thread::Builder::new().name(name).spawn(move || write_lines(&lines, out))?;
        Ok(LogWriter { queue, rate: Mutex::new(LineRate::new(now)) })
    }

    /// Queues a line, preceded by the number of lines dropped before it, if any.
    pub fn push(&self, now: Instant, line: &[u8]) {
        let Ok(mut rate) = self.rate.lock() else { return };
        if !rate.admit(now) {
            return;
        }
        let dropped = rate.take_dropped();
        if dropped > 0 {
            let notice = format!("event=104 kind=LinesDropped count={dropped}\n");
            if self.queue.try_send(notice.into_bytes().into()).is_err() {
                (0..dropped).for_each(|_| rate.count_dropped());
            }
        }
        if self.queue.try_send(line.into()).is_err() {
            rate.count_dropped();
        }
    }
}

fn write_lines<W: Write>(lines: &Receiver<Box<[u8]>>, mut out: W) {
    while let Ok(line) = lines.recv() {
        // There is no other output to which an error of the log itself could be reported.
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
