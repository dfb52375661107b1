//! Load reports in a lossy network with a faulty node.
use quartzhub_coordination::sim::Network;
use quartzhub_coordination::CoordinationConfig;
use quartzhub_policy::{NodeLoad, Span};

/// Reports reach all nodes within three seconds, at the same traffic per node regardless of the
/// size of the fleet. A faulty node moves the sum by no more than the bound, and reports of silent
/// nodes expire.
#[test]
fn reports_reach_all_nodes_and_a_faulty_report_is_bounded() {
    for nodes in [8, 64, 256] {
        let mut network = Network::new(nodes, CoordinationConfig::default(), 11);
        network.emulation.start_all();
        network.emulation.links.loss = 0.2;
        (0..nodes).for_each(|at| {
            network.set_own_load(
                at,
                NodeLoad {
                    mean_in_flight: 2.0,
                    responses_per_second: 20.0,
                },
            )
        });
        network.set_own_load(
            0,
            NodeLoad {
                mean_in_flight: 1e6,
                responses_per_second: 0.0,
            },
        );
        network.run_for(Span::ms(3_000), |_| ());
        let bytes_before = network.emulation.links.sent_bytes;
        network.run_for(Span::ms(2_000), |_| ());
        let bytes_per_second =
            (network.emulation.links.sent_bytes - bytes_before) as f64 / 2.0 / nodes as f64;
        assert!(
            bytes_per_second < 1_600.0,
            "{bytes_per_second} bytes per second and node"
        );
        for at in 1..nodes {
            let node = network.get(at).expect("the node runs");
            let fleet = node
                .coordinator
                .fleet_load(node.now)
                .expect("reports were received");
            assert!(
                fleet.reporting_nodes >= (nodes / 2).min(12),
                "{} reports at {at} of {nodes}",
                fleet.reporting_nodes
            );
            // Of seven reports, the faulty one counts at most three medians and is newer than the
            // others, which at most doubles the sum. Of many reports, its effect is negligible.
            let max_attempt_seconds = if nodes == 8 { 0.2 } else { 0.125 };
            assert!(
                (0.095..max_attempt_seconds).contains(&fleet.attempt_seconds),
                "{fleet:?} at {at} of {nodes}"
            );
        }
        // Once the other nodes are dead, their reports expire and the fleet's load is unknown.
        (1..nodes).for_each(|at| network.emulation.kill(at));
        network.run_for(Span::ms(4_000), |_| ());
        assert!(network
            .get(0)
            .is_some_and(|node| node.coordinator.fleet_load(node.now).is_none()));
    }
}
