//! Data collected during a run.
use std::ops::Range;

use hdrhistogram::Histogram;
use quartzhub_policy::Time;

use super::{CallOutcome, Counts, EndedCall};
use crate::metric::{Metric, METRICS};
use crate::rules::Violation;
use crate::scenario::Scenario;

/// Longest latency recorded: an hour, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Significant digits of a recorded latency.
const LATENCY_DIGITS: u8 = 3;
/// Time for recovery between the last fault and the period compared with the one before the faults,
/// in seconds.
const RECOVERY_SECONDS: f64 = 3.0;
/// Length of the period after the faults, in seconds.
const POST_FAULT_SECONDS: usize = 5;
/// Offset and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The second of the run that a time falls into.
fn second_of(time: Time) -> usize {
    (time.0 / 1_000_000) as usize
}

/// Periods of the run without faults, in whole seconds; comparing them shows how far service has
/// recovered.
pub(super) struct FaultFreePeriods {
    pub(super) before_faults: Range<usize>,
    pub(super) after_faults: Range<usize>,
}

impl FaultFreePeriods {
    fn from_scenario(scenario: &Scenario, seconds: usize) -> FaultFreePeriods {
        let faults = scenario.faults.iter();
        let first_start = faults
            .clone()
            .map(|fault| fault.start_s)
            .fold(scenario.seconds, f64::min);
        let last_end = faults
            .map(|fault| fault.start_s + fault.duration_s)
            .fold(0.0, f64::max);
        let recovered = (last_end + RECOVERY_SECONDS).ceil() as usize;
        FaultFreePeriods {
            before_faults: scenario.settle as usize..(first_start as usize).min(seconds),
            after_faults: recovered.min(seconds)..(recovered + POST_FAULT_SECONDS).min(seconds),
        }
    }
}

/// The results of a run.
pub struct Report {
    /// Length of the counted part of the run, in seconds.
    pub seconds: f64,
    /// Counts of all API calls that started in the counted part.
    pub all: Counts,
    /// The same counts by product, with the product's name.
    pub products: Vec<(String, Counts)>,
    /// Counts by the second in which the API calls started, over the whole run.
    pub windows: Vec<Counts>,
    /// Latencies of fulfilled API calls, in microseconds from the client's first attempt.
    pub latency: Histogram<u64>,
    /// Number of clients' attempts.
    pub client_attempts: u64,
    /// Number of nodes' attempts.
    pub attempts: u64,
    /// Number of nodes' attempts that were sent to the origin.
    pub origin_attempts: u64,
    /// Reads whose value a cache did not have.
    pub misses: u64,
    /// Reads whose value a cache had.
    pub hits: u64,
    /// Connections that a server refused.
    pub refused_connections: u64,
    /// Connections that the nodes requested, including refused ones.
    pub handshakes: u64,
    /// Real clients only: idle connections that were closed before they were used again.
    pub idle_connections_closed: u64,
    /// Real clients only: connections that were closed while an API call was open on them.
    pub connections_closed_in_call: u64,
    /// Number of attempts sent to the origin, by second.
    pub origin_attempts_by_second: Vec<u64>,
    /// Counts by second and `Metric`.
    pub metrics_by_second: Vec<[u64; METRICS]>,
    /// How often the origin was overloaded and stopped.
    pub origin_overloads: u64,
    /// How often a cache was overloaded while warming up, and stopped.
    pub cache_overloads: u64,
    /// The first violations of each rule.
    pub violations: Vec<Violation>,
    /// Number of all violations.
    pub violation_count: u64,
    /// API calls of clients that were still open at the end of the run.
    pub open: u64,
    /// API calls that clients started; equals the sum of `open` and `ended`.
    pub started: u64,
    /// API calls of clients that ended.
    pub ended: u64,
    /// Hash over the events of the run; any difference between two runs changes it.
    pub trace: u64,
    /// Start of the counted part of the run.
    pub(super) settled_at: Time,
    pub(super) fault_free_periods: FaultFreePeriods,
}

impl Report {
    /// Creates an empty report on a scenario.
    pub fn new(scenario: &Scenario) -> Report {
        let seconds = scenario.seconds.ceil() as usize;
        let products = scenario.products.iter();
        Report {
            seconds: scenario.seconds - scenario.settle,
            all: Counts::default(),
            products: products
                .map(|product| (product.name.clone(), Counts::default()))
                .collect(),
            windows: vec![Counts::default(); seconds],
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS)
                .expect("the bounds of the histogram are valid"),
            client_attempts: 0,
            attempts: 0,
            origin_attempts: 0,
            misses: 0,
            hits: 0,
            refused_connections: 0,
            handshakes: 0,
            idle_connections_closed: 0,
            connections_closed_in_call: 0,
            origin_attempts_by_second: vec![0; seconds],
            metrics_by_second: vec![[0; METRICS]; seconds],
            origin_overloads: 0,
            cache_overloads: 0,
            violations: Vec::new(),
            violation_count: 0,
            open: 0,
            started: 0,
            ended: 0,
            trace: FNV_OFFSET,
            settled_at: Time::from_ms(scenario.settle * 1000.0),
            fault_free_periods: FaultFreePeriods::from_scenario(scenario, seconds),
        }
    }

    /// Adds an event to the trace hash.
    pub fn add_to_trace(&mut self, now: Time, value: u64) {
        self.trace = (self.trace ^ now.0 as u64 ^ value.rotate_left(32)).wrapping_mul(FNV_PRIME);
    }

    /// Counts one event in the current second.
    pub fn count(&mut self, now: Time, metric: Metric) {
        if let Some(metrics) = self.metrics_by_second.get_mut(second_of(now)) {
            metrics[metric as usize] += 1;
        }
    }

    /// Counts an attempt that is sent to the origin.
    pub fn count_origin_attempt(&mut self, now: Time) {
        self.origin_attempts += 1;
        if let Some(attempts) = self.origin_attempts_by_second.get_mut(second_of(now)) {
            *attempts += 1;
        }
    }

    /// Records a client's ended API call.
    pub fn record_ended_call(&mut self, ended: EndedCall) {
        self.ended += 1;
        if let Some(window) = self.windows.get_mut(second_of(ended.started_at)) {
            window.add(&ended);
        }
        if ended.started_at < self.settled_at {
            return;
        }
        self.all.add(&ended);
        if let Some((_, counts)) = self.products.get_mut(ended.product) {
            counts.add(&ended);
        }
        if ended.outcome == CallOutcome::Fulfilled {
            self.latency
                .saturating_record(ended.latency.0.max(1) as u64);
        }
    }
}
