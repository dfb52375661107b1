//! Responses that begin and then stall: they are awaited, and other servers are asked meanwhile.
use super::common::*;

#[test]
fn stalled_response_is_awaited_until_the_call_deadline() {
    let (mut harness, _) = Harness::builder().with_call_in_flight("book", 400);
    harness.respond_in_part(2);
    harness.advance(500);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 partial response
        400   close upstream 2
        400   answer 1: Error("failed")
    "#]]
    .assert_eq(&harness.trace);
}

// A response that never ends must not use up the time of its call.
#[test]
fn stalled_response_leaves_its_call_to_another_server() {
    let (mut harness, _) = Harness::builder().with_call_in_flight("view", 400);
    harness.respond_in_part(2);
    harness.advance(105);
    harness.connect(3);
    harness.respond("value", 3, value("v"));
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 partial response
        60   connect 3 to 9
        105 connected 3
        105   write 3: c1, time_left 292
        105 value
        105   answer 1: v
        105   close upstream 2
    "#]]
    .assert_eq(&harness.trace);
}

// Where two attempts may not be in flight, the stalled one makes room while another server can still
// respond in time.
#[test]
fn stalled_response_is_replaced_late_without_parallel_attempts() {
    let settings = SETTINGS.replace(r#""MayDuplicate":true"#, r#""MayDuplicate":false"#);
    let builder = Harness::builder().settings(&settings);
    let (mut harness, _) = builder.with_call_in_flight("view", 400);
    harness.respond_in_part(2);
    harness.advance(395);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 partial response
        360   close upstream 2
        360   connect 3 to 9
    "#]]
    .assert_eq(&harness.trace);
}

// The rest of a response that goes on is accepted, although the call has asked another server.
#[test]
fn stalled_response_that_goes_on_serves_its_call() {
    let (mut harness, _) = Harness::builder().with_call_in_flight("view", 400);
    harness.respond_in_part(2);
    harness.advance(105);
    harness.connect(3);
    harness.respond("value", 2, value("v"));
    harness.advance(400);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 partial response
        60   connect 3 to 9
        105 connected 3
        105   write 3: c1, time_left 292
        105 value
        105   answer 1: v
        105   close upstream 3
    "#]]
    .assert_eq(&harness.trace);
}

// The origin is not asked in parallel before its response has stalled.
#[test]
fn stalled_response_of_the_origin_leaves_its_call_to_another_attempt() {
    let (mut harness, _) = Harness::builder().with_call_in_flight("view", 400);
    harness.respond("miss", 2, failure(Outcome::Miss));
    harness.connect(3);
    harness.respond_in_part(3);
    harness.advance(105);
    harness.connect(4);
    harness.respond("value", 4, value("v"));
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 miss
        0   connect 3 to 9
        0 connected 3
        0   write 3: c1, time_left 397
        0 partial response
        100   connect 4 to 9
        105 connected 4
        105   write 4: c1, time_left 292
        105 value
        105   answer 1: v
        105   close upstream 3
    "#]]
    .assert_eq(&harness.trace);
}

// The same for a write that servers recognize when it is repeated.
#[test]
fn stalled_response_to_a_deduplicated_write_leads_to_a_retry_within_the_window() {
    let mut harness = Harness::builder().start();
    let client = harness.add_client();
    harness.write(client, "c1", 400);
    harness.connect(2);
    harness.respond_in_part(2);
    harness.advance(110);
    expect![[r#"
        0 put c1
        0   connect 2 to 9
        0 connected 2
        0   write 2: c1, time_left 397
        0 partial response
        100   connect 3 to 9
    "#]]
    .assert_eq(&harness.trace);
}

// Bytes that arrive in time after one another are no stall, and no other server is asked for them.
#[test]
fn response_that_makes_progress_is_not_stalled() {
    let (mut harness, _) = Harness::builder().with_call_in_flight("book", 400);
    for _ in 0..4 {
        harness.respond_in_part(2);
        harness.advance(90);
    }
    harness.respond("value", 2, value("v"));
    let now = harness.time();
    assert_eq!(harness.reducer.metrics(now).stalled_responses, 0);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 partial response
        90 partial response
        180 partial response
        270 partial response
        360 value
        360   answer 1: v
    "#]]
    .assert_eq(&harness.trace);
}
