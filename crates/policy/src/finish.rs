//! Retries after failed attempts, final responses, and the release of a call's resources.
use crate::actions::PolicyActions;
use crate::attempt::AttemptState;
use crate::balancer::Balancer;
use crate::call::CallPhase;
use crate::endpoint::ServerIndex;
use crate::request::CallIndex;
use crate::rules;

/// Least Retry-After, as a fraction of the longest one; the rest is random, so that clients'
/// retries are spread out.
const MIN_RETRY_AFTER_RATIO: f64 = 0.5;

impl Balancer {
    /// Continues a call after an attempt ended without the final response: makes another attempt,
    /// waits for those in flight, or gives up.
    pub(crate) fn retry_or_finish(&mut self, index: CallIndex, actions: &mut impl PolicyActions) {
        let call = &self.calls[index.0];
        let others_in_flight = call.in_flight() > 0;
        let may_retry = self.retry_policy.permits_additional(call, self.now)
            && (self.retry_policy.may_duplicate || !others_in_flight);
        let others_active = call.active() > 0;
        // A hedged request may already be at the origin when a cache misses; a second fetch would
        // be redundant.
        let is_fetching = call.leads_fetch
            || call
                .attempts
                .iter()
                .any(|attempt| attempt.is_in_flight() && self.servers[attempt.server.0].is_origin);
        let waits_for_others = others_active && (!may_retry || !call.missed || is_fetching);
        if call.phase != CallPhase::InFlight || waits_for_others {
            return;
        }
        let key_fails_everywhere = !call.missed && self.key_health.is_limited(call.key);
        if may_retry && !key_fails_everywhere && self.now < call.client_deadline {
            self.coalesce_or_route(index, actions);
        } else {
            self.give_up(index, actions);
        }
    }

    /// Gives the final response: a rejection with a Retry-After if rule 2 permits it, otherwise an
    /// error. A call to which a server has begun to respond waits for the rest instead.
    pub(crate) fn give_up(&mut self, index: CallIndex, actions: &mut impl PolicyActions) {
        let call = &self.calls[index.0];
        if call.finished {
            return;
        }
        if call.is_receiving() {
            return self.await_response(index, actions);
        }
        if rules::may_be_rejected(call, self.now) {
            let safe_window = rules::safe_retry_window(call, self.now);
            let max_delay = call.product.client_timeout.min(safe_window);
            let max_delay = self
                .max_retry_after
                .map(|permitted| permitted.min(max_delay));
            let random_ratio =
                MIN_RETRY_AFTER_RATIO + (1.0 - MIN_RETRY_AFTER_RATIO) * self.rng.unit();
            actions.rate_limit(
                index,
                max_delay.map(|max_delay| max_delay.times(random_ratio)),
            );
        } else {
            actions.fail(index);
        }
        self.finish(index, None, actions);
    }

    /// Closes a call that has its final response: cancels its attempts in flight and releases the
    /// reads that waited for its fetch. `filled_cache` is the cache that has just received the
    /// object, if any.
    pub(crate) fn finish(
        &mut self,
        index: CallIndex,
        filled_cache: Option<ServerIndex>,
        actions: &mut impl PolicyActions,
    ) {
        let call = &mut self.calls[index.0];
        call.finished = true;
        let held_key_slot = std::mem::take(&mut call.holds_key_slot);
        let key = call.key;
        if held_key_slot {
            if let Some(limiter) = self.key_health.limiter(key) {
                limiter.release();
            }
        }
        self.origin.queue.retain(|other| *other != index);
        self.cancel_attempts(index, None, actions);
        let led_fetch = std::mem::take(&mut self.calls[index.0].leads_fetch);
        self.release_if_done(index, actions);
        if led_fetch {
            self.end_fetch(key, filled_cache, actions);
        }
    }

    /// Lets a call wait for the attempts in flight: it makes no others meanwhile.
    fn await_response(&mut self, index: CallIndex, actions: &mut impl PolicyActions) {
        self.origin.queue.retain(|other| *other != index);
        let servers = &self.servers;
        let call = &mut self.calls[index.0];
        call.phase = CallPhase::InFlight;
        let is_fetching = call
            .attempts
            .iter()
            .any(|attempt| attempt.is_in_flight() && servers[attempt.server.0].is_origin);
        if !is_fetching && std::mem::take(&mut call.leads_fetch) {
            let key = call.key;
            self.end_fetch(key, None, actions);
        }
    }

    /// Returns the cache that received the object of a fetched read: the one that missed, not one
    /// that reset the connection.
    pub(crate) fn filled_cache(&self, index: CallIndex) -> Option<ServerIndex> {
        self.calls[index.0]
            .attempts
            .iter()
            .find(|attempt| {
                attempt.state == AttemptState::NotExecuted
                    || self.servers[attempt.server.0].is_origin
            })
            .map(|attempt| attempt.server)
    }

    /// Cancels all attempts in flight except `except`, if cancelling is permitted.
    pub(crate) fn cancel_attempts(
        &mut self,
        index: CallIndex,
        except: Option<usize>,
        actions: &mut impl PolicyActions,
    ) {
        if !self.retry_policy.may_cancel {
            return;
        }
        for (attempt_index, attempt) in self.calls[index.0].attempts.iter_mut().enumerate() {
            if attempt.is_in_flight() && Some(attempt_index) != except {
                actions.cancel(index, attempt_index);
                self.cache_load.remove(attempt);
            }
        }
    }

    /// Releases a call that has no attempts in flight any more.
    pub(crate) fn release_if_done(&mut self, index: CallIndex, actions: &mut impl PolicyActions) {
        let call = &mut self.calls[index.0];
        if !call.live || call.in_flight() > 0 {
            return;
        }
        call.live = false;
        for attempt in &call.attempts {
            self.servers[attempt.server.0].pending_attempts -= 1;
        }
        actions.release_call(index);
    }
}
