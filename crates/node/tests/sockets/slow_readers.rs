//! Clients that read a response slowly, so that the system still holds a part of it when the node
//! closes their connections. A command that arrives at a closed connection would destroy that part.
use super::common::*;

/// Size of a response that is not streamed, and of which a small receive buffer holds little.
const RESPONSE_BYTES: usize = 60_000;

/// Starts a cache with a value of `RESPONSE_BYTES` for the key `long` and a short one for others.
fn cache_with_long_value() -> SocketAddr {
    let value = "v".repeat(RESPONSE_BYTES);
    server("a", channel().0, move |words| {
        hit(if words.contains(" long ") {
            &value
        } else {
            "v"
        })
    })
}

/// Sends the read of the long value and waits until the node has responded to it.
fn request_long_value(client: &mut Client) {
    client.send(&command(&["OBJ.GET", "long", "id1", ATTRIBUTES]));
    let peeked = client.0.get_ref().peek(&mut [0; 16]);
    assert_eq!(peeked.expect("a response"), 16);
}

/// Sends a second command before the response to the first one is read, and asserts that both are
/// answered.
fn assert_both_are_answered(client: &mut Client) {
    client.send(&command(&["OBJ.GET", "k", "id2", ATTRIBUTES]));
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(client.response().len(), RESPONSE_BYTES);
    assert_eq!(client.response(), "v");
}

// Regression test: the client was closed once its response was written, although the system still
// held most of it. Its next command brought a reset, and the response was cut.
#[test]
fn response_that_the_system_holds_delays_the_close_when_out_of_service() {
    let addr = free_address();
    let node = Node::start(
        &[("a", cache_with_long_value())],
        &format!(r#""ops":"{addr}","#),
    );
    let mut client = Client::connect_with_small_buffer(node.addr);
    request_long_value(&mut client);
    leave_service(addr);
    // The node closes idle clients from 350 ms on, and has lingered for 200 ms after that.
    std::thread::sleep(Duration::from_millis(1_000));
    assert_both_are_answered(&mut client);
    assert_eq!(client.response(), "closed");
}

// The same for a client that has been idle for too long, also if as many bytes are left as after its
// earlier responses, which it has taken long ago.
#[test]
fn response_that_the_system_holds_delays_the_idle_timeout() {
    let text = config(&[("a", cache_with_long_value())], "");
    let mut config = Config::parse(&text, Environment::default()).expect("a configuration");
    config.limits.client_idle_timeout = Span::ms(100);
    config.limits.response_write_timeout = Span::ms(2_000);
    let node = Embedded::start(config);
    let mut client = Client::connect_with_small_buffer(node.addr);
    for _ in 0..5 {
        request_long_value(&mut client);
        std::thread::sleep(Duration::from_millis(500));
        assert_both_are_answered(&mut client);
    }
    assert_eq!(client.response(), "closed");
}

// The same for clients that are closed in favour of new ones.
#[test]
fn response_that_the_system_holds_delays_a_close_for_another_client() {
    let node = Node::start(
        &[("a", cache_with_long_value())],
        r#""limits":{"sockets":64,"memory_mb":32},"#,
    );
    let mut clients: Vec<_> = (0..5)
        .map(|_| Client::connect_with_small_buffer(node.addr))
        .collect();
    for (index, client) in clients.iter_mut().enumerate() {
        client.send(&command(&[
            "OBJ.GET",
            "long",
            &format!("{index}"),
            ATTRIBUTES,
        ]));
        let peeked = client.0.get_ref().peek(&mut [0; 16]);
        assert_eq!(peeked.expect("a response"), 16);
    }
    // Idle for long enough to be closed in favour of others.
    std::thread::sleep(Duration::from_millis(2_100));
    let mut others: Vec<_> = (0..60).map(|_| node.client()).collect();
    for other in &mut others {
        other.send(&command(&["PING"]));
    }
    std::thread::sleep(Duration::from_millis(300));
    for (index, client) in clients.iter_mut().enumerate() {
        client.send(&command(&[
            "OBJ.GET",
            "k",
            &format!("{index}-2"),
            ATTRIBUTES,
        ]));
    }
    std::thread::sleep(Duration::from_millis(50));
    for client in &mut clients {
        assert_eq!(client.response().len(), RESPONSE_BYTES);
        let response = client.response();
        assert!(
            response == "v" || response.starts_with("-BUSY"),
            "{response}"
        );
    }
}

// Regression test: a client that is closed together with its last response got 200 ms to take it
// from the system. A command that it sent after that, without having seen the close, brought a reset.
#[test]
fn last_response_is_whole_although_a_command_crosses_the_close() {
    let (release, released) = channel();
    let mut released = Some(released);
    let value = "v".repeat(RESPONSE_BYTES);
    let cache = server("a", channel().0, move |_| match released.take() {
        Some(released) => ServerAction::RespondOnRelease(released, hit_bytes(&value)),
        None => hit("v"),
    });
    let addr = free_address();
    let node = Node::start(&[("a", cache)], &format!(r#""ops":"{addr}","#));
    let mut client = Client::connect_with_small_buffer(node.addr);
    client.send(&command(&["OBJ.GET", "long", "id1", ATTRIBUTES]));
    leave_service(addr);
    // From 1.5 s on clients are closed together with their last response.
    std::thread::sleep(Duration::from_millis(1_600));
    release.send(()).expect("the server waits");
    std::thread::sleep(Duration::from_millis(600));
    client.send(&command(&["OBJ.GET", "k", "id2", ATTRIBUTES]));
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(client.response().len(), RESPONSE_BYTES);
    let _ = client.response();
}

// What the close is there for: a client that takes nothing of its response is closed in a bounded
// time.
#[test]
fn client_that_reads_nothing_is_closed_all_the_same() {
    let text = config(&[("a", cache_with_long_value())], "").replace("40000", "100");
    let mut config = Config::parse(&text, Environment::default()).expect("a configuration");
    config.limits.client_idle_timeout = Span::ms(100);
    config.limits.response_write_timeout = Span::ms(300);
    config.limits.shutdown_exit_at = Span::ms(EVENT_TIMEOUT.as_millis() as i64);
    let node = Embedded::start(config);
    let mut client = Client::connect_with_small_buffer(node.addr);
    request_long_value(&mut client);
    let started_at = Instant::now();
    let node_thread = node.shut_down();
    node_thread.join().expect("a node").expect("an end");
    assert!(
        started_at.elapsed() < EVENT_TIMEOUT / 2,
        "the node waited for its client: {:?}",
        started_at.elapsed()
    );
}

/// Returns the processor time that a process has used, in ticks of 10 ms, from `/proc/ID/stat`.
fn processor_ticks(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("a process");
    let ticks = status.split_whitespace().skip(13).take(2);
    ticks
        .map(|ticks| ticks.parse::<u64>().expect("a number"))
        .sum()
}

// Regression test: the wait for a client to take its response was a busy loop after a read that had
// not emptied the socket as far as the runtime knew.
#[test]
fn wait_for_a_slow_reader_uses_no_processor_time() {
    let addr = free_address();
    let origin = server("origin", channel().0, |_| http("200 OK", "written"));
    let node = Node::start(
        &[("a", cache_with_long_value()), ("origin", origin)],
        &format!(r#""ops":"{addr}","#),
    );
    let mut client = Client::connect_with_small_buffer(node.addr);
    request_long_value(&mut client);
    leave_service(addr);
    // From 1.5 s on the node closes clients without waiting for a pause.
    std::thread::sleep(Duration::from_millis(1_600));
    let value = "w".repeat(20_000);
    client.send(&command(&["OBJ.SET", "k", "id2", "c=book,d=30000", &value]));
    std::thread::sleep(Duration::from_millis(200));
    let before = processor_ticks(node.child.id());
    std::thread::sleep(Duration::from_millis(1_000));
    let used = processor_ticks(node.child.id()) - before;
    assert!(used < 30, "{used} ticks in a second");
    assert_eq!(client.response().len(), RESPONSE_BYTES);
}

/// Number of long values that are more than the system holds for a client.
const VALUES_HELD_BY_THE_NODE: usize = 100;

// Regression test: the sending side was shut down with a part of the responses unwritten, if nothing
// more was to be read from the client.
#[test]
fn responses_that_the_node_holds_precede_the_last_one() {
    let node = Node::start(&[("a", cache_with_long_value())], "");
    let mut bytes = Vec::new();
    for index in 0..VALUES_HELD_BY_THE_NODE {
        bytes.extend(command(&[
            "OBJ.GET",
            "long",
            &format!("{index}"),
            ATTRIBUTES,
        ]));
    }
    for (last, response) in [
        (command(&["QUIT"]), "+OK"),
        (
            b"*1\r\n:1\r\n".to_vec(),
            "-ERR Protocol error: commands are arrays of bulk strings",
        ),
    ] {
        let mut client = Client::connect_with_small_buffer(node.addr);
        client.send(&[&bytes[..], &last].concat());
        std::thread::sleep(Duration::from_millis(500));
        for index in 0..VALUES_HELD_BY_THE_NODE {
            let length = client.response().len();
            assert_eq!(length, RESPONSE_BYTES, "{response}: value {index}");
        }
        assert_eq!(client.response(), response);
        assert_eq!(client.response(), "closed");
    }
}
