//! Handles received datagrams: what they show about their sender, and their entries about other
//! nodes.
use quartzhub_policy::Time;

use crate::endpoint::Received;
use crate::member::MemberState;
use crate::membership::Membership;
use crate::wire::{Entry, Head, MessageKind};
use crate::{Datagram, NodeId};

impl Membership {
    /// Handles a datagram received from the address of node `from`.
    pub fn receive(&mut self, now: Time, from: NodeId, bytes: &[u8], out: &mut Vec<Datagram>) {
        let received = self.endpoint.receive::<Head, Entry>(now, from, bytes);
        let Some(Received { head, entries }) = received else {
            return;
        };
        self.detect_stall(now);
        let is_current = self.on_heard(now, &head);
        for entry in &entries {
            // A sender of an earlier incarnation, or one declared dead, has an outdated view: only
            // its entries about this node count. A drain override always counts, since an older
            // version changes nothing.
            let is_accepted =
                is_current || entry.node() == self.me || matches!(entry, Entry::DrainOverride(_));
            if is_accepted {
                self.on_entry(now, from, *entry);
            }
        }
        self.push_drain_overrides(now, out);
        // An outdated sender gets an ack as well, so that it learns the incarnation recorded for
        // it.
        match head.kind {
            MessageKind::Ping { .. } => {
                let ack = self.head(MessageKind::Ack, self.me, head.probe);
                self.send(from, ack, None, out);
            }
            MessageKind::PingReq => self.on_ping_req(now, &head, out),
            MessageKind::Ack => self.on_ack(now, &head, out),
            MessageKind::Nack => self.on_nack(now, &head),
        }
    }

    /// Records a datagram as evidence that its sender is alive, unless it is outdated. Returns
    /// whether the sender's view is current.
    fn on_heard(&mut self, now: Time, head: &Head) -> bool {
        let node = head.from;
        let incarnation = head.incarnation;
        let Some(member) = self.table.get(node) else {
            return false;
        };
        let state_before = member.state;
        let incarnation_before = member.incarnation;
        if incarnation < incarnation_before {
            self.counters.outdated += 1;
            return false;
        }
        if incarnation > incarnation_before || state_before == MemberState::Unknown {
            self.on_alive(now, node, incarnation);
        } else if !self.table.is_newest(node, head.sequence) {
            // Reordered or replayed: its entries may be true, but it does not show that the sender
            // is alive now.
            self.counters.outdated += 1;
            return true;
        }
        let is_hello = matches!(head.kind, MessageKind::Ping { hello: true });
        self.table.record_heard(now, node, head.sequence, is_hello);
        if self.table.is_suspect(node) && !self.config.disabled.heard_reports {
            self.report_heard(now, node, incarnation);
        }
        let was_removed = matches!(state_before, MemberState::Dead | MemberState::Left);
        !was_removed || incarnation > incarnation_before
    }

    fn on_entry(&mut self, now: Time, from: NodeId, entry: Entry) {
        match entry {
            Entry::DrainOverride(received) => self.on_drain_override(now, received),
            entry if entry.node() == self.me => self.on_entry_about_me(now, entry),
            Entry::Alive { node, incarnation } => self.on_alive(now, node, incarnation),
            Entry::Suspect {
                node,
                incarnation,
                by,
            } => self.suspect(now, node, incarnation, by),
            Entry::Heard {
                node, incarnation, ..
            } => self.on_heard_report(now, node, incarnation, entry),
            Entry::Dead { node, incarnation } => self.on_dead(now, node, incarnation, from),
            Entry::Left { node, incarnation } => {
                if self.table.mark_left(now, node, incarnation) {
                    self.dissemination.put(entry);
                }
            }
        }
    }

    fn on_entry_about_me(&mut self, now: Time, entry: Entry) {
        match entry {
            Entry::Alive { incarnation, .. } | Entry::Heard { incarnation, .. } => {
                // Left over from an earlier process of this node.
                if incarnation > self.incarnation {
                    self.raise_incarnation_above(incarnation);
                }
            }
            Entry::Suspect { incarnation, .. }
            | Entry::Dead { incarnation, .. }
            | Entry::Left { incarnation, .. } => self.refute(now, incarnation),
            Entry::DrainOverride(received) => self.on_drain_override(now, received),
        }
    }

    fn on_alive(&mut self, now: Time, node: NodeId, incarnation: u32) {
        let holdoff = self.config.suspicion_holdoff;
        if self.table.mark_alive(now, node, incarnation, holdoff) {
            self.dissemination.put(Entry::Alive { node, incarnation });
        }
    }

    /// Handles a report that another node has received a datagram from a suspected member.
    fn on_heard_report(&mut self, now: Time, node: NodeId, incarnation: u32, report: Entry) {
        let is_new = self.table.get(node).is_some_and(|member| {
            member.state == MemberState::Suspect && member.incarnation <= incarnation
        });
        if is_new && !self.config.disabled.heard_reports {
            self.table
                .clear_suspicion(now, node, self.config.suspicion_holdoff);
            self.dissemination.put(report);
        }
    }

    /// Handles another node's declaration that a member is dead. It counts as one more suspector,
    /// and no more than that.
    fn on_dead(&mut self, now: Time, node: NodeId, incarnation: u32, from: NodeId) {
        if !self.config.disabled.confirmations {
            self.suspect(now, node, incarnation, from);
            self.table.confirm_dead(node, incarnation, from);
        } else if self.table.mark_dead(now, node, incarnation) {
            self.dissemination.put(Entry::Dead { node, incarnation });
        }
    }
}
