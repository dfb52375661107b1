//! Events of responses: received in part or whole, streamed to a client, malformed.
use quartzhub_policy::{Outcome, ResponseProgress, Time};

use super::attempt_end::EndReason;
use super::upstreams::{StreamTarget, Upstream, UpstreamUse};
use super::Reducer;
use crate::attempt_response::AttemptResponse;
use crate::messages::{Response, UpstreamId};

impl Reducer {
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
        self.report_attempt_events();
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
            return self.report_attempt_events();
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
        self.report_attempt_events();
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
        self.report_attempt_events();
    }

    /// Handles bytes of a response that is not complete yet, the first or further ones. If no more
    /// arrive for a while, it has stalled and other servers are asked: a response that is shorter
    /// than its stated length must not use up the time of its call.
    pub fn on_partial_response(&mut self, now: Time, id: UpstreamId) {
        self.advance_clock(now);
        let state = &mut self.state;
        let Some(Upstream {
            current_use: UpstreamUse::InFlight {
                attempt, response, ..
            },
            last_progress,
            ..
        }) = state.upstreams.get_mut(id)
        else {
            return;
        };
        *last_progress = now;
        let attempt = *attempt;
        let previous = std::mem::replace(response, ResponseProgress::Arriving);
        let Some(record) = state.calls.attempt(attempt) else {
            return;
        };
        let next_bytes_by = now + state.limits.response_stalled_after;
        let deadline = record.deadline.min(next_bytes_by);
        state.set_upstream_deadline(id, deadline);
        if previous != ResponseProgress::Arriving {
            state.report_progress(attempt, ResponseProgress::Arriving);
            self.report_attempt_events();
        }
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
