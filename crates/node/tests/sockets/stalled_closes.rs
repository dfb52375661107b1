//! A command arrives while the process is stalled between its last read from a client's connection
//! and the close of it.
use super::common::*;

/// Lengths of a stall: longer than the 100 ms for which a node that shuts down waits for its
/// client's next command, and nearly the longest stall that is allowed.
const STALLS: [Duration; 2] = [Duration::from_millis(105), Duration::from_millis(145)];
/// Number of clients that are idle when the process is stalled.
const CLIENT_COUNT: usize = 8;

/// Starts a node with a client timeout of 100 ms, which serves for 400 ms after SIGTERM and
/// disconnects its clients within 540 ms.
fn node_with_short_timeouts(cache: SocketAddr) -> Node {
    Node::with_config(
        &config(&[("a", cache)], "").replace("40000", "100"),
        DESCRIPTORS,
    )
}

/// Suspends the process, sends a command from each client, and resumes the process after `stall`.
fn send_during_stall(node: &Node, clients: &mut [Client], stall: Duration) {
    node.suspend();
    let stopped_at = Instant::now();
    for (index, client) in clients.iter_mut().enumerate() {
        client.send(&command(&[
            "OBJ.GET",
            "k",
            &format!("id{index}"),
            ATTRIBUTES,
        ]));
    }
    std::thread::sleep(stall.saturating_sub(stopped_at.elapsed()));
    node.signal("-CONT");
}

/// Asserts that each client gets a response to its API call: the value or a rejection.
fn assert_answered(clients: &mut [Client], stall: Duration) {
    for (index, client) in clients.iter_mut().enumerate() {
        let response = client.response();
        assert!(
            response == "v" || response.starts_with("-BUSY"),
            "client {index} at a stall of {stall:?}: {response}"
        );
    }
}

fn connect_idle(node: &Node) -> Vec<Client> {
    let mut clients: Vec<_> = (0..CLIENT_COUNT).map(|_| node.client()).collect();
    for client in &mut clients {
        assert_eq!(client.ask(&["PING"]), "+PONG");
    }
    clients
}

/// Starts a node with short timeouts and idle clients and begins its shutdown.
fn idle_clients_at_shutdown(cache: SocketAddr) -> (Node, Vec<Client>) {
    let mut node = node_with_short_timeouts(cache);
    let clients = connect_idle(&node);
    node.signal("-TERM");
    node.await_log("shutdown requested");
    (node, clients)
}

// Regression test: a poll of the sockets that the stall interrupts returns no events although time
// has passed. A timer that fires then must not close the connection before the commands that
// arrived during the stall are read.
#[test]
fn command_in_a_stall_before_the_shutdown_close_is_answered() {
    let (sender, _reports) = channel();
    let cache = server("a", sender, |_| hit("v"));
    for stall in STALLS {
        let (mut node, mut clients) = idle_clients_at_shutdown(cache);
        // The node now waits for 100 ms without a command before it closes a client.
        std::thread::sleep(Duration::from_millis(430));
        send_during_stall(&node, &mut clients, stall);
        assert_answered(&mut clients, stall);
        assert!(node.child.wait().expect("an exit status").success());
    }
}

// The same when the node is taken out of service: the wait for a pause of the client begins 350 ms
// later.
#[test]
fn command_in_a_stall_when_out_of_service_is_answered() {
    for stall in STALLS {
        let addr = free_address();
        let (node, _reports) = Setup::new()
            .server("a", |_| hit("v"))
            .keys(&format!(r#""ops":"{addr}","#))
            .start();
        let mut clients = connect_idle(&node);
        leave_service(addr);
        std::thread::sleep(Duration::from_millis(400));
        send_during_stall(&node, &mut clients, stall);
        assert_answered(&mut clients, stall);
    }
}

// The same when the next process takes over the listening socket: the wait begins at SIGTERM.
#[test]
fn command_in_a_stall_of_a_takeover_is_answered() {
    let (sender, _reports) = channel();
    let cache = server("a", sender, |_| hit("v"));
    let config = config(&[("a", cache)], "").replace("40000", "1000");
    for stall in STALLS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut node = node_inheriting(&listener, &config, free_address());
        let mut clients = connect_idle(&node);
        node.signal("-TERM");
        std::thread::sleep(Duration::from_millis(40));
        send_during_stall(&node, &mut clients, stall);
        assert_answered(&mut clients, stall);
        assert!(node.child.wait().expect("an exit status").success());
    }
}

// New connections, accepted or not, while all clients are being disconnected.
#[test]
fn first_command_in_a_stall_of_the_disconnect_is_answered() {
    let (sender, _reports) = channel();
    let cache = server("a", sender, |_| hit("v"));
    for stall in STALLS {
        let mut node = node_with_short_timeouts(cache);
        node.signal("-TERM");
        node.await_log("shutdown requested");
        std::thread::sleep(Duration::from_millis(480));
        let mut clients: Vec<_> = (0..CLIENT_COUNT / 2).map(|_| node.client()).collect();
        std::thread::sleep(Duration::from_millis(40));
        node.suspend();
        let stopped_at = Instant::now();
        clients.extend((0..CLIENT_COUNT / 2).map(|_| node.client()));
        for (index, client) in clients.iter_mut().enumerate() {
            client.send(&command(&[
                "OBJ.GET",
                "k",
                &format!("id{index}"),
                ATTRIBUTES,
            ]));
        }
        std::thread::sleep(stall.saturating_sub(stopped_at.elapsed()));
        node.signal("-CONT");
        assert_answered(&mut clients, stall);
        assert!(node.child.wait().expect("an exit status").success());
    }
}

// The second half of a command arrives during a stall, while clients are being disconnected.
#[test]
fn second_half_in_a_stall_of_the_disconnect_is_answered() {
    let (sender, _reports) = channel();
    let cache = server("a", sender, |_| hit("v"));
    for stall in STALLS {
        let (mut node, mut clients) = idle_clients_at_shutdown(cache);
        std::thread::sleep(Duration::from_millis(450));
        let halves = |index: usize| {
            let bytes = command(&["OBJ.GET", "k", &format!("id{index}"), ATTRIBUTES]);
            let middle = bytes.len() / 2;
            (bytes[..middle].to_vec(), bytes[middle..].to_vec())
        };
        for (index, client) in clients.iter_mut().enumerate() {
            client.send(&halves(index).0);
        }
        std::thread::sleep(Duration::from_millis(60));
        node.suspend();
        let stopped_at = Instant::now();
        for (index, client) in clients.iter_mut().enumerate() {
            client.send(&halves(index).1);
        }
        std::thread::sleep(stall.saturating_sub(stopped_at.elapsed()));
        node.signal("-CONT");
        assert_answered(&mut clients, stall);
        assert!(node.child.wait().expect("an exit status").success());
    }
}

// The same when the timeout for a whole command, 2.5 s, passes during the stall.
#[test]
fn second_half_in_a_stall_over_its_timeout_is_answered() {
    for stall in STALLS {
        let (node, _reports) = Setup::new().server("a", |_| hit("v")).start();
        let mut clients = connect_idle(&node);
        for client in &mut clients {
            assert_eq!(client.ask(&["OBJ.GET", "k", "id", ATTRIBUTES]), "v");
        }
        let bytes = command(&["OBJ.GET", "k", "id", ATTRIBUTES]);
        let (first_half, second_half) = bytes.split_at(bytes.len() / 2);
        clients.truncate(1);
        clients[0].send(first_half);
        std::thread::sleep(Duration::from_millis(2_460));
        node.suspend();
        let stopped_at = Instant::now();
        clients[0].send(second_half);
        std::thread::sleep(stall.saturating_sub(stopped_at.elapsed()));
        node.signal("-CONT");
        assert_answered(&mut clients, stall);
    }
}

// Regression test: the same for a second half that is longer than one read from the socket.
#[test]
fn long_second_half_in_a_stall_over_its_timeout_is_answered() {
    let value = "w".repeat(60_000);
    for stall in STALLS {
        let (node, _reports) = Setup::new()
            .server("a", |_| hit("v"))
            .server("origin", |_| http("200 OK", "written"))
            .start();
        let mut clients = connect_idle(&node);
        let write = |index: usize| {
            let id = format!("write{index}");
            command(&["OBJ.SET", "k", &id, "c=book,d=30000", &value])
        };
        for (index, client) in clients.iter_mut().enumerate() {
            assert_eq!(client.ask(&["OBJ.GET", "k", "id", ATTRIBUTES]), "v");
            client.send(&write(index)[..100]);
        }
        std::thread::sleep(Duration::from_millis(2_460));
        node.suspend();
        let stopped_at = Instant::now();
        for (index, client) in clients.iter_mut().enumerate() {
            client.send(&write(index)[100..]);
        }
        std::thread::sleep(stall.saturating_sub(stopped_at.elapsed()));
        node.signal("-CONT");
        for client in &mut clients {
            assert_eq!(client.response(), "written");
        }
    }
}

// A new client has 2.5 s to send its first command, and this timeout passes during the stall.
#[test]
fn first_command_in_a_stall_over_its_timeout_is_answered() {
    for stall in STALLS {
        let (node, _reports) = Setup::new().server("a", |_| hit("v")).start();
        let mut clients: Vec<_> = (0..CLIENT_COUNT).map(|_| node.client()).collect();
        std::thread::sleep(Duration::from_millis(2_460));
        send_during_stall(&node, &mut clients, stall);
        assert_answered(&mut clients, stall);
    }
}
