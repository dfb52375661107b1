//! Whether a client has taken the bytes that were written to its connection. Uses no clock and no
//! I/O.
use quartzhub_policy::{Span, Time};

#[cfg(test)]
mod tests;

/// Progress of a client that reads slowly, as its system takes bytes from the node's.
#[derive(Debug, Default)]
pub struct Delivery {
    unsent: usize,
    /// When the number of unsent bytes last changed.
    progress_at: Time,
}

impl Delivery {
    /// Records that the system has yet to send `unsent` bytes. Returns whether nothing more is
    /// awaited: everything has been sent, or the client has taken nothing for `stall_timeout`.
    pub fn is_over(&mut self, now: Time, unsent: usize, stall_timeout: Span) -> bool {
        if unsent != self.unsent {
            self.unsent = unsent;
            self.progress_at = now;
        }
        unsent == 0 || now - self.progress_at >= stall_timeout
    }
}
