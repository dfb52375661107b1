//! Failure detection and membership for a fleet of nodes: SWIM with Lifeguard's local health, as a
//! state machine without sockets or a clock. The caller passes in received datagrams and the
//! current time, and gets back the datagrams to send and the time of the next timer tick. The node,
//! the emulator and the tests all run this code. `docs/membership.md` states the guarantees and the
//! alternatives that were considered.
#![deny(missing_docs)]

pub mod config;
mod dissemination;
pub mod drain_overrides;
pub mod endpoint;
mod failure_detector;
mod local_health;
mod member;
mod membership;
mod rate_limiter;
mod receive;
mod refutation;
pub mod register;
mod sampling;
pub mod sim;
mod table;
mod transmit;
pub mod wire;

use serde::{Deserialize, Serialize};

pub use config::{DisabledFeatures, MembershipConfig};
pub use drain_overrides::{DrainOverride, DrainOverrideEntry, OverrideRejected, ServerId};
pub use endpoint::{DatagramEndpoint, TrafficCounters};
pub use member::{Member, MemberState, StateChange};
pub use membership::{Membership, MembershipCounters, ProtocolCounters};
pub use rate_limiter::RateLimiter;

/// A node's index in the list of configured nodes, which is the same at every node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeId(pub u16);

impl NodeId {
    /// Returns the index as a `usize`, for indexing a list of all configured nodes.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// A datagram to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// The receiving node.
    pub to: NodeId,
    /// The encoded message.
    pub bytes: Vec<u8>,
}
