//! The state of a server.
use crate::endpoint::EndpointState;
use crate::evidence::Evidence;
use crate::time::{Span, Time};

/// A cache or origin server.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) state: EndpointState,
    pub(crate) is_origin: bool,
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    /// Capacity relative to other servers.
    pub(crate) scale: f64,
    /// Start time according to the endpoint list.
    pub(crate) started: Option<Time>,
    /// Latest possible start time, allowing for clock differences; its slow start is measured from
    /// it.
    pub(crate) slow_start_from: Option<Time>,
    /// Position of its id's hash between 0 and 1; `None` if the index is unused.
    pub(crate) initial_position: Option<f64>,
    /// Exponential moving average of the positions of the keys sent to it.
    pub(crate) moving_average: f64,
    pub(crate) in_flight: u32,
    /// Number of attempts at this server of calls that are not released yet.
    pub(crate) pending_attempts: u32,
    /// When it was last in the endpoint list or had a pending attempt.
    pub(crate) last_listed: Time,
    /// When the endpoint list marked it as gone, or its last good response after that.
    pub(crate) delisted_since: Option<Time>,
    /// Whether an idle connection to it may be open.
    pub(crate) connected: bool,
    /// When an attempt was last sent or ended.
    pub(crate) last_used: Time,
    /// Number of connections that it has refused since its last response.
    pub(crate) refused_connections: u32,
    /// For a cache with attempts in flight: when it last responded or, if none was in flight then,
    /// when the first of them was sent. `None` if there are none, or after a restart.
    pub(crate) silent_since: Option<Time>,
    /// Number of attempts in flight when it last rejected one as overloaded; infinite if it has
    /// not since it started.
    pub(crate) capacity: f64,
    pub(crate) overloaded_at: Time,
    /// Outcomes of its recent attempts.
    pub(crate) evidence: Evidence,
    /// Number of attempts that it may be sent during its slow start.
    pub(crate) slow_start_credit: f64,
    pub(crate) credit_updated: Time,
}

impl Server {
    /// Returns a server about which nothing is known, with unlimited capacity.
    pub(crate) fn unknown() -> Server {
        Server {
            capacity: f64::INFINITY,
            ..Server::default()
        }
    }

    /// Returns whether its index is in use.
    pub(crate) fn is_known(&self) -> bool {
        self.initial_position.is_some()
    }

    /// Returns whether an idle connection to it may be open.
    pub(crate) fn is_idle(&self, now: Time, keepalive: Span) -> bool {
        self.connected && self.in_flight == 0 && now - self.last_used < keepalive
    }

    /// Records an attempt that is sent now.
    pub(crate) fn record_dispatch(&mut self, now: Time) {
        self.in_flight += 1;
        self.pending_attempts += 1;
        self.connected = true;
        self.last_used = now;
        self.silent_since = self.silent_since.or(Some(now));
    }
}
