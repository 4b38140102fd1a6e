//! The faults of a run, drawn from its seed.

use crate::platform::ProxyMode;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Gateways of a run.
pub const GATEWAYS: usize = 3;
/// Plain endpoints of a run, and as many engines.
pub const ENDPOINTS: usize = 3;
/// Time before the first fault and after the last one begins.
const MARGIN: f64 = 1.0;
/// Time between two faults, on average.
const GAP: f64 = 0.55;

/// One fault or planned change.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// A gateway is killed and started again.
    Kill(usize),
    /// A gateway stands still.
    Pause(usize, Duration),
    /// A gateway is asked to stop, and started again once it has.
    Stop(usize),
    /// A gateway is told that its settings changed.
    Reload(usize),
    /// The store turns calls away.
    StoreBusy(Duration),
    /// The store answers nothing.
    StoreSilent(Duration),
    /// The store forgets its history.
    Compact,
    /// The way from a gateway to the store is harmed.
    StoreLink(usize, ProxyMode, Duration),
    /// The way to an endpoint is harmed.
    EndpointLink(usize, ProxyMode, Duration),
    /// An endpoint answers its next requests badly.
    Misbehave(usize, u32),
    /// An endpoint leaves and another one joins.
    Replace(usize),
    /// A new configuration drops the key of the last one.
    Configure,
}

/// Draws the faults of a run, each with its time, in order of time.
pub fn draw(seed: u64, length: Duration) -> Vec<(Duration, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = MARGIN;
    let mut all = Vec::new();
    while at < length.as_secs_f64() - MARGIN {
        all.push((Duration::from_secs_f64(at), one(&mut rng)));
        // Some come in series, some together, some after a pause.
        at += GAP * [0.0, 0.3, 1.0, 2.5][rng.random_range(0..4)];
    }
    all
}

fn one(rng: &mut SmallRng) -> Fault {
    let gateway = rng.random_range(0..GATEWAYS);
    let endpoint = rng.random_range(0..2 * ENDPOINTS);
    let time = Duration::from_millis(rng.random_range(200..1800));
    match rng.random_range(0..13) {
        0 => Fault::Kill(gateway),
        1 => Fault::Pause(gateway, time),
        2 => Fault::Stop(gateway),
        3 => Fault::Reload(gateway),
        4 => Fault::StoreBusy(time),
        5 => Fault::StoreSilent(time),
        6 => Fault::Compact,
        7 => Fault::StoreLink(gateway, mode(rng), time),
        8 => Fault::EndpointLink(endpoint, mode(rng), time),
        9 => Fault::Misbehave(endpoint, rng.random_range(1..12)),
        10 | 11 => Fault::Replace(endpoint),
        _ => Fault::Configure,
    }
}

fn mode(rng: &mut SmallRng) -> ProxyMode {
    match rng.random_range(0..4) {
        0 => ProxyMode::Delay(Duration::from_millis(rng.random_range(5..150))),
        1 => ProxyMode::Reset,
        2 => ProxyMode::Silent,
        _ => ProxyMode::OneWay,
    }
}
