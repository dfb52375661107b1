//! Initial state of the simulation, and the report at its end.
use quartzhub_membership::sim::EventQueue;
use quartzhub_policy::{EndpointState, Pcg, Product, Time};
use rand_distr::Zipf;
use rustc_hash::FxHashMap;

use super::state::{ListedEndpoint, Simulation};
use super::RESPONSE_SLACK;
use crate::rules::RuleChecker;
use crate::scenario::Scenario;
use crate::server::Server;
use crate::stats::Report;

/// Cumulative traffic shares: by product, its own share plus those of all products before it.
fn cumulative_shares(scenario: &Scenario) -> Vec<f64> {
    let sum: f64 = scenario.products.iter().map(|product| product.share).sum();
    let mut cumulative = 0.0;
    let shares = scenario.products.iter().map(|product| {
        cumulative += product.share / sum;
        cumulative
    });
    shares.collect()
}

/// The scenario's caches, with speeds drawn from the configured range, followed by the origin.
fn servers(scenario: &Scenario, rng: &mut Pcg) -> Vec<Server> {
    let [slowest, fastest] = scenario.caches.speed;
    let caches = (0..scenario.caches.count).map(|_| {
        let speed = slowest + (fastest - slowest) * rng.unit();
        Server::from_scenario(scenario, false, speed)
    });
    let mut servers: Vec<_> = caches.collect();
    servers.push(Server::from_scenario(scenario, true, 1.0));
    servers
}

impl Simulation {
    pub(super) fn new(scenario: &Scenario, products: Vec<Product>) -> Simulation {
        let mut rng = Pcg::new(scenario.seed);
        let servers = servers(scenario, &mut rng);
        let ready = ListedEndpoint {
            state: EndpointState::Ready,
            started: None,
        };
        let keys = &scenario.keys;
        let zipf = Some(keys.skew)
            .filter(|skew| *skew > 0.0)
            .and_then(|skew| Zipf::new(keys.count as f64, skew).ok());
        Simulation {
            scenario: scenario.clone(),
            now: Time(0),
            end: Time::from_ms(scenario.seconds * 1000.0),
            events: EventQueue::default(),
            rng,
            products,
            cumulative_shares: cumulative_shares(scenario),
            listed_endpoints: vec![ready; servers.len()],
            servers,
            clients: FxHashMap::default(),
            zipf,
            popularity_shift: 0,
            traffic_factor: 1.0,
            hot_key_fraction: 0.0,
            scan_fraction: 0.0,
            network_delay_factor: 1.0,
            last_id: 0,
            scanned_keys: 0,
            checker: RuleChecker::new(RESPONSE_SLACK),
            report: Report::new(scenario),
        }
    }

    /// Fills the caches with the most popular keys, spread evenly over them, as in a fleet that has
    /// been running for a long time.
    pub(super) fn prefill_caches(&mut self) {
        let caches = self.servers.len() - 1;
        let capacity = self.scenario.caches.memory * caches;
        let cached_keys = (capacity as u64).min(self.scenario.keys.count);
        // Each policy distributes keys by its own hash, so this placement does not match the
        // policy's: requests may miss until the policy's own placement is cached.
        for key in (0..cached_keys).rev() {
            let hash = (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize;
            self.servers[hash % caches].cache.put(key);
        }
    }

    /// Returns the report with the results of the rule checks added.
    pub(super) fn into_report(self) -> Report {
        let mut report = self.report;
        report.violations = self.checker.violations;
        report.violation_count = self.checker.violation_count;
        report.open = self.clients.len() as u64;
        report
    }
}
