//! Signals that a process ignores from its start.

use skylarkthread::shutdown::{ignore_strays, restore_strays};
use std::sync::atomic::{AtomicI32, Ordering};

/// Signal of timers of a library that is loaded before the program.
const TIMER: libc::c_int = 58;

static HANDLED: AtomicI32 = AtomicI32::new(0);

extern "C" fn handle(signal: libc::c_int) {
    HANDLED.store(signal, Ordering::Relaxed);
}

fn raise(signal: libc::c_int) {
    // SAFETY: the process has a handler for the signal, or ignores it.
    assert_eq!(unsafe { libc::raise(signal) }, 0);
}

#[test]
fn handler_of_a_library_is_not_replaced_at_the_start() {
    // SAFETY: the handler stores a number and nothing else.
    unsafe { libc::signal(TIMER, handle as *const () as libc::sighandler_t) };
    ignore_strays();
    raise(TIMER);
    assert_eq!(HANDLED.swap(0, Ordering::Relaxed), TIMER);
    raise(libc::SIGXFSZ);
    restore_strays();
    raise(TIMER);
    assert_eq!(HANDLED.load(Ordering::Relaxed), TIMER);
}
