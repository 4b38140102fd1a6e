//! Errors reported to callers as problem documents (RFC 9457), each with a machine-readable outcome
//! of the requested work.

use crate::frame::Refusal;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// What a problem document states about the execution of the requested work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The work did not run.
    NotRun,
    /// It cannot be determined whether the work ran.
    Unknown,
    /// The response was cut off; the part received so far is valid.
    Incomplete,
    /// The work ran earlier; its response is no longer stored.
    Ran,
    /// The work is still running.
    Running,
}

/// Kinds of problem; the names are part of the `type` URN and of the `title`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProblemKind {
    /// The request is malformed.
    Malformed,
    /// The API key is missing or unknown.
    Unauthorized,
    /// The path, method, service or version does not exist.
    NotFound,
    /// A header, the body or the number of streams exceeds its limit.
    TooLarge,
    /// The workspace has reached its limit of open requests.
    TooMany,
    /// The operation requires an `Idempotency-Key` header.
    KeyRequired,
    /// The idempotency key was used before with different content.
    KeyReused,
    /// A call with this idempotency key is still running.
    KeyRunning,
    /// A call with this idempotency key ran; its response is no longer stored.
    KeyDone,
    /// The idempotency key could not be claimed in the store.
    NoClaim,
    /// The work was refused before it started.
    Refused(Refusal),
    /// It cannot be determined whether the work ran.
    Unknown,
    /// No response arrived before the deadline.
    Late,
    /// The generation was cut off before its end.
    Incomplete,
    /// The generation is no longer held by a sidecar.
    Gone,
    /// This process is shutting down and does not accept the request.
    Draining,
    /// The store did not return what the request asks for.
    StoreUnavailable,
    /// The request, or a part of its prompt, has crashed endpoints.
    Quarantined,
    /// This process has no configuration yet that could serve the request.
    NotReady,
    /// A newer configuration was submitted first.
    Conflict,
    /// The submitted configuration has errors.
    Invalid,
}

impl ProblemKind {
    /// Returns the HTTP status.
    pub fn status(self) -> u16 {
        match self {
            ProblemKind::Malformed | ProblemKind::KeyRequired => 400,
            ProblemKind::Unauthorized => 401,
            ProblemKind::NotFound => 404,
            ProblemKind::KeyRunning | ProblemKind::KeyDone | ProblemKind::Conflict => 409,
            ProblemKind::Gone => 410,
            ProblemKind::TooLarge => 413,
            ProblemKind::KeyReused | ProblemKind::Invalid => 422,
            ProblemKind::Refused(Refusal::TooLarge | Refusal::Convicted) => 422,
            ProblemKind::TooMany => 429,
            ProblemKind::Unknown | ProblemKind::Incomplete => 502,
            ProblemKind::Refused(Refusal::Expired) | ProblemKind::Late => 504,
            ProblemKind::NoClaim
            | ProblemKind::Refused(_)
            | ProblemKind::Draining
            | ProblemKind::StoreUnavailable
            | ProblemKind::Quarantined
            | ProblemKind::NotReady => 503,
        }
    }

    /// Returns the outcome implied by the kind alone.
    pub fn outcome(self) -> Outcome {
        match self {
            ProblemKind::KeyRunning => Outcome::Running,
            ProblemKind::KeyDone => Outcome::Ran,
            ProblemKind::Unknown | ProblemKind::NoClaim | ProblemKind::Late => Outcome::Unknown,
            ProblemKind::Incomplete | ProblemKind::Gone => Outcome::Incomplete,
            _ => Outcome::NotRun,
        }
    }
}

impl fmt::Display for ProblemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            ProblemKind::Refused(r) => format!("refused-{r:?}"),
            other => format!("{other:?}"),
        };
        let mut last = '-';
        for c in name.chars() {
            if c.is_uppercase() && last != '-' {
                f.write_str("-")?;
            }
            write!(f, "{}", c.to_ascii_lowercase())?;
            last = c;
        }
        Ok(())
    }
}

/// An error response to a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    /// Determines the status, the `type` and the default outcome.
    pub kind: ProblemKind,
    /// Delay after which a retry is worthwhile; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
    /// Explanation for a human reader; may be empty.
    pub detail: Box<str>,
    /// Whether an earlier attempt of the same request may have run.
    pub maybe_ran: bool,
}

#[derive(Serialize)]
struct Document<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: String,
    status: u16,
    detail: &'a str,
    outcome: Outcome,
}

impl Problem {
    /// Creates a problem without a retry delay.
    pub fn new(kind: ProblemKind, detail: impl Into<Box<str>>) -> Self {
        Problem { kind, retry_after: None, detail: detail.into(), maybe_ran: false }
    }

    /// Sets the delay after which the caller should retry.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Records that an earlier attempt may have run, which turns [`Outcome::NotRun`] into
    /// [`Outcome::Unknown`].
    pub fn maybe_ran(mut self) -> Self {
        self.maybe_ran = true;
        self
    }

    /// Returns the outcome, taking earlier attempts into account.
    pub fn outcome(&self) -> Outcome {
        match self.kind.outcome() {
            Outcome::NotRun if self.maybe_ran => Outcome::Unknown,
            outcome => outcome,
        }
    }

    /// Serializes the problem document.
    pub fn to_json(&self) -> String {
        let kind = self.kind.to_string();
        let document = Document {
            title: kind.replace('-', " "),
            kind: format!("urn:skylarkthread:problem:{kind}"),
            status: self.kind.status(),
            detail: &self.detail,
            outcome: self.outcome(),
        };
        // Serialization of strings and integers cannot fail.
        serde_json::to_string(&document).unwrap_or_default()
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        Problem::new(ProblemKind::Refused(refusal), "")
    }
}
