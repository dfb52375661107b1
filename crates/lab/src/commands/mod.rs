//! What each subcommand does.
mod emulate;
mod input;
mod processes;
mod sockets;

pub use emulate::{check, members, run_one, sweep};
pub use processes::{faulty_node, guard};
pub use sockets::{compare, fleet, load};
