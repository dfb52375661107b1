//! What is kept of a server.
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
    /// When it started, as the endpoint list says.
    pub(crate) started: Option<Time>,
    /// The latest that it can have started, as clocks differ.
    pub(crate) slow_start_from: Option<Time>,
    /// Between 0 and 1, by the hash of its id; none where the index is not used.
    pub(crate) initial_position: Option<f64>,
    /// Exponential moving average of the positions of the keys sent to it.
    pub(crate) moving_average: f64,
    pub(crate) in_flight: u32,
    /// Attempts here of calls that are not released yet.
    pub(crate) pending_attempts: u32,
    /// When it was last in the endpoint list or had a pending attempt.
    pub(crate) last_listed: Time,
    /// Since when the endpoint list calls it gone, or since its last good answer from then on.
    pub(crate) delisted_since: Option<Time>,
    /// An idle connection to it may be open.
    pub(crate) connected: bool,
    /// When an attempt was last sent or ended.
    pub(crate) last_used: Time,
    /// Connections it refused since it last answered.
    pub(crate) refused_connections: u32,
    /// Since when it is silent although attempts are in flight.
    pub(crate) silent_since: Option<Time>,
    /// Attempts in flight when it last rejected one as overloaded.
    pub(crate) capacity: f64,
    pub(crate) overloaded_at: Time,
    /// How its attempts went lately.
    pub(crate) evidence: Evidence,
    /// Attempts that it may be sent while it warms up.
    pub(crate) slow_start_credit: f64,
    pub(crate) credit_updated: Time,
}

impl Server {
    /// One that nothing is known of, and nothing against its capacity.
    pub(crate) fn unknown() -> Server {
        Server {
            capacity: f64::INFINITY,
            ..Server::default()
        }
    }

    /// Whether its index is used.
    pub(crate) fn is_known(&self) -> bool {
        self.initial_position.is_some()
    }

    /// Whether a connection to it may be open and idle.
    pub(crate) fn is_idle(&self, now: Time, keepalive: Span) -> bool {
        self.connected && self.in_flight == 0 && now - self.last_used < keepalive
    }

    /// Counts an attempt that is sent now.
    pub(crate) fn record_dispatch(&mut self, now: Time) {
        self.in_flight += 1;
        self.pending_attempts += 1;
        self.connected = true;
        self.last_used = now;
        self.silent_since = self.silent_since.or(Some(now));
    }
}
