//! Events of the simulation, with the data that each of them carries.
use quartzhub_policy::{EndpointState, Outcome, Span, Time};

use crate::server::Job;
use crate::stats::CallOutcome;

/// One attempt of a client at its API call.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClientAttempt {
    pub(super) client: u64,
    /// Counts from 1. Events of earlier attempts of the client are stale.
    pub(super) number: u32,
}

/// A final response to a client's attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct Response {
    pub(super) attempt: ClientAttempt,
    pub(super) outcome: CallOutcome,
    pub(super) retry_after: Option<Span>,
}

/// A node's attempt on its way to a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptDelivery {
    pub(super) job: Job,
    pub(super) server: usize,
    /// The incarnation of the server that the connection leads to.
    pub(super) incarnation: u64,
    /// The connection was opened for this attempt, so the server has to do the handshake first.
    pub(super) new_connection: bool,
}

/// A job that a server has finished.
#[derive(Debug, Clone, Copy)]
pub(super) struct FinishedWork {
    pub(super) job: Job,
    pub(super) server: usize,
    pub(super) incarnation: u64,
    pub(super) miss: bool,
}

/// The end of an attempt, on its way to the node.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptEnd {
    pub(super) node: usize,
    /// If set, a node of another incarnation discards the event.
    pub(super) node_incarnation: Option<u64>,
    pub(super) call: u64,
    pub(super) attempt: usize,
    pub(super) server: usize,
    pub(super) outcome: Outcome,
}

impl AttemptEnd {
    /// The end of a job's attempt, valid for every incarnation of its node.
    pub(super) fn of_job(job: &Job, server: usize, outcome: Outcome) -> AttemptEnd {
        AttemptEnd {
            node: job.node,
            node_incarnation: None,
            call: job.call,
            attempt: job.attempt,
            server,
            outcome,
        }
    }
}

/// The timeout of a node's attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptTimer {
    pub(super) node: usize,
    pub(super) node_incarnation: u64,
    pub(super) call: u64,
    pub(super) attempt: usize,
}

/// The close of the connection of an attempt that the node has given up.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cancellation {
    pub(super) server: usize,
    pub(super) incarnation: u64,
    pub(super) job_id: u64,
}

/// A fetched value on its way to a cache that missed.
#[derive(Debug, Clone, Copy)]
pub(super) struct ValueStore {
    pub(super) server: usize,
    pub(super) incarnation: u64,
    pub(super) key: u64,
}

/// A change of the endpoint list on its way to a node.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndpointUpdate {
    pub(super) server: usize,
    pub(super) state: EndpointState,
    pub(super) started: Option<Time>,
}

/// A connection that a node opens for an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingConnection {
    pub(super) node: usize,
    pub(super) node_incarnation: u64,
    pub(super) server: usize,
    pub(super) job: Job,
}

/// An event at an instant of simulated time.
#[derive(Debug, Clone, Copy)]
pub(super) enum Event {
    /// A client makes a new API call.
    ClientArrival,
    /// A client's attempt reaches its node.
    RequestArrived(ClientAttempt),
    /// A client gives up an attempt.
    ClientTimeout(ClientAttempt),
    /// A client makes its next attempt.
    ClientRetry { client: u64 },
    /// A final response reaches its client.
    ResponseDelivered(Response),
    /// A node's attempt reaches a server.
    AttemptArrived(AttemptDelivery),
    /// A server has finished a job.
    WorkFinished(FinishedWork),
    /// The end of an attempt reaches its node.
    AttemptEnded(AttemptEnd),
    /// The deadline of a node's attempt has passed.
    AttemptTimeout(AttemptTimer),
    /// The close of a connection reaches its server.
    AttemptCancelled(Cancellation),
    /// A fetched value reaches a cache.
    ValueStored(ValueStore),
    /// The time by which an API call must have its final response.
    CallDeadline { call: u64 },
    /// The rule checks discard an API call: no more events can occur for it.
    CallDiscarded { call: u64 },
    /// The timer that a node's router set has fired.
    PolicyTimer { node: usize, node_incarnation: u64 },
    /// A change of the endpoint list reaches a node.
    EndpointChange { node: usize, update: EndpointUpdate },
    /// The scenario's fault with this index starts.
    FaultBegins(usize),
    /// The scenario's fault with this index ends.
    FaultEnds(usize),
    /// A stopped server restarts.
    ServerRestarted { server: usize },
    /// A drained server stops and is removed from the endpoint list.
    ServerRemoved { server: usize, incarnation: u64 },
    /// A node stops.
    NodeStopped { node: usize },
    /// A stopped node restarts, with nothing but the endpoint list.
    NodeRestarted { node: usize },
    /// A request for a new connection reaches a server.
    Connect(PendingConnection),
    /// A node learns that its new connection is established.
    Connected {
        pending: PendingConnection,
        /// The server's incarnation when it accepted the connection.
        incarnation: u64,
    },
}
