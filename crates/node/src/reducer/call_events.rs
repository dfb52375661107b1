//! API calls as clients make them.
use std::rc::Rc;

use bytes::Bytes;
use quartzhub_policy::{CallRequest, Idempotency, Span, Time};
use quartzhub_settings::index_of;

use super::calls::Call;
use super::Reducer;
use crate::messages::{ClientId, Request, RequestAttributes, Response};

impl Reducer {
    /// A client makes an API call.
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
        if let Some(what) = self.invalid_call(product, &request, &attributes) {
            self.state.counters.count(counter, &Response::Error(what));
            return self.respond_command_error(now, client, what);
        }
        let Some(slot) = self.state.reserve_response_slot(client) else {
            return;
        };
        // Guards against running out of memory: what is over the limits is rejected before it is taken.
        let value_bytes = request.value.as_ref().map_or(0, Bytes::len);
        if self.rejects_calls_of(client) || self.is_overloaded_by(value_bytes) {
            let response = Response::RateLimited(None);
            self.state.counters.count(counter, &response);
            return self.state.respond(client, slot, response);
        }
        let time_left = self.time_left(now, &attributes);
        let request = Rc::new(request);
        let call = Call::new(request.clone(), client, slot, now + time_left, counter);
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
        self.report_finished_attempts();
    }

    /// Why a call gets an error at once, if it does. Guards against what no server can use, or would take for another
    /// API call.
    fn invalid_call(
        &self,
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
        if self.state.calls.is_unanswered(&request.id) {
            return Some("an API call with this id is open");
        }
        None
    }

    fn rejects_calls_of(&self, client: ClientId) -> bool {
        self.state
            .clients
            .get(client)
            .is_some_and(|client| client.rejects_calls)
    }

    fn is_overloaded_by(&self, value_bytes: usize) -> bool {
        let limits = &self.state.limits;
        self.state.calls.len() >= limits.open_calls
            || self.state.buffered_bytes + value_bytes > limits.buffered_bytes
    }

    /// The time that a call has, of what its client gave it: less the way there and back, and less what it has lain
    /// unread, and no longer than the process has.
    fn time_left(&self, now: Time, attributes: &RequestAttributes) -> Span {
        let unread = self.state.stall_duration().max(attributes.queued);
        let allowance = self.state.limits.network_allowance;
        let given = Span((attributes.time_left.0 - allowance.0 - unread.0).max(0));
        match self.state.response_deadline {
            Some(deadline) => given.min((deadline - now).max(Span::ZERO)),
            None => given,
        }
    }
}
