//! Coordinators in an emulated network, for tests and experiments; the same run from the same seed.
use std::collections::BTreeSet;

use quartzhub_membership::sim::{EmulatedNetwork, EmulatedProcess, Launch, NetworkConfig};
use quartzhub_membership::{Datagram, NodeId};
use quartzhub_policy::{NodeLoad, Span, Time};

use crate::{Coordinator, Limits};

/// The emulated fleet as it stands in each datagram.
const FLEET: u32 = 7;

/// Latest beginning of a node's clock, in microseconds.
const MAX_CLOCK_OFFSET_US: f64 = 4e9;

/// Least delay of a datagram.
const DELAY: Span = Span::ms(1);

/// Greatest additional delay of a datagram.
const JITTER: Span = Span::ms(2);

/// Least time between two ticks of a node.
const MIN_TICK_INTERVAL: Span = Span::ms(5);

/// What the processes of an emulated network are configured with.
pub struct Settings {
    limits: Limits,
    /// By node: the other nodes that it takes for members, right or wrong.
    views: Vec<Vec<NodeId>>,
}

/// A node's process.
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
            settings.limits.clone(),
        );
        coordinator.start(launch.now);
        CoordinatorProcess {
            coordinator,
            incarnation: launch.incarnation,
            others: settings.views[launch.me.index()].clone(),
        }
    }

    fn due(&self) -> Time {
        self.coordinator.due()
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Datagram>) {
        self.coordinator
            .tick(now, self.incarnation, &self.others, out);
    }

    fn receive(&mut self, now: Time, from: NodeId, bytes: &[u8], out: &mut Vec<Datagram>) {
        self.coordinator.receive(now, from, bytes, out);
    }
}

/// A node's coordinator, and the time by the node's clock.
#[derive(Clone, Copy)]
pub struct Observed<'a> {
    /// The coordinator.
    pub coordinator: &'a Coordinator,
    /// The time by the node's clock.
    pub now: Time,
}

impl Observed<'_> {
    /// The share of each budget that the node may use now.
    pub fn budget_share(&self) -> f64 {
        self.coordinator.budget_share(self.now)
    }
}

/// Nodes with a coordinator each, whose clocks differ.
pub struct Network {
    /// The nodes, their processes and links. What comes to a process that is paused is lost: the worst for it.
    pub emulation: EmulatedNetwork<CoordinatorProcess>,
}

impl Network {
    /// A network of nodes that have not been started, each taking all others for members.
    pub fn new(nodes: usize, limits: Limits, seed: u64) -> Network {
        let config = NetworkConfig {
            delay: DELAY,
            jitter: JITTER,
            duplicate_probability: None,
            receive_buffer: 0,
            min_tick_interval: MIN_TICK_INTERVAL,
        };
        let max_drift = limits.max_clock_drift;
        let views = (0..nodes)
            .map(|node| other_nodes(nodes, node, |_| true))
            .collect();
        let settings = Settings { limits, views };
        let mut emulation = EmulatedNetwork::with_config(nodes, settings, config, seed);
        emulation.randomize_clocks(max_drift, MAX_CLOCK_OFFSET_US);
        Network { emulation }
    }

    /// Sets which other nodes a node takes for members, right or wrong.
    pub fn set_view(&mut self, node: usize, is_member: impl Fn(usize) -> bool) {
        let view = other_nodes(self.emulation.len(), node, is_member);
        if let Some(process) = self.emulation.process_mut(node) {
            process.others.clone_from(&view);
        }
        self.emulation.settings.views[node] = view;
    }

    /// Cuts the links between these nodes and all others, both ways.
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

    /// Sets how many other nodes' shares a node would use beside its own.
    pub fn request_leases(&mut self, node: usize, shares: usize) {
        if let Some(process) = self.emulation.process_mut(node) {
            process.coordinator.request_leases(shares);
        }
    }

    /// A node's coordinator, if its process runs or is paused.
    pub fn get(&self, node: usize) -> Option<Observed<'_>> {
        let process = self.emulation.process(node)?;
        Some(Observed {
            coordinator: &process.coordinator,
            now: self.emulation.clock(node, self.emulation.now),
        })
    }

    /// The sum of the shares of all nodes that may still send. A node that was paused a short time ago may be between a look at
    /// its clock and the write that goes by it.
    pub fn total_share(&self) -> f64 {
        let limits = &self.emulation.settings.limits;
        let max_pause = limits.max_pause.times(1.0 - 2.0 * limits.max_clock_drift);
        let now = self.emulation.now;
        let share = |node: usize| {
            let looked_at_clock = match self.emulation.paused_since(node) {
                Some(since) if now - since > max_pause => return 0.0,
                Some(since) => since,
                None => now,
            };
            let clock = self.emulation.clock(node, looked_at_clock);
            self.emulation
                .process(node)
                .map_or(0.0, |process| process.coordinator.budget_share(clock))
        };
        (0..self.emulation.len()).map(share).sum()
    }

    /// Runs for some time; `observe` is called after each event and at the end.
    pub fn play(&mut self, span: Span, mut observe: impl FnMut(&Network)) {
        let until = self.emulation.now + span;
        while self.emulation.step(until) {
            observe(self);
        }
        observe(self);
    }
}

/// Those of the other nodes that are members.
fn other_nodes(nodes: usize, node: usize, is_member: impl Fn(usize) -> bool) -> Vec<NodeId> {
    (0..nodes)
        .filter(|other| *other != node && is_member(*other))
        .map(|other| NodeId(other as u16))
        .collect()
}
