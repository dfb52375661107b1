//! State of clients, API calls, attempts and nodes, and the state that all nodes share.
use std::collections::VecDeque;

use quartzhub_membership::sim::EventQueue;
use quartzhub_policy::{CallIndex, EndpointState, Pcg, Product, Time};
use quartzhub_settings::{CallTable, ServerInterner};
use rand_distr::Zipf;
use rustc_hash::FxHashMap;

use super::event::{ClientAttempt, Event};
use crate::rules::RuleChecker;
use crate::scenario::Scenario;
use crate::server::Server;
use crate::stats::Report;

/// A client's API call, over all its attempts.
pub(super) struct ClientCall {
    pub(super) product: usize,
    pub(super) key: u64,
    pub(super) started_at: Time,
    /// Number of its current attempt, from 1.
    pub(super) attempt_number: u32,
    pub(super) attempt_sent_at: Time,
    /// Index of the node that receives its current attempt.
    pub(super) node: usize,
    /// Id of the API call that its current attempt opened at the node.
    pub(super) call: Option<u64>,
    /// The current attempt has its response or has been given up: its further events are ignored.
    pub(super) attempt_ended: bool,
}

/// A cache that did not have the value of an API call.
#[derive(Clone, Copy)]
pub(super) struct CacheMiss {
    pub(super) server: usize,
    pub(super) incarnation: u64,
    /// The cache was warming up.
    pub(super) cold: bool,
}

/// An API call at its node.
pub(super) struct NodeCall {
    pub(super) call: u64,
    pub(super) client_attempt: ClientAttempt,
    pub(super) key: u64,
    pub(super) product: usize,
    pub(super) write: bool,
    pub(super) deadline: Time,
    /// It has its final response, or its client has disconnected.
    pub(super) closed: bool,
    pub(super) attempts: Vec<Attempt>,
    /// Caches that are sent the value once it is fetched.
    pub(super) misses: Vec<CacheMiss>,
}

/// One attempt of a node for an API call, at one server.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) server: usize,
    pub(super) incarnation: u64,
    pub(super) job_id: u64,
    pub(super) sent_at: Time,
    pub(super) in_flight: bool,
    /// The request has been written to the connection.
    pub(super) written: bool,
}

/// An idle connection that a node keeps for a later attempt.
#[derive(Clone, Copy)]
pub(super) struct IdleConnection {
    /// The incarnation of the server that it leads to.
    pub(super) incarnation: u64,
    pub(super) idle_since: Time,
}

/// What a node knows about a server from the endpoint list.
#[derive(Clone, Copy)]
pub(super) struct KnownEndpoint {
    pub(super) state: EndpointState,
    /// When the node was first notified that the server is draining or gone; none while it is
    /// ready.
    pub(super) unavailable_since: Option<Time>,
}

impl KnownEndpoint {
    pub(super) fn update(&mut self, state: EndpointState, now: Time) {
        self.state = state;
        self.unavailable_since = match state {
            EndpointState::Ready => None,
            _ => self.unavailable_since.or(Some(now)),
        };
    }
}

/// A server's entry in the endpoint list.
#[derive(Clone, Copy)]
pub(super) struct ListedEndpoint {
    pub(super) state: EndpointState,
    pub(super) started: Option<Time>,
}

/// A node without its router; takes the place of the real node's sockets and tables.
pub(super) struct NodeState {
    /// The node's index.
    pub(super) node: usize,
    pub(super) node_incarnation: u64,
    pub(super) up: bool,
    pub(super) servers: ServerInterner,
    /// Maps the node's own server indices to those of the simulation.
    pub(super) servers_by_index: Vec<usize>,
    pub(super) calls: CallTable<NodeCall>,
    pub(super) call_indices: FxHashMap<u64, CallIndex>,
    /// By server, its idle connections, oldest first.
    pub(super) idle_connections: Vec<VecDeque<IdleConnection>>,
    /// By server, what the node knows about it.
    pub(super) known_endpoints: Vec<KnownEndpoint>,
    /// The node receives no updates of the endpoint list.
    pub(super) partitioned: bool,
}

impl NodeState {
    /// The open API call with this id.
    pub(super) fn open_call(&mut self, call: u64) -> Option<&mut NodeCall> {
        let index = *self.call_indices.get(&call)?;
        self.calls.get_mut(index)
    }

    /// Marks an attempt as ended and returns it; none if it is not in flight.
    pub(super) fn end_attempt(&mut self, call: CallIndex, attempt: usize) -> Option<Attempt> {
        let attempt = self.calls.get_mut(call)?.attempts.get_mut(attempt)?;
        if !std::mem::replace(&mut attempt.in_flight, false) {
            return None;
        }
        Some(*attempt)
    }

    /// Number of idle connections to this incarnation of a server.
    pub(super) fn count_idle(&self, server: usize, incarnation: u64) -> usize {
        self.idle_connections[server]
            .iter()
            .filter(|connection| connection.incarnation == incarnation)
            .count()
    }
}

/// A node with its router.
pub(super) struct Node<R> {
    pub(super) node_state: NodeState,
    pub(super) router: R,
}

/// The state that all nodes share: clock, pending events, random numbers, servers and clients.
pub(super) struct Simulation {
    pub(super) scenario: Scenario,
    pub(super) now: Time,
    /// End of the run: clients make no API calls or retries from then on.
    pub(super) end: Time,
    pub(super) events: EventQueue<Event>,
    pub(super) rng: Pcg,
    pub(super) products: Vec<Product>,
    /// Cumulative traffic shares: by product, its own share plus those of all products before it.
    pub(super) cumulative_shares: Vec<f64>,
    /// The caches, followed by the origin.
    pub(super) servers: Vec<Server>,
    /// By server, its entry in the endpoint list.
    pub(super) listed_endpoints: Vec<ListedEndpoint>,
    pub(super) clients: FxHashMap<u64, ClientCall>,
    /// Draws the popularity rank of a key; none if all keys are equally popular.
    pub(super) zipf: Option<Zipf<f64>>,
    /// Number of keys by which drift has moved the key of every seventh rank.
    pub(super) popularity_shift: u64,
    /// Factor of the traffic rate, set by a fault.
    pub(super) traffic_factor: f64,
    /// Fraction of API calls that are for the one hot key.
    pub(super) hot_key_fraction: f64,
    /// Fraction of API calls that are for keys requested only once.
    pub(super) scan_fraction: f64,
    /// Factor of the network's delays, set by a fault.
    pub(super) network_delay_factor: f64,
    pub(super) last_id: u64,
    /// Number of keys drawn so far that are requested only once.
    pub(super) scanned_keys: u64,
    pub(super) checker: RuleChecker,
    pub(super) report: Report,
}
