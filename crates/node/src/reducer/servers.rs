//! The table of servers: the address and state of each, and its idle upstreams.
use std::net::SocketAddr;

use quartzhub_policy::{EndpointState, Time};
use quartzhub_settings::ServerTable;

use super::listed_endpoint::ListedEndpoint;
use super::reuse_delay::ReuseDelay;
use crate::messages::UpstreamId;

/// A cache or the origin.
#[derive(Default)]
pub(super) struct Server {
    pub(super) addr: Option<SocketAddr>,
    pub(super) started: Option<Time>,
    pub(super) is_origin: bool,
    pub(super) state: EndpointState,
    /// Its latest entry in the endpoint list.
    pub(super) listed: Option<ListedEndpoint>,
    /// How long its upstreams rest after a response.
    pub(super) reuse_delay: ReuseDelay,
    /// Idle upstreams, the newest last.
    pub(super) idle_upstreams: Vec<UpstreamId>,
}

impl Server {
    /// Sets the address and the start time of the server's process, as the endpoint list reports
    /// them. Returns whether this is another process than before.
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
