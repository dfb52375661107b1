//! Connections to servers. Each carries one attempt at a time, so that no attempt queues behind a
//! slow one.
//!
//! A value too large to be buffered is streamed from the upstream's buffer to the client's socket
//! as it arrives, and is read no faster than the client reads it.
use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use quartzhub_policy::Time;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::attempt_response::AttemptResponse;
use crate::buffer::Buffer;
use crate::limits::Limits;
use crate::memory_budget::{MemoryBudget, MemoryRequest, MemoryReservation};
use crate::messages::UpstreamId;
use crate::resp::Parsed;

mod admission;
mod body_reader;
mod connection;
mod downstream;
mod holding;
mod protocol;
mod request;
mod streaming;

use body_reader::UnsizedBody;
pub use connection::run;
pub use downstream::Downstream;
use holding::Hold;
pub use protocol::Protocol;
pub use request::WriteResult;
use request::{end_sending, RequestBody};
use streaming::ValueEnd;

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
    /// Whether the request has a value that is written without being copied.
    is_large_request: Cell<bool>,
    /// Whether the request is written, but the system has not sent all of it yet.
    is_delivering: Cell<bool>,
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
    hold: Cell<Hold>,
    /// When bytes of the server were last read.
    last_read_at: Cell<Time>,
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
            is_large_request: Cell::new(false),
            is_delivering: Cell::new(false),
            call_id: RefCell::default(),
            requester: RefCell::default(),
            awaiting_response: Cell::new(false),
            unsized_body: RefCell::default(),
            reservation: RefCell::new(MemoryReservation::new(memory)),
            memory_wait: RefCell::default(),
            hold: Cell::new(Hold::None),
            last_read_at: Cell::new(Time(0)),
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
            end_sending(stream);
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
        let buffers_large = self.unsized_body.borrow().is_some() || self.is_holding();
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
