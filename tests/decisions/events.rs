//! Events that name what other systems chose.

use skylarkthread::event::{EventRing, Filter, Kind};
use std::time::Duration;

#[test]
fn text_of_events_is_bounded_and_keeps_its_start() {
    let mut ring = EventRing::new("a".parse().expect("the name is valid"));
    let (subject, detail) = ("s".repeat(100_000), format!("why={}", "ä".repeat(100_000)));
    ring.push(Duration::ZERO, Kind::Failed, &subject, &detail);
    let kept = ring.select(&Filter::default(), 1);
    let (kept_subject, kept_detail) = (&*kept[0].subject, &*kept[0].detail);
    assert!(subject.starts_with(kept_subject) && detail.starts_with(kept_detail));
    for text in [kept_subject, kept_detail] {
        assert!((200..=1024).contains(&text.len()), "{} bytes", text.len());
    }
}
