//! Tasks that panic: which of them start again, when, and what else they end.

use log::{LevelFilter, Log, Metadata, Record};
use rstest::rstest;
use skylarkthread::board::SidecarBoard;
use skylarkthread::clock;
use skylarkthread::frame::{CallKey, CallReply};
use skylarkthread::id::{Fingerprint, Incarnation};
use skylarkthread::once::{Ledger, Limits, Verdict};
use skylarkthread::shutdown::{Drain, EXIT_FAILED, run_stop};
use skylarkthread::task::{self, Panicked, Restarts, Unfinished};
use std::cell::{Cell, RefCell};
use std::process::Command;
use std::rc::Rc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Lines that were logged by this process.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Lines;

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        lines().push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn lines() -> MutexGuard<'static, Vec<String>> {
    LINES.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Logs panics to [`LINES`], and returns those lines that name a task.
fn panics_of(name: &str) -> Vec<String> {
    lines().iter().filter(|l| l.contains(&format!("subject={name} "))).cloned().collect()
}

fn log_panics() {
    // Another test may have set it.
    let _ = log::set_logger(&Lines);
    log::set_max_level(LevelFilter::Info);
    task::log_panics();
}

/// Decrements on drop, as the guards of connections do.
struct Count(Rc<RefCell<u32>>);

impl Drop for Count {
    fn drop(&mut self) {
        *self.0.borrow_mut() -= 1;
    }
}

#[actix_rt::test]
async fn kept_task_that_panics_serves_on_and_leaves_no_borrow_behind() {
    log_panics();
    let (starts, served) = (Rc::new(Cell::new(0)), Rc::new(RefCell::new(0)));
    let (s, v) = (starts.clone(), served.clone());
    task::keep("kept", move || {
        let (starts, served) = (s.clone(), v.clone());
        async move {
            starts.set(starts.get() + 1);
            loop {
                tokio::time::sleep(Duration::from_millis(1)).await;
                let mut served = served.borrow_mut();
                assert!(*served != 3 || starts.get() > 1, "the third {}", *served);
                *served += 1;
            }
        }
    });
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(starts.get(), 2);
    assert!(*served.borrow() > 3, "{}", served.borrow());
    let logged = panics_of("kept");
    assert_eq!(logged.len(), 1, "{logged:?}");
    let (line, place) = (&logged[0], concat!("place=", file!()));
    assert!(line.contains("event=114 kind=Panicked subject=kept "), "{line}");
    assert!(line.contains(place) && line.contains("message=\"the third 3\""), "{line}");
}

#[actix_rt::test]
async fn panic_of_one_request_ends_that_request_and_releases_what_it_held() {
    log_panics();
    let open = Rc::new(RefCell::new(0));
    for n in 0..5 {
        let open = open.clone();
        task::spawn("request", async move {
            *open.borrow_mut() += 1;
            let _count = Count(open.clone());
            tokio::time::sleep(Duration::from_millis(20)).await;
            assert!(n != 2, "request {n}");
            std::future::pending().await
        });
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(*open.borrow(), 4);
    assert_eq!(panics_of("request").len(), 1);
}

/// A sidecar that is never idle again stops only when its grace time ends.
#[rstest]
#[case::panic(true)]
#[case::cancelled(false)]
#[actix_rt::test]
async fn call_that_ends_without_a_reply_is_no_longer_running(#[case] panics: bool) {
    log_panics();
    let incarnation = Incarnation(7);
    let ledger = Ledger::new(clock::now(), incarnation, Limits::default());
    let (hash, content) = (Fingerprint(1), Fingerprint(2));
    let key = CallKey { incarnation, epoch: ledger.epoch(), hash, content, claim: None };
    let (board, ledger) = (RefCell::new(SidecarBoard::default()), RefCell::new(ledger));
    assert_eq!(ledger.borrow_mut().begin(clock::now(), &key), Verdict::Run);
    let call = SidecarBoard::count_call(&board, async {
        tokio::time::sleep(Duration::from_millis(5)).await;
        assert!(!panics, "without a reply");
        std::future::pending().await
    });
    let run = task::run("call", Ledger::record_call(&ledger, &key, call));
    let ended = tokio::time::timeout(Duration::from_millis(100), run).await;
    assert_eq!(ended.is_ok(), panics);
    let found = ledger.borrow_mut().begin(clock::now(), &key);
    assert_eq!((board.borrow().is_idle(), found), (true, Verdict::Answer(CallReply::Unknown)));
}

/// A generation whose task had panicked stayed running, and its sidecar stopped only by its grace time.
#[rstest]
#[case::panic(true)]
#[case::end(false)]
#[actix_rt::test]
async fn task_that_panics_is_cleaned_up_after(#[case] panics: bool) {
    log_panics();
    let cleaned = Rc::new(Cell::new(0));
    let seen = cleaned.clone();
    let clean_up = || async move { seen.set(seen.get() + 1) };
    task::spawn_or("untidy", async move { assert!(!panics, "untidy") }, clean_up);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(cleaned.get(), u32::from(panics));
}

#[test]
fn panic_of_a_step_keeps_the_name_of_the_task_around_it() {
    log_panics();
    let outer: Result<(), Panicked> = task::step("outer", || {
        assert_eq!(task::step("inner", || panic!("inside")), Err::<(), _>(Panicked));
        panic!("outside")
    });
    assert_eq!(outer, Err(Panicked));
    assert_eq!((panics_of("inner").len(), panics_of("outer").len()), (1, 1));
}

/// A stop that panics must not keep the process until it is killed.
#[actix_rt::test]
async fn task_that_panics_each_time_is_given_up_when_its_time_ends() {
    log_panics();
    let (starts, begun) = (Cell::new(0), clock::now());
    let end = begun + Duration::from_millis(300);
    let run = task::run_until("stuck", end, || async {
        starts.set(starts.get() + 1);
        panic!("start {}", starts.get())
    });
    let ended = tokio::time::timeout(Duration::from_secs(5), run).await;
    assert_eq!(ended, Ok(Err(Unfinished)));
    assert!(starts.get() > 1 && clock::now() >= end, "{} starts", starts.get());
}

#[actix_rt::test]
async fn task_that_ends_is_not_started_again() {
    let starts = Cell::new(0);
    task::run_again("ending", || async { starts.set(starts.get() + 1) }).await;
    assert_eq!(starts.get(), 1);
    assert_eq!(task::run("value", async { 7 }).await, Ok(7));
    let end = clock::now() + Duration::from_secs(5);
    assert_eq!(task::run_until("in-time", end, || async {}).await, Ok(()));
}

#[test]
fn restarts_are_spaced_out_and_bounded() {
    let mut restarts = Restarts::default();
    let ran = Duration::from_millis(1);
    let delays: Vec<Duration> = (0..100).map(|_| restarts.delay(ran)).collect();
    assert!(delays.is_sorted());
    assert!(delays.iter().all(|d| !d.is_zero() && *d <= Duration::from_secs(1)), "{delays:?}");
    assert_eq!(restarts.delay(Duration::from_secs(60)), delays[0]);
}

/// Set for the process whose stop blocks its only thread.
const BLOCKED: &str = "TEST_STOP_BLOCKED";

/// A stop that blocks its thread must not keep the process until it is killed.
#[test]
fn stop_that_blocks_its_thread_is_ended_when_its_time_ends() {
    let name = "stop_that_blocks_its_thread_is_ended_when_its_time_ends";
    if std::env::var_os(BLOCKED).is_some() {
        let drain = Drain::new(clock::now(), Duration::ZERO);
        let stop = || async { std::thread::sleep(Duration::from_secs(30)) };
        let ended = actix_rt::System::new().block_on(run_stop(drain, stop));
        panic!("not ended: {ended:?}");
    }
    let mut command = Command::new(std::env::current_exe().expect("the test has a path"));
    let begun = clock::now();
    let status = command.args(["--exact", name]).env(BLOCKED, "1").status().expect("it starts");
    assert_eq!(status.code(), Some(i32::from(EXIT_FAILED)));
    assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
}
