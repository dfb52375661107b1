//! The schedule of faults, and the faults that affect processes and the datagrams sent to them.
use std::rc::Rc;
use std::time::Duration;

use quartzhub_policy::Pcg;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

use super::Rig;
use crate::fleet::plan::FaultKind;
use crate::fleet::process::{NodeProcess, ProcessState};

/// Interval between two bursts of a flood.
const FLOOD_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between two deliveries of the replayed datagrams.
const REPLAY_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval between the shutdowns of two nodes in a rolling restart.
const MIN_ROLLING_STEP: Duration = Duration::from_millis(50);

impl Rig {
    /// Waits until a fault is due, then plays it to its end.
    pub(super) async fn play_fault(self: Rc<Rig>, fault_index: usize, start: Instant) {
        let fault = &self.plan.faults[fault_index];
        let duration = fault.duration_s.map(Duration::from_secs_f64);
        sleep_until(start + Duration::from_secs_f64(fault.start_s)).await;
        match fault.kind {
            FaultKind::Partition | FaultKind::Impair => {
                self.impair_links(fault_index, duration).await
            }
            FaultKind::Replay => self.replay(fault_index, duration.unwrap_or_default()).await,
            FaultKind::Flood => self.flood(fault_index, duration.unwrap_or_default()).await,
            FaultKind::RollingRestart => {
                self.rolling_restart(fault_index, duration.unwrap_or_default())
                    .await
            }
            FaultKind::DrainOverride => self.override_drains(fault_index, duration).await,
            FaultKind::Kill => self.kill(fault_index, duration).await,
            FaultKind::Terminate => self.terminate(fault_index, duration).await,
            FaultKind::Pause => self.pause(fault_index, duration).await,
            FaultKind::Start => self
                .target_processes(fault_index)
                .iter()
                .for_each(|process| self.start(process)),
        }
    }

    /// Returns the processes that a fault affects.
    fn target_processes(&self, fault_index: usize) -> Vec<Rc<NodeProcess>> {
        self.plan
            .target_nodes(fault_index)
            .into_iter()
            .map(|node| self.processes[node].clone())
            .collect()
    }

    /// Starts a process; a failure to start breaks the platform rule.
    fn start(&self, process: &Rc<NodeProcess>) {
        if let Err(e) = process.start() {
            self.monitor
                .record_platform_violation(&format!("{}: {e}", process.name));
        }
    }

    async fn kill(&self, fault_index: usize, duration: Option<Duration>) {
        let processes = self.target_processes(fault_index);
        processes.iter().for_each(|process| process.kill());
        let Some(duration) = duration else { return };
        sleep(duration).await;
        for process in &processes {
            process.wait_for(|state| state == ProcessState::Down).await;
            self.start(process);
        }
    }

    async fn terminate(&self, fault_index: usize, duration: Option<Duration>) {
        let processes = self.target_processes(fault_index);
        processes.iter().for_each(|process| process.terminate());
        let Some(duration) = duration else { return };
        for process in &processes {
            process.wait_for(|state| state == ProcessState::Down).await;
        }
        sleep(duration).await;
        processes.iter().for_each(|process| self.start(process));
    }

    async fn pause(&self, fault_index: usize, duration: Option<Duration>) {
        let processes = self.target_processes(fault_index);
        processes.iter().for_each(|process| process.pause());
        let Some(duration) = duration else { return };
        sleep(duration).await;
        processes.iter().for_each(|process| process.resume());
    }

    /// Shuts processes down gracefully, one after the other, and starts each again once it has
    /// exited.
    async fn rolling_restart(self: &Rc<Rig>, fault_index: usize, duration: Duration) {
        let processes = self.target_processes(fault_index);
        let step = (duration / processes.len().max(1) as u32).max(MIN_ROLLING_STEP);
        for process in processes {
            process.terminate();
            let rig = self.clone();
            spawn_local(async move {
                process.wait_for(|state| state == ProcessState::Down).await;
                rig.start(&process);
            });
            sleep(step).await;
        }
    }

    /// Delivers the latest datagrams of the fault's nodes again and again until the fault ends.
    async fn replay(&self, fault_index: usize, duration: Duration) {
        let end = Instant::now() + duration;
        let nodes = self.plan.target_nodes(fault_index);
        let datagrams: Vec<_> = nodes
            .iter()
            .flat_map(|node| self.datagrams.recent_from(*node))
            .collect();
        let count = datagrams.len();
        self.event_log.record(
            "links",
            format!("replaying {count} datagrams of nodes {nodes:?}"),
        );
        while Instant::now() < end {
            for datagram in &datagrams {
                self.datagrams.deliver(datagram).await;
            }
            sleep(REPLAY_INTERVAL).await;
        }
    }

    /// Delivers malformed, forged and repeated datagrams to the fault's nodes, at its rate.
    async fn flood(&self, fault_index: usize, duration: Duration) {
        let end = Instant::now() + duration;
        let nodes = self.plan.target_nodes(fault_index);
        let rate = self.plan.faults[fault_index].datagrams_per_s;
        let mut rng = Pcg::new(self.plan.scenario.seed);
        self.event_log.record(
            "links",
            format!("flood begins: nodes {nodes:?} get {rate} datagrams per second each"),
        );
        let burst = (rate * FLOOD_INTERVAL.as_secs_f64()).ceil() as usize;
        while Instant::now() < end {
            for node in &nodes {
                for _ in 0..burst {
                    self.datagrams.send_flood_datagram(*node, &mut rng).await;
                }
            }
            sleep(FLOOD_INTERVAL).await;
        }
        self.event_log.record("links", "flood ends");
    }
}
