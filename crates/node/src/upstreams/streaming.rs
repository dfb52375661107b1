//! Streams values that are too large to be buffered to the client as they arrive.
use std::io;
use std::rc::Rc;

use tokio::net::TcpStream;

use super::holding::Hold;
use super::{ReadResult, Upstream};
use crate::caches::{LoadReport, StatedValue};
use crate::effects::EffectExecutor;
use crate::limits::Limits;
use crate::memory_budget::MemoryUse;
use crate::resp::{is_large_value, Parsed};
use crate::system::retry_interrupted;

/// Why a streamed value can't be completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum StreamError {
    /// The server has closed its sending side within the value.
    #[error("the server ended the connection")]
    Truncated,
    /// The connection broke within the value.
    #[error("the connection broke")]
    Broken,
    /// The bytes after the value are no end of a response.
    #[error("the bytes behind the value are malformed")]
    Malformed,
    /// No more of the value arrived within the stall timeout.
    #[error("no further bytes arrived in time")]
    Stalled,
}

/// What has been received of the end of the response behind a streamed value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ValueEnd {
    /// Not enough to tell whether the value is as long as stated.
    Awaited,
    /// The value is as long as stated.
    Valid,
    /// The bytes are no end of a response: the stated length is wrong.
    Malformed,
}

/// What is to become of a response, by the bytes received so far.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum StreamStart {
    /// It has no value that is too large to be buffered, as far as can be told.
    NotStreamed,
    /// Its value of this many bytes is streamed from now on.
    Started(usize),
    /// Its value is followed by something that is no end of a response.
    Malformed,
}

impl Upstream {
    /// Finds a value that is too large to be buffered in the received bytes.
    pub(super) fn large_value(&self, limits: &Limits) -> Option<StatedValue> {
        let buffer = self.buffer.borrow();
        let stated_value = self.protocol.stated_value(buffer.unread(), limits);
        stated_value.filter(|value| is_large_value(value.size, limits))
    }

    /// Starts to stream a value that is too large to be buffered, if one is being received. If
    /// commands of the client await their responses behind it, streaming starts only once the
    /// response is complete.
    pub(super) fn start_streaming(&self, executor: &EffectExecutor) -> StreamStart {
        let limits = &executor.limits;
        let Some(StatedValue { offset, size }) = self.large_value(limits) else {
            return StreamStart::NotStreamed;
        };
        let has_later_command = self.has_later_command(executor, size);
        let mut buffer = self.buffer.borrow_mut();
        let bytes = buffer.unread();
        // Only the head has arrived so far.
        if bytes.len() == offset {
            return StreamStart::NotStreamed;
        }
        let value_end = self.parse_value_end(&bytes[offset..], size, limits);
        if value_end == ValueEnd::Malformed {
            return StreamStart::Malformed;
        }
        let must_hold = has_later_command && value_end != ValueEnd::Valid;
        if must_hold && self.continues_to_hold(executor) {
            return StreamStart::NotStreamed;
        }
        self.hold.set(Hold::None);
        self.keep_alive
            .set(self.protocol.keeps_alive(bytes, limits));
        buffer.consume(offset);
        self.value_bytes.set(size);
        self.remaining.set(size);
        self.streaming.set(true);
        self.value_end.set(value_end);
        StreamStart::Started(size)
    }

    /// Parses the end of the response behind the first `value_bytes` of these bytes.
    fn parse_value_end(&self, bytes: &[u8], value_bytes: usize, limits: &Limits) -> ValueEnd {
        let Some(end) = bytes.get(value_bytes..) else {
            return ValueEnd::Awaited;
        };
        match self.protocol.value_end(end, limits) {
            Parsed::Complete(..) => ValueEnd::Valid,
            Parsed::Incomplete => ValueEnd::Awaited,
            Parsed::Malformed => ValueEnd::Malformed,
        }
    }

    /// Looks for the end of the response among the bytes received so far.
    fn update_value_end(&self, limits: &Limits) {
        if self.value_end.get() == ValueEnd::Awaited {
            let buffer = self.buffer.borrow();
            let value_end = self.parse_value_end(buffer.unread(), self.remaining.get(), limits);
            self.value_end.set(value_end);
        }
    }

    /// Whether all of the value has been received, but not the end of its response.
    fn awaits_value_end(&self) -> bool {
        let received = self.buffer.borrow().unread().len();
        self.value_end.get() == ValueEnd::Awaited && received >= self.remaining.get()
    }

    /// Whether commands of the client await their responses behind a value of `size` bytes: a value
    /// that breaks off aborts the client's connection, and they would get none. A command that has
    /// not been taken yet counts only if the memory to hold the value for it can be reserved.
    fn has_later_command(&self, executor: &EffectExecutor, size: usize) -> bool {
        if !executor.query(|reducer| reducer.has_no_later_call(self.id)) {
            return true;
        }
        let held_bytes = size + 2 * executor.limits.read_bytes;
        executor.has_untaken_input(self.id) && self.try_reserve(executor, held_bytes)
    }

    /// Number of bytes that may be written to the client. The last byte is held back until the end of
    /// the response has been checked, so that a malformed value never looks complete.
    pub fn streamable_bytes(&self) -> usize {
        let received = self.buffer.borrow().unread().len();
        let remaining = self.remaining.get();
        match self.value_end.get() {
            ValueEnd::Awaited => received.min(remaining.saturating_sub(1)),
            ValueEnd::Valid => remaining,
            ValueEnd::Malformed => 0,
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
        if written || self.value_end.get() == ValueEnd::Malformed {
            // The task can read more into the freed space, or finish or fail the value.
            self.wake.notify_one();
        }
        Ok(self.remaining.get() == 0)
    }

    /// Logs a streamed value whose rest can't be had.
    pub(super) fn log_broken_value(&self, error: StreamError) {
        let address = self.address;
        let id = self.call_id.borrow();
        let size = self.value_bytes.get();
        let buffered = self.buffer.borrow().unread().len();
        let received = (size - self.remaining.get() + buffered).min(size);
        tracing::warn!(
            id = id.as_str(),
            server = %address,
            state = "value streamed",
            reason = %error,
            received,
            size,
            "streamed value of call {id} from {address} broke off after {received} of {size} bytes: {error}"
        );
    }

    /// Prepares the upstream for its next attempt after the value is written to the client.
    fn finish_streaming(&self, executor: &Rc<EffectExecutor>, ended: bool) {
        let mut buffer = self.buffer.borrow_mut();
        let end = self.protocol.value_end(buffer.unread(), &executor.limits);
        let received = buffer.unread().len();
        let well_formed =
            matches!(end, Parsed::Complete(LoadReport::Readable, length) if length == received);
        buffer.clear();
        buffer.shrink(executor.limits.idle_buffer_bytes);
        drop(buffer);
        let receiver = self.receiver.take();
        self.awaiting_response.set(false);
        self.streaming.set(false);
        self.release_memory();
        let reusable = well_formed && !ended && self.keep_alive.get();
        executor.report(|reducer, now| reducer.on_streaming_finished(now, self.id, reusable));
        // The client's commands after this call may be read now.
        if let Some(receiver) = receiver {
            receiver.on_bytes_available();
        }
    }
}

/// Most bytes of a streamed value that are read ahead of its client: fewer if others need the memory.
fn streaming_window_bytes(executor: &EffectExecutor) -> usize {
    let limits = &executor.limits;
    let has_room = executor
        .memory
        .has_room(limits.read_bytes, MemoryUse::LongMessage);
    if has_room {
        limits.streaming_window_bytes
    } else {
        limits.streaming_window_bytes.min(limits.read_bytes)
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
    let limits = &executor.limits;
    let mut ended = None;
    let mut value_received_at = None;
    while !upstream.closed.get() {
        if upstream.remaining.get() == 0 {
            upstream.finish_streaming(executor, ended.is_some());
            return Ok(());
        }
        match (upstream.value_end.get(), ended) {
            (ValueEnd::Malformed, _) => return Err(StreamError::Malformed),
            (ValueEnd::Awaited, Some(error)) => return Err(error),
            _ => {}
        }
        let now = executor.clock.now();
        let stalled_at = if upstream.awaits_value_end() {
            *value_received_at.get_or_insert(now) + limits.value_end_timeout
        } else {
            now + limits.streaming_stall_timeout
        };
        let received = upstream.buffer.borrow().unread().len();
        let window_bytes = streaming_window_bytes(executor);
        let has_capacity =
            ended.is_none() && (upstream.awaits_value_end() || received < window_bytes);
        let stall = tokio::time::sleep_until(executor.clock.instant(stalled_at));
        tokio::select! {
            ready = stream.readable(), if has_capacity => {
                let max_unread = received + limits.read_bytes;
                ended = match (ready, upstream.read(stream, max_unread, limits)) {
                    (Ok(()), ReadResult::Open) => None,
                    (Ok(()), ReadResult::EndOfStream) => Some(StreamError::Truncated),
                    _ => Some(StreamError::Broken),
                };
                upstream.reserve_used_bytes();
                upstream.update_value_end(limits);
                if let Some(receiver) = upstream.receiver.borrow().as_ref() {
                    receiver.on_bytes_available();
                }
            }
            () = upstream.wake.notified() => {}
            () = stall, if has_capacity => return Err(StreamError::Stalled),
        }
    }
    Ok(())
}
