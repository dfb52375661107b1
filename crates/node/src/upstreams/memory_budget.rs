//! Reserves memory for large responses from the budget that all connections share.
use super::Upstream;
use crate::effects::EffectExecutor;
use crate::reducer::Reducer;

impl Upstream {
    /// Replaces this upstream's reservation by `bytes`, or by none for a small response. Returns
    /// false, and reserves nothing, if the budget is exceeded.
    pub(super) fn reserve(&self, executor: &EffectExecutor, bytes: usize) -> bool {
        let bytes = if bytes > 2 * executor.limits.buffered_value_bytes {
            bytes
        } else {
            0
        };
        let others = executor.reserved_buffer_bytes.get() - self.reserved_bytes.get();
        let fits = bytes == 0
            || others + bytes + executor.query(Reducer::buffered_bytes)
                <= executor.limits.buffered_bytes;
        let bytes = if fits { bytes } else { 0 };
        executor.reserved_buffer_bytes.set(others + bytes);
        if bytes < self.reserved_bytes.replace(bytes) {
            executor.capacity_freed.notify_waiters();
        }
        fits
    }

    /// Reserves `bytes` in all for a value that is held until it is whole, or keeps the reservation
    /// if that is larger. Returns false, and reserves nothing, if the budget is exceeded.
    pub(super) fn reserve_at_least(&self, executor: &EffectExecutor, bytes: usize) -> bool {
        self.reserve(executor, bytes.max(self.reserved_bytes.get()))
    }
}
