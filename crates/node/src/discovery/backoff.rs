//! Timeout for the first line of a watch, and the backoff before the next watch. Uses no clock and
//! no I/O.
use quartzhub_policy::{Pcg, Span};

use crate::limits::Limits;

#[cfg(test)]
mod tests;

/// Factor by which the backoff grows from one watch to the next.
const GROWTH_FACTOR: f64 = 2.0;
/// Smallest fraction of the backoff that is waited; jitter adds up to one whole backoff.
const MIN_JITTER: f64 = 0.5;
/// One in this many consecutive watches without a complete line gets the longer timeout.
const SLOW_OPEN_PERIOD: u32 = 3;

/// What a watch has received by its end.
#[derive(Debug, Clone, Copy)]
pub struct WatchOutcome {
    /// Time from its first complete line to its end; `None` if it received none.
    pub lived: Option<Span>,
    /// Whether the version of the endpoint list has changed.
    pub version_changed: bool,
}

/// The backoff between watches.
pub struct Backoff {
    limits: Limits,
    /// Consecutive watches without a complete line.
    watches_without_line: u32,
    /// The current backoff, before jitter.
    delay: Span,
}

impl Backoff {
    /// Creates the state before the first watch.
    pub fn new(limits: &Limits) -> Backoff {
        Backoff {
            limits: limits.clone(),
            watches_without_line: 0,
            delay: limits.watch_first_backoff,
        }
    }

    /// Timeout for the first complete line of the next watch. It does not keep growing: otherwise
    /// consecutive timeouts, counted from the moment at which discovery is back, could exceed the
    /// period after which all its updates count as notified. Every third consecutive watch without
    /// a complete line gets more time, for a slow discovery.
    pub fn open_timeout(&self) -> Span {
        if self.watches_without_line % SLOW_OPEN_PERIOD == SLOW_OPEN_PERIOD - 1 {
            self.limits.watch_slow_open_timeout
        } else {
            self.limits.watch_open_timeout
        }
    }

    /// Returns the delay before the next watch. Jitter keeps the nodes from reconnecting in step.
    pub fn next_delay(&mut self, outcome: WatchOutcome, rng: &mut Pcg) -> Span {
        self.watches_without_line = if outcome.lived.is_some() {
            0
        } else {
            self.watches_without_line + 1
        };
        // Reopened at once, watches that live this long are no more than with the longest backoff.
        let has_lived = outcome
            .lived
            .is_some_and(|lived| lived >= self.limits.watch_longest_backoff);
        self.delay = if outcome.version_changed || has_lived {
            self.limits.watch_first_backoff
        } else {
            self.delay
                .times(GROWTH_FACTOR)
                .min(self.limits.watch_longest_backoff)
        };
        self.delay.times(MIN_JITTER + rng.unit())
    }
}
