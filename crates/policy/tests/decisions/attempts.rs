//! Coalesced fetches, cancelled attempts, and results that arrive when an attempt is due.
use expect_test::expect;
use quartzhub_policy::Outcome::{Cancelled, Miss, ServerError, Success};
use quartzhub_settings::Value;

use crate::common::{assert_trace, Node};

#[test]
fn misses_of_one_key_share_one_fetch() {
    let mut node = Node::new(2, &[]);
    node.call(0, 0, "key-a", false);
    node.call(1, 0, "key-a", false);
    node.note("both miss; one fetches from the origin; a third read waits too");
    node.end_attempt(0, 0, Miss, 1.0);
    node.end_attempt(1, 0, Miss, 1.0);
    node.call(2, 0, "key-a", false);
    node.note("fetched: the waiting reads go to the cache that now holds the object");
    node.end_attempt(0, 1, Success, 30.0);
    node.end_attempt(1, 1, Success, 2.0);
    node.end_attempt(2, 0, Success, 2.0);
    node.note("after a failed fetch, the next waiting read fetches");
    node.call(3, 0, "key-b", false);
    node.call(4, 0, "key-b", false);
    node.end_attempt(3, 0, Miss, 1.0);
    node.end_attempt(4, 0, Miss, 1.0);
    node.end_attempt(3, 1, ServerError, 5.0);
    node.end_attempt(3, 2, ServerError, 5.0);
    assert_trace(
        node,
        expect![[r#"
              call 0 -> server 2 until 2000
              call 1 -> server 2 until 2000
            0 ms: both miss; one fetches from the origin; a third read waits too
              call 0 -> server 0 until 2000
            0 ms: fetched: the waiting reads go to the cache that now holds the object
              call 1 -> server 2 until 2000
              call 2 -> server 2 until 2000
            0 ms: after a failed fetch, the next waiting read fetches
              call 3 -> server 2 until 2000
              call 4 -> server 2 until 2000
              call 3 -> server 0 until 2000
              call 3 -> server 0 until 2000
              call 3 rate-limited with Retry-After
              call 4 -> server 0 until 2000
        "#]],
    );
}

// A read must not wait for a lost response until its client times out if another cache would
// respond in time.
#[test]
fn lost_attempt_is_cancelled_before_retry_without_hedging() {
    let one_at_a_time = ("caps.may_duplicate", Value::Flag(false));
    let mut node = Node::new(4, std::slice::from_ref(&one_at_a_time));
    node.run_light_load(0);
    node.call(100, 0, "key-a", false);
    node.advance(300.0);
    node.note("the lost attempt is cancelled");
    node.end_attempt(100, 0, Cancelled, 300.0);
    node.advance(20.0);
    node.end_attempt(100, 1, Success, 20.0);
    let mut read_through = Node::new(
        4,
        &[one_at_a_time, ("extra.mode", Value::Text("through".into()))],
    );
    read_through.run_light_load(0);
    read_through.call(100, 2, "key-a", false);
    read_through.advance(600.0);
    read_through.note("a write that may have been executed is never cancelled for a retry");
    node.trace.0 += &read_through.trace.0;
    assert_trace(
        node,
        expect![[r#"
          call 100 -> server 4 until 3000
          call 100 cancels attempt 0
        1300 ms: the lost attempt is cancelled
          call 100 -> server 0 until 3000
          call 100 -> server 4 until 3000
        1600 ms: a write that may have been executed is never cancelled for a retry
    "#]],
    );
}

// A call whose result is reported at the time when its hedged request is due must get neither the
// hedged request nor a second response.
#[test]
fn result_of_finished_call_prevents_its_due_hedge() {
    let mut node = Node::new(2, &[]);
    node.run_light_load(0);
    node.call(100, 0, "key-a", false);
    node.now += 210.0;
    node.note("overdue, and the response arrives at the same time");
    node.end_attempt(100, 0, Success, 210.0);
    node.note("another overdue call, and the result of a different call is reported first");
    node.call(101, 0, "key-a", false);
    node.call(102, 0, "key-b", false);
    node.now += 210.0;
    node.end_attempt(102, 0, Success, 210.0);
    assert_trace(
        node,
        expect![[r#"
              call 100 -> server 2 until 3000
            1210 ms: overdue, and the response arrives at the same time
            1210 ms: another overdue call, and the result of a different call is reported first
              call 101 -> server 2 until 3210
              call 102 -> server 2 until 3210
              call 101 -> server 0 until 3210
        "#]],
    );
}
