//! An adaptive limit on attempts in flight, adjusted by response times. A limit of less than a few
//! slots also acts as a rate limit.
use crate::time::Time;

/// Largest burst while the limit acts as a rate, in attempts: misses often come in pairs. Limits
/// below this number of slots act as a rate.
pub(crate) const MAX_BURST_ATTEMPTS: f64 = 2.0;
/// Largest change of the limit by one response, in slots.
const MAX_STEP_SLOTS: f64 = 0.25;
/// Largest change of the limit by one response, as a fraction of the limit.
const MAX_STEP_RATIO: f64 = 0.5;
/// Time in which a limit below one slot doubles by itself, as its responses are too rare to raise
/// it.
const RECOVERY_DOUBLING_SECONDS: f64 = 4.0;

/// A limit on attempts in flight, with a token bucket for limits that act as a rate.
#[derive(Default)]
pub(crate) struct ConcurrencyLimiter {
    pub(crate) in_flight: u32,
    /// Attempts that may be in flight, in slots; below `MAX_BURST_ATTEMPTS` it also acts as a rate.
    pub(crate) limit: f64,
    pub(crate) min_limit: f64,
    /// Value up to which responses within the target time raise the limit while no call waits for
    /// a slot.
    pub(crate) max_unsaturated_limit: f64,
    /// Response time that the limit is adjusted for, in microseconds.
    pub(crate) target_micros: f64,
    /// Delay of the network path as a multiple of the response time; attempts delayed there take no
    /// slot.
    pub(crate) path_delay_ratio: f64,
    /// Whether a call has waited for a slot, or got none, since the last response.
    pub(crate) saturated: bool,
    pub(crate) burst_tokens: f64,
    tokens_updated: Time,
}

impl ConcurrencyLimiter {
    /// Returns a limiter with this many slots and no burst tokens, whose limit grows little until
    /// calls wait for a slot.
    pub(crate) fn new(
        limit: f64,
        min_limit: f64,
        target_micros: f64,
        now: Time,
    ) -> ConcurrencyLimiter {
        ConcurrencyLimiter {
            limit,
            min_limit,
            max_unsaturated_limit: MAX_BURST_ATTEMPTS,
            target_micros,
            tokens_updated: now,
            ..ConcurrencyLimiter::default()
        }
    }

    /// Returns whether an attempt may start now. A small limit also acts as a rate, since each of
    /// hundreds of nodes has less than one slot.
    pub(crate) fn has_capacity(&self, now: Time) -> bool {
        let slots = (self.limit * (1.0 + self.path_delay_ratio)).floor();
        let acts_as_rate = self.limit < MAX_BURST_ATTEMPTS;
        f64::from(self.in_flight) < slots || acts_as_rate && self.burst_tokens_at(now) >= 1.0
    }

    fn burst_tokens_at(&self, now: Time) -> f64 {
        let earned = (now - self.tokens_updated).0 as f64 * self.limit / self.target_micros;
        (self.burst_tokens + earned).min(MAX_BURST_ATTEMPTS)
    }

    /// Takes a slot for an attempt that starts now.
    pub(crate) fn acquire(&mut self, now: Time) {
        self.in_flight += 1;
        self.burst_tokens = (self.burst_tokens_at(now) - 1.0).max(0.0);
        self.tokens_updated = now;
    }

    /// Releases the slot of an attempt that has ended.
    pub(crate) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Adjusts the limit by `spare_ratio`, the fraction of the target time that a response left
    /// unused; it is negative if the response took longer or was lost.
    pub(crate) fn record_response(&mut self, spare_ratio: f64) {
        if spare_ratio < 0.0 || self.saturated || self.limit < self.max_unsaturated_limit {
            let step = MAX_STEP_SLOTS.min(MAX_STEP_RATIO * self.limit);
            self.limit = (self.limit + step * spare_ratio.max(-1.0)).max(self.min_limit);
        }
    }

    /// Records an attempt that is overdue: it lowers the limit before its response arrives.
    /// Otherwise the limit would follow too late when a server slows down suddenly.
    pub(crate) fn record_overdue(&mut self, now: Time) {
        self.record_response(-1.0);
        self.burst_tokens = 0.0;
        self.tokens_updated = now;
    }

    /// Raises a limit below one slot as time passes. The rise is bounded: otherwise the limits of
    /// all nodes would grow while idle and then be used up all at once.
    pub(crate) fn recover(&mut self, elapsed_seconds: f64) {
        if self.limit < self.max_unsaturated_limit.min(1.0) {
            self.limit *= 1.0 + elapsed_seconds / RECOVERY_DOUBLING_SECONDS;
        }
    }
}
