//! The rules for every call: one final response, no effect twice, no new attempts to draining
//! servers, and no overload of cold servers.
use expect_test::expect;
use quartzhub_policy::{
    EndpointState::{Draining, Gone, Ready},
    Outcome::{Overloaded, Reset, ServerError, Success, TimedOut},
};

use crate::common::{assert_trace, endpoint, Node};

#[test]
fn rule_1_one_final_response_and_nothing_sent_after() {
    let mut node = Node::new(2, &[]);
    node.call(0, 2, "key-a", false);
    node.advance(2000.0);
    node.note("the attempt and the client time out together");
    node.end_attempt(0, 0, TimedOut, 2000.0);
    node.note("late events for a finished call change nothing");
    node.end_attempt(0, 0, ServerError, 2000.0);
    node.advance(1000.0);
    assert_trace(
        node,
        expect![[r#"
          call 0 -> server 0 until 2000
        2000 ms: the attempt and the client time out together
          call 0 failed
        2000 ms: late events for a finished call change nothing
    "#]],
    );
}

#[test]
fn rule_2_no_effect_twice() {
    let mut node = Node::new(2, &[]);
    node.note(
        "non-idempotent: rejected without execution, so a retry; then it may have been executed, so failed",
    );
    node.call(0, 2, "key-a", false);
    node.end_attempt(0, 0, Overloaded, 1.0);
    node.end_attempt(0, 1, Reset, 1.0);
    node.note("deduplicated: a retry within the window");
    node.call(1, 1, "key-b", false);
    node.end_attempt(1, 0, Reset, 1.0);
    node.end_attempt(1, 1, Success, 1.0);
    node.note("deduplicated: no retry after the window");
    node.call(2, 1, "key-c", false);
    node.advance(500.0);
    node.end_attempt(2, 0, Reset, 500.0);
    assert_trace(
        node,
        expect![[r#"
            0 ms: non-idempotent: rejected without execution, so a retry; then it may have been executed, so failed
              call 0 -> server 0 until 2000
              call 0 -> server 0 until 2000
              call 0 failed
            0 ms: deduplicated: a retry within the window
              call 1 -> server 0 until 2000, written by 480
              call 1 -> server 0 until 2000, written by 480
            0 ms: deduplicated: no retry after the window
              call 2 -> server 0 until 2000, written by 480
              call 2 failed
        "#]],
    );
}

#[test]
fn rule_3_no_new_attempts_to_draining_or_gone_caches() {
    let mut node = Node::new(2, &[]);
    node.call(0, 0, "key-a", false);
    node.note("its cache drains");
    node.update_list(&[endpoint(2, Draining, None)]);
    node.call(1, 0, "key-a", false);
    node.note("both caches are gone: only the origin is left");
    node.update_list(&[endpoint(1, Gone, None), endpoint(2, Gone, None)]);
    node.call(2, 0, "key-a", false);
    node.note("no server is left: given up in time");
    node.update_list(&[endpoint(0, Gone, None)]);
    node.call(3, 0, "key-b", false);
    assert_trace(
        node,
        expect![[r#"
              call 0 -> server 2 until 2000
            0 ms: its cache drains
              call 1 -> server 1 until 2000
            0 ms: both caches are gone: only the origin is left
              call 2 -> server 0 until 2000
            0 ms: no server is left: given up in time
              call 3 rate-limited with Retry-After
        "#]],
    );
}

// Rejected attempts must not count as responses, from which cold caches earn their credit.
#[test]
fn rule_4_cold_cache_gets_a_reduced_share_of_reads() {
    let mut node = Node::new(2, &[]);
    node.run_light_load(0);
    node.update_list(&[endpoint(2, Ready, Some(1000.0))]);
    let before = node.trace.0.len();
    let (mut cold, mut warm) = (0, 0);
    for i in 0..200 {
        let trace_start = node.trace.0.len();
        node.call(100 + i, 0, &format!("key-{i}"), false);
        cold += usize::from(node.trace.0[trace_start..].contains("server 2"));
        warm += usize::from(node.trace.0[trace_start..].contains("server 1"));
        let (outcome, latency_ms) = if i % 2 == 0 {
            (Success, 4.0)
        } else {
            (Overloaded, 1.0)
        };
        node.advance(5.0);
        node.end_attempt(100 + i, 0, outcome, latency_ms);
    }
    node.trace.0.truncate(before);
    node.note(&format!(
        "of 200 reads in a second the cold cache got {cold}, the warm one {warm}"
    ));
    assert_trace(
        node,
        expect![[r#"
            2000 ms: of 200 reads in a second the cold cache got 3, the warm one 30
        "#]],
    );
}
