//! Relays tokens to callers, as server-sent events or in one document.

use super::Entry;
use super::generate::StartedGeneration;
use crate::event::Kind;
use crate::frame::{Batch, Finish};
use crate::http::{self, Body, Chunk};
use crate::id::{GenerationId, TokenId};
use crate::problem::{Problem, ProblemKind};
use actix_http::Response;
use bytes::Bytes;
use serde_json::{Value, json};
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Time without tokens after which an SSE comment shows the caller that the connection is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a stream whose caller does not read is cut off.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of batches and heartbeats that wait to be sent to a caller.
const MAX_QUEUED_BATCHES: usize = 32;

/// Format of a response.
#[derive(Debug, Clone)]
pub struct ResponseFormat {
    /// Service name, returned in the `model` field.
    pub service: Arc<str>,
    /// Whether the response has the chat completion format instead of the text completion format.
    pub chat: bool,
}

impl ResponseFormat {
    fn chunk(&self, generation: &GenerationId, text: &str, finish: Option<&str>) -> Value {
        let (object, choice) = if self.chat {
            let delta = if text.is_empty() { json!({}) } else { json!({ "content": text }) };
            (
                "chat.completion.chunk",
                json!({ "index": 0, "delta": delta, "finish_reason": finish }),
            )
        } else {
            ("text_completion", json!({ "index": 0, "text": text, "finish_reason": finish }))
        };
        json!({
            "id": generation.to_string(), "object": object, "model": &*self.service,
            "choices": [choice]
        })
    }

    fn document(&self, generation: &GenerationId, text: &str, finish: &str) -> Value {
        let (object, choice) = if self.chat {
            let message = json!({ "role": "assistant", "content": text });
            ("chat.completion", json!({ "index": 0, "message": message, "finish_reason": finish }))
        } else {
            ("text_completion", json!({ "index": 0, "text": text, "finish_reason": finish }))
        };
        json!({
            "id": generation.to_string(), "object": object, "model": &*self.service,
            "choices": [choice]
        })
    }
}

fn finish_name(f: Finish) -> Option<&'static str> {
    match f {
        Finish::Stop => Some("stop"),
        Finish::Length => Some("length"),
        _ => None,
    }
}

/// Formats a batch as server-sent events.
fn format_events(format: &ResponseFormat, generation: &GenerationId, batch: &Batch) -> Bytes {
    let mut out = String::new();
    for (n, text) in batch.tokens.iter().enumerate() {
        let id = TokenId { generation: generation.clone(), ix: batch.first + n as u32 };
        // Writing to a `String` cannot fail.
        let _ = write!(out, "id: {id}\ndata: {}\n\n", format.chunk(generation, text, None));
    }
    if let Some(finish) = batch.finish {
        match finish_name(finish) {
            Some(name) => {
                let last = format.chunk(generation, "", Some(name));
                let _ = write!(out, "data: {last}\n\ndata: [DONE]\n\n");
            }
            None => {
                let problem = incomplete_problem(finish);
                let _ = write!(out, "event: error\ndata: {}\n\n", problem.to_json());
            }
        }
    }
    Bytes::from(out)
}

fn incomplete_problem(finish: Finish) -> Problem {
    let detail = match finish {
        Finish::Cancelled => "generation was cancelled",
        _ => "engine was lost during the generation; any tokens already sent are valid",
    };
    Problem::new(ProblemKind::Incomplete, detail)
}

/// Responds with a stream of server-sent events.
pub fn stream(e: &Rc<Entry>, started: StartedGeneration, format: ResponseFormat) -> Response<Body> {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_BATCHES);
    actix_rt::spawn(relay_events(e.clone(), started, format, tx));
    http::event_stream(rx)
}

async fn relay_events(
    e: Rc<Entry>,
    mut started: StartedGeneration,
    format: ResponseFormat,
    tx: mpsc::Sender<Chunk>,
) {
    let generation = started.generation.clone();
    let mut batch = Some(std::mem::replace(&mut started.first, empty_batch(&generation)));
    loop {
        let (bytes, finish) = match &batch {
            Some(b) => {
                started.guard.record_tokens();
                (format_events(&format, &generation, b), b.finish)
            }
            None => (Bytes::from_static(b": heartbeat\n\n"), None),
        };
        let chunk = if finish.is_some() { Chunk::Last(bytes) } else { Chunk::More(bytes) };
        match tokio::time::timeout(SEND_TIMEOUT, tx.send(chunk)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return e.process.event(Kind::Cancelled, &generation, "by=disconnect"),
            Err(_) => {
                metrics::counter!("slow_readers_total").increment(1);
                return e.process.event(Kind::SlowReader, &generation, "");
            }
        }
        if let Some(finish) = finish {
            return record_end(&e, &started, finish);
        }
        batch = tokio::select! {
            next = tokio::time::timeout(HEARTBEAT_INTERVAL, started.rest.next()) => match next {
                Ok(Some(b)) => Some(b),
                // The link was closed before the generation finished.
                Ok(None) => Some(Batch { finish: Some(Finish::Lost), ..empty_batch(&generation) }),
                Err(_) => None,
            },
            () = tx.closed() => {
                return e.process.event(Kind::Cancelled, &generation, "by=disconnect");
            }
        };
    }
}

fn empty_batch(generation: &GenerationId) -> Batch {
    Batch { nonce: generation.nonce, first: 0, tokens: Vec::new(), finish: None }
}

fn record_end(e: &Entry, started: &StartedGeneration, finish: Finish) {
    match finish_name(finish) {
        Some(name) => {
            started.guard.record_completion();
            e.process.event(Kind::Completed, &started.generation, name);
        }
        None => e.process.event(Kind::Incomplete, &started.generation, format_args!("{finish:?}")),
    }
}

/// Responds with one document once the generation has ended.
///
/// # Errors
///
/// Returns a problem if the generation ends without completing.
pub async fn document(
    e: &Rc<Entry>,
    mut started: StartedGeneration,
    format: ResponseFormat,
) -> Result<Response<Body>, Problem> {
    let mut text = String::new();
    let mut batch = Some(std::mem::replace(&mut started.first, empty_batch(&started.generation)));
    loop {
        let Some(b) = batch else {
            record_end(e, &started, Finish::Lost);
            return Err(incomplete_problem(Finish::Lost));
        };
        started.guard.record_tokens();
        text.extend(b.tokens.iter().map(|t| &**t));
        if let Some(finish) = b.finish {
            record_end(e, &started, finish);
            let name = finish_name(finish).ok_or_else(|| incomplete_problem(finish))?;
            return Ok(http::json_response(
                200,
                &format.document(&started.generation, &text, name),
            ));
        }
        batch = started.rest.next().await;
    }
}
