//! Connections to servers, and the requests written on them.
use super::common::*;

#[test]
fn miss_goes_to_origin_and_upstreams_are_reused_until_timeout() {
    let (mut harness, client) = Harness::builder().with_call_in_flight("view", 400);
    harness.respond("miss", 2, failure(Outcome::Miss));
    harness.connect(3);
    harness.respond("value", 3, value("v"));
    harness.call(client, "view", "c2", 400);
    harness.respond("hit", 2, value("w"));
    harness.advance(900);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 miss
        0   connect 3 to 9
        0 connected 3
        0   write 3: c1, time_left 397
        0 value
        0   answer 1: v
        0 call c2
        0   write 2: c2, time_left 397
        0 hit
        0   answer 1: w
        800   close upstream 2
        800   close upstream 3
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn late_connect_writes_nothing_for_a_cancelled_call() {
    let (mut harness, client) = Harness::builder().with_call("view", 400);
    harness.report("client disconnected", |reducer, now| {
        reducer.on_client_disconnected(now, client)
    });
    harness.connect(2);
    expect![[r#"
           0 call c1
           0   connect 2 to 1
           0 client disconnected
           0   close upstream 2
           0 connected 2
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn connect_finished_after_the_drain_writes_nothing() {
    let (mut harness, _) = Harness::builder().with_call("view", 400);
    harness.update_list(false, &[("a", 1, "terminating"), ("b", 2, "in_service")]);
    harness.connect(2);
    harness.connect(3);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   close upstream 2
        0   connect 3 to 2
        0 connected 3
        0   write 3: c1, time_left 397
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn attempt_cancelled_before_its_write_is_not_written() {
    let (mut harness, client) = Harness::builder().with_successful_call("view", 400, "hit");
    harness.send(client, "view", "c2", 400);
    harness.report("call c2, client disconnected", |reducer, now| {
        reducer.on_client_disconnected(now, client)
    });
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 hit
        0   answer 1: v
        0 call c2, client disconnected
        0   close upstream 2
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn call_with_malformed_response_may_have_been_executed() {
    let (mut harness, client) = Harness::builder().with_call_in_flight("book", 400);
    harness.report("malformed", |reducer, now| {
        reducer.on_malformed_bytes(now, UpstreamId(2))
    });
    harness.call(client, "view", "c2", 400);
    harness.connect(3);
    harness.report("malformed", |reducer, now| {
        reducer.on_malformed_bytes(now, UpstreamId(3))
    });
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 malformed
        0   close upstream 2
        0   answer 1: Error("failed")
        0 call c2
        0   connect 3 to 1
        0 connected 3
        0   write 3: c2, time_left 397
        0 malformed
        0   close upstream 3
        0   connect 4 to 9
    "#]]
    .assert_eq(&harness.trace);
}

// A server need not send more of a response while the node has no memory to read it.
#[test]
fn response_that_is_not_read_times_out_at_the_call_deadline() {
    let (mut harness, _) = Harness::builder().with_call_in_flight("book", 400);
    harness.respond_in_part(2);
    harness.report("paused", |reducer, now| {
        reducer.on_response_paused(now, UpstreamId(2))
    });
    harness.advance(450);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 partial response
        0 paused
        400   close upstream 2
        400   answer 1: Error("failed")
    "#]]
    .assert_eq(&harness.trace);
}

// The response that its client gets next may take memory that others may not.
#[test]
fn response_is_next_once_all_before_it_are_written() {
    let (mut harness, client) = Harness::builder().with_call_in_flight("view", 400);
    for (id, upstream) in [("c2", 3), ("c3", 4)] {
        harness.call(client, "view", id, 400);
        harness.connect(upstream);
    }
    let next = |harness: &Harness| {
        [2, 3, 4].map(|upstream| harness.reducer.is_next_response(UpstreamId(upstream)))
    };
    assert_eq!(next(&harness), [true, false, false]);
    harness.respond("second", 3, value("v"));
    assert_eq!(next(&harness), [true, false, false]);
    harness.respond("first", 2, value("v"));
    assert_eq!(next(&harness), [false, false, false]);
    harness.reducer.on_delivered(client, "vv".len());
    assert_eq!(next(&harness), [false, false, true]);
}

#[test]
fn unsolicited_response_closes_its_upstream() {
    let (mut harness, client) = Harness::builder().with_successful_call("view", 400, "hit");
    harness.respond("unsolicited", 2, value("v"));
    harness.call(client, "view", "c2", 400);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 hit
        0   answer 1: v
        0 unsolicited
        0   close upstream 2
        0 call c2
        0   connect 3 to 1
    "#]]
    .assert_eq(&harness.trace);
}

/// The window of a deduplicated call starts with its first attempt. A retry that is decided on
/// within the window may connect, or complete its write, only after it, and could then be executed
/// a second time. Such a retry is not made, no server is blamed, and the call gets its response at
/// once.
#[test]
fn retry_is_not_written_after_the_deduplication_window() {
    let mut harness = Harness::builder().start();
    let client = harness.add_client();
    harness.write(client, "c1", 500);
    harness.connect(2);
    harness.advance(150);
    harness.disconnect("reset 2", 2);
    harness.advance(100);
    harness.connect(3);
    harness.write(client, "c2", 500);
    harness.connect(4);
    harness.advance(150);
    harness.disconnect("reset 4", 4);
    harness.now += 10;
    let now = harness.time();
    harness.reducer.on_connected(now, UpstreamId(5));
    harness.print_effects(false);
    harness.advance(100);
    assert_eq!(harness.reducer.open_call_count(), 0);
    expect![[r#"
        0 put c1
        0   connect 2 to 9
        0 connected 2
        0   write 2: c1, time_left 497
        150 reset 2
        150   connect 3 to 9
        180   close upstream 3
        180   answer 1: Error("failed")
        250 connected 3
        250 put c2
        250   connect 4 to 9
        250 connected 4
        250   write 4: c2, time_left 497
        400 reset 4
        400   connect 5 to 9
        410   write 5: c2, time_left 337
        430   close upstream 5
        430   answer 1: Error("failed")
    "#]]
    .assert_eq(&harness.trace);
}

/// Where the window is shorter than the connect timeout, it applies to the first attempt too: a
/// second attempt may have been executed by the time that the first one connects.
#[test]
fn first_attempt_is_not_written_after_the_deduplication_window() {
    let mut harness = Harness::builder()
        .settings(&SETTINGS.replace(r#""ConnectTimeout":100"#, r#""ConnectTimeout":1000"#))
        .start();
    let client = harness.add_client();
    harness.write(client, "c1", 500);
    harness.advance(190);
    harness.connect(2);
    harness.advance(400);
    assert_eq!(harness.reducer.open_call_count(), 0);
    expect![[r#"
        0 put c1
        0   connect 2 to 9
        180   close upstream 2
        180   connect 3 to 9
        190 connected 2
        360   close upstream 3
        360   connect 4 to 9
        500   close upstream 4
        500   answer 1: RateLimited(None)
    "#]]
    .assert_eq(&harness.trace);
}
