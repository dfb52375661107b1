//! Detection of keys whose calls fail at every cache, and a concurrency limit for each of them.
use rustc_hash::FxHashMap;

use crate::concurrency_limiter::ConcurrencyLimiter;
use crate::endpoint::ServerIndex;
use crate::evidence::Evidence;
use crate::outlier_detection::OUTLIER_SUCCESS_RATIO;
use crate::time::{Span, Time};

/// Largest number of keys with a record.
const MAX_RECORDS: usize = 256;
/// Time without a new outcome after which a record is discarded.
const RECORD_RETENTION: Span = Span::ms(15_000);
/// Half-life of an outcome's weight.
const HALF_LIFE_SECONDS: f64 = 5.0;
/// Assumed outcomes at the fleet's success ratio that are combined with a key's own.
const PRIOR_OUTCOMES: f64 = 2.0;
/// Initial limit of a key, in slots.
const START_LIMIT_SLOTS: f64 = 1.0;
/// Least limit of a key, in slots.
const MIN_LIMIT_SLOTS: f64 = 0.02;

/// Outcomes of keys with recent failures.
#[derive(Default)]
pub(crate) struct KeyHealth {
    /// Whether a late response counts as a failure of its key. This is right if clients that read
    /// slowly occupy the node's few response buffers. Otherwise lateness is a sign of a hot key,
    /// which needs more caches and not fewer calls.
    pub(crate) late_responses_are_failures: bool,
    records: FxHashMap<u64, KeyRecord>,
}

/// Outcomes of a key.
#[derive(Default)]
struct KeyRecord {
    evidence: Evidence,
    updated: Time,
    last_failing_cache: ServerIndex,
    failed_at_several_caches: bool,
    /// Limits the key's calls once they fail at several caches.
    limiter: Option<ConcurrencyLimiter>,
}

impl KeyHealth {
    /// Records how an attempt at a cache ended. Only a failure creates a record, so that few keys
    /// have one.
    pub(crate) fn record(&mut self, key: u64, cache: ServerIndex, good: bool, now: Time) {
        let may_create = !good && self.records.len() < MAX_RECORDS;
        if !may_create && !self.records.contains_key(&key) {
            return;
        }
        let record = self.records.entry(key).or_default();
        let age_seconds = (now - record.updated).seconds();
        record
            .evidence
            .decay(0.5f64.powf(age_seconds / HALF_LIFE_SECONDS));
        record.updated = now;
        let failed_elsewhere = record.evidence.bad > 0.0 && record.last_failing_cache != cache;
        record.failed_at_several_caches |= !good && failed_elsewhere;
        record.evidence.record(good);
        if !good {
            record.last_failing_cache = cache;
        }
    }

    /// Creates a limiter for a key that fails at several caches. Without it, calls for such a key,
    /// for example one behind a lock, would fill all caches while they wait, even calls that no
    /// client waits for any more.
    pub(crate) fn limit_if_failing(
        &mut self,
        key: u64,
        fleet_success_ratio: f64,
        target_micros: f64,
        now: Time,
    ) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        if record.limiter.is_some() {
            return;
        }
        let success = record
            .evidence
            .success_ratio(fleet_success_ratio, PRIOR_OUTCOMES);
        let is_failing = success < OUTLIER_SUCCESS_RATIO * fleet_success_ratio;
        if record.failed_at_several_caches && is_failing {
            record.limiter = Some(ConcurrencyLimiter::new(
                START_LIMIT_SLOTS,
                MIN_LIMIT_SLOTS,
                target_micros,
                now,
            ));
        }
    }

    /// Returns the limiter of a key, if it has one.
    pub(crate) fn limiter(&mut self, key: u64) -> Option<&mut ConcurrencyLimiter> {
        self.records.get_mut(&key)?.limiter.as_mut()
    }

    /// Returns whether a key has a limiter.
    pub(crate) fn is_limited(&self, key: u64) -> bool {
        self.records
            .get(&key)
            .is_some_and(|record| record.limiter.is_some())
    }

    /// Lets limits recover and discards expired records.
    pub(crate) fn tick(&mut self, elapsed_seconds: f64, now: Time) {
        self.records.retain(|_, record| {
            if let Some(limiter) = &mut record.limiter {
                limiter.recover(elapsed_seconds);
            }
            now - record.updated < RECORD_RETENTION
        });
    }
}
