//! Streams values that are too large to be buffered to the client as they arrive.
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpStream;

use super::{ReadResult, Upstream};
use crate::caches::LargeValue;
use crate::clock::duration;
use crate::effects::EffectExecutor;
use crate::limits::Limits;
use crate::system::retry_interrupted;

/// Why a streamed value can't be completed.
#[derive(Debug, thiserror::Error)]
pub(super) enum StreamError {
    /// The connection ended within the value, or the bytes after it are not its terminator.
    #[error("streamed value from {0} is truncated or malformed")]
    Malformed(SocketAddr),
    /// No more of the value arrived within the stall timeout.
    #[error("streamed value from {0} has stalled")]
    Stalled(SocketAddr),
}

impl Upstream {
    /// Finds a value that is too large to be buffered in the received bytes.
    pub(super) fn large_value(&self, limits: &Limits) -> Option<LargeValue> {
        self.protocol
            .large_value(self.buffer.borrow().unread(), limits)
    }

    /// Starts to stream a value that is too large to be buffered, if one is being received; returns
    /// its size. If commands of the client await their responses behind it, streaming starts only
    /// once the value is complete.
    pub(super) fn start_streaming(&self, executor: &EffectExecutor) -> Option<usize> {
        let limits = &executor.limits;
        let LargeValue { offset, size } = self.large_value(limits)?;
        let has_later_command = self.has_later_command(executor, size);
        let mut buffer = self.buffer.borrow_mut();
        let bytes = buffer.unread();
        // Only the head has arrived so far.
        if bytes.len() == offset {
            return None;
        }
        let terminator = self.protocol.value_terminator();
        let complete = bytes.len() >= offset + size + terminator.len();
        self.buffers_whole_value.set(has_later_command);
        if has_later_command && !complete {
            return None;
        }
        self.keep_alive
            .set(self.protocol.keeps_alive(bytes, limits));
        buffer.consume(offset);
        self.remaining.set(size);
        self.streaming.set(true);
        self.malformed.set(false);
        Some(size)
    }

    /// Whether commands of the client await their responses behind a value of `size` bytes: a value
    /// that breaks off aborts the client's connection, and they would get none. A command that has
    /// not been taken yet counts only if the memory to hold the value for it can be reserved.
    fn has_later_command(&self, executor: &EffectExecutor, size: usize) -> bool {
        if !executor.query(|reducer| reducer.has_no_later_call(self.id)) {
            return true;
        }
        let held_bytes = size + 2 * executor.limits.read_bytes;
        executor.has_untaken_input(self.id) && self.reserve(executor, held_bytes)
    }

    /// Number of bytes that may be written to the client. The last byte is held back until the
    /// terminator after it has been checked, so that a malformed value never looks complete.
    pub fn streamable_bytes(&self) -> usize {
        let buffer = self.buffer.borrow();
        let bytes = buffer.unread();
        let remaining = self.remaining.get();
        let terminator = self.protocol.value_terminator();
        if bytes.len() < remaining + terminator.len() {
            return bytes.len().min(remaining.saturating_sub(1));
        }
        self.malformed
            .set(remaining > 0 && !bytes[remaining..].starts_with(terminator));
        if self.malformed.get() {
            0
        } else {
            remaining
        }
    }

    /// Writes available bytes to the client's socket; returns whether the value is completely
    /// written.
    pub fn write_streamed(&self, client: &TcpStream) -> io::Result<bool> {
        let mut written = false;
        loop {
            let count = self.streamable_bytes();
            if count == 0 {
                break;
            }
            let mut buffer = self.buffer.borrow_mut();
            match retry_interrupted(|| client.try_write(&buffer.unread()[..count])) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => {
                    buffer.consume(count);
                    self.remaining.set(self.remaining.get() - count);
                    written = true;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        if written || self.malformed.get() {
            // The task can read more into the freed space, or finish or fail the value.
            self.wake.notify_one();
        }
        Ok(self.remaining.get() == 0)
    }

    /// Whether a part of the value or its terminator has not been received.
    fn is_incomplete(&self) -> bool {
        let expected = self.remaining.get() + self.protocol.value_terminator().len();
        self.buffer.borrow().unread().len() < expected
    }

    /// Prepares the upstream for its next attempt after the value is written to the client.
    fn finish_streaming(&self, executor: &Rc<EffectExecutor>, ended: bool) {
        let mut buffer = self.buffer.borrow_mut();
        let well_formed = self
            .protocol
            .is_response_end(buffer.unread(), &executor.limits);
        buffer.clear();
        buffer.shrink(executor.limits.idle_buffer_bytes);
        drop(buffer);
        let receiver = self.receiver.take();
        self.awaiting_response.set(false);
        self.streaming.set(false);
        self.buffers_whole_value.set(false);
        self.reserve(executor, 0);
        let reusable = well_formed && !ended && self.keep_alive.get();
        executor.report(|reducer, now| reducer.on_streaming_finished(now, self.id, reusable));
        // The client's commands after this call may be read now.
        if let Some(receiver) = receiver {
            receiver.on_bytes_available();
        }
    }
}

/// Reads a value as fast as its client reads it, until it is completely written or the upstream is
/// closed. Fails if the server stalls within the value; a client that stalls is closed by its own
/// task.
pub(super) async fn stream_value(
    executor: &Rc<EffectExecutor>,
    upstream: &Upstream,
    stream: &TcpStream,
) -> Result<(), StreamError> {
    let mut ended = false;
    while !upstream.closed.get() {
        if upstream.remaining.get() == 0 {
            upstream.finish_streaming(executor, ended);
            return Ok(());
        }
        let is_truncated = ended && upstream.is_incomplete();
        if upstream.malformed.get() || is_truncated {
            return Err(StreamError::Malformed(upstream.address));
        }
        let has_capacity = !ended
            && upstream.buffer.borrow().unread().len() < executor.limits.streaming_window_bytes;
        let stall = tokio::time::sleep(duration(executor.limits.streaming_stall_timeout));
        tokio::select! {
            ready = stream.readable(), if has_capacity => {
                ended = ready.is_err() || upstream.read(stream, &executor.limits) != ReadResult::Open;
                if let Some(receiver) = upstream.receiver.borrow().as_ref() {
                    receiver.on_bytes_available();
                }
            }
            () = upstream.wake.notified() => {}
            () = stall, if has_capacity => return Err(StreamError::Stalled(upstream.address)),
        }
    }
    Ok(())
}
