//! Tests when a settings file is used that is not valid as a whole, and what is logged of it.

use skylarkthread::reload::{Reasons, SETTLE_TIME, Settled};
use std::time::{Duration, Instant};

#[test]
fn text_is_settled_once_it_stays_the_same() {
    let (start, mut settled) = (Instant::now(), Settled::default());
    assert!(!settled.step(start, "a"));
    assert!(!settled.step(start + SETTLE_TIME, "ab"));
    let ms = Duration::from_millis(1);
    assert!(!settled.step(start + 2 * SETTLE_TIME - ms, "ab"));
    assert!(settled.step(start + 2 * SETTLE_TIME, "ab"));
}

#[test]
fn reasons_are_logged_when_they_change_and_at_intervals() {
    let (start, mut reasons) = (Instant::now(), Reasons::default());
    let mut logged = Vec::new();
    for tenth in 0..300 {
        let reason = if tenth < 20 { "absent" } else { "empty" };
        if reasons.is_due(start + Duration::from_millis(100 * tenth), reason) {
            logged.push((tenth, reason));
        }
    }
    assert_eq!(logged, [(0, "absent"), (20, "empty"), (120, "empty"), (220, "empty")]);
}

#[test]
fn alternating_reasons_are_logged_once_a_second() {
    let (start, mut reasons) = (Instant::now(), Reasons::default());
    let is_due = |tenth: u64| {
        let reason = if tenth.is_multiple_of(2) { "absent" } else { "empty" };
        reasons.is_due(start + Duration::from_millis(100 * tenth), reason)
    };
    assert!((0..100).map(is_due).filter(|due| *due).count() <= 10);
}
