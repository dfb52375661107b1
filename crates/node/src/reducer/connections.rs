//! Closes clients' connections and upstreams: when their time is over, and to free a socket for
//! another connection.
use quartzhub_policy::{EndpointState, Outcome, ResponseProgress, ServerIndex, Span, Time};

use super::attempt_end::EndReason;
use super::node_state::NodeState;
use super::servers::Server;
use super::timers::Timer;
use super::upstreams::{Upstream, UpstreamUse};
use crate::messages::{ClientId, Effect, UpstreamId};
use crate::service::IdleClientPolicy;

impl NodeState {
    /// Closes a client's connection once its responses are sent.
    pub(super) fn close_client(&mut self, id: ClientId) {
        let silence = match self.idle_client_policy() {
            IdleClientPolicy::CloseAfter(silence) => silence,
            IdleClientPolicy::Keep => Span::ZERO,
        };
        if let Some(client) = self.clients.get_mut(id) {
            client.closing = true;
            self.effects.push_back(Effect::CloseClient {
                client: id,
                after_silence: silence,
            });
        }
    }

    /// Handles the start of a drain or a shutdown: idle clients are closed now or later, as the
    /// service state requires.
    pub(super) fn on_service_leaving(&mut self) {
        for after in [
            self.limits.drain_notice,
            self.limits.drain_close_idle_after,
            self.limits.drain_stop_reading_after,
        ] {
            self.timers.schedule(self.now + after, Timer::IdleClients);
        }
        self.close_idle_clients();
    }

    /// Closes clients without a pending response, if the service state requires it.
    pub(super) fn close_idle_clients(&mut self) {
        if self.idle_client_policy() == IdleClientPolicy::Keep {
            return;
        }
        if self.service.stops_reading(self.now, &self.limits) {
            let drain = |client: ClientId| Effect::DrainClient { client };
            self.effects.extend(self.clients.ids().map(drain));
        }
        for id in self.clients.without_pending_responses() {
            self.close_client(id);
        }
    }

    /// Closes the client that is first in the order of eviction: one whose late input is only
    /// discarded, or else an idle one. Returns whether there is one.
    pub(super) fn evict_client(&mut self) -> bool {
        if self.end_longest_linger() {
            return true;
        }
        let evictable = self.clients.first_evictable(self.now, &self.limits);
        self.close_found_client(evictable)
    }

    fn end_longest_linger(&mut self) -> bool {
        let Some(id) = self.clients.longest_lingering(self.now, &self.limits) else {
            return false;
        };
        if let Some(client) = self.clients.get_mut(id) {
            client.lingering_since = None;
        }
        self.effects.push_back(Effect::EndLinger { client: id });
        true
    }

    /// Closes an idle client if more clients that have made API calls are connected than the limit
    /// of idle clients.
    pub(super) fn close_surplus_client(&mut self) {
        if let Some(id) = self.clients.surplus_idle(self.now, &self.limits) {
            self.close_client(id);
        }
    }

    /// Closes the client that has been idle longest. Returns whether any client is idle.
    pub(super) fn close_longest_idle_client(&mut self) -> bool {
        let longest_idle = self.clients.longest_idle();
        self.close_found_client(longest_idle)
    }

    /// Closes the upstream that has been idle longest. Returns whether any upstream is idle.
    pub(super) fn close_longest_idle_upstream(&mut self) -> bool {
        let longest_idle = self.upstreams.longest_idle();
        longest_idle
            .and_then(|id| self.close_upstream(id))
            .is_some()
    }

    /// Returns whether a connection must be closed before a new upstream can be opened.
    pub(super) fn is_short_of_sockets(&self) -> bool {
        self.socket_count() + self.limits.client_only_sockets >= self.limits.sockets
    }

    /// Closes the least useful connection, so that a new upstream can be opened: an idle one, or else
    /// an upstream whose response has stalled. Returns whether there is one.
    pub(super) fn free_socket_for_upstream(&mut self) -> bool {
        self.evict_client()
            || self.close_longest_idle_upstream()
            || self.close_longest_idle_client()
            || self.close_longest_stalled_upstream()
    }

    /// Removes an upstream from all tables. Its socket is closed by an effect, or closed already.
    pub(super) fn remove_upstream(&mut self, id: UpstreamId) -> Option<Upstream> {
        let upstream = self.upstreams.remove(id)?;
        self.timers.cancel(upstream.deadline, Timer::Upstream(id));
        if upstream.current_use == UpstreamUse::Idle {
            self.servers[upstream.server]
                .idle_upstreams
                .retain(|idle| *idle != id);
        }
        Some(upstream)
    }

    pub(super) fn close_upstream(&mut self, id: UpstreamId) -> Option<Upstream> {
        let upstream = self.remove_upstream(id)?;
        self.effects
            .push_back(Effect::CloseUpstream { upstream: id });
        Some(upstream)
    }

    pub(super) fn close_idle_upstreams(&mut self, server: ServerIndex) {
        for id in std::mem::take(&mut self.servers[server].idle_upstreams) {
            self.close_upstream(id);
        }
    }

    pub(super) fn close_idle_upstreams_of_unready_servers(&mut self) {
        let is_unready =
            |(_, server): &(ServerIndex, &Server)| server.state != EndpointState::Ready;
        let unready = self.servers.iter().filter(is_unready);
        let indices: Vec<_> = unready.map(|(index, _)| index).collect();
        for index in indices {
            self.close_idle_upstreams(index);
        }
    }

    /// Keeps an upstream idle for the next attempt, or closes it if its server is not ready or the
    /// limits of idle upstreams are reached.
    pub(super) fn return_upstream_to_pool(&mut self, id: UpstreamId) {
        let pool_is_full = self.upstreams.len() > self.limits.pooled_upstreams;
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.current_use = UpstreamUse::Idle;
        let server = &mut self.servers[upstream.server];
        let server_has_enough =
            server.idle_upstreams.len() >= self.limits.idle_upstreams_per_server;
        if server.state != EndpointState::Ready || server_has_enough || pool_is_full {
            self.close_upstream(id);
            return;
        }
        server.idle_upstreams.push(id);
        self.set_upstream_deadline(id, self.now + self.limits.upstream_idle_timeout);
    }

    /// Records that an upstream has received the last byte of a response.
    pub(super) fn record_response_end(&mut self, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.last_response = Some(self.now);
        }
    }

    pub(super) fn set_upstream_deadline(&mut self, id: UpstreamId, deadline: Time) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            self.timers.cancel(upstream.deadline, Timer::Upstream(id));
            upstream.deadline = deadline;
            self.timers.schedule(deadline, Timer::Upstream(id));
        }
    }

    /// Removes the time limit of an upstream's current use.
    pub(super) fn cancel_upstream_timer(&mut self, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.get(id) {
            self.timers.cancel(upstream.deadline, Timer::Upstream(id));
        }
    }

    /// Handles an upstream whose current use has reached its deadline.
    pub(super) fn on_upstream_deadline(&mut self, id: UpstreamId, deadline: Time) {
        let is_current = |upstream: &&Upstream| upstream.deadline == deadline;
        let Some(upstream) = self.upstreams.get(id).filter(is_current) else {
            return;
        };
        if let UpstreamUse::Reserved { attempt } = upstream.current_use {
            return self.write_attempt(id, attempt, false);
        }
        if self.record_stall(id) {
            return;
        }
        let Some(upstream) = self.close_upstream(id) else {
            return;
        };
        let (attempt, outcome, reason) = match upstream.current_use {
            UpstreamUse::Idle
            | UpstreamUse::Closing
            | UpstreamUse::Streaming(_)
            | UpstreamUse::Reserved { .. } => return,
            UpstreamUse::Connecting { attempt } => {
                (attempt, Outcome::Unreachable, EndReason::ConnectTimeout)
            }
            UpstreamUse::InFlight {
                attempt,
                response: ResponseProgress::Arriving | ResponseProgress::Stalled,
                ..
            } => (attempt, Outcome::ServerError, EndReason::ResponseTimeout),
            UpstreamUse::InFlight {
                attempt,
                request_written: true,
                ..
            } => (attempt, Outcome::TimedOut, EndReason::ResponseTimeout),
            UpstreamUse::InFlight { attempt, .. } => {
                (attempt, Outcome::Unreachable, EndReason::WriteTimeout)
            }
        };
        // The server is not blamed for an attempt that was not written because it could have taken
        // effect twice.
        let outcome = if !upstream.is_request_written() && self.is_past_write_deadline(attempt) {
            Outcome::NotSent
        } else {
            outcome
        };
        self.end_attempt(&upstream, attempt, outcome, reason);
    }

    /// If a response that has begun has stalled, records that and lets it go on until the deadline of
    /// its attempt. Returns whether it did.
    fn record_stall(&mut self, id: UpstreamId) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return false;
        };
        let UpstreamUse::InFlight {
            attempt,
            response: response @ ResponseProgress::Arriving,
            ..
        } = &mut upstream.current_use
        else {
            return false;
        };
        let attempt = *attempt;
        let deadline = self.calls.attempt(attempt).map(|record| record.deadline);
        let Some(deadline) = deadline.filter(|deadline| self.now < *deadline) else {
            return false;
        };
        *response = ResponseProgress::Stalled;
        let upstream = *upstream;
        self.stalled_responses += 1;
        self.log_stalled_response(&upstream, attempt);
        self.set_upstream_deadline(id, deadline);
        self.report_progress(attempt, ResponseProgress::Stalled);
        true
    }

    /// Closes the upstream whose response has stalled longest. Returns whether any has stalled.
    fn close_longest_stalled_upstream(&mut self) -> bool {
        let Some((id, attempt)) = self.upstreams.longest_stalled() else {
            return false;
        };
        let Some(upstream) = self.close_upstream(id) else {
            return false;
        };
        self.end_attempt(
            &upstream,
            attempt,
            Outcome::ServerError,
            EndReason::SocketNeeded,
        );
        true
    }

    fn close_found_client(&mut self, found: Option<ClientId>) -> bool {
        found.map(|id| self.close_client(id)).is_some()
    }
}
