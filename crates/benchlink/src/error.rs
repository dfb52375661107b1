//! Errors that end the program before the end of its input.
use std::io;

use crate::wire::MessageKind;

/// An error that ends the program.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ServeError {
    /// The input could not be read.
    #[error("cannot read line {number}: {source}")]
    Read { number: u64, source: io::Error },
    /// A line of the input could not be handled.
    #[error("line {number}: {source}")]
    Batch { number: u64, source: BatchError },
    /// The output could not be written.
    #[error("cannot write the response: {0}")]
    Write(io::Error),
}

/// An error in a line of the input.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BatchError {
    /// The line is not a batch of events.
    #[error("not a batch: {0}")]
    Malformed(serde_json::Error),
    /// An event for a node could not be handled.
    #[error("{node}: {source}")]
    Event { node: String, source: EventError },
}

/// An error in an event.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EventError {
    /// The name of the message is unknown.
    #[error("unknown message {0:?}")]
    UnknownMessage(String),
    /// A field that the message needs is missing.
    #[error("{message:?} without {field}")]
    MissingField {
        message: MessageKind,
        field: &'static str,
    },
    /// The index of an endpoint list is too large.
    #[error("Manifest number {0} out of range")]
    ListOutOfRange(usize),
    /// An update refers to an endpoint list that was never stored.
    #[error("Fleet names list {0}, never given")]
    UnknownList(usize),
}
