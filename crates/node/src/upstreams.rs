//! Connections to servers. Each carries one attempt at a time, so that no attempt queues behind a
//! slow one.
//!
//! A value too large to be buffered is streamed from the upstream's buffer to the client's socket
//! as it arrives, and is read no faster than the client reads it.
use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use quartzhub_policy::Span;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::attempt_response::AttemptResponse;
use crate::buffer::{readable, Buffer, Readable};
use crate::limits::Limits;
use crate::memory_budget::{MemoryBudget, MemoryRequest, MemoryReservation};
use crate::messages::{Request, UpstreamId};
use crate::resp::Parsed;
use crate::system::retry_interrupted;

mod admission;
mod body_reader;
mod connection;
mod downstream;
mod protocol;
mod streaming;

use body_reader::UnsizedBody;
pub use connection::run;
pub use downstream::Downstream;
pub use protocol::Protocol;
use streaming::ValueEnd;

/// Largest value, in bytes, that is copied behind its request, so that both go out in one write.
const MAX_COPIED_VALUE_BYTES: usize = 4096;

/// A value that is written after its request.
struct RequestBody {
    value: Bytes,
    written: usize,
}

/// A connection to a server.
pub struct Upstream {
    id: UpstreamId,
    address: SocketAddr,
    protocol: Protocol,
    stream: OnceCell<TcpStream>,
    /// The request until it is written, then its response.
    buffer: RefCell<Buffer>,
    /// The value that is still to be written after the request.
    request_body: RefCell<Option<RequestBody>>,
    /// Whether the request is not completely written yet.
    request_unwritten: Cell<bool>,
    /// The id of the API call whose attempt the connection carries.
    call_id: RefCell<String>,
    /// The client whose attempt the connection carries, until its request is completely written.
    requester: RefCell<Option<Rc<dyn Downstream>>>,
    /// Whether the connection carries an attempt that awaits its response.
    awaiting_response: Cell<bool>,
    /// The part of a body of unknown length that has been received.
    unsized_body: RefCell<Option<UnsizedBody>>,
    /// Memory of the response; requested before its bytes are read.
    reservation: RefCell<MemoryReservation>,
    /// Set while there is no memory for the next bytes of the response.
    memory_wait: RefCell<Option<MemoryRequest>>,
    /// Whether a large value is buffered until it is complete, as later API calls of its client are
    /// pending.
    buffers_whole_value: Cell<bool>,
    /// Whether a large value is being streamed.
    streaming: Cell<bool>,
    /// The client that receives the streamed value.
    receiver: RefCell<Option<Rc<dyn Downstream>>>,
    /// Length of the streamed value in bytes.
    value_bytes: Cell<usize>,
    /// Bytes of the streamed value that are not written to its client yet.
    remaining: Cell<usize>,
    /// What has been received of the end of the response behind the streamed value.
    value_end: Cell<ValueEnd>,
    /// Whether the server keeps the connection open after the streamed value.
    keep_alive: Cell<bool>,
    closed: Cell<bool>,
    wake: Notify,
}

/// Result of writing an attempt's request.
#[derive(Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The request is completely written.
    Complete,
    /// The rest is written once the socket is writable.
    Partial,
    /// The client has disconnected; the rest is not written.
    ClientDisconnected,
    /// The server has sent bytes that no attempt awaits; nothing is written.
    UnsolicitedBytes,
    /// The connection can't be used any more.
    ConnectionBroken,
}

/// State of a connection after a read.
#[derive(Debug, PartialEq, Eq)]
enum ReadResult {
    Open,
    /// The server has closed its sending side.
    EndOfStream,
    /// The connection is broken, or a response exceeds the buffer limit.
    Failed,
}

impl Upstream {
    /// Creates an upstream that is not connected yet.
    pub fn new(
        id: UpstreamId,
        address: SocketAddr,
        protocol: Protocol,
        memory: &Rc<MemoryBudget>,
    ) -> Rc<Upstream> {
        Rc::new(Upstream {
            id,
            address,
            protocol,
            stream: OnceCell::new(),
            buffer: RefCell::default(),
            request_body: RefCell::default(),
            request_unwritten: Cell::new(false),
            call_id: RefCell::default(),
            requester: RefCell::default(),
            awaiting_response: Cell::new(false),
            unsized_body: RefCell::default(),
            reservation: RefCell::new(MemoryReservation::new(memory)),
            memory_wait: RefCell::default(),
            buffers_whole_value: Cell::new(false),
            streaming: Cell::new(false),
            receiver: RefCell::default(),
            value_bytes: Cell::new(0),
            remaining: Cell::new(0),
            value_end: Cell::new(ValueEnd::Awaited),
            keep_alive: Cell::new(false),
            closed: Cell::new(false),
            wake: Notify::new(),
        })
    }

    /// Ends an attempt in flight at once, and makes the connection's task close the connection.
    /// Without the immediate shutdown, the next attempt could be written before that task runs, and
    /// the server would have both attempts in flight.
    pub fn close(&self) {
        self.closed.set(true);
        if let Some(stream) = self.stream.get().filter(|_| self.awaiting_response.get()) {
            let _ = socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write);
        }
        // The client that receives a streamed value refers to this upstream too: breaks the cycle.
        self.receiver.take();
        self.requester.take();
        self.wake.notify_one();
    }

    /// Sets the client that receives the streamed value.
    pub fn stream_to(&self, receiver: Rc<dyn Downstream>) {
        *self.receiver.borrow_mut() = Some(receiver);
    }

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
            self.awaiting_response.set(true);
            *self.unsized_body.borrow_mut() = None;
        }
        self.call_id.borrow_mut().clone_from(&request.id);
        *self.requester.borrow_mut() = Some(requester);
        let written = self.continue_writing();
        if written == WriteResult::Partial {
            self.wake.notify_one();
        }
        written
    }

    /// Continues to write the request, unless the client has disconnected.
    fn continue_writing(&self) -> WriteResult {
        let client_disconnected = self
            .requester
            .borrow()
            .as_ref()
            .is_some_and(|requester| requester.has_disconnected());
        if client_disconnected {
            return WriteResult::ClientDisconnected;
        }
        match self.flush() {
            Ok(true) => {
                self.requester.take();
                WriteResult::Complete
            }
            Ok(false) => WriteResult::Partial,
            Err(_) => WriteResult::ConnectionBroken,
        }
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

    /// Reads available bytes, until the buffer holds `max_unread` or the largest response that may be
    /// buffered.
    fn read(&self, stream: &TcpStream, max_unread: usize, limits: &Limits) -> ReadResult {
        let mut buffer = self.buffer.borrow_mut();
        match buffer.read_within(stream, limits.read_bytes, max_unread) {
            Ok(0) => return ReadResult::EndOfStream,
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return ReadResult::Open,
            Err(_) => return ReadResult::Failed,
        }
        let buffers_large = self.unsized_body.borrow().is_some() || self.buffers_whole_value.get();
        let max_buffered = if buffers_large {
            limits.value_bytes + limits.max_reply_bytes()
        } else {
            limits.max_reply_bytes()
        };
        if !self.streaming.get() && buffer.unread().len() > max_buffered {
            ReadResult::Failed
        } else {
            ReadResult::Open
        }
    }

    /// Parses the buffered response; `at_eof` means that no more bytes will arrive.
    fn parse_response(&self, at_eof: bool, limits: &Limits) -> Parsed<AttemptResponse> {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.is_empty() {
            return Parsed::Incomplete;
        }
        let parsed = self
            .protocol
            .parse_response(buffer.unread(), at_eof, limits);
        if let Parsed::Complete(_, consumed) = &parsed {
            self.awaiting_response.set(false);
            buffer.consume(*consumed);
            buffer.shrink(limits.idle_buffer_bytes);
        }
        parsed
    }
}
