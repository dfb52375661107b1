//! A converged emulated network, and counts of membership changes.
#![allow(dead_code, reason = "each test file uses some of these")]

use quartzhub_membership::sim::Network;
use quartzhub_membership::{MemberState, MembershipConfig, NodeId};
use quartzhub_policy::Span;

/// Starts a network and runs it until all nodes know each other.
pub fn converged_network(nodes: usize, config: MembershipConfig, seed: u64) -> Network {
    let mut network = Network::new(nodes, config, seed);
    network.start_all();
    network.run_for(Span::ms(8_000));
    assert_eq!(
        network.false_removals(),
        0,
        "the {nodes} nodes have not converged"
    );
    network
}

/// Returns the number of running nodes that have declared a node dead.
pub fn count_removers(network: &Network, node: usize) -> usize {
    (0..network.len())
        .filter(|observer| {
            network.process(*observer).is_some()
                && network.state(node, *observer) == Some(MemberState::Dead)
        })
        .count()
}

/// Returns how often a node became a member or stopped being one, as seen by another node.
pub fn membership_flaps(network: &Network, node: usize, observer: usize) -> usize {
    let Some(membership) = network.process(observer) else {
        return 0;
    };
    let subject_changes = membership
        .recorded_changes()
        .filter(|change| change.node == NodeId(node as u16));
    subject_changes
        .filter(|change| change.from.is_member() != change.to.is_member())
        .count()
}

/// Returns the maximum number of flaps of any node at any other, not counting its first join.
pub fn max_flaps(network: &Network) -> usize {
    let all = (0..network.len())
        .flat_map(|node| (0..network.len()).map(move |observer| (node, observer)));
    all.filter(|(node, observer)| node != observer)
        .map(|(node, observer)| membership_flaps(network, node, observer).saturating_sub(1))
        .max()
        .unwrap_or(0)
}
