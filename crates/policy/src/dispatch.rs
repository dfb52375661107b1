//! Dispatch: the only place that sends attempts.
use crate::actions::PolicyActions;
use crate::attempt::{Attempt, AttemptCause};
use crate::balancer::Balancer;
use crate::call::CallPhase;
use crate::endpoint::ServerIndex;
use crate::hedging::{MAX_HEDGE_DELAY_RATIO, MIN_HEDGE_DELAY_RATIO};
use crate::request::CallIndex;
use crate::rules;
use crate::time::Span;

impl Balancer {
    /// Sends an attempt if rules 1 to 3 and the retry policy permit it; returns whether it did.
    pub(crate) fn send_attempt(
        &mut self,
        index: CallIndex,
        target: ServerIndex,
        cause: AttemptCause,
        actions: &mut impl PolicyActions,
    ) -> bool {
        if !self.permits(index, target) {
            return false;
        }
        let now = self.now;
        let call = &mut self.calls[index.0];
        let write_by = now + rules::safe_retry_window(call, now);
        let server = &mut self.servers[target.0];
        server.record_dispatch(now);
        let mut attempt = Attempt::new(target, now, cause);
        attempt.charged = self.retry_policy.budget.charge(call, now);
        if server.is_origin {
            attempt.uses_write_slot = !self.origin.limiter.has_capacity(now);
            self.origin
                .limiter_for(attempt.uses_write_slot)
                .acquire(now);
        } else {
            self.cache_load.add(&mut attempt);
            server.slow_start_credit -= 1.0;
        }
        call.attempts.push(attempt);
        call.phase = CallPhase::InFlight;
        actions.dispatch(index, target, call.client_deadline, write_by);
        if call.attempts.len() == 1 {
            self.hedge_tokens.earn();
        }
        let overdue_after = self.overdue_after(index, target);
        self.set_deadline(index, now + overdue_after);
        true
    }

    /// Returns whether rules 1 to 3 and the retry policy permit an attempt of this call at this
    /// server.
    fn permits(&self, index: CallIndex, target: ServerIndex) -> bool {
        let call = &self.calls[index.0];
        rules::may_be_sent(call, self.now)
            && rules::has_no_effect_twice(call, &self.servers, target, self.now)
            && rules::accepts_new_attempts(&self.servers[target.0])
            && self.retry_policy.permits_attempt(call, self.now)
    }

    /// Returns the time after which an attempt of this call at this server is overdue.
    fn overdue_after(&self, index: CallIndex, target: ServerIndex) -> Span {
        let call = &self.calls[index.0];
        let latency_objective = call.product.latency_objective;
        if self.servers[target.0].is_origin {
            Span(self.origin.target_micros(latency_objective, call.write) as i64)
        } else {
            self.cache_overdue_after(latency_objective)
        }
    }

    /// Returns the time after which an attempt at a cache is overdue.
    pub(crate) fn cache_overdue_after(&self, latency_objective: Span) -> Span {
        let objective_micros = latency_objective.0 as f64;
        let micros = self.outliers.p95_micros.clamp(
            MIN_HEDGE_DELAY_RATIO * objective_micros,
            MAX_HEDGE_DELAY_RATIO * objective_micros,
        );
        Span(micros as i64)
    }
}
