//! The commands of the program: serving, which is the default, checking a configuration, and calls
//! to the admin API of a running node.
mod admin_client;
mod arguments;
mod error;
mod members;

use std::path::PathBuf;

use crate::{log, Config, Environment};
pub use admin_client::AdminCallError;
use admin_client::Method;
pub use arguments::{AdminTarget, Arguments, Command, ConfigArgument, ServerTarget};
pub use error::CommandError;

/// Environment variable that names the configuration file if no argument does.
const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// Environment variable that names the format of log lines.
const LOG_FORMAT_VARIABLE: &str = "LB_LOG";
/// Target of the log events of the program.
const LOG_TARGET: &str = "quartzhub";

/// Starts the log in the format that the environment names, or as text if it names none.
pub fn start_log() -> Result<(), CommandError> {
    let name = std::env::var(LOG_FORMAT_VARIABLE)
        .ok()
        .filter(|name| !name.is_empty());
    let format = name
        .as_deref()
        .map_or(Some(log::Format::Text), log::Format::from_name);
    log::init(format.unwrap_or_default());
    match (format, name) {
        (None, Some(name)) => Err(CommandError::UnknownLogFormat { name }),
        _ => Ok(()),
    }
}

/// Runs the command that the arguments name, or serves if they name none.
pub fn run(arguments: Arguments) -> Result<(), CommandError> {
    let config = arguments.config;
    match arguments.command {
        None => serve(config.file),
        Some(Command::Check(target)) => check(target.or(config)),
        Some(Command::Members(target)) => members(&target.address(config)?),
        Some(Command::Drain(target)) => drain(&target.admin.address(config)?, &target.server),
        Some(Command::Restore(target)) => restore(&target.admin.address(config)?, &target.server),
    }
}

/// Runs a node until SIGTERM or SIGINT.
pub fn serve(config_file: Option<String>) -> Result<(), CommandError> {
    let (_, config) = read_config(config_file)?;
    let listen = config.listen;
    crate::run(config).map_err(|source| CommandError::Serve { listen, source })
}

/// Validates a configuration and prints whether a node can serve with it.
pub fn check(config_file: Option<String>) -> Result<(), CommandError> {
    let (file, config) = read_config(config_file)?;
    let file = file.display();
    for error in &config.ignored_errors {
        tracing::error!(target: LOG_TARGET, "{file}: {error}");
    }
    println!("{file}: can be served");
    Ok(())
}

/// Prints the state of every node and the drain overrides in force, as seen by the node at
/// `address`.
pub fn members(address: &str) -> Result<(), CommandError> {
    let view = admin_client::call(address, Method::Get, "/control/members", "")
        .and_then(|body| Ok(serde_json::from_slice(&body)?))
        .map_err(|source| CommandError::admin_call(address, source))?;
    members::print(&view);
    Ok(())
}

/// Drains a server at every node: none of them sends it new requests.
pub fn drain(address: &str, server: &str) -> Result<(), CommandError> {
    post(address, "/control/drain", server)
}

/// Revokes the drain of a server at every node.
pub fn restore(address: &str, server: &str) -> Result<(), CommandError> {
    post(address, "/control/restore", server)
}

/// Sends a POST request to the node at `address` and prints the body of its response.
fn post(address: &str, path: &str, body: &str) -> Result<(), CommandError> {
    let response = admin_client::call(address, Method::Post, path, body)
        .map_err(|source| CommandError::admin_call(address, source))?;
    print!("{}", String::from_utf8_lossy(&response));
    Ok(())
}

/// Reads the configuration from the file that the argument names, or else the environment.
fn read_config(argument: Option<String>) -> Result<(PathBuf, Config), CommandError> {
    let file = argument
        .or(std::env::var(CONFIG_VARIABLE).ok())
        .map(PathBuf::from)
        .ok_or(CommandError::NoConfigFile)?;
    let config = Config::read(&file, Environment::of_process())?;
    Ok((file, config))
}
