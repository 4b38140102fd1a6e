//! Checks the promises from what callers and endpoints saw.

use crate::platform::Reply;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

/// Time within which a change of configuration or of an endpoint is in force.
const IN_FORCE: Duration = Duration::from_millis(2300);
/// Time before and after a harmful fault within which bounds on time do not hold.
const CALM: Duration = Duration::from_millis(3000);
/// Share of requests that may be sent again, and how many besides.
const RETRIES: (f64, f64) = (0.2, 56.0);

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May be repeated.
    Safe,
    /// May not.
    Unsafe,
    /// A generation of so many events.
    Stream(u64),
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: RequestKind,
    /// Version whose key it carried.
    pub version: u64,
    /// When it was sent.
    pub sent: Instant,
    /// When its answer ended.
    pub done: Instant,
    /// What came back; status 0 where nothing did.
    pub reply: Reply,
}

/// One request at an endpoint.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its id.
    pub id: String,
    /// Endpoint.
    pub endpoint: String,
    /// When it came.
    pub at: Instant,
    /// Tells that the endpoint worked on it.
    pub ran: bool,
    /// Tells that it went on with a generation that had begun elsewhere.
    pub resumed: bool,
}

/// What happened, as far as the promises depend on it.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Faults that suspend bounds on time, with their ends.
    pub faults: Vec<(Instant, Instant)>,
    /// Planned stops and reloads, with their ends.
    pub planned: Vec<(Instant, Instant)>,
    /// Endpoints that began to leave.
    pub drained: Vec<(String, Instant)>,
    /// Versions of the configuration; each has a key of its own and drops the one before.
    pub versions: Vec<(u64, Instant)>,
}

impl History {
    fn is_calm(&self, from: Instant, to: Instant) -> bool {
        self.faults.iter().all(|(a, b)| *b + CALM < from || *a > to + CALM)
    }

    fn is_planned(&self, from: Instant, to: Instant) -> bool {
        self.planned.iter().any(|(a, b)| *a < to && *b > from)
    }
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// Request, endpoint or version.
    pub subject: String,
    /// What was seen.
    pub observed: String,
}

/// Returns every broken promise.
pub fn check(calls: &[CallRecord], arrivals: &[Arrival], events: &History) -> Vec<Violation> {
    let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    arrivals.iter().for_each(|a| by_id.entry(&a.id).or_default().push(a));
    let mut found = Vec::new();
    for c in calls {
        let arrived = by_id.get(c.id.as_str()).map_or(&[][..], Vec::as_slice);
        let runs = arrived.iter().filter(|a| a.ran && !a.resumed).count();
        let checks = [
            ("once", check_once(c, runs)),
            ("not-run", check_refusal(c, runs)),
            ("own-answer", check_answer(c)),
            ("in-order", check_stream(c)),
            ("intent", check_version(c, events)),
            ("planned", check_planned(c, runs, events)),
        ];
        let broken =
            checks.into_iter().filter_map(|(promise, observed)| Some((promise, observed?)));
        found.extend(broken.map(|(promise, observed)| Violation {
            promise,
            subject: c.id.clone(),
            observed,
        }));
    }
    let known: HashSet<&str> = calls.iter().map(|c| c.id.as_str()).collect();
    for id in by_id.keys().filter(|id| !known.contains(**id)) {
        let observed = "an endpoint got it and no caller sent it".to_owned();
        found.push(Violation { promise: "asked", subject: (*id).to_owned(), observed });
    }
    found.extend(check_drains(arrivals, events));
    found.extend(check_retries(calls, &by_id));
    found
}

fn check_once(c: &CallRecord, runs: usize) -> Option<String> {
    (c.kind != RequestKind::Safe && runs > 1).then(|| format!("ran {runs} times"))
}

fn check_refusal(c: &CallRecord, runs: usize) -> Option<String> {
    let is_promise = matches!(c.reply.status, 408 | 421 | 429 | 503);
    (c.kind != RequestKind::Safe && is_promise && runs > 0)
        .then(|| format!("answered {} and ran", c.reply.status))
}

fn check_answer(c: &CallRecord) -> Option<String> {
    if c.reply.status != 200 || !c.reply.complete {
        return None;
    }
    let seal = c.reply.header("x-replica-seal");
    if seal != Some(format!("s.{}", c.id).as_str()) {
        return Some(format!("sealed {seal:?}"));
    }
    let is_own = matches!(c.kind, RequestKind::Stream(_)) || c.reply.body == c.id;
    (!is_own).then(|| format!("body {:?}", c.reply.body))
}

fn check_stream(c: &CallRecord) -> Option<String> {
    let RequestKind::Stream(n) = c.kind else { return None };
    if c.reply.status != 200 {
        return None;
    }
    let mut tags = HashSet::new();
    let mut count = 0;
    for event in c.reply.body.split_terminator("\n\n") {
        count += 1;
        let (head, data) = event.split_once("\ndata: ")?;
        let (tag, ix) = data.rsplit_once('-')?;
        if head != format!("id: {count}") || ix != count.to_string() {
            return Some(format!("event {count} is {event:?}"));
        }
        tags.insert(tag);
    }
    if tags.len() > 1 || tags.iter().any(|t| !t.starts_with(&c.id)) {
        return Some(format!("events of {tags:?}"));
    }
    (c.reply.complete && count != n).then(|| format!("complete after {count} of {n}"))
}

/// Checks that a key that was dropped is refused, and a new one let in, once that is in force.
fn check_version(c: &CallRecord, events: &History) -> Option<String> {
    let in_force = |t: &Instant| *t + IN_FORCE < c.sent;
    let newest = events.versions.iter().filter(|(_, t)| in_force(t)).map(|(v, _)| *v).max()?;
    let first = events.versions.iter().find(|(v, _)| *v == newest)?.1;
    if !events.is_calm(first, c.done) {
        return None;
    }
    let sent = events.versions.iter().filter(|(_, t)| *t <= c.sent).map(|(v, _)| *v).max()?;
    match c.reply.status {
        401 if c.version == sent && c.version == newest => {
            Some("refused with a key in force".into())
        }
        200 if c.version < newest => Some(format!("served with a key of {}", c.version)),
        _ => None,
    }
}

/// Checks that a request that was passed on is answered, where nothing but planned work went on.
fn check_planned(c: &CallRecord, runs: usize, events: &History) -> Option<String> {
    let is_only = events.is_planned(c.sent, c.done) && events.is_calm(c.sent, c.done);
    let is_cut = c.reply.status == 0 || !c.reply.complete;
    let is_call = !matches!(c.kind, RequestKind::Stream(_));
    (is_only && is_cut && is_call && runs > 0).then(|| "cut by planned work".to_owned())
}

fn check_drains(arrivals: &[Arrival], events: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for (endpoint, t) in &events.drained {
        let late = arrivals.iter().filter(|a| {
            a.endpoint == *endpoint
                && !a.resumed
                && a.at > *t + IN_FORCE
                && events.is_calm(*t, a.at)
        });
        found.extend(late.map(|a| Violation {
            promise: "drained",
            subject: a.id.clone(),
            observed: format!("reached {endpoint} {:?} after it began to leave", a.at - *t),
        }));
    }
    found
}

fn check_retries(calls: &[CallRecord], by_id: &HashMap<&str, Vec<&Arrival>>) -> Option<Violation> {
    let fresh = |v: &Vec<&Arrival>| v.iter().filter(|a| !a.resumed).count();
    let again: usize = by_id.values().map(|v| fresh(v).saturating_sub(1)).sum();
    let most = RETRIES.0 * calls.len() as f64 + RETRIES.1;
    let observed = format!("{again} sent again of {}", calls.len());
    (again as f64 > most).then(|| Violation { promise: "budget", subject: "all".into(), observed })
}

/// Counts the requests by status.
pub fn statuses(calls: &[CallRecord]) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    calls.iter().for_each(|c| *counts.entry(c.reply.status).or_default() += 1);
    counts
}
