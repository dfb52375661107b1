//! What tells a node that was busy from one that was not run, and from one that stood still.
use super::common::*;

/// What the system and the node itself say of a round.
pub struct Evidence {
    /// The node's state, processor time in ticks and waits for a processor, shortly before the
    /// kill.
    pub node_process: String,
    /// Of all processors in the round, ticks that went to other machines of the host.
    pub stolen_ticks: u64,
    /// What the node logged since it serves.
    pub node_log: String,
}

impl std::fmt::Display for Evidence {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Evidence {
            node_process,
            stolen_ticks,
            node_log,
        } = self;
        write!(
            f,
            "the node: {node_process}; {stolen_ticks} ticks stolen; its log:\n{node_log}"
        )
    }
}

/// Ticks that went to other machines of the host since the start.
pub fn stolen_ticks() -> u64 {
    let statistics = std::fs::read_to_string("/proc/stat").unwrap_or_default();
    let all_processors = statistics.lines().next().unwrap_or_default();
    let stolen = all_processors.split_whitespace().nth(8);
    stolen.and_then(|ticks| ticks.parse().ok()).unwrap_or(0)
}

/// A process's state, its ticks as user and in the system, and its time on and waiting for a
/// processor.
pub fn describe_process(id: u32) -> String {
    let read =
        |file: &str| std::fs::read_to_string(format!("/proc/{id}/{file}")).unwrap_or_default();
    let status = read("stat");
    let fields: Vec<_> = status.split_whitespace().collect();
    let field = |index: usize| fields.get(index).copied().unwrap_or("none");
    format!(
        "state {}, user {}, system {}, schedstat {}",
        field(2),
        field(13),
        field(14),
        read("schedstat").trim()
    )
}

/// What the node has logged and nobody has read.
pub fn remaining_log(node: &mut Node) -> String {
    let mut text = String::new();
    if let Some(log) = &mut node.log {
        let _ = log.read_to_string(&mut text);
    }
    text
}
