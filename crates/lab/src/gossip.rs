//! Emulation of the membership protocol at sizes that processes don't reach: how soon a crash is
//! suspected and known to all nodes, how often a live node is removed, and the traffic of the
//! protocol. Plain SWIM is run on the same inputs for comparison.
mod report;

use quartzhub_membership::sim::Network;
use quartzhub_membership::{MemberState, MembershipConfig};
use quartzhub_policy::{Pcg, Span, Time};
use rayon::prelude::*;

pub use report::{plot, table};

/// Time in which the nodes of a fleet, all started at once, learn of each other.
const SETTLING_TIME: Span = Span::ms(60_000);

/// Period over which traffic is measured.
const TRAFFIC_WINDOW: Span = Span::ms(5_000);

/// Each crash is delayed by a random time up to this, so that crashes hit any phase of the probe
/// period.
const CRASH_JITTER: Span = Span::ms(400);

/// A crash that not all nodes know of by then counts as undetected.
const DETECTION_TIMEOUT: Span = Span::ms(15_000);

/// Interval between two checks of the nodes' views after a crash.
const DETECTION_STEP: Span = Span::ms(50);

/// Fraction of datagrams that are lost while false removals are counted.
const LOSS: f64 = 0.1;

/// Shortest pause of a node.
const MIN_PAUSE: Span = Span::ms(200);

/// Most random time added to a pause.
const PAUSE_JITTER: Span = Span::ms(1_800);

/// Interval between two checks of the nodes' views while false removals are counted.
const REMOVAL_STEP: Span = Span::ms(500);

/// Number of checks between two rounds of pauses.
const CHECKS_PER_ROUND: usize = 10;

/// A removal within a node's pause, or up to this long after it, is attributed to the pause.
const PAUSE_EFFECT: Span = Span::ms(1_500);

/// Number of nodes whose views are checked for false removals.
const OBSERVERS: usize = 16;

/// A failure detector of the comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Detector {
    /// The detector of this project.
    Quartzhub,
    /// SWIM without the Lifeguard extensions.
    Plain,
}

impl Detector {
    fn config(self) -> MembershipConfig {
        match self {
            Detector::Quartzhub => MembershipConfig::default(),
            Detector::Plain => MembershipConfig::plain(),
        }
    }

    fn name(self) -> &'static str {
        match self {
            Detector::Quartzhub => "quartzhub",
            Detector::Plain => "plain",
        }
    }
}

/// Results of one detector at one fleet size.
#[derive(Debug, Clone)]
pub struct Row {
    /// The detector.
    pub detector: Detector,
    /// Number of nodes of the fleet.
    pub nodes: usize,
    /// Its traffic while no node fails.
    pub traffic: Traffic,
    /// How it detects crashes.
    pub crashes: CrashDetection,
    /// Its false removals while no node crashes.
    pub removals: FalseRemovals,
}

/// Mean traffic of a node.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Datagrams sent per second.
    pub datagrams_per_second: f64,
    /// Bytes sent per second.
    pub bytes_per_second: f64,
}

/// Detection of crashes.
#[derive(Debug, Clone, Copy)]
pub struct CrashDetection {
    /// Number of crashed nodes.
    pub crashes: usize,
    /// Crashes that not all nodes knew of within `DETECTION_TIMEOUT`.
    pub undetected: usize,
    /// Seconds from a crash until the first node suspects it, 99th percentile.
    pub first_suspicion_p99: f64,
    /// Seconds from a crash until all nodes have removed the node, 99th percentile.
    pub removed_by_all_p99: f64,
}

/// Removals of live nodes, while datagrams are lost and nodes are paused repeatedly.
#[derive(Debug, Clone, Copy, Default)]
pub struct FalseRemovals {
    /// Removals of nodes that had not been paused shortly before.
    pub outside_pauses: usize,
    /// Removals of nodes that were paused, or had been shortly before.
    pub in_pauses: usize,
    /// Observed time in hours, multiplied by the number of nodes.
    pub node_hours: f64,
}

/// Emulates each detector at each fleet size. `hours`: node-hours over which false removals are
/// counted.
pub fn compare_detectors(sizes: &[usize], crashes: usize, hours: f64, seed: u64) -> Vec<Row> {
    let runs: Vec<(usize, Detector)> = sizes
        .iter()
        .flat_map(|nodes| [Detector::Quartzhub, Detector::Plain].map(|detector| (*nodes, detector)))
        .collect();
    runs.into_par_iter()
        .map(|(nodes, detector)| measure_detector(nodes, detector, crashes, hours, seed))
        .collect()
}

fn measure_detector(
    nodes: usize,
    detector: Detector,
    crashes: usize,
    hours: f64,
    seed: u64,
) -> Row {
    let mut network = settled_network(nodes, detector, seed);
    let traffic = measure_traffic(&mut network);
    let crashes = crash_nodes(&mut network, crashes.min(nodes / 4), seed);
    let removals = count_false_removals(nodes, detector, hours, seed);
    Row {
        detector,
        nodes,
        traffic,
        crashes,
        removals,
    }
}

fn settled_network(nodes: usize, detector: Detector, seed: u64) -> Network {
    let mut network = Network::new(nodes, detector.config(), seed);
    network.start_all();
    network.run_for(SETTLING_TIME);
    network
}

fn measure_traffic(network: &mut Network) -> Traffic {
    let sent_before = network.links.sent;
    let bytes_before = network.links.sent_bytes;
    let started_at = network.now;
    network.run_for(TRAFFIC_WINDOW);
    let seconds = (network.now - started_at).seconds();
    let per_second = |count: u64| count as f64 / network.len() as f64 / seconds;
    Traffic {
        datagrams_per_second: per_second(network.links.sent - sent_before),
        bytes_per_second: per_second(network.links.sent_bytes - bytes_before),
    }
}

fn crash_nodes(network: &mut Network, crashes: usize, seed: u64) -> CrashDetection {
    let mut first_suspicions = Vec::new();
    let mut removals_by_all = Vec::new();
    let mut undetected = 0;
    let mut rng = Pcg::new(seed);
    for _ in 0..crashes {
        let node = (rng.unit() * network.len() as f64) as usize;
        if network.process(node).is_none() {
            continue;
        }
        network.run_for(CRASH_JITTER.times(rng.unit()));
        network.kill(node);
        match detect_crash(network, node) {
            Some(detection) => {
                first_suspicions.push(detection.first_suspicion);
                removals_by_all.push(detection.removed_by_all);
            }
            None => undetected += 1,
        }
    }
    CrashDetection {
        crashes: first_suspicions.len() + undetected,
        undetected,
        first_suspicion_p99: p99(first_suspicions),
        removed_by_all_p99: p99(removals_by_all),
    }
}

/// Detection of one crash, in seconds after it.
struct Detection {
    first_suspicion: f64,
    removed_by_all: f64,
}

/// Runs the network until all running nodes have removed a node that has just crashed; none if they
/// don't within `DETECTION_TIMEOUT`.
fn detect_crash(network: &mut Network, node: usize) -> Option<Detection> {
    let crashed_at = network.now;
    let mut first_suspicion = None;
    while network.now - crashed_at < DETECTION_TIMEOUT {
        network.run_for(DETECTION_STEP);
        let elapsed = (network.now - crashed_at).seconds();
        let states: Vec<MemberState> = (0..network.len())
            .filter(|observer| *observer != node)
            .filter_map(|observer| network.state(node, observer))
            .collect();
        if states.iter().any(|state| *state != MemberState::Alive) {
            first_suspicion = first_suspicion.or(Some(elapsed));
        }
        if !states.iter().any(|state| state.is_member()) {
            return first_suspicion.map(|first_suspicion| Detection {
                first_suspicion,
                removed_by_all: elapsed,
            });
        }
    }
    None
}

/// Counts false removals while no node crashes. A removal counts once, however many observers share
/// it at the same time.
fn count_false_removals(nodes: usize, detector: Detector, hours: f64, seed: u64) -> FalseRemovals {
    let mut network = settled_network(nodes, detector, seed ^ 1);
    network.links.loss = LOSS;
    let mut rng = Pcg::new(seed ^ 2);
    let mut removals = FalseRemovals::default();
    let mut resumed_at = vec![Time(-60_000_000); nodes];
    let mut was_removed = vec![false; nodes];
    let target_seconds = (hours * 3600.0 / nodes as f64).max(30.0);
    let mut seconds = 0.0;
    while seconds < target_seconds {
        pause_tenth_of_nodes(&mut network, &mut rng, &mut resumed_at);
        for _ in 0..CHECKS_PER_ROUND {
            network.run_for(REMOVAL_STEP);
            for node in 0..nodes {
                let is_removed = is_removed_anywhere(&network, node);
                let is_new = is_removed && !was_removed[node];
                was_removed[node] = is_removed;
                if !is_new {
                    continue;
                }
                if network.now - resumed_at[node] < PAUSE_EFFECT {
                    removals.in_pauses += 1;
                } else {
                    removals.outside_pauses += 1;
                }
            }
        }
        seconds += REMOVAL_STEP.seconds() * CHECKS_PER_ROUND as f64;
    }
    removals.node_hours = seconds * nodes as f64 / 3600.0;
    removals
}

fn pause_tenth_of_nodes(network: &mut Network, rng: &mut Pcg, resumed_at: &mut [Time]) {
    let nodes = network.len();
    for _ in 0..(nodes / 10).max(1) {
        let node = (rng.unit() * nodes as f64) as usize;
        let pause = MIN_PAUSE + PAUSE_JITTER.times(rng.unit());
        network.pause(node, pause);
        resumed_at[node] = network.now + pause;
    }
}

fn is_removed_anywhere(network: &Network, node: usize) -> bool {
    (0..network.len())
        .step_by((network.len() / OBSERVERS).max(1))
        .any(|observer| network.state(node, observer) == Some(MemberState::Dead))
}

/// Returns the 99th percentile; not a number if there are no values.
fn p99(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = ((values.len() as f64 * 0.99).ceil() as usize).clamp(1, values.len().max(1));
    values.get(rank - 1).copied().unwrap_or(f64::NAN)
}
