//! Nodes that restart, leave as planned, or join.
mod common;

use quartzhub_membership::sim::Network;
use quartzhub_membership::{MemberState, MembershipConfig};
use quartzhub_policy::Span;

use common::converged_network;

#[test]
fn node_restarted_within_a_second_raises_its_incarnation() {
    let mut network = converged_network(12, MembershipConfig::default(), 3);
    for earlier_restarts in 0..3 {
        network.kill(6);
        network.run_for(Span::ms(700));
        network.start(6);
        network.run_for(Span::ms(6_000));
        assert_eq!(
            (network.false_removals(), network.missed_removals()),
            (0, 0)
        );
        let incarnation = network
            .process(6)
            .map(|membership| membership.incarnation())
            .unwrap_or_default();
        assert!(
            incarnation > earlier_restarts + 1,
            "incarnation {incarnation} of process {}",
            earlier_restarts + 2
        );
    }
}

#[test]
fn planned_leave_is_announced_and_not_treated_as_a_failure() {
    let mut network = converged_network(12, MembershipConfig::default(), 4);
    network.leave(7);
    network.run_for(Span::ms(3_000));
    for at in (0..12).filter(|at| *at != 7) {
        assert_eq!(network.state(7, at), Some(MemberState::Left), "at {at}");
    }
    network.start(7);
    network.run_for(Span::ms(5_000));
    assert_eq!(network.false_removals(), 0);
}

#[test]
fn views_agree_after_a_mass_join_and_a_mass_leave() {
    let mut network = Network::new(48, MembershipConfig::default(), 5);
    (0..32).for_each(|node| network.start(node));
    network.run_for(Span::ms(8_000));
    (32..48).for_each(|node| network.start(node));
    network.run_for(Span::ms(6_000));
    assert_eq!(network.false_removals(), 0);
    (0..16).for_each(|node| network.leave(node));
    network.run_for(Span::ms(8_000));
    assert_eq!(
        (network.false_removals(), network.missed_removals()),
        (0, 0)
    );
}
