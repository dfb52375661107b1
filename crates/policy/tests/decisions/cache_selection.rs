//! Which cache a call goes to, and which caches are skipped.
use expect_test::expect;
use quartzhub_policy::Outcome::{Overloaded, Success};
use quartzhub_settings::Value;

use crate::common::{assert_trace, Node};

#[test]
fn nearest_cache_is_selected_and_busy_cache_skipped() {
    let mut node = Node::new(3, &[]);
    // Other calls come first; otherwise key-a would be most of this node's calls and so a hot key.
    node.run_light_load(100);
    node.note("one key goes to one cache until three attempts are in flight there");
    for call in 0..5 {
        node.call(call, 0, "key-a", false);
    }
    node.note("other keys go to the caches of their ranges");
    node.call(5, 0, "key-b", false);
    node.call(6, 0, "key-c", false);
    node.note("every outcome ends the attempt in flight");
    node.end_attempt(0, 0, Success, 5.0);
    node.call(7, 0, "key-a", false);
    assert_trace(
        node,
        expect![[r#"
            1000 ms: one key goes to one cache until three attempts are in flight there
              call 0 -> server 2 until 3000
              call 1 -> server 2 until 3000
              call 2 -> server 2 until 3000
              call 3 -> server 3 until 3000
              call 4 -> server 3 until 3000
            1000 ms: other keys go to the caches of their ranges
              call 5 -> server 3 until 3000
              call 6 -> server 1 until 3000
            1000 ms: every outcome ends the attempt in flight
              call 7 -> server 2 until 3000
        "#]],
    );
}

// Calls for the keys of a hung cache must not wait until their client timeout.
#[test]
fn hung_cache_loses_its_calls_to_the_next_nearest() {
    let mut node = Node::new(2, &[]);
    node.run_light_load(0);
    for call in 100..103 {
        node.call(call, 0, "key-a", false);
    }
    node.note("the cache does not respond");
    node.advance(400.0);
    node.note("the next cache responds; new calls skip the hung one");
    (100..103).for_each(|call| node.end_attempt(call, 1, Success, 30.0));
    node.advance(400.0);
    node.call(103, 0, "key-a", false);
    assert_trace(
        node,
        expect![[r#"
              call 100 -> server 2 until 3000
              call 101 -> server 2 until 3000
              call 102 -> server 2 until 3000
            1000 ms: the cache does not respond
              call 100 -> server 0 until 3000
              call 101 -> server 0 until 3000
              call 102 -> server 1 until 3000
            1400 ms: the next cache responds; new calls skip the hung one
              call 100 cancels attempt 0
              call 101 cancels attempt 0
              call 102 cancels attempt 0
              call 103 -> server 1 until 3800
        "#]],
    );
}

// An overloaded cache must not be sent the next call immediately.
#[test]
fn full_cache_gets_no_calls_until_a_slot_is_likely_free() {
    let mut node = Node::new(2, &[]);
    node.run_light_load(0);
    node.call(100, 0, "key-a", false);
    node.end_attempt(100, 0, Overloaded, 1.0);
    node.note("the full cache is not used again immediately");
    node.call(101, 0, "key-a", false);
    node.advance(200.0);
    node.note("it is used again when a slot is likely free");
    node.call(102, 0, "key-a", false);
    assert_trace(
        node,
        expect![[r#"
              call 100 -> server 2 until 3000
              call 100 -> server 1 until 3000
            1000 ms: the full cache is not used again immediately
              call 101 -> server 1 until 3000
              call 100 -> server 0 until 3000
              call 101 -> server 0 until 3000
            1200 ms: it is used again when a slot is likely free
              call 102 -> server 2 until 3200
        "#]],
    );
}

// The late responses of a slow cache may be so far apart that the weight of each has decayed before
// the next one arrives; the cache must still be an outlier.
#[test]
fn rarely_used_slow_cache_remains_an_outlier() {
    let mut node = Node::new(4, &[("caps.may_duplicate", Value::Flag(false))]);
    for round in 0..4 {
        for i in 0..5 {
            node.call(round * 10 + i, 0, ["key-a", "key-f", "key-h"][i % 3], false);
            node.advance(40.0);
            node.end_attempt(round * 10 + i, 0, Success, 40.0);
            node.advance(960.0);
        }
        node.call(round * 10 + 5, 0, "key-c", false);
        node.advance(380.0);
        node.end_attempt(round * 10 + 5, 0, Success, 380.0);
    }
    node.trace.0.clear();
    node.advance(5000.0);
    let outlier_count = node.balancer.outlier_count(node.time());
    node.note(&format!(
        "five seconds after the last late response {outlier_count} cache is an outlier"
    ));
    assert_trace(
        node,
        expect![[r#"
            26520 ms: five seconds after the last late response 1 cache is an outlier
        "#]],
    );
}

/// Returns how many calls go to each server at eight calls per second, each with a response before
/// the next call: first for a key with one call in four, then for a key with one call in forty.
fn sent_to_each_cache() -> [[usize; 6]; 2] {
    let mut node = Node::new(5, &[]);
    let mut sent = [[0; 6]; 2];
    for call in 0..200 {
        let key = match call % 40 {
            i if i % 4 == 0 => "key-popular".to_string(),
            1 => "key-usual".to_string(),
            _ => format!("key-{call}"),
        };
        let trace_start = node.trace.0.len();
        node.call(call, 0, &key, false);
        let server = node.trace.0[trace_start..]
            .split("server ")
            .nth(1)
            .map_or(0, |rest| rest[..1].parse().unwrap());
        node.advance(60.0);
        node.end_attempt(call, 0, Success, 60.0);
        node.advance(65.0);
        if call % 4 == 0 {
            sent[0][server] += 1;
        } else if call % 40 == 1 {
            sent[1][server] += 1;
        }
    }
    sent
}

// Hot keys must not overload their caches with calls of many nodes, each of which has only one call
// in flight at a time and therefore skips no cache.
#[test]
fn hot_key_is_spread_before_this_node_sees_overload() {
    let [hot, usual] = sent_to_each_cache();
    expect![[r#"
        hot key, by server: [0, 0, 7, 0, 22, 21]
        usual key, by server: [0, 0, 5, 0, 0, 0]
    "#]]
    .assert_eq(&format!(
        "hot key, by server: {hot:?}\nusual key, by server: {usual:?}\n"
    ));
}
