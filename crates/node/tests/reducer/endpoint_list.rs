//! The endpoint list and operators' drain overrides.
use super::common::*;

/// Settings by which a server that the list drops without having drained may or may not be used.
fn with_dropped_stay_open(dropped_stay_open: bool) -> String {
    let rules = format!(r#""Invariants":{{"DroppedStayOpen":{dropped_stay_open}}},"Products""#);
    SETTINGS.replacen(r#""Products""#, &rules, 1)
}

#[test]
fn a_drain_override_acts_at_once_can_be_revoked_and_puts_nothing_in_service() {
    let mut harness = Harness::builder().start();
    let client = harness.client();
    harness.update_list(false, &[("b", 2, "in_service")]);
    let drained = |ids: &[&str]| ids.iter().map(|id| ServerId::named(id)).collect();
    harness.call(client, "view", "c1", 400);
    harness.report("a is ordered drained", |reducer, now| {
        reducer.on_drain_overrides(now, drained(&["a", "o", "elsewhere"]))
    });
    let response = ["a", "b", "o", "elsewhere"].map(|id| {
        let drainable = harness.reducer.check_drainable(id);
        drainable.map_err(|rejected| rejected.to_string())
    });
    harness.note(&format!("{response:?}"));
    harness.connect(2);
    harness.connect(3);
    harness.note("the list says again that a is in service");
    harness.update_list(false, &[("a", 1, "in_service")]);
    for call in ["c2", "c3", "c4"] {
        harness.call(client, "view", call, 400);
    }
    harness.note("the list takes a out, and then the order ends: nothing goes there");
    harness.update_list(false, &[("a", 1, "terminating")]);
    harness.report("no orders", |reducer, now| {
        reducer.on_drain_overrides(now, drained(&[]))
    });
    harness.call(client, "view", "c5", 400);
    expect![[r#"
        0 call c1
        0   connect 2 to 2
        0 a is ordered drained
        0 [Ok(()), Err("no cache in service would be left"), Err("the origin can't be drained"), Err("this node's list names no such server")]
        0 up 2
        0   write 2: c1, wait 397
        0 up 3
        0 the list says again that a is in service
        0 call c2
        0   connect 3 to 2
        0 call c3
        0   connect 4 to 2
        0 call c4
        0   connect 5 to 2
        0 the list takes a out, and then the order ends: nothing goes there
        0 no orders
        0 call c5
        0   connect 6 to 2
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn a_server_at_the_address_of_one_that_has_gone_gets_new_upstreams() {
    let (mut harness, client) = Harness::builder().with_served_call("view", 400, "hit");
    harness.trace += "b is at the address of a, which the list does not name\n";
    harness.update_list(false, &[("b", 1, "in_service")]);
    harness.call(client, "view", "c2", 400);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 hit
        0   answer 1: v
        b is at the address of a, which the list does not name
        0   close upstream 2
        0 call c2
        0   connect 3 to 1
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn new_servers_are_accepted_without_end_as_others_go() {
    let mut harness = Harness::builder().start();
    let client = harness.client();
    for round in 0..4 {
        let names: Vec<_> = (0..6000).map(|i| format!("r{round}-{i}")).collect();
        let mut servers: Vec<_> = names
            .iter()
            .map(|id| (id.as_str(), 2, "terminating"))
            .collect();
        let last = format!("last {round}");
        servers.push((&last, 100 + round, "in_service"));
        harness.update_list(true, &servers);
        harness.release_gone_servers();
        harness.update_list(true, &[(&last, 100 + round, "in_service")]);
        harness.advance(100);
        harness.trace.clear();
        harness.call(client, "view", &format!("c{round}"), 400);
        assert!(
            harness.trace.contains(&format!("to {}", 100 + round)),
            "{}",
            harness.trace
        );
        harness.now += 31_000;
        let now = harness.at();
        harness.reducer.on_timer(now);
        harness.advance(100);
    }
}

#[test]
fn a_cache_dropped_without_draining_stays_in_use_only_where_the_settings_say_so() {
    for dropped_stay_open in [false, true] {
        let (mut harness, client) = Harness::builder()
            .settings(&with_dropped_stay_open(dropped_stay_open))
            .with_served_call("view", 400, "hit");
        harness.note("a whole list leaves a out, then a change calls it terminated");
        harness.update_list(true, &[("o", 9, "in_service")]);
        harness.call(client, "view", "c2", 400);
        harness.update_list(false, &[("a", 1, "terminated")]);
        harness.call(client, "view", "c3", 400);
        harness.note("it drains, and is left out again");
        harness.update_list(false, &[("a", 1, "terminating")]);
        harness.update_list(true, &[("o", 9, "in_service")]);
        harness.call(client, "view", "c4", 400);
        match dropped_stay_open {
            false => expect![[r#"
                0 call c1
                0   connect 2 to 1
                0 up 2
                0   write 2: c1, wait 397
                0 hit
                0   answer 1: v
                0 a whole list leaves a out, then a change calls it terminated
                0   close upstream 2
                0 call c2
                0   connect 3 to 9
                0 call c3
                0 it drains, and is left out again
                0 call c4
            "#]]
            .assert_eq(&harness.trace),
            true => expect![[r#"
                0 call c1
                0   connect 2 to 1
                0 up 2
                0   write 2: c1, wait 397
                0 hit
                0   answer 1: v
                0 a whole list leaves a out, then a change calls it terminated
                0 call c2
                0   write 2: c2, wait 397
                0 call c3
                0   connect 3 to 1
                0 it drains, and is left out again
                0 call c4
                0   connect 4 to 9
            "#]]
            .assert_eq(&harness.trace),
        }
    }
}

#[test]
fn a_server_at_the_address_of_a_dropped_one_replaces_it_where_dropped_ones_stay_in_use() {
    let (mut harness, client) = Harness::builder()
        .settings(&with_dropped_stay_open(true))
        .with_served_call("view", 400, "hit");
    harness.note("b is at the address of a, which the list does not name");
    harness.update_list(true, &[("o", 9, "in_service"), ("b", 1, "in_service")]);
    for call in ["c2", "c3"] {
        harness.call(client, "view", call, 400);
    }
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 up 2
        0   write 2: c1, wait 397
        0 hit
        0   answer 1: v
        0 b is at the address of a, which the list does not name
        0   close upstream 2
        0 call c2
        0   connect 3 to 1
        0 call c3
        0   connect 4 to 1
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn a_call_after_a_server_without_an_address_outlived_others_is_answered() {
    let mut harness = Harness::builder().start();
    let client = harness.client();
    harness.update_list(false, &[("b", 2, "in_service")]);
    harness.update_list_without_addresses(&[("n", "in_service")]);
    harness.update_list(false, &[("a", 1, "terminated"), ("b", 2, "terminated")]);
    // Until the servers that are gone are released.
    harness.advance(40_000);
    harness.trace.clear();
    harness.call(client, "view", "c1", 400);
    harness.advance(1_000);
    assert_eq!(
        harness.trace.matches("answer").count(),
        1,
        "{}",
        harness.trace
    );
}

// Guards against a server of which the policy takes a hash of zero for an index that is not used.
#[test]
fn a_server_whose_id_has_the_hash_zero_is_used_and_outlives_the_timer() {
    let id = "77kepQFQ8Kl";
    assert_eq!(quartzhub_policy::hash(id), 0);
    let mut harness = Harness::builder().start();
    let client = harness.client();
    harness.update_list(true, &[("o", 9, "in_service"), (id, 3, "in_service")]);
    harness.advance(100);
    harness.trace.clear();
    harness.call(client, "view", "c1", 400);
    harness.advance(1_000);
    assert!(harness.trace.contains("to 3"), "{}", harness.trace);
    assert_eq!(harness.trace.matches("answer").count(), 1);
}
