//! Changes of the configuration and of the servers: which learnt values are kept.
use expect_test::expect;
use quartzhub_policy::{
    Diagnostics,
    EndpointState::Ready,
    Outcome::{Miss, Reset, ServerError, Success},
    ServerIndex,
};
use quartzhub_settings::Value;

use crate::common::{assert_trace, config, endpoint, Node};

// Estimates must not be kept if they apply to other latency objectives, another number of nodes or
// other servers.
#[test]
fn reconfiguration_keeps_only_estimates_that_still_apply() {
    // Cancelling is disabled too, so that each call stays with its cache.
    let [no_duplicates, no_cancelling] =
        ["caps.may_duplicate", "caps.cancelling"].map(|name| (name, Value::Flag(false)));
    let mut node = Node::new(4, &[no_duplicates.clone(), no_cancelling.clone()]);
    node.run_light_load(0);
    for call in 100..103 {
        node.call(call, 0, "key-a", false);
        node.advance(380.0);
        node.end_attempt(call, 0, ServerError, 380.0);
    }
    let describe = |node: &Node, what: &str| {
        let Diagnostics {
            median_latency_ms: median,
            origin_limit: limit,
            fleet_success_ratio: success,
            responses_per_second: response_rate,
            moving_average: position,
        } = node.balancer.diagnostics(ServerIndex(1));
        let outlier_count = node.balancer.outlier_count(node.time());
        format!(
            "{what}: median {median:.0} ms, {limit:.2} slots at the origin, success {success:.2}, \
             {response_rate:.0} responses per second, {outlier_count} outliers, server 1 at position {position:.3}"
        )
    };
    let mut report = describe(&node, "before") + "\n";
    node.balancer
        .reconfigure(&config(&[no_duplicates.clone(), no_cancelling.clone()]));
    report += &(describe(&node, "the same settings applied again") + "\n");
    let migrated = [
        ("balancers", Value::Number(40.0)),
        no_duplicates,
        no_cancelling,
        ("products.0.latency_slo", Value::Number(300.0)),
    ];
    node.balancer.reconfigure(&config(&migrated));
    report += &(describe(&node, "another SLO, forty nodes") + "\n");
    node.replace_list(&[
        endpoint(0, Ready, None),
        endpoint(1, Ready, None),
        endpoint(5, Ready, None),
    ]);
    report += &(describe(&node, "one earlier cache is still listed") + "\n");
    node.replace_list(&[endpoint(7, Ready, None), endpoint(6, Ready, None)]);
    report += &(describe(&node, "all servers are new") + "\n");
    expect![[r#"
        before: median 20 ms, 4.00 slots at the origin, success 0.97, 9 responses per second, 1 outliers, server 1 at position 0.123
        the same settings applied again: median 20 ms, 4.00 slots at the origin, success 0.97, 9 responses per second, 1 outliers, server 1 at position 0.123
        another SLO, forty nodes: median 20 ms, 0.10 slots at the origin, success 1.00, 9 responses per second, 1 outliers, server 1 at position 0.123
        one earlier cache is still listed: median 20 ms, 0.10 slots at the origin, success 1.00, 9 responses per second, 0 outliers, server 1 at position 0.123
        all servers are new: median 38 ms, 4.00 slots at the origin, success 1.00, 9 responses per second, 0 outliers, server 1 at position 0.123
    "#]]
    .assert_eq(&report);
    node.trace.0.clear();
    node.note("the first second afterwards: one response each, one attempt at a time, a write that may have been executed is not rejected");
    node.call(200, 0, "key-a", false);
    node.call(201, 2, "key-b", false);
    node.end_attempt(201, 0, Reset, 5.0);
    node.advance(400.0);
    node.end_attempt(200, 0, Miss, 400.0);
    node.end_attempt(200, 1, Success, 20.0);
    assert_trace(
        node,
        expect![[r#"
            2140 ms: the first second afterwards: one response each, one attempt at a time, a write that may have been executed is not rejected
              call 200 -> server 7 until 4140
              call 201 -> server 6 until 4140
              call 201 failed
              call 200 -> server 6 until 4140
        "#]],
    );
}

// Each node must not keep a full write slot when the number of nodes grows considerably.
#[test]
fn write_slot_is_divided_when_the_number_of_nodes_grows() {
    let mut node = Node::new(2, &[]);
    node.balancer
        .reconfigure(&config(&[("balancers", Value::Number(1000.0))]));
    node.note("writes at one of what are now a thousand nodes");
    (0..4).for_each(|call| node.call(call, 1, &format!("key-{call}"), false));
    assert_trace(
        node,
        expect![[r#"
            0 ms: writes at one of what are now a thousand nodes
              call 0 -> server 0 until 2000, written by 480
              call 1 -> server 0 until 2000, written by 480
              call 2 rate-limited with Retry-After
              call 3 rate-limited with Retry-After
        "#]],
    );
}
