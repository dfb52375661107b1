//! Cache selection by DEMA (distributed exponential moving average): a call goes to the cache whose
//! moving average of key positions is nearest to the position of the call's key, and the key's
//! position is then folded into that average.
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::actions::PolicyActions;
use crate::attempt::AttemptCause;
use crate::balancer::Balancer;
use crate::endpoint::ServerIndex;
use crate::hash::unit_position;
use crate::request::CallIndex;
use crate::server::Server;

/// Weight of a key's position in the moving average of the cache it is sent to.
const MOVING_AVERAGE_WEIGHT: f64 = 0.01;
/// Attempts in flight up to which no cache is skipped: one that is executing and one that is
/// queued.
const MIN_IN_FLIGHT_LIMIT: f64 = 2.0;
/// A cache is skipped if it has more attempts in flight than this multiple of the node's mean per
/// cache.
const MAX_IN_FLIGHT_TO_MEAN_RATIO: f64 = 2.0;
/// A cache that rejected an attempt is assumed to free one slot each time this many median response
/// times have passed.
const MEDIANS_PER_FREED_SLOT: f64 = 2.0;
/// The conjugate of the golden ratio: multiples of it modulo 1 are spread evenly over the unit
/// interval, whatever their number.
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_034;

/// The caches that calls can be sent to.
#[derive(Default)]
pub(crate) struct CacheSelector {
    /// Ready caches in the order of their indices.
    pub(crate) caches: Vec<ServerIndex>,
}

/// A cache, ordered by its distance from a key; the lower index comes first at equal distance.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// The bits of the distance, which order like the distance itself since it is not negative.
    distance_bits: u64,
    cache: ServerIndex,
}

/// Returns the position of a key's replica between 0 and 1; replica 0 is at the position of the
/// key's hash.
pub(crate) fn replica_position(key: u64, replica: f64) -> f64 {
    (unit_position(key) + replica * GOLDEN_RATIO_CONJUGATE).fract()
}

impl CacheSelector {
    /// Spreads the moving averages of a new fleet over the positions that evenly distributed keys
    /// would lead to. With hashed positions instead, the caches' key ranges would differ in size
    /// several times over and take long to even out. Caches of one zone are placed far apart.
    pub(crate) fn spread_evenly(&self, servers: &mut [Server]) {
        let mut ranked = self.caches.clone();
        ranked.sort_by_key(|cache| {
            let server = &servers[cache.0];
            (server.zone, server.initial_position.map(f64::to_bits))
        });
        let caches = ranked.len();
        let golden_step = |rank: usize| (rank as f64 * GOLDEN_RATIO_CONJUGATE).fract();
        let mut ranks: Vec<usize> = (0..caches).collect();
        ranks.sort_by(|a, b| golden_step(*a).total_cmp(&golden_step(*b)));
        for (order, rank) in ranks.into_iter().enumerate() {
            servers[ranked[rank].0].moving_average = (order as f64 + 0.5) / caches as f64;
        }
    }
}

impl Balancer {
    /// Sends a call to a cache, or to the origin if no cache may be used.
    pub(crate) fn route_to_cache(&mut self, index: CallIndex, actions: &mut impl PolicyActions) {
        let call = &self.calls[index.0];
        let is_last_retry =
            !call.attempts.is_empty() && call.attempts.len() + 1 >= call.max_attempts;
        if self.cache_aside && (call.write || is_last_retry) {
            return self.route_to_origin(index, actions);
        }
        let cause = if call.replaces_overdue {
            AttemptCause::Overdue
        } else {
            AttemptCause::Routed
        };
        match self.select_server(index, cause) {
            Some(server) if self.send_attempt(index, server, cause, actions) => {}
            // Only while the origin has free slots: otherwise full caches would turn all their
            // reads into load on the origin.
            None if self.cache_aside && self.origin.accepts_unmissed_read(self.now) => {
                self.route_to_origin(index, actions);
            }
            _ => self.give_up(index, actions),
        }
    }

    /// Selects the server for a call's next attempt. For an overdue call this is the origin if it
    /// has slots to spare: the next nearest cache usually does not hold the object, and may be
    /// overloaded too.
    pub(crate) fn select_server(
        &mut self,
        index: CallIndex,
        cause: AttemptCause,
    ) -> Option<ServerIndex> {
        if cause == AttemptCause::Overdue && self.origin.has_slots_to_spare(self.now) {
            return self.origin.servers.first().copied();
        }
        let cache = self.nearest_usable_cache(index)?;
        let average = &mut self.servers[cache.0].moving_average;
        *average += MOVING_AVERAGE_WEIGHT * (self.calls[index.0].key_position - *average);
        Some(cache)
    }

    /// Returns the nearest cache that may receive the call and is no outlier. If all of them are
    /// outliers, it returns the nearest one.
    fn nearest_usable_cache(&mut self, index: CallIndex) -> Option<ServerIndex> {
        let key_position = self.calls[index.0].key_position;
        // A heap instead of a sort, since few calls look beyond the nearest caches.
        let mut by_distance: BinaryHeap<Reverse<Candidate>> = self
            .cache_selector
            .caches
            .iter()
            .map(|cache| {
                let distance = (self.servers[cache.0].moving_average - key_position).abs();
                Reverse(Candidate {
                    distance_bits: distance.to_bits(),
                    cache: *cache,
                })
            })
            .collect();
        let max_in_flight = self.in_flight_limit();
        let mut nearest_outlier = None;
        while let Some(Reverse(Candidate { cache, .. })) = by_distance.pop() {
            if !self.may_receive_attempt(cache, index, max_in_flight) {
                continue;
            }
            let server = &self.servers[cache.0];
            if self.outliers.accepts(server, self.now, &mut self.rng) {
                return Some(cache);
            }
            nearest_outlier = nearest_outlier.or(Some(cache));
        }
        nearest_outlier
    }

    /// Returns the number of attempts in flight above which a cache is skipped.
    fn in_flight_limit(&self) -> f64 {
        let caches = &self.cache_selector.caches;
        let in_flight: u32 = caches
            .iter()
            .map(|cache| self.servers[cache.0].in_flight)
            .sum();
        (MAX_IN_FLIGHT_TO_MEAN_RATIO * f64::from(in_flight) / caches.len().max(1) as f64)
            .max(MIN_IN_FLIGHT_LIMIT)
    }

    /// Returns whether a cache may receive one more attempt, and has received none of this call
    /// yet.
    fn may_receive_attempt(
        &mut self,
        cache: ServerIndex,
        index: CallIndex,
        max_in_flight: f64,
    ) -> bool {
        let now = self.now;
        let server = &mut self.servers[cache.0];
        let in_flight = f64::from(server.in_flight);
        // The number of attempts in flight when a cache rejected one is taken for its capacity.
        // Without this limit, a full cache would keep receiving attempts only to reject them.
        let freed_slots = (now - server.overloaded_at).0 as f64
            / (MEDIANS_PER_FREED_SLOT * self.outliers.median_micros);
        let is_full = in_flight + 1.0 > server.capacity + freed_slots;
        let already_attempted = self.calls[index.0]
            .attempts
            .iter()
            .any(|attempt| attempt.server == cache);
        if in_flight > max_in_flight || is_full || already_attempted {
            return false;
        }
        self.slow_start.has_credit(
            server,
            &self.cache_load,
            self.cache_selector.caches.len(),
            self.outliers.is_delisting_reliable(),
            now,
        )
    }
}
