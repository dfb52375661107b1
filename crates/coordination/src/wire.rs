//! The messages of load reports and leases. Their datagrams have the membership's encoding with a
//! version of their own, so that a node of an older version drops them. postcard encodes variants
//! by index and fields by order, so the order of both must not change.
use quartzhub_membership::endpoint::{DatagramEntry, DatagramHead};
use quartzhub_membership::wire::decode;
pub use quartzhub_membership::wire::{DatagramError, Packet, MAX_DATAGRAM_BYTES};
use quartzhub_membership::NodeId;
use serde::{Deserialize, Serialize};

use crate::leases::{LeaseAction, LeaseKey};
use crate::load_reports::LoadReport;

/// The protocol version, which is the first byte of a datagram. The membership uses 1 and 2.
pub const VERSION: u8 = 3;

/// A message. A datagram carries any number of them.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A node's report of its own load, which other nodes pass on.
    LoadReport(LoadReport),
    /// The sender requests a lease.
    LeaseRequest(LeaseKey),
    /// The sender, which belongs to the lease's quorum group, grants the lease.
    LeaseGrant(LeaseKey),
    /// The sender no longer uses the lease, and will not use it by grants of that round.
    LeaseRelease(LeaseKey),
}

impl Entry {
    /// Returns the node whose load or share the message is about.
    pub fn node(&self) -> NodeId {
        match *self {
            Entry::LoadReport(report) => report.node,
            Entry::LeaseRequest(key) | Entry::LeaseGrant(key) | Entry::LeaseRelease(key) => {
                key.owner
            }
        }
    }
}

impl From<LeaseAction> for Entry {
    fn from(action: LeaseAction) -> Entry {
        match action {
            LeaseAction::Request(key) => Entry::LeaseRequest(key),
            LeaseAction::Grant(key) => Entry::LeaseGrant(key),
            LeaseAction::Release(key) => Entry::LeaseRelease(key),
        }
    }
}

impl DatagramEntry for Entry {
    fn is_valid(&self, nodes: usize) -> bool {
        self.node().index() < nodes
    }
}

/// The head of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The sender.
    pub from: NodeId,
    /// Whether the sender requests reports in response.
    pub wants_reports: bool,
}

impl DatagramHead for Head {
    fn sender(&self) -> NodeId {
        self.from
    }

    fn is_valid(&self, _nodes: usize) -> bool {
        true
    }
}

/// Returns whether a datagram belongs to this protocol rather than to the membership's.
pub fn is_coordination_datagram(bytes: &[u8]) -> bool {
    bytes.first() == Some(&VERSION)
}

/// Decodes a datagram, completely or not at all.
pub fn decode_datagram(bytes: &[u8], fleet: u32) -> Result<(Head, Vec<Entry>), DatagramError> {
    decode(VERSION, bytes, fleet)
}
