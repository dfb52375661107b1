//! Carries out the actions that the policy decides on.
use quartzhub_policy::{CallIndex, PolicyActions, ServerIndex, Span, Time};

use super::attempts::cancelled_outcome;
use super::calls::{Attempt, AttemptId};
use super::node_state::NodeState;
use super::timers::Timer;
use super::upstreams::UpstreamUse;
use crate::messages::Response;

impl PolicyActions for NodeState {
    fn dispatch(&mut self, call: CallIndex, server: ServerIndex, deadline: Time, write_by: Time) {
        let now = self.now;
        let Some(record) = self.calls.get_mut(call) else {
            return;
        };
        let index = record.attempts.len();
        record.attempts.push(Attempt {
            server,
            started: now,
            deadline: deadline.min(record.deadline),
            write_by,
            upstream: None,
        });
        self.start_attempt(AttemptId { call, index }, server);
    }

    fn cancel(&mut self, call: CallIndex, attempt: usize) {
        let attempt = AttemptId {
            call,
            index: attempt,
        };
        let Some(id) = self
            .calls
            .attempt(attempt)
            .and_then(|record| record.upstream)
        else {
            return;
        };
        if self.release_reserved_upstream(id) {
            return;
        }
        let Some(upstream) = self.close_upstream(id) else {
            return;
        };
        self.finish_attempt(attempt, cancelled_outcome(upstream.is_request_written()));
    }

    fn rate_limit(&mut self, call: CallIndex, retry_after: Option<Span>) {
        self.log_unsuccessful_call(call, "rejected");
        self.finish_call(call, Response::RateLimited(retry_after));
    }

    fn fail(&mut self, call: CallIndex) {
        self.log_unsuccessful_call(call, "failed");
        self.finish_call(call, Response::Error("failed"));
    }

    fn release_call(&mut self, index: CallIndex) {
        let Some(call) = self.calls.remove(index) else {
            return;
        };
        self.memory.remove_buffered(call.value_bytes());
        self.cancel_overdue_timer(index, call.deadline);
        if let Some(client) = self.clients.get_mut(call.client) {
            client.open_calls.retain(|open| *open != index);
        }
    }

    /// Releases a server, and closes all upstreams to it. Without this, one of them could be taken
    /// for an upstream to the next server that gets the same index.
    fn release_server(&mut self, server: ServerIndex) {
        for id in self.upstreams.ids_of_server(server) {
            let Some(upstream) = self.close_upstream(id) else {
                continue;
            };
            // The value that it was streaming breaks off.
            if let UpstreamUse::Streaming(target) = upstream.current_use {
                self.on_streaming_failed(id, target);
            }
        }
        self.servers.release(server);
        self.clients.shrink();
        self.upstreams.shrink();
    }

    fn set_timer(&mut self, after: Span) {
        let at = self.now + after;
        self.stall.expect_tick(at);
        self.timers.schedule(at, Timer::PolicyTick);
    }

    fn close_idle_connections(&mut self, server: ServerIndex) {
        if self.servers.get(server).is_some() {
            self.close_idle_upstreams(server);
        }
    }
}
