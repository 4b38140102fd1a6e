//! Copies on the links of engines when several engines of a data centre are reclaimed at once.

use crate::fixture::{self, centre, engine, id, listing, pool, service, work};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use skylarkthread::evacuate::{
    self, LinkScheduler, MoveRequest, TransferId, TransferRequest, Verdict,
};
use skylarkthread::gossip::{self, Tag, Work};
use skylarkthread::id::{DataCentre, InstanceId, MilliCores, ServiceName};
use skylarkthread::pool::PoolKey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

const ENGINE_MEMORY: u32 = 34_000;

fn transfer_id(number: u64) -> TransferId {
    TransferId { instance: "g-1".parse().expect("the name is valid"), number }
}

/// Builds transfer requests of one service and data centre.
struct Requests {
    service: ServiceName,
    centre: DataCentre,
}

impl Requests {
    fn new() -> Requests {
        Requests { service: service(), centre: centre("a") }
    }

    fn request<'a>(
        &'a self,
        number: u64,
        source: Tag,
        tokens: u32,
        left: Duration,
        tried: &'a [Tag],
    ) -> TransferRequest<'a> {
        TransferRequest {
            id: transfer_id(number),
            source,
            service: &self.service,
            centre: &self.centre,
            tokens,
            held: u64::from(tokens),
            time_left: left,
            tried,
        }
    }
}

fn tag(n: usize) -> Tag {
    Tag::of(&id(n))
}

const LEFT: Duration = Duration::from_millis(1500);

#[test]
fn link_carries_one_copy_until_it_is_finished() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 4);
    pool.mark_leaving(now, keys[0]);
    pool.mark_leaving(now, keys[1]);
    let (requests, engine) = (Requests::new(), engine(ENGINE_MEMORY));
    let mut links = LinkScheduler::default();
    let ask = |links: &mut LinkScheduler, number, source| {
        links.request(now, &pool, &engine, &requests.request(number, source, 3000, LEFT, &[]))
    };
    let Verdict::Granted(first) = ask(&mut links, 1, tag(0)) else { panic!("no link is busy") };
    assert_eq!(ask(&mut links, 2, tag(0)), Verdict::Wait, "the link of the source is busy");
    let Verdict::Granted(second) = ask(&mut links, 3, tag(1)) else {
        panic!("another engine is leaving, and one target is idle")
    };
    assert_ne!(first, second);
    links.finish(&transfer_id(3));
    assert_eq!(ask(&mut links, 2, tag(0)), Verdict::Wait);
    links.finish(&transfer_id(1));
    assert!(matches!(ask(&mut links, 2, tag(0)), Verdict::Granted(_)));
}

#[test]
fn transfer_that_is_never_reported_as_finished_expires() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 2);
    pool.mark_leaving(now, keys[0]);
    let (requests, engine) = (Requests::new(), engine(ENGINE_MEMORY));
    let mut links = LinkScheduler::default();
    let request = |n| requests.request(n, tag(0), 3000, LEFT, &[]);
    assert_eq!(links.request(now, &pool, &engine, &request(1)), Verdict::Granted(tag(1)));
    let later = now + Duration::from_millis(250);
    assert_eq!(links.request(later, &pool, &engine, &request(2)), Verdict::Wait);
    let later = now + Duration::from_millis(500);
    assert_eq!(links.request(later, &pool, &engine, &request(2)), Verdict::Granted(tag(1)));
}

#[test]
fn smallest_waiting_generation_of_an_engine_is_copied_first() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 3);
    pool.mark_leaving(now, keys[0]);
    let (requests, engine) = (Requests::new(), engine(ENGINE_MEMORY));
    let mut links = LinkScheduler::default();
    let ask = |links: &mut LinkScheduler, at, number, tokens| {
        links.request(at, &pool, &engine, &requests.request(number, tag(0), tokens, LEFT, &[]))
    };
    assert!(matches!(ask(&mut links, now, 1, 2000), Verdict::Granted(_)));
    assert_eq!(ask(&mut links, now, 2, 6000), Verdict::Wait);
    assert_eq!(ask(&mut links, now, 3, 4000), Verdict::Wait);
    links.finish(&transfer_id(1));
    assert_eq!(ask(&mut links, now, 2, 6000), Verdict::Wait);
    // A generation that no longer asks does not hold up the others.
    let later = now + Duration::from_millis(100);
    assert!(matches!(ask(&mut links, later, 2, 6000), Verdict::Granted(_)));
}

#[test]
fn copy_that_would_end_late_is_refused_at_once() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 2);
    pool.mark_leaving(now, keys[0]);
    let (requests, engine) = (Requests::new(), engine(ENGINE_MEMORY));
    let left = Duration::from_millis(150);
    let request = requests.request(1, tag(0), 4000, left, &[]);
    let verdict = LinkScheduler::default().request(now, &pool, &engine, &request);
    assert_eq!(verdict, Verdict::TooLate);
}

#[test]
fn targets_that_refused_a_copy_or_lack_memory_are_passed_over() {
    let now = Instant::now();
    let (mut pool, keys) = pool(now, 3);
    pool.upsert(now, listing(9, "b"));
    pool.mark_leaving(now, keys[0]);
    pool.add_work(keys[2], work(u64::from(ENGINE_MEMORY) * 2, 0));
    let (requests, engine) = (Requests::new(), engine(ENGINE_MEMORY));
    let ask = |tried: &[Tag]| {
        let request = requests.request(1, tag(0), 3000, LEFT, tried);
        LinkScheduler::default().request(now, &pool, &engine, &request)
    };
    assert_eq!(ask(&[]), Verdict::Granted(tag(1)));
    assert_eq!(ask(&[tag(1)]), Verdict::Granted(tag(9)), "in another data centre");
    assert_eq!(ask(&[tag(1), tag(9)]), Verdict::Wait);
}

/// Links of engines on which copies queue in the order in which they start. A copy occupies both
/// links from the moment at which both are free.
#[derive(Debug, Default)]
struct Links {
    free_at: HashMap<PoolKey, Instant>,
}

impl Links {
    /// Queues a copy and returns when it ends.
    fn copy(&mut self, now: Instant, keys: [PoolKey; 2], tokens: u32) -> Instant {
        let free = keys.iter().filter_map(|k| self.free_at.get(k)).copied().max();
        let time = Duration::from_secs_f64(f64::from(tokens) * 163_840.0 * 8.0 / 24e9);
        let end = free.unwrap_or(now).max(now) + time;
        self.free_at.extend(keys.map(|k| (k, end)));
        end
    }
}

/// Generation on an engine that is leaving, served by an instance of its own.
#[derive(Debug)]
struct Generation {
    number: u64,
    source: PoolKey,
    tokens: u32,
    /// Target, end of the first copy, and end of the last one once it has started.
    copy: Option<(PoolKey, Instant, Option<Instant>)>,
}

/// How the copies of a wave ended.
#[derive(Debug, Default)]
struct WaveOutcome {
    generations: usize,
    /// Generations whose memory was copied before their engine stopped.
    saved: usize,
    /// Longest last copy, for which the stream pauses.
    longest_pause: Duration,
}

/// Age of what an instance knows of the copies that others have started.
const GOSSIP_AGE: Duration = Duration::from_millis(120);
/// Tokens that a generation produces during its first copy.
const NEW_TOKENS: u32 = 40;

/// Plays a wave in which three of twelve engines leave with five or six generations each.
/// `is_scheduled` tells whether a coordinator grants the copies, or each instance decides by what
/// it knows of the others.
fn play_wave(seed: u64, is_scheduled: bool) -> WaveOutcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let stop = start + Duration::from_millis(1700);
    let deadline = stop - Duration::from_millis(180);
    let (mut pool, keys) = pool(start, 12);
    let (service, centre, engine) = (service(), fixture::centre("a"), engine(ENGINE_MEMORY));
    for key in &keys[3..] {
        pool.add_work(*key, work(rng.random_range(8_000..18_000), 0));
    }
    let mut generations: Vec<Generation> = Vec::new();
    for source in &keys[..3] {
        pool.mark_leaving(start, *source);
        for _ in 0..rng.random_range(5..=6) {
            let number = generations.len() as u64;
            let tokens = rng.random_range(2_500..5_000);
            generations.push(Generation { number, source: *source, tokens, copy: None });
        }
    }
    let requests = Requests::new();
    let (mut links, mut scheduler) = (Links::default(), LinkScheduler::default());
    // Work on copies becomes known to the other instances later.
    let mut announced: Vec<(Instant, PoolKey, Work)> = Vec::new();
    let mut outcome = WaveOutcome { generations: generations.len(), ..WaveOutcome::default() };
    let mut now = start;
    while now < stop {
        for (_, key, work) in announced.extract_if(.., |(at, ..)| *at <= now) {
            pool.add_work(key, work);
        }
        generations.shuffle(&mut rng);
        for g in &mut generations {
            match g.copy {
                Some((_, _, Some(_))) => {}
                Some((target, first, None)) if first <= now => {
                    let end = links.copy(now, [g.source, target], NEW_TOKENS);
                    g.copy = Some((target, first, Some(end)));
                    scheduler.finish(&transfer_id(g.number));
                    outcome.longest_pause = outcome.longest_pause.max(end - now);
                    outcome.saved += usize::from(end <= stop);
                }
                Some(_) => {}
                None => {
                    let target = if is_scheduled {
                        let source = pool.endpoints[g.source].tag;
                        let left = deadline.saturating_duration_since(now);
                        let request = requests.request(g.number, source, g.tokens, left, &[]);
                        match scheduler.request(now, &pool, &engine, &request) {
                            Verdict::Granted(tag) => pool.find_key_by_tag(tag),
                            _ => None,
                        }
                    } else {
                        let held = u64::from(g.tokens);
                        let request = MoveRequest {
                            source: g.source,
                            service: &service,
                            centre: &centre,
                            held,
                        };
                        let fits = |key: &PoolKey| {
                            let queued = pool.endpoints[*key].work().copies;
                            evacuate::can_start_copy(now, deadline, &engine, queued, g.tokens)
                        };
                        evacuate::choose(now, &pool, &request, &engine, &[])
                            .filter(|key| fits(&g.source) && fits(key))
                    };
                    if let Some(target) = target {
                        let end = links.copy(now, [g.source, target], g.tokens);
                        g.copy = Some((target, end, None));
                        let on_target = Work { copies: g.tokens, ..work(u64::from(g.tokens), 0) };
                        let on_source = Work { copies: g.tokens, ..Work::default() };
                        announced.push((now + GOSSIP_AGE, target, on_target));
                        announced.push((now + GOSSIP_AGE, g.source, on_source));
                    }
                }
            }
        }
        now += Duration::from_millis(5);
    }
    outcome
}

/// The pause between two events of a stream must stay below 180 ms. Resuming takes up to 80 ms of
/// it.
const MAX_PAUSE: Duration = Duration::from_millis(100);

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
fn scheduled_copies_of_a_wave_end_in_time_and_without_long_pauses(#[case] seed: u64) {
    let alone = play_wave(seed, false);
    let scheduled = play_wave(seed, true);
    assert!(scheduled.saved >= scheduled.generations * 9 / 10, "{scheduled:?} {alone:?}");
    assert!(scheduled.longest_pause <= MAX_PAUSE, "{scheduled:?} {alone:?}");
    assert!(alone.saved < scheduled.saved, "{alone:?} {scheduled:?}");
    assert!(alone.longest_pause > MAX_PAUSE, "{alone:?}");
}

#[test]
fn transfers_are_coordinated_by_two_strong_instances_on_which_all_agree() {
    let instance = |n: usize| -> InstanceId { format!("g-{n}").parse().expect("a valid name") };
    let all: Vec<(InstanceId, MilliCores)> =
        (0..40).map(|n| (instance(n), MilliCores(if n % 4 == 0 { 500 } else { 90 }))).collect();
    let pick = |all: &[(InstanceId, MilliCores)], name: &str| {
        let instances = all.iter().map(|(i, power)| (i, *power));
        gossip::transfer_coordinators(&centre(name), instances).map(|i| i.cloned())
    };
    let mut reversed = all.clone();
    reversed.reverse();
    let power: HashMap<_, _> = all.iter().cloned().collect();
    for name in ["a", "b", "c", "d"] {
        let [first, second] = pick(&all, name).map(|i| i.expect("there are many instances"));
        assert_ne!(first, second);
        assert_eq!([power[&first], power[&second]], [MilliCores(500); 2]);
        assert_eq!(pick(&reversed, name), [Some(first.clone()), Some(second.clone())]);
        let others: Vec<_> = all.iter().filter(|(i, _)| *i != first).cloned().collect();
        assert_eq!(pick(&others, name)[0], Some(second), "the second one takes over");
    }
    assert_eq!(pick(&all[..1], "a"), [Some(instance(0)), None]);
}
