//! Responses to attempts, independent of the server's protocol.
use quartzhub_policy::Outcome;

/// A server's response to an attempt.
#[derive(Debug, PartialEq)]
pub struct AttemptResponse {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// The value of a read or the receipt of a write.
    pub value: Option<Vec<u8>>,
    /// Whether the connection may carry another attempt.
    pub reusable: bool,
}
