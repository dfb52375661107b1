//! Dispatches each event to its handler.
use quartzhub_policy::EndpointState;

use super::event::{AttemptEnd, EndpointUpdate, Event};
use super::{Emulator, CALL_RETENTION};
use crate::routers::Router;

impl<R: Router, F: Fn(usize, u64) -> R> Emulator<R, F> {
    pub(super) fn dispatch(&mut self, event: Event) {
        match event {
            Event::ClientArrival => self.on_client_arrival(),
            Event::RequestArrived(attempt) => self.on_request_arrived(attempt),
            Event::ClientTimeout(attempt) => self.on_client_timeout(attempt),
            Event::ClientRetry { client } => self.send_client_attempt(client),
            Event::ResponseDelivered(response) => self.on_response_delivered(response),
            Event::AttemptArrived(delivery) => self.sim.on_attempt_arrived(delivery),
            Event::WorkFinished(finished) => self.on_work_finished(finished),
            Event::AttemptEnded(attempt_end) => self.on_attempt_ended(attempt_end),
            Event::AttemptTimeout(timer) => self.on_attempt_timeout(timer),
            Event::AttemptCancelled(cancellation) => self.sim.on_attempt_cancelled(cancellation),
            Event::ValueStored(value) => self.sim.on_value_stored(value),
            Event::CallDeadline { call } => {
                self.sim.checker.check_deadline(self.sim.now, call);
                self.sim
                    .schedule_after(CALL_RETENTION, Event::CallDiscarded { call });
            }
            Event::CallDiscarded { call } => self.sim.checker.discard(call),
            Event::PolicyTimer {
                node,
                node_incarnation,
            } => self.on_policy_timer(node, node_incarnation),
            Event::EndpointChange { node, update } => self.on_endpoint_change(node, update),
            Event::FaultBegins(index) => self.begin_fault(index),
            Event::FaultEnds(index) => self.end_fault(index),
            Event::ServerRestarted { server } => self.on_server_restarted(server),
            Event::ServerRemoved {
                server,
                incarnation,
            } => self.on_server_removed(server, incarnation),
            Event::NodeStopped { node } => self.stop_node(node),
            Event::NodeRestarted { node } => self.on_node_restarted(node),
            Event::Connect(pending) => self.sim.on_connect(pending),
            Event::Connected {
                pending,
                incarnation,
            } => self.on_connected(pending, incarnation),
        }
    }

    /// Whether the node is up and still in the incarnation that the event was scheduled for.
    pub(super) fn is_current(&self, node: usize, node_incarnation: u64) -> bool {
        let node_state = &self.nodes[node].node_state;
        node_state.up && node_state.node_incarnation == node_incarnation
    }

    fn on_attempt_ended(&mut self, attempt_end: AttemptEnd) {
        let present = self.nodes[attempt_end.node].node_state.node_incarnation;
        if attempt_end
            .node_incarnation
            .is_none_or(|incarnation| incarnation == present)
        {
            self.apply_attempt_end(attempt_end);
        }
    }

    fn on_policy_timer(&mut self, node: usize, node_incarnation: u64) {
        if self.is_current(node, node_incarnation) && self.sim.now <= self.sim.end + CALL_RETENTION
        {
            self.with_router(node, |router, effects, now| router.on_timer(now, effects));
        }
    }

    fn on_endpoint_change(&mut self, node: usize, update: EndpointUpdate) {
        let node_state = &self.nodes[node].node_state;
        if node_state.up && !node_state.partitioned {
            self.send_endpoints(node, false, &[update]);
        }
    }

    fn on_server_restarted(&mut self, server: usize) {
        self.sim.restart_server(server);
        self.sim
            .update_endpoint(server, EndpointState::Ready, self.nodes.len());
    }

    fn on_server_removed(&mut self, server: usize, incarnation: u64) {
        if self.sim.servers[server].incarnation == incarnation {
            self.sim.stop_server(server);
            self.sim
                .update_endpoint(server, EndpointState::Gone, self.nodes.len());
        }
    }

    fn on_node_restarted(&mut self, node: usize) {
        let node_incarnation = self.nodes[node].node_state.node_incarnation;
        self.nodes[node] = self.new_node(node, node_incarnation);
        self.with_router(node, |router, effects, now| router.on_start(now, effects));
        self.send_all_endpoints(node);
    }
}
