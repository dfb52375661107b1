//! Admission of servers' responses to the memory that all connections share: their bytes are not
//! read before there is memory for them.
use std::future::Future;

use super::Upstream;
use crate::caches::StatedValue;
use crate::effects::EffectExecutor;
use crate::limits::Limits;
use crate::memory_budget::MemoryUse;

impl Upstream {
    /// Reserves memory for the bytes that are read next, and for all of their response as far as its
    /// size is known: with partial reservations, responses would block each other. Returns how many
    /// bytes the buffer may hold, or `None` if there is no memory yet.
    pub(super) fn admit_read(&self, executor: &EffectExecutor) -> Option<usize> {
        let body_bytes = self.unsized_body_capacity();
        let buffer_bytes = self.buffer_bytes_to_reserve(&executor.limits);
        if self.try_reserve(executor, body_bytes + buffer_bytes) {
            self.memory_wait.take();
            self.buffer.borrow_mut().reserve_total(buffer_bytes);
            return Some(buffer_bytes);
        }
        // The beginning of a response, which tells its size, needs no reservation.
        let idle_buffer_bytes = executor.limits.idle_buffer_bytes;
        if self.buffer.borrow().unread().len() < idle_buffer_bytes && body_bytes == 0 {
            return Some(idle_buffer_bytes);
        }
        self.await_memory(executor, body_bytes + buffer_bytes);
        None
    }

    /// Bytes that the buffer needs in all: for the response in it, if that is held until it is whole
    /// and its size is known, or else for one more read.
    fn buffer_bytes_to_reserve(&self, limits: &Limits) -> usize {
        let buffer = self.buffer.borrow();
        let unread = buffer.unread().len();
        let is_held =
            |value: &StatedValue| value.size <= limits.buffered_value_bytes || self.is_holding();
        let stated_value = self.protocol.stated_value(buffer.unread(), limits);
        let response_bytes = stated_value.filter(is_held).map_or(0, |value| {
            value.offset + value.size + limits.response_end_bytes
        });
        if response_bytes > unread {
            response_bytes
        } else {
            unread + limits.read_bytes
        }
    }

    /// Sets the reserved bytes if they are no more than before or there is memory for them.
    pub(super) fn try_reserve(&self, executor: &EffectExecutor, bytes: usize) -> bool {
        let mut reservation = self.reservation.borrow_mut();
        if reservation.try_set(bytes, MemoryUse::LongMessage) {
            return true;
        }
        // Other responses of the client wait for this one, so that it frees memory.
        executor.query(|reducer| reducer.is_next_response(self.id))
            && reservation.try_set(bytes, MemoryUse::Response)
    }

    /// Reserves exactly what the buffers use, even if that exceeds the budget.
    pub(super) fn reserve_used_bytes(&self) {
        let bytes = self.used_bytes();
        self.reservation.borrow_mut().set(bytes);
    }

    /// Reserves what the buffers use, if that is more than has been reserved for the whole response.
    pub(super) fn reserve_received_bytes(&self) {
        let bytes = self.used_bytes();
        let mut reservation = self.reservation.borrow_mut();
        if reservation.is_less_than(bytes) {
            reservation.set(bytes);
        }
    }

    fn used_bytes(&self) -> usize {
        self.unsized_body_capacity() + self.buffer.borrow().capacity()
    }

    /// Frees all memory beyond that of an idle connection.
    pub(super) fn release_memory(&self) {
        self.memory_wait.take();
        self.reservation.borrow_mut().set(0);
    }

    /// Begins to wait for memory for `bytes` in all, or goes on waiting.
    fn await_memory(&self, executor: &EffectExecutor, bytes: usize) {
        let reservation = self.reservation.borrow();
        let memory_use = MemoryUse::LongMessage;
        executor.evict_stalled_commands(reservation.missing(bytes, memory_use));
        let mut wait = self.memory_wait.borrow_mut();
        match wait.as_ref() {
            Some(request) => reservation.change_request(request, bytes, memory_use),
            None => {
                let client = executor.query(|reducer| reducer.requester(self.id));
                *wait = Some(reservation.request(bytes, memory_use).for_client(client));
            }
        }
    }

    /// Whether there is no memory for the next bytes of the response.
    pub(super) fn awaits_memory(&self) -> bool {
        self.memory_wait.borrow().is_some()
    }

    /// Completes when there may be memory for the response.
    pub(super) fn end_of_memory_wait(&self, executor: &EffectExecutor) -> impl Future<Output = ()> {
        let clock = executor.clock;
        let retry_at = clock.instant(clock.now() + executor.limits.memory_retry_interval);
        let wait = self.memory_wait.borrow();
        let offer = wait.as_ref().map(|request| request.offered_by(retry_at));
        async move {
            match offer {
                Some(offer) => offer.await,
                None => std::future::pending().await,
            }
        }
    }
}
