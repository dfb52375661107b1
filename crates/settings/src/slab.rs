//! Storage of records with small, reusable indices.
use std::collections::BTreeSet;

/// Records with small, reusable indices. The lowest free index is assigned first, so that the
/// storage can shrink again.
#[derive(Debug)]
pub(crate) struct Slab<T> {
    records: Vec<Option<T>>,
    free: BTreeSet<usize>,
}

/// The memory used by a slab, in records.
#[cfg(test)]
pub(crate) struct Footprint {
    pub(crate) records: usize,
    pub(crate) free: usize,
    pub(crate) capacity: usize,
}

impl<T> Default for Slab<T> {
    fn default() -> Slab<T> {
        Slab {
            records: Vec::new(),
            free: BTreeSet::new(),
        }
    }
}

impl<T> Slab<T> {
    /// Adds a record and returns its index.
    pub(crate) fn insert(&mut self, record: T) -> usize {
        let index = self.free.pop_first().unwrap_or(self.records.len());
        if index == self.records.len() {
            self.records.push(None);
        }
        self.records[index] = Some(record);
        index
    }

    /// Removes a record and returns it; its index may be reused.
    pub(crate) fn remove(&mut self, index: usize) -> Option<T> {
        let record = self.records.get_mut(index)?.take()?;
        self.free.insert(index);
        while self.records.last().is_some_and(Option::is_none) {
            self.records.pop();
            self.free.remove(&self.records.len());
        }
        if self.records.len() < self.records.capacity() / 4 {
            self.records.shrink_to(2 * self.records.len());
        }
        Some(record)
    }

    /// Returns the record at an index.
    pub(crate) fn get(&self, index: usize) -> Option<&T> {
        self.records.get(index)?.as_ref()
    }

    /// Returns the record at an index, mutably.
    pub(crate) fn get_mut(&mut self, index: usize) -> Option<&mut T> {
        self.records.get_mut(index)?.as_mut()
    }

    /// Iterates over all records in the order of their indices.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, &T)> {
        self.records
            .iter()
            .enumerate()
            .filter_map(|(index, record)| Some((index, record.as_ref()?)))
    }

    /// Iterates mutably over all records in the order of their indices.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (usize, &mut T)> {
        self.records
            .iter_mut()
            .enumerate()
            .filter_map(|(index, record)| Some((index, record.as_mut()?)))
    }

    /// Returns the number of records.
    pub(crate) fn len(&self) -> usize {
        self.records.len() - self.free.len()
    }

    /// Returns the memory used, including that of removed records.
    #[cfg(test)]
    pub(crate) fn footprint(&self) -> Footprint {
        Footprint {
            records: self.records.len(),
            free: self.free.len(),
            capacity: self.records.capacity(),
        }
    }
}
