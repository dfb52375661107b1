//! API calls and plain commands from clients to servers and back.
use super::common::*;

#[test]
fn hits_misses_writes_and_plain_commands_are_served() {
    let (sender, reports) = channel();
    let mut request_count = 0;
    let cache = server("a", sender.clone(), move |_| {
        request_count += 1;
        if request_count == 1 {
            miss()
        } else {
            hit("kept")
        }
    });
    let origin = server("origin", sender, |words| {
        if words.starts_with("PUT") {
            http("200 OK", "receipt")
        } else {
            http("200 OK", "fetched")
        }
    });
    let node = Node::start(&[("a", cache), ("origin", origin)], "");
    let mut client = node.client();
    assert_eq!(client.ask(&["PING"]), "+PONG");
    assert_eq!(client.ask(&["OBJ.GET", "k1", "id1", ATTRIBUTES]), "fetched");
    assert_eq!(
        (next_report(&reports), next_report(&reports)),
        ("a: OBJ.GET k1 id1".into(), "origin: GET /k1 id1 ".into())
    );
    assert_eq!(client.ask(&["OBJ.GET", "k1", "id2", ATTRIBUTES]), "kept");
    assert_eq!(next_report(&reports), "a: OBJ.GET k1 id2");
    assert_eq!(
        client.ask(&["OBJ.SET", "k1", "id3", "c=book,d=30000", "new"]),
        "receipt"
    );
    assert_eq!(next_report(&reports), "origin: PUT /k1 id3 new");
    assert_eq!(client.ask(&["SELECT", "0"]), "+OK");
    assert_eq!(client.ask(&["HELLO", "3"]), "-ERR unknown command");
    assert_eq!(
        client.ask(&["OBJ.GET", "k1"]),
        "-ERR wrong number of arguments"
    );
    assert_eq!(
        client.ask(&["OBJ.GET", "k 1", "id4", ATTRIBUTES]),
        "-ERR the key is no short plain text"
    );
    assert_eq!(client.ask(&["QUIT"]), "+OK");
    assert_eq!(client.response(), "closed");
}

#[test]
fn pipelined_64_kib_calls_get_responses_in_order() {
    let value = "v".repeat(64 * 1024);
    let value_sent = value.clone();
    // The response to the first call is sent only once the second call has reached the cache.
    let (release, released) = channel();
    let mut released = Some(released);
    let (node, _reports) = Setup::new()
        .server("a", move |words| {
            match released.take_if(|_| words.ends_with("id1")) {
                Some(released) => ServerAction::RespondOnRelease(released, hit_bytes("first")),
                None => {
                    let _ = release.send(());
                    hit(&value_sent)
                }
            }
        })
        .start();
    let mut client = node.client();
    let mut bytes = command(&["OBJ.GET", "k1", "id1", ATTRIBUTES]);
    bytes.extend(command(&["PING"]));
    bytes.extend(command(&["OBJ.GET", "k1", "id2", ATTRIBUTES]));
    for piece in bytes.chunks(7) {
        client.send(piece);
    }
    assert_eq!(client.response(), "first");
    assert_eq!(client.response(), "+PONG");
    assert!(client.response() == value, "the value arrives whole");
    let write_response = client.ask(&["OBJ.SET", "k1", "id4", ATTRIBUTES, &"w".repeat(64 * 1024)]);
    assert!(
        write_response.starts_with("-"),
        "a write needs an origin: {write_response}"
    );
    client.send(
        format!(
            "*5\r\n$7\r\nOBJ.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nx\r\n${}\r\n",
            4 * 1024 * 1024 + 1
        )
        .as_bytes(),
    );
    assert_eq!(
        client.response(),
        "-ERR Protocol error: commands are arrays of bulk strings"
    );
    assert_eq!(client.response(), "closed");
}

#[test]
fn non_idempotent_write_that_may_have_run_is_not_retried() {
    let cut =
        || ServerAction::Truncate(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nreceipt".to_vec());
    let not_executed = || http("503 Busy\r\nX-Unprocessed: 1", "");
    type Failure = (&'static str, fn() -> ServerAction, usize);
    let failures: [Failure; 5] = [
        ("reset", || ServerAction::Close, 1),
        ("cut", cut, 1),
        ("500", || http("500 Oops", ""), 1),
        ("503, may have run", || http("503 Busy", ""), 1),
        ("503, never ran", not_executed, 3),
    ];
    for (failure, action, max_attempts) in failures {
        let (node, reports) = Setup::new().server("origin", move |_| action()).start();
        let response = node
            .client()
            .ask(&["OBJ.SET", "k", "id", "c=book,d=30000", "v"]);
        let expected_prefix = if max_attempts > 1 { "-BUSY" } else { "-ERR" };
        assert!(
            response.starts_with(expected_prefix),
            "{failure}: {response}"
        );
        let attempts = reports.try_iter().count();
        assert!(
            (1..=max_attempts).contains(&attempts),
            "{failure}: {attempts} attempts"
        );
    }
}

#[test]
fn client_that_reads_late_delays_no_other_and_gets_all() {
    let (sender, _reports) = channel();
    let value = "v".repeat(64 * 1024);
    let value_sent = value.clone();
    let cache = server("a", sender, move |_| hit(&value_sent));
    let node = Node::start(&[("a", cache)], "");
    let (mut slow, mut other) = (node.client(), node.client());
    for id in 0..150 {
        slow.send(&command(&["OBJ.GET", "k", &format!("id{id}"), ATTRIBUTES]));
    }
    assert!(other.ask(&["OBJ.GET", "k", "id", ATTRIBUTES]) == value);
    for id in 0..150 {
        // Calls beyond a cache's limit of attempts in flight are rejected; no value is truncated or
        // out of order.
        let response = slow.response();
        assert!(
            response == value || response.starts_with("-BUSY"),
            "{id}: {} bytes",
            response.len()
        );
    }
    assert_eq!(slow.ask(&["PING"]), "+PONG");
}

#[test]
fn cache_that_closes_after_each_response_fails_no_call() {
    let (sender, reports) = channel();
    // Three caches, as the close of one connection may cross an attempt that is being sent on it.
    let caches = ["a", "b", "c"].map(|name| {
        (
            name,
            server(name, sender.clone(), |_| ServerAction::Last(hit_bytes("v"))),
        )
    });
    let node = Node::start(&caches, "");
    let mut client = node.client();
    for id in 0..30 {
        assert_eq!(
            client.ask(&["OBJ.GET", "k", &format!("id{id}"), ATTRIBUTES]),
            "v"
        );
        assert!(next_report(&reports).ends_with(&format!(": OBJ.GET k id{id}")));
        assert!(next_report(&reports).ends_with(": closed"));
    }
}

#[test]
fn messages_sent_byte_by_byte_are_read() {
    let value = "v".repeat(66_000);
    let small = hit_bytes("small")
        .into_iter()
        .map(|byte| vec![byte])
        .collect();
    let (cache, release) = piecewise_server(small);
    let node = Node::start(&[("a", cache)], "");
    let mut client = node.client();
    for byte in command(&["OBJ.GET", "k1", "id1", ATTRIBUTES]) {
        client.send(&[byte]);
    }
    for _ in hit_bytes("small") {
        release.send(()).expect("the server waits");
    }
    assert_eq!(client.response(), "small");
    // A large response whose first and last 40 bytes are sent byte by byte.
    let whole = hit_bytes(&value);
    let (head, rest) = whole.split_at(40);
    let (middle, tail) = rest.split_at(rest.len() - 40);
    let bytes_of = |part: &[u8]| part.iter().map(|byte| vec![*byte]).collect::<Vec<_>>();
    let pieces = [bytes_of(head), vec![middle.to_vec()], bytes_of(tail)].concat();
    let count = pieces.len();
    let (cache, release) = piecewise_server(pieces);
    let node = Node::start(&[("a", cache)], "");
    let mut client = node.client();
    client.send(&command(&["OBJ.GET", "k1", "id1", ATTRIBUTES]));
    for _ in 0..count {
        release.send(()).expect("the server waits");
    }
    assert!(client.response() == value);
}
