//! Names in the membership view and texts of configuration errors, both of which operators rely on.
use std::net::SocketAddr;

use quartzhub_membership::{DisabledFeatures, ServerId};
use quartzhub_settings::Settings;

use super::config::PeerConfig;
use super::Peers;
use crate::clock::Clock;
use crate::limits::Limits;

fn local_address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Appends the paths of all keys; elements of a list get the path segment `[]`.
fn key_paths(value: &serde_json::Value, path: &str, paths: &mut Vec<String>) {
    match value {
        serde_json::Value::Object(object) => {
            for (key, value) in object {
                let path = format!("{path}/{key}");
                key_paths(value, &path, paths);
                paths.push(path);
            }
        }
        serde_json::Value::Array(list) => {
            for value in list {
                key_paths(value, &format!("{path}/[]"), paths);
            }
        }
        _ => {}
    }
}

#[tokio::test]
async fn membership_view_keeps_its_field_names() {
    let config = PeerConfig {
        listen: local_address(0),
        peers: vec![local_address(7946)],
        me: 0,
        fleet: "quartzhub".to_owned(),
        coordination: true,
        disabled: DisabledFeatures::default(),
    };
    let clock = Clock::start();
    let peers = Peers::open(config, 1, clock, &Limits::default())
        .await
        .expect("the socket is bound");
    peers
        .membership
        .borrow_mut()
        .set_drain_override(clock.now(), ServerId(1), true, &mut Vec::new())
        .expect("a fleet of one node accepts the override");
    let view = serde_json::to_value(peers.view(|_| None)).expect("JSON");
    let mut paths = Vec::new();
    key_paths(&view, "", &mut paths);
    paths.sort();
    let expected = [
        "/changes",
        "/configured",
        "/counts",
        "/counts/failed",
        "/counts/flood",
        "/counts/forged",
        "/counts/old",
        "/counts/probes",
        "/counts/received",
        "/counts/sent",
        "/counts/sent_bytes",
        "/counts/spoilt",
        "/counts/stalls",
        "/hears_nobody",
        "/ill",
        "/me",
        "/members",
        "/nodes",
        "/nodes/[]/addr",
        "/nodes/[]/heard_ms",
        "/nodes/[]/node",
        "/nodes/[]/number",
        "/nodes/[]/since_ms",
        "/nodes/[]/state",
        "/nodes/[]/suspected_by",
        "/number",
        "/orders",
        "/orders/[]/by",
        "/orders/[]/drain",
        "/orders/[]/server",
        "/orders/[]/since_ms",
        "/orders/[]/version",
        "/shared",
        "/shared/counts",
        "/shared/counts/flood",
        "/shared/counts/forged",
        "/shared/counts/received",
        "/shared/counts/sent",
        "/shared/counts/sent_bytes",
        "/shared/counts/spoilt",
        "/shared/part",
        "/shared/takes_ms",
        "/shared/words",
        "/strangers",
    ];
    assert_eq!(paths, expected);
    assert_eq!(view["nodes"][0]["state"], "alive");
    assert_eq!(view["orders"][0]["server"], "#0000000000000001");
}

fn configuration_error(
    listen: Option<SocketAddr>,
    peers: serde_json::Value,
    me: i64,
    disabled: &[&str],
) -> String {
    let settings = serde_json::json!({ "Me": me, "Caps": { "Peers": true } });
    let settings = Settings::from_document(&settings);
    let disabled: Vec<String> = disabled.iter().map(|name| name.to_string()).collect();
    let mut ignored_errors = Vec::new();
    PeerConfig::checked(
        true,
        listen,
        &peers,
        None,
        &disabled,
        &settings,
        &mut ignored_errors,
    )
    .expect_err("the configuration is invalid")
    .to_string()
}

#[test]
fn configuration_error_names_the_key_and_the_problem() {
    let listen = Some(local_address(7946));
    let two = serde_json::json!(["127.0.0.1:7946", "127.0.0.1:7947"]);
    assert_eq!(
        configuration_error(None, two.clone(), 0, &[]),
        "peer_listen: an address to receive datagrams at is needed for membership"
    );
    assert_eq!(
        configuration_error(listen, serde_json::json!([]), 0, &[]),
        "peers: a list of 1 to 8192 addresses, one for each node, is needed for membership"
    );
    assert_eq!(
        configuration_error(
            listen,
            serde_json::json!(["127.0.0.1:7946", "there"]),
            0,
            &[]
        ),
        "peers[1]: \"there\" is not an address such as 127.0.0.1:7946"
    );
    assert_eq!(
        configuration_error(listen, two.clone(), 2, &[]),
        "settings.Me: the index of this node in peers is needed for membership"
    );
    assert_eq!(
        configuration_error(
            listen,
            serde_json::json!(["127.0.0.1:7946", "127.0.0.1:7946"]),
            0,
            &[]
        ),
        "peers: more than one node has the same address"
    );
    assert_eq!(
        configuration_error(listen, two, 0, &["versions", "luck"]),
        "membership_without[1]: \"luck\" is not one of helpers, refutation, own_health, vouching, observers, versions"
    );
}
