//! Commands that wait for memory which other clients hold.
use super::common::*;

/// Sizes of the values of half writes, in bytes: together they take all memory that commands may.
const HALF_WRITE_BYTES: [usize; 2] = [4 * 1024 * 1024, 1_100_000];
/// Size of the value of a usual write, in bytes.
const WRITE_BYTES: usize = 100_000;
/// How late a final response may be, by the operators' terms on sockets.
const RESPONSE_SLACK: Duration = Duration::from_millis(550);
/// Longest client timeout for which a shutdown waits, less some time in which a command still arrives.
const LONGEST_SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(2_700);
/// Most memory that the node may use, in megabytes.
const MEMORY_MB: usize = 16;

/// Starts a node with little memory and an origin that takes writes.
fn node_with_little_memory() -> Node {
    let origin = server("origin", channel().0, |_| http("200 OK", "written"));
    let limits = format!(r#""limits":{{"memory_mb":{MEMORY_MB}}},"#);
    Node::start(&[("origin", origin)], &limits)
}

/// Clients that have sent the beginning of a write each.
fn clients_with_half_writes(node: &Node) -> Vec<Client> {
    let connect = |size: usize| {
        let mut client = node.client();
        let (id, value) = (format!("half{size}"), "w".repeat(size));
        let bytes = command(&["OBJ.SET", "half", &id, "c=book,d=30000", &value]);
        client.send(&bytes[..size / 8]);
        client
    };
    HALF_WRITE_BYTES.into_iter().map(connect).collect()
}

/// Sends a usual write and returns its response and how long that took from the last byte.
fn write(client: &mut Client, id: &str, timeout_ms: u64) -> (String, Duration) {
    let attributes = format!("c=book,d={timeout_ms}");
    let value = "w".repeat(WRITE_BYTES);
    client.send(&command(&["OBJ.SET", "usual", id, &attributes, &value]));
    let sent_at = Instant::now();
    (client.response(), sent_at.elapsed())
}

/// Keeps sending a few bytes of each half write, so that its client makes progress.
fn keep_sending(holders: &mut [Client]) {
    for holder in holders {
        let _ = holder.0.get_mut().write_all(b"w");
    }
}

// Regression test: a write waited 1.5 s for memory, whatever time its call had, and was answered
// when its client had given up.
#[test]
fn write_without_memory_is_answered_within_its_time() {
    let node = node_with_little_memory();
    let mut holders = clients_with_half_writes(&node);
    std::thread::sleep(Duration::from_millis(100));
    std::thread::scope(|scope| {
        let writes: Vec<_> = [50, 100, 300, 640, 1_000]
            .into_iter()
            .map(|timeout_ms| {
                let mut client = node.client();
                scope.spawn(move || {
                    let id = format!("write{timeout_ms}");
                    let (response, took) = write(&mut client, &id, timeout_ms);
                    (timeout_ms, response, took)
                })
            })
            .collect();
        while !writes.iter().all(|write| write.is_finished()) {
            keep_sending(&mut holders);
            std::thread::sleep(Duration::from_millis(20));
        }
        for write in writes {
            let (timeout_ms, response, took) = write.join().expect("a response");
            let in_time = took <= Duration::from_millis(timeout_ms) + RESPONSE_SLACK;
            assert!(in_time, "d={timeout_ms}: {response} after {took:?}");
            assert!(response == "-BUSY" || response == "written", "{response}");
        }
    });
}

// Regression test: commands whose clients had stopped in the middle kept their memory for 2.5 s, and
// usual writes were refused meanwhile.
#[test]
fn stalled_half_writes_are_evicted_for_usual_ones() {
    let node = node_with_little_memory();
    let mut holders = clients_with_half_writes(&node);
    std::thread::sleep(Duration::from_millis(100));
    let mut client = node.client();
    let (response, took) = write(&mut client, "write0", 1_000);
    assert_eq!(response, "written", "after {took:?}");
    // One of them has got an error for it.
    let evicted = holders.iter_mut().any(|holder| {
        let stream = holder.0.get_mut();
        let timeout = Some(Duration::from_millis(100));
        stream.set_read_timeout(timeout).expect("a timeout");
        read_line(&mut holder.0).is_some_and(|line| line == "-BUSY")
    });
    assert!(evicted);
}

// What eviction is not to break: clients that write slowly and steadily.
#[test]
fn half_writes_that_make_progress_are_not_evicted() {
    let node = node_with_little_memory();
    let mut slow = node.client();
    let value = "w".repeat(HALF_WRITE_BYTES[0]);
    let bytes = command(&["OBJ.SET", "slow", "slow", "c=book,d=30000", &value]);
    let (begin, rest) = bytes.split_at(bytes.len() - 100);
    slow.send(begin);
    let other = command(&["OBJ.SET", "half", "half", "c=book,d=30000", &value]);
    let mut stalled = node.client();
    stalled.send(&other[..HALF_WRITE_BYTES[0] / 8]);
    for byte in rest.chunks(5) {
        std::thread::sleep(Duration::from_millis(50));
        slow.send(byte);
    }
    assert_eq!(slow.response(), "written");
    // The other one waits for memory, which is there now.
    stalled.send(&other[HALF_WRITE_BYTES[0] / 8..]);
    let response = stalled.response();
    assert!(response == "written" || response == "-BUSY", "{response}");
}

// Regression test: a write that waited for memory at the end of a shutdown was never answered.
#[test]
fn write_without_memory_is_answered_before_the_exit() {
    let node = node_with_little_memory();
    let mut holders = clients_with_half_writes(&node);
    node.signal("-TERM");
    let sent_at = Instant::now() + LONGEST_SHUTDOWN_TIMEOUT;
    while Instant::now() < sent_at {
        keep_sending(&mut holders);
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut client = node.client();
    let writing = std::thread::spawn(move || write(&mut client, "write0", 30_000));
    while !writing.is_finished() {
        keep_sending(&mut holders);
        std::thread::sleep(Duration::from_millis(20));
    }
    let (response, took) = writing.join().expect("a response");
    assert_eq!(response, "-BUSY", "after {took:?}");
}

/// Size of a value that is not streamed, in bytes.
const RESPONSE_BYTES: usize = 60_000;
/// Number of such values that are more than the system holds for a client, and all that the node
/// may hold beside long commands.
const UNREAD_RESPONSES: usize = 120;

/// Sends reads of long values, whose responses the client doesn't read.
fn request_unread_responses(client: &mut Client) {
    let mut bytes = Vec::new();
    for index in 0..UNREAD_RESPONSES {
        let id = format!("unread{index}");
        bytes.extend(command(&["OBJ.GET", "long", &id, ATTRIBUTES]));
    }
    client.send(&bytes);
}

// Regression test: calls of a few bytes waited for memory as well, unread and thus for longer than
// their time, where half writes and responses to slow readers held it.
#[test]
fn short_command_does_not_wait_for_memory() {
    let origin = server("origin", channel().0, |_| http("200 OK", "written"));
    let value = "v".repeat(RESPONSE_BYTES);
    let cache = server("a", channel().0, move |words| {
        hit(if words.contains(" long ") {
            &value
        } else {
            "v"
        })
    });
    let limits = format!(r#""limits":{{"memory_mb":{MEMORY_MB}}},"#);
    let node = Node::start(&[("a", cache), ("origin", origin)], &limits);
    let mut holders = clients_with_half_writes(&node);
    let mut slow_reader = Client::connect_with_small_buffer(node.addr);
    request_unread_responses(&mut slow_reader);
    for round in 0..20 {
        keep_sending(&mut holders);
        std::thread::sleep(Duration::from_millis(20));
        let sent_at = Instant::now();
        let response =
            node.client()
                .ask(&["OBJ.GET", "short", &format!("id{round}"), "c=view,d=100"]);
        let took = sent_at.elapsed();
        assert!(
            took < Duration::from_millis(100) + RESPONSE_SLACK,
            "{response} after {took:?}"
        );
        assert_eq!(response, "v", "after {took:?}");
    }
}
