//! A least-recently-used set of keys, stored in a slab with links by index.
#[cfg(test)]
mod tests;

use rustc_hash::FxHashMap;

/// Index that links to no entry.
const NONE: u32 = u32::MAX;

#[derive(Debug, Clone, Copy)]
struct Entry {
    key: u64,
    older: u32,
    newer: u32,
}

/// A set of at most `capacity` keys; the least recently used one is evicted first.
#[derive(Debug, Clone)]
pub struct Lru {
    /// Index of the entry of each key.
    slots: FxHashMap<u64, u32>,
    entries: Vec<Entry>,
    /// Indices of unused entries.
    free: Vec<u32>,
    newest: u32,
    oldest: u32,
    capacity: usize,
}

impl Lru {
    /// Creates an empty set.
    pub fn new(capacity: usize) -> Lru {
        Lru {
            slots: FxHashMap::default(),
            entries: Vec::new(),
            free: Vec::new(),
            newest: NONE,
            oldest: NONE,
            capacity,
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the set has no keys.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Whether the set has the key; marks the key as the most recently used.
    pub fn get(&mut self, key: u64) -> bool {
        let Some(&slot) = self.slots.get(&key) else {
            return false;
        };
        self.unlink(slot);
        self.link(slot);
        true
    }

    /// Whether the set has the key, without marking it as used.
    pub fn contains(&self, key: u64) -> bool {
        self.slots.contains_key(&key)
    }

    /// Adds a key or marks it as used; evicts the least recently used key if the set is full.
    pub fn put(&mut self, key: u64) {
        if self.capacity == 0 || self.get(key) {
            return;
        }
        if self.slots.len() >= self.capacity {
            let oldest = self.entries[self.oldest as usize].key;
            self.remove(oldest);
        }
        let entry = Entry {
            key,
            older: NONE,
            newer: NONE,
        };
        let slot = match self.free.pop() {
            Some(slot) => {
                self.entries[slot as usize] = entry;
                slot
            }
            None => {
                self.entries.push(entry);
                (self.entries.len() - 1) as u32
            }
        };
        self.slots.insert(key, slot);
        self.link(slot);
    }

    /// Removes a key if the set has it.
    pub fn remove(&mut self, key: u64) {
        if let Some(slot) = self.slots.remove(&key) {
            self.unlink(slot);
            self.free.push(slot);
        }
    }

    /// Removes all keys.
    pub fn clear(&mut self) {
        *self = Lru::new(self.capacity);
    }

    fn unlink(&mut self, slot: u32) {
        let Entry { older, newer, .. } = self.entries[slot as usize];
        match older {
            NONE => self.oldest = newer,
            older => self.entries[older as usize].newer = newer,
        }
        match newer {
            NONE => self.newest = older,
            newer => self.entries[newer as usize].older = older,
        }
    }

    fn link(&mut self, slot: u32) {
        let newest = std::mem::replace(&mut self.newest, slot);
        let entry = &mut self.entries[slot as usize];
        entry.older = newest;
        entry.newer = NONE;
        match newest {
            NONE => self.oldest = slot,
            newest => self.entries[newest as usize].newer = slot,
        }
    }
}
