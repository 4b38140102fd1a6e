//! Endpoint pool: leaving, lapsed, restarted, failing and unreachable endpoints, and balancing.

use crate::fixture::{NeedFixture, id, listing, pool, service, work};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use skylarkthread::balance::{self, Need};
use skylarkthread::gossip::Work;
use skylarkthread::pool::{Availability, Change, Listing, Source, Standing};
use std::time::{Duration, Instant};

#[test]
fn leaving_endpoint_is_not_used_again_under_same_id() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 1);
    let leaving = Listing { leaving: true, ..listing(0, "a") };
    assert_eq!(pool.upsert(now, leaving), Some(Change::Leaving(id(0))));
    assert!(!pool.endpoints[keys[0]].is_usable());
    assert_eq!(pool.upsert(now, listing(0, "a")), None);
    assert!(!pool.endpoints[keys[0]].is_usable());
}

#[test]
fn removed_endpoint_stays_until_its_work_ends() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 1);
    pool.add_work(keys[0], work(10, 0));
    assert_eq!(pool.remove(now, &id(0)), Some(Change::Left(id(0))));
    assert!(pool.endpoints[keys[0]].is_leaving());
    pool.remove_work(keys[0], work(10, 0));
    assert!(pool.endpoints.is_empty());
}

#[test]
fn lapsed_endpoint_is_removed_within_two_seconds() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 2);
    let changes = pool.replace_listings(now, vec![listing(1, "a")], Source::Current, |_| false);
    assert_eq!(changes, []);
    assert!(matches!(pool.endpoints[keys[0]].standing, Standing::Lapsed(_)));
    pool.step(now + Duration::from_millis(1500));
    assert!(pool.endpoints.contains_key(keys[0]));
    let changes = pool.step(now + Duration::from_millis(2000));
    assert_eq!(changes, [Change::Left(id(0))]);
}

#[test]
fn last_listing_restores_a_lapsed_endpoint_and_not_its_cold_time() {
    let (now, secs) = (Instant::now(), Duration::from_secs);
    let (mut pool, keys) = pool(now, 1);
    pool.upsert(now, Listing { warmup: Some(secs(9)), ..listing(0, "a") });
    let end = pool.endpoints[keys[0]].warmup_end;
    assert_eq!(pool.last_listing(&id(1)), None);
    pool.mark_lapsed(now, &id(0));
    let last = pool.last_listing(&id(0)).expect("it is known");
    assert_eq!(last, Listing { warmup: None, ..listing(0, "a") });
    assert_eq!(pool.replace_listings(now + secs(1), vec![last], Source::Copy, |_| false), []);
    let e = &pool.endpoints[keys[0]];
    assert_eq!((e.standing, e.warmup_end), (Standing::Serving, end));
}

#[test]
fn endpoint_stays_paused_until_the_latest_end_that_it_asked_for() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 2);
    let secs = Duration::from_secs;
    assert!(pool.pause(now, keys[0], secs(3)));
    assert!(!pool.pause(now, keys[0], secs(1)), "it is paused already");
    assert_eq!(pool.availability(&service()), Availability::Now);
    pool.step(now + secs(2));
    assert!(!pool.endpoints[keys[0]].is_usable() && pool.endpoints[keys[1]].is_usable());
    pool.pause(now, keys[1], secs(5));
    assert_eq!(pool.availability(&service()), Availability::At(now + secs(3)));
    pool.step(now + secs(3));
    assert!(pool.endpoints[keys[0]].is_usable());
    pool.mark_leaving(now, keys[0]);
    assert_eq!(pool.availability(&service()), Availability::At(now + secs(5)));
    pool.mark_leaving(now, keys[1]);
    assert_eq!(pool.availability(&service()), Availability::Never);
    // The pause is that of one endpoint, and is gone with it.
    pool.remove(now, &id(0));
    pool.upsert(now, listing(0, "a"));
    assert_eq!(pool.availability(&service()), Availability::Now);
}

#[test]
fn copy_of_the_store_brings_no_removed_endpoint_back() {
    let now = Instant::now();
    let (mut pool, _) = pool(now, 2);
    pool.remove(now, &id(0));
    let copy = || vec![listing(0, "a"), listing(1, "a")];
    let later = now + Duration::from_secs(30);
    pool.step(later);
    assert_eq!(pool.replace_listings(later, copy(), Source::Copy, |_| false), []);
    assert_eq!(pool.find(&id(0)), None);
    // A write after the return brings it back, and so does a later read of all keys.
    let mut written = pool;
    assert_eq!(written.upsert(later, listing(0, "a")), Some(Change::Joined(id(0))));
    written.remove(later, &id(0));
    let changes = written.replace_listings(later, copy(), Source::Current, |_| false);
    assert_eq!(changes, [Change::Joined(id(0))]);
}

#[test]
fn copy_of_the_store_brings_no_earlier_start_of_an_endpoint_back() {
    let now = Instant::now();
    let (mut pool, _) = pool(now, 2);
    let restarted = Listing { started_ms: Some(2), ..listing(0, "a") };
    pool.upsert(now, restarted);
    let key = pool.find(&id(0));
    assert_eq!(pool.replace_listings(now, vec![listing(0, "a")], Source::Copy, |_| false), []);
    assert_eq!(pool.find(&id(0)), key);
    // After a restart at the same id since the removal, the listing is of another endpoint.
    pool.remove(now, &id(0));
    let again = Listing { started_ms: Some(3), ..listing(0, "a") };
    let changes = pool.replace_listings(now, vec![again], Source::Copy, |_| false);
    assert_eq!(changes, [Change::Joined(id(0))]);
}

#[test]
fn same_id_with_new_start_time_is_new_endpoint() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 1);
    pool.add_work(keys[0], work(10, 0));
    let restarted = Listing { started_ms: Some(2), ..listing(0, "a") };
    assert_eq!(pool.upsert(now, restarted), Some(Change::Joined(id(0))));
    let key = pool.find(&id(0)).expect("it is listed");
    assert_ne!(key, keys[0]);
    assert_eq!(pool.endpoints[key].own, Work::default());
    assert!(pool.endpoints[keys[0]].is_leaving());
}

#[test]
fn failing_endpoints_are_ejected_down_to_half_and_readmitted_on_trial() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 4);
    for key in &keys[..3] {
        (0..3).for_each(|_| pool.endpoints[*key].health.record_failure());
    }
    assert_eq!(pool.step(now).len(), 2);
    assert_eq!(pool.endpoints.values().filter(|e| e.is_usable()).count(), 2);
    let changes = pool.step(now + Duration::from_secs(3));
    assert!(changes.iter().filter(|c| matches!(c, Change::Readmitted(_))).count() == 2);
    let on_trial_key = pool
        .endpoints
        .iter()
        .find(|(_, e)| e.health.on_trial)
        .map(|(k, _)| k)
        .expect("an endpoint is on trial");
    pool.add_work(on_trial_key, work(0, 0));
    assert!(!pool.endpoints[on_trial_key].is_usable());
}

#[test]
fn unreachable_endpoint_is_avoided_with_exponential_backoff() {
    let start = Instant::now();
    let (mut pool, keys) = pool(start, 2);
    let key = keys[0];
    let mut now = start;
    let mut times = Vec::new();
    for _ in 0..6 {
        assert!(pool.record_unreachable(now, key).is_some());
        assert!(pool.record_unreachable(now, key).is_none(), "concurrent failures count once");
        let failed = now;
        while !pool.endpoints[key].is_usable() {
            now += Duration::from_millis(100);
            pool.step(now);
        }
        times.push((now - failed).as_secs());
    }
    assert_eq!(times, [1, 2, 4, 8, 8, 8]);
    pool.record_reachable(key);
    pool.record_unreachable(now, key);
    pool.step(now + Duration::from_secs(1));
    assert!(pool.endpoints[key].is_usable(), "an answer resets the back-off");
}

/// An instance that is partitioned from all endpoints uses none of them, and all again after one
/// second.
#[test]
fn all_unreachable_endpoints_are_avoided_and_return_after_backoff() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 4);
    keys.iter().for_each(|k| drop(pool.record_unreachable(now, *k)));
    assert!(pool.endpoints.values().all(|e| !e.is_usable()));
    assert_eq!(pool.step(now + Duration::from_secs(1)).len(), 4);
    assert!(pool.endpoints.values().all(|e| e.is_usable()));
}

/// Guards against many instances sending at once to an engine that has just joined: it runs nothing
/// yet and looks idle, while prompts are already on their way.
#[test]
fn balancing_counts_pending_prefill_not_only_memory() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 4);
    // The first engine runs nothing yet, but has three prompts pending.
    pool.add_work(keys[0], Work { open: 3, held: 9000, unread: 9000, copies: 0 });
    keys[1..]
        .iter()
        .for_each(|k| pool.add_work(*k, Work { open: 3, held: 11_000, unread: 0, copies: 0 }));
    let fixture = NeedFixture::engines(34_000);
    let need = fixture.need(work(4000, 3000));
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..50 {
        assert_ne!(balance::choose(now, &pool, &need, &[], &mut rng), Some(keys[0]));
    }
}

#[test]
fn local_endpoint_is_preferred_until_busy() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 1);
    pool.upsert(now, listing(5, "b"));
    let remote = pool.find(&id(5)).expect("it is listed");
    let fixture = NeedFixture::plain();
    let need = || fixture.need(work(0, 0));
    let mut rng = SmallRng::seed_from_u64(3);
    assert_eq!(balance::choose(now, &pool, &need(), &[], &mut rng), Some(keys[0]));
    (0..4).for_each(|_| pool.add_work(keys[0], work(0, 0)));
    assert_eq!(balance::choose(now, &pool, &need(), &[], &mut rng), Some(remote));
}

#[test]
fn connection_limit_of_endpoint_is_respected() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 1);
    let fixture = NeedFixture::plain();
    let need = Need { connections: 2, ..fixture.need(work(0, 0)) };
    let mut rng = SmallRng::seed_from_u64(3);
    pool.add_work(keys[0], work(0, 0));
    assert_eq!(balance::choose(now, &pool, &need, &[], &mut rng), Some(keys[0]));
    pool.add_work(keys[0], work(0, 0));
    assert_eq!(balance::choose(now, &pool, &need, &[], &mut rng), None);
}
