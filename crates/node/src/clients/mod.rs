//! Clients' connections: commands in, responses out in the same order.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;

use quartzhub_policy::{Span, Time};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::effects::ClientHandle;
use crate::messages::Response;
use crate::system::{peer_has_closed, retry_interrupted};
use crate::upstreams::{Downstream, Upstream};

mod accept;
mod arrival_times;
mod attributes;
mod closing;
mod commands;
mod connection;
mod memory_budget;
mod reading;
mod response;

pub use accept::{listen, Acceptor};

/// What a client is still to be sent.
enum Outgoing {
    Bytes {
        bytes: Vec<u8>,
        /// The size under which the reducer counts it as buffered.
        counted_size: usize,
    },
    /// A value that comes by this upstream.
    Streamed(Rc<Upstream>),
}

/// How much of the first outgoing item the socket has taken.
enum WriteProgress {
    Complete,
    Partial,
    /// All that the upstream has of a value so far.
    AwaitsUpstream,
}

/// Whether more follows what is written.
#[derive(Clone, Copy, PartialEq)]
enum WriteMode {
    AtOnce,
    /// The system is to send it together with the end of the connection, which follows. Guards against a stall between
    /// the two, in which the client would send its next command.
    WithEnd,
}

/// The sending half of a client's connection, and how the connection is to end.
pub struct Client {
    stream: TcpStream,
    /// What the socket has not taken to its end yet.
    outgoing: RefCell<VecDeque<Outgoing>>,
    /// Bytes of the first outgoing item that the socket has taken.
    first_written: Cell<usize>,
    /// The connection is to be closed once nothing has come from the client for so long.
    close_after_quiet: Cell<Option<Span>>,
    /// The process is about to end: commands that have come by now are taken, and no more.
    draining: Cell<bool>,
    aborted: Cell<bool>,
    /// Nothing more is sent to the client.
    sending_ended: Cell<bool>,
    /// Since when it may have waited in the listen queue, where the node accepted nobody for a time.
    accept_paused_since: Option<Time>,
    wake: Notify,
}

impl Client {
    fn new(stream: TcpStream, accept_paused_since: Option<Time>) -> Client {
        Client {
            stream,
            outgoing: RefCell::default(),
            first_written: Cell::new(0),
            close_after_quiet: Cell::new(None),
            draining: Cell::new(false),
            aborted: Cell::new(false),
            sending_ended: Cell::new(false),
            accept_paused_since,
            wake: Notify::new(),
        }
    }

    /// Ready once the client has closed its side, also where that lies behind bytes that nobody reads.
    async fn disconnected(&self) {
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// Whether the runtime has been told that the client has closed its side.
    async fn disconnect_reported(&self) -> bool {
        tokio::select! {
            biased;
            () = self.disconnected() => true,
            () = std::future::ready(()) => false,
        }
    }

    /// Whether there is something that the socket could take now.
    fn has_writable_bytes(&self) -> bool {
        match self.outgoing.borrow().front() {
            Some(Outgoing::Bytes { .. }) => true,
            Some(Outgoing::Streamed(upstream)) => upstream.streamable_bytes() > 0,
            None => false,
        }
    }

    /// How many items the socket has not taken to their end.
    fn unwritten(&self) -> usize {
        self.outgoing.borrow().len()
    }

    /// Whether a value that comes by an upstream is among what the socket has not taken.
    fn has_streamed_item(&self) -> bool {
        let is_streamed = |item: &Outgoing| matches!(item, Outgoing::Streamed(_));
        self.outgoing.borrow().iter().any(is_streamed)
    }

    /// Whether responses wait for the end of the connection, which comes as soon as none is owed. Guards against a client
    /// whose next command always comes in time, as it answers each response with one.
    fn holds_responses(&self) -> bool {
        self.close_after_quiet.get() == Some(Span::ZERO)
    }

    /// Ends the sending: the client sees the end behind its last response.
    fn end_sending(&self) {
        let socket = socket2::SockRef::from(&self.stream);
        if socket.shutdown(Shutdown::Write).is_err() {
            self.aborted.set(true);
        }
        self.sending_ended.set(true);
    }

    /// Writes what the socket takes; gives the counted size of responses that are now written to their end.
    fn flush(&self, mode: WriteMode) -> usize {
        let mut outgoing = self.outgoing.borrow_mut();
        let mut written_size = 0;
        while let Some(first) = outgoing.front() {
            match self.write_item(first, mode) {
                Ok(WriteProgress::Complete) => {
                    if let Outgoing::Bytes { counted_size, .. } = first {
                        written_size += counted_size;
                    }
                    outgoing.pop_front();
                    self.first_written.set(0);
                }
                Ok(WriteProgress::Partial) => {}
                Ok(WriteProgress::AwaitsUpstream) => break,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.aborted.set(true);
                    break;
                }
            }
        }
        written_size
    }

    fn write_item(&self, first: &Outgoing, mode: WriteMode) -> io::Result<WriteProgress> {
        let bytes = match first {
            Outgoing::Bytes { bytes, .. } => bytes,
            Outgoing::Streamed(upstream) => {
                return upstream.write_streamed(&self.stream).map(|complete| {
                    if complete {
                        WriteProgress::Complete
                    } else {
                        WriteProgress::AwaitsUpstream
                    }
                })
            }
        };
        let unwritten = &bytes[self.first_written.get()..];
        let count = retry_interrupted(|| self.write_bytes(unwritten, mode))?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        self.first_written.set(self.first_written.get() + count);
        Ok(if count == unwritten.len() {
            WriteProgress::Complete
        } else {
            WriteProgress::Partial
        })
    }

    fn write_bytes(&self, bytes: &[u8], mode: WriteMode) -> io::Result<usize> {
        match mode {
            WriteMode::AtOnce => self.stream.try_write(bytes),
            WriteMode::WithEnd => self.stream.try_io(Interest::WRITABLE, || {
                socket2::SockRef::from(&self.stream).send_with_flags(bytes, libc::MSG_MORE)
            }),
        }
    }
}

impl Downstream for Client {
    fn on_bytes_available(&self) {
        self.wake.notify_one();
    }

    fn has_disconnected(&self) -> bool {
        peer_has_closed(&self.stream)
    }
}

impl ClientHandle for Client {
    fn send(&self, response: Response, upstream: Option<Rc<Upstream>>) -> usize {
        let queued = !self.outgoing.borrow().is_empty();
        let counted_size = response.size();
        if let (Response::Streamed { .. }, None) = (&response, &upstream) {
            // The upstream has been closed: only a close tells the client.
            self.abort();
            return 0;
        }
        let mut outgoing = self.outgoing.borrow_mut();
        outgoing.push_back(Outgoing::Bytes {
            bytes: response::encode(response),
            counted_size,
        });
        if let Some(upstream) = upstream {
            outgoing.push_back(Outgoing::Streamed(upstream));
            outgoing.push_back(Outgoing::Bytes {
                bytes: b"\r\n".to_vec(),
                counted_size: 0,
            });
        }
        drop(outgoing);
        // The task may have to write the rest, read on, or close.
        self.wake.notify_one();
        if queued || self.holds_responses() {
            0
        } else {
            self.flush(WriteMode::AtOnce)
        }
    }

    fn close_after_quiet(&self, quiet: Span) {
        let quiet = if self.draining.get() {
            Span::ZERO
        } else {
            quiet
        };
        self.close_after_quiet.set(Some(quiet));
        self.wake.notify_one();
    }

    fn drain(&self) {
        self.draining.set(true);
        self.close_after_quiet(Span::ZERO);
    }

    fn has_ended(&self) -> bool {
        self.sending_ended.get()
    }

    fn abort(&self) {
        self.aborted.set(true);
        self.wake.notify_one();
    }
}
