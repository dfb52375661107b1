//! The events of one API call, as a violation shows them, and the state that follows from them.
use std::fmt::Write as _;

use quartzhub_policy::{Idempotency, Product, Span, Time};

/// Most events kept of one API call: far more than any call of a correct node has.
const MAX_EVENTS: usize = 64;
/// An event of an API call.
#[derive(Debug, Clone, Copy)]
pub enum CallEvent {
    /// A node has accepted it and must send a final response.
    Taken {
        /// The node's index.
        node: usize,
    },
    /// A node has sent an attempt.
    Sent {
        /// The server's index.
        server: usize,
    },
    /// A server has begun to execute its effect.
    Began {
        /// The server's index.
        server: usize,
    },
    /// A cache does not have its value.
    Missed {
        /// The server's index.
        server: usize,
    },
    /// Its client got a response with its value.
    Fulfilled,
    /// Its client got the response that it was not executed and may be retried.
    RateLimited,
    /// Its client got an error, which does not say whether it was executed.
    Errored,
    /// Its client has disconnected.
    Left,
}

/// The recorded events and state of one API call.
pub(super) struct CallHistory {
    call: u64,
    pub(super) product: Product,
    pub(super) client_deadline: Time,
    pub(super) responded_at: Option<Time>,
    pub(super) client_disconnected_at: Option<Time>,
    /// Its node was suspended or killed, or has exited: no response is required.
    pub(super) exempt: bool,
    pub(super) first_execution: Option<Time>,
    events: Vec<(Time, CallEvent)>,
}

impl CallHistory {
    pub(super) fn new(call: u64, product: Product, client_deadline: Time) -> CallHistory {
        CallHistory {
            call,
            product,
            client_deadline,
            responded_at: None,
            client_disconnected_at: None,
            exempt: false,
            first_execution: None,
            events: Vec::new(),
        }
    }

    pub(super) fn record(&mut self, now: Time, event: CallEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push((now, event));
        }
    }

    /// When its client stopped waiting: at the first response or by disconnecting.
    pub(super) fn closed_at(&self) -> Option<Time> {
        [self.responded_at, self.client_disconnected_at]
            .into_iter()
            .flatten()
            .min()
    }

    pub(super) fn requires_response(&self) -> bool {
        self.closed_at().is_none() && !self.exempt
    }

    /// Whether executing the effect again now would violate a rule.
    pub(super) fn forbids_execution(&self, now: Time, lag: Span) -> bool {
        let Some(first) = self.first_execution else {
            return false;
        };
        match self.product.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::Deduplicated => now - first > self.product.dedup_window + lag,
            Idempotency::NonIdempotent => true,
        }
    }

    /// Formats the API call and its events in one line.
    pub(super) fn describe(&self) -> String {
        let mut line = format!("API call {}, {:?}:", self.call, self.product.idempotency);
        for (at, event) in &self.events {
            let _ = write!(line, " {:.3} {event:?};", at.ms());
        }
        line
    }
}
