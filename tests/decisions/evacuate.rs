//! Moves: engines that are taken away with many generations on them.

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
    let mover = MoveRequest { source, service: &service, centre: &centre, held };
    evacuate::choose(now, pool, &mover, &engine(30_000), tried)
}

#[test]
fn copies_are_spread_over_links_and_stay_in_the_data_centre_while_that_has_room() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 3);
    pool.upsert(now, listing(9, "b"));
    let far = pool.find(&id(9)).expect("it is listed");
    let mut to = Vec::new();
    for _ in 0..4 {
        let key = choose(now, &pool, keys[0], 3000, &[]).expect("there is room");
        pool.add_work(key, Work { copies: 3000, ..work(3000, 0) });
        to.push(key);
    }
    assert_eq!(to.iter().filter(|k| **k == keys[1]).count(), 2);
    assert_eq!(to.iter().filter(|k| **k == keys[2]).count(), 2);
    [keys[1], keys[2]].iter().for_each(|k| pool.add_work(*k, work(30_000, 0)));
    assert_eq!(choose(now, &pool, keys[0], 3000, &[]), Some(far));
}

#[test]
fn nothing_moves_to_an_engine_that_leaves_or_was_tried() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 3);
    pool.mark_leaving(now, keys[1]);
    assert_eq!(choose(now, &pool, keys[0], 3000, &[]), Some(keys[2]));
    assert_eq!(choose(now, &pool, keys[0], 3000, &[keys[2]]), None);
}

/// Plays a notice: streams on one engine, whose link carries one copy at a time. Returns how many
/// have their first copy by the time of the last ones, and how long those would wait for the link.
fn notice(tokens: &[u32], is_checked: bool) -> (usize, Duration) {
    let start = Instant::now();
    let kind = engine(34_000);
    let by = start + Duration::from_millis(1300);
    let time = |t: u32| Duration::from_secs_f64(f64::from(t) * 163_840.0 * 8.0 / 24e9);
    let mut waiting: Vec<u32> = tokens.to_vec();
    waiting.sort_by_key(|t| evacuate::copy_delay(*t));
    // Ends of the copies on the link, with their tokens.
    let mut link: Vec<(Instant, u32)> = Vec::new();
    for n in 0..200 {
        let now = start + Duration::from_millis(10) * n;
        let queued = link.iter().filter(|(end, _)| *end > now).map(|(_, t)| t).sum();
        let may = |t: &u32| !is_checked || evacuate::can_start_copy(now, by, &kind, queued, *t);
        if let Some(ix) = waiting.iter().position(may) {
            let t = waiting.remove(ix);
            let free = link.last().map_or(now, |(end, _)| *end).max(now);
            link.push((free + time(t), t));
        }
    }
    let saved = link.iter().filter(|(end, _)| *end <= by).count();
    let busy = link.last().map_or(Duration::ZERO, |(end, _)| end.saturating_duration_since(by));
    (saved, busy)
}

#[rstest]
#[case::few(&[3000, 4000], 2)]
#[case::more_than_the_notice_carries(&[6000, 3000, 7000, 2500, 5000, 3500, 4500], 5)]
fn what_cannot_be_copied_in_time_does_not_hold_up_the_rest(
    #[case] tokens: &[u32],
    #[case] least: usize,
) {
    let (saved, wait) = notice(tokens, true);
    assert!(saved >= least, "{saved}");
    // The link is free when the last copies begin, so no stream stands still for others.
    assert_eq!(wait, Duration::ZERO);
}

#[test]
fn without_the_check_last_copies_wait_behind_first_ones_that_come_to_nothing() {
    let (_, wait) = notice(&[6000, 3000, 7000, 2500, 5000, 3500, 4500], false);
    assert!(wait > Duration::from_millis(300), "{wait:?}");
}

#[test]
fn few_copies_are_on_a_link_at_a_time() {
    let start = Instant::now();
    let by = start + Duration::from_secs(5);
    assert!(evacuate::can_start_copy(start, by, &engine(34_000), 3000, 3000));
    assert!(!evacuate::can_start_copy(start, by, &engine(34_000), 9000, 3000));
}

#[test]
fn the_word_of_an_engine_on_its_end_is_half_a_second_old() {
    let since = Instant::now();
    let seen = since + Duration::from_millis(100);
    let told =
        ShutdownNotice { since, remaining: Some(Duration::from_millis(1600)), reported: seen };
    assert!(evacuate::last_copy_deadline(&told) <= seen + Duration::from_millis(1100));
    let silent = ShutdownNotice { since, remaining: None, reported: seen };
    let by = evacuate::last_copy_deadline(&silent);
    assert!(by > since + Duration::from_millis(800) && by < since + Duration::from_millis(1540));
}

#[test]
fn copies_between_data_centres_count_twice() {
    assert_eq!(evacuate::link_tokens(3000, false), 3000);
    assert_eq!(evacuate::link_tokens(3000, true), 6000);
}
