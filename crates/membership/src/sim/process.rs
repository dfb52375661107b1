//! The interface of the processes in an emulated network.
use quartzhub_policy::Time;

use crate::{Datagram, NodeId};

/// A state machine that can run in an emulated network. All times are by its own clock.
pub trait EmulatedProcess {
    /// Settings shared by all processes of a network.
    type Settings;

    /// Creates and starts a process.
    fn launch(settings: &Self::Settings, launch: Launch) -> Self;

    /// Returns the time at which `tick` has to be called next.
    fn next_tick_at(&self) -> Time;

    /// Performs all actions that are due.
    fn tick(&mut self, now: Time, out: &mut Vec<Datagram>);

    /// Handles a received datagram.
    fn receive(&mut self, now: Time, from: NodeId, bytes: &[u8], out: &mut Vec<Datagram>);
}

/// The parameters with which a process is started.
#[derive(Debug, Clone, Copy)]
pub struct Launch {
    /// The node that the process runs on.
    pub me: NodeId,
    /// The number of nodes.
    pub nodes: usize,
    /// The seed of its random number generator.
    pub seed: u64,
    /// A number that grows with each start and kill of the node.
    pub incarnation: u32,
    /// The current time, by the node's clock.
    pub now: Time,
}
