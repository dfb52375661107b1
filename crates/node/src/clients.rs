//! Clients' connections: commands in, answers out in the same order.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use quartzhub_policy::{Span, Time};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use winnow::combinator::{opt, separated, separated_pair};
use winnow::prelude::*;
use winnow::token::take_while;

use crate::buffer::{quiet, Buffer};
use crate::clock::{duration, Clock};
use crate::effects::Hub;
use crate::limits::Limits;
use crate::links::Link;
use crate::reducer::Reducer;
use crate::resp::{self, put_bulk, Parsed};
use crate::words::{ClientId, Facts, Room, Said, Words};

/// What a client is still to be sent.
enum Out {
    /// With the size it is held under.
    Bytes(Vec<u8>, usize),
    /// What a link passes on.
    Value(Rc<Link>),
}

pub struct Client {
    stream: TcpStream,
    /// Answers that the socket has not taken yet, with the size they are held under; and how much of the first
    /// it has taken.
    out: RefCell<VecDeque<Out>>,
    sent: Cell<usize>,
    /// It is to be closed once nothing has come from it for so long.
    closing: Cell<Option<Span>>,
    broken: Cell<bool>,
    wake: Notify,
}

impl Client {
    /// Hands the socket an answer; tells the size of those that it has now taken whole.
    pub fn answer(&self, said: Said, from: Option<Rc<Link>>) -> usize {
        let behind = !self.out.borrow().is_empty();
        let size = said.size();
        if let (Said::Passed { .. }, None) = (&said, &from) {
            // What it came by is gone: only a close tells that.
            self.cut();
            return 0;
        }
        let mut out = self.out.borrow_mut();
        out.push_back(Out::Bytes(encoded(said), size));
        if let Some(link) = from {
            out.extend([Out::Value(link), Out::Bytes(b"\r\n".to_vec(), 0)]);
        }
        drop(out);
        // The task may have to write the rest, read on, or close.
        self.wake.notify_one();
        if behind {
            0
        } else {
            self.flush()
        }
    }

    /// Closes the connection once its answers are written and nothing has come for so long.
    pub fn close(&self, quiet: Span) {
        self.closing.set(Some(quiet));
        self.wake.notify_one();
    }

    /// Ends the connection now, so that the client can tell that an answer is not whole.
    pub fn cut(&self) {
        self.broken.set(true);
        self.wake.notify_one();
    }

    /// More of what a link passes on is at hand.
    pub fn more(&self) {
        self.wake.notify_one();
    }

    /// Whether there is something that the socket could take now.
    fn has_bytes(&self) -> bool {
        match self.out.borrow().front() {
            Some(Out::Bytes(..)) => true,
            Some(Out::Value(link)) => link.ready() > 0,
            None => false,
        }
    }

    /// How many answers the socket has not taken.
    pub fn unwritten(&self) -> usize {
        self.out.borrow().len()
    }

    fn flush(&self) -> usize {
        let mut out = self.out.borrow_mut();
        let mut taken = 0;
        while let Some(first) = out.front() {
            let written = match first {
                Out::Bytes(bytes, size) => self.stream.try_write(&bytes[self.sent.get()..]).map(|count| {
                    self.sent.set(self.sent.get() + count);
                    (count > 0, self.sent.get() == bytes.len(), *size)
                }),
                Out::Value(link) => link.pass(&self.stream).map(|whole| (true, whole, 0)),
            };
            match written {
                Ok((true, true, size)) => {
                    taken += size;
                    out.pop_front();
                    self.sent.set(0);
                }
                Ok((true, false, _)) if matches!(first, Out::Bytes(..)) => {}
                Ok((true, false, _)) => break,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                _ => {
                    self.broken.set(true);
                    break;
                }
            }
        }
        taken
    }
}

/// An answer as RESP has it.
fn encoded(said: Said) -> Vec<u8> {
    match said {
        Said::Fulfilled(value) => {
            let mut bytes = Vec::new();
            put_bulk(&mut bytes, &value);
            bytes
        }
        Said::Passed { size, .. } => format!("${size}\r\n").into_bytes(),
        Said::RateLimited(None) => b"-BUSY\r\n".to_vec(),
        Said::RateLimited(Some(wait)) => {
            format!("-BUSY {}\r\n", wait.as_ms().max(0.0).ceil() as u64).into_bytes()
        }
        Said::Errored(what) => format!("-ERR {what}\r\n").into_bytes(),
        Said::Plain(bytes) => bytes,
    }
}

/// Guards against a node that does not come back because the one before it, under the same address, is still
/// about to end.
pub async fn listen(on: SocketAddr, clock: Clock, limits: &Limits) -> io::Result<TcpListener> {
    let mut told = false;
    loop {
        match TcpListener::bind(on).await {
            Err(e)
                if e.kind() == io::ErrorKind::AddrInUse && clock.now() - Time(0) < limits.listen_longest =>
            {
                if !std::mem::replace(&mut told, true) {
                    tracing::info!("{on} is in use: waiting for it");
                }
                tokio::time::sleep(duration(limits.listen_pause)).await;
            }
            result => return result,
        }
    }
}

/// Takes connections while there is room for them.
pub async fn accept(hub: Rc<Hub>, listener: TcpListener, last: Rc<Cell<Time>>) {
    let mut taken = 0;
    loop {
        // Guards against spinning on an accept that can't succeed: with all descriptors taken, an idle
        // connection is closed, and the next client is taken when there is one.
        match hub.tell(|reducer, now| reducer.make_room(now)) {
            Room::Free => {}
            Room::Soon => {
                tokio::task::yield_now().await;
                continue;
            }
            Room::None => {
                tracing::info!("no descriptor is idle: the next client waits");
                let _ = tokio::time::timeout(duration(hub.limits.accept_pause), hub.left.notified()).await;
                continue;
            }
        }
        taken += 1;
        if taken % hub.limits.commands_a_turn == 0 {
            tokio::task::yield_now().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                last.set(hub.clock.now());
                let _ = stream.set_nodelay(true);
                let id = hub.tell(|reducer, now| reducer.client_came(now));
                let client = Rc::new(Client {
                    stream,
                    out: RefCell::default(),
                    sent: Cell::new(0),
                    closing: Cell::new(None),
                    broken: Cell::new(false),
                    wake: Notify::new(),
                });
                hub.clients.borrow_mut().insert(id, client.clone());
                tokio::task::spawn_local(serve(hub.clone(), id, client));
            }
            Err(e) => {
                tracing::warn!("accept: {e}");
                tokio::time::sleep(duration(hub.limits.accept_pause)).await;
            }
        }
    }
}

async fn serve(hub: Rc<Hub>, id: ClientId, client: Rc<Client>) {
    converse(&hub, id, &client).await;
    hub.drop_client(id);
    hub.tell(|reducer, now| reducer.client_left(now, id));
    drop(client);
    hub.left.notify_one();
}

async fn converse(hub: &Rc<Hub>, id: ClientId, client: &Client) {
    let limits = &hub.limits;
    let mut buffer = Buffer::default();
    let mut held = Held { hub, bytes: 0 };
    // Nothing more is read once a command was broken.
    let mut reading = true;
    // When it came; when it last said or took something; when the half command at hand began.
    let came = hub.clock.now();
    let (mut active, mut begun) = (came, None);
    // Bytes promised to a large command that is on its way, and since when it is.
    let (mut promised, mut since) = (0, None);
    loop {
        if client.broken.get() {
            return;
        }
        // What has come is taken up as far as the limits allow, also when an answer has made room.
        let mut taken = 0;
        while reading && taken < limits.commands_a_turn {
            // Guards also against a client that asks on and on and takes no answer.
            if hub.ask(|reducer| reducer.waiting(id)) + client.unwritten() >= limits.calls_per_client {
                break;
            }
            match take_command(hub, id, &mut buffer) {
                Taken::One => taken += 1,
                Taken::None => break,
                Taken::Last => reading = false,
            }
        }
        if taken > 0 {
            (promised, since) = (0, None);
        }
        held.set(buffer.room().max(promised));
        let waiting = hub.ask(|reducer| reducer.waiting(id));
        let (owed, writing) = (client.unwritten() > 0, client.has_bytes());
        if taken > 0 {
            (active, begun) = (hub.clock.now(), None);
        }
        // Guards against a flood of commands that keeps the one thread from all others.
        if taken == limits.commands_a_turn {
            tokio::task::yield_now().await;
            continue;
        }
        // Guards against closing on a command that has come already, read or not: it is answered first.
        if let Some(pause) = client.closing.get().filter(|_| !owed && waiting == 0) {
            if !reading {
                held.set(0);
                drop(buffer);
                return drain(hub, &client.stream).await;
            }
            // One that has sent half a command is given the time for the other half.
            let pause = if buffer.is_empty() { pause } else { limits.last_half };
            let unread = !quiet(&client.stream);
            let wait = duration(if unread { limits.last_read } else { pause });
            let wait = tokio::time::timeout(wait, client.stream.readable());
            let goes_on = (unread || pause > Span::ZERO) && wait.await.is_ok_and(|ready| ready.is_ok());
            if goes_on && matches!(read(&mut buffer, &client.stream, limits), Ok(true)) {
                continue;
            }
            return;
        }
        let due = if writing {
            active + limits.untaken_answer
        } else if waiting > 0 || owed {
            // A client that waits for an answer is not idle.
            hub.clock.now() + limits.client_wait
        } else if !hub.ask(|reducer| reducer.has_asked(id)) {
            // Guards against clients that say nothing, or too little at a time.
            let silent = came.max(active) + limits.client_silent;
            match buffer.is_empty() {
                true => silent,
                false => {
                    let half = *begun.get_or_insert(hub.clock.now()) + limits.half_command;
                    half.min(came.max(active) + limits.half_first).max(silent)
                }
            }
        } else if buffer.is_empty() {
            active + limits.client_idle
        } else {
            *begun.get_or_insert(hub.clock.now()) + limits.half_command
        };
        let behind = waiting + client.unwritten() >= limits.calls_per_client;
        let room = reading && !behind && client.closing.get().is_none();
        tokio::select! {
            ready = client.stream.readable(), if room => {
                if ready.is_err() || !matches!(read(&mut buffer, &client.stream, limits), Ok(true)) {
                    return;
                }
                // Guards against shots for a client that gave up while this process stood still: its end lies behind
                // its command, and is read before that is taken up.
                if hub.ask(|reducer| reducer.stood_still(hub.clock.now())) && has_ended(&mut buffer, &client.stream, limits) {
                    return;
                }
                held.set(buffer.room().max(promised));
                if let Some(size) = resp::large_command(buffer.filled(), limits) {
                    if promised == 0 && !room_for(hub, &mut held, size).await {
                        // It has not been taken: trying again does no harm.
                        reading = false;
                        hub.tell(|reducer, now| reducer.last_answer(now, id, b"-BUSY\r\n".to_vec()));
                        continue;
                    }
                    buffer.make_room(size);
                    promised = size;
                    // One that goes on coming is no half command, if it ends some day.
                    let now = hub.clock.now();
                    if now - *since.get_or_insert(now) < limits.large_command {
                        (active, begun) = (now, Some(now));
                    }
                }
            }
            ready = client.stream.writable(), if writing => {
                if ready.is_err() {
                    return;
                }
                let written = client.flush();
                active = hub.clock.now();
                hub.tell(|reducer, _| reducer.delivered(id, written));
            }
            () = client.wake.notified() => {
                let written = client.flush();
                active = hub.clock.now();
                hub.tell(|reducer, _| reducer.delivered(id, written));
            }
            () = tokio::time::sleep_until(hub.clock.instant(due)) => {
                if writing || waiting == 0 && !owed && buffer.is_empty() && quiet(&client.stream) {
                    return;
                }
                if waiting == 0 && !owed && !buffer.is_empty() {
                    reading = false;
                    fault(hub, id, "Protocol error: the command did not come whole");
                }
                // What has come just now is taken up first.
                tokio::task::yield_now().await;
            }
        }
    }
}

/// Promises a large command its room, once there is some. Guards against many large commands filling the memory, and
/// against each having half of the room that one needs; while it waits, nothing is read from its client.
async fn room_for(hub: &Rc<Hub>, held: &mut Held<'_>, size: usize) -> bool {
    let until = hub.clock.instant(hub.clock.now() + hub.limits.room_wait);
    loop {
        let others = hub.buffered.get() - held.bytes + hub.ask(Reducer::held);
        if others + size <= hub.limits.held {
            held.set(size);
            return true;
        }
        if tokio::time::timeout_at(until, hub.room.notified()).await.is_err() {
            return false;
        }
    }
}

/// Bytes that a connection's buffer takes of what all may take together.
struct Held<'a> {
    hub: &'a Hub,
    bytes: usize,
}

impl Held<'_> {
    fn set(&mut self, bytes: usize) {
        self.hub.buffered.set(self.hub.buffered.get() - self.bytes + bytes);
        if bytes < self.bytes {
            self.hub.room.notify_waiters();
        }
        self.bytes = bytes;
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Says what is wrong with what a client sent; nothing more is read from it.
fn fault(hub: &Rc<Hub>, id: ClientId, what: &str) {
    let text = format!("-ERR {what}\r\n").into_bytes();
    hub.tell(|reducer, now| reducer.last_answer(now, id, text));
}

/// Ends the sending and reads what is left, without keeping it. Guards against a close on unread bytes, which
/// the network makes a reset, so that the client would never read why it was turned away.
async fn drain(hub: &Rc<Hub>, stream: &TcpStream) {
    if socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write).is_err() {
        return;
    }
    let until = hub.clock.instant(hub.clock.now() + hub.limits.drain);
    let mut left = hub.limits.drain_bytes;
    while let Ok(Ok(())) = tokio::time::timeout_at(until, stream.readable()).await {
        let read = stream.try_read(&mut hub.scratch.borrow_mut());
        match read {
            Ok(count) if count > 0 && count < left => left -= count,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
        // The others have their turn.
        tokio::task::yield_now().await;
    }
}

/// Whether the client's end lies behind what it has sent, read as far as one command may reach.
fn has_ended(buffer: &mut Buffer, stream: &TcpStream, limits: &Limits) -> bool {
    while buffer.filled().len() < limits.read {
        match buffer.read(stream, limits.read) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
        }
    }
    false
}

/// Reads; false at the end.
fn read(buffer: &mut Buffer, stream: &TcpStream, limits: &Limits) -> io::Result<bool> {
    match buffer.read(stream, limits.read) {
        Ok(count) => Ok(count > 0),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(true),
        Err(e) => Err(e),
    }
}

enum Taken {
    One,
    None,
    /// Nothing after this is read.
    Last,
}

/// Takes one command from the buffer and reports it.
fn take_command(hub: &Rc<Hub>, id: ClientId, buffer: &mut Buffer) -> Taken {
    let limits = &hub.limits;
    let taken = match resp::command(buffer.filled(), limits) {
        _ if buffer.is_empty() => Taken::None,
        Parsed::Whole(words, used) => {
            let last = words.first().is_some_and(|name| name.eq_ignore_ascii_case(b"QUIT"));
            if used <= limits.whole {
                hub.tell(|reducer, now| obey(reducer, now, id, &words, Bytes::copy_from_slice, limits));
                buffer.consume(used);
            } else {
                drop(words);
                let bytes = buffer.take(used);
                if let Parsed::Whole(words, _) = resp::command(&bytes, limits) {
                    let value = |word: &[u8]| bytes.slice_ref(word);
                    hub.tell(|reducer, now| obey(reducer, now, id, &words, value, limits));
                }
            }
            // Guards against a client that goes on sending what can't be done.
            let many = hub.ask(|reducer| reducer.faults(id)) >= limits.faults_per_client;
            if many {
                fault(hub, id, "too many commands that can't be done");
            }
            if last || many {
                buffer.clear();
                Taken::Last
            } else {
                Taken::One
            }
        }
        Parsed::Part if buffer.filled().len() <= limits.command() => Taken::None,
        Parsed::Part | Parsed::Broken => {
            fault(hub, id, "Protocol error: commands are arrays of bulk strings");
            buffer.clear();
            Taken::Last
        }
    };
    buffer.shrink(limits.buffer_kept);
    taken
}

/// `own`: makes a word one that can be kept.
fn obey(
    reducer: &mut Reducer,
    now: Time,
    id: ClientId,
    words: &[&[u8]],
    own: impl Fn(&[u8]) -> Bytes,
    limits: &Limits,
) {
    let name = words.first().map(|name| name.to_ascii_uppercase()).unwrap_or_default();
    let answer = match (&name[..], words) {
        (b"OBJ.GET", [_, key, call, facts]) => match api_call(key, call, facts, None, limits) {
            Ok((words, facts)) => return reducer.call(now, id, words, facts),
            Err(what) => return reducer.faulty(now, id, what),
        },
        (b"OBJ.SET", [_, key, call, facts, value]) => {
            match api_call(key, call, facts, Some(own(value)), limits) {
                Ok((words, facts)) => return reducer.call(now, id, words, facts),
                Err(what) => return reducer.faulty(now, id, what),
            }
        }
        (b"OBJ.GET" | b"OBJ.SET" | b"PING", [_, _, _, ..]) | (b"OBJ.GET" | b"OBJ.SET", _) => {
            return reducer.faulty(now, id, "wrong number of arguments")
        }
        (b"PING", [_, text]) => {
            let mut bytes = Vec::new();
            put_bulk(&mut bytes, text);
            return reducer.ping(now, id, bytes);
        }
        (b"PING", _) => return reducer.ping(now, id, b"+PONG\r\n".to_vec()),
        (b"CLIENT" | b"SELECT", _) => b"+OK\r\n".to_vec(),
        (b"QUIT", _) => return reducer.last_answer(now, id, b"+OK\r\n".to_vec()),
        _ => return reducer.faulty(now, id, "unknown command"),
    };
    reducer.plain(now, id, answer);
}

/// Checks the words of an API call. Guards against words that would break out of a command's or a request's
/// frame at a server.
fn api_call<'a>(
    key: &'a [u8],
    id: &'a [u8],
    facts: &'a [u8],
    value: Option<Bytes>,
    limits: &Limits,
) -> Result<(Words, Facts<'a>), &'static str> {
    let text = |word: &'a [u8]| {
        let fits = (1..=limits.word).contains(&word.len()) && word.iter().all(u8::is_ascii_graphic);
        std::str::from_utf8(word).ok().filter(|_| fits)
    };
    let key = text(key).ok_or("the key is no short plain text")?;
    let id = text(id).ok_or("the id is no short plain text")?;
    let list = text(facts).ok_or("the list of names and values is no short plain text")?;
    let facts = read_facts(list, limits).ok_or("the list of names and values can't be read")?;
    Ok((Words { key: key.to_owned(), id: id.to_owned(), facts: list.to_owned(), value }, facts))
}

/// `c=read,d=480`: names and values; unknown ones are passed over. Guards against a wait that is no number or
/// not told, and against a name that stands twice.
fn read_facts<'a>(mut list: &'a str, limits: &Limits) -> Option<Facts<'a>> {
    let pairs: Vec<(&str, &str)> = pairs.parse_next(&mut list).ok()?;
    let twice = |(i, pair): (usize, &(&str, &str))| pairs[..i].iter().any(|other| other.0 == pair.0);
    if !list.is_empty() || pairs.iter().enumerate().any(twice) {
        return None;
    }
    let fact = |name: &str| pairs.iter().find(|pair| pair.0 == name).map(|pair| pair.1);
    let plain = |text: &&str| text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let ms = fact("d").filter(plain)?.parse::<f64>().ok().filter(|ms| ms.is_finite())?;
    Some(Facts {
        product: fact("c"),
        tenant: fact("t"),
        wait: Span::from_ms(ms).min(limits.client_wait),
        mark: fact("k").is_some_and(|mark| !mark.is_empty()),
        repeat: fact("r") == Some("1"),
    })
}

fn pairs<'a>(input: &mut &'a str) -> winnow::Result<Vec<(&'a str, &'a str)>> {
    let name = take_while(1.., |c| c != '=' && c != ',');
    let value = take_while(0.., |c| c != ',');
    let pairs = separated(1.., separated_pair(name, '=', value), ',').parse_next(input)?;
    opt(',').parse_next(input)?;
    Ok(pairs)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn facts_are_read_and_broken_ones_told() {
        let facts = read_facts("c=read,t=us,d=480.5,r=1,size=3,k=", &Limits::default()).expect("a list");
        let (product, tenant, wait) = (Some("read"), Some("us"), Span(480_500));
        assert_eq!(facts, Facts { product, tenant, wait, mark: false, repeat: true });
        for broken in [
            "", "c", "c=x", "c=x,,d=3", "c=x,d=", "d=-1", "d=NaN", "d=inf", "=x", "d=1e2", "d=1,d=2",
            "d=soon",
        ] {
            assert_eq!(read_facts(broken, &Limits::default()), None, "{broken:?}");
        }
    }
}
