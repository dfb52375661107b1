//! One round: a node under load, its signals, the kill, and a check that the machine did not stall.
use std::sync::atomic::{AtomicBool, Ordering};

use super::clients::{self, ClientBehavior, Request};
use super::common::*;
use super::evidence::{describe_process, remaining_log, steal_ticks, Evidence};
use super::plan::{Plan, BETWEEN_STALLS_MS};
use super::rule_check;
use super::servers::{self, Arrivals};

/// Sleep of the thread that measures how late the machine wakes it.
const PROBE_SLEEP: Duration = Duration::from_millis(2);
/// Largest delay of that thread in a round that is judged.
pub const MAX_LATENESS: Duration = Duration::from_millis(25);
/// Number of idle clients that fill a node's sockets.
const CROWD_SIZE: usize = 120;
/// Limit of the node's file descriptors.
const DESCRIPTORS: usize = 4096;

/// The result of a round.
pub enum RoundResult {
    /// The faults that were found.
    Judged(Vec<String>),
    /// The machine itself stalled processes, so the measured times are not valid.
    MachineStalled,
}

/// The measurements under load.
struct Measured {
    requests: Vec<Request>,
    terminated_at: Instant,
    /// Data that distinguishes a node that was busy from one that was stopped or not run.
    evidence: Evidence,
    /// Largest delay of a thread that sleeps.
    machine_lateness: Duration,
}

/// An action on the node after SIGTERM. Actions at the same time are run in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Action {
    Interrupt,
    Terminate,
    Stall,
    Reload,
}

/// An action and its time after SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DueAction {
    after: Duration,
    action: Action,
}

/// Plays a round and judges it, unless the machine stalled.
pub fn play(plan: &Plan) -> RoundResult {
    let seed = plan.seed;
    let arrivals = Arrivals::default();
    let hang = Arc::new(AtomicBool::new(false));
    let servers = servers::start(plan, &arrivals, &hang);
    let known: Vec<_> = servers
        .iter()
        .map(|server| (server.id, server.addr, "in_service"))
        .collect();
    let known = endpoint_list(true, 1, &known);
    let mut node = Node::with_config(&plan.config(&known, plan.client_timeout_ms), DESCRIPTORS);
    let measured = play_under_load(plan, &mut node, &known, &hang);
    if measured.machine_lateness > MAX_LATENESS {
        return RoundResult::MachineStalled;
    }
    let requests = measured.requests;
    let faults = rule_check::faults(
        &requests,
        &arrivals,
        Duration::from_millis(plan.stall_ms + plan.second_stall_ms),
        measured.terminated_at,
    );
    println!(
        "seed {seed}: {} requests, {} faults",
        requests.len(),
        faults.len()
    );
    if !faults.is_empty() {
        println!("seed {seed}: {}", measured.evidence);
    }
    RoundResult::Judged(
        faults
            .into_iter()
            .map(|fault| format!("seed {seed}: {fault} ({plan:?})"))
            .collect(),
    )
}

/// Runs the clients and the plan's signals until the node is killed, and returns the measurements.
fn play_under_load(plan: &Plan, node: &mut Node, known: &str, hang: &AtomicBool) -> Measured {
    let stop = AtomicBool::new(false);
    let (addr, client_timeout_ms, seed) = (node.addr, plan.client_timeout_ms, plan.seed);
    std::thread::scope(|scope| {
        let stop = &stop;
        let lateness = scope.spawn(move || measure_max_lateness(stop));
        let start_client = |(index, behavior): (usize, &ClientBehavior)| {
            let behavior = *behavior;
            scope.spawn(move || clients::run(behavior, index, addr, client_timeout_ms, seed, stop))
        };
        let load: Vec<_> = plan.clients.iter().enumerate().map(start_client).collect();
        let crowd_size = if plan.has_idle_crowd { CROWD_SIZE } else { 0 };
        let crowd: Vec<_> = (0..crowd_size).map(|_| TcpStream::connect(addr)).collect();
        let steal_before = steal_ticks();
        let terminated_at = send_signals(plan, node, known, hang);
        let node_process = describe_process(node.child.id());
        stop.store(true, Ordering::Relaxed);
        let _ = node.child.kill();
        let _ = node.child.wait();
        drop(crowd);
        Measured {
            terminated_at,
            evidence: Evidence {
                node_process,
                steal_ticks: steal_ticks() - steal_before,
                node_log: remaining_log(node),
            },
            requests: load
                .into_iter()
                .flat_map(|client| client.join().expect("a client"))
                .collect(),
            machine_lateness: lateness.join().expect("a watch"),
        }
    })
}

/// Sleeps repeatedly until `stop` is set. Returns by how much the longest sleep exceeded its
/// length.
pub fn measure_max_lateness(stop: &AtomicBool) -> Duration {
    let mut max_lateness = Duration::ZERO;
    while !stop.load(Ordering::Relaxed) {
        let started_at = Instant::now();
        std::thread::sleep(PROBE_SLEEP);
        max_lateness = max_lateness.max(started_at.elapsed().saturating_sub(PROBE_SLEEP));
    }
    max_lateness
}

/// Sends the plan's signals at their times. Returns the time of SIGTERM once SIGKILL is due.
fn send_signals(plan: &Plan, node: &mut Node, known: &str, hang: &AtomicBool) -> Instant {
    let ms = Duration::from_millis;
    let terminate_at = Instant::now() + ms(plan.terminate_at_ms);
    if plan.hangup_after_ms < 0 {
        wait_until(terminate_at - ms(plan.hangup_after_ms.unsigned_abs()));
        reload(plan, node, known);
    }
    wait_until(terminate_at);
    if plan.stall_ms > 0 {
        node.signal("-STOP");
    }
    // The time to the kill counts from here.
    let terminated_at = Instant::now();
    node.signal("-TERM");
    hang.store(plan.servers_hang, Ordering::Relaxed);
    if plan.stall_ms > 0 {
        wait_until(terminated_at + ms(plan.stall_ms));
        node.signal("-CONT");
    }
    for due in actions_after_terminate(plan) {
        let has_ended = node.child.try_wait().is_ok_and(|status| status.is_some());
        if has_ended || due.after + ms(plan.second_stall_ms) >= plan.time_to_kill() {
            continue;
        }
        wait_until(terminated_at + due.after);
        match due.action {
            Action::Interrupt => node.signal("-INT"),
            Action::Terminate => node.signal("-TERM"),
            Action::Reload => reload(plan, node, known),
            Action::Stall => {
                node.signal("-STOP");
                wait_until(terminated_at + due.after + ms(plan.second_stall_ms));
                node.signal("-CONT");
            }
        }
    }
    wait_until(terminated_at + plan.time_to_kill());
    terminated_at
}

/// Returns the actions after SIGTERM, in the order of their times.
fn actions_after_terminate(plan: &Plan) -> Vec<DueAction> {
    let mut due = Vec::new();
    let mut add = |after_ms: u64, action: Action| {
        due.push(DueAction {
            after: Duration::from_millis(after_ms),
            action,
        });
    };
    if plan.hangup_after_ms >= 0 {
        add(plan.hangup_after_ms.unsigned_abs(), Action::Reload);
    }
    if plan.repeats_signals {
        add(40, Action::Terminate);
        add(90, Action::Interrupt);
        add(300, Action::Terminate);
    }
    if plan.second_stall_ms > 0 {
        let after_ms = plan.stall_ms + BETWEEN_STALLS_MS + plan.second_stall_at_ms;
        add(after_ms, Action::Stall);
    }
    due.sort();
    due
}

/// Writes the new settings and sends SIGHUP, if the plan has new settings.
fn reload(plan: &Plan, node: &Node, known: &str) {
    if let Some(client_timeout_ms) = plan.new_client_timeout_ms {
        std::fs::write(&node.config_path, plan.config(known, client_timeout_ms)).expect("written");
        node.signal("-HUP");
    }
}

fn wait_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
