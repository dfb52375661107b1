//! The laboratory's program: plays a scenario, or an experiment with its table and plots.
mod cli;
mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let done = match matches.subcommand() {
        Some(("run", given)) => commands::run_one(given),
        Some(("sweep", given)) => commands::sweep(given),
        Some(("check", given)) => commands::check(given),
        Some(("load", given)) => commands::load(given),
        Some(("compare", given)) => commands::compare(given),
        Some(("fleet", given)) => commands::fleet(given),
        Some(("members", given)) => commands::members(given),
        Some(("guard", given)) => commands::guard(given),
        Some(("faulty-node", given)) => commands::faulty_node(given),
        _ => Ok(()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quartzhub-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
