//! Ids that come again: a call that must not run twice is sent once, whoever sends its command again.
use super::common::*;

/// Number of calls whose clients leave, each after another time.
const CALLS: u64 = 60;
/// How long the origin takes to respond.
const RESPONSE_TIME: Duration = Duration::from_millis(20);

/// Sends calls whose clients leave, and each of them again on another connection. Asserts that the
/// origin gets each id once.
fn assert_sent_once(node: &Node, reports: &Receiver<String>) {
    for call in 0..CALLS {
        let id = format!("id{call}");
        let words = ["OBJ.SET", "k", &id, "c=book,d=30000", "v"];
        let mut client = node.client();
        client.send(&command(&words));
        std::thread::sleep(Duration::from_micros(call * 400));
        drop(client);
        node.client().ask(&words);
    }
    std::thread::sleep(RESPONSE_TIME * 3);
    let mut reached: Vec<String> = reports.try_iter().collect();
    let attempts = reached.len();
    reached.sort();
    reached.dedup();
    assert_eq!(attempts, reached.len(), "an id reached the origin twice");
}

#[test]
fn id_that_comes_again_after_its_client_has_left_runs_once() {
    let (sender, reports) = channel();
    let origin = server("origin", sender, |_| {
        ServerAction::RespondAfter(RESPONSE_TIME, http_bytes("200 OK", "done"))
    });
    let node = Node::start(&[("origin", origin)], "");
    assert_sent_once(&node, &reports);
}

// During an upgrade two processes accept from one listening socket.
#[test]
fn id_that_comes_again_at_the_other_process_of_an_upgrade_runs_once() {
    let (sender, reports) = channel();
    let origin = server("origin", sender, |_| {
        ServerAction::RespondAfter(RESPONSE_TIME, http_bytes("200 OK", "done"))
    });
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let config = config(&[("origin", origin)], "");
    let node = node_inheriting(&listener, &config, free_address());
    let _next = node_inheriting(&listener, &config, free_address());
    assert_sent_once(&node, &reports);
}
