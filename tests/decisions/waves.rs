//! Log events for changes that all instances of a fleet notice.

use skylarkthread::event::{Kind, WaveEvent, WaveLog};
use std::time::{Duration, Instant};

#[test]
fn wave_of_changes_becomes_one_event() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut log = WaveLog::default();
    let mut events = Vec::new();
    // 400 instances start within 900 ms.
    for n in 0..400 {
        log.add(at(n * 2), Kind::LinkUp, &format!("g-{n}"), "address=x");
        events.extend(log.step(at(n * 2)));
    }
    events.extend(log.step(at(1100)));
    let detail = "count=400 first=g-0".into();
    assert_eq!(events, [WaveEvent { kind: Kind::LinkUp, subject: "several".into(), detail }]);
}

#[test]
fn single_change_keeps_its_subject_and_detail() {
    let start = Instant::now();
    let mut log = WaveLog::default();
    log.add(start, Kind::Joined, "i-7", "");
    log.add(start, Kind::LinkUp, "g-3", "address=x");
    assert_eq!(log.step(start + Duration::from_millis(500)), []);
    let events = log.step(start + Duration::from_secs(1));
    let event = |kind, subject: &str, detail: &str| WaveEvent {
        kind,
        subject: subject.into(),
        detail: detail.into(),
    };
    assert_eq!(events, [event(Kind::Joined, "i-7", ""), event(Kind::LinkUp, "g-3", "address=x")]);
    assert_eq!(log.step(start + Duration::from_secs(9)), []);
}
