//! Suspicions: which confirmations they need, which reports end them, and when they end in a
//! declaration of death.
use quartzhub_policy::Time;

use crate::membership::Membership;
use crate::wire::Entry;
use crate::NodeId;

impl Membership {
    /// Handles a suspicion, from this node's own probe or from a rumor.
    pub(crate) fn suspect(&mut self, now: Time, node: NodeId, incarnation: u32, by: NodeId) {
        if node == self.me {
            self.refute(now, incarnation);
            return;
        }
        let required = self.required_confirmations();
        let is_new = self
            .table
            .add_suspector(now, node, incarnation, by, required);
        if !is_new {
            return;
        }
        self.dissemination.put(Entry::Suspect {
            node,
            incarnation,
            by,
        });
        if by == self.me {
            return;
        }
        self.maybe_probe_next(node);
        // A probe fails one period after it began, so a datagram received within the last period
        // arrived after the probe began.
        let was_heard_since = self
            .table
            .get(node)
            .and_then(|member| member.last_heard_at)
            .is_some_and(|heard| now - heard < self.config.probe_period);
        if was_heard_since && !self.config.disabled.heard_reports {
            self.report_heard(now, node, incarnation);
        }
    }

    /// Puts a new suspect next in the probe order, with a probability such that about
    /// `expected_confirming_probes` nodes of the fleet do so. Without this, its confirmation would
    /// wait until their probe rounds reach it.
    fn maybe_probe_next(&mut self, node: NodeId) {
        let is_first_suspicion = self
            .table
            .get(node)
            .is_some_and(|member| member.suspectors.len() == 1);
        if !is_first_suspicion {
            return;
        }
        let members = self.table.member_count() as f64;
        if self.rng.unit() * members < self.config.expected_confirming_probes {
            self.detector.probe_order.push(node);
        }
    }

    /// Returns the number of suspectors needed to declare a member dead. In a fleet that is large
    /// enough, several are needed, so that no node is removed on the report of a single one.
    fn required_confirmations(&self) -> usize {
        if self.config.disabled.confirmations {
            return 1;
        }
        let others = self.table.member_count().saturating_sub(2);
        self.config.required_confirmations.min(others).max(1)
    }

    /// Ends a suspicion, and reports to other nodes that this node receives datagrams from the
    /// suspect.
    pub(crate) fn report_heard(&mut self, now: Time, node: NodeId, incarnation: u32) {
        self.table
            .clear_suspicion(now, node, self.config.suspicion_holdoff);
        self.dissemination.put(Entry::Heard {
            node,
            incarnation,
            by: self.me,
        });
    }

    pub(crate) fn expire_suspicions(&mut self, now: Time) {
        let score = self.local_health.score();
        for rumor in self.table.expire_suspicions(now, &self.config, score) {
            self.dissemination.put(rumor);
        }
    }
}
