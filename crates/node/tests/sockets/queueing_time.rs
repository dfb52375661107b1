//! The timeout that an attempt passes to its server, for commands that were queued before the node
//! accepted them.
use super::common::*;
use super::remaining_time::{
    next_timeout_ms, read_cache_timeout, read_origin_timeout, reported_timeout_ms,
    CLIENT_TIMEOUT_MS,
};
use super::syscalls::node_with;

/// How long a test delays a command.
const HOLD_DURATION: Duration = Duration::from_millis(600);
/// By how much a timeout may exceed the remaining time.
const TOLERANCE_MS: u64 = 150;

/// Largest timeout that may be passed on after a command was delayed, in milliseconds.
fn max_remaining_ms() -> u64 {
    CLIENT_TIMEOUT_MS - HOLD_DURATION.as_millis() as u64 + TOLERANCE_MS
}

/// All accepts fail for a while, so a client that has sent its command waits in the listen queue.
#[test]
fn timeout_excludes_time_in_the_listen_queue() {
    let (sender, reports) = channel();
    let cache = server_reading("a", sender, read_cache_timeout, |_| hit("v"));
    // 23 is ENFILE: 40 retries after 20 ms each take longer than `HOLD_DURATION`.
    let node = node_with("accept4:23:1:40:1", &[("a", cache)], "");
    let mut client = node.client();
    client.send(&command(&["OBJ.GET", "k", "id1", ATTRIBUTES]));
    assert!(next_timeout_ms(&reports, "a: id1") <= max_remaining_ms());
    assert_eq!(client.response(), "v");
    // A later command that is not delayed has its full timeout.
    let mut undelayed = node.client();
    undelayed.send(&command(&["OBJ.GET", "k", "id2", ATTRIBUTES]));
    let timeout_ms = next_timeout_ms(&reports, "a: id2");
    assert!(
        timeout_ms > CLIENT_TIMEOUT_MS - TOLERANCE_MS,
        "a timeout of {timeout_ms} ms"
    );
}

/// Two writes use up the memory, so a third one stays unread in the socket buffers meanwhile.
#[test]
fn timeout_excludes_time_waiting_for_memory() {
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv".to_vec();
    let (release, script) = hold_first_response(response, |_| ServerAction::Ignore);
    let (node, reports) = Setup::new()
        .server_reading("origin", read_origin_timeout, script)
        .keys(r#""limits":{"memory_mb":16},"#)
        .start();
    let mut clients = [node.client(), node.client(), node.client()];
    for (i, size) in [4 * 1024 * 1024, 1_000_000, 200_000]
        .into_iter()
        .enumerate()
    {
        let (id, value) = (format!("id{i}"), "w".repeat(size));
        clients[i].send(&command(&["OBJ.SET", "k", &id, "c=book,d=30000", &value]));
        if i < 2 {
            assert!(next_timeout_ms(&reports, &format!("origin: {id}")) <= CLIENT_TIMEOUT_MS);
        }
    }
    std::thread::sleep(HOLD_DURATION);
    release.send(()).expect("released");
    assert_eq!(clients[0].response(), "v");
    assert!(next_timeout_ms(&reports, "origin: id2") <= max_remaining_ms());
}

/// 128 responses are open, and more commands are queued behind them than the node reads ahead.
#[test]
fn timeout_excludes_time_unread_behind_other_commands() {
    let (release, script) = hold_first_response(hit_bytes("first"), |_| hit("v"));
    let (node, reports) = Setup::new()
        .server_reading("a", read_cache_timeout, script)
        .start();
    let mut client = node.client();
    let mut bytes = command(&["OBJ.GET", "k", "id0", ATTRIBUTES]);
    bytes.extend(command(&["PING"]).repeat(127));
    for i in 1..=40 {
        bytes.extend(command(&[
            "OBJ.GET",
            &format!("{i}{}", "k".repeat(1000)),
            &format!("id{i}"),
            ATTRIBUTES,
        ]));
    }
    client.send(&bytes);
    assert!(next_timeout_ms(&reports, "a: id0") <= CLIENT_TIMEOUT_MS);
    std::thread::sleep(HOLD_DURATION);
    release.send(()).expect("released");
    let mut max_timeout_ms = 0;
    for _ in 1..=40 {
        max_timeout_ms = max_timeout_ms.max(reported_timeout_ms(&next_report(&reports)));
    }
    assert!(
        max_timeout_ms <= max_remaining_ms(),
        "a timeout of {max_timeout_ms} ms, {} ms left",
        max_remaining_ms() - TOLERANCE_MS
    );
}

/// A server begins to execute a command at its last byte, so the timeout that was sent with the
/// first byte must not exceed the time left by then.
#[test]
fn timeout_of_a_large_value_excludes_its_sending_time() {
    let value = "w".repeat(1024 * 1024);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    socket2::SockRef::from(&listener)
        .set_recv_buffer_size(4096)
        .expect("a small buffer");
    let node = Node::start(
        &[("origin", listener.local_addr().expect("an address"))],
        "",
    );
    let mut client = node.client();
    client.send(&command(&["OBJ.SET", "k", "id", "c=book,d=30000", &value]));
    let sent_at = Instant::now();
    let (stream, _) = listener.accept().expect("a connection");
    stream
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a timeout");
    let mut reader = BufReader::with_capacity(1024, stream);
    let mut timeout_ms = None;
    while let Some(field) = read_line(&mut reader).filter(|field| !field.is_empty()) {
        timeout_ms = timeout_ms.or(field
            .strip_prefix("X-Facts: ")
            .and_then(super::remaining_time::timeout_ms_in));
    }
    for piece in value.as_bytes().chunks(value.len() / 6 + 1) {
        std::thread::sleep(HOLD_DURATION / 6);
        read_text(&mut reader, piece.len()).expect("a piece");
    }
    let remaining_ms = CLIENT_TIMEOUT_MS - sent_at.elapsed().as_millis() as u64;
    assert!(
        timeout_ms.is_some_and(|timeout_ms| timeout_ms <= remaining_ms + TOLERANCE_MS),
        "a timeout of {timeout_ms:?} ms, {remaining_ms} ms left"
    );
    reader
        .get_mut()
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
        .expect("answered");
    assert_eq!(client.response(), "v");
}
