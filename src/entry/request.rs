//! Parsing and validation of generation requests.

use super::Entry;
use crate::frame::Refusal;
use crate::http::Incoming;
use crate::id::{Fingerprint, PartId, ServiceName, Tokens, Workspace};
use crate::place::{Need, prefix_hash};
use crate::problem::{Problem, ProblemKind};
use crate::text::{ModelSpec, Service, ServiceKind, Text};
use serde::Deserialize;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Assumed number of bytes per prompt token, for estimating the length of a prompt.
const BYTES_PER_TOKEN: usize = 4;
/// Output limit of requests without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u32 = 4096;
/// Multiple of the service's latency target within which the first token has to arrive.
const FIRST_TOKEN_FACTOR: u32 = 4;

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

#[derive(Debug, Deserialize)]
struct Document {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// A validated generation request.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Model service named by the request.
    pub service: ServiceName,
    /// Workspace of the caller's API key.
    pub workspace: Workspace,
    /// Whether tokens are streamed as server-sent events instead of in one document.
    pub stream: bool,
    /// Prompt as sent to the engine; chat messages are joined into one text.
    pub prompt: Arc<str>,
    /// Output limit: `max_tokens`, at most the limit of the service.
    pub max_output: Tokens,
    /// Model, adapter and version in text form, such as `model+adapter@v1`.
    pub spec: Arc<str>,
    /// Priority of the service when engines are short of capacity.
    pub rank: u8,
    /// Fair-share weight of the workspace.
    pub weight: u32,
    /// Time from arrival within which the first token has to arrive.
    pub first_timeout: Duration,
    /// Fingerprint of spec and prompt, by which crashing requests are quarantined.
    pub content: Fingerprint,
    /// Parts of the prompt that other requests may share: all messages but the last.
    pub parts: Rc<[PartId]>,
    /// Requirements for the choice of an endpoint.
    pub need: Need,
}

/// Parses and validates a request.
///
/// # Errors
///
/// Returns a problem if the request is malformed, the model is unknown, or a service that the model
/// depends on is unavailable.
pub fn read(
    e: &Entry,
    req: &Incoming,
    workspace: Workspace,
    chat: bool,
) -> Result<GenerationRequest, Problem> {
    let document: Document = serde_json::from_slice(&req.body)
        .map_err(|err| Problem::new(ProblemKind::Malformed, err.to_string()))?;
    let prompt = build_prompt(&document, chat)?;
    let text = e.text();
    let (service, config, spec) = find_model(&text, &document.model)?;
    check_dependencies(e, &text, &service)?;
    let limit = document.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS).min(config.max_tokens.0);
    if limit == 0 {
        return Err(Problem::new(ProblemKind::Malformed, "max_tokens is 0; it must be at least 1"));
    }
    let spec_text: Arc<str> = Arc::from(spec.to_string());
    let input = Tokens((prompt.len() / BYTES_PER_TOKEN + 1) as u32);
    let need = Need {
        pool: Arc::from(spec.model.as_str()),
        spec: Some(spec_text.clone()),
        input,
        prefix: prefix_hash(&prompt),
        alone: false,
    };
    Ok(GenerationRequest {
        rank: text.effective_priority(&service),
        weight: text.workspaces.get(&workspace).map_or(1, |w| w.weight),
        first_timeout: config.max_latency * FIRST_TOKEN_FACTOR,
        parts: shared_parts(&document, chat),
        content: Fingerprint::of(&[spec_text.as_bytes(), prompt.as_bytes()]),
        spec: spec_text,
        max_output: Tokens(limit),
        prompt: Arc::from(prompt),
        stream: document.stream,
        service,
        workspace,
        need,
    })
}

fn build_prompt(d: &Document, chat: bool) -> Result<String, Problem> {
    let missing =
        |name: &str| Problem::new(ProblemKind::Malformed, format!("field {name} is missing"));
    if !chat {
        return d.prompt.clone().ok_or_else(|| missing("prompt"));
    }
    let messages = d.messages.as_ref().ok_or_else(|| missing("messages"))?;
    Ok(messages.iter().map(|m| format!("{}: {}\n", m.role, m.content)).collect())
}

/// Identifies all messages of a chat but the last. A prompt that is one text has no parts.
fn shared_parts(d: &Document, chat: bool) -> Rc<[PartId]> {
    let messages = d.messages.as_deref().filter(|_| chat).unwrap_or_default();
    let shared = messages.split_last().map_or(&[][..], |(_, shared)| shared);
    let id = |m: &Message| Fingerprint::of(&[m.role.as_bytes(), m.content.as_bytes()]).0;
    shared.iter().map(|m| PartId(id(m))).collect()
}

fn find_model<'a>(
    text: &'a Text,
    name: &str,
) -> Result<(ServiceName, &'a Service, &'a ModelSpec), Problem> {
    let unknown =
        || Problem::new(ProblemKind::NotFound, format!("no model service named {name:?}"));
    let name: ServiceName = name.parse().map_err(|_| unknown())?;
    let service = text.services.get(&name).ok_or_else(unknown)?;
    match &service.kind {
        ServiceKind::Model(spec) => Ok((name, service, spec)),
        ServiceKind::Plain(_) => Err(unknown()),
    }
}

/// Checks that every service that `name` depends on, directly or not, has an endpoint in service.
///
/// # Errors
///
/// Returns a problem that names the first unavailable dependency.
pub fn check_dependencies(e: &Entry, text: &Text, name: &ServiceName) -> Result<(), Problem> {
    let Some(service) = text.services.get(name) else { return Ok(()) };
    for d in &service.dependencies {
        if !is_available(e, text, d) {
            let detail = format!("service {name} depends on {d}, which has no endpoint in service");
            let kind = ProblemKind::Refused(Refusal::Dependency);
            return Err(Problem::new(kind, detail).retry_after(Duration::from_secs(2)));
        }
        check_dependencies(e, text, d)?;
    }
    Ok(())
}

fn is_available(e: &Entry, text: &Text, name: &ServiceName) -> bool {
    let Some(service) = text.services.get(name) else { return false };
    let (pool, spec) = match &service.kind {
        ServiceKind::Plain(_) => (name.as_str(), None),
        ServiceKind::Model(spec) => (spec.model.as_str(), Some(spec.to_string())),
    };
    let board = e.board.borrow();
    board.endpoints.values().any(|endpoint| {
        let Some(latest) = &endpoint.latest else { return false };
        let is_loaded =
            spec.as_ref().is_none_or(|s| latest.report.loaded.iter().any(|l| **l == **s));
        &*latest.report.pool == pool && is_loaded && endpoint.is_serving()
    })
}
