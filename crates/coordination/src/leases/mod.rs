//! Leases on shares of a budget. Every configured node owns one share. A majority of the share's
//! quorum group decides which node may use it. The shares of all nodes that still send, on both
//! sides of any partition, therefore never add up to more than one at any moment. A fraction of
//! each budget is reserved: it is divided evenly among all nodes and needs no lease.
mod lease_grantor;
mod lease_holder;
mod message;
mod quorum_group;

use quartzhub_membership::NodeId;
use quartzhub_policy::{Pcg, Time};

use crate::CoordinationConfig;
use lease_grantor::LeaseGrantor;
use lease_holder::LeaseHolder;
pub use message::{LeaseAction, LeaseKey, LeaseMessage};
pub use quorum_group::quorum_group;

/// The leases that a node holds and those that it has granted.
#[derive(Debug)]
pub struct Leases {
    me: NodeId,
    nodes: usize,
    reserved_fraction: f64,
    holder: LeaseHolder,
    grantor: LeaseGrantor,
}

impl Leases {
    /// Creates the leases of node `me`. `first_round` is a number that earlier processes of this
    /// node have not used recently.
    pub fn new(me: NodeId, nodes: usize, first_round: u32, config: &CoordinationConfig) -> Leases {
        Leases {
            me,
            nodes,
            reserved_fraction: config.reserved_fraction,
            holder: LeaseHolder::new(me, nodes, first_round, config),
            grantor: LeaseGrantor::new(me, nodes, config),
        }
    }

    /// Starts the timer.
    pub fn start(&mut self, now: Time) {
        self.holder.start(now);
        self.grantor.start(now);
    }

    /// Sets how many shares of other nodes this node wants to use in addition to its own.
    pub fn request_leases(&mut self, shares: usize) {
        self.holder.request_leases(shares);
    }

    /// Returns the time at which `tick` has to be called next.
    pub fn next_tick_at(&self) -> Time {
        self.holder.next_tick_at()
    }

    /// Returns the requests and releases that are due. `others` are the other members.
    pub fn tick(&mut self, now: Time, others: &[NodeId], rng: &mut Pcg) -> Vec<LeaseMessage> {
        let mut messages = self.holder.tick(now, others, rng);
        messages.retain(|message| {
            let is_local = message.to == self.me;
            if is_local {
                self.handle_locally(now, message.action);
            }
            !is_local
        });
        messages
    }

    /// Handles a message of this node to itself, as a member of a share's quorum group.
    fn handle_locally(&mut self, now: Time, action: LeaseAction) {
        match action {
            LeaseAction::Request(key) => {
                if self.grantor.on_request(now, self.me, key) {
                    self.holder.on_grant(self.me, key);
                }
            }
            LeaseAction::Release(key) => self.grantor.on_release(now, self.me, key),
            LeaseAction::Grant(_) => {}
        }
    }

    /// Handles a node's request for a lease; returns the grant, if there is one.
    pub fn on_request(&mut self, now: Time, from: NodeId, key: LeaseKey) -> Option<LeaseMessage> {
        let is_granted = self.grantor.on_request(now, from, key);
        is_granted.then_some(LeaseMessage {
            to: from,
            action: LeaseAction::Grant(key),
        })
    }

    /// Handles a node's grant of a lease to this node.
    pub fn on_grant(&mut self, from: NodeId, key: LeaseKey) {
        self.holder.on_grant(from, key);
    }

    /// Handles a node's release of a lease.
    pub fn on_release(&mut self, now: Time, from: NodeId, key: LeaseKey) {
        self.grantor.on_release(now, from, key);
    }

    /// Returns the share of each budget that this node may use now.
    pub fn budget_share(&self, now: Time) -> f64 {
        let leased_shares = self.holder.valid_leases(now) as f64;
        let leased = (1.0 - self.reserved_fraction) * leased_shares;
        (self.reserved_fraction + leased) / self.nodes as f64
    }
}
