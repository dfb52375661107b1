//! Reserves memory for clients' commands from the budget that all connections share.
use crate::effects::EffectExecutor;
use crate::reducer::Reducer;

/// The bytes of the memory budget that are used by, or reserved for, one connection's buffer.
pub struct BufferReservation<'a> {
    executor: &'a EffectExecutor,
    bytes: usize,
}

impl<'a> BufferReservation<'a> {
    /// Creates a reservation of zero bytes.
    pub fn new(executor: &'a EffectExecutor) -> BufferReservation<'a> {
        BufferReservation { executor, bytes: 0 }
    }

    /// Sets the reserved bytes, even if they exceed the budget.
    pub fn set(&mut self, bytes: usize) {
        self.executor
            .reserved_buffer_bytes
            .set(self.executor.reserved_buffer_bytes.get() - self.bytes + bytes);
        if bytes < self.bytes {
            self.executor.capacity_freed.notify_waiters();
        }
        self.bytes = bytes;
    }

    /// Waits until the whole memory of a large command is free and reserves it; returns false if
    /// the wait times out. This keeps many large commands from exhausting the memory, and from
    /// blocking each other with partial reservations. During the wait nothing is read from the
    /// client.
    pub async fn reserve_when_free(&mut self, bytes: usize) -> bool {
        let executor = self.executor;
        let deadline = executor
            .clock
            .instant(executor.clock.now() + executor.limits.memory_wait_timeout);
        loop {
            let others = executor.reserved_buffer_bytes.get() - self.bytes
                + executor.query(Reducer::buffered_bytes);
            if others + bytes <= executor.limits.buffered_bytes {
                self.set(bytes);
                return true;
            }
            if tokio::time::timeout_at(deadline, executor.capacity_freed.notified())
                .await
                .is_err()
            {
                return false;
            }
        }
    }
}

impl Drop for BufferReservation<'_> {
    fn drop(&mut self) {
        self.set(0);
    }
}
