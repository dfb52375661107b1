//! Requirements of some deployments: a retry budget, an endpoint list that is polled, and clocks
//! that differ; also keys or calls that fail at every cache.
use crate::common::{assert_trace, endpoint, Node};
use expect_test::expect;
use quartzhub_policy::{
    EndpointState::{Draining, Ready},
    Outcome::{Miss, Reset, ServerError, Success},
};
use quartzhub_settings::Value;

/// Returns the settings of a retry budget of two additional attempts in two seconds, whatever the
/// traffic.
fn retry_budget() -> [(&'static str, Value); 3] {
    [
        ("invariants.extra_free", Value::Number(2.0)),
        ("invariants.further_ratio", Value::Number(0.05)),
        ("invariants.ratio_span", Value::Number(2000.0)),
    ]
}

#[test]
fn retries_stay_within_budget_and_misses_are_exempt() {
    let mut node = Node::new(4, &retry_budget());
    node.note("three reads whose first cache fails: two get a retry, the third is rejected");
    for call in 0..3 {
        node.call(call, 0, &format!("key-{call}"), false);
        node.end_attempt(call, 0, ServerError, 5.0);
    }
    node.note("a miss is still followed by an attempt at the origin");
    node.call(3, 0, "key-a", false);
    node.end_attempt(3, 0, Miss, 5.0);
    node.advance(2040.0);
    node.note("two seconds later the budget allows a retry again");
    node.call(4, 0, "key-b", false);
    node.end_attempt(4, 0, ServerError, 5.0);
    assert_trace(
        node,
        expect![[r#"
            0 ms: three reads whose first cache fails: two get a retry, the third is rejected
              call 0 -> server 1 until 2000
              call 0 -> server 2 until 2000
              call 1 -> server 4 until 2000
              call 1 -> server 3 until 2000
              call 2 -> server 3 until 2000
              call 2 rate-limited with Retry-After
            0 ms: a miss is still followed by an attempt at the origin
              call 3 -> server 2 until 2000
              call 3 -> server 0 until 2000
            2040 ms: two seconds later the budget allows a retry again
              call 4 -> server 1 until 4040
              call 4 -> server 4 until 4040
        "#]],
    );
}

#[test]
fn miss_reported_at_the_time_of_a_hedge_refunds_the_hedge() {
    let mut node = Node::new(4, &retry_budget());
    node.run_light_load(10);
    node.call(0, 0, "key-a", false);
    node.advance(200.0);
    node.note("a hedged request is due; at the same time the first cache reports a miss: no second fetch, nothing charged");
    node.end_attempt(0, 0, Miss, 200.0);
    for call in 1..4 {
        node.call(call, 0, &format!("key-{call}"), false);
        node.end_attempt(call, 0, ServerError, 5.0);
    }
    assert_trace(
        node,
        expect![[r#"
          call 0 -> server 4 until 3000
          call 0 -> server 0 until 3000
        1200 ms: a hedged request is due; at the same time the first cache reports a miss: no second fetch, nothing charged
          call 1 -> server 4 until 3200
          call 1 -> server 3 until 3200
          call 2 -> server 3 until 3200
          call 2 -> server 4 until 3200
          call 3 -> server 2 until 3200
          call 3 -> server 1 until 3200
    "#]],
    );
}

#[test]
fn polled_endpoint_list_is_polled_again_after_failure() {
    let poll_settings = [
        ("membership_mode", Value::Text("on_request".into())),
        ("invariants.ask_within", Value::Number(6000.0)),
    ];
    let mut node = Node::new(2, &poll_settings);
    node.advance(3000.0);
    node.note("the poll failed");
    node.balancer.on_endpoint_list_failed(node.time());
    node.advance(6000.0);
    node.note("an update arrived");
    node.update_list(&[endpoint(1, Draining, None)]);
    node.advance(20_000.0);
    node.note("the subscription failed");
    node.balancer.on_endpoint_list_failed(node.time());
    node.advance(6000.0);
    assert_trace(
        node,
        expect![[r#"
          polls for the endpoint list
        3000 ms: the poll failed
          polls for the endpoint list
        9000 ms: an update arrived
        29000 ms: the subscription failed
          polls for the endpoint list
    "#]],
    );
}

#[test]
fn clock_differences_neither_shorten_calls_nor_warm_caches() {
    let clock_settings = [
        ("invariants.deadline_drift", Value::Number(1500.0)),
        ("invariants.stamp_off", Value::Number(30_000.0)),
    ];
    let mut node = Node::new(0, &clock_settings);
    node.note("the client states 100 ms, which may be 1,600");
    node.call_within(0, 0, "key-a", 100);
    node.advance(200.0);
    node.note(
        "a cache first listed now with a much earlier start time: assumed to have started now, so without credit yet",
    );
    node.update_list(&[endpoint(1, Ready, Some(-20_000.0))]);
    node.call(1, 0, "key-b", false);
    assert_trace(
        node,
        expect![[r#"
        0 ms: the client states 100 ms, which may be 1,600
          call 0 -> server 0 until 1600
        200 ms: a cache first listed now with a much earlier start time: assumed to have started now, so without credit yet
          call 1 -> server 0 until 2200
    "#]],
    );
}

#[test]
fn key_failing_at_every_cache_is_limited_without_outliers() {
    let mut node = Node::new(4, &[]);
    node.run_light_load(100);
    node.note("behind a lock: two caches and the origin fail for one key");
    node.call(0, 0, "key-a", false);
    node.end_attempt(0, 0, ServerError, 5.0);
    node.end_attempt(0, 1, ServerError, 5.0);
    node.end_attempt(0, 2, ServerError, 5.0);
    for call in 1..4 {
        node.call(call, 0, "key-a", false);
        node.end_attempt(call, 0, ServerError, 5.0);
    }
    node.note("no retries for it and at most one attempt in flight; other keys keep their caches");
    for call in 4..7 {
        node.call(call, 0, "key-a", false);
    }
    node.call(7, 0, "calm-1", false);
    node.call(8, 0, "calm-9", false);
    assert_eq!(
        node.balancer.outlier_count(node.time()),
        0,
        "caches are outliers"
    );
    node.advance(16_000.0);
    node.note("after a while without calls it is treated like any other key");
    for call in 10..13 {
        node.call(call, 0, "key-a", false);
    }
    assert_trace(
        node,
        expect![[r#"
            1000 ms: behind a lock: two caches and the origin fail for one key
              call 0 -> server 4 until 3000
              call 0 -> server 3 until 3000
              call 0 rate-limited with Retry-After
              call 1 -> server 4 until 3000
              call 1 rate-limited with Retry-After
              call 2 rate-limited with Retry-After
              call 3 rate-limited with Retry-After
            1000 ms: no retries for it and at most one attempt in flight; other keys keep their caches
              call 4 rate-limited with Retry-After
              call 5 rate-limited with Retry-After
              call 6 rate-limited with Retry-After
              call 7 -> server 3 until 3000
              call 8 -> server 4 until 3000
              call 7 -> server 0 until 3000
              call 8 -> server 0 until 3000
            17000 ms: after a while without calls it is treated like any other key
              call 10 -> server 2 until 19000
              call 11 -> server 2 until 19000
              call 12 -> server 2 until 19000
        "#]],
    );
}

// A call that crashes the cache it is sent to must not crash a second one.
#[test]
fn read_after_connection_reset_goes_to_the_origin() {
    let mut node = Node::new(5, &[]);
    node.run_light_load(0);
    node.note("the cache crashes during a read");
    node.call(100, 0, "key-a", false);
    node.end_attempt(100, 0, Reset, 5.0);
    node.end_attempt(100, 1, Success, 50.0);
    node.note("and during more reads than the origin has slots for");
    for call in 101..107 {
        node.call(call, 0, &format!("key-{call}"), false);
        node.end_attempt(call, 0, Reset, 5.0);
    }
    assert_trace(
        node,
        expect![[r#"
            1000 ms: the cache crashes during a read
              call 100 -> server 4 until 3000
              call 100 -> server 0 until 3000
            1000 ms: and during more reads than the origin has slots for
              call 101 -> server 2 until 3000
              call 101 -> server 0 until 3000
              call 102 -> server 4 until 3000
              call 102 -> server 0 until 3000
              call 103 -> server 4 until 3000
              call 103 -> server 0 until 3000
              call 104 -> server 1 until 3000
              call 104 -> server 0 until 3000
              call 105 -> server 4 until 3000
              call 105 -> server 3 until 3000
              call 106 -> server 2 until 3000
              call 106 -> server 4 until 3000
        "#]],
    );
}
