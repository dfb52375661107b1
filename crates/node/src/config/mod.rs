//! The configuration. It is read, validated and completed with defaults here and nowhere else.
//! Error messages name the invalid key.
mod check;
mod endpoint_list;
mod environment;
mod file;
mod key_paths;
mod read;
mod reload;
mod settings;
#[cfg(test)]
mod tests;
mod values;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use quartzhub_settings::Settings;

use crate::error::ConfigError;
use crate::limits::{Limits, MachineLimits};
use crate::peers::config::PeerConfig;
pub use endpoint_list::{EndpointListEntry, EndpointListUpdate};
pub use environment::Environment;
pub use reload::ReloadSummary;

/// The configuration of a node.
#[derive(Debug)]
pub struct Config {
    /// Name of the node in its log.
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of the admin API; `None` disables it.
    pub admin_listen: Option<SocketAddr>,
    /// Descriptor of an inherited listening socket, which replaces `listen`.
    pub inherited_descriptor: Option<i32>,
    /// Address of discovery, which provides the endpoint list; with `None` the node keeps
    /// `known_endpoints`.
    pub discovery: Option<SocketAddr>,
    /// Seed of the node's random numbers.
    pub seed: u64,
    /// The validated settings of the fleet.
    pub settings: Settings,
    /// The endpoint list that the node starts with.
    pub known_endpoints: EndpointListUpdate,
    /// Limits derived from the machine and the settings.
    pub limits: Limits,
    /// The other nodes of the fleet; `None` if membership is off.
    pub membership: Option<PeerConfig>,
    /// Errors that don't keep the node from starting; they are logged.
    pub ignored_errors: Vec<ConfigError>,
    /// Machine limits that `limits` were derived from.
    machine_limits: MachineLimits,
    /// Paths of the file's keys, except those within the list of known servers.
    key_paths: BTreeSet<String>,
    /// What the configuration was read from; `None` if it was parsed from a string.
    source: Option<ConfigSource>,
    /// Address of discovery in the file, which the environment may override.
    discovery_in_file: Option<SocketAddr>,
}

/// What a configuration was read from, kept for reloads.
#[derive(Debug)]
struct ConfigSource {
    file: PathBuf,
    environment: Environment,
}
