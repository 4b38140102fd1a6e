//! What the status of an engine's response says about a generation.

/// Outcome of a request that submits a generation or resumes its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamStatus {
    /// The stream follows.
    Open,
    /// The engine refused the generation, which has not run.
    NotRun,
    /// The engine does not know the generation any more.
    Forgotten,
    /// The generation may be running; its stream has to be resumed.
    MayRun,
}

/// What the engine was sent of a generation before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing.
    New,
    /// A submission that was held before its first token. It may have run, and is cancelled.
    Held,
    /// A submission whose stream is resumed.
    Known,
}

/// Classifies the status of a response. Only that of a first submission says that the generation has
/// not run.
pub fn classify(status: u16, standing: Standing) -> StreamStatus {
    match (status, standing) {
        (200, _) => StreamStatus::Open,
        (404, Standing::Known) => StreamStatus::Forgotten,
        // Engines refuse a submission with 503 before they accept it.
        (400..=499 | 503, Standing::New) => StreamStatus::NotRun,
        (400..=499 | 503, Standing::Held) => StreamStatus::Forgotten,
        _ => StreamStatus::MayRun,
    }
}
