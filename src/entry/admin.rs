//! Operator API below `/admin/`: submit and show the intent, status, and timeline.

use super::{Entry, links, sync};
use crate::escape::log_value;
use crate::event::{Event, Filter, Kind};
use crate::frame::{Reply, Request};
use crate::http::{self, Body, Incoming};
use crate::id::IntentVersion;
use crate::intent::{Submission, Submitted, read_version, submit};
use crate::peer::Link;
use crate::problem::{Problem, ProblemKind};
use crate::text::Text;
use actix_http::{Method, Response};
use serde_json::json;
use sha2::{Digest, Sha256};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for fetching the events of one process.
const EVENTS_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of events in one timeline response; the newest are kept.
const MAX_EVENTS: usize = 20_000;

/// Answers an operator's request for the resource `rest` below `/admin/`.
///
/// # Errors
///
/// Returns a problem if the operator's key is unknown, the request is malformed, or the store does
/// not answer.
pub async fn answer(e: &Rc<Entry>, req: &Incoming, rest: &str) -> Result<Response<Body>, Problem> {
    let operator = authenticate_operator(e, req)?;
    match (&req.method, rest) {
        (&Method::POST, "intent") => submit_intent(e, req, operator).await,
        (&Method::GET, "intent") => show_intent(e, req).await,
        (&Method::GET, "status") => Ok(status(e)),
        (&Method::GET, "timeline") => timeline(e, req).await,
        _ => Err(Problem::new(ProblemKind::NotFound, format!("no resource at /admin/{rest}"))),
    }
}

fn authenticate_operator(e: &Entry, req: &Incoming) -> Result<Arc<str>, Problem> {
    let hash: Option<[u8; 32]> = req.bearer_token().map(|k| Sha256::digest(k.as_bytes()).into());
    let operators = &e.process.settings.operators;
    let found = operators.iter().find(|o| Some(o.key_hash) == hash);
    let unknown = || Problem::new(ProblemKind::Unauthorized, "operator key is missing or unknown");
    found.map(|o| o.name.clone()).ok_or_else(unknown)
}

async fn submit_intent(
    e: &Rc<Entry>,
    req: &Incoming,
    operator: Arc<str>,
) -> Result<Response<Body>, Problem> {
    let malformed = |detail: &str| Problem::new(ProblemKind::Malformed, detail);
    let from = req.query_param("from").and_then(|n| n.parse::<IntentVersion>().ok());
    let from =
        from.ok_or_else(|| malformed("query parameter from=VERSION is missing or not a number"))?;
    let text = std::str::from_utf8(&req.body)
        .map_err(|_| malformed("submitted text is not valid UTF-8"))?;
    if let Err(faults) = Text::parse(text) {
        let lines: Vec<String> = faults.iter().map(|f| f.to_string()).collect();
        return Err(Problem::new(ProblemKind::Invalid, lines.join("\n")));
    }
    let submission =
        Submission { text: Arc::from(text), from, who: operator, when: sync::wall_seconds() };
    let outcome = submit(&e.store, e.process.version(), &submission).await;
    let (status, body) = match &outcome {
        Submitted::Accepted(v) => {
            e.process.event(Kind::Accepted, v, format_args!("who={}", log_value(&submission.who)));
            (200, json!({ "result": "accepted", "version": v.0 }))
        }
        Submitted::Conflict(head) => {
            e.process.event(Kind::Rejected, from, format_args!("newest={}", head.version));
            let newest = json!({ "version": head.version.0, "who": &*head.who, "when": head.when });
            (409, json!({ "result": "conflict", "newest": newest }))
        }
        Submitted::NotWritten(error) => {
            let reason = format!("{error:?}");
            (503, json!({ "result": "not-written", "why": reason }))
        }
        Submitted::Unknown => (502, json!({ "result": "unknown" })),
    };
    Ok(http::json_response(status, &body))
}

async fn show_intent(e: &Rc<Entry>, req: &Incoming) -> Result<Response<Body>, Problem> {
    let unreadable = |e| {
        let detail = format!("store did not return the requested version: {e:?}");
        Problem::new(ProblemKind::StoreUnavailable, detail)
    };
    let Some(version) = req.query_param("version") else {
        let (version, text) = {
            let intent = e.process.intent.borrow();
            (intent.version(), intent.source())
        };
        return Ok(http::json_response(200, &json!({ "version": version.0, "text": text })));
    };
    let version = version
        .parse()
        .map_err(|_| Problem::new(ProblemKind::Malformed, "version is not a number"))?;
    let found = read_version(&e.store, version).await.map_err(unreadable)?;
    let missing = || Problem::new(ProblemKind::NotFound, "requested version does not exist");
    let (head, text) = found.ok_or_else(missing)?;
    Ok(http::json_response(
        200,
        &json!({
            "version": head.version.0, "who": &*head.who, "when": head.when, "text": text
        }),
    ))
}

fn status(e: &Entry) -> Response<Body> {
    let board = e.board.borrow();
    let endpoints: Vec<_> = board
        .endpoints
        .values()
        .map(|x| {
            let latest = x.latest.as_ref();
            json!({
                "instance": x.instance.as_str(),
                "data_centre": x.centre.as_str(),
                "serving": x.is_serving(),
                "listed": x.listed,
                "linked": x.linked,
                "ejected": x.health.ejected_until.is_some(),
                "version": e.links.borrow().get(&x.instance).map(|l| l.version().0),
                "pool": latest.map(|l| l.report.pool.clone()),
                "loaded": latest.map(|l| l.report.loaded.clone()),
                "running": latest.map(|l| l.report.running),
                "waiting": latest.map(|l| l.report.waiting),
                "capacity": latest.map(|l| l.report.capacity),
                "forecast": latest.map(|l| l.report.forecast),
            })
        })
        .collect();
    let peers = e.peer_versions.borrow();
    let entries: Vec<_> = board
        .entries
        .iter()
        .map(|p| {
            json!({
                "instance": p.instance.as_str(),
                "version": peers.get(&p.instance).map(|v| v.0),
            })
        })
        .collect();
    http::json_response(
        200,
        &json!({
            "instance": e.process.settings.instance.as_str(),
            "version": e.process.version().0,
            "open": e.active_requests.get(),
            "entries": entries,
            "endpoints": endpoints,
        }),
    )
}

/// Merges the events of all reachable processes in the order of their timestamps.
///
/// `missing` in the response counts the processes that did not answer in time.
async fn timeline(e: &Rc<Entry>, req: &Incoming) -> Result<Response<Body>, Problem> {
    let kind = match req.query_param("kind") {
        Some(k) => {
            let unknown =
                || Problem::new(ProblemKind::Malformed, format!("unknown event kind {k}"));
            Some(Kind::find(&k).ok_or_else(unknown)?)
        }
        None => None,
    };
    let filter = Filter { subject: req.query_param("subject").map(Arc::from), kind };
    let mut events = e.process.ring.borrow().select(&filter, MAX_EVENTS);
    let endpoints: Vec<_> = e.board.borrow().endpoints.keys().collect();
    let entries: Vec<_> = e.board.borrow().entries.iter().map(|p| p.peer).collect();
    let from_endpoints = endpoints.into_iter().map(|key| {
        let filter = filter.clone();
        async move {
            let link = links::get_or_open(e, key)?.connection()?;
            fetch_events(e, &link, filter).await
        }
    });
    let from_entries = entries.into_iter().map(|address| {
        let filter = filter.clone();
        async move { fetch_events(e, &Link::dial(address).ok()?, filter).await }
    });
    let (a, b) = futures_util::join!(
        futures_util::future::join_all(from_endpoints),
        futures_util::future::join_all(from_entries)
    );
    let missing = a.iter().chain(&b).filter(|x| x.is_none()).count();
    events.extend(a.into_iter().chain(b).flatten().flatten());
    events.sort_by_key(|x| x.at);
    let skip = events.len().saturating_sub(MAX_EVENTS);
    let lines: Vec<String> = events[skip..].iter().map(Event::to_string).collect();
    Ok(http::json_response(200, &json!({ "missing": missing, "events": lines })))
}

async fn fetch_events(e: &Entry, link: &Link, filter: Filter) -> Option<Vec<Event>> {
    let reply = e.process.request(link, Request::Events(filter), EVENTS_TIMEOUT).await.ok()?;
    match reply.body {
        Reply::Events(events) => Some(events),
        _ => None,
    }
}
