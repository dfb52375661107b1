//! The proxies between nodes and servers: each accepts connections of one node and passes them to
//! one stub server or to the stub of discovery.
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::{Rig, PROCESS_TIMEOUT};
use crate::fleet::addresses::AddressBlock;
use crate::fleet::discovery::DiscoveryStub;
use crate::fleet::plan::{Endpoint, LinkId};
use crate::fleet::proxy::{Connection, Proxy};
use crate::scenario::LabError;
use crate::stub::{NodeConnection, StubServers};

/// Interval between two checks of whether all proxies listen.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The proxies of a run.
pub(super) type Proxies = BTreeMap<ProxyId, Rc<Proxy>>;

/// Identifies a proxy by its node and by its server or discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ProxyId {
    pub(super) node: usize,
    pub(super) upstream: Endpoint,
}

impl ProxyId {
    /// Returns the proxy that a link goes through, or `None` for a link between nodes.
    pub(super) fn on_link(link: LinkId) -> Option<ProxyId> {
        match (link.from, link.to) {
            (Endpoint::Node(_), Endpoint::Node(_)) => None,
            (Endpoint::Node(node), upstream) | (upstream, Endpoint::Node(node)) => {
                Some(ProxyId { node, upstream })
            }
            _ => None,
        }
    }
}

impl Rig {
    /// Starts every proxy; one to a server accepts connections only while the server is up.
    pub(super) fn open_proxies(&self, block: &AddressBlock) {
        for (&ProxyId { node, upstream }, proxy) in &self.proxies {
            match upstream {
                Endpoint::Server(server) => self.open_server_proxy(node, server, proxy),
                _ => self.open_discovery_proxy(node, proxy, block),
            }
        }
    }

    fn open_server_proxy(&self, node: usize, server: usize, proxy: &Rc<Proxy>) {
        let stubs = self.stubs.clone();
        let serve = move |connection: Connection| {
            let connection = NodeConnection {
                stream: connection.stream,
                node,
                send_times: Some(connection.send_times),
            };
            spawn_local(stubs.clone().serve(server, connection));
        };
        spawn_local(proxy.clone().run(self.monitor.clone(), serve));
        spawn_local(follow_server(
            proxy.clone(),
            self.stubs.subscribe_up(server),
        ));
    }

    fn open_discovery_proxy(&self, node: usize, proxy: &Rc<Proxy>, block: &AddressBlock) {
        let stubs: Rc<StubServers> = self.stubs.clone();
        let addrs = (0..stubs.server_count())
            .map(|server| block.server(node, server))
            .collect();
        let discovery = Rc::new(DiscoveryStub { stubs, node, addrs });
        let serve = move |connection| drop(spawn_local(discovery.clone().serve(connection)));
        spawn_local(proxy.clone().run(self.monitor.clone(), serve));
    }

    /// Waits until all proxies listen, so that no node is refused a connection at its start.
    pub(super) async fn wait_for_proxies(&self) -> Result<(), LabError> {
        let all_listen = async {
            while !self.proxies.values().all(|proxy| proxy.is_listening()) {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(PROCESS_TIMEOUT, all_listen)
            .await
            .map_err(|_| LabError("a proxy does not listen".to_owned()))
    }
}

/// Lets a proxy accept connections while its server is up, and refuse them while it is down.
async fn follow_server(proxy: Rc<Proxy>, mut server_up: watch::Receiver<bool>) {
    loop {
        let up = *server_up.borrow_and_update();
        proxy.update_accept_mode(up);
        if server_up.changed().await.is_err() {
            return;
        }
    }
}
