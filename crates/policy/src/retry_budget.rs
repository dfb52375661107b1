//! The budget of attempts beyond each API call's first, if the deployment limits them.
#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use crate::call::Call;
use crate::config::RetryBudgetConfig;
use crate::time::{Span, Time};

/// Largest number of API calls, and of additional attempts, that are recorded; if there are more,
/// the budget is smaller than configured.
const MAX_RECORDED: usize = 1 << 16;

/// Counts API calls and additional attempts in a sliding window.
#[derive(Default)]
pub(crate) struct RetryBudget {
    pub(crate) config: RetryBudgetConfig,
    calls: VecDeque<Time>,
    additional_attempts: VecDeque<Time>,
}

impl RetryBudget {
    fn is_limited(&self) -> bool {
        self.config.window > Span::ZERO
    }

    /// Records an API call.
    pub(crate) fn record_call(&mut self, now: Time) {
        if !self.is_limited() {
            return;
        }
        self.calls.push_back(now);
        let surplus = self.calls.len().saturating_sub(MAX_RECORDED);
        self.calls.drain(..surplus);
        let expired = |at: &Time| now - *at > self.config.window;
        self.calls.drain(..self.calls.partition_point(expired));
        self.additional_attempts
            .drain(..self.additional_attempts.partition_point(expired));
    }

    /// Records a miss, which entitles its call to an attempt outside the budget. If an attempt was
    /// already charged at the same time, it is refunded instead.
    pub(crate) fn record_miss(&mut self, call: &mut Call, now: Time) {
        let charged_now = call
            .attempts
            .last_mut()
            .filter(|attempt| attempt.charged && attempt.sent == now);
        match charged_now {
            Some(attempt) => {
                attempt.charged = false;
                self.additional_attempts.pop_back();
            }
            None => call.uncharged_attempts += 1,
        }
    }

    /// Charges an attempt sent now, unless it is the call's first, the budget is unlimited, or a
    /// miss entitles the call to it; returns whether it was charged.
    pub(crate) fn charge(&mut self, call: &mut Call, now: Time) -> bool {
        let charged =
            self.is_limited() && !call.attempts.is_empty() && call.uncharged_attempts == 0;
        call.uncharged_attempts = call.uncharged_attempts.saturating_sub(1);
        if charged {
            self.additional_attempts.push_back(now);
        }
        charged
    }

    /// Returns whether one more additional attempt may be made now. Whether the ends of the window
    /// belong to it is not specified, so the stricter reading is used for calls and for attempts.
    pub(crate) fn allows(&self, now: Time) -> bool {
        if !self.is_limited() {
            return true;
        }
        let window = self.config.window;
        let expired_calls = self.calls.partition_point(|at| now - *at >= window);
        let calls = self.calls.len() - expired_calls;
        let expired_attempts = self
            .additional_attempts
            .partition_point(|at| now - *at > window);
        let additional = self.additional_attempts.len() - expired_attempts;
        let allowed = self.config.free_attempts + self.config.attempts_per_call * calls as f64;
        additional < MAX_RECORDED && additional as f64 + 1.0 <= allowed
    }
}
