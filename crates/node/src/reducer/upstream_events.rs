//! Events of upstreams: connected, written, response received, streaming a value, broken.
use quartzhub_policy::{Outcome, Time};

use super::attempt_end::EndReason;
use super::calls::Call;
use super::upstreams::{StreamTarget, Upstream, UpstreamUse};
use super::Reducer;
use crate::attempt_response::AttemptResponse;
use crate::messages::{ClientId, Effect, Response, UpstreamId};

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
        self.report_finished_attempts();
    }

    /// Handles the write of the last byte of the attempt in flight on an upstream.
    pub fn on_written(&mut self, id: UpstreamId) {
        let state = &mut self.state;
        let Some(upstream) = state.upstreams.get_mut(id) else {
            return;
        };
        let UpstreamUse::InFlight {
            attempt,
            request_written,
            response_started,
            ..
        } = &mut upstream.current_use
        else {
            return;
        };
        if !*request_written {
            *request_written = true;
            state.written_attempts += 1;
        }
        // Until now the upstream had the deadline of the write. The attempt's deadline replaces it,
        // unless the response has started: its next bytes have a deadline of their own.
        if *response_started {
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
        self.report_finished_attempts();
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
        self.report_finished_attempts();
    }

    /// Handles a server's response to the attempt in flight on an upstream.
    pub fn on_response(&mut self, now: Time, id: UpstreamId, response: AttemptResponse) {
        self.end_with_response(now, id, response, EndReason::ServerError);
    }

    /// Ends the attempt in flight on an upstream by a response; `failure` is the reason if that is a
    /// server error.
    fn end_with_response(
        &mut self,
        now: Time,
        id: UpstreamId,
        response: AttemptResponse,
        failure: EndReason,
    ) {
        self.advance_clock(now);
        let state = &mut self.state;
        let Some(&upstream) = state.upstreams.get(id) else {
            return;
        };
        let Some(attempt) = upstream.attempt_in_flight() else {
            return self.on_unsolicited_bytes(now, id);
        };
        if response.reusable && upstream.is_request_written() {
            state.record_response_end(id);
            state.return_upstream_to_pool(id);
        } else {
            state.close_upstream(id);
        }
        if let (Outcome::Success, Some(value)) = (response.outcome, response.value) {
            state.finish_call(attempt.call, Response::Success(value));
        }
        if response.outcome == Outcome::ServerError {
            state.end_attempt(&upstream, attempt, response.outcome, failure);
        } else {
            state.finish_attempt(attempt, response.outcome);
        }
        self.report_finished_attempts();
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

    fn call_in_flight(&self, id: UpstreamId) -> Option<&Call> {
        let upstream = self.state.upstreams.get(id)?;
        self.state.calls.get(upstream.attempt_in_flight()?.call)
    }

    /// Handles the first bytes of a value that is too large to be buffered. From here on the
    /// response is final: no attempt and no other response can follow. The policy gets the success
    /// now: its latency is that of the first bytes, as a client that reads the rest slowly says
    /// nothing about the server.
    pub fn on_streaming_started(&mut self, now: Time, id: UpstreamId, size: usize) {
        self.advance_clock(now);
        let state = &mut self.state;
        let Some(upstream) = state.upstreams.get(id) else {
            return;
        };
        let Some(attempt) = upstream.attempt_in_flight() else {
            return;
        };
        let request_written = upstream.is_request_written();
        let call = state.calls.get(attempt.call);
        let Some(call) = call.filter(|call| !call.finished && request_written) else {
            state.close_upstream(id);
            state.finish_attempt(attempt, Outcome::ServerError);
            return self.report_finished_attempts();
        };
        let target = StreamTarget {
            client: call.client,
            counter: call.counter,
        };
        state.cancel_upstream_timer(id);
        state.upstreams.start_streaming(id, target);
        if let Some(client) = state.clients.get_mut(target.client) {
            client.streaming.push(id);
        }
        state.finish_call(attempt.call, Response::Streamed { upstream: id, size });
        state.finish_attempt(attempt, Outcome::Success);
        self.report_finished_attempts();
    }

    /// Handles the end of streaming: the client has received the whole value from this upstream.
    pub fn on_streaming_finished(&mut self, now: Time, id: UpstreamId, reusable: bool) {
        self.advance_clock(now);
        let state = &mut self.state;
        let Some(&Upstream {
            current_use: UpstreamUse::Streaming(target),
            ..
        }) = state.upstreams.get(id)
        else {
            return;
        };
        let response = Response::Streamed {
            upstream: id,
            size: 0,
        };
        state.counters.count(target.counter, &response);
        state.upstreams.finish_streaming(id);
        if let Some(client) = state.clients.get_mut(target.client) {
            client.streaming.retain(|upstream| *upstream != id);
            client.last_active = now;
        }
        if reusable {
            state.record_response_end(id);
            state.return_upstream_to_pool(id);
        } else {
            state.close_upstream(id);
        }
        self.report_finished_attempts();
    }

    /// Handles bytes of a response that is not complete yet, the first or further ones, and sets a
    /// deadline for the next. Without it, an attempt whose response is shorter than its stated
    /// length would stay in flight until the deadline of its call.
    pub fn on_partial_response(&mut self, now: Time, id: UpstreamId) {
        self.advance_clock(now);
        let state = &mut self.state;
        let Some(Upstream {
            current_use:
                UpstreamUse::InFlight {
                    attempt,
                    response_started,
                    ..
                },
            last_progress,
            ..
        }) = state.upstreams.get_mut(id)
        else {
            return;
        };
        *response_started = true;
        *last_progress = now;
        let Some(attempt) = state.calls.attempt(*attempt) else {
            return;
        };
        let next_bytes_by = now + state.limits.response_gap_timeout;
        let deadline = attempt.deadline.min(next_bytes_by);
        state.set_upstream_deadline(id, deadline);
    }

    /// Handles a response of which nothing more is read for now, as there is no memory for it: its
    /// server does not have to send more before the attempt's deadline.
    pub fn on_response_paused(&mut self, now: Time, id: UpstreamId) {
        self.advance_clock(now);
        let state = &mut self.state;
        let upstream = state.upstreams.get(id);
        let attempt = upstream.and_then(Upstream::attempt_in_flight);
        let record = attempt.and_then(|attempt| state.calls.attempt(attempt));
        if let Some(deadline) = record.map(|attempt| attempt.deadline) {
            state.set_upstream_deadline(id, deadline);
        }
    }

    /// Handles malformed bytes from a server. The attempt may have been executed, and the upstream
    /// is closed.
    pub fn on_malformed_bytes(&mut self, now: Time, id: UpstreamId) {
        let response = AttemptResponse {
            outcome: Outcome::ServerError,
            value: None,
            reusable: false,
        };
        self.end_with_response(now, id, response, EndReason::MalformedResponse);
    }
}
