//! A table of servers by id and by small index.
use std::ops::{Index, IndexMut};

use quartzhub_policy::ServerIndex;
use rustc_hash::FxHashMap;

use crate::slab::Slab;

/// A table with a record for each server, accessible by the server's id and by its index. A server
/// has a record exactly as long as it has an index; the index may be reused once the server is
/// released.
#[derive(Debug)]
pub struct ServerTable<T> {
    indices: FxHashMap<String, ServerIndex>,
    entries: Slab<Entry<T>>,
}

/// A table that only maps servers' ids to indices.
pub type ServerInterner = ServerTable<()>;

/// A server's id and its record.
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
    /// Returns the index of this id. An unknown id gets a new index with a default record.
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
    /// Removes a server. Its index may be reused for the next new id.
    pub fn release(&mut self, index: ServerIndex) {
        if let Some(entry) = self.entries.remove(index.0) {
            self.indices.remove(&entry.id);
        }
    }

    /// Returns whether this id has an index.
    pub fn contains(&self, id: &str) -> bool {
        self.indices.contains_key(id)
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// Returns the id at an index, or an empty string if the index is unused.
    pub fn id(&self, index: ServerIndex) -> &str {
        self.entries
            .get(index.0)
            .map_or("", |entry| entry.id.as_str())
    }

    /// Returns the record at an index.
    pub fn get(&self, index: ServerIndex) -> Option<&T> {
        Some(&self.entries.get(index.0)?.record)
    }

    /// Returns the record at an index, mutably.
    pub fn get_mut(&mut self, index: ServerIndex) -> Option<&mut T> {
        Some(&mut self.entries.get_mut(index.0)?.record)
    }

    /// Iterates over all servers in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = (ServerIndex, &T)> {
        self.entries
            .iter()
            .map(|(index, entry)| (ServerIndex(index), &entry.record))
    }

    /// Iterates mutably over all servers in the order of their indices.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (ServerIndex, &mut T)> {
        self.entries
            .iter_mut()
            .map(|(index, entry)| (ServerIndex(index), &mut entry.record))
    }

    /// Returns the memory used by the table, in records.
    #[cfg(test)]
    pub(crate) fn footprint(&self) -> crate::slab::Footprint {
        self.entries.footprint()
    }
}

/// Panics if the index is unused.
impl<T> Index<ServerIndex> for ServerTable<T> {
    type Output = T;

    fn index(&self, index: ServerIndex) -> &T {
        self.get(index).expect("the index of a known server")
    }
}

impl<T> IndexMut<ServerIndex> for ServerTable<T> {
    fn index_mut(&mut self, index: ServerIndex) -> &mut T {
        self.get_mut(index).expect("the index of a known server")
    }
}
