//! Placement of generations on engines that differ in speed and in what runs on them.

use crate::fixture::{NeedFixture, pool, service, work};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use skylarkthread::balance::{self, Need};
use skylarkthread::id::Tokens;
use skylarkthread::pool::{PoolKey, TokenTime, TokenTimer};
use std::time::{Duration, Instant};

const SHORT: Tokens = Tokens(12);
const LONG: Tokens = Tokens(800);

fn micros(n: u64) -> Duration {
    Duration::from_micros(n)
}

#[test]
fn long_outputs_go_to_engines_that_are_fast_now() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 3);
    for (key, time) in keys.iter().zip([8_000, 12_000, 8_500]) {
        pool.observe_token_time(now, *key, micros(time));
    }
    // The slow engine has the most free memory.
    pool.add_work(keys[0], work(3_000, 0));
    pool.add_work(keys[2], work(3_000, 0));
    let fixture = NeedFixture::engines(34_000);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut choose = |output| {
        let need = Need { output, ..fixture.need(work(3_000, 3_000)) };
        balance::choose(now, &pool, &need, &[], &mut rng)
    };
    assert!((0..20).all(|_| choose(LONG) != Some(keys[1])));
    assert!((0..20).all(|_| choose(SHORT) == Some(keys[1])));
}

#[test]
fn engine_without_recent_observation_counts_as_average() {
    let start = Instant::now();
    let (mut pool, keys) = pool(start, 2);
    pool.observe_token_time(start, keys[0], micros(8_000));
    let now = start + Duration::from_secs(10);
    assert_eq!(pool.mean_token_time(now, &service()), None);
    pool.observe_token_time(now, keys[1], micros(9_000));
    assert_eq!(pool.mean_token_time(now, &service()), Some(micros(9_000)));
}

#[test]
fn token_time_follows_observations() {
    let now = Instant::now();
    let mut time = TokenTime::default();
    time.observe(now, micros(8_000));
    (0..20).for_each(|_| time.observe(now, micros(12_000)));
    let average = time.get(now).expect("it was observed just now");
    assert!(average > micros(11_900) && average <= micros(12_000), "{average:?}");
}

#[test]
fn token_timer_averages_over_many_tokens() {
    let now = Instant::now();
    let mut timer = TokenTimer::default();
    // Four tokens an event, ten milliseconds a token, and one pause of 400 ms.
    let mut observed = Vec::new();
    for n in 0..50_u64 {
        let pause = if n >= 30 { 400 } else { 0 };
        let at = now + Duration::from_millis(n * 40 + pause);
        observed.extend(timer.record(at, 4));
    }
    assert_eq!(observed.len(), 4, "{observed:?}");
    assert_eq!([observed[0], observed[1], observed[3]], [Duration::from_millis(10); 3]);
    assert!(observed[2] > Duration::from_millis(15));
}

/// Engine of the simulation.
#[derive(Debug)]
struct Engine {
    key: PoolKey,
    /// Factor by which its steps take longer than those of the others.
    slowness: f64,
    /// Prompt tokens that it has not read yet.
    unread: f64,
    /// Output tokens left and size of each generation.
    running: Vec<(f64, u64)>,
}

/// Plays a minute of captions and summaries on twelve engines, a third of them slow, and returns
/// the mean time per token of the captions, in ms. `is_measured` tells whether the placement knows
/// the token times of the engines and the outputs of the requests.
fn play(seed: u64, is_measured: bool) -> f64 {
    const STEP_MS: f64 = 10.0;
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let (mut pool, keys) = pool(start, 12);
    let engine = |(n, key): (usize, &PoolKey)| Engine {
        key: *key,
        slowness: if n % 3 == 0 { 1.3 } else { 1.0 },
        unread: 0.0,
        running: Vec::new(),
    };
    let mut engines: Vec<Engine> = keys.iter().enumerate().map(engine).collect();
    let fixture = NeedFixture::engines(34_000);
    let (mut time, mut tokens) = (0.0, 0.0);
    for n in 0..6_000_u32 {
        let now = start + Duration::from_millis(10) * n;
        for (rate, prompt, output) in [(4.5, 3_000, LONG), (6.5, 2_200, SHORT)] {
            if !rng.random_bool(rate * STEP_MS / 1e3) {
                continue;
            }
            let held = prompt + u64::from(output.0);
            let known = if is_measured { output } else { Tokens(0) };
            let need = Need { output: known, ..fixture.need(work(held, prompt)) };
            let key = balance::choose(now, &pool, &need, &[], &mut rng).expect("there are engines");
            pool.add_work(key, work(held, prompt));
            let engine = engines.iter_mut().find(|e| e.key == key).expect("it was chosen");
            engine.unread += prompt as f64;
            engine.running.push((f64::from(output.0), held));
        }
        for e in &mut engines {
            // A step reads a chunk of a prompt, if one is waiting, and produces one token each.
            let reads = if e.unread > 0.0 { 8.0 } else { 0.0 };
            let step = (7.0 + reads + 0.12 * e.running.len() as f64) * e.slowness;
            let steps = STEP_MS / step;
            let read = (steps * 112.0).min(e.unread);
            pool.finish_prefill(e.key, read as u64);
            e.unread -= read;
            if e.unread < 1.0 {
                let rest = pool.endpoints[e.key].own.unread;
                pool.finish_prefill(e.key, rest);
            }
            let long = e.running.iter().filter(|(left, _)| *left > f64::from(SHORT.0)).count();
            time += STEP_MS * long as f64;
            tokens += steps * long as f64;
            if is_measured && long > 0 && n % 20 == 0 {
                pool.observe_token_time(now, e.key, Duration::from_secs_f64(step / 1e3));
            }
            e.running.iter_mut().for_each(|(left, _)| *left -= steps);
            for (_, held) in e.running.extract_if(.., |(left, _)| *left <= 0.0) {
                pool.remove_work(e.key, work(held, 0));
            }
        }
    }
    time / tokens
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn captions_get_tokens_faster_when_token_times_are_known(#[case] seed: u64) {
    let (blind, measured) = (play(seed, false), play(seed, true));
    assert!(measured < blind * 0.97, "{measured:.2} ms a token, {blind:.2} without");
}

#[test]
fn memory_is_short_once_expected_needs_fill_most_of_it() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 4);
    let engine = crate::fixture::engine(30_000);
    keys.iter().for_each(|k| pool.add_work(*k, work(20_000, 0)));
    assert!(!balance::is_memory_short(&pool, &service(), &engine));
    // Engines that are leaving take no new work, so their memory does not count.
    keys[..2].iter().for_each(|k| pool.mark_leaving(now, *k));
    keys[2..].iter().for_each(|k| pool.add_work(*k, work(5_000, 0)));
    assert!(balance::is_memory_short(&pool, &service(), &engine));
}
