//! Properties for any history of faults: views agree again once the network has healed, datagrams
//! keep to their maximum size, and no received bytes do harm.
use proptest::prelude::*;
use quartzhub_membership::sim::{Network, FLEET};
use quartzhub_membership::wire::{
    decode_datagram, fleet_hash, DatagramError, Entry, Head, MessageKind, Packet,
    MAX_DATAGRAM_BYTES,
};
use quartzhub_membership::{MemberState, Membership, MembershipConfig, NodeId};
use quartzhub_policy::{Span, Time};

#[derive(Debug, Clone)]
enum Fault {
    Cut(Vec<usize>, Vec<usize>),
    Heal,
    Loss(f64),
    Pause(usize, i64),
    Kill(usize),
    Start(usize),
    Leave(usize),
}

fn faults(nodes: usize) -> impl Strategy<Value = Vec<(i64, Fault)>> {
    let subset = || proptest::collection::vec(0..nodes, 1..nodes);
    let single_fault = prop_oneof![
        (subset(), subset()).prop_map(|(from, to)| Fault::Cut(from, to)),
        Just(Fault::Heal),
        (0.0..0.4).prop_map(Fault::Loss),
        (0..nodes, 200..8_000i64).prop_map(|(node, ms)| Fault::Pause(node, ms)),
        (0..nodes).prop_map(Fault::Kill),
        (0..nodes).prop_map(Fault::Start),
        (0..nodes).prop_map(Fault::Leave),
    ];
    proptest::collection::vec((50..4_000i64, single_fault), 1..14)
}

proptest! {
    // A fixed seed makes a failure reproducible.
    #![proptest_config(ProptestConfig {
        cases: 150,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_running_node_is_removed_once_the_network_has_healed(
        nodes in 3usize..10, seed in 0u64..1_000_000, faults_by_delay in faults(9),
    ) {
        let mut network = Network::new(nodes, MembershipConfig::default(), seed);
        network.start_all();
        network.run_for(Span::ms(5_000));
        for (delay, fault) in faults_by_delay {
            network.run_for(Span::ms(delay));
            let index_of = |node: usize| node % nodes;
            match fault {
                Fault::Cut(from, to) => {
                    let from: Vec<usize> = from.into_iter().map(index_of).collect();
                    let to: Vec<usize> = to.into_iter().map(index_of).collect();
                    network.links.cut(&from, &to);
                }
                Fault::Heal => network.links.cuts.clear(),
                Fault::Loss(fraction) => network.links.loss = fraction,
                Fault::Pause(node, ms) => network.pause(index_of(node), Span::ms(ms)),
                Fault::Kill(node) => network.kill(index_of(node)),
                Fault::Start(node) => network.start(index_of(node)),
                Fault::Leave(node) => network.leave(index_of(node)),
            }
        }
        // Restart the nodes that are down, since a view needs at least two running nodes.
        network.links.cuts.clear();
        network.links.loss = 0.0;
        network.run_for(Span::ms(8_000));
        for node in 0..nodes {
            if network.process(node).is_none() {
                network.start(node);
            }
        }
        network.run_for(Span::ms(20_000));
        prop_assert_eq!(network.false_removals(), 0);
        prop_assert!(network.links.max_datagram_bytes <= MAX_DATAGRAM_BYTES);
    }

    #[test]
    fn random_bytes_have_no_effect(
        datagrams in proptest::collection::vec((0u16..20, proptest::collection::vec(any::<u8>(), 0..300)), 0..50),
    ) {
        let mut membership = Membership::new(NodeId(1), 5, fleet_hash(FLEET), 7, MembershipConfig::default());
        membership.start(Time(0));
        let mut out = Vec::new();
        for (from, bytes) in datagrams {
            membership.receive(Time(1), NodeId(from), &bytes, &mut out);
        }
        prop_assert!(out.is_empty());
        prop_assert!(membership.all_nodes().filter(|(id, _)| *id != NodeId(1)).all(|(_, member)| member.state == MemberState::Unknown));
    }

    #[test]
    fn datagrams_with_false_content_change_only_views(
        datagrams in proptest::collection::vec((0u16..5, any::<u32>(), any::<u32>(), entries(), 0i64..2_000), 0..60),
    ) {
        let mut membership = Membership::new(NodeId(1), 5, fleet_hash(FLEET), 7, MembershipConfig::default());
        membership.start(Time(0));
        let mut out = Vec::new();
        let mut now = Time(0);
        for (from, incarnation, sequence, entries, ms) in datagrams {
            now = now + Span::ms(ms);
            let kind = MessageKind::Ping { hello: sequence % 2 == 0 };
            let head = Head { kind, from: NodeId(from), incarnation, sequence, probe: sequence, target: NodeId(from) };
            let mut packet = Packet::new(quartzhub_membership::wire::VERSION, fleet_hash(FLEET), &head);
            for entry in &entries {
                packet.add(entry);
            }
            membership.receive(now, NodeId(from), &packet.finish(), &mut out);
            membership.tick(now, &mut out);
            prop_assert!(membership.next_tick_at() > now);
            prop_assert!(out.iter().all(|datagram| datagram.bytes.len() <= MAX_DATAGRAM_BYTES));
            prop_assert!(membership.member(NodeId(1)).is_some_and(|me| me.state == MemberState::Alive));
            out.clear();
        }
    }

    #[test]
    fn datagram_with_a_flipped_bit_or_truncated_is_rejected(position in 0usize..1000, bit in 0u8..8, truncated_by in 0usize..60) {
        let original = datagram(FLEET, NodeId(0), 3);
        let mut corrupted = original.clone();
        corrupted[position % original.len()] ^= 1 << bit;
        prop_assert!(decode_datagram(&corrupted, fleet_hash(FLEET)).is_err());
        let truncated = &original[..original.len().saturating_sub(truncated_by + 1)];
        prop_assert!(decode_datagram(truncated, fleet_hash(FLEET)).is_err());
    }
}

fn entries() -> impl Strategy<Value = Vec<Entry>> {
    let incarnation = prop_oneof![any::<u32>(), Just(u32::MAX), 0u32..5];
    let entry =
        (0u8..5, 0u16..7, incarnation, 0u16..7).prop_map(|(kind, node, incarnation, by)| {
            let node = NodeId(node);
            let by = NodeId(by);
            match kind {
                0 => Entry::Alive { node, incarnation },
                1 => Entry::Suspect {
                    node,
                    incarnation,
                    by,
                },
                2 => Entry::Heard {
                    node,
                    incarnation,
                    by,
                },
                3 => Entry::Dead { node, incarnation },
                _ => Entry::Left { node, incarnation },
            }
        });
    proptest::collection::vec(entry, 0..12)
}

fn datagram(name: &str, from: NodeId, incarnation: u32) -> Vec<u8> {
    let kind = MessageKind::Ping { hello: false };
    let head = Head {
        kind,
        from,
        incarnation,
        sequence: 9,
        probe: 9,
        target: NodeId(1),
    };
    let mut packet = Packet::new(quartzhub_membership::wire::VERSION, fleet_hash(name), &head);
    packet.add(&Entry::Suspect {
        node: NodeId(2),
        incarnation: 4,
        by: NodeId(3),
    });
    packet.finish()
}

#[test]
fn inadmissible_datagrams_are_counted_and_have_no_effect() {
    let mut membership = Membership::new(
        NodeId(1),
        5,
        fleet_hash(FLEET),
        7,
        MembershipConfig::default(),
    );
    membership.start(Time(0));
    let mut out = Vec::new();
    let mut deliver = |membership: &mut Membership, from: u16, bytes: &[u8]| {
        membership.receive(Time(1_000), NodeId(from), bytes, &mut out);
        std::mem::take(&mut out).len()
    };
    assert_eq!(
        decode_datagram(&datagram("other", NodeId(0), 3), fleet_hash(FLEET)),
        Err(DatagramError::Fleet)
    );
    assert_eq!(
        deliver(&mut membership, 0, &datagram("other", NodeId(0), 3)),
        0
    );
    // From the address of another node, of an unconfigured node, and of this node itself.
    assert_eq!(
        deliver(&mut membership, 2, &datagram(FLEET, NodeId(0), 3)),
        0
    );
    assert_eq!(
        deliver(&mut membership, 9, &datagram(FLEET, NodeId(9), 3)),
        0
    );
    assert_eq!(
        deliver(&mut membership, 1, &datagram(FLEET, NodeId(1), 3)),
        0
    );
    assert_eq!(
        (
            membership.counters().traffic.malformed,
            membership.counters().traffic.rejected_sender,
            membership.counters().traffic.received
        ),
        (1, 3, 0)
    );
    // A valid datagram, the same one again, then one of an earlier incarnation: all get an ack, but
    // only the first one has an effect.
    assert_eq!(
        deliver(&mut membership, 0, &datagram(FLEET, NodeId(0), 3)),
        1
    );
    let heard = membership
        .member(NodeId(0))
        .and_then(|member| member.last_heard_at);
    assert_eq!(
        deliver(&mut membership, 0, &datagram(FLEET, NodeId(0), 3)),
        1
    );
    assert_eq!(
        deliver(&mut membership, 0, &datagram(FLEET, NodeId(0), 2)),
        1
    );
    assert_eq!(
        (
            membership.counters().protocol.outdated,
            membership
                .member(NodeId(0))
                .map(|member| member.incarnation)
        ),
        (2, Some(3))
    );
    assert_eq!(
        heard,
        membership
            .member(NodeId(0))
            .and_then(|member| member.last_heard_at)
    );
    // The number of acks in response to a flood stays within the burst.
    let ack_count: usize = (0..10_000)
        .map(|_| deliver(&mut membership, 0, &datagram(FLEET, NodeId(0), 3)))
        .sum();
    assert!(ack_count < 100, "{ack_count}");
    assert!(membership.counters().traffic.rate_limited > 9_900);
}

/// Average traffic sent by one node, per second.
#[derive(Debug)]
struct Traffic {
    datagrams: f64,
    bytes: f64,
}

#[test]
fn traffic_of_a_node_does_not_grow_with_the_fleet() {
    let measure_traffic = |nodes: usize| {
        let mut network = Network::new(nodes, MembershipConfig::default(), 1);
        network.start_all();
        network.run_for(Span::ms(15_000));
        let sent_before = network.links.sent;
        let bytes_before = network.links.sent_bytes;
        network.run_for(Span::ms(10_000));
        let per_second = |count: u64| count as f64 / 10.0 / nodes as f64;
        Traffic {
            datagrams: per_second(network.links.sent - sent_before),
            bytes: per_second(network.links.sent_bytes - bytes_before),
        }
    };
    let small_fleet = measure_traffic(8);
    let large_fleet = measure_traffic(256);
    assert!(
        (large_fleet.datagrams / small_fleet.datagrams - 1.0).abs() < 0.1,
        "datagrams per second and node: {small_fleet:?}, {large_fleet:?}"
    );
    assert!(
        small_fleet.bytes < 600.0 && large_fleet.bytes < 600.0,
        "bytes per second and node: {small_fleet:?}, {large_fleet:?}"
    );
}
