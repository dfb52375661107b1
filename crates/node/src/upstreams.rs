//! Connections to servers: one attempt at a time on each, so that none waits behind a slow one. A value too large to
//! be kept is passed on from the upstream's buffer to the client's socket as it comes, and read no faster than taken.
use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use quartzhub_policy::{Outcome, Span};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::buffer::{quiet, Buffer};
use crate::caches::{self, Answer};
use crate::clients::Client;
use crate::clock::duration;
use crate::effects::Hub;
use crate::http::{self, Body, Head};
use crate::limits::Limits;
use crate::origin;
use crate::reducer::Reducer;
use crate::resp::Parsed;
use crate::system::uninterrupted;
use crate::words::{UpstreamId, Words};

/// Bytes of a value that is copied behind its command, to go out in one write.
const SMALL: usize = 4096;

pub struct Upstream {
    id: UpstreamId,
    to: SocketAddr,
    origin: bool,
    stream: OnceCell<TcpStream>,
    /// A command until it is written, then its reply.
    buffer: RefCell<Buffer>,
    /// The value that goes behind the command, how much of it is written, and what ends it.
    body: RefCell<Option<(Bytes, usize)>>,
    /// Bytes of a value being passed on that its client has still to take, and which client that is.
    left: Cell<usize>,
    taker: RefCell<Option<Rc<Client>>>,
    passing: Cell<bool>,
    /// A large value is held until it is whole, as other commands of its client are open behind it.
    holds_whole: Cell<bool>,
    /// Whose attempt it carries, until that is written whole.
    asker: RefCell<Option<Rc<Client>>>,
    /// The server keeps the connection behind what is passed on.
    kept: Cell<bool>,
    /// What has come of a body whose length nobody tells; and what that takes of what all may hold.
    gathered: RefCell<Option<(Head, Vec<u8>)>>,
    taken: Cell<usize>,
    spoilt: Cell<bool>,
    writing: Cell<bool>,
    /// It carries an attempt whose answer is still to come.
    asked: Cell<bool>,
    closed: Cell<bool>,
    wake: Notify,
}

/// What became of an attempt that was to be written.
#[derive(Debug, PartialEq, Eq)]
pub enum Written {
    Whole,
    /// The rest goes once the socket takes it.
    Part,
    /// Nobody waits for it any more; no more of it is written.
    Unwanted,
    /// The connection is of no use.
    Broken,
}

impl Upstream {
    pub fn new(id: UpstreamId, to: SocketAddr, origin: bool) -> Rc<Upstream> {
        Rc::new(Upstream {
            id,
            to,
            origin,
            stream: OnceCell::new(),
            buffer: RefCell::default(),
            body: RefCell::default(),
            left: Cell::new(0),
            taker: RefCell::default(),
            passing: Cell::new(false),
            holds_whole: Cell::new(false),
            asker: RefCell::default(),
            kept: Cell::new(false),
            gathered: RefCell::default(),
            taken: Cell::new(0),
            spoilt: Cell::new(false),
            writing: Cell::new(false),
            asked: Cell::new(false),
            closed: Cell::new(false),
            wake: Notify::new(),
        })
    }

    /// Ends an attempt that is out at once, and has the task close the connection. Guards against a next attempt that is
    /// written before the task has had its turn: the two would be out together.
    pub fn close(&self) {
        self.closed.set(true);
        if let Some(stream) = self.stream.get().filter(|_| self.asked.get()) {
            let _ = socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write);
        }
        // The client holds this upstream in turn.
        self.taker.take();
        self.asker.take();
        self.wake.notify_one();
    }

    /// Writes as much of an attempt of this client's as the socket takes.
    pub fn write(&self, words: &Words, wait: Span, asker: Rc<Client>) -> Written {
        {
            let mut buffer = self.buffer.borrow_mut();
            // Guards against taking what came unasked for the answer, and against a write that a server
            // which has closed an idle upstream never reads: the end may be there before tokio tells of it.
            if !buffer.is_empty() || !self.stream.get().is_some_and(quiet) {
                return Written::Broken;
            }
            match self.origin {
                true => buffer.put(&origin::request(words, self.to, wait)),
                false => buffer.put(&caches::command(words, wait)),
            }
            *self.body.borrow_mut() = words.value.clone().map(|value| (value, 0));
            self.asked.set(true);
            *self.gathered.borrow_mut() = None;
        }
        *self.asker.borrow_mut() = Some(asker);
        let written = self.write_more();
        if written == Written::Part {
            self.wake.notify_one();
        }
        written
    }

    /// Writes on, unless the client has left by now.
    fn write_more(&self) -> Written {
        if self.asker.borrow().as_ref().is_some_and(|asker| asker.has_ended()) {
            return Written::Unwanted;
        }
        match self.flush() {
            Ok(true) => {
                self.asker.take();
                Written::Whole
            }
            Ok(false) => Written::Part,
            Err(_) => Written::Broken,
        }
    }

    /// Writes on; true once all is written. What is small goes in one piece.
    fn flush(&self) -> io::Result<bool> {
        let mut buffer = self.buffer.borrow_mut();
        let Some(stream) = self.stream.get() else { return Ok(false) };
        let mut body = self.body.borrow_mut();
        let end = if self.origin { &b""[..] } else { caches::END };
        if let Some((value, _)) = body.take_if(|(value, sent)| *sent == 0 && value.len() <= SMALL) {
            buffer.put(&value);
            buffer.put(end);
        }
        buffer.write(stream)?;
        while let Some((value, sent)) = body.as_mut().filter(|_| buffer.is_empty()) {
            match uninterrupted(|| stream.try_write(&value[*sent..])) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => *sent += count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
            if *sent == value.len() {
                *body = None;
                buffer.put(end);
                buffer.write(stream)?;
            }
        }
        let done = buffer.is_empty() && body.is_none();
        self.writing.set(!done);
        Ok(done)
    }

    /// Where a value too large to be kept begins, and its size, if that is what comes.
    fn large(&self, limits: &Limits) -> Option<(usize, usize)> {
        let buffer = self.buffer.borrow();
        match self.origin {
            true => origin::large(buffer.filled(), limits),
            false => caches::large(buffer.filled(), limits),
        }
    }

    /// Begins to pass on a value too large to be kept, if that is what has come; tells its size. Unless its client waits for it
    /// `alone` it is begun once it is whole: one that broke off would end the connection on the commands behind it.
    fn begins_to_pass(&self, limits: &Limits, alone: impl Fn() -> bool) -> Option<usize> {
        let (from, size) = self.large(limits)?;
        let mut buffer = self.buffer.borrow_mut();
        let bytes = buffer.filled();
        // Some of it is there, not only what announces it.
        if bytes.len() == from {
            return None;
        }
        let end = if self.origin { 0 } else { caches::END.len() };
        let whole = bytes.len() >= from + size + end;
        self.holds_whole.set(!alone());
        if self.holds_whole.get() && !whole {
            return None;
        }
        let keep = !self.origin || matches!(http::head(bytes, limits), Parsed::Whole(head, _) if head.keep);
        buffer.consume(from);
        self.kept.set(keep);
        self.left.set(size);
        self.passing.set(true);
        self.spoilt.set(false);
        Some(size)
    }

    /// Takes up what has come of a body whose length nobody tells, and gives the answer once it is whole. The client
    /// must be told the length first, so all of it is held, within what all may hold.
    fn gather(&self, hub: &Hub, ended: bool) -> Parsed<Answer> {
        let limits = &hub.limits;
        let (mut gathered, mut buffer) = (self.gathered.borrow_mut(), self.buffer.borrow_mut());
        if gathered.is_none() && self.origin {
            if let Parsed::Whole(head, used) = http::head(buffer.filled(), limits) {
                if head.status == 200 && matches!(head.body, Body::Chunked | Body::ToTheEnd) {
                    buffer.consume(used);
                    *gathered = Some((head, Vec::new()));
                }
            }
        }
        let Some((head, body)) = gathered.as_mut() else { return Parsed::Part };
        let mut whole = false;
        loop {
            let (bytes, left) = (buffer.filled(), limits.value - body.len());
            let (part, used) = match head.body {
                Body::Chunked => match http::chunk(bytes, left, limits) {
                    Parsed::Whole(part, used) => (part, used),
                    Parsed::Part => break,
                    Parsed::Broken => return Parsed::Broken,
                },
                _ if bytes.len() > left => return Parsed::Broken,
                _ => (bytes, bytes.len()),
            };
            whole = part.is_empty() && (head.body == Body::Chunked || ended);
            if part.is_empty() {
                break;
            }
            body.extend_from_slice(part);
            buffer.consume(used);
        }
        if !self.takes(hub, body.capacity() + buffer.room()) {
            tracing::warn!("no room for an answer of {}", self.to);
            return Parsed::Broken;
        }
        if !whole {
            return Parsed::Part;
        }
        if let Parsed::Whole(_, used) = http::chunk(buffer.filled(), 0, limits) {
            buffer.consume(used);
        }
        let reusable = head.keep && !ended && buffer.is_empty();
        let value = Some(std::mem::take(body));
        *gathered = None;
        self.asked.set(false);
        buffer.clear();
        buffer.shrink(limits.buffer_kept);
        Parsed::Whole(Answer { outcome: Outcome::Fulfilled, value, reusable }, 0)
    }

    /// Counts what a large answer takes of what all may hold; false if it does not fit.
    fn takes(&self, hub: &Hub, bytes: usize) -> bool {
        let bytes = if bytes > 2 * hub.limits.whole { bytes } else { 0 };
        let others = hub.buffered.get() - self.taken.get();
        let fits = bytes == 0 || others + bytes + hub.ask(Reducer::held) <= hub.limits.held;
        let bytes = if fits { bytes } else { 0 };
        hub.buffered.set(others + bytes);
        if bytes < self.taken.replace(bytes) {
            hub.room.notify_waiters();
        }
        fits
    }

    /// The client that takes what is passed on.
    pub fn passes_to(&self, client: Rc<Client>) {
        *self.taker.borrow_mut() = Some(client);
    }

    /// How much there is for the client. Guards against passing a spoilt value on as a whole one: its last byte goes
    /// once what stands behind it has been seen to be its end.
    pub fn ready(&self) -> usize {
        let buffer = self.buffer.borrow();
        let (bytes, left) = (buffer.filled(), self.left.get());
        let end = if self.origin { &b""[..] } else { caches::END };
        if bytes.len() >= left + end.len() {
            self.spoilt.set(left > 0 && !bytes[left..].starts_with(end));
            return if self.spoilt.get() { 0 } else { left };
        }
        bytes.len().min(left.saturating_sub(1))
    }

    /// Writes what there is to the client's socket; true once the value is whole there.
    pub fn pass(&self, to: &TcpStream) -> io::Result<bool> {
        let mut taken = false;
        loop {
            let ready = self.ready();
            if ready == 0 {
                break;
            }
            let mut buffer = self.buffer.borrow_mut();
            match uninterrupted(|| to.try_write(&buffer.filled()[..ready])) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => {
                    buffer.consume(count);
                    self.left.set(self.left.get() - count);
                    taken = true;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e),
            }
        }
        if taken || self.spoilt.get() {
            // There is room to read on, or the end of it.
            self.wake.notify_one();
        }
        Ok(self.left.get() == 0)
    }

    /// Reads; false at the end.
    fn read(&self, stream: &TcpStream, limits: &Limits) -> io::Result<bool> {
        let mut buffer = self.buffer.borrow_mut();
        match buffer.read(stream, limits.read) {
            Ok(0) => Ok(false),
            Ok(_)
                if self.gathered.borrow().is_some()
                    && buffer.filled().len() <= limits.value + limits.reply() =>
            {
                Ok(true)
            }
            Ok(_) if self.holds_whole.get() && buffer.filled().len() <= limits.value + limits.reply() => {
                Ok(true)
            }
            Ok(_) if !self.passing.get() && buffer.filled().len() > limits.reply() => {
                Err(io::ErrorKind::InvalidData.into())
            }
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
            true => origin::answer(buffer.filled(), ended, limits),
            false => caches::answer(buffer.filled(), limits),
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
pub async fn run(hub: Rc<Hub>, upstream: Rc<Upstream>) {
    converse(hub.clone(), upstream.clone()).await;
    upstream.takes(&hub, 0);
}

async fn converse(hub: Rc<Hub>, upstream: Rc<Upstream>) {
    let to = upstream.to;
    let longest = hub.ask(|reducer| reducer.limits().connect);
    let connect = tokio::time::timeout(duration(longest), TcpStream::connect(to));
    let connected = tokio::select! {
        connected = connect => connected,
        () = upstream.wake.notified() => return,
    };
    match connected {
        Ok(Ok(stream)) if !upstream.closed.get() => {
            // Without it an answer may come later; nothing else hangs on it.
            let _ = stream.set_nodelay(true);
            let _ = upstream.stream.set(stream);
            hub.tell(|reducer, now| reducer.connected(now, upstream.id));
        }
        failed => {
            let own = match failed {
                Ok(Err(e)) => {
                    tracing::warn!("no connection to {to}: {e}");
                    !is_the_servers(&e)
                }
                _ => false,
            };
            if own {
                hub.tell(|reducer, now| reducer.not_opened(now, upstream.id));
            } else {
                hub.tell(|reducer, now| reducer.broke(now, upstream.id));
            }
            return hub.close_upstream(upstream.id);
        }
    }
    let Some(stream) = upstream.stream.get() else { return };
    while !upstream.closed.get() {
        if upstream.passing.get() {
            match pass_on(&hub, &upstream, stream).await {
                true => continue,
                false => {
                    hub.tell(|reducer, now| reducer.broke(now, upstream.id));
                    return hub.close_upstream(upstream.id);
                }
            }
        }
        let goes_on = tokio::select! {
            ready = stream.writable(), if upstream.writing.get() => ready.is_ok() && write_on(&hub, &upstream),
            ready = stream.readable(), if !upstream.writing.get() => ready.is_ok() && read_on(&hub, &upstream, stream),
            () = upstream.wake.notified() => true,
        };
        if !goes_on {
            hub.tell(|reducer, now| reducer.broke(now, upstream.id));
            return hub.close_upstream(upstream.id);
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

/// Reads a value as fast as its client takes it, until it is whole there; false if it never will be. Guards against a
/// server that stands still in the middle; a client that does is closed by its own task.
async fn pass_on(hub: &Rc<Hub>, upstream: &Upstream, stream: &TcpStream) -> bool {
    let mut ended = false;
    while !upstream.closed.get() {
        if upstream.left.get() == 0 {
            let whole = upstream
                .buffer
                .borrow()
                .filled()
                .strip_prefix(caches::END)
                .is_some_and(|rest| caches::rest(rest, &hub.limits));
            let clean = if upstream.origin { upstream.buffer.borrow().is_empty() } else { whole };
            upstream.buffer.borrow_mut().clear();
            upstream.buffer.borrow_mut().shrink(hub.limits.buffer_kept);
            let taker = upstream.taker.take();
            upstream.asked.set(false);
            upstream.passing.set(false);
            upstream.holds_whole.set(false);
            upstream.takes(hub, 0);
            let reusable = clean && !ended && upstream.kept.get();
            hub.tell(|reducer, now| reducer.passed(now, upstream.id, reusable));
            // What came behind the value may be read now.
            if let Some(client) = taker {
                client.more();
            }
            return true;
        }
        let missing = upstream.buffer.borrow().filled().len()
            < upstream.left.get() + if upstream.origin { 0 } else { caches::END.len() };
        if upstream.spoilt.get() || ended && missing {
            tracing::warn!("a value of {} has no good end", upstream.to);
            return false;
        }
        let room = !ended && upstream.buffer.borrow().filled().len() < hub.limits.window;
        let still = tokio::time::sleep(duration(hub.limits.stands_still));
        tokio::select! {
            ready = stream.readable(), if room => {
                ended = ready.is_err() || !matches!(upstream.read(stream, &hub.limits), Ok(true));
                if let Some(client) = upstream.taker.borrow().as_ref() {
                    client.more();
                }
            }
            () = upstream.wake.notified() => {}
            () = still, if room => {
                tracing::warn!("{} stands still in the middle of a value", upstream.to);
                return false;
            }
        }
    }
    true
}

fn write_on(hub: &Rc<Hub>, upstream: &Upstream) -> bool {
    match upstream.write_more() {
        Written::Whole => hub.tell(|reducer, _| reducer.written(upstream.id)),
        Written::Part => {}
        Written::Unwanted => hub.tell(|reducer, now| reducer.unwanted(now, upstream.id)),
        Written::Broken => return false,
    }
    true
}

fn read_on(hub: &Rc<Hub>, upstream: &Upstream, stream: &TcpStream) -> bool {
    let read = upstream.read(stream, &hub.limits);
    let ended = !matches!(read, Ok(true));
    // Guards against what comes unasked being taken for the answer to the next attempt.
    if !upstream.asked.get() && !upstream.buffer.borrow().is_empty() {
        return false;
    }
    let begun = upstream.begins_to_pass(&hub.limits, || hub.ask(|reducer| reducer.is_alone(upstream.id)));
    if upstream.holds_whole.get() && !upstream.takes(hub, upstream.buffer.borrow().room()) {
        tracing::warn!("no room to hold an answer of {}", upstream.to);
        hub.tell(|reducer, now| reducer.spoilt(now, upstream.id));
        return false;
    }
    if let Some(size) = begun {
        hub.tell(|reducer, now| reducer.passes(now, upstream.id, size));
        // An end that has come already is met again by the next read.
        return true;
    }
    let over = matches!(read, Ok(false));
    let answer = match upstream.gather(hub, over) {
        // Guards against taking for spoilt what only announces a large value: its head may come by itself.
        Parsed::Part if !over && upstream.large(&hub.limits).is_some() => Parsed::Part,
        Parsed::Part if upstream.gathered.borrow().is_some() => Parsed::Part,
        Parsed::Part => upstream.parsed(over, &hub.limits),
        gathered => {
            upstream.takes(hub, 0);
            gathered
        }
    };
    match answer {
        Parsed::Whole(mut answer, _) => {
            // Guards against a next attempt on an upstream that the server has closed behind its answer.
            answer.reusable &= !ended;
            hub.tell(|reducer, now| reducer.answered(now, upstream.id, answer));
        }
        Parsed::Part => {
            if !upstream.buffer.borrow().is_empty() || upstream.gathered.borrow().is_some() {
                hub.tell(|reducer, now| reducer.began(now, upstream.id));
            }
        }
        Parsed::Broken => {
            tracing::warn!("an answer of {} can't be read", upstream.to);
            hub.tell(|reducer, now| reducer.spoilt(now, upstream.id));
        }
    }
    !ended
}
