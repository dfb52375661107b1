//! The nodes' side of an attempt: connection established, end, timeout.
use quartzhub_policy::{AttemptResult, EndpointState, Outcome};

use super::event::{AttemptEnd, AttemptTimer, Event, FinishedWork, PendingConnection, ValueStore};
use super::state::{CacheMiss, IdleConnection, NodeCall};
use super::Emulator;
use crate::metric::Metric;
use crate::routers::Router;
use crate::rules::CallEvent;
use crate::server::Health;
use crate::stats::CallOutcome;

/// The metric for finished work; `call_open`: its API call was still open.
fn work_metric(origin: bool, write: bool, miss: bool, call_open: bool) -> Metric {
    match (origin, write, miss, call_open) {
        (false, _, true, _) => Metric::Miss,
        (false, _, false, true) => Metric::Hit,
        (false, _, false, false) => Metric::HitForClosedCall,
        (true, true, _, true) => Metric::OriginWrite,
        (true, false, _, true) => Metric::OriginRead,
        (true, _, _, false) => Metric::OriginWorkForClosedCall,
    }
}

impl<R: Router, F: Fn(usize, u64) -> R> Emulator<R, F> {
    pub(super) fn on_connected(&mut self, pending: PendingConnection, incarnation: u64) {
        let PendingConnection {
            node,
            node_incarnation,
            server,
            job,
        } = pending;
        if self.is_current(node, node_incarnation) {
            self.with_router(node, |_, effects, _| {
                effects.send_request(server, incarnation, job, true)
            });
        } else if self.sim.servers[server].incarnation == incarnation {
            self.sim.servers[server].release_connections(1);
        }
    }

    pub(super) fn on_work_finished(&mut self, finished: FinishedWork) {
        let FinishedWork {
            job, server, miss, ..
        } = finished;
        let server_state = &mut self.sim.servers[server];
        if server_state.incarnation != finished.incarnation || !server_state.finish_job(job.id) {
            return;
        }
        if server_state.health == Health::Hung {
            // The work is done, but a hung server sends no response.
            return;
        }
        let cold = server_state.is_warming_up(self.sim.now);
        let origin = server_state.origin;
        if !origin && miss {
            self.sim.report.misses += 1;
        } else if !origin {
            self.sim.report.hits += 1;
        }
        self.record_work(&finished, origin, cold);
        if origin && job.write {
            for server in &mut self.sim.servers {
                server.cache.remove(job.key);
            }
        }
        let delay = self.sim.network_delay();
        let outcome = if miss {
            Outcome::Miss
        } else {
            Outcome::Success
        };
        let attempt_end = AttemptEnd::of_job(&job, server, outcome);
        self.sim
            .schedule_after(delay, Event::AttemptEnded(attempt_end));
        self.sim.begin_work(server);
    }

    /// Counts finished work. A miss is recorded at its API call; a fetched value is sent to the
    /// caches that missed.
    fn record_work(&mut self, finished: &FinishedWork, origin: bool, cold: bool) {
        let job = &finished.job;
        let call = self.nodes[job.node].node_state.open_call(job.call);
        let call_open = call.as_ref().is_some_and(|call| !call.closed);
        let metric = work_metric(origin, job.write, finished.miss, call_open);
        self.sim.report.count(self.sim.now, metric);
        if finished.miss {
            let cache_miss = CacheMiss {
                server: finished.server,
                incarnation: finished.incarnation,
                cold,
            };
            if let Some(call) = call {
                call.misses.push(cache_miss);
            }
        } else if origin && !job.write {
            let misses = call.map(|call| call.misses.clone()).unwrap_or_default();
            self.store_fetched_value(job.key, &misses);
        }
    }

    /// Sends the fetched value to the caches at which the API call missed.
    fn store_fetched_value(&mut self, key: u64, misses: &[CacheMiss]) {
        for miss in misses {
            let delay = self.sim.network_delay();
            let value = ValueStore {
                server: miss.server,
                incarnation: miss.incarnation,
                key,
            };
            self.sim.schedule_after(delay, Event::ValueStored(value));
        }
    }

    /// Ends an attempt at its node: passes its result to the router and keeps its connection if it
    /// can be reused.
    pub(super) fn apply_attempt_end(&mut self, attempt_end: AttemptEnd) {
        let AttemptEnd {
            node,
            call,
            attempt,
            server,
            outcome,
            ..
        } = attempt_end;
        let now = self.sim.now;
        let node_state = &mut self.nodes[node].node_state;
        if !node_state.up {
            return;
        }
        let Some(&index) = node_state.call_indices.get(&call) else {
            return;
        };
        let Some(ended) = node_state.end_attempt(index, attempt) else {
            return;
        };
        self.sim
            .report
            .add_to_trace(now, call ^ (outcome as u64) << 8);
        self.return_connection(node, server, ended.incarnation, outcome);
        let open_call = self.nodes[node].node_state.calls.get(index);
        let in_time =
            open_call.is_some_and(|open_call| !open_call.closed && now < open_call.deadline);
        if outcome == Outcome::Success && in_time {
            self.with_router(node, |_, effects, _| {
                effects.respond(index, CallOutcome::Fulfilled, CallEvent::Fulfilled, None)
            });
        }
        let open_call = self.nodes[node].node_state.calls.get(index);
        let result = AttemptResult {
            attempt,
            outcome,
            latency: now - ended.sent_at,
            call_finished: open_call.is_none_or(|open_call| open_call.closed),
        };
        self.with_router(node, |router, effects, now| {
            router.on_attempt_result(now, index, result, effects)
        });
    }

    /// Keeps the connection for a later attempt if this one got a response; closes it instead if the
    /// node knows that the server is draining or gone.
    fn return_connection(
        &mut self,
        node: usize,
        server: usize,
        incarnation: u64,
        outcome: Outcome,
    ) {
        let reusable = matches!(
            outcome,
            Outcome::Success | Outcome::Miss | Outcome::Overloaded
        );
        if !reusable {
            return;
        }
        let node_state = &mut self.nodes[node].node_state;
        if node_state.known_endpoints[server].state == EndpointState::Ready {
            node_state.idle_connections[server].push_back(IdleConnection {
                incarnation,
                idle_since: self.sim.now,
            });
        } else if self.sim.servers[server].incarnation == incarnation {
            self.sim.servers[server].release_connections(1);
        }
    }

    pub(super) fn on_attempt_timeout(&mut self, timer: AttemptTimer) {
        let AttemptTimer {
            node,
            node_incarnation,
            call,
            attempt,
        } = timer;
        let node_state = &mut self.nodes[node].node_state;
        if node_state.node_incarnation != node_incarnation {
            return;
        }
        let Some(attempt_state) = node_state
            .open_call(call)
            .and_then(|open_call: &mut NodeCall| open_call.attempts.get(attempt).copied())
            .filter(|attempt_state| attempt_state.in_flight)
        else {
            return;
        };
        let outcome = if attempt_state.written {
            self.sim.send_cancellation(&attempt_state);
            Outcome::TimedOut
        } else {
            Outcome::Unreachable
        };
        self.apply_attempt_end(AttemptEnd {
            node,
            node_incarnation: Some(node_incarnation),
            call,
            attempt,
            server: attempt_state.server,
            outcome,
        });
    }
}
