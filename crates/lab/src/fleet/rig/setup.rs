//! Setup of a run: links, proxies, the datagram relay, and a configuration file for each node.
use std::collections::{BTreeMap, HashMap};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use super::proxies::{Proxies, ProxyId};
use super::Rig;
use crate::clients::NodeEndpoint;
use crate::fleet::addresses::AddressBlock;
use crate::fleet::configuration::configuration;
use crate::fleet::datagrams::{DatagramRelay, NodePair};
use crate::fleet::event_log::EventLog;
use crate::fleet::io_error;
use crate::fleet::link::Link;
use crate::fleet::plan::{Endpoint, LinkId, Plan};
use crate::fleet::process::{NodeProcess, ProcessSpec, Programs};
use crate::fleet::proxy::Proxy;
use crate::rule_monitor::RuleMonitor;
use crate::scenario::LabError;
use crate::stub::StubServers;

/// Number of client connections to each node.
const CLIENT_CONNECTIONS: usize = 512;

/// The links created so far.
struct LinkTable {
    seed: u64,
    links: BTreeMap<LinkId, Rc<Link>>,
}

impl LinkTable {
    fn new(seed: u64) -> LinkTable {
        LinkTable {
            seed,
            links: BTreeMap::new(),
        }
    }

    /// Returns the link from one endpoint to another, and creates it on first use. Its seed depends
    /// on the number of links created before.
    fn get_or_create(&mut self, from: Endpoint, to: Endpoint) -> Rc<Link> {
        let seed = self.seed ^ (self.links.len() as u64) << 24;
        self.links
            .entry(LinkId { from, to })
            .or_insert_with(|| Link::new(seed))
            .clone()
    }
}

impl Rig {
    /// Sets up everything except the processes, which start later.
    pub(super) async fn new(
        plan: &Plan,
        programs: &Programs,
        block: &AddressBlock,
        folder: &Path,
    ) -> Result<Rc<Rig>, LabError> {
        let monitor = RuleMonitor::start(plan.scenario.grace());
        let stubs = StubServers::new(&plan.scenario, monitor.clone())?;
        let event_log = EventLog::new(monitor.clone());
        let mut links = LinkTable::new(plan.scenario.seed);
        let proxies = new_proxies(plan, block, stubs.server_count(), &mut links)?;
        let datagrams = new_datagram_relay(plan, block, &mut links).await?;
        let mut processes = Vec::new();
        for node in 0..plan.scenario.nodes {
            let endpoint_list = stubs.endpoint_list(|server| block.server(node, server));
            let config = configuration(plan, block, node, endpoint_list).to_string();
            let spec = ProcessSpec {
                node,
                config: write_config(folder, node, config)?,
                log: folder.join(format!("node-{node}.log")),
                programs: programs.clone(),
                front_delay: Duration::from_secs_f64(plan.front_late_ms / 1000.0),
            };
            let endpoint = NodeEndpoint::new(node, block.clients(node), CLIENT_CONNECTIONS);
            endpoint.in_rotation.set(false);
            let process = NodeProcess::new(spec, monitor.clone(), event_log.clone(), endpoint);
            processes.push(process);
        }
        let admin_addrs = (0..plan.scenario.nodes)
            .map(|node| block.admin(node))
            .collect();
        Ok(Rc::new(Rig {
            plan: plan.clone(),
            stubs,
            monitor,
            event_log,
            processes,
            links: links.links,
            proxies,
            datagrams,
            admin_addrs,
            drain_overrides: Default::default(),
        }))
    }
}

fn write_config(folder: &Path, node: usize, config: String) -> Result<PathBuf, LabError> {
    let file = folder.join(format!("node-{node}.json"));
    std::fs::write(&file, config).map_err(io_error(&file.display().to_string()))?;
    Ok(file)
}

/// Creates a proxy for each pair of a node and a server, and one for each node's discovery.
fn new_proxies(
    plan: &Plan,
    block: &AddressBlock,
    servers: usize,
    links: &mut LinkTable,
) -> Result<Proxies, LabError> {
    let mut proxies = Proxies::new();
    for node in 0..plan.scenario.nodes {
        let upstreams = (0..servers)
            .map(Endpoint::Server)
            .chain([Endpoint::Discovery]);
        for upstream in upstreams {
            let addr = match upstream {
                Endpoint::Server(server) => block.server(node, server),
                _ => block.discovery(node),
            };
            let to_server = links.get_or_create(Endpoint::Node(node), upstream);
            let to_node = links.get_or_create(upstream, Endpoint::Node(node));
            let proxy = Proxy::new(addr, to_server, to_node);
            proxy.check_address().map_err(io_error(&addr.to_string()))?;
            proxies.insert(ProxyId { node, upstream }, proxy);
        }
    }
    Ok(proxies)
}

/// Creates the links and the relay for datagrams between nodes.
async fn new_datagram_relay(
    plan: &Plan,
    block: &AddressBlock,
    links: &mut LinkTable,
) -> Result<Rc<DatagramRelay>, LabError> {
    let nodes = plan.scenario.nodes;
    let mut node_links = HashMap::new();
    for from in 0..nodes {
        for to in (0..nodes).filter(|to| *to != from) {
            let link = links.get_or_create(Endpoint::Node(from), Endpoint::Node(to));
            node_links.insert(NodePair { from, to }, link);
        }
    }
    let node_addrs = (0..nodes).map(|node| block.peer(node)).collect();
    let relay_addr = |from, to| block.peer_as_seen_by(from, to);
    DatagramRelay::open(node_addrs, relay_addr, node_links)
        .await
        .map_err(io_error("peers"))
}
