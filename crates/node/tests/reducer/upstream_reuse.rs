//! How long an upstream rests after a response before it carries another attempt: a duplicate of the
//! response that comes meanwhile must not be taken for the next.
use super::common::*;

#[test]
fn upstream_past_the_reuse_delay_is_used_before_a_newer_one() {
    let (mut harness, client) = Harness::builder()
        .reuse_delay(Span::ms(10))
        .with_call("view", 400);
    harness.call(client, "view", "c2", 400);
    harness.connect(2);
    harness.connect(3);
    harness.respond("hit", 3, value("w"));
    harness.advance(10);
    harness.respond("hit", 2, value("v"));
    harness.call(client, "view", "c3", 400);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 call c2
        0   connect 3 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 connected 3
        0   write 3: c2, time_left 397
        0 hit
        10 hit
        10   answer 1: v
        10   answer 1: w
        10 call c3
        10   write 3: c3, time_left 397
    "#]]
    .assert_eq(&harness.trace);
}

/// A duplicate of the last response may still be on its way when the upstream becomes idle, and
/// would be taken for the response to the next attempt.
#[test]
fn new_upstream_is_opened_within_the_reuse_delay() {
    let (mut harness, client) = Harness::builder()
        .reuse_delay(Span::ms(10))
        .with_call("view", 400);
    harness.report("connected 2", |reducer, now| {
        reducer.on_connected(now, UpstreamId(2))
    });
    harness.respond("response", 2, value("v1"));
    harness.advance(5);
    harness.call(client, "view", "c2", 400);
    harness.advance(5);
    harness.call(client, "view", "c3", 400);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 response
        0   answer 1: v1
        5 call c2
        5   connect 3 to 1
        10 call c3
        10   write 2: c3, time_left 397
    "#]]
    .assert_eq(&harness.trace);
}

/// Returns a harness with a reuse delay of 10 ms, whose upstream 2 to the cache had a response at 0,
/// and the client that got it.
fn with_cache_response() -> (Harness, ClientId) {
    let (mut harness, client) = Harness::builder()
        .reuse_delay(Span::ms(10))
        .with_successful_call("view", 400, "hit");
    harness.trace.clear();
    (harness, client)
}

/// Bytes that come after the rest can be taken for the response to the next attempt: operators have
/// to be able to tell them from those that the rest covers, here 10 and then 15 ms.
#[test]
fn unsolicited_bytes_are_counted_by_their_delay() {
    let mut harness = Harness::builder().reuse_delay(Span::ms(10)).start();
    let client = harness.add_client();
    let mut counts = Vec::new();
    for (upstream, delay) in [(2, 10), (3, 16)] {
        harness.call(client, "view", "c1", 400);
        harness.connect(upstream);
        harness.respond("hit", upstream, value("v"));
        harness.advance(delay);
        harness.send_unsolicited(upstream);
        let now = harness.time();
        let metrics = harness.reducer.metrics(now);
        counts.push((
            metrics.unsolicited_responses,
            metrics.late_unsolicited_responses,
        ));
    }
    assert_eq!(counts, [(1, 0), (2, 1)]);
}

/// A reload that changes how long servers keep idle connections must not change when an upstream
/// had its last response: with a longer time, an upstream was reused within the reuse delay.
#[test]
fn reload_does_not_end_the_reuse_delay_early() {
    let (mut harness, client) = with_cache_response();
    harness.advance(5);
    let longer_keepalive = SETTINGS.replace(r#""Keepalive":1000"#, r#""Keepalive":2000"#);
    harness.reload(&longer_keepalive);
    harness.call(client, "view", "c2", 400);
    harness.advance(5);
    harness.call(client, "view", "c3", 400);
    expect![[r#"
        5 reload
        5 call c2
        5   connect 3 to 1
        10 call c3
        10   write 2: c3, time_left 397
    "#]]
    .assert_eq(&harness.trace);
}

/// With a shorter time, an upstream was not reused for as long as the difference.
#[test]
fn reload_does_not_prolong_the_reuse_delay() {
    let (mut harness, client) = with_cache_response();
    let shorter_keepalive = SETTINGS.replace(r#""Keepalive":1000"#, r#""Keepalive":500"#);
    harness.reload(&shorter_keepalive);
    harness.advance(10);
    harness.call(client, "view", "c2", 400);
    expect![[r#"
        0 reload
        10 call c2
        10   write 2: c2, time_left 397
    "#]]
    .assert_eq(&harness.trace);
}

/// A server that is held up sends a duplicate later than the reuse delay: of several upstreams that
/// are past the delay, but have not rested in full, the one that has rested longest is used.
#[test]
fn upstream_that_has_rested_longest_is_used_before_the_full_rest() {
    let (mut harness, client) = Harness::builder()
        .reuse_delay(Span::ms(10))
        .with_two_origin_responses();
    harness.advance(20);
    harness.write(client, "c3", 400);
    harness.respond("stored", 3, value("r3"));
    harness.advance(50);
    harness.write(client, "c4", 400);
    expect![[r#"
        25 put c3
        25   write 3: c3, time_left 397
        25 stored
        25   answer 1: r3
        75 put c4
        75   write 3: c4, time_left 397
    "#]]
    .assert_eq(&harness.trace);
}

/// A duplicate that came shortly before the end of the rest shows that the next may come after it:
/// its server's upstreams rest longer for a while.
#[test]
fn upstreams_rest_longer_after_a_late_duplicate_of_their_server() {
    let (mut harness, client) = with_cache_response();
    harness.advance(8);
    harness.send_unsolicited(2);
    harness.call(client, "view", "c2", 400);
    harness.connect(3);
    harness.respond("hit", 3, value("v2"));
    harness.advance(11);
    harness.call(client, "view", "c3", 400);
    harness.advance(1);
    harness.call(client, "view", "c4", 400);
    expect![[r#"
        8 unsolicited
        8   close upstream 2
        8 call c2
        8   connect 3 to 1
        8 connected 3
        8   write 3: c2, time_left 397
        8 hit
        8   answer 1: v2
        19 call c3
        19   connect 4 to 1
        20 call c4
        20   write 3: c4, time_left 397
    "#]]
    .assert_eq(&harness.trace);
}

/// The longer rest is bounded by the full rest, as upstreams that are idle for as long are used
/// anyway, and ends some time after the last late duplicate.
#[test]
fn longer_rest_is_bounded_and_ends() {
    let (mut harness, client) = with_cache_response();
    harness.advance(200);
    harness.send_unsolicited(2);
    harness.call(client, "view", "c2", 400);
    harness.connect(3);
    harness.respond("hit", 3, value("v2"));
    harness.advance(50);
    harness.call(client, "view", "c3", 400);
    let full_rest = std::mem::take(&mut harness.trace);
    harness.advance(30_000);
    harness.trace.clear();
    harness.call(client, "view", "c4", 400);
    harness.connect(5);
    harness.respond("hit", 5, value("v4"));
    harness.advance(10);
    harness.call(client, "view", "c5", 400);
    expect![[r#"
        200 unsolicited
        200   close upstream 2
        200 call c2
        200   connect 3 to 1
        200 connected 3
        200   write 3: c2, time_left 397
        200 hit
        200   answer 1: v2
        250 call c3
        250   write 3: c3, time_left 397
        30250 call c4
        30250   connect 5 to 1
        30250 connected 5
        30250   write 5: c4, time_left 397
        30250 hit
        30250   answer 1: v4
        30260 call c5
        30260   write 5: c5, time_left 397
    "#]]
    .assert_eq(&(full_rest + &harness.trace));
}
