//! Events from the process and from operators: service state, graceful shutdown, reloads and
//! metrics.
use quartzhub_policy::{EndpointState, Span, Time};

use super::Reducer;
use crate::metrics::Metrics;
use crate::service::IdleClientPolicy;

impl Reducer {
    /// Limits the deadline of every API call, including open ones, to `deadline`. Without this, a
    /// call whose client timeout is longer than the time before a planned restart would lose its
    /// response when the process exits.
    pub fn set_response_deadline(&mut self, deadline: Time) {
        let state = &mut self.state;
        let deadline = state
            .response_deadline
            .map_or(deadline, |earlier| earlier.min(deadline));
        state.response_deadline = Some(deadline);
        for index in state.calls.unfinished() {
            let Some(call) = state.calls.get_mut(index) else {
                continue;
            };
            let call_deadline = call.deadline;
            if call_deadline <= deadline {
                continue;
            }
            call.deadline = deadline;
            state.cancel_overdue_timer(index, call_deadline);
            state.schedule_overdue_timer(index, deadline);
        }
    }

    /// Returns the duration of a stall that the process has just had, or zero if there was none.
    pub fn stall_duration(&mut self, now: Time) -> Span {
        self.advance_clock(now);
        self.state.stall_duration()
    }

    /// Handles the start of the graceful shutdown: from now on clients are closed between
    /// responses, and the node does not return to service.
    pub fn on_shutdown(&mut self, now: Time) {
        self.advance_clock(now);
        self.state.service.stop(now);
        self.state.on_service_leaving();
    }

    /// Handles the start of listening: from now on the process accepts clients.
    pub fn on_listening(&mut self) {
        self.state.service.on_listening();
    }

    /// Takes the node out of service on an operator's request: PING gets an error from now on, and
    /// once the front load balancer has had time to react, clients are closed between responses.
    pub fn leave_service(&mut self, now: Time) {
        self.advance_clock(now);
        self.state.service.start_draining(now);
        self.state.on_service_leaving();
    }

    /// Puts the node back in service on an operator's request.
    pub fn enter_service(&mut self, now: Time) {
        self.advance_clock(now);
        self.state.service.resume();
    }

    /// Returns whether clients are closed between responses, as the node drains or stops.
    pub fn is_leaving(&self) -> bool {
        self.state.idle_client_policy() != IdleClientPolicy::Keep
    }

    /// Returns whether the node is in service.
    pub fn is_ready(&self) -> bool {
        self.state.service.is_ready()
    }

    /// Counts a reload of the configuration, which was either applied or rejected.
    pub fn on_config_reload(&mut self, applied: bool) {
        if applied {
            self.applied_reloads += 1;
        } else {
            self.rejected_reloads += 1;
        }
    }

    /// Returns the counters and gauges that operators read.
    pub fn metrics(&self, now: Time) -> Metrics<'_> {
        let state = &self.state;
        let pool = state
            .servers
            .iter()
            .filter(|(_, server)| server.state != EndpointState::Gone && !server.is_origin);
        Metrics {
            responses: state.counters.all(),
            attempts: state.written_attempts,
            attempt_ends: state.attempt_ends,
            stalled_responses: state.stalled_responses,
            broken_values: state.broken_values,
            unsolicited_responses: state.unsolicited.total,
            late_unsolicited_responses: state.unsolicited.late,
            reuse_waits: state.reuse_waits,
            active: state.calls.unfinished_count() + state.upstreams.streaming_count(),
            pool_size: pool.count(),
            pool_ejected: self.balancer.outlier_count(now),
            config_applied: self.applied_reloads,
            config_rejected: self.rejected_reloads,
        }
    }
}
