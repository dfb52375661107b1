//! The latest entry of a server in the endpoint list, before operators' drain overrides.
use quartzhub_membership::ServerId;
use quartzhub_policy::{Endpoint, EndpointState, ServerIndex, Time};

/// A server as the endpoint list reports it.
pub(super) struct ListedEndpoint {
    pub(super) id: ServerId,
    pub(super) state: EndpointState,
    zone: u32,
    kind: u32,
    cell: u32,
    scale: f64,
    pub(super) started: Option<Time>,
    /// The start of its process as the list reports it: Unix time, in milliseconds.
    pub(super) started_unix_ms: Option<f64>,
}

impl ListedEndpoint {
    /// Creates a record from `endpoint`, except for the state: `state` is the one in the list.
    pub(super) fn new(
        id: ServerId,
        state: EndpointState,
        endpoint: &Endpoint,
        started_unix_ms: Option<f64>,
    ) -> ListedEndpoint {
        ListedEndpoint {
            id,
            state,
            zone: endpoint.zone,
            kind: endpoint.kind,
            cell: endpoint.cell,
            scale: endpoint.scale,
            started: endpoint.started,
            started_unix_ms,
        }
    }

    /// Returns the endpoint in the form passed to the policy, in this state.
    pub(super) fn endpoint<'a>(
        &self,
        server: ServerIndex,
        id: &'a str,
        state: EndpointState,
    ) -> Endpoint<'a> {
        Endpoint {
            server,
            id,
            zone: self.zone,
            kind: self.kind,
            cell: self.cell,
            state,
            scale: self.scale,
            started: self.started,
        }
    }
}
