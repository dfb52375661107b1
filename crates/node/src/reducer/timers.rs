//! The timers of the reducer, ordered by time.
use std::collections::BTreeSet;

use quartzhub_policy::{CallIndex, Time};

use crate::messages::UpstreamId;

/// What a timer triggers. Timers of the same time expire in the order of these variants, then of
/// their ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The policy's own periodic work.
    PolicyTick,
    /// The current use of this upstream has reached its deadline.
    Upstream(UpstreamId),
    /// This API call is overdue for its final response.
    Call(CallIndex),
    /// The service state changes how idle clients are treated.
    IdleClients,
}

/// A timer and the time at which it expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerEntry {
    pub(super) at: Time,
    pub(super) timer: Timer,
}

/// All timers, ordered by time.
#[derive(Default)]
pub(super) struct Timers {
    entries: BTreeSet<TimerEntry>,
}

impl Timers {
    pub(super) fn schedule(&mut self, at: Time, timer: Timer) {
        self.entries.insert(TimerEntry { at, timer });
    }

    pub(super) fn cancel(&mut self, at: Time, timer: Timer) {
        self.entries.remove(&TimerEntry { at, timer });
    }

    /// Returns when the next timer expires.
    pub(super) fn next_expiry(&self) -> Option<Time> {
        self.entries.first().map(|entry| entry.at)
    }

    /// Removes and returns the next timer that has expired by `now`.
    pub(super) fn pop_expired(&mut self, now: Time) -> Option<TimerEntry> {
        let next = self.entries.first()?;
        if next.at > now {
            return None;
        }
        self.entries.pop_first()
    }
}
