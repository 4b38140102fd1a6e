//! Named tasks, of which a panic ends no more than its cause.
//!
//! A task that serves as long as the process runs starts again after a panic, with the state that the
//! tasks share as it is. A panic of a task that serves one connection or request ends that alone.

mod restart;

pub use restart::Restarts;

use crate::clock;
use crate::event::Kind;
use futures_util::FutureExt;
use std::cell::Cell;
use std::fmt;
use std::future::{Future, poll_fn};
use std::panic::{self, AssertUnwindSafe, PanicHookInfo};
use std::pin::pin;
use std::time::Instant;

thread_local! {
    /// Name of the task that this thread is running.
    static CURRENT: Cell<&'static str> = const { Cell::new("-") };
}

/// A task has panicked, which has been logged.
#[derive(Debug, PartialEq)]
pub struct Panicked;

impl fmt::Display for Panicked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("panicked")
    }
}

/// A task has not ended in the time that it had.
#[derive(Debug, PartialEq)]
pub struct Unfinished;

impl fmt::Display for Unfinished {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not ended in its time")
    }
}

/// Names the running task until it is dropped.
struct Running(&'static str);

impl Running {
    fn enter(name: &'static str) -> Self {
        Running(CURRENT.replace(name))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        CURRENT.set(self.0);
    }
}

/// Starts a task that serves as long as the process runs. `start` is called again after a panic.
pub fn keep<F: Future<Output = ()>>(name: &'static str, start: impl Fn() -> F + 'static) {
    actix_rt::spawn(async move { run_again(name, start).await });
}

/// Starts a task that ends by itself.
pub fn spawn(name: &'static str, future: impl Future<Output = ()> + 'static) {
    actix_rt::spawn(async move { drop(run(name, future).await) });
}

/// Starts a task that ends by itself. `clean_up` releases what it held for others if it panics.
pub fn spawn_or<F: Future<Output = ()>>(
    name: &'static str,
    future: impl Future<Output = ()> + 'static,
    clean_up: impl FnOnce() -> F + 'static,
) {
    actix_rt::spawn(async move {
        if run(name, future).await.is_err() {
            drop(run(name, async move { clean_up().await }).await);
        }
    });
}

/// Runs a task until it ends without a panic.
pub async fn run_again<F: Future<Output = ()>>(name: &'static str, start: impl Fn() -> F) {
    let mut restarts = Restarts::default();
    loop {
        let started = clock::now();
        if run(name, start()).await.is_ok() {
            return;
        }
        let delay = restarts.delay(clock::now().saturating_duration_since(started));
        tokio::time::sleep(delay).await;
    }
}

/// Runs a task until it ends without a panic, but not after `end`.
///
/// # Errors
///
/// Returns [`Unfinished`] if it has not ended by then.
pub async fn run_until<F: Future<Output = ()>>(
    name: &'static str,
    end: Instant,
    start: impl Fn() -> F,
) -> Result<(), Unfinished> {
    let running = run_again(name, start);
    tokio::time::timeout_at(end.into(), running).await.map_err(|_| Unfinished)
}

/// Runs a task until it ends.
///
/// # Errors
///
/// Returns [`Panicked`] if it panics.
pub async fn run<F: Future>(name: &'static str, future: F) -> Result<F::Output, Panicked> {
    let mut caught = pin!(AssertUnwindSafe(future).catch_unwind());
    let done = poll_fn(|cx| {
        let _running = Running::enter(name);
        caught.as_mut().poll(cx)
    });
    done.await.map_err(|_| count(name))
}

/// Runs a step of a task.
///
/// # Errors
///
/// Returns [`Panicked`] if it panics.
pub fn step<T>(name: &'static str, step: impl FnOnce() -> T) -> Result<T, Panicked> {
    let _running = Running::enter(name);
    panic::catch_unwind(AssertUnwindSafe(step)).map_err(|_| count(name))
}

fn count(name: &'static str) -> Panicked {
    metrics::counter!("panics_total", "task" => name).increment(1);
    Panicked
}

/// Logs panics from now on. Nothing is written to standard error, which may block.
pub fn log_panics() {
    panic::set_hook(Box::new(log_panic));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let kind = Kind::Panicked;
    let place = info.location().map_or_else(|| "-".to_owned(), ToString::to_string);
    let message = info.payload_as_str().unwrap_or("-");
    let task = CURRENT.try_with(Cell::get).unwrap_or("-");
    log::error!(
        "event={} kind={kind:?} subject={task} place={place} message={message:?}",
        kind.number()
    );
}
