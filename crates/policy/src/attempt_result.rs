//! How attempts end.
use crate::time::Span;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server responded with success.
    Success,
    /// The server responded with an error; it may have executed the call.
    ServerError,
    /// The server rejected the attempt for lack of capacity, without executing it.
    Overloaded,
    /// The server did not respond in time.
    TimedOut,
    /// No connection to the server could be established.
    Unreachable,
    /// The connection broke while the attempt was in flight.
    Reset,
    /// The attempt was cancelled after it was written.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The cache does not hold the key.
    Miss,
    /// The result code is unknown to this build; the server may have executed the call.
    Unrecognized,
}

impl Outcome {
    /// Returns whether the server provably did not execute the call.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::Unreachable | Outcome::NotSent | Outcome::Miss
        )
    }
}

/// How one attempt ended.
#[derive(Debug, Clone, Copy)]
pub struct AttemptResult {
    /// The attempt's index among the call's attempts.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from the start of the attempt to its end.
    pub latency: Span,
    /// Whether the API call already has its final response.
    pub call_finished: bool,
}
