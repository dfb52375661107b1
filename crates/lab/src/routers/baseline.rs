//! The baseline router: one rule that picks the cache, the origin for misses and writes, and
//! retries where rule 2 (no effect twice) allows them.
use std::collections::BTreeMap;

use quartzhub_policy::{
    AttemptResult, CallIndex, CallRequest, Endpoint, EndpointState, Idempotency, Outcome, Pcg,
    PolicyActions, PolicyConfig, Product, ServerIndex, Span, Time,
};

use super::pick::{murmur_finalize, CacheState, Pick};
use super::Router;

/// Offset of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// Retry delay that is sent to rate-limited clients.
const RETRY_AFTER: Span = Span::ms(100);
/// Index of the origin's kind in the laboratory's settings.
const ORIGIN_KIND: u32 = 1;

fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// An attempt of an API call.
struct Attempt {
    server: ServerIndex,
    in_flight: bool,
    /// The server may have executed it, so it may have had an effect.
    may_have_executed: bool,
}

/// An API call that is not yet released.
struct Call {
    product: Product,
    key: u64,
    write: bool,
    /// A cache did not have the value.
    missed: bool,
    /// The final response is sent, or the client has disconnected.
    ended: bool,
    deadline: Time,
    first_sent_at: Option<Time>,
    attempts: Vec<Attempt>,
}

impl Call {
    /// Whether no attempt so far can have had an effect.
    fn not_executed(&self) -> bool {
        self.attempts
            .iter()
            .all(|attempt| !attempt.may_have_executed)
    }

    /// Whether rule 2 (no effect twice) allows another attempt now.
    fn allows_attempt(&self, now: Time) -> bool {
        let window = self.product.dedup_window;
        let in_window = self
            .first_sent_at
            .is_none_or(|sent_at| now < sent_at + window);
        match self.product.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated => self.not_executed() || in_window,
            Idempotency::NonIdempotent => self.not_executed(),
        }
    }
}

/// A router that sends reads to a cache picked by one rule; the last attempt of a call, misses and
/// writes go to the origin.
pub struct Baseline<P> {
    pick: P,
    products: Vec<Product>,
    max_attempts: usize,
    rng: Pcg,
    caches: Vec<CacheState>,
    origin: Option<ServerIndex>,
    calls: BTreeMap<CallIndex, Call>,
}

impl<P: Pick> Baseline<P> {
    /// Returns a router without servers.
    pub fn new(pick: P, config: &PolicyConfig, seed: u64) -> Baseline<P> {
        Baseline {
            pick,
            products: config.products.clone(),
            max_attempts: config.max_attempts,
            rng: Pcg::new(seed),
            caches: Vec::new(),
            origin: None,
            calls: BTreeMap::new(),
        }
    }

    fn send_attempt<A: PolicyActions>(&mut self, now: Time, index: CallIndex, actions: &mut A) {
        let Some(call) = self.calls.get_mut(&index) else {
            return;
        };
        let sent_count = call.attempts.len();
        let is_last = sent_count + 1 >= self.max_attempts && sent_count > 0;
        let server = if call.write || call.missed || is_last || self.caches.is_empty() {
            self.origin
        } else {
            let position = self.pick.pick(&self.caches, call.key, &mut self.rng);
            Some(self.caches[position].server)
        };
        let may_send =
            call.allows_attempt(now) && now < call.deadline && sent_count < self.max_attempts;
        let Some(server) = server.filter(|_| may_send) else {
            return self.end_without_value(index, actions);
        };
        call.first_sent_at.get_or_insert(now);
        call.attempts.push(Attempt {
            server,
            in_flight: true,
            may_have_executed: true,
        });
        if let Some(cache) = self.caches.iter_mut().find(|cache| cache.server == server) {
            cache.in_flight += 1;
        }
        actions.dispatch(index, server, call.deadline, call.deadline);
    }

    /// Ends an API call without a value: it is rate-limited if it had no effect or is idempotent,
    /// and fails otherwise.
    fn end_without_value<A: PolicyActions>(&mut self, index: CallIndex, actions: &mut A) {
        let Some(call) = self.calls.get_mut(&index) else {
            return;
        };
        call.ended = true;
        if call.product.idempotency == Idempotency::Idempotent || call.not_executed() {
            actions.rate_limit(index, Some(RETRY_AFTER));
        } else {
            actions.fail(index);
        }
        self.finish(index, actions);
    }

    /// Releases an ended API call, or cancels its attempts that are still in flight.
    fn finish<A: PolicyActions>(&mut self, index: CallIndex, actions: &mut A) {
        let Some(call) = self.calls.get(&index).filter(|call| call.ended) else {
            return;
        };
        if call.attempts.iter().all(|attempt| !attempt.in_flight) {
            self.calls.remove(&index);
            actions.release_call(index);
            return;
        }
        for (attempt_index, attempt) in call.attempts.iter().enumerate() {
            if attempt.in_flight {
                actions.cancel(index, attempt_index);
            }
        }
    }
}

impl<P: Pick> Router for Baseline<P> {
    fn on_start<A: PolicyActions>(&mut self, _now: Time, _actions: &mut A) {}

    fn on_endpoint_list<'a, A: PolicyActions>(
        &mut self,
        _now: Time,
        complete: bool,
        endpoints: impl Iterator<Item = Endpoint<'a>>,
        _actions: &mut A,
    ) {
        let previous = self.caches.clone();
        if complete {
            self.caches.clear();
        }
        for endpoint in endpoints {
            let server = endpoint.server;
            let is_ready = endpoint.state == EndpointState::Ready;
            self.caches.retain(|cache| cache.server != server);
            if endpoint.kind == ORIGIN_KIND {
                self.origin = is_ready.then_some(server);
            } else if is_ready {
                let previous = previous.iter().find(|cache| cache.server == server);
                self.caches.push(CacheState {
                    server,
                    hash: murmur_finalize(fnv1a(endpoint.id)),
                    in_flight: previous.map_or(0, |cache| cache.in_flight),
                });
            }
        }
        self.caches.sort_by_key(|cache| cache.server);
    }

    fn on_call<A: PolicyActions>(
        &mut self,
        now: Time,
        index: CallIndex,
        request: CallRequest,
        actions: &mut A,
    ) {
        let product = request.product.min(self.products.len() - 1);
        let call = Call {
            product: self.products[product],
            key: request.key.map_or(0, fnv1a),
            write: request.write,
            missed: false,
            ended: false,
            deadline: now + request.time_left,
            first_sent_at: None,
            attempts: Vec::new(),
        };
        self.calls.insert(index, call);
        self.send_attempt(now, index, actions);
    }

    fn on_client_cancelled<A: PolicyActions>(
        &mut self,
        _now: Time,
        index: CallIndex,
        actions: &mut A,
    ) {
        if let Some(call) = self.calls.get_mut(&index) {
            call.ended = true;
            self.finish(index, actions);
        }
    }

    fn on_attempt_result<A: PolicyActions>(
        &mut self,
        now: Time,
        index: CallIndex,
        result: AttemptResult,
        actions: &mut A,
    ) {
        let Some(call) = self.calls.get_mut(&index) else {
            return;
        };
        let attempt = call.attempts.get_mut(result.attempt);
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight) else {
            return;
        };
        attempt.in_flight = false;
        attempt.may_have_executed = !result.outcome.proves_not_executed();
        let server = attempt.server;
        call.missed |= result.outcome == Outcome::Miss;
        call.ended |= result.call_finished;
        let ended = call.ended;
        if let Some(cache) = self.caches.iter_mut().find(|cache| cache.server == server) {
            cache.in_flight = cache.in_flight.saturating_sub(1);
        }
        if ended {
            self.finish(index, actions);
        } else {
            self.send_attempt(now, index, actions);
        }
    }

    fn on_timer<A: PolicyActions>(&mut self, _now: Time, _actions: &mut A) {}
}
