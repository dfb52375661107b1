//! Several processes of the program, with faults between them; and programs that break a rule, to show that it is seen.
//! Expectations are on events and counts and on generous bounds, never on a sharp time.
mod common;

use common::{assert_holds, lab, plan, programs};
use quartzhub_lab::fleet::event_log::Event;
use quartzhub_lab::fleet::{play, Outcome, Plan, Programs};
use quartzhub_lab::rules::Rule;

/// A program that breaks a rule, in the node's place.
fn faulty(misbehavior: &str) -> Programs {
    Programs {
        node: lab(),
        args: vec!["faulty-node".into(), misbehavior.into()],
        lab: lab(),
    }
}

fn has_event(outcome: &Outcome, is_wanted: impl Fn(&Event) -> bool) -> bool {
    outcome.events.iter().any(is_wanted)
}

#[test]
fn one_node_of_three_is_killed_and_comes_back() {
    let outcome = assert_holds(&plan("kill.toml"));
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
fn paused_nodes_rejoin_and_have_removed_nobody() {
    assert_holds(&plan("members-pause.toml"));
}

#[test]
fn with_a_fifth_of_datagrams_lost_exactly_the_two_killed_nodes_are_removed() {
    assert_holds(&plan("members-loss.toml"));
}

#[test]
fn a_drain_override_reaches_every_node_and_no_older_version_undoes_it() {
    let outcome = assert_holds(&plan("members-order.toml"));
    let last = |cache: usize| outcome.last_attempts[cache];
    // Drained at 7 s for good; drained from 5 to 13 s; never.
    assert!(
        last(4) < 10.0,
        "cache-4 was sent an attempt at {:.1} s",
        last(4)
    );
    assert!(
        last(2) > 16.0 && last(0) > 16.0,
        "no attempt since {:.1} and {:.1} s",
        last(2),
        last(0)
    );
    assert_eq!(drained_again(&outcome), 0);
}

/// Whether a node has removed this one, which it suspected.
fn has_removal(outcome: &Outcome, node: &str) -> bool {
    let removal = format!("membership: node {node} was suspect, is gone");
    has_event(outcome, |event| event.message.starts_with(&removal))
}

/// How often a node took the first cache for drained once more, a second after all had heard that it is not.
fn drained_again(outcome: &Outcome) -> usize {
    let again = |event: &&Event| {
        event.at_ms > 14_000.0 && event.message.contains("servers drained by operators: 2")
    };
    outcome.events.iter().filter(again).count()
}

#[test]
fn one_sided_partitions_remove_no_node_that_is_heard() {
    let outcome = assert_holds(&plan("members-one-sided.toml"));
    let removed = |node: &str| has_removal(&outcome, node);
    // Node 1 and 2 are reached round the cut; node 4 hears nobody, but is heard; node 7 is heard by nobody.
    assert!(!removed("1") && !removed("2") && !removed("4") && removed("7"));
    let alone = |node: &str| {
        has_event(&outcome, |event| {
            event.source == node && event.message.contains("nobody answers")
        })
    };
    assert!(
        alone("node-4") && alone("node-7") && !alone("node-1"),
        "the two that are cut off know it, and they alone"
    );
}

#[test]
fn a_third_of_the_fleet_that_is_not_heard_removes_no_other_node() {
    let outcome = assert_holds(&plan("members-third.toml"));
    let third = ["node-0", "node-1", "node-2", "node-3"];
    let by_third = outcome.events.iter().filter(|event| {
        third.contains(&event.source.as_str()) && event.message.contains("is gone")
    });
    assert_eq!(by_third.count(), 0);
}

#[test]
fn membership_views_agree_again_after_a_partition_of_a_minute() {
    assert_holds(&plan("members-partition.toml"));
}

#[test]
fn a_new_incarnation_supersedes_the_former_whose_datagrams_are_replayed() {
    assert_holds(&plan("members-lives.toml"));
}

#[test]
fn a_rolling_restart_under_load_removes_no_node_and_loses_no_call() {
    let outcome = assert_holds(&plan("members-roll.toml"));
    assert!(
        !has_event(&outcome, |event| event.message.contains("is gone")),
        "a planned end is no failure"
    );
}

#[test]
fn many_nodes_join_at_once_and_others_leave() {
    assert_holds(&plan("members-join.toml"));
}

#[test]
fn a_flood_of_malformed_datagrams_harms_neither_membership_nor_service() {
    assert_holds(&plan("members-flood.toml"));
}

/// A short plan in which every misbehavior has its occasion: a drain, cold caches, writes that run at most once.
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

/// A way to break a rule on purpose.
struct Misbehavior {
    name: &'static str,
    rule: Rule,
    /// A part of the violation's text.
    violation: &'static str,
}

const MISBEHAVIORS: [Misbehavior; 8] = [
    Misbehavior {
        name: "answers-twice",
        rule: Rule::OneAnswer,
        violation: "a second final answer",
    },
    Misbehavior {
        name: "never-answers",
        rule: Rule::OneAnswer,
        violation: "no final answer",
    },
    Misbehavior {
        name: "closes",
        rule: Rule::OneAnswer,
        violation: "ended with no answer",
    },
    Misbehavior {
        name: "sends-after-answer",
        rule: Rule::OneAnswer,
        violation: "an attempt was sent for an API call that has its answer",
    },
    Misbehavior {
        name: "writes-twice",
        rule: Rule::NoEffectTwice,
        violation: "begun twice",
    },
    Misbehavior {
        name: "goes-on-to-drained",
        rule: Rule::Drains,
        violation: "known to drain",
    },
    Misbehavior {
        name: "floods-cold",
        rule: Rule::ColdServers,
        violation: "pushed over while cold",
    },
    Misbehavior {
        name: "ends-by-itself",
        rule: Rule::Platform,
        violation: "exited by itself",
    },
];

#[test]
fn each_rule_is_seen_to_be_broken_by_a_program_that_breaks_it() {
    let plan = Plan::parse(MISBEHAVIOR_PLAN).expect("a plan");
    // Side by side: each waits for its clients most of the time.
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let runs: Vec<_> = MISBEHAVIORS
            .iter()
            .map(|misbehavior| {
                let plan = &plan;
                scope.spawn(move || play(plan, &faulty(misbehavior.name), None))
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
            violation,
        } = misbehavior;
        let seen = outcome
            .broken
            .iter()
            .find(|broken| broken.rule == *rule && broken.what.contains(violation));
        assert!(seen.is_some(), "{name}: {:?}", outcome.failures());
        let seen = seen
            .map(|seen| seen.history.contains("Taken"))
            .unwrap_or_default();
        assert!(
            seen || matches!(rule, Rule::Platform | Rule::ColdServers),
            "{name}: no history"
        );
    }
}

/// The same plan with a part of the detector left out at every node; what is then not as it must be.
fn without(name: &str, part: &str) -> Outcome {
    let mut plan = plan(name);
    plan.config["membership_without"] = serde_json::json!([part]);
    play(&plan, &programs(), None).expect("played")
}

#[test]
fn without_versions_a_replayed_drain_override_drains_once_more() {
    let outcome = without("members-order.toml", "versions");
    assert!(
        drained_again(&outcome) > 0,
        "broken on purpose, and not seen"
    );
}

#[test]
fn without_refutation_paused_nodes_do_not_rejoin() {
    let failures = without("members-pause.toml", "refutation").failures();
    assert!(!failures.is_empty(), "broken on purpose, and not seen");
}

#[test]
fn without_vouching_a_node_that_is_heard_is_removed() {
    let outcome = without("members-one-sided.toml", "vouching");
    assert!(has_removal(&outcome, "4"), "broken, and not seen");
}
