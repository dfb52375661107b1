//! The endpoint list, in the format of discovery.
use std::net::SocketAddr;

use super::values::address;

/// An update of the endpoint list: the whole list, or its changes.
#[derive(Debug, Default, serde::Deserialize)]
pub struct EndpointListUpdate {
    /// Version of the list after this update.
    pub version: u64,
    /// Whether the update is the whole list, so that servers missing from it are delisted.
    #[serde(default)]
    pub full: bool,
    /// All servers, or those that have changed.
    pub servers: Vec<EndpointListEntry>,
}

/// One server of the endpoint list.
#[derive(Debug, serde::Deserialize)]
pub struct EndpointListEntry {
    /// The server's id, which never changes while the server is listed.
    pub id: String,
    /// Address that the server listens on.
    #[serde(default, deserialize_with = "address")]
    pub addr: Option<SocketAddr>,
    /// Name of its zone.
    pub zone: Option<String>,
    /// Name of its machine kind.
    pub kind: Option<String>,
    /// Number of its cell.
    pub cell: Option<u32>,
    /// Name of its state, such as `in_service`.
    pub state: Option<String>,
    /// Its weight relative to other servers, without a unit.
    pub weight: Option<f64>,
    /// Start of its process, as Unix time in milliseconds; 0 means long ago.
    pub started_ms: Option<f64>,
}
