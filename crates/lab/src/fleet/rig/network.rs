//! Network faults: partitions and impaired links, and their effect on listening sockets.
use std::time::Duration;

use tokio::time::sleep;

use super::proxies::ProxyId;
use super::Rig;
use crate::fleet::link::Impairment;
use crate::fleet::plan::{Endpoint, FaultKind, LinkId};

/// Most links that are all logged by name; of a longer list, only the first link is.
const MAX_NAMED_LINKS: usize = 6;

impl Rig {
    /// Partitions or impairs the links of a fault while it lasts.
    pub(super) async fn impair_links(&self, fault_index: usize, duration: Option<Duration>) {
        let links = self.plan.affected_links(fault_index);
        let description = self.describe_links(&links);
        let kind = match self.plan.faults[fault_index].kind {
            FaultKind::Partition => "partition",
            _ => "impairment",
        };
        self.event_log
            .record("links", format!("{kind} begins: {description}"));
        self.begin_impairment(fault_index, &links);
        let Some(duration) = duration else { return };
        sleep(duration).await;
        self.event_log
            .record("links", format!("{kind} ends: {description}"));
        self.end_impairment(fault_index, &links);
    }

    fn begin_impairment(&self, fault_index: usize, links: &[LinkId]) {
        let fault = &self.plan.faults[fault_index];
        let impairment = Impairment::from_fault(fault);
        for link in links.iter().filter_map(|link| self.links.get(link)) {
            link.add_fault(fault_index, impairment);
        }
        self.update_proxies(links, |resets| match fault.reset {
            true => resets + 1,
            false => resets,
        });
    }

    fn end_impairment(&self, fault_index: usize, links: &[LinkId]) {
        let fault = &self.plan.faults[fault_index];
        for link in links.iter().filter_map(|link| self.links.get(link)) {
            link.remove_fault(fault_index);
        }
        self.update_proxies(links, |resets| match fault.reset {
            true => resets.saturating_sub(1),
            false => resets,
        });
    }

    /// Updates whether the proxies on these links accept connections, after a change of the links.
    /// `new_resets` maps a proxy's number of resetting faults to the new one.
    fn update_proxies(&self, links: &[LinkId], new_resets: impl Fn(usize) -> usize) {
        for link in links {
            let Some(id) = ProxyId::on_link(*link) else {
                continue;
            };
            let Some(proxy) = self.proxies.get(&id) else {
                continue;
            };
            proxy
                .resetting_faults
                .set(new_resets(proxy.resetting_faults.get()));
            proxy.update_accept_mode(match id.upstream {
                Endpoint::Server(server) => *self.stubs.subscribe_up(server).borrow(),
                _ => true,
            });
        }
    }

    fn describe_links(&self, links: &[LinkId]) -> String {
        let name = |endpoint: Endpoint| match endpoint {
            Endpoint::Node(node) => format!("node-{node}"),
            Endpoint::Server(server) => self.stubs.server_id(server),
            Endpoint::Discovery => "discovery".to_owned(),
        };
        let names: Vec<_> = links
            .iter()
            .map(|link| format!("{}>{}", name(link.from), name(link.to)))
            .collect();
        match names.len() > MAX_NAMED_LINKS {
            true => format!("{} links, {} first", names.len(), names[0]),
            false => names.join(" "),
        }
    }
}
