//! Events of API calls: how a call of a client is checked, accepted and passed to the policy.
use std::rc::Rc;

use bytes::Bytes;
use quartzhub_policy::{CallRequest, Idempotency, Span, Time};
use quartzhub_settings::index_of;

use super::calls::Call;
use super::Reducer;
use crate::messages::{ClientId, Request, RequestAttributes, Response};

impl Reducer {
    /// Handles an API call of a client.
    pub fn on_call(
        &mut self,
        now: Time,
        client: ClientId,
        request: Request,
        attributes: RequestAttributes,
    ) {
        self.advance_clock(now);
        let product = index_of(&self.names.products, attributes.product);
        let counter = self.product_counters.get(product).copied().flatten();
        if let Some(error) = self.invalid_call(product, &request, &attributes) {
            // The command is well-formed: it does not count towards the limit of command errors.
            self.state.counters.count(counter, &Response::Error(error));
            return self.respond_plain(now, client, format!("-ERR {error}\r\n").into_bytes());
        }
        let Some(slot) = self.state.reserve_response_slot(client) else {
            return;
        };
        // Calls beyond the limits are rejected before they are stored, so that the node does not
        // run out of memory.
        let value_bytes = request.value.as_ref().map_or(0, Bytes::len);
        if self.rejects_calls_of(client) || self.is_overloaded_by(value_bytes) {
            let response = Response::RateLimited(None);
            self.state.counters.count(counter, &response);
            return self.state.respond(client, slot, response);
        }
        let time_left = self.time_left(now, &attributes);
        let request = Rc::new(request);
        let call = Call::new(request.clone(), client, slot, now + time_left, counter);
        let call = match self.products.get(product) {
            Some(product) => call.with_idempotency(product.idempotency),
            None => call,
        };
        let index = self.state.open_call(call);
        let call_request = CallRequest {
            product,
            tenant: index_of(&self.names.tenants, attributes.tenant),
            key: Some(&request.key),
            write: request.value.is_some(),
            client_retry: attributes.is_client_retry,
            time_left,
        };
        self.balancer
            .on_call(now, index, call_request, &mut self.state);
        self.report_attempt_events();
    }

    /// Returns whether calls of a product must not be executed twice, and servers can't tell a repeat.
    pub fn must_not_repeat(&self, product: Option<&str>) -> bool {
        let product = self.products.get(index_of(&self.names.products, product));
        product.is_some_and(|product| product.idempotency == Idempotency::NonIdempotent)
    }

    /// Returns the error text for a call that no server could use, or that a server would take for
    /// another API call; `None` if the call is valid.
    fn invalid_call(
        &mut self,
        product: usize,
        request: &Request,
        attributes: &RequestAttributes,
    ) -> Option<&'static str> {
        let Some(product) = self.products.get(product) else {
            return Some("no such product");
        };
        if product.idempotency == Idempotency::Deduplicated && !attributes.has_idempotency_key {
            return Some("this product needs a mark for repeated writes");
        }
        if self.state.calls.is_unfinished(&request.id) {
            return Some("an API call with this id is open");
        }
        let must_not_repeat = product.idempotency == Idempotency::NonIdempotent;
        let was_sent = attributes.sent_by_other_process
            || must_not_repeat && self.state.sent_ids.contains(&request.id, self.state.now);
        if must_not_repeat && was_sent {
            return Some("an API call with this id may have been executed");
        }
        None
    }

    fn rejects_calls_of(&self, client: ClientId) -> bool {
        self.state
            .clients
            .get(client)
            .is_some_and(|client| client.rejects_calls)
    }

    /// Whether there are too many open calls, or too little memory for the value of a write. A read
    /// needs memory only for its response, which waits for it.
    fn is_overloaded_by(&self, value_bytes: usize) -> bool {
        let limits = &self.state.limits;
        let buffered_bytes = self.state.memory.buffered() + value_bytes;
        self.state.calls.len() >= limits.open_calls
            || value_bytes > 0 && buffered_bytes > limits.buffered_bytes
    }

    /// Returns the time left for a call: the time left that its client stated, less the allowance
    /// for the network and the time for which the command lay unread. During a graceful shutdown
    /// it ends at the response deadline at the latest.
    fn time_left(&self, now: Time, attributes: &RequestAttributes) -> Span {
        let unread = self.state.stall_duration().max(attributes.queueing_time);
        let allowance = self.state.limits.network_allowance;
        let time_left = Span((attributes.time_left.0 - allowance.0 - unread.0).max(0));
        match self.state.response_deadline {
            Some(deadline) => time_left.min((deadline - now).max(Span::ZERO)),
            None => time_left,
        }
    }
}
