//! Records under small indices.
use std::collections::BTreeSet;

/// Records under small indices. The lowest free one is given out first, so that the table shrinks
/// again.
#[derive(Debug)]
pub(crate) struct Slab<T> {
    records: Vec<Option<T>>,
    free: BTreeSet<usize>,
}

/// What a slab occupies, in records.
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
    /// Adds a record and gives its index.
    pub(crate) fn insert(&mut self, record: T) -> usize {
        let index = self.free.pop_first().unwrap_or(self.records.len());
        if index == self.records.len() {
            self.records.push(None);
        }
        self.records[index] = Some(record);
        index
    }

    /// Takes a record out; its index is free again.
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

    /// The record of an index.
    pub(crate) fn get(&self, index: usize) -> Option<&T> {
        self.records.get(index)?.as_ref()
    }

    /// The record of an index, to be changed.
    pub(crate) fn get_mut(&mut self, index: usize) -> Option<&mut T> {
        self.records.get_mut(index)?.as_mut()
    }

    /// All records, in the order of their indices.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, &T)> {
        self.records
            .iter()
            .enumerate()
            .filter_map(|(index, record)| Some((index, record.as_ref()?)))
    }

    /// All records, in the order of their indices, to be changed.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (usize, &mut T)> {
        self.records
            .iter_mut()
            .enumerate()
            .filter_map(|(index, record)| Some((index, record.as_mut()?)))
    }

    /// Number of records.
    pub(crate) fn len(&self) -> usize {
        self.records.len() - self.free.len()
    }

    /// What it occupies, also for records that were taken out.
    #[cfg(test)]
    pub(crate) fn footprint(&self) -> Footprint {
        Footprint {
            records: self.records.len(),
            free: self.free.len(),
            capacity: self.records.capacity(),
        }
    }
}
