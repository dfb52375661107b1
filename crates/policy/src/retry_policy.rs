//! The deployment's limits on attempts beyond a call's first.
use crate::call::Call;
use crate::config::PolicyConfig;
use crate::retry_budget::RetryBudget;
use crate::rules;
use crate::time::{Span, Time};

/// Limits on a call's attempts, and the budget of additional attempts.
#[derive(Default)]
pub(crate) struct RetryPolicy {
    pub(crate) max_attempts: usize,
    /// Whether two attempts of one call may be in flight at once.
    pub(crate) may_duplicate: bool,
    pub(crate) may_cancel: bool,
    pub(crate) budget: RetryBudget,
}

impl RetryPolicy {
    /// Applies a configuration.
    pub(crate) fn configure(&mut self, config: &PolicyConfig) {
        self.max_attempts = config.max_attempts;
        self.may_duplicate = config.may_duplicate;
        self.may_cancel = config.may_cancel;
        self.budget.config = config.retry_budget;
    }

    /// Returns whether an attempt of this call may start now.
    pub(crate) fn permits_attempt(&self, call: &Call, now: Time) -> bool {
        call.attempts.len() < call.max_attempts
            && (self.may_duplicate || call.in_flight() == 0)
            && self.is_within_budget(call, now)
    }

    /// Returns whether this call may have another attempt, which has to wait for those in flight if
    /// `may_duplicate` is false.
    pub(crate) fn permits_additional(&self, call: &Call, now: Time) -> bool {
        call.attempts.len() < call.max_attempts
            && self.is_within_budget(call, now)
            && rules::safe_retry_window(call, now) > Span::ZERO
    }

    /// Returns whether the budget permits another attempt. First attempts, and one after each miss,
    /// are outside the budget.
    fn is_within_budget(&self, call: &Call, now: Time) -> bool {
        call.attempts.is_empty() || call.uncharged_attempts > 0 || self.budget.allows(now)
    }
}
