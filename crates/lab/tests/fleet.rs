//! Tests of several node processes under faults, and of the detection of faulty nodes by the rig.
//! Assertions are on events, counts and generous bounds, never on exact times.
mod common;

use common::{assert_holds, example_plan, lab_program, programs};
use quartzhub_lab::fleet::event_log::Event;
use quartzhub_lab::fleet::{play, Outcome, Plan, Programs};
use quartzhub_lab::rules::Rule;

/// Returns programs with a faulty node, which breaks a rule, in place of the node.
fn faulty_programs(misbehavior: &str) -> Programs {
    Programs {
        node: lab_program(),
        args: vec!["faulty-node".into(), misbehavior.into()],
        lab: lab_program(),
    }
}

fn has_event(outcome: &Outcome, is_wanted: impl Fn(&Event) -> bool) -> bool {
    outcome.events.iter().any(is_wanted)
}

#[test]
fn killed_node_of_three_serves_again_after_restart() {
    let outcome = assert_holds(&example_plan("kill.toml"));
    let count = |text: &str| {
        outcome
            .events
            .iter()
            .filter(|event| event.source == "node-1" && event.message.contains(text))
            .count()
    };
    assert_eq!((count("serves on"), count("SIGKILL")), (2, 1));
}

#[test]
fn paused_nodes_rejoin_and_remove_no_node() {
    assert_holds(&example_plan("members-pause.toml"));
}

#[test]
fn only_killed_nodes_are_removed_at_20_percent_datagram_loss() {
    assert_holds(&example_plan("members-loss.toml"));
}

#[test]
fn drain_override_reaches_all_nodes_and_survives_replay() {
    let outcome = assert_holds(&example_plan("members-order.toml"));
    let last = |cache: usize| outcome.last_attempts[cache];
    // cache-4 is drained from 7 s to the end, cache-2 from 5 to 13 s, and cache-0 never.
    assert!(
        last(4) < 10.0,
        "cache-4 was sent an attempt at {:.1} s",
        last(4)
    );
    assert!(
        last(2) > 16.0 && last(0) > 16.0,
        "the last attempts to cache-2 and cache-0 were at {:.1} and {:.1} s",
        last(2),
        last(0)
    );
    assert_eq!(drained_again_count(&outcome), 0);
}

/// Whether any node has removed this node after suspecting it.
fn has_removal(outcome: &Outcome, node: &str) -> bool {
    let removal = format!("membership: node {node} was suspect, is gone");
    has_event(outcome, |event| event.message.starts_with(&removal))
}

/// Counts how often a node again took cache-2 as drained, later than 1 s after its drain override
/// was cleared at all nodes.
fn drained_again_count(outcome: &Outcome) -> usize {
    let drained_again = |event: &&Event| {
        event.at_ms > 14_000.0 && event.message.contains("servers drained by operators: 2")
    };
    outcome.events.iter().filter(drained_again).count()
}

#[test]
fn one_way_partition_removes_only_the_silenced_node() {
    let outcome = assert_holds(&example_plan("members-one-sided.toml"));
    let removed = |node: &str| has_removal(&outcome, node);
    // Nodes 1 and 2 reach each other through other nodes. Node 4 receives nothing, but the others
    // receive its datagrams. Nobody receives the datagrams of node 7.
    assert!(!removed("1") && !removed("2") && !removed("4") && removed("7"));
    let detects_isolation = |node: &str| {
        has_event(&outcome, |event| {
            event.source == node && event.message.contains("no other node responds")
        })
    };
    assert!(
        detects_isolation("node-4") && detects_isolation("node-7") && !detects_isolation("node-1"),
        "nodes 4 and 7 must detect their isolation, and node 1 must detect none"
    );
}

#[test]
fn nodes_with_outbound_partition_remove_no_other_node() {
    let outcome = assert_holds(&example_plan("members-third.toml"));
    let third = ["node-0", "node-1", "node-2", "node-3"];
    let by_third = outcome.events.iter().filter(|event| {
        third.contains(&event.source.as_str()) && event.message.contains("is gone")
    });
    assert_eq!(by_third.count(), 0);
}

#[test]
fn membership_views_agree_again_after_one_minute_partition() {
    assert_holds(&example_plan("members-partition.toml"));
}

#[test]
fn new_incarnation_supersedes_replayed_previous_one() {
    assert_holds(&example_plan("members-lives.toml"));
}

#[test]
fn rolling_restart_under_load_removes_no_node_and_loses_no_call() {
    let outcome = assert_holds(&example_plan("members-roll.toml"));
    assert!(
        !has_event(&outcome, |event| event.message.contains("is gone")),
        "a node was removed because of a graceful shutdown"
    );
}

#[test]
fn membership_follows_simultaneous_joins_and_shutdowns() {
    assert_holds(&example_plan("members-join.toml"));
}

#[test]
fn datagram_flood_harms_neither_membership_nor_service() {
    assert_holds(&example_plan("members-flood.toml"));
}

/// A short plan with the conditions that the misbehaviors need: a drain, cold caches, and writes
/// that may run at most once.
const MISBEHAVIOR_PLAN: &str = r#"
[scenario]
nodes = 2
seconds = 12.0
settle = 0.5
[scenario.traffic]
rate = 60.0
[scenario.keys]
count = 50
[scenario.caches]
count = 3
filled = false
cold = 0.1
miss_part = 1.0
[scenario.clients]
retries = 0
patience = [1.0, 1.0]
[scenario.network]
list_late_ms = [10.0, 50.0]
[[scenario.product]]
name = "view"
share = 0.7
slo_ms = 1000.0
timeout_ms = 1500.0
work_ms = 2.0
[[scenario.product]]
name = "book"
share = 0.3
effect = "at_most_once"
write = true
slo_ms = 1000.0
timeout_ms = 1500.0
work_ms = 2.0
[[scenario.fault]]
kind = "drain"
at = 1.0
for = 7.0
share = 0.3
[[scenario.fault]]
kind = "cold_restart"
at = 8.5
"#;

/// A misbehavior of the faulty node, and the violation that the rig must report for it.
struct Misbehavior {
    name: &'static str,
    rule: Rule,
    /// Part of the text of the violation.
    violation_text: &'static str,
}

const MISBEHAVIORS: [Misbehavior; 8] = [
    Misbehavior {
        name: "answers-twice",
        rule: Rule::OneAnswer,
        violation_text: "a second final answer",
    },
    Misbehavior {
        name: "never-answers",
        rule: Rule::OneAnswer,
        violation_text: "no final answer",
    },
    Misbehavior {
        name: "closes",
        rule: Rule::OneAnswer,
        violation_text: "ended with no answer",
    },
    Misbehavior {
        name: "sends-after-answer",
        rule: Rule::OneAnswer,
        violation_text: "an attempt was sent for an API call that has its answer",
    },
    Misbehavior {
        name: "writes-twice",
        rule: Rule::NoEffectTwice,
        violation_text: "begun twice",
    },
    Misbehavior {
        name: "goes-on-to-drained",
        rule: Rule::Drains,
        violation_text: "known to drain",
    },
    Misbehavior {
        name: "floods-cold",
        rule: Rule::ColdServers,
        violation_text: "pushed over while cold",
    },
    Misbehavior {
        name: "ends-by-itself",
        rule: Rule::Platform,
        violation_text: "exited by itself",
    },
];

#[test]
fn each_misbehavior_is_detected_as_violation_of_its_rule() {
    let plan = Plan::parse(MISBEHAVIOR_PLAN).expect("a plan");
    // The runs are concurrent, because each is idle most of the time.
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let runs: Vec<_> = MISBEHAVIORS
            .iter()
            .map(|misbehavior| {
                let plan = &plan;
                scope.spawn(move || play(plan, &faulty_programs(misbehavior.name), None))
            })
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("no panic").expect("played"))
            .collect()
    });
    for (misbehavior, outcome) in MISBEHAVIORS.iter().zip(outcomes) {
        let Misbehavior {
            name,
            rule,
            violation_text,
        } = misbehavior;
        let detected = outcome
            .violations
            .iter()
            .find(|kept| kept.rule == *rule && kept.description.contains(violation_text));
        assert!(detected.is_some(), "{name}: {:?}", outcome.failures());
        let has_history = detected
            .map(|violation| violation.history.contains("Taken"))
            .unwrap_or_default();
        assert!(
            has_history || matches!(rule, Rule::Platform | Rule::ColdServers),
            "{name}: no history"
        );
    }
}

/// Plays an example plan with one part of the failure detector disabled at every node.
fn play_without(name: &str, part: &str) -> Outcome {
    let mut plan = example_plan(name);
    plan.config["membership_without"] = serde_json::json!([part]);
    play(&plan, &programs(), None).expect("played")
}

#[test]
fn replayed_drain_override_drains_again_without_versions() {
    let outcome = play_without("members-order.toml", "versions");
    assert!(
        drained_again_count(&outcome) > 0,
        "no cache was drained again without versions"
    );
}

#[test]
fn paused_nodes_do_not_rejoin_without_refutation() {
    let failures = play_without("members-pause.toml", "refutation").failures();
    assert!(!failures.is_empty(), "no expectation was missed");
}

#[test]
fn node_with_inbound_partition_is_removed_without_vouching() {
    let outcome = play_without("members-one-sided.toml", "vouching");
    assert!(has_removal(&outcome, "4"), "node 4 was not removed");
}
