//! The ids of recent calls that must not be executed twice and may have been executed. A client may
//! leave while its call is in flight, and send the same call again on another connection.
use std::collections::hash_map::RandomState;
use std::collections::VecDeque;
use std::hash::BuildHasher;

use quartzhub_policy::Time;
use rustc_hash::FxHashSet;

use crate::limits::Limits;

/// A remembered id, by its hash.
struct SentId {
    hash: u64,
    forget_at: Time,
}

/// Ids of recent calls, a bounded number of them.
#[derive(Default)]
pub(super) struct SentIds {
    hasher: RandomState,
    hashes: FxHashSet<u64>,
    /// The remembered ids, the oldest first.
    queue: VecDeque<SentId>,
}

impl SentIds {
    /// Remembers an id; forgets the oldest one if there are too many.
    pub(super) fn insert(&mut self, id: &str, now: Time, limits: &Limits) {
        self.forget_expired(now);
        if self.queue.len() >= limits.remembered_ids {
            self.forget_oldest();
        }
        let hash = self.hasher.hash_one(id);
        if self.hashes.insert(hash) {
            let forget_at = now + limits.id_memory;
            self.queue.push_back(SentId { hash, forget_at });
        }
    }

    /// Returns whether an id is remembered.
    pub(super) fn contains(&mut self, id: &str, now: Time) -> bool {
        self.forget_expired(now);
        !self.hashes.is_empty() && self.hashes.contains(&self.hasher.hash_one(id))
    }

    fn forget_expired(&mut self, now: Time) {
        while self
            .queue
            .front()
            .is_some_and(|oldest| oldest.forget_at <= now)
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.queue.pop_front() {
            self.hashes.remove(&oldest.hash);
        }
        if self.queue.is_empty() {
            self.hashes = FxHashSet::default();
            self.queue = VecDeque::new();
        }
    }
}
