//! Connects the policy to the bench: reads batches of events from standard input, one per line, and
//! writes one line of actions to standard output for each. It makes no decisions of its own.
#![deny(missing_docs)]

mod action_writer;
mod bench;
mod error;
mod id_table;
mod node_instance;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use bench::Bench;
use error::ServeError;

fn main() -> ExitCode {
    clap::Command::new("quartzhub-benchlink")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs quartzhub's policy for the bench (events on stdin, actions on stdout)")
        .get_matches();
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quartzhub-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Handles batches and writes the responses until the input ends.
fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), ServeError> {
    let mut bench = Bench::default();
    let mut line = Vec::new();
    let mut response = Vec::new();
    for number in 1u64.. {
        line.clear();
        let read = input
            .read_until(b'\n', &mut line)
            .map_err(|source| ServeError::Read { number, source })?;
        if read == 0 {
            break;
        }
        response.clear();
        bench
            .handle_batch(&line, &mut response)
            .map_err(|source| ServeError::Batch { number, source })?;
        output
            .write_all(&response)
            .and_then(|()| output.flush())
            .map_err(ServeError::Write)?;
    }
    Ok(())
}
