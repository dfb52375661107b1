//! Reads bodies of unknown length: chunked, or delimited by the end of the connection.
//!
//! A response to a client starts with the length of its value, so such a body is buffered until it
//! is complete.
use quartzhub_policy::Outcome;

use super::protocol::Protocol;
use super::Upstream;
use crate::attempt_response::AttemptResponse;
use crate::buffer::Buffer;
use crate::http::{self, Body, Head};
use crate::limits::Limits;
use crate::resp::Parsed;

/// The part of a body of unknown length that has been received.
pub(super) struct UnsizedBody {
    head: Head,
    bytes: Vec<u8>,
}

impl UnsizedBody {
    /// Consumes the head of a response whose body has no known length; `None` for other responses.
    fn start(buffer: &mut Buffer, limits: &Limits) -> Option<UnsizedBody> {
        let Parsed::Complete(head, consumed) = http::head(buffer.unread(), limits) else {
            return None;
        };
        if head.status != 200 || !matches!(head.body, Body::Chunked | Body::UntilClose) {
            return None;
        }
        buffer.consume(consumed);
        Some(UnsizedBody {
            head,
            bytes: Vec::new(),
        })
    }

    /// Moves received bytes from the buffer to the body; `at_eof` means that no more will arrive.
    fn append(&mut self, buffer: &mut Buffer, at_eof: bool, limits: &Limits) -> Parsed<()> {
        loop {
            let bytes = buffer.unread();
            let remaining = limits.value_bytes - self.bytes.len();
            let (chunk, consumed) = match self.head.body {
                Body::Chunked => match http::chunk(bytes, remaining, limits) {
                    Parsed::Complete(chunk, consumed) => (chunk, consumed),
                    Parsed::Incomplete => return Parsed::Incomplete,
                    Parsed::Malformed => return Parsed::Malformed,
                },
                _ if bytes.len() > remaining => return Parsed::Malformed,
                _ => (bytes, bytes.len()),
            };
            if chunk.is_empty() {
                return if self.head.body == Body::Chunked || at_eof {
                    Parsed::Complete((), 0)
                } else {
                    Parsed::Incomplete
                };
            }
            self.bytes.reserve_exact(chunk.len());
            self.bytes.extend_from_slice(chunk);
            buffer.consume(consumed);
        }
    }
}

impl Upstream {
    /// Memory of the part of a body of unknown length that has been received.
    pub(super) fn unsized_body_capacity(&self) -> usize {
        let unsized_body = self.unsized_body.borrow();
        unsized_body
            .as_ref()
            .map_or(0, |body| body.bytes.capacity())
    }

    /// Continues to read a body of unknown length. Returns the response once it is complete.
    pub(super) fn read_unsized_body(
        &self,
        at_eof: bool,
        limits: &Limits,
    ) -> Parsed<AttemptResponse> {
        let mut unsized_body = self.unsized_body.borrow_mut();
        let mut buffer = self.buffer.borrow_mut();
        if unsized_body.is_none() && self.protocol == Protocol::Http {
            *unsized_body = UnsizedBody::start(&mut buffer, limits);
        }
        let Some(body) = unsized_body.as_mut() else {
            return Parsed::Incomplete;
        };
        let appended = body.append(&mut buffer, at_eof, limits);
        if appended == Parsed::Malformed {
            return Parsed::Malformed;
        }
        if appended == Parsed::Incomplete {
            return Parsed::Incomplete;
        }
        // Consumes the empty chunk that ends a chunked body.
        if let Parsed::Complete(_, consumed) = http::chunk(buffer.unread(), 0, limits) {
            buffer.consume(consumed);
        }
        let reusable = body.head.keep_alive && !at_eof && buffer.is_empty();
        let value = Some(std::mem::take(&mut body.bytes));
        *unsized_body = None;
        self.awaiting_response.set(false);
        buffer.clear();
        buffer.shrink(limits.idle_buffer_bytes);
        Parsed::Complete(
            AttemptResponse {
                outcome: Outcome::Success,
                value,
                reusable,
            },
            0,
        )
    }
}
