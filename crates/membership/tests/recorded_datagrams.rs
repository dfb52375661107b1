//! Recorded datagrams of every kind, byte for byte. A fleet is updated node by node, so the
//! encoding must not change without a new protocol version.
use quartzhub_membership::wire::{
    decode_datagram, fleet_hash, Entry, Head, MessageKind, Packet, VERSION,
};
use quartzhub_membership::{DrainOverride, Membership, MembershipConfig, NodeId, ServerId};
use quartzhub_policy::Time;

const FLEET: &str = "emulated";

fn head(kind: MessageKind) -> Head {
    Head {
        kind,
        from: NodeId(300),
        incarnation: 70_000,
        sequence: 129,
        probe: 128,
        target: NodeId(5),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn datagram(head: &Head, entries: &[Entry]) -> Vec<u8> {
    let mut packet = Packet::new(VERSION, fleet_hash(FLEET), head);
    for entry in entries {
        assert!(packet.add(entry));
    }
    packet.finish()
}

#[track_caller]
fn assert_recorded(head: Head, entries: &[Entry], expected: &str) {
    let bytes = datagram(&head, entries);
    assert_eq!(hex(&bytes), expected);
    assert_eq!(
        decode_datagram(&bytes, fleet_hash(FLEET)),
        Ok((head, entries.to_vec()))
    );
}

#[test]
fn each_message_kind_is_encoded_as_recorded() {
    assert_recorded(
        head(MessageKind::Ping { hello: false }),
        &[],
        "02e43052920000ac02f0a204810180010522a38f47",
    );
    assert_recorded(
        head(MessageKind::Ping { hello: true }),
        &[],
        "02e43052920001ac02f0a2048101800105e27c0186",
    );
    assert_recorded(
        head(MessageKind::PingReq),
        &[],
        "02e430529201ac02f0a20481018001050bcd96fb",
    );
    assert_recorded(
        head(MessageKind::Ack),
        &[],
        "02e430529202ac02f0a20481018001050aab7462",
    );
    assert_recorded(
        head(MessageKind::Nack),
        &[],
        "02e430529203ac02f0a2048101800105ca74faa3",
    );
}

#[test]
fn each_entry_kind_is_encoded_as_recorded() {
    let node = NodeId(2);
    let by = NodeId(1_000);
    let incarnation = 1 << 20;
    let ping = head(MessageKind::Ping { hello: false });
    assert_recorded(
        ping,
        &[Entry::Alive { node, incarnation }],
        "02e43052920000ac02f0a204810180010500028080403db2cf71",
    );
    let suspect = Entry::Suspect {
        node,
        incarnation,
        by,
    };
    assert_recorded(
        ping,
        &[suspect],
        "02e43052920000ac02f0a20481018001050102808040e807dd1eeaa0",
    );
    let heard = Entry::Heard {
        node,
        incarnation,
        by,
    };
    assert_recorded(
        ping,
        &[heard],
        "02e43052920000ac02f0a20481018001050202808040e80740040291",
    );
    assert_recorded(
        ping,
        &[Entry::Dead { node, incarnation }],
        "02e43052920000ac02f0a20481018001050302808040edc86f36",
    );
    assert_recorded(
        ping,
        &[Entry::Left { node, incarnation }],
        "02e43052920000ac02f0a20481018001050402808040fd144f84",
    );
    let drain = DrainOverride {
        server: ServerId(0xfeed_beef_cafe_0001),
        version: 3,
        drain: true,
        by,
    };
    assert_recorded(
        ping,
        &[Entry::DrainOverride(drain)],
        "02e43052920000ac02f0a2048101800105058180f8d7fcddeff6fe010301e8079eea5954",
    );
    assert_recorded(
        ping,
        &[suspect, Entry::DrainOverride(drain), heard],
        "02e43052920000ac02f0a20481018001050102808040e807058180f8d7fcddeff6fe010301e8070202808040e8079367ab9b",
    );
}

#[test]
fn server_id_is_the_recorded_hash() {
    assert_eq!(
        hex(&ServerId::from_endpoint_id("10.0.0.1:9001").0.to_le_bytes()),
        "5613c33f8ffed510"
    );
}

/// Two nodes discover each other, one issues a drain override, and the other leaves.
#[test]
fn two_nodes_send_the_recorded_datagrams() {
    let mut issuer = Membership::new(
        NodeId(0),
        3,
        fleet_hash(FLEET),
        7,
        MembershipConfig::default(),
    );
    let mut leaver = Membership::new(
        NodeId(1),
        3,
        fleet_hash(FLEET),
        8,
        MembershipConfig::default(),
    );
    issuer.start(Time(0));
    leaver.start(Time(0));
    let mut sent = Vec::new();
    let mut now = Time(0);
    for step in 0..60 {
        now = issuer.next_tick_at().min(leaver.next_tick_at()).max(now);
        let mut from_issuer = Vec::new();
        let mut from_leaver = Vec::new();
        issuer.tick(now, &mut from_issuer);
        leaver.tick(now, &mut from_leaver);
        if step == 50 {
            issuer
                .set_drain_override(now, ServerId(5), true, &mut from_issuer)
                .expect("the join rounds are over");
        }
        if step == 59 {
            leaver.leave(now, &mut from_leaver);
        }
        for datagram in &from_issuer {
            leaver.receive(now, NodeId(0), &datagram.bytes, &mut from_leaver);
        }
        for datagram in &from_leaver {
            let mut responses = Vec::new();
            issuer.receive(now, NodeId(1), &datagram.bytes, &mut responses);
            sent.extend(responses);
        }
        sent.extend(from_issuer);
        sent.extend(from_leaver);
    }
    let all: String = sent.iter().map(|datagram| hex(&datagram.bytes)).collect();
    assert_eq!(sent.len(), 332);
    // `fleet_hash` returns the CRC32 of any text.
    let checksum_of_all = fleet_hash(&all);
    assert_eq!(format!("{checksum_of_all:08x}"), "edc92654");
    let last = sent.last().map(|datagram| hex(&datagram.bytes));
    assert_eq!(
        last.as_deref(),
        Some("02e430529200000101a601a6010004010104010105050101000401010000013713c479")
    );
}
