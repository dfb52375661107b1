//! Performs the reducer's effects on the sockets and reports socket events to the reducer.
use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use quartzhub_policy::{Span, Time};
use rustc_hash::FxHashMap;
use tokio::sync::Notify;

use crate::client_handle::ClientHandle;
use crate::clients::PartialCommands;
use crate::clock::{unix_ms, Clock, WallClock};
use crate::limits::Limits;
use crate::memory_budget::MemoryBudget;
use crate::messages::{ClientId, Effect, Request, Response, UpstreamId};
use crate::reducer::{shrink, Reducer};
use crate::shared_ids::SharedIds;
use crate::upstreams::{self, Protocol, Upstream, WriteResult};

/// State shared by all tasks of a node, which run on one thread.
pub struct EffectExecutor {
    reducer: RefCell<Reducer>,
    /// Connected clients.
    pub clients: RefCell<FxHashMap<ClientId, Rc<dyn ClientHandle>>>,
    upstreams: RefCell<FxHashMap<UpstreamId, Rc<Upstream>>>,
    /// The node's clock.
    pub clock: Clock,
    wall_clock: RefCell<WallClock>,
    /// The limits with which the process started.
    pub limits: Limits,
    /// Notified when the reducer's next timer is earlier than before.
    pub timer_changed: Notify,
    /// Notified when a client's connection has ended.
    pub client_closed: Notify,
    /// Whether discovery has sent a complete watch event: an endpoint list, or a keep-alive.
    discovery_event_received: Cell<bool>,
    discovery_updated: Notify,
    /// The memory that all connections share.
    pub memory: Rc<MemoryBudget>,
    /// Incomplete commands of clients, which are evicted when there is no memory for others.
    pub partial_commands: RefCell<PartialCommands>,
    /// Ids that this process shares with the other one of an upgrade.
    pub shared_ids: OnceCell<SharedIds>,
    /// Scratch buffer for bytes that are read only to be discarded.
    pub discard_buffer: RefCell<Vec<u8>>,
}

impl EffectExecutor {
    /// Creates an executor without connections.
    pub fn new(reducer: Reducer, limits: Limits, clock: Clock) -> Rc<EffectExecutor> {
        let discard_bytes = limits.read_bytes;
        let memory = reducer.memory().clone();
        Rc::new(EffectExecutor {
            reducer: RefCell::new(reducer),
            clients: RefCell::default(),
            upstreams: RefCell::default(),
            clock,
            wall_clock: RefCell::default(),
            limits,
            timer_changed: Notify::new(),
            client_closed: Notify::new(),
            discovery_event_received: Cell::new(false),
            discovery_updated: Notify::new(),
            memory,
            partial_commands: RefCell::default(),
            shared_ids: OnceCell::new(),
            discard_buffer: RefCell::new(vec![0; discard_bytes]),
        })
    }

    /// Samples the wall clock, in whose time servers report their start. Of two steps of that clock
    /// between two samples, only the sum is recorded, so this has to be called often enough that
    /// few servers start between two such steps.
    pub fn sample_wall_clock(&self) {
        self.wall_clock
            .borrow_mut()
            .sample(self.clock.now(), unix_ms());
    }

    /// Converts a server's start time from Unix time to the node's clock; `None` for a server that
    /// started long ago.
    pub fn server_start_time(&self, now: Time, unix_ms: Option<f64>) -> Option<Time> {
        self.wall_clock.borrow().server_start_time(now, unix_ms)
    }

    /// Records that discovery has sent a complete watch event.
    pub fn on_discovery_update(&self) {
        self.discovery_event_received.set(true);
        self.discovery_updated.notify_one();
    }

    /// Waits until discovery has sent its first complete watch event since the process started.
    pub async fn wait_for_first_discovery_update(&self) {
        while !self.discovery_event_received.get() {
            self.discovery_updated.notified().await;
        }
    }

    /// Reads the reducer's state.
    pub fn query<T>(&self, read: impl FnOnce(&Reducer) -> T) -> T {
        read(&self.reducer.borrow())
    }

    /// Reports an event to the reducer and performs the effects that result.
    pub fn report<T>(self: &Rc<EffectExecutor>, report: impl FnOnce(&mut Reducer, Time) -> T) -> T {
        let timer_before = self.query(Reducer::next_timer);
        let result = report(&mut self.reducer.borrow_mut(), self.clock.now());
        loop {
            let effect = self.reducer.borrow_mut().next_effect();
            match effect {
                Some(effect) => self.perform(effect),
                None => break,
            }
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
                address,
                is_origin,
            } => {
                let protocol = if is_origin {
                    Protocol::Http
                } else {
                    Protocol::Resp
                };
                self.connect(upstream, address, protocol);
            }
            Effect::Write {
                upstream,
                client,
                request,
                time_left: remaining,
                must_not_repeat,
            } => {
                if must_not_repeat {
                    self.record_shared_id(&request.id);
                }
                self.write(upstream, client, &request, remaining);
            }
            Effect::CloseUpstream { upstream } => self.close_upstream(upstream),
            Effect::Respond { client, response } => self.respond(client, response),
            Effect::CloseClient {
                client,
                after_silence: quiet_period,
            } => {
                if let Some(client) = self.clients.borrow().get(&client) {
                    client.close_after_quiet_period(quiet_period);
                }
            }
            Effect::DrainClient { client } => {
                if let Some(client) = self.clients.borrow().get(&client) {
                    client.drain();
                }
            }
            Effect::EndLinger { client } => {
                if let Some(client) = self.clients.borrow().get(&client) {
                    client.end_linger();
                }
            }
            Effect::BreakOffValue { client } => self.break_off_value(client),
        }
    }

    fn connect(self: &Rc<EffectExecutor>, id: UpstreamId, address: SocketAddr, protocol: Protocol) {
        let upstream = Upstream::new(id, address, protocol, &self.memory);
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

    fn break_off_value(&self, id: ClientId) {
        let client = self.clients.borrow().get(&id).cloned();
        if client.is_some_and(|client| client.break_off_value()) {
            self.reducer.borrow_mut().on_client_closing(id);
        }
    }

    /// Has incomplete commands rejected whose clients have sent nothing for a while, if that frees
    /// `missing_bytes`.
    pub fn evict_stalled_commands(&self, missing_bytes: usize) {
        let now = self.clock.now();
        let stalled_after = self.limits.stalled_command_after;
        let mut partial_commands = self.partial_commands.borrow_mut();
        for id in partial_commands.take_stalled(now, missing_bytes, stalled_after) {
            if let Some(client) = self.clients.borrow().get(&id) {
                client.request_eviction();
            }
        }
    }

    /// Records the id of a call that is about to be sent, for the other process of an upgrade.
    fn record_shared_id(&self, id: &str) {
        let recorded = self.shared_ids.get().map(|ids| ids.insert(id));
        if let Some(Err(error)) = recorded {
            tracing::warn!(%error, "recording an id for the other process failed: {error}");
        }
    }

    /// Writes an attempt, unless its client has disconnected. The client may have done so since the
    /// reducer's decision, if the process has stalled in between.
    fn write(&self, id: UpstreamId, client: ClientId, request: &Request, time_left: Span) {
        let Some(upstream) = self.upstreams.borrow().get(&id).cloned() else {
            return;
        };
        let requester = self.clients.borrow().get(&client).cloned();
        let result = requester.map_or(WriteResult::ClientDisconnected, |requester| {
            upstream.write(request, time_left, requester)
        });
        let mut reducer = self.reducer.borrow_mut();
        match result {
            WriteResult::Complete => reducer.on_written(id),
            WriteResult::Buffered => reducer.on_buffered(id),
            WriteResult::Partial => {}
            WriteResult::ClientDisconnected => reducer.on_write_skipped(self.clock.now(), id),
            WriteResult::UnsolicitedBytes => reducer.on_unsolicited_bytes(self.clock.now(), id),
            WriteResult::ConnectionBroken => {
                reducer.on_connection_broken(self.clock.now(), id);
                drop(reducer);
                self.close_upstream(id);
            }
        }
    }

    /// Whether the client whose attempt an upstream carries has sent bytes of a command that has not
    /// been taken yet.
    pub fn has_untaken_input(&self, upstream: UpstreamId) -> bool {
        let requester = self.query(|reducer| reducer.requester(upstream));
        let clients = self.clients.borrow();
        requester
            .and_then(|client| clients.get(&client))
            .is_some_and(|client| client.has_untaken_input())
    }

    /// Removes a client whose connection has ended.
    pub fn drop_client(&self, client: ClientId) {
        let mut clients = self.clients.borrow_mut();
        clients.remove(&client);
        shrink(&mut clients);
    }

    /// Closes and removes a connection to a server.
    pub fn close_upstream(&self, upstream: UpstreamId) {
        let mut upstreams = self.upstreams.borrow_mut();
        if let Some(upstream) = upstreams.remove(&upstream) {
            upstream.close();
            shrink(&mut upstreams);
        }
    }
}

/// Runs the reducer's timers when they are due.
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
