//! Whether another instance is still there.

use skylarkthread::gossip::Presence;
use std::time::{Duration, Instant};

#[test]
fn instance_is_gone_once_its_registration_and_its_messages_have_ended() {
    let start = Instant::now();
    let at = |secs| start + Duration::from_secs(secs);
    let mut presence = Presence::default();
    presence.register();
    assert!(!presence.is_gone(at(100)));
    presence.unregister();
    assert!(presence.is_gone(at(100)));
    presence.record_message(at(100));
    assert!(!presence.is_gone(at(114)) && presence.is_gone(at(115)));
    presence.register();
    assert!(!presence.is_gone(at(115)));
}
