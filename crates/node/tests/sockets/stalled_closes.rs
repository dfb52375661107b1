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

fn connect_idle(node: &Node) -> Vec<Client> {
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| node.client()).collect();
    for client in &mut clients {
        assert_eq!(client.ask(&["PING"]), "+PONG");
    }
    clients
}

// Guards against a timer that fires before what came during a stall is seen: a wait on the sockets that is interrupted by
// the stall reports no events, but time has passed.
#[test]
fn a_command_that_comes_amid_a_stall_of_the_wait_for_a_pause_is_answered() {
    let (tell, _seen) = channel();
    let cache = server("a", tell, |_| hit("v"));
    for stall in STALLS {
        let mut node = node_with_short_timeouts(cache);
        let mut clients = connect_idle(&node);
        node.signal("-TERM");
        node.says("shutdown requested");
        // The wait for a pause of 100 ms has begun.
        std::thread::sleep(Duration::from_millis(430));
        send_amid_stall(&node, &mut clients, stall);
        for (index, client) in clients.iter_mut().enumerate() {
            let answer = client.answer();
            assert!(
                answer == "v" || answer.starts_with("-BUSY"),
                "client {index} at a stall of {stall:?}: {answer}"
            );
        }
        assert!(node.child.wait().expect("an end").success());
    }
}
