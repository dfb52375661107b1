//! Handling of new API calls, and of calls whose client has disconnected.
use crate::actions::PolicyActions;
use crate::balancer::Balancer;
use crate::cache_selector::replica_position;
use crate::call::Call;
use crate::config::Product;
use crate::hash::hash;
use crate::request::{CallIndex, CallRequest};
use crate::time::{Span, Time};

/// Calls without a key get a random one below this number, up to which an `f64` represents every
/// integer exactly.
const RANDOM_KEYS: f64 = (1u64 << 53) as f64;

impl Balancer {
    /// Handles a new API call of a client.
    pub fn on_call(
        &mut self,
        now: Time,
        index: CallIndex,
        request: CallRequest,
        actions: &mut impl PolicyActions,
    ) {
        self.now = now;
        self.run_deadlines(actions);
        self.open_call(index, &request);
        self.retry_policy.budget.record_call(now);
        if !self.acquire_key_slot(index) {
            return self.give_up(index, actions);
        }
        self.admit_call(index, actions);
    }

    /// Creates the state of a call under this index.
    fn open_call(&mut self, index: CallIndex, request: &CallRequest) {
        let now = self.now;
        let table_size = self.calls.len().max(index.0 + 1);
        self.calls.resize_with(table_size, Call::default);
        let key = match request.key {
            Some(key) => hash(key),
            None => (self.rng.unit() * RANDOM_KEYS) as u64,
        };
        let product_index = request.product.min(self.products.len() - 1);
        let product = self.products[product_index];
        // Clients' retries use no quota: late ones would use it up. They are shed according to the
        // weight that they have lost.
        let lost_weight_ratio = if request.client_retry {
            1.0 - product.late_priority_weight
        } else {
            0.0
        };
        let over_quota_ratio =
            self.admission
                .over_quota_ratio(request.tenant, lost_weight_ratio, now);
        let client_deadline = now + self.time_left(&product, request.time_left);
        self.last_serial = self.last_serial.wrapping_add(1);
        let call = &mut self.calls[index.0];
        let mut attempts = std::mem::take(&mut call.attempts);
        attempts.clear();
        *call = Call {
            serial: self.last_serial,
            live: true,
            product,
            product_index,
            max_attempts: self.retry_policy.max_attempts,
            over_quota_ratio,
            write: request.write,
            key,
            client_deadline,
            phase_deadline: now,
            attempts,
            ..Call::default()
        };
        self.calls[index.0].key_position = self.key_position(key);
    }

    /// Returns the time until a client gives up. Clients' clocks may differ from this node's, so it
    /// is the stated time plus `deadline_drift`, within the product's timeout.
    fn time_left(&self, product: &Product, stated: Span) -> Span {
        stated.max(product.client_timeout.min(stated + self.deadline_drift))
    }

    /// Returns the position of a call's key, or the position of a random one of its replicas if the
    /// key is hot.
    fn key_position(&mut self, key: u64) -> f64 {
        let caches = self.cache_selector.caches.len();
        let replicas = self.hot_keys.record_call(key, caches, self.now);
        let replica = if replicas > 1.0 {
            (self.rng.unit() * replicas).floor()
        } else {
            0.0
        };
        replica_position(key, replica)
    }

    /// Returns whether a call is sent to caches first.
    fn goes_to_caches_first(&self, call: &Call) -> bool {
        !(call.write && self.cache_aside)
    }

    /// Takes a slot of the key's limiter, if it has one; returns whether the call may continue.
    fn acquire_key_slot(&mut self, index: CallIndex) -> bool {
        let goes_to_caches_first = self.goes_to_caches_first(&self.calls[index.0]);
        let call = &mut self.calls[index.0];
        let Some(limiter) = self.key_health.limiter(call.key) else {
            return true;
        };
        if !goes_to_caches_first {
            return true;
        }
        let has_slot = limiter.has_capacity(self.now);
        limiter.saturated = !has_slot;
        call.holds_key_slot = has_slot;
        if has_slot {
            limiter.acquire(self.now);
        }
        has_slot
    }

    /// Admits a call or sheds it.
    fn admit_call(&mut self, index: CallIndex, actions: &mut impl PolicyActions) {
        let call = &self.calls[index.0];
        let goes_to_caches_first = self.goes_to_caches_first(call);
        let queueing_delay_ratio = if goes_to_caches_first {
            self.cache_load
                .queueing_delay_ratio(call.product_index, call.product.latency_objective)
        } else {
            0.0
        };
        let confidence = self.cache_load.averaging_speed().powi(2);
        let is_over_quota = call.is_over_quota();
        let admitted = self.admission.admit(
            call.over_quota_ratio,
            queueing_delay_ratio,
            confidence,
            &mut self.rng,
        );
        // A read within quota that the caches are too loaded for goes to the origin while that has
        // free slots, instead of being shed.
        let spills_over =
            goes_to_caches_first && !is_over_quota && self.origin.accepts_unmissed_read(self.now);
        if admitted {
            self.coalesce_or_route(index, actions);
        } else if spills_over {
            self.route_to_origin(index, actions);
        } else {
            self.give_up(index, actions);
        }
    }

    /// Handles a client's disconnection or cancellation: the call gets no response any more.
    pub fn on_client_cancelled(
        &mut self,
        now: Time,
        index: CallIndex,
        actions: &mut impl PolicyActions,
    ) {
        self.now = now;
        let call = self.calls.get(index.0);
        if call.is_some_and(|call| call.live && !call.finished) {
            self.finish(index, None, actions);
        }
    }
}
