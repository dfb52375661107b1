//! Reads from a client, and reserves memory for its large commands.
use std::io;
use std::ops::ControlFlow::{self, Break, Continue};

use quartzhub_policy::Time;

use super::connection::Connection;
use crate::buffer::is_open_and_idle;
use crate::resp;
use crate::system::{retry_interrupted, time_since_last_receive};

/// A command with a large value that has been received in part.
pub struct LargeCommand {
    /// Bytes reserved for it: none if it was rejected.
    pub size: usize,
    /// Bytes of a rejected command that are discarded when they arrive.
    rejected_bytes: usize,
    started_at: Time,
}

impl Connection<'_> {
    /// Reads available bytes; reserves memory for a large command once its size is known.
    pub(super) async fn on_readable(&mut self, at_call_limit: bool) -> ControlFlow<()> {
        // Reads up to the FIN, if there is one, before any command is taken: a client that has
        // disconnected must not cause attempts.
        self.read_available()?;
        self.reserve_buffer();
        if self.rejected_bytes() > 0 {
            self.extend_large_command_time();
            return Continue(());
        }
        // A large command behind open calls gets its memory when it is next to be taken.
        if at_call_limit {
            return Continue(());
        }
        match resp::large_command_size(self.buffer.unread(), &self.executor.limits) {
            Some(size) => self.admit_large_command(size).await,
            None => Continue(()),
        }
    }

    /// Reserves the memory of a large command, or rejects the command.
    async fn admit_large_command(&mut self, size: usize) -> ControlFlow<()> {
        let executor = self.executor;
        let requested_at = executor.clock.now();
        let admitted = self.large_command.is_some()
            || tokio::select! {
                reserved = self.reservation.reserve_when_free(size) => reserved,
                () = self.client.disconnected() => return Break(()),
            };
        let now = executor.clock.now();
        if !admitted {
            self.reject_large_command(size, requested_at, now);
            return Continue(());
        }
        self.arrivals.add_read_delay(now - requested_at);
        self.buffer.reserve_total(size);
        let large_command = self.large_command.get_or_insert(LargeCommand {
            size,
            rejected_bytes: 0,
            started_at: now,
        });
        large_command.size = size;
        self.extend_large_command_time();
        Continue(())
    }

    /// Rejects a large command of `size` bytes, for which there was no memory since `requested_at`.
    /// It has not been taken, so that a retry is safe. Commands behind it are still taken: the rest
    /// of its own bytes is discarded.
    fn reject_large_command(&mut self, size: usize, requested_at: Time, now: Time) {
        let received = self.buffer.unread().len().min(size);
        self.arrivals.take(received);
        self.buffer.consume(received);
        self.buffer.shrink(self.executor.limits.idle_buffer_bytes);
        self.arrivals.pause_reading(requested_at);
        self.large_command = (received < size).then_some(LargeCommand {
            size: 0,
            rejected_bytes: size - received,
            started_at: now,
        });
        self.executor
            .report(|reducer, now| reducer.respond_plain(now, self.id, b"-BUSY\r\n".to_vec()));
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

    /// For a bounded time, a client that keeps sending a large command counts neither as idle nor as
    /// too slow.
    fn extend_large_command_time(&mut self) {
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

    /// Reads available bytes, up to about `read_bytes`; breaks if the client has disconnected.
    pub(super) fn read_available(&mut self) -> ControlFlow<()> {
        if self.rejected_bytes() > 0 {
            return self.discard_rejected_bytes();
        }
        let stream = &self.client.stream;
        let read_bytes = self.executor.limits.read_bytes;
        let max_unread = self.buffer.unread().len() + read_bytes;
        while self.buffer.unread().len() < max_unread {
            match self.buffer.read(stream, read_bytes) {
                Ok(0) => return Break(()),
                Ok(count) => {
                    let now = self.executor.clock.now();
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
        Continue(())
    }
}
