//! The plan of a fleet run, as read from a file: a scenario, the faults of processes and of the
//! links between them, and the expectations. This module defines the types of its keys.
mod checks;
mod parse;
mod targets;
#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

use crate::scenario::Scenario;

pub use checks::MAX_NODES;

/// A parsed and checked plan of the fleet rig.
#[derive(Debug, Clone, Serialize)]
pub struct Plan {
    /// Title of the timeline plot.
    pub title: String,
    /// Traffic, servers and the servers' faults.
    pub scenario: Scenario,
    /// Delay until the front (the load balancer before the nodes) is notified that a process
    /// serves or has exited, in milliseconds.
    pub front_late_ms: f64,
    /// Nodes that every configuration names, but that only a `start` fault starts.
    pub absent: Vec<usize>,
    /// Merged over the settings of every node.
    pub settings: serde_json::Value,
    /// Merged over the rest of every node's configuration.
    pub config: serde_json::Value,
    /// Block of loopback addresses, such as "127.90.0"; without it, any free block is used.
    pub block: Option<String>,
    /// Faults of processes and links.
    pub faults: Vec<Fault>,
    /// Expectations of the outcome.
    pub expect: Expect,
}

/// The kinds of faults, with their names in a plan file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultKind {
    /// Kills processes, and starts them again after `for`, if that is given.
    #[serde(rename = "kill")]
    Kill,
    /// Shuts processes down gracefully, and starts them again `for` after they have exited, if
    /// that is given.
    #[serde(rename = "end")]
    Terminate,
    /// Suspends processes, and resumes them after `for`.
    #[serde(rename = "pause")]
    Pause,
    /// Drains the caches in `to` through the operator API of these nodes, and restores them after
    /// `for`, if that is given.
    #[serde(rename = "order")]
    DrainOverride,
    /// Starts absent nodes.
    #[serde(rename = "start")]
    Start,
    /// Shuts processes down gracefully, one after the other over `for`, and starts each again as
    /// soon as it has exited.
    #[serde(rename = "roll")]
    RollingRestart,
    /// Stops all traffic on the given links.
    #[serde(rename = "cut")]
    Partition,
    /// Makes the given links lose, delay, duplicate, reorder or throttle traffic.
    #[serde(rename = "spoil")]
    Impair,
    /// Delivers the latest datagrams of these nodes to their receivers again, every 100 ms.
    #[serde(rename = "replay")]
    Replay,
    /// Sends each of these nodes `rate` malformed, forged and repeated datagrams a second.
    #[serde(rename = "flood")]
    Flood,
}

impl FaultKind {
    /// Returns the name of the kind in a plan file.
    pub fn key(self) -> &'static str {
        match self {
            FaultKind::Kill => "kill",
            FaultKind::Terminate => "end",
            FaultKind::Pause => "pause",
            FaultKind::DrainOverride => "order",
            FaultKind::Start => "start",
            FaultKind::RollingRestart => "roll",
            FaultKind::Partition => "cut",
            FaultKind::Impair => "spoil",
            FaultKind::Replay => "replay",
            FaultKind::Flood => "flood",
        }
    }
}

/// One fault of the schedule. Fields that its kind does not use are ignored.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault, in seconds from the start of the run.
    #[serde(rename = "at")]
    pub start_s: f64,
    /// Duration, in seconds; without it, the fault lasts until the end of the run.
    #[serde(rename = "for", default)]
    pub duration_s: Option<f64>,
    /// Indices of the affected nodes.
    #[serde(default)]
    pub nodes: Vec<usize>,
    /// Fraction of all nodes that is affected, drawn from the seed; used if `nodes` is empty.
    #[serde(default)]
    pub share: Option<f64>,
    /// Sending ends of the links: "nodes", "node-3", "caches", "cache-2", "origin", "discovery".
    #[serde(default)]
    pub from: Vec<String>,
    /// Receiving ends of the links, or the caches to drain.
    #[serde(default)]
    pub to: Vec<String>,
    /// Affects the opposite direction of the links too.
    #[serde(rename = "both", default)]
    pub both_directions: bool,
    /// A partition resets connections and refuses new ones; without this, it drops all packets
    /// silently.
    #[serde(default)]
    pub reset: bool,
    /// Probability that a datagram is lost, or that bytes of a connection are retransmitted.
    #[serde(default)]
    pub loss: f64,
    /// Added delay, in milliseconds.
    #[serde(default)]
    pub delay_ms: f64,
    /// Mean of the added random delay, in milliseconds.
    #[serde(default)]
    pub jitter_ms: f64,
    /// Probability that a datagram arrives twice.
    #[serde(default)]
    pub duplicate: f64,
    /// Probability that a datagram is overtaken by later ones.
    #[serde(default)]
    pub reorder: f64,
    /// Bandwidth, in bytes per second; without it, unlimited.
    #[serde(default)]
    pub bytes_per_s: Option<f64>,
    /// Datagrams that a flood sends to each node, per second.
    #[serde(rename = "rate", default)]
    pub datagrams_per_s: f64,
}

/// Expectations, checked at the end of a run. They are generous: durations are measured and
/// reported, but not checked.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Least fraction of the billed value that is served.
    pub service: f64,
    /// Number of processes that serve at the end.
    #[serde(rename = "up")]
    pub nodes_up: Option<usize>,
    /// At the end, each process reports exactly the running nodes as members.
    pub members_agree: bool,
    /// Most membership changes of one node that one process may log: each removal of the node and
    /// each return counts.
    #[serde(rename = "flips")]
    pub max_membership_changes: Option<usize>,
}

/// One end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Endpoint {
    /// A node, by its index.
    Node(usize),
    /// A cache by its index, or the origin, whose index follows that of the last cache.
    Server(usize),
    /// The discovery agent of the node at the other end.
    Discovery,
}

/// One direction of a network link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId {
    /// The sending end.
    pub from: Endpoint,
    /// The receiving end.
    pub to: Endpoint,
}
