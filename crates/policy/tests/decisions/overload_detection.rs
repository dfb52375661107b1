//! Overload at the caches, and conditions that only resemble it.
use expect_test::expect;
use quartzhub_policy::Outcome::Success;
use quartzhub_settings::Value;

use crate::common::{assert_trace, Node};

// Slow responses must not look like queueing to a node with two calls per second.
#[test]
fn slow_responses_at_a_node_with_few_calls_are_not_overload() {
    let mut node = Node::new(4, &[]);
    for call in 0..40 {
        node.call(call, 3, &format!("key-{call}"), true);
        node.advance(180.0);
        node.end_attempt(call, 0, Success, 180.0);
        node.advance(320.0);
    }
    let rejected = node.trace.0.matches("rate-limited").count();
    node.trace.0.clear();
    node.note(&format!("{rejected} of 40 client retries rate-limited"));
    node.call(100, 0, "key-a", false);
    node.advance(340.0);
    node.end_attempt(100, 0, Success, 340.0);
    let outlier_count = node.balancer.outlier_count(node.time());
    node.note(&format!(
        "one slow response makes {outlier_count} caches outliers"
    ));
    assert_trace(
        node,
        expect![[r#"
        20000 ms: 0 of 40 client retries rate-limited
          call 100 -> server 4 until 22000
          call 100 -> server 0 until 22000
          call 100 cancels attempt 1
        20340 ms: one slow response makes 0 caches outliers
    "#]],
    );
}

// Lost responses must not be mistaken for queueing at the caches until their calls time out.
#[test]
fn lost_responses_are_not_overload() {
    let mut node = Node::new(4, &[("caps.may_duplicate", Value::Flag(false))]);
    node.run_light_load(0);
    let mut rejected = 0;
    for call in 100..160 {
        let before = node.trace.0.len();
        node.call(call, 3, &format!("key-{call}"), true);
        rejected += node.trace.0[before..].matches("rate-limited").count();
        node.advance(40.0);
        if call % 5 != 0 {
            node.end_attempt(call, 0, Success, 40.0);
        }
    }
    node.trace.0.clear();
    node.note(&format!(
        "one response in five is lost: {rejected} of 60 client retries rate-limited"
    ));
    assert_trace(
        node,
        expect![[r#"
        3400 ms: one response in five is lost: 0 of 60 client retries rate-limited
    "#]],
    );
}

// If the baseline rose by a fraction with each response, a node with many responses would take the
// response times under overload for normal within seconds.
#[test]
fn overload_is_detected_at_a_node_with_many_responses() {
    let mut node = Node::new(2, &[]);
    node.run_light_load(0);
    node.note("for twenty seconds 300 calls arrive per second, and responses take 350 of the 400 ms of the SLO");
    let before = node.trace.0.len();
    let mut rejected = [0; 4];
    for step in 0..1000 {
        let trace_start = node.trace.0.len();
        (0..6).for_each(|i| node.call(1000 + step * 6 + i, 0, &format!("key-{step}-{i}"), false));
        rejected[step / 250] += node.trace.0[trace_start..].matches("rate-limited").count();
        node.advance(20.0);
        if step >= 17 {
            let sent = 1000 + (step - 17) * 6;
            (0..6).for_each(|i| {
                (0..3).for_each(|attempt| node.end_attempt(sent + i, attempt, Success, 350.0))
            });
        }
    }
    node.trace.0.truncate(before);
    node.note(&format!(
        "rate-limited in each five seconds: {rejected:?} of 1500"
    ));
    assert_trace(
        node,
        expect![[r#"
            1000 ms: for twenty seconds 300 calls arrive per second, and responses take 350 of the 400 ms of the SLO
            21000 ms: rate-limited in each five seconds: [775, 632, 618, 622] of 1500
        "#]],
    );
}

// Slow calls of one product, or a few overloaded caches, must not lead a node with few responses to
// shed another product's reads.
#[test]
fn slow_calls_shed_no_fast_ones_at_a_node_with_few_responses() {
    let objectives = [
        ("products.0.latency_slo", 300.0),
        ("products.3.latency_slo", 1500.0),
    ];
    let mut node = Node::new(
        5,
        &objectives.map(|(name, latency_objective)| (name, Value::Number(latency_objective))),
    );
    node.note("eight calls per second, alternately light with a response after 20 ms and heavy after 1020 ms");
    let (before, mut not_at_cache) = (node.trace.0.len(), 0);
    for call in 0..200 {
        let trace_start = node.trace.0.len();
        node.call(
            call,
            if call % 2 == 0 { 0 } else { 3 },
            &format!("key-{call}"),
            false,
        );
        let first = &node.trace.0[trace_start..];
        not_at_cache += usize::from(first.contains("rate-limited") || first.contains("server 0"));
        node.advance(20.0);
        match call % 2 {
            0 => node.end_attempt(call, 0, Success, 20.0),
            _ if call > 9 => {
                (0..3).for_each(|attempt| node.end_attempt(call - 8, attempt, Success, 1020.0))
            }
            _ => {}
        }
        node.advance(105.0);
    }
    node.trace.0.truncate(before);
    node.note(&format!("not sent to a cache: {not_at_cache} of 200"));
    assert_trace(
        node,
        expect![[r#"
            0 ms: eight calls per second, alternately light with a response after 20 ms and heavy after 1020 ms
            25000 ms: not sent to a cache: 1 of 200
        "#]],
    );
}
