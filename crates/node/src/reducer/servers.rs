//! Servers by their index: where they are and whether they may be used.
use std::net::SocketAddr;

use quartzhub_policy::{EndpointState, Time};
use quartzhub_settings::ServerTable;

use super::listed_endpoint::ListedEndpoint;
use crate::messages::UpstreamId;

/// A server as attempts are sent to it.
#[derive(Default)]
pub(super) struct Server {
    pub(super) addr: Option<SocketAddr>,
    pub(super) started: Option<Time>,
    pub(super) is_origin: bool,
    pub(super) state: EndpointState,
    /// What the list said of it last.
    pub(super) listed: Option<ListedEndpoint>,
    /// Idle upstreams, the newest last.
    pub(super) idle_upstreams: Vec<UpstreamId>,
}

impl Server {
    /// Takes over where the list says that the server's process is, and since when. Returns whether that is another
    /// process than before.
    pub(super) fn update_process(
        &mut self,
        addr: Option<SocketAddr>,
        started: Option<Time>,
    ) -> bool {
        let addr = addr.or(self.addr);
        let restarted = self.addr != addr || self.started != started;
        self.addr = addr;
        self.started = started;
        restarted
    }
}

/// All servers that the endpoint list has named and that the policy has not released.
pub(super) type Servers = ServerTable<Server>;
