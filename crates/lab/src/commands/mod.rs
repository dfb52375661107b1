//! The subcommands.
mod emulate;
mod files;
mod processes;
mod sockets;

use quartzhub_lab::scenario::LabError;

use crate::cli::Command;

/// Runs a subcommand.
pub fn run(command: Command) -> Result<(), LabError> {
    match command {
        Command::Load(args) => sockets::load(&args),
        Command::Compare(args) => sockets::compare(&args),
        Command::Fleet(args) => sockets::fleet(&args),
        Command::Members(args) => emulate::members(&args),
        Command::Guard(args) => processes::guard(&args),
        Command::FaultyNode(args) => processes::faulty_node(&args),
        Command::Run(args) => emulate::run_scenario(&args),
        Command::Sweep(args) => emulate::sweep(&args),
        Command::Check(args) => emulate::check(&args),
    }
}
