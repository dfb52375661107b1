//! Connections to servers: one attempt at a time on each, so that none waits behind a slow one.
//!
//! A value too large to be buffered is streamed from the upstream's buffer to the client's socket as it comes, and read no
//! faster than the client takes it.
use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use quartzhub_policy::Span;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::attempt_response::AttemptResponse;
use crate::buffer::{is_open_and_idle, Buffer};
use crate::limits::Limits;
use crate::messages::{Request, UpstreamId};
use crate::resp::Parsed;
use crate::system::retry_interrupted;

mod body_reader;
mod connection;
mod downstream;
mod memory_budget;
mod protocol;
mod streaming;

use body_reader::UnsizedBody;
pub use connection::run;
pub use downstream::Downstream;
pub use protocol::Protocol;

/// Bytes of the largest value that is copied behind its command, to go out in one write.
const COPIED_VALUE_BYTES: usize = 4096;

/// A value that follows behind its request.
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
    /// A request until it is written, then its response.
    buffer: RefCell<Buffer>,
    /// What is still to be written behind the request.
    request_body: RefCell<Option<RequestBody>>,
    /// The request is not written to its end yet.
    request_unwritten: Cell<bool>,
    /// The client whose attempt it carries, until that is written to its end.
    requester: RefCell<Option<Rc<dyn Downstream>>>,
    /// It carries an attempt whose response is still to come.
    awaiting_response: Cell<bool>,
    /// What has come of a body of unknown length.
    unsized_body: RefCell<Option<UnsizedBody>>,
    /// What a large response takes of the memory budget.
    reserved_bytes: Cell<usize>,
    /// A large value is buffered until it is complete, as other commands of its client are open behind it.
    buffers_whole_value: Cell<bool>,
    /// A large value is being streamed.
    streaming: Cell<bool>,
    /// The client that takes the streamed value.
    receiver: RefCell<Option<Rc<dyn Downstream>>>,
    /// Bytes of the streamed value that its client has still to take.
    remaining: Cell<usize>,
    /// What stands behind the streamed value is not its end.
    malformed: Cell<bool>,
    /// The server keeps the connection open behind the streamed value.
    keep_alive: Cell<bool>,
    closed: Cell<bool>,
    wake: Notify,
}

/// What became of an attempt that was to be written.
#[derive(Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// All of it is written.
    Complete,
    /// The rest is written once the socket takes it.
    Partial,
    /// Its client has left; no more of it is written.
    ClientDisconnected,
    /// The connection is of no further use.
    ConnectionBroken,
}

/// What a read leaves of a connection.
#[derive(Debug, PartialEq, Eq)]
enum ReadResult {
    Open,
    /// The server has ended its sending.
    Ended,
    /// The connection has broken, or more has come than is buffered.
    Failed,
}

impl Upstream {
    /// An upstream that is not connected yet.
    pub fn new(id: UpstreamId, address: SocketAddr, protocol: Protocol) -> Rc<Upstream> {
        Rc::new(Upstream {
            id,
            address,
            protocol,
            stream: OnceCell::new(),
            buffer: RefCell::default(),
            request_body: RefCell::default(),
            request_unwritten: Cell::new(false),
            requester: RefCell::default(),
            awaiting_response: Cell::new(false),
            unsized_body: RefCell::default(),
            reserved_bytes: Cell::new(0),
            buffers_whole_value: Cell::new(false),
            streaming: Cell::new(false),
            receiver: RefCell::default(),
            remaining: Cell::new(0),
            malformed: Cell::new(false),
            keep_alive: Cell::new(false),
            closed: Cell::new(false),
            wake: Notify::new(),
        })
    }

    /// Ends an attempt in flight at once, and has the task close the connection. Guards against a next attempt that is
    /// written before the task has had its turn: the two would be in flight together.
    pub fn close(&self) {
        self.closed.set(true);
        if let Some(stream) = self.stream.get().filter(|_| self.awaiting_response.get()) {
            let _ = socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write);
        }
        // A client that a value is streamed to holds this upstream in turn.
        self.receiver.take();
        self.requester.take();
        self.wake.notify_one();
    }

    /// Sets the client that takes the value that is streamed.
    pub fn stream_to(&self, receiver: Rc<dyn Downstream>) {
        *self.receiver.borrow_mut() = Some(receiver);
    }

    /// Writes as much of an attempt of this client's as the socket takes.
    pub fn write(
        &self,
        request: &Request,
        wait: Span,
        requester: Rc<dyn Downstream>,
    ) -> WriteResult {
        {
            let mut buffer = self.buffer.borrow_mut();
            // Guards against taking what came unasked for the response, and against a write that a server
            // which has closed an idle upstream never reads: the end may be there before tokio tells of it.
            if !buffer.is_empty() || !self.stream.get().is_some_and(is_open_and_idle) {
                return WriteResult::ConnectionBroken;
            }
            buffer.put(&self.protocol.encode_request(request, self.address, wait));
            *self.request_body.borrow_mut() = request
                .value
                .clone()
                .map(|value| RequestBody { value, written: 0 });
            self.awaiting_response.set(true);
            *self.unsized_body.borrow_mut() = None;
        }
        *self.requester.borrow_mut() = Some(requester);
        let written = self.continue_writing();
        if written == WriteResult::Partial {
            self.wake.notify_one();
        }
        written
    }

    /// Writes on, unless the client has left by now.
    fn continue_writing(&self) -> WriteResult {
        let client_gone = self
            .requester
            .borrow()
            .as_ref()
            .is_some_and(|requester| requester.has_disconnected());
        if client_gone {
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

    /// Writes on; true once all is written. A small value goes out in one write with its request.
    fn flush(&self) -> io::Result<bool> {
        let mut buffer = self.buffer.borrow_mut();
        let Some(stream) = self.stream.get() else {
            return Ok(false);
        };
        let mut request_body = self.request_body.borrow_mut();
        let terminator = self.protocol.value_terminator();
        let small = request_body
            .take_if(|body| body.written == 0 && body.value.len() <= COPIED_VALUE_BYTES);
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

    /// Reads what has come, up to the largest response that may be buffered.
    fn read(&self, stream: &TcpStream, limits: &Limits) -> ReadResult {
        let mut buffer = self.buffer.borrow_mut();
        match buffer.read(stream, limits.read_bytes) {
            Ok(0) => return ReadResult::Ended,
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

    /// The response, once it is complete; `ended`: no more will come.
    fn parse_response(&self, ended: bool, limits: &Limits) -> Parsed<AttemptResponse> {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.is_empty() {
            return Parsed::Incomplete;
        }
        let parsed = self.protocol.parse_response(buffer.unread(), ended, limits);
        if let Parsed::Complete(_, used) = &parsed {
            self.awaiting_response.set(false);
            buffer.consume(*used);
            buffer.shrink(limits.idle_buffer_bytes);
        }
        parsed
    }
}
