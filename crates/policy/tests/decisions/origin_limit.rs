//! The limit on attempts at the origin, and calls queued for a slot there.
use expect_test::expect;
use quartzhub_policy::{
    Outcome::{Miss, Success},
    ServerIndex,
};
use quartzhub_settings::Value;

use crate::common::{assert_trace, Node};

// Hundreds of nodes must not overload the origin with one slot each, and a slow origin must be
// detected before its attempts time out.
#[test]
fn origin_limit_may_be_below_one_and_falls_with_late_attempts() {
    let many_nodes = [("balancers", Value::Number(1000.0))];
    let mut node = Node::new(2, &many_nodes);
    node.note(
        "one of a thousand nodes: a burst of two writes, the others are queued or rejected immediately",
    );
    (0..6).for_each(|call| node.call(call, 2, &format!("key-{call}"), false));
    let mut single_node = Node::new(2, &[]);
    single_node.note("a single node: four slots and a write slot");
    (0..6).for_each(|call| single_node.call(call, 2, &format!("key-{call}"), false));
    single_node.note(
        "no response within the target time; the queued write is sent once the write slot's rate allows it",
    );
    single_node.advance(340.0);
    (0..2).for_each(|call| single_node.end_attempt(call, 0, Success, 340.0));
    node.trace.0.push_str(&single_node.trace.0);
    assert_trace(
        node,
        expect![[r#"
            0 ms: one of a thousand nodes: a burst of two writes, the others are queued or rejected immediately
              call 0 -> server 0 until 2000
              call 1 -> server 0 until 2000
              call 2 rate-limited with Retry-After
              call 3 rate-limited with Retry-After
              call 4 rate-limited with Retry-After
              call 5 rate-limited with Retry-After
            0 ms: a single node: four slots and a write slot
              call 0 -> server 0 until 2000
              call 1 -> server 0 until 2000
              call 2 -> server 0 until 2000
              call 3 -> server 0 until 2000
              call 4 -> server 0 until 2000
            0 ms: no response within the target time; the queued write is sent once the write slot's rate allows it
              call 5 -> server 0 until 2000
        "#]],
    );
}

#[test]
fn nearly_expired_call_goes_to_origin_with_a_free_slot() {
    let mut node = Node::new(1, &[]);
    node.note("30 ms are left");
    node.call_within(0, 1, "key-a", 30);
    node.call_within(1, 0, "key-b", 30);
    node.end_attempt(1, 0, Miss, 2.0);
    node.note("another call that can't wait for that fetch either");
    node.call_within(7, 0, "key-b", 30);
    node.end_attempt(7, 0, Miss, 2.0);
    node.note("the origin has no slot left: a call that can't wait is rejected immediately");
    for call in 2..6 {
        node.call(call, 1, &format!("key-{call}"), false);
    }
    node.call_within(6, 1, "key-g", 30);
    assert_trace(
        node,
        expect![[r#"
            0 ms: 30 ms are left
              call 0 -> server 0 until 30
              call 1 -> server 1 until 30
              call 1 -> server 0 until 30
            0 ms: another call that can't wait for that fetch either
              call 7 -> server 1 until 30
              call 7 -> server 0 until 30
            0 ms: the origin has no slot left: a call that can't wait is rejected immediately
              call 2 -> server 0 until 2000, written by 480
              call 3 -> server 0 until 2000, written by 480
              call 6 rate-limited with Retry-After
        "#]],
    );
}

// A call with a few milliseconds left must not wait past its client timeout because a queued call
// gets the slot that it came for.
#[test]
fn nearly_expired_call_is_rejected_at_once_if_queue_takes_slot() {
    let mut node = Node::new(1, &[("balancers", Value::Number(150.0))]);
    for call in 0..6 {
        node.call(call, 0, &format!("key-{call}"), false);
        node.end_attempt(call, 0, Miss, 2.0);
    }
    node.call_within(10, 0, "key-10", 135);
    let before = node.trace.0.len();
    node.now += 130.0;
    node.note(
        "the last call that missed finds a free slot, but another call ahead of it in the queue",
    );
    node.end_attempt(10, 0, Miss, 130.0);
    let told = node.trace.0[before..].matches("call 10 ").count();
    assert_eq!(told, 1, "{}", node.trace.0);
}

// Reads that missed must not occupy the only slot of a node while writes of higher weight find
// none.
#[test]
fn writes_have_an_origin_slot_that_reads_cannot_take() {
    let many_nodes = [("balancers", Value::Number(100.0))];
    let mut node = Node::new(2, &many_nodes);
    node.note("reads that miss take all slots that this node has at the origin");
    for call in 0..4 {
        node.call(call, 0, &format!("key-{call}"), false);
        node.end_attempt(call, 0, Miss, 2.0);
    }
    node.note("a write");
    node.call(4, 1, "key-w", false);
    node.note("more writes, once the write slot is taken too");
    (5..8).for_each(|call| node.call(call, 1, &format!("key-{call}"), false));
    assert_trace(
        node,
        expect![[r#"
            0 ms: reads that miss take all slots that this node has at the origin
              call 0 -> server 1 until 2000
              call 0 -> server 0 until 2000
              call 1 -> server 2 until 2000
              call 1 -> server 0 until 2000
              call 2 -> server 2 until 2000
              call 3 -> server 1 until 2000
            0 ms: a write
              call 4 -> server 0 until 2000, written by 480
            0 ms: more writes, once the write slot is taken too
        "#]],
    );
}

// The limits of many nodes must not grow while no call waits and then be used up all at once.
#[test]
fn unsaturated_origin_limit_growth_is_bounded_over_all_nodes() {
    let total_slots = |nodes: f64| {
        let mut node = Node::new(2, &[("balancers", Value::Number(nodes))]);
        for call in 0..40 {
            node.call(call, 1, &format!("key-{call}"), false);
            node.end_attempt(call, 0, Success, 20.0);
            node.advance(1_000.0);
        }
        node.balancer.diagnostics(ServerIndex(0)).origin_limit * nodes
    };
    let told: String = [10.0, 100.0, 1000.0]
        .map(|nodes| format!("{nodes} nodes: {:.0}\n", total_slots(nodes)))
        .concat();
    expect![[r#"
        10 nodes: 40
        100 nodes: 200
        1000 nodes: 940
    "#]]
    .assert_eq(&told);
}
