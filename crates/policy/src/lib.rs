//! The decisions of one quartzhub node, free of I/O, clocks and wire formats. See `decide`.
mod decide;
mod pcg;
mod state;
mod tune;
mod types;

pub use pcg::Pcg;
pub use state::{hash, Balancer};
pub use types::*;
