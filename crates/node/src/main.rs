//! The `quartzhub` program: parses its arguments and runs the command that they name.
use std::process::ExitCode;

use clap::Parser;
use quartzhub_node::commands::{self, Arguments};

fn main() -> ExitCode {
    // The log starts before the arguments are parsed, so that errors of commands are logged in the
    // configured format.
    let result = commands::start_log().and_then(|()| commands::run(Arguments::parse()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
