//! Crashed nodes are removed and paused nodes are not. Where a guarantee rests on a feature, the
//! test also shows that it fails with the feature disabled.
mod common;

use quartzhub_membership::sim::Network;
use quartzhub_membership::{DisabledFeatures, MemberState, MembershipConfig, NodeId};
use quartzhub_policy::Span;

use common::{converged_network, membership_flaps};

#[test]
fn killed_node_is_dead_and_unstarted_node_is_unknown() {
    for nodes in [3, 5, 12, 48] {
        let mut network = Network::new(nodes + 1, MembershipConfig::default(), 1);
        (0..nodes).for_each(|node| network.start(node));
        network.run_for(Span::ms(8_000));
        assert_eq!(
            (network.false_removals(), network.state(nodes, 0)),
            (0, Some(MemberState::Unknown))
        );
        network.kill(1);
        network.run_for(Span::ms(12_000));
        assert_eq!(network.missed_removals(), 0, "{nodes} nodes");
        assert_eq!(network.false_removals(), 0, "{nodes} nodes");
    }
}

#[test]
fn only_killed_nodes_are_removed_while_datagrams_are_lost() {
    for seed in 1..=8 {
        let mut network = converged_network(12, MembershipConfig::default(), seed);
        network.links.loss = 0.2;
        network.run_for(Span::ms(5_000));
        network.kill(3);
        network.kill(8);
        network.run_for(Span::ms(15_000));
        assert_eq!(
            (network.missed_removals(), network.false_removals()),
            (0, 0),
            "seed {seed}"
        );
        network.links.loss = 0.0;
        network.run_for(Span::ms(5_000));
        assert_eq!(
            (network.missed_removals(), network.false_removals()),
            (0, 0),
            "seed {seed}"
        );
    }
}

#[test]
fn paused_nodes_remove_nobody_and_are_members_after_resuming() {
    for seed in 1..=8 {
        let mut network = converged_network(12, MembershipConfig::default(), seed);
        [0, 3, 5, 8, 11]
            .iter()
            .for_each(|node| network.pause(*node, Span::ms(3_000)));
        network.pause(2, Span::ms(30_000));
        network.run_for(Span::ms(3_500));
        // Nodes that were paused still consider all running nodes members.
        for paused in [0, 3, 5, 8, 11] {
            for running in [1, 4, 6, 7, 9, 10] {
                assert!(
                    network
                        .state(running, paused)
                        .is_some_and(MemberState::is_member),
                    "seed {seed}"
                );
            }
        }
        network.run_for(Span::ms(28_500));
        assert_eq!(network.false_removals(), 0, "seed {seed}");
        let removals = (0..12)
            .filter(|node| *node != 2)
            .map(|node| membership_flaps(&network, node, 2).saturating_sub(1))
            .sum::<usize>();
        assert_eq!(
            removals, 0,
            "seed {seed}: the node that was paused for 30 s has removed another node"
        );
    }
}

#[test]
fn paused_node_suspects_others_only_without_local_health() {
    let count_suspicions = |config: MembershipConfig| {
        let mut network = converged_network(12, config, 2);
        let mut suspected = 0;
        for _ in 0..20 {
            let paused_at = network.now;
            network.pause(2, Span::ms(3_000));
            network.run_for(Span::ms(3_500));
            let own_changes = network
                .process(2)
                .into_iter()
                .flat_map(|membership| membership.recorded_changes());
            suspected += own_changes
                .filter(|change| change.at > paused_at && change.suspectors.contains(&NodeId(2)))
                .count();
            network.run_for(Span::ms(6_000));
        }
        suspected
    };
    let disabled = DisabledFeatures {
        local_health: true,
        ..DisabledFeatures::default()
    };
    assert_eq!(count_suspicions(MembershipConfig::default()), 0);
    assert!(
        count_suspicions(MembershipConfig {
            disabled,
            ..MembershipConfig::default()
        }) > 0
    );
}
