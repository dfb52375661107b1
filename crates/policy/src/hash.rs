//! Hashes of keys and server ids, the same at every node.

/// Returns a 64-bit hash of a text: FNV-1a, followed by a finalizer that makes all bits depend on
/// the whole text.
pub fn hash(text: &str) -> u64 {
    let mut h = text.bytes().fold(0xcbf29ce484222325, |h: u64, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100000001b3)
    });
    h = (h ^ (h >> 33)).wrapping_mul(0xff51afd7ed558ccd);
    h = (h ^ (h >> 33)).wrapping_mul(0xc4ceb9fe1a85ec53);
    h ^ (h >> 33)
}

/// Returns the position of a hash between 0 and 1.
pub(crate) fn unit_position(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
