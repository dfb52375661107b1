//! A bounded register of versioned values, one for each subject. A value holds at every node until
//! a version that supersedes it arrives.
use quartzhub_policy::{Span, Time};

/// A value about a subject. Every node keeps the version that supersedes all others.
///
/// ```
/// use quartzhub_membership::register::{Register, Versioned};
/// use quartzhub_policy::Time;
///
/// /// A road is open or closed.
/// #[derive(Clone, Copy, PartialEq)]
/// struct Road {
///     name: &'static str,
///     version: u32,
///     open: bool,
/// }
///
/// impl Versioned for Road {
///     type Subject = &'static str;
///     fn subject(&self) -> &'static str {
///         self.name
///     }
///     fn supersedes(&self, other: &Road) -> bool {
///         (self.version, !self.open) > (other.version, !other.open)
///     }
///     fn is_evictable(&self) -> bool {
///         self.open
///     }
/// }
///
/// let road = |version, open| Road { name: "north", version, open };
/// let mut roads = Register::new(2);
/// assert!(roads.put(Time(0), road(1, true), 0));
/// // Both sides of a partition issue version 2: closed is the safe value, whichever arrives first.
/// assert!(roads.put(Time(0), road(2, true), 0));
/// assert!(roads.put(Time(0), road(2, false), 0));
/// assert!(!roads.put(Time(0), road(2, true), 0));
/// ```
pub trait Versioned: Copy + PartialEq {
    /// Identifies what the value is about.
    type Subject: PartialEq;

    /// Returns what the value is about.
    fn subject(&self) -> Self::Subject;

    /// Returns whether this value replaces the other one about the same subject. Every node decides
    /// alike.
    fn supersedes(&self, other: &Self) -> bool;

    /// Returns whether the value may be evicted to free capacity for another subject.
    fn is_evictable(&self) -> bool;
}

/// A value that holds at this node.
#[derive(Debug, Clone, Copy)]
pub struct VersionedEntry<V> {
    /// The value.
    pub value: V,
    /// When this node stored it.
    pub since: Time,
    /// Number of rounds in which it is still to be pushed to other nodes.
    push_rounds_left: u32,
    next_push: Time,
}

/// The rule that decides which of two values about a subject holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConflictResolution {
    /// The one that supersedes the other.
    ByVersion,
    /// The value received last holds: a fault that tests inject.
    LastReceived,
}

/// Values by subject, bounded in number.
#[derive(Debug)]
pub struct Register<V> {
    entries: Vec<VersionedEntry<V>>,
    max_entries: usize,
    conflict_resolution: ConflictResolution,
    /// Index of the entry that `next_round_robin` returned last.
    cursor: usize,
    revision: u64,
}

impl<V: Versioned> Register<V> {
    /// Creates an empty register for at most `max_entries` subjects.
    pub fn new(max_entries: usize) -> Register<V> {
        Register::with_conflict_resolution(max_entries, ConflictResolution::ByVersion)
    }

    pub(crate) fn with_conflict_resolution(
        max_entries: usize,
        conflict_resolution: ConflictResolution,
    ) -> Register<V> {
        Register {
            entries: Vec::new(),
            max_entries,
            conflict_resolution,
            cursor: 0,
            revision: 0,
        }
    }

    /// Returns all entries.
    pub fn entries(&self) -> impl Iterator<Item = &VersionedEntry<V>> {
        self.entries.iter()
    }

    /// Returns the value about a subject.
    pub fn get(&self, subject: &V::Subject) -> Option<V> {
        self.entries
            .iter()
            .map(|entry| entry.value)
            .find(|value| value.subject() == *subject)
    }

    /// Returns a number that grows with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Stores a value if it supersedes the stored one, to be pushed in `push_rounds` rounds.
    /// Returns whether it was stored.
    pub fn put(&mut self, now: Time, value: V, push_rounds: u32) -> bool {
        let new = VersionedEntry {
            value,
            since: now,
            push_rounds_left: push_rounds,
            next_push: now,
        };
        let stored = self
            .entries
            .iter_mut()
            .find(|entry| entry.value.subject() == value.subject());
        match stored {
            Some(stored) => {
                let supersedes = value.supersedes(&stored.value)
                    || self.conflict_resolution == ConflictResolution::LastReceived;
                if stored.value == value || !supersedes {
                    return false;
                }
                *stored = new;
            }
            None => {
                if self.entries.len() >= self.max_entries && !self.evict_oldest() {
                    return false;
                }
                self.entries.push(new);
            }
        }
        self.revision += 1;
        true
    }

    /// Evicts the oldest evictable entry; returns false if there is none.
    fn evict_oldest(&mut self) -> bool {
        let oldest = self
            .entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.value.is_evictable())
            .min_by_key(|(_, entry)| entry.since);
        let Some((oldest, _)) = oldest else {
            return false;
        };
        self.entries.swap_remove(oldest);
        true
    }

    /// Returns the values one after another, to send them to nodes that missed the rumor.
    pub fn next_round_robin(&mut self) -> Option<V> {
        self.cursor = (self.cursor + 1) % self.entries.len().max(1);
        self.entries.get(self.cursor).map(|entry| entry.value)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the time of the next push, if one is pending.
    pub fn next_push(&self) -> Option<Time> {
        self.entries
            .iter()
            .filter(|entry| entry.push_rounds_left > 0)
            .map(|entry| entry.next_push)
            .min()
    }

    /// Returns a value that is due for a push, and schedules its next round after the interval.
    pub fn take_due_push(&mut self, now: Time, interval: Span) -> Option<V> {
        let entry = self
            .entries
            .iter_mut()
            .find(|entry| entry.push_rounds_left > 0 && now >= entry.next_push)?;
        entry.push_rounds_left -= 1;
        entry.next_push = now + interval;
        Some(entry.value)
    }
}
