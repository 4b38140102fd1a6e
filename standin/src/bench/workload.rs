//! Workloads of the two deployments: lengths, services, workspaces and arrivals.

use crate::engine::Params;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::sync::Arc;
use std::time::Duration;

/// Number of workspaces, of which the first are the large ones.
const WORKSPACE_COUNT: usize = 10;
/// Share of requests that come from the large workspaces.
const LARGE_WORKSPACE_SHARE: f64 = 0.6;
/// Number of large workspaces.
const LARGE_WORKSPACE_COUNT: usize = 2;
/// Time between the starts of two bursts, in seconds.
const BURST_INTERVAL_SECONDS: f64 = 8.0;
/// Length of a burst in seconds.
const BURST_SECONDS: f64 = 1.0;
/// Ratio of the arrival rate within a burst to that outside.
const BURST_RATE_FACTOR: f64 = 2.5;
/// Number of samples from which capacity is estimated.
const CAPACITY_SAMPLES: usize = 50_000;
/// Number of shared prompt prefixes, of which lower numbers are drawn more often.
const PREFIX_COUNT: u32 = 40;

/// Load of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// Captions and some summaries.
    Vigilwell,
    /// Drafts and short triage responses.
    Cymdeithas,
}

/// Distribution of lengths, in tokens, of the requests of a service.
#[derive(Debug, Clone, Copy)]
struct Class {
    service: &'static str,
    /// Share of the workload's requests.
    share: f64,
    /// Least and greatest input length, drawn uniformly.
    input: (u32, u32),
    /// Median of the log-normal output length.
    median: f64,
    /// Standard deviation of the logarithm of the output length.
    sigma: f64,
    max_output: u32,
}

const VIGILWELL: [Class; 2] = [
    Class {
        service: "captions",
        share: 0.85,
        input: (60, 200),
        median: 70.0,
        sigma: 0.9,
        max_output: 4000,
    },
    Class {
        service: "summaries",
        share: 0.15,
        input: (300, 700),
        median: 160.0,
        sigma: 0.7,
        max_output: 2000,
    },
];

const CYMDEITHAS: [Class; 2] = [
    Class {
        service: "drafts",
        share: 0.4,
        input: (100, 400),
        median: 250.0,
        sigma: 1.1,
        max_output: 8000,
    },
    Class {
        service: "triage",
        share: 0.6,
        input: (200, 500),
        median: 20.0,
        sigma: 0.6,
        max_output: 200,
    },
];

/// Generation request of a workload.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time of arrival since the start.
    pub at: Duration,
    /// Service that generates the response.
    pub service: &'static str,
    /// Number of the workspace.
    pub workspace: usize,
    /// Prompt, which tells the stand-in engine the output length.
    pub prompt: Arc<str>,
    /// Number of tokens of the complete response.
    pub output: u32,
}

impl Workload {
    /// Returns the name on the command line and in the output.
    pub fn name(self) -> &'static str {
        match self {
            Workload::Vigilwell => "vigilwell",
            Workload::Cymdeithas => "cymdeithas",
        }
    }

    /// Returns the workload with a name, or `None` if there is none.
    pub fn find(name: &str) -> Option<Workload> {
        [Workload::Vigilwell, Workload::Cymdeithas].into_iter().find(|w| w.name() == name)
    }

    /// Returns the operators' configuration of the deployment.
    pub fn config(self) -> &'static str {
        match self {
            Workload::Vigilwell => include_str!("../../../examples/vigilwell.jsonc"),
            Workload::Cymdeithas => include_str!("../../../examples/offer-ffilm.jsonc"),
        }
    }

    /// Returns the base model of the engines, their number and their parameters.
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

    /// Returns the name, method and path of the plain service.
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

    /// Returns the requests per second that all engines can just serve without queueing, if their
    /// memory is always full and never runs out.
    pub fn capacity(self) -> f64 {
        let (_, n, p) = self.engines();
        let mut rng = StdRng::seed_from_u64(1);
        let (mut inputs, mut outputs, mut areas) = (0.0, 0.0, 0.0);
        for _ in 0..CAPACITY_SAMPLES {
            let (_, input, output) = self.sample(&mut rng);
            let (input, output) = (f64::from(input), f64::from(output));
            inputs += input;
            outputs += output;
            areas += output * (input + output / 2.0);
        }
        // Mean number of tokens that a running generation holds in memory, over its lifetime.
        let held = areas / outputs;
        let (input, output) = (inputs / CAPACITY_SAMPLES as f64, outputs / CAPACITY_SAMPLES as f64);
        let batch = (f64::from(p.capacity) / held).min(p.max_batch as f64);
        let prompts = batch / output * input * p.prefill_time.as_secs_f64();
        let step = p.base_time.as_secs_f64() + p.sequence_time.as_secs_f64() * batch + prompts;
        n as f64 * batch / (output * step)
    }

    /// Draws the class, input length and output length of a request.
    fn sample(self, rng: &mut StdRng) -> (&'static Class, u32, u32) {
        let classes = self.classes();
        let class = if rng.random::<f64>() < classes[0].share { &classes[0] } else { &classes[1] };
        let input = rng.random_range(class.input.0..=class.input.1);
        let lengths = LogNormal::new(class.median.ln(), class.sigma);
        let drawn = lengths.map_or(class.median, |l| l.sample(rng));
        (class, input, (drawn.round() as u32).clamp(1, class.max_output))
    }

    /// Returns the arrivals during `time` at a load given as a share of capacity, with bursts.
    pub fn arrivals(self, load: f64, time: Duration, seed: u64) -> Vec<Arrival> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mean = self.capacity() * load;
        let burst_share = BURST_SECONDS / BURST_INTERVAL_SECONDS;
        let base_rate = mean / (1.0 - burst_share + burst_share * BURST_RATE_FACTOR);
        let mut all = Vec::new();
        let mut at = 0.0;
        while at < time.as_secs_f64() {
            let rate = if at % BURST_INTERVAL_SECONDS < BURST_SECONDS {
                base_rate * BURST_RATE_FACTOR
            } else {
                base_rate
            };
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

/// Draws the number of a workspace.
fn workspace(rng: &mut StdRng) -> usize {
    if rng.random::<f64>() < LARGE_WORKSPACE_SHARE {
        rng.random_range(0..LARGE_WORKSPACE_COUNT)
    } else {
        rng.random_range(LARGE_WORKSPACE_COUNT..WORKSPACE_COUNT)
    }
}

/// Builds a prompt of about `input` tokens of four bytes each, with a shared prefix.
fn prompt(rng: &mut StdRng, service: &str, input: u32, output: u32, n: usize) -> String {
    let prefix = rng.random_range(0..PREFIX_COUNT).min(rng.random_range(0..PREFIX_COUNT));
    let mut text = format!("{service} prefix {prefix:02} {:-<48}", "");
    text += &format!("output={output}; request {n} ");
    let bytes = (input as usize * 4).saturating_sub(1);
    while text.len() < bytes {
        text.push('.');
    }
    text
}
