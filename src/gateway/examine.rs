//! Examines endpoints that may have crashed, and accuses the requests that may have caused it.

use super::job::Job;
use super::quarantine::{self, MAX_LOGGED_PARTS};
use super::{Gateway, suspects};
use crate::clock;
use crate::escape::log_value;
use crate::event::Kind;
use crate::h1::{Broken, SendError};
use crate::id::{EndpointId, Fingerprint, Incarnation};
use crate::platform::{self, CallError, Probe};
use crate::pool::PoolKey;
use crate::quarantine::{
    AccusedPart, Break, CrashId, Examination, LIFE_MARGIN, Listed, Look, LostRun, Next, RunEnd,
    RunKey, Scope, Sight, Standing, Verdict, service_tag,
};
use crate::task;
use std::cell::Cell;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time that an endpoint has to respond to a look.
const LOOK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which an endpoint that has crashed may be down.
const DOWN_MEMORY: Duration = Duration::from_secs(5);

/// Endpoints that were found down: the start, and when.
pub type Downs = HashMap<SocketAddr, (Incarnation, Instant)>;

/// Start of an endpoint that requests are sent to.
#[derive(Debug, Clone)]
pub struct Host {
    key: PoolKey,
    id: EndpointId,
    address: SocketAddr,
    started_ms: Option<u64>,
    /// Identifies the start to all instances.
    run: Incarnation,
    probe: Probe,
}

impl PartialEq for Host {
    fn eq(&self, other: &Self) -> bool {
        self.run == other.run
    }
}

impl Eq for Host {}

impl Hash for Host {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.run.hash(state);
    }
}

impl Host {
    /// Returns the start of an endpoint; `None` if it is not in the pool.
    pub fn find(gw: &Gateway, job: &Job, key: PoolKey) -> Option<Host> {
        let pool = gw.pool.borrow();
        let listing = &pool.endpoints.get(key)?.listing;
        let started = listing.started_ms.unwrap_or(0).to_le_bytes();
        let run = Incarnation(Fingerprint::of(&[listing.id.as_str().as_bytes(), &started]).0);
        let probe = job.spec.as_ref().map_or(Probe::Connection, |spec| {
            match (&spec.engine, &spec.health_path) {
                (Some(_), _) => Probe::Report,
                (None, Some(path)) => Probe::Health(path.clone()),
                (None, None) => Probe::Connection,
            }
        });
        Some(Host {
            key,
            id: listing.id.clone(),
            address: listing.address,
            started_ms: listing.started_ms,
            run,
            probe,
        })
    }

    fn listed(&self, gw: &Gateway) -> Listed {
        let pool = gw.pool.borrow();
        match pool.find(&self.id) {
            Some(key) if key == self.key => Listed::Same,
            Some(_) => Listed::Restarted,
            None => Listed::Gone,
        }
    }

    /// Returns whether the endpoint is known to be leaving. It then drops its requests without a crash.
    fn is_leaving(&self, gw: &Gateway) -> bool {
        gw.pool.borrow().endpoints.get(self.key).is_some_and(|e| e.is_leaving())
    }

    /// Asks the endpoint whether it has started again since.
    pub async fn is_restarted(&self, gw: &Gateway) -> bool {
        self.look(gw).await == Sight::Restarted
    }

    /// Asks the endpoint whether it has ended or started again since, though it was not leaving. One that
    /// does not respond may be cut off, and does not count.
    pub async fn has_crashed(&self, gw: &Gateway) -> bool {
        !self.is_leaving(gw) && matches!(self.look(gw).await, Sight::Refused | Sight::Restarted)
    }

    async fn look(&self, gw: &Gateway) -> Sight {
        match platform::probe(self.address, &self.probe, &gw.codec, LOOK_TIMEOUT).await {
            Ok(stated) => {
                let is_other = stated.id.is_some_and(|id| id != self.id)
                    || stated.started_ms.zip(self.started_ms).is_some_and(|(a, b)| a != b);
                if is_other { Sight::Restarted } else { Sight::Responding }
            }
            Err(e) => sight(&e),
        }
    }
}

/// Returns what a probe without a valid response shows.
fn sight(e: &CallError) -> Sight {
    use ErrorKind::{ConnectionRefused, ConnectionReset};
    match e {
        CallError::Unreached(SendError::Unreached(e)) if e.kind() == ConnectionRefused => {
            Sight::Refused
        }
        CallError::Unreached(SendError::Unreached(e)) if e.kind() == ConnectionReset => {
            Sight::Closed
        }
        CallError::Unreached(_) | CallError::Slow => Sight::Silent,
        CallError::Broken(broken) if broken.is_timeout() => Sight::Silent,
        CallError::Broken(Broken::Read(_) | Broken::Write(_) | Broken::Early) => Sight::Closed,
        CallError::Broken(Broken::Malformed(_) | Broken::NoMemory)
        | CallError::Malformed
        | CallError::Target => Sight::Unclear,
    }
}

/// Tracks a run at an endpoint until dropped.
#[derive(Debug)]
pub struct RunGuard {
    gw: Rc<Gateway>,
    host: Host,
    /// `None` for a request without shared parts.
    key: Option<RunKey>,
    end: Cell<RunEnd>,
}

impl RunGuard {
    /// Starts to track a run.
    pub fn new(gw: &Rc<Gateway>, job: &Job, host: Host) -> Self {
        let parts = job.meta.shared_parts.clone();
        let start = || gw.runs.borrow_mut().start(clock::now(), host.clone(), parts.clone());
        let key = (!parts.is_empty()).then(start);
        RunGuard { gw: gw.clone(), host, key, end: Cell::new(RunEnd::Broken) }
    }

    /// Returns the endpoint.
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// Records that the endpoint has begun to answer.
    pub fn record_head(&self) {
        let now = clock::now();
        self.gw.runs.borrow_mut().record_life(now, self.host.clone());
        if let Some(key) = self.key {
            self.gw.runs.borrow_mut().record_head(now, key);
        }
    }

    /// Records an event of the run.
    pub fn record_event(&self) {
        let now = clock::now();
        self.gw.runs.borrow_mut().record_life(now, self.host.clone());
        let Some(key) = self.key else { return };
        let sound = self.gw.runs.borrow_mut().record_event(now, key);
        sound.iter().for_each(|run| quarantine::record_sound(&self.gw, run));
    }

    /// Records that the response is complete; `is_framed` unless its end is that of the connection.
    pub fn complete(&self, is_framed: bool) {
        self.end.set(if is_framed { RunEnd::Whole } else { RunEnd::Unframed });
    }

    /// Stops to track a run that did not take place.
    pub fn discard(&mut self) {
        if let Some(key) = self.key.take() {
            self.gw.runs.borrow_mut().remove(key);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.gw.runs.borrow_mut().end(clock::now(), key, self.end.get());
        }
    }
}

/// What is known of an endpoint under examination.
#[derive(Debug)]
pub struct Check {
    /// How its connections broke.
    cause: Break,
    /// Contents of the runs that it has lost.
    lost: Vec<(Fingerprint, LostRun)>,
}

/// Endpoints under examination.
pub type Checks = HashMap<Host, Check>;

/// Returns how a connection broke.
pub fn cause(broken: Broken) -> Break {
    if broken.is_timeout() { Break::Unreachable } else { Break::Closed }
}

/// Has an endpoint examined in the background whose connection broke during a request that was sent
/// at `sent`.
pub fn check_crash(gw: &Rc<Gateway>, job: &Job, host: &Host, sent: Instant, cause: Break) {
    if host.is_leaving(gw) {
        return;
    }
    let ended = clock::now();
    let run = LostRun { sent, ended, service: Some(service_tag(&job.service)) };
    add_check(gw, host, cause, ended, vec![(quarantine::fingerprint(job), run)]);
}

/// Has the endpoints examined that nothing shows to have outlived a run.
pub fn check_unproven(gw: &Rc<Gateway>) {
    let unproven = {
        let quarantine = gw.quarantine.borrow();
        gw.runs.borrow().unproven(clock::now(), |p| quarantine.parts.is_accused(p))
    };
    for (host, ended) in unproven {
        if !host.is_leaving(gw) {
            add_check(gw, &host, Break::Ended, ended, Vec::new());
        }
    }
}

/// Adds runs that an endpoint has lost to its examination, and begins one if there is none.
fn add_check(
    gw: &Rc<Gateway>,
    host: &Host,
    cause: Break,
    broken: Instant,
    lost: Vec<(Fingerprint, LostRun)>,
) {
    let mut checks = gw.crash_checks.borrow_mut();
    if let Some(check) = checks.get_mut(host) {
        check.lost.extend(lost);
        if cause == Break::Closed {
            check.cause = cause;
        }
        return;
    }
    checks.insert(host.clone(), Check { cause, lost });
    let (gw, host) = (gw.clone(), host.clone());
    let examined = examine(gw.clone(), host.clone(), broken);
    // Another look at the endpoint would not begin otherwise.
    let forget = || async move { drop(gw.crash_checks.borrow_mut().remove(&host)) };
    task::spawn_or("examination", examined, forget);
}

/// Looks at an endpoint until it is known whether it has crashed.
async fn examine(gw: Rc<Gateway>, host: Host, broken: Instant) {
    let (first, mut examination) = (clock::now(), Examination::default());
    let mut looks = 0;
    let verdict = loop {
        let began = clock::now();
        let sight = host.look(&gw).await;
        looks += 1;
        let now = clock::now();
        let cause = gw.crash_checks.borrow().get(&host).map_or(Break::Ended, |c| c.cause);
        if sight != Sight::Refused && gw.runs.borrow().has_lived(&host, broken + LIFE_MARGIN) {
            break Verdict::Serving;
        }
        let look = Look { began, sight, listed: host.listed(&gw), cause };
        match examination.record(now, look) {
            Next::Look(after) => tokio::time::sleep(after).await,
            Next::Done(verdict) => break verdict,
        }
    };
    let outcome = verdict.to_string();
    let ms = clock::now().saturating_duration_since(first).as_millis();
    gw.event(Kind::Examined, &host.id, format_args!("outcome={outcome} looks={looks} ms={ms}"));
    metrics::counter!("examinations_total", "outcome" => outcome).increment(1);
    let check = gw.crash_checks.borrow_mut().remove(&host);
    match verdict {
        Verdict::Crashed => {
            let lost = check.map(|c| c.lost).unwrap_or_default();
            record_crash(&gw, &host, broken, lost);
        }
        Verdict::Serving => gw.runs.borrow_mut().record_life(clock::now(), host),
        Verdict::Unknown => {}
    }
}

/// Records that an endpoint has crashed at `at`, and accuses the requests that may have caused it.
/// Those that were sent to it later have found it down.
fn record_crash(gw: &Rc<Gateway>, host: &Host, at: Instant, lost: Vec<(Fingerprint, LostRun)>) {
    if is_still_down(gw, host, at) {
        return;
    }
    let answered = gw.runs.borrow().last_answered(host, at);
    let (id, known) = gw.quarantine.borrow().parts.identify_crash(host.run, at, answered);
    gw.quarantine.borrow_mut().parts.record_seen(clock::now(), id);
    accuse_runs(gw, host, known, id);
    let (lost, later): (Vec<_>, Vec<_>) = lost.into_iter().partition(|(_, run)| run.sent <= known);
    let contents = gw.quarantine.borrow_mut().record_lost(clock::now(), id, &lost);
    for (content, standing) in contents {
        let kind = if standing == Standing::Refused { Kind::Convicted } else { Kind::Suspected };
        let endpoint = log_value(host.id.as_str());
        gw.event(kind, content, format_args!("endpoint={endpoint} standing={standing:?}"));
    }
    quarantine::update(gw);
    suspects::send(gw, Scope::Changed);
    // Where it has begun to answer one of these, it came back and has crashed again.
    let answered = gw.runs.borrow().last_answered(host, clock::now());
    let broken = later.iter().map(|(_, run)| run.ended).min();
    if let Some(broken) = broken.filter(|_| answered.is_some_and(|sent| sent > known)) {
        add_check(gw, host, Break::Closed, broken, later);
    }
}

/// Returns whether nothing has come from an endpoint since it was found down a short while before
/// `at`. The list may name an earlier or a later start of it than then.
fn is_still_down(gw: &Gateway, host: &Host, at: Instant) -> bool {
    let mut downs = gw.downs.borrow_mut();
    downs.retain(|_, (_, down)| at < *down + DOWN_MEMORY);
    let down = downs.get(&host.address);
    down.is_some_and(|(known, down)| *known != host.run && !gw.runs.borrow().has_lived(host, *down))
}

/// Accuses the parts of the runs at an endpoint that may have caused its crash.
fn accuse_runs(gw: &Gateway, host: &Host, at: Instant, id: CrashId) {
    gw.downs.borrow_mut().insert(host.address, (host.run, at));
    let crashed = gw.runs.borrow_mut().accuse(host, at, id);
    let mut parts = {
        let mut quarantine = gw.quarantine.borrow_mut();
        let parts: &[AccusedPart] = &crashed.parts;
        let parts = quarantine.parts.record_crash(at, id, parts);
        crashed.requests.iter().for_each(|parts| quarantine.parts.record_request(parts));
        parts
    };
    if parts.is_empty() {
        return;
    }
    parts.sort_by_key(|(p, crashes)| (std::cmp::Reverse(*crashes), *p));
    let counts: Vec<String> =
        parts.iter().take(MAX_LOGGED_PARTS).map(|(p, n)| format!("{p}:{n}")).collect();
    let (count, most) = (parts.len(), counts.join(","));
    gw.event(Kind::Accused, &host.id, format_args!("parts={count} crashes={most}"));
}

/// Accuses the runs of this instance that may have caused crashes of which others tell. It may have
/// lost them for another reason, or not know yet that it has.
pub fn record_told(gw: &Gateway, crashes: &[(CrashId, Instant)]) {
    for (id, at) in crashes {
        let host = gw.runs.borrow().find(|host| host.run == id.0);
        if let Some(host) = host {
            accuse_runs(gw, &host, *at, *id);
        }
    }
}
