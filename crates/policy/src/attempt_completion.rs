//! The end of an attempt: what the policy learns from it, and how its API call continues.
use crate::actions::PolicyActions;
use crate::attempt::{AttemptCause, AttemptState};
use crate::attempt_result::{AttemptResult, Outcome};
use crate::balancer::Balancer;
use crate::endpoint::ServerIndex;
use crate::outlier_detection::SLOW_RESPONSE_RATIO;
use crate::request::CallIndex;
use crate::time::Time;

/// An attempt that has just ended.
struct EndedAttempt {
    server: ServerIndex,
    cause: AttemptCause,
    uses_write_slot: bool,
}

impl Balancer {
    /// Handles the end of an attempt.
    pub fn on_attempt_result(
        &mut self,
        now: Time,
        index: CallIndex,
        result: AttemptResult,
        actions: &mut impl PolicyActions,
    ) {
        self.now = now;
        // A call that is finished by this very result must be closed before deadlines run:
        // otherwise a deadline that is due could send it another attempt or a second response.
        if result.call_finished {
            self.complete_attempt(index, &result, actions);
            self.run_deadlines(actions);
        } else {
            self.run_deadlines(actions);
            self.complete_attempt(index, &result, actions);
        }
    }

    /// Handles the first byte of a streamed response. From here on the client is served by this
    /// attempt: the call's other attempts are cancelled if cancelling is permitted, and the call
    /// gets no further ones.
    pub fn on_first_byte(
        &mut self,
        now: Time,
        index: CallIndex,
        attempt: usize,
        actions: &mut impl PolicyActions,
    ) {
        self.now = now;
        let Some(call) = self.calls.get_mut(index.0).filter(|call| call.live) else {
            return;
        };
        call.streaming = true;
        self.cancel_attempts(index, Some(attempt), actions);
    }

    fn complete_attempt(
        &mut self,
        index: CallIndex,
        result: &AttemptResult,
        actions: &mut impl PolicyActions,
    ) {
        let Some(attempt) = self.end_attempt(index, result) else {
            return;
        };
        self.update_key_limiter(index, result);
        let from_origin = self.servers[attempt.server.0].is_origin;
        if from_origin {
            let call = &self.calls[index.0];
            self.origin.record(
                result,
                call.product.latency_objective,
                call.write,
                attempt.uses_write_slot,
            );
        } else {
            self.record_cache_result(index, attempt.server, result);
        }
        if attempt.cause == AttemptCause::Overdue && result.outcome != Outcome::NotSent {
            self.hedge_tokens.record(result.outcome == Outcome::Success);
        }
        if self.calls[index.0].finished {
            return self.release_if_done(index, actions);
        }
        self.continue_call(index, from_origin, result, actions);
        self.send_queued(actions);
    }

    /// Finishes a call that has its final response, or whose response was interrupted; otherwise
    /// makes another attempt.
    fn continue_call(
        &mut self,
        index: CallIndex,
        from_origin: bool,
        result: &AttemptResult,
        actions: &mut impl PolicyActions,
    ) {
        if !result.call_finished && !self.calls[index.0].streaming {
            self.record_miss(index, from_origin, result.outcome);
            return self.retry_or_finish(index, actions);
        }
        if !result.call_finished {
            actions.fail(index);
        }
        let filled_cache = if from_origin && result.outcome == Outcome::Success {
            self.filled_cache(index)
        } else {
            None
        };
        self.finish(index, filled_cache, actions);
    }

    /// Marks an attempt as ended. Returns `None` if it was not in flight.
    fn end_attempt(&mut self, index: CallIndex, result: &AttemptResult) -> Option<EndedAttempt> {
        let call = self.calls.get_mut(index.0).filter(|call| call.live)?;
        let attempt = call
            .attempts
            .get_mut(result.attempt)
            .filter(|attempt| attempt.is_in_flight())?;
        attempt.state = if result.outcome.proves_not_executed() {
            AttemptState::NotExecuted
        } else {
            AttemptState::MayHaveExecuted
        };
        self.cache_load.remove(attempt);
        let server = &mut self.servers[attempt.server.0];
        server.in_flight = server.in_flight.saturating_sub(1);
        server.last_used = self.now;
        let is_good = matches!(result.outcome, Outcome::Success | Outcome::Miss);
        if is_good && server.delisted_since.is_some() {
            server.delisted_since = Some(self.now);
        }
        Some(EndedAttempt {
            server: attempt.server,
            cause: attempt.cause,
            uses_write_slot: attempt.uses_write_slot,
        })
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
        let server = &self.servers[cache.0];
        let was_healthy = !self.outliers.is_outlier(server, self.now);
        self.record_key_outcome(index, cache, result);
        let call = &self.calls[index.0];
        self.outliers.record(
            &mut self.servers[cache.0],
            result,
            call.product.latency_objective,
            self.key_health.is_limited(call.key),
            self.now,
        );
        if was_healthy && result.outcome != Outcome::NotSent {
            self.admission
                .record_attempt(result.outcome == Outcome::Overloaded);
        }
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

    /// Routes the call to the origin next if a cache has missed, with an attempt outside the retry
    /// budget.
    fn record_miss(&mut self, index: CallIndex, from_origin: bool, outcome: Outcome) {
        let call = &mut self.calls[index.0];
        // A reset may mean that the call crashes the caches it is sent to, so the origin gets it
        // instead of the next cache.
        let reset_by_cache =
            outcome == Outcome::Reset && !call.write && self.origin.accepts_unmissed_read(self.now);
        let missed = outcome == Outcome::Miss;
        call.missed |= (missed || reset_by_cache) && !from_origin;
        if missed {
            self.retry_policy.budget.record_miss(call, self.now);
        }
    }
}
