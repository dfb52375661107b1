//! The node as a program: reads its configuration and serves.
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, Command};
use quartzhub_node::{log, run, Config, Environment};

fn main() -> ExitCode {
    let config = Arg::new("config").long("config").value_name("FILE").help("instead of what LB_CONFIG names");
    let about = "Routes API calls to a fleet of cache servers";
    let command = Command::new("quartzhub").version(env!("CARGO_PKG_VERSION")).about(about).arg(config);
    let given = command.get_matches().remove_one::<String>("config").or(std::env::var("LB_CONFIG").ok());
    let Some(file) = given.map(PathBuf::from) else {
        log!("no configuration: name a file by --config or LB_CONFIG");
        return ExitCode::FAILURE;
    };
    let config = match Config::read(&file, Environment::of_process()) {
        Ok(config) => config,
        Err(fault) => {
            log!("{fault}");
            return ExitCode::FAILURE;
        }
    };
    let listen = config.listen;
    match run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log!("{listen}: {e}");
            ExitCode::FAILURE
        }
    }
}
