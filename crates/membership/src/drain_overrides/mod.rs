//! Drain overrides: operators' decisions to drain a server, which reach every node whichever node
//! receives the command. Each server has at most one override, and the newest version wins. A
//! revocation is stored as well, since the override that it revokes may still be in transit.
mod propagation;

use quartzhub_policy::Time;
use serde::{Deserialize, Serialize};

use crate::register::{Register, Versioned, VersionedEntry};
use crate::NodeId;

/// A server as named by drain overrides: a hash of its id, so that an override has a bounded size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId(pub u64);

impl ServerId {
    /// Returns the server with this id in the endpoint list.
    pub fn from_endpoint_id(id: &str) -> ServerId {
        ServerId(quartzhub_policy::hash(id))
    }
}

/// An operator's decision to drain a server, or its revocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainOverride {
    /// The server.
    pub server: ServerId,
    /// The version of the override that the issuer knew before, plus one.
    pub version: u32,
    /// Whether the server is excluded from new attempts; false revokes an earlier override.
    pub drain: bool,
    /// The node that issued it.
    pub by: NodeId,
}

impl Versioned for DrainOverride {
    type Subject = ServerId;

    fn subject(&self) -> ServerId {
        self.server
    }

    /// The higher version wins. Of two overrides with the same version, issued concurrently on both
    /// sides of a partition, the drain wins: an unwanted drain costs capacity, but a lost one may
    /// fail API calls.
    fn supersedes(&self, other: &DrainOverride) -> bool {
        (self.version, self.drain, self.by) > (other.version, other.drain, other.by)
    }

    /// A drain is never evicted; a revocation may be.
    fn is_evictable(&self) -> bool {
        !self.drain
    }
}

/// The reason why a drain override is not issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverrideRejected {
    /// This node has just started and may not know the current override, so its own would have too
    /// low a version.
    NotJoined,
    /// The register is full of drains, which cannot be evicted.
    Full,
}

/// A drain override that holds at this node.
pub type DrainOverrideEntry = VersionedEntry<DrainOverride>;

pub(crate) type DrainOverrides = Register<DrainOverride>;

impl Register<DrainOverride> {
    /// Issues an override at this node, on an operator's command.
    pub(crate) fn issue(
        &mut self,
        now: Time,
        by: NodeId,
        server: ServerId,
        drain: bool,
        push_rounds: u32,
    ) -> Result<DrainOverride, OverrideRejected> {
        let known = self.get(&server);
        if let Some(known) = known.filter(|known| known.drain == drain) {
            return Ok(known);
        }
        let drain_override = DrainOverride {
            server,
            version: known.map_or(1, |known| known.version.saturating_add(1)),
            drain,
            by,
        };
        if self.put(now, drain_override, push_rounds) {
            Ok(drain_override)
        } else {
            Err(OverrideRejected::Full)
        }
    }
}
