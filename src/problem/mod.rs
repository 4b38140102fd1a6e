//! Refusals as problem documents (RFC 9457) with an outcome that programs can act on.

use crate::frame::Refusal;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// What a refusal says of the work asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The work did not run.
    NotRun,
    /// Nobody can tell whether the work ran.
    Unknown,
    /// The answer broke off; what came before is valid.
    Incomplete,
    /// The work ran before; its answer is no longer held.
    Ran,
    /// The work runs at present.
    Running,
}

/// Kinds of refusal a caller may meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProblemKind {
    /// The request is malformed.
    Malformed,
    /// The API key is missing or unknown.
    Unauthorized,
    /// No such path or service.
    NotFound,
    /// A header, the body or a count of streams is over its limit.
    TooLarge,
    /// The workspace has too many requests open.
    TooMany,
    /// The operation needs an `Idempotency-Key`.
    KeyRequired,
    /// The key was used with another content.
    KeyReused,
    /// Work with this key runs at present.
    KeyRunning,
    /// Work with this key ran; its answer is no longer held.
    KeyDone,
    /// The store gives no claim on the key.
    NoClaim,
    /// The system refuses to begin the work.
    Refused(Refusal),
    /// The outcome cannot be known.
    Unknown,
    /// No answer came in time.
    Late,
    /// The generation broke off.
    Incomplete,
    /// The generation is not held any more.
    Gone,
    /// This process takes no new work.
    Draining,
    /// This process has no text in force yet.
    NotReady,
    /// A submission lost a race.
    Conflict,
    /// A submitted text has faults.
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
            | ProblemKind::NotReady => 503,
        }
    }

    /// Returns what the refusal says of the work.
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

/// A refusal as the caller gets it.
#[derive(Debug, Clone, PartialEq)]
pub struct Problem {
    /// Kind of refusal.
    pub kind: ProblemKind,
    /// When to ask again, where that helps.
    pub retry_after: Option<Duration>,
    /// What a reader needs besides.
    pub detail: Box<str>,
    /// Tells that an earlier copy of the request may have run.
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
    /// Makes a refusal without a time to come back.
    pub fn new(kind: ProblemKind, detail: impl Into<Box<str>>) -> Self {
        Problem { kind, retry_after: None, detail: detail.into(), maybe_ran: false }
    }

    /// Adds the time to come back.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Takes back what the kind says of the work, as an earlier copy of it may have run.
    pub fn maybe_ran(mut self) -> Self {
        self.maybe_ran = true;
        self
    }

    /// Returns what the refusal says of the work.
    pub fn outcome(&self) -> Outcome {
        match self.kind.outcome() {
            Outcome::NotRun if self.maybe_ran => Outcome::Unknown,
            outcome => outcome,
        }
    }

    /// Returns the problem document.
    pub fn to_json(&self) -> String {
        let kind = self.kind.to_string();
        let document = Document {
            title: kind.replace('-', " "),
            kind: format!("urn:skylarkthread:problem:{kind}"),
            status: self.kind.status(),
            detail: &self.detail,
            outcome: self.outcome(),
        };
        // A document of plain text and numbers always serializes.
        serde_json::to_string(&document).unwrap_or_default()
    }
}

impl From<Refusal> for Problem {
    fn from(r: Refusal) -> Self {
        Problem::new(ProblemKind::Refused(r), "")
    }
}
