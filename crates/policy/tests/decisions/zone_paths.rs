//! Network paths between zones that are slow or lossy although the servers behind them are healthy.
use std::collections::HashMap;

use crate::common::{config, endpoint, Node, Trace};
use quartzhub_policy::{Balancer, Endpoint, EndpointState, Outcome, Time};
use quartzhub_settings::Value;

/// The outcome of attempts at a server, and their latency in milliseconds.
type ServerBehavior = fn(usize) -> (Outcome, f64);

/// An attempt whose result is not reported to the node yet.
struct Pending {
    at: f64,
    call: usize,
    attempt: usize,
    outcome: Outcome,
    latency_ms: f64,
}

/// A node with the attempts that its servers have yet to complete. Caches 1 and 2 are in the node's
/// zone; the origin (server 0) and caches 3, 4, 5 and 7 are in another.
struct PathNode {
    node: Node,
    pending: Vec<Pending>,
    /// Attempts made so far, by call.
    attempts: HashMap<usize, usize>,
    /// Attempts sent, by server.
    sent: [usize; 8],
    rate_limited: usize,
    calls: usize,
}

impl PathNode {
    fn new() -> PathNode {
        let extra = [("balancers", Value::Number(10.0))];
        let balancer = Balancer::new(&config(&extra), 7);
        let mut node = Node {
            balancer,
            trace: Trace::default(),
            now: 0.0,
            tenant: 0,
        };
        node.balancer.start(Time(0), &mut node.trace);
        let zone = |server| u32::from(server != 1 && server != 2);
        let endpoint_in_zone = |server| Endpoint {
            zone: zone(server),
            ..endpoint(server, EndpointState::Ready, None)
        };
        node.replace_list(&[0, 1, 2, 3, 4, 5, 7].map(endpoint_in_zone));
        PathNode {
            node,
            pending: Vec::new(),
            attempts: HashMap::new(),
            sent: [0; 8],
            rate_limited: 0,
            calls: 0,
        }
    }

    /// Processes the actions that the node has recorded since this function last ran.
    fn record_actions(&mut self, behavior: ServerBehavior) {
        for action in std::mem::take(&mut self.node.trace.0).lines() {
            self.rate_limited += usize::from(action.contains("rate-limited"));
            let Some((call, server)) = action.split_once(" -> server ") else {
                continue;
            };
            let call: usize = call
                .trim_start()
                .trim_start_matches("call ")
                .parse()
                .unwrap();
            let server: usize = server.split(' ').next().unwrap().parse().unwrap();
            let attempt = self.attempts.entry(call).or_default();
            let (outcome, latency_ms) = behavior(server);
            let at = self.node.now + latency_ms;
            self.pending.push(Pending {
                at,
                call,
                attempt: *attempt,
                outcome,
                latency_ms,
            });
            *attempt += 1;
            self.sent[server] += 1;
        }
    }

    /// Makes a read every 10 ms for `ms` milliseconds.
    fn run(&mut self, ms: f64, behavior: ServerBehavior) {
        let until = self.node.now + ms;
        while self.node.now < until {
            self.node
                .call(self.calls, 0, &format!("key-{}", self.calls), false);
            self.calls += 1;
            self.record_actions(behavior);
            self.node.now += 10.0;
            if self.calls.is_multiple_of(2) {
                self.node
                    .balancer
                    .on_timer(self.node.time(), &mut self.node.trace);
                self.record_actions(behavior);
            }
            let now = self.node.now;
            for completed in self
                .pending
                .extract_if(.., |pending| pending.at <= now)
                .collect::<Vec<_>>()
            {
                self.node.end_attempt(
                    completed.call,
                    completed.attempt,
                    completed.outcome,
                    completed.latency_ms,
                );
                self.record_actions(behavior);
            }
        }
    }
}

/// Responses lost on the path from three caches of a zone show that the path to the fourth is lossy
/// too.
#[test]
fn all_caches_behind_a_lossy_path_are_avoided() {
    let mut path_node = PathNode::new();
    path_node.run(2_000.0, |_| (Outcome::Success, 20.0));
    let baseline = path_node.sent[7];
    path_node.run(1_000.0, |server| match server {
        3..=5 => (Outcome::TimedOut, 200.0),
        _ => (Outcome::Success, 20.0),
    });
    path_node.sent[7] = 0;
    path_node.run(2_000.0, |server| match server {
        3..=5 | 7 => (Outcome::TimedOut, 200.0),
        _ => (Outcome::Success, 20.0),
    });
    assert!(
        path_node.sent[7] * 4 < baseline,
        "{} attempts at cache 7 behind the lossy path, {baseline} before",
        path_node.sent[7]
    );
}

/// Responses of an origin behind a slow path are late because of the path, not because of a queue,
/// and still within the SLO.
#[test]
fn origin_behind_a_slow_path_stays_in_use() {
    let mut path_node = PathNode::new();
    path_node.run(2_000.0, |server| match server {
        0 => (Outcome::Success, 40.0),
        _ => (Outcome::Success, 20.0),
    });
    let slow: ServerBehavior = |server| match server {
        0 => (Outcome::Success, 320.0),
        1 | 2 => (Outcome::Miss, 5.0),
        _ => (Outcome::Miss, 300.0),
    };
    path_node.run(6_000.0, slow);
    path_node.sent = [0; 8];
    path_node.rate_limited = 0;
    path_node.run(2_000.0, slow);
    assert!(
        path_node.rate_limited <= 20,
        "{} of 200 reads were rejected",
        path_node.rate_limited
    );
}
