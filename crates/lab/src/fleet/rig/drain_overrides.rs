//! Drain overrides: the rig sets and clears them through the operator API of the nodes, and checks
//! that all serving nodes obey them.
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use super::Rig;
use crate::fleet::operators;
use crate::fleet::process::ProcessState;

/// Time after which every serving and reachable node must know of an override; it is well below
/// the time that an endpoint list update may take.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(1_500);
/// Interval between two checks of which nodes must know of which overrides.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An action of the operator API on a server.
#[derive(Debug, Clone, Copy)]
enum OperatorAction {
    Drain,
    Restore,
}

impl OperatorAction {
    /// Returns the last segment of the request's path.
    fn path_segment(self) -> &'static str {
        match self {
            OperatorAction::Drain => "drain",
            OperatorAction::Restore => "restore",
        }
    }
}

/// A node's serving process, and when it was first seen to serve.
#[derive(Debug, Clone, Copy)]
struct Serving {
    /// Number of the node's starts up to and including this process.
    start_number: u64,
    since: Instant,
}

impl Rig {
    /// Has the fault's nodes drain its caches, one after the other, and restores the caches at the
    /// same nodes after `duration`, if given.
    pub(super) async fn override_drains(&self, fault_index: usize, duration: Option<Duration>) {
        let nodes = self.plan.target_nodes(fault_index);
        let caches = self.plan.drained_caches(fault_index);
        let pairs = || {
            nodes
                .iter()
                .flat_map(|node| caches.iter().map(move |cache| (*node, *cache)))
        };
        for (node, cache) in pairs() {
            if self.send_action(node, cache, OperatorAction::Drain).await {
                self.drain_overrides
                    .borrow_mut()
                    .insert(cache, Instant::now() + PROPAGATION_LIMIT);
            }
        }
        let Some(duration) = duration else { return };
        sleep(duration).await;
        for (node, cache) in pairs() {
            self.drain_overrides.borrow_mut().remove(&cache);
            for any_node in 0..self.processes.len() {
                self.monitor.record_endpoint_state(any_node, cache, false);
            }
            self.send_action(node, cache, OperatorAction::Restore).await;
        }
    }

    /// Sends an operator request about a cache to a node, and returns whether the node accepted
    /// it. A node that does not accept it breaks the platform rule.
    async fn send_action(&self, node: usize, cache: usize, action: OperatorAction) -> bool {
        let id = self.stubs.server_id(cache);
        let verb = action.path_segment();
        let path = format!("/control/{verb}");
        let response = operators::post(self.admin_addrs[node], &path, &id).await;
        let description = operators::describe(&response);
        self.event_log.record(
            "operators",
            format!("{verb} {id} at node-{node}: {description}"),
        );
        let accepted = response.is_some_and(|response| response.is_ok());
        if !accepted {
            self.monitor.record_platform_violation(&format!(
                "node-{node}, request to {verb} {id} failed: {description}"
            ));
        }
        accepted
    }

    /// Marks each overridden cache as unavailable in the rule monitor, as for a server that the
    /// endpoint list drains, for every node that has served for at least `PROPAGATION_LIMIT`.
    pub(super) async fn enforce_drain_overrides(self: Rc<Rig>) {
        let mut serving_nodes: BTreeMap<usize, Serving> = BTreeMap::new();
        loop {
            sleep(CHECK_INTERVAL).await;
            let now = Instant::now();
            for process in &self.processes {
                let node = process.node();
                if process.state() != ProcessState::Up {
                    serving_nodes.remove(&node);
                    continue;
                }
                let current = Serving {
                    start_number: process.start_count(),
                    since: now,
                };
                let serving = *serving_nodes.entry(node).or_insert(current);
                if serving.start_number != current.start_number {
                    serving_nodes.insert(node, current);
                } else if now >= serving.since + PROPAGATION_LIMIT {
                    self.enforce_drain_overrides_at(node, now);
                }
            }
        }
    }

    fn enforce_drain_overrides_at(&self, node: usize, now: Instant) {
        let overrides = self.drain_overrides.borrow();
        for (cache, _) in overrides.iter().filter(|(_, due)| now >= **due) {
            self.monitor.record_endpoint_state(node, *cache, true);
        }
    }
}
