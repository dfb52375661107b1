//! Discrete-event emulator of clients, nodes, servers and the network between them.
mod attempts;
mod clients;
mod dispatch;
mod effects;
mod event;
mod faults;
mod nodes;
mod servers;
mod setup;
mod simulation;
mod state;

use quartzhub_policy::{Balancer, Span, Time};
use quartzhub_settings::NameTable;

use crate::routers::{Baseline, BoundedHash, LeastInFlight, Pick, Random, Router, TwoChoices};
use crate::scenario::{LabError, Scenario};
use crate::stats::Report;
use event::Event;
use state::{Node, Simulation};

/// Names of the policies that a scenario can select: the project's own (`dema`) and the baselines.
pub const POLICIES: [&str; 5] = [
    "dema",
    "random",
    "least_in_flight",
    "two_choices",
    "bounded_hash",
];

/// Shortest timer of a router. Without it, a router that keeps asking for a timer of zero length
/// would stop simulated time from advancing.
const MIN_TIMER: Span = Span::ms(1);
/// How long after its client timeout the rule checks keep an API call: longer than any work still
/// queued for it.
const CALL_RETENTION: Span = Span::ms(30_000);
/// How long after the client timeout a missing final response is reported: one round of a timer.
const RESPONSE_SLACK: Span = Span::ms(10);
/// How long a node keeps an idle connection to a server.
const KEEPALIVE: Span = Span::ms(15_000);
/// Longest time for which a run continues after its end while API calls are still open.
const MAX_OVERTIME: Span = Span::ms(120_000);

/// Emulates a scenario under the policy that it names.
pub fn run(scenario: &Scenario) -> Result<Report, LabError> {
    scenario.check()?;
    match scenario.policy.as_str() {
        "dema" => {
            let balancer = |node, seed| Balancer::new(&scenario.policy_config(node), seed);
            Ok(Emulator::new(scenario, balancer).run())
        }
        "random" => Ok(run_baseline(scenario, || Random)),
        "least_in_flight" => Ok(run_baseline(scenario, || LeastInFlight)),
        "two_choices" => Ok(run_baseline(scenario, || TwoChoices)),
        "bounded_hash" => Ok(run_baseline(scenario, || BoundedHash)),
        other => Err(LabError(format!(
            "policy: {other:?} is none of {}",
            POLICIES.join(", ")
        ))),
    }
}

fn run_baseline<P: Pick>(scenario: &Scenario, pick: impl Fn() -> P) -> Report {
    let make_router = |node, seed| Baseline::new(pick(), &scenario.policy_config(node), seed);
    Emulator::new(scenario, make_router).run()
}

/// A run of one scenario. `make_router` makes the router of each node from the node's index and a
/// seed.
pub struct Emulator<R, F> {
    sim: Simulation,
    nodes: Vec<Node<R>>,
    make_router: F,
    name_table: NameTable,
    /// Ids of the servers in the endpoint list, by the server's index.
    server_names: Vec<String>,
}

impl<R: Router, F: Fn(usize, u64) -> R> Emulator<R, F> {
    /// Sets up the scenario's servers and nodes.
    pub fn new(scenario: &Scenario, make_router: F) -> Emulator<R, F> {
        let settings = scenario.settings(0);
        let products = quartzhub_settings::products(&settings);
        let caches = (0..scenario.caches.count).map(|cache| format!("cache-{cache}"));
        let mut emulator = Emulator {
            sim: Simulation::new(scenario, products),
            nodes: Vec::new(),
            make_router,
            name_table: NameTable::new(&settings),
            server_names: caches.chain(["origin".to_owned()]).collect(),
        };
        for node in 0..scenario.nodes {
            let node = emulator.new_node(node, 0);
            emulator.nodes.push(node);
        }
        emulator
    }

    /// Runs the scenario to its end and returns the report.
    pub fn run(mut self) -> Report {
        if self.sim.scenario.caches.prefilled {
            self.sim.prefill_caches();
        }
        for node in 0..self.nodes.len() {
            self.with_router(node, |router, effects, now| router.on_start(now, effects));
            self.send_all_endpoints(node);
        }
        for index in 0..self.sim.scenario.faults.len() {
            let begins_at = Time::from_ms(self.sim.scenario.faults[index].start_s * 1000.0);
            self.sim.schedule_at(begins_at, Event::FaultBegins(index));
        }
        self.sim.schedule_after(Span::ZERO, Event::ClientArrival);
        while let Some((at, event)) = self.sim.events.pop() {
            if self.is_finished(at) {
                break;
            }
            self.sim.now = at;
            self.dispatch(event);
        }
        self.sim.into_report()
    }

    /// Whether the run is finished: its time has passed and no API call is open, or `MAX_OVERTIME`
    /// has passed as well. After the end, clients make no new API calls.
    fn is_finished(&self, at: Time) -> bool {
        let nothing_open = self.sim.clients.is_empty() && self.sim.checker.tracked_calls() == 0;
        at > self.sim.end + MAX_OVERTIME || at > self.sim.end && nothing_open
    }
}
