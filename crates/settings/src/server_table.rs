//! Servers' ids, their small indices, and what is kept of each.
use std::ops::{Index, IndexMut};

use quartzhub_policy::ServerIndex;
use rustc_hash::FxHashMap;

use crate::slab::Slab;

/// What is kept of each server, by its id and by its index. A server has a record exactly as long as it has an index;
/// the index is free again once the server is released.
#[derive(Debug)]
pub struct ServerTable<T> {
    indices: FxHashMap<String, ServerIndex>,
    entries: Slab<Entry<T>>,
}

/// Servers' ids and their indices, with nothing else kept.
pub type ServerInterner = ServerTable<()>;

/// A server that has an index.
#[derive(Debug)]
struct Entry<T> {
    id: String,
    record: T,
}

impl<T> Default for ServerTable<T> {
    fn default() -> ServerTable<T> {
        ServerTable {
            indices: FxHashMap::default(),
            entries: Slab::default(),
        }
    }
}

impl<T: Default> ServerTable<T> {
    /// The index of this id, a new one with an empty record if it has none.
    pub fn intern(&mut self, id: &str) -> ServerIndex {
        if let Some(index) = self.indices.get(id) {
            return *index;
        }
        let entry = Entry {
            id: id.to_owned(),
            record: T::default(),
        };
        let index = ServerIndex(self.entries.insert(entry));
        self.indices.insert(id.to_owned(), index);
        index
    }
}

impl<T> ServerTable<T> {
    /// Takes a server out. The next new id may get its index.
    pub fn release(&mut self, index: ServerIndex) {
        if let Some(entry) = self.entries.remove(index.0) {
            self.indices.remove(&entry.id);
        }
    }

    /// Whether this id has an index.
    pub fn contains(&self, id: &str) -> bool {
        self.indices.contains_key(id)
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// The id of an index, empty if it has none.
    pub fn id(&self, index: ServerIndex) -> &str {
        self.entries
            .get(index.0)
            .map_or("", |entry| entry.id.as_str())
    }

    /// The record of an index.
    pub fn get(&self, index: ServerIndex) -> Option<&T> {
        Some(&self.entries.get(index.0)?.record)
    }

    /// The record of an index, to be changed.
    pub fn get_mut(&mut self, index: ServerIndex) -> Option<&mut T> {
        Some(&mut self.entries.get_mut(index.0)?.record)
    }

    /// All servers, in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = (ServerIndex, &T)> {
        self.entries
            .iter()
            .map(|(index, entry)| (ServerIndex(index), &entry.record))
    }

    /// All servers, in the order of their indices, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (ServerIndex, &mut T)> {
        self.entries
            .iter_mut()
            .map(|(index, entry)| (ServerIndex(index), &mut entry.record))
    }

    /// What the table occupies.
    #[cfg(test)]
    pub(crate) fn footprint(&self) -> crate::slab::Footprint {
        self.entries.footprint()
    }
}

/// Panics for an index that no server has.
impl<T> Index<ServerIndex> for ServerTable<T> {
    type Output = T;

    fn index(&self, index: ServerIndex) -> &T {
        self.get(index).expect("a server of this index")
    }
}

impl<T> IndexMut<ServerIndex> for ServerTable<T> {
    fn index_mut(&mut self, index: ServerIndex) -> &mut T {
        self.get_mut(index).expect("a server of this index")
    }
}
