//! One attempt of an API call at one server.
use crate::endpoint::ServerIndex;
use crate::time::Time;

/// Whether an attempt has ended, and whether the server may have executed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// It has not ended yet.
    InFlight,
    /// It has ended, and the server provably did not execute it.
    NotExecuted,
    /// It has ended, and the server may have executed it.
    MayHaveExecuted,
}

/// How far the response to an attempt in flight has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseProgress {
    /// No byte of it has arrived.
    Awaited,
    /// It has begun, and its bytes keep arriving.
    Arriving,
    /// It has begun, and nothing more of it has arrived for a while. It may still become complete.
    Stalled,
}

/// Why an attempt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptCause {
    /// The call's first attempt, or a retry after a failure or a miss.
    Routed,
    /// An earlier attempt is overdue: a hedged request beside it, or a retry after it was
    /// cancelled.
    Overdue,
}

/// An attempt of an API call at a server.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) server: ServerIndex,
    pub(crate) sent: Time,
    pub(crate) state: AttemptState,
    pub(crate) cause: AttemptCause,
    pub(crate) response: ResponseProgress,
    /// Whether it no longer counts as in flight at its server, and its failure has been recorded, as
    /// its response has stalled at some time.
    pub(crate) released: bool,
    /// Whether it was charged to the retry budget.
    pub(crate) charged: bool,
    /// Whether it counts as an attempt in flight in `CacheLoad`, which estimates queueing from
    /// them.
    pub(crate) counted_in_load: bool,
    /// Whether it uses the origin's slot that is reserved for writes.
    pub(crate) uses_write_slot: bool,
}

impl Attempt {
    /// Returns an attempt that is sent now.
    pub(crate) fn new(server: ServerIndex, sent: Time, cause: AttemptCause) -> Attempt {
        Attempt {
            server,
            sent,
            state: AttemptState::InFlight,
            cause,
            response: ResponseProgress::Awaited,
            released: false,
            charged: false,
            counted_in_load: false,
            uses_write_slot: false,
        }
    }

    /// Returns whether it has not ended yet.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.state == AttemptState::InFlight
    }

    /// Returns whether its response has begun and may still become complete.
    pub(crate) fn is_receiving(&self) -> bool {
        self.is_in_flight() && self.response != ResponseProgress::Awaited
    }

    /// Returns whether its response has begun and has stalled.
    pub(crate) fn is_stalled(&self) -> bool {
        self.is_in_flight() && self.response == ResponseProgress::Stalled
    }
}
