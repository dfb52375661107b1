//! State of the cache servers and the origin, shared by all their threads.
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::CACHES;

/// Values and pending misses of the toy deployment.
#[derive(Default)]
pub(crate) struct FleetState {
    /// Values in each cache, by key.
    pub(crate) cached: [HashMap<String, Vec<u8>>; CACHES.len()],
    /// Values written to the origin, by key.
    pub(crate) stored: HashMap<String, Vec<u8>>,
    /// Indexes of the caches that missed for an API call, by the call's id.
    pub(crate) misses_by_call: HashMap<String, Vec<usize>>,
}

/// A cloneable handle to the shared state.
#[derive(Clone, Default)]
pub(crate) struct SharedState(Arc<Mutex<FleetState>>);

impl SharedState {
    pub(crate) fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
