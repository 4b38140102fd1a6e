//! Speed of endpoints: how long work takes on each, compared with what is usual.
//!
//! Endpoints of some services share their machines with others, and state with each response how
//! long work takes there at this moment. The time to process a prompt is learned from the first
//! events of generations, apart from the stated slowness, so that both combine: a learned time
//! changes with the machine, a stated slowness within less than a second.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::{Duration, Instant};

/// Time after which an observation has lost most of its weight.
const WINDOW: Duration = Duration::from_secs(5);
/// Time after which the last statement has lost most of its weight against earlier ones.
const MOMENT: Duration = Duration::from_millis(200);
/// Weight of what is usual, in observations.
const PRIOR_WEIGHT: f64 = 2.0;
/// Weight of the prefill times of another instance as a share of that of its observations, since
/// each report repeats them.
const REPORT_WEIGHT: f64 = 0.25;
/// Interval of the reports of an instance. A younger statement is reported for the first time.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Factor by which an observation may differ from what was expected. Prompts that arrived
/// meanwhile, or that other instances have just sent, distort single observations.
const MAX_DEVIATION: f64 = 3.0;
/// Bounds of the slowness that an endpoint may state.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 20.0);
/// Weight below which an average is not reported.
const MIN_REPORTED_WEIGHT: f64 = 0.1;
/// Age up to which a statement is reported.
const MAX_STATEMENT_AGE: Duration = Duration::from_secs(5);

/// Factor by which work takes longer than usual.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Slowness(f64);

impl Slowness {
    /// Slowness of an endpoint on which work takes as long as usual.
    pub const USUAL: Slowness = Slowness(1.0);

    /// Returns the slowness for a factor, limited to what is plausible.
    pub fn new(factor: f64) -> Slowness {
        Slowness(factor.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1))
    }

    /// Returns the slowness for a number of percent, limited to what is plausible.
    pub fn of_percent(percent: u32) -> Slowness {
        Slowness::new(f64::from(percent) / 100.0)
    }

    /// Returns the factor.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// Returns the factor in percent.
    pub fn percent(self) -> u32 {
        (self.0 * 100.0).round() as u32
    }
}

impl fmt::Display for Slowness {
    /// Writes the factor in percent, such as `170`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.percent())
    }
}

impl FromStr for Slowness {
    type Err = ParseIntError;

    /// Parses a number of percent, such as `170`.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a whole number.
    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Slowness::of_percent)
    }
}

/// Average over the observations of the last seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Average {
    mean: f64,
    /// Weight of the observations at the time of the last one.
    weight: f64,
    last: Option<Instant>,
}

impl Average {
    /// Records an observation.
    fn observe(&mut self, now: Instant, value: f64, weight: f64) {
        let sum = self.weight(now) + weight;
        if sum > 0.0 {
            self.mean += (value - self.mean) * weight / sum;
            (self.weight, self.last) = (sum, Some(now));
        }
    }

    /// Returns the weight that the observations still have.
    fn weight(&self, now: Instant) -> f64 {
        self.last.map_or(0.0, |last| self.weight * decay(now, last, WINDOW))
    }

    /// Returns the average, closer to `prior` the less weight the observations have.
    fn or_prior(&self, now: Instant, prior: f64) -> f64 {
        let weight = self.weight(now);
        (self.mean * weight + prior * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)
    }
}

/// Returns the part of a weight that is left after some time.
fn decay(now: Instant, since: Instant, time: Duration) -> f64 {
    (-now.saturating_duration_since(since).as_secs_f64() / time.as_secs_f64()).exp()
}

/// Time to process a prompt token on an endpoint whose slowness is as usual.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct TokenCost(f64);

impl TokenCost {
    /// Returns the cost for a number of seconds.
    pub fn of_secs(secs: f64) -> TokenCost {
        TokenCost(secs)
    }

    /// Returns the time to process `tokens` prompt tokens.
    pub fn time(self, tokens: u64) -> Duration {
        Duration::try_from_secs_f64(self.0 * tokens as f64).unwrap_or(Duration::MAX)
    }

    /// Returns the cost in seconds.
    pub fn as_secs(self) -> f64 {
        self.0
    }
}

/// What one instance has seen of the speed of an endpoint, for the other instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Last slowness that the endpoint stated to it, and the age of the statement.
    pub stated: Option<(Slowness, Duration)>,
    /// Time per prompt token, and the weight of the observations.
    pub prefill: Option<(TokenCost, f64)>,
}

/// Speed of an endpoint, as stated by it and as seen by all instances.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Speed {
    /// Latest slowness stated to any instance, and when.
    latest: Option<(Slowness, Instant)>,
    /// Average of the stated slowness.
    usual: Average,
    /// Time per prompt token in seconds, without the stated slowness.
    prefill: Average,
    /// Latest slowness stated to this instance, and when.
    own_latest: Option<(Slowness, Instant)>,
    /// The part of `prefill` that this instance has seen.
    own_prefill: Average,
}

impl Speed {
    /// Records a slowness that the endpoint stated to this instance.
    pub fn record_stated(&mut self, now: Instant, slowness: Slowness) {
        self.own_latest = Some((slowness, now));
        self.latest = Some((slowness, now));
        self.usual.observe(now, slowness.0, 1.0);
    }

    /// Returns whether the endpoint states its slowness. Of others no speed is learned.
    pub fn is_stated(&self) -> bool {
        self.latest.is_some()
    }

    /// Returns the average slowness.
    pub fn usual(&self, now: Instant) -> Slowness {
        Slowness::new(self.usual.or_prior(now, 1.0))
    }

    /// Returns the slowness at present. The latest statement counts for a moment; then the average
    /// of earlier ones.
    pub fn slowness(&self, now: Instant) -> Slowness {
        let Some((latest, at)) = self.latest else { return Slowness::USUAL };
        let usual = self.usual.or_prior(now, 1.0);
        Slowness::new(usual + (latest.0 - usual) * decay(now, at, MOMENT))
    }

    /// Records that this instance saw the first event `took` after `unread` prompt tokens were
    /// pending; `expected` is the cost of a token on other endpoints.
    pub fn observe_prefill(
        &mut self,
        now: Instant,
        unread: u64,
        took: Duration,
        expected: TokenCost,
    ) {
        if !self.is_stated() || unread == 0 {
            return;
        }
        let observed = took.as_secs_f64() / unread as f64 / self.slowness(now).0;
        let expected = self.prefill_cost(now, expected).0;
        let cost = observed.clamp(expected / MAX_DEVIATION, expected * MAX_DEVIATION);
        self.prefill.observe(now, cost, 1.0);
        self.own_prefill.observe(now, cost, 1.0);
    }

    /// Returns the cost of a prompt token at usual slowness, closer to `prior`, the cost on other
    /// endpoints, the less was seen of this one.
    fn prefill_cost(&self, now: Instant, prior: TokenCost) -> TokenCost {
        TokenCost(self.prefill.or_prior(now, prior.0))
    }

    /// Returns the present cost of a prompt token; `prior` is that of the service.
    pub fn token_cost(&self, now: Instant, prior: TokenCost) -> TokenCost {
        if !self.is_stated() {
            return prior;
        }
        TokenCost(self.prefill_cost(now, prior).0 * self.slowness(now).0)
    }

    /// Returns the learned cost of a prompt token and its weight; `None` if little was seen.
    pub fn learned(&self, now: Instant) -> Option<(TokenCost, f64)> {
        reported(&self.prefill, now)
    }

    /// Returns what this instance has seen; `None` if it saw nothing recently.
    pub fn report(&self, now: Instant) -> Option<Report> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let stated = self.own_latest.map(|(slowness, at)| (slowness, age(at)));
        let stated = stated.filter(|(_, age)| *age <= MAX_STATEMENT_AGE);
        let prefill = reported(&self.own_prefill, now);
        (stated.is_some() || prefill.is_some()).then_some(Report { stated, prefill })
    }

    /// Applies the report of another instance.
    pub fn apply(&mut self, now: Instant, report: &Report) {
        if let Some((slowness, age)) = report.stated {
            let at = now.checked_sub(age).unwrap_or(now);
            if self.latest.is_none_or(|(_, known)| known < at) {
                self.latest = Some((slowness, at));
            }
            if age <= REPORT_INTERVAL {
                self.usual.observe(now, slowness.0, 1.0);
            }
        }
        if let Some((cost, weight)) = report.prefill {
            self.prefill.observe(now, cost.0, weight * REPORT_WEIGHT);
        }
    }
}

fn reported(average: &Average, now: Instant) -> Option<(TokenCost, f64)> {
    let weight = average.weight(now);
    (weight >= MIN_REPORTED_WEIGHT).then_some((TokenCost(average.mean), weight))
}
