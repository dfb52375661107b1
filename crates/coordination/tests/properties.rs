//! Properties that hold for any faults of the network, the processes and the clocks.
use std::collections::BTreeSet;

use proptest::prelude::*;
use quartzhub_coordination::sim::Network;
use quartzhub_coordination::{CoordinationConfig, Coordinator};
use quartzhub_membership::NodeId;
use quartzhub_policy::{Span, Time};

#[derive(Debug, Clone)]
enum Fault {
    Cut(BTreeSet<usize>),
    OneWay(usize, usize),
    Heal,
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Start(usize),
    View(usize, u32),
    Leases(usize, usize),
    Loss(f64),
}

fn fault(nodes: usize) -> impl Strategy<Value = Fault> {
    use Fault::*;
    let node = 0..nodes;
    prop_oneof![
        3 => proptest::collection::btree_set(node.clone(), 1..nodes).prop_map(Cut),
        2 => (node.clone(), node.clone()).prop_map(|(a, b)| OneWay(a, b)),
        2 => Just(Heal),
        2 => node.clone().prop_map(Pause),
        3 => node.clone().prop_map(Resume),
        2 => node.clone().prop_map(Kill),
        3 => node.clone().prop_map(Start),
        3 => (node.clone(), any::<u32>()).prop_map(|(at, members)| View(at, members)),
        3 => (node, 0usize..9).prop_map(|(at, shares)| Leases(at, shares)),
        1 => (0.0..0.5).prop_map(Loss),
    ]
}

fn inject(network: &mut Network, fault: Fault) {
    match fault {
        Fault::Cut(isolated) => network.partition(&isolated),
        Fault::OneWay(from, to) => drop(network.emulation.links.cuts.insert((from, to))),
        Fault::Heal => network.emulation.links.cuts.clear(),
        Fault::Pause(at) => network.emulation.pause_until_resumed(at),
        Fault::Resume(at) => network.emulation.resume(at),
        Fault::Kill(at) => network.emulation.kill(at),
        Fault::Start(at) => network.emulation.start(at),
        Fault::View(at, members) => network.set_view(at, |other| members >> (other % 32) & 1 == 1),
        Fault::Leases(at, shares) => network.request_leases(at, shares),
        Fault::Loss(loss) => network.emulation.links.loss = loss,
    }
}

fn history() -> impl Strategy<Value = (usize, u64, Vec<(i64, Fault)>)> {
    (3usize..14).prop_flat_map(|nodes| {
        let events = proptest::collection::vec((50i64..4_000, fault(nodes)), 1..25);
        (Just(nodes), any::<u64>(), events)
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// The shares of all nodes that may still send, on both sides of any partition, never add up to
    /// more than one. Once the network has healed, each node has its own share again within a
    /// bounded time.
    #[test]
    fn shares_never_add_up_to_more_than_one((nodes, seed, events) in history()) {
        let mut network = Network::new(nodes, CoordinationConfig::default(), seed);
        network.emulation.start_all();
        let mut max_total = 0.0f64;
        for (delay, fault) in events {
            network.run_for(Span::ms(delay), |network| max_total = max_total.max(network.total_share()));
            inject(&mut network, fault);
        }
        for at in 0..nodes {
            network.emulation.resume(at);
            if network.get(at).is_none() {
                network.emulation.start(at);
            }
            network.set_view(at, |_| true);
            network.request_leases(at, 0);
        }
        network.emulation.links.cuts.clear();
        network.emulation.links.loss = 0.0;
        network.run_for(Span::ms(12_000), |network| max_total = max_total.max(network.total_share()));
        prop_assert!(max_total <= 1.0 + 1e-9, "{max_total}");
        for at in 0..nodes {
            let node = network.get(at).expect("the node runs");
            prop_assert!((node.budget_share() - 1.0 / nodes as f64).abs() < 1e-9);
        }
    }

    /// Random bytes and datagrams with a flipped bit are dropped. None of them makes a node panic
    /// or grow, and none is stored as a report.
    #[test]
    fn malformed_datagrams_are_dropped(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
        flip in any::<prop::sample::Index>(),
    ) {
        let mut coordinator = Coordinator::new(NodeId(0), 5, 7, 1, CoordinationConfig::default());
        coordinator.start(Time(0));
        let mut out = Vec::new();
        coordinator.receive(Time(0), NodeId(1), &bytes, &mut out);
        // A valid datagram with one bit flipped.
        let mut other = Coordinator::new(NodeId(1), 5, 7, 2, CoordinationConfig::default());
        other.start(Time(0));
        other.tick(Time(1_000_000), 1, &[NodeId(0)], &mut out);
        for datagram in &mut out {
            let at = flip.index(datagram.bytes.len());
            datagram.bytes[at] ^= 1;
            coordinator.receive(Time(0), NodeId(1), &datagram.bytes, &mut Vec::new());
        }
        prop_assert_eq!(coordinator.traffic().received, 0);
        prop_assert!(coordinator.fleet_load(Time(0)).is_none());
    }
}
