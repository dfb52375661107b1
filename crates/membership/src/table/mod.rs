//! The table of all configured nodes and their states.
mod entries;
mod transitions;

use std::collections::VecDeque;

use quartzhub_policy::Time;

use crate::member::{Member, MemberState, StateChange};
use crate::NodeId;

/// What this node knows about each configured node, including itself.
pub(crate) struct MemberTable {
    me: NodeId,
    members: Vec<Member>,
    recorded_changes: VecDeque<StateChange>,
    max_recorded_changes: usize,
    change_count: u64,
}

impl MemberTable {
    pub(crate) fn new(me: NodeId, nodes: usize, max_recorded_changes: usize) -> MemberTable {
        MemberTable {
            me,
            members: vec![Member::unknown(); nodes],
            recorded_changes: VecDeque::new(),
            max_recorded_changes,
            change_count: 0,
        }
    }

    pub(crate) fn start(&mut self, now: Time) {
        self.transition(now, self.me, MemberState::Alive, 1);
    }

    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    pub(crate) fn get(&self, node: NodeId) -> Option<&Member> {
        self.members.get(node.index())
    }

    pub(crate) fn all_nodes(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.members
            .iter()
            .enumerate()
            .map(|(i, member)| (NodeId(i as u16), member))
    }

    fn members(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.all_nodes()
            .filter(|(_, member)| member.state.is_member())
            .map(|(id, _)| id)
    }

    /// Returns all members except this node.
    pub(crate) fn other_members(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.members().filter(|id| *id != self.me)
    }

    /// Returns the number of members, including this node.
    pub(crate) fn member_count(&self) -> usize {
        self.members().count()
    }

    pub(crate) fn is_member(&self, node: NodeId) -> bool {
        self.get(node)
            .is_some_and(|member| member.state.is_member())
    }

    pub(crate) fn is_suspect(&self, node: NodeId) -> bool {
        self.get(node)
            .is_some_and(|member| member.state == MemberState::Suspect)
    }

    /// Returns the most recent state changes.
    pub(crate) fn recorded_changes(&self) -> impl Iterator<Item = &StateChange> {
        self.recorded_changes.iter()
    }

    /// Returns the total number of state changes.
    pub(crate) fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns one of the other eligible nodes, chosen by a random number from 0 to 1.
    pub(crate) fn pick_other(
        &self,
        random: f64,
        eligible: impl Fn(NodeId, &Member) -> bool,
    ) -> Option<NodeId> {
        let candidates = || {
            self.all_nodes()
                .filter(|(id, member)| *id != self.me && eligible(*id, member))
        };
        let chosen = (random * candidates().count() as f64) as usize;
        candidates().nth(chosen).map(|(id, _)| id)
    }

    fn transition(&mut self, now: Time, node: NodeId, to: MemberState, incarnation: u32) {
        let Some(member) = self.members.get_mut(node.index()) else {
            return;
        };
        let from = member.state;
        member.incarnation = incarnation;
        if from == to {
            return;
        }
        member.state = to;
        member.state_since = now;
        let suspectors = member.suspectors.clone();
        if to != MemberState::Suspect {
            member.clear_suspectors();
        }
        self.record(StateChange {
            at: now,
            node,
            from,
            to,
            incarnation,
            suspectors,
        });
    }

    fn record(&mut self, change: StateChange) {
        self.change_count += 1;
        self.recorded_changes.push_back(change);
        if self.recorded_changes.len() > self.max_recorded_changes {
            self.recorded_changes.pop_front();
        }
    }
}
