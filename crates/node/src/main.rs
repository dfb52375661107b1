//! The node as a program: reads its configuration and serves.
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, Command};
use quartzhub_node::{log, run, Config, Environment};

fn main() -> ExitCode {
    let form = std::env::var("LB_LOG").ok().filter(|name| !name.is_empty());
    let named = form.as_deref().map_or(Some(log::Form::Text), log::Form::named);
    log::begin(named.unwrap_or_default());
    if named.is_none() {
        tracing::error!("LB_LOG: {:?} is neither text nor json", form.unwrap_or_default());
        return ExitCode::FAILURE;
    }
    let config = || {
        let help = "JSON, or TOML where its name ends in .toml; instead of what LB_CONFIG names";
        Arg::new("config").long("config").value_name("FILE").help(help)
    };
    let about = "Routes API calls to a fleet of cache servers";
    let check = Command::new("check").about("Says whether a configuration can be served").arg(config());
    let command = Command::new("quartzhub").version(env!("CARGO_PKG_VERSION")).about(about);
    let mut given = command.arg(config()).subcommand(check).get_matches();
    let checks = given.remove_subcommand().map(|(_, given)| given);
    let only = checks.is_some();
    let named = checks.and_then(|mut given| given.remove_one::<String>("config"));
    let named = named.or(given.remove_one::<String>("config")).or(std::env::var("LB_CONFIG").ok());
    let Some(file) = named.map(PathBuf::from) else {
        tracing::error!("no configuration: name a file by --config or LB_CONFIG");
        return ExitCode::FAILURE;
    };
    let config = match Config::read(&file, Environment::of_process()) {
        Ok(config) => config,
        Err(fault) => {
            tracing::error!("{fault}");
            return ExitCode::FAILURE;
        }
    };
    if only {
        config.passed_over.iter().for_each(|fault| tracing::error!("{}: {fault}", file.display()));
        println!("{}: can be served", file.display());
        return ExitCode::SUCCESS;
    }
    let listen = config.listen;
    match run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!("{listen}: {e}");
            ExitCode::FAILURE
        }
    }
}
