//! Arrival times, products and keys of the clients' API calls, drawn from a random stream of their
//! own that depends on the scenario's seed only.
use quartzhub_policy::Pcg;
use rand_distr::{Distribution, Exp1, Zipf};

use crate::scenario::{Fault, FaultKind, Scenario};

/// XORed into the scenario's seed, so that arrivals don't share a random stream with other draws.
const ARRIVALS_SEED_MASK: u64 = 0x7261_7465;

/// An API call that a client starts.
pub(super) struct Arrival {
    /// Start time, in seconds since the start of the run.
    pub(super) at_s: f64,
    /// Index of the product in the scenario.
    pub(super) product: usize,
    pub(super) key: u64,
}

/// Iterator over the API calls of a scenario, ordered by start time.
pub(super) struct Arrivals<'a> {
    scenario: &'a Scenario,
    rng: Pcg,
    key_distribution: Option<Zipf<f64>>,
    share_sum: f64,
    at_s: f64,
}

impl<'a> Arrivals<'a> {
    pub(super) fn new(scenario: &'a Scenario) -> Arrivals<'a> {
        let keys = &scenario.keys;
        let skew = Some(keys.skew).filter(|skew| *skew > 0.0);
        Arrivals {
            scenario,
            rng: Pcg::new(scenario.seed ^ ARRIVALS_SEED_MASK),
            key_distribution: skew.and_then(|skew| Zipf::new(keys.count as f64, skew).ok()),
            share_sum: scenario.products.iter().map(|product| product.share).sum(),
            at_s: 0.0,
        }
    }

    /// Returns the faults of this kind that are active at the current arrival time.
    fn active_faults(&self, kind: FaultKind) -> impl Iterator<Item = &'a Fault> {
        let at_s = self.at_s;
        self.scenario
            .faults
            .iter()
            .filter(move |fault| fault.kind == kind)
            .filter(move |fault| at_s >= fault.start_s && at_s < fault.start_s + fault.duration_s)
    }

    fn draw_product(&mut self) -> usize {
        let mut draw = self.rng.unit() * self.share_sum;
        let product = self.scenario.products.iter().position(|product| {
            draw -= product.share;
            draw < 0.0
        });
        product.unwrap_or(0)
    }

    fn draw_key(&mut self) -> u64 {
        let count = self.scenario.keys.count;
        let key = match &self.key_distribution {
            Some(zipf) => (zipf.sample(&mut self.rng) as u64).clamp(1, count) - 1,
            None => ((self.rng.unit() * count as f64) as u64).min(count - 1),
        };
        let hot_key_ratio: f64 = self
            .active_faults(FaultKind::HotKey)
            .map(|fault| fault.share)
            .sum();
        match self.rng.unit() < hot_key_ratio {
            true => 0,
            false => key,
        }
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let interval: f64 = Exp1.sample(&mut self.rng);
        let rate_factor: f64 = self
            .active_faults(FaultKind::Burst)
            .map(|fault| fault.factor)
            .product();
        self.at_s += interval / (self.scenario.traffic.rate * rate_factor);
        if self.at_s > self.scenario.seconds {
            return None;
        }
        Some(Arrival {
            at_s: self.at_s,
            product: self.draw_product(),
            key: self.draw_key(),
        })
    }
}
