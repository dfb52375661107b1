//! Load generator for real nodes over loopback. It is open-loop: a slow node receives as many API
//! calls as a fast one, and each latency is measured from the time at which the call was scheduled.
//! Rate, duration and number of connections are limited.
mod arrivals;
mod endpoint;
mod request;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use quartzhub_policy::{Idempotency, Pcg, Span, Time};
use rand_distr::{Distribution, Exp1};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::rule_monitor::RuleMonitor;
use crate::scenario::Scenario;
use crate::stats::{CallOutcome, EndedCall, Report};
use arrivals::{Arrival, Arrivals};
use endpoint::AttemptResult;
use request::ClientRequest;

pub use endpoint::NodeEndpoint;
pub use request::parse_call_id;

/// How long a client still reads after its timeout, so that a late response is distinguished from a
/// missing one. Clients that give up before the product's client timeout don't read any longer.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// State shared by all clients of one run.
struct ClientPool {
    scenario: Scenario,
    /// The scenario's products in the policy's form.
    policies: Vec<quartzhub_policy::Product>,
    endpoints: Vec<Rc<NodeEndpoint>>,
    monitor: Rc<RuleMonitor>,
    report: RefCell<Report>,
    rng: RefCell<Pcg>,
    /// Number of client attempts so far; the next attempt's id.
    attempts: Cell<u64>,
}

/// An API call of one client.
struct ClientCall {
    arrival: Arrival,
    /// When its first attempt was due, whether or not it was sent late.
    scheduled_at: Instant,
}

/// Runs the scenario's clients against the nodes behind the endpoints. Must be called in a
/// `LocalSet`.
pub async fn drive(
    scenario: &Scenario,
    endpoints: &[Rc<NodeEndpoint>],
    monitor: &Rc<RuleMonitor>,
) -> Report {
    let pool = Rc::new(ClientPool {
        scenario: scenario.clone(),
        policies: scenario.policy_config(0).products,
        endpoints: endpoints.to_vec(),
        monitor: monitor.clone(),
        report: RefCell::new(Report::new(scenario)),
        rng: RefCell::new(Pcg::new(scenario.seed)),
        attempts: Cell::new(0),
    });
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for arrival in Arrivals::new(scenario) {
        let scheduled_at = start + Duration::from_secs_f64(arrival.at_s);
        sleep_until(scheduled_at).await;
        while tasks.try_join_next().is_some() {}
        let pool = pool.clone();
        let call = ClientCall {
            arrival,
            scheduled_at,
        };
        tasks.spawn_local(async move { pool.run(call).await });
    }
    while tasks.join_next().await.is_some() {}
    let mut report = pool.report.replace(Report::new(scenario));
    report.client_attempts = pool.attempts.get();
    let sum =
        |count: fn(&NodeEndpoint) -> u64| endpoints.iter().map(|endpoint| count(endpoint)).sum();
    report.idle_connections_closed = sum(|endpoint| endpoint.idle_connections_closed.get());
    report.connections_closed_in_call = sum(|endpoint| endpoint.connections_closed_in_call.get());
    report
}

impl ClientPool {
    /// Draws the endpoint to which the load balancer in front of the nodes sends an attempt; `None`
    /// if no node is in rotation.
    fn pick_endpoint(&self) -> Option<&Rc<NodeEndpoint>> {
        let in_rotation: Vec<_> = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.in_rotation.get())
            .collect();
        let draw = self.rng.borrow_mut().unit();
        in_rotation
            .get((draw * in_rotation.len() as f64) as usize)
            .copied()
    }

    /// Runs an API call with its client's retries, and records its result.
    async fn run(&self, call: ClientCall) {
        let max_retries = self.scenario.clients.retries;
        let mut retries = 0;
        loop {
            let attempt = self.attempt(&call, retries > 0).await;
            let ended_at = Instant::now();
            let may_retry = self.may_retry(call.arrival.product, attempt.outcome);
            if !may_retry || retries == max_retries {
                self.record(&call, attempt.outcome, ended_at);
                return;
            }
            let retry_delay = attempt.retry_after.unwrap_or_else(|| self.draw_backoff());
            sleep_until(ended_at + retry_delay).await;
            retries += 1;
        }
    }

    fn may_retry(&self, product: usize, outcome: CallOutcome) -> bool {
        match outcome {
            CallOutcome::Fulfilled => false,
            CallOutcome::RateLimited | CallOutcome::NotAccepted => true,
            _ => self.policies[product].idempotency != Idempotency::NonIdempotent,
        }
    }

    /// Draws the fraction of the client timeout after which a client gives up.
    fn draw_timeout_factor(&self) -> f64 {
        let [from, to] = self.scenario.clients.client_timeout_factor;
        from + (to - from) * self.rng.borrow_mut().unit()
    }

    fn draw_backoff(&self) -> Duration {
        let factor: f64 = Exp1.sample(&mut *self.rng.borrow_mut());
        Duration::from_secs_f64(self.scenario.clients.retry_wait_ms / 1000.0 * factor)
    }

    /// Runs one attempt of a client at a node in rotation.
    async fn attempt(&self, call: &ClientCall, retry: bool) -> AttemptResult {
        let call_id = self.attempts.get();
        self.attempts.set(call_id + 1);
        let timeout_factor = self.draw_timeout_factor();
        let started_at = match retry {
            true => Instant::now(),
            false => call.scheduled_at,
        };
        let product = &self.scenario.products[call.arrival.product];
        let client_timeout = product.timeout_ms / 1000.0 * timeout_factor;
        let expires_at = started_at + Duration::from_secs_f64(client_timeout);
        let request = ClientRequest {
            call: call_id,
            key: call.arrival.key,
            product,
            policy: &self.policies[call.arrival.product],
            retry,
            deadline: self.monitor.time_of(expires_at),
            expires_at,
        };
        let Some(endpoint) = self.pick_endpoint() else {
            return AttemptResult::new(CallOutcome::NotAccepted);
        };
        let read_deadline = match timeout_factor >= 1.0 {
            true => expires_at + LATE_RESPONSE_TIMEOUT,
            false => expires_at,
        };
        let result = timeout_at(read_deadline, endpoint.send(&self.monitor, &request)).await;
        let mut attempt = result.unwrap_or(AttemptResult::new(CallOutcome::TimedOut));
        match attempt.outcome {
            CallOutcome::TimedOut => self
                .monitor
                .record_client_disconnect(call_id, endpoint.node),
            CallOutcome::ConnectionClosed => self
                .monitor
                .record_connection_closed(call_id, endpoint.node),
            _ => {}
        }
        // A response after the client's timeout has no value.
        if Instant::now() > expires_at {
            attempt.outcome = CallOutcome::TimedOut;
        }
        attempt
    }

    fn record(&self, call: &ClientCall, outcome: CallOutcome, ended_at: Instant) {
        let product = &self.scenario.products[call.arrival.product];
        let latency = ended_at.saturating_duration_since(call.scheduled_at);
        let in_slo = latency.as_secs_f64() * 1000.0 <= product.slo_ms;
        let earned_ratio = match outcome {
            CallOutcome::Fulfilled if in_slo => 1.0,
            CallOutcome::Fulfilled => product.late_priority_weight,
            _ => 0.0,
        };
        let mut report = self.report.borrow_mut();
        report.started += 1;
        report.record_ended_call(EndedCall {
            product: call.arrival.product,
            started_at: Time::from_ms(call.arrival.at_s * 1000.0),
            latency: Span(latency.as_micros() as i64),
            outcome,
            in_slo,
            priority_weight: product.priority_weight,
            value_ratio: earned_ratio,
        });
    }
}
