//! Commands that cross the node's close of their connection, for each reason of a close.
use super::common::*;

/// Starts an embedded node with a client timeout of 100 ms and adjusted limits.
fn embedded(
    known: &[(&str, SocketAddr)],
    adjust: impl FnOnce(&mut quartzhub_node::limits::Limits),
) -> Embedded {
    let text = config(known, "").replace("40000", "100");
    let mut config = Config::parse(&text, Environment::default()).expect("a configuration");
    adjust(&mut config.limits);
    Embedded::start(config)
}

/// A limit that no test reaches.
fn unreached_limit() -> Span {
    Span::ms(EVENT_TIMEOUT.as_millis() as i64)
}

/// Half a command has been received when clients are disconnected: the other half has to be
/// awaited, and the command answered before the close.
#[test]
fn half_command_at_shutdown_is_completed_and_answered() {
    let (sender, reports) = channel();
    let cache = server("a", sender, |_| hit("v"));
    let node = embedded(&[("a", cache)], |limits| {
        limits.partial_command_timeout = unreached_limit();
        limits.final_partial_command_timeout = unreached_limit();
        limits.shutdown_disconnect_at = unreached_limit();
        limits.shutdown_exit_at = unreached_limit();
    });
    let (mut idle, mut partial_client) = (node.client(), node.client());
    assert_eq!(
        (idle.ask(&["PING"]), partial_client.ask(&["PING"])),
        ("+PONG".into(), "+PONG".into())
    );
    let bytes = command(&["OBJ.GET", "k", "id", "c=view,d=30000"]);
    let (first_half, last_half) = bytes.split_at(bytes.len() / 2);
    partial_client.send(first_half);
    // The node has read the half once another client has finished three round trips.
    (0..3).for_each(|_| assert_eq!(idle.ask(&["PING"]), "+PONG"));
    let node_thread = node.shut_down();
    assert_eq!(idle.response(), "closed");
    partial_client.send(last_half);
    // No call gets more time than the process has left, and this one is late: it gets some final
    // response and then the close.
    let response = partial_client.response();
    assert!(response == "v" || response.starts_with('-'), "{response}");
    assert_eq!(partial_client.response(), "closed");
    node_thread.join().expect("a node").expect("an end");
    assert_eq!(reports.try_iter().count(), usize::from(response == "v"));
}

/// The other half never arrives: the client has to be closed in a bounded time, and nothing is sent
/// to a server.
#[test]
fn half_command_delays_shutdown_for_a_bounded_time() {
    let (sender, reports) = channel();
    let cache = server("a", sender, |_| hit("v"));
    let node = embedded(&[("a", cache)], |limits| {
        limits.partial_command_timeout = unreached_limit();
        limits.final_partial_command_timeout = Span::ms(50);
        limits.shutdown_disconnect_at = unreached_limit();
        limits.shutdown_exit_at = unreached_limit();
    });
    let mut partial_client = node.client();
    assert_eq!(partial_client.ask(&["PING"]), "+PONG");
    partial_client.send(b"*4\r\n$7\r\nOBJ.");
    let started_at = Instant::now();
    let node_thread = node.shut_down();
    assert_eq!(partial_client.response(), "closed");
    drop(partial_client);
    node_thread.join().expect("a node").expect("an end");
    assert!(
        started_at.elapsed() < EVENT_TIMEOUT / 2,
        "the shutdown waited for the half command: {:?}",
        started_at.elapsed()
    );
    assert!(reports.try_recv().is_err());
}

/// A client that has sent a command is still in the listen queue when the time of the process is
/// over. It may be accepted and rejected or be reset, but its command must not be sent to a server,
/// as the response would be lost.
#[test]
fn command_in_the_listen_queue_at_the_end_is_not_sent() {
    let (sender, reports) = channel();
    let cache = server("a", sender, |_| hit("v"));
    for _ in 0..5 {
        let mut node = Node::with_config(
            &config(&[("a", cache)], "").replace("40000", "100"),
            DESCRIPTORS,
        );
        assert_eq!(node.client().ask(&["PING"]), "+PONG");
        node.signal("-TERM");
        node.await_log("shutdown requested");
        node.suspend();
        let mut late_client = node.client();
        late_client.send(&command(&["OBJ.GET", "k", "late", ATTRIBUTES]));
        // Longer than the client timeout of 100 ms and the 620 ms of the shutdown after it.
        std::thread::sleep(Duration::from_millis(800));
        node.signal("-CONT");
        let response = late_client.response();
        assert!(
            response == "closed" || response.starts_with("-BUSY"),
            "{response}"
        );
        assert!(node.child.wait().expect("an exit status").success());
        assert!(
            reports.try_recv().is_err(),
            "the command was sent to a server; the client got {response}"
        );
    }
}

/// A client is closed once it has been idle for 5 s. Here its command has arrived, but is unread,
/// when that time is over.
#[test]
fn unread_command_at_the_idle_timeout_is_answered() {
    let (node, _reports) = Setup::new().server("a", |_| hit("v")).start();
    let mut clients: Vec<_> = (0..10).map(|_| node.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        assert_eq!(
            client.ask(&["OBJ.GET", "k", &format!("first{i}"), ATTRIBUTES]),
            "v"
        );
    }
    std::thread::sleep(Duration::from_millis(4_000));
    node.suspend();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&command(&[
            "OBJ.GET",
            "k",
            &format!("second{i}"),
            ATTRIBUTES,
        ]));
    }
    std::thread::sleep(Duration::from_millis(1_500));
    node.signal("-CONT");
    for client in &mut clients {
        assert_eq!(client.response(), "v");
    }
}

/// The same for idle clients that are about to be closed in favour of new ones.
#[test]
fn unread_command_of_a_client_closed_for_another_is_answered() {
    let (node, _reports) = Setup::new()
        .server("a", |_| hit("v"))
        .keys(r#""limits":{"sockets":64,"memory_mb":32},"#)
        .start();
    // With some of the new clients these are more than the node may have at once.
    let mut idle: Vec<_> = (0..25).map(|_| node.client()).collect();
    idle.iter_mut()
        .for_each(|client| assert_eq!(client.ask(&["PING"]), "+PONG"));
    // Idle for long enough to be closed in favour of others.
    std::thread::sleep(Duration::from_millis(100));
    node.suspend();
    let mut others: Vec<_> = (0..60).map(|_| node.client()).collect();
    others
        .iter_mut()
        .for_each(|client| client.send(&command(&["PING"])));
    for (i, client) in idle.iter_mut().enumerate() {
        client.send(&command(&["OBJ.GET", "k", &format!("id{i}"), ATTRIBUTES]));
    }
    node.signal("-CONT");
    for (i, client) in idle.iter_mut().enumerate() {
        let response = client.response();
        assert!(
            response == "v" || response.starts_with("-BUSY"),
            "client {i}: {response}"
        );
    }
    others
        .iter_mut()
        .for_each(|client| assert_eq!(client.response(), "+PONG"));
}

/// A command sent on a connection that the node has already closed is not read, and its client sees
/// the close.
#[test]
fn command_after_the_close_of_an_idle_client_is_not_sent() {
    let (sender, reports) = channel();
    let cache = server("a", sender, |_| hit("v"));
    let node = embedded(&[("a", cache)], |limits| {
        limits.client_idle_timeout = Span::ms(100)
    });
    let mut client = node.client();
    assert_eq!(client.ask(&["OBJ.GET", "k", "id1", ATTRIBUTES]), "v");
    assert_eq!(next_report(&reports), "a: OBJ.GET k id1");
    // The close has arrived, but the client has not noticed it yet.
    let peeked = client.0.get_ref().peek(&mut [0]);
    assert!(matches!(peeked, Ok(0)), "{peeked:?}");
    let _ = client
        .0
        .get_mut()
        .write_all(&command(&["OBJ.GET", "k", "id2", ATTRIBUTES]));
    assert_eq!(client.response(), "closed");
    assert_eq!(node.client().ask(&["OBJ.GET", "k", "id3", ATTRIBUTES]), "v");
    assert_eq!(next_report(&reports), "a: OBJ.GET k id3");
}

// Regression test: a client that is being disconnected has more commands in the node's buffer than
// may be open at once. Those beyond the limit were dropped when the others had been answered.
#[test]
fn commands_beyond_the_limit_of_open_calls_are_answered_before_the_close() {
    const COMMAND_COUNT: usize = 200;
    let (release, script) = hold_first_response(hit_bytes("first"), |_| hit("v"));
    let addr = free_address();
    let (node, reports) = Setup::new()
        .server("a", script)
        .keys(&format!(r#""ops":"{addr}","#))
        .start();
    let mut client = node.client();
    client.send(&command(&["OBJ.GET", "k", "id", ATTRIBUTES]));
    assert_eq!(next_report(&reports), "a: OBJ.GET k id");
    leave_service(addr);
    // From 1.7 s on clients are disconnected.
    std::thread::sleep(Duration::from_millis(1_800));
    let ids = (0..COMMAND_COUNT).map(|number| format!("id{number}"));
    let commands: Vec<u8> = ids
        .flat_map(|id| command(&["OBJ.GET", "k", &id, ATTRIBUTES]))
        .collect();
    client.send(&commands);
    release.send(()).expect("the server waits");
    assert_eq!(client.response(), "first");
    for number in 0..COMMAND_COUNT {
        let response = client.response();
        assert!(
            response == "v" || response.starts_with("-BUSY"),
            "command {number}: {response}"
        );
    }
    assert_eq!(client.response(), "closed");
}
