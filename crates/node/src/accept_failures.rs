//! Classifies failed accepts: either only one connection failed, or a resource has run out and the
//! next accept would fail too.
use std::io;

use crate::system::is_aborted_connection;

#[cfg(test)]
mod tests;

/// Consecutive accepts that may fail for their own connection only, before accepting pauses anyway.
const MAX_CONSECUTIVE_ABORTED: usize = 1024;

/// When to accept again after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptRetry {
    /// Without a pause: only the failed connection was affected; more may be queued behind it.
    Immediate,
    /// After a pause: the next accept would fail too.
    AfterPause,
}

/// Failures of one listening socket. Clients that disconnect before they are accepted cause no
/// pause, but a long run of such failures can't be theirs and would make the accept loop spin.
#[derive(Debug, Default)]
pub struct AcceptFailures {
    consecutive_aborted: usize,
}

impl AcceptFailures {
    /// Records that a connection was accepted.
    pub fn on_accepted(&mut self) {
        self.consecutive_aborted = 0;
    }

    /// Records that an accept failed, and decides when to accept again.
    pub fn on_failure(&mut self, error: &io::Error) -> AcceptRetry {
        if is_aborted_connection(error) && self.consecutive_aborted < MAX_CONSECUTIVE_ABORTED {
            self.consecutive_aborted += 1;
            return AcceptRetry::Immediate;
        }
        self.consecutive_aborted = 0;
        AcceptRetry::AfterPause
    }
}
