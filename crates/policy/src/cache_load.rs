//! The load on the caches as seen by this node, and the queueing delay estimated from it.
use crate::attempt::Attempt;
use crate::config::Product;
use crate::hedging::MAX_HEDGE_DELAY_RATIO;
use crate::latency_baseline::{LatencyBaseline, SAMPLE_WEIGHT};
use crate::time::Span;

/// Responses per second from which a node's own means adapt at full speed.
const FULL_SPEED_RESPONSES_PER_SECOND: f64 = 16.0;
/// Least value of that rate while the means cover little time.
const MIN_FULL_SPEED_RESPONSES_PER_SECOND: f64 = 0.1;
/// Least averaging speed, so that the means adapt at every node.
const MIN_AVERAGING_SPEED: f64 = 0.1;
/// Fraction of a mean that is kept over a second at full averaging speed.
const MEAN_KEPT_PER_SECOND: f64 = 0.25;
/// Least responses per second that a queueing delay is computed with.
const MIN_RESPONSES_PER_SECOND: f64 = 0.2;
/// Least fraction of a latency objective that is assumed to remain beyond the baseline.
const MIN_HEADROOM_RATIO: f64 = 0.25;

/// Attempts in flight at the caches, their responses, and running means of both.
#[derive(Default)]
pub(crate) struct CacheLoad {
    /// Attempts in flight at caches that are no outliers.
    in_flight: u32,
    /// Running mean of `in_flight`.
    pub(crate) mean_in_flight: f64,
    /// Responses per second from caches, a running mean.
    pub(crate) responses_per_second: f64,
    responses_since_tick: f64,
    /// Number of ready caches, a running mean with the same averaging speed.
    pub(crate) mean_cache_count: f64,
    /// Fraction of a full averaging period that the means cover.
    coverage: f64,
    /// Mean number of attempts that would be in flight without queueing, from the baseline response
    /// times (Little's law).
    baseline_in_flight: f64,
    /// Sum of the baseline response times of the responses since the last tick.
    baseline_seconds_since_tick: f64,
    /// Response times of each product; the last entry is for misses.
    pub(crate) latencies: Vec<LatencyBaseline>,
}

impl CacheLoad {
    /// Resets the response times to the values assumed before the first response.
    pub(crate) fn reset_latencies(&mut self, products: &[Product]) {
        let assumed = |product: &Product| {
            let micros = product.latency_objective.0 as f64 * MAX_HEDGE_DELAY_RATIO;
            LatencyBaseline {
                mean: micros,
                baseline: micros,
            }
        };
        self.latencies = products.iter().map(assumed).collect();
    }

    /// Counts an attempt that is sent to a cache as in flight.
    pub(crate) fn add(&mut self, attempt: &mut Attempt) {
        attempt.counted_in_load = true;
        self.in_flight += 1;
    }

    /// Stops counting an attempt as in flight, if it still is counted.
    pub(crate) fn remove(&mut self, attempt: &mut Attempt) {
        if attempt.counted_in_load {
            attempt.counted_in_load = false;
            self.in_flight -= 1;
        }
    }

    /// Records a cache's response; a miss belongs to no product.
    pub(crate) fn record_response(&mut self, latency: Span, product: Option<usize>) {
        self.responses_since_tick += 1.0;
        let misses = self.latencies.len() - 1;
        let entry = product.map_or(misses, |product| product.min(misses));
        let latencies = &mut self.latencies[entry];
        latencies.record(latency.0 as f64, SAMPLE_WEIGHT);
        self.baseline_seconds_since_tick += latencies.baseline / 1e6;
    }

    /// Estimates the queueing delay of an attempt sent now, as a fraction of the latency objective
    /// beyond the baseline response time: attempts in flight in excess of `baseline_in_flight`,
    /// divided by the rate of responses (Little's law). Nodes with few calls rely on means over
    /// time, as their momentary values say little; subtracting the baseline keeps products with
    /// long service times from looking like queueing.
    pub(crate) fn queueing_delay_ratio(&self, product: usize, latency_objective: Span) -> f64 {
        let averaging_speed = self.averaging_speed();
        let in_flight = averaging_speed * f64::from(self.in_flight) * self.coverage
            + (1.0 - averaging_speed) * self.mean_in_flight;
        let baseline_seconds = self.latencies[product].baseline / 1e6;
        let objective_seconds = latency_objective.seconds();
        let headroom_seconds =
            (objective_seconds - baseline_seconds).max(MIN_HEADROOM_RATIO * objective_seconds);
        (in_flight - self.baseline_in_flight)
            / self.responses_per_second.max(MIN_RESPONSES_PER_SECOND)
            / headroom_seconds
    }

    /// Returns the relative speed at which the running means adapt, from 0 to 1, so that each mean
    /// still covers enough responses.
    pub(crate) fn averaging_speed(&self) -> f64 {
        let full_speed = (self.coverage * FULL_SPEED_RESPONSES_PER_SECOND)
            .max(MIN_FULL_SPEED_RESPONSES_PER_SECOND);
        (self.responses_per_second / full_speed).clamp(MIN_AVERAGING_SPEED, 1.0)
    }

    /// Updates the means for the time since the last tick.
    pub(crate) fn tick(&mut self, elapsed_seconds: f64, cache_count: usize) {
        let step = 1.0 - MEAN_KEPT_PER_SECOND.powf(elapsed_seconds * self.averaging_speed());
        let baseline = std::mem::take(&mut self.baseline_seconds_since_tick) / elapsed_seconds;
        let responses = std::mem::take(&mut self.responses_since_tick) / elapsed_seconds;
        self.mean_in_flight += step * (f64::from(self.in_flight) - self.mean_in_flight);
        self.baseline_in_flight += step * (baseline - self.baseline_in_flight);
        self.responses_per_second += step * (responses - self.responses_per_second);
        self.coverage += step * (1.0 - self.coverage);
        self.mean_cache_count += step * (cache_count as f64 - self.mean_cache_count);
    }
}
