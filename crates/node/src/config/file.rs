//! The keys of a configuration file.
use std::net::SocketAddr;

use serde_json::Value;

use super::values::{address, seed};
use crate::limits::MachineLimits;

/// The keys that a configuration file may have. Unknown keys are ignored.
#[derive(serde::Deserialize)]
pub(super) struct ConfigFile {
    #[serde(default = "default_name")]
    pub(super) name: String,
    #[serde(default, deserialize_with = "address")]
    pub(super) listen: Option<SocketAddr>,
    /// Address of the admin API.
    #[serde(default, deserialize_with = "address")]
    pub(super) ops: Option<SocketAddr>,
    #[serde(default, deserialize_with = "address")]
    pub(super) discovery: Option<SocketAddr>,
    #[serde(default, deserialize_with = "seed")]
    pub(super) seed: Option<u64>,
    /// Whether the nodes of the fleet monitor one another.
    #[serde(default)]
    pub(super) membership: bool,
    /// Address at which datagrams of other nodes are received.
    #[serde(default, deserialize_with = "address")]
    pub(super) peer_listen: Option<SocketAddr>,
    /// Addresses of all nodes; `PeerConfig::checked` validates them.
    #[serde(default)]
    pub(super) peers: Value,
    /// Name of the fleet.
    #[serde(default)]
    pub(super) fleet: Option<String>,
    /// Features of membership that tests disable, to verify that a test fails without them.
    #[serde(default)]
    pub(super) membership_without: Vec<String>,
    /// Whether nodes also exchange load reports and lease one another shares of their budgets.
    #[serde(default)]
    pub(super) shared: bool,
    #[serde(default)]
    pub(super) limits: MachineLimits,
    /// Endpoint list that the node starts with; a malformed one is ignored.
    #[serde(default)]
    pub(super) known: Value,
    pub(super) settings: Value,
}

fn default_name() -> String {
    "quartzhub".to_owned()
}
