//! Writes the request of an attempt to its server.
use std::io;
use std::net::Shutdown;
use std::rc::Rc;

use bytes::Bytes;
use quartzhub_policy::Span;
use tokio::net::TcpStream;

use super::downstream::Downstream;
use super::holding::Hold;
use super::Upstream;
use crate::buffer::{readable, Readable};
use crate::messages::Request;
use crate::system::{reset_connection, retry_interrupted, unsent_bytes};

/// Largest value, in bytes, that is copied behind its request, so that both go out in one write.
const MAX_COPIED_VALUE_BYTES: usize = 4096;

/// A value that is written after its request.
pub(super) struct RequestBody {
    pub(super) value: Bytes,
    pub(super) written: usize,
}

/// Result of writing an attempt's request.
#[derive(Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The request is completely written.
    Complete,
    /// The request is completely written, but the system has not sent all of it yet.
    Buffered,
    /// The rest is written once the socket is writable.
    Partial,
    /// The client has disconnected; the rest is not written.
    ClientDisconnected,
    /// The server has sent bytes that no attempt awaits; nothing is written.
    UnsolicitedBytes,
    /// The connection can't be used any more.
    ConnectionBroken,
}

/// Ends the sending of a request that is given up. What the system has not sent of it is discarded:
/// otherwise a server that reads slowly would receive the whole request later, and execute it.
pub(super) fn end_sending(stream: &TcpStream) {
    if unsent_bytes(stream) > 0 && reset_connection(stream) {
        return;
    }
    let _ = socket2::SockRef::from(stream).shutdown(Shutdown::Write);
}

impl Upstream {
    /// Starts an attempt for `requester`: writes as much of the request as the socket accepts.
    pub fn write(
        &self,
        request: &Request,
        time_left: Span,
        requester: Rc<dyn Downstream>,
    ) -> WriteResult {
        {
            let mut buffer = self.buffer.borrow_mut();
            // Unsolicited bytes must not be taken for the response, and a server that has closed an
            // idle connection never reads the request.
            match self.stream.get().map(readable) {
                Some(Readable::Nothing) if buffer.is_empty() => {}
                None | Some(Readable::End) => return WriteResult::ConnectionBroken,
                Some(_) => return WriteResult::UnsolicitedBytes,
            }
            buffer.put(
                &self
                    .protocol
                    .encode_request(request, self.address, time_left),
            );
            *self.request_body.borrow_mut() = request
                .value
                .clone()
                .map(|value| RequestBody { value, written: 0 });
            let is_large = |value: &Bytes| value.len() > MAX_COPIED_VALUE_BYTES;
            self.is_large_request
                .set(request.value.as_ref().is_some_and(is_large));
            self.is_delivering.set(false);
            self.hold.set(Hold::None);
            self.awaiting_response.set(true);
            *self.unsized_body.borrow_mut() = None;
        }
        self.call_id.borrow_mut().clone_from(&request.id);
        *self.requester.borrow_mut() = Some(requester);
        let written = self.continue_writing();
        if matches!(written, WriteResult::Partial | WriteResult::Buffered) {
            self.wake.notify_one();
        }
        written
    }

    /// Continues to write the request, unless the client has disconnected.
    pub(super) fn continue_writing(&self) -> WriteResult {
        let client_disconnected = self
            .requester
            .borrow()
            .as_ref()
            .is_some_and(|requester| requester.has_disconnected());
        if client_disconnected {
            return WriteResult::ClientDisconnected;
        }
        match self.flush() {
            // What the system holds of a large request may take a slow server longer than its call has.
            Ok(true) if self.is_large_request.get() && self.has_unsent_bytes() => {
                self.is_delivering.set(true);
                WriteResult::Buffered
            }
            Ok(true) => {
                self.requester.take();
                WriteResult::Complete
            }
            Ok(false) => WriteResult::Partial,
            Err(_) => WriteResult::ConnectionBroken,
        }
    }

    /// Whether the system holds bytes that it has not sent.
    fn has_unsent_bytes(&self) -> bool {
        self.stream
            .get()
            .is_some_and(|stream| unsent_bytes(stream) > 0)
    }

    /// Writes as much as the socket accepts; returns whether the request is completely written. A
    /// small value goes out in one write with its request.
    fn flush(&self) -> io::Result<bool> {
        let mut buffer = self.buffer.borrow_mut();
        let Some(stream) = self.stream.get() else {
            return Ok(false);
        };
        let mut request_body = self.request_body.borrow_mut();
        let terminator = self.protocol.value_terminator();
        let small = request_body
            .take_if(|body| body.written == 0 && body.value.len() <= MAX_COPIED_VALUE_BYTES);
        if let Some(body) = small {
            buffer.put(&body.value);
            buffer.put(terminator);
        }
        buffer.write(stream)?;
        while let Some(body) = request_body.as_mut().filter(|_| buffer.is_empty()) {
            match retry_interrupted(|| stream.try_write(&body.value[body.written..])) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => body.written += count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
            if body.written == body.value.len() {
                *request_body = None;
                buffer.put(terminator);
                buffer.write(stream)?;
            }
        }
        let done = buffer.is_empty() && request_body.is_none();
        self.request_unwritten.set(!done);
        Ok(done)
    }
}
