//! Commands that the node has read in part when a value before them is streamed, and commands behind
//! a write that it rejects.
use super::common::*;

/// Size of a value that is streamed, in bytes.
const LARGE_BYTES: usize = 300_000;
/// Size of the longest value, in bytes.
const HUGE_BYTES: usize = 4 * 1024 * 1024;
/// Size of the value of a large write, in bytes.
const WRITE_BYTES: usize = 200_000;
/// Number of clients that send at the same time.
const CLIENT_COUNT: usize = 4;
/// Time in which the node receives and forwards what it has been sent.
const FORWARD_TIME: Duration = Duration::from_millis(100);

/// Connects a client that sends the beginning of the longest write, so that the node reserves memory
/// for it, and nothing more.
fn client_holding_memory(node: &Node) -> Client {
    let mut client = node.client();
    let words = ["OBJ.SET", "k", "half", "c=book,d=30000"];
    let mut beginning = command(&words);
    beginning[1] = b'5';
    beginning.extend(format!("${HUGE_BYTES}\r\n").into_bytes());
    client.send(&beginning);
    std::thread::sleep(FORWARD_TIME);
    client
}

// Regression test: the time for which the node does not read, as it streams a value, counted as time
// that the client took for the rest of its command, which was rejected as incomplete.
#[test]
fn write_partly_read_before_a_long_value_is_answered() {
    let releases = Arc::new(Mutex::new(Vec::new()));
    let value = "v".repeat(HUGE_BYTES);
    let (releases_of_cache, large) = (releases.clone(), hit_bytes(&value));
    let cache = server("a", channel().0, move |_| {
        let (release, released) = channel();
        releases_of_cache.lock().expect("a list").push(release);
        ServerAction::RestOnRelease(released, large.clone())
    });
    let origin = server("origin", channel().0, |_| http("200 OK", "written"));
    let node = Node::start(
        &[("a", cache), ("origin", origin)],
        r#""limits":{"memory_mb":16},"#,
    );
    let _memory_holder = client_holding_memory(&node);
    let written = "w".repeat(WRITE_BYTES);
    let mut clients: Vec<_> = (0..CLIENT_COUNT).map(|_| node.client()).collect();
    let write = |index: usize| {
        let id = format!("write{index}");
        command(&["OBJ.SET", "k", &id, "c=book,d=30000", &written])
    };
    for (index, client) in clients.iter_mut().enumerate() {
        let read = command(&["OBJ.GET", "k", &format!("read{index}"), ATTRIBUTES]);
        client.send(&[&read, &write(index)[..WRITE_BYTES / 8]].concat());
    }
    for client in &mut clients {
        // The value has begun.
        assert_eq!(read_line(&mut client.0), Some(format!("${HUGE_BYTES}")));
    }
    // Longer than a client may take for a command.
    std::thread::sleep(Duration::from_millis(2_700));
    for (index, client) in clients.iter_mut().enumerate() {
        client.send(&write(index)[WRITE_BYTES / 8..]);
    }
    for release in releases.lock().expect("a list").drain(..) {
        release.send(()).expect("the server waits");
    }
    for (index, client) in clients.iter_mut().enumerate() {
        read_text(&mut client.0, HUGE_BYTES + 2).expect("a whole value");
        assert_eq!(client.response(), "written", "client {index}");
    }
}

/// Starts a node with a cache that sends the first half of a large value once told to, and closes
/// the connection and its listener when the returned channel is dropped.
fn node_with_breaking_value(keys: &str) -> (Node, Sender<()>) {
    let whole = hit_bytes(&"v".repeat(LARGE_BYTES));
    let (first_half, rest) = whole.split_at(LARGE_BYTES / 2);
    let (cache, release) = piecewise_server(vec![first_half.to_vec(), rest.to_vec()]);
    let origin = server("origin", channel().0, |words| {
        match words.split(' ').next() {
            Some("PUT") => http("200 OK", "written"),
            _ => ServerAction::Close,
        }
    });
    let node = Node::start(&[("a", cache), ("origin", origin)], keys);
    (node, release)
}

/// Asserts that the read of the broken value fails, and that the write behind it is answered.
fn assert_only_the_read_fails(client: &mut Client) {
    let first = client.response();
    assert!(first.starts_with('-'), "the read: {first:.20}");
    assert_eq!(client.response(), "written");
}

// Regression test: a value that breaks off while it is streamed can only end with a close, and a
// command that had been read in part before the value began was never answered.
#[test]
fn write_partly_read_before_a_value_that_breaks_off_is_answered() {
    let (node, release) = node_with_breaking_value("");
    let mut client = node.client();
    let write = command(&["OBJ.SET", "k", "id2", "c=book,d=30000", "w"]);
    let (first_part, last_part) = write.split_at(write.len() / 2);
    let read = command(&["OBJ.GET", "k", "id1", ATTRIBUTES]);
    client.send(&[&read, first_part].concat());
    std::thread::sleep(FORWARD_TIME);
    release.send(()).expect("the server waits");
    std::thread::sleep(FORWARD_TIME);
    client.send(last_part);
    std::thread::sleep(FORWARD_TIME);
    drop(release);
    assert_only_the_read_fails(&mut client);
}

// The same for a whole command that lies unread when the value begins, as the client is to be closed.
#[test]
fn write_unread_before_a_value_that_breaks_off_is_answered_when_out_of_service() {
    let addr = free_address();
    let (node, release) = node_with_breaking_value(&format!(r#""ops":"{addr}","#));
    let mut client = node.client();
    client.send(&command(&["OBJ.GET", "k", "id1", ATTRIBUTES]));
    leave_service(addr);
    // From 1.7 s on nothing is read from a client with an open call.
    std::thread::sleep(Duration::from_millis(1_800));
    client.send(&command(&["OBJ.SET", "k", "id2", "c=book,d=30000", "w"]));
    release.send(()).expect("the server waits");
    std::thread::sleep(FORWARD_TIME);
    drop(release);
    assert_only_the_read_fails(&mut client);
}

// Regression test: a large write for which there is no memory is rejected, and its client was closed
// over the commands behind it.
#[test]
fn command_behind_a_large_write_without_memory_is_answered() {
    let node = Node::start(
        &[("a", server("a", channel().0, |_| hit("v")))],
        r#""limits":{"memory_mb":16},"#,
    );
    let _memory_holder = client_holding_memory(&node);
    let mut client = node.client();
    assert_eq!(client.ask(&["OBJ.GET", "k", "id1", ATTRIBUTES]), "v");
    let value = "w".repeat(HUGE_BYTES / 2);
    let mut commands = command(&["OBJ.SET", "k", "id2", "c=book,d=30000", &value]);
    commands.extend(command(&["OBJ.GET", "k", "id3", ATTRIBUTES]));
    let mut sending = client.0.get_ref().try_clone().expect("a copy");
    std::thread::scope(|scope| {
        scope.spawn(move || sending.write_all(&commands).expect("sent"));
        assert_eq!(client.response(), "-BUSY");
        assert_eq!(client.response(), "v");
    });
    assert_eq!(client.ask(&["OBJ.GET", "k", "id4", ATTRIBUTES]), "v");
}
