//! Retries of all instances together, in virtual time, counted as they reach endpoints.

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use skylarkthread::budget::{Charge, SharedBudget, Terms};
use skylarkthread::id::ServiceName;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(20);
/// Time to live of a registration, and the interval at which it is renewed.
const LEASE: Duration = Duration::from_secs(15);
const RENEWAL: Duration = Duration::from_secs(5);
/// Longest time from the decision for a retry until it reaches an endpoint.
const MAX_DELAY_MS: u64 = 400;
/// Retries that each request wants, since all endpoints reject it.
const WANTED: usize = 2;
/// Instances that are asked for a loan.
const LENDERS: usize = 3;

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Returns what a platform allows that sets a slack for each instance.
fn terms(instances: usize) -> Terms {
    Terms { ratio: 0.2, window: secs(10), slack: 40.0 + 2.0 * instances as f64 }
}

/// What a platform allows that counts no requests, so that all depends on the parts of the
/// slack.
const SLACK_ONLY: Terms = Terms { ratio: 0.0, window: secs(10), slack: 48.0 };

/// An instance, and what is in flight there.
struct Member {
    budget: SharedBudget,
    /// Time until which its registration is in the store, and when it is renewed.
    lease: Instant,
    renewal: Instant,
    /// Side of a cut that it is on; only side 0 reaches the store.
    side: usize,
    /// Until when it does nothing.
    paused: Instant,
    /// Requests that are due, and retries under way by the time at which they arrive.
    due: f64,
    waiting: usize,
    flying: Vec<(Instant, Charge)>,
    /// Instances that it takes for registered.
    fleet: usize,
}

struct Sim {
    now: Instant,
    terms: Terms,
    service: ServiceName,
    members: Vec<Member>,
    load: Vec<f64>,
    rejects: bool,
    sent: Vec<Instant>,
    arrivals: Vec<Instant>,
    rng: SmallRng,
}

impl Sim {
    /// Starts instances with these loads in requests per second.
    fn new(terms: Terms, load: Vec<f64>) -> Sim {
        let now = Instant::now() + secs(3600);
        let member = |_| Member {
            budget: SharedBudget::new(now, terms, true),
            lease: now + LEASE,
            renewal: now,
            side: 0,
            paused: now,
            due: 0.0,
            waiting: 0,
            flying: Vec::new(),
            fleet: load.len(),
        };
        let members = (0..load.len()).map(member).collect();
        let (service, rng) = ("model".parse().unwrap(), SmallRng::seed_from_u64(1));
        let (sent, arrivals) = (Vec::new(), Vec::new());
        Sim { now, terms, service, members, load, rejects: false, sent, arrivals, rng }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            let registered = self.members.iter().filter(|m| m.lease > self.now).count();
            for i in 0..self.members.len() {
                self.receive(i);
                if self.members[i].paused <= self.now {
                    self.maintain(i, registered);
                    self.serve(i);
                }
            }
        }
    }

    /// Counts the requests that callers send to an instance, which may not read them yet.
    fn receive(&mut self, i: usize) {
        let m = &mut self.members[i];
        m.due += self.load[i] * TICK.as_secs_f64() * self.rng.random_range(0.0..2.0);
        let n = m.due as usize;
        m.due -= n as f64;
        m.waiting += n;
        self.sent.extend((0..n).map(|_| self.now));
    }

    fn maintain(&mut self, i: usize, registered: usize) {
        let (now, m) = (self.now, &mut self.members[i]);
        if m.side == 0 {
            m.fleet = registered;
            if m.renewal <= now {
                (m.lease, m.renewal) = (now + LEASE, now + RENEWAL);
                m.budget.record_registration(now, LEASE);
            }
        }
        m.budget.record_fleet(now, m.fleet);
        let flying = std::mem::take(&mut m.flying);
        for (at, charge) in flying {
            if at > now {
                m.flying.push((at, charge));
                continue;
            }
            m.budget.end(now, &self.service, charge);
            self.arrivals.push(now);
        }
    }

    fn serve(&mut self, i: usize) {
        for _ in 0..std::mem::take(&mut self.members[i].waiting) {
            self.members[i].budget.note_request(self.now, &self.service);
            let wanted = if self.rejects { WANTED } else { 0 };
            for _ in 0..wanted {
                if !self.retry(i) {
                    break;
                }
            }
        }
    }

    fn retry(&mut self, i: usize) -> bool {
        let now = self.now;
        let mut charge = self.members[i].budget.begin(now, &self.service);
        if charge.is_none() && self.members[i].budget.may_ask(now, &self.service) {
            self.borrow(i);
            charge = self.members[i].budget.begin(now, &self.service);
        }
        let Some(charge) = charge else { return false };
        let delay = Duration::from_millis(self.rng.random_range(0..MAX_DELAY_MS));
        self.members[i].flying.push((now + delay, charge));
        true
    }

    fn borrow(&mut self, i: usize) {
        let (now, side) = (self.now, self.members[i].side);
        let others = (0..self.members.len())
            .filter(|j| *j != i && self.members[*j].side == side && self.members[*j].paused <= now);
        for j in others.choose_multiple(&mut self.rng, LENDERS) {
            let wanted = self.members[i].budget.missing(now, &self.service);
            if wanted.is_zero() {
                return;
            }
            let lent = self.members[j].budget.lend(now, &self.service, wanted);
            self.members[i].budget.borrow(now, now, &self.service, lent);
        }
        if !self.members[i].budget.missing(now, &self.service).is_zero() {
            self.members[i].budget.record_refusal(now, &self.service);
        }
    }

    /// Kills an instance and starts it again; retries under way may arrive.
    fn restart(&mut self, i: usize) {
        let m = &mut self.members[i];
        self.arrivals.extend(m.flying.drain(..).map(|(at, _)| at));
        m.budget = SharedBudget::new(self.now, self.terms, false);
        m.renewal = self.now;
    }

    /// Rejects all requests for some time, and returns the number of retries that reached endpoints
    /// until a second later.
    fn reject(&mut self, time: Duration) -> usize {
        let before = self.arrivals.len();
        self.rejects = true;
        self.run(time);
        self.rejects = false;
        self.run(secs(1));
        self.arrivals.len() - before
    }

    fn count(&self, all: &[Instant], since: Instant) -> usize {
        let end = since + self.terms.window;
        all.partition_point(|at| *at < end) - all.partition_point(|at| *at < since)
    }

    /// Returns what is allowed in the window that begins at `since`.
    fn allowed(&self, since: Instant) -> f64 {
        let starts = [since, since - self.terms.window / 2, since - self.terms.window];
        let most = starts.into_iter().map(|s| self.count(&self.sent, s)).max().unwrap_or(0);
        self.terms.ratio * most as f64 + self.terms.slack
    }

    /// Checks each window that begins with a retry.
    fn check(&mut self) {
        self.arrivals.sort();
        let count = |since| self.count(&self.arrivals, since) as f64;
        let worst = self.arrivals.iter().map(|at| (count(*at), self.allowed(*at)));
        let worst = worst.max_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        if let Some((n, allowed)) = worst {
            assert!(n <= allowed, "{n} retries in a window, {allowed} are allowed");
        }
    }
}

/// Returns equal loads with a sum.
fn equal(instances: usize, sum: f64) -> Vec<f64> {
    vec![sum / instances as f64; instances]
}

/// Returns loads of which a tenth of the instances, one at least, has nine tenths.
fn unequal(instances: usize, sum: f64) -> Vec<f64> {
    let busy = instances.div_ceil(10);
    let share = |i| if i < busy { 0.9 / busy as f64 } else { 0.1 / (instances - busy) as f64 };
    (0..instances).map(|i| share(i) * sum).collect()
}

#[rstest]
#[case::equal_4(equal(4, 50.0))]
#[case::equal_28(equal(28, 50.0))]
#[case::equal_410(equal(410, 50.0))]
#[case::equal_410_busy(equal(410, 3400.0))]
#[case::unequal_4(unequal(4, 50.0))]
#[case::unequal_28(unequal(28, 50.0))]
#[case::unequal_410(unequal(410, 50.0))]
#[case::unequal_410_busy(unequal(410, 3400.0))]
fn retries_after_a_calm_time_keep_to_the_sum_and_use_most_of_it(#[case] load: Vec<f64>) {
    let mut sim = Sim::new(terms(load.len()), load);
    sim.run(secs(40));
    let used = sim.reject(secs(10)) as f64;
    let wanted = sim.load.iter().sum::<f64>() * 10.0 * WANTED as f64;
    let allowed = sim.allowed(sim.now - secs(11)).min(wanted);
    assert!(used >= allowed * 2.0 / 3.0, "{used} retries used of {allowed}");
    sim.run(secs(7));
    sim.reject(secs(10));
    sim.check();
}

#[rstest]
#[case(equal(4, 6.0))]
#[case(equal(4, 50.0))]
#[case(unequal(28, 50.0))]
#[case(equal(410, 500.0))]
fn retries_keep_to_the_sum_while_all_instances_start_again(#[case] load: Vec<f64>) {
    let mut sim = Sim::new(terms(load.len()), load);
    sim.run(secs(30));
    sim.rejects = true;
    for gap_ms in [1500, 3000, 300, 9000, 12000, 500, 4000] {
        sim.run(Duration::from_millis(gap_ms));
        (0..sim.load.len()).for_each(|i| sim.restart(i));
    }
    sim.run(secs(12));
    sim.check();
    assert!(!sim.arrivals.is_empty(), "no retry was made");
}

#[rstest]
#[case(terms(4), equal(4, 50.0))]
#[case(terms(28), unequal(28, 50.0))]
#[case(terms(410), equal(410, 500.0))]
#[case(SLACK_ONLY, equal(4, 20.0))]
fn retries_keep_to_the_sum_in_both_halves_of_a_cut(#[case] terms: Terms, #[case] load: Vec<f64>) {
    let mut sim = Sim::new(terms, load);
    sim.run(secs(30));
    let half = sim.load.len() / 2;
    sim.rejects = true;
    for time in [secs(8), secs(20), secs(90)] {
        sim.members[half..].iter_mut().for_each(|m| m.side = 1);
        sim.run(time / 2);
        // The half that reaches the store starts again while the other is not registered any more.
        (0..half).for_each(|i| sim.restart(i));
        sim.run(time / 2);
        sim.members.iter_mut().for_each(|m| m.side = 0);
        sim.run(secs(10));
    }
    sim.check();
}

#[rstest]
#[case(equal(4, 50.0))]
#[case(unequal(28, 50.0))]
#[case(equal(410, 500.0))]
fn retries_keep_to_the_sum_while_instances_are_paused(#[case] load: Vec<f64>) {
    let mut sim = Sim::new(terms(load.len()), load);
    sim.run(secs(30));
    sim.rejects = true;
    for (n, pause) in [(2, secs(3)), (1, secs(6)), (3, secs(12)), (1, secs(20))] {
        sim.run(secs(4));
        let until = sim.now + pause;
        sim.members.iter_mut().step_by(n).for_each(|m| m.paused = until);
        sim.run(pause + secs(1));
    }
    sim.check();
}

#[rstest]
#[case(terms(4), equal(4, 50.0))]
#[case(SLACK_ONLY, equal(2, 20.0))]
fn instance_that_joins_during_a_cut_adds_nothing_to_the_sum(
    #[case] terms: Terms,
    #[case] load: Vec<f64>,
) {
    let before = load.len();
    let mut sim = Sim::new(terms, load);
    sim.run(secs(30));
    sim.rejects = true;
    for _ in 0..4 {
        sim.members[..before].iter_mut().for_each(|m| m.side = 1);
        let added = Sim::new(sim.terms, vec![0.0]).members.remove(0);
        let (lease, renewal, paused) = (sim.now, sim.now, sim.now);
        sim.members.push(Member { lease, renewal, paused, ..added });
        sim.load.push(12.0);
        let last = sim.load.len() - 1;
        sim.restart(last);
        sim.run(secs(20));
        sim.members.iter_mut().for_each(|m| m.side = 0);
        sim.run(secs(20));
    }
    sim.check();
}
