//! Carries out what the reducer asks for, on the sockets, and brings it their reports.
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use quartzhub_policy::{Span, Time};
use rustc_hash::FxHashMap;
use tokio::sync::Notify;

use crate::clock::{unix_ms, Clock, WallClock};
use crate::limits::Limits;
use crate::messages::{ClientId, Effect, Request, Response, UpstreamId};
use crate::reducer::{shrink, Reducer};
use crate::upstreams::{self, Downstream, Protocol, Upstream, WriteResult};

/// What the executor needs of a client's connection.
pub trait ClientHandle: Downstream {
    /// Writes a response, or queues it behind others; gives the counted size of those that are now written to their end.
    /// `upstream`: where the value of a streamed one comes by.
    fn send(&self, response: Response, upstream: Option<Rc<Upstream>>) -> usize;

    /// Closes the connection once its responses are written and nothing has come for so long.
    fn close_after_quiet(&self, quiet: Span);

    /// Closes the connection once its responses are written, whatever may still come.
    fn drain(&self);

    /// Whether the connection has been ended, so that no command on it is owed an answer any more.
    fn has_ended(&self) -> bool;

    /// Closes the connection now, so that the client can tell that a response is not complete.
    fn abort(&self);
}

/// What the tasks of a node share; all of them run on one thread.
pub struct EffectExecutor {
    reducer: RefCell<Reducer>,
    /// The clients that are connected.
    pub clients: RefCell<FxHashMap<ClientId, Rc<dyn ClientHandle>>>,
    upstreams: RefCell<FxHashMap<UpstreamId, Rc<Upstream>>>,
    /// The node's clock.
    pub clock: Clock,
    wall_clock: RefCell<WallClock>,
    /// The limits that the process started with.
    pub limits: Limits,
    /// The first due time has changed.
    pub timer_changed: Notify,
    /// A client's connection has ended.
    pub client_closed: Notify,
    /// Discovery has sent something complete: a list, or that nothing has changed.
    discovery_heard: Cell<bool>,
    discovery_updated: Notify,
    /// Bytes that clients' buffers and large responses take together, or have been promised.
    pub client_buffer_bytes: Cell<usize>,
    /// Some of what is buffered has been freed.
    pub capacity_freed: Notify,
    /// Where bytes are read to that nobody wants.
    pub discard_buffer: RefCell<Vec<u8>>,
}

impl EffectExecutor {
    /// An executor without connections.
    pub fn new(reducer: Reducer, limits: Limits, clock: Clock) -> Rc<EffectExecutor> {
        let discard_bytes = limits.read_bytes;
        Rc::new(EffectExecutor {
            reducer: RefCell::new(reducer),
            clients: RefCell::default(),
            upstreams: RefCell::default(),
            clock,
            wall_clock: RefCell::default(),
            limits,
            timer_changed: Notify::new(),
            client_closed: Notify::new(),
            discovery_heard: Cell::new(false),
            discovery_updated: Notify::new(),
            client_buffer_bytes: Cell::new(0),
            capacity_freed: Notify::new(),
            discard_buffer: RefCell::new(vec![0; discard_bytes]),
        })
    }

    /// Notes what the wall clock shows; to be called often enough that few servers start between two of its steps.
    pub fn sample_wall_clock(&self) {
        self.wall_clock
            .borrow_mut()
            .sample(self.clock.now(), unix_ms());
    }

    /// When a server started that says so in Unix time; none for long ago.
    pub fn server_start_time(&self, now: Time, unix_ms: Option<f64>) -> Option<Time> {
        self.wall_clock.borrow().server_start_time(now, unix_ms)
    }

    /// Discovery has sent something complete.
    pub fn on_discovery_update(&self) {
        self.discovery_heard.set(true);
        self.discovery_updated.notify_one();
    }

    /// Ready once discovery has sent something complete since the start.
    pub async fn wait_for_first_discovery_update(&self) {
        while !self.discovery_heard.get() {
            self.discovery_updated.notified().await;
        }
    }

    /// Reads the reducer's state.
    pub fn query<T>(&self, question: impl FnOnce(&Reducer) -> T) -> T {
        question(&self.reducer.borrow())
    }

    /// Reports to the reducer and carries out the effects that it asks for.
    pub fn report<T>(self: &Rc<EffectExecutor>, report: impl FnOnce(&mut Reducer, Time) -> T) -> T {
        let timer_before = self.query(Reducer::next_timer);
        let buffered_before = self.query(Reducer::buffered_bytes);
        let result = report(&mut self.reducer.borrow_mut(), self.clock.now());
        loop {
            let effect = self.reducer.borrow_mut().next_effect();
            match effect {
                Some(effect) => self.perform(effect),
                None => break,
            }
        }
        if self.query(Reducer::buffered_bytes) < buffered_before {
            self.capacity_freed.notify_waiters();
        }
        let timer_after = self.query(Reducer::next_timer);
        let is_sooner = |after| timer_before.is_none_or(|before| after < before);
        if timer_after.is_some_and(is_sooner) {
            self.timer_changed.notify_one();
        }
        result
    }

    fn perform(self: &Rc<EffectExecutor>, effect: Effect) {
        match effect {
            Effect::Connect {
                upstream,
                to,
                origin,
            } => {
                let protocol = if origin {
                    Protocol::Http
                } else {
                    Protocol::Resp
                };
                self.connect(upstream, to, protocol);
            }
            Effect::Write {
                upstream,
                client,
                request,
                time_left: wait,
            } => self.write(upstream, client, &request, wait),
            Effect::CloseUpstream { upstream } => self.close_upstream(upstream),
            Effect::Respond { client, response } => self.respond(client, response),
            Effect::CloseClient {
                client,
                after_silence: quiet,
            } => {
                if let Some(client) = self.clients.borrow().get(&client) {
                    client.close_after_quiet(quiet);
                }
            }
            Effect::DrainClient { client } => {
                if let Some(client) = self.clients.borrow().get(&client) {
                    client.drain();
                }
            }
            Effect::AbortClient { client } => {
                if let Some(client) = self.clients.borrow().get(&client) {
                    client.abort();
                }
            }
        }
    }

    fn connect(self: &Rc<EffectExecutor>, id: UpstreamId, address: SocketAddr, protocol: Protocol) {
        let upstream = Upstream::new(id, address, protocol);
        self.upstreams.borrow_mut().insert(id, upstream.clone());
        tokio::task::spawn_local(upstreams::run(self.clone(), upstream));
    }

    fn respond(&self, id: ClientId, response: Response) {
        let Some(client) = self.clients.borrow().get(&id).cloned() else {
            return;
        };
        let upstream = match &response {
            Response::Streamed { upstream, .. } => self.upstreams.borrow().get(upstream).cloned(),
            _ => None,
        };
        if let Some(upstream) = &upstream {
            upstream.stream_to(client.clone());
        }
        let written = client.send(response, upstream);
        self.reducer.borrow_mut().on_delivered(id, written);
    }

    /// Writes an attempt, unless its client has left by now. Guards against a process that was held up since the decision.
    fn write(&self, id: UpstreamId, client: ClientId, request: &Request, wait: Span) {
        let Some(upstream) = self.upstreams.borrow().get(&id).cloned() else {
            return;
        };
        let requester = self.clients.borrow().get(&client).cloned();
        let result = requester.map_or(WriteResult::ClientGone, |requester| {
            upstream.write(request, wait, requester)
        });
        let mut reducer = self.reducer.borrow_mut();
        match result {
            WriteResult::Complete => reducer.on_written(id),
            WriteResult::Partial => {}
            WriteResult::ClientGone => reducer.on_write_skipped(self.clock.now(), id),
            WriteResult::ConnectionBroken => {
                reducer.on_connection_broken(self.clock.now(), id);
                drop(reducer);
                self.close_upstream(id);
            }
        }
    }

    /// Forgets a client whose connection has ended.
    pub fn drop_client(&self, client: ClientId) {
        let mut clients = self.clients.borrow_mut();
        clients.remove(&client);
        shrink(&mut clients);
    }

    /// Closes the connection to a server.
    pub fn close_upstream(&self, upstream: UpstreamId) {
        let mut upstreams = self.upstreams.borrow_mut();
        if let Some(upstream) = upstreams.remove(&upstream) {
            upstream.close();
            shrink(&mut upstreams);
        }
    }
}

/// Wakes the reducer when something is due.
pub async fn timer(executor: Rc<EffectExecutor>) {
    loop {
        let due = executor.query(Reducer::next_timer);
        let sleep = async {
            match due {
                Some(due) => tokio::time::sleep_until(executor.clock.instant(due)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = sleep => executor.report(|reducer, now| reducer.on_timer(now)),
            () = executor.timer_changed.notified() => {}
        }
    }
}
