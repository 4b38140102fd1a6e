//! Numbers near the limits of their types, which no sum may exceed.

use crate::fixture::{centre, engine};
use skylarkthread::hlc::{Hlc, Stamp};
use skylarkthread::id::{InstanceId, MilliCores};
use skylarkthread::{evacuate, gossip};
use std::time::{Duration, Instant};

#[test]
fn copy_of_more_tokens_than_a_count_holds_does_not_start() {
    let now = Instant::now();
    let deadline = now + Duration::from_millis(1500);
    assert!(!evacuate::can_start_copy(now, deadline, &engine(34_000), 1, u32::MAX));
}

#[test]
fn instance_of_any_stated_power_is_the_strongest() {
    let names: [InstanceId; 2] = ["g-1", "g-2"].map(|name| name.parse().expect("a valid name"));
    for power in [u32::MAX, u32::MAX / 2 + 1] {
        let powers = [MilliCores(power), MilliCores(100)];
        let instances = names.iter().zip(powers);
        let chosen = gossip::transfer_coordinators(&centre("a"), instances);
        assert_eq!(chosen, [Some(&names[0]), None], "{power}");
    }
}

#[test]
fn clock_goes_on_after_the_last_count_of_a_moment() {
    let wall = Duration::from_secs(1);
    let mut clock = Hlc::default();
    let last = Stamp { micros: 5_000_000, count: u32::MAX };
    assert!(clock.observe(wall, last) > last);
    clock.observe(wall, Stamp { micros: u64::MAX, count: u32::MAX });
}
