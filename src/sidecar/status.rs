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

/// Classifies a status. `is_known` tells whether the engine may have the generation already: it
/// then resumes a stream, and no status says that the generation has not run.
pub fn classify(status: u16, is_known: bool) -> StreamStatus {
    match (status, is_known) {
        (200, _) => StreamStatus::Open,
        (404, true) => StreamStatus::Forgotten,
        (_, true) => StreamStatus::MayRun,
        // Engines refuse a submission with 503 before they accept it.
        (400..=499 | 503, false) => StreamStatus::NotRun,
        (_, false) => StreamStatus::MayRun,
    }
}
