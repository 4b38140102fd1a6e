//! Retries of all instances together, counted at the endpoints.

use crate::common::{CONFIG, list_endpoint, send_request, start_long_stream, wait_for};
use standin::platform::{Action, Endpoint, Gateway, Reply, RetryTerms, Store};
use std::collections::HashSet;
use std::path::Path;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const TERMS: RetryTerms =
    RetryTerms { ratio: 0.2, window: Duration::from_millis(2000), slack: 8.0 };
/// Requests that each endpoint serves before it rejects all.
const SERVED: usize = 1000;

/// Starts endpoints of the plain service that reject all requests once their actions are cleared.
fn endpoints(n: usize) -> Vec<Endpoint> {
    let endpoint = |i| {
        let e = Endpoint::start(&format!("i-{i}"), Action::NotExecuted);
        (0..SERVED).for_each(|_| e.push_action(Action::Respond(200, String::new())));
        e
    };
    (1..=n).map(endpoint).collect()
}

fn start_gateways(n: usize, endpoints: &[Endpoint], service: &str) -> (Store, Vec<Gateway>) {
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    endpoints.iter().for_each(|e| list_endpoint(&store, e, service, "ready"));
    let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let start = |_| Gateway::start_with(binary, store.address, &TERMS);
    let gateways: Vec<Gateway> = (0..n).map(start).collect();
    assert!(wait_for(5, || gateways.iter().all(|g| g.readiness() == 200)));
    assert!(wait_for(5, || store.keys("gateways/").len() == n));
    thread::sleep(Duration::from_millis(1500));
    (store, gateways)
}

/// Requests of callers, and when each was sent.
#[derive(Default)]
struct Callers {
    sent: Mutex<Vec<Instant>>,
}

impl Callers {
    /// Sends requests to a gateway at an interval for some time, without waiting for responses in
    /// between. Returns the responses.
    fn call(&self, g: &Gateway, name: &str, interval: Duration, time: Duration) -> Vec<Reply> {
        let (started, replies) = (Instant::now(), Mutex::new(Vec::new()));
        thread::scope(|scope| {
            for n in 0.. {
                let due = started + interval * n;
                if due >= started + time {
                    break;
                }
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let replies = &replies;
                scope.spawn(move || {
                    self.sent.lock().unwrap().push(Instant::now());
                    let reply = send_request(g, "GET", "/safe/x", &format!("{name}-{n}"));
                    replies.lock().unwrap().push(reply);
                });
            }
        });
        replies.into_inner().unwrap()
    }

    /// Sends requests to all gateways, to each at its own interval.
    fn call_all(&self, load: &[(&Gateway, Duration)], name: &str, time: Duration) {
        thread::scope(|scope| {
            for (g, (gateway, interval)) in load.iter().enumerate() {
                scope.spawn(move || self.call(gateway, &format!("{name}-{g}"), *interval, time));
            }
        });
    }

    /// Returns the requests from `since` on for the length of the window.
    fn requests(&self, since: Instant) -> usize {
        let sent = self.sent.lock().unwrap();
        sent.iter().filter(|at| **at >= since && **at < since + TERMS.window).count()
    }

    /// Returns the retries that are allowed in the window that begins at `since`.
    fn allowed(&self, since: Instant) -> usize {
        let ago = |t| since.checked_sub(t).unwrap_or(since);
        let windows = [since, ago(TERMS.window / 2), ago(TERMS.window)];
        let most = windows.into_iter().map(|w| self.requests(w)).max().unwrap_or(0);
        (TERMS.ratio * most as f64 + TERMS.slack).floor() as usize
    }
}

/// Returns when requests reached an endpoint again.
fn retries(endpoints: &[Endpoint]) -> Vec<Instant> {
    let received = endpoints.iter().flat_map(|e| e.received());
    let id =
        |r: &standin::platform::ReceivedRequest| r.req.header("x-attempt-id").map(String::from);
    let mut all: Vec<_> = received.filter_map(|r| Some((r.at, id(&r)?))).collect();
    all.sort();
    let mut known = HashSet::new();
    all.into_iter().filter(|(_, id)| !known.insert(id.clone())).map(|(at, _)| at).collect()
}

/// Checks that no window has more retries than allowed, and returns the most retries in a window.
fn check_windows(callers: &Callers, retries: &[Instant]) -> usize {
    let mut most = 0;
    for since in retries {
        let n = retries.iter().filter(|at| *at >= since && **at < *since + TERMS.window).count();
        let allowed = callers.allowed(*since);
        assert!(n <= allowed, "{n} retries in {:?}, {allowed} are allowed", TERMS.window);
        most = most.max(n);
    }
    most
}

const fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn retries_saved_up_by_all_gateways_are_not_spent_in_one_window() {
    let endpoints = endpoints(4);
    let (_store, g) = start_gateways(6, &endpoints, "plain");
    let callers = Callers::default();
    let load = |interval| g.iter().map(|g| (g, interval)).collect::<Vec<_>>();
    callers.call_all(&load(millis(40)), "calm", millis(4000));
    // The callers of the window before are few.
    callers.call_all(&load(millis(500)), "quiet", TERMS.window);
    endpoints.iter().for_each(Endpoint::clear_actions);
    callers.call_all(&load(millis(150)), "shed", millis(1500));
    let most = check_windows(&callers, &retries(&endpoints));
    // Half of what is allowed for the requests of the outage.
    assert!(most >= 10, "{most} retries in a window");
}

#[test]
fn busy_gateway_uses_the_retries_of_idle_ones_within_the_sum() {
    let endpoints = endpoints(4);
    let (_store, g) = start_gateways(6, &endpoints, "plain");
    let callers = Callers::default();
    endpoints.iter().for_each(Endpoint::clear_actions);
    callers.call_all(&[(&g[0], millis(100))], "shed", millis(4000));
    let most = check_windows(&callers, &retries(&endpoints));
    // 12 are allowed; without the others, the busy gateway has 1.2 and a tenth of its requests.
    assert!(most >= 6, "{most} retries in a window");
}

#[test]
fn retries_keep_to_the_sum_while_all_gateways_are_killed_and_paused() {
    let endpoints = endpoints(4);
    let (_store, mut g) = start_gateways(6, &endpoints, "plain");
    let callers = Callers::default();
    endpoints.iter().for_each(Endpoint::clear_actions);
    for round in 0..4 {
        let load: Vec<_> = g.iter().map(|g| (g, millis(200))).collect();
        callers.call_all(&load, &format!("before-{round}"), millis(700));
        g.iter().skip(round % 2).step_by(2).for_each(|g| g.signal(libc::SIGSTOP));
        let load: Vec<_> =
            g.iter().skip(1 - round % 2).step_by(2).map(|g| (g, millis(200))).collect();
        callers.call_all(&load, &format!("paused-{round}"), millis(1200));
        g.iter().for_each(|g| g.signal(libc::SIGCONT));
        g.iter_mut().for_each(Gateway::restart);
        assert!(wait_for(5, || g.iter().all(|g| g.readiness() == 200)));
    }
    let most = check_windows(&callers, &retries(&endpoints));
    assert!(most > 0, "no retry was made");
}

#[test]
fn generations_that_move_count_as_retries() {
    let engines: Vec<Endpoint> = (1..=5)
        .map(|i| Endpoint::start(&format!("i-{i}"), Action::Stream(80, millis(50))))
        .collect();
    let (store, g) = start_gateways(2, &engines, "model");
    let callers = Callers::default();
    let n = 30;
    let streams: Vec<_> = (0..n)
        .map(|n| {
            callers.sent.lock().unwrap().push(Instant::now());
            start_long_stream(&g[n % 2], &format!("s-{n}"))
        })
        .collect();
    let begun = || engines.iter().map(|e| e.received().len()).sum::<usize>();
    assert!(wait_for(5, || begun() == n), "{} of {n} streams began", begun());
    // Three engines are emptied, which stop only once their streams have ended.
    engines[..3].iter().for_each(|e| list_endpoint(&store, e, "model", "draining"));
    let complete =
        streams.into_iter().map(|mut s| s.reply()).filter(|r| r.body.contains("token-80"));
    assert_eq!(complete.count(), n, "a stream was cut");
    let retries = retries(&engines);
    assert!(!retries.is_empty(), "no generation was moved");
    check_windows(&callers, &retries);
    let charged = g.into_iter().map(|g| g.into_log().matches("kind=Retried").count());
    assert!(charged.sum::<usize>() >= retries.len(), "{} generations moved", retries.len());
}
