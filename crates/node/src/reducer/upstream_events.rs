//! Events of upstreams: connected, written, broken; and what their tasks ask of the reducer.
use quartzhub_policy::{Outcome, ResponseProgress, Time};

use super::attempt_end::EndReason;
use super::calls::Call;
use super::upstreams::{Upstream, UpstreamUse};
use super::Reducer;
use crate::messages::{ClientId, Effect, UpstreamId};

impl Reducer {
    /// Handles an upstream that has connected: the attempt that it was opened for is written, if
    /// it may still be made.
    pub fn on_connected(&mut self, now: Time, id: UpstreamId) {
        self.advance_clock(now);
        if let Some(&Upstream {
            current_use: UpstreamUse::Connecting { attempt },
            ..
        }) = self.state.upstreams.get(id)
        {
            self.state.write_attempt(id, attempt, true);
        }
        self.report_attempt_events();
    }

    /// Handles the last byte of the attempt in flight on an upstream, which has been written but not
    /// sent by the system. The server may execute the request from now on, but has to receive it within
    /// the time for the write.
    pub fn on_buffered(&mut self, id: UpstreamId) {
        let upstream = self.state.upstreams.get_mut(id);
        if let Some(UpstreamUse::InFlight {
            request_written, ..
        }) = upstream.map(|upstream| &mut upstream.current_use)
        {
            *request_written = true;
        }
    }

    /// Handles the last byte of the attempt in flight on an upstream, which has been written and sent.
    pub fn on_written(&mut self, id: UpstreamId) {
        let state = &mut self.state;
        let Some(upstream) = state.upstreams.get_mut(id) else {
            return;
        };
        let UpstreamUse::InFlight {
            attempt,
            request_written,
            request_sent,
            response,
            ..
        } = &mut upstream.current_use
        else {
            return;
        };
        let response = *response;
        *request_written = true;
        if !std::mem::replace(request_sent, true) {
            state.written_attempts += 1;
        }
        // Until now the upstream had the deadline of the write. The attempt's deadline replaces it,
        // unless the response has started: its next bytes have a deadline of their own.
        if response != ResponseProgress::Awaited {
            return;
        }
        let write_deadline = upstream.deadline;
        let deadline = state
            .calls
            .attempt(*attempt)
            .map(|attempt| attempt.deadline);
        if let Some(deadline) = deadline.filter(|deadline| write_deadline < *deadline) {
            state.set_upstream_deadline(id, deadline);
        }
    }

    /// Handles an attempt that was not written in full because its client has disconnected.
    pub fn on_write_skipped(&mut self, now: Time, id: UpstreamId) {
        let upstream = self.state.upstreams.get(id);
        let Some(attempt) = upstream.and_then(Upstream::attempt_in_flight) else {
            return;
        };
        if let Some(client) = self.state.calls.get(attempt.call).map(|call| call.client) {
            self.on_client_disconnected(now, client);
        }
    }

    /// Handles an upstream that failed to connect, broke, or was closed by the server.
    pub fn on_connection_broken(&mut self, now: Time, id: UpstreamId) {
        self.advance_clock(now);
        let state = &mut self.state;
        let Some(upstream) = state.remove_upstream(id) else {
            return;
        };
        match upstream.current_use {
            UpstreamUse::Idle | UpstreamUse::Closing => {}
            UpstreamUse::Connecting { attempt } => state.end_attempt(
                &upstream,
                attempt,
                Outcome::Unreachable,
                EndReason::ConnectionBroken,
            ),
            UpstreamUse::Reserved { attempt } => state.start_attempt(attempt, upstream.server),
            UpstreamUse::InFlight {
                attempt,
                request_written: true,
                ..
            } => state.end_attempt(
                &upstream,
                attempt,
                Outcome::Reset,
                EndReason::ConnectionBroken,
            ),
            UpstreamUse::InFlight {
                attempt,
                new_connection: true,
                ..
            } => state.end_attempt(
                &upstream,
                attempt,
                Outcome::Unreachable,
                EndReason::ConnectionBroken,
            ),
            // The server may have closed the upstream while it was idle, which is no fault. As the
            // last byte is not written, the attempt has not been made: a new upstream carries it.
            UpstreamUse::InFlight { attempt, .. } => state.open_upstream(attempt),
            UpstreamUse::Streaming(target) => state.on_streaming_failed(id, target),
        }
        self.report_attempt_events();
    }

    /// Handles bytes that a server sent while no attempt awaited a response. They may be a
    /// duplicate of the last response, and what follows on the upstream can't be told from it.
    pub fn on_unsolicited_bytes(&mut self, now: Time, id: UpstreamId) {
        self.advance_clock(now);
        self.state.record_unsolicited_bytes(id);
        self.state
            .effects
            .push_back(Effect::CloseUpstream { upstream: id });
        self.on_connection_broken(now, id);
    }

    /// Handles a connect that failed because this machine lacks a resource, such as descriptors or
    /// ports. The server is not blamed.
    pub fn on_local_connect_failure(&mut self, now: Time, id: UpstreamId) {
        self.advance_clock(now);
        if let Some(Upstream {
            current_use: UpstreamUse::Connecting { attempt },
            ..
        }) = self.state.remove_upstream(id)
        {
            self.state.finish_attempt(attempt, Outcome::NotSent);
        }
        self.report_attempt_events();
    }

    /// Returns whether, on the client's connection, no API call is pending after the one whose
    /// response is received on this upstream.
    pub fn has_no_later_call(&self, id: UpstreamId) -> bool {
        let Some(call) = self.call_in_flight(id) else {
            return true;
        };
        match self.state.clients.get(call.client) {
            Some(client) => client.has_no_later_call(call.slot),
            None => true,
        }
    }

    /// Returns whether the response that is received on this upstream is the next one that its client
    /// gets: everything before it is written.
    pub fn is_next_response(&self, id: UpstreamId) -> bool {
        let Some(call) = self.call_in_flight(id) else {
            return false;
        };
        let client = self.state.clients.get(call.client);
        client.is_some_and(|client| client.is_next(call.slot))
    }

    /// Returns the client of the API call whose response is received on this upstream.
    pub fn requester(&self, id: UpstreamId) -> Option<ClientId> {
        self.call_in_flight(id).map(|call| call.client)
    }

    /// Returns when the time of the API call whose response is received on this upstream is over.
    pub fn call_deadline(&self, id: UpstreamId) -> Option<Time> {
        self.call_in_flight(id).map(|call| call.deadline)
    }

    fn call_in_flight(&self, id: UpstreamId) -> Option<&Call> {
        let upstream = self.state.upstreams.get(id)?;
        self.state.calls.get(upstream.attempt_in_flight()?.call)
    }
}
