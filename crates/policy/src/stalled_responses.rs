//! Responses that begin and then stall. A server that writes slowly can't be told from one that never
//! ends its response, so the attempt is kept for as long as the call may wait, and other servers are
//! asked meanwhile.
use crate::actions::PolicyActions;
use crate::attempt::ResponseProgress;
use crate::attempt_result::{AttemptResult, Outcome};
use crate::balancer::Balancer;
use crate::call::CallPhase;
use crate::request::CallIndex;
use crate::time::Time;

/// Largest fraction of the time left at the stall that is set aside for a replacement, where two
/// attempts may not be in flight. Where that is too little, the stalled attempt is not replaced.
const MAX_REPLACEMENT_TIME_RATIO: f64 = 0.5;

impl Balancer {
    /// Handles a change in how far the response to an attempt has come.
    pub fn on_response_progress(
        &mut self,
        now: Time,
        index: CallIndex,
        attempt: usize,
        progress: ResponseProgress,
        actions: &mut impl PolicyActions,
    ) {
        self.now = now;
        self.run_deadlines(actions);
        let call = self.calls.get_mut(index.0).filter(|call| call.live);
        let record = call.and_then(|call| call.attempts.get_mut(attempt));
        let Some(record) = record.filter(|record| record.is_in_flight()) else {
            return;
        };
        record.response = progress;
        if progress == ResponseProgress::Stalled {
            self.record_stall(index, attempt);
            self.ask_another_server(index, actions);
            self.send_queued(actions);
        }
    }

    /// Records a stalled response as a failure of its server, and frees what the attempt takes up
    /// there. Whether its key fails is known only once the attempt has ended.
    fn record_stall(&mut self, index: CallIndex, attempt: usize) {
        let call = &self.calls[index.0];
        let record = &call.attempts[attempt];
        if record.released {
            return;
        }
        let result = AttemptResult {
            attempt,
            outcome: Outcome::ServerError,
            latency: self.now - record.sent,
            call_finished: call.finished,
        };
        if let Some(released) = self.release_attempt(index, attempt) {
            self.record_stalled_attempt(index, &released, &result);
        }
    }

    /// Sends a call whose responses have all stalled to another server: beside them if two attempts
    /// may be in flight, else in place of the stalled one, as late as that may succeed.
    fn ask_another_server(&mut self, index: CallIndex, actions: &mut impl PolicyActions) {
        let call = &self.calls[index.0];
        let is_waiting = call.phase == CallPhase::InFlight && call.active() == 0;
        if call.finished || call.streaming || !is_waiting {
            return;
        }
        if self.retry_policy.may_duplicate {
            return self.retry_or_finish(index, actions);
        }
        if let Some(at) = self.replacement_time(index) {
            self.set_deadline(index, at);
        }
    }

    /// Returns when a stalled attempt has to be replaced so that a replacement can still respond in
    /// time; `None` if it is too late for that.
    fn replacement_time(&self, index: CallIndex) -> Option<Time> {
        let call = &self.calls[index.0];
        let time_left = call.client_deadline - self.now;
        let needed = self.cache_overdue_after(call.product.latency_objective);
        let in_time = needed <= time_left.times(MAX_REPLACEMENT_TIME_RATIO);
        in_time.then_some(call.client_deadline - needed)
    }

    /// Cancels a stalled attempt where two may not be in flight; a retry follows when its end is
    /// reported.
    pub(crate) fn replace_stalled_attempt(
        &mut self,
        index: CallIndex,
        actions: &mut impl PolicyActions,
    ) {
        let call = &self.calls[index.0];
        let retry_policy = &self.retry_policy;
        let may_replace = !retry_policy.may_duplicate
            && retry_policy.may_cancel
            && retry_policy.permits_additional(call, self.now)
            && !self.key_health.is_limited(call.key);
        if may_replace {
            self.cancel_attempts(index, None, actions);
        }
    }
}
