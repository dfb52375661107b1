//! The project's laboratory. An emulator runs the unchanged policy with models of the fleet, the
//! clients and the network, at sizes that real sockets don't reach; its runs and experiments are
//! deterministic for a seed. A rig injects faults into real processes.
//! `docs/lab.md` describes the models and their limits.
#![deny(missing_docs)]
pub mod clients;
pub mod emulator;
pub mod fleet;
pub mod gossip;
pub mod load;
pub mod lru;
pub mod metric;
pub mod plot;
pub mod routers;
pub mod rule_monitor;
pub mod rules;
pub mod scenario;
pub mod server;
pub mod stats;
pub mod stub;
pub mod sweep;

pub use emulator::run;
pub use scenario::Scenario;
pub use stats::Report;
