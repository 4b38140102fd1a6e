//! Live migration from engines that shut down with many generations on them.

use crate::fixture::{self, engine, id, listing, pool, service, work};
use rstest::rstest;
use skylarkthread::evacuate::{self, MoveRequest, ShutdownNotice};
use skylarkthread::gossip::Work;
use skylarkthread::pool::{Pool, PoolKey};
use std::time::{Duration, Instant};

fn choose(
    now: Instant,
    pool: &Pool,
    source: PoolKey,
    held: u64,
    tried: &[PoolKey],
) -> Option<PoolKey> {
    let (service, centre) = (service(), fixture::centre("a"));
    let request = MoveRequest { source, service: &service, centre: &centre, held };
    evacuate::choose(now, pool, &request, &engine(30_000), tried)
}

#[test]
fn copies_use_all_local_links_and_leave_the_data_centre_only_when_it_is_full() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 3);
    pool.upsert(now, listing(9, "b"));
    let remote = pool.find(&id(9)).expect("the endpoint is listed");
    let mut targets = Vec::new();
    for _ in 0..4 {
        let key = choose(now, &pool, keys[0], 3000, &[]).expect("an engine has enough memory");
        pool.add_work(key, Work { copies: 3000, ..work(3000, 0) });
        targets.push(key);
    }
    assert_eq!(targets.iter().filter(|k| **k == keys[1]).count(), 2);
    assert_eq!(targets.iter().filter(|k| **k == keys[2]).count(), 2);
    [keys[1], keys[2]].iter().for_each(|k| pool.add_work(*k, work(30_000, 0)));
    assert_eq!(choose(now, &pool, keys[0], 3000, &[]), Some(remote));
}

#[test]
fn leaving_and_tried_engines_are_not_chosen_as_targets() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 3);
    pool.mark_leaving(now, keys[1]);
    assert_eq!(choose(now, &pool, keys[0], 3000, &[]), Some(keys[2]));
    assert_eq!(choose(now, &pool, keys[0], 3000, &[keys[2]]), None);
}

/// Simulates the shutdown of an engine whose link carries one copy at a time. `tokens` holds the
/// sizes of its generations. If `is_checked`, copies start only when `can_start_copy` permits it.
/// Returns the number of first copies that end before the deadline of the last copies, and the time
/// that the last copies have to wait for the link.
fn simulate_shutdown(tokens: &[u32], is_checked: bool) -> (usize, Duration) {
    let start = Instant::now();
    let engine = engine(34_000);
    let deadline = start + Duration::from_millis(1300);
    let copy_time = |t: u32| Duration::from_secs_f64(f64::from(t) * 163_840.0 * 8.0 / 24e9);
    let mut waiting: Vec<u32> = tokens.to_vec();
    waiting.sort_by_key(|t| evacuate::copy_delay(*t));
    // Copies on the link: end and tokens.
    let mut link: Vec<(Instant, u32)> = Vec::new();
    for n in 0..200 {
        let now = start + Duration::from_millis(10) * n;
        let queued = link.iter().filter(|(end, _)| *end > now).map(|(_, t)| t).sum();
        let may_start =
            |t: &u32| !is_checked || evacuate::can_start_copy(now, deadline, &engine, queued, *t);
        if let Some(ix) = waiting.iter().position(may_start) {
            let t = waiting.remove(ix);
            let free = link.last().map_or(now, |(end, _)| *end).max(now);
            link.push((free + copy_time(t), t));
        }
    }
    let copied = link.iter().filter(|(end, _)| *end <= deadline).count();
    let wait =
        link.last().map_or(Duration::ZERO, |(end, _)| end.saturating_duration_since(deadline));
    (copied, wait)
}

#[rstest]
#[case::few(&[3000, 4000], 2)]
#[case::too_many_for_the_notice(&[6000, 3000, 7000, 2500, 5000, 3500, 4500], 5)]
fn copies_that_would_end_late_do_not_delay_the_others(
    #[case] tokens: &[u32],
    #[case] min_copied: usize,
) {
    let (copied, wait) = simulate_shutdown(tokens, true);
    assert!(copied >= min_copied, "{copied}");
    // The link is free when the last copies start, so no stream pauses for copies of others.
    assert_eq!(wait, Duration::ZERO);
}

#[test]
fn last_copies_wait_behind_late_first_copies_without_the_check() {
    let (_, wait) = simulate_shutdown(&[6000, 3000, 7000, 2500, 5000, 3500, 4500], false);
    assert!(wait > Duration::from_millis(300), "{wait:?}");
}

#[test]
fn copies_wait_while_the_queue_of_the_link_is_long() {
    let start = Instant::now();
    let deadline = start + Duration::from_secs(5);
    assert!(evacuate::can_start_copy(start, deadline, &engine(34_000), 3000, 3000));
    assert!(!evacuate::can_start_copy(start, deadline, &engine(34_000), 9000, 3000));
}

#[test]
fn last_copy_deadline_allows_for_the_age_of_the_report() {
    let since = Instant::now();
    let reported = since + Duration::from_millis(100);
    let notice = ShutdownNotice { since, remaining: Some(Duration::from_millis(1600)), reported };
    assert!(evacuate::last_copy_deadline(&notice) <= reported + Duration::from_millis(1100));
    let unreported = ShutdownNotice { since, remaining: None, reported };
    let deadline = evacuate::last_copy_deadline(&unreported);
    assert!(
        deadline > since + Duration::from_millis(800)
            && deadline < since + Duration::from_millis(1540)
    );
}

#[test]
fn copies_between_data_centres_count_twice() {
    assert_eq!(evacuate::link_tokens(3000, false), 3000);
    assert_eq!(evacuate::link_tokens(3000, true), 6000);
}
