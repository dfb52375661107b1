//! Maps the ids of one node's calls and servers to small indices.
use quartzhub_policy::CallIndex;
use quartzhub_settings::{CallTable, ServerInterner};
use rustc_hash::FxHashMap;

/// The mapping between ids and indices at one node.
#[derive(Default)]
pub(crate) struct IdTable {
    calls: FxHashMap<Box<str>, CallIndex>,
    call_ids: CallTable<Box<str>>,
    pub(crate) servers: ServerInterner,
}

impl IdTable {
    /// Assigns an index to a new call; returns none if the id is in use.
    pub(crate) fn insert_call(&mut self, id: &str) -> Option<CallIndex> {
        if self.calls.contains_key(id) {
            return None;
        }
        let index = self.call_ids.insert(id.into());
        self.calls.insert(id.into(), index);
        Some(index)
    }

    /// Returns the index of a call.
    pub(crate) fn call(&self, id: &str) -> Option<CallIndex> {
        self.calls.get(id).copied()
    }

    /// Returns the id of a call; empty if the index is not in use.
    pub(crate) fn call_id(&self, index: CallIndex) -> &str {
        self.call_ids.get(index).map_or("", |id| id)
    }

    /// Frees the index of a call.
    pub(crate) fn release_call(&mut self, index: CallIndex) {
        if let Some(id) = self.call_ids.remove(index) {
            self.calls.remove(&id);
        }
    }
}
