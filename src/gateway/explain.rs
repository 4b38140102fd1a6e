//! Answers what would happen to a request now, without sending it.

use super::job::Job;
use super::{Gateway, begin, call, quarantine};
use crate::admit::Place;
use crate::clock;
use crate::explain::{self, Admission, Explanation, Outcome};
use crate::h1::Head;
use crate::platform;
use crate::pool::Availability;
use crate::problem::{Problem, ProblemKind};
use crate::speed::Slowness;
use actix_http::{Response, StatusCode};
use bytes::Bytes;

/// Returns the response to a question about a request, which has the request's own headers, and its
/// path after the prefix for questions.
pub fn answer(gw: &Gateway, req: Head, path: &str) -> (Response<()>, Bytes) {
    let (status, body) = match explain(gw, req, path) {
        // Serialization of numbers and text cannot fail.
        Ok(explanation) => {
            (StatusCode::OK, serde_json::to_vec(&explanation).unwrap_or_default().into())
        }
        Err(problem) => {
            let status = StatusCode::from_u16(problem.kind.status());
            (status.unwrap_or(StatusCode::BAD_REQUEST), problem.to_json().into())
        }
    };
    (Response::with_body(status, ()), body)
}

fn explain(gw: &Gateway, req: Head, path: &str) -> Result<Explanation, Problem> {
    let now = clock::now();
    let uri = path
        .parse()
        .map_err(|e| Problem::new(ProblemKind::Malformed, format!("the path is not valid: {e}")))?;
    let req = req.with_uri(uri);
    let mut meta = platform::parse_request(&req);
    if let Some(workspace) = platform::asked_workspace(&req) {
        let table = gw.table.borrow();
        let key = table.as_ref().and_then(|t| t.key_of(&workspace));
        meta.key = Some(key.map(Box::from).ok_or_else(|| {
            let detail = format!("workspace {workspace} is unknown or has no API key");
            Problem::new(ProblemKind::Unauthorized, detail)
        })?);
    }
    let job = Job::new(gw, now, req, Bytes::new(), meta)?;
    let queued = gw.queue.borrow().len(&job.service);
    let place = begin::place_of_new(gw, &job);
    let (choices, mut outcome) = match job.engine() {
        Some(_) => explain_generation(gw, &job, place),
        None => explain_call(gw, &job),
    };
    if quarantine::must_wait(gw, &job) {
        outcome = Outcome::Waits;
    }
    if let Err(problem) = quarantine::check(gw, &job) {
        outcome = explain::refused(problem.retry_after, &problem.detail);
    }
    let millis = |t: std::time::Duration| u64::try_from(t.as_millis()).unwrap_or(u64::MAX);
    Ok(Explanation {
        service: job.service.clone(),
        prefix: Box::from(&*job.route.prefix),
        urgency: job.urgency().0,
        timeout_ms: millis(job.time_left(now)),
        target_ms: millis(job.route.target_latency),
        gap_ms: millis(job.route.max_gap),
        tolerated: job.tolerated(gw, now).map(Slowness::percent),
        queued,
        ahead: Some(place.ahead),
        choices,
        outcome,
    })
}

fn explain_generation(gw: &Gateway, job: &Job, place: Place) -> (Vec<explain::Choice>, Outcome) {
    let now = clock::now();
    let (candidate, rate) = (job.candidate(gw, now), job.prefill_rate(gw));
    let admission = Admission { candidate: &candidate, rate: &rate };
    let settings = gw.settings.borrow();
    let choices = explain::choices(
        now,
        &gw.pool.borrow(),
        &job.need(gw, now, &settings.centre),
        Some(admission),
    );
    let decision = job.decide(gw, now, place.ahead, &[]);
    (choices, explain::outcome_of(decision, place, &gw.pool.borrow()))
}

fn explain_call(gw: &Gateway, job: &Job) -> (Vec<explain::Choice>, Outcome) {
    let now = clock::now();
    let settings = gw.settings.borrow();
    let choices =
        explain::choices(now, &gw.pool.borrow(), &job.need(gw, now, &settings.centre), None);
    let best = choices.iter().find(|c| c.exclusion.is_none());
    let outcome = match best {
        Some(best) => Outcome::Sent(best.endpoint.clone()),
        None => match gw.pool.borrow().availability(&job.service) {
            Availability::At(end) if end + job.route.target_latency <= job.deadline => {
                Outcome::Waits
            }
            _ => {
                let problem = call::not_run_problem(gw, job, 0);
                explain::refused(problem.retry_after, &problem.detail)
            }
        },
    };
    (choices, outcome)
}
