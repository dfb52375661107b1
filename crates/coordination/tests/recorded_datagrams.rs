//! Recorded datagrams of every kind, byte for byte. A fleet is updated node by node, so the
//! encoding must not change without a new protocol version.
use quartzhub_coordination::leases::LeaseKey;
use quartzhub_coordination::load_reports::LoadReport;
use quartzhub_coordination::wire::{decode_datagram, Entry, Head, Packet, VERSION};
use quartzhub_coordination::{CoordinationConfig, Coordinator};
use quartzhub_membership::NodeId;
use quartzhub_policy::Time;

const FLEET: u32 = 7;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[track_caller]
fn assert_recorded(wants_reports: bool, entries: &[Entry], expected: &str) {
    let head = Head {
        from: NodeId(300),
        wants_reports,
    };
    let mut packet = Packet::new(VERSION, FLEET, &head);
    for entry in entries {
        assert!(packet.add(entry));
    }
    let bytes = packet.finish();
    assert_eq!(hex(&bytes), expected);
    assert_eq!(decode_datagram(&bytes, FLEET), Ok((head, entries.to_vec())));
}

#[test]
fn heads_and_load_reports_are_encoded_as_recorded() {
    let report = Entry::LoadReport(LoadReport {
        node: NodeId(5),
        incarnation: 70_000,
        sequence: 129,
        age_ms: 1_500,
        in_flight_hundredths: 250,
        answers_hundredths: 100_000_000,
    });
    assert_recorded(false, &[], "0307000000ac020082205ecc");
    assert_recorded(true, &[], "0307000000ac0201141059bb");
    assert_recorded(
        true,
        &[report],
        "0307000000ac02010005f0a2048101dc0bfa0180c2d72fa1a38f90",
    );
    assert_recorded(
        true,
        &[report, report],
        "0307000000ac02010005f0a2048101dc0bfa0180c2d72f0005f0a2048101dc0bfa0180c2d72f80704a15",
    );
}

#[test]
fn lease_messages_are_encoded_as_recorded() {
    let lease = LeaseKey {
        owner: NodeId(1_000),
        round: 4_000_000_000,
    };
    assert_recorded(
        false,
        &[Entry::LeaseRequest(lease)],
        "0307000000ac020001e80780d0acf30e2fe2f9df",
    );
    assert_recorded(
        false,
        &[Entry::LeaseGrant(lease)],
        "0307000000ac020002e80780d0acf30ecce57651",
    );
    assert_recorded(
        false,
        &[Entry::LeaseRelease(lease)],
        "0307000000ac020003e80780d0acf30e52e5dc9d",
    );
}

#[test]
fn started_node_sends_the_recorded_datagrams() {
    let mut coordinator = Coordinator::new(NodeId(1), 3, FLEET, 7, CoordinationConfig::default());
    coordinator.start(Time(0));
    let mut out = Vec::new();
    coordinator.tick(Time(1_000_000), 1, &[NodeId(0), NodeId(2)], &mut out);
    let sent: Vec<String> = out
        .iter()
        .map(|datagram| format!("{} {}", datagram.to.0, hex(&datagram.bytes)))
        .collect();
    let expected = [
        "0 030700000001000101d7919edf04ad3b9062",
        "2 030700000001000101d7919edf04ad3b9062",
        "2 0307000000010100010101000000e9d3f845",
    ];
    assert_eq!(sent, expected);
}
