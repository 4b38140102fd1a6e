//! Admission control under overload.

use crate::fixture::{NeedFixture, pool, service, work};
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
const MEMORY_TOKENS: u32 = 22_000;

fn request<'a>(
    need: Need<'a>,
    since: Instant,
    timeout: Duration,
    queue_len: usize,
) -> AdmissionRequest<'a> {
    AdmissionRequest {
        need,
        since,
        target: TARGET,
        deadline: since + timeout,
        urgency: Urgency(1),
        queue_len,
        ahead: 0,
    }
}

/// Simulates arrivals at `rate` per second on four engines, with or without admission control, and
/// returns the outcome and the number of arrivals.
fn simulate(rate: f64, has_admission: bool) -> (Outcome, usize) {
    let start = Instant::now();
    let (mut pool, keys) = pool(start, 4);
    let fixture = NeedFixture::engines(MEMORY_TOKENS);
    let mut engines = vec![Engine::new(MEMORY_TOKENS); 4];
    let jobs = sim::arrivals(start, 7, rate, 40);
    let total = jobs.len();
    let mut arriving: VecDeque<Job> = jobs.into();
    let mut waiting: VecDeque<Job> = VecDeque::new();
    let (mut rng, prefill_rate) = (SmallRng::seed_from_u64(1), PrefillRate::default());
    let mut out = Outcome::default();
    for n in 0..8000 {
        let now = start + STEP * n;
        while arriving.front().is_some_and(|j| j.arrived <= now) {
            waiting.extend(arriving.pop_front());
        }
        while let Some(job) = waiting.front() {
            let need = || fixture.need(expected_work(job));
            let decision = if has_admission {
                let request = request(need(), job.arrived, Duration::from_secs(39), waiting.len());
                admit::decide(now, &pool, &request, &prefill_rate, &[], &mut rng)
            } else {
                let key = balance::choose(now, &pool, &need(), &[], &mut rng);
                Decision::Send(key.expect("all engines serve"))
            };
            match decision {
                Decision::Send(key) => {
                    let job = waiting.pop_front().expect("the queue is not empty");
                    pool.add_work(key, expected_work(&job));
                    let ix =
                        keys.iter().position(|k| *k == key).expect("the key is from this pool");
                    engines[ix].begin(job);
                }
                Decision::Wait => break,
                Decision::Refuse(_) => drop(waiting.pop_front()),
            }
        }
        for (ix, e) in engines.iter_mut().enumerate() {
            for job in e.step(now, &mut out) {
                let work = expected_work(&job);
                pool.remove_work(
                    keys[ix],
                    Work {
                        held: work.held.min(pool.endpoints[keys[ix]].own.held),
                        unread: 0,
                        ..work
                    },
                );
                let slot = if job.is_on_time(TARGET) { &mut out.on_time } else { &mut out.late };
                *slot += 1;
            }
        }
    }
    (out, total)
}

fn expected_work(job: &Job) -> Work {
    // The simulation has a fixed prefill rate, so only the memory matters here.
    work(u64::from(job.prompt + job.output), 0)
}

#[test]
fn admission_under_overload_serves_more_on_time_with_fewer_preemptions() {
    let (open, total) = simulate(6.0, false);
    let (admitted, _) = simulate(6.0, true);
    assert!(open.on_time < total as u32 / 2, "load is not an overload: {open:?} of {total}");
    assert!(admitted.on_time > open.on_time, "admitted {admitted:?}, open {open:?}, of {total}");
    assert!(admitted.preempted * 4 < open.preempted, "admitted {admitted:?}, open {open:?}");
}

#[test]
fn admission_below_capacity_serves_everything_on_time() {
    let (admitted, total) = simulate(1.5, true);
    assert_eq!((admitted.on_time as usize, admitted.late), (total, 0));
}

fn decide(held: u64, unread: u64, own: Work, waited: Duration, timeout: Duration) -> Decision {
    let start = Instant::now();
    let (mut pool, keys) = pool(start, 1);
    pool.add_work(keys[0], work(held, unread));
    let fixture = NeedFixture::engines(MEMORY_TOKENS);
    let need = fixture.need(own);
    let request = request(need, start, timeout, 0);
    let mut rng = SmallRng::seed_from_u64(1);
    admit::decide(start + waited, &pool, &request, &PrefillRate::default(), &[], &mut rng)
}

const CALLER_TIMEOUT: Duration = Duration::from_secs(39);

#[test]
fn generation_waits_for_memory_until_it_cannot_start_in_time() {
    let own = work(4000, 3000);
    assert!(matches!(decide(10_000, 0, own, Duration::ZERO, CALLER_TIMEOUT), Decision::Send(_)));
    assert_eq!(decide(20_000, 0, own, Duration::ZERO, CALLER_TIMEOUT), Decision::Wait);
    let late = decide(20_000, 0, own, Duration::from_millis(1400), CALLER_TIMEOUT);
    let Decision::Refuse(after) = late else { panic!("{late:?}") };
    assert!(after >= TARGET && after < CALLER_TIMEOUT / 3, "{after:?}");
}

#[test]
fn shortage_counts_engines_by_missing_resource() {
    let start = Instant::now();
    let (mut pool, keys) = pool(start, 5);
    for (key, (held, unread)) in keys.iter().zip([(20_000, 0), (20_000, 9_000), (9_000, 9_000)]) {
        pool.add_work(*key, work(held, unread));
    }
    (0..24).for_each(|_| pool.add_work(keys[3], work(10, 0)));
    let fixture = NeedFixture::engines(MEMORY_TOKENS);
    let need = fixture.need(work(4000, 3000));
    let shortage = admit::shortage(
        start,
        &pool,
        &request(need, start, CALLER_TIMEOUT, 0),
        &PrefillRate::default(),
    );
    assert_eq!(shortage.to_string(), "engines=5 no_memory=2 no_time=1 no_place=1");
}

#[test]
fn generation_waits_while_pending_prefill_is_too_long() {
    let own = work(4000, 3000);
    assert_eq!(decide(9_000, 9_000, own, Duration::ZERO, CALLER_TIMEOUT), Decision::Wait);
    assert!(matches!(decide(9_000, 3_000, own, Duration::ZERO, CALLER_TIMEOUT), Decision::Send(_)));
}

#[test]
fn prompt_longer_than_target_is_sent_rather_than_refused() {
    let own = work(20_000, 18_000);
    assert!(matches!(
        decide(0, 0, own, Duration::from_millis(1700), CALLER_TIMEOUT),
        Decision::Send(_)
    ));
    assert!(matches!(decide(0, 0, own, Duration::ZERO, Duration::from_secs(5)), Decision::Send(_)));
}

#[test]
fn generation_larger_than_memory_starts_on_idle_engine() {
    let start = Instant::now();
    let (pool, _) = pool(start, 1);
    let fixture = NeedFixture::engines(MEMORY_TOKENS);
    let own = work(30_000, 6000);
    let need = fixture.need(own);
    let decision = admit::decide(
        start,
        &pool,
        &request(need, start, CALLER_TIMEOUT, 0),
        &PrefillRate::default(),
        &[],
        &mut SmallRng::seed_from_u64(1),
    );
    assert!(matches!(decision, Decision::Send(_)));
}

#[test]
fn retry_delay_grows_with_queue_length() {
    let start = Instant::now();
    let (mut pool, keys) = pool(start, 1);
    pool.add_work(keys[0], work(22_000, 0));
    let fixture = NeedFixture::engines(MEMORY_TOKENS);
    let after = |queue_len| {
        let need = fixture.need(work(4000, 3000));
        let request = request(need, start, CALLER_TIMEOUT, queue_len);
        let now = start + Duration::from_millis(1700);
        match admit::decide(
            now,
            &pool,
            &request,
            &PrefillRate::default(),
            &[],
            &mut SmallRng::seed_from_u64(1),
        ) {
            Decision::Refuse(after) => after,
            other => panic!("{other:?}"),
        }
    };
    let delays = [0, 1, 4, 100].map(after);
    assert!(delays.is_sorted() && delays[0] < delays[2], "{delays:?}");
    // Callers retry only within about a third of the time that they have left.
    assert!(delays.iter().all(|d| *d < (CALLER_TIMEOUT - TARGET) / 3), "{delays:?}");
}

#[test]
fn queue_is_ordered_by_urgency_then_arrival() {
    let service = service();
    let mut queue = WaitQueue::default();
    let first = queue.join(&service, Urgency(1));
    let second = queue.join(&service, Urgency(1));
    let urgent = queue.join(&service, Urgency(0));
    assert!(queue.is_first(&service, urgent) && !queue.is_first(&service, first));
    queue.leave(&service, urgent);
    assert!(queue.is_first(&service, first) && !queue.is_first(&service, second));
    assert_eq!(queue.len(&service), 2);
}

#[test]
fn generation_is_refused_at_once_where_all_engines_leave() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 2);
    let fixture = NeedFixture::engines(MEMORY_TOKENS);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut decide = |pool: &_| {
        let request = request(fixture.need(work(2000, 2000)), now, Duration::from_secs(39), 0);
        admit::decide(now, pool, &request, &PrefillRate::default(), &[], &mut rng)
    };
    pool.mark_leaving(now, keys[0]);
    assert_eq!(decide(&pool), Decision::Send(keys[1]));
    // An endpoint that is merely unreachable may be back in time.
    pool.record_unreachable(now, keys[1]);
    assert_eq!(decide(&pool), Decision::Wait);
    pool.mark_leaving(now, keys[1]);
    assert!(matches!(decide(&pool), Decision::Refuse(_)));
}

/// Fifty requests arrive during a pause of all endpoints: those that can wait return in their
/// order, none at the same moment, and the others are refused at once.
#[test]
fn requests_return_from_a_pause_in_order_and_spread() {
    let start = Instant::now();
    let ms = Duration::from_millis;
    let end = start + ms(1000);
    let returns: Vec<Option<Instant>> = (0..50)
        .map(|n| {
            let now = start + ms(10) * n;
            let ahead = n as usize;
            let wait = admit::pause_wait(now, end, now + ms(1500), ms(300), ahead);
            wait.map(|w| now + w)
        })
        .collect();
    assert!(returns.iter().all(|r| r.is_some_and(|t| t >= end)));
    assert!(returns.windows(2).all(|pair| pair[0] < pair[1]));
    // With 1.2 s left there is time for the pause or for the answer, but not for both.
    assert_eq!(admit::pause_wait(start, end, start + ms(1200), ms(300), 0), None);
}

#[test]
fn generation_waits_for_the_end_of_a_pause_only_if_it_can_still_begin_in_time() {
    let now = Instant::now();
    let fixture = NeedFixture::engines(MEMORY_TOKENS);
    let decide = |pause: Duration| {
        let (mut pool, keys) = pool(now, 2);
        for key in keys {
            pool.pause(now, key, pause);
        }
        let request = request(fixture.need(work(2000, 2000)), now, Duration::from_secs(39), 0);
        let mut rng = SmallRng::seed_from_u64(1);
        admit::decide(now, &pool, &request, &PrefillRate::default(), &[], &mut rng)
    };
    assert_eq!(decide(Duration::from_millis(300)), Decision::Wait);
    assert!(matches!(decide(Duration::from_secs(20)), Decision::Refuse(_)));
}
