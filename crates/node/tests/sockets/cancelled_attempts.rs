//! Attempts that no client waits for any more: their client has disconnected, or another attempt
//! has replaced them.
use std::sync::atomic::{AtomicBool, Ordering};

use super::common::*;
use super::syscalls::{library, node_with};

/// Length of the stall between the node's decision to send an attempt and the write, in
/// milliseconds.
const STALL_MS: u64 = 300;

/// The client disconnects while the node is stalled between its decision to send an attempt and the
/// write. The node has to look at the client's connection again before it writes.
#[test]
fn stalled_attempt_of_disconnected_client_is_not_sent() {
    let (sender, reports) = channel();
    let cache = server("a", sender, |_| hit("v"));
    // The first peek at an upstream precedes the first attempt on a new connection, the second one
    // that on a connection that is reused.
    for peek in [1, 2] {
        let node = node_with(
            &format!("peek:{}:{peek}:1:1", 1000 + STALL_MS),
            &[("a", cache)],
            "",
        );
        let mut staying = node.client();
        let mut disconnecting = node.client();
        assert_eq!(disconnecting.ask(&["PING"]), "+PONG");
        if peek == 2 {
            assert_eq!(staying.ask(&["OBJ.GET", "k", "first", ATTRIBUTES]), "v");
            assert_eq!(next_report(&reports), "a: OBJ.GET k first");
        }
        disconnecting.send(&command(&["OBJ.GET", "k", "left", ATTRIBUTES]));
        // The node has read the command and is stalled before the write.
        std::thread::sleep(Duration::from_millis(STALL_MS / 3));
        drop(disconnecting);
        assert_eq!(staying.ask(&["OBJ.GET", "k", "last", ATTRIBUTES]), "v");
        assert_eq!(next_report(&reports), "a: OBJ.GET k last", "peek {peek}");
    }
}

/// Attempts may not be cancelled here, but one whose value its server has not received whole has
/// not begun, so it may still be aborted.
#[test]
fn half_sent_value_of_disconnected_client_stays_partial() {
    let value = "w".repeat(4 * 1024 * 1024);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    socket2::SockRef::from(&listener)
        .set_recv_buffer_size(4096)
        .expect("a small buffer");
    let known = [("origin", listener.local_addr().expect("an address"))];
    let node = Node::with_config(
        &config(&known, "").replace(r#""Cancelling":true"#, r#""Cancelling":false"#),
        DESCRIPTORS,
    );
    let (mut disconnecting, mut staying) = (node.client(), node.client());
    disconnecting.send(&command(&["OBJ.SET", "k", "id", "c=book,d=30000", &value]));
    let (mut stream, _) = listener.accept().expect("a connection");
    stream.read_exact(&mut [0; 64]).expect("the beginning");
    drop(disconnecting);
    // The node has noticed the disconnect of one client once another one has finished three round
    // trips.
    (0..3).for_each(|_| assert_eq!(staying.ask(&["PING"]), "+PONG"));
    stream
        .set_read_timeout(Some(Duration::from_secs(2)))
        .expect("a timeout");
    let mut rest = Vec::new();
    let _ = stream.take(value.len() as u64).read_to_end(&mut rest);
    assert!(
        rest.len() < value.len(),
        "the whole value arrived after its client had disconnected"
    );
}

/// If a call may have only one attempt in flight, the connection of a cancelled attempt has to be
/// closed before the next attempt is written.
#[test]
fn cancelled_attempt_is_closed_before_the_next_is_sent() {
    let (sender, _reports) = channel();
    let hangs = Arc::new(AtomicBool::new(true));
    let caches = ["a", "b", "c"].map(|name| {
        let hangs = hangs.clone();
        let script = move |words: &str| match words.contains("hang")
            && hangs.swap(false, Ordering::Relaxed)
        {
            true => ServerAction::Ignore,
            false => hit("v"),
        };
        (name, server(name, sender.clone(), script))
    });
    let call_log = std::env::temp_dir().join(format!("quartzhub-calls-{}", std::process::id()));
    let environment = [("LD_PRELOAD", library()), ("CALL_LOG", call_log.clone())];
    let text = config(&caches, "");
    let text = text
        .replace(r#""MayDuplicate":true"#, r#""MayDuplicate":false"#)
        .replace("20000", "200");
    let node = Node::with_environment(&text, DESCRIPTORS, &environment);
    let mut client = node.client();
    // Opens an idle connection to each cache.
    for i in 0..40 {
        assert_eq!(
            client.ask(&["OBJ.GET", &format!("k{i}"), &format!("id{i}"), ATTRIBUTES]),
            "v"
        );
    }
    std::fs::write(&call_log, "").expect("an empty log");
    assert_eq!(client.ask(&["OBJ.GET", "hang", "id", ATTRIBUTES]), "v");
    let calls = std::fs::read_to_string(&call_log).expect("a log");
    std::fs::remove_file(&call_log).expect("removed");
    let ports = caches.map(|(_, addr)| addr.port().to_string());
    let to_caches = calls.lines().filter_map(|line| line.split_once(' '));
    let to_caches: Vec<_> = to_caches
        .filter(|call| ports.contains(&call.1.to_owned()))
        .collect();
    let (first, rest) = to_caches.split_first().expect("an attempt");
    let closed_at = rest
        .iter()
        .position(|call| call.0 != "send" && call.1 == first.1);
    let next_sent_at = rest
        .iter()
        .position(|call| call.0 == "send" && call.1 != first.1);
    assert!(
        closed_at.is_some() && next_sent_at.is_some() && closed_at < next_sent_at,
        "{to_caches:?}"
    );
}
