//! The endpoint list and operators' drain overrides.
use super::common::*;

/// Returns settings that do or do not keep delisted servers (dropped from the list without having
/// drained) in use.
fn with_delisted_in_use(delisted_in_use: bool) -> String {
    let rules = format!(r#""Invariants":{{"DroppedStayOpen":{delisted_in_use}}},"Products""#);
    SETTINGS.replacen(r#""Products""#, &rules, 1)
}

#[test]
fn drain_override_is_revocable_and_puts_no_server_in_service() {
    let mut harness = Harness::builder().start();
    let client = harness.add_client();
    harness.update_list(false, &[("b", 2, "in_service")]);
    let drained = |ids: &[&str]| ids.iter().map(|s| ServerId::from_endpoint_id(s)).collect();
    harness.call(client, "view", "c1", 400);
    harness.report("a is drained by an override", |reducer, now| {
        reducer.on_drain_overrides(now, drained(&["a", "o", "elsewhere"]))
    });
    let results = ["a", "b", "o", "elsewhere"].map(|id| {
        let drainable = harness.reducer.check_drainable(id);
        drainable.map_err(|rejected| rejected.to_string())
    });
    harness.note(&format!("{results:?}"));
    harness.connect(2);
    harness.connect(3);
    harness.note("the list names a in service again");
    harness.update_list(false, &[("a", 1, "in_service")]);
    for call in ["c2", "c3", "c4"] {
        harness.call(client, "view", call, 400);
    }
    harness.note("the list drains a, then the override ends: a gets no attempts");
    harness.update_list(false, &[("a", 1, "terminating")]);
    harness.report("no overrides", |reducer, now| {
        reducer.on_drain_overrides(now, drained(&[]))
    });
    harness.call(client, "view", "c5", 400);
    expect![[r#"
        0 call c1
        0   connect 2 to 2
        0 a is drained by an override
        0 [Ok(()), Err("no cache in service would be left"), Err("the origin can't be drained"), Err("this node's list names no such server")]
        0 connected 2
        0   write 2: c1, time_left 397
        0 connected 3
        0 the list names a in service again
        0 call c2
        0   connect 3 to 2
        0 call c3
        0   connect 4 to 2
        0 call c4
        0   connect 5 to 2
        0 the list drains a, then the override ends: a gets no attempts
        0 no overrides
        0 call c5
        0   connect 6 to 2
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn server_at_the_address_of_a_former_one_gets_new_upstreams() {
    let (mut harness, client) = Harness::builder().with_successful_call("view", 400, "hit");
    harness.trace += "b has the address of a, which the list does not name\n";
    harness.update_list(false, &[("b", 1, "in_service")]);
    harness.call(client, "view", "c2", 400);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 hit
        0   answer 1: v
        b has the address of a, which the list does not name
        0   close upstream 2
        0 call c2
        0   connect 3 to 1
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn new_servers_are_accepted_as_gone_ones_are_released() {
    let mut harness = Harness::builder().start();
    let client = harness.add_client();
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
        let now = harness.time();
        harness.reducer.on_timer(now);
        harness.advance(100);
    }
}

#[test]
fn delisted_cache_stays_in_use_only_if_the_settings_allow_it() {
    for delisted_in_use in [false, true] {
        let (mut harness, client) = Harness::builder()
            .settings(&with_delisted_in_use(delisted_in_use))
            .with_successful_call("view", 400, "hit");
        harness.note("a full list omits a, then an update reports it terminated");
        harness.update_list(true, &[("o", 9, "in_service")]);
        harness.call(client, "view", "c2", 400);
        harness.update_list(false, &[("a", 1, "terminated")]);
        harness.call(client, "view", "c3", 400);
        harness.note("a drains, and a full list omits it again");
        harness.update_list(false, &[("a", 1, "terminating")]);
        harness.update_list(true, &[("o", 9, "in_service")]);
        harness.call(client, "view", "c4", 400);
        match delisted_in_use {
            false => expect![[r#"
                0 call c1
                0   connect 2 to 1
                0 connected 2
                0   write 2: c1, time_left 397
                0 hit
                0   answer 1: v
                0 a full list omits a, then an update reports it terminated
                0   close upstream 2
                0 call c2
                0   connect 3 to 9
                0 call c3
                0 a drains, and a full list omits it again
                0 call c4
            "#]]
            .assert_eq(&harness.trace),
            true => expect![[r#"
                0 call c1
                0   connect 2 to 1
                0 connected 2
                0   write 2: c1, time_left 397
                0 hit
                0   answer 1: v
                0 a full list omits a, then an update reports it terminated
                0 call c2
                0   write 2: c2, time_left 397
                0 call c3
                0   connect 3 to 1
                0 a drains, and a full list omits it again
                0 call c4
                0   connect 4 to 9
            "#]]
            .assert_eq(&harness.trace),
        }
    }
}

#[test]
fn server_at_the_address_of_a_delisted_one_replaces_it() {
    let (mut harness, client) = Harness::builder()
        .settings(&with_delisted_in_use(true))
        .with_successful_call("view", 400, "hit");
    harness.note("b has the address of a, which the list does not name");
    harness.update_list(true, &[("o", 9, "in_service"), ("b", 1, "in_service")]);
    for call in ["c2", "c3"] {
        harness.call(client, "view", call, 400);
    }
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 hit
        0   answer 1: v
        0 b has the address of a, which the list does not name
        0   close upstream 2
        0 call c2
        0   connect 3 to 1
        0 call c3
        0   connect 4 to 1
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn call_gets_one_response_despite_a_server_without_address() {
    let mut harness = Harness::builder().start();
    let client = harness.add_client();
    harness.update_list(false, &[("b", 2, "in_service")]);
    harness.update_list_without_addresses(&[("n", "in_service")]);
    harness.update_list(false, &[("a", 1, "terminated"), ("b", 2, "terminated")]);
    // Long enough for the servers that are gone to be released.
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

// Fails if the policy takes a server whose id has the hash zero for an index that is not in use.
#[test]
fn server_whose_id_hashes_to_zero_stays_in_use() {
    let id = "77kepQFQ8Kl";
    assert_eq!(quartzhub_policy::hash(id), 0);
    let mut harness = Harness::builder().start();
    let client = harness.add_client();
    harness.update_list(true, &[("o", 9, "in_service"), (id, 3, "in_service")]);
    harness.advance(100);
    harness.trace.clear();
    harness.call(client, "view", "c1", 400);
    harness.advance(1_000);
    assert!(harness.trace.contains("to 3"), "{}", harness.trace);
    assert_eq!(harness.trace.matches("answer").count(), 1);
}
