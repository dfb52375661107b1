//! Textbook rules by which baselines pick a cache.
use quartzhub_policy::{Pcg, ServerIndex};

/// State of a cache at a baseline.
#[derive(Debug, Clone, Copy)]
pub struct CacheState {
    /// The node's index of the server.
    pub server: ServerIndex,
    /// Hash of the server's id.
    pub hash: u64,
    /// Number of this node's attempts in flight at the cache.
    pub in_flight: u32,
}

/// A rule that picks one of the ready caches.
pub trait Pick {
    /// Returns the position in `caches` of the cache for the key. `caches` is never empty.
    fn pick(&self, caches: &[CacheState], key: u64, rng: &mut Pcg) -> usize;
}

/// Draws an index below `count`, which must be above 0.
fn draw_index(count: usize, rng: &mut Pcg) -> usize {
    ((rng.unit() * count as f64) as usize).min(count - 1)
}

/// A cache drawn uniformly at random.
pub struct Random;

impl Pick for Random {
    fn pick(&self, caches: &[CacheState], _key: u64, rng: &mut Pcg) -> usize {
        draw_index(caches.len(), rng)
    }
}

/// The cache with the fewest attempts in flight.
pub struct LeastInFlight;

impl Pick for LeastInFlight {
    fn pick(&self, caches: &[CacheState], _key: u64, rng: &mut Pcg) -> usize {
        // Ties are broken at random. Without this, all nodes would choose the same cache.
        let first = draw_index(caches.len(), rng);
        (0..caches.len())
            .map(|offset| (first + offset) % caches.len())
            .min_by_key(|position| caches[*position].in_flight)
            .unwrap_or(0)
    }
}

/// Power of two choices (Mitzenmacher 2001): of two random caches, the one with fewer attempts in
/// flight.
pub struct TwoChoices;

impl Pick for TwoChoices {
    fn pick(&self, caches: &[CacheState], _key: u64, rng: &mut Pcg) -> usize {
        let first = draw_index(caches.len(), rng);
        let second = draw_index(caches.len(), rng);
        if caches[first].in_flight <= caches[second].in_flight {
            first
        } else {
            second
        }
    }
}

/// Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018): the first cache
/// on the ring from the key with fewer than `LOAD_BOUND` times the mean of attempts in flight.
pub struct BoundedHash;

/// Limit of attempts in flight at a cache, as a multiple of the mean.
const LOAD_BOUND: f64 = 1.25;
/// Number of points of each cache on the ring. With a single point, the fractions of the ring that
/// caches own would differ widely.
const RING_POINTS: u64 = 40;

/// The 64-bit finalizer of MurmurHash3.
pub(super) fn murmur_finalize(x: u64) -> u64 {
    let x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

impl Pick for BoundedHash {
    fn pick(&self, caches: &[CacheState], key: u64, _rng: &mut Pcg) -> usize {
        let in_flight: u32 = caches.iter().map(|cache| cache.in_flight).sum();
        let max_in_flight =
            (LOAD_BOUND * f64::from(in_flight + 1) / caches.len() as f64).ceil() as u32;
        let distance = |cache: &CacheState| {
            (0..RING_POINTS)
                .map(|point| {
                    murmur_finalize(cache.hash ^ murmur_finalize(point))
                        .wrapping_sub(murmur_finalize(key))
                })
                .min()
                .unwrap_or(0)
        };
        (0..caches.len())
            .filter(|position| caches[*position].in_flight < max_in_flight)
            .min_by_key(|position| distance(&caches[*position]))
            .unwrap_or(0)
    }
}
