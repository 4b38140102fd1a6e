//! Addresses from `free_address` can be bound even while other threads start processes.

use standin::host::free_address;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

#[test]
fn free_address_can_be_bound_while_processes_start() {
    let stop = AtomicBool::new(false);
    std::thread::scope(|s| {
        for _ in 0..3 {
            s.spawn(|| {
                while !stop.load(Ordering::SeqCst) {
                    let status = Command::new("true").status().expect("the program runs");
                    assert!(status.success());
                }
            });
        }
        let failed = (0..4000).filter(|_| TcpListener::bind(free_address()).is_err()).count();
        stop.store(true, Ordering::SeqCst);
        assert_eq!(failed, 0);
    });
}
