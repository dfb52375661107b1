//! Events of clients' connections: connects, disconnects, and commands that are no API calls.
use quartzhub_policy::Time;

use super::clients::Client;
use super::Reducer;
use crate::messages::{AcceptCapacity, ClientId, Response};

impl Reducer {
    /// Returns the number of this client's commands whose response has not been sent.
    pub fn pending_responses(&self, client: ClientId) -> usize {
        self.state
            .clients
            .get(client)
            .map_or(0, Client::pending_responses)
    }

    /// Returns whether a value is being streamed to this client.
    pub fn is_streaming_to(&self, client: ClientId) -> bool {
        self.state
            .clients
            .get(client)
            .is_some_and(|client| !client.streaming.is_empty())
    }

    /// Returns whether this client has made an API call.
    pub fn has_made_calls(&self, client: ClientId) -> bool {
        self.state
            .clients
            .get(client)
            .is_some_and(|client| client.has_made_calls)
    }

    /// Returns the number of this client's commands that were rejected with an error.
    pub fn command_errors(&self, client: ClientId) -> usize {
        self.state
            .clients
            .get(client)
            .map_or(0, |client| client.command_errors)
    }

    /// Handles a client whose connection was accepted, and returns its id.
    pub fn on_client_connected(&mut self, now: Time) -> ClientId {
        self.advance_clock(now);
        let id = ClientId(self.state.next_connection_id());
        self.state.clients.insert(id, Client::connected(now));
        id
    }

    /// Handles a client whose connection is closed or broken: its API calls are cancelled.
    pub fn on_client_disconnected(&mut self, now: Time, id: ClientId) {
        self.advance_clock(now);
        let Some(client) = self.state.clients.remove(id) else {
            return;
        };
        self.state.memory.remove_buffered(client.buffered_bytes);
        for upstream in client.streaming {
            self.state.close_upstream(upstream);
        }
        for index in client.open_calls {
            self.state.remember_id(index);
            if self.state.calls.mark_finished(index) {
                self.state.cancel_unsent_attempts(index);
                self.balancer
                    .on_client_cancelled(now, index, &mut self.state);
            }
        }
        self.report_attempt_events();
    }

    /// Returns whether one more client can be accepted. If not, an idle connection is closed to
    /// free a socket: that of an evictable client, or else the upstream that has been idle longest.
    pub fn ensure_accept_capacity(&mut self, now: Time) -> AcceptCapacity {
        self.advance_clock(now);
        let state = &mut self.state;
        let client_limit = state.limits.sockets - state.limits.server_only_sockets;
        let below_client_limit = state.clients.len() < client_limit;
        if state.socket_count() < state.limits.sockets && below_client_limit {
            return AcceptCapacity::Free;
        }
        // Only connections without open calls are closed. Otherwise a burst of new connections,
        // also from misbehaving clients, would displace clients that make calls.
        if state.evict_client() || below_client_limit && state.close_longest_idle_upstream() {
            AcceptCapacity::Soon
        } else {
            AcceptCapacity::None
        }
    }

    /// Handles a client to which nothing is owed, and whose late input is only discarded.
    pub fn on_client_lingering(&mut self, now: Time, id: ClientId) {
        if let Some(client) = self.state.clients.get_mut(id) {
            client.closing = true;
            client.lingering_since = Some(now);
        }
    }

    /// Handles a client whose connection ends as soon as it has taken what was written to it.
    pub fn on_client_closing(&mut self, id: ClientId) {
        if let Some(client) = self.state.clients.get_mut(id) {
            client.closing = true;
        }
    }

    /// Rejects every further API call of this client, as its connection is about to be closed.
    pub fn reject_calls_of(&mut self, id: ClientId) {
        if let Some(client) = self.state.clients.get_mut(id) {
            client.rejects_calls = true;
        }
    }

    /// Handles responses written to a client; `bytes` is their size.
    pub fn on_delivered(&mut self, id: ClientId, bytes: usize) {
        if let Some(client) = self.state.clients.get_mut(id) {
            let bytes = bytes.min(client.buffered_bytes);
            client.buffered_bytes -= bytes;
            self.state.memory.remove_buffered(bytes);
            self.state.memory.notify_requests_for(id);
        }
    }

    /// Responds to a command that the node answers itself, without a server.
    pub fn respond_plain(&mut self, now: Time, id: ClientId, response: Vec<u8>) {
        self.advance_clock(now);
        if let Some(slot) = self.state.reserve_response_slot(id) {
            self.state.respond(id, slot, Response::Plain(response));
        }
    }

    /// Responds to a PING of the front load balancer, which asks whether the node accepts new
    /// clients: `ready` if it does, else an error, both in RESP format.
    pub fn respond_ping(&mut self, now: Time, id: ClientId, ready: Vec<u8>) {
        let response = if self.state.service.accepts_new_clients() {
            ready
        } else {
            b"-ERR out of service\r\n".to_vec()
        };
        self.respond_plain(now, id, response);
    }

    /// Responds with an error to a command that the node rejects without sending it to a server.
    pub fn respond_command_error(&mut self, now: Time, id: ClientId, error: &str) {
        if let Some(client) = self.state.clients.get_mut(id) {
            client.command_errors += 1;
        }
        self.respond_plain(now, id, format!("-ERR {error}\r\n").into_bytes());
    }

    /// Sends a client its last response. Nothing more is read from it, and it is closed once its
    /// pending responses are sent.
    pub fn respond_and_close(&mut self, now: Time, id: ClientId, response: Vec<u8>) {
        self.respond_plain(now, id, response);
        if let Some(client) = self.state.clients.get_mut(id) {
            client.closing = true;
            if client.pending_responses() == 0 {
                self.state.close_client(id);
            }
        }
    }
}
