//! Chooses the upstream for an attempt: an idle one that has rested, one that still rests, or a new
//! one.
//!
//! An upstream rests for the reuse delay after each response. Responses carry no id, so a duplicate
//! of the last response that is still on its way when the next attempt is written would be taken
//! for the response to that attempt. A duplicate that arrives while the upstream rests is noticed,
//! and the upstream is closed.
use std::net::SocketAddr;

use quartzhub_policy::{EndpointState, Outcome, ServerIndex, Span, Time};

use super::calls::AttemptId;
use super::node_state::NodeState;
use super::upstreams::UpstreamUse;
use crate::messages::UpstreamId;

/// The upstream that an attempt gets.
enum UpstreamChoice {
    /// An idle upstream that has rested.
    Rested(UpstreamId),
    /// An idle upstream that still rests.
    Resting { id: UpstreamId, rested_at: Time },
    /// None of the idle upstreams.
    New,
}

impl NodeState {
    /// Starts an attempt on an idle upstream to its server, at once or after its rest, or on a new
    /// one.
    pub(super) fn start_attempt(&mut self, attempt: AttemptId, server: ServerIndex) {
        match self.choose_upstream(attempt, server) {
            UpstreamChoice::Rested(id) => {
                self.take_from_pool(server, id);
                self.write_attempt(id, attempt, false);
            }
            UpstreamChoice::Resting { id, rested_at } => {
                self.take_from_pool(server, id);
                self.reserve_upstream(id, attempt, rested_at);
            }
            UpstreamChoice::New => self.open_upstream(attempt),
        }
    }

    /// Chooses the newest upstream that has rested in full, or else the one that has rested longest.
    /// Where that one is still within the reuse delay, an attempt at the origin, or at any server at
    /// the socket limit, waits for it, if it can be written in time then.
    ///
    /// At the origin this is because queued attempts are sent as earlier responses arrive, and a
    /// new connection for each would cost the origin capacity that it lacks.
    fn choose_upstream(&self, attempt: AttemptId, server: ServerIndex) -> UpstreamChoice {
        let idle = &self.servers[server].idle_upstreams;
        let full_rest = self.limits.upstream_full_rest;
        let newest = idle
            .iter()
            .rfind(|id| self.rested_at(**id, full_rest) <= self.now);
        if let Some(id) = newest {
            return UpstreamChoice::Rested(*id);
        }
        let reuse_delay = self.reuse_delay(server);
        let rests = idle
            .iter()
            .map(|id| (self.rested_at(*id, reuse_delay), *id));
        let may_wait = self.servers[server].is_origin || self.is_short_of_sockets();
        match rests.min() {
            Some((rested_at, id)) if rested_at <= self.now => UpstreamChoice::Rested(id),
            Some((rested_at, id)) if may_wait && rested_at < self.latest_write(attempt) => {
                UpstreamChoice::Resting { id, rested_at }
            }
            _ => UpstreamChoice::New,
        }
    }

    /// Returns how long upstreams to a server rest after a response.
    fn reuse_delay(&self, server: ServerIndex) -> Span {
        self.servers[server]
            .reuse_delay
            .current(self.now, &self.limits)
    }

    /// Returns when an upstream will have rested for `rest` after its last response, or has.
    fn rested_at(&self, id: UpstreamId, rest: Span) -> Time {
        let upstream = self.upstreams.get(id);
        let last_response = upstream.and_then(|upstream| upstream.last_response);
        last_response.map_or(self.now, |end| end + rest)
    }

    /// Returns the time after which an attempt is no longer written.
    fn latest_write(&self, attempt: AttemptId) -> Time {
        let attempt = self.calls.attempt(attempt);
        attempt.map_or(self.now, |attempt| attempt.deadline.min(attempt.write_by))
    }

    /// Counts and logs bytes on an upstream that no attempt awaits, and makes the upstreams to its
    /// server rest long enough to cover as late ones.
    pub(super) fn record_unsolicited_bytes(&mut self, id: UpstreamId) {
        let Some(upstream) = self.upstreams.get(id) else {
            return;
        };
        let server = upstream.server;
        let delay = upstream.last_response.map(|end| self.now - end);
        let is_late = delay.is_some_and(|delay| delay > self.reuse_delay(server));
        self.unsolicited.total += 1;
        self.unsolicited.late += u64::from(is_late);
        let record = &mut self.servers[server];
        if let Some(delay) = delay {
            record
                .reuse_delay
                .record_unsolicited(self.now, delay, &self.limits);
        }
        if let Some(address) = record.addr {
            log_unsolicited_bytes(address, delay);
        }
    }

    fn take_from_pool(&mut self, server: ServerIndex, id: UpstreamId) {
        self.servers[server]
            .idle_upstreams
            .retain(|idle| *idle != id);
    }

    /// Makes an attempt wait for the end of an upstream's rest.
    fn reserve_upstream(&mut self, id: UpstreamId, attempt: AttemptId, rested_at: Time) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.current_use = UpstreamUse::Reserved { attempt };
        }
        if let Some(record) = self.calls.attempt_mut(attempt) {
            record.upstream = Some(id);
        }
        self.reuse_waits += 1;
        self.set_upstream_deadline(id, rested_at);
    }

    /// Returns a reserved upstream to the pool, as its attempt is given up. Returns whether it was
    /// reserved.
    pub(super) fn release_reserved_upstream(&mut self, id: UpstreamId) -> bool {
        let current_use = self.upstreams.get(id).map(|upstream| upstream.current_use);
        let Some(UpstreamUse::Reserved { attempt }) = current_use else {
            return false;
        };
        self.return_upstream_to_pool(id);
        self.finish_attempt(attempt, Outcome::NotSent);
        true
    }

    /// Gives up the attempts that wait for upstreams to servers that are no longer ready.
    pub(super) fn release_reserved_upstreams_of_unready_servers(&mut self) {
        for (id, _, server) in self.upstreams.reserved() {
            if self.servers[server].state != EndpointState::Ready {
                self.release_reserved_upstream(id);
            }
        }
    }

    /// Closes the reserved upstreams to a server whose process has been replaced, and opens others
    /// for their attempts.
    pub(super) fn replace_reserved_upstreams(&mut self, replaced: ServerIndex) {
        for (id, attempt, server) in self.upstreams.reserved() {
            if server == replaced {
                self.close_upstream(id);
                self.open_upstream(attempt);
            }
        }
    }
}

fn log_unsolicited_bytes(address: SocketAddr, delay: Option<Span>) {
    match delay.map(Span::as_ms) {
        Some(delay_ms) => tracing::warn!(
            server = %address,
            delay_ms,
            "unsolicited bytes from {address}, {delay_ms:.1} ms after its last response"
        ),
        None => tracing::warn!(
            server = %address,
            "unsolicited bytes from {address} before its first response"
        ),
    }
}
