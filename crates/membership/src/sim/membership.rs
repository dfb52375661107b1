//! Membership state machines in an emulated network.
use quartzhub_policy::{Span, Time};

use super::{EmulatedNetwork, EmulatedProcess, Launch, NetworkConfig};
use crate::{
    wire, Datagram, DrainOverride, MemberState, Membership, MembershipConfig, NodeId,
    OverrideRejected, ServerId,
};

/// The name of the emulated fleet.
pub const FLEET: &str = "emulated";

/// Datagrams that the operating system buffers for a paused process.
const RECEIVE_BUFFER: usize = 800;

/// Nodes that run the membership protocol.
pub type Network = EmulatedNetwork<Membership>;

impl EmulatedProcess for Membership {
    type Settings = MembershipConfig;

    fn launch(config: &MembershipConfig, launch: Launch) -> Membership {
        let mut membership = Membership::new(
            launch.me,
            launch.nodes,
            wire::fleet_hash(FLEET),
            launch.seed,
            config.clone(),
        );
        membership.start(launch.now);
        membership
    }

    fn next_tick_at(&self) -> Time {
        self.next_tick_at()
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Datagram>) {
        self.tick(now, out);
    }

    fn receive(&mut self, now: Time, from: NodeId, bytes: &[u8], out: &mut Vec<Datagram>) {
        self.receive(now, from, bytes, out);
    }
}

impl EmulatedNetwork<Membership> {
    /// Creates a network of nodes that have not been started, with a delay of 1 to 2 ms in each
    /// direction.
    pub fn new(nodes: usize, config: MembershipConfig, seed: u64) -> Network {
        let network_config = NetworkConfig {
            delay: Span::ms(1),
            jitter: Span::ms(1),
            duplicate_probability: Some(0.0),
            receive_buffer: RECEIVE_BUFFER,
            min_tick_interval: Span::ms(1),
        };
        Network::with_config(nodes, config, network_config, seed)
    }

    /// Makes a node announce that it leaves, and ends its process.
    pub fn leave(&mut self, node: usize) {
        let now = self.now;
        let mut out = Vec::new();
        if let Some(membership) = self.process_mut(node) {
            membership.leave(now, &mut out);
        }
        self.send(node, out);
        self.kill(node);
    }

    /// Makes a node issue a drain override, as if on an operator's command.
    pub fn set_drain_override(
        &mut self,
        node: usize,
        server: ServerId,
        drain: bool,
    ) -> Result<DrainOverride, OverrideRejected> {
        let now = self.now;
        let mut out = Vec::new();
        let Some(membership) = self.process_mut(node) else {
            return Err(OverrideRejected::NotJoined);
        };
        let issued = membership.set_drain_override(now, server, drain, &mut out);
        self.send(node, out);
        issued
    }

    /// Returns a node's state as seen by another node, if the observer's process runs or is paused.
    pub fn state(&self, node: usize, observer: usize) -> Option<MemberState> {
        let observer = self.process(observer)?;
        let member = observer.member(NodeId(node as u16))?;
        Some(member.state)
    }

    /// Returns the number of pairs of running nodes in which the one does not consider the other a
    /// member.
    pub fn false_removals(&self) -> usize {
        let runs = |node: usize| self.process(node).is_some() && self.paused_since(node).is_none();
        self.count_pairs(|observer, node| {
            runs(observer) && runs(node) && !self.is_member(node, observer)
        })
    }

    /// Returns the number of pairs in which a running node considers a node without a process a
    /// member.
    pub fn missed_removals(&self) -> usize {
        let runs = |node: usize| self.process(node).is_some();
        self.count_pairs(|observer, node| {
            runs(observer) && !runs(node) && self.is_member(node, observer)
        })
    }

    fn count_pairs(&self, counts: impl Fn(usize, usize) -> bool) -> usize {
        (0..self.len())
            .map(|observer| {
                (0..self.len())
                    .filter(|node| counts(observer, *node))
                    .count()
            })
            .sum()
    }

    fn is_member(&self, node: usize, observer: usize) -> bool {
        self.state(node, observer)
            .is_some_and(MemberState::is_member)
    }
}
