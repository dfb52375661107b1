//! Closes a client's connection.
use std::io;
use std::ops::ControlFlow::{self, Break, Continue};

use quartzhub_policy::Span;
use tokio::net::TcpStream;

use super::connection::Connection;
use super::outstanding::Outstanding;
use crate::buffer::{is_open_and_idle, Buffer};
use crate::clock::duration;
use crate::effects::EffectExecutor;
use crate::reducer::Reducer;
use crate::system::retry_interrupted;

impl Connection<'_> {
    /// Closes the connection, unless the client sends bytes within `quiet_period`.
    pub(super) async fn close_if_quiet(&mut self, quiet_period: Span) -> ControlFlow<()> {
        if !self.reading {
            return self.close_without_reading().await;
        }
        let delay = self.delay_before_close(quiet_period);
        if delay > Span::ZERO && self.wait_for_input(delay).await {
            return self.read_available();
        }
        // After a stall the timer fires before the runtime has seen bytes that arrived meanwhile.
        if !is_open_and_idle(&self.client.stream) && self.may_read_again() {
            self.wait_for_input(self.executor.limits.final_read_window)
                .await;
            return self.read_available();
        }
        if !self.delivery_is_over() {
            self.write_deferred_responses();
            // Not a wait for input, which may lie there unread, or be reported by the runtime
            // although it has been read.
            tokio::time::sleep(duration(self.executor.limits.delivery_poll_interval)).await;
            return Continue(());
        }
        self.close().await
    }

    /// Closes the connection of a client from which nothing more is read, once all responses are
    /// written.
    async fn close_without_reading(&mut self) -> ControlFlow<()> {
        self.write_deferred_responses();
        if self.client.unwritten() > 0 {
            return self.handle_event(&Outstanding::of(self)).await;
        }
        self.discard_input(self.executor.limits.discard_timeout)
            .await;
        Break(())
    }

    /// Closes the connection. Nothing may be awaited between the check that no bytes are unread and
    /// the shutdown of the sending side: a command could arrive in between.
    async fn close(&mut self) -> ControlFlow<()> {
        let has_deferred_responses = self.client.unwritten() > 0;
        self.write_last_responses();
        if self.client.unwritten() > 0 {
            return self.handle_event(&Outstanding::of(self)).await;
        }
        self.client.shutdown_write();
        // A command that crosses the FIN would cause a reset, which destroys responses that are
        // still in the kernel's buffers, so late input is discarded for a while. Any other client
        // was closed to free capacity, without a response in that moment.
        let is_leaving = self.executor.query(Reducer::is_leaving);
        if has_deferred_responses || is_leaving || self.client.draining.get() {
            self.discard_input(self.executor.limits.linger_timeout)
                .await;
        }
        Break(())
    }

    /// Whether the client sends bytes, or disconnects, within `timeout`.
    pub(super) async fn wait_for_input(&mut self, timeout: Span) -> bool {
        self.write_deferred_responses();
        if self.memory_wait.is_some() {
            return self.wait_for_memory(timeout).await;
        }
        let readable = self.client.stream.readable();
        tokio::time::timeout(duration(timeout), readable)
            .await
            .is_ok_and(|ready| ready.is_ok())
    }

    /// Whether bytes that have arrived may still be read from a client that is being drained. Three
    /// rules keep a client that always has a command open from staying connected. From the first
    /// such read on, its responses are deferred, so that a client that waits for them sends nothing
    /// more. Once the deferral has ended, its further calls are rejected at once. And for a client
    /// that does not wait for responses, the number of reads is limited.
    fn may_read_again(&mut self) -> bool {
        if !self.client.draining.get() {
            return true;
        }
        let limits = &self.executor.limits;
        let now = self.executor.clock.now();
        let deferred_until = *self
            .deferred_until
            .get_or_insert(now + limits.final_read_window);
        if now > deferred_until {
            self.executor
                .report(|reducer, _| reducer.reject_calls_of(self.id));
        }
        self.draining_reads += 1;
        self.draining_reads <= limits.open_calls_per_client
    }

    /// How long the client may still send bytes; after a partial command, the time for its rest.
    fn delay_before_close(&mut self, quiet_period: Span) -> Span {
        let limits = &self.executor.limits;
        if !self.has_partial_command() {
            return quiet_period;
        }
        let now = self.executor.clock.now();
        let remaining = self.partial_since(now) + limits.partial_command_timeout - now;
        remaining
            .min(limits.final_partial_command_timeout)
            .max(Span::ZERO)
    }

    /// Frees the buffer, then reads and discards until the client disconnects or `timeout` passes,
    /// and after that for as long as the client takes responses that the system still holds.
    /// Closing a socket with unread bytes sends a reset, and the client would never read them. If
    /// others need the socket, only these responses are awaited.
    async fn discard_input(&mut self, timeout: Span) {
        self.buffer = Buffer::default();
        self.reservation.set(0);
        self.client.shutdown_write();
        let executor = self.executor;
        executor.report(|reducer, now| reducer.on_client_lingering(now, self.id));
        let mut until = executor.clock.now() + timeout;
        let mut remaining = executor.limits.discard_bytes;
        loop {
            if self.client.linger_ended.get() {
                if self.delivery_is_over() {
                    return;
                }
                until = executor.clock.now() + executor.limits.delivery_poll_interval;
            }
            let readable = self.client.stream.readable();
            let ready = tokio::select! {
                ready = tokio::time::timeout_at(executor.clock.instant(until), readable) => ready,
                () = self.client.wake.notified() => continue,
            };
            match ready {
                Ok(Ok(())) => {}
                Err(_) if !self.delivery_is_over() => {
                    until = executor.clock.now() + executor.limits.delivery_poll_interval;
                    continue;
                }
                _ => return,
            }
            match discard(executor, &self.client.stream) {
                Ok(count) if count > 0 && count < remaining => remaining -= count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                _ => return,
            }
            // Lets other tasks run.
            tokio::task::yield_now().await;
        }
    }
}

/// Reads available bytes and discards them; returns their number.
fn discard(executor: &EffectExecutor, stream: &TcpStream) -> io::Result<usize> {
    retry_interrupted(|| stream.try_read(&mut executor.discard_buffer.borrow_mut()))
}
