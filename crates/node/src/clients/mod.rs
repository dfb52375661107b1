//! Clients' connections: reads commands and writes responses in the same order.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;

use quartzhub_policy::{Span, Time};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::buffer::{readable, Readable};
use crate::effects::ClientHandle;
use crate::messages::Response;
use crate::system::{peer_has_closed, retry_interrupted, unsent_bytes};
use crate::upstreams::{Downstream, Upstream};

mod accept;
mod admission;
mod arrival_times;
mod attributes;
mod closing;
mod commands;
mod connection;
mod delivery;
mod outstanding;
mod partial_commands;
mod reading;
mod response;

pub use accept::{listen, Acceptor};
pub use partial_commands::PartialCommands;

/// One item of a client's output queue.
enum Outgoing {
    Bytes {
        bytes: Vec<u8>,
        /// Size in bytes that the reducer has counted for it as buffered.
        counted_size: usize,
    },
    /// A value that is streamed from this upstream.
    Streamed(Rc<Upstream>),
}

/// How much of the first outgoing item has been written to the socket.
enum WriteProgress {
    Complete,
    Partial,
    /// All bytes of a value that the upstream has received so far.
    AwaitsUpstream,
}

/// Whether the FIN is about to follow the bytes that are written.
#[derive(Clone, Copy, PartialEq)]
enum WriteMode {
    Immediate,
    /// The kernel holds the bytes back (`MSG_MORE`) until the FIN follows, and sends both together.
    /// Otherwise, if the process stalled between the two, the client would send its next command.
    WithFin,
}

/// The sending half of a client's connection, with the state that decides how it is closed.
pub struct Client {
    stream: TcpStream,
    /// Items that are not completely written to the socket yet.
    outgoing: RefCell<VecDeque<Outgoing>>,
    /// Bytes of the first outgoing item that have been written.
    front_written: Cell<usize>,
    /// If set, the connection is closed once the client has sent nothing for this duration.
    close_after_quiet_period: Cell<Option<Span>>,
    /// Whether the client is being drained as the process is about to exit: commands that have
    /// already arrived are still taken, later ones are not.
    draining: Cell<bool>,
    /// Whether bytes of a command that has not been taken yet are in the connection's buffer.
    has_buffered_input: Cell<bool>,
    /// Whether an incomplete command is to be evicted, as others need its memory.
    eviction_requested: Cell<bool>,
    aborted: Cell<bool>,
    /// Whether the sending side has been shut down.
    write_closed: Cell<bool>,
    /// Start of the pause in accepting, if there was one: the client may have waited in the listen
    /// queue since then.
    accept_paused_since: Option<Time>,
    wake: Notify,
}

impl Client {
    fn new(stream: TcpStream, accept_paused_since: Option<Time>) -> Client {
        Client {
            stream,
            outgoing: RefCell::default(),
            front_written: Cell::new(0),
            close_after_quiet_period: Cell::new(None),
            draining: Cell::new(false),
            has_buffered_input: Cell::new(false),
            eviction_requested: Cell::new(false),
            aborted: Cell::new(false),
            write_closed: Cell::new(false),
            accept_paused_since,
            wake: Notify::new(),
        }
    }

    /// Waits until the client has closed its side, even if unread bytes precede its FIN.
    async fn disconnected(&self) {
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// Whether the runtime has already seen that the client has closed its side.
    async fn disconnect_reported(&self) -> bool {
        tokio::select! {
            biased;
            () = self.disconnected() => true,
            () = std::future::ready(()) => false,
        }
    }

    /// Whether there are bytes that could be written to the socket now.
    fn has_writable_bytes(&self) -> bool {
        match self.outgoing.borrow().front() {
            Some(Outgoing::Bytes { .. }) => true,
            Some(Outgoing::Streamed(upstream)) => upstream.streamable_bytes() > 0,
            None => false,
        }
    }

    /// Number of items that are not completely written.
    fn unwritten(&self) -> usize {
        self.outgoing.borrow().len()
    }

    /// Bytes that the system holds as the client has no room for them.
    fn unsent_bytes(&self) -> usize {
        unsent_bytes(&self.stream)
    }

    /// Whether a streamed value is among the unwritten items.
    fn has_streamed_item(&self) -> bool {
        let is_streamed = |item: &Outgoing| matches!(item, Outgoing::Streamed(_));
        self.outgoing.borrow().iter().any(is_streamed)
    }

    /// Whether responses are deferred until the connection is closed, which happens as soon as no
    /// call awaits a response. Written at once, each response would trigger the next command of a
    /// client that sends commands back to back, and its connection could never be closed.
    fn defers_responses(&self) -> bool {
        self.close_after_quiet_period.get() == Some(Span::ZERO)
    }

    /// Shuts down the sending side: the client reads end-of-file after its last response.
    fn shutdown_write(&self) {
        let socket = socket2::SockRef::from(&self.stream);
        if socket.shutdown(Shutdown::Write).is_err() {
            self.aborted.set(true);
        }
        self.write_closed.set(true);
    }

    /// Writes as much as the socket accepts. Returns the counted size of the responses that are now
    /// completely written.
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
                    self.front_written.set(0);
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
        let unwritten = &bytes[self.front_written.get()..];
        let count = retry_interrupted(|| self.write_bytes(unwritten, mode))?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        self.front_written.set(self.front_written.get() + count);
        Ok(if count == unwritten.len() {
            WriteProgress::Complete
        } else {
            WriteProgress::Partial
        })
    }

    fn write_bytes(&self, bytes: &[u8], mode: WriteMode) -> io::Result<usize> {
        match mode {
            WriteMode::Immediate => self.stream.try_write(bytes),
            WriteMode::WithFin => self.stream.try_io(Interest::WRITABLE, || {
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

    fn has_untaken_input(&self) -> bool {
        self.has_buffered_input.get() || readable(&self.stream) == Readable::Bytes
    }
}

impl ClientHandle for Client {
    fn send(&self, response: Response, upstream: Option<Rc<Upstream>>) -> usize {
        let queued = !self.outgoing.borrow().is_empty();
        let counted_size = response.size();
        if let (Response::Streamed { .. }, None) = (&response, &upstream) {
            // The upstream has been closed: only an abort can tell the client.
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
        // The connection's task may have to write the rest, read more, or close.
        self.wake.notify_one();
        if queued || self.defers_responses() {
            0
        } else {
            self.flush(WriteMode::Immediate)
        }
    }

    fn close_after_quiet_period(&self, quiet_period: Span) {
        let quiet_period = if self.draining.get() {
            Span::ZERO
        } else {
            quiet_period
        };
        self.close_after_quiet_period.set(Some(quiet_period));
        self.wake.notify_one();
    }

    fn drain(&self) {
        self.draining.set(true);
        self.close_after_quiet_period(Span::ZERO);
    }

    fn request_eviction(&self) {
        self.eviction_requested.set(true);
        self.wake.notify_one();
    }

    fn is_write_closed(&self) -> bool {
        self.write_closed.get()
    }

    fn abort(&self) {
        self.aborted.set(true);
        self.wake.notify_one();
    }
}
