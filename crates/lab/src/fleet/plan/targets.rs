//! The nodes, caches and links that a fault of a plan affects.
use quartzhub_policy::Pcg;

use super::{Endpoint, LinkId, Plan};

/// A node with a random number; sorting the nodes by it draws a random subset.
struct DrawnNode {
    draw: f64,
    node: usize,
}

impl Plan {
    /// Returns the nodes that a fault affects.
    pub fn target_nodes(&self, fault_index: usize) -> Vec<usize> {
        let fault = &self.faults[fault_index];
        let Some(share) = fault.share.filter(|_| fault.nodes.is_empty()) else {
            return fault.nodes.clone();
        };
        let mut rng = Pcg::new(self.scenario.seed ^ (fault_index as u64) << 32);
        let mut drawn: Vec<DrawnNode> = (0..self.scenario.nodes)
            .map(|node| DrawnNode {
                draw: rng.unit(),
                node,
            })
            .collect();
        drawn.sort_by(|a, b| a.draw.total_cmp(&b.draw));
        let count = (share * self.scenario.nodes as f64).round() as usize;
        let mut nodes: Vec<_> = drawn
            .into_iter()
            .take(count)
            .map(|drawn| drawn.node)
            .collect();
        nodes.sort_unstable();
        nodes
    }

    pub(super) fn is_cache(&self, endpoint: &Endpoint) -> bool {
        matches!(endpoint, Endpoint::Server(server) if *server < self.scenario.caches.count)
    }

    /// Returns the caches that a fault of kind `DrainOverride` drains.
    pub fn drained_caches(&self, fault_index: usize) -> Vec<usize> {
        self.endpoints_of(&self.faults[fault_index].to)
            .into_iter()
            .filter_map(|endpoint| match endpoint {
                Endpoint::Server(server) => Some(server),
                _ => None,
            })
            .collect()
    }

    /// Returns the endpoints that a name in a plan file refers to, or `None` for an unknown name.
    pub(super) fn endpoints_named(&self, name: &str) -> Option<Vec<Endpoint>> {
        let nodes = self.scenario.nodes;
        let caches = self.scenario.caches.count;
        let index_below =
            |text: &str, count: usize| text.parse().ok().filter(|index| *index < count);
        Some(match name {
            "nodes" => (0..nodes).map(Endpoint::Node).collect(),
            "caches" => (0..caches).map(Endpoint::Server).collect(),
            "origin" => vec![Endpoint::Server(caches)],
            "discovery" => vec![Endpoint::Discovery],
            _ => match name.split_once('-')? {
                ("node", index) => vec![Endpoint::Node(index_below(index, nodes)?)],
                ("cache", index) => vec![Endpoint::Server(index_below(index, caches)?)],
                _ => return None,
            },
        })
    }

    fn endpoints_of(&self, names: &[String]) -> Vec<Endpoint> {
        names
            .iter()
            .filter_map(|name| self.endpoints_named(name))
            .flatten()
            .collect()
    }

    /// Returns the links that a fault affects; each direction is a link of its own.
    pub fn affected_links(&self, fault_index: usize) -> Vec<LinkId> {
        let fault = &self.faults[fault_index];
        let to_endpoints = self.endpoints_of(&fault.to);
        let mut links = Vec::new();
        for from in self.endpoints_of(&fault.from) {
            for &to in to_endpoints.iter().filter(|to| **to != from) {
                links.push(LinkId { from, to });
                if fault.both_directions {
                    links.push(LinkId { from: to, to: from });
                }
            }
        }
        links.sort_unstable();
        links.dedup();
        links
    }
}
