//! Hedged requests: additional attempts for calls whose attempt is overdue.
use crate::actions::PolicyActions;
use crate::attempt::AttemptCause;
use crate::balancer::Balancer;
use crate::latency_baseline::SAMPLE_WEIGHT;
use crate::request::CallIndex;

/// Least delay before an attempt is overdue, as a fraction of the latency objective: hedging sooner
/// would waste attempts.
pub(crate) const MIN_HEDGE_DELAY_RATIO: f64 = 0.125;
/// Largest delay before an attempt is overdue, as a fraction of the latency objective: hedging
/// later would leave too little time.
pub(crate) const MAX_HEDGE_DELAY_RATIO: f64 = 0.5;
/// Tokens that a first attempt earns if no recent additional attempt succeeded.
const MIN_TOKENS_PER_CALL: f64 = 0.01;
/// Tokens that a first attempt earns if all recent additional attempts succeeded.
const MAX_TOKENS_PER_CALL: f64 = 0.2;
/// Capacity of the token bucket: enough for the calls in flight at one server that fails.
const MAX_TOKENS: f64 = 10.0;
/// Tokens at the start.
const START_TOKENS: f64 = 1.0;
/// Initial estimate of the success ratio of additional attempts.
const START_SUCCESS_RATIO: f64 = 0.5;

/// A token bucket for additional attempts. First attempts refill it, with more tokens the higher
/// the success ratio of additional attempts is.
#[derive(Default)]
pub(crate) struct HedgeTokens {
    tokens: f64,
    success_ratio: f64,
}

impl HedgeTokens {
    /// Resets the bucket and the success ratio to their initial values.
    pub(crate) fn reset(&mut self) {
        self.tokens = START_TOKENS;
        self.success_ratio = START_SUCCESS_RATIO;
    }

    /// Adds the fraction of a token that a first attempt earns.
    pub(crate) fn earn(&mut self) {
        let earned =
            MIN_TOKENS_PER_CALL + (MAX_TOKENS_PER_CALL - MIN_TOKENS_PER_CALL) * self.success_ratio;
        self.tokens = (self.tokens + earned).min(MAX_TOKENS);
    }

    /// Takes a token if there is one; returns whether there was.
    pub(crate) fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Records how an additional attempt ended.
    pub(crate) fn record(&mut self, success: bool) {
        self.success_ratio += SAMPLE_WEIGHT * (f64::from(u8::from(success)) - self.success_ratio);
    }
}

/// How to handle an overdue attempt.
enum OverdueAction {
    /// Send another attempt in parallel.
    Hedge,
    /// Cancel it; a retry follows when its end is reported.
    CancelAndRetry,
    /// Wait, and check it again later.
    Wait,
}

impl Balancer {
    /// Handles an overdue attempt: hedges it, cancels and retries it, or keeps waiting.
    pub(crate) fn on_attempt_overdue(
        &mut self,
        index: CallIndex,
        actions: &mut impl PolicyActions,
    ) {
        let call = &self.calls[index.0];
        let Some(overdue) = call.attempts.last().filter(|last| last.is_in_flight()) else {
            return;
        };
        if overdue.is_stalled() {
            return self.replace_stalled_attempt(index, actions);
        }
        let is_receiving = overdue.is_receiving();
        let server = &self.servers[overdue.server.0];
        let at_origin = server.is_origin;
        let server_is_outlier = self.outliers.is_outlier(server, self.now);
        let lost = !is_receiving && self.outliers.is_lost(self.now - overdue.sent);
        if at_origin && !self.origin.is_path_lossy() {
            let uses_write_slot = overdue.uses_write_slot;
            self.origin.limiter.record_overdue(self.now);
            if uses_write_slot {
                self.origin.write_limiter.record_overdue(self.now);
            }
        }
        if server_is_outlier || lost {
            self.exclude_from_load(index);
        }
        let call = &self.calls[index.0];
        let is_origin_write = call.write && self.cache_aside;
        if at_origin || call.streaming || is_origin_write || call.active() > 1 {
            return;
        }
        match self.overdue_action(index, server_is_outlier, lost) {
            OverdueAction::CancelAndRetry => {
                self.calls[index.0].replaces_overdue = true;
                return self.cancel_attempts(index, None, actions);
            }
            OverdueAction::Hedge if self.send_hedge(index, actions) => return,
            OverdueAction::Hedge | OverdueAction::Wait => {}
        }
        let latency_objective = self.calls[index.0].product.latency_objective;
        let next = self.now + latency_objective.times(MIN_HEDGE_DELAY_RATIO);
        self.set_deadline(index, next);
    }

    /// Stops counting a call's last attempt in the caches' load: attempts at a failing cache, and
    /// attempts whose responses are lost, are no sign of queueing.
    fn exclude_from_load(&mut self, index: CallIndex) {
        if let Some(attempt) = self.calls[index.0].attempts.last_mut() {
            self.cache_load.remove(attempt);
        }
    }

    fn overdue_action(
        &mut self,
        index: CallIndex,
        server_is_outlier: bool,
        lost: bool,
    ) -> OverdueAction {
        let call = &self.calls[index.0];
        let may_duplicate = self.retry_policy.may_duplicate;
        // Only a lost attempt may be replaced; otherwise attempts would be cancelled that a loaded
        // cache is about to respond to.
        let may_replace = lost && self.retry_policy.may_cancel;
        let permitted = self.retry_policy.permits_additional(call, self.now)
            && !self.key_health.is_limited(call.key)
            && (may_duplicate || may_replace);
        if !permitted || !server_is_outlier && !self.hedge_tokens.spend() {
            OverdueAction::Wait
        } else if may_duplicate {
            OverdueAction::Hedge
        } else {
            OverdueAction::CancelAndRetry
        }
    }

    /// Sends a hedged request beside the attempt in flight if a server can be selected for it;
    /// returns whether it did.
    fn send_hedge(&mut self, index: CallIndex, actions: &mut impl PolicyActions) -> bool {
        match self.select_server(index, AttemptCause::Overdue) {
            Some(server) => self.send_attempt(index, server, AttemptCause::Overdue, actions),
            None => false,
        }
    }
}
