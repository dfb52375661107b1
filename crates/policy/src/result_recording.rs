//! What the policy learns from the result of an attempt: about its server, its key and its call's
//! product.
use crate::attempt::AttemptCause;
use crate::attempt_completion::EndedAttempt;
use crate::attempt_result::{AttemptResult, Outcome};
use crate::balancer::Balancer;
use crate::endpoint::ServerIndex;
use crate::outlier_detection::SLOW_RESPONSE_RATIO;
use crate::request::CallIndex;

impl Balancer {
    /// Records for its key how an attempt ended that has been recorded for its server before.
    pub(crate) fn record_key_result(
        &mut self,
        index: CallIndex,
        attempt: &EndedAttempt,
        result: &AttemptResult,
    ) {
        self.update_key_limiter(index, result);
        if !self.servers[attempt.server.0].is_origin {
            self.record_key_outcome(index, attempt.server, result);
        }
    }

    /// Records for its server that the response to an attempt has stalled.
    pub(crate) fn record_stalled_attempt(
        &mut self,
        index: CallIndex,
        attempt: &EndedAttempt,
        result: &AttemptResult,
    ) {
        if self.servers[attempt.server.0].is_origin {
            self.record_origin_result(index, attempt, result);
        } else {
            self.record_evidence(index, attempt.server, result);
        }
        if attempt.cause == AttemptCause::Overdue {
            self.hedge_tokens.record(false);
        }
    }

    fn record_origin_result(
        &mut self,
        index: CallIndex,
        attempt: &EndedAttempt,
        result: &AttemptResult,
    ) {
        let call = &self.calls[index.0];
        self.origin.record(
            result,
            call.product.latency_objective,
            call.write,
            attempt.uses_write_slot,
        );
    }

    /// Records how an attempt ended for its key and its server.
    pub(crate) fn record_result(
        &mut self,
        index: CallIndex,
        attempt: &EndedAttempt,
        result: &AttemptResult,
    ) {
        self.update_key_limiter(index, result);
        if self.servers[attempt.server.0].is_origin {
            self.record_origin_result(index, attempt, result);
        } else {
            self.record_cache_result(index, attempt.server, result);
        }
        if attempt.cause == AttemptCause::Overdue && result.outcome != Outcome::NotSent {
            self.hedge_tokens.record(result.outcome == Outcome::Success);
        }
    }

    /// Adjusts the concurrency limit of a key that fails at every cache.
    fn update_key_limiter(&mut self, index: CallIndex, result: &AttemptResult) {
        let call = &self.calls[index.0];
        let Some(limiter) = self.key_health.limiter(call.key) else {
            return;
        };
        let target = call.product.latency_objective.times(SLOW_RESPONSE_RATIO);
        match result.outcome {
            Outcome::Success => {
                limiter.record_response(1.0 - result.latency.0 as f64 / target.0 as f64);
            }
            Outcome::ServerError | Outcome::TimedOut => limiter.record_response(-1.0),
            _ => {}
        }
    }

    fn record_cache_result(
        &mut self,
        index: CallIndex,
        cache: ServerIndex,
        result: &AttemptResult,
    ) {
        self.record_cache_response(index, cache, result);
        let was_healthy = !self.outliers.is_outlier(&self.servers[cache.0], self.now);
        self.record_key_outcome(index, cache, result);
        self.record_evidence(index, cache, result);
        if was_healthy && result.outcome != Outcome::NotSent {
            self.admission
                .record_attempt(result.outcome == Outcome::Overloaded);
        }
    }

    fn record_evidence(&mut self, index: CallIndex, cache: ServerIndex, result: &AttemptResult) {
        let call = &self.calls[index.0];
        self.outliers.record(
            &mut self.servers[cache.0],
            result,
            call.product.latency_objective,
            self.key_health.is_limited(call.key),
            self.now,
        );
    }

    /// Records a response in the caches' load, or a refused connection.
    fn record_cache_response(
        &mut self,
        index: CallIndex,
        cache: ServerIndex,
        result: &AttemptResult,
    ) {
        let server = &mut self.servers[cache.0];
        match result.outcome {
            Outcome::Unreachable => {
                server.refused_connections += 1;
                server.connected = server.in_flight > 0;
                self.idle_connections.record_refused();
            }
            Outcome::Success | Outcome::Miss => {
                server.refused_connections = 0;
                let product = match result.outcome {
                    Outcome::Miss => None,
                    _ => Some(self.calls[index.0].product_index),
                };
                self.cache_load.record_response(result.latency, product);
                self.idle_connections.record_response();
            }
            _ => {}
        }
    }

    /// Records how an attempt at a cache ended for the call's key.
    fn record_key_outcome(&mut self, index: CallIndex, cache: ServerIndex, result: &AttemptResult) {
        let call = &self.calls[index.0];
        let latency_objective = call.product.latency_objective;
        let is_late = self.key_health.late_responses_are_failures
            && result.latency.0 as f64 > self.outliers.slow_micros(latency_objective);
        let is_good = match result.outcome {
            Outcome::Success | Outcome::Miss => Some(!is_late),
            Outcome::ServerError => Some(false),
            Outcome::TimedOut if is_late => Some(false),
            _ => None,
        };
        if let Some(is_good) = is_good {
            self.key_health.record(call.key, cache, is_good, self.now);
        }
        let target = latency_objective.times(SLOW_RESPONSE_RATIO);
        self.key_health.limit_if_failing(
            call.key,
            self.outliers.fleet_success_ratio,
            target.0 as f64,
            self.now,
        );
    }
}
