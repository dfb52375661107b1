//! Membership when links are cut in one direction or both. Where a guarantee rests on a feature,
//! the test also shows that it fails with the feature disabled.
mod common;

use quartzhub_membership::sim::Network;
use quartzhub_membership::{DisabledFeatures, MemberState, MembershipConfig};
use quartzhub_policy::Span;

use common::{converged_network, count_removers, max_flaps};

#[test]
fn one_way_cut_of_one_link_raises_no_suspicion() {
    for seed in 1..=4 {
        let mut network = converged_network(12, MembershipConfig::default(), seed);
        let before = network
            .process(5)
            .map(|membership| membership.change_count());
        network.links.cut(&[1], &[2]);
        network.run_for(Span::ms(60_000));
        assert_eq!(
            (network.false_removals(), before),
            (
                0,
                network
                    .process(5)
                    .map(|membership| membership.change_count())
            ),
            "seed {seed}"
        );
    }
    // Without indirect probes, the cut causes a suspicion.
    let disabled = DisabledFeatures {
        indirect_probes: true,
        ..DisabledFeatures::default()
    };
    let mut network = converged_network(
        12,
        MembershipConfig {
            disabled,
            ..MembershipConfig::default()
        },
        1,
    );
    let before = network
        .process(5)
        .map(|membership| membership.change_count());
    network.links.cut(&[1], &[2]);
    network.run_for(Span::ms(60_000));
    assert_ne!(
        before,
        network
            .process(5)
            .map(|membership| membership.change_count())
    );
}

#[test]
fn node_that_receives_nothing_removes_nobody_and_stays_member() {
    for seed in 1..=4 {
        let mut network = converged_network(12, MembershipConfig::default(), seed);
        let all: Vec<usize> = (0..12).collect();
        network.links.cut(&all, &[4]);
        network.run_for(Span::ms(30_000));
        // The other nodes still receive its datagrams, so they consider it alive.
        assert_eq!(network.false_removals(), 0, "seed {seed}");
        assert!(network
            .process(4)
            .is_some_and(|membership| membership.receives_no_responses(network.now)));
        network.links.cuts.clear();
        network.run_for(Span::ms(5_000));
        assert_eq!(
            (network.false_removals(), max_flaps(&network)),
            (0, 0),
            "seed {seed}"
        );
        assert!(!network
            .process(4)
            .is_some_and(|membership| membership.receives_no_responses(network.now)));
    }
}

/// Asserts that all views agree again within five seconds of the end of the cuts, with at most two
/// membership flaps of any node.
fn assert_views_heal(network: &mut Network, seed: u64) {
    network.links.cuts.clear();
    network.run_for(Span::ms(5_000));
    assert_eq!(network.false_removals(), 0, "seed {seed}");
    assert!(
        max_flaps(network) <= 2,
        "seed {seed}: {}",
        max_flaps(network)
    );
}

#[test]
fn unheard_node_is_removed_once_removes_nobody_and_rejoins() {
    for seed in 1..=4 {
        let mut network = converged_network(12, MembershipConfig::default(), seed);
        let all: Vec<usize> = (0..12).collect();
        network.links.cut(&[4], &all);
        network.run_for(Span::ms(30_000));
        assert_eq!(count_removers(&network, 4), 11, "seed {seed}");
        assert!(network
            .process(4)
            .is_some_and(|membership| membership.receives_no_responses(network.now)));
        for node in (0..12).filter(|node| *node != 4) {
            assert!(
                network.state(node, 4).is_some_and(MemberState::is_member),
                "seed {seed}"
            );
        }
        assert_views_heal(&mut network, seed);
    }
}

#[test]
fn unheard_third_of_the_fleet_removes_nobody_of_the_rest() {
    for seed in 1..=4 {
        let mut network = converged_network(12, MembershipConfig::default(), seed);
        let (third, rest): (Vec<usize>, Vec<usize>) = ((0..4).collect(), (4..12).collect());
        network.links.cut(&third, &rest);
        network.run_for(Span::ms(40_000));
        for node in &rest {
            for observer in &third {
                assert!(
                    network
                        .state(*node, *observer)
                        .is_some_and(MemberState::is_member),
                    "seed {seed}: node {observer} has removed node {node}"
                );
            }
        }
        assert_views_heal(&mut network, seed);
    }
}

#[test]
fn views_agree_within_five_seconds_of_the_end_of_a_partition() {
    for seed in 1..=8 {
        let mut network = converged_network(12, MembershipConfig::default(), seed);
        let (first_side, second_side): (Vec<usize>, Vec<usize>) =
            ((0..5).collect(), (5..12).collect());
        network.links.cut(&first_side, &second_side);
        network.links.cut(&second_side, &first_side);
        network.run_for(Span::ms(60_000));
        assert_eq!(network.false_removals(), 2 * 5 * 7, "seed {seed}");
        network.links.cuts.clear();
        network.run_for(Span::ms(5_000));
        assert_eq!(network.false_removals(), 0, "seed {seed}");
        assert!(max_flaps(&network) <= 2, "seed {seed}");
    }
}
