//! Wrong endpoint lists: which entries end the use of a cache, and what only the cache's responses
//! show.
use expect_test::expect;
use quartzhub_policy::{
    EndpointState::{Draining, Gone, Ready},
    Outcome::{Success, Unreachable},
};
use quartzhub_settings::Value;

use crate::common::{assert_trace, endpoint, Node};

const DELISTED_STAY_USABLE: (&str, Value) = ("invariants.dropped_stay_open", Value::Flag(true));

/// Returns the number of these new calls whose first attempt goes to this server. `dead` servers
/// are unreachable.
fn count_first_attempts(
    node: &mut Node,
    server: usize,
    calls: std::ops::Range<usize>,
    dead: &[usize],
) -> usize {
    let mut count = 0;
    for call in calls {
        let before = node.trace.0.len();
        node.call(call, 0, &format!("key-{call}"), false);
        let is_first = |server: &usize| {
            node.trace.0[before..].contains(&format!("call {call} -> server {server} "))
        };
        let (to_it, to_dead) = (is_first(&server), dead.iter().any(is_first));
        count += usize::from(to_it);
        node.advance(20.0);
        node.end_attempt(call, 0, if to_dead { Unreachable } else { Success }, 20.0);
        node.end_attempt(call, 1, Success, 20.0);
        node.trace.0.truncate(before);
    }
    count
}

#[test]
fn delisted_caches_stay_in_use_only_if_configured() {
    for (name, extra) in [
        ("delisted caches are not used", vec![]),
        ("delisted caches stay usable", vec![DELISTED_STAY_USABLE]),
    ] {
        let mut node = Node::new(3, &extra);
        node.run_light_load(0);
        node.update_list(&[endpoint(3, Draining, None)]);
        node.note(name);
        node.replace_list(&[endpoint(0, Ready, None)]);
        for call in 100..104 {
            node.call(call, 0, &format!("key-{call}"), false);
            node.end_attempt(call, 0, Success, 20.0);
        }
        node.note("an update marks each cache as gone, the drained one too");
        node.update_list(&[1, 2, 3].map(|server| endpoint(server, Gone, None)));
        node.call(104, 0, "key-104", false);
        match extra.is_empty() {
            true => assert_trace(
                node,
                expect![[r#"
                1000 ms: delisted caches are not used
                  call 100 -> server 0 until 3000
                  call 101 -> server 0 until 3000
                  call 102 -> server 0 until 3000
                  call 103 -> server 0 until 3000
                1000 ms: an update marks each cache as gone, the drained one too
                  call 104 -> server 0 until 3000
            "#]],
            ),
            false => assert_trace(
                node,
                expect![[r#"
                1000 ms: delisted caches stay usable
                  call 100 -> server 1 until 3000
                  call 101 -> server 2 until 3000
                  call 102 -> server 2 until 3000
                  call 103 -> server 2 until 3000
                1000 ms: an update marks each cache as gone, the drained one too
                  call 104 -> server 1 until 3000
            "#]],
            ),
        }
    }
}

#[test]
fn responding_delisted_cache_is_kept_and_refusing_one_released() {
    let mut node = Node::new(4, &[DELISTED_STAY_USABLE]);
    node.run_light_load(0);
    node.update_list(&[endpoint(1, Gone, None), endpoint(2, Gone, None)]);
    let (to_responding, to_refusing) = (
        count_first_attempts(&mut node, 1, 100..200, &[2]),
        count_first_attempts(&mut node, 2, 200..300, &[2]),
    );
    assert!(
        to_responding > 15,
        "{to_responding} of 100 calls were sent to a delisted cache that responds"
    );
    assert!(
        to_refusing * 3 < to_responding * 2,
        "{to_refusing} of 100 calls were sent to a delisted cache that refuses connections"
    );
    for call in 300..1900 {
        count_first_attempts(&mut node, 2, call..call + 1, &[2]);
    }
    node.advance(31_000.0);
    assert!(
        node.trace.0.contains("server 2 released"),
        "{}",
        node.trace.0
    );
    assert!(
        !node.trace.0.contains("server 1 released"),
        "{}",
        node.trace.0
    );
}

#[test]
fn next_delisted_cache_is_cold_if_earlier_ones_failed() {
    let count_after = |dead: &[usize]| {
        let mut node = Node::new(5, &[DELISTED_STAY_USABLE]);
        node.run_light_load(0);
        node.update_list(&[endpoint(1, Gone, None), endpoint(2, Gone, None)]);
        count_first_attempts(&mut node, 1, 100..160, dead);
        node.update_list(&[endpoint(3, Gone, None)]);
        count_first_attempts(&mut node, 3, 300..350, dead)
    };
    let (count_if_right, count_if_wrong) = (count_after(&[1, 2]), count_after(&[]));
    assert!(
        count_if_right * 3 < count_if_wrong,
        "{count_if_right} calls if the list was right, {count_if_wrong} if it was wrong"
    );
}

#[test]
fn stale_list_received_again_changes_no_slow_start() {
    let mut node = Node::new(3, &[DELISTED_STAY_USABLE]);
    node.run_light_load(0);
    node.update_list(&[endpoint(2, Ready, Some(1_000.0))]);
    node.note("it has restarted, and a stale list states that it has not");
    node.replace_list(&[0, 1, 2, 3].map(|server| endpoint(server, Ready, None)));
    let count = count_first_attempts(&mut node, 2, 100..150, &[]);
    assert!(count < 8, "{count} of 50 calls were sent to a cold cache");
}
