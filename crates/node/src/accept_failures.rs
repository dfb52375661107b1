//! Accepts that fail: for their one connection, or for want of something that the next accept would lack as well.
use std::io;

use crate::system::is_aborted_connection;

#[cfg(test)]
mod tests;

/// Accepts that may fail in a row, each for its one connection, before a pause is made all the same.
const MAX_CONSECUTIVE_ABORTED: usize = 1024;

/// What follows an accept that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptRetry {
    /// The next connection is accepted at once: others wait behind one that has gone.
    AtOnce,
    /// The next accept would fail as well.
    AfterPause,
}

/// The failures of one listening socket. Guards against a pause for each of many clients that left before they were
/// accepted, and against spinning: so many in a row are no clients' doing any more.
#[derive(Debug, Default)]
pub struct AcceptFailures {
    consecutive_aborted: usize,
}

impl AcceptFailures {
    /// A connection was accepted.
    pub fn on_accepted(&mut self) {
        self.consecutive_aborted = 0;
    }

    /// An accept failed.
    pub fn on_failure(&mut self, error: &io::Error) -> AcceptRetry {
        if is_aborted_connection(error) && self.consecutive_aborted < MAX_CONSECUTIVE_ABORTED {
            self.consecutive_aborted += 1;
            return AcceptRetry::AtOnce;
        }
        self.consecutive_aborted = 0;
        AcceptRetry::AfterPause
    }
}
