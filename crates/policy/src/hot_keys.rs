//! Hot keys: counts the calls for each key at this node, and decides over how many caches to spread
//! the key.
use crate::time::Time;

/// Number of counters; keys are mapped to them by their hashes.
const COUNTERS: usize = 1024;
/// Half-life of a count. At low call rates a shorter one would leave too few calls to compare.
const HALF_LIFE_SECONDS: f64 = 15.0;
/// Assumed calls for other keys, so that the first calls do not make a key look hot.
const PRIOR_OTHER_CALLS: f64 = 16.0;
/// Number of caches for a key with as many calls as all keys of an average cache together.
const REPLICAS_PER_CACHE_SHARE: f64 = 3.0;

/// A count that decays exponentially over time.
#[derive(Clone, Copy, Default)]
struct DecayingCounter {
    count: f64,
    updated: Time,
}

impl DecayingCounter {
    /// Adds one and returns the current count.
    fn increment(&mut self, now: Time) -> f64 {
        let decay_factor = 0.5f64.powf((now - self.updated).seconds() / HALF_LIFE_SECONDS);
        self.count = self.count * decay_factor + 1.0;
        self.updated = now;
        self.count
    }
}

/// Counts API calls by key.
#[derive(Default)]
pub(crate) struct HotKeyTracker {
    counters: Vec<DecayingCounter>,
    total: DecayingCounter,
}

impl HotKeyTracker {
    /// Counts a call and returns the number of caches to spread its key over, which is at most 1
    /// for most keys. Without this, a hot key could overload one cache while others are idle: with
    /// hundreds of nodes, no node notices it from its own attempts.
    pub(crate) fn record_call(&mut self, key: u64, caches: usize, now: Time) -> f64 {
        self.counters.resize(COUNTERS, DecayingCounter::default());
        let count = self.counters[key as usize % COUNTERS].increment(now);
        let total = self.total.increment(now);
        // Some keys look hot by chance, so the count's standard deviation is subtracted from it.
        let significant = count - count.sqrt();
        REPLICAS_PER_CACHE_SHARE * caches as f64 * significant / (total + PRIOR_OTHER_CALLS)
    }
}
