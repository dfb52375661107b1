//! Metrics of a node: counters that start at 0 with the process, and gauges.
use std::collections::BTreeMap;

use quartzhub_policy::Outcome;

use crate::messages::Response;

/// Numbers of final responses to the API calls of one product.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize)]
pub struct ResponseCounts {
    /// Calls that got the value or the receipt of the write.
    #[serde(rename = "ok")]
    pub fulfilled: u64,
    /// Calls that were rejected without effect and may be retried later.
    #[serde(rename = "shed")]
    pub rate_limited: u64,
    /// Calls that got an error, which says nothing about whether the call took effect.
    #[serde(rename = "errors")]
    pub errored: u64,
}

/// A snapshot of the metrics, serialized under the names that tools of operators read.
#[derive(Debug, serde::Serialize)]
pub struct Metrics<'a> {
    /// Final responses by product.
    pub responses: BTreeMap<&'a str, ResponseCounts>,
    /// Attempts at caches and the origin whose request was written to its last byte.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// How attempts have ended.
    pub attempt_ends: AttemptEndCounts,
    /// How many times a response that had begun has stalled.
    pub stalled_responses: u64,
    /// Values that broke off while they were streamed to a client.
    pub broken_values: u64,
    /// Upstreams that were closed because their server sent bytes that no attempt awaited.
    #[serde(rename = "unsolicited")]
    pub unsolicited_responses: u64,
    /// Of these, those whose bytes came after the rest of the upstream. Such bytes can be taken for
    /// the response to the next attempt.
    #[serde(rename = "unsolicited_late")]
    pub late_unsolicited_responses: u64,
    /// Attempts that waited until an upstream had rested after its last response.
    pub reuse_waits: u64,
    /// API calls that are open now, including those whose value is being streamed.
    pub active: usize,
    /// Caches in the endpoint list.
    pub pool_size: usize,
    /// Caches that are currently ejected as outliers.
    pub pool_ejected: usize,
    /// Configuration reloads that were applied.
    pub config_applied: u64,
    /// Configuration reloads that were rejected.
    pub config_rejected: u64,
}

/// Numbers of attempts by how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize)]
pub struct AttemptEndCounts {
    /// The server responded with success.
    pub success: u64,
    /// The cache does not hold the key.
    pub miss: u64,
    /// The server responded with an error, or with something that is no response.
    pub error: u64,
    /// The server rejected the attempt.
    pub overloaded: u64,
    /// No response within the attempt's time.
    pub timed_out: u64,
    /// No connection, or the request could not be written.
    pub unreachable: u64,
    /// The connection broke after the request was written.
    pub reset: u64,
    /// The attempt was cancelled after its request was written.
    pub cancelled: u64,
    /// The request was never written in full, for a reason of the node's own.
    pub not_sent: u64,
}

impl AttemptEndCounts {
    /// Counts an attempt that has ended.
    pub fn count(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Success => &mut self.success,
            Outcome::Miss => &mut self.miss,
            Outcome::ServerError | Outcome::Unrecognized => &mut self.error,
            Outcome::Overloaded => &mut self.overloaded,
            Outcome::TimedOut => &mut self.timed_out,
            Outcome::Unreachable => &mut self.unreachable,
            Outcome::Reset => &mut self.reset,
            Outcome::Cancelled => &mut self.cancelled,
            Outcome::NotSent => &mut self.not_sent,
        };
        *counter += 1;
    }
}

/// Numbers of upstreams on which a server sent bytes that no attempt awaited.
#[derive(Debug, Default)]
pub struct UnsolicitedCounts {
    /// All of them.
    pub total: u64,
    /// Those whose bytes came after the rest of the upstream.
    pub late: u64,
}

/// Index of a product's counter, which stays the same for the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CounterIndex(usize);

/// Response counts of one product.
#[derive(Debug)]
struct ProductCounter {
    product: String,
    responses: ResponseCounts,
}

/// Response counts by product. A product that was removed from the settings keeps its counts, so
/// that no counter ever decreases.
#[derive(Debug, Default)]
pub struct ProductCounters {
    counters: Vec<ProductCounter>,
}

impl ProductCounters {
    /// Returns the index of a product's counter, which is added if it is missing; `None` if there
    /// are already `max_products` others.
    pub fn index_of(&mut self, name: &str, max_products: usize) -> Option<CounterIndex> {
        let existing = self
            .counters
            .iter()
            .position(|counter| counter.product == name);
        if existing.is_none() && self.counters.len() < max_products {
            self.counters.push(ProductCounter {
                product: name.to_owned(),
                responses: ResponseCounts::default(),
            });
            return Some(CounterIndex(self.counters.len() - 1));
        }
        existing.map(CounterIndex)
    }

    /// Counts a final response. Does nothing if its product has no counter.
    pub fn count(&mut self, counter: Option<CounterIndex>, response: &Response) {
        let Some(counter) = counter.and_then(|index| self.counters.get_mut(index.0)) else {
            return;
        };
        let responses = &mut counter.responses;
        match response {
            Response::Success(_) | Response::Streamed { .. } => responses.fulfilled += 1,
            Response::RateLimited(_) => responses.rate_limited += 1,
            Response::Error(_) | Response::Plain(_) => responses.errored += 1,
        }
    }

    /// Returns the counts of all products by name.
    pub fn all(&self) -> BTreeMap<&str, ResponseCounts> {
        self.counters
            .iter()
            .map(|counter| (counter.product.as_str(), counter.responses))
            .collect()
    }
}
