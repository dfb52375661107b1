//! Builds the datagrams that this node sends: the head, the piggybacked entries, and the
//! announcement that the node leaves.
use quartzhub_policy::Time;

use crate::membership::Membership;
use crate::sampling::sample;
use crate::wire::{Entry, Head, MessageKind, Packet};
use crate::{Datagram, NodeId};

/// Drain overrides in the ack to a node that has just started: half of a datagram.
const MAX_HELLO_OVERRIDES: usize = 7;

/// Table rows examined for each anti-entropy entry sent. Most rows of a large configuration may
/// belong to unknown nodes, which have no entry.
const MAX_ROWS_PER_ENTRY: usize = 8;

/// Positions at which the next datagram continues.
#[derive(Debug, Default)]
pub(crate) struct TransmitCursors {
    /// The sequence number of the last datagram.
    sequence: u32,
    /// The table row that was examined last.
    table_row: usize,
}

impl Membership {
    pub(crate) fn head(&mut self, kind: MessageKind, target: NodeId, probe: u32) -> Head {
        self.transmit_cursors.sequence = self.transmit_cursors.sequence.wrapping_add(1);
        Head {
            kind,
            from: self.me,
            incarnation: self.incarnation,
            sequence: self.transmit_cursors.sequence,
            probe,
            target,
        }
    }

    /// Pings a node and returns the ping's sequence number, which its ack repeats. `required` is an
    /// entry that the datagram has to contain.
    pub(crate) fn ping(
        &mut self,
        to: NodeId,
        required: Option<Entry>,
        out: &mut Vec<Datagram>,
    ) -> u32 {
        let mut head = self.head(MessageKind::Ping { hello: false }, to, 0);
        head.probe = head.sequence;
        self.send(to, head, required, out);
        head.sequence
    }

    /// Sends a message. The entry about the receiver itself comes first, because the receiver can
    /// refute it. The most urgent rumors follow, then some table rows, so that a node that missed a
    /// rumor gets its content later.
    pub(crate) fn send(
        &mut self,
        to: NodeId,
        head: Head,
        required: Option<Entry>,
        out: &mut Vec<Datagram>,
    ) {
        let mut packet = self.endpoint.packet(&head);
        if let Some(entry) = required.or_else(|| self.table.entry_for_itself(to)) {
            packet.add(&entry);
        }
        let max_transmissions = self.max_transmissions();
        self.dissemination
            .piggyback(max_transmissions, |entry| packet.add(entry));
        let answers_hello = matches!(head.kind, MessageKind::Ack)
            && self
                .table
                .get(to)
                .is_some_and(|member| member.wants_full_table);
        if answers_hello {
            self.add_drain_overrides(&mut packet, MAX_HELLO_OVERRIDES);
            self.add_table_rows(&mut packet, usize::MAX);
        } else {
            self.add_drain_overrides(&mut packet, 1);
            self.add_table_rows(&mut packet, self.config.anti_entropy_entries);
        }
        self.endpoint.send(to, packet, out);
    }

    /// Returns how often each rumor is transmitted, which grows with the logarithm of the fleet's
    /// size.
    fn max_transmissions(&self) -> u32 {
        let magnitude = (self.table.len() as f64 + 1.0).log10();
        let scaled = (self.config.retransmit_multiplier * magnitude).ceil() as u32;
        scaled.max(self.config.min_retransmits)
    }

    fn add_drain_overrides(&mut self, packet: &mut Packet, max: usize) {
        for _ in 0..self.drain_overrides.len().min(max) {
            if let Some(next) = self.drain_overrides.next_round_robin() {
                packet.add(&Entry::DrainOverride(next));
            }
        }
    }

    /// Adds table rows, starting after the last row examined, while they fit.
    fn add_table_rows(&mut self, packet: &mut Packet, max: usize) {
        let rows = self.table.len();
        let mut added = 0;
        for _ in 0..rows.min(max.saturating_mul(MAX_ROWS_PER_ENTRY)) {
            if added >= max {
                break;
            }
            let row = (self.transmit_cursors.table_row + 1) % rows;
            self.transmit_cursors.table_row = row;
            let Some(entry) = self.table.anti_entropy_entry(NodeId(row as u16)) else {
                continue;
            };
            if !packet.add(&entry) {
                break;
            }
            added += 1;
        }
    }

    /// Announces to other nodes that this node leaves as planned, so that they do not treat its
    /// absence as a failure.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Datagram>) {
        let node = self.me;
        let incarnation = self.incarnation;
        self.is_leaving = true;
        self.table.mark_left(now, node, incarnation);
        let left = Entry::Left { node, incarnation };
        self.dissemination.put(left);
        let others: Vec<NodeId> = self.table.other_members().collect();
        let count = 2 * self.config.indirect_probe_count;
        for to in sample(others, count, &mut self.rng) {
            self.ping(to, Some(left), out);
        }
    }
}
