//! Validation of a plan: the ranges of its numbers, and the targets of its faults. Error messages
//! name the key.
use super::{Fault, FaultKind, Plan};
use crate::scenario::LabError;
use crate::stub::StubServers;

/// Most nodes that one machine can run and that a block of addresses can hold.
pub const MAX_NODES: usize = 96;
/// Most caches of a plan.
const MAX_CACHES: usize = 64;
/// Longest run, and longest fault, in seconds.
const MAX_SECONDS: f64 = 600.0;
/// Highest rate of API calls, per second.
const MAX_CALLS_PER_S: f64 = 5_000.0;
/// Highest rate of a flood to one node, in datagrams per second.
const MAX_DATAGRAMS_PER_S: f64 = 20_000.0;
/// Lowest bandwidth of a link, in bytes per second.
const MIN_BYTES_PER_S: f64 = 1_000.0;
/// Longest delay that a link adds, and longest delay until the front is notified, in milliseconds.
const MAX_DELAY_MS: f64 = 60_000.0;
/// Highest probability of loss on a link; above it, the link would carry next to nothing.
const MAX_LOSS: f64 = 0.99;
/// Highest bandwidth of a link, in bytes per second.
const MAX_BYTES_PER_S: f64 = 1e12;
/// Shortest fault, in seconds.
const MIN_DURATION_S: f64 = 0.01;

impl Plan {
    pub(super) fn check(&self) -> Result<(), LabError> {
        self.check_ranges()?;
        if self.scenario.policy != "dema" {
            return Err(LabError(
                "scenario.policy: real nodes run the dema policy only".to_owned(),
            ));
        }
        StubServers::check_faults_supported(&self.scenario, true)?;
        for node in &self.absent {
            self.check_node("absent", *node)?;
        }
        for (fault_index, fault) in self.faults.iter().enumerate() {
            self.check_fault_ranges(fault_index, fault)?;
            self.check_fault_targets(fault_index, fault)?;
            self.check_fault_endpoints(fault_index, fault)?;
        }
        Ok(())
    }

    fn check_ranges(&self) -> Result<(), LabError> {
        let scenario = &self.scenario;
        let nodes = scenario.nodes as f64;
        let caches = scenario.caches.count as f64;
        let calls_per_s = scenario.traffic.rate;
        within("scenario.nodes", nodes, 1.0, MAX_NODES as f64)?;
        within("scenario.caches.count", caches, 1.0, MAX_CACHES as f64)?;
        within("scenario.seconds", scenario.seconds, 1.0, MAX_SECONDS)?;
        within("scenario.traffic.rate", calls_per_s, 0.1, MAX_CALLS_PER_S)?;
        within("front_late_ms", self.front_late_ms, 0.0, MAX_DELAY_MS)?;
        within("expect.service", self.expect.service, 0.0, 1.0)
    }

    fn check_node(&self, key: &str, node: usize) -> Result<(), LabError> {
        match node < self.scenario.nodes {
            true => Ok(()),
            false => Err(LabError(format!("{key}: there is no node {node}"))),
        }
    }

    fn check_fault_ranges(&self, fault_index: usize, fault: &Fault) -> Result<(), LabError> {
        let key = |field: &str| format!("fault[{fault_index}].{field}");
        within(&key("at"), fault.start_s, 0.0, self.scenario.seconds)?;
        if let Some(duration_s) = fault.duration_s {
            within(&key("for"), duration_s, MIN_DURATION_S, MAX_SECONDS)?;
        }
        within(&key("loss"), fault.loss, 0.0, MAX_LOSS)?;
        within(&key("duplicate"), fault.duplicate, 0.0, 1.0)?;
        within(&key("reorder"), fault.reorder, 0.0, 1.0)?;
        within(&key("delay_ms"), fault.delay_ms, 0.0, MAX_DELAY_MS)?;
        within(&key("jitter_ms"), fault.jitter_ms, 0.0, MAX_DELAY_MS)?;
        if let Some(bytes_per_s) = fault.bytes_per_s {
            let key = key("bytes_per_s");
            within(&key, bytes_per_s, MIN_BYTES_PER_S, MAX_BYTES_PER_S)?;
        }
        let datagrams_per_s = fault.datagrams_per_s;
        within(&key("rate"), datagrams_per_s, 0.0, MAX_DATAGRAMS_PER_S)?;
        for node in &fault.nodes {
            self.check_node(&key("nodes"), *node)?;
        }
        match fault.share {
            Some(share) => within(&key("share"), share, 0.0, 1.0),
            None => Ok(()),
        }
    }

    /// Checks that the targets and the duration that the kind of the fault needs are given.
    fn check_fault_targets(&self, fault_index: usize, fault: &Fault) -> Result<(), LabError> {
        let problem_at = |field: &str, problem: &str| {
            Err(LabError(format!("fault[{fault_index}].{field}: {problem}")))
        };
        let affects_links = matches!(fault.kind, FaultKind::Partition | FaultKind::Impair);
        let both_ends = !fault.from.is_empty() && !fault.to.is_empty();
        if affects_links && !both_ends {
            return problem_at("from", "from and to are needed");
        }
        if !affects_links && self.target_nodes(fault_index).is_empty() {
            return problem_at("nodes", "nodes or share is needed");
        }
        if fault.kind == FaultKind::DrainOverride && !self.all_are_caches(&fault.to) {
            return problem_at("to", "the caches to drain are needed");
        }
        let needs_duration = matches!(
            fault.kind,
            FaultKind::Pause | FaultKind::RollingRestart | FaultKind::Replay | FaultKind::Flood
        );
        if needs_duration && fault.duration_s.is_none() {
            return problem_at("for", "is needed");
        }
        Ok(())
    }

    /// Whether there is at least one name, and every name refers to caches only.
    fn all_are_caches(&self, names: &[String]) -> bool {
        !names.is_empty()
            && names.iter().all(|name| {
                self.endpoints_named(name).is_some_and(|endpoints| {
                    endpoints.iter().all(|endpoint| self.is_cache(endpoint))
                })
            })
    }

    /// Checks that every endpoint that the fault names exists.
    fn check_fault_endpoints(&self, fault_index: usize, fault: &Fault) -> Result<(), LabError> {
        for (field, names) in [("from", &fault.from), ("to", &fault.to)] {
            for name in names {
                if self.endpoints_named(name).is_none() {
                    return Err(LabError(format!(
                        "fault[{fault_index}].{field}: {name:?} is not an endpoint"
                    )));
                }
            }
        }
        Ok(())
    }
}

fn within(key: &str, value: f64, from: f64, to: f64) -> Result<(), LabError> {
    match (from..=to).contains(&value) {
        true => Ok(()),
        false => Err(LabError(format!(
            "{key}: {value} is not within {from} to {to}"
        ))),
    }
}
