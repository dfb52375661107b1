//! Errors of the program's commands.
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

use super::AdminCallError;
use crate::error::ConfigError;

/// Why a command of the program failed. The program prints its text.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The environment names an unknown log format.
    #[error("LB_LOG: {name:?} is neither text nor json")]
    UnknownLogFormat {
        /// Value of the environment variable.
        name: String,
    },
    /// Neither an argument nor the environment names a configuration file.
    #[error("no configuration file is named: use --config or LB_CONFIG")]
    NoConfigFile,
    /// The configuration can't be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The configuration has no address for the admin API.
    #[error("{}: ops: missing; name the address of the admin API there or by --ops", file.display())]
    NoAdminAddress {
        /// The configuration file.
        file: PathBuf,
    },
    /// The node could not start, or stopped because of an error.
    #[error("could not serve on {listen}: {source}")]
    Serve {
        /// Address for clients, from the configuration.
        listen: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// A call to the admin API of a running node failed.
    #[error("call to the admin API at {address} failed: {source}")]
    AdminCall {
        /// Address of the admin API that was called.
        address: String,
        /// Why the call failed.
        source: AdminCallError,
    },
}

impl CommandError {
    /// Returns the error of a failed call to the node at `address`.
    pub(super) fn admin_call(address: &str, source: AdminCallError) -> CommandError {
        CommandError::AdminCall {
            address: address.to_owned(),
            source,
        }
    }
}
