//! Propagates drain overrides: each one issued or received here is pushed to other members at once.
use quartzhub_policy::Time;

use super::{DrainOverride, DrainOverrideEntry, OverrideRejected, ServerId};
use crate::membership::Membership;
use crate::sampling::sample;
use crate::wire::Entry;
use crate::{Datagram, NodeId};

impl Membership {
    /// Issues an operator's override. It holds at this node at once, and soon at every reachable
    /// node.
    pub fn set_drain_override(
        &mut self,
        now: Time,
        server: ServerId,
        drain: bool,
        out: &mut Vec<Datagram>,
    ) -> Result<DrainOverride, OverrideRejected> {
        let is_alone = self.table.len() == 1;
        if self.join_rounds_left > 0 && !is_alone {
            return Err(OverrideRejected::NotJoined);
        }
        let push_rounds = self.config.push_rounds;
        let issued = self
            .drain_overrides
            .issue(now, self.me, server, drain, push_rounds)?;
        self.dissemination.put(Entry::DrainOverride(issued));
        self.push_drain_overrides(now, out);
        Ok(issued)
    }

    /// Returns the drain overrides that hold here, including revocations.
    pub fn drain_overrides(&self) -> impl Iterator<Item = &DrainOverrideEntry> {
        self.drain_overrides.entries()
    }

    /// Returns a number that grows with each change of the drain overrides.
    pub fn drain_overrides_revision(&self) -> u64 {
        self.drain_overrides.revision()
    }

    pub(crate) fn on_drain_override(&mut self, now: Time, received: DrainOverride) {
        let push_rounds = self.config.push_rounds;
        if self.drain_overrides.put(now, received, push_rounds) {
            self.dissemination.put(Entry::DrainOverride(received));
        }
    }

    /// Pushes drain overrides that are due. Rumors alone take a second or more to reach all nodes
    /// of a large fleet, so a node that learns of an override pushes it at once.
    pub(crate) fn push_drain_overrides(&mut self, now: Time, out: &mut Vec<Datagram>) {
        let interval = self.config.push_interval;
        while let Some(due) = self.drain_overrides.take_due_push(now, interval) {
            let fanout = if due.by == self.me {
                self.config.issuer_push_fanout
            } else {
                self.config.push_fanout
            };
            let others: Vec<NodeId> = self.table.other_members().collect();
            for to in sample(others, fanout, &mut self.rng) {
                self.ping(to, Some(Entry::DrainOverride(due)), out);
            }
        }
    }
}
