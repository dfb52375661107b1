//! Connections to servers: one shot at a time on each, so that none waits behind a slow one.
use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use quartzhub_policy::Span;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::buffer::{quiet, Buffer};
use crate::caches::Answer;
use crate::clock::duration;
use crate::effects::Hub;
use crate::limits::Limits;
use crate::reducer::{LinkId, Words};
use crate::resp::Parsed;

pub struct Link {
    id: LinkId,
    to: SocketAddr,
    origin: bool,
    stream: OnceCell<TcpStream>,
    /// A command until it is written, then its reply.
    buffer: RefCell<Buffer>,
    writing: Cell<bool>,
    /// It carries a shot whose answer is still to come, or has begun to.
    asked: Cell<bool>,
    begun: Cell<bool>,
    closed: Cell<bool>,
    wake: Notify,
}

impl Link {
    pub fn new(id: LinkId, to: SocketAddr, origin: bool) -> Rc<Link> {
        Rc::new(Link {
            id,
            to,
            origin,
            stream: OnceCell::new(),
            buffer: RefCell::default(),
            writing: Cell::new(false),
            asked: Cell::new(false),
            begun: Cell::new(false),
            closed: Cell::new(false),
            wake: Notify::new(),
        })
    }

    pub fn close(&self) {
        self.closed.set(true);
        self.wake.notify_one();
    }

    /// Writes as much of a shot as the socket takes: true if all, none if the connection is broken.
    pub fn write(&self, words: &Words, wait: Span) -> Option<bool> {
        {
            let mut buffer = self.buffer.borrow_mut();
            // Guards against taking what came unasked for the answer, and against a write that a server
            // which has closed an idle link never reads: the end may be there before tokio tells of it.
            if !buffer.is_empty() || !self.stream.get().is_some_and(quiet) {
                return None;
            }
            match self.origin {
                true => buffer.put(&crate::origin::request(words, self.to)),
                false => buffer.put(&crate::caches::command(words, wait)),
            }
            self.asked.set(true);
            self.begun.set(false);
        }
        let done = self.flush().ok()?;
        if !done {
            self.wake.notify_one();
        }
        Some(done)
    }

    fn flush(&self) -> io::Result<bool> {
        let mut buffer = self.buffer.borrow_mut();
        if let Some(stream) = self.stream.get() {
            buffer.write(stream)?;
        }
        self.writing.set(!buffer.is_empty());
        Ok(buffer.is_empty())
    }

    /// Reads; false at the end.
    fn read(&self, stream: &TcpStream, limits: &Limits) -> io::Result<bool> {
        let mut buffer = self.buffer.borrow_mut();
        match buffer.read(stream, limits.read) {
            Ok(0) => Ok(false),
            Ok(_) if buffer.filled().len() > limits.reply() => Err(io::ErrorKind::InvalidData.into()),
            Ok(_) => Ok(true),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(true),
            Err(e) => Err(e),
        }
    }

    /// The answer, once it is whole.
    fn parsed(&self, ended: bool, limits: &Limits) -> Parsed<Answer> {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.is_empty() {
            return Parsed::Part;
        }
        let parsed = match self.origin {
            true => crate::origin::answer(buffer.filled(), ended, limits),
            false => crate::caches::answer(buffer.filled(), limits),
        };
        if let Parsed::Whole(_, used) = &parsed {
            self.asked.set(false);
            buffer.consume(*used);
            buffer.shrink(limits.buffer_kept);
        }
        parsed
    }
}

/// Connects, then reads and writes until the connection ends or is closed.
pub async fn run(hub: Rc<Hub>, link: Rc<Link>) {
    let to = link.to;
    let longest = hub.ask(|reducer| reducer.limits().connect);
    let connect = tokio::time::timeout(duration(longest), TcpStream::connect(to));
    let connected = tokio::select! {
        connected = connect => connected,
        () = link.wake.notified() => return,
    };
    match connected {
        Ok(Ok(stream)) if !link.closed.get() => {
            // Without it an answer may come later; nothing else hangs on it.
            let _ = stream.set_nodelay(true);
            let _ = link.stream.set(stream);
            hub.tell(|reducer, now| reducer.connected(now, link.id));
        }
        failed => {
            let own = match failed {
                Ok(Err(e)) => {
                    crate::log!("no connection to {to}: {e}");
                    !is_the_servers(&e)
                }
                _ => false,
            };
            if own {
                hub.tell(|reducer, now| reducer.not_opened(now, link.id));
            } else {
                hub.tell(|reducer, now| reducer.broke(now, link.id));
            }
            return hub.close_link(link.id);
        }
    }
    let Some(stream) = link.stream.get() else { return };
    while !link.closed.get() {
        let goes_on = tokio::select! {
            ready = stream.writable(), if link.writing.get() => ready.is_ok() && write_on(&hub, &link),
            ready = stream.readable(), if !link.writing.get() => ready.is_ok() && read_on(&hub, &link, stream),
            () = link.wake.notified() => true,
        };
        if !goes_on {
            hub.tell(|reducer, now| reducer.broke(now, link.id));
            return hub.close_link(link.id);
        }
    }
}

/// Whether a connect that failed tells of the server, and not of this machine's want of descriptors, ports or
/// memory.
fn is_the_servers(e: &io::Error) -> bool {
    use io::ErrorKind::*;
    let kinds = [ConnectionRefused, ConnectionReset, ConnectionAborted, TimedOut, HostUnreachable];
    kinds.contains(&e.kind()) || e.kind() == NetworkUnreachable
}

fn write_on(hub: &Rc<Hub>, link: &Link) -> bool {
    match link.flush() {
        Ok(true) => hub.tell(|reducer, _| reducer.written(link.id)),
        Ok(false) => {}
        Err(_) => return false,
    }
    true
}

fn read_on(hub: &Rc<Hub>, link: &Link, stream: &TcpStream) -> bool {
    let read = link.read(stream, &hub.limits);
    let ended = !matches!(read, Ok(true));
    // Guards against what comes unasked being taken for the answer to the next shot.
    if !link.asked.get() && !link.buffer.borrow().is_empty() {
        return false;
    }
    match link.parsed(matches!(read, Ok(false)), &hub.limits) {
        Parsed::Whole(mut answer, _) => {
            // Guards against a next shot on a link that the server has closed behind its answer.
            answer.reusable &= !ended;
            hub.tell(|reducer, now| reducer.answered(now, link.id, answer));
        }
        Parsed::Part => {
            if !link.buffer.borrow().is_empty() && !link.begun.replace(true) {
                hub.tell(|reducer, now| reducer.began(now, link.id));
            }
        }
        Parsed::Broken => {
            crate::log!("an answer of {} can't be read", link.to);
            hub.tell(|reducer, now| reducer.spoilt(now, link.id));
        }
    }
    !ended
}
