//! Output of the `members` command.
use serde_json::Value;

use crate::peers;

/// Prints a summary of a node's membership view, then one line per node and one per drain override.
pub(super) fn print(view: &Value) {
    println!("{}", peers::summary(view));
    for node in view["nodes"].as_array().into_iter().flatten() {
        println!("{}", node_line(node));
    }
    for drain_override in view["orders"].as_array().into_iter().flatten() {
        println!("{}", drain_override_line(drain_override));
    }
}

fn node_line(node: &Value) -> String {
    let id = node["node"].to_string();
    let address = node["addr"].as_str().unwrap_or("");
    let state = node["state"].as_str().unwrap_or("");
    let since = seconds_or_never(&node["since_ms"]);
    let incarnation = &node["number"];
    let last_heard = seconds_or_never(&node["heard_ms"]);
    let suspected_by = suspected_by(node);
    format!(
        "{id:>5}  {address:<22}{state:<9}for {since:<10} number {incarnation}, last heard {last_heard}{suspected_by}"
    )
}

fn suspected_by(node: &Value) -> String {
    let suspectors: Vec<_> = node["suspected_by"]
        .as_array()
        .into_iter()
        .flatten()
        .map(Value::to_string)
        .collect();
    if suspectors.is_empty() {
        return String::new();
    }
    format!(", suspected by {}", suspectors.join(" "))
}

fn drain_override_line(drain_override: &Value) -> String {
    let server = drain_override["server"].as_str().unwrap_or("");
    let seconds = drain_override["since_ms"].as_f64().unwrap_or(0.0) / 1000.0;
    let state = if drain_override["drain"] == true {
        "drained"
    } else {
        "restored"
    };
    format!(
        "{server}: {state} for {seconds:.1} s, version {} by node {}",
        drain_override["version"], drain_override["by"]
    )
}

fn seconds_or_never(ms: &Value) -> String {
    ms.as_f64()
        .map_or("never".to_owned(), |ms| format!("{:.1} s", ms / 1000.0))
}
