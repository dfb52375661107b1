//! Servers as described by the endpoint list.
use crate::time::Time;

/// A server's index, assigned by the caller; it may be reused after
/// `PolicyActions::release_server`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ServerIndex(pub usize);

/// The state of a server in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// In service.
    Ready,
    /// Completes its attempts in flight and accepts no new ones.
    Draining,
    /// Not running, or not in the list.
    #[default]
    Gone,
}

impl EndpointState {
    /// Returns the state of a server after an update of the list marks it as gone or omits it. If
    /// delisted servers stay usable, a server that was in service remains so: such a list does not
    /// prove that the server has stopped. Only draining ends its use.
    pub fn after_removal(self, delisted_endpoints_stay_usable: bool) -> EndpointState {
        match self {
            EndpointState::Ready if delisted_endpoints_stay_usable => EndpointState::Ready,
            _ => EndpointState::Gone,
        }
    }
}

/// One entry of the endpoint list.
#[derive(Debug, Clone, Copy)]
pub struct Endpoint<'a> {
    /// The server's index.
    pub server: ServerIndex,
    /// The server's id in the list.
    pub id: &'a str,
    /// The zone's index in the settings; out of their range if unknown.
    pub zone: u32,
    /// The machine kind's index in the settings; out of their range if unknown.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: EndpointState,
    /// Its capacity relative to others.
    pub scale: f64,
    /// When it started, if the list states it.
    pub started: Option<Time>,
}
