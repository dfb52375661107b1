//! Reserves memory for large responses from the budget that all connections share.
use super::Upstream;
use crate::effects::EffectExecutor;
use crate::memory_budget::{MemoryReservation, MemoryUse};

impl Upstream {
    /// Replaces this upstream's reservation by `bytes`, or by none for a small response. Returns
    /// false, and reserves nothing, if the budget is exceeded.
    pub(super) fn reserve(&self, executor: &EffectExecutor, bytes: usize) -> bool {
        let bytes = if bytes > 2 * executor.limits.buffered_value_bytes {
            bytes
        } else {
            0
        };
        let mut reservation = self.reservation.borrow_mut();
        let reservation =
            reservation.get_or_insert_with(|| MemoryReservation::new(&executor.memory));
        let fits = bytes == 0 || reservation.try_set(bytes, MemoryUse::LongMessage);
        if bytes == 0 || !fits {
            reservation.set(0);
        }
        fits
    }

    /// Reserves `bytes` in all for a value that is held until it is whole, or keeps the reservation
    /// if that is larger. Returns false, and reserves nothing, if the budget is exceeded.
    pub(super) fn reserve_at_least(&self, executor: &EffectExecutor, bytes: usize) -> bool {
        let reservation = self.reservation.borrow();
        let reserved_bytes = reservation
            .as_ref()
            .map_or(0, MemoryReservation::counted_bytes);
        drop(reservation);
        self.reserve(executor, bytes.max(reserved_bytes))
    }
}
