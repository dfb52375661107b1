//! The laboratory's program: parses the arguments and runs the subcommand that they name.
mod cli;
mod commands;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    match commands::run(cli::Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quartzhub-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
