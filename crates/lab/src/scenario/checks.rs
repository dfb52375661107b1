//! Range checks of a scenario's values. Error messages name the key.
use std::ops::RangeInclusive;

use super::{Fault, LabError, Product, Scenario};

/// Most servers, and most nodes, that a run on one machine can have.
const MAX_SERVERS: usize = 5_000;
/// Most API calls of a run.
const MAX_CALLS: f64 = 50e6;
/// Longest delay of a message and longest mean jitter, in milliseconds.
const MAX_DELAY_MS: f64 = 10_000.0;
/// Longest client timeout, in milliseconds.
const MAX_TIMEOUT_MS: f64 = 600_000.0;
/// Greatest ratio of the settling time, which is not counted, to the length of a run.
const MAX_SETTLE_RATIO: f64 = 0.99;

fn check_positive(key: &str, value: f64) -> Result<(), LabError> {
    if value > 0.0 && value.is_finite() {
        Ok(())
    } else {
        Err(LabError(format!("{key}: {value} is not above 0")))
    }
}

fn check_within(key: &str, value: f64, range: RangeInclusive<f64>) -> Result<(), LabError> {
    if range.contains(&value) {
        return Ok(());
    }
    let (from, to) = range.into_inner();
    Err(LabError(format!(
        "{key}: {value} is not within {from} to {to}"
    )))
}

fn check_range(key: &str, [from, to]: [f64; 2]) -> Result<(), LabError> {
    if from >= 0.0 && from <= to && to.is_finite() {
        Ok(())
    } else {
        Err(LabError(format!(
            "{key}: {from} to {to} is not a valid range"
        )))
    }
}

impl Scenario {
    /// Checks all values; an error names the first key whose value is out of range.
    pub fn check(&self) -> Result<(), LabError> {
        check_positive("seconds", self.seconds)?;
        let max_settle = self.seconds * MAX_SETTLE_RATIO;
        check_within("settle", self.settle, 0.0..=max_settle)?;
        check_within("nodes", self.nodes as f64, 1.0..=MAX_SERVERS as f64)?;
        check_within("attempts", self.max_attempts as f64, 1.0..=10.0)?;
        check_positive("traffic.rate", self.traffic.rate)?;
        let calls = self.traffic.rate * self.seconds;
        check_within("traffic.rate times seconds", calls, 0.0..=MAX_CALLS)?;
        self.check_network_and_clients()?;
        self.check_servers()?;
        if self.products.is_empty() {
            return Err(LabError("product: at least one is needed".to_owned()));
        }
        for (index, product) in self.products.iter().enumerate() {
            product.check(index)?;
        }
        for (index, fault) in self.faults.iter().enumerate() {
            fault.check(index, self.seconds)?;
        }
        Ok(())
    }

    fn check_network_and_clients(&self) -> Result<(), LabError> {
        let (network, clients, keys) = (&self.network, &self.clients, &self.keys);
        check_within("network.delay_ms", network.delay_ms, 0.0..=MAX_DELAY_MS)?;
        check_within("network.jitter_ms", network.jitter_ms, 0.0..=MAX_DELAY_MS)?;
        check_within("network.loss", network.loss, 0.0..=0.9)?;
        check_range("network.list_late_ms", network.endpoint_list_delay_ms)?;
        check_within("clients.retries", clients.retries as f64, 0.0..=100.0)?;
        let factor = clients.client_timeout_factor;
        check_range("clients.patience", factor)?;
        check_within("clients.patience", factor[1], 0.01..=1.0)?;
        check_within("keys.count", keys.count as f64, 1.0..=1e9)?;
        check_within("keys.skew", keys.skew, 0.0..=10.0)?;
        check_within("keys.drift", keys.drift, 0.0..=1.0)
    }

    fn check_servers(&self) -> Result<(), LabError> {
        let (caches, origin) = (&self.caches, &self.origin);
        let max_servers = MAX_SERVERS as f64;
        check_within("caches.count", caches.count as f64, 1.0..=max_servers)?;
        check_within("caches.cores", caches.cores as f64, 1.0..=1000.0)?;
        check_range("caches.speed", caches.speed)?;
        check_positive("caches.speed", caches.speed[0])?;
        check_within("caches.cold", caches.cold_speed_ratio, 0.01..=1.0)?;
        check_within("caches.miss_part", caches.miss_work_ratio, 0.0..=1.0)?;
        check_positive("caches.warm_ms", caches.slow_start_ms)?;
        check_within("origin.cores", origin.cores as f64, 1.0..=10_000.0)?;
        check_positive("origin.work_ms", origin.work_ms)?;
        check_positive("origin.falls_at", origin.max_load)
    }
}

impl Product {
    fn check(&self, index: usize) -> Result<(), LabError> {
        let key = |field: &str| format!("product[{index}].{field}");
        check_positive(&key("share"), self.share)?;
        check_positive(&key("work_ms"), self.work_ms)?;
        check_positive(&key("slo_ms"), self.slo_ms)?;
        let timeouts = self.slo_ms..=MAX_TIMEOUT_MS;
        check_within(&key("timeout_ms"), self.timeout_ms, timeouts)
    }
}

impl Fault {
    fn check(&self, index: usize, run_seconds: f64) -> Result<(), LabError> {
        let key = |field: &str| format!("fault[{index}].{field}");
        check_within(&key("at"), self.start_s, 0.0..=run_seconds)?;
        check_within(&key("share"), self.share, 0.0..=1.0)?;
        check_positive(&key("for"), self.duration_s)?;
        check_positive(&key("factor"), self.factor)
    }
}
