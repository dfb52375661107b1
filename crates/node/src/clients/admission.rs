//! Admission of a client's commands to the memory that all connections share: their bytes are not
//! read before there is memory for them.
use std::future::Future;

use quartzhub_policy::{Span, Time};

use super::commands::stated_time_left;
use super::connection::Connection;
use super::reading::LargeCommand;
use crate::buffer::is_open_and_idle;
use crate::clock::duration;
use crate::memory_budget::{MemoryRequest, MemoryUse};
use crate::resp::{self, CommandSize};

/// A wait for memory, during which nothing is read from the client.
pub(super) struct MemoryWait {
    since: Time,
    until: Time,
    /// When it is tried again, if no memory is offered before.
    retry_at: Time,
    request: MemoryRequest,
}

impl Connection<'_> {
    /// Reserves memory for the bytes that are read next, and for all of their command as far as its
    /// size is known: with partial reservations, large commands would block each other. Returns how
    /// many bytes the buffer may hold. `None` if nothing may be read, as there is no memory yet, or
    /// as the command has been rejected for want of it.
    pub(super) fn admit_read(&mut self) -> Option<usize> {
        let size = resp::command_size(self.buffer.unread(), &self.executor.limits);
        let bytes = self.bytes_to_reserve(&size);
        if !self.reservation.try_set(bytes, MemoryUse::LongMessage) {
            self.await_memory(bytes);
            self.reject_after_wait(&size);
            return None;
        }
        self.end_memory_wait();
        if bytes == size.bytes {
            self.granted_bytes = bytes;
            self.buffer.reserve_total(bytes);
        }
        if size.last_item_bytes > self.executor.limits.buffered_value_bytes {
            self.large_command.get_or_insert(LargeCommand {
                rejected_bytes: 0,
                started_at: self.executor.clock.now(),
            });
        }
        Some(bytes)
    }

    /// Reserves memory for the rest of a long command as soon as its size is known.
    pub(super) fn reserve_rest_of_command(&mut self) {
        let size = resp::command_size(self.buffer.unread(), &self.executor.limits);
        let is_long = self.bytes_to_reserve(&size) == size.bytes;
        if is_long && size.bytes > self.granted_bytes {
            self.admit_read();
        }
    }

    /// Bytes that the buffer needs in all: for the command in it, if its size is known, or else for
    /// one more read. A command behind open calls at their limit gets its memory when it is next to
    /// be taken.
    fn bytes_to_reserve(&self, size: &CommandSize) -> usize {
        let limits = &self.executor.limits;
        let unread = self.buffer.unread().len();
        if size.bytes > unread.max(limits.idle_buffer_bytes) && !self.is_at_call_limit() {
            size.bytes
        } else if unread < limits.idle_buffer_bytes {
            limits.idle_buffer_bytes
        } else {
            unread + limits.read_bytes
        }
    }

    /// Begins to wait for memory for `bytes` in all, or goes on waiting.
    fn await_memory(&mut self, bytes: usize) {
        let memory_use = MemoryUse::LongMessage;
        let now = self.executor.clock.now();
        let retry_at = now + self.executor.limits.memory_retry_interval;
        self.executor
            .evict_stalled_commands(self.reservation.missing(bytes, memory_use));
        if let Some(wait) = &mut self.memory_wait {
            wait.retry_at = retry_at;
            self.reservation
                .change_request(&wait.request, bytes, memory_use);
            return;
        }
        self.memory_wait = Some(MemoryWait {
            since: now,
            until: now + self.memory_wait_timeout(),
            retry_at,
            request: self.reservation.request(bytes, memory_use),
        });
    }

    /// Records whether an incomplete command holds memory, of which the client may send the rest.
    pub(super) fn record_partial_command(&self, may_read: bool) {
        let bytes = self.reservation.counted_bytes();
        let holds_memory = bytes > 0 && !self.buffer.is_empty() && self.memory_wait.is_none();
        let mut partial_commands = self.executor.partial_commands.borrow_mut();
        if may_read && holds_memory {
            partial_commands.insert(self.id, bytes, self.last_byte_at);
        } else {
            partial_commands.remove(self.id);
        }
    }

    /// Rejects the incomplete command, as others need its memory, unless bytes of its rest have
    /// arrived.
    pub(super) fn evict_partial_command(&mut self) {
        let is_partial = self.reading && !self.buffer.is_empty() && !self.is_at_call_limit();
        if is_partial && !self.is_streaming() && is_open_and_idle(&self.client.stream) {
            let size = resp::command_size(self.buffer.unread(), &self.executor.limits);
            self.reject_command(&size);
        }
    }

    /// How long the command may wait for memory: not beyond a part of its call's time, as it could
    /// not be executed any more.
    fn memory_wait_timeout(&self) -> Span {
        let limits = &self.executor.limits;
        let time_left = stated_time_left(self.buffer.unread(), limits);
        time_left.map_or(limits.memory_wait_timeout, |time_left| {
            let part = time_left.times(limits.memory_wait_fraction);
            part.clamp(Span::ZERO, limits.memory_wait_timeout)
        })
    }

    /// Rejects the command once the wait for memory has taken too long, or at once if the process is
    /// about to exit.
    fn reject_after_wait(&mut self, size: &CommandSize) {
        let now = self.executor.clock.now();
        let is_over = |wait: &MemoryWait| now >= wait.until || self.client.draining.get();
        if !self.memory_wait.as_ref().is_some_and(is_over) {
            return;
        }
        // Whole commands in the buffer are only held up by calls before them.
        if self.is_at_call_limit() {
            self.end_memory_wait();
            return;
        }
        self.reject_command(size);
    }

    /// Rejects a command for which there was no memory. It has not been taken, so that a retry is
    /// safe. If its size is known, commands behind it are still taken, and the rest of its own bytes
    /// is discarded; if not, nothing more is read.
    fn reject_command(&mut self, size: &CommandSize) {
        let now = self.executor.clock.now();
        if let Some(wait) = self.memory_wait.take() {
            self.arrivals.pause_reading(wait.since);
        }
        self.granted_bytes = 0;
        tracing::info!("no memory for a command of a client: it is rejected");
        let response = b"-BUSY\r\n".to_vec();
        if !size.is_final {
            self.reading = false;
            self.buffer.clear();
            self.large_command = None;
            let executor = self.executor;
            return executor
                .report(|reducer, now| reducer.respond_and_close(now, self.id, response));
        }
        let received = self.buffer.unread().len().min(size.bytes);
        self.arrivals.take(received);
        self.buffer.consume(received);
        self.large_command = (received < size.bytes).then_some(LargeCommand {
            rejected_bytes: size.bytes - received,
            started_at: now,
        });
        self.executor
            .report(|reducer, now| reducer.respond_plain(now, self.id, response));
    }

    /// Records that the client no longer waits for memory.
    pub(super) fn end_memory_wait(&mut self) {
        if let Some(wait) = self.memory_wait.take() {
            let now = self.executor.clock.now();
            self.arrivals.add_read_delay(now - wait.since);
            // The rest of its command has its whole time again.
            self.partial_since = None;
        }
    }

    /// Completes when there may be memory for the client's command, or its time is over; never if it
    /// doesn't wait.
    pub(super) fn end_of_memory_wait(&self) -> impl Future<Output = ()> {
        let clock = self.executor.clock;
        let offer = self.memory_wait.as_ref().map(|wait| {
            let retry_at = clock.instant(wait.retry_at.min(wait.until));
            wait.request.offered_by(retry_at)
        });
        async move {
            match offer {
                Some(offer) => offer.await,
                None => std::future::pending().await,
            }
        }
    }

    /// Whether memory is freed, or the wait for it ends, within `timeout`.
    pub(super) async fn wait_for_memory(&mut self, timeout: Span) -> bool {
        let end = self.end_of_memory_wait();
        tokio::time::timeout(duration(timeout), end).await.is_ok()
    }
}
