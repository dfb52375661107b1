//! Emulated networks for experiments and tests. The same seed gives the same run.
mod links;
mod membership;
mod network;
mod node;
mod process;
mod queue;

pub use links::Links;
pub use membership::{Network, FLEET};
pub use network::{EmulatedNetwork, NetworkConfig};
pub use process::{EmulatedProcess, Launch};
pub use queue::EventQueue;
