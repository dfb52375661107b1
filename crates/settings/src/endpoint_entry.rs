//! Entries of the endpoint list as received, before names are mapped to indices.
use quartzhub_policy::{EndpointState, Time};

/// An entry of the endpoint list, with zone and kind given by name.
#[derive(Default)]
pub struct EndpointEntry<'a> {
    /// The server's id.
    pub id: &'a str,
    /// Its zone's name.
    pub zone: Option<&'a str>,
    /// The name of its machine kind.
    pub kind: Option<&'a str>,
    /// Its cell.
    pub cell: Option<u32>,
    /// Its state.
    pub state: EndpointState,
    /// Its capacity relative to other servers.
    pub scale: Option<f64>,
    /// When it started, if known.
    pub started: Option<Time>,
}
