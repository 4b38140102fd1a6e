//! Relays tokens to callers: server-sent events, or one document.

use super::Entry;
use super::generate::Opened;
use crate::event::Kind;
use crate::frame::{Batch, Finish};
use crate::http::{self, Body};
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

/// Silence after which a comment keeps the connection known to be alive.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Time after which a caller that reads nothing is cut off.
const SLOW_TIME: Duration = Duration::from_secs(5);
/// Events that wait for a caller.
const CHANNEL: usize = 32;

/// The form of an answer.
#[derive(Debug, Clone)]
pub struct Form {
    /// Service, named as the model.
    pub service: Arc<str>,
    /// Tells that the answer has the form of a chat.
    pub chat: bool,
}

impl Form {
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

    fn whole(&self, generation: &GenerationId, text: &str, finish: &str) -> Value {
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

/// Formats the events of one batch.
fn format(form: &Form, generation: &GenerationId, batch: &Batch) -> Bytes {
    let mut out = String::new();
    for (n, text) in batch.tokens.iter().enumerate() {
        let id = TokenId { generation: generation.clone(), ix: batch.first + n as u32 };
        // Writing into a string has no way to fail.
        let _ = write!(out, "id: {id}\ndata: {}\n\n", form.chunk(generation, text, None));
    }
    if let Some(finish) = batch.finish {
        match finish_name(finish) {
            Some(name) => {
                let last = form.chunk(generation, "", Some(name));
                let _ = write!(out, "data: {last}\n\ndata: [DONE]\n\n");
            }
            None => {
                let problem = broken(finish);
                let _ = write!(out, "event: error\ndata: {}\n\n", problem.to_json());
            }
        }
    }
    Bytes::from(out)
}

fn broken(finish: Finish) -> Problem {
    let detail = match finish {
        Finish::Cancelled => "the generation was cancelled",
        _ => "the engine was lost; what came before is valid",
    };
    Problem::new(ProblemKind::Incomplete, detail)
}

/// Answers with tokens as they come.
pub fn stream(e: &Rc<Entry>, opened: Opened, form: Form) -> Response<Body> {
    let (tx, rx) = mpsc::channel(CHANNEL);
    actix_rt::spawn(pump(e.clone(), opened, form, tx));
    http::events(rx)
}

async fn pump(e: Rc<Entry>, mut opened: Opened, form: Form, tx: mpsc::Sender<Bytes>) {
    let generation = opened.generation.clone();
    let mut batch = Some(std::mem::replace(&mut opened.first, empty(&generation)));
    loop {
        let (bytes, finish) = match &batch {
            Some(b) => (format(&form, &generation, b), b.finish),
            None => (Bytes::from_static(b": heartbeat\n\n"), None),
        };
        match tokio::time::timeout(SLOW_TIME, tx.send(bytes)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return e.process.event(Kind::Cancelled, &generation, "by=disconnect"),
            Err(_) => {
                metrics::counter!("slow_readers_total").increment(1);
                return e.process.event(Kind::SlowReader, &generation, "");
            }
        }
        if let Some(finish) = finish {
            return note_end(&e, &opened, finish);
        }
        batch = tokio::select! {
            next = tokio::time::timeout(HEARTBEAT, opened.rest.next()) => match next {
                Ok(Some(b)) => Some(b),
                // The link was closed with the generation still on it.
                Ok(None) => Some(Batch { finish: Some(Finish::Lost), ..empty(&generation) }),
                Err(_) => None,
            },
            () = tx.closed() => {
                return e.process.event(Kind::Cancelled, &generation, "by=disconnect");
            }
        };
    }
}

fn empty(generation: &GenerationId) -> Batch {
    Batch { nonce: generation.nonce, first: 0, tokens: Vec::new(), finish: None }
}

fn note_end(e: &Entry, opened: &Opened, finish: Finish) {
    match finish_name(finish) {
        Some(name) => {
            opened.hold.completed();
            e.process.event(Kind::Completed, &opened.generation, name);
        }
        None => e.process.event(Kind::Incomplete, &opened.generation, format_args!("{finish:?}")),
    }
}

/// Answers with one document once the generation has ended.
///
/// # Errors
///
/// Returns a problem where the generation broke off.
pub async fn whole(
    e: &Rc<Entry>,
    mut opened: Opened,
    form: Form,
) -> Result<Response<Body>, Problem> {
    let mut text = String::new();
    let mut batch = Some(std::mem::replace(&mut opened.first, empty(&opened.generation)));
    loop {
        let Some(b) = batch else {
            note_end(e, &opened, Finish::Lost);
            return Err(broken(Finish::Lost));
        };
        text.extend(b.tokens.iter().map(|t| &**t));
        if let Some(finish) = b.finish {
            note_end(e, &opened, finish);
            let name = finish_name(finish).ok_or_else(|| broken(finish))?;
            return Ok(http::json(200, &form.whole(&opened.generation, &text, name)));
        }
        batch = opened.rest.next().await;
    }
}
