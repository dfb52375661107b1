//! Life cycle of nodes: creation, endpoint updates, stop and restart.
use std::collections::VecDeque;

use quartzhub_policy::{EndpointState, Span, Time};
use quartzhub_settings::{CallTable, EndpointEntry, ServerInterner};
use rustc_hash::FxHashMap;

use super::effects::Effects;
use super::event::{EndpointUpdate, Event, Response};
use super::state::{KnownEndpoint, Node, NodeState};
use super::Emulator;
use crate::routers::Router;
use crate::stats::CallOutcome;

/// How long a node is down during a restart.
const NODE_OUTAGE: Span = Span::ms(500);
/// Multiplier that gives each node a different seed: 2^64 divided by the golden ratio.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

impl<R: Router, F: Fn(usize, u64) -> R> Emulator<R, F> {
    pub(super) fn new_node(&self, node: usize, node_incarnation: u64) -> Node<R> {
        let servers = self.sim.servers.len();
        let seed = self.sim.scenario.seed
            ^ (node as u64 + 1).wrapping_mul(SEED_STEP)
            ^ node_incarnation << 48;
        let unknown = KnownEndpoint {
            state: EndpointState::Gone,
            unavailable_since: None,
        };
        let node_state = NodeState {
            node,
            node_incarnation,
            up: true,
            servers: ServerInterner::default(),
            servers_by_index: Vec::new(),
            calls: CallTable::default(),
            call_indices: FxHashMap::default(),
            idle_connections: vec![VecDeque::new(); servers],
            known_endpoints: vec![unknown; servers],
            partitioned: false,
        };
        Node {
            node_state,
            router: (self.make_router)(node, seed),
        }
    }

    pub(super) fn with_router<T>(
        &mut self,
        node: usize,
        act: impl FnOnce(&mut R, &mut Effects, Time) -> T,
    ) -> T {
        let now = self.sim.now;
        let Node { node_state, router } = &mut self.nodes[node];
        let sim = &mut self.sim;
        act(router, &mut Effects { sim, node_state }, now)
    }

    /// Sends a node an update of the endpoint list. `complete`: the update names all servers.
    pub(super) fn send_endpoints(
        &mut self,
        node: usize,
        complete: bool,
        updates: &[EndpointUpdate],
    ) {
        let now = self.sim.now;
        let node_state = &mut self.nodes[node].node_state;
        let mut endpoints = Vec::with_capacity(updates.len());
        for update in updates {
            let server = update.server;
            let id = &self.server_names[server];
            let index = node_state.servers.intern(id);
            let table_len = node_state.servers_by_index.len().max(index.0 + 1);
            node_state.servers_by_index.resize(table_len, 0);
            node_state.servers_by_index[index.0] = server;
            node_state.known_endpoints[server].update(update.state, now);
            let is_origin = server == self.sim.origin();
            let entry = EndpointEntry {
                id,
                zone: Some("lab"),
                kind: Some(if is_origin { "origin" } else { "cache" }),
                cell: Some(0),
                state: update.state,
                scale: None,
                started: update.started,
            };
            endpoints.push(self.name_table.endpoint(index, entry));
        }
        let Node { node_state, router } = &mut self.nodes[node];
        let sim = &mut self.sim;
        let effects = &mut Effects { sim, node_state };
        router.on_endpoint_list(now, complete, endpoints.into_iter(), effects);
    }

    pub(super) fn send_all_endpoints(&mut self, node: usize) {
        let listed = self.sim.listed_endpoints.iter().enumerate();
        let updates: Vec<_> = listed
            .map(|(server, listed)| EndpointUpdate {
                server,
                state: listed.state,
                started: listed.started,
            })
            .collect();
        self.send_endpoints(node, true, &updates);
    }

    /// Stops a node with all its state. It restarts with nothing but the endpoint list.
    pub(super) fn stop_node(&mut self, node: usize) {
        let node_state = &mut self.nodes[node].node_state;
        if !node_state.up {
            return;
        }
        node_state.up = false;
        node_state.node_incarnation += 1;
        let calls: Vec<u64> = node_state.call_indices.keys().copied().collect();
        for call in calls {
            self.abort_call(node, call);
        }
        for (index, server) in self.sim.servers.iter_mut().enumerate() {
            let idle = self.nodes[node]
                .node_state
                .count_idle(index, server.incarnation);
            server.release_connections(idle);
        }
        self.sim
            .schedule_after(NODE_OUTAGE, Event::NodeRestarted { node });
    }

    /// Aborts the node's connections that belong to an API call: those to servers, and the
    /// client's.
    fn abort_call(&mut self, node: usize, call: u64) {
        self.sim.checker.exempt(call);
        let Some(open_call) = self.nodes[node].node_state.open_call(call) else {
            return;
        };
        for attempt in open_call
            .attempts
            .iter()
            .filter(|attempt| attempt.in_flight)
        {
            self.sim.send_cancellation(attempt);
        }
        if !open_call.closed {
            let delay = self.sim.network_delay();
            let response = Response {
                attempt: open_call.client_attempt,
                outcome: CallOutcome::Errored,
                retry_after: None,
            };
            self.sim
                .schedule_after(delay, Event::ResponseDelivered(response));
        }
    }
}
