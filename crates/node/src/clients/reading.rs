//! Reads from a client.
use std::io;
use std::ops::ControlFlow::{self, Break, Continue};

use quartzhub_policy::Time;

use super::connection::Connection;
use crate::buffer::is_open_and_idle;
use crate::system::{retry_interrupted, time_since_last_receive};

/// A command with a large item that has been received in part, or one that was rejected.
pub(super) struct LargeCommand {
    /// Bytes of a rejected command that are discarded when they arrive.
    pub(super) rejected_bytes: usize,
    pub(super) started_at: Time,
}

impl Connection<'_> {
    /// Reads available bytes. A client that sends faster than it is read must not starve the other
    /// connections: the runtime looks for their events in between.
    pub(super) async fn on_readable(&mut self) -> ControlFlow<()> {
        self.read_available()?;
        if self.granted_bytes > 0 || self.rejected_bytes() > 0 || self.has_filled_buffer {
            tokio::task::yield_now().await;
        }
        Continue(())
    }

    /// Bytes of a rejected large command that have yet to arrive.
    pub(super) fn rejected_bytes(&self) -> usize {
        self.large_command
            .as_ref()
            .map_or(0, |large| large.rejected_bytes)
    }

    /// Whether the client has sent only a part of a command.
    pub(super) fn has_partial_command(&self) -> bool {
        !self.buffer.is_empty() || self.rejected_bytes() > 0
    }

    /// Returns when the incomplete command began; sets it to now if it is not set yet.
    pub(super) fn partial_since(&mut self, now: Time) -> Time {
        *self.partial_since.get_or_insert(now)
    }

    /// For a bounded time, a client that keeps sending a large command counts neither as idle nor as
    /// too slow.
    pub(super) fn extend_large_command_time(&mut self) {
        let now = self.executor.clock.now();
        let Some(large_command) = &mut self.large_command else {
            return;
        };
        if self.partial_since.is_none() {
            large_command.started_at = now;
        }
        if now - large_command.started_at < self.executor.limits.large_command_timeout {
            self.last_active = now;
            self.partial_since = Some(now);
        }
    }

    /// Reads and discards available bytes of a rejected large command, at most as many as are read
    /// at once. Breaks if the client has disconnected.
    fn discard_rejected_bytes(&mut self) -> ControlFlow<()> {
        let mut discarded = self.executor.discard_buffer.borrow_mut();
        let Some(large_command) = &mut self.large_command else {
            return Continue(());
        };
        let count = large_command.rejected_bytes.min(discarded.len());
        let read = retry_interrupted(|| self.client.stream.try_read(&mut discarded[..count]));
        match read {
            Ok(0) => return Break(()),
            Ok(count) => large_command.rejected_bytes -= count,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return Break(()),
        }
        if large_command.rejected_bytes == 0 {
            self.large_command = None;
            self.partial_since = None;
        }
        Continue(())
    }

    /// Records that nothing is read for now. An incomplete command gets its whole time again
    /// afterwards, as its client can't complete it meanwhile.
    pub(super) fn pause_reading(&mut self) {
        self.end_memory_wait();
        self.arrivals.pause_reading(self.executor.clock.now());
        self.partial_since = None;
    }

    /// Whether the rest of an incomplete command has arrived by its timeout, unseen by the runtime:
    /// after a stall, timers run before socket events.
    pub(super) async fn receives_rest_of_command(&mut self) -> ControlFlow<(), bool> {
        let window = self.executor.limits.final_read_window;
        let until = self.executor.clock.now() + window;
        while !is_open_and_idle(&self.client.stream) && self.executor.clock.now() < until {
            // Lets the runtime see the bytes; otherwise it would not read them.
            self.wait_for_input(window).await;
            self.read_available()?;
            if self.take_commands() > 0 || !self.reading {
                return Continue(true);
            }
        }
        Continue(false)
    }

    /// Reads available bytes, up to about `read_bytes`, if there is memory for them; breaks if the
    /// client has disconnected.
    ///
    /// It reads up to the FIN, if there is one, before any command is taken: a client that has
    /// disconnected must not cause attempts.
    pub(super) fn read_available(&mut self) -> ControlFlow<()> {
        if self.rejected_bytes() > 0 {
            self.discard_rejected_bytes()?;
            self.extend_large_command_time();
            return Continue(());
        }
        let Some(max_unread) = self.admit_read() else {
            return Continue(());
        };
        let stream = &self.client.stream;
        let read_bytes = self.executor.limits.read_bytes;
        let max_unread = max_unread.min(self.buffer.unread().len() + read_bytes);
        while self.buffer.unread().len() < max_unread {
            match self.buffer.read_within(stream, read_bytes, max_unread) {
                Ok(0) => return Break(()),
                Ok(count) => {
                    let now = self.executor.clock.now();
                    self.last_byte_at = now;
                    self.arrivals
                        .read(now, count, || time_since_last_receive(stream));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.arrivals.caught_up();
                    break;
                }
                Err(_) => return Break(()),
            }
        }
        self.has_filled_buffer = self.buffer.unread().len() >= max_unread;
        self.extend_large_command_time();
        Continue(())
    }
}
