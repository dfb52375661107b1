//! What clients' connections report: that they come and go, and commands that are no API calls.
use quartzhub_policy::Time;

use super::clients::Client;
use super::Reducer;
use crate::messages::{AcceptCapacity, ClientId, Response};

impl Reducer {
    /// Commands of this client that have no response yet.
    pub fn pending_responses(&self, client: ClientId) -> usize {
        self.state
            .clients
            .get(client)
            .map_or(0, Client::pending_responses)
    }

    /// Whether a value is being streamed to this client.
    pub fn is_streaming_to(&self, client: ClientId) -> bool {
        self.state
            .clients
            .get(client)
            .is_some_and(|client| !client.streaming.is_empty())
    }

    /// Whether this client has made an API call.
    pub fn has_made_calls(&self, client: ClientId) -> bool {
        self.state
            .clients
            .get(client)
            .is_some_and(|client| client.has_made_calls)
    }

    /// How many commands of this client could not be done.
    pub fn command_errors(&self, client: ClientId) -> usize {
        self.state
            .clients
            .get(client)
            .map_or(0, |client| client.command_errors)
    }

    /// A client was accepted.
    pub fn on_client_connected(&mut self, now: Time) -> ClientId {
        self.advance_clock(now);
        let id = ClientId(self.state.next_connection_id());
        self.state.clients.insert(id, Client::connected(now));
        id
    }

    /// A client closed its connection, or it broke: its API calls are cancelled.
    pub fn on_client_disconnected(&mut self, now: Time, id: ClientId) {
        self.advance_clock(now);
        let Some(client) = self.state.clients.remove(id) else {
            return;
        };
        self.state.buffered_bytes = self
            .state
            .buffered_bytes
            .saturating_sub(client.buffered_bytes);
        for upstream in client.streaming {
            self.state.close_upstream(upstream);
        }
        for index in client.open_calls {
            if self.state.calls.mark_answered(index) {
                self.state.cancel_unwritten_attempts(index);
                self.balancer
                    .on_client_cancelled(now, index, &mut self.state);
            }
        }
        self.report_finished_attempts();
    }

    /// Whether one more client can be accepted. If not, the connection that has been idle longest is closed: to a
    /// server, or else a client's.
    pub fn free_capacity(&mut self, now: Time) -> AcceptCapacity {
        self.advance_clock(now);
        let state = &mut self.state;
        let most_clients = state.limits.sockets - state.limits.server_only_sockets;
        let below_client_limit = state.clients.len() < most_clients;
        if state.socket_count() < state.limits.sockets && below_client_limit {
            return AcceptCapacity::Free;
        }
        // Guards against a burst of new connections, bad clients' among them, that drives out those at work.
        if state.evict_client() || below_client_limit && state.close_longest_idle_upstream() {
            AcceptCapacity::Soon
        } else {
            AcceptCapacity::None
        }
    }

    /// From now on each API call of this client is rejected, as its connection is about to end.
    pub fn reject_calls_of(&mut self, id: ClientId) {
        if let Some(client) = self.state.clients.get_mut(id) {
            client.rejects_calls = true;
        }
    }

    /// Responses of so many bytes were written to a client.
    pub fn on_delivered(&mut self, id: ClientId, bytes: usize) {
        if let Some(client) = self.state.clients.get_mut(id) {
            let bytes = bytes.min(client.buffered_bytes);
            client.buffered_bytes -= bytes;
            self.state.buffered_bytes = self.state.buffered_bytes.saturating_sub(bytes);
        }
    }

    /// Responds to a command that the node answers by itself.
    pub fn respond_plain(&mut self, now: Time, id: ClientId, response: Vec<u8>) {
        self.advance_clock(now);
        if let Some(slot) = self.state.reserve_response_slot(id) {
            self.state.respond(id, slot, Response::Plain(response));
        }
    }

    /// Tells the front whether new clients may come here: `ready` if so, else an error, both in RESP's form.
    pub fn respond_ping(&mut self, now: Time, id: ClientId, ready: Vec<u8>) {
        let response = if self.state.service.accepts_new_clients() {
            ready
        } else {
            b"-ERR out of service\r\n".to_vec()
        };
        self.respond_plain(now, id, response);
    }

    /// Responds to a command that can't be done; it gets an error and reaches no server.
    pub fn respond_command_error(&mut self, now: Time, id: ClientId, what: &str) {
        if let Some(client) = self.state.clients.get_mut(id) {
            client.command_errors += 1;
        }
        self.respond_plain(now, id, format!("-ERR {what}\r\n").into_bytes());
    }

    /// Responds to a client from which nothing more is read; it is closed once it has its responses.
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
