//! Clients that connect, stay idle, are drained and disconnect.
use super::common::*;

#[test]
fn during_shutdown_clients_are_closed_between_responses() {
    let mut harness = Harness::builder().start();
    let idle = harness.add_client();
    let busy = harness.add_client();
    harness.call(busy, "view", "c1", 400);
    harness.connect(3);
    harness.report("shutdown", |reducer, now| reducer.on_shutdown(now));
    let late = harness.add_client();
    harness.report("ping", |reducer, now| {
        reducer.respond_plain(now, late, b"+PONG\r\n".to_vec())
    });
    harness.respond("hit", 3, value("v"));
    assert_ne!(idle, busy);
    expect![[r#"
        0 call c1
        0   connect 3 to 1
        0 connected 3
        0   write 3: c1, time_left 397
        0 shutdown
        0   close client 1 after 100 ms of silence
        0 ping
        0   answer 4: plain
        0   close client 4 after 100 ms of silence
        0 hit
        0   answer 2: v
        0   close client 2 after 100 ms of silence
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn client_without_calls_is_evicted_before_one_with_calls() {
    let (mut harness, _) = Harness::builder()
        .limits(r#"{"sockets":34}"#)
        .with_successful_call("view", 400, "hit");
    harness.advance(300);
    let new_clients: Vec<_> = (0..7).map(|_| harness.add_client()).collect();
    harness.advance(50);
    harness.report("another client", |reducer, now| {
        assert_eq!(reducer.ensure_accept_capacity(now), AcceptCapacity::Soon)
    });
    assert_eq!(new_clients[0], ClientId(3));
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 397
        0 hit
        0   answer 1: v
        350 another client
        350   close client 3
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn longest_idle_clients_beyond_the_limit_are_closed() {
    let mut harness = Harness::builder().limits(r#"{"sockets":40}"#).start();
    for id in 0..13 {
        let client = harness.add_client();
        harness.call(client, "view", &format!("c{id}"), 400);
        if id == 0 {
            harness.connect(2);
        }
        harness.respond("hit", 2, value("v"));
        harness.advance(25);
    }
    let closed: String = harness
        .trace
        .lines()
        .filter(|line| line.contains("close"))
        .map(|line| format!("{line}\n"))
        .collect();
    expect![[r#"
        250   close client 1
        275   close client 3
        300   close client 4
    "#]]
    .assert_eq(&closed);
}

#[test]
fn drained_node_closes_clients_after_the_drain_notice() {
    let mut harness = Harness::builder().start();
    harness.reducer.on_listening();
    let idle = harness.add_client();
    let busy = harness.add_client();
    harness.call(busy, "view", "c1", 450);
    harness.connect(3);
    harness.report("out of service", |reducer, now| reducer.leave_service(now));
    harness.report("repeated", |reducer, now| reducer.leave_service(now));
    let front = harness.add_client();
    harness.report("ping", |reducer, now| {
        reducer.respond_ping(now, front, b"+PONG\r\n".to_vec())
    });
    harness.advance(360);
    let late = harness.add_client();
    harness.call(late, "view", "c2", 450);
    harness.respond("value", 3, value("v"));
    harness.advance(1200);
    harness.trace += &format!("ready: {}\n", harness.reducer.is_ready());
    for client in [idle, front] {
        harness.report("disconnected", |reducer, now| {
            reducer.on_client_disconnected(now, client)
        });
    }
    harness.report("in service", |reducer, now| reducer.enter_service(now));
    harness.report("ping", |reducer, now| {
        reducer.respond_ping(now, busy, b"+PONG\r\n".to_vec())
    });
    harness.trace += &format!("ready: {}\n", harness.reducer.is_ready());
    expect![[r#"
        0 call c1
        0   connect 3 to 1
        0 connected 3
        0   write 3: c1, time_left 447
        0 out of service
        0 repeated
        0 ping
        0   answer 4: plain
        60   connect 5 to 9
        160   close upstream 5
        350   close client 4 after 100 ms of silence
        350   close client 1 after 100 ms of silence
        360 call c2
        360   connect 7 to 1
        360 value
        360   answer 2: v
        360   close client 2 after 100 ms of silence
        420   connect 8 to 9
        460   close upstream 7
        520   close upstream 8
        520   connect 9 to 9
        620   close upstream 9
        620   answer 6: RateLimited(None)
        620   close client 6 after 100 ms of silence
        1160   close upstream 3
        1500   close client 1
        1500   close client 6
        1500   close client 4
        1500   close client 2
        ready: false
        1560 disconnected
        1560 disconnected
        1560 in service
        1560 ping
        1560   answer 2: plain
        1560   close client 2
        ready: true
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn client_receiving_a_streamed_value_is_not_evicted() {
    let (mut harness, reader) = Harness::builder()
        .limits(r#"{"sockets":32}"#)
        .with_call("view", 400);
    harness.report("connected", |reducer, now| {
        reducer.on_connected(now, UpstreamId(2))
    });
    harness.report("streaming starts", |reducer, now| {
        reducer.on_streaming_started(now, UpstreamId(2), 100_000)
    });
    harness.trace += &format!("active: {}\n", harness.reducer.metrics(Time(0)).active);
    harness.advance(2500);
    // Others connect until no socket is free. The client that receives the value is not closed to
    // free one.
    let others: Vec<_> = (0..8).map(|_| harness.add_client()).collect();
    let now = harness.time();
    let mut capacities = Vec::new();
    for _ in 0..3 {
        capacities.push(harness.reducer.ensure_accept_capacity(now));
        harness.note("another client");
    }
    harness.trace += &format!("{capacities:?}\n");
    others
        .into_iter()
        .for_each(|id| harness.reducer.on_client_disconnected(now, id));
    harness.report("streaming finished", |reducer, now| {
        reducer.on_streaming_finished(now, UpstreamId(2), true)
    });
    harness.call(reader, "view", "c2", 400);
    harness.report("streaming starts", |reducer, now| {
        reducer.on_streaming_started(now, UpstreamId(2), 100_000)
    });
    harness.disconnect("broken", 2);
    let metrics = harness.reducer.metrics(Time(0));
    harness.trace += &format!(
        "active {}, {:?}\n",
        metrics.active, metrics.responses["view"]
    );
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected
        0   write 2: c1, time_left 397
        0 streaming starts
        0   answer 1: Streamed { upstream: UpstreamId(2), size: 100000 }
        active: 1
        2500 another client
        2500 another client
        2500 another client
        [None, None, None]
        2500 streaming finished
        2500 call c2
        2500   write 2: c2, time_left 397
        2500 streaming starts
        2500   answer 1: Streamed { upstream: UpstreamId(2), size: 100000 }
        2500 broken
        2500   break off the value of client 1
        active 0, ResponseCounts { fulfilled: 1, rate_limited: 0, errored: 1 }
    "#]]
    .assert_eq(&harness.trace);
}

/// A planned restart may leave less time than a client timeout, and a call that is still open when
/// the process exits gets no response. Open and new calls must each get one response by the
/// response deadline.
#[test]
fn shutdown_deadline_bounds_open_and_new_calls() {
    let (mut harness, client) = Harness::builder().with_call_in_flight("book", 500);
    harness.report("response deadline set", |reducer, now| {
        reducer.set_response_deadline(now + Span::ms(100))
    });
    harness.advance(40);
    harness.call(client, "book", "c2", 500);
    harness.connect(3);
    harness.advance(1000);
    assert_eq!(harness.reducer.open_call_count(), 0);
    expect![[r#"
        0 call c1
        0   connect 2 to 1
        0 connected 2
        0   write 2: c1, time_left 497
        0 response deadline set
        40 call c2
        40   connect 3 to 1
        40 connected 3
        40   write 3: c2, time_left 60
        100   close upstream 3
        110   answer 1: Error("no answer in time")
        110   answer 1: Error("failed")
        110   close upstream 2
    "#]]
    .assert_eq(&harness.trace);
}
