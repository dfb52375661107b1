//! How attempts end: counts every end, and logs those that are no ordinary response.
use quartzhub_policy::{CallIndex, Outcome, ResponseProgress, Span};

use super::calls::AttemptId;
use super::node_state::NodeState;
use super::upstreams::{Upstream, UpstreamUse};

/// Why an attempt ended without a response that can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndReason {
    /// The upstream did not connect within the connect timeout.
    ConnectTimeout,
    /// The request was not written within its time.
    WriteTimeout,
    /// The response was not complete at the deadline of the attempt.
    ResponseTimeout,
    /// The response had stalled, and its socket was needed for another connection.
    SocketNeeded,
    /// The connection failed, broke, or was closed by the server.
    ConnectionBroken,
    /// The server's bytes are no response.
    MalformedResponse,
    /// The server responded with an error.
    ServerError,
}

impl EndReason {
    fn text(self) -> &'static str {
        match self {
            EndReason::ConnectTimeout => "the connect timed out",
            EndReason::WriteTimeout => "writing the request timed out",
            EndReason::ResponseTimeout => "the response is not complete in time",
            EndReason::SocketNeeded => "its socket is needed",
            EndReason::ConnectionBroken => "the connection broke",
            EndReason::MalformedResponse => "the response is malformed",
            EndReason::ServerError => "the server responded with an error",
        }
    }
}

/// The state of an attempt, as it is logged.
fn state_text(current_use: UpstreamUse) -> &'static str {
    match current_use {
        UpstreamUse::Connecting { .. } => "connecting",
        UpstreamUse::Reserved { .. } => "waiting for an upstream",
        UpstreamUse::InFlight {
            response: ResponseProgress::Arriving,
            ..
        } => "response begun",
        UpstreamUse::InFlight {
            response: ResponseProgress::Stalled,
            ..
        } => "response stalled",
        UpstreamUse::InFlight {
            request_sent: true, ..
        } => "request written",
        UpstreamUse::InFlight {
            request_written: true,
            ..
        } => "request partly sent",
        UpstreamUse::InFlight { .. } => "request partly written",
        UpstreamUse::Streaming(_) => "value streamed",
        UpstreamUse::Idle | UpstreamUse::Closing => "idle",
    }
}

impl NodeState {
    /// Ends the attempt that `upstream` carried, and logs why.
    pub(super) fn end_attempt(
        &mut self,
        upstream: &Upstream,
        attempt: AttemptId,
        outcome: Outcome,
        reason: EndReason,
    ) {
        self.log_attempt_end(upstream, attempt, reason);
        self.finish_attempt(attempt, outcome);
    }

    /// Logs an attempt of a call that still awaits its response.
    fn log_attempt_end(&self, upstream: &Upstream, attempt: AttemptId, reason: EndReason) {
        let call = self.calls.get(attempt.call);
        let Some(call) = call.filter(|call| !call.finished) else {
            return;
        };
        let Some(address) = self.servers[upstream.server].addr else {
            return;
        };
        let id = call.request.id.as_str();
        let state = state_text(upstream.current_use);
        let reason = reason.text();
        let silent_ms = (self.now - upstream.last_progress).as_ms();
        let left_ms = (call.deadline - self.now).as_ms();
        tracing::warn!(
            id,
            server = %address,
            state,
            reason,
            silent_ms,
            left_ms,
            "attempt of call {id} at {address} ended: {reason} (state: {state}, no progress for \
             {silent_ms:.0} ms, {left_ms:.0} ms left)"
        );
    }

    /// Logs a response that has begun, of which nothing more has arrived for a while.
    pub(super) fn log_stalled_response(&self, upstream: &Upstream, attempt: AttemptId) {
        let Some(call) = self.calls.get(attempt.call) else {
            return;
        };
        let Some(address) = self.servers[upstream.server].addr else {
            return;
        };
        let id = call.request.id.as_str();
        let silent_ms = (self.now - upstream.last_progress).as_ms();
        let left_ms = (call.deadline - self.now).as_ms();
        tracing::info!(
            id,
            server = %address,
            silent_ms,
            left_ms,
            "response to call {id} from {address} has stalled: no bytes for {silent_ms:.0} ms, \
             {left_ms:.0} ms left"
        );
    }

    /// Logs a call that gets no value although attempts of it were made.
    pub(super) fn log_unsuccessful_call(&self, index: CallIndex, response: &'static str) {
        let Some(call) = self.calls.get(index).filter(|call| !call.finished) else {
            return;
        };
        let attempts = call.attempts.len();
        if attempts == 0 {
            return;
        }
        let id = call.request.id.as_str();
        let left_ms = (call.deadline - self.now).max(Span::ZERO).as_ms();
        tracing::info!(
            id,
            attempts,
            left_ms,
            response,
            "call {id} {response} after {attempts} attempts, {left_ms:.0} ms left"
        );
    }
}
