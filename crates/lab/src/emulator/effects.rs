//! Actions of a node's router: turns the requests, timers and responses that it asks for into
//! events.
use quartzhub_policy::{CallIndex, EndpointState, Outcome, PolicyActions, ServerIndex, Span, Time};

use super::event::{AttemptDelivery, AttemptEnd, AttemptTimer, Event, PendingConnection, Response};
use super::state::{Attempt, IdleConnection, NodeState, Simulation};
use super::{KEEPALIVE, MIN_TIMER};
use crate::rules::CallEvent;
use crate::server::Job;
use crate::stats::CallOutcome;

/// Carries out the actions of one node's router.
pub(super) struct Effects<'a> {
    pub(super) sim: &'a mut Simulation,
    pub(super) node_state: &'a mut NodeState,
}

impl Effects<'_> {
    /// Sends an attempt's request if its API call still needs it. As in the real node, this is
    /// checked when the request is about to be written.
    pub(super) fn send_request(
        &mut self,
        server: usize,
        incarnation: u64,
        job: Job,
        new_connection: bool,
    ) {
        let now = self.sim.now;
        let endpoint = self.node_state.known_endpoints[server];
        let usable = endpoint.state == EndpointState::Ready || !new_connection;
        let attempt = self
            .node_state
            .open_call(job.call)
            .filter(|open_call| !open_call.closed && now < open_call.deadline)
            .and_then(|open_call| open_call.attempts.get_mut(job.attempt))
            .filter(|attempt| attempt.in_flight && usable);
        let Some(attempt) = attempt else {
            return self.skip_request(server, incarnation, &job);
        };
        attempt.written = true;
        attempt.incarnation = incarnation;
        let sim = &mut *self.sim;
        let grace = sim.scenario.grace();
        sim.checker
            .record_sent(now, job.call, server, endpoint.unavailable_since, grace);
        sim.report.attempts += 1;
        if server == sim.origin() {
            sim.report.count_origin_attempt(now);
        }
        let delay = sim.network_delay();
        let delivery = AttemptDelivery {
            job,
            server,
            incarnation,
            new_connection,
        };
        sim.schedule_after(delay, Event::AttemptArrived(delivery));
    }

    /// Ends an attempt that is no longer needed before its request is written; its connection is
    /// kept for a later attempt.
    fn skip_request(&mut self, server: usize, incarnation: u64, job: &Job) {
        if self.sim.servers[server].incarnation == incarnation {
            self.node_state.idle_connections[server].push_back(IdleConnection {
                incarnation,
                idle_since: self.sim.now,
            });
        }
        self.end_attempt(job.call, job.attempt, server, Outcome::NotSent);
    }

    /// Ends an attempt on the node's side; its router is notified by the next event.
    fn end_attempt(&mut self, call: u64, attempt: usize, server: usize, outcome: Outcome) {
        let attempt_end = AttemptEnd {
            node: self.node_state.node,
            node_incarnation: Some(self.node_state.node_incarnation),
            call,
            attempt,
            server,
            outcome,
        };
        self.sim
            .schedule_after(Span::ZERO, Event::AttemptEnded(attempt_end));
    }

    pub(super) fn respond(
        &mut self,
        index: CallIndex,
        outcome: CallOutcome,
        event: CallEvent,
        retry_after: Option<Span>,
    ) {
        let Some(open_call) = self.node_state.calls.get_mut(index) else {
            return;
        };
        self.sim
            .checker
            .record_response(self.sim.now, open_call.call, event);
        self.sim
            .report
            .add_to_trace(self.sim.now, open_call.call ^ outcome as u64);
        if std::mem::replace(&mut open_call.closed, true) {
            return;
        }
        let response = Response {
            attempt: open_call.client_attempt,
            outcome,
            retry_after,
        };
        let delay = self.sim.network_delay();
        self.sim
            .schedule_after(delay, Event::ResponseDelivered(response));
    }

    /// Closes idle connections that have expired or lead to an earlier incarnation, and takes the
    /// newest of the rest; false if there is none.
    fn take_idle_connection(&mut self, server: usize) -> bool {
        let now = self.sim.now;
        let server_state = &mut self.sim.servers[server];
        let incarnation = server_state.incarnation;
        let idle = &mut self.node_state.idle_connections[server];
        while let Some(oldest) = idle.front() {
            let is_stale = oldest.incarnation != incarnation;
            if !is_stale && now - oldest.idle_since <= KEEPALIVE {
                break;
            }
            idle.pop_front();
            if !is_stale {
                server_state.release_connections(1);
            }
        }
        idle.pop_back().is_some()
    }

    /// Records a new attempt of an API call and returns its job; none if the call has been
    /// released.
    fn new_attempt(&mut self, index: CallIndex, server: usize) -> Option<Job> {
        let sim = &mut *self.sim;
        let open_call = self.node_state.calls.get_mut(index)?;
        sim.report
            .add_to_trace(sim.now, open_call.call ^ (server as u64) << 40);
        let mean_ms = if server == sim.origin() {
            sim.scenario.origin.work_ms
        } else {
            sim.scenario.products[open_call.product].work_ms
        };
        let work = sim.draw_work(mean_ms);
        let job = Job {
            id: sim.allocate_id(),
            node: self.node_state.node,
            call: open_call.call,
            attempt: open_call.attempts.len(),
            key: open_call.key,
            write: open_call.write,
            work,
            caused_by_cold_miss: open_call.misses.iter().any(|miss| miss.cold),
        };
        open_call.attempts.push(Attempt {
            server,
            incarnation: sim.servers[server].incarnation,
            job_id: job.id,
            sent_at: sim.now,
            in_flight: true,
            written: false,
        });
        Some(job)
    }
}

impl PolicyActions for Effects<'_> {
    fn dispatch(&mut self, call: CallIndex, server: ServerIndex, deadline: Time, _by: Time) {
        let Some(&server) = self.node_state.servers_by_index.get(server.0) else {
            return;
        };
        let Some(job) = self.new_attempt(call, server) else {
            return;
        };
        let (node, node_incarnation) = (self.node_state.node, self.node_state.node_incarnation);
        let timer = AttemptTimer {
            node,
            node_incarnation,
            call: job.call,
            attempt: job.attempt,
        };
        // An idle connection is reused; a new one takes another round trip.
        let reused = self.take_idle_connection(server);
        self.sim.schedule_at(deadline, Event::AttemptTimeout(timer));
        if reused {
            let incarnation = self.sim.servers[server].incarnation;
            self.send_request(server, incarnation, job, false);
            return;
        }
        self.sim.report.handshakes += 1;
        let delay = self.sim.network_delay();
        let pending = PendingConnection {
            node,
            node_incarnation,
            server,
            job,
        };
        self.sim.schedule_after(delay, Event::Connect(pending));
    }

    fn cancel(&mut self, call: CallIndex, attempt: usize) {
        let Some(open_call) = self.node_state.calls.get_mut(call) else {
            return;
        };
        let call_id = open_call.call;
        let Some(attempt_state) = open_call
            .attempts
            .get(attempt)
            .filter(|attempt_state| attempt_state.in_flight)
            .copied()
        else {
            return;
        };
        let outcome = if attempt_state.written {
            self.sim.send_cancellation(&attempt_state);
            Outcome::Cancelled
        } else {
            Outcome::NotSent
        };
        self.end_attempt(call_id, attempt, attempt_state.server, outcome);
    }

    fn rate_limit(&mut self, call: CallIndex, retry_in: Option<Span>) {
        self.respond(
            call,
            CallOutcome::RateLimited,
            CallEvent::RateLimited,
            retry_in,
        );
    }

    fn fail(&mut self, call: CallIndex) {
        self.respond(call, CallOutcome::Errored, CallEvent::Errored, None);
    }

    fn release_call(&mut self, call: CallIndex) {
        if let Some(open_call) = self.node_state.calls.remove(call) {
            self.node_state.call_indices.remove(&open_call.call);
        }
    }

    fn release_server(&mut self, _server: ServerIndex) {}

    fn set_timer(&mut self, after: Span) {
        let timer = Event::PolicyTimer {
            node: self.node_state.node,
            node_incarnation: self.node_state.node_incarnation,
        };
        self.sim.schedule_after(after.max(MIN_TIMER), timer);
    }

    fn close_idle_connections(&mut self, server: ServerIndex) {
        let Some(&server) = self.node_state.servers_by_index.get(server.0) else {
            return;
        };
        let server_state = &mut self.sim.servers[server];
        let idle = self.node_state.count_idle(server, server_state.incarnation);
        self.node_state.idle_connections[server].clear();
        server_state.release_connections(idle);
    }
}
