//! Results of a run: how API calls ended, and the figures computed from them.
mod figures;
mod report;

use quartzhub_policy::{Span, Time};

pub use figures::FIGURES;
pub use report::Report;

/// How a client's API call ended, after any retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// It got a response with its value.
    Fulfilled,
    /// It got the response that it was not executed and may be retried later.
    RateLimited,
    /// It got an error, which does not say whether it was executed.
    Errored,
    /// It got no response before its client timeout.
    TimedOut,
    /// Its connection ended without a response, after its request had been written completely.
    ConnectionClosed,
    /// No node accepted it: there was no connection, or one that broke before the last byte was
    /// written.
    NotAccepted,
}

/// An ended API call of a client.
#[derive(Debug, Clone, Copy)]
pub struct EndedCall {
    /// Index of its product.
    pub product: usize,
    /// When its first attempt was sent.
    pub started_at: Time,
    /// Its latency, including retries and the delays before them.
    pub latency: Span,
    /// How it ended.
    pub outcome: CallOutcome,
    /// It was fulfilled within the latency objective.
    pub in_slo: bool,
    /// Value of a response within the latency objective.
    pub priority_weight: f64,
    /// Ratio of the earned value to `priority_weight`.
    pub value_ratio: f64,
}

/// Counts of ended API calls, by how they ended.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    /// All of them.
    pub total: u64,
    /// Fulfilled within the latency objective.
    pub in_slo: u64,
    /// Fulfilled later.
    pub late: u64,
    /// `CallOutcome::RateLimited`.
    pub rate_limited: u64,
    /// `CallOutcome::Errored`.
    pub errored: u64,
    /// `CallOutcome::TimedOut`.
    pub timed_out: u64,
    /// `CallOutcome::ConnectionClosed`.
    pub connection_closed: u64,
    /// `CallOutcome::NotAccepted`.
    pub not_accepted: u64,
    /// Value that responses within the latency objective to all of them would have earned.
    pub offered_value: f64,
    /// Value that the responses earned.
    pub earned_value: f64,
}

impl Counts {
    /// Returns the ratio of the earned to the offered value; 1 if no value was offered.
    pub fn service(&self) -> f64 {
        if self.offered_value > 0.0 {
            self.earned_value / self.offered_value
        } else {
            1.0
        }
    }

    /// Returns the sum of the counts over all ways to end.
    pub fn ended(&self) -> u64 {
        self.in_slo
            + self.late
            + self.rate_limited
            + self.errored
            + self.timed_out
            + self.connection_closed
            + self.not_accepted
    }

    /// Counts an ended API call.
    fn add(&mut self, ended: &EndedCall) {
        self.total += 1;
        self.offered_value += ended.priority_weight;
        self.earned_value += ended.priority_weight * ended.value_ratio;
        match ended.outcome {
            CallOutcome::Fulfilled if ended.in_slo => self.in_slo += 1,
            CallOutcome::Fulfilled => self.late += 1,
            CallOutcome::RateLimited => self.rate_limited += 1,
            CallOutcome::Errored => self.errored += 1,
            CallOutcome::TimedOut => self.timed_out += 1,
            CallOutcome::ConnectionClosed => self.connection_closed += 1,
            CallOutcome::NotAccepted => self.not_accepted += 1,
        }
    }
}
