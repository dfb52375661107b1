//! Reads from a client, and reserves memory for its large commands.
use std::io;
use std::ops::ControlFlow::{self, Break, Continue};

use quartzhub_policy::Time;

use super::connection::Connection;
use crate::buffer::is_open_and_idle;
use crate::resp;
use crate::system::time_since_last_receive;

/// A command with a large value that has been received in part.
pub struct LargeCommand {
    /// Bytes reserved for it.
    pub size: usize,
    started_at: Time,
}

impl Connection<'_> {
    /// Reads available bytes; reserves memory for a large command once its size is known.
    pub(super) async fn on_readable(&mut self, at_call_limit: bool) -> ControlFlow<()> {
        // Reads up to the FIN, if there is one, before any command is taken: a client that has
        // disconnected must not cause attempts.
        self.read_available()?;
        self.reserve_buffer();
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
        if !admitted {
            // The command has not been taken, so that a retry is safe.
            self.reading = false;
            executor.report(|reducer, now| {
                reducer.respond_and_close(now, self.id, b"-BUSY\r\n".to_vec())
            });
            return Continue(());
        }
        self.arrivals
            .add_read_delay(executor.clock.now() - requested_at);
        self.buffer.reserve_total(size);
        let now = executor.clock.now();
        let large_command = self.large_command.get_or_insert(LargeCommand {
            size,
            started_at: now,
        });
        large_command.size = size;
        if self.partial_since.is_none() {
            large_command.started_at = now;
        }
        // For a bounded time, a client that keeps sending a large command counts neither as idle
        // nor as too slow.
        if now - large_command.started_at < executor.limits.large_command_timeout {
            self.last_active = now;
            self.partial_since = Some(now);
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
