//! Servers that refuse connections, and servers that are gone.
use expect_test::expect;
use quartzhub_policy::{
    EndpointState::{Gone, Ready},
    Outcome::{ServerError, Success, Unreachable},
};
use quartzhub_settings::Value;

use crate::common::{assert_trace, endpoint, Node};

// If there are more nodes than a cache accepts connections from, they must not all keep their idle
// connections open.
#[test]
fn refused_connections_limit_idle_ones_until_list_shows_restart() {
    let mut node = Node::new(5, &[]);
    node.run_light_load(0);
    node.note("eight connections refused: all caches keep their keys, but fewer idle connections stay open");
    for call in 100..108 {
        node.call(call, 0, &format!("key-{call}"), false);
        node.end_attempt(call, 0, Unreachable, 5.0);
        node.end_attempt(call, 1, Success, 20.0);
    }
    node.advance(200.0);
    node.call(108, 0, "key-102", false);
    node.end_attempt(108, 0, Success, 20.0);
    node.note("all caches had crashed: the effect of the refused connections is undone");
    node.update_list(&[1, 2, 3, 4, 5].map(|server| endpoint(server, Gone, None)));
    node.update_list(&[1, 2, 3, 4, 5].map(|server| endpoint(server, Ready, Some(1000.0))));
    node.advance(30_000.0);
    let before = node.trace.0.len();
    for call in 200..240 {
        node.call(call, 0, &format!("key-{call}"), false);
        node.advance(40.0);
        node.end_attempt(call, 0, Success, 40.0);
    }
    let used = (1..6)
        .filter(|s| node.trace.0[before..].contains(&format!("server {s} ")))
        .count();
    node.trace.0.truncate(before);
    node.note(&format!("{used} caches are used again"));
    assert_trace(
        node,
        expect![[r#"
            1000 ms: eight connections refused: all caches keep their keys, but fewer idle connections stay open
              call 100 -> server 5 until 3000
              call 100 -> server 1 until 3000
              call 101 -> server 2 until 3000
              call 101 -> server 4 until 3000
              call 102 -> server 4 until 3000
              call 102 -> server 3 until 3000
              call 103 -> server 4 until 3000
              call 103 -> server 3 until 3000
              call 104 -> server 1 until 3000
              call 104 -> server 5 until 3000
              call 105 -> server 4 until 3000
              call 105 -> server 3 until 3000
              call 106 -> server 2 until 3000
              call 106 -> server 4 until 3000
              call 107 -> server 1 until 3000
              call 107 -> server 5 until 3000
              connections to server 3 closed
              connections to server 4 closed
              call 108 -> server 4 until 3200
            1200 ms: all caches had crashed: the effect of the refused connections is undone
            32800 ms: 5 caches are used again
        "#]],
    );
}

#[test]
fn gone_server_is_released_after_its_last_call() {
    let mut node = Node::new(2, &[("caps.cancelling", Value::Flag(false))]);
    node.note("an attempt is in flight when its cache is delisted");
    node.call(0, 0, "key-a", false);
    node.update_list(&[endpoint(2, Gone, None)]);
    node.advance(31_000.0);
    node.note("the attempt has ended");
    node.end_attempt(0, 0, ServerError, 31_000.0);
    node.advance(31_000.0);
    node.note("nothing is known about the next server with this index");
    node.update_list(&[endpoint(2, Ready, None)]);
    node.call(1, 0, "key-a", false);
    assert_trace(
        node,
        expect![[r#"
        0 ms: an attempt is in flight when its cache is delisted
          call 0 -> server 2 until 2000
          call 0 -> server 0 until 2000
        31000 ms: the attempt has ended
        62000 ms: nothing is known about the next server with this index
          call 1 -> server 2 until 64000
    "#]],
    );
}
