//! Commands behind the read of a large value, on connections that the node is about to close.
use super::common::*;

/// Size of a value that is streamed, in bytes.
const LARGE_BYTES: usize = 300_000;
/// Size of the value of a large write, in bytes: more than the node reads from a socket at once.
const WRITE_BYTES: usize = 50_000;
/// Number of clients that send at the same time.
const CLIENT_COUNT: usize = 4;
/// Pause of a client between two pairs of commands.
const PAUSE: Duration = Duration::from_millis(5);
/// Most pairs of commands that a client sends before its connection has to be closed.
const MAX_PAIRS: usize = 10_000;

/// Starts a cache with a large value and an origin that takes writes.
fn large_value_servers() -> (SocketAddr, SocketAddr) {
    let value = "v".repeat(LARGE_BYTES);
    let cache = server("a", channel().0, move |_| hit(&value));
    let origin = server("origin", channel().0, |_| http("200 OK", "written"));
    (cache, origin)
}

/// Encodes a read of a large value and a second command, a read or a write.
fn pair_of_commands(client: usize, pair: usize) -> Vec<u8> {
    let id = format!("{client}-{pair}");
    let mut commands = command(&["OBJ.GET", "k", &id, ATTRIBUTES]);
    let value = "w".repeat(WRITE_BYTES);
    commands.extend(match client % 2 {
        0 => command(&["OBJ.GET", "k", &format!("{id}-second"), ATTRIBUTES]),
        _ => command(&[
            "OBJ.SET",
            "k",
            &format!("{id}-second"),
            "c=book,d=30000",
            &value,
        ]),
    });
    commands
}

/// Sends pairs of commands, each in one write, until the connection is closed. Asserts that the
/// second command of a pair is answered if the first one is: the node has had both since before it
/// answered.
fn assert_second_commands_are_answered(client: &mut Client, index: usize) {
    for pair in 0..MAX_PAIRS {
        let commands = pair_of_commands(index, pair);
        if client.0.get_mut().write_all(&commands).is_err() {
            return;
        }
        let mut line = String::new();
        // A reset is a close that crosses the pair.
        if client.0.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        if line.starts_with('$') {
            read_text(&mut client.0, LARGE_BYTES + 2).expect("a whole value");
        }
        let second = client.response();
        assert_ne!(
            second, "closed",
            "client {index}, pair {pair}, after {line}"
        );
        std::thread::sleep(PAUSE);
    }
    panic!("client {index} has not been closed");
}

/// Runs clients that send pairs of commands until they are closed; `close` makes the node close
/// them.
fn assert_pairs_survive(node: &Node, close: impl FnOnce()) {
    let mut clients: Vec<_> = (0..CLIENT_COUNT).map(|_| node.client()).collect();
    std::thread::scope(|scope| {
        for (index, client) in clients.iter_mut().enumerate() {
            scope.spawn(move || assert_second_commands_are_answered(client, index));
        }
        std::thread::sleep(Duration::from_millis(100));
        close();
    });
}

// Regression test: a command that was read as its client's large value ended was dropped when the
// client was closed.
#[test]
fn command_behind_a_large_value_is_answered_when_out_of_service() {
    let (cache, origin) = large_value_servers();
    let addr = free_address();
    let node = Node::start(
        &[("a", cache), ("origin", origin)],
        &format!(r#""ops":"{addr}","#),
    );
    assert_pairs_survive(&node, || {
        leave_service(addr);
    });
}

// The same for a read that is sent while the value is coming.
#[test]
fn read_behind_an_incomplete_large_value_is_answered_when_out_of_service() {
    let (release, released) = channel();
    let mut large = Some((released, hit_bytes(&"v".repeat(LARGE_BYTES))));
    let cache = server("a", channel().0, move |_| match large.take() {
        Some((released, bytes)) => ServerAction::RestOnRelease(released, bytes),
        None => hit("second"),
    });
    let addr = free_address();
    let node = Node::start(&[("a", cache)], &format!(r#""ops":"{addr}","#));
    let mut client = node.client();
    client.send(&command(&["OBJ.GET", "k", "id1", ATTRIBUTES]));
    // The value has begun.
    assert_eq!(read_line(&mut client.0), Some(format!("${LARGE_BYTES}")));
    leave_service(addr);
    // From 350 ms on the node closes clients that have no command open.
    std::thread::sleep(Duration::from_millis(400));
    client.send(&command(&["OBJ.GET", "k", "id2", ATTRIBUTES]));
    release.send(()).expect("the server waits");
    read_text(&mut client.0, LARGE_BYTES + 2).expect("a whole value");
    assert_eq!(client.response(), "second");
    assert_eq!(client.response(), "closed");
}

// The same at the end of a shutdown.
#[test]
fn command_behind_a_large_value_is_answered_at_a_shutdown() {
    let (cache, origin) = large_value_servers();
    let known = [("a", cache), ("origin", origin)];
    let config = config(&known, "").replace("40000", "300");
    let mut node = Node::with_config(&config, DESCRIPTORS);
    assert_pairs_survive(&node, || node.signal("-TERM"));
    assert!(node.child.wait().expect("an exit status").success());
}

// The same when the next process takes over the listening socket.
#[test]
fn command_behind_a_large_value_is_answered_at_a_takeover() {
    let (cache, origin) = large_value_servers();
    let config = config(&[("a", cache), ("origin", origin)], "").replace("40000", "1000");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut node = node_inheriting(&listener, &config, free_address());
    assert_pairs_survive(&node, || node.signal("-TERM"));
    assert!(node.child.wait().expect("an exit status").success());
}

// The same for idle clients that are closed in favour of new ones, with the commands unread at that
// moment.
#[test]
fn command_behind_a_large_value_is_answered_by_a_client_closed_for_another() {
    let (cache, origin) = large_value_servers();
    let node = Node::start(
        &[("a", cache), ("origin", origin)],
        r#""limits":{"sockets":64,"memory_mb":64},"#,
    );
    let mut idle: Vec<_> = (0..20).map(|_| node.client()).collect();
    for client in &mut idle {
        assert_eq!(client.ask(&["PING"]), "+PONG");
    }
    // Idle for long enough to be closed in favour of others.
    std::thread::sleep(Duration::from_millis(100));
    node.suspend();
    let mut others: Vec<_> = (0..60).map(|_| node.client()).collect();
    others
        .iter_mut()
        .for_each(|client| client.send(&command(&["PING"])));
    for (index, client) in idle.iter_mut().enumerate() {
        client.send(&pair_of_commands(index, 0));
    }
    node.signal("-CONT");
    for (index, client) in idle.iter_mut().enumerate() {
        for number in 0..2 {
            let response = client.response();
            assert!(
                response != "closed" && response != "cut",
                "client {index}, command {number}: {response}"
            );
        }
    }
}
