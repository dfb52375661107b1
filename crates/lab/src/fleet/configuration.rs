//! The configuration file of each node: the addresses and settings of the rig, with those of the
//! plan merged over them.
use super::addresses::AddressBlock;
use super::plan::Plan;

/// Returns the configuration of a node, in the form in which the platform provides it.
pub fn configuration(
    plan: &Plan,
    block: &AddressBlock,
    node: usize,
    endpoint_list: serde_json::Value,
) -> serde_json::Value {
    let nodes = plan.scenario.nodes;
    let peers: Vec<_> = (0..nodes)
        .map(|other| block.peer_as_seen_by(node, other).to_string())
        .collect();
    let mut settings = plan.scenario.settings_json(node);
    merge(&mut settings, &plan.settings);
    let mut config = serde_json::json!({
        "name": format!("node-{node}"), "listen": block.clients(node).to_string(), "ops": block.admin(node).to_string(),
        "discovery": block.discovery(node).to_string(), "seed": format!("{:x}", plan.scenario.seed ^ (node as u64) << 8),
        "limits": {"memory_mb": 64, "sockets": 1024}, "peer_listen": block.peer(node).to_string(), "peers": peers,
        "known": endpoint_list, "settings": settings,
    });
    merge(&mut config, &plan.config);
    config
}

/// Merges `overlay` into `base`: objects key by key; any other value replaces that of `base`.
fn merge(base: &mut serde_json::Value, overlay: &serde_json::Value) {
    match (base, overlay) {
        (serde_json::Value::Object(base), serde_json::Value::Object(overlay)) => {
            for (key, value) in overlay {
                merge(base.entry(key).or_insert(serde_json::Value::Null), value);
            }
        }
        (base, overlay) => *base = overlay.clone(),
    }
}
