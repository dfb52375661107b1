//! The origin servers behind an adaptive concurrency limit (rule 4).
use crate::attempt_result::{AttemptResult, Outcome};
use crate::concurrency_limiter::{ConcurrencyLimiter, MAX_BURST_ATTEMPTS};
use crate::endpoint::ServerIndex;
use crate::latency_baseline::{LatencyBaseline, SAMPLE_WEIGHT};
use crate::request::CallIndex;
use crate::time::{Span, Time};

/// Fraction of the latency objective that the origin's responses may take; the rest is left for the
/// cache and the queue.
const TARGET_RATIO: f64 = 0.4;
/// Multiple of the baseline that a response time may always reach: half of that time is queueing.
const TARGET_TO_BASELINE_RATIO: f64 = 2.0;
/// Largest initial limit of one node, in slots.
const MAX_START_SLOTS: f64 = 4.0;
/// Initial limit of all nodes together, in slots.
const START_SLOTS_ALL_NODES: f64 = 200.0;
/// Least limit of all nodes together, in slots.
const MIN_SLOTS_ALL_NODES: f64 = 2.0;
/// Limit of all nodes together, in slots, up to which responses within the target time raise the
/// limits while no call waits for a slot.
const MAX_UNSATURATED_SLOTS_ALL_NODES: f64 = 800.0;
/// Largest number of slots beyond the limit that are reserved for writes.
const MAX_WRITE_SLOTS: f64 = 1.0;
/// Weight of an attempt that a lossy network path has lost, relative to an overdue response.
const LOST_ON_PATH_WEIGHT: f64 = 0.25;
/// Weight of one response in the mean response times; higher than for caches, as the origin
/// responds less often.
const LATENCY_WEIGHT: f64 = 2.0 * SAMPLE_WEIGHT;

/// Response times of the origin, for reads and writes.
#[derive(Default)]
pub(crate) struct OriginLatencies {
    pub(crate) reads: LatencyBaseline,
    pub(crate) writes: LatencyBaseline,
}

impl OriginLatencies {
    fn of(&self, write: bool) -> &LatencyBaseline {
        if write {
            &self.writes
        } else {
            &self.reads
        }
    }

    fn of_mut(&mut self, write: bool) -> &mut LatencyBaseline {
        if write {
            &mut self.writes
        } else {
            &mut self.reads
        }
    }
}

/// The origin servers, their limits and the calls queued for a slot.
#[derive(Default)]
pub(crate) struct Origin {
    pub(crate) servers: Vec<ServerIndex>,
    pub(crate) limiter: ConcurrencyLimiter,
    /// Limits the slots beyond `limiter` that are reserved for writes.
    pub(crate) write_limiter: ConcurrencyLimiter,
    pub(crate) latencies: OriginLatencies,
    pub(crate) queue: Vec<CallIndex>,
    /// While the network path to the origin's zone is an outlier: the least response time since
    /// then, or infinity before the first response. Otherwise 0.
    pub(crate) path_delay_micros: f64,
}

impl Origin {
    /// Applies a configuration. The limits are a fraction of those of all nodes together and are
    /// rescaled if the number of nodes changes.
    pub(crate) fn configure(&mut self, shortest_objective: Span, nodes: f64, previous_nodes: f64) {
        let limiter = &mut self.limiter;
        limiter.min_limit = MIN_SLOTS_ALL_NODES / nodes;
        limiter.target_micros = shortest_objective.0 as f64 * TARGET_RATIO;
        limiter.max_unsaturated_limit =
            (MAX_UNSATURATED_SLOTS_ALL_NODES / nodes).min(MAX_BURST_ATTEMPTS);
        limiter.limit = (limiter.limit * previous_nodes / nodes).max(limiter.min_limit);
        let writes = &mut self.write_limiter;
        writes.min_limit = limiter.min_limit;
        writes.target_micros = limiter.target_micros;
        writes.max_unsaturated_limit = limiter.max_unsaturated_limit.min(MAX_WRITE_SLOTS);
        // The write slot is rescaled too: otherwise each node would keep a full slot when the
        // number of nodes grows considerably.
        writes.limit = (writes.limit * previous_nodes / nodes)
            .clamp(writes.min_limit.min(MAX_WRITE_SLOTS), MAX_WRITE_SLOTS);
    }

    /// Resets limits and response times for an origin that has not responded yet.
    pub(crate) fn reset(&mut self, nodes: f64) {
        let target_micros = self.limiter.target_micros;
        self.limiter.limit = (START_SLOTS_ALL_NODES / nodes).min(MAX_START_SLOTS);
        self.limiter.burst_tokens = MAX_BURST_ATTEMPTS;
        self.write_limiter.limit = (START_SLOTS_ALL_NODES / nodes).min(MAX_WRITE_SLOTS);
        self.latencies.reads = LatencyBaseline {
            mean: target_micros,
            baseline: target_micros * 0.5,
        };
        self.latencies.writes = LatencyBaseline {
            mean: target_micros,
            baseline: target_micros,
        };
    }

    /// Returns whether a read that no cache has missed may be sent to the origin: there is a free
    /// slot, and no miss or write waits for it.
    pub(crate) fn accepts_unmissed_read(&self, now: Time) -> bool {
        self.limiter.has_capacity(now) && self.queue.is_empty() && !self.servers.is_empty()
    }

    /// Returns whether less than half of the slots are in use.
    pub(crate) fn has_slots_to_spare(&self, now: Time) -> bool {
        let needed = f64::from(self.limiter.in_flight) * 2.0 + 1.0;
        self.accepts_unmissed_read(now) && needed <= self.limiter.limit
    }

    /// Rule 4: returns whether a call may be sent to the origin now. Writes have a slot of their
    /// own beyond the limit: otherwise reads could occupy the only slot of a node, and writes,
    /// whose weight is higher, would find none.
    pub(crate) fn has_slot(&self, write: bool, now: Time) -> bool {
        self.limiter.has_capacity(now) || write && self.write_limiter.has_capacity(now)
    }

    /// Returns the limiter that an attempt takes its slot from.
    pub(crate) fn limiter_for(&mut self, uses_write_slot: bool) -> &mut ConcurrencyLimiter {
        if uses_write_slot {
            &mut self.write_limiter
        } else {
            &mut self.limiter
        }
    }

    /// Returns the target response time. It is never below twice the operation's own baseline.
    /// Otherwise, once few reads get through, the naturally longer writes would be mistaken for
    /// queueing and lower the limit further and further.
    pub(crate) fn target_micros(&self, latency_objective: Span, write: bool) -> f64 {
        (TARGET_RATIO * latency_objective.0 as f64)
            .max(TARGET_TO_BASELINE_RATIO * self.latencies.of(write).baseline)
    }

    /// Returns whether the network path to the origin's zone delays or loses attempts.
    pub(crate) fn is_path_lossy(&self) -> bool {
        self.path_delay_micros > 0.0
    }

    /// Updates the delay of the network path, so that a slow or lossy path is not mistaken for
    /// queueing at the origin. While the path is an outlier, only the response time in excess of
    /// its least response time adjusts the limit, and the attempts that the path delays may be in
    /// flight in addition to the limit.
    pub(crate) fn update_path_delay(&mut self, zone_is_outlier: bool) {
        self.path_delay_micros = match (zone_is_outlier, self.is_path_lossy()) {
            (false, _) => 0.0,
            (true, true) => self.path_delay_micros,
            (true, false) => f64::INFINITY,
        };
        self.limiter.path_delay_ratio = if self.path_delay_micros.is_finite() {
            self.path_delay_micros / self.latencies.reads.baseline.max(1.0)
        } else {
            0.0
        };
    }

    /// Releases an attempt's slot and adjusts the limits by how the attempt ended.
    pub(crate) fn record(
        &mut self,
        result: &AttemptResult,
        latency_objective: Span,
        write: bool,
        uses_write_slot: bool,
    ) {
        use Outcome::{
            Cancelled, Miss, NotSent, Overloaded, Reset, ServerError, Success, TimedOut,
            Unreachable, Unrecognized,
        };
        self.limiter_for(uses_write_slot).release();
        let spare_ratio = match result.outcome {
            Success | Miss | ServerError => {
                self.record_latency(result.latency, latency_objective, write)
            }
            TimedOut | Unreachable | Reset if self.is_path_lossy() => -LOST_ON_PATH_WEIGHT,
            Overloaded | TimedOut | Unreachable | Reset => -1.0,
            Cancelled | NotSent | Unrecognized => return,
        };
        self.limiter.record_response(spare_ratio);
        if uses_write_slot {
            self.write_limiter.record_response(spare_ratio);
        }
        if matches!(result.outcome, Success | Miss | ServerError) {
            self.limiter.saturated = !self.queue.is_empty();
        }
    }

    /// Records a response time and returns the fraction of the target time that it left unused.
    fn record_latency(&mut self, latency: Span, latency_objective: Span, write: bool) -> f64 {
        let target_micros = self.target_micros(latency_objective, write);
        let is_path_lossy = self.is_path_lossy();
        let mut micros = latency.0 as f64;
        if is_path_lossy {
            self.path_delay_micros = self.path_delay_micros.min(micros);
            let without_path_delay =
                micros - self.path_delay_micros + self.latencies.of(write).baseline;
            micros = without_path_delay.min((1.0 + LOST_ON_PATH_WEIGHT) * target_micros);
        }
        self.latencies.of_mut(write).record(micros, LATENCY_WEIGHT);
        // An attempt that exceeded its target was already recorded when it became overdue, except
        // on a lossy path.
        let min_spare_ratio = if is_path_lossy { -1.0 } else { 0.0 };
        (1.0 - micros / target_micros).max(min_spare_ratio)
    }
}
