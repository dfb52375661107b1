//! Leases during partitions, restarts and clock drift.
use std::collections::BTreeSet;

use quartzhub_coordination::sim::Network;
use quartzhub_coordination::CoordinationConfig;
use quartzhub_policy::Span;

#[test]
fn side_with_the_majority_leases_the_shares_of_the_other() {
    let mut network = Network::new(12, CoordinationConfig::default(), 3);
    network.emulation.start_all();
    network.run_for(Span::ms(8_000), |_| ());
    assert!((network.total_share() - 1.0).abs() < 1e-9);
    let minority: BTreeSet<usize> = (7..12).collect();
    network.partition(&minority);
    let mut max_share = 0.0f64;
    for at in 0..7 {
        network.set_view(at, |other| other < 7);
        network.request_leases(at, 2);
    }
    network.run_for(Span::ms(20_000), |network| {
        max_share = max_share.max(network.total_share())
    });
    assert!(max_share <= 1.0 + 1e-9, "{max_share}");
    let total_share_of = |network: &Network, side: std::ops::Range<usize>| -> f64 {
        side.map(|at| network.get(at).map_or(0.0, |node| node.budget_share()))
            .sum()
    };
    let majority_share = total_share_of(&network, 0..7);
    let minority_share = total_share_of(&network, 7..12);
    // Each quorum group of five has its majority on one side. That side uses the share, in addition
    // to the shares of its own nodes.
    assert!(
        majority_share > 7.0 / 12.0
            && minority_share < 5.0 / 12.0
            && majority_share + minority_share <= 1.0 + 1e-9,
        "{majority_share} {minority_share}"
    );
    assert!(network.emulation.links.max_datagram_bytes <= 256);
}

#[test]
fn node_gets_its_share_back_soon_after_a_restart() {
    let mut network = Network::new(6, CoordinationConfig::default(), 5);
    network.emulation.start_all();
    network.run_for(Span::ms(6_000), |_| ());
    network.emulation.kill(2);
    for at in [0, 1, 3, 4, 5] {
        network.set_view(at, |other| other != 2);
        network.request_leases(at, 1);
    }
    network.run_for(Span::ms(30_000), |_| ());
    let budget_share =
        |network: &Network, at: usize| network.get(at).map_or(0.0, |node| node.budget_share());
    let max_share = (0..6)
        .map(|at| budget_share(&network, at))
        .fold(0.0, f64::max);
    assert!(
        max_share > 1.7 / 6.0,
        "no node has leased the dead node's share: {max_share}"
    );
    network.emulation.start(2);
    (0..6).for_each(|at| network.set_view(at, |_| true));
    network.run_for(Span::ms(12_000), |network| {
        assert!(network.total_share() <= 1.0 + 1e-9)
    });
    assert!((budget_share(&network, 2) - 1.0 / 6.0).abs() < 1e-9);
}

/// Cuts off a node that has leased a dead node's share. Its clock is the slowest that is allowed,
/// and the others' clocks are the fastest. Returns the maximum sum of all shares while the others
/// request the same share.
fn max_total_share_with_isolated_borrower(seed: u64, restart: bool) -> f64 {
    let mut network = Network::new(6, CoordinationConfig::default(), seed);
    network.emulation.set_clock_rate(0, 0.95);
    (1..6).for_each(|at| network.emulation.set_clock_rate(at, 1.05));
    network.emulation.start_all();
    network.run_for(Span::ms(6_000), |_| ());
    network.emulation.kill(5);
    (0..5).for_each(|at| network.set_view(at, |other| other != 5));
    network.request_leases(0, 1);
    network.run_for(Span::ms(24_000), |_| ());
    let node = network.get(0).expect("the node runs");
    assert!(
        node.budget_share() > 1.7 / 6.0,
        "the dead node's share was not leased"
    );
    network.partition(&BTreeSet::from([0]));
    for at in 1..5 {
        if restart {
            network.emulation.start(at);
        }
        network.set_view(at, |other| other != 0 && other != 5);
        network.request_leases(at, 2);
    }
    if restart {
        network.emulation.start(5);
        (1..5).for_each(|at| network.set_view(at, |other| other != 0));
    }
    let mut max_total = 0.0f64;
    network.run_for(Span::ms(30_000), |network| {
        max_total = max_total.max(network.total_share())
    });
    assert!(
        network.total_share() > 0.99 - 0.75 / 6.0,
        "the isolated node's share was not leased again: {}",
        network.total_share()
    );
    max_total
}

#[test]
fn share_is_granted_again_only_after_its_lease_expires() {
    for seed in 0..40 {
        let max_total = max_total_share_with_isolated_borrower(seed, false);
        assert!(max_total <= 1.0 + 1e-9, "seed {seed}: {max_total}");
    }
}

#[test]
fn restarted_grantor_waits_until_its_earlier_grants_expire() {
    assert!(max_total_share_with_isolated_borrower(9, true) <= 1.0 + 1e-9);
}
