//! Records the leases that this node has granted as a member of quorum groups. A share has one
//! holder until its lease has certainly expired.
use std::collections::BTreeMap;

use quartzhub_membership::NodeId;
use quartzhub_policy::{Span, Time};

use super::message::LeaseKey;
use super::quorum_group::quorum_group;
use crate::CoordinationConfig;

#[derive(Debug)]
struct Grant {
    holder: NodeId,
    round: u32,
    expires: Time,
    /// Until this time, only the owner of the share is granted a lease.
    owner_priority_until: Time,
}

/// Grants leases on the shares whose quorum groups include this node.
#[derive(Debug)]
pub struct LeaseGrantor {
    me: NodeId,
    nodes: usize,
    quorum_group_size: usize,
    /// Time after which a granted lease has expired by any holder's clock.
    grant_duration: Span,
    owner_priority: Span,
    /// The last grant of each share, by the share's owner.
    grants: BTreeMap<NodeId, Grant>,
    /// No lease is granted before this time, because grants of an earlier process of this node may
    /// still be valid.
    no_grants_until: Time,
}

impl LeaseGrantor {
    pub fn new(me: NodeId, nodes: usize, config: &CoordinationConfig) -> LeaseGrantor {
        let drift = config.max_clock_drift;
        let clock_ratio = (1.0 + drift) / (1.0 - drift);
        LeaseGrantor {
            me,
            nodes,
            quorum_group_size: config.quorum_group_size,
            grant_duration: config.lease_duration.times(clock_ratio) + config.max_pause,
            owner_priority: config.owner_priority,
            grants: BTreeMap::new(),
            no_grants_until: Time(0),
        }
    }

    pub fn start(&mut self, now: Time) {
        self.no_grants_until = now + self.grant_duration;
    }

    /// Handles a request for a lease; returns whether it is granted.
    pub fn on_request(&mut self, now: Time, from: NodeId, key: LeaseKey) -> bool {
        if now < self.no_grants_until || !self.decides_on(key.owner) {
            return false;
        }
        let is_owner = from == key.owner;
        let grant = self.grants.entry(key.owner).or_insert(Grant {
            holder: from,
            round: key.round,
            expires: now,
            owner_priority_until: now,
        });
        if is_owner {
            grant.owner_priority_until = now + self.owner_priority;
        }
        let is_free = grant.holder == from || now >= grant.expires;
        let is_eligible = is_owner || now >= grant.owner_priority_until;
        if !is_free || !is_eligible {
            return false;
        }
        grant.holder = from;
        grant.round = key.round;
        grant.expires = now + self.grant_duration;
        true
    }

    /// Handles the release of a lease. Only a release of the round granted last counts, so that an
    /// older message that arrives late does not end a newer lease.
    pub fn on_release(&mut self, now: Time, from: NodeId, key: LeaseKey) {
        if let Some(grant) = self.grants.get_mut(&key.owner) {
            if grant.holder == from && grant.round == key.round {
                grant.expires = now;
            }
        }
    }

    fn decides_on(&self, owner: NodeId) -> bool {
        self.grants.contains_key(&owner)
            || quorum_group(owner, self.nodes, self.quorum_group_size).contains(&self.me)
    }
}
