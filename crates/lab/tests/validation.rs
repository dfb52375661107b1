//! Validates the emulator: every API call ends, runs are repeatable, routers that break a rule on
//! purpose are detected, and results agree with the real node's.
use quartzhub_lab::emulator::Emulator;
use quartzhub_lab::routers::{Baseline, FaultyRouter, Misbehavior, Random};
use quartzhub_lab::rules::Rule;
use quartzhub_lab::scenario::Scenario;
use quartzhub_lab::{run, Report};
use quartzhub_policy::ServerIndex;

/// Returns a scenario with many faults.
fn scenario_with_faults(policy: &str, seed: u64) -> Scenario {
    let text = r#"
        seconds = 30.0
        settle = 5.0
        [[fault]]
        kind = "crash"
        at = 6.0
        for = 5.0
        share = 0.2
        [[fault]]
        kind = "hang"
        at = 12.0
        for = 4.0
        share = 0.2
        [[fault]]
        kind = "drain"
        at = 14.0
        for = 4.0
        share = 0.1
        [[fault]]
        kind = "node_roll"
        at = 18.0
        for = 6.0
        [[fault]]
        kind = "origin_slow"
        at = 20.0
        for = 4.0
        factor = 3.0
    "#;
    Scenario {
        seed,
        policy: policy.into(),
        ..Scenario::parse(text).expect("the scenario is valid")
    }
}

/// Asserts that every API call that was started has ended, and is counted once.
fn assert_all_calls_ended(report: &Report) {
    assert_eq!(
        report.started,
        report.ended + report.open,
        "API calls are lost or counted twice"
    );
    assert_eq!(report.open, 0, "API calls have not ended");
    let by_window: u64 = report.windows.iter().map(|counts| counts.ended()).sum();
    assert_eq!(by_window, report.ended);
}

#[test]
fn calls_end_once_and_equal_seeds_give_equal_traces() {
    for policy in ["dema", "two_choices", "bounded_hash"] {
        let (first_run, second_run) = (
            run(&scenario_with_faults(policy, 3)).expect("the run succeeds"),
            run(&scenario_with_faults(policy, 3)).expect("the run succeeds"),
        );
        assert_all_calls_ended(&first_run);
        assert_eq!(
            (first_run.trace, first_run.started),
            (second_run.trace, second_run.started),
            "{policy}"
        );
        assert_ne!(
            first_run.trace,
            run(&scenario_with_faults(policy, 4))
                .expect("the run succeeds")
                .trace
        );
    }
}

#[test]
fn policy_keeps_the_rules_under_many_faults() {
    for seed in 1..=3 {
        let report = run(&scenario_with_faults("dema", seed)).expect("the run succeeds");
        let first = report.violations.first().map(|violation| {
            format!(
                "{:?} at {:.0} ms: {} {}",
                violation.rule,
                violation.at.ms(),
                violation.description,
                violation.history
            )
        });
        assert_eq!(first, None, "{} violations", report.violation_count);
    }
}

#[test]
fn each_broken_rule_is_detected() {
    let violations = |misbehavior: Misbehavior| {
        let mut scenario = scenario_with_faults("dema", 5);
        scenario.clients.client_timeout_factor = [1.0, 1.0];
        scenario.caches.cold_speed_ratio = 0.1;
        scenario.caches.miss_work_ratio = 1.0;
        scenario.products[0].effect = quartzhub_lab::scenario::Effect::AtMostOnce;
        let config = |node| scenario.policy_config(node);
        let origin = ServerIndex(scenario.caches.count);
        let make_router = |node, seed| {
            let faulty = FaultyRouter::new(Baseline::new(Random, &config(node), seed), misbehavior);
            if misbehavior == Misbehavior::RepeatsExecutedAttempts {
                faulty.with_repeat_server(origin)
            } else {
                faulty
            }
        };
        let report = Emulator::new(&scenario, make_router).run();
        let rules: Vec<Rule> = report
            .violations
            .iter()
            .map(|violation| violation.rule)
            .collect();
        let history = report
            .violations
            .first()
            .map(|violation| violation.history.clone())
            .unwrap_or_default();
        (rules, history)
    };
    for (misbehavior, rule) in [
        (Misbehavior::RespondsTwice, Rule::OneAnswer),
        (Misbehavior::NeverResponds, Rule::OneAnswer),
        (Misbehavior::RepeatsExecutedAttempts, Rule::NoEffectTwice),
        (Misbehavior::SendsToDrainingCache, Rule::Drains),
        (Misbehavior::OverloadsColdCache, Rule::ColdServers),
    ] {
        let (rules, history) = violations(misbehavior);
        assert!(rules.contains(&rule), "{misbehavior:?}: {rules:?}");
        assert!(
            rule == Rule::ColdServers || history.contains("Taken"),
            "{misbehavior:?}: {history}"
        );
    }
}

#[test]
fn emulator_and_real_node_agree_without_faults() {
    let text = r#"
        nodes = 1
        seconds = 6.0
        settle = 2.0
        [clients]
        retries = 0
        patience = [1.0, 1.0]
        [network]
        delay_ms = 0.05
        jitter_ms = 0.02
        [traffic]
        rate = 150.0
        [keys]
        count = 500
        [caches]
        count = 4
        memory = 200
        filled = false
        # Long timeouts, so that load on the machine from other tests does not affect the comparison.
        [[product]]
        name = "view"
        share = 0.95
        slo_ms = 1000.0
        timeout_ms = 4000.0
        work_ms = 12.0
        [[product]]
        name = "book"
        share = 0.05
        effect = "at_most_once"
        write = true
        slo_ms = 1000.0
        timeout_ms = 4000.0
        work_ms = 12.0
    "#;
    let comparison =
        quartzhub_lab::load::compare(&Scenario::parse(text).expect("the scenario is valid"))
            .expect("both runs succeed");
    assert_all_calls_ended(&comparison.emulated);
    let (emulated, real) = (
        comparison.emulated.all.service(),
        comparison.real.all.service(),
    );
    // A loose bound, as only the real node is subject to delays of the machine that runs the test.
    assert!(
        (emulated - real).abs() < 0.1,
        "service: emulated {emulated:.3}, real {real:.3}"
    );
    let (emulated, real) = (comparison.emulated.hit_ratio(), comparison.real_hit_ratio);
    assert!(
        (emulated - real).abs() < 0.1,
        "hit ratio: emulated {emulated:.3}, real {real:.3}"
    );
    assert!(
        comparison.real.all.total > 400,
        "{}",
        quartzhub_lab::load::summary_line(&comparison.real)
    );
}
