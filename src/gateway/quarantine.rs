//! Detects requests that crash endpoints, and refuses repeats of them and requests that share the
//! cause.

use super::job::Job;
use super::{Gateway, examine, jitter, refusals};
use crate::clock;
use crate::event::Kind;
use crate::frame::Refusal;
use crate::id::{Fingerprint, PartId};
use crate::platform;
use crate::problem::{Problem, ProblemKind};
use crate::quarantine::{MAX_CRASHES, RefusedParts, SoundRun, service_tag};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Upper bound of the random extension of a retry delay, as a share of it.
const MAX_RETRY_EXTENSION: f64 = 0.2;
/// Interval at which a request checks whether it still waits for the trial of a part.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Least time for which a request waits for the trial of a part, also past its target: a crash settles
/// and a run turns sound within it.
const MIN_TRIAL_WAIT: Duration = Duration::from_millis(800);
/// Most parts in one log line.
pub const MAX_LOGGED_PARTS: usize = 8;

/// Identifies the content of a request by what its endpoint is given: repeats of it have the same
/// method, host, path, query, workspace and body. A workspace may have several API keys, of which
/// endpoints learn nothing; without a workspace the key tells callers apart.
pub fn fingerprint(job: &Job) -> Fingerprint {
    job.content(identify)
}

fn identify(job: &Job) -> Fingerprint {
    metrics::counter!("contents_identified_total").increment(1);
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

/// Records the parts of a request, refused or not, which show the parts that occur without each other.
pub fn note_request(gw: &Gateway, job: &Job) {
    gw.quarantine.borrow_mut().parts.record_request(&job.meta.shared_parts);
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

pub fn join<'a>(parts: impl Iterator<Item = &'a PartId>) -> String {
    let parts: Vec<String> = parts.take(MAX_LOGGED_PARTS).map(PartId::to_string).collect();
    parts.join("+")
}

/// Clears the parts of a run that was found sound.
pub fn record_sound(gw: &Gateway, run: &SoundRun) {
    let cleared = gw.quarantine.borrow_mut().parts.record_sound(clock::now(), run);
    for (part, crashes) in cleared.into_iter().filter(|(_, crashes)| *crashes > 1) {
        gw.event(Kind::Cleared, part, format_args!("crashes={crashes}"));
    }
}

/// Brings what is accused and refused up to date; called at short intervals.
pub fn step(gw: &Rc<Gateway>) {
    let sound = gw.runs.borrow_mut().step(clock::now());
    examine::check_unproven(gw);
    gw.quarantine.borrow_mut().forget(clock::now());
    sound.iter().for_each(|run| record_sound(gw, run));
    update(gw);
}

pub fn update(gw: &Gateway) {
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

/// Clears the content of a request that ran to completion of the crashes at its service.
pub fn clear(gw: &Gateway, job: &Job) {
    let mut quarantine = gw.quarantine.borrow_mut();
    if quarantine.has_suspects() {
        quarantine.clear(clock::now(), &fingerprint(job), Some(service_tag(&job.service)));
    }
}
