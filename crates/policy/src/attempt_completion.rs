//! The end of an attempt: what the policy learns from it, and how its API call continues.
use crate::actions::PolicyActions;
use crate::attempt::{AttemptCause, AttemptState};
use crate::attempt_result::{AttemptResult, Outcome};
use crate::balancer::Balancer;
use crate::endpoint::ServerIndex;
use crate::request::CallIndex;
use crate::time::Time;

/// An attempt that has just ended, or whose response has stalled.
pub(crate) struct EndedAttempt {
    pub(crate) server: ServerIndex,
    pub(crate) cause: AttemptCause,
    pub(crate) uses_write_slot: bool,
    /// Whether it was recorded before, as its response had stalled.
    pub(crate) released: bool,
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
        let from_origin = self.servers[attempt.server.0].is_origin;
        if attempt.released {
            self.record_key_result(index, &attempt, result);
        } else {
            self.record_result(index, &attempt, result);
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
        let server = &mut self.servers[attempt.server.0];
        server.last_used = self.now;
        let is_good = matches!(result.outcome, Outcome::Success | Outcome::Miss);
        if is_good && server.delisted_since.is_some() {
            server.delisted_since = Some(self.now);
        }
        self.release_attempt(index, result.attempt)
    }

    /// Stops counting an attempt as in flight at its server.
    pub(crate) fn release_attempt(
        &mut self,
        index: CallIndex,
        attempt_index: usize,
    ) -> Option<EndedAttempt> {
        let call = self.calls.get_mut(index.0)?;
        let attempt = call.attempts.get_mut(attempt_index)?;
        let was_released = std::mem::replace(&mut attempt.released, true);
        if !was_released {
            self.cache_load.remove(attempt);
            let server = &mut self.servers[attempt.server.0];
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        Some(EndedAttempt {
            server: attempt.server,
            cause: attempt.cause,
            uses_write_slot: attempt.uses_write_slot,
            released: was_released,
        })
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
