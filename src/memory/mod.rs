//! Resident memory of the process, when it is reported, and when freed memory goes back to the system.

use crate::callers::OWN_BYTES;
use std::time::{Duration, Instant};

/// Share of the limit from which the memory is reported.
const HIGH_SHARE: f64 = 0.8;
/// Least time between reports, unless the memory has grown by [`GROWTH_SHARE`].
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Growth since the last report, as a share of the limit, after which there is another.
const GROWTH_SHARE: f64 = 0.05;

/// Size in bytes from which an allocation is a mapping of its own, whose pages go back when it is freed.
const MAPPED_BYTES: libc::c_int = 64 << 10;
/// Free bytes at the end of the heap from which they are returned to the system.
const FREE_END_BYTES: libc::c_int = 1 << 20;
/// Share of the limit that has to have been freed before it is returned to the system.
const FREED_SHARE: f64 = 0.05;
/// Time until the first repetition, where the resident memory has not fallen as expected.
const MIN_RELEASE_WAIT: Duration = Duration::from_secs(1);
/// Longest time between two repetitions.
const MAX_RELEASE_WAIT: Duration = Duration::from_secs(60);

/// Resident memory of a process in bytes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Resident {
    /// Bytes now.
    pub now: usize,
    /// Most bytes since the start.
    pub peak: usize,
}

impl Resident {
    /// Reads the memory from the kernel's status of a process; `None` if it is not stated there.
    pub fn parse(status: &str) -> Option<Resident> {
        let kib = |name: &str| -> Option<usize> {
            let line = status.lines().find_map(|l| l.strip_prefix(name))?;
            line.strip_prefix(':')?.trim().strip_suffix("kB")?.trim_end().parse().ok()
        };
        let now = kib("VmRSS")? << 10;
        Some(Resident { now, peak: kib("VmHWM").map_or(now, |peak| peak << 10) })
    }
}

/// Decides when the memory of the process is reported.
#[derive(Debug, Default)]
pub struct Watch {
    /// Time and bytes of the last report.
    last: Option<(Instant, usize)>,
}

impl Watch {
    /// Returns whether the memory is near its limit and is to be reported, and records the report.
    pub fn step(&mut self, now: Instant, resident: usize, limit: usize) -> bool {
        let share = |part: f64| (limit as f64 * part) as usize;
        if resident < share(HIGH_SHARE) {
            return false;
        }
        let is_due = self.last.is_none_or(|(at, bytes)| {
            let age = now.saturating_duration_since(at);
            age >= REPORT_INTERVAL || resident >= bytes + share(GROWTH_SHARE)
        });
        if is_due {
            self.last = Some((now, resident));
        }
        is_due
    }
}

/// Decides when the allocator returns freed memory to the system. It would keep it otherwise, beside what
/// is allocated in other sizes or kept by the kernel later.
#[derive(Debug, Default)]
pub struct Release {
    /// Most bytes that were counted since the last time.
    peak: usize,
    /// When it was returned last.
    last: Option<Instant>,
    /// Time until it is returned again if no more of what is counted is freed.
    wait: Duration,
}

impl Release {
    /// Returns whether freed memory is to be returned, and records that it is: much of what is counted has
    /// been freed since the last time, or the process keeps much more than that and what it takes
    /// itself. Where the latter does not help, it is tried less and less often.
    pub fn step(&mut self, now: Instant, resident: usize, counted: usize, limit: usize) -> bool {
        let most = (limit as f64 * FREED_SHARE) as usize;
        self.peak = self.peak.max(counted);
        let has_freed = self.peak - counted > most;
        let is_due = self.last.is_none_or(|at| now.saturating_duration_since(at) >= self.wait);
        let is_kept = is_due && resident > counted + OWN_BYTES + most;
        if has_freed || is_kept {
            self.wait = if has_freed { MIN_RELEASE_WAIT } else { next_wait(self.wait) };
            (self.peak, self.last) = (counted, Some(now));
        }
        has_freed || is_kept
    }
}

fn next_wait(wait: Duration) -> Duration {
    (wait * 2).clamp(MIN_RELEASE_WAIT, MAX_RELEASE_WAIT)
}

/// Keeps large buffers out of the heap, where smaller blocks between them would keep their pages. The allocator
/// would also raise its threshold to the size of the largest buffer that was freed.
pub fn map_buffers() {
    let options =
        [(libc::M_MMAP_THRESHOLD, MAPPED_BYTES), (libc::M_TRIM_THRESHOLD, FREE_END_BYTES)];
    for (option, bytes) in options {
        // SAFETY: `mallopt` changes a parameter of the allocator and accesses no memory of its callers.
        if unsafe { libc::mallopt(option, bytes) } == 0 {
            log::warn!("option {option} of the allocator could not be set");
        }
    }
}

/// Returns freed memory to the system.
pub fn release() {
    // SAFETY: `malloc_trim` has no preconditions; it only returns free pages to the system.
    unsafe {
        libc::malloc_trim(0);
    }
}
