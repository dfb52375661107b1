//! Converts table rows into datagram entries.
use super::MemberTable;
use crate::member::MemberState;
use crate::wire::Entry;
use crate::NodeId;

impl MemberTable {
    /// Returns the entry about a node that is sent to that node itself, so that it can refute it.
    /// After a restart, the node raises its incarnation above the one in this entry.
    pub(crate) fn entry_for_itself(&self, node: NodeId) -> Option<Entry> {
        let member = self.get(node)?;
        let by = member.suspectors.first().copied();
        self.entry(node, by)
    }

    /// Returns a node's row as an entry, for nodes that missed a rumor. A suspicion is included
    /// only if this node is a suspector: suspicions of others spread as rumors, which end.
    pub(crate) fn anti_entropy_entry(&self, node: NodeId) -> Option<Entry> {
        let member = self.get(node)?;
        let by = member.suspectors.contains(&self.me).then_some(self.me);
        self.entry(node, by)
    }

    /// Returns a node's state as an entry. A suspicion is attributed to `suspector`; without one,
    /// there is no entry.
    fn entry(&self, node: NodeId, suspector: Option<NodeId>) -> Option<Entry> {
        let member = self.get(node)?;
        let incarnation = member.incarnation;
        match member.state {
            MemberState::Unknown => None,
            MemberState::Alive => Some(Entry::Alive { node, incarnation }),
            MemberState::Suspect => suspector.map(|by| Entry::Suspect {
                node,
                incarnation,
                by,
            }),
            MemberState::Dead => Some(Entry::Dead { node, incarnation }),
            MemberState::Left => Some(Entry::Left { node, incarnation }),
        }
    }
}
