//! Checks the promises against what callers and endpoints observed.

use crate::platform::{Reply, RetryTerms};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

/// Time within which a change of the configuration or of an endpoint must take effect.
const MAX_CHANGE_DELAY: Duration = Duration::from_millis(2300);
/// Time within which an instance stops using an endpoint that it knows to be leaving.
const MAX_LEAVING_DELAY: Duration = Duration::from_millis(2000);
/// Time after an endpoint has asked for a pause in which requests may still reach it.
const PAUSE_SLACK: Duration = Duration::from_millis(500);
/// Requests from one instance that may reach an endpoint during its pause.
const MAX_PAUSED_ARRIVALS: usize = 2;
/// Time before and after a fault within which limits on time are not checked.
const FAULT_MARGIN: Duration = Duration::from_millis(3000);
/// Time after the fifth crash within which requests with the part that causes them may reach
/// engines.
const CRASH_PART_DELAY: Duration = Duration::from_millis(3000);
/// Requests with that part that may reach engines later.
const MAX_LATE_CRASHES: usize = 3;
/// Time within which all instances keep to a limit that an endpoint states.
const LIMIT_DELAY: Duration = Duration::from_millis(3000);
/// Time over which the requests to a limited endpoint are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests that may reach it in that time, as a multiple of its limit, and in addition.
const LIMIT_ALLOWANCE: (f64, f64) = (1.5, 5.0);
/// Time after a fault of a link in which requests may arrive that it held up.
const LINK_MARGIN: Duration = Duration::from_millis(500);

/// Time after an evacuation, or after a fault that may have kept an instance from learning of it,
/// from which it sends nothing there.
const EVACUATION_DELAY: Duration = Duration::from_millis(5000);

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Call that may run more than once.
    Safe,
    /// Call that must not run more than once.
    Unsafe,
    /// Generation of this many events.
    Stream(u64),
}

/// Request of a caller and its result.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Id that the caller gave it.
    pub id: String,
    /// Number of the gateway that it was sent to.
    pub gateway: usize,
    /// Kind of the request, which decides the checks.
    pub kind: RequestKind,
    /// Version of the configuration whose API key it carried.
    pub version: u64,
    /// Whether its prompt has the part that may crash engines.
    pub has_crash_part: bool,
    /// Time before it was sent.
    pub sent: Instant,
    /// Time at which its response ended.
    pub done: Instant,
    /// Response; status 0 without one, 499 if the caller disconnected.
    pub reply: Reply,
}

/// Request as it reached an endpoint.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Id that the caller gave it.
    pub id: String,
    /// Id of the endpoint.
    pub endpoint: String,
    /// Time at which the endpoint had read it.
    pub at: Instant,
    /// Whether the endpoint ran it.
    pub ran: bool,
    /// Pause that the endpoint asked for in its response.
    pub pause: Option<Duration>,
    /// Whether it continued a generation from another endpoint.
    pub resumed: bool,
}

/// Faults and changes during a run on which the checks depend.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Start and end of the faults near which limits on time are not checked.
    pub faults: Vec<(Instant, Instant)>,
    /// Start and latest end of planned stops and reloads.
    pub planned: Vec<(Instant, Instant)>,
    /// Endpoints that started draining, with the time.
    pub drained: Vec<(String, Instant)>,
    /// Endpoints that state in their responses that they are leaving, with the time since when.
    pub announced: Vec<(String, Instant)>,
    /// Gateways that were stopped, paused or restarted, with the start and the end.
    pub breaks: Vec<(usize, Instant, Instant)>,
    /// When a part of prompts began to crash engines.
    pub crash_part: Option<Instant>,
    /// Limits that endpoints stated.
    pub limits: Vec<LimitPeriod>,
    /// Endpoints whose connections were disturbed, with the start and the end.
    pub links: Vec<(String, Instant, Instant)>,
    /// Data centres of the endpoints.
    pub centres: HashMap<String, &'static str>,
    /// Data centres that were evacuated, with the start and the end.
    pub evacuations: Vec<(&'static str, Instant, Instant)>,
    /// Outages of the store, with the start and the end.
    pub outages: Vec<(Instant, Instant)>,
    /// Versions of the configuration with their times; each replaces the API key.
    pub versions: Vec<(u64, Instant)>,
}

/// Time in which an endpoint stated a limit.
#[derive(Debug, Clone)]
pub struct LimitPeriod {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Requests per second from all gateways.
    pub limit: f64,
    /// When it was first stated.
    pub from: Instant,
    /// When it ended.
    pub to: Instant,
}

impl History {
    /// Ends the limits that an endpoint states at this time.
    pub fn end_limit(&mut self, endpoint: &str, at: Instant) {
        for l in self.limits.iter_mut().filter(|l| l.endpoint == endpoint && l.to > at) {
            l.to = at;
        }
    }

    /// Returns whether gateway `g` was stopped, paused or restarted in the interval.
    fn has_break(&self, g: usize, from: Instant, to: Instant) -> bool {
        self.breaks.iter().any(|(n, a, b)| *n == g && *a < to && *b > from)
    }

    /// Returns whether no fault was within [`FAULT_MARGIN`] of the interval.
    fn is_fault_free(&self, from: Instant, to: Instant) -> bool {
        self.faults.iter().all(|(a, b)| *b + FAULT_MARGIN < from || *a > to + FAULT_MARGIN)
    }

    /// Returns whether gateway `g` ran all the time and no fault overlaps the interval.
    fn is_unbroken(&self, g: usize, from: Instant, to: Instant) -> bool {
        let overlaps = |a: Instant, b: Instant| a < to && b > from;
        self.breaks.iter().all(|(n, a, b)| *n != g || !overlaps(*a, *b))
            && self.faults.iter().all(|(a, b)| !overlaps(*a, *b))
    }

    /// Returns whether a planned stop or reload overlaps the interval.
    fn has_planned_work(&self, from: Instant, to: Instant) -> bool {
        self.planned.iter().any(|(a, b)| *a < to && *b > from)
    }
}

/// Broken promise.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Name of the promise.
    pub promise: &'static str,
    /// Id of the request, the gateway, or `all`.
    pub subject: String,
    /// Observation that contradicts the promise.
    pub observed: String,
}

/// Checks all promises and returns the broken ones.
pub fn check(calls: &[CallRecord], arrivals: &[Arrival], history: &History) -> Vec<Violation> {
    let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    arrivals.iter().for_each(|a| by_id.entry(&a.id).or_default().push(a));
    let mut violations = Vec::new();
    for c in calls {
        let arrived = by_id.get(c.id.as_str()).map_or(&[][..], Vec::as_slice);
        let runs = arrived.iter().filter(|a| a.ran && !a.resumed).count();
        let checks = [
            ("once", check_once(c, runs)),
            ("not-run", check_refusal(c, runs)),
            ("valid-answer", check_valid(c)),
            ("own-answer", check_own_response(c)),
            ("in-order", check_stream(c)),
            ("intent", check_version(c, history)),
            ("planned", check_planned(c, runs, history)),
            ("sound-part", check_sound(c)),
        ];
        let broken =
            checks.into_iter().filter_map(|(promise, observed)| Some((promise, observed?)));
        violations.extend(broken.map(|(promise, observed)| Violation {
            promise,
            subject: c.id.clone(),
            observed,
        }));
    }
    let known: HashSet<&str> = calls.iter().map(|c| c.id.as_str()).collect();
    for id in by_id.keys().filter(|id| !known.contains(**id)) {
        let observed = "an endpoint received a request that no caller sent".to_owned();
        violations.push(Violation { promise: "asked", subject: (*id).to_owned(), observed });
    }
    violations.extend(check_drains(arrivals, history));
    let by_call: HashMap<&str, &CallRecord> = calls.iter().map(|c| (c.id.as_str(), c)).collect();
    violations.extend(check_announced(arrivals, &by_call, history));
    violations.extend(check_pauses(arrivals, &by_call, history));
    violations.extend(check_limits(arrivals, &by_call, history));
    violations.extend(check_evacuations(arrivals, &by_call, history));
    violations.extend(check_crash_part(arrivals, &by_call, history));
    violations.extend(check_retries(calls, &by_id));
    violations
}

/// Checks that an unsafe call or a generation runs at most once.
fn check_once(c: &CallRecord, runs: usize) -> Option<String> {
    (c.kind != RequestKind::Safe && runs > 1).then(|| format!("ran {runs} times"))
}

/// Checks that a request did not run if the status of its refusal states that it has not run.
fn check_refusal(c: &CallRecord, runs: usize) -> Option<String> {
    let claims_not_run = matches!(c.reply.status, 408 | 421 | 429 | 503);
    (c.kind != RequestKind::Safe && claims_not_run && runs > 0)
        .then(|| format!("refused with status {} and ran", c.reply.status))
}

/// Checks that what the caller received is one response of HTTP/1.1, or a part of one.
fn check_valid(c: &CallRecord) -> Option<String> {
    let malformed = c.reply.fault.map(|rule| format!("malformed: {rule}"));
    malformed.or_else(|| c.reply.excess.then(|| "bytes after the response".to_owned()))
}

/// Checks that a complete response belongs to the request.
fn check_own_response(c: &CallRecord) -> Option<String> {
    if c.reply.status != 200 || !c.reply.complete {
        return None;
    }
    let seal = c.reply.header("x-replica-seal");
    if seal != Some(format!("s.{}", c.id).as_str()) {
        return Some(format!("seal is {seal:?}"));
    }
    let is_own = matches!(c.kind, RequestKind::Stream(_)) || c.reply.body == c.id;
    (!is_own).then(|| format!("body is {:?}", c.reply.body))
}

/// Checks that the events of a stream are consecutive and of one run, and that none is missing from
/// a complete stream.
fn check_stream(c: &CallRecord) -> Option<String> {
    let RequestKind::Stream(n) = c.kind else { return None };
    if c.reply.status != 200 {
        return None;
    }
    let mut tags = HashSet::new();
    let mut count = 0;
    for event in c.reply.body.split_terminator("\n\n") {
        count += 1;
        let parts = event.split_once("\ndata: ");
        match parts.and_then(|(head, data)| Some((head, data.rsplit_once('-')?))) {
            Some((head, (tag, ix)))
                if head == format!("id: {count}") && ix == count.to_string() =>
            {
                tags.insert(tag);
            }
            _ => return Some(format!("event {count} is {event:?}")),
        }
    }
    if count > 0 && !c.reply.body.ends_with("\n\n") {
        return Some(format!("event {count} has no blank line"));
    }
    if tags.len() > 1 || tags.iter().any(|t| !t.starts_with(&c.id)) {
        return Some(format!("events of runs {tags:?}"));
    }
    (c.reply.complete && count != n).then(|| format!("complete after {count} of {n}"))
}

/// Checks that a replaced API key is refused and the new one accepted once the change must have
/// taken effect.
fn check_version(c: &CallRecord, history: &History) -> Option<String> {
    let is_in_force = |t: &Instant| *t + MAX_CHANGE_DELAY < c.sent;
    let newest = history.versions.iter().filter(|(_, t)| is_in_force(t)).map(|(v, _)| *v).max()?;
    let since = history.versions.iter().find(|(v, _)| *v == newest)?.1;
    if !history.is_fault_free(since, c.done) {
        return None;
    }
    let latest = history.versions.iter().filter(|(_, t)| *t <= c.sent).map(|(v, _)| *v).max()?;
    match c.reply.status {
        401 if c.version == latest && c.version == newest => {
            Some("refused with the API key in force".into())
        }
        200 if c.version < newest => {
            Some(format!("served with the replaced API key of version {}", c.version))
        }
        _ => None,
    }
}

/// Checks that a call that ran gets its whole response during planned work without other faults.
fn check_planned(c: &CallRecord, runs: usize, history: &History) -> Option<String> {
    let is_undisturbed =
        history.has_planned_work(c.sent, c.done) && history.is_fault_free(c.sent, c.done);
    let is_interrupted = c.reply.status == 0 || !c.reply.complete;
    let is_call = !matches!(c.kind, RequestKind::Stream(_));
    (is_undisturbed && is_interrupted && is_call && runs > 0)
        .then(|| "response interrupted by a planned stop or reload".to_owned())
}

/// Checks that a draining endpoint gets no new requests once the change must have taken effect.
fn check_drains(arrivals: &[Arrival], history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (endpoint, t) in &history.drained {
        let late = arrivals.iter().filter(|a| {
            a.endpoint == *endpoint
                && !a.resumed
                && a.at > *t + MAX_CHANGE_DELAY
                && history.is_fault_free(*t, a.at)
        });
        violations.extend(late.map(|a| Violation {
            promise: "drained",
            subject: a.id.clone(),
            observed: format!("reached {endpoint} {:?} after it started draining", a.at - *t),
        }));
    }
    violations
}

/// Checks that an instance which has passed on an answer of an endpoint that states that it is
/// leaving sends it no request that a caller sent later.
fn check_announced(
    arrivals: &[Arrival],
    calls: &HashMap<&str, &CallRecord>,
    history: &History,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (endpoint, since) in &history.announced {
        let at_endpoint = arrivals.iter().filter(|a| a.endpoint == *endpoint && !a.resumed);
        let known: Vec<(&Arrival, &CallRecord)> =
            at_endpoint.filter_map(|a| Some((a, *calls.get(a.id.as_str())?))).collect();
        for (a, c) in &known {
            let is_later = |(b, d): &&(&Arrival, &CallRecord)| {
                let is_passed_on = b.at > *since && d.reply.status == 200 && d.reply.complete;
                d.gateway == c.gateway
                    && is_passed_on
                    && c.sent > d.done + MAX_LEAVING_DELAY
                    && history.is_unbroken(c.gateway, d.done, a.at)
            };
            if let Some((_, d)) = known.iter().find(is_later) {
                violations.push(Violation {
                    promise: "announced",
                    subject: c.id.clone(),
                    observed: format!("reached {endpoint} {:?} after its notice", a.at - d.done),
                });
            }
        }
    }
    violations
}

/// Checks that an instance sends an endpoint nothing during a pause that it asked for.
fn check_pauses(
    arrivals: &[Arrival],
    calls: &HashMap<&str, &CallRecord>,
    history: &History,
) -> Vec<Violation> {
    let gateway = |a: &Arrival| calls.get(a.id.as_str()).map(|c| c.gateway);
    let mut violations = Vec::new();
    for asked in arrivals {
        let (Some(pause), Some(g)) = (asked.pause, gateway(asked)) else { continue };
        let (from, to) = (asked.at + PAUSE_SLACK, asked.at + pause);
        let during = arrivals.iter().filter(|a| {
            let is_same = a.endpoint == asked.endpoint && gateway(a) == Some(g) && !a.resumed;
            is_same && a.at > from && a.at < to
        });
        let count = during.count();
        if count > MAX_PAUSED_ARRIVALS && history.is_unbroken(g, asked.at, to) {
            let endpoint = &asked.endpoint;
            let observed = format!("{count} requests reached {endpoint} in a pause of {pause:?}");
            violations.push(Violation { promise: "pause", subject: asked.id.clone(), observed });
        }
    }
    violations
}

/// Checks that the requests of all gateways together keep to the limit that an endpoint states,
/// apart from those of gateways that were stopped, paused or restarted meanwhile.
fn check_limits(
    arrivals: &[Arrival],
    calls: &HashMap<&str, &CallRecord>,
    history: &History,
) -> Vec<Violation> {
    let (factor, extra) = LIMIT_ALLOWANCE;
    let mut violations = Vec::new();
    for l in &history.limits {
        let reached = arrivals.iter().filter(|a| a.endpoint == l.endpoint);
        let starts = reached.clone().map(|a| a.at).filter(|at| *at >= l.from + LIMIT_DELAY);
        let count = |from: Instant| {
            let to = from + LIMIT_WINDOW;
            let is_held_up = |(e, a, b): &(String, Instant, Instant)| {
                *e == l.endpoint && *a < to && *b + LINK_MARGIN > from
            };
            if to > l.to || history.links.iter().any(is_held_up) {
                return 0;
            }
            let is_counted = |a: &&Arrival| {
                let gateway = calls.get(a.id.as_str()).map(|c| c.gateway);
                a.at >= from
                    && a.at < to
                    && gateway.is_some_and(|g| !history.has_break(g, from, to))
            };
            reached.clone().filter(is_counted).count()
        };
        let most = starts.map(count).max().unwrap_or(0);
        let allowed = (factor * l.limit * LIMIT_WINDOW.as_secs_f64() + extra) as usize;
        if most > allowed {
            let observed = format!("{most} requests in 4 s at {}/s, {allowed} allowed", l.limit);
            let subject = l.endpoint.clone();
            violations.push(Violation { promise: "limit", subject, observed });
        }
    }
    violations
}

/// Checks that nothing new reaches the endpoints of an evacuated data centre.
fn check_evacuations(
    arrivals: &[Arrival],
    calls: &HashMap<&str, &CallRecord>,
    history: &History,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (centre, from, to) in &history.evacuations {
        let outages = history.outages.iter().filter(|(_, end)| end > from);
        let known = outages.fold(*from + EVACUATION_DELAY, |known, (start, end)| {
            if *start < known { known.max(*end + EVACUATION_DELAY) } else { known }
        });
        let late = arrivals.iter().filter(|a| {
            let gateway = calls.get(a.id.as_str()).map(|c| c.gateway);
            let is_there = history.centres.get(&a.endpoint) == Some(centre) && !a.resumed;
            let has_run = |g| !history.has_break(g, a.at - EVACUATION_DELAY, a.at);
            is_there && a.at > known && a.at < *to && gateway.is_some_and(has_run)
        });
        violations.extend(late.map(|a| Violation {
            promise: "evacuated",
            subject: a.id.clone(),
            observed: format!("reached {} {:?} after the request", a.endpoint, a.at - *from),
        }));
    }
    violations
}

/// Checks that a request is not refused for a part of its prompt that crashes no engine.
fn check_sound(c: &CallRecord) -> Option<String> {
    let is_refused = c.reply.status == 503 && c.reply.body.contains("of the prompt has crashed");
    (is_refused && !c.has_crash_part).then(|| format!("refused with {:?}", c.reply.body))
}

/// Checks that few requests with a part that crashes engines reach one, sent later than
/// [`CRASH_PART_DELAY`] after the fifth crash by instances that ran meanwhile.
fn check_crash_part(
    arrivals: &[Arrival],
    calls: &HashMap<&str, &CallRecord>,
    history: &History,
) -> Option<Violation> {
    let since = history.crash_part?;
    let known = arrivals.iter().filter_map(|a| Some((a, *calls.get(a.id.as_str())?)));
    let mut crashes: Vec<(&Arrival, &CallRecord)> =
        known.filter(|(a, c)| c.has_crash_part && a.ran && a.at >= since).collect();
    crashes.sort_by_key(|(a, _)| a.at);
    let fifth = crashes.get(4)?.0.at;
    let is_late = |(a, c): &&(&Arrival, &CallRecord)| {
        let is_running = history.breaks.iter().all(|(g, from, to)| {
            *g != c.gateway || *from > a.at || *to + CRASH_PART_DELAY < c.sent
        });
        c.sent > fifth + CRASH_PART_DELAY && is_running
    };
    let count = crashes.iter().filter(is_late).count();
    let trace = crashes.iter().map(|crash| {
        let (a, c) = crash;
        let ms = a.at.saturating_duration_since(since).as_millis();
        let late = if is_late(&crash) { " late" } else { "" };
        format!("{ms} ms {} from gateway {}, id {}{late}", a.endpoint, c.gateway, c.id)
    });
    (count > MAX_LATE_CRASHES).then(|| Violation {
        promise: "crash-part",
        subject: "all".into(),
        observed: format!(
            "{count} requests reached engines, {} crashes in all: {}",
            crashes.len(),
            trace.collect::<Vec<_>>().join("; ")
        ),
    })
}

/// Checks that in each window the retries of all gateways keep to what is allowed for each service.
/// Generations that resume on another engine count too.
fn check_retries(calls: &[CallRecord], by_id: &HashMap<&str, Vec<&Arrival>>) -> Vec<Violation> {
    let is_stream = |c: &&CallRecord| matches!(c.kind, RequestKind::Stream(_));
    let (streams, plain): (Vec<_>, Vec<_>) = calls.iter().partition(is_stream);
    let of_service = [("generations", streams), ("plain requests", plain)].into_iter();
    let exceeded = of_service.filter_map(|(name, calls)| {
        let observed = find_excess(&calls, by_id)?;
        Some(Violation { promise: "budget", subject: name.into(), observed })
    });
    exceeded.collect()
}

/// Describes the first window with more retries of these requests than allowed.
fn find_excess(calls: &[&CallRecord], by_id: &HashMap<&str, Vec<&Arrival>>) -> Option<String> {
    let RetryTerms { ratio, window, slack } = RetryTerms::DEFAULT;
    let mut retries = Vec::new();
    for arrivals in calls.iter().filter_map(|c| by_id.get(c.id.as_str())) {
        let mut times: Vec<Instant> = arrivals.iter().map(|a| a.at).collect();
        times.sort();
        retries.extend(times.into_iter().skip(1));
    }
    let is_within = |at: Instant, from: Instant| at >= from && at < from + window;
    retries.iter().find_map(|from| {
        let n = retries.iter().filter(|at| is_within(**at, *from)).count();
        let starts = [Some(*from), from.checked_sub(window / 2), from.checked_sub(window)];
        let sent = |start| calls.iter().filter(|c| is_within(c.sent, start)).count();
        let most = starts.into_iter().flatten().map(sent).max().unwrap_or(0);
        let limit = ratio * most as f64 + slack;
        (n as f64 > limit).then(|| format!("{n} retries in {window:?}, {limit} allowed"))
    })
}

/// Returns the number of requests by status.
pub fn statuses(calls: &[CallRecord]) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    calls.iter().for_each(|c| *counts.entry(c.reply.status).or_default() += 1);
    counts
}
