//! Drain overrides in an emulated network with loss, partitions and restarts.
use quartzhub_membership::sim::{Network, FLEET};
use quartzhub_membership::wire::{fleet_hash, Entry, Head, MessageKind, Packet};
use quartzhub_membership::{
    DisabledFeatures, DrainOverride, MembershipConfig, NodeId, OverrideRejected, ServerId,
};
use quartzhub_policy::Span;

const CACHE: ServerId = ServerId(0xfeed_beef_cafe_0001);

fn converged_network(nodes: usize, config: MembershipConfig, seed: u64) -> Network {
    let mut network = Network::new(nodes, config, seed);
    network.start_all();
    network.run_for(Span::ms(8_000));
    network
}

fn drain_value(network: &Network, node: usize, server: ServerId) -> Option<bool> {
    network
        .process(node)?
        .drain_overrides()
        .find(|entry| entry.value.server == server)
        .map(|entry| entry.value.drain)
}

/// Returns the number of running nodes at which the override has this value.
fn count_nodes_with(network: &Network, server: ServerId, drain: bool) -> usize {
    (0..network.len())
        .filter(|node| drain_value(network, *node, server) == Some(drain))
        .count()
}

/// Runs until the override has this value at all running nodes, checked every 20 ms. Returns the
/// time taken in milliseconds, or none if it takes longer than `max_ms`.
fn ms_until_all_have(
    network: &mut Network,
    server: ServerId,
    drain: bool,
    max_ms: i64,
) -> Option<i64> {
    let running = (0..network.len())
        .filter(|node| network.process(*node).is_some())
        .count();
    (0..=max_ms / 20)
        .find(|step| {
            if *step > 0 {
                network.run_for(Span::ms(20));
            }
            count_nodes_with(network, server, drain) == running
        })
        .map(|steps| steps * 20)
}

#[test]
fn drain_override_and_revocation_reach_all_nodes_despite_loss() {
    let mut slowest = 0;
    for (nodes, loss) in [(3, 0.0), (12, 0.2), (48, 0.2), (200, 0.2), (400, 0.0)] {
        for seed in 1..=if nodes < 100 { 3 } else { 1 } {
            let mut network = converged_network(nodes, MembershipConfig::default(), seed);
            network.links.loss = loss;
            assert!(network.set_drain_override(nodes / 2, CACHE, true).is_ok());
            let drain_ms = ms_until_all_have(&mut network, CACHE, true, 5_000)
                .expect("the drain reaches all nodes");
            assert!(network.set_drain_override(0, CACHE, false).is_ok());
            let revocation_ms = ms_until_all_have(&mut network, CACHE, false, 5_000)
                .expect("the revocation reaches all nodes");
            slowest = slowest.max(drain_ms).max(revocation_ms);
            if loss == 0.0 {
                assert!(
                    drain_ms <= 200 && revocation_ms <= 200,
                    "{nodes} nodes: {drain_ms} and {revocation_ms} ms"
                );
            }
        }
    }
    assert!(
        slowest <= 2_000,
        "{slowest} ms with a fifth of the datagrams lost"
    );
}

/// Delivers a ping of node `from` with a drain override, as if it had been delayed in the network.
fn deliver_delayed(network: &mut Network, from: usize, to: usize, drain_override: DrainOverride) {
    let incarnation = network
        .process(from)
        .map_or(1, |membership| membership.incarnation());
    let target = NodeId(to as u16);
    let head = Head {
        kind: MessageKind::Ping { hello: false },
        from: NodeId(from as u16),
        incarnation,
        sequence: 1,
        probe: 1,
        target,
    };
    let mut packet = Packet::new(
        quartzhub_membership::wire::VERSION,
        fleet_hash(FLEET),
        &head,
    );
    assert!(packet.add(&Entry::DrainOverride(drain_override)));
    network.inject(from, to, packet.finish());
}

#[test]
fn older_version_has_no_effect_unless_versions_are_disabled() {
    let count_drained = |config: MembershipConfig| {
        let mut network = converged_network(12, config, 5);
        let delayed = network
            .set_drain_override(3, CACHE, true)
            .expect("the drain is issued");
        network.run_for(Span::ms(2_000));
        network
            .set_drain_override(7, CACHE, false)
            .expect("the revocation is issued");
        network.run_for(Span::ms(2_000));
        for to in (0..12).filter(|to| *to != 3) {
            deliver_delayed(&mut network, 3, to, delayed);
        }
        network.run_for(Span::ms(500));
        count_nodes_with(&network, CACHE, true)
    };
    assert_eq!(count_drained(MembershipConfig::default()), 0);
    let disabled = DisabledFeatures {
        versions: true,
        ..DisabledFeatures::default()
    };
    assert!(
        count_drained(MembershipConfig {
            disabled,
            ..MembershipConfig::default()
        }) > 0,
        "the outdated override had no effect although versions are disabled"
    );
}

#[test]
fn restarted_node_learns_overrides_before_it_may_issue_any() {
    let mut network = converged_network(12, MembershipConfig::default(), 2);
    for server in 0..40 {
        network
            .set_drain_override(1, ServerId(server), true)
            .expect("the drain is issued");
    }
    network.run_for(Span::ms(6_000));
    network.kill(4);
    network.start(4);
    assert_eq!(
        network.set_drain_override(4, ServerId(3), false),
        Err(OverrideRejected::NotJoined)
    );
    network.run_for(Span::ms(4_000));
    assert_eq!(
        network
            .process(4)
            .map(|membership| membership.drain_overrides().count()),
        Some(40)
    );
    network
        .set_drain_override(4, ServerId(3), false)
        .expect("the revocation is issued");
    assert!(ms_until_all_have(&mut network, ServerId(3), false, 2_000).is_some());
}

#[test]
fn drain_wins_on_both_sides_once_a_partition_heals() {
    let mut network = converged_network(12, MembershipConfig::default(), 9);
    network
        .set_drain_override(0, CACHE, true)
        .expect("the drain is issued");
    network.run_for(Span::ms(3_000));
    let (left, right): (Vec<_>, Vec<_>) = ((0..7).collect(), (7..12).collect());
    network.links.cut(&left, &right);
    network.links.cut(&right, &left);
    network
        .set_drain_override(1, CACHE, false)
        .expect("one side issues a revocation");
    network
        .set_drain_override(8, ServerId(77), true)
        .expect("the other side issues a drain");
    network.run_for(Span::ms(20_000));
    assert_eq!(
        (
            count_nodes_with(&network, CACHE, false),
            count_nodes_with(&network, ServerId(77), true)
        ),
        (7, 5)
    );
    network
        .set_drain_override(9, CACHE, false)
        .expect("the other side issues a revocation as well");
    network
        .set_drain_override(9, CACHE, true)
        .expect("the other side issues a drain again");
    network.links.cuts.clear();
    network.run_for(Span::ms(8_000));
    assert_eq!(
        (
            count_nodes_with(&network, CACHE, true),
            count_nodes_with(&network, ServerId(77), true)
        ),
        (12, 12)
    );
}

#[test]
fn drain_overrides_are_bounded_and_drains_are_not_evicted() {
    let mut network = converged_network(
        5,
        MembershipConfig {
            max_drain_overrides: 8,
            ..MembershipConfig::default()
        },
        3,
    );
    for server in 0..8 {
        network
            .set_drain_override(0, ServerId(server), true)
            .expect("the drain is issued");
        network.run_for(Span::ms(300));
    }
    assert_eq!(
        network.set_drain_override(0, ServerId(8), true),
        Err(OverrideRejected::Full)
    );
    network
        .set_drain_override(0, ServerId(2), false)
        .expect("the revocation is issued");
    network
        .set_drain_override(0, ServerId(8), true)
        .expect("a drain is issued in place of the revocation");
    network.run_for(Span::ms(4_000));
    for node in 0..5 {
        assert_eq!(
            (
                network
                    .process(node)
                    .map(|membership| membership.drain_overrides().count()),
                drain_value(&network, node, ServerId(8))
            ),
            (Some(8), Some(true))
        );
    }
    assert!(
        network.links.max_datagram_bytes <= 256,
        "{} bytes",
        network.links.max_datagram_bytes
    );
}
