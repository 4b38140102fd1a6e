//! The list of endpoints: leaving, lapsing, starting anew, failing.

use crate::fixture::{Terms, id, listing, pool, work};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use skylarkthread::balance::{self, Need};
use skylarkthread::gossip::Work;
use skylarkthread::pool::{Change, Listing, Standing};
use std::time::{Duration, Instant};

#[test]
fn an_endpoint_that_leaves_is_not_used_and_does_not_come_back_under_its_id() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 1);
    let leaving = Listing { leaving: true, ..listing(0, "a") };
    assert_eq!(pool.upsert(now, leaving), Some(Change::Leaving(id(0))));
    assert!(!pool.endpoints[keys[0]].is_usable());
    assert_eq!(pool.upsert(now, listing(0, "a")), None);
    assert!(!pool.endpoints[keys[0]].is_usable());
}

#[test]
fn one_that_is_removed_stays_until_its_generations_have_gone() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 1);
    pool.add_work(keys[0], work(10, 0));
    assert_eq!(pool.remove(now, &id(0)), Some(Change::Left(id(0))));
    assert!(pool.endpoints[keys[0]].is_leaving());
    pool.remove_work(keys[0], work(10, 0));
    assert!(pool.endpoints.is_empty());
}

#[test]
fn an_entry_that_lapsed_counts_as_gone_after_two_seconds() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 2);
    let changes = pool.replace_listings(now, vec![listing(1, "a")]);
    assert_eq!(changes, []);
    assert!(matches!(pool.endpoints[keys[0]].standing, Standing::Lapsed(_)));
    pool.step(now + Duration::from_millis(1500));
    assert!(pool.endpoints.contains_key(keys[0]));
    let changes = pool.step(now + Duration::from_millis(2000));
    assert_eq!(changes, [Change::Left(id(0))]);
}

#[test]
fn the_same_id_with_another_start_is_another_endpoint() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 1);
    pool.add_work(keys[0], work(10, 0));
    let reborn = Listing { started_ms: Some(2), ..listing(0, "a") };
    assert_eq!(pool.upsert(now, reborn), Some(Change::Joined(id(0))));
    let key = pool.find(&id(0)).expect("it is listed");
    assert_ne!(key, keys[0]);
    assert_eq!(pool.endpoints[key].own, Work::default());
    assert!(pool.endpoints[keys[0]].is_leaving());
}

#[test]
fn endpoints_that_keep_failing_are_ejected_down_to_half_and_tried_again() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 4);
    for key in &keys[..3] {
        (0..3).for_each(|_| pool.endpoints[*key].health.record_failure());
    }
    assert_eq!(pool.step(now).len(), 2);
    assert_eq!(pool.endpoints.values().filter(|e| e.is_usable()).count(), 2);
    let changes = pool.step(now + Duration::from_secs(3));
    assert!(changes.iter().filter(|c| matches!(c, Change::Readmitted(_))).count() == 2);
    let tried =
        pool.endpoints.iter().find(|(_, e)| e.health.on_trial).map(|(k, _)| k).expect("one is");
    pool.add_work(tried, work(0, 0));
    assert!(!pool.endpoints[tried].is_usable());
}

#[test]
fn one_that_takes_no_connection_is_left_alone_at_once_and_for_longer_each_time() {
    let start = Instant::now();
    let (mut pool, keys) = pool(start, 2);
    let key = keys[0];
    let mut now = start;
    let mut times = Vec::new();
    for _ in 0..6 {
        assert!(pool.record_unreachable(now, key).is_some());
        assert!(pool.record_unreachable(now, key).is_none(), "several fail at one moment");
        let out = now;
        while !pool.endpoints[key].is_usable() {
            now += Duration::from_millis(100);
            pool.step(now);
        }
        times.push((now - out).as_secs());
    }
    assert_eq!(times, [1, 2, 4, 8, 8, 8]);
    pool.record_reachable(key);
    pool.record_unreachable(now, key);
    pool.step(now + Duration::from_secs(1));
    assert!(pool.endpoints[key].is_usable(), "one that answered starts anew");
}

/// An instance that is cut off from all endpoints finds them again within a second.
#[test]
fn no_share_of_a_service_is_kept_in_use_that_takes_no_connection() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 4);
    keys.iter().for_each(|k| drop(pool.record_unreachable(now, *k)));
    assert!(pool.endpoints.values().all(|e| !e.is_usable()));
    assert_eq!(pool.step(now + Duration::from_secs(1)).len(), 4);
    assert!(pool.endpoints.values().all(|e| e.is_usable()));
}

/// Load it plays: many instances that send at once to engines of which one has just joined.
#[test]
fn prompts_are_spread_by_what_waits_to_be_read_not_only_by_what_runs() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 4);
    // The first runs nothing, but three prompts are on their way to it.
    pool.add_work(keys[0], Work { open: 3, held: 9000, unread: 9000, copies: 0 });
    keys[1..]
        .iter()
        .for_each(|k| pool.add_work(*k, Work { open: 3, held: 11_000, unread: 0, copies: 0 }));
    let terms = Terms::engines(34_000);
    let need = terms.need(work(4000, 3000));
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..50 {
        assert_ne!(balance::choose(now, &pool, &need, &[], &mut rng), Some(keys[0]));
    }
}

#[test]
fn of_equals_the_near_one_is_chosen_and_a_far_one_where_that_is_busy() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 1);
    pool.upsert(now, listing(5, "b"));
    let far = pool.find(&id(5)).expect("it is listed");
    let terms = Terms::plain();
    let need = || terms.need(work(0, 0));
    let mut rng = SmallRng::seed_from_u64(3);
    assert_eq!(balance::choose(now, &pool, &need(), &[], &mut rng), Some(keys[0]));
    (0..4).for_each(|_| pool.add_work(keys[0], work(0, 0)));
    assert_eq!(balance::choose(now, &pool, &need(), &[], &mut rng), Some(far));
}

#[test]
fn an_endpoint_is_not_sent_more_than_the_connections_that_it_takes() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 1);
    let terms = Terms::plain();
    let need = Need { connections: 2, ..terms.need(work(0, 0)) };
    let mut rng = SmallRng::seed_from_u64(3);
    pool.add_work(keys[0], work(0, 0));
    assert_eq!(balance::choose(now, &pool, &need, &[], &mut rng), Some(keys[0]));
    pool.add_work(keys[0], work(0, 0));
    assert_eq!(balance::choose(now, &pool, &need, &[], &mut rng), None);
}
