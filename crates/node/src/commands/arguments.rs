//! Arguments of the program. The doc comments of commands and arguments are also the texts of
//! `--help`.
use clap::{Args, Parser, Subcommand};

use super::{read_config, CommandError};

/// Routes API calls to a fleet of cache servers
#[derive(Debug, Parser)]
#[command(name = "quartzhub", version)]
pub struct Arguments {
    /// Configuration of the node, and of a command that is given none of its own.
    #[command(flatten)]
    pub config: ConfigArgument,
    /// Command to run instead of serving.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The commands besides serving.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Validates a configuration without serving
    Check(ConfigArgument),
    /// Prints the state of all nodes and the drain overrides, as seen by a running node
    Members(AdminTarget),
    /// Drains a server: no node sends it new requests
    Drain(ServerTarget),
    /// Puts a drained server back in service at every node
    Restore(ServerTarget),
}

/// The argument that names a configuration file.
#[derive(Debug, Args)]
pub struct ConfigArgument {
    /// Configuration file, TOML if its name ends in .toml and JSON otherwise; overrides LB_CONFIG
    #[arg(long = "config", value_name = "FILE")]
    pub file: Option<String>,
}

/// The arguments that select the running node to call.
#[derive(Debug, Args)]
pub struct AdminTarget {
    /// Configuration with the address of the node's admin API.
    #[command(flatten)]
    pub config: ConfigArgument,
    /// Address of the node's admin API; overrides `ops` of its configuration
    #[arg(long = "ops", value_name = "ADDR")]
    pub address: Option<String>,
}

/// The arguments of a command about one server.
#[derive(Debug, Args)]
pub struct ServerTarget {
    /// Id of the server in the endpoint list
    #[arg(value_name = "ID")]
    pub server: String,
    /// The node to call.
    #[command(flatten)]
    pub admin: AdminTarget,
}

impl ConfigArgument {
    /// Returns the file named by these arguments, or else by `general`.
    pub fn or(self, general: ConfigArgument) -> Option<String> {
        self.file.or(general.file)
    }
}

impl AdminTarget {
    /// Returns the admin address that was given, or else the one in the node's configuration.
    pub fn address(self, general: ConfigArgument) -> Result<String, CommandError> {
        if let Some(address) = self.address {
            return Ok(address);
        }
        let (file, config) = read_config(self.config.or(general))?;
        match config.admin_listen {
            Some(address) => Ok(address.to_string()),
            None => Err(CommandError::NoAdminAddress { file }),
        }
    }
}
