//! The messages of load reports and leases, in datagrams of the membership's encoding with a version of their own: a node of
//! an older version drops them. postcard encodes variants by index and fields by order: their order must not change.
use quartzhub_membership::endpoint::{DatagramEntry, DatagramHead};
use quartzhub_membership::wire::decode;
pub use quartzhub_membership::wire::{DatagramError, Packet, MAX_DATAGRAM_BYTES};
use quartzhub_membership::NodeId;
use serde::{Deserialize, Serialize};

use crate::leases::{LeaseAction, LeaseKey};
use crate::load_reports::LoadReport;

/// The first byte of a datagram. The membership's are 1 and 2.
pub const VERSION: u8 = 3;

/// A message, of which a datagram carries any number.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A node's report of its own load, passed on by others.
    LoadReport(LoadReport),
    /// The sender requests a lease.
    LeaseRequest(LeaseKey),
    /// The sender, of the lease's quorum group, grants it.
    LeaseGrant(LeaseKey),
    /// The sender does not use the lease any more, and will not by grants of that round.
    LeaseRelease(LeaseKey),
}

impl Entry {
    /// The node whose load or share it is about.
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
    /// Whether the sender wants reports in return.
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

/// Whether a datagram is of this protocol, and not of the membership's.
pub fn is_coordination_datagram(bytes: &[u8]) -> bool {
    bytes.first() == Some(&VERSION)
}

/// Decodes a datagram, whole or not at all.
pub fn decode_datagram(bytes: &[u8], fleet: u32) -> Result<(Head, Vec<Entry>), DatagramError> {
    decode(VERSION, bytes, fleet)
}
