//! The state of an API call.
use crate::attempt::{Attempt, AttemptState};
use crate::config::Product;
use crate::request::CallIndex;
use crate::time::Time;

/// The phase that an API call is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum CallPhase {
    /// A server is being selected for it.
    #[default]
    Routing,
    /// It waits for another call to fetch its key from the origin.
    AwaitingFetch,
    /// It waits for a slot at the origin.
    QueuedForOrigin,
    /// An attempt of it has been sent to a server.
    InFlight,
}

/// Identifies one API call, even after its index has been reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallHandle {
    pub(crate) index: CallIndex,
    pub(crate) serial: u32,
}

/// An API call.
#[derive(Default)]
pub(crate) struct Call {
    /// Distinguishes it from other calls with the same index.
    pub(crate) serial: u32,
    /// Whether it is not released yet: attempts may still be in flight after the final response.
    pub(crate) live: bool,
    /// Whether it has its final response.
    pub(crate) finished: bool,
    /// Whether a server's response is being streamed to the client.
    pub(crate) streaming: bool,
    pub(crate) phase: CallPhase,
    /// Its product, as configured when it arrived; later changes of the configuration do not apply
    /// to it. The same holds for `max_attempts`.
    pub(crate) product: Product,
    pub(crate) product_index: usize,
    pub(crate) max_attempts: usize,
    /// How far its tenant was over its quota: 0 within it, 1 at twice it.
    pub(crate) over_quota_ratio: f64,
    pub(crate) write: bool,
    /// Whether a cache missed or reset the connection, so that the origin is tried next.
    pub(crate) missed: bool,
    /// Whether it fetches its key from the origin, and other calls may wait for that fetch.
    pub(crate) leads_fetch: bool,
    /// Whether it holds a slot of its key's limiter.
    pub(crate) holds_key_slot: bool,
    /// Whether an overdue attempt was cancelled, so that its next attempt replaces that one.
    pub(crate) replaces_overdue: bool,
    pub(crate) key: u64,
    /// Position of the key between 0 and 1.
    pub(crate) key_position: f64,
    /// When the client's timeout expires.
    pub(crate) client_deadline: Time,
    /// Deadline of the current phase: `Balancer::run_deadlines` then decides how the call
    /// continues.
    pub(crate) phase_deadline: Time,
    pub(crate) attempts: Vec<Attempt>,
    /// Number of attempts that it may still make outside the retry budget: one for each miss.
    pub(crate) uncharged_attempts: u32,
}

impl Call {
    /// Returns the number of attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight())
            .count()
    }

    /// Returns the number of attempts in flight whose response has not stalled.
    pub(crate) fn active(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight() && !attempt.is_stalled())
            .count()
    }

    /// Returns whether a server has begun to respond to it, so that it may still be served.
    pub(crate) fn is_receiving(&self) -> bool {
        self.attempts.iter().any(Attempt::is_receiving)
    }

    /// Returns the first attempt that may have been executed, or may still be.
    pub(crate) fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NotExecuted)
    }

    /// Returns whether it exceeded its tenant's quota when it arrived.
    pub(crate) fn is_over_quota(&self) -> bool {
        self.over_quota_ratio > 0.0
    }

    /// Returns its handle for this index.
    pub(crate) fn handle(&self, index: CallIndex) -> CallHandle {
        CallHandle {
            index,
            serial: self.serial,
        }
    }
}
