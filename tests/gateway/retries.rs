//! Retries of all instances together, counted at the endpoints.

use crate::common::{CONFIG, list_endpoint, send_request, wait_for};
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

/// Starts endpoints that reject all requests once their actions are cleared.
fn endpoints(n: usize) -> Vec<Endpoint> {
    let endpoint = |i| {
        let e = Endpoint::start(&format!("i-{i}"), Action::NotExecuted);
        (0..SERVED).for_each(|_| e.push_action(Action::Respond(200, String::new())));
        e
    };
    (1..=n).map(endpoint).collect()
}

fn start_gateways(n: usize, endpoints: &[Endpoint]) -> (Store, Vec<Gateway>) {
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    endpoints.iter().for_each(|e| list_endpoint(&store, e, "plain", "ready"));
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
    let (_store, g) = start_gateways(6, &endpoints);
    let callers = Callers::default();
    let load = |interval| g.iter().map(|g| (g, interval)).collect::<Vec<_>>();
    callers.call_all(&load(millis(40)), "calm", millis(4000));
    // The callers of the window before are few.
    callers.call_all(&load(millis(500)), "quiet", TERMS.window);
    endpoints.iter().for_each(Endpoint::clear_actions);
    callers.call_all(&load(millis(150)), "shed", millis(1500));
    let retries = retries(&endpoints);
    let most = check_windows(&callers, &retries);
    // Half of what the smallest window of the outage allows.
    assert!(most >= 5, "{most} retries in a window");
}
