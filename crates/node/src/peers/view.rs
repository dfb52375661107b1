//! The membership view that operators read. Serialized names differ from field names where tools of
//! operators rely on them.
use std::collections::BTreeMap;
use std::net::SocketAddr;

use quartzhub_coordination::{Coordinator, TrafficCounters};
use quartzhub_membership::{
    DrainOverrideEntry, Member, MemberState, MembershipCounters, NodeId, ServerId,
};
use quartzhub_policy::Time;
use serde::Serialize;

use super::Peers;

/// State of one node, as seen by this one.
#[derive(Debug, Serialize)]
pub struct NodeView {
    node: u16,
    addr: SocketAddr,
    state: MemberState,
    #[serde(rename = "number")]
    incarnation: u32,
    since_ms: f64,
    /// Time in milliseconds since the viewing node last received a datagram of this node's current
    /// incarnation.
    heard_ms: Option<f64>,
    suspected_by: Vec<u16>,
}

/// State of all nodes, as seen by this one.
#[derive(Debug, Serialize)]
pub struct MembershipView {
    me: u16,
    #[serde(rename = "number")]
    incarnation: u32,
    members: usize,
    configured: usize,
    /// Whether no other node responds: all of them have failed, or this node is isolated.
    hears_nobody: bool,
    #[serde(rename = "ill")]
    local_health_score: u32,
    changes: u64,
    #[serde(rename = "strangers")]
    unknown_senders: u64,
    counts: MembershipCounters,
    nodes: Vec<NodeView>,
    #[serde(rename = "orders")]
    drain_overrides: Vec<DrainOverrideView>,
    /// Load reports and leases; `None` if coordination is off.
    #[serde(rename = "shared")]
    coordination: Option<CoordinationView>,
}

/// State of load reports and leases.
#[derive(Debug, Serialize)]
pub struct CoordinationView {
    /// Fraction of each budget that this node may use now, from 0 to 1.
    #[serde(rename = "part")]
    budget_share: f64,
    /// Number of nodes whose load reports are recent enough to be used.
    #[serde(rename = "words")]
    reporting_nodes: usize,
    /// Mean duration of an attempt at a cache according to the load reports, in milliseconds.
    #[serde(rename = "takes_ms")]
    attempt_ms: Option<f64>,
    counts: TrafficCounters,
}

/// A drain override of an operator.
#[derive(Debug, Serialize)]
pub struct DrainOverrideView {
    /// Id of the server, or a hash of it if this node's endpoint list has no such server.
    server: String,
    drain: bool,
    version: u32,
    by: u16,
    since_ms: f64,
}

impl Peers {
    /// Returns this node's view of the fleet. `server_id` returns the id of a server that a drain
    /// override names, if this node knows it.
    pub fn view(&self, server_id: impl Fn(ServerId) -> Option<String>) -> MembershipView {
        let membership = self.membership.borrow();
        let now = self.clock.now();
        let nodes = membership
            .all_nodes()
            .map(|(id, member)| self.node_view(now, id, member));
        let drain_overrides = membership
            .drain_overrides()
            .map(|entry| drain_override_view(now, entry, &server_id));
        MembershipView {
            me: self.config.me,
            incarnation: membership.incarnation(),
            members: membership.member_count(),
            configured: self.config.peers.len(),
            hears_nobody: membership.receives_no_responses(now),
            local_health_score: membership.local_health_score(),
            changes: membership.change_count(),
            unknown_senders: self.unknown_senders.get(),
            counts: membership.counters(),
            nodes: nodes.collect(),
            drain_overrides: drain_overrides.collect(),
            coordination: self
                .coordinator
                .as_ref()
                .map(|coordinator| coordination_view(now, &coordinator.borrow())),
        }
    }

    fn node_view(&self, now: Time, id: NodeId, member: &Member) -> NodeView {
        NodeView {
            node: id.0,
            addr: self.config.peers[id.index()],
            state: member.state,
            incarnation: member.incarnation,
            since_ms: (now - member.state_since).as_ms(),
            heard_ms: member.last_heard_at.map(|heard| (now - heard).as_ms()),
            suspected_by: member
                .suspectors
                .iter()
                .map(|suspector| suspector.0)
                .collect(),
        }
    }
}

fn drain_override_view(
    now: Time,
    entry: &DrainOverrideEntry,
    server_id: impl Fn(ServerId) -> Option<String>,
) -> DrainOverrideView {
    let server = entry.value.server;
    DrainOverrideView {
        server: server_id(server).unwrap_or_else(|| format!("#{:016x}", server.0)),
        drain: entry.value.drain,
        version: entry.value.version,
        by: entry.value.by.0,
        since_ms: (now - entry.since).as_ms(),
    }
}

fn coordination_view(now: Time, coordinator: &Coordinator) -> CoordinationView {
    let fleet_load = coordinator.fleet_load(now);
    CoordinationView {
        budget_share: coordinator.budget_share(now),
        reporting_nodes: fleet_load.map_or(0, |load| load.reporting_nodes),
        attempt_ms: fleet_load.map(|load| load.attempt_seconds * 1000.0),
        counts: coordinator.traffic(),
    }
}

/// Returns a one-line summary of a view: the number of nodes in each state.
pub fn summary(view: &serde_json::Value) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for node in view["nodes"].as_array().into_iter().flatten() {
        let state = node["state"].as_str().unwrap_or("unknown");
        *counts.entry(state).or_default() += 1;
    }
    let counts: Vec<String> = counts
        .iter()
        .map(|(state, count)| format!("{count} {state}"))
        .collect();
    let isolated = if view["hears_nobody"] == true {
        "; hears nobody"
    } else {
        ""
    };
    format!("node {}: {}{isolated}", view["me"], counts.join(", "))
}
