//! Sends commands and API calls their responses, in the order of each client's commands.
use quartzhub_policy::CallIndex;

use super::calls::Call;
use super::clients::ResponseSlot;
use super::node_state::NodeState;
use super::upstreams::StreamTarget;
use crate::memory_budget::MemoryUse;
use crate::messages::{ClientId, Effect, Response, UpstreamId};
use crate::service::IdleClientPolicy;

impl NodeState {
    /// Reserves the slot for the response to the client's next command.
    pub(super) fn reserve_response_slot(&mut self, id: ClientId) -> Option<ResponseSlot> {
        let client = self.clients.get_mut(id)?;
        client.last_active = self.now;
        let slot = client.reserve_slot();
        if self.service.stops_reading(self.now, &self.limits) {
            self.effects.push_back(Effect::DrainClient { client: id });
        }
        Some(slot)
    }

    /// Sets the response to one command. It is sent once the responses to all earlier commands of
    /// the client have been sent.
    pub(super) fn respond(&mut self, id: ClientId, slot: ResponseSlot, response: Response) {
        let Some(client) = self.clients.get_mut(id) else {
            return;
        };
        if !client.is_pending(slot) {
            return;
        }
        // Without this limit, a client that reads no responses, or has many of them at once, could
        // use up the memory.
        let size = response.size();
        let fits = self.memory.has_room(size, MemoryUse::Response)
            || size < self.limits.short_response_bytes;
        let response = if fits {
            response
        } else {
            Response::Error("no room for the answer")
        };
        self.memory.add_buffered(response.size());
        client.buffered_bytes += response.size();
        client.fill_slot(slot, response);
        client.last_active = self.now;
        while let Some(response) = client.pop_ready_response() {
            self.effects.push_back(Effect::Respond {
                client: id,
                response,
            });
        }
        let all_responded = client.pending_responses() == 0;
        let closing = client.closing || self.idle_client_policy() != IdleClientPolicy::Keep;
        if all_responded && closing {
            self.close_client(id);
        }
    }

    /// Adds an API call to the tables.
    pub(super) fn open_call(&mut self, call: Call) -> CallIndex {
        self.memory.add_buffered(call.value_bytes());
        let client_id = call.client;
        let deadline = call.deadline;
        let index = self.calls.insert(call);
        self.schedule_overdue_timer(index, deadline);
        if let Some(client) = self.clients.get_mut(client_id) {
            client.open_calls.push(index);
            let is_first_call = !client.has_made_calls;
            client.has_made_calls = true;
            if is_first_call {
                self.close_surplus_client();
            }
        }
        index
    }

    /// Sends an API call its final response.
    pub(super) fn finish_call(&mut self, index: CallIndex, response: Response) {
        let Some(call) = self.calls.get(index).filter(|call| !call.finished) else {
            return;
        };
        let client_id = call.client;
        let slot = call.slot;
        let counter = call.counter;
        if !matches!(response, Response::RateLimited(_)) {
            self.remember_id(index);
        }
        self.calls.mark_finished(index);
        // A streamed response is counted once its last byte is written.
        if !matches!(response, Response::Streamed { .. }) {
            self.counters.count(counter, &response);
        }
        if let Some(client) = self.clients.get_mut(client_id) {
            client.open_calls.retain(|open| *open != index);
        }
        self.respond(client_id, slot, response);
        self.cancel_unsent_attempts(index);
    }

    /// Handles a value that breaks off while it is streamed. The connection of a client that has
    /// received part of it ends there, as the client would wait for the rest or take the next
    /// response for it; a client that has received nothing of it gets an error.
    pub(super) fn on_streaming_failed(&mut self, id: UpstreamId, target: StreamTarget) {
        self.counters.count(target.counter, &Response::Error(""));
        self.broken_values += 1;
        let Some(client) = self.clients.get_mut(target.client) else {
            return;
        };
        client.streaming.retain(|upstream| *upstream != id);
        if !client.replace_streamed(id, Response::BROKEN_VALUE) {
            self.effects.push_back(Effect::BreakOffValue {
                client: target.client,
            });
        }
    }
}
