//! A table of open API calls with small indices.
use quartzhub_policy::CallIndex;

use crate::slab::Slab;

/// A table with a record for each open API call; the index of a removed call may be reused.
#[derive(Debug)]
pub struct CallTable<T>(Slab<T>);

impl<T> Default for CallTable<T> {
    fn default() -> CallTable<T> {
        CallTable(Slab::default())
    }
}

impl<T> CallTable<T> {
    /// Adds a record and returns its index.
    pub fn insert(&mut self, record: T) -> CallIndex {
        CallIndex(self.0.insert(record))
    }

    /// Removes a record and returns it.
    pub fn remove(&mut self, index: CallIndex) -> Option<T> {
        self.0.remove(index.0)
    }

    /// Returns the record at an index.
    pub fn get(&self, index: CallIndex) -> Option<&T> {
        self.0.get(index.0)
    }

    /// Returns the record at an index, mutably.
    pub fn get_mut(&mut self, index: CallIndex) -> Option<&mut T> {
        self.0.get_mut(index.0)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
