//! Overload at the caches: which calls are shed, and which are sent to the origin instead.
use expect_test::expect;
use quartzhub_policy::Outcome::{Overloaded, Success};
use quartzhub_settings::Value;

use crate::common::{assert_trace, Node};

// Late retries of clients must not use up their tenant's quota.
#[test]
fn calls_over_quota_and_late_retries_are_shed_first() {
    let quota = [
        ("projects.0.quota_per_s", Value::Number(2.0)),
        ("projects.0.name", Value::Text("a".into())),
    ];
    let mut node = Node::new(2, &quota);
    node.run_light_load(0);
    node.note("no overload: the call over quota is still served");
    node.call(100, 3, "key-a", false);
    let before = node.trace.0.len();
    for call in 101..130 {
        node.call(call, 3, &format!("key-{call}"), false);
    }
    for call in 101..111 {
        node.advance(60.0);
        node.end_attempt(call, 0, Success, 60.0);
    }
    node.trace.0.truncate(before);
    node.note("calls queue at the caches; the tenant's bucket holds one token by now");
    node.call(200, 3, "key-b", true);
    node.call(201, 3, "key-b", false);
    assert_trace(
        node,
        expect![[r#"
            1000 ms: no overload: the call over quota is still served
              call 100 -> server 2 until 3000
            1600 ms: calls queue at the caches; the tenant's bucket holds one token by now
              call 200 rate-limited with Retry-After
              call 201 -> server 2 until 3600
        "#]],
    );
}

// Reads must not be shed because of overloaded caches while the origin has free slots.
#[test]
fn overload_at_caches_spills_over_to_idle_origin() {
    let mut node = Node::new(2, &[]);
    node.run_light_load(0);
    let before = node.trace.0.len();
    for call in 100..160 {
        node.call(call, 0, &format!("key-{call}"), false);
    }
    let burst = node.trace.0.split_off(before);
    let count = |what: &str| burst.lines().filter(|line| line.contains(what)).count();
    let (spilled, rejected) = (count("server 0"), count("rate-limited"));
    node.note(&format!(
        "of 60 reads at once {spilled} went to the origin and {rejected} were rate-limited"
    ));
    assert_trace(
        node,
        expect![[r#"
            1000 ms: of 60 reads at once 4 went to the origin and 34 were rate-limited
        "#]],
    );
}

// A quota that is only divided by the number of nodes does not show who exceeds it at a node that
// gets a fifth of all traffic.
#[test]
fn quotas_scale_with_the_traffic_of_the_node() {
    let mut quota = vec![("balancers", Value::Number(400.0))];
    for (rate, name) in [
        ("projects.0.quota_per_s", "projects.0.name"),
        ("projects.1.quota_per_s", "projects.1.name"),
    ] {
        quota.extend([
            (rate, Value::Number(100.0)),
            (name, Value::Text("one".into())),
        ]);
    }
    let count = |node: &mut Node, calls: std::ops::Range<usize>, a: usize, interval_ms: f64| {
        let before = node.trace.0.len();
        let (mut called, mut rejected) = ([0, 0], [0, 0]);
        for call in calls {
            node.tenant = usize::from(call % (a + 1) == 0);
            let trace_start = node.trace.0.len();
            node.call(call, 3, &format!("key-{call}"), false);
            called[node.tenant] += 1;
            rejected[node.tenant] += node.trace.0[trace_start..].matches("rate-limited").count();
            node.advance(interval_ms);
            let outcome = if call % 8 == 0 { Overloaded } else { Success };
            node.end_attempt(call, 0, outcome, 20.0);
            node.end_attempt(call, 1, Success, 20.0);
        }
        node.trace.0.truncate(before);
        node.note(&format!("rate-limited: {rejected:?} of {called:?}"));
    };
    let mut node = Node::new(2, &quota);
    node.note(
        "one attempt in eight is rejected as overloaded; the node gets forty times its share, equal for both tenants",
    );
    count(&mut node, 0..200, 1, 100.0);
    node.note("the first tenant sends twelve times as much as the second");
    count(&mut node, 200..400, 12, 40.0);
    node.note("both send the same again");
    count(&mut node, 400..600, 1, 100.0);
    assert_trace(
        node,
        expect![[r#"
            0 ms: one attempt in eight is rejected as overloaded; the node gets forty times its share, equal for both tenants
            20000 ms: rate-limited: [0, 0] of [100, 100]
            20000 ms: the first tenant sends twelve times as much as the second
            28000 ms: rate-limited: [34, 0] of [185, 15]
            28000 ms: both send the same again
            48000 ms: rate-limited: [0, 0] of [100, 100]
        "#]],
    );
}

// Clients' retries must not displace first calls.
#[test]
fn client_retries_are_shed_before_first_calls() {
    let late_value = [("products.0.tardy_billed_value", Value::Number(0.33))];
    let mut node = Node::new(2, &late_value);
    node.run_light_load(0);
    node.note("caches reject one attempt in four as overloaded for a second");
    let before = node.trace.0.len();
    for call in 100..200 {
        node.call(call, 0, &format!("key-{call}"), false);
        node.advance(10.0);
        let outcome = if call % 4 == 0 { Overloaded } else { Success };
        (0..3).for_each(|attempt| node.end_attempt(call, attempt, outcome, 20.0));
    }
    node.trace.0.truncate(before);
    let count = |node: &mut Node, from: usize, client_retry: bool| {
        let before = node.trace.0.len();
        for call in from..from + 100 {
            node.call(call, 0, &format!("key-{call}"), client_retry);
            (0..3).for_each(|attempt| node.end_attempt(call, attempt, Success, 20.0));
        }
        let rejected = node.trace.0[before..].matches("rate-limited").count();
        node.trace.0.truncate(before);
        node.note(&format!("rejected: {rejected} of 100"));
    };
    node.note("first calls");
    count(&mut node, 200, false);
    node.note("clients' retries, whose late responses are worth a third");
    count(&mut node, 300, true);
    assert_trace(
        node,
        expect![[r#"
        1000 ms: caches reject one attempt in four as overloaded for a second
        2000 ms: first calls
        2000 ms: rejected: 0 of 100
        2000 ms: clients' retries, whose late responses are worth a third
        2000 ms: rejected: 0 of 100
    "#]],
    );
}
