//! Clients: their API calls, attempts, timeouts and retries.
use quartzhub_policy::{CallIndex, CallRequest, Idempotency, Span};
use rand_distr::{Distribution, Exp1};

use super::event::{ClientAttempt, Event, Response};
use super::state::{ClientCall, NodeCall, Simulation};
use super::{Emulator, RESPONSE_SLACK};
use crate::metric::Metric;
use crate::routers::Router;
use crate::stats::{CallOutcome, EndedCall};

/// How long before the client timeout a node has to respond: time for the response to reach the
/// client.
const RESPONSE_MARGIN: Span = Span::ms(3);

impl Simulation {
    /// The client's API call, if `attempt` is still its current attempt.
    fn current_attempt(&mut self, attempt: ClientAttempt) -> Option<&mut ClientCall> {
        self.clients
            .get_mut(&attempt.client)
            .filter(|client| client.attempt_number == attempt.number)
    }

    /// Draws a product by its share of the traffic.
    fn draw_product(&mut self) -> usize {
        let draw = self.rng.unit();
        self.cumulative_shares
            .iter()
            .position(|share| draw < *share)
            .unwrap_or(self.cumulative_shares.len() - 1)
    }

    /// Starts a client's next attempt at a node.
    fn start_client_attempt(&mut self, client_id: u64, node: usize) -> Option<ClientAttempt> {
        let now = self.now;
        let client = self.clients.get_mut(&client_id)?;
        client.attempt_sent_at = now;
        client.attempt_number += 1;
        client.node = node;
        client.call = None;
        client.attempt_ended = false;
        Some(ClientAttempt {
            client: client_id,
            number: client.attempt_number,
        })
    }

    /// Refuses a client's connection at once, for a node that is down: the API call was not
    /// accepted, so it is safe to retry.
    fn refuse_connection(&mut self, attempt: ClientAttempt) {
        let delay = self.network_delay();
        let response = Response {
            attempt,
            outcome: CallOutcome::RateLimited,
            retry_after: None,
        };
        self.schedule_after(delay, Event::ResponseDelivered(response));
    }

    /// Records the end of a client's API call. It earns its full value within the latency
    /// objective, a reduced value if fulfilled later, and none otherwise.
    fn end_client_call(&mut self, client_id: u64, outcome: CallOutcome) {
        let Some(client) = self.clients.remove(&client_id) else {
            return;
        };
        let product = self.products[client.product];
        let elapsed = self.now - client.started_at;
        let fulfilled = outcome == CallOutcome::Fulfilled;
        let in_slo = fulfilled && elapsed <= product.latency_objective;
        let earned_ratio = match (fulfilled, in_slo) {
            (false, _) => 0.0,
            (true, true) => 1.0,
            (true, false) => product.late_priority_weight,
        };
        self.report.record_ended_call(EndedCall {
            product: client.product,
            started_at: client.started_at,
            latency: elapsed,
            outcome,
            in_slo,
            priority_weight: product.priority_weight,
            value_ratio: earned_ratio,
        });
    }

    /// Schedules a retry if the client may make one, else ends its API call without a value.
    fn retry_or_end(&mut self, client_id: u64, outcome: CallOutcome, retry_after: Option<Span>) {
        let Some(client) = self.clients.get_mut(&client_id) else {
            return;
        };
        let idempotency = self.products[client.product].idempotency;
        let safe_to_retry =
            idempotency != Idempotency::NonIdempotent || outcome == CallOutcome::RateLimited;
        let attempts_left = client.attempt_number as usize <= self.scenario.clients.retries;
        if !safe_to_retry || !attempts_left || self.now >= self.end {
            return self.end_client_call(client_id, outcome);
        }
        client.attempt_ended = true;
        let mean_ms = retry_after.map_or(self.scenario.clients.retry_wait_ms, Span::as_ms);
        let delay = Span::from_ms(mean_ms * (0.5 + self.rng.unit()));
        self.schedule_after(delay, Event::ClientRetry { client: client_id });
    }
}

impl<R: Router, F: Fn(usize, u64) -> R> Emulator<R, F> {
    pub(super) fn on_client_arrival(&mut self) {
        let sim = &mut self.sim;
        let exponential: f64 = Exp1.sample(&mut sim.rng);
        let rate = sim.scenario.traffic.rate * sim.traffic_factor;
        let next = sim.now + Span::from_ms(exponential / rate * 1000.0);
        if next < sim.end {
            sim.schedule_at(next, Event::ClientArrival);
        }
        let keys = &sim.scenario.keys;
        sim.popularity_shift = (keys.drift * keys.count as f64 * sim.now.ms() / 1000.0) as u64;
        let product = sim.draw_product();
        let key = sim.draw_key();
        let id = sim.allocate_id();
        let client = ClientCall {
            product,
            key,
            started_at: sim.now,
            attempt_number: 0,
            attempt_sent_at: sim.now,
            node: 0,
            call: None,
            attempt_ended: false,
        };
        sim.clients.insert(id, client);
        sim.report.started += 1;
        self.send_client_attempt(id);
    }

    /// Sends a client's next attempt to a randomly chosen node.
    pub(super) fn send_client_attempt(&mut self, client_id: u64) {
        let nodes = self.nodes.len();
        let sim = &mut self.sim;
        let node = ((sim.rng.unit() * nodes as f64) as usize).min(nodes - 1);
        let client_timeout_factor = sim.draw_uniform(sim.scenario.clients.client_timeout_factor);
        let Some(attempt) = sim.start_client_attempt(client_id, node) else {
            return;
        };
        sim.report.client_attempts += 1;
        let metric = if attempt.number == 1 {
            Metric::FirstAttempt
        } else {
            Metric::Retry
        };
        sim.report.count(sim.now, metric);
        let delay = sim.network_delay();
        sim.schedule_after(delay, Event::RequestArrived(attempt));
        let product = sim.clients[&client_id].product;
        let timeout = sim.products[product].client_timeout;
        sim.schedule_after(
            timeout.times(client_timeout_factor),
            Event::ClientTimeout(attempt),
        );
    }

    pub(super) fn on_request_arrived(&mut self, attempt: ClientAttempt) {
        let Some(client) = self.sim.current_attempt(attempt) else {
            return;
        };
        let (node, product, key) = (client.node, client.product, client.key);
        if !self.nodes[node].node_state.up {
            return self.sim.refuse_connection(attempt);
        }
        let write = self.sim.scenario.products[product].write;
        let client_timeout = self.sim.products[product].client_timeout;
        let time_left = Span((client_timeout.0 - RESPONSE_MARGIN.0).max(0));
        let call = self.sim.allocate_id();
        if let Some(client) = self.sim.current_attempt(attempt) {
            client.call = Some(call);
        }
        let index = self.accept_call(
            node,
            NodeCall {
                call,
                client_attempt: attempt,
                key,
                product,
                write,
                deadline: self.sim.now + time_left,
                closed: false,
                attempts: Vec::new(),
                misses: Vec::new(),
            },
        );
        let key = format!("{key:x}");
        let request = CallRequest {
            product,
            tenant: usize::MAX,
            key: Some(&key),
            write,
            client_retry: attempt.number > 1,
            time_left,
        };
        self.with_router(node, |router, effects, now| {
            router.on_call(now, index, request, effects)
        });
    }

    /// Opens an API call at its node, which from now on must send a final response.
    fn accept_call(&mut self, node: usize, open_call: NodeCall) -> CallIndex {
        let call = open_call.call;
        let client_deadline = open_call.deadline + RESPONSE_MARGIN;
        let product = self.sim.products[open_call.product];
        self.sim
            .checker
            .record_accepted(self.sim.now, call, node, product, client_deadline);
        self.sim.schedule_at(
            client_deadline + RESPONSE_SLACK,
            Event::CallDeadline { call },
        );
        let node_state = &mut self.nodes[node].node_state;
        let index = node_state.calls.insert(open_call);
        node_state.call_indices.insert(call, index);
        index
    }

    /// Handles a client timeout: the client closes its connection, and may retry.
    pub(super) fn on_client_timeout(&mut self, attempt: ClientAttempt) {
        let now = self.sim.now;
        let Some(client) = self.sim.current_attempt(attempt) else {
            return;
        };
        if client.attempt_ended {
            return;
        }
        let (node, call) = (client.node, client.call);
        let elapsed = now - client.attempt_sent_at;
        let product = client.product;
        if let Some(call) = call {
            // A client that waited for its full timeout must have had a response.
            if elapsed < self.sim.products[product].client_timeout {
                self.sim.checker.record_client_disconnect(now, call);
            }
            self.report_client_disconnect(node, call);
        }
        self.sim
            .retry_or_end(attempt.client, CallOutcome::TimedOut, None);
    }

    /// Notifies the node that the client of an API call has disconnected.
    fn report_client_disconnect(&mut self, node: usize, call: u64) {
        let node_state = &mut self.nodes[node].node_state;
        let Some(&index) = node_state.call_indices.get(&call) else {
            return;
        };
        if !node_state.up {
            return;
        }
        let Some(open_call) = node_state.calls.get_mut(index) else {
            return;
        };
        if !std::mem::replace(&mut open_call.closed, true) {
            self.with_router(node, |router, effects, now| {
                router.on_client_cancelled(now, index, effects)
            });
        }
    }

    pub(super) fn on_response_delivered(&mut self, response: Response) {
        let Response {
            attempt,
            outcome,
            retry_after,
        } = response;
        let Some(client) = self.sim.current_attempt(attempt) else {
            return;
        };
        if std::mem::replace(&mut client.attempt_ended, true) {
            return;
        }
        if outcome == CallOutcome::Fulfilled {
            return self.sim.end_client_call(attempt.client, outcome);
        }
        let metric = if attempt.number == 1 {
            Metric::FirstAttemptFailed
        } else {
            Metric::RetryFailed
        };
        self.sim.report.count(self.sim.now, metric);
        self.sim.retry_or_end(attempt.client, outcome, retry_after);
    }
}
