//! Whether the node serves clients: operators take it out of service and put it back, and SIGTERM
//! stops it. This is a state machine without side effects, which the reducer queries to decide how
//! to treat connected clients.
use quartzhub_policy::{Span, Time};

use crate::limits::Limits;

#[cfg(test)]
mod tests;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Phase {
    /// The process does not accept clients yet.
    #[default]
    Starting,
    Ready,
    /// Operators have taken the node out of service.
    Draining {
        since: Time,
    },
    /// The process is shutting down, which can't be reversed.
    Stopping {
        since: Time,
    },
}

/// State of the node's service: starting, ready, draining or stopping.
#[derive(Debug, Default)]
pub struct ServiceState {
    phase: Phase,
}

/// What to do with a client that has no pending command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleClientPolicy {
    /// Its connection stays open.
    Keep,
    /// Its connection is closed once nothing has been received from it for this long.
    CloseAfter(Span),
}

impl ServiceState {
    /// Records that the process accepts clients from now on.
    pub fn on_listening(&mut self) {
        if self.phase == Phase::Starting {
            self.phase = Phase::Ready;
        }
    }

    /// Takes the node out of service. A repeated call does not restart the drain.
    pub fn start_draining(&mut self, now: Time) {
        if matches!(self.phase, Phase::Starting | Phase::Ready) {
            self.phase = Phase::Draining { since: now };
        }
    }

    /// Puts a draining node back in service, at any stage of the drain.
    pub fn resume(&mut self) {
        if matches!(self.phase, Phase::Draining { .. }) {
            self.phase = Phase::Ready;
        }
    }

    /// Starts the graceful shutdown.
    pub fn stop(&mut self, now: Time) {
        if !matches!(self.phase, Phase::Stopping { .. }) {
            self.phase = Phase::Stopping { since: now };
        }
    }

    /// Whether the node accepts clients and is neither draining nor stopping.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Whether `PING`, the health check of the front load balancer, succeeds, so that it sends new
    /// clients to this node. It succeeds during a shutdown too: the front load balancer notices
    /// the shutdown by the closed connections.
    pub fn accepts_new_clients(&self) -> bool {
        !matches!(self.phase, Phase::Draining { .. })
    }

    /// Whether no further commands are read from clients. Without this, a client that always has a
    /// command pending would never be closed between responses.
    pub fn stops_reading(&self, now: Time, limits: &Limits) -> bool {
        matches!(
            self.phase,
            Phase::Draining { since } if now - since >= limits.drain_stop_reading_after
        )
    }

    /// Returns what to do with idle clients. A draining node keeps them until `drain_notice` has
    /// passed, as the front load balancer would send them back here at once. From
    /// `drain_close_idle_after` on they are closed however briefly they are idle, as some send
    /// commands so often that they are never idle for long.
    pub fn idle_client_policy(&self, now: Time, limits: &Limits) -> IdleClientPolicy {
        let elapsed = match self.phase {
            Phase::Starting | Phase::Ready => return IdleClientPolicy::Keep,
            Phase::Draining { since } if now - since < limits.drain_notice => {
                return IdleClientPolicy::Keep
            }
            Phase::Draining { since } | Phase::Stopping { since } => now - since,
        };
        IdleClientPolicy::CloseAfter(if elapsed < limits.drain_close_idle_after {
            limits.final_read_window
        } else {
            Span::ZERO
        })
    }
}
