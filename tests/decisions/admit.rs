//! Waiting and refusing: more generations than the engines hold.

use crate::fixture::{Terms, pool, service, work};
use crate::sim::{self, Engine, Job, Outcome, STEP};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use skylarkthread::admit::{self, AdmissionRequest, Decision, PrefillRate, WaitQueue};
use skylarkthread::balance::{self, Need};
use skylarkthread::gossip::Work;
use skylarkthread::route::Urgency;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const TARGET: Duration = Duration::from_millis(1800);
const MEMORY: u32 = 22_000;

fn bid<'a>(
    need: Need<'a>,
    since: Instant,
    patience: Duration,
    queue_len: usize,
) -> AdmissionRequest<'a> {
    AdmissionRequest {
        need,
        since,
        target: TARGET,
        deadline: since + patience,
        urgency: Urgency(1),
        queue_len,
    }
}

/// Plays a load on four engines; `is_held` tells whether the decision under test is used.
fn play(rate: f64, is_held: bool) -> (Outcome, usize) {
    let start = Instant::now();
    let (mut pool, keys) = pool(start, 4);
    let terms = Terms::engines(MEMORY);
    let mut engines = vec![Engine::new(MEMORY); 4];
    let jobs = sim::arrivals(start, 7, rate, 40);
    let total = jobs.len();
    let mut coming: VecDeque<Job> = jobs.into();
    let mut waiting: VecDeque<Job> = VecDeque::new();
    let (mut rng, reading) = (SmallRng::seed_from_u64(1), PrefillRate::default());
    let mut out = Outcome::default();
    for n in 0..8000 {
        let now = start + STEP * n;
        while coming.front().is_some_and(|j| j.came <= now) {
            waiting.extend(coming.pop_front());
        }
        while let Some(job) = waiting.front() {
            let need = || terms.need(needs(job));
            let verdict = if is_held {
                let bid = bid(need(), job.came, Duration::from_secs(39), waiting.len());
                admit::decide(now, &pool, &bid, &reading, &[], &mut rng)
            } else {
                let key = balance::choose(now, &pool, &need(), &[], &mut rng);
                Decision::Send(key.expect("all engines serve"))
            };
            match verdict {
                Decision::Send(key) => {
                    let job = waiting.pop_front().expect("it is in front");
                    pool.add_work(key, needs(&job));
                    let ix = keys.iter().position(|k| *k == key).expect("it is one of them");
                    engines[ix].begin(job);
                }
                Decision::Wait => break,
                Decision::Refuse(_) => drop(waiting.pop_front()),
            }
        }
        for (ix, e) in engines.iter_mut().enumerate() {
            for job in e.step(now, &mut out) {
                let counted = needs(&job);
                pool.remove_work(
                    keys[ix],
                    Work {
                        held: counted.held.min(pool.endpoints[keys[ix]].own.held),
                        unread: 0,
                        ..counted
                    },
                );
                let slot = if job.is_on_time(TARGET) { &mut out.on_time } else { &mut out.late };
                *slot += 1;
            }
        }
    }
    (out, total)
}

fn needs(job: &Job) -> Work {
    // The simulation reads prompts at a fixed pace, so only memory is told here.
    work(u64::from(job.prompt + job.output), 0)
}

#[test]
fn in_overload_more_callers_are_served_in_time_and_fewer_are_preempted() {
    let (sent, total) = play(6.0, false);
    let (held, _) = play(6.0, true);
    assert!(sent.on_time < total as u32 / 2, "the load is no overload: {sent:?} of {total}");
    assert!(held.on_time > sent.on_time, "held {held:?}, sent {sent:?}, of {total}");
    assert!(held.preempted * 4 < sent.preempted, "held {held:?}, sent {sent:?}");
}

#[test]
fn where_engines_have_room_nothing_waits_or_is_refused() {
    let (held, total) = play(1.5, true);
    assert_eq!((held.on_time as usize, held.late), (total, 0));
}

fn decide(held: u64, unread: u64, own: Work, waited: Duration, patience: Duration) -> Decision {
    let start = Instant::now();
    let (mut pool, keys) = pool(start, 1);
    pool.add_work(keys[0], work(held, unread));
    let terms = Terms::engines(MEMORY);
    let need = terms.need(own);
    let bid = bid(need, start, patience, 0);
    let mut rng = SmallRng::seed_from_u64(1);
    admit::decide(start + waited, &pool, &bid, &PrefillRate::default(), &[], &mut rng)
}

const LONG: Duration = Duration::from_secs(39);

#[test]
fn a_generation_waits_for_memory_and_is_refused_once_it_could_not_begin_in_time() {
    let own = work(4000, 3000);
    assert!(matches!(decide(10_000, 0, own, Duration::ZERO, LONG), Decision::Send(_)));
    assert_eq!(decide(20_000, 0, own, Duration::ZERO, LONG), Decision::Wait);
    let late = decide(20_000, 0, own, Duration::from_millis(1400), LONG);
    let Decision::Refuse(after) = late else { panic!("{late:?}") };
    assert!(after >= TARGET && after < LONG / 3, "{after:?}");
}

#[test]
fn a_refusal_says_what_the_engines_lack() {
    let start = Instant::now();
    let (mut pool, keys) = pool(start, 5);
    for (key, (held, unread)) in keys.iter().zip([(20_000, 0), (20_000, 9_000), (9_000, 9_000)]) {
        pool.add_work(*key, work(held, unread));
    }
    (0..24).for_each(|_| pool.add_work(keys[3], work(10, 0)));
    let terms = Terms::engines(MEMORY);
    let need = terms.need(work(4000, 3000));
    let shortage =
        admit::shortage(start, &pool, &bid(need, start, LONG, 0), &PrefillRate::default());
    assert_eq!(shortage.to_string(), "engines=5 no_memory=2 no_time=1 no_place=1");
}

#[test]
fn a_generation_waits_where_too_much_is_to_be_read_before_it() {
    let own = work(4000, 3000);
    assert_eq!(decide(9_000, 9_000, own, Duration::ZERO, LONG), Decision::Wait);
    assert!(matches!(decide(9_000, 3_000, own, Duration::ZERO, LONG), Decision::Send(_)));
}

#[test]
fn a_prompt_too_long_to_be_read_in_time_is_read_late_rather_than_refused() {
    let own = work(20_000, 18_000);
    assert!(matches!(decide(0, 0, own, Duration::from_millis(1700), LONG), Decision::Send(_)));
    assert!(matches!(decide(0, 0, own, Duration::ZERO, Duration::from_secs(5)), Decision::Send(_)));
}

#[test]
fn one_larger_than_any_memory_begins_where_nothing_runs() {
    let start = Instant::now();
    let (pool, _) = pool(start, 1);
    let terms = Terms::engines(MEMORY);
    let own = work(30_000, 6000);
    let need = terms.need(own);
    let verdict = admit::decide(
        start,
        &pool,
        &bid(need, start, LONG, 0),
        &PrefillRate::default(),
        &[],
        &mut SmallRng::seed_from_u64(1),
    );
    assert!(matches!(verdict, Decision::Send(_)));
}

#[test]
fn the_longer_the_line_the_later_a_refused_caller_comes_back() {
    let start = Instant::now();
    let (mut pool, keys) = pool(start, 1);
    pool.add_work(keys[0], work(22_000, 0));
    let terms = Terms::engines(MEMORY);
    let after = |line| {
        let need = terms.need(work(4000, 3000));
        let bid = bid(need, start, LONG, line);
        let now = start + Duration::from_millis(1700);
        match admit::decide(
            now,
            &pool,
            &bid,
            &PrefillRate::default(),
            &[],
            &mut SmallRng::seed_from_u64(1),
        ) {
            Decision::Refuse(after) => after,
            other => panic!("{other:?}"),
        }
    };
    let all = [0, 1, 4, 100].map(after);
    assert!(all.is_sorted() && all[0] < all[2], "{all:?}");
    // Callers come back within a third of the time that they have left.
    assert!(all.iter().all(|a| *a < (LONG - TARGET) / 3), "{all:?}");
}

#[test]
fn the_line_is_ordered_by_urgency_then_arrival() {
    let service = service();
    let mut line = WaitQueue::default();
    let first = line.join(&service, Urgency(1));
    let second = line.join(&service, Urgency(1));
    let urgent = line.join(&service, Urgency(0));
    assert!(line.is_first(&service, urgent) && !line.is_first(&service, first));
    line.leave(&service, urgent);
    assert!(line.is_first(&service, first) && !line.is_first(&service, second));
    assert_eq!(line.len(&service), 2);
}
