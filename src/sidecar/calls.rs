//! Calls to a plain service.

use super::{CONNECT_TIMEOUT, Sidecar, limits};
use crate::board::SidecarBoard;
use crate::clock;
use crate::event::Kind;
use crate::frame::{Answer, Call, CallKey, CallReply, Refusal, StatedLength};
use crate::h1::{self, Outbound};
use crate::once::{Ledger, Verdict};
use crate::platform;
use actix_http::body::BodySize;
use actix_http::header::CONTENT_TYPE;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Largest response body in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Runs a call or, if its key has a record in the ledger, returns the recorded outcome. A call with
/// a key that arrives while the sidecar is leaving or the service is down is sealed and does not
/// run.
pub async fn call(s: &Sidecar, call: Call) -> CallReply {
    let run = || SidecarBoard::count_call(&s.board, send(s, &call));
    let Some(key) = call.key.clone() else { return run().await };
    let verdict = {
        let may_run = !s.board.borrow().leaving && s.board.borrow().engine.alive;
        let mut ledger = s.ledger.borrow_mut();
        match may_run {
            true => ledger.begin(clock::now(), &key),
            false => Verdict::Answer(ledger.seal(clock::now(), &key)),
        }
    };
    match verdict {
        Verdict::Answer(reply) => {
            s.process.event(Kind::CallReplayed, key.hash, outcome_name(&reply));
            reply
        }
        Verdict::Run => {
            s.process.event(Kind::CallStarted, key.hash, "");
            let reply = Ledger::record_call(&s.ledger, &key, run()).await;
            s.process.event(Kind::CallDone, key.hash, outcome_name(&reply));
            reply
        }
    }
}

/// Seals a key that has not run, so that it never will; returns the outcome of a key that has.
pub fn seal(s: &Sidecar, key: &CallKey) -> CallReply {
    let reply = s.ledger.borrow_mut().seal(clock::now(), key);
    if matches!(reply, CallReply::NotRun(_)) {
        s.process.event(Kind::CallSealed, key.hash, "");
    }
    reply
}

fn outcome_name(reply: &CallReply) -> &'static str {
    match reply {
        CallReply::Done(_) => "done",
        CallReply::Ran => "ran",
        CallReply::Running => "running",
        CallReply::NotRun(_) => "not-run",
        CallReply::Unknown => "unknown",
        CallReply::Mismatch => "mismatch",
    }
}

async fn send(s: &Sidecar, call: &Call) -> CallReply {
    let content = (!call.content.is_empty()).then_some(&*call.content);
    let method = call.method.parse().ok();
    let head = method.and_then(|m| h1::request_head(s.engine, m, &call.path, content));
    let Some(head) = head else { return CallReply::NotRun(Refusal::NoEndpoint) };
    let arrived = clock::now();
    let left = Duration::from_millis(call.left);
    if !limits::wait_for_turn(s, left).await {
        return CallReply::NotRun(Refusal::Busy);
    }
    let sent_at = clock::now();
    let exchange = async {
        let body = Bytes::from(call.body.clone());
        let sent = Outbound::connect(s.engine, CONNECT_TIMEOUT, &s.codec, head, body).await;
        // Nothing has been sent after an error here; after a later one, the call may have run.
        let mut out = sent.map_err(|_| CallReply::NotRun(Refusal::Down))?;
        let head = out.read_head().await.map_err(|_| CallReply::Unknown)?;
        limits::record_response(s, sent_at, platform::parse_limit(head.headers()));
        let body = out.read_body(MAX_RESPONSE_BYTES).await.map_err(|_| CallReply::Unknown)?;
        let content = head.headers().get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
        Ok(Answer {
            status: head.status.as_u16(),
            content: Arc::from(content.unwrap_or("application/octet-stream")),
            body: body.to_vec(),
            omitted: out.stated_size().map(|size| match size {
                BodySize::Sized(n) => StatedLength::Bytes(n),
                _ => StatedLength::Unknown,
            }),
        })
    };
    let left = left.saturating_sub(sent_at.saturating_duration_since(arrived));
    match tokio::time::timeout(left, exchange).await {
        Ok(Ok(answer)) => CallReply::Done(answer),
        Ok(Err(reply)) => reply,
        Err(_) => CallReply::Unknown,
    }
}
