//! Attempts that wait until an upstream has rested: at the origin, and at the socket limit.
use super::common::*;

/// Returns a harness with a reuse delay of 10 ms, whose upstream 2 to the origin had a response at
/// 0, and the client that got it.
fn with_origin_response() -> (Harness, ClientId) {
    let mut harness = Harness::builder().reuse_delay(Span::ms(10)).start();
    let client = harness.add_client();
    harness.write(client, "c1", 400);
    harness.connect(2);
    harness.respond("stored", 2, value("r1"));
    harness.advance(5);
    harness.trace.clear();
    (harness, client)
}

/// A late duplicate of the origin's response was taken for the response to the next request, which
/// was written at once. The request waits for the end of the rest instead.
#[test]
fn attempt_at_the_origin_waits_until_an_upstream_has_rested() {
    let (mut harness, client) = with_origin_response();
    harness.write(client, "c2", 400);
    harness.advance(5);
    let now = harness.time();
    assert_eq!(harness.reducer.metrics(now).reuse_waits, 1);
    expect![[r#"
        5 put c2
        10   write 2: c2, time_left 392
    "#]]
    .assert_eq(&harness.trace);
}

/// A duplicate that arrives during the rest closes the upstream: another carries the attempt.
#[test]
fn attempt_that_waits_is_moved_when_a_duplicate_arrives() {
    let (mut harness, client) = with_origin_response();
    harness.write(client, "c2", 400);
    harness.send_unsolicited(2);
    harness.connect(3);
    harness.advance(5);
    expect![[r#"
        5 put c2
        5 unsolicited
        5   close upstream 2
        5   connect 3 to 9
        5 connected 3
        5   write 3: c2, time_left 397
    "#]]
    .assert_eq(&harness.trace);
}

/// Of several upstreams that rest, the one that has rested longest is waited for, and each by one
/// attempt only.
#[test]
fn each_resting_upstream_is_waited_for_by_one_attempt() {
    let (mut harness, client) = Harness::builder()
        .reuse_delay(Span::ms(10))
        .with_two_origin_responses();
    harness.write(client, "c3", 400);
    harness.write(client, "c4", 400);
    harness.write(client, "c5", 400);
    harness.advance(10);
    expect![[r#"
        5 put c3
        5 put c4
        5 put c5
        5   connect 4 to 9
        10   write 3: c3, time_left 392
        15   write 2: c4, time_left 387
    "#]]
    .assert_eq(&harness.trace);
}

/// An attempt that waits is given up with its client. The upstream keeps the rest that it has had.
#[test]
fn upstream_of_an_attempt_given_up_during_its_wait_is_kept() {
    let (mut harness, client) = with_origin_response();
    let other_client = harness.add_client();
    harness.write(client, "c2", 400);
    harness.report("client disconnected", |reducer, now| {
        reducer.on_client_disconnected(now, client)
    });
    harness.advance(5);
    harness.write(other_client, "c3", 400);
    expect![[r#"
        5 put c2
        5 client disconnected
        10 put c3
        10   write 2: c3, time_left 397
    "#]]
    .assert_eq(&harness.trace);
}

/// Where the time of an attempt is over before the end of the rest, it gets a new upstream.
#[test]
fn attempt_with_little_time_left_does_not_wait() {
    let (mut harness, client) = with_origin_response();
    harness.write(client, "c2", 7);
    expect![[r#"
        5 put c2
        5   connect 3 to 9
    "#]]
    .assert_eq(&harness.trace);
}

/// Nothing is written to the former process of a server that has moved while an attempt waits.
#[test]
fn attempt_that_waits_follows_its_server_to_another_address() {
    let (mut harness, client) = with_origin_response();
    harness.write(client, "c2", 400);
    harness.update_list(false, &[("o", 8, "in_service")]);
    harness.connect(3);
    harness.advance(5);
    expect![[r#"
        5 put c2
        5   close upstream 2
        5   connect 3 to 8
        5 connected 3
        5   write 3: c2, time_left 397
    "#]]
    .assert_eq(&harness.trace);
}

/// A server that drains while an attempt waits gets no request, and the attempt is given up at once.
#[test]
fn attempt_that_waits_is_not_written_to_a_draining_server() {
    let (mut harness, client) = with_origin_response();
    harness.write(client, "c2", 400);
    harness.update_list(false, &[("o", 9, "terminating")]);
    harness.advance(5);
    assert_eq!(harness.reducer.open_call_count(), 0);
    expect![[r#"
        5 put c2
        5   close upstream 2
        5   answer 1: RateLimited(None)
    "#]]
    .assert_eq(&harness.trace);
}

/// At the socket limit an upstream to a cache was used at once, too.
#[test]
fn attempt_waits_until_an_upstream_has_rested_at_the_socket_limit() {
    let mut harness = Harness::builder()
        .reuse_delay(Span::ms(10))
        .limits(r#"{"sockets":32}"#)
        .start();
    let clients: Vec<_> = (0..6).map(|_| harness.add_client()).collect();
    harness.call(clients[0], "view", "c1", 400);
    harness.connect(7);
    harness.respond("hit", 7, value("v1"));
    harness.advance(5);
    harness.trace.clear();
    harness.call(clients[1], "view", "c2", 400);
    harness.advance(5);
    expect![[r#"
        5 call c2
        10   write 7: c2, time_left 392
    "#]]
    .assert_eq(&harness.trace);
}

/// A duplicate may lie in the socket at the end of the rest, before the node has read it. It is
/// found at the write: another upstream carries the attempt, and the duplicate is counted.
#[test]
fn duplicate_found_at_the_write_moves_the_attempt() {
    let (mut harness, client) = with_origin_response();
    harness.write(client, "c2", 400);
    harness.advance(5);
    harness.send_unsolicited(2);
    harness.connect(3);
    let now = harness.time();
    assert_eq!(harness.reducer.metrics(now).unsolicited_responses, 1);
    expect![[r#"
        5 put c2
        10   write 2: c2, time_left 392
        10 unsolicited
        10   close upstream 2
        10   connect 3 to 9
        10 connected 3
        10   write 3: c2, time_left 392
    "#]]
    .assert_eq(&harness.trace);
}
