//! Faults of a run, drawn from its seed.

use crate::platform::ProxyMode;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Number of processes and endpoints of a run.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of plain endpoints, and of engines.
    pub endpoints: usize,
}

impl Default for Sizes {
    fn default() -> Self {
        Sizes { gateways: 3, endpoints: 3 }
    }
}

/// Seconds at the start and at the end of a run in which no fault begins.
const FAULT_FREE_SECONDS: f64 = 1.0;
/// Approximate mean time between two faults, in seconds.
const MEAN_FAULT_INTERVAL_SECONDS: f64 = 0.55;
/// The same for the faults that endpoints announce and returns of the store.
const MEAN_NOTICE_INTERVAL_SECONDS: f64 = 1.2;
/// Separates the draws of the two kinds, so that earlier seeds keep the faults that they had.
const NOTICE_SEED: u64 = 0x6e6f_7469_6365;

/// The same for a part of prompts that crashes engines.
const CRASH_SEED: u64 = 0x6372_6173_6865;
/// First seed of a run in which a part of prompts crashes engines.
const FIRST_CRASH_PART_SEED: u64 = 2000;

/// The same for limits that endpoints state.
const LIMIT_SEED: u64 = 0x6c69_6d69_7473;
/// First seed of a run in which endpoints state limits.
const FIRST_LIMIT_SEED: u64 = 3000;

/// The same for evacuations of data centres.
const EVACUATION_SEED: u64 = 0x6576_6163_7561;
/// First seed of a run with several data centres, of which some are evacuated.
const FIRST_EVACUATION_SEED: u64 = 4000;

/// The same for keys that others write to the store.
const KEY_SEED: u64 = 0x6b65_7973;
/// First seed of a run in which others write keys to the store.
const FIRST_KEY_SEED: u64 = 5000;
/// Approximate mean time between two such writes, in seconds.
const MEAN_KEY_INTERVAL_SECONDS: f64 = 1.0;

/// Returns the data centre of the endpoint with a number, in the run of a seed.
pub fn centre(seed: u64, n: usize) -> &'static str {
    if seed < FIRST_EVACUATION_SEED { CENTRES[0] } else { CENTRES[n % CENTRES.len()] }
}

/// Data centres of the endpoints.
const CENTRES: [&str; 3] = ["z-a", "z-b", "z-c"];

/// Returns whether a part of prompts crashes engines in the run of a seed.
pub fn has_crash_part(seed: u64) -> bool {
    seed >= FIRST_CRASH_PART_SEED
}

/// Fault or planned change.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// A gateway is killed and restarted.
    Kill(usize),
    /// A gateway is suspended by a signal for this time.
    Pause(usize, Duration),
    /// A gateway is told to stop, and restarted once it has.
    Stop(usize),
    /// A gateway is told to reload its settings.
    Reload(usize),
    /// The store refuses calls.
    StoreBusy(Duration),
    /// The store does not respond.
    StoreSilent(Duration),
    /// The store discards its history.
    Compact,
    /// The store refuses calls and comes back from a copy that was made when this began.
    StoreReturn(Duration),
    /// An endpoint states in its responses that it is leaving, and a new one is added.
    Announce(usize),
    /// An endpoint turns its next requests away and asks for a pause.
    AskPause(usize, Duration),
    /// The connections from a gateway to the store are disturbed by a proxy.
    StoreLink(usize, ProxyMode, Duration),
    /// The connections to an endpoint are disturbed by a proxy.
    EndpointLink(usize, ProxyMode, Duration),
    /// An endpoint rejects its next requests or responds to them incorrectly; holds their number.
    Misbehave(usize, u32),
    /// An endpoint starts draining, and a new one is added for its service.
    Replace(usize),
    /// A new version of the configuration replaces the API key.
    Configure,
    /// From now on, engines crash when they begin to answer a request with a certain part in its
    /// prompt, and are down for this time.
    CrashPart(Duration),
    /// An endpoint states this limit for the requests per second that it takes from all gateways,
    /// for this time.
    Limit(usize, f64, Duration),
    /// The operator evacuates a data centre for this time.
    Evacuate(&'static str, Duration),
    /// Others write a number of keys to the store, drawn from a seed.
    ForeignKeys(usize, u64),
    /// Pages of the store have at most this number of items from now on.
    PageItems(usize),
}

/// Draws the faults of a run with their times since the start, in order of time.
pub fn draw(seed: u64, length: Duration, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let faults =
        draw_series(seed, length, MEAN_FAULT_INTERVAL_SECONDS, |rng| draw_fault(rng, sizes));
    let notices = draw_series(seed ^ NOTICE_SEED, length, MEAN_NOTICE_INTERVAL_SECONDS, |rng| {
        draw_notice(rng, sizes)
    });
    let crash = has_crash_part(seed).then(|| {
        let mut rng = SmallRng::seed_from_u64(seed ^ CRASH_SEED);
        let at = length.mul_f64(rng.random_range(0.1..0.3));
        (at, Fault::CrashPart(Duration::from_millis(rng.random_range(200..1500))))
    });
    let limits = draw_limits(seed, length, sizes);
    let keys = draw_foreign_keys(seed, length);
    let drawn = faults.into_iter().chain(notices).chain(crash).chain(limits).chain(keys);
    let mut all: Vec<_> = drawn.chain(draw_evacuations(seed, length)).collect();
    all.sort_by_key(|(at, _)| *at);
    all
}

/// Draws the limits that endpoints state, one after the other and some at the same time.
fn draw_limits(seed: u64, length: Duration, sizes: Sizes) -> Vec<(Duration, Fault)> {
    if seed < FIRST_LIMIT_SEED {
        return Vec::new();
    }
    let mut rng = SmallRng::seed_from_u64(seed ^ LIMIT_SEED);
    let mut draw = || {
        let endpoint = rng.random_range(0..2 * sizes.endpoints);
        let limit = [0.5, 1.0, 2.0, 5.0, 20.0][rng.random_range(0..5)];
        let time = length.mul_f64(rng.random_range(0.4..1.0));
        (length.mul_f64(rng.random_range(0.05..0.6)), Fault::Limit(endpoint, limit, time))
    };
    (0..4).map(|_| draw()).collect()
}

/// Draws evacuations of data centres, some of them at the same time.
fn draw_evacuations(seed: u64, length: Duration) -> Vec<(Duration, Fault)> {
    if seed < FIRST_EVACUATION_SEED {
        return Vec::new();
    }
    let mut rng = SmallRng::seed_from_u64(seed ^ EVACUATION_SEED);
    let mut draw = |centre| {
        let time = length.mul_f64(rng.random_range(0.4..0.7));
        (length.mul_f64(rng.random_range(0.02..0.3)), Fault::Evacuate(centre, time))
    };
    CENTRES[1..].iter().map(|centre| draw(*centre)).collect()
}

/// Draws the keys that others write, and the pages in which the store lists them.
fn draw_foreign_keys(seed: u64, length: Duration) -> Vec<(Duration, Fault)> {
    if seed < FIRST_KEY_SEED {
        return Vec::new();
    }
    draw_series(seed ^ KEY_SEED, length, MEAN_KEY_INTERVAL_SECONDS, |rng| {
        match rng.random_range(0..3) {
            0 => Fault::PageItems([1, 2, 20, 500][rng.random_range(0..4)]),
            _ => Fault::ForeignKeys([1, 5, 30][rng.random_range(0..3)], rng.random()),
        }
    })
}

fn draw_series(
    seed: u64,
    length: Duration,
    interval: f64,
    draw: impl Fn(&mut SmallRng) -> Fault,
) -> Vec<(Duration, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = FAULT_FREE_SECONDS;
    let mut all = Vec::new();
    while at < length.as_secs_f64() - FAULT_FREE_SECONDS {
        all.push((Duration::from_secs_f64(at), draw(&mut rng)));
        // Some faults begin at the same time, some soon after each other, some after a pause.
        at += interval * [0.0, 0.3, 1.0, 2.5][rng.random_range(0..4)];
    }
    all
}

fn draw_notice(rng: &mut SmallRng, sizes: Sizes) -> Fault {
    let endpoint = rng.random_range(0..2 * sizes.endpoints);
    match rng.random_range(0..4) {
        0 => Fault::StoreReturn(Duration::from_millis(rng.random_range(100..1200))),
        1 => Fault::Announce(endpoint),
        _ => Fault::AskPause(endpoint, Duration::from_millis(rng.random_range(600..2500))),
    }
}

fn draw_fault(rng: &mut SmallRng, sizes: Sizes) -> Fault {
    let gateway = rng.random_range(0..sizes.gateways);
    let endpoint = rng.random_range(0..2 * sizes.endpoints);
    let time = Duration::from_millis(rng.random_range(200..1800));
    match rng.random_range(0..13) {
        0 => Fault::Kill(gateway),
        1 => Fault::Pause(gateway, time),
        2 => Fault::Stop(gateway),
        3 => Fault::Reload(gateway),
        4 => Fault::StoreBusy(time),
        5 => Fault::StoreSilent(time),
        6 => Fault::Compact,
        7 => Fault::StoreLink(gateway, draw_mode(rng), time),
        8 => Fault::EndpointLink(endpoint, draw_mode(rng), time),
        9 => Fault::Misbehave(endpoint, rng.random_range(1..12)),
        10 | 11 => Fault::Replace(endpoint),
        _ => Fault::Configure,
    }
}

fn draw_mode(rng: &mut SmallRng) -> ProxyMode {
    match rng.random_range(0..4) {
        0 => ProxyMode::Delay(Duration::from_millis(rng.random_range(5..150))),
        1 => ProxyMode::Reset,
        2 => ProxyMode::Silent,
        _ => ProxyMode::OneWay,
    }
}
