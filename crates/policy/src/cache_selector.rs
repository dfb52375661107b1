//! Cache selection by DEMA (distributed exponential moving average): a call goes to the cache whose
//! moving average of key positions is nearest to its key's position, and moves it.
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
/// Attempts in flight up to which no cache is skipped: one that is executed, one that waits.
const MIN_SKIP_ATTEMPTS: f64 = 2.0;
/// A cache with more than this many times this node's mean attempts in flight for each cache is
/// skipped.
const SKIP_FACTOR: f64 = 2.0;
/// Median answer times after which a cache that rejected an attempt is taken to have one more slot.
const MEDIANS_PER_FREED_SLOT: f64 = 2.0;
/// The golden section; steps by it around the unit interval are spread evenly, however many there
/// are.
const GOLDEN_SECTION: f64 = 0.618_034;

/// The caches that calls are sent to.
#[derive(Default)]
pub(crate) struct CacheSelector {
    /// Ready caches in the order of their indices.
    pub(crate) caches: Vec<ServerIndex>,
}

/// A cache by its distance from a key; of equals the one of the lower index comes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// The distance, which is not negative, as bits: they compare as it does.
    distance_bits: u64,
    cache: ServerIndex,
}

/// The position of a key's replica between 0 and 1; replica 0 is at the position of its hash.
pub(crate) fn replica_position(key: u64, replica: f64) -> f64 {
    (unit_position(key) + replica * GOLDEN_SECTION).fract()
}

impl CacheSelector {
    /// Sets the moving averages of a new fleet to where evenly distributed keys would bring them.
    /// Guards against hashed positions, whose ranges differ by a multiple and take long to even
    /// out. Caches of one zone are spread apart.
    pub(crate) fn spread_evenly(&self, servers: &mut [Server]) {
        let mut ranked = self.caches.clone();
        ranked.sort_by_key(|cache| {
            let server = &servers[cache.0];
            (server.zone, server.initial_position.map(f64::to_bits))
        });
        let caches = ranked.len();
        let golden_step = |rank: usize| (rank as f64 * GOLDEN_SECTION).fract();
        let mut ranks: Vec<usize> = (0..caches).collect();
        ranks.sort_by(|a, b| golden_step(*a).total_cmp(&golden_step(*b)));
        for (place, rank) in ranks.into_iter().enumerate() {
            servers[ranked[rank].0].moving_average = (place as f64 + 0.5) / caches as f64;
        }
    }
}

impl Balancer {
    /// Sends a call to a cache, or to the origin where no cache may be asked.
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
            // Guards against full caches that turn all their reads into work for the origin.
            None if self.cache_aside && self.origin.accepts_unmissed_read(self.now) => {
                self.route_to_origin(index, actions);
            }
            _ => self.give_up(index, actions),
        }
    }

    /// The server for a call's next attempt. For an overdue one it is the origin if that has slots
    /// to spare: the next nearest cache mostly lacks the object, and may be overloaded too.
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

    /// The nearest cache that has room for a call and is no outlier. Where all are outliers it is
    /// the nearest of them.
    fn nearest_usable_cache(&mut self, index: CallIndex) -> Option<ServerIndex> {
        let key_position = self.calls[index.0].key_position;
        // A heap, as few calls look beyond the nearest caches.
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
        let max_in_flight = self.skip_threshold();
        let mut nearest_outlier = None;
        while let Some(Reverse(Candidate { cache, .. })) = by_distance.pop() {
            if !self.has_room(cache, index, max_in_flight) {
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

    /// Attempts in flight above which a cache is skipped.
    fn skip_threshold(&self) -> f64 {
        let caches = &self.cache_selector.caches;
        let in_flight: u32 = caches
            .iter()
            .map(|cache| self.servers[cache.0].in_flight)
            .sum();
        (SKIP_FACTOR * f64::from(in_flight) / caches.len().max(1) as f64).max(MIN_SKIP_ATTEMPTS)
    }

    /// Whether a cache may get one more attempt, and has had none of this call.
    fn has_room(&mut self, cache: ServerIndex, index: CallIndex, max_in_flight: f64) -> bool {
        let now = self.now;
        let server = &mut self.servers[cache.0];
        let in_flight = f64::from(server.in_flight);
        // Guards against storms at full caches: what one had in flight when it was full is its
        // capacity.
        let freed_slots = (now - server.overloaded_at).0 as f64
            / (MEDIANS_PER_FREED_SLOT * self.outliers.median_micros);
        let is_full = in_flight + 1.0 > server.capacity + freed_slots;
        let was_asked = self.calls[index.0]
            .attempts
            .iter()
            .any(|attempt| attempt.server == cache);
        if in_flight > max_in_flight || is_full || was_asked {
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
