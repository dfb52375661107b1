//! One run of a plan: sets up proxies, stub servers, node processes and clients, plays the faults
//! on their schedule, and collects the outcome at the end.
mod drain_overrides;
mod faults;
mod network;
mod proxies;
mod setup;
mod verdict;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use super::addresses::AddressBlock;
use super::datagrams::DatagramRelay;
use super::event_log::EventLog;
use super::link::Link;
use super::outcome::Outcome;
use super::plan::{LinkId, Plan};
use super::process::{NodeProcess, ProcessState, Programs};
use crate::clients::drive;
use crate::rule_monitor::RuleMonitor;
use crate::scenario::LabError;
use crate::stub::StubServers;
use proxies::Proxies;

/// Time within which a started process must serve, and a killed one must have exited.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before the first call, in which the front is notified of all started processes.
const FRONT_SETUP_TIME: Duration = Duration::from_millis(50);
/// Time after the last call for requests and responses still in flight.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);

/// The parts of a run.
pub struct Rig {
    plan: Plan,
    stubs: Rc<StubServers>,
    monitor: Rc<RuleMonitor>,
    event_log: Rc<EventLog>,
    processes: Vec<Rc<NodeProcess>>,
    links: BTreeMap<LinkId, Rc<Link>>,
    proxies: Proxies,
    datagrams: Rc<DatagramRelay>,
    /// Address of each node's operator API.
    admin_addrs: Vec<SocketAddr>,
    /// Caches under a drain override, each with the time by which serving nodes must know of it.
    drain_overrides: RefCell<BTreeMap<usize, Instant>>,
}

impl Rig {
    /// Plays the plan, and writes logs and configurations to the folder.
    pub async fn play(
        plan: &Plan,
        programs: &Programs,
        block: &AddressBlock,
        folder: &Path,
    ) -> Result<Outcome, LabError> {
        let rig = Rig::new(plan, programs, block, folder).await?;
        rig.open_proxies(block);
        rig.datagrams.run(&rig.monitor);
        rig.wait_for_proxies().await?;
        rig.start_all().await?;
        rig.event_log.restart_clock();
        rig.stubs.clone().start_faults();
        let start = Instant::now();
        spawn_local(rig.clone().enforce_drain_overrides());
        for fault_index in 0..rig.plan.faults.len() {
            spawn_local(rig.clone().play_fault(fault_index, start));
        }
        let endpoints: Vec<_> = rig
            .processes
            .iter()
            .map(|process| process.endpoint.clone())
            .collect();
        let report = drive(&rig.plan.scenario, &endpoints, &rig.monitor).await;
        sleep(IN_FLIGHT_GRACE).await;
        let views = rig.membership_views().await;
        let outcome = rig.outcome(report, &views);
        rig.kill_all().await;
        Ok(outcome)
    }

    /// Starts all processes but the absent ones, and waits until they serve.
    async fn start_all(&self) -> Result<(), LabError> {
        let present = || {
            self.processes
                .iter()
                .filter(|process| !self.plan.absent.contains(&process.node()))
        };
        for process in present() {
            process
                .start()
                .map_err(|e| LabError(format!("{}: {e}", process.name)))?;
        }
        for process in present() {
            let settled =
                process.wait_for(|state| state == ProcessState::Up || state == ProcessState::Down);
            let timed_out = timeout(PROCESS_TIMEOUT, settled).await.is_err();
            if timed_out || process.state() == ProcessState::Down {
                return Err(LabError(format!(
                    "{} does not serve; last log line: {}",
                    process.name,
                    process.last_log_line.borrow()
                )));
            }
        }
        sleep(FRONT_SETUP_TIME).await;
        Ok(())
    }

    /// Kills all processes and waits for their exit, so that none still listens on an address that
    /// the next rig may claim.
    async fn kill_all(&self) {
        for process in &self.processes {
            process.kill();
            let down = process.wait_for(|state| state == ProcessState::Down);
            let _ = timeout(PROCESS_TIMEOUT, down).await;
        }
    }
}
