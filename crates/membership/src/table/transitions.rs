//! The rules by which received information changes the table.
use quartzhub_policy::{Span, Time};

use super::MemberTable;
use crate::member::MemberState;
use crate::wire::Entry;
use crate::{MembershipConfig, NodeId};

impl MemberTable {
    pub(crate) fn set_incarnation(&mut self, node: NodeId, incarnation: u32) {
        if let Some(member) = self.members.get_mut(node.index()) {
            member.incarnation = incarnation;
        }
    }

    /// Marks a node as alive if this incarnation is new; returns whether it is. If this ends a
    /// suspicion, new suspicions are held off for a time.
    pub(crate) fn mark_alive(
        &mut self,
        now: Time,
        node: NodeId,
        incarnation: u32,
        holdoff: Span,
    ) -> bool {
        let Some(member) = self.members.get_mut(node.index()) else {
            return false;
        };
        let is_first_report =
            member.state == MemberState::Unknown && incarnation == member.incarnation;
        if incarnation <= member.incarnation && !is_first_report {
            return false;
        }
        if member.state == MemberState::Suspect {
            member.suspicion_holdoff_until = now + holdoff;
        }
        if incarnation > member.incarnation {
            member.last_sequence = 0;
        }
        self.transition(now, node, MemberState::Alive, incarnation);
        true
    }

    /// Adds a suspector of a member; returns false if it is known already or changes nothing.
    pub(crate) fn add_suspector(
        &mut self,
        now: Time,
        node: NodeId,
        incarnation: u32,
        by: NodeId,
        required_confirmations: usize,
    ) -> bool {
        let Some(member) = self.members.get_mut(node.index()) else {
            return false;
        };
        if !member.state.is_member() || incarnation < member.incarnation || by == node {
            return false;
        }
        if incarnation > member.incarnation {
            member.clear_suspectors();
        } else if now < member.suspicion_holdoff_until || member.suspectors.contains(&by) {
            return false;
        }
        member.required_confirmations = required_confirmations;
        if member.suspectors.len() >= required_confirmations {
            return false;
        }
        member.suspectors.push(by);
        self.transition(now, node, MemberState::Suspect, incarnation);
        true
    }

    /// Ends a suspicion because some node receives datagrams from the member, and holds off new
    /// ones for a time.
    pub(crate) fn clear_suspicion(&mut self, now: Time, node: NodeId, holdoff: Span) {
        let Some(member) = self.members.get_mut(node.index()) else {
            return;
        };
        member.suspicion_holdoff_until = now + holdoff;
        let incarnation = member.incarnation;
        self.transition(now, node, MemberState::Alive, incarnation);
    }

    /// Records that another node has declared a suspect dead.
    pub(crate) fn confirm_dead(&mut self, node: NodeId, incarnation: u32, by: NodeId) {
        let Some(member) = self.members.get_mut(node.index()) else {
            return;
        };
        if member.state != MemberState::Suspect || member.incarnation != incarnation {
            return;
        }
        let has_capacity = member.declared_dead_by.len() < member.required_confirmations;
        if has_capacity && !member.declared_dead_by.contains(&by) {
            member.declared_dead_by.push(by);
        }
    }

    /// Marks a member as dead; returns false if nothing changes.
    pub(crate) fn mark_dead(&mut self, now: Time, node: NodeId, incarnation: u32) -> bool {
        let is_new = self
            .get(node)
            .is_some_and(|member| member.state.is_member() && incarnation >= member.incarnation);
        if is_new {
            self.transition(now, node, MemberState::Dead, incarnation);
        }
        is_new
    }

    /// Marks a node as left; returns false if nothing changes.
    pub(crate) fn mark_left(&mut self, now: Time, node: NodeId, incarnation: u32) -> bool {
        let Some(member) = self.get(node) else {
            return false;
        };
        let is_new = incarnation > member.incarnation
            || incarnation == member.incarnation && member.state != MemberState::Left;
        if is_new {
            self.transition(now, node, MemberState::Left, incarnation);
        }
        is_new
    }

    /// Returns whether a datagram is newer than all earlier ones of the node's current incarnation.
    pub(crate) fn is_newest(&self, node: NodeId, sequence: u32) -> bool {
        self.get(node)
            .is_some_and(|member| sequence > member.last_sequence)
    }

    pub(crate) fn record_heard(
        &mut self,
        now: Time,
        node: NodeId,
        sequence: u32,
        wants_full_table: bool,
    ) {
        if let Some(member) = self.members.get_mut(node.index()) {
            member.last_heard_at = Some(now);
            member.last_sequence = member.last_sequence.max(sequence);
            member.wants_full_table = wants_full_table;
        }
    }

    /// Declares those suspects dead whose suspicion is confirmed and has timed out, and returns the
    /// rumors to disseminate.
    pub(crate) fn expire_suspicions(
        &mut self,
        now: Time,
        config: &MembershipConfig,
        local_health_score: u32,
    ) -> Vec<Entry> {
        let mut rumors = Vec::new();
        for i in 0..self.members.len() {
            let member = &self.members[i];
            let suspectors = member.suspectors.len();
            let timeout = if member.declared_dead_by.len() >= member.required_confirmations {
                config.confirmed_dead_timeout
            } else {
                config.suspicion_timeout(suspectors, local_health_score)
            };
            if member.state != MemberState::Suspect
                || suspectors < member.required_confirmations
                || now - member.state_since < timeout
            {
                continue;
            }
            let node = NodeId(i as u16);
            let incarnation = member.incarnation;
            self.transition(now, node, MemberState::Dead, incarnation);
            rumors.push(Entry::Dead { node, incarnation });
        }
        rumors
    }

    /// Extends all suspicion timeouts by the length of this node's stall: refutations may be queued
    /// behind other datagrams.
    pub(crate) fn extend_suspicions(&mut self, stalled_for: Span) {
        for member in &mut self.members {
            if member.state == MemberState::Suspect {
                member.state_since = member.state_since + stalled_for;
            }
        }
    }
}
