//! Refutation: a node that others suspect raises its own incarnation to show that it is alive.
use quartzhub_policy::Time;

use crate::membership::Membership;
use crate::wire::{Entry, MAX_INCARNATION};

impl Membership {
    /// Handles a report that this node is suspect, dead or left as of an incarnation. A node that
    /// is leaving does not refute it.
    pub(crate) fn refute(&mut self, now: Time, incarnation: u32) {
        self.local_health.on_suspected(now);
        let is_outdated = incarnation < self.incarnation;
        if is_outdated || self.is_leaving || self.config.disabled.refutation {
            return;
        }
        self.raise_incarnation_above(incarnation);
    }

    /// Raises this node's incarnation above one that other nodes know.
    pub(crate) fn raise_incarnation_above(&mut self, known: u32) {
        let incarnation = known.saturating_add(1).min(MAX_INCARNATION);
        let node = self.me;
        self.incarnation = incarnation;
        self.table.set_incarnation(node, incarnation);
        self.dissemination.put(Entry::Alive { node, incarnation });
    }
}
