//! Rules that hold where the settings state them: a budget of further shots, a list that has to be asked for, clocks that differ.
mod common;

use common::{line, Node};
use expect_test::{expect, Expect};
use quartzhub_policy::{State::*, Value};

fn check(node: Node, expected: Expect) {
    expected.assert_eq(&node.trace.0);
}

#[test]
fn a_list_that_must_be_asked_for_is_asked_for_again_when_that_fails() {
    let asks = [
        ("membership_mode", Value::Text("on_request".into())),
        ("invariants.ask_within", Value::Number(6000.0)),
    ];
    let mut node = Node::new(2, &asks);
    node.pass(3000.0);
    node.say("the call failed");
    node.balancer.list_failed(node.at());
    node.pass(6000.0);
    node.say("changes came");
    node.list(&[line(1, Draining, None)]);
    node.pass(20_000.0);
    node.say("the subscription broke");
    node.balancer.list_failed(node.at());
    node.pass(6000.0);
    check(
        node,
        expect![[r#"
          asks for the list's changes
        3000 ms: the call failed
          asks for the list's changes
        9000 ms: changes came
        29000 ms: the subscription broke
          asks for the list's changes
    "#]],
    );
}
