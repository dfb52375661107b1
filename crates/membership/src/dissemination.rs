//! Dissemination: rumors that are piggybacked on datagrams, each transmitted a bounded number of
//! times.
use crate::wire::Entry;

struct Rumor {
    entry: Entry,
    transmissions: u32,
}

/// Rumors that this node still has to transmit.
pub(crate) struct Dissemination {
    rumors: Vec<Rumor>,
    max_rumors: usize,
}

impl Dissemination {
    pub(crate) fn new(max_rumors: usize) -> Dissemination {
        Dissemination {
            rumors: Vec::new(),
            max_rumors,
        }
    }

    /// Queues a rumor and removes those that it makes obsolete.
    pub(crate) fn put(&mut self, entry: Entry) {
        self.rumors
            .retain(|rumor| !makes_obsolete(&entry, &rumor.entry));
        if self.rumors.len() >= self.max_rumors {
            self.evict_most_transmitted();
        }
        self.rumors.push(Rumor {
            entry,
            transmissions: 0,
        });
    }

    /// Drops the rumor that was transmitted most often, because it has reached the most nodes.
    fn evict_most_transmitted(&mut self) {
        let most = (0..self.rumors.len()).max_by_key(|i| self.rumors[*i].transmissions);
        if let Some(most) = most {
            self.rumors.swap_remove(most);
        }
    }

    /// Passes rumors to `add` while they fit, the least transmitted and most urgent first. Drops
    /// those that have been transmitted `max_transmissions` times.
    pub(crate) fn piggyback(
        &mut self,
        max_transmissions: u32,
        mut add: impl FnMut(&Entry) -> bool,
    ) {
        self.rumors
            .sort_by_key(|rumor| (rumor.transmissions, urgency_rank(&rumor.entry)));
        for rumor in &mut self.rumors {
            if !add(&rumor.entry) {
                break;
            }
            rumor.transmissions += 1;
        }
        self.rumors
            .retain(|rumor| rumor.transmissions < max_transmissions);
    }
}

/// Returns whether `new` makes `old` obsolete. A newer entry about a node replaces older ones, but
/// suspicions by different suspectors are kept side by side.
fn makes_obsolete(new: &Entry, old: &Entry) -> bool {
    match (old, new) {
        (
            Entry::Suspect {
                node,
                incarnation,
                by,
            },
            Entry::Suspect {
                node: new_node,
                incarnation: new_incarnation,
                by: new_by,
            },
        ) => node == new_node && (new_incarnation > incarnation || by == new_by),
        (Entry::DrainOverride(old), Entry::DrainOverride(new)) => old.server == new.server,
        (Entry::DrainOverride(_), _) | (_, Entry::DrainOverride(_)) => false,
        _ => old.node() == new.node(),
    }
}

/// Returns the urgency of a rumor; lower ranks are sent first.
fn urgency_rank(entry: &Entry) -> u8 {
    match entry {
        Entry::Suspect { .. } | Entry::Heard { .. } | Entry::DrainOverride(_) => 0,
        Entry::Alive { .. } | Entry::Left { .. } => 1,
        Entry::Dead { .. } => 2,
    }
}
