//! Addresses that tests are given stay free while other threads start processes.

use standin::host::free_address;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

#[test]
fn an_address_that_was_free_can_be_used_while_processes_start() {
    let stop = AtomicBool::new(false);
    std::thread::scope(|s| {
        for _ in 0..3 {
            s.spawn(|| {
                while !stop.load(Ordering::SeqCst) {
                    let done = Command::new("true").status().expect("the program runs");
                    assert!(done.success());
                }
            });
        }
        let failed = (0..4000).filter(|_| TcpListener::bind(free_address()).is_err()).count();
        stop.store(true, Ordering::SeqCst);
        assert_eq!(failed, 0);
    });
}
