//! Sharing the rate of a limited endpoint among instances, in virtual time.

use skylarkthread::clock::Suspension;
use skylarkthread::frame::{Envelope, Keyring};
use skylarkthread::gossip::{LimitNotice, LimitRow, PeerMessage, Tag, notice_groups};
use skylarkthread::hlc::Stamp;
use skylarkthread::id::{Incarnation, InstanceId, IntentVersion};
use skylarkthread::limit::{Allocator, Fleet, Grant, NOTICE_INTERVAL, PermitRequest, Rate, Share};
use std::sync::Arc;
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(5);
const WINDOW: Duration = Duration::from_secs(4);
/// Control traffic that an instance may cause, sent and received, in bytes per second.
const MAX_CONTROL_BYTES: f64 = 5000.0;

fn name(n: usize) -> InstanceId {
    format!("front-north-{n}").parse().unwrap()
}

/// Returns the size of a datagram with a message between instances.
fn datagram_bytes(body: PeerMessage) -> usize {
    let keys = Keyring::new(&[Arc::from(&[7_u8; 16][..])]);
    let (incarnation, version) = (Incarnation(u64::MAX), IntentVersion(1000));
    let at = Stamp::default();
    keys.encode(&Envelope { from: name(100), incarnation, at, version, body }).len()
}

/// Instances with callers, each with a view of which instance coordinates the endpoint.
struct Sim {
    start: Instant,
    now: Instant,
    tag: Tag,
    limit: Rate,
    /// Whether the limit is that of a cold endpoint.
    cold: bool,
    shares: Vec<Share>,
    allocators: Vec<Allocator>,
    /// Requests per second that callers send to each instance.
    load: Vec<f64>,
    due: Vec<f64>,
    /// Coordinator that each instance asks; `None` if it reaches none.
    coordinator: Vec<Option<usize>>,
    /// Instances that each instance hears from, itself included.
    heard: Vec<usize>,
    sent: Vec<Instant>,
    /// Bytes of control messages that each instance has sent and received.
    bytes: Vec<usize>,
}

impl Sim {
    fn new(limit: f64, load: Vec<f64>) -> Sim {
        // The instances have run for an hour.
        let started = Instant::now();
        let (now, n) = (started + Duration::from_secs(3600), load.len());
        let limit = Rate::per_second(limit);
        Sim {
            start: now,
            now,
            tag: Tag::of(&"i-1".parse().unwrap()),
            limit,
            cold: false,
            shares: (0..n).map(|_| Share::new(now, limit)).collect(),
            allocators: (0..n).map(|_| Allocator::new(started)).collect(),
            due: (0..n).map(|i| i as f64 / n as f64).collect(),
            load,
            coordinator: vec![Some(0); n],
            heard: vec![n; n],
            sent: Vec::new(),
            bytes: vec![0; n],
        }
    }

    fn fleet(&self, i: usize) -> Fleet {
        Fleet { owners: self.load.len(), heard: self.heard[i] }
    }

    fn set_limit(&mut self, limit: f64) {
        self.limit = Rate::per_second(limit);
        self.shares.iter_mut().for_each(|s| s.set_limit(self.now, self.limit));
    }

    fn run(&mut self, secs: u64) {
        self.run_for(Duration::from_secs(secs));
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            (0..self.load.len()).for_each(|i| self.step(i));
        }
    }

    /// Lets all instances ask the first one again, which the substitute tells of its end.
    fn return_to_first(&mut self, substitute: usize, time: Duration) {
        self.coordinator = vec![Some(0); self.load.len()];
        let end = self.now + time;
        while self.now < end {
            self.run_for(Duration::from_millis(100));
            self.allocators[substitute].step(self.now);
            for tag in self.allocators[substitute].take_ended() {
                self.allocators[0].end_rival(tag, &name(substitute));
            }
        }
    }

    fn step(&mut self, i: usize) {
        self.due[i] += self.load[i] * TICK.as_secs_f64();
        while self.due[i] >= 1.0 {
            self.due[i] -= 1.0;
            self.shares[i].note_demand();
            if self.shares[i].take(self.now) {
                self.sent.push(self.now);
            }
        }
        let Some(demand) = self.shares[i].next_demand(self.now, 0) else { return };
        let request = PermitRequest {
            tag: self.tag,
            limit: self.limit,
            age_ms: 400,
            demand,
            cold: self.cold,
            earned: self.shares[i].earned(),
        };
        let Some(c) = self.coordinator[i] else {
            let fleet = self.fleet(i);
            let part = fleet.own_part(self.limit);
            return self.shares[i].record_unanswered(self.now, part, fleet.retry_interval());
        };
        let fleet = self.fleet(c);
        let grant = self.allocators[c].request(self.now, fleet, &name(i), &request);
        self.shares[i].apply(self.now, self.now, &grant);
        if c != i {
            let bytes = datagram_bytes(PeerMessage::PermitRequest(1 << 20, request))
                + datagram_bytes(PeerMessage::PermitReply(1 << 20, grant));
            self.bytes[i] += bytes;
            self.bytes[c] += bytes;
        }
    }

    /// Returns the bytes that the coordinator sends with a notice.
    fn notice_bytes(&self) -> usize {
        let (tag, limit) = (self.tag, Some(self.limit));
        let row = LimitRow { tag, limit, age_ms: 4000, granting: true, ended: false, by: None };
        let notice = LimitNotice { rows: vec![row], forward: true };
        let names: Vec<InstanceId> = (1..self.load.len()).map(name).collect();
        notice_groups(names.iter().collect()).len() * datagram_bytes(PeerMessage::Limits(notice))
    }

    /// Returns the most requests in any window from `secs` on.
    fn busiest(&self, secs: u64) -> usize {
        self.busiest_in(WINDOW, secs)
    }

    /// Returns the most requests in any window of this length from `secs` on.
    fn busiest_in(&self, window: Duration, secs: u64) -> usize {
        let from = self.start + Duration::from_secs(secs);
        let sent: Vec<_> = self.sent.iter().filter(|at| **at >= from).collect();
        let count = |n: usize| sent[n..].iter().take_while(|at| ***at < *sent[n] + window).count();
        (0..sent.len()).map(count).max().unwrap_or(0)
    }

    /// Returns the rate of the requests from `secs` on.
    fn used(&self, secs: u64) -> f64 {
        let from = self.start + Duration::from_secs(secs);
        let count = self.sent.iter().filter(|at| **at >= from).count();
        count as f64 / self.now.duration_since(from).as_secs_f64()
    }
}

/// Returns the most requests that may reach an endpoint within [`WINDOW`].
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

#[rstest::rstest]
#[case::one_a_second_at_hundreds(1.0, vec![8.0; 410])]
#[case::many_a_second_at_hundreds(100.0, vec![8.0; 410])]
#[case::few_busy_among_hundreds(3.0, (0..410).map(|i| if i % 100 == 7 { 60.0 } else { 0.0 }).collect())]
#[case::one_busy_of_four(3.0, vec![60.0, 1.0, 0.2, 0.0])]
#[case::equal_load(3.3, vec![5.0; 4])]
#[case::high_limit(200.0, vec![300.0, 30.0, 3.0])]
#[case::fraction(0.5, vec![10.0, 1.0])]
#[case::alone(7.0, vec![50.0])]
fn limit_is_kept_and_used(#[case] limit: f64, #[case] load: Vec<f64>) {
    let mut sim = Sim::new(limit, load);
    sim.run(90);
    let (busiest, used) = (sim.busiest(0), sim.used(30));
    assert!(busiest <= allowed(limit), "{busiest} requests in 4 s, {} allowed", allowed(limit));
    assert!(used >= 0.8 * limit, "{used:.2} requests a second are used of {limit}");
    let permits = sim.bytes.iter().max().copied().unwrap_or(0) as f64 / 90.0;
    let bytes = permits + sim.notice_bytes() as f64 / NOTICE_INTERVAL.as_secs_f64();
    assert!(bytes <= MAX_CONTROL_BYTES, "{bytes:.0} bytes of control a second");
}

#[test]
fn limit_is_kept_while_a_coordinator_starts_again_and_again() {
    let mut sim = Sim::new(20.0, vec![30.0, 20.0, 10.0, 5.0]);
    for _ in 0..20 {
        sim.run(2);
        sim.allocators[0] = Allocator::new(sim.now);
    }
    assert!(sim.busiest(0) <= allowed(20.0), "{} requests in 4 s", sim.busiest(0));
    assert!(sim.used(0) >= 10.0, "{} requests a second are used", sim.used(0));
}

#[test]
fn limit_is_kept_and_used_where_instances_ask_different_coordinators() {
    let mut sim = Sim::new(10.0, vec![20.0; 6]);
    sim.run(10);
    sim.coordinator = vec![Some(0), Some(0), Some(0), Some(5), Some(5), Some(5)];
    for _ in 0..20 {
        sim.run(1);
        sim.allocators[0].note_rival(sim.now, sim.tag, &name(5));
        sim.allocators[5].note_rival(sim.now, sim.tag, &name(0));
    }
    assert!(sim.busiest(0) <= allowed(10.0), "{} requests in 4 s", sim.busiest(0));
    assert!(sim.used(15) >= 8.0, "{} requests a second are used", sim.used(15));
}

#[test]
fn limit_is_kept_and_used_while_instances_are_cut_off_from_each_other() {
    let mut sim = Sim::new(10.0, vec![20.0; 6]);
    sim.run(10);
    // Two parts of the fleet, and an instance that reaches neither.
    sim.coordinator = vec![Some(0), Some(0), Some(3), Some(3), Some(3), None];
    sim.heard = vec![2, 2, 3, 3, 3, 1];
    sim.run(30);
    assert!(sim.busiest(0) <= allowed(10.0), "{} requests in 4 s", sim.busiest(0));
    assert!(sim.used(15) >= 8.0, "{} requests a second are used", sim.used(15));
}

/// Plays `limit_holds_while_gateways_are_killed_and_paused` of the tests with processes, where the
/// instance that is paused and starts again coordinates the endpoint.
#[rstest::rstest]
#[case::low_limit(2.0)]
#[case::high_limit(100.0)]
fn limit_is_kept_and_half_used_while_the_coordinator_is_paused_and_starts_again(
    #[case] limit: f64,
) {
    let mut sim = Sim::new(limit, vec![0.0, 15.0 * limit, 8.0 * limit, 0.0]);
    for n in 0..3 {
        // Requests for permits are left unanswered first.
        sim.coordinator = vec![None; 4];
        sim.run_for(Duration::from_millis(600));
        sim.coordinator = vec![Some(1); 4];
        sim.allocators[0].note_rival(sim.now, sim.tag, &name(1));
        sim.run_for(Duration::from_millis(1900));
        if n % 2 == 0 {
            sim.allocators[0] = Allocator::new(sim.now);
            sim.allocators[0].note_rival(sim.now, sim.tag, &name(1));
        }
        sim.return_to_first(1, Duration::from_millis(1200));
    }
    sim.return_to_first(1, Duration::from_millis(2900));
    let busiest = sim.busiest(0);
    assert!(busiest <= allowed(limit), "{busiest} requests in 4 s, {} allowed", allowed(limit));
    assert!(sim.used(3) >= 0.5 * limit, "{} requests a second are used", sim.used(3));
}

#[test]
fn leases_shrink_with_the_limit() {
    let mut sim = Sim::new(100.0, vec![8.0; 410]);
    sim.run(60);
    sim.set_limit(1.0);
    sim.run(60);
    let busiest = sim.busiest(63);
    assert!(busiest <= allowed(1.0), "{busiest} requests in 4 s, {} allowed", allowed(1.0));
    assert!(sim.used(90) >= 0.8, "{} requests a second are used", sim.used(90));
}

#[test]
fn paused_instance_does_not_use_permits_that_have_expired() {
    let mut sim = Sim::new(10.0, vec![20.0, 20.0]);
    sim.run(5);
    let later = sim.now + Duration::from_secs(3);
    let sent = (0..20).filter(|_| sim.shares[1].take(later)).count();
    assert!(sent <= 1, "{sent} requests after a pause of 3 s");
}

/// The monotonic clock stands still while the machine of an instance is suspended.
#[test]
fn instance_that_was_suspended_uses_no_permit_from_before() {
    let mut sim = Sim::new(10.0, vec![20.0, 20.0]);
    let mut clock = Suspension::new(Duration::from_secs(50));
    sim.run(5);
    assert_eq!(clock.update(Duration::from_secs(50)), None);
    assert_eq!(clock.update(Duration::from_secs(80)), Some(Duration::from_secs(30)));
    assert_eq!(clock.update(Duration::from_secs(80)), None);
    let (now, before) = (sim.now, sim.now - Duration::from_millis(20));
    sim.shares[1].drop_permits(now);
    assert!((0..20).all(|_| !sim.shares[1].take(now)));
    // A reply that was on its way counts no more either; a new one does.
    let rate = Rate::per_second(5.0);
    let grant = Grant { permits: 1, rate, expected: rate, interval_ms: 400 };
    sim.shares[1].apply(now, before, &grant);
    assert!(!sim.shares[1].take(now + Duration::from_millis(300)));
    sim.shares[1].apply(now, now, &grant);
    assert!(sim.shares[1].take(now));
}

#[test]
fn notice_reaches_each_of_hundreds_of_instances_with_few_messages_of_each() {
    let names: Vec<InstanceId> = (0..409).map(name).collect();
    let groups = notice_groups(names.iter().collect());
    let longest = groups.iter().map(Vec::len).max().unwrap();
    assert!(groups.len() + longest <= 45, "{} groups of up to {longest}", groups.len());
    assert_eq!(groups.iter().map(Vec::len).sum::<usize>(), 409);
    let few: Vec<InstanceId> = (0..5).map(name).collect();
    assert!(notice_groups(few.iter().collect()).iter().all(|g| g.len() == 1));
}

/// Requests that may reach a cold endpoint within a second, by the platform's rule.
fn allowed_cold(limit: f64) -> usize {
    (1.5 * limit + 5.0) as usize
}

#[rstest::rstest]
#[case::equal_load(30.0, vec![8.0; 78])]
#[case::few_busy(30.0, (0..78).map(|i| if i % 20 == 7 { 60.0 } else { 0.0 }).collect())]
#[case::little_load(35.0, vec![0.6; 66])]
#[case::low_rate(2.0, vec![8.0; 78])]
#[case::short_use(30.0, vec![2.0; 32])]
#[case::hundreds(30.0, vec![2.0; 410])]
#[case::one_a_second_of_four(1.0, vec![60.0, 1.0, 0.2, 0.0])]
fn rate_of_a_cold_endpoint_holds_in_each_second(#[case] limit: f64, #[case] load: Vec<f64>) {
    let second = Duration::from_secs(1);
    let mut sim = Sim { cold: true, ..Sim::new(limit, load) };
    sim.run(20);
    let allowed = allowed_cold(limit);
    let busiest = sim.busiest_in(second, 0);
    assert!(busiest <= allowed, "{busiest} requests in a second, {allowed} allowed");
    // Coordinators that start again, then two of them and an instance that reaches neither.
    for _ in 0..5 {
        sim.run(1);
        sim.allocators[0] = Allocator::new(sim.now);
    }
    let n = sim.load.len();
    let last = n - 1;
    sim.coordinator = (0..n).map(|i| Some(if i < n / 2 { 0 } else { last })).collect();
    sim.coordinator[1] = None;
    sim.heard = (0..n).map(|i| if i < n / 2 { n / 2 } else { n - n / 2 }).collect();
    sim.run(20);
    let busiest = sim.busiest_in(second, 0);
    assert!(busiest <= allowed, "{busiest} requests in a second while cut, {allowed} allowed");
}

#[test]
fn cold_endpoint_is_used_within_its_first_second_by_many_instances() {
    // Each request could go to any of 46 endpoints, of which this is one.
    let mut sim = Sim { cold: true, ..Sim::new(30.0, vec![2.0; 32]) };
    sim.run(1);
    let users = sim.shares.iter().filter(|s| s.last_used() > sim.start).count();
    assert!(users >= 8, "{users} of 32 instances have sent something");
}
