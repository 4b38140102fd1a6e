//! Non-blocking output of log lines.
//!
//! A thread writes the lines of a bounded queue. Lines that exceed the rate limit, find the queue
//! full or cannot be written are dropped and counted; their number is logged before the next line
//! that is queued.

use std::cell::Cell;
use std::io::{self, ErrorKind, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Capacity of the queue between callers and the writer thread.
const MAX_QUEUED_LINES: usize = 1024;
/// Rate limit. It exceeds the number of requests per second that a busy instance answers.
const MAX_LINES_PER_SECOND: u32 = 400;
/// Part of the rate that warnings may use. Their number depends on what others write into the store, and
/// events of this process must not be dropped for them.
const MAX_WARNINGS_PER_SECOND: u32 = 100;
/// Time after an error of the output until the next write.
const ERROR_PAUSE: Duration = Duration::from_millis(100);
/// Time after a failure to start the thread until the next attempt.
const START_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which it is checked whether all lines have been written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(1);
/// Number of these checks from one attempt to start the thread to the next.
const FLUSH_START_STEPS: u32 = 10;

/// What a line is, for its part of the rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineKind {
    /// An event of this process.
    Event,
    /// A warning in free text.
    Warning,
}

/// Rate limiter that counts the lines of the current second and the dropped ones.
#[derive(Debug)]
pub struct LineRate {
    since: Instant,
    lines: u32,
    /// How many of them are warnings.
    warnings: u32,
    dropped: u64,
}

impl LineRate {
    /// Creates a limiter whose first second starts at `now`.
    pub fn new(now: Instant) -> Self {
        LineRate { since: now, lines: 0, warnings: 0, dropped: 0 }
    }

    /// Returns whether another line is within the rate limit, and counts it as admitted or dropped.
    pub fn admit(&mut self, now: Instant, kind: LineKind) -> bool {
        if now.saturating_duration_since(self.since) >= Duration::from_secs(1) {
            self.since = now;
            (self.lines, self.warnings) = (0, 0);
        }
        let is_warning = kind == LineKind::Warning;
        let is_admitted = self.lines < MAX_LINES_PER_SECOND
            && !(is_warning && self.warnings >= MAX_WARNINGS_PER_SECOND);
        if is_admitted {
            self.lines += 1;
            self.warnings += u32::from(is_warning);
        } else {
            self.dropped += 1;
        }
        is_admitted
    }

    /// Counts lines that were within the rate limit but could not be queued or written.
    pub fn count_dropped(&mut self, lines: u64) {
        self.dropped += lines;
    }

    /// Returns the number of lines dropped since the last call and resets it.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}

thread_local! {
    /// Whether this thread is queuing a line.
    static IS_PUSHING: Cell<bool> = const { Cell::new(false) };
}

/// Marks that this thread is queuing a line, until dropped.
struct Pushing;

impl Pushing {
    /// Returns `None` if the thread is already queuing a line.
    fn enter() -> Option<Self> {
        let was_pushing = IS_PUSHING.try_with(|is| is.replace(true)).unwrap_or(true);
        (!was_pushing).then_some(Pushing)
    }
}

impl Drop for Pushing {
    fn drop(&mut self) {
        let _ = IS_PUSHING.try_with(|is| is.set(false));
    }
}

/// What the writer thread has done.
#[derive(Debug, Default)]
struct Progress {
    /// Lines taken from the queue and written, or given up.
    finished: AtomicU64,
    /// Lines given up, as far as they are not in a count of dropped lines yet.
    failed: AtomicU64,
}

/// What the writer thread takes over when it starts.
#[derive(Debug)]
struct Work<W> {
    lines: Receiver<Box<[u8]>>,
    out: W,
}

/// Writer thread that may not have started yet.
#[derive(Debug)]
struct Launch<W> {
    /// Left here until a thread runs.
    work: Arc<Mutex<Option<Work<W>>>>,
    /// When the next attempt to start the thread is due; `None` once it runs.
    due: Option<Instant>,
}

impl<W: Write + Send + 'static> Launch<W> {
    /// Starts the thread if an attempt is due.
    fn attempt(&mut self, now: Instant, progress: &Arc<Progress>) {
        if self.due.is_some_and(|due| due <= now) {
            self.due = self.start(progress).is_err().then(|| now + START_INTERVAL);
        }
    }

    /// Starts the thread unless it runs, also if no attempt is due.
    fn attempt_early(&mut self, progress: &Arc<Progress>) {
        if self.due.is_some() && self.start(progress).is_ok() {
            self.due = None;
        }
    }

    /// Starts the thread. There may be no memory for it, or too many others.
    fn start(&self, progress: &Arc<Progress>) -> io::Result<()> {
        let (work, progress) = (self.work.clone(), progress.clone());
        let run = move || {
            let taken = work.lock().unwrap_or_else(PoisonError::into_inner).take();
            if let Some(Work { lines, out }) = taken {
                write_lines(&lines, out, &progress);
            }
        };
        std::thread::Builder::new().name("log".to_owned()).spawn(run).map(drop)
    }
}

/// Queues log lines for a writer thread without blocking the caller.
#[derive(Debug)]
pub struct LogWriter<W> {
    queue: SyncSender<Box<[u8]>>,
    rate: Mutex<LineRate>,
    /// Lines put into the queue.
    queued: AtomicU64,
    progress: Arc<Progress>,
    launch: Mutex<Launch<W>>,
}

impl<W: Write + Send + 'static> LogWriter<W> {
    /// Starts a thread that writes queued lines to `out`. If it cannot start, it is tried again as lines
    /// are queued.
    pub fn start(now: Instant, out: W) -> LogWriter<W> {
        let (queue, lines) = sync_channel(MAX_QUEUED_LINES);
        let work = Arc::new(Mutex::new(Some(Work { lines, out })));
        let writer = LogWriter {
            queue,
            rate: Mutex::new(LineRate::new(now)),
            queued: AtomicU64::default(),
            progress: Arc::default(),
            launch: Mutex::new(Launch { work, due: Some(now) }),
        };
        writer.launch(now);
        writer
    }

    fn launch(&self, now: Instant) {
        self.lock_launch().attempt(now, &self.progress);
    }

    fn lock_launch(&self) -> MutexGuard<'_, Launch<W>> {
        self.launch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a line, preceded by the number of lines dropped before it, if any.
    pub fn push(&self, now: Instant, kind: LineKind, line: &[u8]) {
        // The panic of a line that is being queued is logged too.
        let Some(_pushing) = Pushing::enter() else { return };
        // A panic of another holder leaves nothing worse than a wrong count.
        let mut rate = self.rate.lock().unwrap_or_else(PoisonError::into_inner);
        rate.count_dropped(self.progress.failed.swap(0, Ordering::Relaxed));
        if !rate.admit(now, kind) {
            return;
        }
        let dropped = rate.take_dropped();
        if dropped > 0 {
            let notice = format!("event=104 kind=LinesDropped count={dropped}\n");
            if !self.enqueue(notice.as_bytes()) {
                rate.count_dropped(dropped);
            }
        }
        if !self.enqueue(line) {
            rate.count_dropped(1);
        }
        drop(rate);
        self.launch(now);
    }

    fn enqueue(&self, line: &[u8]) -> bool {
        let is_queued = self.queue.try_send(line.into()).is_ok();
        self.queued.fetch_add(u64::from(is_queued), Ordering::Relaxed);
        is_queued
    }

    /// Returns the number of lines dropped and not logged as such yet.
    pub fn dropped(&self) -> u64 {
        let rate = self.rate.lock().unwrap_or_else(PoisonError::into_inner);
        rate.dropped + self.progress.failed.load(Ordering::Relaxed)
    }

    /// Waits until all queued lines have been written, for at most `timeout`. Called as a process
    /// ends, so that a thread which could not start is tried again sooner than otherwise.
    pub fn flush(&self, timeout: Duration) {
        let steps = timeout.div_duration_f64(FLUSH_INTERVAL) as u32;
        for step in 0..steps {
            let finished = self.progress.finished.load(Ordering::Relaxed);
            if finished >= self.queued.load(Ordering::Relaxed) {
                return;
            }
            if step % FLUSH_START_STEPS == 0 {
                self.lock_launch().attempt_early(&self.progress);
            }
            std::thread::sleep(FLUSH_INTERVAL);
        }
    }
}

fn write_lines<W: Write>(lines: &Receiver<Box<[u8]>>, mut out: W, progress: &Progress) {
    // Whether the output ends within a line.
    let mut is_open = false;
    while let Ok(line) = lines.recv() {
        if write_line(&mut out, &line, &mut is_open).is_err() {
            // There is no other output to which an error of the log itself could be reported.
            progress.failed.fetch_add(1, Ordering::Relaxed);
            std::thread::sleep(ERROR_PAUSE);
        }
        progress.finished.fetch_add(1, Ordering::Relaxed);
    }
}

/// Writes a line; one that was written in part before is ended first.
fn write_line<W: Write>(out: &mut W, line: &[u8], is_open: &mut bool) -> io::Result<()> {
    if *is_open {
        write_bytes(out, b"\n", is_open)?;
        *is_open = false;
    }
    write_bytes(out, line, is_open)?;
    *is_open = false;
    out.flush()
}

/// Writes bytes, of which a part sets `is_open`.
fn write_bytes<W: Write>(out: &mut W, mut bytes: &[u8], is_open: &mut bool) -> io::Result<()> {
    while !bytes.is_empty() {
        match out.write(bytes) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => {
                *is_open = true;
                bytes = &bytes[n..];
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            // A reader that is slow, of an output that does not block.
            Err(e) if e.kind() == ErrorKind::WouldBlock => std::thread::sleep(ERROR_PAUSE),
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
