//! Subcommands that the fleet rig starts as processes.
use std::os::unix::process::CommandExt;
use std::process::Command;

use quartzhub_lab::fleet;
use quartzhub_lab::scenario::LabError;
use rustix::process::{getppid, set_parent_process_death_signal, Signal};

use crate::cli::{FaultyNodeArgs, GuardArgs};

/// Executes a command in this process, which the kernel kills when its parent ends. Without this,
/// processes would outlive a rig that was killed.
pub fn guard(args: &GuardArgs) -> Result<(), LabError> {
    set_parent_process_death_signal(Some(Signal::KILL))
        .map_err(|error| LabError(error.to_string()))?;
    let parent = getppid().map(|id| id.as_raw_nonzero().to_string());
    if parent.as_ref() != Some(&args.parent) {
        let message = "the parent process has already ended";
        return Err(LabError(message.to_owned()));
    }
    let error = Command::new(&args.command[0])
        .args(&args.command[1..])
        .exec();
    Err(LabError(error.to_string()))
}

/// Runs a faulty node in place of a real one.
pub fn faulty_node(args: &FaultyNodeArgs) -> Result<(), LabError> {
    let file =
        std::env::var("LB_CONFIG").map_err(|error| LabError(format!("LB_CONFIG: {error}")))?;
    let text =
        std::fs::read_to_string(&file).map_err(|error| LabError(format!("{file}: {error}")))?;
    fleet::faulty_node::run(&args.misbehavior, &text).map_err(|error| LabError(error.to_string()))
}
