//! Leases through partitions, restarts and clocks that run apart.
use std::collections::BTreeSet;

use quartzhub_coordination::sim::Network;
use quartzhub_coordination::Limits;
use quartzhub_policy::Span;

#[test]
fn a_side_without_a_majority_shrinks_to_its_reserved_share_and_the_other_leases_the_rest() {
    let mut network = Network::new(12, Limits::default(), 3);
    network.emulation.start_all();
    network.play(Span::ms(8_000), |_| ());
    assert!((network.total_share() - 1.0).abs() < 1e-9);
    let five: BTreeSet<usize> = (7..12).collect();
    network.partition(&five);
    let mut most = 0.0f64;
    for at in 0..7 {
        network.set_view(at, |other| other < 7);
        network.request_leases(at, 2);
    }
    network.play(Span::ms(20_000), |network| {
        most = most.max(network.total_share())
    });
    assert!(most <= 1.0 + 1e-9, "{most}");
    let total = |network: &Network, side: std::ops::Range<usize>| -> f64 {
        side.map(|at| network.get(at).map_or(0.0, |node| node.budget_share()))
            .sum()
    };
    let seven = total(&network, 0..7);
    let five = total(&network, 7..12);
    // Every share has a quorum group of five, whose majority is on one side: there it is used, beyond what that side had.
    assert!(
        seven > 7.0 / 12.0 && five < 5.0 / 12.0 && seven + five <= 1.0 + 1e-9,
        "{seven} {five}"
    );
    assert!(network.emulation.links.max_datagram_bytes <= 256);
}

#[test]
fn a_node_gets_its_share_back_soon_after_a_restart() {
    let mut network = Network::new(6, Limits::default(), 5);
    network.emulation.start_all();
    network.play(Span::ms(6_000), |_| ());
    network.emulation.kill(2);
    for at in [0, 1, 3, 4, 5] {
        network.set_view(at, |other| other != 2);
        network.request_leases(at, 1);
    }
    network.play(Span::ms(30_000), |_| ());
    let budget_share =
        |network: &Network, at: usize| network.get(at).map_or(0.0, |node| node.budget_share());
    let most = (0..6)
        .map(|at| budget_share(&network, at))
        .fold(0.0, f64::max);
    assert!(most > 1.7 / 6.0, "nobody took up what was left: {most}");
    network.emulation.start(2);
    (0..6).for_each(|at| network.set_view(at, |_| true));
    network.play(Span::ms(12_000), |network| {
        assert!(network.total_share() <= 1.0 + 1e-9)
    });
    assert!((budget_share(&network, 2) - 1.0 / 6.0).abs() < 1e-9);
}

/// A node that has leased a dead node's share is cut off; its clock is the slowest, the others' are the fastest that are allowed
/// for. Gives the greatest sum of all shares while the others request the same share.
fn greatest_sum_with_a_borrower_cut_off(seed: u64, restart: bool) -> f64 {
    let mut network = Network::new(6, Limits::default(), seed);
    network.emulation.set_clock_rate(0, 0.95);
    (1..6).for_each(|at| network.emulation.set_clock_rate(at, 1.05));
    network.emulation.start_all();
    network.play(Span::ms(6_000), |_| ());
    network.emulation.kill(5);
    (0..5).for_each(|at| network.set_view(at, |other| other != 5));
    network.request_leases(0, 1);
    network.play(Span::ms(24_000), |_| ());
    let node = network.get(0).expect("it runs");
    assert!(node.budget_share() > 1.7 / 6.0, "nothing was taken up");
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
    let mut most = 0.0f64;
    network.play(Span::ms(30_000), |network| {
        most = most.max(network.total_share())
    });
    assert!(
        network.total_share() > 0.99 - 0.75 / 6.0,
        "what it left was not taken up: {}",
        network.total_share()
    );
    most
}

#[test]
fn a_borrowed_share_is_granted_again_only_once_its_lease_has_expired_by_any_clock() {
    for seed in 0..40 {
        let most = greatest_sum_with_a_borrower_cut_off(seed, false);
        assert!(most <= 1.0 + 1e-9, "seed {seed}: {most}");
    }
}

#[test]
fn a_node_that_restarts_grants_nothing_until_its_former_grants_have_expired() {
    assert!(greatest_sum_with_a_borrower_cut_off(9, true) <= 1.0 + 1e-9);
}
