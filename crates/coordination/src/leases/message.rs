//! Messages about leases.
use quartzhub_membership::NodeId;
use serde::{Deserialize, Serialize};

/// Identifies a lease in requests, grants and releases. It is sent with postcard: the order of its
/// fields must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseKey {
    /// The node whose share is leased.
    pub owner: NodeId,
    /// The round in which the holder requested it.
    pub round: u32,
}

/// The action of a lease message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAction {
    /// Requests the lease.
    Request(LeaseKey),
    /// Grants the lease.
    Grant(LeaseKey),
    /// Releases the lease.
    Release(LeaseKey),
}

/// A lease message to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseMessage {
    /// The receiving node.
    pub to: NodeId,
    /// The action and the lease.
    pub action: LeaseAction,
}
