//! Coordination of a fleet's nodes on top of the membership: reports of each node's load, and
//! leases on shares of budgets. A state machine without sockets or a clock; the node, the emulator
//! and the tests all run this code. `docs/coordination.md` states the guarantees and the
//! alternatives that were considered.
#![deny(missing_docs)]

pub mod config;
mod coordinator;
pub mod leases;
pub mod load_reports;
pub mod sim;
pub mod wire;

pub use config::CoordinationConfig;
pub use coordinator::Coordinator;
pub use load_reports::FleetLoad;
pub use quartzhub_membership::TrafficCounters;
