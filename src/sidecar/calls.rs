//! Calls to a plain service.

use super::Sidecar;
use crate::clock;
use crate::event::Kind;
use crate::frame::{Answer, Call, CallKey, CallReply, Refusal};
use crate::once::Verdict;
use awc::error::SendRequestError;
use std::sync::Arc;
use std::time::Duration;

/// Largest response body in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Runs a call or, if its key has a record in the ledger, returns the recorded outcome. A call with
/// a key that arrives while the sidecar is leaving or the service is down is sealed and does not
/// run.
pub async fn call(s: &Sidecar, call: Call) -> CallReply {
    let Some(key) = call.key.clone() else { return run(s, &call).await };
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
            let reply = run(s, &call).await;
            s.ledger.borrow_mut().finish(&key, reply.clone());
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

/// Sends a call and counts it as in progress meanwhile.
async fn run(s: &Sidecar, call: &Call) -> CallReply {
    s.board.borrow_mut().calls += 1;
    let reply = send(s, call).await;
    s.board.borrow_mut().calls -= 1;
    reply
}

async fn send(s: &Sidecar, call: &Call) -> CallReply {
    let Ok(method) = call.method.parse::<awc::http::Method>() else {
        return CallReply::NotRun(Refusal::NoEndpoint);
    };
    let mut req = s.engine.client.request(method, s.engine.url(&call.path)).force_close();
    if !call.content.is_empty() {
        req = req.insert_header(("content-type", &*call.content));
    }
    let exchange = async {
        let mut res = req.send_body(call.body.clone()).await.map_err(|e| error_reply(&e))?;
        let body = res.body().limit(MAX_RESPONSE_BYTES).await.map_err(|_| CallReply::Unknown)?;
        let content = res.headers().get("content-type").and_then(|v| v.to_str().ok());
        Ok(Answer {
            status: res.status().as_u16(),
            content: Arc::from(content.unwrap_or("application/octet-stream")),
            body: body.to_vec(),
        })
    };
    match tokio::time::timeout(Duration::from_millis(call.left), exchange).await {
        Ok(Ok(answer)) => CallReply::Done(answer),
        Ok(Err(reply)) => reply,
        Err(_) => CallReply::Unknown,
    }
}

/// Returns the reply for a failed request. The call did not run if no connection was made; after
/// any other failure this is unknown.
fn error_reply(e: &SendRequestError) -> CallReply {
    match e {
        SendRequestError::Connect(_) | SendRequestError::Url(_) => CallReply::NotRun(Refusal::Down),
        _ => CallReply::Unknown,
    }
}
