//! Links that are cut in one direction or both; a promise also fails against a detector without the feature that it rests on.
mod common;

use quartzhub_membership::sim::Network;
use quartzhub_membership::{DisabledFeatures, Limits, MemberState};
use quartzhub_policy::Span;

use common::{most_flips, removed, settled};

#[test]
fn one_pair_cut_in_one_direction_is_no_suspicion() {
    for seed in 1..=4 {
        let mut network = settled(12, Limits::default(), seed);
        let before = network.process(5).map(|members| members.change_count());
        network.links.cut(&[1], &[2]);
        network.play(Span::ms(60_000));
        assert_eq!(
            (network.false_removals(), before),
            (0, network.process(5).map(|members| members.change_count())),
            "seed {seed}"
        );
    }
    // Without others that try, it is.
    let disabled = DisabledFeatures {
        indirect_probes: true,
        ..DisabledFeatures::default()
    };
    let mut network = settled(
        12,
        Limits {
            disabled,
            ..Limits::default()
        },
        1,
    );
    let before = network.process(5).map(|members| members.change_count());
    network.links.cut(&[1], &[2]);
    network.play(Span::ms(60_000));
    assert_ne!(
        before,
        network.process(5).map(|members| members.change_count())
    );
}

#[test]
fn a_node_that_hears_nobody_removes_nobody_stays_a_member_and_knows() {
    for seed in 1..=4 {
        let mut network = settled(12, Limits::default(), seed);
        let all: Vec<usize> = (0..12).collect();
        network.links.cut(&all, &[4]);
        network.play(Span::ms(30_000));
        // Its datagrams are heard: it is alive.
        assert_eq!(network.false_removals(), 0, "seed {seed}");
        assert!(network
            .process(4)
            .is_some_and(|members| members.hears_nobody(network.now)));
        network.links.cuts.clear();
        network.play(Span::ms(5_000));
        assert_eq!(
            (network.false_removals(), most_flips(&network)),
            (0, 0),
            "seed {seed}"
        );
        assert!(!network
            .process(4)
            .is_some_and(|members| members.hears_nobody(network.now)));
    }
}

/// Views are equal again within five seconds of the end of the cuts, with few changes on the way.
fn assert_heals(network: &mut Network, seed: u64) {
    network.links.cuts.clear();
    network.play(Span::ms(5_000));
    assert_eq!(network.false_removals(), 0, "seed {seed}");
    assert!(
        most_flips(network) <= 2,
        "seed {seed}: {}",
        most_flips(network)
    );
}

#[test]
fn a_node_that_nobody_hears_is_removed_once_removes_nobody_and_comes_back() {
    for seed in 1..=4 {
        let mut network = settled(12, Limits::default(), seed);
        let all: Vec<usize> = (0..12).collect();
        network.links.cut(&[4], &all);
        network.play(Span::ms(30_000));
        assert_eq!(removed(&network, 4), 11, "seed {seed}");
        assert!(network
            .process(4)
            .is_some_and(|members| members.hears_nobody(network.now)));
        for of in (0..12).filter(|of| *of != 4) {
            assert!(
                network.state(of, 4).is_some_and(MemberState::is_member),
                "seed {seed}"
            );
        }
        assert_heals(&mut network, seed);
    }
}

#[test]
fn a_third_that_the_rest_does_not_hear_removes_nobody_of_the_rest() {
    for seed in 1..=4 {
        let mut network = settled(12, Limits::default(), seed);
        let (third, rest): (Vec<usize>, Vec<usize>) = ((0..4).collect(), (4..12).collect());
        network.links.cut(&third, &rest);
        network.play(Span::ms(40_000));
        for of in &rest {
            for at in &third {
                assert!(
                    network.state(*of, *at).is_some_and(MemberState::is_member),
                    "seed {seed}: {at} of {of}"
                );
            }
        }
        assert_heals(&mut network, seed);
    }
}

#[test]
fn views_are_equal_again_within_five_seconds_of_a_partitions_end() {
    for seed in 1..=8 {
        let mut network = settled(12, Limits::default(), seed);
        let (one, other): (Vec<usize>, Vec<usize>) = ((0..5).collect(), (5..12).collect());
        network.links.cut(&one, &other);
        network.links.cut(&other, &one);
        network.play(Span::ms(60_000));
        assert_eq!(network.false_removals(), 2 * 5 * 7, "seed {seed}");
        network.links.cuts.clear();
        network.play(Span::ms(5_000));
        assert_eq!(network.false_removals(), 0, "seed {seed}");
        assert!(most_flips(&network) <= 2, "seed {seed}");
    }
}
