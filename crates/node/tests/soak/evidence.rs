//! Data that distinguishes a node that was busy from one that was stopped, or that the system did
//! not run.
use super::common::*;

/// What the system and the node itself report about a round.
pub struct Evidence {
    /// The node's state, processor time in ticks and time waiting for a processor, shortly before
    /// the kill.
    pub node_process: String,
    /// Steal time of all processors during the round, in ticks: time that the host gave to other
    /// virtual machines.
    pub steal_ticks: u64,
    /// The node's log since it began to serve.
    pub node_log: String,
}

impl std::fmt::Display for Evidence {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Evidence {
            node_process,
            steal_ticks,
            node_log,
        } = self;
        write!(
            f,
            "the node: {node_process}; {steal_ticks} ticks of steal time; its log:\n{node_log}"
        )
    }
}

/// Returns the steal time of all processors since the system's start, in ticks, from `/proc/stat`.
pub fn steal_ticks() -> u64 {
    let statistics = std::fs::read_to_string("/proc/stat").unwrap_or_default();
    let all_processors = statistics.lines().next().unwrap_or_default();
    let steal = all_processors.split_whitespace().nth(8);
    steal.and_then(|ticks| ticks.parse().ok()).unwrap_or(0)
}

/// Describes a process by its state, its user and system ticks (`/proc/ID/stat`), and its time on
/// and waiting for a processor (`/proc/ID/schedstat`).
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

/// Returns the part of the node's log that has not been read yet.
pub fn remaining_log(node: &mut Node) -> String {
    let mut text = String::new();
    if let Some(log) = &mut node.log {
        let _ = log.read_to_string(&mut text);
    }
    text
}
