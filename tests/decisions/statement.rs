//! What endpoints state to one instance: that they turn cold, or when they will be gone.

use crate::fixture::{NeedFixture, id, pool, service, work};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use skylarkthread::admit::{self, AdmissionRequest, Decision, PrefillRate};
use skylarkthread::balance::Need;
use skylarkthread::gossip::{StatementRow, Tag};
use skylarkthread::id::Tokens;
use skylarkthread::limit::{Rate, Stated};
use skylarkthread::route::Urgency;
use std::time::{Duration, Instant};

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One of two engines is reclaimed and states the time that it has left, at most 0.6 s too much.
/// Memory is used until the end, by the generations that end before it.
#[rstest]
#[case::short_output(2100, 1_000, 10, true)]
#[case::long_output(2100, 1_000, 700, false)]
#[case::long_prompt(2100, 9_000, 10, false)]
#[case::shortly_before_the_end(700, 1_000, 10, false)]
fn engine_that_is_soon_gone_takes_only_what_ends_before(
    #[case] left_ms: u64,
    #[case] prompt: u64,
    #[case] output: u32,
    #[case] is_sent: bool,
) {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 1);
    pool.record_departure(now, keys[0], millis(left_ms));
    let (fixture, rate) = (NeedFixture::engines(22_000), PrefillRate::default());
    let request = AdmissionRequest {
        need: Need { output: Tokens(output), ..fixture.need(work(prompt, prompt)) },
        since: now,
        target: millis(1800),
        deadline: now + millis(39_000),
        urgency: Urgency(1),
        queue_len: 1,
        ahead: 0,
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let decision = admit::decide(now, &pool, &request, &rate, &[], &mut rng);
    assert_eq!(decision == Decision::Send(keys[0]), is_sent, "{decision:?}");
}

#[test]
fn other_instances_are_told_at_once_and_for_as_long_as_it_holds() {
    let now = Instant::now();
    let (mut own, keys) = pool(now, 2);
    let (mut other, other_keys) = pool(now, 2);
    let rate = Stated::Limited(Rate::per_second(30.0));
    other.set_cold_limits(now, [(service(), rate)].into_iter());
    own.record_cold(now, keys[0], millis(1000));
    own.record_departure(now, keys[1], millis(2600));
    assert!(own.has_new_statements());
    let rows = own.take_statements(now, false);
    assert_eq!((rows.len(), own.has_new_statements()), (2, false));
    assert_eq!(own.take_statements(now, false), []);
    rows.into_iter().for_each(|row| other.apply_statement(now, row));
    assert!(other.endpoints[other_keys[0]].is_limited());
    assert_eq!(other.endpoints[other_keys[1]].notices.gone_at, Some(now + millis(2000)));
    // What one was told does not go round among instances and is not prolonged by that.
    assert_eq!(other.take_statements(now, true), []);
    let rows = own.take_statements(now + millis(999), true);
    assert_eq!(rows.iter().map(|row| row.cold_ms).collect::<Vec<_>>(), [Some(1), None]);
    let rows = own.take_statements(now + millis(1500), true);
    assert_eq!(rows.iter().map(|row| row.tag).collect::<Vec<_>>(), [Tag::of(&id(1))]);
    // It turns cold once more.
    own.record_cold(now + millis(1500), keys[0], millis(800));
    assert!(own.has_new_statements());
}

/// An endpoint that has started again under its id holds to nothing that it stated before.
#[test]
fn statement_of_an_earlier_incarnation_is_not_applied() {
    let now = Instant::now();
    let (mut own, keys) = pool(now, 1);
    let (mut other, other_keys) = pool(now, 1);
    own.record_departure(now, keys[0], millis(2600));
    own.record_leaving(keys[0]);
    let row = own.take_statements(now, true)[0];
    assert!(row.leaving && other.is_current(&row));
    let earlier = StatementRow { incarnation: row.incarnation.map(|i| i.wrapping_add(1)), ..row };
    assert!(!other.is_current(&earlier));
    other.apply_statement(now, earlier);
    assert_eq!(other.endpoints[other_keys[0]].notices.gone_at, None);
}

#[test]
fn engine_that_leaves_after_its_listing_lapsed_is_removed() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 1);
    pool.mark_lapsed(now, &id(0));
    pool.add_work(keys[0], work(10, 0));
    pool.mark_leaving(now, keys[0]);
    assert!(pool.endpoints[keys[0]].is_leaving() && pool.find(&id(0)).is_none());
    pool.remove_work(keys[0], work(10, 0));
    assert!(pool.endpoints.is_empty());
}
