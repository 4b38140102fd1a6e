//! Reads callers' requests for generations.

use super::Entry;
use crate::frame::Refusal;
use crate::http::Incoming;
use crate::id::{Fingerprint, ServiceName, Tokens, Workspace};
use crate::place::{Need, prefix_hash};
use crate::problem::{Problem, ProblemKind};
use crate::text::{ModelSpec, Service, ServiceKind, Text};
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;

/// Bytes of a prompt per token, for estimates.
const TOKEN_BYTES: usize = 4;
/// Output where the caller names no limit.
const DEFAULT_OUTPUT: u32 = 4096;
/// Times the latency target after which a request that has no token is given up.
const PATIENCE: u32 = 4;

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

/// A checked request for a generation.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Service.
    pub service: ServiceName,
    /// Workspace.
    pub workspace: Workspace,
    /// Tells that tokens are sent as they come.
    pub stream: bool,
    /// Prompt in the engine's text form.
    pub prompt: Arc<str>,
    /// Longest output.
    pub limit: Tokens,
    /// Model, adapter and version in text form.
    pub spec: Arc<str>,
    /// Rank under shortage.
    pub rank: u8,
    /// Share of the workspace.
    pub weight: u32,
    /// Time until the first token is due.
    pub first: Duration,
    /// Content of the request.
    pub content: Fingerprint,
    /// What placement needs to know.
    pub need: Need,
}

/// Reads and checks a request.
///
/// # Errors
///
/// Returns a problem where the request is malformed or its service cannot serve.
pub fn read(e: &Entry, req: &Incoming, workspace: Workspace, chat: bool) -> Result<Ask, Problem> {
    let document: Document = serde_json::from_slice(&req.body)
        .map_err(|err| Problem::new(ProblemKind::Malformed, err.to_string()))?;
    let prompt = prompt(&document, chat)?;
    let text = e.text();
    let (service, terms, spec) = find(&text, &document.model)?;
    check_dependencies(e, &text, &service)?;
    let limit = document.max_tokens.unwrap_or(DEFAULT_OUTPUT).min(terms.limit.0);
    if limit == 0 {
        return Err(Problem::new(ProblemKind::Malformed, "max_tokens is 0"));
    }
    let spec_text: Arc<str> = Arc::from(spec.to_string());
    let input = Tokens((prompt.len() / TOKEN_BYTES + 1) as u32);
    let need = Need {
        pool: Arc::from(spec.model.as_str()),
        spec: Some(spec_text.clone()),
        input,
        prefix: prefix_hash(&prompt),
        alone: false,
    };
    Ok(Ask {
        rank: text.rank(&service),
        weight: text.workspaces.get(&workspace).map_or(1, |w| w.weight),
        first: terms.first * PATIENCE,
        content: Fingerprint::of(&[spec_text.as_bytes(), prompt.as_bytes()]),
        spec: spec_text,
        limit: Tokens(limit),
        prompt: Arc::from(prompt),
        stream: document.stream,
        service,
        workspace,
        need,
    })
}

fn prompt(d: &Document, chat: bool) -> Result<String, Problem> {
    let missing = |what: &str| Problem::new(ProblemKind::Malformed, format!("{what} is missing"));
    if !chat {
        return d.prompt.clone().ok_or_else(|| missing("prompt"));
    }
    let messages = d.messages.as_ref().ok_or_else(|| missing("messages"))?;
    Ok(messages.iter().map(|m| format!("{}: {}\n", m.role, m.content)).collect())
}

fn find<'a>(
    text: &'a Text,
    name: &str,
) -> Result<(ServiceName, &'a Service, &'a ModelSpec), Problem> {
    let unknown = || Problem::new(ProblemKind::NotFound, "no model service has this name");
    let name: ServiceName = name.parse().map_err(|_| unknown())?;
    let service = text.services.get(&name).ok_or_else(unknown)?;
    match &service.kind {
        ServiceKind::Model(spec) => Ok((name, service, spec)),
        ServiceKind::Plain(_) => Err(unknown()),
    }
}

/// Refuses early where something that a service depends on is unavailable.
///
/// # Errors
///
/// Returns a problem that names the dependency.
pub fn check_dependencies(e: &Entry, text: &Text, name: &ServiceName) -> Result<(), Problem> {
    let Some(service) = text.services.get(name) else { return Ok(()) };
    for d in &service.depends {
        if !is_available(e, text, d) {
            let detail = format!("{name} depends on {d}, which is unavailable");
            let kind = ProblemKind::Refused(Refusal::Dependency);
            return Err(Problem::new(kind, detail).retry(Duration::from_secs(2)));
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
        let Some(k) = &endpoint.latest else { return false };
        let has = spec.as_ref().is_none_or(|s| k.report.loaded.iter().any(|l| **l == **s));
        &*k.report.pool == pool && has && endpoint.is_serving()
    })
}
