//! The process is stalled between its last look at a client's connection and the close of it, and a command comes meanwhile.
use super::common::*;

/// Longer than a node that shuts down waits for its client's next command, and than the longest stall that is allowed.
const STALLS: [Duration; 2] = [Duration::from_millis(105), Duration::from_millis(145)];
/// Clients that are idle as the process is stalled.
const CLIENTS: usize = 8;

/// A node whose API calls have 100 ms: at SIGTERM it serves for 400 ms and disconnects its clients by 540 ms.
fn node_with_short_timeouts(cache: SocketAddr) -> Node {
    Node::with(
        &config(&[("a", cache)], "").replace("40000", "100"),
        DESCRIPTORS,
    )
}

/// Stops the process, has each client send a command, and lets the process go on after `stall`.
fn send_amid_stall(node: &Node, clients: &mut [Client], stall: Duration) {
    node.stop();
    let stopped_at = Instant::now();
    for (index, client) in clients.iter_mut().enumerate() {
        client.send(&command(&["OBJ.GET", "k", &format!("id{index}"), FACTS]));
    }
    std::thread::sleep(stall.saturating_sub(stopped_at.elapsed()));
    node.signal("-CONT");
}

/// Each client has an answer to its one API call: the value, or a rejection.
fn assert_answered(clients: &mut [Client], stall: Duration) {
    for (index, client) in clients.iter_mut().enumerate() {
        let answer = client.answer();
        assert!(
            answer == "v" || answer.starts_with("-BUSY"),
            "client {index} at a stall of {stall:?}: {answer}"
        );
    }
}

fn connect_idle(node: &Node) -> Vec<Client> {
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| node.client()).collect();
    for client in &mut clients {
        assert_eq!(client.ask(&["PING"]), "+PONG");
    }
    clients
}

/// A node with short timeouts that was just told to end, and its idle clients.
fn idle_clients_at_shutdown(cache: SocketAddr) -> (Node, Vec<Client>) {
    let mut node = node_with_short_timeouts(cache);
    let clients = connect_idle(&node);
    node.signal("-TERM");
    node.says("shutdown requested");
    (node, clients)
}

// Guards against a timer that fires before what came during a stall is seen: a wait on the sockets that is interrupted by
// the stall reports no events, but time has passed.
#[test]
fn a_command_that_comes_amid_a_stall_of_the_wait_for_a_pause_is_answered() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    for stall in STALLS {
        let (mut node, mut clients) = idle_clients_at_shutdown(cache);
        // The wait for a pause of 100 ms has begun.
        std::thread::sleep(Duration::from_millis(430));
        send_amid_stall(&node, &mut clients, stall);
        assert_answered(&mut clients, stall);
        assert!(node.child.wait().expect("an end").success());
    }
}

// The same where operators send clients away: 350 ms later the wait for a pause begins.
#[test]
fn a_command_that_comes_amid_a_stall_as_operators_send_clients_away_is_answered() {
    for stall in STALLS {
        let addr = free();
        let (node, _seen) = Setup::new()
            .server("a", |_| hit("v"))
            .keys(&format!(r#""ops":"{addr}","#))
            .start();
        let mut clients = connect_idle(&node);
        assert_eq!(
            operate(addr, "POST /control/out-of-service"),
            "200 OK: out of service"
        );
        std::thread::sleep(Duration::from_millis(400));
        send_amid_stall(&node, &mut clients, stall);
        assert_answered(&mut clients, stall);
    }
}

// The same where the next process takes over the listening socket: the wait begins with SIGTERM.
#[test]
fn a_command_that_comes_amid_a_stall_of_a_hand_over_is_answered() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    let config = config(&[("a", cache)], "").replace("40000", "1000");
    for stall in STALLS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut node = node_inheriting(&listener, &config, free());
        let mut clients = connect_idle(&node);
        node.signal("-TERM");
        std::thread::sleep(Duration::from_millis(40));
        send_amid_stall(&node, &mut clients, stall);
        assert_answered(&mut clients, stall);
        assert!(node.child.wait().expect("an end").success());
    }
}

// Fresh connections, accepted or not, as all clients are disconnected.
#[test]
fn a_first_command_that_comes_amid_a_stall_as_clients_are_disconnected_is_answered() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    for stall in STALLS {
        let mut node = node_with_short_timeouts(cache);
        node.signal("-TERM");
        node.says("shutdown requested");
        std::thread::sleep(Duration::from_millis(480));
        let mut clients: Vec<_> = (0..CLIENTS / 2).map(|_| node.client()).collect();
        std::thread::sleep(Duration::from_millis(40));
        node.stop();
        let stopped_at = Instant::now();
        clients.extend((0..CLIENTS / 2).map(|_| node.client()));
        for (index, client) in clients.iter_mut().enumerate() {
            client.send(&command(&["OBJ.GET", "k", &format!("id{index}"), FACTS]));
        }
        std::thread::sleep(stall.saturating_sub(stopped_at.elapsed()));
        node.signal("-CONT");
        assert_answered(&mut clients, stall);
        assert!(node.child.wait().expect("an end").success());
    }
}

// The other half of a command comes amid a stall, as clients are disconnected.
#[test]
fn a_command_whose_other_half_comes_amid_a_stall_is_answered() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    for stall in STALLS {
        let (mut node, mut clients) = idle_clients_at_shutdown(cache);
        std::thread::sleep(Duration::from_millis(450));
        let half = |index: usize| {
            let bytes = command(&["OBJ.GET", "k", &format!("id{index}"), FACTS]);
            let middle = bytes.len() / 2;
            (bytes[..middle].to_vec(), bytes[middle..].to_vec())
        };
        for (index, client) in clients.iter_mut().enumerate() {
            client.send(&half(index).0);
        }
        std::thread::sleep(Duration::from_millis(60));
        node.stop();
        let stopped_at = Instant::now();
        for (index, client) in clients.iter_mut().enumerate() {
            client.send(&half(index).1);
        }
        std::thread::sleep(stall.saturating_sub(stopped_at.elapsed()));
        node.signal("-CONT");
        assert_answered(&mut clients, stall);
        assert!(node.child.wait().expect("an end").success());
    }
}

// The same where the time for the whole command, 2.5 s, ends amid the stall.
#[test]
fn a_command_whose_other_half_comes_amid_a_stall_at_the_end_of_its_time_is_answered() {
    for stall in STALLS {
        let (node, _seen) = Setup::new().server("a", |_| hit("v")).start();
        let mut clients = connect_idle(&node);
        for client in &mut clients {
            assert_eq!(client.ask(&["OBJ.GET", "k", "id", FACTS]), "v");
        }
        let bytes = command(&["OBJ.GET", "k", "id", FACTS]);
        let (first, last) = bytes.split_at(bytes.len() / 2);
        clients.truncate(1);
        clients[0].send(first);
        std::thread::sleep(Duration::from_millis(2_460));
        node.stop();
        let stopped_at = Instant::now();
        clients[0].send(last);
        std::thread::sleep(stall.saturating_sub(stopped_at.elapsed()));
        node.signal("-CONT");
        assert_answered(&mut clients, stall);
    }
}

// A client that is silent at first has 2.5 s for its first command.
#[test]
fn a_first_command_that_comes_amid_a_stall_at_the_end_of_its_time_is_answered() {
    for stall in STALLS {
        let (node, _seen) = Setup::new().server("a", |_| hit("v")).start();
        let mut clients: Vec<_> = (0..CLIENTS).map(|_| node.client()).collect();
        std::thread::sleep(Duration::from_millis(2_460));
        send_amid_stall(&node, &mut clients, stall);
        assert_answered(&mut clients, stall);
    }
}
