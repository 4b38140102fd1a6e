//! Detects requests that crash endpoints, and refuses repeats of them and requests that share the
//! cause.

use super::job::Job;
use super::{Gateway, jitter, peers, refusals};
use crate::clock;
use crate::event::Kind;
use crate::frame::{Gossip, Refusal};
use crate::gossip::PeerMessage;
use crate::id::{EndpointId, Fingerprint, Incarnation, PartId};
use crate::platform;
use crate::pool::PoolKey;
use crate::problem::{Problem, ProblemKind};
use crate::quarantine::{LostRun, MAX_CRASHES, RefusedParts, RunKey, Scope, Standing, service_tag};
use actix_rt::net::TcpStream;
use std::cell::Cell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

/// Longest time to connect to an endpoint that may have crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which an endpoint that cannot serve closes a new connection.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(40);
/// Time in which an instance that has started learns of the others and their keys.
const PEER_START_TIME: Duration = Duration::from_millis(700);
/// Interval between two messages about accused and refused parts.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bound of the random extension of a retry delay, as a share of it.
const MAX_RETRY_EXTENSION: f64 = 0.2;
/// Interval at which a request checks whether it still waits for the trial of a part.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Least time for which a request waits for the trial of a part, also past its target: a crash settles
/// and a run turns sound within it.
const MIN_TRIAL_WAIT: Duration = Duration::from_millis(800);
/// Most parts in one log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Contents of the requests whose connections to an endpoint broke, until it has been checked.
pub type CrashChecks = HashMap<PoolKey, Vec<(Fingerprint, LostRun)>>;

/// Tracks a run at an endpoint until dropped.
#[derive(Debug)]
pub struct RunGuard {
    gw: Rc<Gateway>,
    /// `None` for a request without shared parts.
    key: Option<RunKey>,
    is_whole: Cell<bool>,
}

impl RunGuard {
    /// Starts to track a run.
    pub fn new(gw: &Rc<Gateway>, job: &Job, endpoint: PoolKey) -> Self {
        let parts = job.meta.shared_parts.clone();
        let key =
            (!parts.is_empty()).then(|| gw.runs.borrow_mut().start(clock::now(), endpoint, parts));
        RunGuard { gw: gw.clone(), key, is_whole: Cell::new(false) }
    }

    /// Records that the endpoint has begun to answer.
    pub fn record_head(&self) {
        if let Some(key) = self.key {
            self.gw.runs.borrow_mut().record_head(clock::now(), key);
        }
    }

    /// Records an event of the run.
    pub fn record_event(&self) {
        let Some(key) = self.key else { return };
        let sound = self.gw.runs.borrow_mut().record_event(clock::now(), key);
        sound.iter().for_each(|parts| record_sound(&self.gw, parts));
    }

    /// Records that the response is complete.
    pub fn complete(&self) {
        self.is_whole.set(true);
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
            self.gw.runs.borrow_mut().end(clock::now(), key, self.is_whole.get());
        }
    }
}

/// Identifies the content of a request by what its endpoint is given: repeats of it have the same
/// method, host, path, query, workspace and body. A workspace may have several API keys, of which
/// endpoints learn nothing; without a workspace the key tells callers apart.
fn fingerprint(job: &Job) -> Fingerprint {
    let target = job.req.uri().path_and_query().map_or("", |target| target.as_str());
    let host = platform::host(&job.req).to_ascii_lowercase();
    let (kind, caller) = match &job.workspace {
        Some(owner) => ("workspace", owner.workspace.as_str()),
        None => ("key", job.meta.key.as_deref().unwrap_or("")),
    };
    let head = [job.req.method().as_str(), &host, target, kind, caller].map(str::as_bytes);
    let [method, host, target, kind, caller] = head;
    Fingerprint::of(&[method, host, target, kind, caller, &job.body])
}

/// Refuses a request whose content or whose part has crashed too many endpoints.
///
/// # Errors
///
/// Returns a problem if the request is quarantined. It has not run.
pub fn check(gw: &Gateway, job: &Job) -> Result<(), Problem> {
    let quarantine = gw.quarantine.borrow();
    let until = quarantine.has_suspects().then(|| quarantine.refused_until(&fingerprint(job)));
    if let Some(until) = until.flatten() {
        let detail =
            format!("the request has crashed {MAX_CRASHES} endpoints, the limit is {MAX_CRASHES}");
        return Err(Problem::new(ProblemKind::Quarantined, detail).retry_after(time_left(until)));
    }
    match quarantine.parts.find_refused(&job.meta.shared_parts) {
        Some(refused) => Err(refusal(refused)),
        None => Ok(()),
    }
}

/// Returns the jittered time until a refusal ends.
fn time_left(until: Instant) -> Duration {
    let left = until.saturating_duration_since(clock::now());
    left.mul_f64(1.0 + rand::random::<f64>() * MAX_RETRY_EXTENSION)
}

/// Returns whether a request has to wait because one of its parts is tried.
pub fn must_wait(gw: &Gateway, job: &Job) -> bool {
    let (quarantine, parts) = (gw.quarantine.borrow(), &job.meta.shared_parts);
    let single = quarantine.parts.find_single(parts);
    let is_running = |part| gw.runs.borrow().is_running(clock::now(), part);
    quarantine.parts.is_held(parts) || single.is_some_and(is_running)
}

/// Waits until a request does not have to wait for the trial of a part.
///
/// # Errors
///
/// Returns a problem once the request is quarantined, or has waited for as long as it should take to
/// begin. Callers that go on with other requests show more than callers that wait.
pub async fn wait_for_trial(gw: &Gateway, job: &Job) -> Result<(), Problem> {
    gw.quarantine.borrow_mut().parts.record_request(&job.meta.shared_parts);
    let end = (job.received + job.route.target_latency).max(clock::now() + MIN_TRIAL_WAIT);
    loop {
        check(gw, job)?;
        if !must_wait(gw, job) {
            return Ok(());
        }
        let now = clock::now();
        if now >= end || job.time_left(now).is_zero() {
            let detail = "engines crash, and a part of the prompt that may be the cause is tried";
            return Err(job.refusal(now, ProblemKind::Refused(Refusal::Busy), detail));
        }
        tokio::time::sleep(jitter(TRIAL_POLL_INTERVAL)).await;
    }
}

/// Returns whether a request whose engine has crashed may be sent to another one.
pub fn may_rerun(gw: &Gateway, job: &Job) -> bool {
    let is_suspect = gw.quarantine.borrow().parts.is_suspect(&job.meta.shared_parts);
    check(gw, job).is_ok() && !is_suspect && !must_wait(gw, job)
}

fn refusal(refused: &RefusedParts) -> Problem {
    let detail = format!(
        "part {} of the prompt has crashed {} engines, the limit is {MAX_CRASHES}",
        join(refused.parts.iter()),
        refused.crashes,
    );
    Problem::new(ProblemKind::Quarantined, detail).retry_after(time_left(refused.until))
}

fn join<'a>(parts: impl Iterator<Item = &'a PartId>) -> String {
    let parts: Vec<String> = parts.take(MAX_LOGGED_PARTS).map(PartId::to_string).collect();
    parts.join("+")
}

/// Checks in the background whether an endpoint whose connection broke during a request that was
/// sent at `sent` has crashed, and if so accuses the requests that may have caused it.
pub fn check_crash(gw: &Rc<Gateway>, job: &Job, key: PoolKey, sent: Instant) {
    let found = gw.pool.borrow().endpoints.get(key).map(|e| {
        let started = e.listing.started_ms.unwrap_or(0).to_le_bytes();
        let incarnation = Fingerprint::of(&[e.listing.id.as_str().as_bytes(), &started]).0;
        let id = e.listing.id.clone();
        (
            Suspected { id, address: e.listing.address, run: Incarnation(incarnation) },
            e.is_leaving(),
        )
    });
    // A leaving endpoint drops its requests without having crashed.
    let Some((endpoint, false)) = found else { return };
    let mut checks = gw.crash_checks.borrow_mut();
    let is_under_way = checks.contains_key(&key);
    let run = LostRun { sent, ended: clock::now(), service: Some(service_tag(&job.service)) };
    checks.entry(key).or_default().push((fingerprint(job), run));
    if !is_under_way {
        actix_rt::spawn(check_endpoint(gw.clone(), key, endpoint));
    }
}

/// Endpoint that may have crashed.
struct Suspected {
    id: EndpointId,
    address: SocketAddr,
    /// Identifies the run of the endpoint to all instances.
    run: Incarnation,
}

async fn check_endpoint(gw: Rc<Gateway>, key: PoolKey, endpoint: Suspected) {
    let is_crashed = is_down(endpoint.address).await;
    let outcome = if is_crashed { "crashed" } else { "serving" };
    gw.event(Kind::Examined, &endpoint.id, format_args!("outcome={outcome}"));
    metrics::counter!("examinations_total", "outcome" => outcome).increment(1);
    let contents = gw.crash_checks.borrow_mut().remove(&key).unwrap_or_default();
    if !is_crashed {
        return;
    }
    let crashed = gw.runs.borrow_mut().take_crashed(key);
    let (contents, mut parts) = {
        let (now, mut quarantine) = (clock::now(), gw.quarantine.borrow_mut());
        let number = quarantine.parts.crash_number(endpoint.run, crashed.answered);
        let parts = quarantine.parts.record_crash(now, (endpoint.run, number), &crashed.parts);
        crashed.requests.iter().for_each(|parts| quarantine.parts.record_request(parts));
        (quarantine.record_lost(now, (endpoint.run, number), &contents), parts)
    };
    for (content, standing) in contents {
        let kind = if standing == Standing::Refused { Kind::Convicted } else { Kind::Suspected };
        gw.event(kind, content, format_args!("endpoint={} standing={standing:?}", endpoint.id));
    }
    parts.sort_by_key(|(p, crashes)| (std::cmp::Reverse(*crashes), *p));
    let counts: Vec<String> =
        parts.iter().take(MAX_LOGGED_PARTS).map(|(p, n)| format!("{p}:{n}")).collect();
    if !parts.is_empty() {
        let (count, most) = (parts.len(), counts.join(","));
        gw.event(Kind::Accused, &endpoint.id, format_args!("parts={count} crashes={most}"));
    }
    update(&gw);
    send_gossip(&gw, Scope::Changed);
}

/// Returns whether an endpoint refuses connections or closes them at once. One that does not
/// answer may be cut off from this instance, and has not shown that it crashed.
async fn is_down(address: SocketAddr) -> bool {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(mut io)) => timeout(CLOSE_TIMEOUT, io.read(&mut [0])).await.is_ok(),
        Ok(Err(e)) => matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset),
        Err(_) => false,
    }
}

fn record_sound(gw: &Gateway, parts: &[PartId]) {
    let cleared = gw.quarantine.borrow_mut().parts.record_sound(clock::now(), parts);
    for (part, crashes) in cleared.into_iter().filter(|(_, crashes)| *crashes > 1) {
        gw.event(Kind::Cleared, part, format_args!("crashes={crashes}"));
    }
}

/// Brings what is accused and refused up to date; called at short intervals.
pub fn step(gw: &Gateway) {
    let sound = gw.runs.borrow_mut().step(clock::now());
    gw.quarantine.borrow_mut().forget(clock::now());
    sound.iter().for_each(|parts| record_sound(gw, parts));
    update(gw);
}

fn update(gw: &Gateway) {
    let before = gw.quarantine.borrow().parts.held();
    let undecided = gw.quarantine.borrow().parts.undecided();
    let new = gw.quarantine.borrow_mut().parts.step(clock::now());
    let held = gw.quarantine.borrow().parts.held();
    if let Some((part, released)) = held.filter(|_| held != before) {
        let released = released.map_or("-".to_owned(), |part| part.to_string());
        gw.event(Kind::Tried, part, format_args!("released={released}"));
    }
    if before.and_then(|(_, released)| released) != held.and_then(|(_, released)| released) {
        // Requests with a part that is refused again have to stop waiting for their engines.
        gw.parts_changed.notify_waiters();
    }
    for refused in &new {
        let detail = format_args!("crashes={}", refused.crashes);
        gw.event(Kind::Convicted, join(refused.parts.iter()), detail);
    }
    let doubt = gw.quarantine.borrow().parts.undecided().filter(|now| Some(*now) != undecided);
    if let Some((part, crashes, why)) = doubt {
        gw.event(Kind::Undecided, part, format_args!("crashes={crashes} why={why}"));
    }
    let count = gw.quarantine.borrow().parts.refused().len();
    metrics::gauge!("refused_parts").set(count as f64);
    if !new.is_empty() {
        gw.parts_changed.notify_waiters();
    }
    refusals::wake_publisher(gw);
}

/// Returns once a request is quarantined. Does not return before.
pub async fn refused(gw: &Gateway, job: &Job) {
    loop {
        let changed = gw.parts_changed.notified();
        if check(gw, job).is_err() {
            return;
        }
        changed.await;
    }
}

/// Sends what other instances need to know, at intervals: each instance what has changed there, and
/// those that follow the store what is refused. Does not return.
pub async fn run_gossip(gw: Rc<Gateway>) {
    loop {
        tokio::time::sleep(jitter(GOSSIP_INTERVAL)).await;
        let scope = if peers::is_reader(&gw) { Scope::Refused } else { Scope::Changed };
        send_gossip(&gw, scope);
    }
}

/// Tells an instance that has started what this one knows, if it follows the store.
pub fn inform_started(gw: &Rc<Gateway>, to: SocketAddr) {
    let gw = gw.clone();
    actix_rt::spawn(async move {
        tokio::time::sleep(PEER_START_TIME).await;
        if !peers::is_reader(&gw) {
            return;
        }
        let messages = gw.quarantine.borrow_mut().messages(clock::now(), Scope::All);
        for gossip in messages {
            peers::send(&gw, &[to], PeerMessage::Quarantine(gossip));
        }
    });
}

fn send_gossip(gw: &Gateway, scope: Scope) {
    let messages = gw.quarantine.borrow_mut().messages(clock::now(), scope);
    messages.into_iter().for_each(|gossip| peers::send_suspects(gw, gossip));
}

/// Merges the suspects and cleared contents reported by another instance.
pub fn merge(gw: &Gateway, gossip: &Gossip) {
    gw.quarantine.borrow_mut().merge(clock::now(), gossip);
    update(gw);
}

/// Clears the content of a request that ran to completion of the crashes at its service.
pub fn clear(gw: &Gateway, job: &Job) {
    let mut quarantine = gw.quarantine.borrow_mut();
    if quarantine.has_suspects() {
        quarantine.clear(clock::now(), &fingerprint(job), Some(service_tag(&job.service)));
    }
}
