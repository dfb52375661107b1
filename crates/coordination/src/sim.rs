//! Coordinators in an emulated network, for tests and experiments. The same seed gives the same
//! run.
use std::collections::BTreeSet;

use quartzhub_membership::sim::{EmulatedNetwork, EmulatedProcess, Launch, NetworkConfig};
use quartzhub_membership::{Datagram, NodeId};
use quartzhub_policy::{NodeLoad, Span, Time};

use crate::{CoordinationConfig, Coordinator};

/// The fleet hash in the datagrams of the emulated fleet.
const FLEET: u32 = 7;

/// Maximum start value of a node's clock, in microseconds.
const MAX_CLOCK_OFFSET_US: f64 = 4e9;

/// Minimum delay of a datagram.
const DELAY: Span = Span::ms(1);

/// Maximum additional delay of a datagram.
const JITTER: Span = Span::ms(2);

/// Minimum time between two ticks of a node.
const MIN_TICK_INTERVAL: Span = Span::ms(5);

/// Settings of the processes of an emulated network.
pub struct Settings {
    config: CoordinationConfig,
    /// For each node, the other nodes that it considers members, correctly or not.
    views: Vec<Vec<NodeId>>,
}

/// A node's process: its coordinator, and what the membership would supply.
pub struct CoordinatorProcess {
    coordinator: Coordinator,
    incarnation: u32,
    others: Vec<NodeId>,
}

impl EmulatedProcess for CoordinatorProcess {
    type Settings = Settings;

    fn launch(settings: &Settings, launch: Launch) -> CoordinatorProcess {
        let mut coordinator = Coordinator::new(
            launch.me,
            launch.nodes,
            FLEET,
            launch.seed,
            settings.config.clone(),
        );
        coordinator.start(launch.now);
        CoordinatorProcess {
            coordinator,
            incarnation: launch.incarnation,
            others: settings.views[launch.me.index()].clone(),
        }
    }

    fn next_tick_at(&self) -> Time {
        self.coordinator.next_tick_at()
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Datagram>) {
        self.coordinator
            .tick(now, self.incarnation, &self.others, out);
    }

    fn receive(&mut self, now: Time, from: NodeId, bytes: &[u8], out: &mut Vec<Datagram>) {
        self.coordinator.receive(now, from, bytes, out);
    }
}

/// A node's coordinator, and the current time by the node's clock.
#[derive(Clone, Copy)]
pub struct Observed<'a> {
    /// The coordinator.
    pub coordinator: &'a Coordinator,
    /// The current time by the node's clock.
    pub now: Time,
}

impl Observed<'_> {
    /// Returns the share of each budget that the node may use now.
    pub fn budget_share(&self) -> f64 {
        self.coordinator.budget_share(self.now)
    }
}

/// Nodes with one coordinator each, whose clocks differ.
pub struct Network {
    /// The nodes, their processes and links. Datagrams to a paused process are lost, which is the
    /// worst case for it.
    pub emulation: EmulatedNetwork<CoordinatorProcess>,
}

impl Network {
    /// Creates a network of nodes that have not been started, each of which considers all others
    /// members.
    pub fn new(nodes: usize, config: CoordinationConfig, seed: u64) -> Network {
        let network_config = NetworkConfig {
            delay: DELAY,
            jitter: JITTER,
            duplicate_probability: None,
            receive_buffer: 0,
            min_tick_interval: MIN_TICK_INTERVAL,
        };
        let max_drift = config.max_clock_drift;
        let views = (0..nodes)
            .map(|node| other_nodes(nodes, node, |_| true))
            .collect();
        let settings = Settings { config, views };
        let mut emulation = EmulatedNetwork::with_config(nodes, settings, network_config, seed);
        emulation.randomize_clocks(max_drift, MAX_CLOCK_OFFSET_US);
        Network { emulation }
    }

    /// Sets which other nodes a node considers members, correctly or not.
    pub fn set_view(&mut self, node: usize, is_member: impl Fn(usize) -> bool) {
        let view = other_nodes(self.emulation.len(), node, is_member);
        if let Some(process) = self.emulation.process_mut(node) {
            process.others.clone_from(&view);
        }
        self.emulation.settings.views[node] = view;
    }

    /// Cuts the links between these nodes and all others in both directions.
    pub fn partition(&mut self, nodes: &BTreeSet<usize>) {
        let (inside, outside): (Vec<_>, Vec<_>) =
            (0..self.emulation.len()).partition(|node| nodes.contains(node));
        self.emulation.links.cut(&inside, &outside);
        self.emulation.links.cut(&outside, &inside);
    }

    /// Sets a node's own load.
    pub fn set_own_load(&mut self, node: usize, load: NodeLoad) {
        if let Some(process) = self.emulation.process_mut(node) {
            process.coordinator.set_own_load(load);
        }
    }

    /// Sets how many shares of other nodes a node wants to use in addition to its own.
    pub fn request_leases(&mut self, node: usize, shares: usize) {
        if let Some(process) = self.emulation.process_mut(node) {
            process.coordinator.request_leases(shares);
        }
    }

    /// Returns a node's coordinator, if its process runs or is paused.
    pub fn get(&self, node: usize) -> Option<Observed<'_>> {
        let process = self.emulation.process(node)?;
        Some(Observed {
            coordinator: &process.coordinator,
            now: self.emulation.clock(node, self.emulation.now),
        })
    }

    /// Returns the sum of the shares of all nodes that may still send. A node that was paused a
    /// short time ago counts with the share at that time, since it may have been paused between
    /// reading its clock and the write that this reading allows.
    pub fn total_share(&self) -> f64 {
        let config = &self.emulation.settings.config;
        let max_pause = config.max_pause.times(1.0 - 2.0 * config.max_clock_drift);
        let now = self.emulation.now;
        let share = |node: usize| {
            let clock_read_at = match self.emulation.paused_since(node) {
                Some(since) if now - since > max_pause => return 0.0,
                Some(since) => since,
                None => now,
            };
            let clock = self.emulation.clock(node, clock_read_at);
            self.emulation
                .process(node)
                .map_or(0.0, |process| process.coordinator.budget_share(clock))
        };
        (0..self.emulation.len()).map(share).sum()
    }

    /// Runs the emulation for a span of time. `observe` is called after each event and at the end.
    pub fn run_for(&mut self, span: Span, mut observe: impl FnMut(&Network)) {
        let until = self.emulation.now + span;
        while self.emulation.step(until) {
            observe(self);
        }
        observe(self);
    }
}

/// Returns the other nodes for which `is_member` is true.
fn other_nodes(nodes: usize, node: usize, is_member: impl Fn(usize) -> bool) -> Vec<NodeId> {
    (0..nodes)
        .filter(|other| *other != node && is_member(*other))
        .map(|other| NodeId(other as u16))
        .collect()
}
