//! Clients' connections: reads commands and writes responses in the same order.
use std::cell::{Cell, RefCell};
use std::net::Shutdown;
use std::rc::Rc;

use quartzhub_policy::{Span, Time};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::buffer::{readable, Readable};
use crate::client_handle::ClientHandle;
use crate::messages::Response;
use crate::system::{peer_has_closed, unsent_bytes};
use crate::upstreams::{Downstream, Upstream};

mod accept;
mod admission;
mod arrival_times;
mod attributes;
mod closing;
mod commands;
mod connection;
mod delivery;
mod output_queue;
mod outstanding;
mod partial_commands;
mod reading;
mod response;

pub use accept::{listen, Acceptor};
use output_queue::{BrokenValue, OutputQueue, WriteMode};
pub use partial_commands::PartialCommands;

/// The sending half of a client's connection, with the state that decides how it is closed.
pub struct Client {
    stream: TcpStream,
    outgoing: RefCell<OutputQueue>,
    /// If set, the connection is closed once the client has sent nothing for this duration.
    close_after_quiet_period: Cell<Option<Span>>,
    /// Whether the client is being drained as the process is about to exit: commands that have
    /// already arrived are still taken, later ones are not.
    draining: Cell<bool>,
    /// Whether bytes of a command that has not been taken yet are in the connection's buffer.
    has_buffered_input: Cell<bool>,
    /// Whether an incomplete command is to be evicted, as others need its memory.
    eviction_requested: Cell<bool>,
    /// Whether a part of a value has been written whose rest can't be had: nothing may follow it.
    value_is_cut: Cell<bool>,
    /// Whether the connection is broken, so that nothing can be written any more.
    broken: Cell<bool>,
    /// Whether the sending side has been shut down.
    write_closed: Cell<bool>,
    /// Whether the connection is to be closed without waiting for more late input.
    linger_ended: Cell<bool>,
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
            close_after_quiet_period: Cell::new(None),
            draining: Cell::new(false),
            has_buffered_input: Cell::new(false),
            eviction_requested: Cell::new(false),
            value_is_cut: Cell::new(false),
            broken: Cell::new(false),
            write_closed: Cell::new(false),
            linger_ended: Cell::new(false),
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
        self.outgoing.borrow().has_writable_bytes()
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
    fn has_streamed_value(&self) -> bool {
        self.outgoing.borrow().has_streamed_value()
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
            self.broken.set(true);
        }
        self.write_closed.set(true);
    }

    /// Writes as much as the socket accepts. Returns the counted size of the responses that are now
    /// completely written.
    fn flush(&self, mode: WriteMode) -> usize {
        let written = self.outgoing.borrow_mut().write(&self.stream, mode);
        written.unwrap_or_else(|_| {
            self.broken.set(true);
            0
        })
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
        if self.value_is_cut.get() {
            // The client would take it for the rest of the value.
            return response.size();
        }
        let queued = !self.outgoing.borrow().is_empty();
        let response = match (response, &upstream) {
            // The upstream has been closed.
            (Response::Streamed { .. }, None) => Response::BROKEN_VALUE,
            (response, _) => response,
        };
        self.outgoing.borrow_mut().push(response, upstream);
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

    fn end_linger(&self) {
        self.linger_ended.set(true);
        self.wake.notify_one();
    }

    fn is_write_closed(&self) -> bool {
        self.write_closed.get()
    }

    fn break_off_value(&self) -> bool {
        let broken_value = self
            .outgoing
            .borrow_mut()
            .break_off_value(Response::BROKEN_VALUE);
        let is_cut = broken_value == BrokenValue::Cut;
        if is_cut {
            self.value_is_cut.set(true);
            self.close_after_quiet_period.set(Some(Span::ZERO));
        }
        self.wake.notify_one();
        is_cut
    }
}
