//! The end of a client's connection.
use std::io;
use std::ops::ControlFlow::{self, Break};
use std::rc::Rc;

use quartzhub_policy::Span;
use tokio::net::TcpStream;

use super::connection::Connection;
use crate::buffer::{is_open_and_idle, Buffer};
use crate::clock::duration;
use crate::effects::EffectExecutor;
use crate::reducer::Reducer;
use crate::system::retry_interrupted;

impl Connection<'_> {
    /// Closes the connection, unless the client sends something within `quiet`.
    pub(super) async fn close_if_quiet(&mut self, quiet: Span) -> ControlFlow<()> {
        if !self.reading {
            self.write_held_responses();
            self.discard_input(self.executor.limits.discard_timeout)
                .await;
            return Break(());
        }
        let pause = self.pause_before_close(quiet);
        if pause > Span::ZERO && self.wait_for_input(pause).await {
            return self.read_available();
        }
        // Guards against a timer that fires before the runtime has seen what came meanwhile, as after a stall.
        if !is_open_and_idle(&self.client.stream) && self.may_read_again() {
            self.wait_for_input(self.executor.limits.final_read_window)
                .await;
            return self.read_available();
        }
        self.end().await
    }

    /// Ends the connection. From the look that has found nothing unread to the end of the sending nothing is awaited.
    async fn end(&mut self) -> ControlFlow<()> {
        let has_held_responses = self.client.unwritten() > 0;
        self.write_last_responses();
        if self.client.unwritten() > 0 {
            return self.handle_event(&self.outstanding()).await;
        }
        self.client.end_sending();
        // Guards against a command that crosses the close: the reset that it would bring takes along responses that the
        // system still holds. Any other client that is closed to make room has long had its responses.
        let is_leaving = self.executor.query(Reducer::is_leaving);
        if has_held_responses || is_leaving || self.client.draining.get() {
            self.discard_input(self.executor.limits.linger_timeout)
                .await;
        }
        Break(())
    }

    /// Whether the client sends something, or ends, within `timeout`.
    pub(super) async fn wait_for_input(&mut self, timeout: Span) -> bool {
        self.write_held_responses();
        let readable = self.client.stream.readable();
        tokio::time::timeout(duration(timeout), readable)
            .await
            .is_ok_and(|ready| ready.is_ok())
    }

    /// Whether what has come may be read, although the client is closed whatever may still come. Guards against a client
    /// that always has a command open: from the first such read on its responses are held, so that it sends nothing more
    /// if it waits for them. Where its calls take longer, its further ones are rejected at once; and of a client that does
    /// not wait only so many reads are made.
    fn may_read_again(&mut self) -> bool {
        if !self.client.draining.get() {
            return true;
        }
        let limits = &self.executor.limits;
        let now = self.executor.clock.now();
        let held_until = *self
            .held_until
            .get_or_insert(now + limits.final_read_window);
        if now > held_until {
            self.executor
                .report(|reducer, _| reducer.reject_calls_of(self.id));
        }
        self.final_reads += 1;
        self.final_reads <= limits.open_calls_per_client
    }

    /// How long the client may still send something. One that has sent a part of a command gets a bounded time for the rest.
    fn pause_before_close(&mut self, quiet: Span) -> Span {
        let limits = &self.executor.limits;
        if self.buffer.is_empty() {
            return quiet;
        }
        let now = self.executor.clock.now();
        let remaining = self.partial_since(now) + limits.partial_command_timeout - now;
        remaining.min(limits.final_partial_command).max(Span::ZERO)
    }

    /// Gives up the buffer, then reads without keeping anything until the client's end.
    async fn discard_input(&mut self, timeout: Span) {
        self.reservation.set(0);
        self.buffer = Buffer::default();
        self.client.end_sending();
        discard(self.executor, &self.client.stream, timeout).await;
    }
}

/// Reads what still comes, without keeping it. Guards against a close on unread bytes, which the network makes a reset, so
/// that the client would never read why it was rejected.
async fn discard(executor: &Rc<EffectExecutor>, stream: &TcpStream, timeout: Span) {
    let until = executor.clock.instant(executor.clock.now() + timeout);
    let mut remaining = executor.limits.discard_bytes;
    while let Ok(Ok(())) = tokio::time::timeout_at(until, stream.readable()).await {
        let read = retry_interrupted(|| stream.try_read(&mut executor.discard_buffer.borrow_mut()));
        match read {
            Ok(count) if count > 0 && count < remaining => remaining -= count,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
        // The others have their turn.
        tokio::task::yield_now().await;
    }
}
