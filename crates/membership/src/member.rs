//! The state that a node records for every configured node.
use quartzhub_policy::Time;
use serde::Serialize;

use crate::NodeId;

/// The state of a configured node, as seen by another one. Variants with a `rename` attribute keep
/// the names that operators read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Configured, but nothing has been received about it. Not a member.
    #[serde(rename = "absent")]
    Unknown,
    /// Responds to probes, or is reported alive. A member.
    Alive,
    /// Failed the probes of some nodes. Still a member.
    Suspect,
    /// Declared dead. Not a member.
    #[serde(rename = "gone")]
    Dead,
    /// Announced that it leaves. Not a member.
    Left,
}

impl MemberState {
    /// Returns whether the node is a member, and so is assumed to serve clients.
    pub fn is_member(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns the name that operators read, in the counters and in the log.
    pub fn operator_name(self) -> &'static str {
        match self {
            MemberState::Unknown => "absent",
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "gone",
            MemberState::Left => "left",
        }
    }
}

/// What a node knows about another one.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its current state.
    pub state: MemberState,
    /// Its highest known incarnation.
    pub incarnation: u32,
    /// When it entered this state. A stall of the observer moves this time forward by the length of
    /// the stall.
    pub state_since: Time,
    /// When the newest datagram of its current incarnation was received.
    pub last_heard_at: Option<Time>,
    /// Nodes whose probes of it failed, in the order in which this node learned of them.
    pub suspectors: Vec<NodeId>,
    /// Nodes that have declared it dead.
    pub(crate) declared_dead_by: Vec<NodeId>,
    /// Suspectors needed to declare it dead.
    pub(crate) required_confirmations: usize,
    /// Until this time, rumors about its current incarnation raise no suspicion.
    pub(crate) suspicion_holdoff_until: Time,
    /// The sequence number of its newest datagram.
    pub(crate) last_sequence: u32,
    /// Whether it has just started and wants as many table entries as fit into a datagram.
    pub(crate) wants_full_table: bool,
}

impl Member {
    /// Returns the row of a node about which nothing is known.
    pub(crate) fn unknown() -> Member {
        Member {
            state: MemberState::Unknown,
            incarnation: 0,
            state_since: Time(0),
            last_heard_at: None,
            suspectors: Vec::new(),
            declared_dead_by: Vec::new(),
            required_confirmations: 1,
            suspicion_holdoff_until: Time(0),
            last_sequence: 0,
            wants_full_table: false,
        }
    }

    pub(crate) fn clear_suspectors(&mut self) {
        self.suspectors.clear();
        self.declared_dead_by.clear();
    }
}

/// A state change of a node, recorded for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChange {
    /// When this node made the change.
    pub at: Time,
    /// The node whose state changed.
    pub node: NodeId,
    /// Its state before the change.
    pub from: MemberState,
    /// Its state after the change.
    pub to: MemberState,
    /// Its incarnation after the change.
    pub incarnation: u32,
    /// Its suspectors before the change.
    pub suspectors: Vec<NodeId>,
}
