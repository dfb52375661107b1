//! A fleet in which some nodes run a version without load reports and leases.
use quartzhub_coordination::{wire, CoordinationConfig, Coordinator};
use quartzhub_membership::NodeId;
use quartzhub_policy::{NodeLoad, Time};

#[test]
fn datagrams_between_versions_are_dropped_as_malformed() {
    let mut sent = Vec::new();
    let mut responses = Vec::new();
    let mut coordinator = Coordinator::new(NodeId(1), 3, 7, 1, CoordinationConfig::default());
    coordinator.start(Time(0));
    coordinator.set_own_load(NodeLoad {
        mean_in_flight: 1.0,
        responses_per_second: 1.0,
    });
    coordinator.tick(Time(1_000_000), 1, &[NodeId(0)], &mut sent);
    let mut membership = quartzhub_membership::Membership::new(
        NodeId(0),
        3,
        7,
        1,
        quartzhub_membership::MembershipConfig::default(),
    );
    membership.start(Time(0));
    for datagram in &sent {
        assert!(wire::is_coordination_datagram(&datagram.bytes));
        membership.receive(Time(0), NodeId(1), &datagram.bytes, &mut responses);
    }
    assert_eq!(
        (
            membership.counters().traffic.malformed,
            membership.counters().traffic.received,
            responses.len()
        ),
        (sent.len() as u64, 0, 0)
    );
    membership.tick(Time(1_000_000), &mut responses);
    for datagram in &responses {
        assert!(!wire::is_coordination_datagram(&datagram.bytes));
        coordinator.receive(Time(0), NodeId(0), &datagram.bytes, &mut Vec::new());
    }
    assert_eq!(
        (
            coordinator.traffic().malformed,
            coordinator.traffic().received
        ),
        (responses.len() as u64, 0)
    );
}
