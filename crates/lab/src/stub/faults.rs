//! Schedule of the faults of stub servers, and which faults of a scenario they support.
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use super::{ListedState, StubServers};
use crate::scenario::{FaultKind, LabError, Scenario};
use crate::server::Health;

/// Faults that don't need discovery, as they don't change the endpoint list.
const SUPPORTED_WITHOUT_DISCOVERY: [FaultKind; 4] = [
    FaultKind::Hang,
    FaultKind::Slow,
    FaultKind::OriginSlow,
    FaultKind::HotKey,
];
/// Faults that need discovery or the fleet rig's clients.
const SUPPORTED_WITH_DISCOVERY: [FaultKind; 5] = [
    FaultKind::Crash,
    FaultKind::ColdRestart,
    FaultKind::Drain,
    FaultKind::OriginStop,
    FaultKind::Burst,
];
/// How long a cache is down in a cold restart.
const RESTART_DURATION: Duration = Duration::from_millis(500);
/// Time from the end of a drain until the cache is in service again, cold and empty.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(5_000);

impl StubServers {
    /// Returns an error if stub servers don't support one of the scenario's faults, with or without
    /// discovery.
    pub fn check_faults_supported(scenario: &Scenario, discovery: bool) -> Result<(), LabError> {
        let is_supported = |kind: &FaultKind| {
            SUPPORTED_WITHOUT_DISCOVERY.contains(kind)
                || discovery && SUPPORTED_WITH_DISCOVERY.contains(kind)
        };
        let first_unsupported = scenario
            .faults
            .iter()
            .position(|fault| !is_supported(&fault.kind));
        match first_unsupported {
            Some(i) if discovery => Err(LabError(format!(
                "scenario.fault[{i}].kind: stub servers can't play it; [[fault]] may"
            ))),
            Some(i) => Err(LabError(format!(
                "fault[{i}].kind: stub servers support hang, slow, origin_slow and hot_key only"
            ))),
            None => Ok(()),
        }
    }

    /// Starts the schedule of the scenario's faults.
    pub fn start_faults(self: Rc<StubServers>) {
        for fault_index in 0..self.scenario.faults.len() {
            spawn_local(self.clone().run_fault(fault_index));
        }
    }

    /// Waits until a fault is due, injects it, and ends it after its duration.
    async fn run_fault(self: Rc<StubServers>, fault_index: usize) {
        let fault = &self.scenario.faults[fault_index];
        let duration = Duration::from_secs_f64(fault.duration_s);
        let caches = self.affected_caches(fault_index);
        let origin = [self.origin_index()];
        sleep(Duration::from_secs_f64(fault.start_s)).await;
        match fault.kind {
            FaultKind::Hang => {
                self.set_health(&caches, Health::Hung);
                sleep(duration).await;
                self.set_health(&caches, Health::Up);
            }
            FaultKind::Slow => self.slow_down(&caches, fault.factor, duration).await,
            FaultKind::OriginSlow => self.slow_down(&origin, fault.factor, duration).await,
            FaultKind::OriginStop => {
                self.take_down(self.origin_index());
                sleep(duration).await;
                self.bring_up(self.origin_index());
            }
            FaultKind::Crash => {
                self.terminate(&caches);
                sleep(duration).await;
                self.return_to_service(&caches);
            }
            FaultKind::ColdRestart => {
                caches.iter().for_each(|cache| self.take_down(*cache));
                sleep(RESTART_DURATION).await;
                self.return_to_service(&caches);
            }
            FaultKind::Drain => {
                for cache in &caches {
                    self.record_change(*cache, ListedState::Terminating);
                }
                sleep(duration).await;
                self.terminate(&caches);
                sleep(REPLACEMENT_DELAY).await;
                self.return_to_service(&caches);
            }
            _ => {}
        }
    }

    /// Returns the indices of the caches that a fault affects: its share of them, at least one,
    /// spread over all indices.
    fn affected_caches(&self, fault_index: usize) -> Vec<usize> {
        let share = self.scenario.faults[fault_index].share;
        let caches = self.origin_index();
        let affected = ((caches as f64 * share).round() as usize).clamp(1, caches);
        (0..affected)
            .map(|i| (fault_index * 7 + i * caches / affected) % caches)
            .collect()
    }

    fn set_health(&self, servers: &[usize], health: Health) {
        for server in servers {
            self.servers[*server].model.borrow_mut().health = health;
        }
    }

    async fn slow_down(&self, servers: &[usize], factor: f64, duration: Duration) {
        self.set_slowdown(servers, factor);
        sleep(duration).await;
        self.set_slowdown(servers, 1.0);
    }

    fn set_slowdown(&self, servers: &[usize], factor: f64) {
        for server in servers {
            self.servers[*server].model.borrow_mut().slowdown = factor;
        }
    }

    fn terminate(&self, caches: &[usize]) {
        for cache in caches {
            self.take_down(*cache);
            self.record_change(*cache, ListedState::Terminated);
        }
    }

    fn return_to_service(&self, caches: &[usize]) {
        for cache in caches {
            self.bring_up(*cache);
            self.record_change(*cache, ListedState::InService);
        }
    }
}
