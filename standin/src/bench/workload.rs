//! The two deployments' workloads: lengths, services, workspaces and arrivals.

use crate::engine::Params;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::sync::Arc;
use std::time::Duration;

/// Workspaces; the first ones are the large ones.
const WORKSPACES: usize = 10;
/// Share of requests of the large workspaces.
const LARGE_SHARE: f64 = 0.6;
/// Large workspaces.
const LARGE: usize = 2;
/// Time between the starts of two bursts.
const BURST_EVERY: f64 = 8.0;
/// Length of a burst.
const BURST_TIME: f64 = 1.0;
/// Rate in a burst against the rate outside.
const BURST_FACTOR: f64 = 2.5;
/// Samples that capacity is worked out from.
const SAMPLES: usize = 50_000;
/// Prompts that share a prefix: the first of them are drawn more often.
const PREFIXES: u32 = 40;

/// A deployment's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// Captions with some summaries.
    Vigilwell,
    /// Drafts and short verdicts.
    Cymdeithas,
}

/// Lengths of one service.
#[derive(Debug, Clone, Copy)]
struct Class {
    service: &'static str,
    share: f64,
    input: (u32, u32),
    median: f64,
    sigma: f64,
    most: u32,
}

const VIGILWELL: [Class; 2] = [
    Class {
        service: "captions",
        share: 0.85,
        input: (60, 200),
        median: 70.0,
        sigma: 0.9,
        most: 4000,
    },
    Class {
        service: "summaries",
        share: 0.15,
        input: (300, 700),
        median: 160.0,
        sigma: 0.7,
        most: 2000,
    },
];

const CYMDEITHAS: [Class; 2] = [
    Class {
        service: "drafts",
        share: 0.4,
        input: (100, 400),
        median: 250.0,
        sigma: 1.1,
        most: 8000,
    },
    Class { service: "triage", share: 0.6, input: (200, 500), median: 20.0, sigma: 0.6, most: 200 },
];

/// One request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time from the start.
    pub at: Duration,
    /// Service asked for.
    pub service: &'static str,
    /// Workspace by number.
    pub workspace: usize,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Tokens of a whole answer.
    pub output: u32,
}

impl Workload {
    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Workload::Vigilwell => "vigilwell",
            Workload::Cymdeithas => "cymdeithas",
        }
    }

    /// Finds a workload by its name.
    pub fn find(name: &str) -> Option<Workload> {
        [Workload::Vigilwell, Workload::Cymdeithas].into_iter().find(|w| w.name() == name)
    }

    /// Returns the operators' text.
    pub fn text(self) -> &'static str {
        match self {
            Workload::Vigilwell => include_str!("../../../examples/vigilwell.jsonc"),
            Workload::Cymdeithas => include_str!("../../../examples/offer-ffilm.jsonc"),
        }
    }

    /// Returns the engines: base model, count and what each can do.
    pub fn engines(self) -> (&'static str, usize, Params) {
        match self {
            Workload::Vigilwell => {
                let loaded = vec!["caption-large+memorial@v1".into()];
                ("caption-large", 12, Params { capacity: 8192, loaded, ..Params::default() })
            }
            Workload::Cymdeithas => {
                let params = Params {
                    capacity: 8192,
                    base_time: Duration::from_millis(10),
                    loaded: vec!["hire-draft+@v1".into()],
                    ..Params::default()
                };
                ("hire-draft", 14, params)
            }
        }
    }

    /// Returns the plain service, its operation and its path.
    pub fn plain(self) -> (&'static str, &'static str, &'static str) {
        match self {
            Workload::Vigilwell => ("booking", "POST", "/bookings"),
            Workload::Cymdeithas => ("hire-booking", "POST", "/holds"),
        }
    }

    fn classes(self) -> &'static [Class; 2] {
        match self {
            Workload::Vigilwell => &VIGILWELL,
            Workload::Cymdeithas => &CYMDEITHAS,
        }
    }

    /// Returns the requests a second that all engines could just serve without a queue, were
    /// their memory always full and never short.
    pub fn capacity(self) -> f64 {
        let (_, n, p) = self.engines();
        let mut rng = StdRng::seed_from_u64(1);
        let (mut inputs, mut outputs, mut areas) = (0.0, 0.0, 0.0);
        for _ in 0..SAMPLES {
            let (_, input, output) = self.sample(&mut rng);
            let (input, output) = (f64::from(input), f64::from(output));
            inputs += input;
            outputs += output;
            areas += output * (input + output / 2.0);
        }
        let held = areas / outputs;
        let (input, output) = (inputs / SAMPLES as f64, outputs / SAMPLES as f64);
        let batch = (f64::from(p.capacity) / held).min(p.max_batch as f64);
        let prompts = batch / output * input * p.prefill_time.as_secs_f64();
        let step = p.base_time.as_secs_f64() + p.sequence_time.as_secs_f64() * batch + prompts;
        n as f64 * batch / (output * step)
    }

    fn sample(self, rng: &mut StdRng) -> (&'static Class, u32, u32) {
        let classes = self.classes();
        let class = if rng.random::<f64>() < classes[0].share { &classes[0] } else { &classes[1] };
        let input = rng.random_range(class.input.0..=class.input.1);
        let lengths = LogNormal::new(class.median.ln(), class.sigma);
        let drawn = lengths.map_or(class.median, |l| l.sample(rng));
        (class, input, (drawn.round() as u32).clamp(1, class.most))
    }

    /// Returns the arrivals of a time at a share of capacity, with bursts.
    pub fn arrivals(self, load: f64, time: Duration, seed: u64) -> Vec<Arrival> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mean = self.capacity() * load;
        let part = BURST_TIME / BURST_EVERY;
        let calm = mean / (1.0 - part + part * BURST_FACTOR);
        let mut all = Vec::new();
        let mut at = 0.0;
        while at < time.as_secs_f64() {
            let rate = if at % BURST_EVERY < BURST_TIME { calm * BURST_FACTOR } else { calm };
            at += Exp::new(rate).map_or(1.0, |e| e.sample(&mut rng));
            let (class, input, output) = self.sample(&mut rng);
            all.push(Arrival {
                at: Duration::from_secs_f64(at),
                service: class.service,
                workspace: workspace(&mut rng),
                prompt: Arc::from(prompt(&mut rng, class.service, input, output, all.len())),
                output,
            });
        }
        all
    }
}

fn workspace(rng: &mut StdRng) -> usize {
    if rng.random::<f64>() < LARGE_SHARE {
        rng.random_range(0..LARGE)
    } else {
        rng.random_range(LARGE..WORKSPACES)
    }
}

/// Makes a prompt of about `input` tokens, four bytes each, with a shared start.
fn prompt(rng: &mut StdRng, service: &str, input: u32, output: u32, n: usize) -> String {
    let prefix = rng.random_range(0..PREFIXES).min(rng.random_range(0..PREFIXES));
    let mut text = format!("{service} prefix {prefix:02} {:-<48}", "");
    text += &format!("output={output}; request {n} ");
    let bytes = (input as usize * 4).saturating_sub(1);
    while text.len() < bytes {
        text.push('.');
    }
    text
}
