//! Request coalescing: at most one fetch from the origin for each key; other reads of the key wait
//! for it.
use rustc_hash::FxHashMap;

use crate::actions::PolicyActions;
use crate::attempt::AttemptCause;
use crate::balancer::Balancer;
use crate::call::{Call, CallHandle, CallPhase};
use crate::endpoint::ServerIndex;
use crate::request::CallIndex;

/// A fetch of a key from the origin, and the calls that wait for it.
struct Fetch {
    leader: CallIndex,
    waiters: Vec<CallHandle>,
}

/// The fetches from the origin in progress, by key.
#[derive(Default)]
pub(crate) struct Coalescing {
    fetches: FxHashMap<u64, Fetch>,
}

impl Coalescing {
    /// Adds a read to the waiters if another call is fetching its key; returns whether it did.
    pub(crate) fn join(&mut self, index: CallIndex, call: &Call) -> bool {
        match self.fetches.get_mut(&call.key) {
            Some(fetch) if fetch.leader != index => {
                fetch.waiters.push(call.handle(index));
                true
            }
            _ => false,
        }
    }

    /// Registers a fetch that other reads of the key may wait for.
    pub(crate) fn begin(&mut self, leader: CallIndex, key: u64) {
        let fetch = Fetch {
            leader,
            waiters: Vec::new(),
        };
        self.fetches.insert(key, fetch);
    }

    /// Removes a fetch and returns the calls that waited for it.
    pub(crate) fn finish(&mut self, key: u64) -> Vec<CallHandle> {
        self.fetches
            .remove(&key)
            .map(|fetch| fetch.waiters)
            .unwrap_or_default()
    }
}

impl Balancer {
    /// Lets a read wait for a fetch of its key that is in progress. Otherwise routes the call: to
    /// the origin after a miss, else to a cache.
    pub(crate) fn coalesce_or_route(&mut self, index: CallIndex, actions: &mut impl PolicyActions) {
        let call = &self.calls[index.0];
        if !call.write && !self.is_nearly_expired(index) && self.coalescing.join(index, call) {
            return self.park(index, CallPhase::AwaitingFetch, actions);
        }
        if self.calls[index.0].missed {
            self.route_to_origin(index, actions);
        } else {
            self.route_to_cache(index, actions);
        }
    }

    /// Ends a fetch of a key and routes the calls that waited for it.
    pub(crate) fn end_fetch(
        &mut self,
        key: u64,
        filled_cache: Option<ServerIndex>,
        actions: &mut impl PolicyActions,
    ) {
        let waiters = self.coalescing.finish(key);
        self.release_waiters(waiters, filled_cache, actions);
    }

    /// Routes the calls that waited for a fetch. Reads that have missed go to `filled_cache`, the
    /// cache that has just received their object, if there is one.
    pub(crate) fn release_waiters(
        &mut self,
        waiters: Vec<CallHandle>,
        filled_cache: Option<ServerIndex>,
        actions: &mut impl PolicyActions,
    ) {
        for waiter in waiters {
            let Some(call) = self.calls.get(waiter.index.0) else {
                continue;
            };
            let is_waiting = call.serial == waiter.serial
                && !call.finished
                && call.phase == CallPhase::AwaitingFetch;
            if !is_waiting {
                continue;
            }
            let sent = match filled_cache.filter(|_| call.missed) {
                Some(cache) => {
                    self.send_attempt(waiter.index, cache, AttemptCause::Routed, actions)
                }
                None => false,
            };
            if !sent {
                self.coalesce_or_route(waiter.index, actions);
            }
        }
    }
}
